"""What the commands ``status`` and ``explain`` gather from the fleet."""

from urllib.parse import quote

import anyio
import msgspec

from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.log_client import HttpLog
from jasminewalk.agreement.log_reader import LogReader
from jasminewalk.agreement.recent_changes import RecentChange, list_recent_changes
from jasminewalk.exceptions import (
    LogUnavailableError,
    UnknownRequestError,
    UnreachableError,
)
from jasminewalk.generated_requests import Instance
from jasminewalk.generated_settings import OperatorSettings
from jasminewalk.ingress.traces import RequestTrace
from jasminewalk.operators.publication import build_view
from jasminewalk.operators.status import FleetStatus, StatusReader, build_fleet_status
from jasminewalk.transport._http import http_client
from jasminewalk.transport.instances_client import HttpInstanceList

__all__ = ["explain_request", "read_status"]

MAX_KEPT_RECORDS = 5000


async def read_status(settings: OperatorSettings, max_changes: int) -> FleetStatus:
    """Return the state of the fleet.

    :param settings: how to reach the platform.
    :param max_changes: most recent changes to show.
    :raises UnreachableError: if the instance list does not answer.
    """
    async with http_client() as pool:
        log = LogReader(HttpLog(pool, settings.log.address, settings.status_timeout_s))
        instances = HttpInstanceList(
            pool, settings.instances_address, settings.status_timeout_s
        )
        reader = StatusReader(pool, instances, settings.status_timeout_s)
        changes: list[RecentChange] = []
        log_revision = None
        withdrawn: set[str] = set()
        try:
            records = await log.read_to_tail(
                settings.publish_timeout_s, MAX_KEPT_RECORDS
            )
            changes = list_recent_changes(records, max_changes)
            log_revision = log.fold.next_offset - 1
            withdrawn = list_withdrawn_endpoints(log.fold)
        except LogUnavailableError:
            pass
        try:
            rows, statuses = await reader.read()
        except OSError as error:
            raise build_unreachable_error(settings, error) from error
    return build_fleet_status(
        rows,
        statuses,
        changes=changes,
        log_revision=log_revision,
        withdrawn=withdrawn,
    )


def list_withdrawn_endpoints(fold: LogFold) -> set[str]:
    """Return the endpoints that the fleet in force gives no work.

    :param fold: state of the log.
    """
    pools = build_view(fold).pools.values()
    return {endpoint for pool in pools for endpoint in pool.withdrawn}


async def explain_request(
    settings: OperatorSettings, request_id: str
) -> tuple[str, RequestTrace]:
    """Return the entry that served a request, and what it remembers.

    :param settings: how to reach the platform.
    :param request_id: identifier of the request.
    :raises UnreachableError: if the instance list does not answer.
    :raises UnknownRequestError: if no entry remembers the request.
    """
    async with http_client() as pool:
        instances = HttpInstanceList(
            pool, settings.instances_address, settings.status_timeout_s
        )
        reader = StatusReader(pool, instances, settings.status_timeout_s)
        try:
            rows = await instances.instances()
        except OSError as error:
            raise build_unreachable_error(settings, error) from error
        found: dict[str, RequestTrace] = {}

        async def fetch_trace(row: Instance) -> None:
            body = await reader.get(
                row.control_address, f"/explain/{quote(request_id, safe='')}"
            )
            if body is not None:
                found[row.name] = msgspec.json.decode(body, type=RequestTrace)

        async with anyio.create_task_group() as group:
            for row in rows:
                if row.kind == "entry":
                    group.start_soon(fetch_trace, row)
    for entry, trace in found.items():
        return entry, trace
    raise UnknownRequestError(
        f"None of the entries remembers request {request_id!r}; each remembers its "
        "latest requests only."
    )


def build_unreachable_error(
    settings: OperatorSettings, error: OSError
) -> UnreachableError:
    """Return the error for an instance list that does not answer.

    :param settings: how to reach the platform.
    :param error: what its client reported.
    """
    return UnreachableError(
        f"The instance list at {settings.instances_address} does not answer: {error}"
    )

"""Collection of the data for the commands ``status`` and ``explain``."""

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
from jasminewalk.transport._http import open_http_pool
from jasminewalk.transport.instances_client import HttpInstanceList

__all__ = ["explain_request", "read_status"]

MAX_KEPT_RECORDS = 5000


async def read_status(settings: OperatorSettings, max_changes: int) -> FleetStatus:
    """Return the state of the fleet.

    If the log does not respond, the status has neither changes nor a log revision, and
    it shows no endpoint as ``withdrawn``.

    :param settings: settings of the operator commands.
    :param max_changes: maximum number of recent changes to return.
    :raises UnreachableError: if the instance list does not respond.
    """
    async with open_http_pool() as pool:
        log = LogReader(HttpLog(pool, settings.log.address, settings.status_timeout_s))
        instance_list = HttpInstanceList(
            pool, settings.instances_address, settings.status_timeout_s
        )
        reader = StatusReader(pool, instance_list, settings.status_timeout_s)
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
            instances, statuses = await reader.read()
        except OSError as error:
            raise build_unreachable_error(settings, error) from error
    return build_fleet_status(
        instances,
        statuses,
        changes=changes,
        log_revision=log_revision,
        withdrawn=withdrawn,
    )


def list_withdrawn_endpoints(fold: LogFold) -> set[str]:
    """Return the names of the endpoints that the configuration in force withdraws.

    :param fold: state of the log.
    """
    pools = build_view(fold).pools.values()
    return {endpoint for pool in pools for endpoint in pool.withdrawn}


async def explain_request(
    settings: OperatorSettings, request_id: str
) -> tuple[str, RequestTrace]:
    """Return the name of the entry that received a request, and the request's trace.

    :param settings: settings of the operator commands.
    :param request_id: identifier of the request.
    :raises UnreachableError: if the instance list does not respond.
    :raises UnknownRequestError: if no entry that responded has a trace of it.
    """
    async with open_http_pool() as pool:
        instance_list = HttpInstanceList(
            pool, settings.instances_address, settings.status_timeout_s
        )
        reader = StatusReader(pool, instance_list, settings.status_timeout_s)
        try:
            instances = await instance_list.instances()
        except OSError as error:
            raise build_unreachable_error(settings, error) from error
        traces: dict[str, RequestTrace] = {}

        async def fetch_trace(instance: Instance) -> None:
            body = await reader.get(
                instance.control_address, f"/explain/{quote(request_id, safe='')}"
            )
            if body is not None:
                traces[instance.name] = msgspec.json.decode(body, type=RequestTrace)

        async with anyio.create_task_group() as group:
            for instance in instances:
                if instance.kind == "entry":
                    group.start_soon(fetch_trace, instance)
    for entry, trace in traces.items():
        return entry, trace
    raise UnknownRequestError(
        f"No entry has a trace of request {request_id!r}; each keeps the traces of its "
        "latest requests only."
    )


def build_unreachable_error(
    settings: OperatorSettings, error: OSError
) -> UnreachableError:
    """Return the error for an instance list that does not respond.

    :param settings: settings of the operator commands.
    :param error: error of the client.
    """
    return UnreachableError(
        f"The instance list at {settings.instances_address} does not respond: {error}"
    )

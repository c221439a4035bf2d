"""State of the whole fleet, gathered for operators."""

from collections.abc import Collection

import anyio
import attrs
import httpcore
import msgspec

from jasminewalk.agreement.recent_changes import RecentChange
from jasminewalk.generated_requests import Instance
from jasminewalk.ingress.entry_status import EndpointStatus, EntryStatus
from jasminewalk.interfaces import InstanceList
from jasminewalk.transport._http_call import call

__all__ = [
    "EndpointRow",
    "EntryRow",
    "FleetStatus",
    "StatusReader",
    "build_fleet_status",
]

MAX_CONCURRENT_READS = 32
SILENT_AFTER_S = 5.0


@attrs.frozen(kw_only=True)
class EntryRow:
    """One entry of the instance list with its own status.

    :param name: entry name.
    :param failure_domain: failure domain name.
    :param address: address for callers.
    :param state: state as the platform lists it, or ``silent`` without an answer.
    :param ready: whether it takes requests.
    :param revision: offset it has folded the log to; 0 without an answer.
    :param log_reachable: whether its last read of the log succeeded.
    """

    name: str
    failure_domain: str
    address: str
    state: str
    ready: bool = False
    revision: int = 0
    log_reachable: bool = False


@attrs.frozen(kw_only=True)
class EndpointRow:
    """One endpoint with the freshest report that any entry has.

    :param name: endpoint name.
    :param kind: kind of endpoint.
    :param pool: pool name.
    :param failure_domain: failure domain name.
    :param state: what it can take; ``withdrawn``, ``leaving`` and ``silent`` go
        before.
    :param role: role in force; nothing for a service.
    :param usable_by: entries that give it work.
    :param queued: requests in its queue.
    :param running: requests that run.
    :param queued_prefill_tokens: prompt tokens that wait.
    :param kv_used: used fraction of the KV cache.
    :param prefill_tokens_per_s: learned prefill speed.
    :param decode_tokens_per_s: learned decode speed of one stream.
    :param silent_s: seconds since the freshest report; nothing if none came.
    :param revision: offset it has folded the log to; nothing for a service, whose
        sidecar has no use for the configuration.
    :param completed: requests finished since the start of its sidecar.
    """

    name: str
    kind: str
    pool: str
    failure_domain: str
    state: str
    role: str = ""
    usable_by: int = 0
    queued: int = 0
    running: int = 0
    queued_prefill_tokens: int = 0
    kv_used: float = 0.0
    prefill_tokens_per_s: float = 0.0
    decode_tokens_per_s: float = 0.0
    silent_s: float | None = None
    revision: int | None = 0
    completed: int = 0


@attrs.frozen(kw_only=True)
class FleetStatus:
    """State of the fleet.

    :param revision: revision in force on every live entry and engine.
    :param log_revision: last offset of the log; nothing if it did not answer.
    :param entries: entries of the instance list.
    :param endpoints: endpoints that the list or any entry knows.
    :param changes: recent changes, newest first.
    :param problems: what needs a look, in plain sentences.
    """

    revision: int
    log_revision: int | None
    entries: list[EntryRow]
    endpoints: list[EndpointRow]
    changes: list[RecentChange]
    problems: list[str]


class StatusReader:
    """Asks the entries of the instance list for their status.

    :param pool: HTTP connections.
    :param instances: the platform's instance list.
    :param timeout_s: seconds to wait for one answer.
    """

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        instances: InstanceList,
        timeout_s: float,
    ) -> None:
        self.pool = pool
        self.instances = instances
        self.timeout_s = timeout_s
        self.limiter = anyio.CapacityLimiter(MAX_CONCURRENT_READS)

    async def read(self) -> tuple[list[Instance], dict[str, EntryStatus]]:
        """Return the rows of the list, and the status of entries that answered.

        :raises OSError: if the instance list cannot be reached.
        """
        rows = await self.instances.instances()
        found: dict[str, EntryStatus] = {}
        async with anyio.create_task_group() as group:
            for row in rows:
                if row.kind == "entry":
                    group.start_soon(self.read_entry, row, found)
        return rows, found

    async def read_entry(self, row: Instance, found: dict[str, EntryStatus]) -> None:
        """Read the status of one entry.

        :param row: the entry's row of the list.
        :param found: where to put the status.
        """
        async with self.limiter:
            body = await self.get(row.control_address, "/status")
        if body is not None:
            found[row.name] = msgspec.json.decode(body, type=EntryStatus)

    async def get(self, address: str, path: str) -> bytes | None:
        """Return the body of a page, or nothing without a good answer.

        :param address: ``host:port`` of a control address.
        :param path: path of the page.
        """
        try:
            answer = await call(
                self.pool, "GET", address, path, timeout_s=self.timeout_s
            )
        except OSError:
            return None
        return answer.body if answer.status == 200 else None


def build_fleet_status(
    rows: list[Instance],
    statuses: dict[str, EntryStatus],
    *,
    changes: list[RecentChange],
    log_revision: int | None,
    withdrawn: Collection[str] = (),
) -> FleetStatus:
    """Return the state of the fleet.

    :param rows: rows of the instance list.
    :param statuses: status of the entries that answered, by name.
    :param changes: recent changes, newest first.
    :param log_revision: last offset of the log; nothing if it did not answer.
    :param withdrawn: endpoints that the configuration gives no work.
    """
    entries = [build_entry_row(row, statuses) for row in rows if row.kind == "entry"]
    endpoints = [
        attrs.evolve(row, state="withdrawn", usable_by=0)
        if row.name in withdrawn
        else row
        for row in build_endpoint_rows(rows, statuses)
    ]
    live = [row.revision for row in entries if row.state == "live"]
    live += [
        row.revision
        for row in endpoints
        if row.revision is not None and row.state not in ("silent", "leaving")
    ]
    return FleetStatus(
        revision=min(live, default=0),
        log_revision=log_revision,
        entries=sorted(entries, key=lambda row: row.name),
        endpoints=endpoints,
        changes=changes,
        problems=find_problems(entries, endpoints, log_revision),
    )


def build_entry_row(row: Instance, statuses: dict[str, EntryStatus]) -> EntryRow:
    """Return the row of one entry.

    :param row: its row of the instance list.
    :param statuses: status of the entries that answered, by name.
    """
    status = statuses.get(row.name)
    if status is None:
        return EntryRow(
            name=row.name,
            failure_domain=row.failure_domain,
            address=row.address,
            state="silent",
        )
    return EntryRow(
        name=row.name,
        failure_domain=row.failure_domain,
        address=row.address,
        state="leaving" if status.stopping else row.state,
        ready=status.ready,
        revision=status.revision,
        log_reachable=status.log_reachable,
    )


def build_endpoint_rows(
    rows: list[Instance], statuses: dict[str, EntryStatus]
) -> list[EndpointRow]:
    """Return the rows of all endpoints, by pool and name.

    :param rows: rows of the instance list.
    :param statuses: status of the entries that answered, by name.
    """
    seen: dict[str, list[EndpointStatus]] = {}
    for status in statuses.values():
        for endpoint in status.endpoints:
            seen.setdefault(endpoint.endpoint, []).append(endpoint)
    found = [build_endpoint_row(reported) for reported in seen.values()]
    found += [
        EndpointRow(
            name=row.name,
            kind=row.kind,
            pool=row.pool,
            failure_domain=row.failure_domain,
            state="silent",
            revision=0 if row.kind == "engine" else None,
        )
        for row in rows
        if row.kind != "entry" and row.name not in seen
    ]
    return sorted(found, key=lambda row: (row.pool, row.name))


def build_endpoint_row(statuses: list[EndpointStatus]) -> EndpointRow:
    """Return the row of one endpoint.

    :param statuses: the endpoint as each entry sees it.
    """
    freshest = min(statuses, key=_get_silent_s)
    report = freshest.report
    if report is None:
        return EndpointRow(
            name=freshest.endpoint,
            kind="",
            pool=freshest.pool,
            failure_domain=freshest.failure_domain,
            state="silent",
        )
    return EndpointRow(
        name=freshest.endpoint,
        kind=report.kind,
        pool=freshest.pool,
        failure_domain=freshest.failure_domain,
        state=_determine_state(freshest, report.state),
        role=report.role if report.kind == "engine" else "",
        usable_by=sum(status.usable for status in statuses),
        queued=report.queued,
        running=report.running,
        queued_prefill_tokens=report.queued_prefill_tokens,
        kv_used=report.kv_used,
        prefill_tokens_per_s=report.prefill_tokens_per_s,
        decode_tokens_per_s=report.decode_tokens_per_s,
        silent_s=freshest.silent_s,
        revision=report.revision if report.kind == "engine" else None,
        completed=report.completed,
    )


def _get_silent_s(status: EndpointStatus) -> float:
    return float("inf") if status.silent_s is None else status.silent_s


def _determine_state(status: EndpointStatus, reported: str) -> str:
    if status.leaving:
        return "leaving"
    return "silent" if _get_silent_s(status) > SILENT_AFTER_S else reported


def find_problems(
    entries: list[EntryRow], endpoints: list[EndpointRow], log_revision: int | None
) -> list[str]:
    """Return what needs a look, in plain sentences.

    :param entries: all entries.
    :param endpoints: all endpoints.
    :param log_revision: last offset of the log; nothing if it did not answer.
    """
    problems = []
    if log_revision is None:
        problems.append("The log does not answer; what is in force stays in force.")
    if not entries:
        problems.append("The instance list has no entry.")
    for entry in entries:
        if entry.state == "silent":
            problems.append(f"Entry {entry.name} does not answer.")
        elif not entry.ready:
            problems.append(f"Entry {entry.name} has not read the configuration yet.")
        elif not entry.log_reachable:
            problems.append(f"Entry {entry.name} cannot reach the log.")
    for endpoint in endpoints:
        if endpoint.state in ("silent", "down"):
            problems.append(f"Endpoint {endpoint.name} is {endpoint.state}.")
        elif endpoint.state == "live" and not endpoint.usable_by:
            problems.append(f"Endpoint {endpoint.name} is live but no entry uses it.")
    return problems + find_unavailable_pools(endpoints)


def find_unavailable_pools(endpoints: list[EndpointRow]) -> list[str]:
    """Return which pools have no endpoint that takes work.

    :param endpoints: all endpoints.
    """
    usable = {row.pool for row in endpoints if row.usable_by}
    pools = sorted({row.pool for row in endpoints} - usable)
    return [f"Pool {pool} has no endpoint that takes work." for pool in pools]

"""State of the fleet, collected from all entries for operators."""

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
    """State of an entry of the instance list.

    :param name: entry name.
    :param failure_domain: failure domain name.
    :param address: address for callers.
    :param state: state in the instance list, ``leaving`` if the entry is shutting down,
        or ``silent`` if it did not respond.
    :param ready: whether the entry accepts requests.
    :param revision: offset of the last log record applied; 0 if the entry did not
        respond.
    :param log_reachable: whether the last read of the log succeeded.
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
    """State of an endpoint according to the newest load report that any entry has.

    :param name: endpoint name.
    :param kind: kind of endpoint; empty if entries know it but none has a report.
    :param pool: pool name.
    :param failure_domain: failure domain name.
    :param state: reported state, unless the endpoint is ``withdrawn``, ``leaving`` or
        ``silent``.
    :param role: role in force; empty for a service.
    :param usable_by: number of entries that send requests to the endpoint.
    :param queued: number of requests in the queue.
    :param running: number of requests that run.
    :param queued_prefill_tokens: number of prompt tokens in the queue.
    :param kv_used: used fraction of the KV cache.
    :param prefill_tokens_per_s: estimated prefill speed in tokens per second.
    :param decode_tokens_per_s: estimated decode speed of one stream in tokens per
        second.
    :param silent_s: seconds since the newest report; None if no entry has one.
    :param revision: offset of the last log record applied; None for a service, whose
        sidecar does not use the configuration.
    :param completed: requests completed since the sidecar started.
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

    :param revision: revision that every live entry and engine has applied.
    :param log_revision: last offset of the log; None if the log did not respond.
    :param entries: entries of the instance list.
    :param endpoints: endpoints in the instance list or known to any entry.
    :param changes: recent changes, newest first.
    :param problems: one sentence for each problem found.
    """

    revision: int
    log_revision: int | None
    entries: list[EntryRow]
    endpoints: list[EndpointRow]
    changes: list[RecentChange]
    problems: list[str]


class StatusReader:
    """Reads the status of all entries of the instance list.

    :param pool: HTTP connection pool.
    :param instance_list: the platform's instance list.
    :param timeout_s: maximum seconds for each request.
    """

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        instance_list: InstanceList,
        timeout_s: float,
    ) -> None:
        self.pool = pool
        self.instance_list = instance_list
        self.timeout_s = timeout_s
        self.limiter = anyio.CapacityLimiter(MAX_CONCURRENT_READS)

    async def read(self) -> tuple[list[Instance], dict[str, EntryStatus]]:
        """Return all instances and the status of each entry that responded, by name.

        :raises OSError: if the instance list cannot be reached.
        """
        instances = await self.instance_list.instances()
        statuses: dict[str, EntryStatus] = {}
        async with anyio.create_task_group() as group:
            for instance in instances:
                if instance.kind == "entry":
                    group.start_soon(self.read_entry, instance, statuses)
        return instances, statuses

    async def read_entry(
        self, instance: Instance, statuses: dict[str, EntryStatus]
    ) -> None:
        """Read the status of one entry.

        :param instance: the entry as the instance list describes it.
        :param statuses: statuses by entry name; the result is added to it.
        """
        async with self.limiter:
            body = await self.get(instance.control_address, "/status")
        if body is not None:
            statuses[instance.name] = msgspec.json.decode(body, type=EntryStatus)

    async def get(self, address: str, path: str) -> bytes | None:
        """Send a GET request and return the body of the response.

        Return None if there is no response or its status is not 200.

        :param address: control address as ``host:port``.
        :param path: path to request.
        """
        try:
            response = await call(
                self.pool, "GET", address, path, timeout_s=self.timeout_s
            )
        except OSError:
            return None
        return response.body if response.status == 200 else None


def build_fleet_status(
    instances: list[Instance],
    statuses: dict[str, EntryStatus],
    *,
    changes: list[RecentChange],
    log_revision: int | None,
    withdrawn: Collection[str] = (),
) -> FleetStatus:
    """Return the state of the fleet.

    :param instances: instances of the instance list.
    :param statuses: status of each entry that responded, by name.
    :param changes: recent changes, newest first.
    :param log_revision: last offset of the log; None if the log did not respond.
    :param withdrawn: names of endpoints that the configuration withdraws.
    """
    entries = [
        build_entry_row(instance, statuses)
        for instance in instances
        if instance.kind == "entry"
    ]
    endpoints = [
        attrs.evolve(row, state="withdrawn", usable_by=0)
        if row.name in withdrawn
        else row
        for row in build_endpoint_rows(instances, statuses)
    ]
    live_revisions = [row.revision for row in entries if row.state == "live"]
    live_revisions += [
        row.revision
        for row in endpoints
        if row.revision is not None and row.state not in ("silent", "leaving")
    ]
    return FleetStatus(
        revision=min(live_revisions, default=0),
        log_revision=log_revision,
        entries=sorted(entries, key=lambda row: row.name),
        endpoints=endpoints,
        changes=changes,
        problems=find_problems(entries, endpoints, log_revision),
    )


def build_entry_row(instance: Instance, statuses: dict[str, EntryStatus]) -> EntryRow:
    """Return the state of one entry.

    :param instance: the entry as the instance list describes it.
    :param statuses: status of each entry that responded, by name.
    """
    status = statuses.get(instance.name)
    if status is None:
        return EntryRow(
            name=instance.name,
            failure_domain=instance.failure_domain,
            address=instance.address,
            state="silent",
        )
    return EntryRow(
        name=instance.name,
        failure_domain=instance.failure_domain,
        address=instance.address,
        state="leaving" if status.stopping else instance.state,
        ready=status.ready,
        revision=status.revision,
        log_reachable=status.log_reachable,
    )


def build_endpoint_rows(
    instances: list[Instance], statuses: dict[str, EntryStatus]
) -> list[EndpointRow]:
    """Return the state of all endpoints, sorted by pool and name.

    An endpoint of the instance list that no entry knows is ``silent``.

    :param instances: instances of the instance list.
    :param statuses: status of each entry that responded, by name.
    """
    known: dict[str, list[EndpointStatus]] = {}
    for status in statuses.values():
        for endpoint in status.endpoints:
            known.setdefault(endpoint.endpoint, []).append(endpoint)
    rows = [build_endpoint_row(reported) for reported in known.values()]
    rows += [
        EndpointRow(
            name=instance.name,
            kind=instance.kind,
            pool=instance.pool,
            failure_domain=instance.failure_domain,
            state="silent",
            revision=0 if instance.kind == "engine" else None,
        )
        for instance in instances
        if instance.kind != "entry" and instance.name not in known
    ]
    return sorted(rows, key=lambda row: (row.pool, row.name))


def build_endpoint_row(statuses: list[EndpointStatus]) -> EndpointRow:
    """Return the state of one endpoint.

    :param statuses: status of the endpoint on each entry that knows it.
    """
    newest = min(statuses, key=_get_silent_s)
    report = newest.report
    if report is None:
        return EndpointRow(
            name=newest.endpoint,
            kind="",
            pool=newest.pool,
            failure_domain=newest.failure_domain,
            state="silent",
        )
    return EndpointRow(
        name=newest.endpoint,
        kind=report.kind,
        pool=newest.pool,
        failure_domain=newest.failure_domain,
        state=_determine_state(newest, report.state),
        role=report.role if report.kind == "engine" else "",
        usable_by=sum(status.usable for status in statuses),
        queued=report.queued,
        running=report.running,
        queued_prefill_tokens=report.queued_prefill_tokens,
        kv_used=report.kv_used,
        prefill_tokens_per_s=report.prefill_tokens_per_s,
        decode_tokens_per_s=report.decode_tokens_per_s,
        silent_s=newest.silent_s,
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
    """Return one sentence for each problem found.

    :param entries: all entries.
    :param endpoints: all endpoints.
    :param log_revision: last offset of the log; None if the log did not respond.
    """
    problems = []
    if log_revision is None:
        problems.append(
            "The log does not respond; the configuration in force stays in force."
        )
    if not entries:
        problems.append("The instance list has no entry.")
    for entry in entries:
        if entry.state == "silent":
            problems.append(f"Entry {entry.name} does not respond.")
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
    """Return one sentence for each pool without a usable endpoint.

    :param endpoints: all endpoints.
    """
    usable = {row.pool for row in endpoints if row.usable_by}
    pools = sorted({row.pool for row in endpoints} - usable)
    return [f"Pool {pool} has no endpoint that takes work." for pool in pools]

"""State of an entry for operators."""

import attrs

from jasminewalk.generated_messages import LoadReport
from jasminewalk.scheduling.membership import Membership

__all__ = ["EndpointStatus", "EntryStatus", "list_endpoint_statuses"]


@attrs.frozen(kw_only=True)
class EndpointStatus:
    """State of one endpoint as known to an entry.

    :param endpoint: endpoint name.
    :param pool: pool name.
    :param failure_domain: failure domain name.
    :param usable: whether the endpoint gets new requests.
    :param leaving: whether the endpoint or the instance list has announced that it
        leaves.
    :param silent_s: seconds since the last load report or response; None before the
        first report.
    :param failures: failed requests since the last successful one.
    :param report: last load report, if any arrived.
    """

    endpoint: str
    pool: str
    failure_domain: str
    usable: bool
    leaving: bool
    silent_s: float | None
    failures: int
    report: LoadReport | None


@attrs.frozen(kw_only=True)
class EntryStatus:
    """State of an entry.

    :param name: entry name.
    :param incarnation: identifier of the process.
    :param failure_domain: failure domain name.
    :param ready: whether the entry has read the configuration and is not stopping.
    :param stopping: whether the entry is shutting down.
    :param revision: offset of the last log record applied.
    :param log_reachable: whether the last read of the log succeeded.
    :param endpoints: endpoints that the entry knows.
    """

    name: str
    incarnation: str
    failure_domain: str
    ready: bool
    stopping: bool
    revision: int
    log_reachable: bool
    endpoints: list[EndpointStatus]


def list_endpoint_statuses(
    now_s: float, membership: Membership
) -> list[EndpointStatus]:
    """Return the state of all endpoints that an entry knows.

    :param now_s: current time in seconds.
    :param membership: membership of the entry.
    """
    usable: set[str] = set()
    for pool in {member.pool for member in membership.members.values()}:
        usable.update(membership.list_usable(now_s, pool))
    return [
        EndpointStatus(
            endpoint=name,
            pool=member.pool,
            failure_domain=member.failure_domain,
            usable=name in usable,
            leaving=membership.is_leaving(now_s, member),
            silent_s=now_s - member.last_heard_s if member.report else None,
            failures=member.failures,
            report=member.report,
        )
        for name, member in sorted(membership.members.items())
    ]

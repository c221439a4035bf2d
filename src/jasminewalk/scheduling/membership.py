"""Membership and liveness of the endpoints that an entry may send requests to."""

from collections.abc import Iterable

import attrs
import xxhash

from jasminewalk.generated_messages import Leaving, LoadReport
from jasminewalk.generated_requests import Instance
from jasminewalk.generated_settings import EntrySettings

__all__ = ["Member", "Membership"]

REMOVE_AFTER_S = 30.0
LEAVING_HOLD_S = 30.0
MIN_CONSECUTIVE_REPORTS = 2
FAILURE_BACKOFF_S = 0.5
MAX_FAILURE_BACKOFF_S = 8.0
MAX_PAST_INCARNATIONS = 4


@attrs.define
class Member:
    """State of one endpoint as known to the entry.

    :param endpoint: endpoint name.
    :param pool: pool name.
    :param failure_domain: failure domain name.
    :param region: region name.
    :param address: request address of its sidecar.
    :param control_address: control address of its sidecar.
    :param last_listed_s: time in seconds at which the instance list last contained the
        endpoint.
    :param last_listed_leaving_s: time in seconds at which the list last showed it as
        leaving.
    :param report: newest load report; ``None`` before the first.
    :param last_heard_s: time in seconds of the newest report or response.
    :param consecutive_reports: reports since the last silence, up to
        ``MIN_CONSECUTIVE_REPORTS``.
    :param leaving_incarnation: incarnation that announced that it is leaving.
    :param past_incarnations: incarnations that a newer one has replaced.
    :param failures: failed requests since the last successful one.
    :param last_failed_s: time in seconds of the last failure.
    """

    endpoint: str
    pool: str
    failure_domain: str
    region: str
    address: str
    control_address: str = ""
    last_listed_s: float = float("-inf")
    last_listed_leaving_s: float = float("-inf")
    report: LoadReport | None = None
    last_heard_s: float = float("-inf")
    consecutive_reports: int = 0
    leaving_incarnation: str = ""
    past_incarnations: list[str] = attrs.field(factory=list)
    failures: int = 0
    last_failed_s: float = float("-inf")

    @property
    def incarnation(self) -> str:
        """Incarnation of the newest report; empty before the first."""
        return self.report.incarnation if self.report else ""


class Membership:
    """Tracks the liveness of endpoints by the instance list, reports and failures.

    The instance list lags behind, so it only adds endpoints; they become usable with
    their own reports. An endpoint that is leaving stays unusable until a new
    incarnation reports or, if only the list showed it as leaving, until the list has
    not done so for ``LEAVING_HOLD_S``.

    :param settings: settings of the entry.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self.failure_domain = settings.failure_domain
        self.region = settings.region
        self.subset_size = settings.subset
        self.seed = xxhash.xxh3_64_intdigest(settings.name.encode())
        self.suspect_s = settings.peers.suspect_s
        self.members: dict[str, Member] = {}
        self.members_by_pool: dict[str, dict[str, Member]] = {}
        self.reporting_by_pool: dict[str, dict[str, Member]] = {}
        self.ranked_by_pool: dict[str, list[Member]] = {}

    def observe_instances(
        self, now_s: float, instances: Iterable[Instance]
    ) -> list[str]:
        """Apply the instance list and return the names of removed endpoints.

        :param now_s: current time in seconds.
        :param instances: entries of the list.
        """
        for instance in instances:
            if instance.kind != "entry":
                self.observe_instance(now_s, instance)
        return self.remove_unseen(now_s)

    def observe_instance(self, now_s: float, instance: Instance) -> None:
        """Apply one entry of the instance list.

        :param now_s: current time in seconds.
        :param instance: list entry of an endpoint.
        """
        member = self.members.get(instance.name)
        if member is None:
            member = Member(
                instance.name,
                instance.pool,
                instance.failure_domain,
                instance.region,
                instance.address,
            )
            self.members[instance.name] = member
            self.add_to_pool(member)
        elif self.has_moved(member, instance):
            self.remove_from_pool(member)
            member.pool = instance.pool
            member.failure_domain = instance.failure_domain
            member.region = instance.region
            self.add_to_pool(member)
        member.address = instance.address
        member.control_address = instance.control_address
        member.last_listed_s = now_s
        if instance.state == "leaving":
            member.last_listed_leaving_s = now_s

    def has_moved(self, member: Member, instance: Instance) -> bool:
        """Return whether the list shows another pool, failure domain or region.

        :param member: the endpoint.
        :param instance: its entry in the instance list.
        """
        return (
            instance.pool != member.pool
            or instance.failure_domain != member.failure_domain
            or instance.region != member.region
        )

    def add_to_pool(self, member: Member) -> None:
        """Add a member to the indexes of its pool.

        :param member: the member.
        """
        self.members_by_pool.setdefault(member.pool, {})[member.endpoint] = member
        if member.report:
            self.reporting_by_pool.setdefault(member.pool, {})[member.endpoint] = member
        self.ranked_by_pool.pop(member.pool, None)

    def remove_from_pool(self, member: Member) -> None:
        """Remove a member from the indexes of its pool.

        :param member: the member.
        """
        members = self.members_by_pool[member.pool]
        del members[member.endpoint]
        if not members:
            del self.members_by_pool[member.pool]
        self.reporting_by_pool.get(member.pool, {}).pop(member.endpoint, None)
        self.ranked_by_pool.pop(member.pool, None)

    def remove_unseen(self, now_s: float) -> list[str]:
        """Remove and return endpoints not seen in a list or report for some time.

        :param now_s: current time in seconds.
        """
        seen_since_s = now_s - REMOVE_AFTER_S
        removed = [
            member
            for member in self.members.values()
            if max(member.last_listed_s, member.last_heard_s) < seen_since_s
        ]
        for member in removed:
            self.remove_member(member)
        return [member.endpoint for member in removed]

    def remove_member(self, member: Member) -> None:
        """Remove a member.

        :param member: the member.
        """
        del self.members[member.endpoint]
        self.remove_from_pool(member)

    def observe_report(self, now_s: float, report: LoadReport) -> bool:
        """Apply a load report, which is also a heartbeat.

        Return whether it is newer than the last one. An endpoint that has been silent
        becomes usable again after ``MIN_CONSECUTIVE_REPORTS`` reports, a new one after
        its first report.

        :param now_s: current time in seconds.
        :param report: the report.
        """
        member = self.members.get(report.endpoint)
        if member is None or report.incarnation in member.past_incarnations:
            return False
        previous = member.report
        if previous and previous.incarnation == report.incarnation:
            if report.sequence <= previous.sequence:
                return False
        elif previous:
            self.replace_incarnation(member)
        if now_s - member.last_heard_s > self.suspect_s:
            member.consecutive_reports = 0 if previous else MIN_CONSECUTIVE_REPORTS - 1
        member.consecutive_reports = min(
            member.consecutive_reports + 1, MIN_CONSECUTIVE_REPORTS
        )
        if not previous:
            self.reporting_by_pool.setdefault(member.pool, {})[member.endpoint] = member
        member.report = report
        member.last_heard_s = now_s
        member.address = report.address or member.address
        return True

    def replace_incarnation(self, member: Member) -> None:
        """Record that a member's sidecar was replaced by a new incarnation.

        :param member: the member.
        """
        member.past_incarnations.append(member.incarnation)
        del member.past_incarnations[:-MAX_PAST_INCARNATIONS]
        member.last_listed_leaving_s = float("-inf")
        member.failures = 0

    def observe_leaving(self, now_s: float, leaving: Leaving) -> None:
        """Record that an endpoint no longer accepts new requests.

        :param now_s: current time in seconds.
        :param leaving: the message.
        """
        member = self.members.get(leaving.endpoint)
        if member and leaving.incarnation not in member.past_incarnations:
            member.leaving_incarnation = leaving.incarnation

    def record_failure(self, now_s: float, endpoint: str) -> None:
        """Record that a request failed at an endpoint.

        :param now_s: current time in seconds.
        :param endpoint: endpoint name.
        """
        member = self.members.get(endpoint)
        if member:
            member.failures += 1
            member.last_failed_s = now_s

    def record_success(self, endpoint: str) -> None:
        """Record that an endpoint completed a request.

        :param endpoint: endpoint name.
        """
        member = self.members.get(endpoint)
        if member:
            member.failures = 0

    def record_response(self, now_s: float, endpoint: str) -> None:
        """Treat the first bytes of a response as a heartbeat of the sidecar.

        An endpoint that is already suspected still has to send reports.

        :param now_s: current time in seconds.
        :param endpoint: endpoint name.
        """
        member = self.members.get(endpoint)
        if member and now_s - member.last_heard_s <= self.suspect_s:
            member.last_heard_s = now_s

    def observe_pause(self, paused_s: float) -> None:
        """Record that this process was suspended for some time.

        Messages that arrived in the meantime have not been read yet, so the pause must
        not count as silence of the endpoints.

        :param paused_s: length of the pause in seconds.
        """
        for members in self.reporting_by_pool.values():
            for member in members.values():
                member.last_heard_s += paused_s

    def list_usable(self, now_s: float, pool: str) -> list[str]:
        """Return the endpoints of a pool that may get new requests.

        Endpoints that failed a request recently are returned only if there are no
        others.

        :param now_s: current time in seconds.
        :param pool: pool name.
        """
        reporting = self.reporting_by_pool.get(pool, {}).values()
        live = [member for member in reporting if self.is_live(now_s, member)]
        preferred = [m.endpoint for m in live if not self.is_backing_off(now_s, m)]
        return preferred or [m.endpoint for m in live]

    def is_live(self, now_s: float, member: Member) -> bool:
        """Return whether a member is live, reports regularly and is not leaving.

        :param now_s: current time in seconds.
        :param member: the member.
        """
        report = member.report
        return (
            report is not None
            and report.state == "live"
            and now_s - member.last_heard_s <= self.suspect_s
            and member.consecutive_reports >= MIN_CONSECUTIVE_REPORTS
            and not self.is_leaving(now_s, member)
        )

    def is_leaving(self, now_s: float, member: Member) -> bool:
        """Return whether a member is leaving, as it or the instance list announced.

        :param now_s: current time in seconds.
        :param member: the member.
        """
        if member.leaving_incarnation and member.leaving_incarnation == (
            member.incarnation or member.leaving_incarnation
        ):
            return True
        return now_s - member.last_listed_leaving_s < LEAVING_HOLD_S

    def is_backing_off(self, now_s: float, member: Member) -> bool:
        """Return whether a member is avoided because of recent failures.

        The time doubles with each consecutive failure, up to a limit.

        :param now_s: current time in seconds.
        :param member: the member.
        """
        if not member.failures:
            return False
        doublings = min(member.failures - 1, 10)
        backoff_s = min(FAILURE_BACKOFF_S * 2**doublings, MAX_FAILURE_BACKOFF_S)
        return now_s - member.last_failed_s < backoff_s

    def is_silent(self, now_s: float, endpoint: str) -> bool:
        """Return whether nothing has been received from an endpoint for too long.

        :param now_s: current time in seconds.
        :param endpoint: endpoint name.
        """
        member = self.members.get(endpoint)
        return member is None or now_s - member.last_heard_s > self.suspect_s

    def get_address(self, endpoint: str) -> str:
        """Return the request address of an endpoint's sidecar.

        :param endpoint: endpoint name.
        :raises KeyError: if the endpoint is not a member.
        """
        return self.members[endpoint].address

    def choose_subset(self, now_s: float) -> list[str]:
        """Return the endpoints of all pools to which the entry connects.

        The choice is stable: adding or removing one endpoint affects at most one
        other. Silent endpoints stay in the subset so that their return is noticed, and
        additional endpoints are chosen in their place, up to twice the normal size.

        :param now_s: current time in seconds.
        """
        chosen: list[str] = []
        for pool in sorted(self.members_by_pool):
            chosen.extend(self.choose_pool_subset(now_s, pool))
        return chosen

    def choose_pool_subset(self, now_s: float, pool: str) -> list[str]:
        """Return the endpoints of one pool to which the entry connects.

        :param now_s: current time in seconds.
        :param pool: pool name.
        """
        chosen: list[str] = []
        remaining = self.subset_size
        for member in self.rank_members(pool):
            if remaining <= 0 or len(chosen) >= 2 * self.subset_size:
                break
            chosen.append(member.endpoint)
            is_counted = member.report is None or self.is_live(now_s, member)
            remaining -= is_counted
        return chosen

    def rank_members(self, pool: str) -> list[Member]:
        """Return the members of a pool, sorted by rank.

        :param pool: pool name.
        """
        ranked = self.ranked_by_pool.get(pool)
        if ranked is None:
            ranked = sorted(
                self.members_by_pool.get(pool, {}).values(), key=self.compute_rank
            )
            self.ranked_by_pool[pool] = ranked
        return ranked

    def compute_rank(self, member: Member) -> tuple[bool, bool, int]:
        """Return the sort key of a member: own failure domain, own region, hash.

        The hash is seeded with the entry's name, so that entries choose different
        subsets.

        :param member: the member.
        """
        digest = xxhash.xxh3_64_intdigest(member.endpoint.encode(), self.seed)
        return (
            member.failure_domain != self.failure_domain,
            member.region != self.region,
            digest,
        )

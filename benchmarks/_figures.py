"""Figures at the size to design for, worked out from measured slopes."""

from collections.abc import Mapping

import attrs
from _bench import Slope
from _size import ASSUMED, LIMITS, PROPOSED, SIZE, TODAY, Plan

__all__ = ["Figure", "figures"]

DAY_S = 86_400.0
STREAM_SHARE = 1.0 / SIZE.entries
BYTES_TO_KB = 1e-3
BYTES_TO_MB = 1e-6
US = 1e-6


@attrs.frozen(kw_only=True)
class Figure:
    """One figure of the page.

    :param role: whose figure it is.
    :param quantity: what it counts.
    :param unit: its unit.
    :param today: value with today's settings.
    :param proposed: value with the proposed settings; the same if there is none.
    :param limit: most that it may be; infinite if nothing bounds it.
    :param carrier: mechanism that carries it.
    :param change: what closes the gap, if there is one.
    """

    role: str
    quantity: str
    unit: str
    today: float
    proposed: float
    limit: float
    carrier: str
    change: str = ""

    @property
    def is_gap(self) -> bool:
        """Whether today's value is above the limit."""
        return self.today > self.limit


class Sums:
    """Sums at the size for one plan.

    :param rows: measured slopes by name.
    :param plan: periods and subsets.
    """

    def __init__(self, rows: Mapping[str, Slope], plan: Plan) -> None:
        self.rows = rows
        self.plan = plan

    def slope(self, name: str) -> float:
        """Return the growth of a row.

        :param name: name of the row.
        """
        return self.rows[name].slope

    def at(self, name: str, size: float) -> float:
        """Return the quantity of a row at a size.

        :param name: name of the row.
        :param size: the size.
        """
        return self.rows[name].at(size)

    # Messages

    @property
    def report_bytes(self) -> float:
        """Bytes of a load report of an engine with one model."""
        return self.at("load report on the channel", 1)

    @property
    def reports_per_s(self) -> float:
        """Load reports that an entry receives a second."""
        return self.plan.subset / self.plan.report_s

    @property
    def engine_blocks_per_s(self) -> float:
        """Prefix blocks that an engine stores or evicts a second."""
        tokens = SIZE.kv_bytes_per_s / ASSUMED.kv_bytes_per_token
        return 2.0 * tokens / ASSUMED.block_tokens / SIZE.engines

    @property
    def links_per_engine(self) -> float:
        """Entries that an engine's sidecar reports to."""
        return self.plan.subset * SIZE.entries / SIZE.engines

    # The log

    @property
    def claims_per_s(self) -> float:
        """Claims a second of all services."""
        return SIZE.requests_per_s * ASSUMED.keyed_share

    @property
    def claim_appends_per_s(self) -> float:
        """Appends a second for claims and their outcomes."""
        return self.claims_per_s * self.slope("appends of a sidecar that claims")

    @property
    def change_appends_per_s(self) -> float:
        """Appends a second for configuration, registrations and grants."""
        grants = 2 * SIZE.engines * ASSUMED.role_changes_per_engine_day
        registrations = 2 * SIZE.restarts_per_day
        return (SIZE.changes_per_day + grants + registrations) / DAY_S

    @property
    def appends_per_s(self) -> float:
        """Appends a second on the stream that every process reads."""
        claims = 0.0 if self.plan.claims_apart else self.claim_appends_per_s
        return self.change_appends_per_s + claims

    @property
    def log_bytes_per_s(self) -> float:
        """Bytes a second on the stream that every process reads."""
        per_change = self.slope("snapshot on the log")
        claims = self.claims_per_s * self.slope(
            "bytes on the log of a sidecar that claims"
        )
        changes = self.change_appends_per_s * per_change
        return changes + (0.0 if self.plan.claims_apart else claims)

    @property
    def reads_per_s(self) -> float:
        """Reads of the log of one entry a second; each append ends a read."""
        ended = self.appends_per_s + 1.0
        if self.plan.read_floor_s:
            return min(ended, 1.0 / self.plan.read_floor_s)
        return ended

    @property
    def retained_records(self) -> float:
        """Records that the log keeps for a day."""
        return self.appends_per_s * DAY_S

    # An entry

    @property
    def entry_memory(self) -> float:
        """Bytes of an entry's memory, without its streams."""
        base = self.rows["resident memory of an entry with open streams"].intercept
        listed = SIZE.engines * self.plan.list_share
        return (
            base
            + self.slope("entry memory for the instance list") * listed
            + self.slope("entry memory for load reports") * self.plan.subset
            + self.slope("memory for the configuration") * SIZE.organisations
            + self.at("entry memory for the prefix index", 200_000)
        )

    @property
    def streams(self) -> float:
        """Open streams of an entry."""
        tokens = SIZE.tokens_per_s / SIZE.requests_per_s
        stream_s = tokens * ASSUMED.token_gap_s
        return SIZE.requests_per_s * STREAM_SHARE * stream_s

    @property
    def stream_memory(self) -> float:
        """Bytes of an entry's memory for its streams."""
        return (
            self.slope("resident memory of an entry with open streams") * self.streams
        )

    @property
    def channel_core(self) -> float:
        """Part of a core that control messages take at an entry."""
        messages = (
            self.reports_per_s
            + self.plan.subset / self.plan.hello_s
            + self.plan.subset / self.plan.demand_s
            + self.plan.subset * self.plan.feed_share * self.feeds_per_s
        )
        return messages * self.slope("processor time of an entry for control messages")

    @property
    def feeds_per_s(self) -> float:
        """Feeds of records on one channel a second."""
        return self.reads_per_s

    @property
    def decision_core(self) -> float:
        """Part of a core that routing takes at an entry."""
        pool = self.plan.subset / SIZE.models
        one = self.at("one routing decision and its bookkeeping", pool)
        usable = self.at("list of usable endpoints for one request", SIZE.engines)
        return SIZE.requests_per_s * STREAM_SHARE * (one + usable) * US

    @property
    def list_core(self) -> float:
        """Part of a core that membership takes at an entry."""
        listed = SIZE.engines * self.plan.list_share
        reading = self.at("one reading of the instance list", listed)
        subset = self.at("subset of the entry, each heartbeat", listed)
        return (reading / self.plan.list_s + subset / 0.5) * US

    @property
    def log_core(self) -> float:
        """Part of a core that reading and folding the log takes."""
        read_us = self.rows["one read of the log"].intercept
        fold = "one change of an organisation folded and put in force"
        fold_us = self.at(fold, SIZE.organisations)
        record_us = self.slope("one read of the log") + fold_us
        return (self.reads_per_s * read_us + self.appends_per_s * record_us) * US

    @property
    def entry_bytes(self) -> float:
        """Bytes of control a second at an entry, both ways."""
        plan = self.plan
        hello = self.slope("hello on the channel") / plan.hello_s
        demand = self.slope("demand on the channel") / plan.demand_s
        report = self.report_bytes / plan.report_s
        blocks = plan.block_share * self.engine_blocks_per_s
        events = blocks * self.slope("cache events on the channel")
        feed = plan.feed_share * self.log_bytes_per_s
        return plan.subset * (hello + demand + report + events + feed)

    @property
    def list_bytes(self) -> float:
        """Bytes a second of the instance list at an entry."""
        listed = SIZE.engines * self.plan.list_share
        return self.at("instance list answer", listed) / self.plan.list_s

    @property
    def relay_core(self) -> float:
        """Cores that relaying tokens takes at an entry."""
        tokens = SIZE.tokens_per_s * STREAM_SHARE
        return tokens * self.slope("processor time of an entry that relays") * US

    # A sidecar

    @property
    def sidecar_core(self) -> float:
        """Part of a core that control messages take at a sidecar."""
        per_link = (
            1 / self.plan.report_s + 1 / self.plan.hello_s + 1 / self.plan.demand_s
        )
        return (
            self.links_per_engine
            * per_link
            * self.slope("processor time of a sidecar for control messages")
        )

    @property
    def sidecar_bytes(self) -> float:
        """Bytes of control a second at a sidecar, both ways."""
        return self.entry_bytes / self.plan.subset * self.links_per_engine

    @property
    def sidecar_memory(self) -> float:
        """Bytes of a sidecar's memory, without its streams."""
        base = self.rows["resident memory of a sidecar with open streams"].intercept
        held = 0 if self.plan.claims_apart else SIZE.organisations
        return base + self.slope("memory for the configuration") * held

    # Starts and failures

    @property
    def start_read_s(self) -> float:
        """Processor seconds of a start that reads all that the log keeps."""
        fold = "one change of an organisation folded and put in force"
        record_us = self.slope("one read of the log") + self.at(
            fold, SIZE.organisations
        )
        snapshot_s = self.at(
            "processor time of a start from a snapshot", SIZE.organisations
        )
        return snapshot_s + self.retained_records * record_us * US

    @property
    def lost_domain_bytes(self) -> float:
        """Bytes a second at an entry in the 10 s after a failure domain is lost."""
        share = 1.0 / SIZE.failure_domains
        new_links = self.plan.subset * share
        each = self.slope("hello on the channel") + 2 * self.report_bytes
        return self.entry_bytes + new_links * each / 10.0


def figures(rows: Mapping[str, Slope]) -> list[Figure]:
    """Return all figures of the page.

    :param rows: measured slopes by name.
    """
    now, then = Sums(rows, TODAY), Sums(rows, PROPOSED)
    return [*entry(now, then), *sidecar(now, then), *platform(now, then)]


def entry(now: Sums, then: Sums) -> list[Figure]:
    """Return the figures of an entry.

    :param now: sums with today's settings.
    :param then: sums with the proposed ones.
    """
    role = "entry"
    return [
        Figure(
            role=role,
            quantity="memory without streams",
            unit="MB",
            today=now.entry_memory * BYTES_TO_MB,
            proposed=then.entry_memory * BYTES_TO_MB,
            limit=LIMITS.memory_bytes * BYTES_TO_MB,
            carrier="documents kept as text and rendered on demand; bounded prefix"
            " index",
        ),
        Figure(
            role=role,
            quantity="memory of its open streams",
            unit="MB",
            today=now.stream_memory * BYTES_TO_MB,
            proposed=then.stream_memory * BYTES_TO_MB,
            limit=float("inf"),
            carrier="one task and two connections a stream",
        ),
        Figure(
            role=role,
            quantity="control messages on its channels, processor",
            unit="% of a core",
            today=now.channel_core * 100,
            proposed=then.channel_core * 100,
            limit=LIMITS.core * 100,
            carrier="subset of each pool; one report carries the whole load",
            change="a subset of 6 a pool; load on the last frame of each answer, a"
            " report of its own only after 4 s without one; hello and demand in one"
            " message each 15 s; no feed of records to sidecars of engines",
        ),
        Figure(
            role=role,
            quantity="routing decisions, processor",
            unit="% of a core",
            today=now.decision_core * 100,
            proposed=then.decision_core * 100,
            limit=LIMITS.core * 100,
            carrier="a sample of the pool for each request",
        ),
        Figure(
            role=role,
            quantity="instance list and subset, processor",
            unit="% of a core",
            today=now.list_core * 100,
            proposed=then.list_core * 100,
            limit=LIMITS.core * 100,
            carrier="endpoints indexed by pool and kept in order",
        ),
        Figure(
            role=role,
            quantity="reading the log, processor",
            unit="% of a core",
            today=now.log_core * 100,
            proposed=then.log_core * 100,
            limit=LIMITS.core * 100,
            carrier="long poll; records in pages",
            change="claims on a stream of their own that only the sidecars of the"
            " pool read; at least 0.5 s between two reads",
        ),
        Figure(
            role=role,
            quantity="control messages on its channels",
            unit="KB/s",
            today=now.entry_bytes * BYTES_TO_KB,
            proposed=then.entry_bytes * BYTES_TO_KB,
            limit=LIMITS.bytes_per_s * BYTES_TO_KB,
            carrier="subset of each pool",
            change="as for the processor; cache events are not sent at all, the entry"
            " learns hits from the first frame of each answer",
        ),
        Figure(
            role=role,
            quantity="instance list",
            unit="KB/s",
            today=now.list_bytes * BYTES_TO_KB,
            proposed=then.list_bytes * BYTES_TO_KB,
            limit=LIMITS.bytes_per_s * BYTES_TO_KB,
            carrier="a read of the whole list each second",
            change="a read of the region's rows each 60 s; leaving and dead endpoints"
            " are known from their own messages and failed requests",
        ),
        Figure(
            role=role,
            quantity="relaying tokens, processor (not control)",
            unit="cores",
            today=now.relay_core,
            proposed=then.relay_core,
            limit=1.0,
            carrier="frames copied as they come",
            change="frames of one step in one write, or a second process an instance",
        ),
        Figure(
            role=role,
            quantity="control in the 10 s after a failure domain is lost",
            unit="KB/s",
            today=now.lost_domain_bytes * BYTES_TO_KB,
            proposed=then.lost_domain_bytes * BYTES_TO_KB,
            limit=LIMITS.bytes_per_s * BYTES_TO_KB,
            carrier="endpoints next in rank stand in for silent ones",
            change="as above; what the loss itself adds is small",
        ),
    ]


def sidecar(now: Sums, then: Sums) -> list[Figure]:
    """Return the figures of a sidecar.

    :param now: sums with today's settings.
    :param then: sums with the proposed ones.
    """
    role = "sidecar"
    return [
        Figure(
            role=role,
            quantity="entries that it reports to",
            unit="",
            today=now.links_per_engine,
            proposed=then.links_per_engine,
            limit=float("inf"),
            carrier="subset of each pool",
        ),
        Figure(
            role=role,
            quantity="memory without streams",
            unit="MB",
            today=now.sidecar_memory * BYTES_TO_MB,
            proposed=then.sidecar_memory * BYTES_TO_MB,
            limit=LIMITS.memory_bytes * BYTES_TO_MB,
            carrier="the fold holds documents as text",
        ),
        Figure(
            role=role,
            quantity="control messages, processor",
            unit="% of a core",
            today=now.sidecar_core * 100,
            proposed=then.sidecar_core * 100,
            limit=LIMITS.core * 100,
            carrier="one report to each entry that has it in its subset",
            change="the entry's smaller subset and longer periods",
        ),
        Figure(
            role=role,
            quantity="control messages",
            unit="KB/s",
            today=now.sidecar_bytes * BYTES_TO_KB,
            proposed=then.sidecar_bytes * BYTES_TO_KB,
            limit=LIMITS.bytes_per_s * BYTES_TO_KB,
            carrier="one report to each entry that has it in its subset",
            change="the entry's smaller subset and longer periods; records from one"
            " entry only",
        ),
    ]


def platform(now: Sums, then: Sums) -> list[Figure]:
    """Return the figures of the platform.

    :param now: sums with today's settings.
    :param then: sums with the proposed ones.
    """
    snapshot_s = now.at("processor time to write a snapshot", SIZE.organisations)
    snapshot_bytes = now.at("snapshot on the log", SIZE.organisations)
    return [
        Figure(
            role="log",
            quantity="appends for configuration, registrations and grants",
            unit="appends/s",
            today=now.change_appends_per_s,
            proposed=then.change_appends_per_s,
            limit=LIMITS.appends_per_s,
            carrier="a grant for each change, none in between",
        ),
        Figure(
            role="log",
            quantity="appends for claims and outcomes",
            unit="appends/s",
            today=now.claim_appends_per_s,
            proposed=then.claim_appends_per_s,
            limit=LIMITS.appends_per_s,
            carrier="group commit of each sidecar",
        ),
        Figure(
            role="log",
            quantity="keyed requests at which the budget is spent",
            unit="% of all",
            today=keyed_share(now) * 100,
            proposed=keyed_share(then) * 100,
            limit=float("inf"),
            carrier="group commit of each sidecar",
        ),
        Figure(
            role="log",
            quantity="reads of all entries",
            unit="reads/s",
            today=now.reads_per_s * SIZE.entries,
            proposed=then.reads_per_s * SIZE.entries,
            limit=float("inf"),
            carrier="sidecars are fed by entries and do not poll",
        ),
        Figure(
            role="log",
            quantity="snapshot of all organisations",
            unit="MB",
            today=snapshot_bytes * BYTES_TO_MB,
            proposed=snapshot_bytes * BYTES_TO_MB,
            limit=float("inf"),
            carrier="chunks of 256 KB, one writer after a jittered wait",
        ),
        Figure(
            role="any process",
            quantity="processor to write a snapshot",
            unit="s",
            today=snapshot_s,
            proposed=snapshot_s,
            limit=float("inf"),
            carrier="chunks cut in one go",
        ),
        Figure(
            role="any process",
            quantity="start that reads all that the log keeps, processor",
            unit="s",
            today=now.start_read_s,
            proposed=then.start_read_s,
            limit=60.0,
            carrier="read from the oldest record until a snapshot is whole",
            change="claims on streams of their own with a shorter retention",
        ),
    ]


def keyed_share(sums: Sums) -> float:
    """Return the part of the requests whose claims spend the log's budget.

    :param sums: sums for a plan.
    """
    left = LIMITS.appends_per_s - sums.change_appends_per_s
    claims = left / sums.slope("appends of a sidecar that claims")
    return claims / SIZE.requests_per_s

"""Sums at the size to design for, worked out from measured slopes."""

from collections.abc import Mapping

from _bench import Slope
from _size import ASSUMED, LIMITS, SIZE, Plan

__all__ = ["Sums"]

DAY_S = 86_400.0
STREAM_SHARE = 1.0 / SIZE.entries
INDEX_BLOCKS = 200_000
US = 1e-6


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
    def feed_bytes_per_s(self) -> float:
        """Bytes a second of the main stream's records on one channel."""
        changes = self.change_appends_per_s * self.slope("snapshot on the log")
        return self.plan.feed_share * changes

    @property
    def feeds_per_s(self) -> float:
        """Feeds of records on one channel a second."""
        return self.plan.feed_share * min(self.reads_per_s, self.change_appends_per_s)

    @property
    def reads_per_s(self) -> float:
        """Reads of the main stream by one entry a second; an append ends a read."""
        ended = self.change_appends_per_s + 1.0
        if self.plan.read_floor_s:
            return min(ended, 1.0 / self.plan.read_floor_s)
        return ended

    @property
    def retained_records(self) -> float:
        """Records of the main stream that the log keeps for a day."""
        return self.change_appends_per_s * DAY_S

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
            + self.at("entry memory for the prefix index", INDEX_BLOCKS)
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
            + self.plan.subset * self.feeds_per_s
        )
        return messages * self.slope("processor time of an entry for control messages")

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
        return (self.reads_per_s * read_us + self.change_appends_per_s * record_us) * US

    @property
    def entry_bytes(self) -> float:
        """Bytes of control a second at an entry, both ways."""
        plan = self.plan
        hello = self.slope("hello on the channel") / plan.hello_s
        demand = self.slope("demand on the channel") / plan.demand_s
        report = self.report_bytes / plan.report_s
        blocks = plan.block_share * self.engine_blocks_per_s
        events = blocks * self.slope("cache events on the channel")
        feed = self.feed_bytes_per_s
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
        held = SIZE.organisations if self.plan.feed_share else 0
        return base + self.slope("memory for the configuration") * held

    @property
    def claim_core(self) -> float:
        """Part of a core that a claim a second takes at each sidecar of its pool."""
        appends = self.slope("appends of a sidecar that claims")
        read_us = self.rows["one read of the log"].intercept
        claim_us = self.slope("processor time of a sidecar that claims")
        return (appends * read_us + claim_us) * US

    @property
    def pool_claims_by_core(self) -> float:
        """Claims a second of a pool at which its sidecars spend their core share."""
        return LIMITS.core / self.claim_core

    @property
    def pool_claims_by_bytes(self) -> float:
        """Claims a second of a pool at which its sidecars spend their bytes."""
        each = self.slope("bytes on the log of a sidecar that claims")
        return LIMITS.bytes_per_s / each

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

    @property
    def keyed_share(self) -> float:
        """Part of the requests whose claims spend the log's budget."""
        left = LIMITS.appends_per_s - self.change_appends_per_s
        claims = left / self.slope("appends of a sidecar that claims")
        return claims / SIZE.requests_per_s

    @property
    def snapshot_bytes(self) -> float:
        """Bytes of a snapshot of all organisations."""
        return self.at("snapshot on the log", SIZE.organisations)

    @property
    def snapshot_s(self) -> float:
        """Processor seconds to write a snapshot of all organisations."""
        return self.at("processor time to write a snapshot", SIZE.organisations)

    # Failure domains and regions

    @property
    def pool_per_region(self) -> float:
        """Engines of one pool in one region."""
        return SIZE.engines / SIZE.models / SIZE.regions

    @property
    def foreign_share(self) -> float:
        """Part of an entry's subset that is in other regions."""
        pool = self.plan.subset / SIZE.models
        return max(0.0, pool - self.pool_per_region) / pool

    @property
    def resumed_streams(self) -> float:
        """Streams that each entry left resumes when a failure domain is lost."""
        all_streams = self.streams * SIZE.entries
        left = SIZE.entries * (1.0 - 1.0 / SIZE.failure_domains)
        return all_streams / SIZE.failure_domains / left

    @property
    def restart_bytes(self) -> float:
        """Bytes that the log sends to the processes of a failure domain's return."""
        share = 1.0 / SIZE.failure_domains
        learners = SIZE.entries * share
        if self.plan.feed_share:
            learners += SIZE.engines * share
        return learners * self.snapshot_bytes

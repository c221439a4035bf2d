"""Sums at the size to design for, worked out from measured slopes."""

from collections.abc import Mapping

from _bench import LinearFit
from _design_size import ASSUMPTIONS, LIMITS, SIZE, ControlSettings

__all__ = ["CapacityModel"]

DAY_S = 86_400.0
ENTRY_SHARE = 1.0 / SIZE.entries
PREFIX_INDEX_BLOCKS = 200_000
S_PER_US = 1e-6


class CapacityModel:
    """Sums at the size for one plan.

    :param fits: measured slopes by name.
    :param settings: periods and subsets.
    """

    def __init__(
        self, fits: Mapping[str, LinearFit], settings: ControlSettings
    ) -> None:
        self.fits = fits
        self.settings = settings

    def get_slope(self, name: str) -> float:
        """Return the growth of a row.

        :param name: name of the row.
        """
        return self.fits[name].slope

    def predict(self, name: str, size: float) -> float:
        """Return the quantity of a row at a size.

        :param name: name of the row.
        :param size: the size.
        """
        return self.fits[name].predict(size)

    # Messages

    @property
    def report_bytes(self) -> float:
        """Bytes of a load report of an engine with one model."""
        return self.predict("load report on the channel", 1)

    @property
    def reports_per_s(self) -> float:
        """Load reports that an entry receives a second."""
        return self.settings.subset / self.settings.report_s

    @property
    def engine_blocks_per_s(self) -> float:
        """Prefix blocks that an engine stores or evicts a second."""
        tokens_per_s = SIZE.kv_bytes_per_s / ASSUMPTIONS.kv_bytes_per_token
        return 2.0 * tokens_per_s / ASSUMPTIONS.block_tokens / SIZE.engines

    @property
    def entries_per_engine(self) -> float:
        """Entries that an engine's sidecar reports to."""
        return self.settings.subset * SIZE.entries / SIZE.engines

    # The log

    @property
    def claims_per_s(self) -> float:
        """Claims a second of all services."""
        return SIZE.requests_per_s * ASSUMPTIONS.keyed_share

    @property
    def claim_appends_per_s(self) -> float:
        """Appends a second for claims and their outcomes."""
        return self.claims_per_s * self.get_slope("appends of a sidecar that claims")

    @property
    def change_appends_per_s(self) -> float:
        """Appends a second for configuration, registrations and grants."""
        grants = 2 * SIZE.engines * ASSUMPTIONS.role_changes_per_engine_day
        registrations = 2 * SIZE.restarts_per_day
        return (SIZE.changes_per_day + grants + registrations) / DAY_S

    @property
    def feed_bytes_per_s(self) -> float:
        """Bytes a second of the main stream's records on one channel."""
        change_bytes_per_s = self.change_appends_per_s * self.get_slope(
            "snapshot on the log"
        )
        return self.settings.feed_share * change_bytes_per_s

    @property
    def feeds_per_s(self) -> float:
        """Feeds of records on one channel a second."""
        return self.settings.feed_share * min(
            self.reads_per_s, self.change_appends_per_s
        )

    @property
    def reads_per_s(self) -> float:
        """Reads of the main stream by one entry a second; an append ends a read."""
        max_reads_per_s = self.change_appends_per_s + 1.0
        if self.settings.min_read_gap_s:
            return min(max_reads_per_s, 1.0 / self.settings.min_read_gap_s)
        return max_reads_per_s

    @property
    def retained_records(self) -> float:
        """Records of the main stream that the log keeps for a day."""
        return self.change_appends_per_s * DAY_S

    # An entry

    @property
    def entry_memory_bytes(self) -> float:
        """Bytes of an entry's memory, without its streams."""
        base_bytes = self.fits[
            "resident memory of an entry with open streams"
        ].intercept
        listed_endpoints = SIZE.engines * self.settings.list_share
        return (
            base_bytes
            + self.get_slope("entry memory for the instance list") * listed_endpoints
            + self.get_slope("entry memory for load reports") * self.settings.subset
            + self.get_slope("memory for the configuration") * SIZE.organisations
            + self.predict("entry memory for the prefix index", PREFIX_INDEX_BLOCKS)
        )

    @property
    def open_streams(self) -> float:
        """Open streams of an entry."""
        output_tokens = SIZE.tokens_per_s / SIZE.requests_per_s
        stream_s = output_tokens * ASSUMPTIONS.token_gap_s
        return SIZE.requests_per_s * ENTRY_SHARE * stream_s

    @property
    def stream_memory_bytes(self) -> float:
        """Bytes of an entry's memory for its streams."""
        return (
            self.get_slope("resident memory of an entry with open streams")
            * self.open_streams
        )

    @property
    def channel_cores(self) -> float:
        """Part of a core that control messages take at an entry."""
        messages_per_s = (
            self.reports_per_s
            + self.settings.subset / self.settings.hello_s
            + self.settings.subset / self.settings.demand_s
            + self.settings.subset * self.feeds_per_s
        )
        return messages_per_s * self.get_slope(
            "processor time of an entry for control messages"
        )

    @property
    def routing_cores(self) -> float:
        """Part of a core that routing takes at an entry."""
        pool_endpoints = self.settings.subset / SIZE.models
        decision_us = self.predict(
            "one routing decision and its bookkeeping", pool_endpoints
        )
        usable_us = self.predict(
            "list of usable endpoints for one request", SIZE.engines
        )
        return SIZE.requests_per_s * ENTRY_SHARE * (decision_us + usable_us) * S_PER_US

    @property
    def instance_list_cores(self) -> float:
        """Part of a core that membership takes at an entry."""
        listed_endpoints = SIZE.engines * self.settings.list_share
        read_us = self.predict("one reading of the instance list", listed_endpoints)
        subset_us = self.predict(
            "subset of the entry, each heartbeat", listed_endpoints
        )
        return (read_us / self.settings.list_s + subset_us / 0.5) * S_PER_US

    @property
    def log_cores(self) -> float:
        """Part of a core that reading and folding the log takes."""
        read_us = self.fits["one read of the log"].intercept
        change_row = "one change of an organisation folded and put in force"
        apply_us = self.predict(change_row, SIZE.organisations)
        record_us = self.get_slope("one read of the log") + apply_us
        return (
            self.reads_per_s * read_us + self.change_appends_per_s * record_us
        ) * S_PER_US

    @property
    def entry_bytes_per_s(self) -> float:
        """Bytes of control a second at an entry, both ways."""
        settings = self.settings
        hello = self.get_slope("hello on the channel") / settings.hello_s
        demand = self.get_slope("demand on the channel") / settings.demand_s
        report = self.report_bytes / settings.report_s
        blocks = settings.block_share * self.engine_blocks_per_s
        events = blocks * self.get_slope("cache events on the channel")
        feed = self.feed_bytes_per_s
        return settings.subset * (hello + demand + report + events + feed)

    @property
    def instance_list_bytes_per_s(self) -> float:
        """Bytes a second of the instance list at an entry."""
        listed_endpoints = SIZE.engines * self.settings.list_share
        return (
            self.predict("instance list answer", listed_endpoints)
            / self.settings.list_s
        )

    @property
    def relay_cores(self) -> float:
        """Cores that relaying tokens takes at an entry."""
        tokens_per_s = SIZE.tokens_per_s * ENTRY_SHARE
        return (
            tokens_per_s
            * self.get_slope("processor time of an entry that relays")
            * S_PER_US
        )

    # A sidecar

    @property
    def sidecar_cores(self) -> float:
        """Part of a core that control messages take at a sidecar."""
        messages_per_entry = (
            1 / self.settings.report_s
            + 1 / self.settings.hello_s
            + 1 / self.settings.demand_s
        )
        return (
            self.entries_per_engine
            * messages_per_entry
            * self.get_slope("processor time of a sidecar for control messages")
        )

    @property
    def sidecar_bytes_per_s(self) -> float:
        """Bytes of control a second at a sidecar, both ways."""
        return self.entry_bytes_per_s / self.settings.subset * self.entries_per_engine

    @property
    def sidecar_memory_bytes(self) -> float:
        """Bytes of a sidecar's memory, without its streams."""
        base_bytes = self.fits[
            "resident memory of a sidecar with open streams"
        ].intercept
        stored_organisations = SIZE.organisations if self.settings.feed_share else 0
        return (
            base_bytes
            + self.get_slope("memory for the configuration") * stored_organisations
        )

    @property
    def claim_cores(self) -> float:
        """Part of a core that a claim a second takes at each sidecar of its pool."""
        appends = self.get_slope("appends of a sidecar that claims")
        read_us = self.fits["one read of the log"].intercept
        claim_us = self.get_slope("processor time of a sidecar that claims")
        return (appends * read_us + claim_us) * S_PER_US

    @property
    def max_pool_claims_by_cpu(self) -> float:
        """Claims a second of a pool at which its sidecars spend their core share."""
        return LIMITS.cores / self.claim_cores

    @property
    def max_pool_claims_by_bytes(self) -> float:
        """Claims a second of a pool at which its sidecars spend their bytes."""
        claim_bytes = self.get_slope("bytes on the log of a sidecar that claims")
        return LIMITS.bytes_per_s / claim_bytes

    # Starts and failures

    @property
    def full_read_cpu_s(self) -> float:
        """Processor seconds of a start that reads all that the log keeps."""
        change_row = "one change of an organisation folded and put in force"
        record_us = self.get_slope("one read of the log") + self.predict(
            change_row, SIZE.organisations
        )
        snapshot_cpu_s = self.predict(
            "processor time of a start from a snapshot", SIZE.organisations
        )
        return snapshot_cpu_s + self.retained_records * record_us * S_PER_US

    @property
    def domain_loss_bytes_per_s(self) -> float:
        """Bytes a second at an entry in the 10 s after a failure domain is lost."""
        domain_share = 1.0 / SIZE.failure_domains
        new_connections = self.settings.subset * domain_share
        connection_bytes = (
            self.get_slope("hello on the channel") + 2 * self.report_bytes
        )
        return self.entry_bytes_per_s + new_connections * connection_bytes / 10.0

    @property
    def max_keyed_share(self) -> float:
        """Part of the requests whose claims spend the log's budget."""
        claim_appends_per_s = LIMITS.appends_per_s - self.change_appends_per_s
        claims_per_s = claim_appends_per_s / self.get_slope(
            "appends of a sidecar that claims"
        )
        return claims_per_s / SIZE.requests_per_s

    @property
    def snapshot_bytes(self) -> float:
        """Bytes of a snapshot of all organisations."""
        return self.predict("snapshot on the log", SIZE.organisations)

    @property
    def snapshot_cpu_s(self) -> float:
        """Processor seconds to write a snapshot of all organisations."""
        return self.predict("processor time to write a snapshot", SIZE.organisations)

    # Failure domains and regions

    @property
    def pool_engines_per_region(self) -> float:
        """Engines of one pool in one region."""
        return SIZE.engines / SIZE.models / SIZE.regions

    @property
    def remote_region_share(self) -> float:
        """Part of an entry's subset that is in other regions."""
        pool_endpoints = self.settings.subset / SIZE.models
        return max(0.0, pool_endpoints - self.pool_engines_per_region) / pool_endpoints

    @property
    def resumed_streams_per_entry(self) -> float:
        """Streams that each entry left resumes when a failure domain is lost."""
        all_streams = self.open_streams * SIZE.entries
        remaining_entries = SIZE.entries * (1.0 - 1.0 / SIZE.failure_domains)
        return all_streams / SIZE.failure_domains / remaining_entries

    @property
    def domain_recovery_bytes(self) -> float:
        """Bytes that the log sends to the processes of a failure domain's return."""
        domain_share = 1.0 / SIZE.failure_domains
        readers = SIZE.entries * domain_share
        if self.settings.feed_share:
            readers += SIZE.engines * domain_share
        return readers * self.snapshot_bytes

"""Capacity model: resource use at the design size, derived from benchmark results."""

from collections.abc import Mapping

from _bench import LinearFit
from _design_size import ASSUMPTIONS, LIMITS, SIZE, ControlSettings

__all__ = ["CapacityModel"]

DAY_S = 86_400.0
ENTRY_SHARE = 1.0 / SIZE.entries
PREFIX_INDEX_BLOCKS = 200_000
S_PER_US = 1e-6


class CapacityModel:
    """Resource use at the design size with one set of control settings.

    :param fits: fitted lines by name of the quantity.
    :param settings: message intervals and subset sizes.
    """

    def __init__(
        self, fits: Mapping[str, LinearFit], settings: ControlSettings
    ) -> None:
        self.fits = fits
        self.settings = settings

    def get_slope(self, name: str) -> float:
        """Return the slope of a fitted line.

        :param name: name of the quantity.
        """
        return self.fits[name].slope

    def predict(self, name: str, size: float) -> float:
        """Return the value that a fitted line predicts for a size.

        :param name: name of the quantity.
        :param size: size in the unit of the fitted line.
        """
        return self.fits[name].predict(size)

    # Messages

    @property
    def report_bytes(self) -> float:
        """Size in bytes of the load report of an engine with one model."""
        return self.predict("load report on the channel", 1)

    @property
    def reports_per_s(self) -> float:
        """Load reports that an entry receives per second."""
        return self.settings.subset / self.settings.report_s

    @property
    def engine_blocks_per_s(self) -> float:
        """Prefix blocks that an engine stores or evicts per second."""
        tokens_per_s = SIZE.kv_bytes_per_s / ASSUMPTIONS.kv_bytes_per_token
        return 2.0 * tokens_per_s / ASSUMPTIONS.block_tokens / SIZE.engines

    @property
    def entries_per_engine(self) -> float:
        """Number of entries that the sidecar of an engine reports to."""
        return self.settings.subset * SIZE.entries / SIZE.engines

    # The log

    @property
    def claims_per_s(self) -> float:
        """Claims per second over all services."""
        return SIZE.requests_per_s * ASSUMPTIONS.keyed_share

    @property
    def claim_appends_per_s(self) -> float:
        """Appends per second for claims and their outcomes."""
        return self.claims_per_s * self.get_slope("appends of a sidecar that claims")

    @property
    def change_appends_per_s(self) -> float:
        """Appends per second for configuration, registrations and grants."""
        # Each role change appends a grant and its outcome.
        grants = 2 * SIZE.engines * ASSUMPTIONS.role_changes_per_engine_day
        registrations = 2 * SIZE.restarts_per_day
        return (SIZE.changes_per_day + grants + registrations) / DAY_S

    @property
    def feed_bytes_per_s(self) -> float:
        """Bytes per second of records of the main stream sent on one channel."""
        change_bytes_per_s = self.change_appends_per_s * self.get_slope(
            "snapshot on the log"
        )
        return self.settings.feed_share * change_bytes_per_s

    @property
    def feeds_per_s(self) -> float:
        """Messages with records of the main stream sent on one channel per second."""
        return self.settings.feed_share * min(
            self.reads_per_s, self.change_appends_per_s
        )

    @property
    def reads_per_s(self) -> float:
        """Reads of the main stream by one entry per second.

        A long poll ends with an append, or after 1 s without one.
        """
        max_reads_per_s = self.change_appends_per_s + 1.0
        if self.settings.min_read_gap_s:
            return min(max_reads_per_s, 1.0 / self.settings.min_read_gap_s)
        return max_reads_per_s

    @property
    def retained_records(self) -> float:
        """Records of the main stream on the log at a retention of one day."""
        return self.change_appends_per_s * DAY_S

    # An entry

    @property
    def entry_memory_bytes(self) -> float:
        """Memory of an entry in bytes, without its open streams."""
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
        """Number of open streams of an entry."""
        output_tokens = SIZE.tokens_per_s / SIZE.requests_per_s
        stream_s = output_tokens * ASSUMPTIONS.token_gap_s
        return SIZE.requests_per_s * ENTRY_SHARE * stream_s

    @property
    def stream_memory_bytes(self) -> float:
        """Memory of an entry for its open streams in bytes."""
        return (
            self.get_slope("resident memory of an entry with open streams")
            * self.open_streams
        )

    @property
    def channel_cores(self) -> float:
        """CPU cores that an entry spends on control messages."""
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
        """CPU cores that an entry spends on routing."""
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
        """CPU cores that an entry spends on the instance list and its subset."""
        listed_endpoints = SIZE.engines * self.settings.list_share
        read_us = self.predict("one reading of the instance list", listed_endpoints)
        subset_us = self.predict(
            "subset of the entry, each heartbeat", listed_endpoints
        )
        # The subset is chosen at each heartbeat, by default every 0.5 s.
        return (read_us / self.settings.list_s + subset_us / 0.5) * S_PER_US

    @property
    def log_cores(self) -> float:
        """CPU cores that an entry spends on reading and applying log records."""
        read_us = self.fits["one read of the log"].intercept
        fit_name = "one change of an organisation folded and put in force"
        apply_us = self.predict(fit_name, SIZE.organisations)
        record_us = self.get_slope("one read of the log") + apply_us
        return (
            self.reads_per_s * read_us + self.change_appends_per_s * record_us
        ) * S_PER_US

    @property
    def entry_bytes_per_s(self) -> float:
        """Bytes per second of control messages that an entry sends and receives."""
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
        """Bytes per second of the instance list that an entry reads."""
        listed_endpoints = SIZE.engines * self.settings.list_share
        return (
            self.predict("instance list answer", listed_endpoints)
            / self.settings.list_s
        )

    @property
    def relay_cores(self) -> float:
        """CPU cores that an entry spends on relaying tokens."""
        tokens_per_s = SIZE.tokens_per_s * ENTRY_SHARE
        return (
            tokens_per_s
            * self.get_slope("processor time of an entry that relays")
            * S_PER_US
        )

    # A sidecar

    @property
    def sidecar_cores(self) -> float:
        """CPU cores that a sidecar spends on control messages."""
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
        """Bytes per second of control messages that a sidecar sends and receives."""
        return self.entry_bytes_per_s / self.settings.subset * self.entries_per_engine

    @property
    def sidecar_memory_bytes(self) -> float:
        """Memory of a sidecar in bytes, without its open streams."""
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
        """CPU cores that each sidecar of a pool spends for one claim per second."""
        appends = self.get_slope("appends of a sidecar that claims")
        read_us = self.fits["one read of the log"].intercept
        claim_us = self.get_slope("processor time of a sidecar that claims")
        return (appends * read_us + claim_us) * S_PER_US

    @property
    def max_pool_claims_by_cpu(self) -> float:
        """Claims per second of a pool at which its sidecars reach their CPU limit."""
        return LIMITS.cores / self.claim_cores

    @property
    def max_pool_claims_by_bytes(self) -> float:
        """Claims per second of a pool at which its sidecars reach their byte limit."""
        claim_bytes = self.get_slope("bytes on the log of a sidecar that claims")
        return LIMITS.bytes_per_s / claim_bytes

    # Starts and failures

    @property
    def full_read_cpu_s(self) -> float:
        """CPU seconds of a start that reads all records that the log retains."""
        fit_name = "one change of an organisation folded and put in force"
        record_us = self.get_slope("one read of the log") + self.predict(
            fit_name, SIZE.organisations
        )
        snapshot_cpu_s = self.predict(
            "processor time of a start from a snapshot", SIZE.organisations
        )
        return snapshot_cpu_s + self.retained_records * record_us * S_PER_US

    @property
    def domain_loss_bytes_per_s(self) -> float:
        """Bytes per second at an entry in the 10 s after a failure domain is lost."""
        domain_share = 1.0 / SIZE.failure_domains
        new_connections = self.settings.subset * domain_share
        connection_bytes = (
            self.get_slope("hello on the channel") + 2 * self.report_bytes
        )
        return self.entry_bytes_per_s + new_connections * connection_bytes / 10.0

    @property
    def max_keyed_share(self) -> float:
        """Fraction of the requests whose claims use up the append budget of the log."""
        claim_appends_per_s = LIMITS.appends_per_s - self.change_appends_per_s
        claims_per_s = claim_appends_per_s / self.get_slope(
            "appends of a sidecar that claims"
        )
        return claims_per_s / SIZE.requests_per_s

    @property
    def snapshot_bytes(self) -> float:
        """Size in bytes of a snapshot of all organisations."""
        return self.predict("snapshot on the log", SIZE.organisations)

    @property
    def snapshot_cpu_s(self) -> float:
        """CPU seconds to write a snapshot of all organisations."""
        return self.predict("processor time to write a snapshot", SIZE.organisations)

    # Failure domains and regions

    @property
    def pool_engines_per_region(self) -> float:
        """Number of engines of one pool in one region."""
        return SIZE.engines / SIZE.models / SIZE.regions

    @property
    def remote_region_share(self) -> float:
        """Fraction of an entry's subset that is in other regions."""
        pool_endpoints = self.settings.subset / SIZE.models
        return max(0.0, pool_endpoints - self.pool_engines_per_region) / pool_endpoints

    @property
    def resumed_streams_per_entry(self) -> float:
        """Streams that each remaining entry resumes when a failure domain is lost."""
        all_streams = self.open_streams * SIZE.entries
        remaining_entries = SIZE.entries * (1.0 - 1.0 / SIZE.failure_domains)
        return all_streams / SIZE.failure_domains / remaining_entries

    @property
    def domain_recovery_bytes(self) -> float:
        """Snapshot bytes that the log sends when a failure domain comes back."""
        domain_share = 1.0 / SIZE.failure_domains
        readers = SIZE.entries * domain_share
        if self.settings.feed_share:
            readers += SIZE.engines * domain_share
        return readers * self.snapshot_bytes

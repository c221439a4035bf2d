"""Followers of the store's keyed topics, such as configuration and registry."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import TypeVar

from jasminewalk.exceptions import BadConfigurationError, LogUnavailableError
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.fleet import Fleet, FleetEvent
from jasminewalk.gateway.peers import UNKNOWN_ERA, TopicProgress
from jasminewalk.platform.configuration import (
    ConfigurationDecoder,
    ServingConfiguration,
    decode_version,
    replace_keys,
)
from jasminewalk.platform.store import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    REGISTRY_TOPIC,
    RecordsGoneError,
    RecordsPage,
    StoreClient,
)

__all__ = ["ConfigurationFollower", "RegistryFollower", "TopicFollower"]

# Seconds between calls while the store fails, doubled from the minimum to the maximum.
MIN_RETRY_S, MAX_RETRY_S = 0.1, 0.4
# Maximum age in seconds of the last read by any gateway. Within 2 s all gateways must
# apply a new configuration and stop sending requests to an engine that leaves.
CONFIGURATION_READ_INTERVAL_S = 0.6
REGISTRY_READ_INTERVAL_S = 0.5
# Maximum random delay of a read in seconds, so that usually one gateway reads and
# announces the result to its peers.
READ_JITTER_S = 0.4
# Maximum random delay in seconds of the first read in a new era of the store, which all
# gateways make.
NEW_ERA_JITTER_S = 0.3
# Seconds between two checks whether a read is due.
POLL_INTERVAL_S = 0.05
# Records behind the end of the topic from which the newest record of each key is read
# instead of all records. A configuration supersedes the ones before it.
MAX_CONFIGURATIONS_BEHIND = 1
MAX_RECORDS_BEHIND = 1000
# Consecutive failed reads that are each logged; of the later ones, one in as many is.
MAX_LOGGED_FAILURES = 10
# Duration in seconds from which a read is logged even if nothing changed.
SLOW_READ_S = 0.3


Decoded = TypeVar("Decoded")


class TopicFollower:
    """Follows one keyed topic, starting with the newest record of each key.

    :param topic: the topic.
    :param store: the metadata store.
    :param log: decision log.
    :param clock: returns the monotonic time in seconds.
    :param read_interval_s: maximum age in seconds of the last read by this gateway or
        a peer.
    :param max_records_behind: maximum number of unread records that are read one after
        another; with more, only the newest record of each key is read.
    """

    def __init__(
        self,
        topic: str,
        store: StoreClient,
        log: DecisionLog,
        clock: Callable[[], float],
        read_interval_s: float,
        max_records_behind: int = MAX_RECORDS_BEHIND,
    ) -> None:
        self.topic = topic
        self.store = store
        self.log = log
        self.clock = clock
        self.read_interval_s = read_interval_s
        self.max_records_behind = max_records_behind
        self.offset: int | None = None
        self.end_offset = 0
        self.failing_since: float | None = None
        self.failed_reads = 0
        self.on_recovery: Callable[[float], None] = lambda unread_s: None
        self.read_at = float("-inf")
        self.peer_read_at = float("-inf")
        self.changed_offset = 0
        self.peer_changed_offset = 0
        self.not_before = float("-inf")
        self.on_read: Callable[[], None] = lambda: None
        self.reading = asyncio.Lock()

    async def run(self) -> None:
        """Read the topic whenever that is due, until cancelled."""
        retry_s = MIN_RETRY_S
        while True:
            try:
                await self.read_once()
            except (LogUnavailableError, OSError, TimeoutError) as error:
                self._record_failure(error)
                await asyncio.sleep(retry_s * random.uniform(0.8, 1.2))
                retry_s = min(MAX_RETRY_S, 2 * retry_s)
                continue
            retry_s = MIN_RETRY_S
            self.on_read()
            await self._wait_until_due()

    async def read_once(self) -> None:
        """Read once and apply the records.

        :raises LogUnavailableError: if the store does not answer as expected.
        """
        # Pages that are applied out of order would bring back what has changed.
        async with self.reading:
            await self._read()

    async def read_since(self, asked_at: float) -> None:
        """Have read all that the store had at a time.

        :param asked_at: the monotonic time in seconds.
        :raises LogUnavailableError: if the store does not answer as expected.
        """
        async with self.reading:
            while self.read_at < asked_at or self._records_behind:
                await self._read()

    async def _read(self) -> None:
        started_at = self.clock()
        former_at, page = self.read_at, None
        if self.offset is not None and self._records_behind <= self.max_records_behind:
            page = await self._read_changes(self.offset)
        apply_page = self.apply_changes
        if page is None:
            page = await self.store.read_newest(self.topic)
            apply_page = self.apply_snapshot
        fetched_at = self.clock()
        self._record_success(started_at)
        changed = apply_page(page)
        self.offset, self.end_offset = page.next_offset, page.end
        if changed:
            self.changed_offset = page.next_offset
        self._forget_missing_offsets(page.end)
        self._log_read(
            page, fetched_at - started_at, self.clock() - fetched_at, changed, former_at
        )
        for detail in page.unreadable:
            self.log.warning("record_unreadable", topic=self.topic, detail=detail)

    def _forget_missing_offsets(self, end: int) -> None:
        # A store that was restored from a copy may have lost records. Peers that still
        # announce them would otherwise cause one read after another.
        self.changed_offset = min(self.changed_offset, end)
        self.peer_changed_offset = min(self.peer_changed_offset, end)

    async def _read_changes(self, offset: int) -> RecordsPage | None:
        """Read the records from an offset on; return None if they can't be had."""
        try:
            page = await self.store.read_from(self.topic, offset)
        except RecordsGoneError:
            self.log.info("records_gone", topic=self.topic, offset=offset)
            return None
        if page.next_offset == offset and page.end > offset:
            self.log.info("record_exceeds_page", topic=self.topic, offset=offset)
            return None
        return page

    def forget_offsets(self, jitter_s: float = NEW_ERA_JITTER_S) -> None:
        """Forget how far the topic was read, as the offsets are of an older era.

        :param jitter_s: maximum random delay of the next read in seconds.
        """
        self.offset = None
        self.end_offset = self.changed_offset = self.peer_changed_offset = 0
        self.peer_read_at = float("-inf")
        self.not_before = self.clock() + random.uniform(0.0, jitter_s)

    def record_peer_progress(
        self, now: float, progress: TopicProgress, era: int = UNKNOWN_ERA
    ) -> None:
        """Record how far a peer has read the topic.

        Progress in another era of the store is ignored: its offsets mean other records.
        This gateway then reads by itself, and finds a new era.

        :param now: current monotonic time in seconds.
        :param progress: progress that the peer announced.
        :param era: era of the store that it is of.
        """
        if era != self.announced_era:
            return
        if progress.read_ms_ago >= 0:
            unread_s = self.compute_unread_s(now)
            self.peer_read_at = max(self.peer_read_at, now - progress.read_ms_ago / 1e3)
            if self.failing_since is not None and self.compute_unread_s(now) < unread_s:
                # Otherwise the read of this peer would hide the outage it follows.
                self.on_recovery(unread_s)
        self.peer_changed_offset = max(
            self.peer_changed_offset, progress.changed_offset
        )

    def compute_progress(self, now: float) -> TopicProgress:
        """Return how far this gateway has read the topic, to announce it to peers.

        :param now: current monotonic time in seconds.
        """
        if self.offset is None or self.failing_since is not None:
            return TopicProgress()
        if self.end_offset > self.offset:
            return TopicProgress(-1, self.changed_offset)
        return TopicProgress(int((now - self.read_at) * 1e3), self.changed_offset)

    def compute_unread_s(self, now: float) -> float:
        """Return the seconds since this gateway or a peer last read the topic.

        :param now: current monotonic time in seconds.
        """
        return now - max(self.read_at, self.peer_read_at)

    @property
    def announced_era(self) -> int:
        """Era of the store that its progress is of, as peers are told."""
        return UNKNOWN_ERA if self.store.era is None else self.store.era

    def apply_snapshot(self, page: RecordsPage) -> bool:
        """Apply the newest record of each key; return whether anything changed.

        :param page: newest record of each key.
        """
        raise NotImplementedError

    def apply_changes(self, page: RecordsPage) -> bool:
        """Apply records in the order of the topic; return whether anything changed.

        :param page: records after the last offset read.
        """
        raise NotImplementedError

    def _record_failure(self, error: Exception) -> None:
        self.failed_reads += 1
        if self.failing_since is None:
            self.failing_since = self.clock()
            self.log.warning("store_lost", topic=self.topic, reason=repr(error))
        elif (
            self.failed_reads <= MAX_LOGGED_FAILURES
            or self.failed_reads % MAX_LOGGED_FAILURES == 0
        ):
            self.log.warning(
                "store_read_failed",
                topic=self.topic,
                failed_reads=self.failed_reads,
                reason=repr(error),
            )

    def _record_success(self, started_at: float) -> None:
        unread_s = self.compute_unread_s(self.clock())
        # The page holds what the store had when the call began, however long its
        # transfer took.
        self.read_at = started_at
        if self.failing_since is not None:
            outage_s = self.clock() - self.failing_since
            self.log.info(
                "store_regained",
                topic=self.topic,
                outage_s=round(outage_s, 2),
                failed_reads=self.failed_reads,
                unread_s=_round_seconds(unread_s),
            )
            self.failing_since, self.failed_reads = None, 0
            self.on_recovery(unread_s)

    def _log_read(
        self,
        page: RecordsPage,
        fetch_s: float,
        apply_s: float,
        changed: bool,
        former_at: float,
    ) -> None:
        if not changed and fetch_s + apply_s < SLOW_READ_S:
            return
        self.log.info(
            "topic_read",
            topic=self.topic,
            next_offset=page.next_offset,
            records=len(page.records),
            bytes=page.size,
            fetch_ms=round(fetch_s * 1e3),
            apply_ms=round(apply_s * 1e3),
            since_read_s=_round_seconds(self.clock() - former_at),
        )

    async def _wait_until_due(self) -> None:
        jitter_s = random.uniform(0.0, READ_JITTER_S)
        while not self._is_due(jitter_s):
            await asyncio.sleep(POLL_INTERVAL_S)

    @property
    def _records_behind(self) -> int:
        known_end = max(self.end_offset, self.peer_changed_offset)
        return max(0, known_end - (self.offset or 0))

    def _is_due(self, jitter_s: float) -> bool:
        if self.offset is None:
            return self.clock() >= self.not_before
        if self._records_behind:
            return True
        last_read_at = max(self.read_at, self.peer_read_at)
        return self.clock() - last_read_at >= self.read_interval_s + jitter_s


class ConfigurationFollower(TopicFollower):
    """Follows the configuration that the operator publishes.

    :param apply: called with each newer configuration.
    """

    def __init__(
        self,
        store: StoreClient,
        log: DecisionLog,
        clock: Callable[[], float],
        apply: Callable[[ServingConfiguration], None],
    ) -> None:
        super().__init__(
            CONFIGURATION_TOPIC,
            store,
            log,
            clock,
            CONFIGURATION_READ_INTERVAL_S,
            MAX_CONFIGURATIONS_BEHIND,
        )
        self.apply = apply
        self.decoder = ConfigurationDecoder()
        self.version = -1
        # The configuration in force as it is passed on to other gateways.
        self.document = b""

    def apply_snapshot(self, page: RecordsPage) -> bool:
        """Apply the newest configuration."""
        return self.apply_changes(page)

    def apply_changes(self, page: RecordsPage) -> bool:
        """Apply the readable configuration of the highest version among the records."""
        # With concurrent publishers, the last record may have an older version.
        return any(map(self._apply, self._list_newer_documents(page)))

    def adopt(self, document: bytes) -> bool:
        """Apply a configuration that a peer passed on; return whether it is newer.

        :param document: the configuration as the peer has it.
        """
        version = self._read_document(decode_version, document)
        return version is not None and version > self.version and self._apply(document)

    def _apply(self, document: bytes) -> bool:
        configuration = self._read_document(self.decoder.decode, document)
        if configuration is None:
            return False
        self.version = configuration.version
        if configuration.organisations is not None:
            self.document = replace_keys(document)
        self.apply(configuration)
        return True

    def _list_newer_documents(self, page: RecordsPage) -> list[bytes]:
        """Return the documents with a newer version, highest version first."""
        versions: dict[int, bytes] = {}
        for record in page.records:
            if record.key == CONFIGURATION_KEY and record.value is not None:
                version = self._read_document(decode_version, record.value)
                if version is not None and version > self.version:
                    versions[version] = record.value
                elif version is not None and version < self.version:
                    # A store that came back from a copy may have lost the newest one.
                    self.log.info(
                        "configuration_kept",
                        version=self.version,
                        older=version,
                        era=self.store.era,
                    )
        return [versions[version] for version in sorted(versions, reverse=True)]

    def _read_document(
        self, decode: Callable[[bytes], Decoded], document: bytes
    ) -> Decoded | None:
        try:
            return decode(document)
        except BadConfigurationError as error:
            self.log.warning("configuration_unreadable", detail=str(error))
            return None


class RegistryFollower(TopicFollower):
    """Follows the registry of engines.

    :param fleet: receives the entries.
    """

    def __init__(
        self,
        store: StoreClient,
        log: DecisionLog,
        clock: Callable[[], float],
        fleet: Fleet,
    ) -> None:
        super().__init__(REGISTRY_TOPIC, store, log, clock, REGISTRY_READ_INTERVAL_S)
        self.fleet = fleet

    def apply_snapshot(self, page: RecordsPage) -> bool:
        """Apply the newest entry of each engine."""
        return self._log_events(self.fleet.apply_snapshot(self.clock(), page.records))

    def apply_changes(self, page: RecordsPage) -> bool:
        """Apply changes of the registry, and drop engines that stayed missing."""
        changed = self._log_events(self.fleet.apply_changes(self.clock(), page.records))
        return self._log_events(self.fleet.expire(self.clock())) or changed

    def _log_events(self, events: Iterable[FleetEvent]) -> bool:
        changed = False
        for event in events:
            changed = True
            self.log.info(event.event, **event.fields)
        return changed


def _round_seconds(seconds: float) -> float | None:
    return round(seconds, 2) if seconds < float("inf") else None

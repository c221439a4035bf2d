"""Quarantines of prompt parts in the store, where they outlive all gateways."""

import asyncio
from collections.abc import Callable, Collection
from contextlib import suppress

import msgspec
import xxhash

from jasminewalk.decoding import Count, Number, decode_json
from jasminewalk.exceptions import BadMessageError, LogUnavailableError
from jasminewalk.gateway.crash_watch import CrashWatch
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.quarantine import UNTRIED_QUARANTINE_S, Quarantine
from jasminewalk.gateway.store_follower import TopicFollower
from jasminewalk.platform.store import QUARANTINE_TOPIC, RecordsPage, StoreClient

__all__ = [
    "QuarantineFollower",
    "StoredQuarantine",
    "read_quarantines",
    "release_parts",
]

# Seconds between two reads. It can be long because gateways also tell each other.
READ_INTERVAL_S = 30.0
# Seconds between two comparisons of the quarantines with those in the store.
COMPARISON_INTERVAL_S = 0.5
# Seconds by which an end in the store may differ without being written again.
END_TOLERANCE_S = 2.0


class StoredQuarantine(msgspec.Struct, frozen=True):
    """Record of one quarantine.

    :param parts: ids of the parts.
    :param crashes: engines that crashed under them.
    :param until_ms: Unix time from which a request may be tried, in milliseconds.
    :param duration_ms: length of the quarantine in milliseconds.
    :param released: whether an operator says that the parts are sound.
    """

    parts: list[str]
    crashes: Count = 0
    until_ms: Number = 0
    duration_ms: Count = 0
    released: bool = False


class QuarantineFollower(TopicFollower):
    """Adopts the quarantines in the store, and writes those that are missing there.

    :param store: the metadata store.
    :param log: decision log.
    :param clock: returns the monotonic time in seconds.
    :param wall_clock: returns the Unix time in seconds.
    :param crash_watch: has the quarantines.
    :param is_writer: returns whether this gateway is the one that writes.
    """

    def __init__(
        self,
        store: StoreClient,
        log: DecisionLog,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        crash_watch: CrashWatch,
        is_writer: Callable[[], bool],
    ) -> None:
        super().__init__(QUARANTINE_TOPIC, store, log, clock, READ_INTERVAL_S)
        self.wall_clock = wall_clock
        self.crash_watch = crash_watch
        self.is_writer = is_writer
        self.stored: dict[str, StoredQuarantine] = {}
        self.was_read = False
        self.found_here = asyncio.Event()

    async def read_once(self) -> None:
        """Read once and adopt the quarantines.

        :raises LogUnavailableError: if the store does not answer as expected.
        """
        try:
            await super().read_once()
        finally:
            self.was_read = True

    def apply_snapshot(self, page: RecordsPage) -> bool:
        """Adopt the quarantines that the store has."""
        self.stored.clear()
        return self.apply_changes(page)

    def apply_changes(self, page: RecordsPage) -> bool:
        """Adopt new quarantines, and release those that an operator released."""
        for record in page.records:
            if record.value is None:
                self.stored.pop(record.key, None)
                continue
            try:
                stored = decode_json(record.value, StoredQuarantine, "quarantine")
            except BadMessageError as error:
                self.log.warning(
                    "quarantine_unreadable", key=record.key, reason=str(error)
                )
                continue
            self.stored[record.key] = stored
            if stored.released:
                self.crash_watch.release(stored.parts)
            else:
                self.crash_watch.adopt(self._decode(stored))
        return bool(page.records)

    async def write_forever(self) -> None:
        """Write quarantines that the store does not have, until cancelled.

        One that this gateway found is written at once, whoever writes the others: a
        gateway that starts now must know it.
        """
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(COMPARISON_INTERVAL_S):
                    await self.found_here.wait()
            found_here, is_writer = self.found_here.is_set(), self.is_writer()
            self.found_here.clear()
            if self.offset is None or not (found_here or is_writer):
                continue
            try:
                await self._write_changes(may_remove=is_writer)
            except (LogUnavailableError, OSError, TimeoutError) as error:
                self.log.warning("quarantine_not_stored", reason=repr(error))

    async def _write_changes(self, *, may_remove: bool) -> None:
        quarantines = {
            _build_key(quarantine): quarantine
            for quarantine in self.crash_watch.quarantine.quarantines.values()
        }
        removed = self.stored.keys() - quarantines.keys() if may_remove else ()
        for key in removed:
            await self.store.put(self.topic, key, b"")
            self.stored.pop(key, None)
        for key, quarantine in quarantines.items():
            wanted, known = self._encode(quarantine), self.stored.get(key)
            if known is not None and not _differs(wanted, known):
                continue
            await self.store.put(self.topic, key, msgspec.json.encode(wanted))
            self.stored[key] = wanted
            self.log.info("quarantine_stored", parts=wanted.parts, era=self.store.era)

    def _encode(self, quarantine: Quarantine) -> StoredQuarantine:
        until = self.wall_clock() + quarantine.until - self.clock()
        return StoredQuarantine(
            sorted(quarantine.parts),
            quarantine.crashes,
            round(until * 1e3),
            round(quarantine.duration_s * 1e3),
        )

    def _decode(self, stored: StoredQuarantine) -> Quarantine:
        duration_s = min(UNTRIED_QUARANTINE_S, max(0.0, stored.duration_ms / 1e3))
        # The time of day may differ between instances.
        left_s = min(stored.until_ms / 1e3 - self.wall_clock(), duration_s)
        return Quarantine(
            frozenset(stored.parts), stored.crashes, self.clock() + left_s, duration_s
        )


async def read_quarantines(store: StoreClient) -> list[StoredQuarantine]:
    """Return the quarantines in the store that can be read.

    :param store: the metadata store.
    :raises LogUnavailableError: if the store does not answer as expected.
    """
    stored = []
    for record in (await store.read_newest(QUARANTINE_TOPIC)).records:
        with suppress(BadMessageError):
            stored.append(
                decode_json(record.value or b"", StoredQuarantine, "quarantine")
            )
    return [quarantine for quarantine in stored if not quarantine.released]


async def release_parts(store: StoreClient, parts: Collection[str]) -> None:
    """Tell all gateways that parts are sound, which ends their quarantines.

    :param store: the metadata store.
    :param parts: ids of the parts.
    :raises LogUnavailableError: if the store does not confirm the write.
    """
    released = StoredQuarantine(sorted(parts), released=True)
    key = f"released-{_hash_parts(parts)}"
    await store.put(QUARANTINE_TOPIC, key, msgspec.json.encode(released))


def _build_key(quarantine: Quarantine) -> str:
    return _hash_parts(quarantine.parts)


def _hash_parts(parts: Collection[str]) -> str:
    return xxhash.xxh64_hexdigest(",".join(sorted(parts)).encode())


def _differs(wanted: StoredQuarantine, known: StoredQuarantine) -> bool:
    return (
        known.released
        or known.duration_ms != wanted.duration_ms
        or abs(known.until_ms - wanted.until_ms) > END_TOLERANCE_S * 1e3
    )

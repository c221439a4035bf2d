"""Decide when to write a snapshot of the state, and split it into chunks."""

import random
from collections.abc import Iterator
from typing import Any

import attrs
import msgspec

from jasminewalk.agreement._snapshot_assembler import SnapshotState
from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.log_writer import generate_record_id
from jasminewalk.generated_records import SnapshotRecord

__all__ = ["SnapshotPlanner", "SnapshotSettings", "split_into_chunks"]

# Size of an unsigned 64-bit integer in MessagePack.
EXPIRED_KEY_BYTES = 9


@attrs.frozen(kw_only=True)
class SnapshotSettings:
    """Settings of when and how fast snapshots are written.

    :param retention_s: seconds for which the log retains a record.
    :param interval_s: minimum seconds between snapshots; 0 means a quarter of
        ``retention_s``.
    :param jitter_s: maximum random seconds added to the interval; 0 means an
        eighth of ``retention_s``.
    :param chunk_bytes: maximum size of a chunk in bytes; a single larger item gets
        a chunk of its own.
    :param chunks_per_s: chunks written per second.
    :param stall_s: seconds without a new chunk after which a snapshot counts as
        abandoned by its writer.
    """

    retention_s: float
    interval_s: float = 0.0
    jitter_s: float = 0.0
    chunk_bytes: int = 256 << 10
    chunks_per_s: float = 5.0
    stall_s: float = 3.0


@attrs.frozen
class _IncompleteSnapshot:
    """Reading progress of a snapshot, with the time of its latest chunk.

    :param first_offset: offset of the first chunk read.
    :param last_offset: offset of the latest chunk read.
    :param last_progress_s: time in seconds at which the latest chunk was noticed.
    """

    first_offset: int
    last_offset: int
    last_progress_s: float


class SnapshotPlanner:
    """Plans the snapshots that this process writes.

    Every process waits for the interval plus a random time, and starts over when
    another process has completed a snapshot. If two processes start at the same
    time, the one whose first chunk is later on the log drops its snapshot. A
    process that stalled drops its snapshot too, so that its old chunks never
    complete one.

    :param fold: state to write.
    :param settings: when and how fast snapshots are written.
    :param rng: random source.
    """

    def __init__(
        self, fold: LogFold, settings: SnapshotSettings, rng: random.Random
    ) -> None:
        self.fold = fold
        self.settings = settings
        self.rng = rng
        self.due_s: float | None = None
        self.last_snapshot_offset = 0
        self.chunks: list[SnapshotRecord] = []
        self.snapshot_id = ""
        self.next_chunk_s = 0.0
        self.incomplete_snapshots: dict[str, _IncompleteSnapshot] = {}

    def draw_wait_s(self) -> float:
        """Return the seconds to wait before the next snapshot, with random jitter."""
        quarter_s = self.settings.retention_s / 4
        interval_s = self.settings.interval_s or quarter_s
        jitter_s = self.settings.jitter_s or quarter_s / 2
        return interval_s + self.rng.uniform(0.0, jitter_s)

    def tick(self, now_s: float) -> list[SnapshotRecord]:
        """Return the chunks to append now.

        :param now_s: current time in seconds.
        """
        self.observe_snapshots(now_s)
        if self.due_s is None or self.fold.snapshot_offset > self.last_snapshot_offset:
            self.last_snapshot_offset = self.fold.snapshot_offset
            self.drop_snapshot(now_s)
        if self.chunks:
            return self.take_due_chunks(now_s)
        if now_s < (self.due_s or 0.0) or not self.fold.is_ready:
            return []
        if self.list_other_snapshots(now_s):
            self.drop_snapshot(now_s)
            return []
        self.start_snapshot(now_s)
        return self.take_due_chunks(now_s)

    def observe_snapshots(self, now_s: float) -> None:
        """Update the reading progress of all incomplete snapshots on the log.

        :param now_s: current time in seconds.
        """
        updated: dict[str, _IncompleteSnapshot] = {}
        for snapshot_id, progress in self.fold.assembler.progress_by_snapshot.items():
            known = self.incomplete_snapshots.get(snapshot_id)
            if known is None or known.last_offset != progress.last_offset:
                known = _IncompleteSnapshot(
                    progress.first_offset, progress.last_offset, now_s
                )
            updated[snapshot_id] = known
        self.incomplete_snapshots = updated

    def list_other_snapshots(self, now_s: float) -> list[_IncompleteSnapshot]:
        """Return the snapshots that other processes are writing.

        Snapshots that stalled are left out.

        :param now_s: current time in seconds.
        """
        return [
            other
            for snapshot_id, other in self.incomplete_snapshots.items()
            if snapshot_id != self.snapshot_id
            and now_s < other.last_progress_s + self.settings.stall_s
        ]

    def start_snapshot(self, now_s: float) -> None:
        """Split the current state into chunks and schedule the next snapshot.

        :param now_s: current time in seconds.
        """
        self.chunks = split_into_chunks(
            self.fold.get_state(), self.settings.chunk_bytes, self.rng
        )
        self.snapshot_id = self.chunks[0].snapshot_id
        self.next_chunk_s = now_s
        self.due_s = now_s + self.draw_wait_s()

    def drop_snapshot(self, now_s: float) -> None:
        """Drop the chunks that are not written yet and schedule the next snapshot.

        :param now_s: current time in seconds.
        """
        self.chunks = []
        self.due_s = now_s + self.draw_wait_s()

    def take_due_chunks(self, now_s: float) -> list[SnapshotRecord]:
        """Return the next chunk if it is due.

        :param now_s: current time in seconds.
        """
        stalled = now_s >= self.next_chunk_s + self.settings.stall_s
        if stalled or self.started_later(now_s):
            self.drop_snapshot(now_s)
            return []
        if now_s < self.next_chunk_s:
            return []
        self.next_chunk_s = now_s + 1.0 / self.settings.chunks_per_s
        return [self.chunks.pop(0)]

    def started_later(self, now_s: float) -> bool:
        """Return whether another process started its snapshot before this one.

        Before the first chunk of this process was read back, any other active
        snapshot counts as earlier.

        :param now_s: current time in seconds.
        """
        other_snapshots = self.list_other_snapshots(now_s)
        own = self.fold.assembler.progress_by_snapshot.get(self.snapshot_id)
        if own is None:
            return bool(other_snapshots)
        return any(other.first_offset < own.first_offset for other in other_snapshots)

    def get_next_wake_s(self) -> float:
        """Return the time in seconds at which ``tick`` must be called next."""
        if self.chunks:
            return self.next_chunk_s
        return self.due_s or 0.0


@attrs.define
class _ChunkBuilder:
    chunk_bytes: int
    chunks: list[dict[str, list[Any]]] = attrs.field(factory=lambda: [{}])
    used_bytes: int = 0

    def add(self, field: str, item: Any, size_bytes: int) -> None:
        """Add an item to the last chunk, or to a new one if it does not fit."""
        if self.used_bytes and self.used_bytes + size_bytes > self.chunk_bytes:
            self.chunks.append({})
            self.used_bytes = 0
        self.chunks[-1].setdefault(field, []).append(item)
        self.used_bytes += size_bytes


def split_into_chunks(
    state: SnapshotState, chunk_bytes: int, rng: random.Random
) -> list[SnapshotRecord]:
    """Return the chunks of a new snapshot of a state.

    :param state: the whole state.
    :param chunk_bytes: maximum size of a chunk in bytes; a single larger item gets
        a chunk of its own.
    :param rng: random source for identifiers.
    """
    builder = _ChunkBuilder(chunk_bytes)
    for field, item, size_bytes in iterate_sized_items(state):
        builder.add(field, item, size_bytes)
    snapshot_id = generate_record_id(rng)
    return [
        SnapshotRecord(
            record_id=generate_record_id(rng),
            snapshot_id=snapshot_id,
            covers=state.covers,
            chunk=number,
            chunks=len(builder.chunks),
            **content,
        )
        for number, content in enumerate(builder.chunks)
    ]


def iterate_sized_items(state: SnapshotState) -> Iterator[tuple[str, Any, int]]:
    """Yield the field, the item and its size in bytes for each item of a state.

    :param state: the whole state.
    """
    for entry in state.entries:
        yield "entries", entry, _measure_encoded_bytes(entry)
    for endpoint in state.endpoints:
        yield "endpoints", endpoint, _measure_encoded_bytes(endpoint)
    for pool in state.pools:
        yield "pools", pool, _measure_encoded_bytes(pool)
    for claim in state.claims:
        yield "claims", claim, _measure_encoded_bytes(claim)
    for key in state.expired_keys:
        yield "expired_keys", key, EXPIRED_KEY_BYTES


def _measure_encoded_bytes(item: Any) -> int:
    return len(msgspec.msgpack.encode(item))

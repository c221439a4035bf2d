"""Decides when to write a snapshot of the state and cuts it into chunks."""

import random
from collections.abc import Iterator
from typing import Any

import attrs
import msgspec

from jasminewalk.agreement._snapshot_assembler import SnapshotState
from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.log_writer import new_record_id
from jasminewalk.generated_records import SnapshotRecord

__all__ = ["SnapshotPlanner", "SnapshotSettings", "split_into_chunks"]

EXPIRED_KEY_BYTES = 9


@attrs.frozen(kw_only=True)
class SnapshotSettings:
    """When snapshots are written.

    :param retention_s: seconds that the log keeps a record.
    :param interval_s: seconds after which a snapshot is due; 0 takes a quarter of
        the retention.
    :param jitter_s: longest further wait; 0 takes an eighth of the retention.
    :param chunk_bytes: largest chunk in bytes, but for a single larger item.
    :param chunks_per_s: chunks written a second.
    :param stall_s: seconds without a chunk after which a snapshot counts as left
        by its writer.
    """

    retention_s: float
    interval_s: float = 0.0
    jitter_s: float = 0.0
    chunk_bytes: int = 256 << 10
    chunks_per_s: float = 5.0
    stall_s: float = 3.0


@attrs.frozen
class _OtherSnapshot:
    first_offset: int
    last_offset: int
    last_progress_s: float


class SnapshotPlanner:
    """Writes a snapshot after a jittered wait unless another process was faster.

    One process writes at a time: of two that began, the one whose first chunk is
    later on the log stops. A writer that stalled stops, so that its old chunks
    end up in no snapshot.

    :param fold: state to write.
    :param settings: when snapshots are written.
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
        self.other_snapshots: dict[str, _OtherSnapshot] = {}

    def draw_wait_s(self) -> float:
        """Return a new wait before the next snapshot."""
        quarter_s = self.settings.retention_s / 4
        interval_s = self.settings.interval_s or quarter_s
        jitter_s = self.settings.jitter_s or quarter_s / 2
        return interval_s + self.rng.uniform(0.0, jitter_s)

    def tick(self, now_s: float) -> list[SnapshotRecord]:
        """Return the chunks to append now.

        :param now_s: current instant in seconds.
        """
        self.observe_other_snapshots(now_s)
        if self.due_s is None or self.fold.snapshot_offset > self.last_snapshot_offset:
            self.last_snapshot_offset = self.fold.snapshot_offset
            self.drop_snapshot(now_s)
        if self.chunks:
            return self.take_due_chunks(now_s)
        if now_s < (self.due_s or 0.0) or not self.fold.ready:
            return []
        if self.get_active_snapshots(now_s):
            self.drop_snapshot(now_s)
            return []
        self.start_snapshot(now_s)
        return self.take_due_chunks(now_s)

    def observe_other_snapshots(self, now_s: float) -> None:
        """Note which other processes are writing a snapshot.

        :param now_s: current instant in seconds.
        """
        updated: dict[str, _OtherSnapshot] = {}
        for snapshot_id, progress in self.fold.assembler.progress_by_snapshot.items():
            known = self.other_snapshots.get(snapshot_id)
            if known is None or known.last_offset != progress.last_offset:
                known = _OtherSnapshot(
                    progress.first_offset, progress.last_offset, now_s
                )
            updated[snapshot_id] = known
        self.other_snapshots = updated

    def get_active_snapshots(self, now_s: float) -> list[_OtherSnapshot]:
        """Return the snapshots that other processes are writing.

        :param now_s: current instant in seconds.
        """
        return [
            other
            for snapshot_id, other in self.other_snapshots.items()
            if snapshot_id != self.snapshot_id
            and now_s < other.last_progress_s + self.settings.stall_s
        ]

    def start_snapshot(self, now_s: float) -> None:
        """Freeze the state and cut it into chunks.

        :param now_s: current instant in seconds.
        """
        self.chunks = split_into_chunks(
            self.fold.get_state(), self.settings.chunk_bytes, self.rng
        )
        self.snapshot_id = self.chunks[0].snapshot_id
        self.next_chunk_s = now_s
        self.due_s = now_s + self.draw_wait_s()

    def drop_snapshot(self, now_s: float) -> None:
        """Drop a snapshot that is not whole yet and wait anew.

        :param now_s: current instant in seconds.
        """
        self.chunks = []
        self.due_s = now_s + self.draw_wait_s()

    def take_due_chunks(self, now_s: float) -> list[SnapshotRecord]:
        """Return the next chunk when its turn has come.

        :param now_s: current instant in seconds.
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
        """Return whether another process began its snapshot before this one.

        :param now_s: current instant in seconds.
        """
        active = self.get_active_snapshots(now_s)
        own = self.fold.assembler.progress_by_snapshot.get(self.snapshot_id)
        if own is None:
            return bool(active)
        return any(other.first_offset < own.first_offset for other in active)

    def next_wake_s(self) -> float:
        """Return the instant at which ``tick`` has something to do."""
        if self.chunks:
            return self.next_chunk_s
        return self.due_s or 0.0


@attrs.define
class _ChunkBuilder:
    chunk_bytes: int
    chunks: list[dict[str, list[Any]]] = attrs.field(factory=lambda: [{}])
    used_bytes: int = 0

    def add(self, field: str, item: Any, size_bytes: int) -> None:
        """Add an item to the last chunk, or to a new one if that is full."""
        if self.used_bytes and self.used_bytes + size_bytes > self.chunk_bytes:
            self.chunks.append({})
            self.used_bytes = 0
        self.chunks[-1].setdefault(field, []).append(item)
        self.used_bytes += size_bytes


def split_into_chunks(
    state: SnapshotState, chunk_bytes: int, rng: random.Random
) -> list[SnapshotRecord]:
    """Return the records of a snapshot.

    :param state: the whole state.
    :param chunk_bytes: largest chunk in bytes, but for a single larger item.
    :param rng: random source for identifiers.
    """
    builder = _ChunkBuilder(chunk_bytes)
    for field, item, size_bytes in iterate_sized_items(state):
        builder.add(field, item, size_bytes)
    snapshot_id = new_record_id(rng)
    return [
        SnapshotRecord(
            record_id=new_record_id(rng),
            snapshot_id=snapshot_id,
            covers=state.covers,
            chunk=number,
            chunks=len(builder.chunks),
            **content,
        )
        for number, content in enumerate(builder.chunks)
    ]


def iterate_sized_items(state: SnapshotState) -> Iterator[tuple[str, Any, int]]:
    """Yield each item of a state with its field and its size in bytes.

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

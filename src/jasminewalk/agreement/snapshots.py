"""Decides when to write a snapshot of the state and cuts it into chunks."""

import random
from collections.abc import Iterator
from typing import Any

import attrs
import msgspec

from jasminewalk.agreement._fold_rebuild import SnapshotState
from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.log_writer import new_record_id
from jasminewalk.generated_records import SnapshotRecord

__all__ = ["SnapshotPlanner", "SnapshotSettings", "cut_into_chunks"]

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
class _Other:
    first_offset: int
    last_offset: int
    seen_s: float


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
        self.covers = 0
        self.chunks: list[SnapshotRecord] = []
        self.snapshot_id = ""
        self.next_chunk_s = 0.0
        self.others: dict[str, _Other] = {}

    def wait_s(self) -> float:
        """Return a new wait before the next snapshot."""
        quarter_s = self.settings.retention_s / 4
        interval_s = self.settings.interval_s or quarter_s
        jitter_s = self.settings.jitter_s or quarter_s / 2
        return interval_s + self.rng.uniform(0.0, jitter_s)

    def tick(self, now_s: float) -> list[SnapshotRecord]:
        """Return the chunks to append now.

        :param now_s: current instant in seconds.
        """
        self.observe_others(now_s)
        if self.due_s is None or self.fold.snapshot_offset > self.covers:
            self.covers = self.fold.snapshot_offset
            self.stop(now_s)
        if self.chunks:
            return self.next_chunks(now_s)
        if now_s < (self.due_s or 0.0) or not self.fold.ready:
            return []
        if self.active_others(now_s):
            self.stop(now_s)
            return []
        self.start(now_s)
        return self.next_chunks(now_s)

    def observe_others(self, now_s: float) -> None:
        """Note which other processes are writing a snapshot.

        :param now_s: current instant in seconds.
        """
        seen: dict[str, _Other] = {}
        for snapshot_id, progress in self.fold.assembler.progress.items():
            known = self.others.get(snapshot_id)
            if known is None or known.last_offset != progress.last_offset:
                known = _Other(progress.first_offset, progress.last_offset, now_s)
            seen[snapshot_id] = known
        self.others = seen

    def active_others(self, now_s: float) -> list[_Other]:
        """Return the snapshots that other processes are writing.

        :param now_s: current instant in seconds.
        """
        return [
            other
            for snapshot_id, other in self.others.items()
            if snapshot_id != self.snapshot_id
            and now_s < other.seen_s + self.settings.stall_s
        ]

    def start(self, now_s: float) -> None:
        """Freeze the state and cut it into chunks.

        :param now_s: current instant in seconds.
        """
        self.chunks = cut_into_chunks(
            self.fold.get_state(), self.settings.chunk_bytes, self.rng
        )
        self.snapshot_id = self.chunks[0].snapshot_id
        self.next_chunk_s = now_s
        self.due_s = now_s + self.wait_s()

    def stop(self, now_s: float) -> None:
        """Drop a snapshot that is not whole yet and wait anew.

        :param now_s: current instant in seconds.
        """
        self.chunks = []
        self.due_s = now_s + self.wait_s()

    def next_chunks(self, now_s: float) -> list[SnapshotRecord]:
        """Return the next chunk when its turn has come.

        :param now_s: current instant in seconds.
        """
        stalled = now_s >= self.next_chunk_s + self.settings.stall_s
        if stalled or self.is_second(now_s):
            self.stop(now_s)
            return []
        if now_s < self.next_chunk_s:
            return []
        self.next_chunk_s = now_s + 1.0 / self.settings.chunks_per_s
        return [self.chunks.pop(0)]

    def is_second(self, now_s: float) -> bool:
        """Return whether another process began its snapshot before this one.

        :param now_s: current instant in seconds.
        """
        others = self.active_others(now_s)
        own = self.fold.assembler.progress.get(self.snapshot_id)
        if own is None:
            return bool(others)
        return any(other.first_offset < own.first_offset for other in others)

    def next_wake_s(self) -> float:
        """Return the instant at which ``tick`` has something to do."""
        if self.chunks:
            return self.next_chunk_s
        return self.due_s or 0.0


@attrs.define
class _Cutter:
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


def cut_into_chunks(
    state: SnapshotState, chunk_bytes: int, rng: random.Random
) -> list[SnapshotRecord]:
    """Return the records of a snapshot.

    :param state: the whole state.
    :param chunk_bytes: largest chunk in bytes, but for a single larger item.
    :param rng: random source for identifiers.
    """
    cutter = _Cutter(chunk_bytes)
    for field, item, size_bytes in sized_items(state):
        cutter.add(field, item, size_bytes)
    snapshot_id = new_record_id(rng)
    return [
        SnapshotRecord(
            record_id=new_record_id(rng),
            snapshot_id=snapshot_id,
            covers=state.covers,
            chunk=number,
            chunks=len(cutter.chunks),
            **content,
        )
        for number, content in enumerate(cutter.chunks)
    ]


def sized_items(state: SnapshotState) -> Iterator[tuple[str, Any, int]]:
    """Yield each item of a state with its field and its size in bytes.

    :param state: the whole state.
    """
    for entry in state.entries:
        yield "entries", entry, _encoded_bytes(entry)
    for endpoint in state.endpoints:
        yield "endpoints", endpoint, _encoded_bytes(endpoint)
    for pool in state.pools:
        yield "pools", pool, _encoded_bytes(pool)
    for claim in state.claims:
        yield "claims", claim, _encoded_bytes(claim)
    for key in state.expired_keys:
        yield "expired_keys", key, EXPIRED_KEY_BYTES


def _encoded_bytes(item: Any) -> int:
    return len(msgspec.msgpack.encode(item))

"""Assembly of the chunks of a snapshot."""

import attrs

from jasminewalk.generated_records import (
    ClaimEntry,
    EndpointEntry,
    PoolEntry,
    SnapshotEntry,
    SnapshotRecord,
)

__all__ = ["SnapshotAssembler", "SnapshotProgress", "SnapshotState"]

MAX_PARTIAL_SNAPSHOTS = 8


@attrs.frozen(kw_only=True)
class SnapshotState:
    """State that results from all records of the log up to an offset.

    :param covers: offset of the last record that the state includes.
    :param entries: subjects of the configuration.
    :param endpoints: endpoints with their registrations and grants.
    :param pools: pools with the offset of their last role change.
    :param claims: claims, oldest first.
    :param expired_keys: hashes of expired keys, oldest first.
    """

    covers: int
    entries: list[SnapshotEntry] = attrs.field(factory=list)
    endpoints: list[EndpointEntry] = attrs.field(factory=list)
    pools: list[PoolEntry] = attrs.field(factory=list)
    claims: list[ClaimEntry] = attrs.field(factory=list)
    expired_keys: list[int] = attrs.field(factory=list)


@attrs.frozen
class SnapshotProgress:
    """Reading progress of a snapshot that is not complete yet.

    :param first_offset: offset of the first chunk read.
    :param last_offset: offset of the latest chunk read.
    """

    first_offset: int
    last_offset: int


class SnapshotAssembler:
    """Collects chunks until a snapshot is complete.

    Processes may write snapshots at the same time, so chunks of several snapshots
    can be interleaved on the log. Only the most recent incomplete ones are kept.

    :param keep_content: whether to keep the content of chunks or only their numbers.
    """

    def __init__(self, keep_content: bool) -> None:
        self.keep_content = keep_content
        self.chunks_by_snapshot: dict[str, dict[int, SnapshotRecord]] = {}
        self.progress_by_snapshot: dict[str, SnapshotProgress] = {}

    def add(self, offset: int, record: SnapshotRecord) -> SnapshotState | None:
        """Add a chunk; return the state once its snapshot is complete.

        :param offset: offset of the chunk.
        :param record: the chunk.
        """
        previous = self.progress_by_snapshot.pop(record.snapshot_id, None)
        first_offset = previous.first_offset if previous else offset
        chunks = self.chunks_by_snapshot.pop(record.snapshot_id, {})
        chunks[record.chunk] = record if self.keep_content else strip_content(record)
        if len(chunks) == record.chunks:
            return merge_chunks(record.covers, chunks)
        self.chunks_by_snapshot[record.snapshot_id] = chunks
        self.progress_by_snapshot[record.snapshot_id] = SnapshotProgress(
            first_offset, offset
        )
        if len(self.chunks_by_snapshot) > MAX_PARTIAL_SNAPSHOTS:
            oldest = next(iter(self.chunks_by_snapshot))
            del self.chunks_by_snapshot[oldest]
            del self.progress_by_snapshot[oldest]
        return None


def strip_content(record: SnapshotRecord) -> SnapshotRecord:
    """Return a chunk without its content.

    :param record: the chunk.
    """
    return attrs.evolve(
        record, entries=[], endpoints=[], pools=[], claims=[], expired_keys=[]
    )


def merge_chunks(covers: int, chunks: dict[int, SnapshotRecord]) -> SnapshotState:
    """Return the state that the chunks of a snapshot hold together.

    :param covers: offset of the last record that the snapshot includes.
    :param chunks: chunks by their number.
    """
    state = SnapshotState(covers=covers)
    for number in sorted(chunks):
        chunk = chunks[number]
        state.entries.extend(chunk.entries)
        state.endpoints.extend(chunk.endpoints)
        state.pools.extend(chunk.pools)
        state.claims.extend(chunk.claims)
        state.expired_keys.extend(chunk.expired_keys)
    return state

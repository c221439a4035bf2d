"""Assembly of snapshot chunks into the state of a whole fold."""

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
    """State that the log's records up to an offset add up to.

    :param covers: offset up to which the records are covered.
    :param entries: subjects of the configuration.
    :param endpoints: endpoints with their registrations and grants.
    :param pools: pools with their last role change.
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
    """How far a snapshot has been read that is not whole yet.

    :param first_offset: offset of the first of its chunks that was read.
    :param last_offset: offset of the last of its chunks that was read.
    """

    first_offset: int
    last_offset: int


class SnapshotAssembler:
    """Collects chunks until a snapshot is whole.

    :param keep_content: whether the chunks' content is kept, or only their numbers.
    """

    def __init__(self, keep_content: bool) -> None:
        self.keep_content = keep_content
        self.chunks_by_snapshot: dict[str, dict[int, SnapshotRecord]] = {}
        self.progress_by_snapshot: dict[str, SnapshotProgress] = {}

    def add(self, offset: int, record: SnapshotRecord) -> SnapshotState | None:
        """Take a chunk; return the state when it completes its snapshot.

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
    """Return the state that all chunks of a snapshot hold.

    :param covers: offset up to which the records are covered.
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

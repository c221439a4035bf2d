"""Apply the records of the log to build the state that all processes share."""

from typing import Any

from absl import logging

from jasminewalk.agreement._fold_claims import ClaimTable
from jasminewalk.agreement._fold_grants import FLEET_SUBJECT, EndpointTable
from jasminewalk.agreement._fold_subjects import SubjectTable
from jasminewalk.agreement._snapshot_assembler import SnapshotAssembler, SnapshotState
from jasminewalk.agreement.fold_events import (
    FoldEvent,
    RecordIgnored,
    SnapshotCompleted,
    StateReplaced,
    SubjectChanged,
)
from jasminewalk.exceptions import BadMessageError
from jasminewalk.generated_records import (
    ClaimBatchRecord,
    ClaimEntry,
    ConfigurationRecord,
    EndpointEntry,
    GrantOutcomeRecord,
    GrantRecord,
    OutcomeBatchRecord,
    RegistrationRecord,
    SnapshotEntry,
    SnapshotRecord,
)
from jasminewalk.interfaces import LogEntry
from jasminewalk.transport.codec import decode_record

__all__ = ["LogFold"]

FIRST_OFFSET = 1


class LogFold:
    """Shared state of the system, computed as a fold over the records of the log.

    The state depends on the records alone, not on a clock or on random numbers,
    so that every process that applies the same records has the same state.

    To follow the log, read it from ``next_offset``, pass the offset of the oldest
    retained record to ``observe_first_retained``, each entry to ``apply`` and then
    the tail to ``observe_tail``. After a ``StateReplaced`` event, ``next_offset``
    has moved back.

    The log drops records after its retention period. A reader that missed dropped
    records keeps its old state but is not ready until it has read a complete
    snapshot and the log still retains all records that follow the snapshot.
    Offsets have no gaps.

    :param claims: table of claims, if its limits are not the default ones.
    """

    def __init__(self, claims: ClaimTable | None = None) -> None:
        self.next_offset = FIRST_OFFSET
        self.rebuilding = False
        self.has_reached_tail = False
        self.ignored_count = 0
        self.snapshot_offset = 0
        self.first_retained_offset = 0
        self.subjects = SubjectTable()
        self.endpoints = EndpointTable()
        self.claims = claims or ClaimTable()
        self.assembler = SnapshotAssembler(keep_content=False)

    @property
    def is_ready(self) -> bool:
        """Whether the log was read up to its tail and no records were missed since."""
        return self.has_reached_tail and not self.rebuilding

    def observe_tail(self, tail: int) -> bool:
        """Record the log's tail; return whether the state is ready.

        :param tail: offset one past the newest record at the time of the read.
        """
        if not self.rebuilding and self.next_offset >= tail:
            self.has_reached_tail = True
        return self.is_ready

    def apply(self, entry: LogEntry) -> list[FoldEvent]:
        """Apply one entry and return the resulting events.

        An entry at any offset other than ``next_offset`` is skipped.

        :param entry: the entry.
        """
        if entry.offset != self.next_offset:
            return []
        self.next_offset = entry.offset + 1
        try:
            record = decode_record(entry.data)
        except BadMessageError as error:
            return [self.ignore_record(entry.offset, str(error))]
        if isinstance(record, SnapshotRecord):
            return self.apply_snapshot(entry.offset, record)
        if self.rebuilding:
            return []
        return self.apply_record(entry.offset, record)

    def apply_record(self, offset: int, record: Any) -> list[FoldEvent]:
        """Apply one decoded record that is not part of a snapshot.

        :param offset: offset of the record.
        :param record: the record.
        """
        match record:
            case ConfigurationRecord():
                return self.apply_configuration(offset, record)
            case RegistrationRecord():
                return self.apply_registration(offset, record)
            case GrantRecord():
                return self.endpoints.apply_grant(offset, record)
            case GrantOutcomeRecord():
                return self.endpoints.apply_outcome(record)
            case ClaimBatchRecord():
                registered = self.is_registered(record.endpoint, record.incarnation)
                return self.claims.apply_claims(offset, record, registered)
            case OutcomeBatchRecord():
                return self.claims.apply_outcomes(record)
        return [
            self.ignore_record(offset, f"Unknown record type {type(record).__name__}.")
        ]

    def apply_configuration(
        self, offset: int, record: ConfigurationRecord
    ) -> list[FoldEvent]:
        """Apply a change of the configuration.

        :param offset: offset of the record.
        :param record: the record.
        """
        events = self.subjects.apply(offset, record)
        self.apply_fleet(events)
        return events

    def apply_registration(
        self, offset: int, record: RegistrationRecord
    ) -> list[FoldEvent]:
        """Apply a registration, which ends the open claims of earlier processes.

        :param offset: offset of the record.
        :param record: the record.
        """
        events = self.endpoints.apply_registration(offset, record)
        if self.is_registered(record.endpoint, record.incarnation):
            events += self.claims.end_superseded_claims(
                record.endpoint, record.incarnation
            )
        return events

    def apply_snapshot(self, offset: int, record: SnapshotRecord) -> list[FoldEvent]:
        """Add a chunk of a snapshot and replace the state if it must be rebuilt.

        A reader that missed no records already has the state, so it only records
        the offset that the snapshot covers.

        :param offset: offset of the chunk.
        :param record: the chunk.
        """
        state = self.assembler.add(offset, record)
        if state is None:
            return []
        if self.rebuilding and state.covers + 1 >= self.first_retained_offset:
            return self.install_snapshot(state)
        self.snapshot_offset = max(self.snapshot_offset, state.covers)
        return [SnapshotCompleted(covers=state.covers, offset=offset)]

    def observe_first_retained(self, first: int) -> None:
        """Start to rebuild the state if the log dropped records before they were read.

        :param first: offset of the oldest record that the log retains.
        """
        if first <= self.next_offset:
            return
        logging.warning(
            "[fold] Unread records were dropped by the log. next=%d first=%d",
            self.next_offset,
            first,
        )
        self.rebuilding = True
        self.first_retained_offset = first
        self.next_offset = first
        self.assembler = SnapshotAssembler(keep_content=True)

    def install_snapshot(self, state: SnapshotState) -> list[FoldEvent]:
        """Replace the state with a snapshot and continue after the offset it covers.

        :param state: state of the snapshot.
        """
        self.rebuilding = False
        self.assembler = SnapshotAssembler(keep_content=False)
        self.next_offset = state.covers + 1
        self.snapshot_offset = state.covers
        events = self.subjects.replace(state.entries)
        self.apply_fleet(events)
        self.endpoints.replace(state.endpoints, state.pools)
        events += self.claims.replace(state.claims, state.expired_keys)
        logging.info("[fold] State rebuilt. covers=%d", state.covers)
        return [StateReplaced(covers=state.covers), *events]

    def get_state(self) -> SnapshotState:
        """Return a copy of the whole state from which a snapshot can be written."""
        return SnapshotState(
            covers=self.next_offset - 1,
            entries=self.subjects.list_entries(),
            endpoints=list(self.endpoints.entry_by_endpoint.values()),
            pools=self.endpoints.build_pool_entries(),
            claims=list(self.claims.claim_by_key.values()),
            expired_keys=list(self.claims.expired_key_hashes),
        )

    def apply_fleet(self, events: list[FoldEvent]) -> None:
        """Update the pools' minimum endpoint counts if the fleet's document changed.

        :param events: events from a change of the configuration.
        """
        for event in events:
            if isinstance(event, SubjectChanged) and event.subject == FLEET_SUBJECT:
                self.endpoints.apply_fleet(event.document)

    def ignore_record(self, offset: int, reason: str) -> RecordIgnored:
        """Count and log a record that cannot be applied.

        :param offset: offset of the record.
        :param reason: why it cannot be applied.
        """
        self.ignored_count += 1
        logging.error("[fold] Record ignored. offset=%d reason=%s", offset, reason)
        return RecordIgnored(offset=offset, reason=reason)

    def get_subject(self, subject: str) -> SnapshotEntry | None:
        """Return the current entry of a subject, or ``None`` if it is unknown.

        The entry of a deleted subject is kept and has ``deleted`` set.

        :param subject: subject of the configuration, as kind/name.
        """
        return self.subjects.entry_by_subject.get(subject)

    def get_endpoint(self, endpoint: str) -> EndpointEntry | None:
        """Return the registration and last grant of an endpoint, or ``None``.

        :param endpoint: endpoint name.
        """
        return self.endpoints.entry_by_endpoint.get(endpoint)

    def is_registered(self, endpoint: str, incarnation: str) -> bool:
        """Return whether a process is the registered sidecar of its endpoint.

        :param endpoint: endpoint name.
        :param incarnation: identifier of the process.
        """
        entry = self.get_endpoint(endpoint)
        return entry is not None and entry.incarnation == incarnation and not entry.left

    def get_claim(self, key: str) -> ClaimEntry | None:
        """Return the claim of a key, or ``None`` if there is none or it has expired.

        :param key: key of the claim.
        """
        return self.claims.get(key)

    def get_roles(self, pool: str) -> dict[str, str]:
        """Return the role of each endpoint of a pool.

        :param pool: pool name.
        """
        return {
            entry.endpoint: entry.role for entry in self.endpoints.list_members(pool)
        }

    def get_pool_revision(self, pool: str) -> int:
        """Return the offset of the last accepted role change of a pool; 0 for none.

        :param pool: pool name.
        """
        return self.endpoints.get_pool_revision(pool)

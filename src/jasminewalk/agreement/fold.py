"""Folds the records of the log into the state that all processes agree on."""

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
    """State of the whole system as the log's records add up to it.

    The fold reads no clock and draws no random numbers: the same records give
    the same state everywhere. Read the log from ``next_offset`` on, tell
    ``observe_first_retained`` what the log still keeps and apply each entry; after
    ``StateReplaced`` the next offset has moved back.

    A reader that the log's retention has overtaken keeps its old state, but is
    not ``ready``, until a snapshot whose following records are still kept is
    whole. Offsets of the log have no gaps.

    :param claims: table of claims, to choose another window.
    """

    def __init__(self, claims: ClaimTable | None = None) -> None:
        self.next_offset = FIRST_OFFSET
        self.rebuilding = False
        self.has_reached_tail = False
        self.ignored_records = 0
        self.snapshot_offset = 0
        self.first_retained_offset = 0
        self.subjects = SubjectTable()
        self.endpoints = EndpointTable()
        self.claims = claims or ClaimTable()
        self.assembler = SnapshotAssembler(keep_content=False)

    @property
    def ready(self) -> bool:
        """Whether the state is current: a tail was reached without a gap since."""
        return self.has_reached_tail and not self.rebuilding

    def observe_tail(self, tail: int) -> bool:
        """Note a tail that was read after the start; return whether it is folded.

        :param tail: offset one past the newest record when the tail was read.
        """
        if not self.rebuilding and self.next_offset >= tail:
            self.has_reached_tail = True
        return self.ready

    def apply(self, entry: LogEntry) -> list[FoldEvent]:
        """Fold one entry; any other than the next one changes nothing.

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
        """Fold one decoded record that is not part of a snapshot.

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
        return [self.ignore_record(offset, f"No rule for {type(record).__name__}.")]

    def apply_configuration(
        self, offset: int, record: ConfigurationRecord
    ) -> list[FoldEvent]:
        """Fold a change of the configuration.

        :param offset: offset of the record.
        :param record: the record.
        """
        events = self.subjects.apply(offset, record)
        self.observe_fleet(events)
        return events

    def apply_registration(
        self, offset: int, record: RegistrationRecord
    ) -> list[FoldEvent]:
        """Fold a registration, which ends the claims of earlier processes.

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
        """Take a chunk of a snapshot.

        A reader without a gap knows the state already and only notes how far
        snapshots cover.

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
        """Start to rebuild the state if records that were not read are gone.

        :param first: offset of the oldest record that the log still keeps.
        """
        if first <= self.next_offset:
            return
        logging.warning(
            "[fold] Records were lost. next=%d first=%d", self.next_offset, first
        )
        self.rebuilding = True
        self.first_retained_offset = first
        self.next_offset = first
        self.assembler = SnapshotAssembler(keep_content=True)

    def install_snapshot(self, state: SnapshotState) -> list[FoldEvent]:
        """Replace the state by that of a snapshot and read on after it.

        :param state: the snapshot's state.
        """
        self.rebuilding = False
        self.assembler = SnapshotAssembler(keep_content=False)
        self.next_offset = state.covers + 1
        self.snapshot_offset = state.covers
        events = self.subjects.replace(state.entries)
        self.observe_fleet(events)
        self.endpoints.replace(state.endpoints, state.pools)
        events += self.claims.replace(state.claims, state.expired_keys)
        logging.info("[fold] State rebuilt. covers=%d", state.covers)
        return [StateReplaced(covers=state.covers), *events]

    def get_state(self) -> SnapshotState:
        """Return the whole state, for a snapshot."""
        return SnapshotState(
            covers=self.next_offset - 1,
            entries=self.subjects.list_entries(),
            endpoints=list(self.endpoints.entry_by_endpoint.values()),
            pools=self.endpoints.build_pool_entries(),
            claims=list(self.claims.claim_by_key.values()),
            expired_keys=list(self.claims.expired_key_hashes),
        )

    def observe_fleet(self, events: list[FoldEvent]) -> None:
        """Take the pools' minimum numbers from a change of the fleet.

        :param events: events of the configuration.
        """
        for event in events:
            if isinstance(event, SubjectChanged) and event.subject == FLEET_SUBJECT:
                self.endpoints.observe_fleet(event.document)

    def ignore_record(self, offset: int, reason: str) -> RecordIgnored:
        """Count and log a record that changes nothing.

        :param offset: offset of the record.
        :param reason: what is wrong with it.
        """
        self.ignored_records += 1
        logging.error("[fold] Record ignored. offset=%d reason=%s", offset, reason)
        return RecordIgnored(offset=offset, reason=reason)

    def get_subject(self, subject: str) -> SnapshotEntry | None:
        """Return the revision of a subject in force; a removed one has none.

        :param subject: subject, as kind/name.
        """
        return self.subjects.entry_by_subject.get(subject)

    def get_endpoint(self, endpoint: str) -> EndpointEntry | None:
        """Return the registration and last grant of an endpoint.

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
        """Return the claim of a key, if it is kept.

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

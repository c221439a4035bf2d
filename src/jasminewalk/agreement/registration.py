"""Registration of a sidecar process as the only writer for its endpoint."""

import random

from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.fold_events import (
    FoldEvent,
    RegistrationRejected,
    StateReplaced,
)
from jasminewalk.agreement.log_writer import AppendRecord, generate_record_id
from jasminewalk.generated_records import RegistrationRecord

__all__ = ["Registrar"]


class Registrar:
    """Registers a sidecar process on the log and detects when it is replaced.

    A process that was replaced is superseded: it never registers again and
    should stop.

    :param endpoint: endpoint name.
    :param pool: pool name.
    :param incarnation: identifier of the process.
    :param fold: shared state, derived from the log.
    :param rng: random source for identifiers.
    """

    def __init__(
        self,
        *,
        endpoint: str,
        pool: str,
        incarnation: str,
        fold: LogFold,
        rng: random.Random,
    ) -> None:
        self.endpoint = endpoint
        self.pool = pool
        self.incarnation = incarnation
        self.fold = fold
        self.rng = rng
        self.role: str | None = None
        self.record: RegistrationRecord | None = None
        self.was_registered = False

    @property
    def is_registered(self) -> bool:
        """Whether this process is the only writer for its endpoint."""
        return self.fold.is_registered(self.endpoint, self.incarnation)

    @property
    def is_superseded(self) -> bool:
        """Whether another process replaced this one after it had registered."""
        return self.was_registered and not self.is_registered

    def register(self, role: str = "mixed") -> list[AppendRecord]:
        """Return the append of the record that registers this process.

        Call it once the fold is ready.

        :param role: role that the endpoint reports.
        """
        self.role = role
        return self.propose(left=False)

    def leave(self) -> list[AppendRecord]:
        """Return the append that permanently removes the endpoint from its pool."""
        return self.propose(left=True) if self.is_registered else []

    def on_event(self, event: FoldEvent) -> list[AppendRecord]:
        """Observe an event; register again if the registration was rejected.

        A snapshot that replaces the state can hide the outcome of a registration,
        so the process registers again after it, too.

        :param event: event of the fold.
        """
        self.was_registered = self.was_registered or self.is_registered
        if self.record is None or self.was_registered:
            return []
        if isinstance(event, RegistrationRejected):
            was_rejected = event.record_id == self.record.record_id
            return self.propose(left=False) if was_rejected else []
        if isinstance(event, StateReplaced):
            return self.propose(left=False)
        return []

    def propose(self, left: bool) -> list[AppendRecord]:
        """Return the append of a registration that is based on the current one.

        :param left: whether the endpoint leaves its pool.
        """
        current = self.fold.get_endpoint(self.endpoint)
        self.record = RegistrationRecord(
            record_id=generate_record_id(self.rng, self.incarnation),
            endpoint=self.endpoint,
            pool=self.pool,
            incarnation=self.incarnation,
            base_registration=current.registration if current else 0,
            role=self.role or "mixed",  # type: ignore[arg-type]
            left=left,
        )
        return [AppendRecord(record=self.record)]

"""Operators, a service and engines that check what the system promises them.

They see only what a caller, an endpoint or a reader of the log sees.
"""

import attrs

from jasminewalk.agreement.fold_events import (
    StateReplaced,
    SubjectChanged,
    SubjectRejected,
)
from jasminewalk.agreement.log_writer import AppendRecord, new_record_id
from jasminewalk.generated_records import ConfigurationRecord
from jasminewalk.generated_requests import EngineState
from schedules import Node, World


class ViolationError(AssertionError):
    """An observer saw a promise broken."""


def promise(holds, text):
    if not holds:
        raise ViolationError(text)


class Operator(Node):
    """Adds one to a counter in the configuration, against others that do."""

    told_accepted, told_rejected, told_nothing, pending = 0, 0, 0, None
    served = 0

    def add(self):
        entry = self.fold.get_subject("organisation/counter")
        if self.pending or not self.fold.ready:
            return []
        self.pending = new_record_id(self.rng)
        record = ConfigurationRecord(
            record_id=self.pending,
            subject="organisation/counter",
            base_revision=entry.revision if entry else 0,
            document=str(int(entry.document) + 1 if entry else 1),
        )
        return [AppendRecord(record=record)]

    def on_event(self, event):
        if isinstance(event, StateReplaced) and self.pending:
            self.told_nothing += 1
            self.pending = None
        mine = getattr(event, "record_id", "") == self.pending
        if mine and isinstance(event, SubjectChanged | SubjectRejected):
            self.pending = None
            self.told_accepted += isinstance(event, SubjectChanged)
            self.told_rejected += isinstance(event, SubjectRejected)
        return []

    def serve(self):
        entry = self.fold.get_subject("organisation/counter")
        if self.fold.ready and entry is not None:
            promise(
                entry.revision >= self.served, "a reader went back to an old revision"
            )
            self.served = entry.revision
        elif self.fold.ready:
            promise(self.served == 0, "a reader forgot the configuration")
        return []


@attrs.define(eq=False)
class Service:
    """The plain service, and what its callers were told."""

    world: World
    key_of: dict = attrs.field(factory=dict)
    runs: dict = attrs.field(factory=dict)
    told: dict = attrs.field(factory=dict)

    def run(self, sidecar, request_id):
        key = self.key_of[request_id]
        promise(key not in self.runs, f"{key} ran twice")
        promise(self.told.get(request_id) != "not_run", "ran after not_run was told")
        self.runs[key] = request_id
        answer = (sidecar.answered, request_id, key.encode())
        if self.world.chance(0.1):
            answer = (sidecar.lost, request_id)
        self.world.at(self.world.rng.uniform(0.01, 2.0), sidecar.call, *answer)

    def replied(self, request_id, body):
        self.tell(request_id, "ran")
        key = self.key_of[request_id]
        promise(body == key.encode(), "the answer of another request")
        promise(key in self.runs, "an answer without a run")

    def refused(self, request_id, ran):
        self.tell(request_id, ran)
        ran_it = self.runs.get(self.key_of[request_id]) == request_id
        promise(
            ran != "not_run" or not ran_it, "not_run was told of a request that ran"
        )

    def tell(self, request_id, ran):
        promise(request_id not in self.told, "two answers to one request")
        self.told[request_id] = ran


@attrs.define(eq=False)
class Engine:
    """A model engine, and the observer of the orders that reach it."""

    world: World
    checks_fencing: bool
    role: str = "mixed"
    models: list = attrs.field(factory=list)
    number: int = 0
    wanted: object = None
    life: int = 0
    orders: int = 0
    planned_role: str = "mixed"

    def state(self):
        state = EngineState(
            role=self.role, models=self.models, changing=bool(self.wanted)
        )
        return self.world.clock.now_s, state

    def take_order(self, sidecar, order):
        if self.checks_fencing and order.fencing_number < self.number:
            sidecar.call(sidecar.controller.order_stale)
            return
        promise(order.fencing_number >= self.number, "an old order had an effect")
        wanted = (order.role, tuple(order.models))
        promise(self.wanted in (None, wanted), "two orders conflict")
        self.number, self.wanted = order.fencing_number, wanted
        self.orders += 1
        if not self.world.chance(0.2):
            sidecar.call(sidecar.controller.order_answered, order.fencing_number)
        done = (self.done, self.life, wanted)
        self.world.at(self.world.rng.uniform(0.1, 2.0), *done)

    def done(self, life, wanted):
        if life == self.life and self.wanted == wanted:
            self.role, self.models, self.wanted = wanted[0], list(wanted[1]), None
            self.planned_role = self.role

    def crash(self):
        self.life += 1
        self.role, self.models, self.wanted = "mixed", [], None

    @property
    def decodes(self):
        """Whether no order took decoding away; what a crash takes does not count."""
        if self.wanted is None:
            return {self.planned_role, self.role} != {"prefill"}
        return self.wanted[0] in {self.planned_role, self.role} - {"prefill"}

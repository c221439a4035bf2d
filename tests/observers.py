"""Operators, a service and engines that check the invariants of the system.

They use only what a caller, an endpoint or a reader of the log can observe.
"""

import attrs

from jasminewalk.agreement.fold_events import (
    StateReplaced,
    SubjectChanged,
    SubjectRejected,
)
from jasminewalk.agreement.log_writer import AppendRecord, generate_record_id
from jasminewalk.generated_records import ConfigurationRecord
from jasminewalk.generated_requests import EngineState
from schedules import Node, Simulation


class InvariantViolationError(AssertionError):
    """An observer found that an invariant of the system was violated."""


def check_invariant(condition, message):
    if not condition:
        raise InvariantViolationError(message)


class Operator(Node):
    """Increments a counter in the configuration in competition with other operators."""

    accepted_count, rejected_count, unknown_count, pending = 0, 0, 0, None
    last_read_revision = 0

    def propose_increment(self):
        entry = self.fold.get_subject("organisation/counter")
        if self.pending or not self.fold.is_ready:
            return []
        self.pending = generate_record_id(self.rng)
        record = ConfigurationRecord(
            record_id=self.pending,
            subject="organisation/counter",
            base_revision=entry.revision if entry else 0,
            document=str(int(entry.document) + 1 if entry else 1),
        )
        return [AppendRecord(record=record)]

    def on_event(self, event):
        if isinstance(event, StateReplaced) and self.pending:
            self.unknown_count += 1
            self.pending = None
        is_own_change = getattr(event, "record_id", "") == self.pending
        if is_own_change and isinstance(event, SubjectChanged | SubjectRejected):
            self.pending = None
            self.accepted_count += isinstance(event, SubjectChanged)
            self.rejected_count += isinstance(event, SubjectRejected)
        return []

    def check_reads(self):
        entry = self.fold.get_subject("organisation/counter")
        if self.fold.is_ready and entry is not None:
            check_invariant(
                entry.revision >= self.last_read_revision,
                "a reader went back to an old revision",
            )
            self.last_read_revision = entry.revision
        elif self.fold.is_ready:
            check_invariant(
                self.last_read_revision == 0, "a reader lost the configuration"
            )
        return []


@attrs.define(eq=False)
class Service:
    """Plain service that records its runs and the outcomes reported to callers."""

    simulation: Simulation
    key_by_request: dict = attrs.field(factory=dict)
    executed_request_by_key: dict = attrs.field(factory=dict)
    outcome_by_request: dict = attrs.field(factory=dict)

    def run_request(self, sidecar, request_id):
        key = self.key_by_request[request_id]
        check_invariant(key not in self.executed_request_by_key, f"{key} ran twice")
        check_invariant(
            self.outcome_by_request.get(request_id) != "not_run",
            "ran after not_run was reported",
        )
        self.executed_request_by_key[key] = request_id
        completion = (sidecar.on_service_response, request_id, key.encode())
        if self.simulation.draw_fault(0.1):
            completion = (sidecar.on_service_lost, request_id)
        self.simulation.schedule(
            self.simulation.rng.uniform(0.01, 2.0), sidecar.invoke, *completion
        )

    def on_reply(self, request_id, body):
        self.record_outcome(request_id, "ran")
        key = self.key_by_request[request_id]
        check_invariant(body == key.encode(), "a reply belongs to another request")
        check_invariant(
            key in self.executed_request_by_key, "a reply was sent without a run"
        )

    def on_refusal(self, request_id, ran):
        self.record_outcome(request_id, ran)
        was_executed = (
            self.executed_request_by_key.get(self.key_by_request[request_id])
            == request_id
        )
        check_invariant(
            ran != "not_run" or not was_executed,
            "not_run was reported for a request that ran",
        )

    def record_outcome(self, request_id, ran):
        check_invariant(
            request_id not in self.outcome_by_request, "one request was answered twice"
        )
        self.outcome_by_request[request_id] = ran


@attrs.define(eq=False)
class Engine:
    """Model engine that checks the orders it receives."""

    simulation: Simulation
    checks_fencing: bool
    role: str = "mixed"
    models: list = attrs.field(factory=list)
    fencing_number: int = 0
    pending_state: object = None
    restart_count: int = 0
    order_count: int = 0
    last_ordered_role: str = "mixed"

    def report_state(self):
        state = EngineState(
            role=self.role, models=self.models, changing=bool(self.pending_state)
        )
        return self.simulation.clock.now_s, state

    def receive_order(self, sidecar, order):
        if self.checks_fencing and order.fencing_number < self.fencing_number:
            sidecar.invoke(sidecar.controller.handle_stale_order)
            return
        check_invariant(
            order.fencing_number >= self.fencing_number, "an outdated order took effect"
        )
        wanted = (order.role, tuple(order.models))
        check_invariant(
            self.pending_state in (None, wanted), "two orders are in conflict"
        )
        self.fencing_number, self.pending_state = order.fencing_number, wanted
        self.order_count += 1
        if not self.simulation.draw_fault(0.2):
            sidecar.invoke(
                sidecar.controller.record_order_response, order.fencing_number
            )
        completion = (self.complete_order, self.restart_count, wanted)
        self.simulation.schedule(self.simulation.rng.uniform(0.1, 2.0), *completion)

    def complete_order(self, restart_count, wanted):
        if restart_count == self.restart_count and self.pending_state == wanted:
            self.role, self.models, self.pending_state = (
                wanted[0],
                list(wanted[1]),
                None,
            )
            self.last_ordered_role = self.role

    def crash(self):
        self.restart_count += 1
        self.role, self.models, self.pending_state = "mixed", [], None

    @property
    def keeps_decoding(self):
        """Whether no order has stopped the engine from decoding.

        Decoding that a crash has ended is not counted as stopped by an order.
        """
        if self.pending_state is None:
            return {self.last_ordered_role, self.role} != {"prefill"}
        return self.pending_state[0] in {self.last_ordered_role, self.role} - {
            "prefill"
        }

"""Simulated processes that run the real decision code under random schedules."""

import heapq
import random

import attrs

from jasminewalk.agreement import at_most_once, order_actions
from jasminewalk.agreement.at_most_once import ClaimController, ClaimSettings
from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.log_writer import (
    AppendRecord,
    LogWriter,
    LogWriterSettings,
    SendAppend,
)
from jasminewalk.agreement.order_actions import OrderSettings
from jasminewalk.agreement.order_controller import OrderController
from jasminewalk.agreement.registration import Registrar
from jasminewalk.agreement.snapshots import SnapshotPlanner, SnapshotSettings
from jasminewalk.clock import ManualClock
from jasminewalk.interfaces import LogEntry

MAX_ORDER_DELAY_S = 0.8
LAPSE_MARGIN_S = 1.0
GRANT_LIFETIME_S = 3.0
RETENTION_S = 20.0
FAULT_PHASE_S = 60.0
RECOVERY_PHASE_S = 60.0
POLL_INTERVAL_S = 0.2
WRITER_SETTINGS = LogWriterSettings(response_timeout_s=1.0, retry_max_s=2.0)


class Simulation:
    """Virtual time, a network with faults and the log."""

    def __init__(self, seed, faults=True):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.faults = faults
        self.queue, self.event_count = [], 0
        self.records, self.first_retained, self.in_outage = [], 1, False

    def schedule(self, delay_s, callback, *args):
        due_s = self.clock.now_s + delay_s
        heapq.heappush(self.queue, (due_s, self.rng.random(), callback, args))

    def run_until(self, end_s):
        while self.queue and self.queue[0][0] <= end_s:
            due_s, _, callback, args = heapq.heappop(self.queue)
            self.clock.advance(due_s - self.clock.now_s)
            self.event_count += 1
            callback(*args)

    def draw_fault(self, probability):
        return self.faults and self.rng.random() < probability

    def draw_latency_s(self):
        return self.rng.uniform(0.001, 0.3 if self.draw_fault(0.1) else 0.02)

    def append(self, node, record_id, data):
        def store_record(response_expected):
            if self.in_outage:
                self.schedule(
                    WRITER_SETTINGS.response_timeout_s,
                    node.invoke,
                    node.on_append_failed,
                    record_id,
                )
                return
            self.records.append((self.clock.now_s, data))
            if response_expected:
                args = (
                    node.invoke,
                    node.on_append_succeeded,
                    record_id,
                    len(self.records),
                )
                self.schedule(self.draw_latency_s(), *args)

        response_lost = self.draw_fault(0.15)
        if not self.draw_fault(0.05):
            self.schedule(self.draw_latency_s(), store_record, not response_lost)
        if self.draw_fault(0.1):
            self.schedule(self.rng.uniform(0.0, 15.0), store_record, False)
        if response_lost:
            self.schedule(
                WRITER_SETTINGS.response_timeout_s,
                node.invoke,
                node.on_append_failed,
                record_id,
            )

    def read_page(self, next_offset):
        oldest_s = self.clock.now_s - RETENTION_S
        while (
            self.first_retained <= len(self.records)
            and self.records[self.first_retained - 1][0] < oldest_s
        ):
            self.first_retained += 1
        start = max(self.first_retained, next_offset)
        entries = [
            LogEntry(offset, self.records[offset - 1][1])
            for offset in range(start, min(len(self.records), start + 50) + 1)
        ]
        return self.first_retained, len(self.records) + 1, entries


class Node:
    """A process with its fold and log writer; it can pause, stop or be partitioned."""

    def __init__(self, simulation, name, incarnation):
        self.simulation, self.name, self.incarnation = simulation, name, incarnation
        self.rng = random.Random(simulation.rng.random())
        self.fold = LogFold()
        self.writer = LogWriter(WRITER_SETTINGS, self.rng)
        self.stopped, self.paused_until_s, self.partitioned = False, 0.0, False
        self.last_read_s, self.first_tail = 0.0, 0
        settings = SnapshotSettings(
            retention_s=RETENTION_S, chunk_bytes=2000, chunks_per_s=20
        )
        self.snapshots = SnapshotPlanner(self.fold, settings, self.rng)
        simulation.schedule(0.0, self.poll)

    @property
    def now_s(self):
        return self.simulation.clock.now_s

    def invoke(self, function, *args):
        if self.stopped:
            return
        if self.now_s < self.paused_until_s:
            self.simulation.schedule(
                self.paused_until_s - self.now_s, self.invoke, function, *args
            )
            return
        self.perform_actions(function(*args) or [])

    def poll(self):
        if not (self.simulation.in_outage or self.partitioned):
            page = self.simulation.read_page(self.fold.next_offset)
            self.simulation.schedule(
                self.simulation.draw_latency_s(), self.invoke, self.apply_page, page
            )
        self.invoke(self.tick)
        if not self.stopped:
            self.simulation.schedule(
                POLL_INTERVAL_S * self.rng.uniform(0.8, 1.2), self.poll
            )

    def apply_page(self, page):
        first, tail, entries = page
        self.last_read_s = self.now_s
        self.fold.observe_first_retained(first)
        for entry in entries:
            for event in self.fold.apply(entry):
                self.perform_actions(self.on_event(event))
                if hasattr(event, "record_id"):
                    self.writer.record_read_back(event.record_id)
        self.fold.observe_tail(tail)
        self.writer.discard_applied(self.fold.next_offset)

    def on_append_failed(self, record_id):
        self.writer.record_failure(self.now_s, record_id)

    def on_append_succeeded(self, record_id, offset):
        self.writer.record_response(record_id, offset)

    def perform_actions(self, actions):
        for action in actions:
            if isinstance(action, AppendRecord):
                args = (self.now_s, action.record, action.give_up_s)
                self.perform_actions(self.writer.submit(*args))
            elif isinstance(action, SendAppend):
                if not self.partitioned:
                    self.simulation.append(self, action.record_id, action.data)
            else:
                self.handle_action(action)

    def tick(self):
        chunks = self.snapshots.tick(self.now_s)
        self.perform_actions([AppendRecord(record=chunk) for chunk in chunks])
        self.perform_actions(self.writer.tick(self.now_s))
        return self.on_tick()

    def on_tick(self):
        return []

    def on_event(self, event):
        return []

    def handle_action(self, action):
        pass


class Sidecar(Node):
    """Sidecar process that registers itself for an endpoint."""

    def __init__(self, simulation, name, incarnation, pool):
        super().__init__(simulation, name, incarnation)
        self.pool = pool
        self.registration_sent = False
        self.registrar = Registrar(
            endpoint=name,
            pool=pool,
            incarnation=incarnation,
            fold=self.fold,
            rng=self.rng,
        )

    def register_when_ready(self, role="mixed"):
        if self.registration_sent or not self.fold.is_ready:
            return []
        self.registration_sent = True
        return self.registrar.register(role)

    def on_event(self, event):
        return [
            *self.registrar.on_event(event),
            *self.controller.on_event(self.now_s, event),
        ]


class ServiceSidecar(Sidecar):
    """Sidecar of a plain service whose runs and responses the service checks."""

    def __init__(self, simulation, name, incarnation, service):
        super().__init__(simulation, name, incarnation, "bookings")
        self.service = service
        settings = ClaimSettings(
            endpoint=name, incarnation=incarnation, claim_wait_s=1.0, outcome_wait_s=3.0
        )
        self.controller = ClaimController(settings, self.fold, self.rng)

    def on_tick(self):
        has_recent_read = self.now_s - self.last_read_s < 1.0
        self.controller.log_available = has_recent_read and not self.writer.in_outage
        return [*self.register_when_ready(), *self.controller.tick(self.now_s)]

    def start_request(self, request_id, key):
        return self.controller.handle_request(
            self.now_s,
            request_id=request_id,
            key=key,
            fingerprint=key,
            deadline_s=self.now_s + 5.0,
        )

    def handle_action(self, action):
        match action:
            case at_most_once.RunRequest():
                delay_s = self.simulation.draw_latency_s()
                self.simulation.schedule(
                    delay_s, self.service.run_request, self, action.request_id
                )
            case at_most_once.ReplyToRequest():
                self.service.on_reply(action.request_id, action.body)
            case at_most_once.RefuseRequest():
                self.service.on_refusal(action.request_id, action.refusal.ran)

    def on_service_response(self, request_id, body):
        return self.controller.handle_response(
            self.now_s, request_id, status=200, headers=[], body=body
        )

    def on_service_lost(self, request_id):
        return self.controller.handle_lost_response(self.now_s, request_id)


class EngineSidecar(Sidecar):
    """Sidecar of an engine that sends an order only while the order is valid."""

    def __init__(self, simulation, name, incarnation, engine):
        super().__init__(simulation, name, incarnation, "tutor")
        self.engine = engine
        settings = OrderSettings(
            endpoint=name,
            pool="tutor",
            incarnation=incarnation,
            checks_fencing=engine.checks_fencing,
            lifetime_s=GRANT_LIFETIME_S,
            margin_s=LAPSE_MARGIN_S,
            order_timeout_s=1.0,
        )
        self.controller = OrderController(settings, self.fold, self.rng)

    def on_tick(self):
        self.simulation.schedule(
            self.simulation.draw_latency_s(),
            self.invoke,
            self.observe_engine,
            self.engine.report_state(),
        )
        return [
            *self.register_when_ready(self.engine.role),
            *self.controller.tick(self.now_s),
        ]

    def observe_engine(self, report):
        reported_s, state = report
        state_with_age = attrs.evolve(state, age_s=self.now_s - reported_s)
        return self.controller.observe_engine(self.now_s, state_with_age)

    def on_drained(self):
        return self.controller.handle_drained(self.now_s)

    def handle_action(self, action):
        match action:
            case order_actions.StartDrain():
                self.simulation.schedule(
                    self.simulation.rng.uniform(0.0, 2.0), self.invoke, self.on_drained
                )
            case order_actions.SendOrder() if self.now_s < action.valid_until_s:
                if not self.simulation.draw_fault(0.2):
                    delay_s = self.simulation.rng.uniform(0.001, MAX_ORDER_DELAY_S)
                    self.simulation.schedule(
                        delay_s, self.engine.receive_order, self, action.order
                    )

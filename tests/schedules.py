"""Random schedules over the real decisions: clock, network, log and back ends."""

import heapq
import random

import attrs

from jasminewalk.agreement import at_most_once, order_actions
from jasminewalk.agreement.at_most_once import ClaimController, ClaimSettings
from jasminewalk.agreement.authority import OrderController
from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.log_writer import (
    AppendRecord,
    LogWriter,
    LogWriterSettings,
    SendAppend,
)
from jasminewalk.agreement.order_actions import OrderSettings
from jasminewalk.agreement.registration import Registrar
from jasminewalk.agreement.snapshots import SnapshotPlanner, SnapshotSettings
from jasminewalk.clock import ManualClock
from jasminewalk.interfaces import LogEntry

FLIGHT_S = 0.8
MARGIN_S = 1.0
LIFETIME_S = 3.0
RETENTION_S = 20.0
FAULTS_S = 60.0
HEAL_S = 60.0
POLL_S = 0.2
WRITER = LogWriterSettings(answer_timeout_s=1.0, retry_max_s=2.0)


class World:
    """Virtual time, the network, the log and its faults."""

    def __init__(self, seed, faults=True):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.faults = faults
        self.queue, self.events = [], 0
        self.records, self.first, self.outage = [], 1, False

    def at(self, delay_s, call, *args):
        due_s = self.clock.now_s + delay_s
        heapq.heappush(self.queue, (due_s, self.rng.random(), call, args))

    def run_until(self, end_s):
        while self.queue and self.queue[0][0] <= end_s:
            due_s, _, call, args = heapq.heappop(self.queue)
            self.clock.advance(due_s - self.clock.now_s)
            self.events += 1
            call(*args)

    def chance(self, probability):
        return self.faults and self.rng.random() < probability

    def latency_s(self):
        return self.rng.uniform(0.001, 0.3 if self.chance(0.1) else 0.02)

    def append(self, node, record_id, data):
        def land(answer):
            if self.outage:
                self.at(
                    WRITER.answer_timeout_s, node.call, node.writer_failed, record_id
                )
                return
            self.records.append((self.clock.now_s, data))
            if answer:
                args = (node.call, node.writer_answered, record_id, len(self.records))
                self.at(self.latency_s(), *args)

        lost = self.chance(0.15)
        if not self.chance(0.05):
            self.at(self.latency_s(), land, not lost)
        if self.chance(0.1):
            self.at(self.rng.uniform(0.0, 15.0), land, False)
        if lost:
            self.at(WRITER.answer_timeout_s, node.call, node.writer_failed, record_id)

    def page(self, next_offset):
        oldest_s = self.clock.now_s - RETENTION_S
        while (
            self.first <= len(self.records)
            and self.records[self.first - 1][0] < oldest_s
        ):
            self.first += 1
        start = max(self.first, next_offset)
        entries = [
            LogEntry(n, self.records[n - 1][1])
            for n in range(start, min(len(self.records), start + 50) + 1)
        ]
        return self.first, len(self.records) + 1, entries


class Node:
    """A process: its fold and writer, and the faults that befall it."""

    def __init__(self, world, name, incarnation):
        self.world, self.name, self.incarnation = world, name, incarnation
        self.rng = random.Random(world.rng.random())
        self.fold = LogFold()
        self.writer = LogWriter(WRITER, self.rng)
        self.dead, self.paused_until_s, self.cut = False, 0.0, False
        self.read_s, self.first_tail = 0.0, 0
        settings = SnapshotSettings(
            retention_s=RETENTION_S, chunk_bytes=2000, chunks_per_s=20
        )
        self.snapshots = SnapshotPlanner(self.fold, settings, self.rng)
        world.at(0.0, self.poll)

    @property
    def now_s(self):
        return self.world.clock.now_s

    def call(self, function, *args):
        if self.dead:
            return
        if self.now_s < self.paused_until_s:
            self.world.at(self.paused_until_s - self.now_s, self.call, function, *args)
            return
        self.perform(function(*args) or [])

    def poll(self):
        if not (self.world.outage or self.cut):
            page = self.world.page(self.fold.next_offset)
            self.world.at(self.world.latency_s(), self.call, self.apply_page, page)
        self.call(self.tick)
        if not self.dead:
            self.world.at(POLL_S * self.rng.uniform(0.8, 1.2), self.poll)

    def apply_page(self, page):
        first, tail, entries = page
        self.read_s = self.now_s
        self.fold.observe_first_retained(first)
        for entry in entries:
            for event in self.fold.apply(entry):
                self.perform(self.on_event(event))
                if hasattr(event, "record_id"):
                    self.writer.record_read_back(event.record_id)
        self.fold.observe_tail(tail)
        self.writer.discard_applied(self.fold.next_offset)

    def writer_failed(self, record_id):
        self.writer.record_failure(self.now_s, record_id)

    def writer_answered(self, record_id, offset):
        self.writer.record_answer(record_id, offset)

    def perform(self, actions):
        for action in actions:
            if isinstance(action, AppendRecord):
                args = (self.now_s, action.record, action.give_up_s)
                self.perform(self.writer.submit(*args))
            elif isinstance(action, SendAppend):
                if not self.cut:
                    self.world.append(self, action.record_id, action.data)
            else:
                self.act(action)

    def tick(self):
        chunks = self.snapshots.tick(self.now_s)
        self.perform([AppendRecord(record=chunk) for chunk in chunks])
        self.perform(self.writer.tick(self.now_s))
        return self.on_tick()

    def on_tick(self):
        return []

    def on_event(self, event):
        return []

    def act(self, action):
        pass


class Sidecar(Node):
    """A registered process beside an endpoint."""

    def __init__(self, world, name, incarnation, pool):
        super().__init__(world, name, incarnation)
        self.pool = pool
        self.asked = False
        self.registrar = Registrar(
            endpoint=name,
            pool=pool,
            incarnation=incarnation,
            fold=self.fold,
            rng=self.rng,
        )

    def register_once(self, role="mixed"):
        if self.asked or not self.fold.ready:
            return []
        self.asked = True
        return self.registrar.register(role)

    def on_event(self, event):
        return [
            *self.registrar.on_event(event),
            *self.controller.on_event(self.now_s, event),
        ]


class ServiceSidecar(Sidecar):
    """Sidecar of a plain service, with callers that watch."""

    def __init__(self, world, name, incarnation, service):
        super().__init__(world, name, incarnation, "bookings")
        self.service = service
        settings = ClaimSettings(
            endpoint=name, incarnation=incarnation, claim_wait_s=1.0, outcome_wait_s=3.0
        )
        self.controller = ClaimController(settings, self.fold, self.rng)

    def on_tick(self):
        is_fresh = self.now_s - self.read_s < 1.0
        self.controller.log_available = is_fresh and not self.writer.in_outage
        return [*self.register_once(), *self.controller.tick(self.now_s)]

    def request(self, request_id, key):
        return self.controller.request(
            self.now_s,
            request_id=request_id,
            key=key,
            fingerprint=key,
            deadline_s=self.now_s + 5.0,
        )

    def act(self, action):
        match action:
            case at_most_once.RunRequest():
                delay_s = self.world.latency_s()
                self.world.at(delay_s, self.service.run, self, action.request_id)
            case at_most_once.ReplyToRequest():
                self.service.replied(action.request_id, action.body)
            case at_most_once.RefuseRequest():
                self.service.refused(action.request_id, action.refusal.ran)

    def answered(self, request_id, body):
        return self.controller.finished(
            self.now_s, request_id, status=200, headers=[], body=body
        )

    def lost(self, request_id):
        return self.controller.lost(self.now_s, request_id)


class EngineSidecar(Sidecar):
    """Sidecar of an engine; checks an order's validity as it leaves."""

    def __init__(self, world, name, incarnation, engine):
        super().__init__(world, name, incarnation, "tutor")
        self.engine = engine
        settings = OrderSettings(
            endpoint=name,
            pool="tutor",
            incarnation=incarnation,
            checks_fencing=engine.checks_fencing,
            lifetime_s=LIFETIME_S,
            margin_s=MARGIN_S,
            order_timeout_s=1.0,
        )
        self.controller = OrderController(settings, self.fold, self.rng)

    def on_tick(self):
        self.world.at(
            self.world.latency_s(), self.call, self.observe, self.engine.state()
        )
        return [
            *self.register_once(self.engine.role),
            *self.controller.tick(self.now_s),
        ]

    def observe(self, seen):
        seen_s, state = seen
        aged = attrs.evolve(state, age_s=self.now_s - seen_s)
        return self.controller.observe_engine(self.now_s, aged)

    def drained(self):
        return self.controller.drained(self.now_s)

    def act(self, action):
        match action:
            case order_actions.StartDrain():
                self.world.at(self.world.rng.uniform(0.0, 2.0), self.call, self.drained)
            case order_actions.SendOrder() if self.now_s < action.valid_until_s:
                if not self.world.chance(0.2):
                    delay_s = self.world.rng.uniform(0.001, FLIGHT_S)
                    self.world.at(delay_s, self.engine.take_order, self, action.order)

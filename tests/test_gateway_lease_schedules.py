"""Random schedules of the lease on stage orders, in virtual time.

The store comes back from older copies, also several times in a row, while gateways are
frozen, cut off from it, and restarted, and responses are late or lost.
"""

import heapq
import itertools
import random

import pytest

from jasminewalk.exceptions import LogUnavailableError
from jasminewalk.gateway.holder_lease import (
    HOLDER_PARTITION,
    USAGE_PARTITION,
    HolderLease,
)
from jasminewalk.platform.store import GroupMembership, StoreClient, StoreResponse

SESSION_S = 3.0
GAP_S = 0.5
DURATION_S = 60.0
TICK_S = 0.02
MEMBERS = 3


class LeaseStore:
    """Group of the store in virtual time, with copies to come back from."""

    def __init__(self):
        self.expiries = {}
        self.generation = 0
        self.era = 1
        self.copies = []

    def join(self, now, member):
        live = {name: at for name, at in self.expiries.items() if at > now}
        if live.keys() != self.expiries.keys() or member not in live:
            self.generation += 1
        self.expiries = live
        self.expiries[member] = now + SESSION_S
        held = next(iter(self.expiries)) == member
        partitions = frozenset((HOLDER_PARTITION,) if held else ())
        return GroupMembership(self.generation, partitions), self.era

    def save_copy(self):
        self.copies.append((dict(self.expiries), self.generation))

    def restore(self, rng):
        expiries, self.generation = rng.choice(self.copies[-10:])
        self.expiries = dict(expiries)
        self.copies.clear()
        self.save_copy()
        self.era += 1


class SimulatedMember:
    """Gateway that renews its lease."""

    def __init__(self, number):
        self.number = number
        self.frozen_until = self.cut_until = 0.0
        self.starts = self.calls = 0
        self.start(0.0)

    def start(self, now):
        self.starts += 1
        self.name = f"front-{self.number}/{self.starts}"
        self.lease = lease = HolderLease(SESSION_S, GAP_S)
        self.client = StoreClient(None)
        self.now = now
        self.client.on_new_era = lambda previous, era: lease.distrust(self.now, era)

    def receive(self, now, name, call, requested_at, membership, era):
        self.now = now
        # A call ends when its response is too late, or before the next one.
        if name != self.name or call != self.calls:
            return
        try:
            self.client._check_era(StoreResponse(200, b"", era))
        except LogUnavailableError:
            return
        self.lease.record_renewal(requested_at, now, membership)


class LeaseSchedule:
    """Runs one schedule and records who may give orders."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.store = LeaseStore()
        self.members = [SimulatedMember(number) for number in range(MEMBERS)]
        self.events = []
        self.numbers = itertools.count()
        self.orders = []

    def plan(self, at, action, *arguments):
        heapq.heappush(self.events, (at, next(self.numbers), action, arguments))

    def run(self):
        for member in self.members:
            self.plan(self.rng.uniform(0.0, 0.7), self.renew, member)
        for action, interval_s in ((self.copy, 0.5), (self.tick, TICK_S)):
            self.plan(0.0, action, interval_s)
        self.plan(self.rng.uniform(3.0, 8.0), self.disturb)
        while self.events and self.events[0][0] < DURATION_S:
            at, _, action, arguments = heapq.heappop(self.events)
            action(at, *arguments)

    def copy(self, now, interval_s):
        self.store.save_copy()
        self.plan(now + interval_s, self.copy, interval_s)

    def tick(self, now, interval_s):
        for member in self.members:
            if member.frozen_until <= now and member.lease.may_order(now):
                fencing_number = member.lease.fencing_number
                self.orders.append((now, member.name, fencing_number))
        self.plan(now + interval_s, self.tick, interval_s)

    def renew(self, now, member):
        if member.frozen_until > now:
            self.plan(member.frozen_until, self.renew, member)
            return
        member.calls += 1
        if member.cut_until <= now:
            arrives_at = now + self.rng.uniform(0.0, 0.3)
            call = member.name, member.calls, now
            self.plan(arrives_at, self.answer, member, *call)
        self.plan(now + self.rng.uniform(0.63, 0.77), self.renew, member)

    def answer(self, now, member, name, *call):
        response = self.store.join(now, name)
        if self.rng.random() > 0.1:
            arrives_at = now + self.rng.choice((0.001, 0.05, 0.4))
            self.plan(arrives_at, self.deliver, member, name, *call, *response)

    def deliver(self, now, member, *response):
        if member.frozen_until > now:
            self.plan(member.frozen_until, self.deliver, member, *response)
        elif member.cut_until <= now:
            member.receive(now, *response)

    def disturb(self, now):
        member = self.rng.choice(self.members)
        kind = self.rng.choice(("restore", "restore", "freeze", "cut", "restart"))
        if kind == "restore":
            self.store.restore(self.rng)
        elif kind == "freeze":
            member.frozen_until = now + self.rng.uniform(0.5, 5.0)
        elif kind == "cut":
            member.cut_until = now + self.rng.uniform(0.5, 5.0)
        else:
            member.start(now)
        self.plan(now + self.rng.choice((0.2, 1.0, 4.0, 8.0)), self.disturb)


@pytest.mark.parametrize("seed", range(150))
def test_orders_of_two_holders_are_apart_and_fencing_numbers_rise(seed):
    schedule = LeaseSchedule(seed)
    schedule.run()
    for (at, member, number), (next_at, next_member, next_number) in itertools.pairwise(
        schedule.orders
    ):
        assert next_number >= number, (at, member, next_at, next_member)
        if next_member != member:
            assert next_at - at >= GAP_S, (at, member, next_at, next_member)
            assert next_number > number, (at, member, next_at, next_member)


def test_schedules_have_holders_in_several_eras():
    schedules = [LeaseSchedule(seed) for seed in range(10)]
    for schedule in schedules:
        schedule.run()
    assert sum(bool(schedule.orders) for schedule in schedules) >= 8
    eras = {number // 1_000_000 for s in schedules for _, _, number in s.orders}
    assert len(eras) >= 3


# Several duties, which the store deals out evenly.

DUTIES = (HOLDER_PARTITION, USAGE_PARTITION)


class DealingStore(LeaseStore):
    """Group whose partitions are dealt evenly, and move when their holder agrees.

    Without ``waits_for_holder``, they move at once, which no store may do.
    """

    def __init__(self, waits_for_holder=True):
        super().__init__()
        self.waits_for_holder = waits_for_holder
        self.owners = {}
        self.known = {}

    def deal(self):
        members = list(self.expiries)
        return {duty: members[duty % len(members)] for duty in DUTIES}

    def join(self, now, member, known_generation=0):
        live = {name: at for name, at in self.expiries.items() if at > now}
        if live.keys() != self.expiries.keys() or member not in live:
            self.generation += 1
        self.expiries = live
        self.expiries[member] = now + SESSION_S
        for duty, wanted in self.deal().items():
            owner = self.owners.get(duty)
            agrees = owner == member and known_generation >= self.generation
            if owner not in self.expiries or agrees or not self.waits_for_holder:
                self.owners[duty] = wanted
        held = frozenset(
            duty
            for duty, wanted in self.deal().items()
            if wanted == member and self.owners[duty] == member
        )
        return GroupMembership(self.generation, held), self.era

    def restore(self, rng):
        super().restore(rng)
        self.owners = {}


class MemberOfDuties(SimulatedMember):
    """Gateway that renews the leases on several duties with one call."""

    def start(self, now):
        super().start(now)
        self.leases = [HolderLease(SESSION_S, GAP_S, partition=p) for p in DUTIES]
        self.client.on_new_era = lambda previous, era: [
            lease.distrust(self.now, era) for lease in self.leases
        ]
        self.generation = 0

    def receive(self, now, name, call, requested_at, membership, era):
        self.now = now
        if name != self.name or call != self.calls:
            return
        try:
            self.client._check_era(StoreResponse(200, b"", era))
        except LogUnavailableError:
            return
        self.generation = membership.generation
        for lease in self.leases:
            lease.record_renewal(requested_at, now, membership)


class DutySchedule(LeaseSchedule):
    def __init__(self, seed, **options):
        super().__init__(seed)
        self.store = DealingStore(**options)
        self.members = [MemberOfDuties(number) for number in range(MEMBERS)]

    def tick(self, now, interval_s):
        for member in self.members:
            for duty, lease in zip(DUTIES, member.leases, strict=True):
                if member.frozen_until <= now and lease.may_order(now):
                    order = duty, now, member.name, lease.fencing_number
                    self.orders.append(order)
        self.plan(now + interval_s, self.tick, interval_s)

    def answer(self, now, member, name, *call):
        response = self.store.join(now, name, member.generation)
        if self.rng.random() > 0.1:
            arrives_at = now + self.rng.choice((0.001, 0.05, 0.4))
            self.plan(arrives_at, self.deliver, member, name, *call, *response)

    def find_violation(self):
        """Return two acts on one duty that are too close or not in order, if any."""
        for duty in DUTIES:
            acts = [act[1:] for act in self.orders if act[0] == duty]
            for former, following in itertools.pairwise(acts):
                (at, member, number), (next_at, next_member, next_number) = (
                    former,
                    following,
                )
                changes = next_member != member
                if next_number < number or (
                    changes and (next_at - at < GAP_S or next_number == number)
                ):
                    return former, following
        return None


@pytest.mark.parametrize("seed", range(100))
def test_holders_of_each_of_several_duties_are_apart(seed):
    schedule = DutySchedule(seed)
    schedule.run()
    assert schedule.find_violation() is None
    assert {duty for duty, *_ in schedule.orders} == set(DUTIES)


def test_store_that_does_not_wait_for_holders_is_found_out():
    schedules = [DutySchedule(seed, waits_for_holder=False) for seed in range(20)]
    for schedule in schedules:
        schedule.run()
    assert any(schedule.find_violation() for schedule in schedules)

"""Loads that queueing, refusing and placing are made for, played in virtual time.

Engines here read prompts one after the other and hold a slot while they answer, as the
users' sheets say. Callers' answers are what is checked.
"""

import heapq
import itertools
import random

import msgspec
import pytest

from gateway_fakes import make_engine
from jasminewalk.gateway.admission import AdmissionPolicy, Admitted
from jasminewalk.gateway.demand import DemandMeter
from jasminewalk.gateway.fleet import Fleet
from jasminewalk.gateway.peers import LoadExchange, TopicProgress, decode_peer_message
from jasminewalk.gateway.placement import KV_TRANSFER_S, PlacementPolicy, PromptProfile
from jasminewalk.platform.headers import PromptPart

# Seconds that a stream of a short question holds a slot at an engine of speed 1.
HOLD_S = 0.16
# Seconds after which callers abandon a stream without an event, by the protocol.
PATIENCE_S = 2.0
SHORT = {"objective_s": 0.25, "deadline_s": 2.5, "rank": 0}
LONG = {"objective_s": 0.5, "deadline_s": 5.0, "rank": 1}


class Play:
    """Plays arrivals against engines and counts answers in time."""

    def __init__(self, engines, placement, admission):
        self.engines = engines
        self.placement = placement
        self.admission = admission
        self.free_at = dict.fromkeys(
            (engine.entry.engine_id for engine in engines), 0.0
        )
        self.ends = {engine.entry.engine_id: [] for engine in engines}
        self.events = []
        self.order = itertools.count()
        self.demand = DemandMeter()
        self.in_time = 0
        self.late = 0
        self.abandoned = 0
        self.refused = 0
        self.retry_after = []

    def at(self, instant, action):
        heapq.heappush(self.events, (instant, next(self.order), action))

    def run(self):
        while self.events:
            now, _, action = heapq.heappop(self.events)
            action(now)

    def arrive(self, now, work, objective_s, deadline_s, rank):
        reading_s, answering_s = self.placement.estimate_demand(work, self.engines)
        self.demand.count(now, reading_s=reading_s, answering_s=answering_s)
        busy = self.placement.is_busy(self.demand.rate(now), self.engines)
        options = self.placement.list_options(work, self.engines)
        for option in options:
            decision = self.admission.decide(
                option.predicted_s,
                option.estimate.wait_s,
                objective_s,
                deadline_s,
                PATIENCE_S,
                rank,
                disaggregated=option.disaggregated,
                busy=busy,
            )
            if isinstance(decision, Admitted):
                self.serve(now, work, option, objective_s)
                return
        self.refused += 1
        self.retry_after.append(decision.retry_after_s)

    def serve(self, now, work, option, objective_s):
        estimate = option.estimate
        engine, name = estimate.engine, estimate.engine.entry.engine_id
        engine.cache.add(work.parts)
        engine.own.requests += 1
        engine.own.reading_s += estimate.prefill_s
        ends = self.ends[name]
        ends[:] = [end for end in ends if end > now]
        slot_at = sorted(ends)[-engine.entry.slots] if len(ends) >= 16 else now
        read_at = max(now, slot_at, self.free_at[name]) + estimate.predicted_prefill_s
        self.free_at[name] = read_at
        hold_s = 0.0 if option.disaggregated else HOLD_S / engine.speed
        ends.append(read_at + hold_s)
        first_at = read_at + (KV_TRANSFER_S if option.disaggregated else 0.0)
        if first_at - now <= objective_s:
            self.in_time += 1
        elif first_at - now <= PATIENCE_S:
            self.late += 1
        else:
            self.abandoned += 1

        def was_read(_):
            engine.own.reading_s = max(0.0, engine.own.reading_s - estimate.prefill_s)

        def ended(_):
            engine.own.requests -= 1

        self.at(read_at, was_read)
        self.at(read_at + hold_s, ended)


def short_question(number):
    return PromptProfile((PromptPart(f"q{number}", 380),), 380)


def long_prompt(generator):
    handbook = generator.randrange(105)
    parts = (
        PromptPart(f"handbook-{handbook}", 13_300),
        PromptPart(f"notes-{generator.random()}", 3720),
    )
    return PromptProfile(parts, 17_020)


def fleet_of(readers, others):
    speeds = itertools.cycle((0.6, 1.0, 1.6))
    engines = [
        make_engine(f"p{n}", "prefill", speed=next(speeds)) for n in range(readers)
    ]
    return engines + [make_engine(f"d{n}", speed=next(speeds)) for n in range(others)]


def play(engines, arrivals, *, placement=None, admission=None):
    made = Play(
        engines, placement or PlacementPolicy("north"), admission or AdmissionPolicy()
    )
    for instant, work, terms in arrivals:
        made.at(instant, lambda now, w=work, t=terms: made.arrive(now, w, **t))
    made.run()
    return made


def poisson(generator, rate, until_s):
    instant = 0.0
    while (instant := instant + generator.expovariate(rate)) < until_s:
        yield instant


class SendAll(AdmissionPolicy):
    """Earlier policy: sends whatever comes."""

    def decide(self, *terms, **conditions):
        return Admitted(1, in_time=True)


class IgnoreSlots(PlacementPolicy):
    """Earlier policy: predicts as if engines had any number of slots."""

    def estimate(self, work, engine):
        requests, engine.own.requests = engine.own.requests, 0
        found = super().estimate(work, engine)
        engine.own.requests = requests
        return found


def burst_of_questions(seed):
    generator = random.Random(seed)
    return [
        (instant, short_question(number), SHORT)
        for number, instant in enumerate(poisson(generator, 420.0, 6.0))
    ]


@pytest.mark.parametrize("seed", range(5))
def test_burst_of_questions_beyond_the_slots_is_answered_in_time_or_refused(seed):
    arrivals = burst_of_questions(seed)
    found = play(fleet_of(3, 4), arrivals)
    before = play(fleet_of(3, 4), arrivals, placement=IgnoreSlots("north"))
    assert found.late <= 0.15 * len(arrivals)
    assert found.in_time > before.in_time
    answered = found.late + found.in_time
    assert found.refused + found.abandoned + answered == len(arrivals)
    assert found.abandoned == 0
    assert all(0.0 < wait <= 2.0 for wait in found.retry_after)


def burst_of_prompts(seed):
    generator = random.Random(seed)
    return [
        (instant, long_prompt(generator), LONG)
        for instant in poisson(generator, 40.0, 8.0)
    ]


def credit(found):
    """Credit as the users' sheets weigh it: a late verdict has 4.1 of 14."""
    return found.in_time + 0.29 * found.late


@pytest.mark.parametrize("seed", range(5))
def test_burst_of_prompts_beyond_the_readers_earns_more_by_refusing(seed):
    arrivals = burst_of_prompts(seed)
    found = play(fleet_of(3, 4), arrivals)
    before = play(fleet_of(3, 4), arrivals, admission=SendAll())
    assert credit(found) > 2 * credit(before)
    assert found.in_time > 5 * before.in_time
    assert found.refused > 0


@pytest.mark.parametrize("seed", range(5))
def test_prompts_do_not_hold_up_the_questions(seed):
    generator = random.Random(seed)
    questions = [
        (instant, short_question(number), SHORT)
        for number, instant in enumerate(poisson(generator, 100.0, 8.0))
    ]
    prompts = [arrival for arrival in burst_of_prompts(seed) if arrival[0] < 8.0]
    found = play(fleet_of(3, 4), sorted(questions + prompts, key=lambda a: a[0]))
    alone = play(fleet_of(3, 4), questions)
    long_alone = play(fleet_of(3, 4), prompts)
    assert alone.in_time >= 0.99 * len(questions)
    assert found.in_time >= 0.9 * (alone.in_time + 0.8 * long_alone.in_time)


@pytest.mark.parametrize("seed", range(5))
def test_calm_mix_is_served_whole(seed):
    generator = random.Random(seed)
    arrivals = [
        (instant, short_question(number), SHORT)
        for number, instant in enumerate(poisson(generator, 60.0, 20.0))
    ] + [
        (instant, long_prompt(generator), LONG)
        for instant in poisson(generator, 4.0, 20.0)
    ]
    found = play(fleet_of(3, 4), sorted(arrivals, key=lambda a: a[0]))
    assert found.refused == 0
    assert found.in_time >= 0.97 * len(arrivals)


class UnsharedExchange(LoadExchange):
    """Earlier behaviour: each gateway learns from its own failures only."""

    def take(self, now, message):
        return super().take(now, msgspec.structs.replace(message, outcomes=[]))


def failed_questions(seed, exchange):
    """Count failures of questions to five engines, two of which fail half."""
    generator = random.Random(seed)
    gateways = []
    for name in "12345":
        fleet = Fleet()
        fleet.engines = {f"d{n}": make_engine(f"d{n}") for n in range(5)}
        gateways.append(exchange(name, f"10.0.0.{name}:7660", 1, fleet))
    placement = PlacementPolicy("north", random.Random(seed))
    failed, announced_at = 0, 0.0
    for number, now in enumerate(poisson(generator, 118.0, 4.0)):
        engines = list(gateways[number % 5].fleet.engines.values())
        engine = placement.list_options(short_question(number), engines)[
            0
        ].estimate.engine
        broken = engine.entry.engine_id in ("d0", "d1") and generator.random() < 0.5
        engine.observe_outcome(broken)
        failed += broken
        if now - announced_at >= 0.1:
            announced_at = now
            for sender in gateways:
                data = sender.message(now, TopicProgress(), TopicProgress())
                for receiver in gateways:
                    receiver.take(now, decode_peer_message(data))
    return failed


@pytest.mark.parametrize("seed", range(5))
def test_engines_that_fail_half_are_left_sooner_by_shared_outcomes(seed):
    shared = failed_questions(seed, LoadExchange)
    alone = failed_questions(seed, UnsharedExchange)
    assert shared < 0.75 * alone

"""Admission and placement under typical loads, simulated in virtual time.

The simulated engines prefill one prompt at a time and occupy a slot while they decode,
as the platform specifies. The tests check the outcomes of the callers' requests.
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
from jasminewalk.gateway.peers import PeerExchange, TopicProgress, decode_peer_message
from jasminewalk.gateway.placement import KV_TRANSFER_S, PlacementPolicy, PromptProfile
from jasminewalk.platform.headers import PromptPart

# Seconds that the stream of a short question occupies a slot on an engine of speed 1.
RESIDENCE_S = 0.16
# Seconds without an event after which callers abandon a stream, by the protocol.
PATIENCE_S = 2.0
SHORT = {"objective_s": 0.25, "deadline_s": 2.5, "rank": 0}
LONG = {"objective_s": 0.5, "deadline_s": 5.0, "rank": 1}


class Simulation:
    """Simulates arrivals at engines and counts the outcomes."""

    def __init__(self, engines, placement, admission):
        self.engines = engines
        self.placement = placement
        self.admission = admission
        self.prefill_free_at = dict.fromkeys(
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

    def schedule(self, time_s, action):
        heapq.heappush(self.events, (time_s, next(self.order), action))

    def run(self):
        while self.events:
            now, _, action = heapq.heappop(self.events)
            action(now)

    def arrive(self, now, profile, objective_s, deadline_s, rank):
        prefill_s, decode_s = self.placement.estimate_demand(profile, self.engines)
        self.demand.record(now, prefill_s=prefill_s, decode_s=decode_s)
        busy = self.placement.is_busy(self.demand.compute_rate(now), self.engines)
        options = self.placement.list_options(profile, self.engines)
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
                self.serve(now, profile, option, objective_s)
                return
        self.refused += 1
        self.retry_after.append(decision.retry_after_s)

    def serve(self, now, profile, option, objective_s):
        estimate = option.estimate
        engine, name = estimate.engine, estimate.engine.entry.engine_id
        engine.cache.add(profile.parts)
        engine.own_load.requests += 1
        engine.own_load.prefill_s += estimate.prefill_s
        ends = self.ends[name]
        ends[:] = [end for end in ends if end > now]
        slot_free_at = sorted(ends)[-engine.entry.slots] if len(ends) >= 16 else now
        prefilled_at = (
            max(now, slot_free_at, self.prefill_free_at[name])
            + estimate.predicted_prefill_s
        )
        self.prefill_free_at[name] = prefilled_at
        residence_s = 0.0 if option.disaggregated else RESIDENCE_S / engine.speed
        ends.append(prefilled_at + residence_s)
        first_token_at = prefilled_at + (KV_TRANSFER_S if option.disaggregated else 0.0)
        if first_token_at - now <= objective_s:
            self.in_time += 1
        elif first_token_at - now <= PATIENCE_S:
            self.late += 1
        else:
            self.abandoned += 1

        def end_prefill(_):
            engine.own_load.prefill_s = max(
                0.0, engine.own_load.prefill_s - estimate.prefill_s
            )

        def end_request(_):
            engine.own_load.requests -= 1

        self.schedule(prefilled_at, end_prefill)
        self.schedule(prefilled_at + residence_s, end_request)


def make_short_prompt(number):
    return PromptProfile((PromptPart(f"q{number}", 380),), 380)


def make_long_prompt(generator):
    handbook = generator.randrange(105)
    parts = (
        PromptPart(f"handbook-{handbook}", 13_300),
        PromptPart(f"notes-{generator.random()}", 3720),
    )
    return PromptProfile(parts, 17_020)


def make_engines(prefill_count, decode_count):
    speeds = itertools.cycle((0.6, 1.0, 1.6))
    engines = [
        make_engine(f"p{n}", "prefill", speed=next(speeds))
        for n in range(prefill_count)
    ]
    return engines + [
        make_engine(f"d{n}", speed=next(speeds)) for n in range(decode_count)
    ]


def simulate(engines, arrivals, *, placement=None, admission=None):
    simulation = Simulation(
        engines, placement or PlacementPolicy("north"), admission or AdmissionPolicy()
    )
    for time_s, profile, objective in arrivals:
        simulation.schedule(
            time_s,
            lambda now, prompt=profile, limits=objective: simulation.arrive(
                now, prompt, **limits
            ),
        )
    simulation.run()
    return simulation


def generate_arrivals(generator, rate, until_s):
    time_s = 0.0
    while (time_s := time_s + generator.expovariate(rate)) < until_s:
        yield time_s


class AdmitAll(AdmissionPolicy):
    """Previous policy: admits every request."""

    def decide(self, *arguments, **options):
        return Admitted(1, in_time=True)


class IgnoreSlots(PlacementPolicy):
    """Previous policy: predicts as if the number of slots were unlimited."""

    def estimate(self, profile, engine):
        requests, engine.own_load.requests = engine.own_load.requests, 0
        estimate = super().estimate(profile, engine)
        engine.own_load.requests = requests
        return estimate


def make_question_burst(seed):
    generator = random.Random(seed)
    return [
        (time_s, make_short_prompt(number), SHORT)
        for number, time_s in enumerate(generate_arrivals(generator, 420.0, 6.0))
    ]


@pytest.mark.parametrize("seed", range(5))
def test_question_burst_beyond_the_slots_is_answered_in_time_or_refused(seed):
    arrivals = make_question_burst(seed)
    result = simulate(make_engines(3, 4), arrivals)
    baseline = simulate(make_engines(3, 4), arrivals, placement=IgnoreSlots("north"))
    assert result.late <= 0.15 * len(arrivals)
    assert result.in_time > baseline.in_time
    answered = result.late + result.in_time
    assert result.refused + result.abandoned + answered == len(arrivals)
    assert result.abandoned == 0
    assert all(0.0 < wait <= 2.0 for wait in result.retry_after)


def make_prompt_burst(seed):
    generator = random.Random(seed)
    return [
        (time_s, make_long_prompt(generator), LONG)
        for time_s in generate_arrivals(generator, 40.0, 8.0)
    ]


def compute_credit(result):
    """Return the credit for all verdicts: 1 in time, 0.29 (4.1 of 14 points) late."""
    return result.in_time + 0.29 * result.late


@pytest.mark.parametrize("seed", range(5))
def test_prompt_burst_beyond_prefill_capacity_earns_more_with_admission(seed):
    arrivals = make_prompt_burst(seed)
    result = simulate(make_engines(3, 4), arrivals)
    baseline = simulate(make_engines(3, 4), arrivals, admission=AdmitAll())
    assert compute_credit(result) > 2 * compute_credit(baseline)
    assert result.in_time > 5 * baseline.in_time
    assert result.refused > 0


@pytest.mark.parametrize("seed", range(5))
def test_long_prompts_do_not_delay_questions(seed):
    generator = random.Random(seed)
    questions = [
        (time_s, make_short_prompt(number), SHORT)
        for number, time_s in enumerate(generate_arrivals(generator, 100.0, 8.0))
    ]
    prompts = [arrival for arrival in make_prompt_burst(seed) if arrival[0] < 8.0]
    result = simulate(
        make_engines(3, 4), sorted(questions + prompts, key=lambda arrival: arrival[0])
    )
    questions_alone = simulate(make_engines(3, 4), questions)
    prompts_alone = simulate(make_engines(3, 4), prompts)
    assert questions_alone.in_time >= 0.99 * len(questions)
    assert result.in_time >= 0.9 * (
        questions_alone.in_time + 0.8 * prompts_alone.in_time
    )


@pytest.mark.parametrize("seed", range(5))
def test_moderate_mix_is_served_completely(seed):
    generator = random.Random(seed)
    arrivals = [
        (time_s, make_short_prompt(number), SHORT)
        for number, time_s in enumerate(generate_arrivals(generator, 60.0, 20.0))
    ] + [
        (time_s, make_long_prompt(generator), LONG)
        for time_s in generate_arrivals(generator, 4.0, 20.0)
    ]
    result = simulate(
        make_engines(3, 4), sorted(arrivals, key=lambda arrival: arrival[0])
    )
    assert result.refused == 0
    assert result.in_time >= 0.97 * len(arrivals)


class UnsharedExchange(PeerExchange):
    """Previous behaviour: each gateway counts only its own failures."""

    def apply_message(self, now, message):
        return super().apply_message(now, msgspec.structs.replace(message, outcomes=[]))


def count_failures(seed, exchange):
    """Return how many questions fail at five engines, two of which fail half."""
    generator = random.Random(seed)
    gateways = []
    for name in "12345":
        fleet = Fleet()
        fleet.engines = {f"d{n}": make_engine(f"d{n}") for n in range(5)}
        gateways.append(exchange(name, f"10.0.0.{name}:7660", 1, fleet))
    placement = PlacementPolicy("north", random.Random(seed))
    failed, announced_at = 0, 0.0
    for number, now in enumerate(generate_arrivals(generator, 118.0, 4.0)):
        engines = list(gateways[number % 5].fleet.engines.values())
        engine = placement.list_options(make_short_prompt(number), engines)[
            0
        ].estimate.engine
        has_failed = engine.entry.engine_id in ("d0", "d1") and generator.random() < 0.5
        engine.record_outcome(has_failed)
        failed += has_failed
        if now - announced_at >= 0.1:
            announced_at = now
            for sender in gateways:
                data = sender.build_message(now, TopicProgress(), TopicProgress())
                for receiver in gateways:
                    receiver.apply_message(now, decode_peer_message(data))
    return failed


@pytest.mark.parametrize("seed", range(5))
def test_failing_engines_are_avoided_sooner_with_shared_outcomes(seed):
    with_sharing = count_failures(seed, PeerExchange)
    without_sharing = count_failures(seed, UnsharedExchange)
    assert with_sharing < 0.75 * without_sharing

"""What callers get while gateways learn how much endpoints take, without a network."""

import asyncio
import math
import random

import pytest

from endpoint_simulation import OBJECTIVE_S, SLOTS, SimulatedEndpoint, play
from jasminewalk.gateway.capacity import LearntLimit, WaitingLine
from test_gateway_daemon import GatewayHarness, make_plain_engines

# Seconds of a phase, after which a strong endpoint and a weak one change places.
PHASE_S = 14.0
PER_S = 150.0


def make_endpoints():
    takes = {"strong": 10, "weak-1": 2, "weak-2": 2}
    return [SimulatedEndpoint(name, many) for name, many in takes.items()]


def play_changes(gateways, seed, **options):
    """Return by phase the shares of requests: in time, at their deadline, refused."""
    endpoints = make_endpoints()

    def change_places():
        strong, weak = endpoints[:2]
        strong.takes, weak.takes = weak.takes, strong.takes

    outcomes = play(
        endpoints,
        PER_S,
        3 * PHASE_S,
        gateways=gateways,
        changes=[(PHASE_S, change_places), (2 * PHASE_S, change_places)],
        seed=seed,
        **options,
    )
    phases = [[], [], []]
    for arrived, taken_s, reason in outcomes:
        phases[min(2, int(arrived / PHASE_S))].append((taken_s, reason))
    return [
        (
            sum(t is not None and t <= OBJECTIVE_S for t, _ in phase) / len(phase),
            sum(reason == "deadline" for _, reason in phase) / len(phase),
            sum(reason == "refused" for _, reason in phase) / len(phase),
        )
        for phase in phases
    ]


@pytest.mark.parametrize("seed", range(1, 7))
@pytest.mark.parametrize("gateways", [1, 2])
def test_callers_are_served_though_endpoints_slow_down_and_change(gateways, seed):
    for in_time, at_deadline, _ in play_changes(gateways, seed):
        assert in_time >= 0.9
        assert at_deadline < 0.02


def test_callers_lose_without_learning():
    assert all(in_time < 0.6 for in_time, _, _ in play_changes(2, 1, learns=False))


@pytest.mark.parametrize("gateways", [10, 30])
def test_many_gateways_that_see_each_other_late_lose_less(gateways):
    def count(learns):
        phases = play_changes(gateways, 1, learns=learns)
        in_time, at_deadline, _ = (
            sum(shares) / 3 for shares in zip(*phases, strict=True)
        )
        return in_time, at_deadline

    (in_time, at_deadline), (in_time_before, at_deadline_before) = map(
        count, (True, False)
    )
    assert in_time > in_time_before
    assert at_deadline < 0.5 * at_deadline_before


def test_endpoint_that_recovers_gets_its_work_back():
    endpoints = make_endpoints()
    weak = endpoints[1]

    def recover():
        weak.takes = 40

    def lose_strong():
        endpoints[0].takes = 1

    outcomes = play(
        endpoints, 150, 20, changes=[(6, recover), (6, lose_strong)], seed=2
    )
    late = [taken_s for arrived, taken_s, _ in outcomes if arrived > 10]
    assert sum(t is not None and t <= OBJECTIVE_S for t in late) / len(late) > 0.95


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_endpoints_that_keep_up_to_their_slots_get_no_limit(seed):
    endpoints = [SimulatedEndpoint(f"app-{n}", 16) for n in range(3)]
    with_limits = play(endpoints, 300, 10, seed=seed)
    assert all(reason == "answered" for _, _, reason in with_limits)
    endpoints = [SimulatedEndpoint(f"app-{n}", 16) for n in range(3)]
    without = play(endpoints, 300, 10, seed=seed, learns=False)
    assert with_limits == without


# Single decisions.


def feed(learnt, now, latency_s, at_once, seconds=0.5):
    """Record answers of one latency for a time; return the time after it."""
    ends_at = now + seconds
    while now < ends_at:
        now += 0.02
        learnt.record(now, now - latency_s, latency_s, at_once, OBJECTIVE_S)
    return now


def test_limit_falls_when_an_endpoint_slows_down_before_it_is_full():
    learnt = LearntLimit(SLOTS)
    now = feed(learnt, 0.0, 0.05, 2)
    assert learnt.limit is None
    now = feed(learnt, now, 0.25, 8)
    assert 1 <= learnt.limit < 8


def test_queue_behind_the_slots_is_no_reason_for_a_limit():
    learnt = LearntLimit(SLOTS)
    now = feed(learnt, 0.0, 0.05, 2)
    feed(learnt, now, 0.2, 2 * SLOTS)
    assert learnt.limit is None


def test_limit_ends_once_all_slots_were_used_well():
    learnt = LearntLimit(SLOTS)
    now = feed(learnt, 0.0, 0.25, 8)
    assert learnt.limit is not None
    for _ in range(60):
        now = feed(learnt, now, 0.05, math.ceil(learnt.limit or SLOTS), 0.3)
    assert learnt.limit is None


def test_endpoint_that_is_slow_without_load_takes_as_many_as_before():
    learnt = LearntLimit(SLOTS)
    now = feed(learnt, 0.0, 0.05, 8)
    for _ in range(120):
        now = feed(learnt, now, 0.25, math.floor(learnt.limit or SLOTS), 0.3)
    assert learnt.limit is None or learnt.limit >= 0.75 * SLOTS


def test_request_without_an_answer_tells_before_it_ends():
    learnt = LearntLimit(SLOTS)
    now = feed(learnt, 0.0, 0.05, 2)
    assert not learnt.record_overdue(now, now - 0.1, 12, OBJECTIVE_S)
    assert learnt.record_overdue(now, now - 0.2, 12, OBJECTIVE_S)
    former = learnt.limit
    assert not learnt.record_overdue(now + 0.05, now - 0.2, 12, OBJECTIVE_S)
    assert learnt.record_overdue(now + 0.3, now - 0.2, 12, OBJECTIVE_S)
    assert learnt.limit < former


def test_endpoint_without_requests_always_takes_one():
    learnt = LearntLimit(SLOTS, limit=1.0)
    assert learnt.has_room(0.0, 0)
    assert not learnt.has_room(0.0, 1)


def test_limit_of_the_peers_holds_for_a_gateway_without_answers_of_its_own():
    learnt = LearntLimit(SLOTS)
    learnt.record_peer(0.0, "front-2", (4.0, 0, 0.0, 0.0))
    learnt.record_peer(0.0, "front-3", (6.0, 0, 0.0, 0.0))
    assert learnt.compute(1.0) == 5.0
    assert learnt.compute(3.0) == math.inf


@pytest.mark.parametrize("gateways", [30, 360])
def test_gateways_together_keep_to_the_rate_that_follows_from_the_limit(gateways):
    rng = random.Random(3)
    sent = 0
    members = [LearntLimit(SLOTS, limit=4.0, latency_s=0.05) for _ in range(gateways)]
    for step in range(2000):
        learnt = rng.choice(members)
        if learnt.has_room(step * 0.005, 1, gateways):
            learnt.take()
            sent += 1
    # 4 at once of 0.05 s each are 80 a second, for 10 s.
    assert sent <= 1.25 * 800 + gateways


@pytest.mark.anyio
async def test_first_in_line_goes_first():
    line, free, order = WaitingLine(), [], []

    async def wait(name):
        order.append(
            (name, await line.wait_for(lambda: free.pop(0) if free else None, 1.0))
        )

    async with asyncio.TaskGroup() as group:
        for name in "abc":
            group.create_task(wait(name))
            await asyncio.sleep(0.01)
        for endpoint in (1, 2, 3):
            free.append(endpoint)
            await asyncio.sleep(0.05)
    assert order == [("a", 1), ("b", 2), ("c", 3)]
    assert line.waiting == 0


@pytest.mark.anyio
async def test_request_leaves_the_line_after_its_time():
    line = WaitingLine()
    assert await line.wait_for(lambda: None, 0.05) is None
    assert line.waiting == 0


def test_predicted_wait_follows_from_what_left_the_line():
    line = WaitingLine()
    assert line.predict_wait_s(0.0) == 0.0
    for number in range(50):
        line.record_left(number / 50)
    line.waiting = 25
    assert line.predict_wait_s(1.0) == pytest.approx(0.5)


class LearningHarness(GatewayHarness):
    learns = "true"

    def write_settings(self, **overrides):
        super().write_settings(**overrides)
        text = self.path.read_text(encoding="utf-8")
        text = f"learn_limits = {self.learns}\n{text}"
        self.path.write_text(text, encoding="utf-8")


@pytest.mark.anyio
@pytest.mark.parametrize("learns", ["true", "false"])
async def test_gateway_learns_limits_where_its_settings_ask_for_it(tmp_path, learns):
    harness = LearningHarness(tmp_path)
    harness.learns = learns
    engines = make_plain_engines(2)
    await harness.start(*engines)
    try:
        for engine in engines:
            engine.delay_s = 0.3
        async with asyncio.TaskGroup() as group:
            for _ in range(24):
                group.create_task(harness.send_request("/look/x"))
                await asyncio.sleep(0.02)
        known = [
            engine.learnt.limit for engine in harness.daemon.fleet.engines.values()
        ]
        assert any(limit is not None for limit in known) == (learns == "true")
        assert bool(harness.read_log_lines("limit_learnt")) == (learns == "true")
    finally:
        harness.stop()

"""Proposals of role changes by expected gain and cost."""

import random

import attrs
import pytest

from jasminewalk.generated_configuration import Pool
from jasminewalk.generated_messages import PoolDemand
from jasminewalk.scheduling.roles import RolePlanner, RoleSettings

POOL = Pool(
    kind="engine", role_change_cost=8.0, horizon_s=120.0, min_prefill=2, min_decode=2
)
MIXED = {f"engine-{number}": "mixed" for number in range(7)}
DECODE_HEAVY = PoolDemand(
    entry="e1",
    pool="tutor",
    request_class="bar",
    period_s=5.0,
    prompt_tokens=200,
    output_tokens=140_000,
    requests=1000,
    refused=400,
    prefill_tokens_per_s=70_000.0,
    decode_tokens_per_s=14_000.0,
)
SETTINGS = RoleSettings(change_duration_s=4.0, specialised_gain=1.8, max_stagger_s=0.0)


def make_planner(pool=POOL, settings=SETTINGS, demand=DECODE_HEAVY, name="engine-0"):
    planner = RolePlanner(name, pool, random.Random(1), settings)
    for step in range(20):
        planner.observe_demand(100.0 + step, demand)
    planner.propose(100.0, MIXED)
    return planner


def test_worthwhile_change_is_proposed_with_gain_and_cost():
    planner = make_planner()
    proposal = planner.propose(161.0, MIXED)
    assert proposal.role == "decode"
    assert proposal.gain_s > proposal.cost_s
    assert "engines served" in proposal.reason


@pytest.mark.parametrize(
    "changes",
    [
        {"pool": attrs.evolve(POOL, role_change_cost=200.0)},
        {"pool": attrs.evolve(POOL, horizon_s=10.0)},
        {"pool": attrs.evolve(POOL, min_prefill=7)},
        {"demand": attrs.evolve(DECODE_HEAVY, refused=0)},
        {"demand": attrs.evolve(DECODE_HEAVY, prompt_tokens=0, output_tokens=0)},
        {"settings": attrs.evolve(SETTINGS, specialised_gain=1.05)},
    ],
    ids=[
        "high cost",
        "short horizon",
        "minimum",
        "no refusals",
        "no demand",
        "small gain",
    ],
)
def test_change_without_net_gain_is_not_proposed(changes):
    planner = make_planner(**changes)
    assert planner.propose(161.0, MIXED) is None


def test_no_change_is_proposed_while_the_pool_settles():
    planner = make_planner()
    changed = MIXED | {"engine-3": "decode"}
    assert planner.propose(161.0, changed) is None
    assert planner.propose(165.0, changed) is None


def test_no_change_is_proposed_if_the_mix_will_soon_shift_back():
    planner = make_planner()
    planner.expected_mix_duration_s = 70.0
    assert planner.propose(161.0, MIXED) is None


def test_mix_duration_is_learned_from_shifts():
    planner = RolePlanner("engine-0", POOL, random.Random(1), SETTINGS)
    prefill_heavy = attrs.evolve(DECODE_HEAVY, prompt_tokens=700_000, output_tokens=100)
    for now_s in range(0, 400, 2):
        demand = DECODE_HEAVY if (now_s // 100) % 2 else prefill_heavy
        planner.observe_demand(float(now_s), demand)
    assert planner.expected_mix_duration_s == pytest.approx(110.0, abs=15.0)

"""Routing, admission, prefix caches and learned speeds."""

import math
import random

import attrs
import pytest

from jasminewalk.generated_codes import Code
from jasminewalk.generated_messages import CacheEvents, LoadReport, QueueLevel
from jasminewalk.generated_requests import RefusalBody
from jasminewalk.scheduling.admission import FairShares, RetryBudget, ShareSettings
from jasminewalk.scheduling.prefixes import PrefixIndex
from jasminewalk.scheduling.routing import Router, RoutingSettings
from jasminewalk.types import Refusal, RequestProfile, Route

NAMES = ["a", "b", "c"]
HASHES = tuple(range(4096, 4096 + 64))


def make_report(endpoint, sequence=1, **changes):
    fields = {
        "endpoint": endpoint,
        "incarnation": "1",
        "sequence": sequence,
        "kind": "engine",
        "pool": "tutor",
        "failure_domain": "x",
        "address": "",
        "state": "live",
        "max_batch": 16,
        "prefill_tokens_per_s": 8000.0,
        "decode_tokens_per_s": 50.0,
        "residence_s": 2.0,
    }
    return LoadReport(**(fields | changes))


def make_profile(request_id="r1", **changes):
    fields = {
        "request_id": request_id,
        "organisation": "oviedo",
        "request_class": "verdict",
        "pool": "tutor",
        "prompt_tokens": 4096,
        "expected_tokens": 50,
        "max_tokens": 100,
        "deadline_s": 10.0,
    }
    return RequestProfile(**(fields | changes))


@pytest.fixture
def router():
    router = Router(RoutingSettings(entry="e1"), random.Random(1))
    for name in NAMES:
        router.observe_report(0.0, make_report(name))
    return router


@pytest.mark.parametrize(
    ("load_by_endpoint", "expected"),
    [
        ({"a": {"queued_prefill_tokens": 8000}, "b": {}, "c": {"running": 40}}, "b"),
        ({"a": {"running": 30}, "b": {"running": 40}, "c": {}}, "c"),
        (
            {
                "a": {},
                "b": {"prefill_tokens_per_s": 800.0},
                "c": {"prefill_tokens_per_s": 900.0},
            },
            "a",
        ),
    ],
)
def test_endpoint_with_the_least_backlog_is_chosen(router, load_by_endpoint, expected):
    for name, changes in load_by_endpoint.items():
        router.observe_report(0.0, make_report(name, 2, **changes))
    assert router.choose(0.0, make_profile(), NAMES).endpoint == expected


def test_route_has_a_reason_and_candidates(router):
    route = router.choose(0.0, make_profile(), NAMES)
    assert isinstance(route, Route)
    assert "Lowest score" in route.reason
    assert {candidate.endpoint for candidate in route.candidates} == set(NAMES)


def test_own_requests_are_counted_before_the_next_report(router):
    chosen = set()
    for number in range(3):
        profile = make_profile(f"r{number}")
        route = router.choose(0.1, profile, NAMES)
        router.record_sent(0.1, profile, route.endpoint)
        chosen.add(route.endpoint)
    assert chosen == set(NAMES)


def test_old_report_counts_less_than_requests_in_flight(router):
    router.observe_report(
        0.0, make_report("a", 2, queued_prefill_tokens=80_000, report_age_s=30.0)
    )
    fresh = router.get_view("b").estimate_load(0.0, 0, 1.0)
    stale = router.get_view("a").estimate_load(0.0, 0, 1.0)
    assert stale.prefill_tokens == pytest.approx(fresh.prefill_tokens, abs=10.0)


def test_high_priority_requests_are_not_delayed_by_waiting_ones(router):
    levels = [QueueLevel(priority=0, requests=20, prefill_tokens=80_000)]
    for name in NAMES:
        router.observe_report(
            0.0, make_report(name, 2, queued_prefill_tokens=80_000, levels=levels)
        )
    assert isinstance(router.choose(0.0, make_profile(), NAMES), Refusal)
    urgent = make_profile("r2", priority=1)
    assert isinstance(router.choose(0.0, urgent, NAMES), Route)


def test_engine_with_cached_prefix_is_chosen_until_it_is_too_late(router):
    router.observe_cache(
        0.0,
        CacheEvents(
            endpoint="b",
            incarnation="1",
            first_sequence=0,
            added=list(HASHES),
            count=len(HASHES),
        ),
    )
    profile = make_profile(prefix_hashes=HASHES)
    assert router.choose(0.0, profile, NAMES).endpoint == "b"
    router.observe_report(0.0, make_report("b", 2, queued_prefill_tokens=80_000))
    assert router.choose(0.0, profile, NAMES).endpoint != "b"


def test_new_incarnation_resets_the_prefix_cache(router):
    events = CacheEvents(
        endpoint="b", incarnation="1", first_sequence=0, added=list(HASHES), count=64
    )
    router.observe_cache(0.0, events)
    router.observe_cache(0.0, attrs.evolve(events, incarnation="2", added=[]))
    sampled_blocks = router.prefixes.sample_blocks(HASHES)
    assert router.prefixes.estimate_cached_tokens("b", sampled_blocks) == 0


def test_request_that_would_be_late_is_refused_with_a_retry_delay(router):
    for name in NAMES:
        router.observe_report(0.0, make_report(name, 2, queued_prefill_tokens=160_000))
    refusal = router.choose(0.0, make_profile(), NAMES)
    assert isinstance(refusal, Refusal)
    assert refusal.code == Code.OVERLOADED
    assert refusal.ran == "not_run"
    assert 5.0 < refusal.retry_after_s <= 30.0


def test_resumed_request_has_no_deadline_and_is_never_refused(router):
    for name in NAMES:
        router.observe_report(0.0, make_report(name, 2, queued_prefill_tokens=800_000))
    profile = make_profile(deadline_s=math.inf, prefix_hashes=HASHES)
    router.prefixes.add("a", HASHES)
    assert isinstance(router.choose(0.0, profile, NAMES, frozenset({"a"})), Route)


def test_refusal_if_all_endpoints_are_excluded(router):
    refusal = router.choose(0.0, make_profile(), NAMES, frozenset(NAMES))
    assert refusal.code == Code.NO_ENDPOINT
    assert refusal.retry_after_s > 0.0


def test_refusing_endpoint_is_avoided_for_a_short_time(router):
    body = RefusalBody(
        code=1301, name="overloaded", message="", ran="not_run", retry_after_s=5.0
    )
    profile = make_profile()
    first = router.choose(0.0, profile, NAMES).endpoint
    router.record_sent(0.0, profile, first)
    router.record_refusal(0.0, "r1", first, body)
    assert router.choose(0.01, profile, NAMES).endpoint != first


def test_failing_endpoint_gets_only_trial_requests(router):
    for number in range(2):
        profile = make_profile(f"r{number}")
        router.record_sent(0.0, profile, "a")
        router.record_failure(0.0, profile.request_id, "a")
    chosen = {router.choose(0.1, make_profile(), NAMES).endpoint for _ in range(5)}
    assert "a" not in chosen
    assert not router.get_view("a").is_on_probation(5.0)


def test_slow_endpoint_is_put_on_probation():
    router = Router(RoutingSettings(), random.Random(1))
    router.observe_report(0.0, make_report("a"))
    for number in range(60):
        profile = make_profile(f"r{number}")
        start_s = number * 20.0
        router.record_sent(start_s, profile, "a")
        router.record_first_token(start_s + 8.0, profile.request_id)
        router.record_finished(start_s + 19.0, profile.request_id, 50)
    router.record_sent(2000.0, make_profile("last"), "a")
    assert router.get_view("a").is_on_probation(2000.0)


def test_output_lengths_are_learned_by_class(router):
    for number in range(100):
        profile = make_profile(f"r{number}")
        router.record_sent(0.0, profile, "a")
        router.record_first_token(0.1, profile.request_id)
        router.record_finished(1.0, profile.request_id, 20)
    assert router.estimate_output_tokens(make_profile()) == 20


def test_demand_is_counted_by_class_and_reset(router):
    router.choose(0.0, make_profile(), NAMES)
    router.choose(0.0, make_profile("r2", request_class="bar"), NAMES)
    by_class = {demand.request_class: demand for demand in router.collect_demand(2.0)}
    assert by_class["verdict"].prompt_tokens == 4096
    assert by_class["verdict"].period_s == 2.0
    assert by_class["bar"].requests == 1
    assert all(demand.requests == 0 for demand in router.collect_demand(4.0))


def test_few_endpoints_of_a_large_pool_are_scored():
    router = Router(RoutingSettings(), random.Random(1))
    names = [f"engine-{number}" for number in range(2000)]
    for name in names:
        router.observe_report(0.0, make_report(name))
    router.prefixes.add("engine-7", HASHES)
    profile = make_profile(prefix_hashes=HASHES)
    estimate = router.estimate_request(profile)
    scored_endpoints = router.score_endpoints(0.0, estimate, names, frozenset())
    assert len(scored_endpoints) <= 12
    assert router.choose(0.0, profile, names).endpoint == "engine-7"


def test_shares_are_weighted_and_unused_shares_are_redistributed():
    shares = FairShares(ShareSettings())
    for organisation, weight, demand_s, admitted_s in (
        ("large", 1.0, 100.0, 60.0),
        ("double", 2.0, 100.0, 60.0),
        ("small", 1.0, 10.0, 10.0),
    ):
        shares.record_arrival(0.0, organisation, weight, demand_s)
        shares.record_admission(0.0, organisation, admitted_s)
    assert shares.compute_usage(0.0, "large") == pytest.approx(1.5)
    assert shares.compute_usage(0.0, "double") == pytest.approx(0.75)
    assert shares.compute_usage(0.0, "small") < 0.5


def test_organisation_above_its_share_is_refused_first(router):
    for name in NAMES:
        router.observe_report(0.0, make_report(name, 2, queued_prefill_tokens=36_000))
    shares = router.get_shares("tutor")
    for organisation, admitted_s in (("greedy", 90.0), ("oviedo", 10.0)):
        shares.record_arrival(0.0, organisation, 1.0, 100.0)
        shares.record_admission(0.0, organisation, admitted_s)
    refusal = router.choose(0.0, make_profile(organisation="greedy"), NAMES)
    assert refusal.code == Code.OVER_SHARE
    assert isinstance(router.choose(0.0, make_profile("r2"), NAMES), Route)


def test_retry_budget_is_spent_and_earned_again():
    budget = RetryBudget(ratio=0.5, burst=2.0)
    assert [budget.try_take() for _ in range(3)] == [True, True, False]
    budget.record_request()
    budget.record_request()
    assert budget.try_take()


def test_prefix_index_is_bounded_and_finds_the_longest_prefix():
    index = PrefixIndex(max_blocks=100, sampling_interval=1)
    index.add("a", HASHES[:20])
    index.add("b", HASHES[:40])
    sampled_blocks = index.sample_blocks(HASHES)
    assert index.estimate_cached_tokens("a", sampled_blocks) == 20 * 64
    assert index.find_endpoints(sampled_blocks, 4)[0] == "b"
    index.remove("b", HASHES[10:])
    assert index.estimate_cached_tokens("b", sampled_blocks) == 10 * 64
    index.add("c", range(1000, 1300))
    assert len(index.endpoints_by_block) == 100

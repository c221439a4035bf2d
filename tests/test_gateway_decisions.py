"""Routes, budgets, caches, placement, admission: decisions without a network."""

import json
from pathlib import Path
from statistics import median

import pytest
from hypothesis import given, strategies as st

from gateway_fakes import make_engine, make_prompt
from jasminewalk.gateway.admission import AdmissionPolicy, Admitted, Refused
from jasminewalk.gateway.demand import Demand
from jasminewalk.gateway.event_stream import EventSplitter, OutOfOrderError
from jasminewalk.gateway.generation_run import compute_silence_timeout_s
from jasminewalk.gateway.placement import PlacementPolicy, estimate_prefill_s
from jasminewalk.gateway.prompt_cache import PromptCache
from jasminewalk.gateway.retry_budget import RetryBudget
from jasminewalk.gateway.routes import RouteTable
from jasminewalk.platform.configuration import (
    Route,
    WeightedService,
    decode_configuration,
)
from jasminewalk.platform.headers import PromptPart
from platform_fakes import configuration


def route_of(name, prefix, split=(("app", 1.0),)):
    sides = tuple(WeightedService(service, weight) for service, weight in split)
    return Route(name, "h", prefix, sides, False, True, False, 1, 1, 1, 0, 1)


def table_of(*routes):
    document = decode_configuration(json.dumps(configuration()).encode())
    return RouteTable.from_configuration(
        type(document)(
            version=3, routes=routes, services=document.services, limits=document.limits
        )
    )


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/a/x", "short"),
        ("/a/b/x", "long"),
        ("/a/bx", "short"),
        ("/a", None),
        ("/b/", None),
    ],
)
def test_longest_prefix_wins(path, name):
    table = table_of(route_of("short", "/a/"), route_of("long", "/a/b/"))
    found = table.match("h", path)
    assert (found.name if found else None) == name
    assert table.match("other", path) is None


def test_split_follows_the_weights_and_stays_for_one_request():
    route = route_of("r", "/", (("old", 90.0), ("new", 10.0)))
    chosen = [RouteTable.choose_service(route, str(number)) for number in range(2000)]
    assert 140 < chosen.count("new") < 260
    assert chosen[5] == RouteTable.choose_service(route, "5")


def test_budget_is_shared_and_slides():
    budget = RetryBudget(0.2, 10.0, 50.0)
    for step in range(100):
        budget.record_request(step / 100)
    taken = sum(budget.take(1.0, gateways=5) for _ in range(100))
    # 0.7 of 0.2 x 100 requests and a fifth of the slack.
    assert taken == 21
    assert budget.take(12.0, gateways=5)


def test_cache_counts_leading_parts_only():
    cache = PromptCache(10_000)
    cache.add(make_prompt(3000, 500).parts)
    assert cache.count_cached_tokens(make_prompt(3000, 500).parts) == 3500
    assert cache.count_cached_tokens(make_prompt(3000, 500, own="other").parts) == 3000
    assert cache.count_cached_tokens(make_prompt(3000, 500, shared="other").parts) == 0


def test_cache_forgets_the_least_recently_used_part():
    cache = PromptCache(10_000)
    cache.add((PromptPart("old", 4000),))
    cache.add((PromptPart("kept", 4000),))
    cache.add((PromptPart("old", 4000),))
    cache.add((PromptPart("new", 4000),))
    assert list(cache.parts) == ["old", "new"]


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(1, 4000)), max_size=200))
def test_cache_never_holds_more_than_the_memory(parts):
    cache = PromptCache(10_000)
    for number, tokens in parts:
        cache.add((PromptPart(str(number), tokens),))
        assert cache.used_tokens == sum(cache.parts.values()) <= 10_000


@pytest.fixture
def placement():
    return PlacementPolicy("north")


def test_long_prompt_goes_to_a_reader_and_short_one_does_not(placement):
    engines = [make_engine("d1"), make_engine("p1", "prefill")]
    long, short = make_prompt(13_000, 4000), make_prompt(60, 300)
    assert placement.list_options(long, engines)[0].disaggregated
    assert [
        option.disaggregated for option in placement.list_options(short, engines)
    ] == [False]


def test_cached_prompt_is_read_where_it_is(placement):
    engines = [
        make_engine("d1"),
        make_engine("p1", "prefill"),
        make_engine("p2", "prefill"),
    ]
    work = make_prompt(13_000, 4000)
    engines[2].cache.add(work.parts[:1])
    best = placement.list_options(work, engines)[0]
    assert best.estimate.engine is engines[2]
    assert best.estimate.cached_tokens == 13_000


def test_loaded_holder_loses_to_an_idle_engine(placement):
    engines = [
        make_engine("p1", "prefill"),
        make_engine("p2", "prefill"),
        make_engine("d1"),
    ]
    work = make_prompt(13_000, 4000)
    engines[0].cache.add(work.parts[:1])
    engines[0].own.reading_s = 2.0
    assert placement.list_options(work, engines)[0].estimate.engine is not engines[0]


def test_work_of_peers_counts_like_own(placement):
    engines = [make_engine("d1"), make_engine("d2")]
    engines[0].peers["other"] = type(engines[0].own)(3, 0.5)
    best = placement.list_options(make_prompt(60, 300), engines)[0]
    assert best.estimate.engine is engines[1]


def test_full_slots_are_waited_for(placement):
    engine = make_engine("d1")
    idle = placement.estimate(make_prompt(60, 300), engine)
    engine.own.requests = 32
    full = placement.estimate(make_prompt(60, 300), engine)
    assert full.wait_s - idle.wait_s > 17 * engine.hold_s / 16


def test_slow_engine_is_predicted_slower(placement):
    work = make_prompt(13_000, 4000)
    slow = placement.estimate(work, make_engine("p1", "prefill", speed=0.5))
    fast = placement.estimate(work, make_engine("p2", "prefill", speed=2.0))
    assert slow.predicted_prefill_s == pytest.approx(4 * fast.predicted_prefill_s)


def test_generation_without_answering_engines_has_no_options(placement):
    assert (
        placement.list_options(make_prompt(13_000, 400), [make_engine("p", "prefill")])
        == []
    )
    assert placement.list_options(make_prompt(13_000, 400), []) == []


def test_plain_request_prefers_own_domain_and_avoids_failing_engines(placement):
    near, far = make_engine("near", ""), make_engine("far", "", zone="south")
    assert placement.choose_engine([far, near], ()) is near
    near.failure_rate = 0.6
    assert placement.choose_engine([far, near], ()) is far
    assert placement.choose_engine([far], ["far"]) is None


# All reads of 1,500 tokens or more that began at once, of the engines with ten or more
# of them on two played days: tokens unread and cached, and milliseconds taken.
PLAYED_READS = json.loads(
    (Path(__file__).parent / "data" / "played_reads.json").read_text(encoding="utf-8")
)


@pytest.mark.parametrize("played", PLAYED_READS, ids=lambda one: one["engine"])
def test_reading_times_of_one_engine_differ_from_played_ones_by_one_factor(played):
    factors = [
        estimate_prefill_s(unread, cached, played["stage"]) / (taken_ms / 1e3)
        for unread, cached, taken_ms in played["reads"]
    ]
    usual = median(factors)
    assert median(abs(factor / usual - 1) for factor in factors) <= 0.1


@pytest.mark.parametrize(
    ("predicted_s", "disaggregated", "expected"),
    [
        (0.1, False, Admitted(1, in_time=True)),
        (0.1, True, Admitted(1, in_time=True)),
        (0.9, True, Admitted(8, in_time=False)),
        (0.9, False, Refused(0.435)),
        (4.0, True, Refused(2.0)),
    ],
)
def test_admission_by_predicted_time(predicted_s, disaggregated, expected):
    decision = AdmissionPolicy().decide(
        predicted_s, 0.2, 0.5, 5.0, 2.0, 0, disaggregated=disaggregated, busy=True
    )
    if isinstance(expected, Refused):
        assert decision.retry_after_s == pytest.approx(expected.retry_after_s)
    else:
        assert decision == expected


@pytest.mark.parametrize(("busy", "admitted"), [(True, False), (False, True)])
def test_late_work_waits_at_engines_only_in_calm_times(busy, admitted):
    decision = AdmissionPolicy().decide(
        0.9, 0.6, 0.5, 5.0, 2.0, 0, disaggregated=True, busy=busy
    )
    assert isinstance(decision, Admitted) == admitted


@pytest.mark.parametrize(
    ("predicted_s", "patience_remaining_s", "admitted"),
    [
        (1.9, 2.0, True),
        (2.0, 2.0, False),
        (2.0, 2.65, True),
        (1.0, 1.0, False),
        (1.0, -0.2, False),
    ],
)
def test_late_work_is_refused_that_its_caller_would_not_wait_for(
    predicted_s, patience_remaining_s, admitted
):
    decision = AdmissionPolicy().decide(
        predicted_s,
        0.2,
        0.5,
        5.0,
        patience_remaining_s,
        0,
        disaggregated=True,
        busy=False,
    )
    assert isinstance(decision, Admitted) == admitted


@pytest.mark.parametrize(
    ("predicted_s", "caller_patience_s", "expected"),
    [(0.0, 2.0, 1.5), (0.52, 2.0, 1.56), (0.99, 2.0, 1.6), (0.99, 2.65, 2.12)],
)
def test_silent_engine_is_given_up_before_its_caller_leaves(
    predicted_s, caller_patience_s, expected
):
    assert compute_silence_timeout_s(predicted_s, caller_patience_s) == pytest.approx(
        expected
    )


def test_readers_are_busy_by_what_is_asked_of_all_gateways(placement):
    engines = [make_engine("p1", "prefill", speed=1.6), make_engine("d1")]
    assert placement.is_busy(Demand(reading=1.5), engines)
    assert not placement.is_busy(Demand(reading=1.0, answering=9.0), engines)


def test_urgent_routes_go_first_at_the_engine():
    ranks = [
        AdmissionPolicy().decide(
            0.1, 0.0, 0.5, 5, 2, rank, disaggregated=True, busy=True
        )
        for rank in (0, 1, 9)
    ]
    priorities = [decision.priority for decision in ranks]
    assert priorities == sorted(priorities)
    assert max(priorities) < 8


def events(*numbers):
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)


@given(st.integers(1, 40))
def test_events_are_whole_however_the_bytes_come(size):
    data = events(1, 2, 3, 4)
    splitter = EventSplitter()
    found = []
    for start in range(0, len(data), size):
        found.extend(splitter.feed(data[start : start + size]))
    assert b"".join(found) == data
    assert splitter.at_event_boundary


def test_resumed_stream_repeats_nothing_and_misses_nothing():
    splitter = EventSplitter()
    assert len(splitter.feed(events(1, 2) + b"id: 3\nda")) == 2
    assert not splitter.at_event_boundary
    splitter.discard_partial()
    assert splitter.feed(events(1, 2, 3)) == [events(3)]
    with pytest.raises(OutOfOrderError):
        splitter.feed(events(5))

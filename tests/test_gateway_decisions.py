"""Tests of routing, retry budgets, caches, placement and admission, without network."""

import json
from pathlib import Path
from statistics import median

import pytest
from hypothesis import given, strategies as st

from gateway_fakes import make_engine, make_prompt
from jasminewalk.gateway.admission import AdmissionPolicy, Admitted, Refused
from jasminewalk.gateway.demand import Demand
from jasminewalk.gateway.event_stream import (
    MAX_EVENT_BYTES,
    EventSplitter,
    InvalidStreamError,
    OutOfOrderError,
)
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


def make_route(name, prefix, split=(("app", 1.0),)):
    split_services = tuple(
        WeightedService(service, weight) for service, weight in split
    )
    return Route(name, "h", prefix, split_services, False, True, False, 1, 1, 1, 0, 1)


def make_route_table(*routes):
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
def test_match_returns_route_with_longest_prefix(path, name):
    table = make_route_table(make_route("short", "/a/"), make_route("long", "/a/b/"))
    route = table.match("h", path)
    assert (route.name if route else None) == name
    assert table.match("other", path) is None


def test_split_follows_weights_and_is_stable_for_one_request():
    route = make_route("r", "/", (("old", 90.0), ("new", 10.0)))
    chosen = [RouteTable.choose_service(route, str(number)) for number in range(2000)]
    assert 140 < chosen.count("new") < 260
    assert chosen[5] == RouteTable.choose_service(route, "5")


def test_retry_budget_divides_slack_and_window_slides():
    budget = RetryBudget(0.2, 10.0, 50.0)
    for step in range(100):
        budget.record_request(step / 100)
    granted = sum(budget.try_take(1.0, gateways=5) for _ in range(100))
    # 0.7 of the sum of 0.2 x 100 requests and a fifth of the slack.
    assert granted == 21
    assert budget.try_take(12.0, gateways=5)


def test_cache_counts_leading_parts_only():
    cache = PromptCache(10_000)
    cache.add(make_prompt(3000, 500).parts)
    assert cache.count_cached_tokens(make_prompt(3000, 500).parts) == 3500
    assert cache.count_cached_tokens(make_prompt(3000, 500, own="other").parts) == 3000
    assert cache.count_cached_tokens(make_prompt(3000, 500, shared="other").parts) == 0


def test_cache_evicts_least_recently_used_part():
    cache = PromptCache(10_000)
    cache.add((PromptPart("old", 4000),))
    cache.add((PromptPart("kept", 4000),))
    cache.add((PromptPart("old", 4000),))
    cache.add((PromptPart("new", 4000),))
    assert list(cache.parts) == ["old", "new"]


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(1, 4000)), max_size=200))
def test_cache_never_exceeds_its_capacity(parts):
    cache = PromptCache(10_000)
    for number, tokens in parts:
        cache.add((PromptPart(str(number), tokens),))
        assert cache.used_tokens == sum(cache.parts.values()) <= 10_000


@pytest.fixture
def placement():
    return PlacementPolicy("north")


def test_long_prompt_is_disaggregated_and_short_one_is_local(placement):
    engines = [make_engine("d1"), make_engine("p1", "prefill")]
    long_prompt, short_prompt = make_prompt(13_000, 4000), make_prompt(60, 300)
    assert placement.list_options(long_prompt, engines)[0].disaggregated
    assert [
        option.disaggregated for option in placement.list_options(short_prompt, engines)
    ] == [False]


def test_prompt_is_placed_on_engine_that_has_it_cached(placement):
    engines = [
        make_engine("d1"),
        make_engine("p1", "prefill"),
        make_engine("p2", "prefill"),
    ]
    prompt = make_prompt(13_000, 4000)
    engines[2].cache.add(prompt.parts[:1])
    best = placement.list_options(prompt, engines)[0]
    assert best.estimate.engine is engines[2]
    assert best.estimate.cached_tokens == 13_000


def test_idle_engine_is_preferred_to_loaded_engine_with_cached_prompt(placement):
    engines = [
        make_engine("p1", "prefill"),
        make_engine("p2", "prefill"),
        make_engine("d1"),
    ]
    prompt = make_prompt(13_000, 4000)
    engines[0].cache.add(prompt.parts[:1])
    engines[0].own_load.prefill_s = 2.0
    assert placement.list_options(prompt, engines)[0].estimate.engine is not engines[0]


def test_load_of_peers_counts_like_own_load(placement):
    engines = [make_engine("d1"), make_engine("d2")]
    engines[0].peer_loads["other"] = type(engines[0].own_load)(3, 0.5)
    best = placement.list_options(make_prompt(60, 300), engines)[0]
    assert best.estimate.engine is engines[1]


def test_estimate_includes_wait_for_a_free_slot(placement):
    engine = make_engine("d1")
    idle = placement.estimate(make_prompt(60, 300), engine)
    engine.own_load.requests = 32
    full = placement.estimate(make_prompt(60, 300), engine)
    assert full.wait_s - idle.wait_s > 17 * engine.residence_s / 16


def test_slow_engine_is_predicted_slower(placement):
    prompt = make_prompt(13_000, 4000)
    slow = placement.estimate(prompt, make_engine("p1", "prefill", speed=0.5))
    fast = placement.estimate(prompt, make_engine("p2", "prefill", speed=2.0))
    assert slow.predicted_prefill_s == pytest.approx(4 * fast.predicted_prefill_s)


def test_generation_without_decode_engines_has_no_options(placement):
    assert (
        placement.list_options(make_prompt(13_000, 400), [make_engine("p", "prefill")])
        == []
    )
    assert placement.list_options(make_prompt(13_000, 400), []) == []


def test_plain_request_prefers_own_failure_domain_and_avoids_failing_engines(placement):
    near, far = make_engine("near", ""), make_engine("far", "", zone="south")
    assert placement.choose_engine([far, near], ()) is near
    near.failure_rate = 0.6
    assert placement.choose_engine([far, near], ()) is far
    assert placement.choose_engine([far], ["far"]) is None


# Prefills recorded in the runs of two days, for each engine with ten or more of them:
# uncached tokens, cached tokens and duration in milliseconds. Only prefills of 1,500
# tokens or more that started without queueing are included.
RECORDED_PREFILLS = json.loads(
    (Path(__file__).parent / "data" / "recorded_prefills.json").read_text(
        encoding="utf-8"
    )
)


@pytest.mark.parametrize(
    "recording", RECORDED_PREFILLS, ids=lambda recording: recording["engine"]
)
def test_estimated_prefill_times_match_recorded_ones_up_to_one_factor(recording):
    factors = [
        estimate_prefill_s(uncached, cached, recording["stage"]) / (elapsed_ms / 1e3)
        for uncached, cached, elapsed_ms in recording["reads"]
    ]
    typical_factor = median(factors)
    assert median(abs(factor / typical_factor - 1) for factor in factors) <= 0.1


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


@pytest.mark.parametrize(
    ("wait_s", "limit", "needed_s", "allowed_s"),
    [(1.0, "wait", 1.0, 0.3), (0.1, "first_token", 1.135, 0.6)],
)
def test_refusal_has_both_sides_of_the_comparison(wait_s, limit, needed_s, allowed_s):
    decision = AdmissionPolicy().decide(
        1.1, wait_s, 0.5, 5.0, 2.0, 0, disaggregated=False, busy=True
    )
    assert decision.fields == {
        "limit": limit,
        "needed_ms": needed_s * 1e3,
        "allowed_ms": allowed_s * 1e3,
    }


@pytest.mark.parametrize(("busy", "admitted"), [(True, False), (False, True)])
def test_late_requests_are_queued_at_engines_only_while_not_busy(busy, admitted):
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
def test_late_request_is_refused_if_its_caller_would_abandon_it(
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
def test_silence_timeout_is_shorter_than_patience_of_caller(
    predicted_s, caller_patience_s, expected
):
    assert compute_silence_timeout_s(predicted_s, caller_patience_s) == pytest.approx(
        expected
    )


def test_prefill_engines_are_busy_near_their_capacity(placement):
    engines = [make_engine("p1", "prefill", speed=1.6), make_engine("d1")]
    assert placement.is_busy(Demand(prefill=1.5), engines)
    assert not placement.is_busy(Demand(prefill=1.0, decode=9.0), engines)


def test_urgent_routes_get_higher_engine_priority():
    decisions = [
        AdmissionPolicy().decide(
            0.1, 0.0, 0.5, 5, 2, rank, disaggregated=True, busy=True
        )
        for rank in (0, 1, 9)
    ]
    priorities = [decision.priority for decision in decisions]
    assert priorities == sorted(priorities)
    assert max(priorities) < 8


def encode_events(*numbers):
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)


@given(st.integers(1, 40))
def test_events_are_complete_for_any_split_of_the_bytes(size):
    data = encode_events(1, 2, 3, 4)
    splitter = EventSplitter()
    events = []
    for start in range(0, len(data), size):
        events.extend(splitter.feed(data[start : start + size]))
    assert b"".join(events) == data
    assert splitter.at_event_boundary


@pytest.mark.parametrize("data", [b"id: 1\ndata: ", b"id: "])
def test_event_that_never_ends_is_not_buffered(data):
    splitter = EventSplitter()
    assert splitter.feed(encode_events(1) + data) == [encode_events(1)]
    with pytest.raises(InvalidStreamError):
        for _ in range(MAX_EVENT_BYTES):
            splitter.feed(b"1" * 16)
    assert len(splitter.buffer) <= MAX_EVENT_BYTES + 16


def test_events_beyond_the_highest_id_are_not_returned():
    splitter = EventSplitter(max_id=2)
    assert len(splitter.feed(encode_events(1, 2, 3))) == 2
    with pytest.raises(InvalidStreamError):
        splitter.feed(encode_events(4))


def test_event_id_of_many_digits_is_invalid():
    splitter = EventSplitter(last_id=b"1")
    with pytest.raises(InvalidStreamError):
        splitter.feed(b"id: " + b"2" * 5000 + b"\ndata: x\n\n")


def test_events_before_a_missing_one_are_not_lost():
    splitter = EventSplitter()
    assert splitter.feed(encode_events(1, 2, 4)) == [
        encode_events(1),
        encode_events(2),
    ]
    assert splitter.last_id == b"2"
    assert not splitter.at_event_boundary
    with pytest.raises(OutOfOrderError):
        splitter.feed(b"")


def test_resumed_stream_has_no_duplicate_or_missing_event():
    splitter = EventSplitter()
    assert len(splitter.feed(encode_events(1, 2) + b"id: 3\nda")) == 2
    assert not splitter.at_event_boundary
    splitter.discard_partial()
    assert splitter.feed(encode_events(1, 2, 3)) == [encode_events(3)]
    with pytest.raises(OutOfOrderError):
        splitter.feed(encode_events(5))

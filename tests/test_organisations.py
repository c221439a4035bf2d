"""Keys, access and fair shares of organisations, without a network."""

import heapq
import json
import random

import pytest
from hypothesis import given, strategies as st

from jasminewalk.exceptions import BadConfigurationError
from jasminewalk.gateway.admission import AdmissionPolicy, Admitted, Refused
from jasminewalk.gateway.configuration_relay import READ_GRACE_S, RelaySource
from jasminewalk.gateway.organisations import Access, AccessPolicy, Denied, FairShares
from jasminewalk.gateway.organisations.fair_shares import compute_fair_level
from jasminewalk.key_digests import digest_key
from jasminewalk.platform.configuration import (
    ConfigurationDecoder,
    Organisation,
    decode_configuration,
    replace_keys,
)
from jasminewalk.platform.headers import build_engine_headers, decode_request_head
from jasminewalk.platform.settings import SafetyBounds
from platform_fakes import ROUTES, configuration

TENANTS = [
    {"name": "cafe-luna", "api_keys": ["luna-1", "luna-2"], "priority": 1},
    {"name": "hotel-sol", "api_keys": ["sol-1"]},
]


def make_document(tenants=TENANTS, version=1, public=False):
    routes = [{**route, "public": public} for route in ROUTES]
    return {**configuration(version, routes), "tenants": tenants}


def make_policy(document, **fields):
    decoded = decode_configuration(json.dumps(document).encode())
    policy = AccessPolicy(fresh_s=2.0, **fields)
    policy.use(decoded.organisations)
    return policy, decoded.routes[0]


def test_key_names_its_organisation():
    policy, route = make_policy(make_document())
    access = policy.decide(route, "luna-2", 0.0)
    assert isinstance(access, Access)
    assert access.name == "cafe-luna"
    assert access.organisation.rank == 1


@pytest.mark.parametrize("key", ["", "luna", "LUNA-1", "luna-1 ", digest_key("luna-1")])
def test_unknown_key_is_denied_for_good(key):
    policy, route = make_policy(make_document())
    denied = policy.decide(route, key, 0.0)
    assert isinstance(denied, Denied)
    assert denied.retry_after_s is None


def test_no_key_holds_if_there_are_no_organisations_left():
    policy, route = make_policy(make_document(tenants=[]))
    assert isinstance(policy.decide(route, "luna-1", 0.0), Denied)


def test_configuration_without_organisations_needs_no_key():
    policy, route = make_policy(configuration())
    assert policy.decide(route, "", 0.0) == Access()


def test_public_route_needs_no_key_but_names_the_organisation_of_one():
    policy, route = make_policy(make_document(public=True))
    assert policy.decide(route, "", 0.0) == Access()
    assert policy.decide(route, "wrong", 0.0) == Access()
    assert policy.decide(route, "sol-1", 0.0).name == "hotel-sol"


@pytest.mark.parametrize(
    ("unread_s", "is_behind"), [(2.5, False), (0.1, True), (float("inf"), False)]
)
def test_key_that_may_be_new_is_refused_for_a_moment_only(unread_s, is_behind):
    policy, route = make_policy(make_document())
    denied = policy.decide(route, "new", unread_s, is_behind=is_behind)
    assert denied.retry_after_s is not None
    assert policy.decide(route, "", unread_s, is_behind=is_behind).retry_after_s is None


def test_key_that_was_taken_away_no_longer_holds_for_a_request_that_waited():
    policy, route = make_policy(make_document())
    access = policy.decide(route, "luna-1", 0.0)
    assert policy.still_holds(access, 0.0)
    decoded = decode_configuration(
        json.dumps(make_document([{"name": "cafe-luna", "api_keys": []}])).encode()
    )
    policy.use(decoded.organisations)
    assert not policy.still_holds(access, 0.0)


def test_key_that_passed_to_another_organisation_does_not_run_for_the_former_one():
    policy, route = make_policy(make_document())
    access = policy.decide(route, "luna-1", 0.0)
    policy.use([Organisation("hotel-sol", (digest_key("luna-1"),))])
    assert not policy.still_holds(access, 0.0)


def test_isolated_gateway_takes_no_key_only_where_settings_ask_for_it():
    bounds = SafetyBounds(key_confirmation_s=5.0, needs_key_confirmation=True)
    strict = AccessPolicy.from_bounds(bounds)
    lenient = AccessPolicy.from_bounds(SafetyBounds())
    _, route = make_policy(make_document())
    for policy in (strict, lenient):
        policy.use([Organisation("cafe-luna", (digest_key("luna-1"),))])
    access = strict.decide(route, "luna-1", 4.9)
    assert isinstance(access, Access)
    assert not strict.still_holds(access, 5.1)
    assert strict.decide(route, "luna-1", 5.1).retry_after_s is not None
    assert isinstance(lenient.decide(route, "luna-1", 1e6), Access)


@pytest.mark.parametrize(
    "tenants", [{}, [{}], [{"name": 1}], [{"name": "a", "api_keys": [1]}], ["a"]]
)
def test_malformed_organisations_make_the_configuration_unreadable(tenants):
    with pytest.raises(BadConfigurationError):
        decode_configuration(json.dumps(make_document(tenants)).encode())


def test_decoded_configuration_holds_no_key():
    decoder = ConfigurationDecoder()
    text = json.dumps(make_document()).encode()
    decoded = decoder.decode(text)
    kept = repr(decoded) + repr(decoder.__dict__) + replace_keys(text).decode()
    assert "luna-1" not in kept
    assert "sol-1" not in kept


def test_configuration_without_keys_is_the_same_configuration():
    text = json.dumps(make_document()).encode()
    assert decode_configuration(replace_keys(text)) == decode_configuration(text)
    plain = json.dumps(configuration()).encode()
    assert decode_configuration(replace_keys(plain)) == decode_configuration(plain)


def test_engine_gets_the_organisation_and_never_the_key():
    headers = [
        (b"x-jasminewalk-credential", b"luna-1"),
        (b"x-jasminewalk-tenant", b"hotel-sol"),
    ]
    head = decode_request_head(headers)
    assert head.credential == "luna-1"
    assert "luna-1" not in repr(head)
    built = build_engine_headers(
        headers, engine_id="i-1", deadline_s=1.0, organisation="cafe-luna"
    )
    assert (b"x-jasminewalk-tenant", b"cafe-luna") in built
    assert not any(b"luna-1" in value for _, value in built)
    bare = build_engine_headers(headers, engine_id="i-1", deadline_s=1.0)
    assert not any(name == b"x-jasminewalk-tenant" for name, _ in bare)


def test_look_up_does_not_depend_on_the_number_of_organisations():
    organisations = [
        Organisation(f"org-{number}", (digest_key(f"key-{number}"),))
        for number in range(50_000)
    ]
    policy = AccessPolicy(fresh_s=2.0)
    policy.use(organisations)
    _, route = make_policy(make_document())
    assert policy.decide(route, "key-49999", 0.0).name == "org-49999"
    assert len(policy.key_ring.organisations) == 50_000


def test_newer_configuration_is_asked_for_once_the_store_should_have_served_it():
    source = RelaySource(random.Random(1))
    live = {"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
    source.record(10.0, "10.0.0.1:7000", 7)
    source.record(10.0, "10.0.0.2:7000", 8)
    source.record(10.0, "10.0.0.3:7000", 8)
    assert source.is_behind(7)
    assert source.choose(10.0 + READ_GRACE_S / 2, 7, live) is None
    later = 10.0 + READ_GRACE_S
    chosen = {source.choose(later, 7, live) for _ in range(20)}
    assert chosen == {"10.0.0.2:7000", "10.0.0.3:7000"}
    assert source.choose(later, 8, live) is None
    assert source.choose(later, 7, {"10.0.0.1:7000"}) is None
    assert not source.is_behind(7)


# Shares of engine time.

CAPACITY = 20.0


def play(shares, seconds, demands, started_at=0.0):
    """Record demands in engine seconds per second, by organisation, over a time."""
    steps = int(seconds * 10)
    for step in range(steps):
        now = started_at + step / 10
        for name, demand in demands.items():
            shares.record_asked(now, name, demand / 10)
            shares.record_used(now, name, demand / 10)
    return started_at + seconds


def test_nobody_is_over_while_the_engines_keep_up():
    shares = FairShares()
    now = play(shares, 20.0, {"large": 15.0, "small": 0.1})
    assert not shares.is_over(now, "large", CAPACITY)
    assert not shares.is_over(now, "small", CAPACITY)


def test_burst_of_one_of_80_organisations_is_held_against_it_alone():
    shares = FairShares()
    demands = {f"org-{number}": 0.15 for number in range(79)}
    now = play(shares, 20.0, demands)
    now = play(shares, 3.0, {**demands, "burst": 40.0}, now)
    assert shares.is_over(now, "burst", CAPACITY)
    assert not any(shares.is_over(now, name, CAPACITY) for name in demands)
    now = play(shares, 10.0, demands, now)
    assert not shares.is_over(now, "burst", CAPACITY)


def test_share_that_others_leave_is_used():
    shares = FairShares()
    now = play(shares, 20.0, {"large": 14.0, "middle": 5.0, "small": 2.0})
    assert not shares.is_over(now, "middle", CAPACITY)
    assert not shares.is_over(now, "small", CAPACITY)


@pytest.mark.parametrize("gateways", [3, 30, 360])
def test_use_at_all_gateways_counts_for_each_of_them(gateways):
    everyone = [FairShares() for _ in range(gateways)]
    for shares in everyone:
        now = play(shares, 10.0, {"large": 60.0 / gateways, "small": 0.5 / gateways})
    first = everyone[0]
    assert gateways == 1 or not first.is_over(now, "large", CAPACITY * 3)
    for number, shares in enumerate(everyone[1:]):
        first.apply(now, f"front-{number}", shares.announce(now))
    assert first.is_over(now + 1.0, "large", CAPACITY)
    assert not first.is_over(now + 1.0, "small", CAPACITY)
    assert first.is_over(now + 1.3, "large", CAPACITY)
    assert not first.is_over(now + 60.0, "large", CAPACITY)


def test_announcement_does_not_grow_with_the_number_of_organisations():
    shares = FairShares()
    for number in range(50_000):
        shares.record_asked(0.0, f"org-{number}", number / 1e3)
    assert len(shares.announce(0.0)) == 16
    assert shares.announce(0.0)[0][1] == 49_999


@given(st.lists(st.floats(0, 1e6), min_size=1, max_size=40), st.floats(0.001, 1e6))
def test_uses_that_are_cut_at_the_level_add_up_to_what_there_is(uses, available):
    level = compute_fair_level(uses, available)
    total = sum(min(use, level) for use in uses)
    assert total <= available * (1 + 1e-9) + 1e-9
    if sum(uses) > available * (1 + 1e-9):
        assert total == pytest.approx(available, rel=1e-6)


# Callers of many organisations before engines that have too little time.

SIZE_S = 0.25
SPEED = 20.0
OBJECTIVE_S = 0.5


def draw_requests(rng, seconds, burst):
    """Return (arrival, organisation) of 80 organisations, one of which bursts."""
    requests = []
    rates = {f"org-{number}": 0.7 for number in range(79)}
    for name, per_s in rates.items():
        at = rng.expovariate(per_s)
        while at < seconds:
            requests.append((at, name))
            at += rng.expovariate(per_s)
    begins, ends, per_s = burst
    at = begins
    while at < ends:
        requests.append((at, "burst"))
        at += rng.expovariate(per_s)
    return sorted(requests)


def serve(requests, shares):
    """Return the outcomes by organisation: in time, late, refused."""
    policy, queue, outcomes = AdmissionPolicy(), [], {}
    free_at, queued_s = 0.0, 0.0

    def run_until(now):
        nonlocal free_at, queued_s
        while queue and free_at <= now:
            _, _, arrival, name = heapq.heappop(queue)
            queued_s -= SIZE_S
            free_at = max(free_at, arrival) + SIZE_S / SPEED
            outcome = "in time" if free_at - arrival <= OBJECTIVE_S else "late"
            outcomes.setdefault(name, []).append(outcome)

    for number, (now, name) in enumerate(requests):
        run_until(now)
        wait_s = max(0.0, free_at - now) + queued_s / SPEED
        over = shares is not None and shares.is_over(now, name, SPEED)
        decision = policy.decide(
            wait_s + SIZE_S / SPEED,
            wait_s,
            OBJECTIVE_S,
            5.0,
            2.0,
            0,
            disaggregated=True,
            busy=True,
            over_share=over,
        )
        if shares is not None:
            shares.record_asked(now, name, SIZE_S)
        if isinstance(decision, Refused):
            outcomes.setdefault(name, []).append("refused")
            continue
        if shares is not None:
            shares.record_used(now, name, SIZE_S)
        heapq.heappush(queue, (decision.priority, number, now, name))
        queued_s += SIZE_S
    run_until(float("inf"))
    return outcomes


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_burst_of_one_organisation_costs_the_others_little(seed):
    requests = draw_requests(random.Random(seed), 30.0, (10.0, 25.0, 150.0))

    def count_in_time(shares):
        outcomes = serve(requests, shares)
        burst = outcomes.pop("burst")
        served = [outcome for each in outcomes.values() for outcome in each]
        shares_in_time = sorted(
            each.count("in time") / len(each) for each in outcomes.values()
        )
        worst = sum(shares_in_time[:8]) / 8
        return served.count("in time") / len(served), worst, burst

    before, worst_before, _ = count_in_time(None)
    after, worst_after, burst = count_in_time(FairShares())
    assert before < 0.8
    assert after > 0.95
    assert worst_after > max(0.85, worst_before)
    assert burst.count("in time") > 0.1 * len(burst)


def test_calm_requests_are_served_the_same_with_shares():
    requests = draw_requests(random.Random(4), 30.0, (0.0, 0.0, 1.0))
    assert serve(requests, FairShares()) == serve(requests, None)


@pytest.mark.parametrize(
    ("rank", "organisation_rank", "priority"),
    [(0, None, 1), (2, None, 5), (2, 0, 2), (0, 1, 3), (2, 1, 4), (0, 9, 6)],
)
def test_rank_of_the_organisation_goes_before_that_of_the_route(
    rank, organisation_rank, priority
):
    decision = AdmissionPolicy().decide(
        0.1,
        0.0,
        0.5,
        5.0,
        2.0,
        rank,
        disaggregated=False,
        busy=True,
        organisation_rank=organisation_rank,
    )
    assert decision == Admitted(priority, in_time=True)

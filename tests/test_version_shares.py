"""Which version a stream begins at, as gateways that share nothing else compute it."""

import random
from collections import Counter

import pytest

from jasminewalk.gateway.admission import AdmissionPolicy, Admitted, Refused
from jasminewalk.gateway.version_shares import (
    MAX_SHARES,
    SUPERSEDED_S,
    VersionShares,
    choose_version,
    compute_stream_key,
)

KEYS = [compute_stream_key(f"attempt-{number}") for number in range(4000)]
V1, V2 = {"v1": 4}, {"v2": 4}
BOTH = {"v1": 1, "v2": 3}


class Store:
    """Record of one service, which gateways write as the real ones do."""

    def __init__(self):
        self.shares = []
        self.now = 0.0

    def start(self):
        gateway = VersionShares()
        gateway.apply(self.now, "llm", self.shares)
        return gateway

    def write(self, gateway, engines):
        """Let a gateway write what it proposes; return whether it wrote anything."""
        proposed = gateway.propose(self.now, "llm", engines)
        if proposed is not None:
            self.shares = proposed
            gateway.apply(self.now, "llm", proposed)
        return proposed is not None


@pytest.fixture
def store():
    return Store()


def test_versions_get_streams_in_proportion_and_few_move_with_the_shares():
    counts = Counter(choose_version(key, BOTH) for key in KEYS)
    assert 0.71 < counts["v2"] / len(KEYS) < 0.79
    later = {"v1": 1, "v2": 3, "v3": 1}
    moved = [
        key for key in KEYS if choose_version(key, BOTH) != choose_version(key, later)
    ]
    assert {choose_version(key, later) for key in moved} == {"v3"}
    assert 0.16 < len(moved) / len(KEYS) < 0.24
    assert choose_version(KEYS[0], {}) == ""


def test_started_gateway_derives_what_earlier_ones_chose(store):
    earlier = store.start()
    assert store.write(earlier, BOTH)
    started = store.start()
    for key in KEYS[:100]:
        version = earlier.choose("llm", key)
        assert started.derive(store.now, "llm", key) == version
    assert started.derive(store.now, "llm", None) == ""
    assert started.derive(store.now, "other", KEYS[0]) == ""


def test_stream_that_the_callers_do_not_name_has_the_only_version(store):
    gateway = store.start()
    store.write(gateway, V1)
    assert store.start().derive(store.now, "llm", None) == "v1"


def test_streams_whose_version_moved_lately_are_not_derived(store):
    gateway = store.start()
    store.write(gateway, V1)
    store.now = 100.0
    assert store.write(gateway, BOTH)
    for held in (gateway, store.start()):
        for key in KEYS[:100]:
            now_at = choose_version(key, BOTH)
            expected = "v1" if now_at == "v1" else ""
            assert held.derive(store.now, "llm", key) == expected
    store.now += SUPERSEDED_S
    assert store.write(gateway, BOTH)
    assert store.shares == [BOTH]
    assert store.start().derive(store.now, "llm", KEYS[0]) == choose_version(
        KEYS[0], BOTH
    )


def test_calm_times_and_small_changes_write_nothing(store):
    gateway = store.start()
    writes = 0
    for second in range(200):
        store.now = float(second)
        engines = V1 if second < 50 else {"v1": 3, "v2": 3 + second % 2}
        writes += store.write(gateway, engines)
    # The first shares, the change, and its end.
    assert writes == 3
    assert not store.write(gateway, {})


def test_gateway_that_starts_keeps_superseded_shares_for_their_whole_time(store):
    gateway = store.start()
    store.write(gateway, V1)
    store.now = 10.0
    store.write(gateway, V2)
    store.now += SUPERSEDED_S - 1
    started = store.start()
    assert not store.write(started, V2)
    assert started.derive(store.now, "llm", KEYS[0]) == ""
    store.now += SUPERSEDED_S
    assert store.write(started, V2)
    assert store.shares == [V2]


def test_store_that_comes_back_from_an_older_copy_gets_the_shares_again(store):
    gateway = store.start()
    store.write(gateway, V1)
    copy = store.shares
    store.now = 10.0
    store.write(gateway, BOTH)
    gateway.forget_stored()
    gateway.apply(store.now, "llm", copy)
    moved = [key for key in KEYS if choose_version(key, BOTH) == "v2"]
    assert all(not gateway.derive(store.now, "llm", key) for key in moved)
    store.now += 1.0
    assert store.write(gateway, BOTH)
    assert store.shares[0] == BOTH
    assert V1 in store.shares
    # A copy without any record.
    gateway.forget_stored()
    assert store.write(gateway, BOTH)
    assert store.shares[0] == BOTH


def test_gateway_of_the_version_before_ends_derivations_among_versions(store):
    gateway = store.start()
    store.write(gateway, BOTH)
    gateway.record_former_gateway(store.now)
    assert gateway.derive(store.now, "llm", KEYS[0]) == ""
    later = store.now + SUPERSEDED_S
    assert gateway.derive(later, "llm", KEYS[0]) == choose_version(KEYS[0], BOTH)
    store.now = 100.0
    other = VersionShares()
    other.apply(store.now, "llm", [V1])
    other.record_former_gateway(store.now)
    assert other.derive(store.now, "llm", KEYS[0]) == "v1"


@pytest.mark.parametrize("seed", range(40))
def test_no_derivation_is_wrong_in_random_releases(store, seed):
    # Gateways read the record up to 2 s late; all die now and then.
    source = random.Random(seed)
    gateways = [store.start() for _ in range(4)]
    engines = {"v1": 6}
    streams, origins = [], {}
    derived = 0
    for step in range(800):
        store.now = step * 0.5
        if source.random() < 0.03:
            versions = source.sample(["v1", "v2", "v3"], source.randint(1, 3))
            engines = {version: source.randint(1, 6) for version in versions}
        gateway = source.choice(gateways)
        if gateway.services.get("llm", None) is None or store.shares == (
            gateway.services["llm"].stored
        ):
            store.write(gateway, engines)
        for number, held in enumerate(gateways):
            if (step + number) % 4 == 0:
                held.apply(store.now, "llm", store.shares)
        if source.random() < 0.05:
            gateways = [store.start() for _ in range(4)]
        placer = source.choice(gateways)
        key = KEYS[step]
        version = placer.choose("llm", key)
        if version:
            streams.append((store.now, key, version))
            if placer.derive(store.now, "llm", key) != version:
                origins[key] = version
        asked = source.choice(gateways)
        streams = [stream for stream in streams if store.now - stream[0] < 10.0]
        for _, began_key, began_version in streams:
            found = asked.derive(store.now, "llm", began_key)
            derived += bool(found)
            found = origins.get(began_key, found)
            assert found in ("", began_version)
    assert derived > 100
    assert len(store.shares) <= MAX_SHARES


def test_resumed_stream_is_admitted_where_load_would_refuse_a_new_one():
    policy = AdmissionPolicy()
    new = policy.decide(2.0, 1.6, 0.5, 4.0, 2.0, 1, disaggregated=False, busy=True)
    assert isinstance(new, Refused)
    assert policy.decide_resumed(2.0, 1.6, 4.0, 2.0) == Admitted(0, in_time=False)
    late = policy.decide_resumed(3.0, 0.5, 4.0, 2.0)
    assert isinstance(late, Refused)
    assert late.retry_after_s > 0

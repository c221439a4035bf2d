"""Streams that run while the shares of versions change, and what is stored of them."""

import asyncio

import msgspec
import pytest

from gateway_fakes import make_engine
from jasminewalk.clock import ManualClock
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.fleet import Fleet
from jasminewalk.gateway.peers import PeerExchange
from jasminewalk.gateway.stream_history import StreamHistory
from jasminewalk.gateway.stream_origins import StreamOrigin
from jasminewalk.gateway.version_shares import (
    SUPERSEDED_S,
    VersionShares,
    choose_version,
    compute_stream_key,
)
from jasminewalk.gateway.version_store import RETURN_S, VersionsFollower

BEFORE, LATER = {"v1": 3}, {"v1": 3, "v2": 2}
STREAMS = [f"attempt-{number}" for number in range(200)]
KEYS = {request_id: compute_stream_key(request_id) for request_id in STREAMS}
MOVED = {key for key in KEYS.values() if choose_version(key, LATER) == "v2"}


class Gateways:
    """Other gateways, which all died."""

    def record(self, request_id, origin):
        pass


class Origins:
    """Origins at the store."""

    def __init__(self):
        self.written = []

    async def write(self, key, origin):
        self.write_later(key, origin)

    def write_later(self, key, origin):
        self.written.append(key)

    def has_read(self, key):
        return key in self.written


class Gateway:
    """What one gateway knows of streams and shares."""

    def __init__(self):
        self.clock = ManualClock()
        self.shares = VersionShares()
        self.shares.apply(0.0, "llm", [BEFORE])
        self.origins = Origins()
        self.began = {}
        self.history = StreamHistory(
            Gateways(), self.shares, self.origins, Fleet(), self.clock.monotonic
        )

    async def begin(self, streams, *, shares=BEFORE, is_new=True):
        for request_id in streams:
            version = choose_version(KEYS[request_id], shares)
            self.began[KEYS[request_id]] = version
            origin = StreamOrigin(version, "engine-1", 1000)
            await self.history.record("llm", request_id, origin, is_new=is_new)

    def find_unknown(self, shares):
        """Return streams that no gateway knows that starts now and reads shares."""
        started = VersionShares()
        started.apply(self.clock.monotonic(), "llm", shares)
        now = self.clock.monotonic()
        derived = {key: started.derive(now, "llm", key) for key in self.began}
        assert all(derived[key] in ("", self.began[key]) for key in derived)
        return {key for key in derived if not derived[key]} - set(self.origins.written)


@pytest.fixture
def gateway():
    return Gateway()


@pytest.mark.anyio
async def test_streams_are_known_before_other_shares_move_them(gateway):
    await gateway.begin(STREAMS)
    assert gateway.origins.written == []
    assert gateway.shares.expect(0.0, "llm", LATER)
    assert gateway.history.store_moved("llm") == len(MOVED)
    assert set(gateway.origins.written) == MOVED
    assert gateway.find_unknown([LATER, BEFORE]) == set()
    # Nothing is written again, also once the shares have changed.
    assert not gateway.shares.expect(1.0, "llm", LATER)
    gateway.shares.apply(1.0, "llm", [LATER, BEFORE])
    assert gateway.history.store_moved("llm") == 0


@pytest.mark.anyio
@pytest.mark.parametrize("is_new", [True, False])
async def test_streams_that_begin_or_resume_before_expected_shares_are_known(
    gateway, is_new
):
    gateway.shares.expect(0.0, "llm", LATER)
    await gateway.begin(STREAMS, is_new=is_new)
    assert set(gateway.origins.written) == MOVED
    await gateway.begin(STREAMS, is_new=False)
    assert len(gateway.origins.written) == len(MOVED)


@pytest.mark.anyio
async def test_shares_that_another_gateway_changed_move_no_stream_unknown(gateway):
    await gateway.begin(STREAMS)
    gateway.shares.apply(0.0, "llm", [LATER, BEFORE])
    gateway.history.store_moved("llm")
    assert gateway.find_unknown([LATER, BEFORE]) == set()


@pytest.mark.anyio
async def test_streams_are_known_while_the_store_has_superseded_shares(gateway):
    gateway.shares.apply(0.0, "llm", [LATER, BEFORE])
    gateway.clock.advance(SUPERSEDED_S + 1)
    # Settled here, but not for a gateway that starts now.
    await gateway.begin(STREAMS, shares=LATER)
    assert gateway.find_unknown([LATER, BEFORE]) == set()


@pytest.mark.anyio
async def test_engines_that_come_and_go_write_nothing(gateway):
    await gateway.begin(STREAMS)
    for count in (1, 5, 3):
        assert not gateway.shares.expect(0.0, "llm", {"v1": count})
    assert gateway.history.store_moved("llm") == 0
    gateway.shares.expect(0.0, "llm", LATER)
    gateway.shares.expect(0.0, "llm", BEFORE)
    assert gateway.history.store_moved("llm") == 0
    assert gateway.origins.written == []


@pytest.mark.anyio
async def test_streams_that_are_over_are_not_written(gateway):
    await gateway.begin(STREAMS[:100])
    gateway.clock.advance(SUPERSEDED_S)
    await gateway.begin(STREAMS[100:])
    assert len(gateway.history.unstored) == 100
    gateway.shares.expect(SUPERSEDED_S, "llm", LATER)
    gateway.history.store_moved("llm")
    assert set(gateway.origins.written) <= {KEYS[name] for name in STREAMS[100:]}


class Store:
    """Store that records what is put."""

    def __init__(self):
        self.put_values = []

    async def put_at(self, topic, key, value, offset):
        self.put_values.append(msgspec.json.decode(value)["shares"])


@pytest.mark.anyio
@pytest.mark.parametrize("has_shares", [True, False])
async def test_started_gateway_leaves_shares_until_callers_have_resumed(
    has_shares, monkeypatch
):
    clock, store, fleet, shares = ManualClock(), Store(), Fleet(), VersionShares()
    monkeypatch.setattr(VersionsFollower, "_read_again", lambda self: asyncio.sleep(0))
    for number, version in enumerate(("v1", "v1", "v2")):
        fleet.engines[f"e{number}"] = make_engine(f"e{number}", version=version)
    peers = PeerExchange("front-1", "10.0.0.1:7000", 1, fleet)
    log = DecisionLog("front-1", clock.monotonic)
    follower = VersionsFollower(store, log, clock.monotonic, fleet, peers, shares)
    follower.offset = 0
    moved = []
    follower.on_moved = lambda service: moved.append(service) or 0
    if has_shares:
        shares.apply(0.0, "llm", [BEFORE])
    writes = {}
    while clock.monotonic() < RETURN_S + 2.0:
        follower.compare_with_engines("llm")
        await follower.write_if_due("llm")
        writes[clock.monotonic()] = len(store.put_values)
        clock.advance(0.1)
    first = min(now for now, count in writes.items() if count)
    assert (first < 1.0) != has_shares
    assert (first >= RETURN_S) == has_shares
    assert moved == ["llm"] * has_shares

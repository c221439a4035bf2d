"""What gateways remember of the versions that began streams, and tell each other."""

import asyncio

import pytest

from gateway_fakes import make_engine
from jasminewalk.clock import ManualClock
from jasminewalk.gateway import stream_versions
from jasminewalk.gateway.engine_list import ONLY_VERSION_S
from jasminewalk.gateway.fleet import Fleet
from jasminewalk.gateway.peers import Peer, PeerExchange, TopicProgress
from jasminewalk.gateway.stream_versions import (
    KEEPERS,
    KEPT_S,
    MAX_STREAMS,
    StreamOrigin,
    StreamVersions,
)
from jasminewalk.platform.store import KeyedRecord
from platform_fakes import FakeEngine
from test_gateway_daemon import GatewayHarness

ORIGIN = StreamOrigin("v1", "engine-1", 1000)


class Network:
    """Gateways that hand datagrams to each other, and lose those to dead ones."""

    def __init__(self, count):
        self.clock = ManualClock()
        self.sent = []
        self.gateways = {f"10.0.0.{n}:7000": None for n in range(count)}
        for number, address in enumerate(self.gateways):
            peers = PeerExchange(f"front-{number}", address, 1, Fleet())
            for other, peer_address in enumerate(self.gateways):
                if other != number:
                    peers.peers[f"front-{other}"] = Peer(peer_address, received_at=0.0)
            gateway = StreamVersions(peers, self.clock.monotonic)
            gateway.send = self.deliver
            self.gateways[address] = gateway

    def deliver(self, address, data):
        self.sent.append((address, data))
        if self.gateways[address] is not None:
            assert self.gateways[address].receive(data)

    def kill(self, gateway):
        self.gateways[gateway.peers.address] = None

    def list_alive(self):
        return [gateway for gateway in self.gateways.values() if gateway is not None]


@pytest.fixture
def make_network(monkeypatch):
    monkeypatch.setattr(stream_versions, "ANSWER_TIMEOUT_S", 0.05)
    return Network


@pytest.mark.anyio
@pytest.mark.parametrize("count", [2, 5, 30])
async def test_stream_is_known_once_its_gateway_is_killed(make_network, count):
    network = make_network(count)
    first = network.list_alive()[0]
    for number in range(20):
        first.record(f"q{number}", ORIGIN)
    assert len(network.sent) == 20 * min(KEEPERS, count - 1)
    network.kill(first)
    for gateway in network.list_alive()[:3]:
        for number in range(20):
            assert await gateway.find(f"q{number}") == ORIGIN


@pytest.mark.anyio
async def test_stream_that_nobody_knows_is_unknown_without_waiting(make_network):
    gateway = make_network(5).list_alive()[0]
    async with asyncio.timeout(stream_versions.ANSWER_TIMEOUT_S / 2):
        assert await gateway.find("made-up") is None
    assert not gateway.waiting


@pytest.mark.anyio
async def test_silent_gateways_keep_a_request_waiting_for_a_moment_only(make_network):
    network = make_network(4)
    gateway, *others = network.list_alive()
    for other in others:
        network.kill(other)
    async with asyncio.timeout(1.0):
        assert await gateway.find("q1") is None
    assert not gateway.waiting


@pytest.mark.anyio
async def test_records_and_questions_are_bounded(make_network, monkeypatch):
    network = make_network(1)
    gateway = network.list_alive()[0]
    for number in range(MAX_STREAMS + 500):
        gateway.record(f"q{number}", ORIGIN)
    assert len(gateway.streams) == MAX_STREAMS
    network.clock.advance(KEPT_S)
    assert await gateway.find(f"q{MAX_STREAMS}") is None
    gateway.record("later", ORIGIN)
    assert len(gateway.streams) == 1
    monkeypatch.setattr(stream_versions, "MAX_WAITING", 0)
    network = make_network(3)
    assert await network.list_alive()[0].find("q1") is None
    assert network.sent == []


def test_unreadable_datagram_is_refused(make_network):
    gateway = make_network(2).list_alive()[0]
    for data in (b"\x01", b"\x01\xc1", b"\x01\x93\x01\x02\x03"):
        assert not gateway.receive(data)


@pytest.mark.anyio
async def test_question_of_an_unknown_address_is_not_answered(make_network):
    network = make_network(3)
    first, second, _ = network.list_alive()
    second.peers.address = "10.9.9.9:7000"
    first.record("q1", ORIGIN)
    network.sent.clear()
    second.streams.clear()
    assert await second.find("q1") is None
    assert all(address != "10.9.9.9:7000" for address, _ in network.sent)


def list_entry(fleet, now, engine_id, version, born):
    text = (
        '{"service":"llm","address":"10.0.0.1:8000","state":"ready","zone":"north",'
        f'"slots":16,"version":"{version}","born":{born}}}'
    )
    list(fleet.apply_changes(now, [KeyedRecord(engine_id, text.encode())]))


def test_only_version_of_a_service_is_known_after_a_time():
    fleet = Fleet()
    list(fleet.apply_snapshot(0.0, []))
    list_entry(fleet, 0.0, "a", "v1", 1)
    assert fleet.find_only_version("llm", ONLY_VERSION_S - 1) == ""
    assert fleet.find_only_version("llm", ONLY_VERSION_S) == "v1"
    list_entry(fleet, 40.0, "a", "v2", 2)
    assert fleet.find_only_version("llm", 40.0 + ONLY_VERSION_S - 1) == ""
    assert fleet.find_only_version("llm", 40.0 + ONLY_VERSION_S) == "v2"
    list_entry(fleet, 80.0, "b", "v1", 1)
    assert fleet.find_only_version("llm", 200.0) == ""
    assert fleet.find_only_version("other", 200.0) == ""


def test_engines_of_a_version_are_found_though_others_are_trusted():
    fleet = Fleet()
    for number, version in enumerate(("v1", "v1", "v2")):
        engine = make_engine(f"e{number}", version=version)
        fleet.engines[engine.entry.engine_id] = engine
        if version == "v1":
            fleet.suspect(0.0, engine, "connect failed")
    found = fleet.list_available("llm", 0.1, "v1")
    assert [engine.entry.engine_id for engine in found] == ["e0", "e1"]
    assert fleet.list_available("llm", 0.1, "") == []


@pytest.mark.anyio
@pytest.mark.parametrize("has_versions", [True, False])
async def test_message_of_the_version_before_ends_derivations(tmp_path, has_versions):
    harness = GatewayHarness(tmp_path)
    await harness.start(FakeEngine("first", "llm", "decode"))
    shares = harness.daemon.version_shares
    shares.apply(harness.daemon.clock(), "llm", [{"v1": 1, "v2": 1}])
    peer = PeerExchange("front-9", "127.0.0.9:7000", 1, Fleet())
    progress = TopicProgress()
    versions = progress if has_versions else None
    data = peer.build_message(0.0, progress, progress, versions=versions)
    harness.daemon.peer_link.receive(data)
    assert bool(shares.derive(harness.daemon.clock(), "llm", 7)) == has_versions
    harness.stop()

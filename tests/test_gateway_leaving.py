"""Engines that say in their responses that they are leaving."""

import asyncio
import json

import msgspec
import pytest

from gateway_fakes import make_engine
from jasminewalk.gateway.fleet import Fleet
from jasminewalk.gateway.peers import (
    PeerExchange,
    PeerMessage,
    TopicProgress,
    decode_peer_message,
)
from jasminewalk.platform.headers import decode_response_head
from jasminewalk.platform.store import KeyedRecord
from platform_fakes import FakeEngine
from test_gateway_daemon import (
    LONG_PROMPT_HEADERS,
    GatewayHarness,
    make_llm_engines,
    make_plain_engines,
)
from test_gateway_limits import GatewayGroup


@pytest.fixture
async def harness(tmp_path):
    harness = GatewayHarness(tmp_path)
    yield harness
    harness.stop()


@pytest.fixture
async def group(tmp_path):
    group = GatewayGroup(tmp_path)
    yield group
    group.stop()


@pytest.mark.parametrize(
    ("value", "leaving"), [(b"1", True), (b" 1 ", True), (b"0", False), (b"", False)]
)
def test_leaving_header_is_decoded(value, leaving):
    head = decode_response_head(500, [(b"server-leaving", value)])
    assert head.leaving is leaving


def test_response_without_the_header_is_not_leaving():
    assert decode_response_head(200, []).leaving is False


@pytest.mark.anyio
@pytest.mark.parametrize("behaviour", ["answer", "error", "full"])
async def test_leaving_engine_gets_nothing_after_its_first_response(harness, behaviour):
    engines = make_plain_engines()
    await harness.start(*engines)
    engines[0].leaving, engines[0].behaviour = True, behaviour
    engines[1].delay_s = 0.02
    harness.store.down = True
    while not engines[0].requests:
        await harness.send_request("/book/x")
    for _ in range(10):
        assert (await harness.send_request("/book/x"))[0] == 200
    assert len(engines[0].requests) == 1
    (line,) = harness.read_log_lines("engine_leaving")
    assert line["engine"] == "app-0"


@pytest.mark.anyio
async def test_leaving_is_seen_in_the_head_of_a_stream_that_goes_on(harness):
    engines = [FakeEngine("decoder-1", "llm", "decode")]
    await harness.start(*engines)
    engines[0].leaving, engines[0].behaviour = True, "pause_stream"
    stream = asyncio.create_task(harness.send_request("/help/x"))
    while not harness.daemon.fleet.engines["decoder-1"].leaving:
        assert not stream.done()
        await asyncio.sleep(0.01)
    status, head, _ = await harness.send_request("/help/x")
    assert (status, "retry-after" in head) == (503, True)
    assert len(engines[0].requests) == 1
    assert (await stream)[0] == 200


@pytest.mark.anyio
async def test_engine_that_says_it_leaves_gets_no_handed_over_stream(harness):
    engines = make_llm_engines()
    await harness.start(*engines)
    engines[1].leaving = True
    daemon = harness.daemon
    await daemon.clients.call(
        daemon.fleet.engines["decoder-1"], b"GET", b"/-/report", (), b"", 1.0
    )
    for _ in range(4):
        assert (await harness.send_request("/verdict/x", **LONG_PROMPT_HEADERS))[
            0
        ] == 200
    assert not engines[1].requests


@pytest.mark.anyio
async def test_engine_whose_report_says_that_it_leaves_gets_no_order(harness):
    engines = [FakeEngine(f"decoder-{number}", "llm", "decode") for number in range(2)]
    for engine in engines:
        engine.leaving = True
    await harness.start(*engines)
    async with asyncio.timeout(4):
        while not any(e.leaving for e in harness.daemon.fleet.engines.values()):
            await asyncio.sleep(0.02)
    await asyncio.sleep(0.1)
    assert not [order for engine in engines for order in engine.orders]


@pytest.mark.anyio
async def test_misdirected_response_says_nothing_about_the_expected_engine(harness):
    engines = make_plain_engines()
    await harness.start(*engines)
    engines[0].leaving, engines[0].behaviour = True, "misdirect"
    engines[1].delay_s = 0.02
    while not engines[0].requests:
        await harness.send_request("/look/x")
    assert not harness.daemon.fleet.engines["app-0"].leaving


@pytest.mark.anyio
async def test_leaving_reaches_the_other_gateways_without_the_store(group):
    engines = [FakeEngine(f"app-{number}") for number in range(2)]
    await group.start(engines, count=3)
    engines[0].leaving = True
    engines[1].delay_s = 0.02
    group.store.down = True
    while not engines[0].requests:
        await group.send_request(group.daemons[0], "/book/x")
    await asyncio.sleep(0.3)
    statuses = [
        await group.send_request(daemon, "/book/x")
        for daemon in group.daemons
        for _ in range(5)
    ]
    assert set(statuses) == {200}
    assert len(engines[0].requests) == 1


def make_fleet(*engines):
    fleet = Fleet()
    fleet.engines = {engine.entry.engine_id: engine for engine in engines}
    return fleet


def make_entry_record(engine_id, **changes):
    engine = FakeEngine(engine_id)
    engine.address = "10.0.0.9:8000"
    return KeyedRecord(engine_id, json.dumps(engine.entry(**changes)).encode())


def test_engine_under_a_new_incarnation_is_not_the_one_that_left():
    fleet = make_fleet(make_engine("app-0", service="app"))
    assert fleet.record_leaving(fleet.engines["app-0"], "x").event == "engine_leaving"
    assert fleet.record_leaving(fleet.engines["app-0"], "x") is None
    assert not fleet.list_usable("app", 1.0)
    list(fleet.apply_changes(1.0, [make_entry_record("app-0", born=1)]))
    assert not fleet.list_usable("app", 1.0)
    list(fleet.apply_changes(1.0, [make_entry_record("app-0", born=2)]))
    assert fleet.list_usable("app", 1.0)


def test_leaving_engine_is_announced_until_it_is_gone():
    fleet = make_fleet(make_engine("app-0", service="app"))
    exchange = PeerExchange("front-1", "h:1", 1, fleet)
    fleet.record_leaving(fleet.engines["app-0"], "x")
    other = PeerExchange("front-2", "h:2", 1, make_fleet())
    for _ in range(2):
        data = exchange.build_message(1.0, TopicProgress(), TopicProgress())
        message = decode_peer_message(data)
        assert not list(other.apply_leaving(message))
    # The other gateway lists the engine only now.
    other.fleet.engines["app-0"] = make_engine("app-0", service="app")
    (event,) = other.apply_leaving(message)
    assert (event.event, event.engine) == ("engine_leaving", "app-0")
    assert not other.fleet.list_usable("app", 1.0)


def build_registry_news(fleet, now, read_offset, era=1):
    exchange = PeerExchange("front-1", "h:1", 1, fleet)
    registry = TopicProgress(0, read_offset)
    data = exchange.build_message(
        now, TopicProgress(), registry, era, registry_offset=read_offset
    )
    return decode_peer_message(data)


def test_engine_that_drains_by_its_entry_is_announced():
    fleet = make_fleet()
    list(fleet.apply_changes(1.0, [make_entry_record("app-0", state="draining")]))
    other = PeerExchange("front-2", "h:2", 1, make_fleet())
    list(other.fleet.apply_changes(1.0, [make_entry_record("app-0")]))
    [event] = other.apply_leaving(build_registry_news(fleet, 1.0, 1))
    assert event.event == "engine_leaving"
    assert not other.fleet.list_usable("app", 1.0)


@pytest.mark.parametrize(
    ("era", "offset", "is_dropped"),
    [(1, 6, True), (1, 7, False), (1, 8, False), (2, 6, False), (1, None, False)],
)
@pytest.mark.parametrize("value", [None, b"?"], ids=["removed", "unreadable"])
def test_engine_without_an_entry_is_dropped_if_a_peer_has_read_further(
    value, era, offset, is_dropped
):
    fleet = make_fleet()
    list(fleet.apply_changes(1.0, [make_entry_record("app-0")]))
    list(fleet.apply_changes(2.0, [KeyedRecord("app-0", value)]))
    other = PeerExchange("front-2", "h:2", 1, make_fleet())
    list(other.fleet.apply_changes(1.0, [make_entry_record("app-0")]))
    message = build_registry_news(fleet, 2.1, 7)
    events = list(other.apply_unlisted(2.1, message, era, offset))
    assert bool(other.fleet.list_usable("app", 2.1)) is not is_dropped
    assert [event.event for event in events] == (
        ["engine_missing", "engine_gone"] if is_dropped else []
    )
    list(other.fleet.apply_changes(2.2, [make_entry_record("app-0")]))
    assert other.fleet.list_usable("app", 2.2)


def test_engine_that_is_gone_for_long_is_not_announced():
    fleet = make_fleet()
    list(fleet.apply_changes(1.0, [make_entry_record("app-0")]))
    list(fleet.apply_changes(2.0, [KeyedRecord("app-0", None)]))
    assert len(build_registry_news(fleet, 11.9, 7).unlisted) == 1
    assert not build_registry_news(fleet, 12.1, 7).unlisted


def test_message_of_the_previous_version_names_no_leaving_engines():
    fleet = make_fleet(make_engine("app-0", service="app"))
    data = PeerExchange("front-1", "h:1", 1, fleet).build_message(
        1.0, TopicProgress(), TopicProgress()
    )
    rows = msgspec.msgpack.decode(data)
    count = PeerMessage.__struct_fields__.index("leaving")
    previous = decode_peer_message(msgspec.msgpack.encode(rows[:count]))
    assert previous is not None
    assert previous.leaving == []

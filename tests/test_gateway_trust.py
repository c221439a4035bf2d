"""What a gateway believes of engines and peers, and what it keeps for them."""

import asyncio
import json

import pytest

from jasminewalk.gateway import engine_clients
from jasminewalk.gateway.fleet import Fleet
from jasminewalk.gateway.peers import PeerExchange, TopicProgress, decode_peer_message
from jasminewalk.platform.store import KeyedRecord
from test_gateway_daemon import (
    LONG_PROMPT_HEADERS,
    GatewayHarness,
    make_llm_engines,
    make_plain_engines,
)


@pytest.fixture
async def gateway(tmp_path):
    gateway = GatewayHarness(tmp_path)
    yield gateway
    gateway.stop()


def announce(sender, now):
    progress = TopicProgress()
    return decode_peer_message(sender.build_message(now, progress, progress))


HANDLES = {
    "header": "h-1\r\nx-jasminewalk-request-priority: 0",
    "request": "h-1\r\n\r\nPOST /verdict/ HTTP/1.1\r\n"
    "x-jasminewalk-request-id: r0\r\n\r\n",
    "path": "../order",
    "space": "h 1",
    "long": "h" * 100_000,
}


@pytest.mark.anyio
@pytest.mark.parametrize("handle", HANDLES.values(), ids=HANDLES)
async def test_handle_that_is_no_token_is_not_sent_to_an_engine(gateway, handle):
    await gateway.start(*make_llm_engines())
    prefiller = gateway.engines["prefiller"]

    async def answer(connection, request, headers):
        body = json.dumps({"kv_handle": handle, "tokens": 1, "version": 1}).encode()
        connection.send_response(200, prefiller.build_headers(headers), body)

    prefiller.answer = answer
    await gateway.send_request("/verdict/", b"notes", **LONG_PROMPT_HEADERS)
    assert prefiller.requests
    assert not gateway.read_log_lines("handed_over")


def test_restarted_gateway_whose_clock_was_set_back_is_heard():
    former = PeerExchange("1", "10.0.0.1:7660", 10_000, Fleet())
    receiver = PeerExchange("2", "10.0.0.2:7660", 1, Fleet())
    assert receiver.apply_message(1.0, announce(former, 1.0))
    assert list(receiver.drop_silent_peers(100.0)) == ["1"]
    restarted = PeerExchange("1", "10.0.0.1:7660", 9_000, Fleet())
    assert receiver.apply_message(100.0, announce(restarted, 100.0))


@pytest.mark.anyio
async def test_release_of_a_handle_does_not_wait_for_hours(gateway):
    await gateway.start(*make_llm_engines())
    for name in ("decoder-1", "decoder-2"):
        gateway.engines[name].delay_s = 1.5
    caller = asyncio.create_task(
        gateway.send_request("/verdict/", b"notes", **LONG_PROMPT_HEADERS)
    )
    await asyncio.sleep(0.3)
    assert gateway.read_log_lines("handed_over")
    fleet = gateway.daemon.fleet
    fleet.record_backoff(gateway.daemon.clock(), fleet.engines["prefiller"], 36_000.0)
    # The route's timeout passes, then the handle is released.
    await caller
    await asyncio.sleep(1.0)
    coroutines = [task.get_coro().__qualname__ for task in asyncio.all_tasks()]
    assert "release_prompt" not in coroutines


@pytest.mark.anyio
async def test_connection_of_an_engine_that_is_gone_is_closed(gateway, monkeypatch):
    monkeypatch.setattr(engine_clients, "SWEEP_INTERVAL_S", 0.05)
    await gateway.start(*make_plain_engines(1))
    gateway.engines["app-0"].delay_s = 0.5
    caller = asyncio.create_task(gateway.send_request("/look/"))
    await asyncio.sleep(0.2)
    daemon = gateway.daemon
    removal = KeyedRecord("app-0", None)
    assert list(daemon.fleet.apply_changes(daemon.clock(), [removal]))
    assert not daemon.fleet.engines
    assert (await caller)[0] == 200
    await asyncio.sleep(0.3)
    assert not daemon.clients.budget.connections

"""Tests of a gateway process with callers, engines and a store, on loopback."""

import asyncio
import json
import subprocess
import sys
import tomllib
from contextlib import asynccontextmanager, suppress
from functools import partial
from pathlib import Path

import pytest

from jasminewalk.gateway.daemon import METRICS_PORT, GatewayDaemon
from jasminewalk.gateway.peers import PeerExchange, TopicProgress
from jasminewalk.gateway.retry_budget import RetryBudget
from jasminewalk.platform.engines import decode_report
from jasminewalk.platform.store import KeyedRecord
from platform_fakes import ROUTES, FakeEngine, FakeStore, configuration
from ports import allocate_port

SETTINGS = """
node_name = "front-1"
zone = "north"
ip = "127.0.0.1"
internal_ports = [{peer}, {peer}]
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[bounds]
lease_ms = 100
grace_s = 5
[platform]
address = "{store}"
"""


INITIAL_CONFIGURATION = configuration()


class GatewayHarness:
    """Runs a gateway with a fake store and fake engines, and sends it requests."""

    def __init__(self, tmp_path):
        self.path = tmp_path / "local.toml"
        self.store = FakeStore()
        self.engines = {}
        self.request_count = 0
        self.log_output = []

    async def start(self, *engines, configuration=INITIAL_CONFIGURATION):
        await self.store.start(allocate_port())
        if configuration is not None:
            self.store.put("keyed.op", "config", configuration)
        for engine in engines:
            await engine.start(allocate_port())
            self.engines[engine.engine_id] = engine
            self.store.put("keyed.servers", engine.engine_id, engine.entry())
        self.front_port, self.ready_port = allocate_port(), allocate_port()
        self.write_settings()
        self.daemon = GatewayDaemon(self.path)
        self.daemon.log.buffer.write = lambda data: (
            self.log_output.append(data) or len(data)
        )
        self.task = asyncio.create_task(self.daemon.run())
        async with asyncio.timeout(5):
            while not self.daemon.is_ready:
                if self.task.done():
                    self.task.result()
                await asyncio.sleep(0.01)
        # The gateway reads the list of gateways two seconds after its start.
        self.daemon.peers.peers_known = True

    def stop(self):
        """Cancel the gateway's tasks; print its log, which a failing test shows."""
        if not hasattr(self, "task"):
            return
        self.daemon.stopping.set()
        for task in (self.task, *self.daemon.tasks):
            task.cancel()
        self.daemon.log.flush()
        print(b"".join(self.log_output).decode())

    def write_settings(self, **overrides):
        text = SETTINGS.format(
            peer=allocate_port(),
            front=self.front_port,
            ready=self.ready_port,
            store=overrides.get("store", self.store.address),
        )
        self.path.write_text(overrides.get("text", text), encoding="utf-8")

    def build_request(self, path, body=b"", **headers):
        self.request_count += 1
        fields = {
            "host": "bar.example",
            "x-jasminewalk-request-id": f"r{self.request_count}",
            "x-jasminewalk-deadline-ms": "2000",
            "content-length": str(len(body)),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode() + body

    async def send_request(self, path, body=b"", timeout_s=4.0, **headers):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.front_port)
        writer.write(self.build_request(path, body, connection="close", **headers))
        async with asyncio.timeout(timeout_s):
            response = await reader.read()
        writer.close()
        head, _, rest = response.partition(b"\r\n\r\n")
        status = int(head.split()[1]) if head else 0
        return status, head.decode().lower(), rest

    def read_log_lines(self, event):
        self.daemon.log.flush()
        lines = [json.loads(line) for line in b"".join(self.log_output).splitlines()]
        return [line for line in lines if line["event"] == event]


@pytest.fixture
async def harness(tmp_path):
    harness = GatewayHarness(tmp_path)
    yield harness
    harness.stop()


def make_plain_engines(count=2):
    return [FakeEngine(f"app-{number}") for number in range(count)]


def make_llm_engines():
    return [
        FakeEngine("prefiller", "llm", "prefill"),
        FakeEngine("decoder-1", "llm", "decode"),
        FakeEngine("decoder-2", "llm", "decode"),
    ]


LONG_PROMPT_HEADERS = {
    "x_jasminewalk_token_usage": "17000,10",
    "x_jasminewalk_prompt_prefix": "aa:13000,bb:4000",
}


MEDIUM_PROMPT_HEADERS = {
    "x_jasminewalk_token_usage": "3000,10",
    "x_jasminewalk_prompt_prefix": "aa:2000,bb:1000",
}


def count_engine_requests(harness):
    return sum(len(engine.requests) for engine in harness.engines.values())


@pytest.mark.anyio
async def test_plain_request_gets_response_of_the_engine(harness):
    await harness.start(*make_plain_engines())
    status, head, body = await harness.send_request("/book/seat?x=1", b"two seats")
    assert (status, body) == (200, b"served by two seats")
    assert "x-jasminewalk-response-signature: app-" in head
    (request, headers) = next(
        engine.requests[0] for engine in harness.engines.values() if engine.requests
    )
    assert request.target == b"/book/seat?x=1"
    assert headers[b"x-jasminewalk-expect-instance"].startswith(b"app-")
    assert 1 <= int(headers[b"x-jasminewalk-deadline-ms"]) <= 900


@pytest.mark.anyio
async def test_starting_gateway_responds_503_instead_of_404_and_then_serves(harness):
    harness.store.down = True
    starting = asyncio.create_task(harness.start(*make_plain_engines()))
    await asyncio.sleep(0.5)
    status, head, _ = await harness.send_request("/nowhere/")
    assert status == 503
    assert "retry-after" in head
    assert not harness.daemon.is_ready
    harness.store.down = False
    await starting
    assert (await harness.send_request("/book/seat"))[0] == 200


@pytest.mark.anyio
@pytest.mark.parametrize(
    "extra",
    [
        "host: other.example",
        "x-jasminewalk-request-id: other",
        "x-jasminewalk-request-id: r1",
        "x-jasminewalk-prompt-prefix: a:1\r\nx-jasminewalk-prompt-prefix: b:1",
        "last-event-id: 1\r\nlast-event-id: 2",
    ],
)
async def test_request_that_engine_and_gateway_may_read_differently_gets_400(
    harness, extra
):
    await harness.start(*make_plain_engines())
    status, _, _ = await harness.send_request("/look/x", accept=f"*/*\r\n{extra}")
    assert status == 400
    assert not count_engine_requests(harness)
    assert harness.read_log_lines("ambiguous_request")


@pytest.mark.anyio
async def test_request_with_an_id_too_long_to_compare_gets_400(harness):
    await harness.start(*make_plain_engines())
    status, _, _ = await harness.send_request(
        "/look/x", x_jasminewalk_request_id="a" * 200
    )
    assert status == 400
    assert not count_engine_requests(harness)


@pytest.mark.anyio
async def test_request_without_a_route_gets_404(harness):
    await harness.start(*make_plain_engines())
    assert (await harness.send_request("/nowhere/"))[0] == 404


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("behaviour", "status"),
    [
        ("error", 500),
        ("full", 503),
        ("reset", 502),
        ("hang", 504),
        ("unsigned", 502),
        ("encoded", 502),
        ("overloaded_without_not_executed", 502),
    ],
)
async def test_unsafe_request_is_never_retried(harness, behaviour, status):
    await harness.start(*make_plain_engines())
    for engine in harness.engines.values():
        engine.behaviour = behaviour
    received_status, head, _ = await harness.send_request("/book/seat")
    assert received_status == status
    assert count_engine_requests(harness) == 1
    assert ("retry-after" in head) == (status == 503)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("behaviour", "status"),
    [
        ("error", 500),
        ("full", 503),
        ("reset", 502),
        ("unsigned", 502),
        ("encoded", 502),
        ("overloaded_without_not_executed", 502),
        ("hang", 504),
    ],
)
async def test_generation_that_may_have_run_is_not_reported_as_not_executed(
    harness, behaviour, status
):
    await harness.start(*make_llm_engines()[1:])
    for engine in harness.engines.values():
        engine.behaviour = behaviour
    usage = {"x_jasminewalk_token_usage": "380,40"}
    assert (await harness.send_request("/help/", **usage))[0] == status


@pytest.mark.anyio
@pytest.mark.parametrize("behaviour", ["error", "full", "reset", "unsigned", "encoded"])
async def test_safe_request_is_sent_to_a_second_engine(harness, behaviour):
    await harness.start(*make_plain_engines())
    for _ in range(10):
        harness.engines["app-0"].behaviour = behaviour
        status, _, _ = await harness.send_request("/look/seats")
        assert status == 200


@pytest.mark.anyio
async def test_safe_request_is_sent_to_two_engines_at_most(harness):
    await harness.start(*make_plain_engines(3))
    for engine in harness.engines.values():
        engine.behaviour = "error"
    status, head, _ = await harness.send_request("/look/seats")
    assert status == 500
    assert "x-jasminewalk-response-signature" in head
    assert count_engine_requests(harness) == 2


@pytest.mark.anyio
@pytest.mark.parametrize(("count", "slack"), [(2, 0.0), (1, 50.0)])
async def test_slow_response_is_waited_for_without_a_retry_left(harness, count, slack):
    await harness.start(*make_plain_engines(count))
    harness.daemon.context.retry_budgets["app"] = RetryBudget(0.0, 10.0, slack)
    for engine in harness.engines.values():
        engine.delay_s = 0.6
    status, _, body = await harness.send_request("/look/seats", b"x")
    assert (status, body) == (200, b"served by x")
    assert count_engine_requests(harness) == 1


@pytest.mark.anyio
async def test_slow_request_is_sent_to_a_second_engine(harness):
    await harness.start(*make_plain_engines())
    harness.engines["app-0"].delay_s = 1.9
    for _ in range(3):
        assert (await harness.send_request("/look/seats", timeout_s=1.0))[0] == 200


@pytest.mark.anyio
async def test_unreachable_engine_uses_no_attempt(harness):
    await harness.start(*make_plain_engines())
    gone = harness.engines["app-0"].entry(
        address=f"127.0.0.1:{allocate_port()}", born=2
    )
    harness.store.put("keyed.servers", "app-0", gone)
    await asyncio.sleep(1.2)
    harness.daemon.fleet.engines[
        "app-1"
    ].latency_s = 0.2  # so that app-0 is tried first
    for _ in range(6):
        assert (await harness.send_request("/book/seat"))[0] == 200
    assert harness.read_log_lines("engine_suspected")


@pytest.mark.anyio
async def test_request_without_engines_is_refused_at_once(harness):
    await harness.start(*make_llm_engines())
    status, head, _ = await harness.send_request("/book/seat", timeout_s=0.5)
    assert status == 503
    assert "retry-after" in head


@pytest.mark.anyio
async def test_short_prompt_is_sent_to_a_decode_engine(harness):
    await harness.start(*make_llm_engines())
    status, _, body = await harness.send_request(
        "/help/",
        x_jasminewalk_token_usage="380,40",
        x_jasminewalk_prompt_prefix="a:380",
    )
    assert status == 200
    assert body.count(b"data: token") == 3
    assert body.endswith(b"0\r\n\r\n")
    assert not harness.engines["prefiller"].requests


@pytest.mark.anyio
async def test_long_prompt_is_prefilled_on_a_separate_engine(harness):
    await harness.start(*make_llm_engines())
    status, _, body = await harness.send_request(
        "/verdict/", b"notes", **LONG_PROMPT_HEADERS
    )
    assert status == 200
    assert body.count(b"data: token") == 3
    prefiller = harness.engines["prefiller"]
    assert prefiller.requests[0][1][b"x-jasminewalk-stage"] == b"prefill"
    decode_engines = [
        engine
        for engine in harness.engines.values()
        if engine is not prefiller and engine.requests
    ]
    source = decode_engines[0].requests[0][1][b"x-jasminewalk-kv-source"].decode()
    assert source == f"{prefiller.address}/h-1"
    assert not prefiller.released_paths


@pytest.mark.anyio
async def test_stream_never_continues_from_the_handle_of_another_request(harness):
    await harness.start(*make_llm_engines())
    prefiller = harness.engines["prefiller"]
    prefiller.repeats_responses = True
    for number in range(4):
        prompt = {
            "x_jasminewalk_token_usage": "17000,10",
            "x_jasminewalk_prompt_prefix": f"a{number}:13000,b{number}:4000",
        }
        status, _, _ = await harness.send_request("/verdict/", b"notes", **prompt)
        assert status == 200
    used = [
        (headers[b"x-jasminewalk-request-id"], headers[b"x-jasminewalk-kv-source"])
        for engine in harness.engines.values()
        for _, headers in engine.requests
        if b"x-jasminewalk-kv-source" in headers
    ]
    assert prefiller.repeated_responses
    assert len(used) == 4
    for request_id, source in used:
        assert prefiller.handles[source.decode().partition("/")[2]] == request_id


@pytest.mark.anyio
async def test_request_never_takes_the_response_to_its_own_earlier_attempt(harness):
    await harness.start(FakeEngine("decoder", "llm", "decode"))
    harness.engines["decoder"].repeats_responses = True
    state = harness.daemon.fleet.engines["decoder"]

    async def send(request_id, *headers):
        sent = await harness.daemon.clients.send(
            state,
            b"POST",
            b"/verdict/",
            [(b"x-jasminewalk-request-id", request_id.encode()), *headers],
            b"",
            request_id=request_id,
            repeatable=True,
            timeout_s=1.0,
        )
        body = await sent.exchange.body()
        sent.close()
        return sent.reused, body

    _, prefill = await send("r1", (b"x-jasminewalk-stage", b"prefill"))
    assert b"kv_handle" in prefill
    reused, stream = await send("r1")
    assert b"id: 1\n" in stream
    assert b"kv_handle" not in stream
    assert not reused
    harness.engines["decoder"].repeats_responses = False
    reused, _ = await send("r2")
    assert reused


@pytest.mark.anyio
async def test_control_calls_never_take_responses_to_others_calls(harness):
    await harness.start(*make_plain_engines(1))
    engine = harness.engines["app-0"]
    engine.repeats_responses = True
    state = harness.daemon.fleet.engines["app-0"]
    for _ in range(2):
        assert (await harness.send_request("/book/seat", b"a"))[2] == b"served by a"
        status, body = await harness.daemon.clients.call(
            state, b"GET", b"/-/report", (), b"", 1.0
        )
        assert (status, decode_report(body).orders_accepted) == (200, 0)
        status, body = await harness.daemon.clients.call(
            state, b"DELETE", b"/-/kv-handle/h-1", (), b"", 1.0
        )
        assert (status, body) == (200, b"")
    assert engine.released_paths == ["/-/kv-handle/h-1"] * 2


@pytest.mark.anyio
async def test_second_prefill_of_a_request_never_gives_the_handle_of_its_first(harness):
    await harness.start(*make_llm_engines())
    prefiller, *decoders = harness.engines.values()
    prefiller.repeats_responses = True

    async def fail_once(connection, request, headers):
        for engine in decoders:
            engine.behaviour = "answer"
        await decoders[0].error(connection, request, headers)

    for engine in decoders:
        engine.behaviour, engine.fail_once = "fail_once", fail_once
    status, _, _ = await harness.send_request(
        "/verdict/", b"notes", **LONG_PROMPT_HEADERS
    )
    assert status == 200
    sources = [
        headers.get(b"x-jasminewalk-kv-source")
        for engine in decoders
        for _, headers in engine.requests
    ]
    assert len(prefiller.requests) == len(set(sources)) == 2


@pytest.mark.anyio
async def test_log_line_of_refusal_has_inputs_of_the_decision(harness):
    await harness.start(*make_llm_engines())
    for name, engine in harness.daemon.fleet.engines.items():
        if name != "app":
            engine.own_load.prefill_s = 9.0
    status, head, _ = await harness.send_request(
        "/verdict/", b"notes", **LONG_PROMPT_HEADERS
    )
    assert status == 503
    assert "retry-after" in head
    line = harness.read_log_lines("refused")[0]
    assert line["reason"] == "overloaded"
    assert line["limit"] in ("wait", "first_token")
    assert line["needed_ms"] > line["allowed_ms"]
    assert line["objective_left_ms"] < line["predicted_ms"]
    assert line["wait_ms"] >= 9000
    assert (line["tokens"], line["cached"], line["engine"]) == (17_000, 0, "prefiller")
    assert count_engine_requests(harness) == 0


@pytest.mark.anyio
async def test_prefill_falls_back_to_decode_engine(harness):
    await harness.start(*make_llm_engines())
    prefiller = harness.engines["prefiller"]
    prefiller.behaviour = "full"
    harness.daemon.fleet.engines["prefiller"].speeds.append(3.0)  # so that it is tried
    status, _, body = await harness.send_request(
        "/verdict/", b"notes", **MEDIUM_PROMPT_HEADERS
    )
    assert (status, body.count(b"data: token")) == (200, 3)
    assert len(harness.engines["prefiller"].requests) == 1


@pytest.mark.anyio
async def test_broken_stream_is_resumed_on_another_engine(harness):
    await harness.start(*make_llm_engines()[1:])
    first, second = harness.engines.values()
    first.behaviour = second.behaviour = "break_stream"

    original = FakeEngine.break_stream

    async def break_once(engine, connection, request, headers):
        for other in harness.engines.values():
            other.behaviour = "answer"
        await original(engine, connection, request, headers)

    first.break_stream = lambda *args: break_once(first, *args)
    second.break_stream = lambda *args: break_once(second, *args)
    status, head, body = await harness.send_request(
        "/verdict/", b"notes", **MEDIUM_PROMPT_HEADERS
    )
    assert status == 200
    for number in (1, 2, 3):
        assert body.count(b"id: %d\ndata: token %d\n\n" % (number, number)) == 1
    assert body.endswith(b"0\r\n\r\n")
    assert count_engine_requests(harness) == 2
    first_engine = next(
        engine
        for engine in (first, second)
        if b"last-event-id" not in engine.requests[0][1]
    )
    assert f"signature: {first_engine.engine_id}" in head


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("path", "decode_engines", "request_count"),
    [("/help/", 2, 1), ("/verdict/", 1, 1), ("/verdict/", 2, 2)],
)
async def test_silent_stream_is_abandoned_only_if_it_can_be_resumed(
    harness, path, decode_engines, request_count
):
    await harness.start(*make_llm_engines()[: 1 + decode_engines])
    for engine in harness.engines.values():
        engine.behaviour = "pause_stream"
    fields = {
        "x_jasminewalk_token_usage": "380,3",
        "x_jasminewalk_prompt_prefix": "a:380",
    }
    status, _, body = await harness.send_request(path, b"x", **fields)
    assert (status, body.count(b"data: token")) == (200, 3)
    assert body.endswith(b"0\r\n\r\n")
    assert count_engine_requests(harness) == request_count


@pytest.mark.anyio
async def test_broken_stream_that_is_not_resumable_does_not_look_complete(harness):
    await harness.start(*make_llm_engines()[1:])
    for engine in harness.engines.values():
        engine.behaviour = "break_stream"
    body = b""
    with suppress(ConnectionResetError):
        _, _, body = await harness.send_request(
            "/help/", x_jasminewalk_token_usage="380,40"
        )
    assert not body.endswith(b"0\r\n\r\n")
    assert count_engine_requests(harness) == 1


@pytest.mark.anyio
@pytest.mark.parametrize("silent", ["prefiller", "decoder-1"])
async def test_generation_continues_when_an_engine_falls_silent(harness, silent):
    await harness.start(*make_llm_engines())
    routes = [route | {"timeout_ms": 5000} for route in configuration()["routes"]]
    harness.store.put("keyed.op", "config", configuration(2, routes))
    await asyncio.sleep(1.2)
    harness.engines[silent].behaviour = "hang"
    harness.daemon.fleet.engines["prefiller"].speeds.append(3.0)  # so that it is tried
    for _ in range(3):
        status, _, body = await harness.send_request(
            "/verdict/",
            b"notes",
            x_jasminewalk_deadline_ms="5000",
            **MEDIUM_PROMPT_HEADERS,
        )
        assert (status, body.count(b"data: token")) == (200, 3)
    assert len(harness.engines[silent].requests) < 3


@pytest.mark.anyio
@pytest.mark.parametrize("path", ["/look/seats", "/verdict/"])
async def test_request_of_a_disconnected_caller_is_cancelled(harness, path):
    await harness.start(*make_plain_engines(1), *make_llm_engines())
    for engine in harness.engines.values():
        engine.behaviour = "hang"
    with pytest.raises(TimeoutError):
        await harness.send_request(path, b"", timeout_s=0.1, **LONG_PROMPT_HEADERS)
    await asyncio.sleep(0.2)
    assert sum(len(engine.cancelled) for engine in harness.engines.values()) == 1
    assert len(harness.read_log_lines("caller_left")) == 1


@pytest.mark.anyio
async def test_successful_prefills_lower_failure_rate_of_the_engine(harness):
    await harness.start(*make_llm_engines())
    prefiller = harness.daemon.fleet.engines["prefiller"]
    prefiller.failure_rate = 0.5
    for number in range(3):
        prompt = LONG_PROMPT_HEADERS | {
            "x_jasminewalk_prompt_prefix": f"aa:13000,b{number}:4000"
        }
        assert (await harness.send_request("/verdict/", b"notes", **prompt))[0] == 200
    assert len(harness.engines["prefiller"].requests) == 3
    # Decay alone lowers the rate to 1/e in four seconds; the test takes milliseconds.
    assert prefiller.failure_rate < 0.4


@pytest.mark.anyio
async def test_prompt_without_complete_prefill_is_not_cached(harness):
    await harness.start(*make_llm_engines())
    for engine in harness.engines.values():
        engine.behaviour = "hang"
    with pytest.raises(TimeoutError):
        await harness.send_request(
            "/verdict/", b"", timeout_s=0.1, **LONG_PROMPT_HEADERS
        )
    await asyncio.sleep(0.2)
    cache = harness.daemon.fleet.engines["prefiller"].cache
    assert list(cache.parts.values()) == [13_000]


@pytest.mark.anyio
async def test_unsafe_request_of_a_disconnected_caller_is_not_cancelled(harness):
    await harness.start(*make_plain_engines(1))
    harness.engines["app-0"].delay_s = 0.3
    with pytest.raises(TimeoutError):
        await harness.send_request("/book/seat", timeout_s=0.1)
    await asyncio.sleep(0.4)
    assert not harness.engines["app-0"].cancelled


@pytest.mark.anyio
async def test_unused_prefilled_prompt_is_released(harness):
    await harness.start(*make_llm_engines())
    for name in ("decoder-1", "decoder-2"):
        harness.engines[name].behaviour = "hang"
    with pytest.raises(TimeoutError):
        await harness.send_request(
            "/verdict/", b"", timeout_s=0.3, **LONG_PROMPT_HEADERS
        )
    await asyncio.sleep(0.2)
    assert harness.engines["prefiller"].released_paths == ["/-/kv-handle/h-1"]


@pytest.mark.anyio
async def test_prompt_of_a_restarted_engine_is_not_used(harness):
    await harness.start(*make_llm_engines())
    prefiller = harness.engines["prefiller"]
    prefiller.delay_s = 0.3
    request = asyncio.create_task(
        harness.send_request("/verdict/", b"", **LONG_PROMPT_HEADERS)
    )
    await asyncio.sleep(0.1)
    entry = json.dumps(prefiller.entry(born=2)).encode()
    events = harness.daemon.fleet.apply_changes(
        harness.daemon.clock(), [KeyedRecord("prefiller", entry)]
    )
    assert [event.event for event in events] == ["engine_listed"]
    assert (await request)[0] == 200
    assert len(prefiller.requests) == 1
    assert not any(
        b"x-jasminewalk-kv-source" in headers
        for engine in harness.engines.values()
        for _, headers in engine.requests
    )


@pytest.mark.anyio
async def test_release_is_refused_by_another_engine_at_the_same_address(harness):
    await harness.start(*make_llm_engines())
    for name in ("decoder-1", "decoder-2"):
        harness.engines[name].behaviour = "hang"
    prefiller = harness.engines["prefiller"]
    asyncio.get_running_loop().call_later(0.3, setattr, prefiller, "engine_id", "other")
    with pytest.raises(TimeoutError):
        await harness.send_request(
            "/verdict/", b"", timeout_s=0.5, **LONG_PROMPT_HEADERS
        )
    await asyncio.sleep(0.2)
    assert prefiller.requests
    assert not prefiller.released_paths
    assert harness.read_log_lines("handle_not_freed")


@pytest.mark.anyio
async def test_configuration_is_applied_within_two_seconds_and_never_reverted(harness):
    await harness.start(*make_plain_engines())
    routes = [route for route in configuration()["routes"] if route["name"] != "lookup"]
    harness.store.put("keyed.op", "config", configuration(9, routes))
    harness.store.put("keyed.op", "config", configuration(4))
    async with asyncio.timeout(2):
        while (await harness.send_request("/look/seats"))[0] != 404:
            await asyncio.sleep(0.05)
    await asyncio.sleep(1.2)
    assert (await harness.send_request("/look/seats"))[0] == 404


@pytest.mark.anyio
async def test_draining_engine_gets_no_requests_after_two_seconds(harness):
    await harness.start(*make_plain_engines())
    leaving = harness.engines["app-0"]
    harness.store.put("keyed.servers", "app-0", leaving.entry("draining"))
    await asyncio.sleep(1.5)
    before = len(leaving.requests)
    for _ in range(6):
        await harness.send_request("/look/seats")
    assert len(leaving.requests) == before


@pytest.mark.parametrize("behaviour", ["answer", "error", "full"])
@pytest.mark.anyio
async def test_limit_that_an_engine_names_is_logged_until_it_ends(harness, behaviour):
    await harness.start(*make_plain_engines(1))
    engine = harness.engines["app-0"]
    engine.behaviour = behaviour
    for count, engine.request_limit in enumerate(("4.5", "many", ""), start=1):
        async with asyncio.timeout(5):
            while len(engine.requests) < count:
                await harness.send_request("/book/seat")
                await asyncio.sleep(0.1)
    [limited] = harness.read_log_lines("engine_limited")
    assert limited["detail"].startswith("4.5 requests a second")
    [unreadable] = harness.read_log_lines("limit_unreadable")
    assert unreadable["detail"] == "many"
    assert len(harness.read_log_lines("engine_unlimited")) == 1


@pytest.mark.parametrize("path", ["/book/seat", "/help/question"])
@pytest.mark.anyio
async def test_refusal_for_an_engine_limit_says_when_there_is_room(harness, path):
    await harness.start(FakeEngine("app-0"), FakeEngine("llm-0", "llm", "decode"))
    for engine in harness.engines.values():
        engine.request_limit = "2"
    assert (await harness.send_request(path))[0] == 200
    await asyncio.sleep(0.15)
    status, head, _ = await harness.send_request(path)
    assert status == 503
    assert 0 < float(head.partition("retry-after: ")[2].split()[0]) <= 0.5
    assert harness.read_log_lines("refused")[0]["reason"] == "engine limit"


def count_granted_retries(harness):
    context = harness.daemon.context
    return sum(context.try_take_retry("app") for _ in range(100))


@pytest.mark.anyio
@pytest.mark.parametrize(
    "address", ["", "nowhere", "gateway:7660", "127.0.0.1:0", "127.0.0.1:x"]
)
async def test_message_with_an_unusable_address_names_no_peer(harness, address):
    await harness.start(*make_plain_engines())
    peer = PeerExchange("front-2", address, 1, harness.daemon.fleet)
    message = peer.build_message(1.0, TopicProgress(), TopicProgress())
    harness.daemon.peer_link.receive(message)
    await asyncio.sleep(0.2)
    assert not harness.daemon.peers.peers
    assert harness.read_log_lines("peer_unreadable")
    assert not harness.read_log_lines("task_failed")


@pytest.mark.anyio
async def test_retry_budget_is_shared_with_peers_that_fell_silent(harness):
    await harness.start(*make_plain_engines())
    peers = harness.daemon.peers
    for number in range(9):
        peers.record_address(harness.daemon.clock(), f"peer-{number}", "127.0.0.1:1")
    # 0.7 of a tenth of the slack of 50.
    assert count_granted_retries(harness) == 3


@pytest.mark.anyio
async def test_retry_budget_has_no_slack_before_the_peers_are_known(harness):
    await harness.start(*make_plain_engines())
    harness.daemon.peers.peers_known = False
    assert count_granted_retries(harness) == 0


@pytest.mark.anyio
async def test_changed_settings_do_not_renew_the_retry_budget(harness):
    await harness.start(*make_plain_engines())
    assert count_granted_retries(harness) == 35
    harness.write_settings(store="127.0.0.1:1")
    harness.daemon.reload()
    assert harness.read_log_lines("settings_reloaded")
    assert count_granted_retries(harness) == 0
    text = harness.path.read_text().replace("[bounds]", "[bounds]\nbudget_slack = 100")
    harness.write_settings(text=text)
    harness.daemon.reload()
    assert count_granted_retries(harness) == 35


@pytest.mark.anyio
async def test_requests_are_served_while_the_store_is_down(harness):
    await harness.start(*make_plain_engines())
    harness.store.down = True
    await asyncio.sleep(1.5)
    assert (await harness.send_request("/book/seat"))[0] == 200
    assert harness.read_log_lines("store_lost")
    harness.store.down = False
    await asyncio.sleep(1.5)
    assert harness.read_log_lines("store_regained")


# Bytes per second that a link of 5 Mbit/s leaves for the store beside other traffic.
SLOW_LINK_BYTES_PER_S = 480_000


def make_large_configuration(version, route_count=2800):
    routes = [
        {**ROUTES[1], "name": f"route-{number}", "path_prefix": f"/added/{number}/"}
        for number in range(route_count)
    ]
    return configuration(version, [*ROUTES, *routes])


@pytest.mark.anyio
async def test_large_configuration_comes_into_force_on_a_slow_link(harness):
    await harness.start(*make_plain_engines())
    harness.store.bytes_per_s = SLOW_LINK_BYTES_PER_S
    harness.store.put("keyed.op", "config", make_large_configuration(2))
    await asyncio.sleep(3.0)
    assert (await harness.send_request("/added/2799/x"))[0] == 200


@pytest.mark.anyio
async def test_gateway_starts_with_a_large_configuration_on_a_slow_link(harness):
    harness.store.put("keyed.op", "config", make_large_configuration(2))
    harness.store.bytes_per_s = SLOW_LINK_BYTES_PER_S
    await harness.start(*make_plain_engines(), configuration=None)
    assert (await harness.send_request("/added/2799/x"))[0] == 200


@pytest.mark.anyio
async def test_read_of_the_store_that_falls_silent_is_abandoned(harness):
    await harness.start(*make_plain_engines())
    harness.store.silent_after_bytes = 40_000
    harness.store.put("keyed.op", "config", make_large_configuration(2))
    await asyncio.sleep(2.2)
    harness.store.silent_after_bytes = None
    await asyncio.sleep(1.5)
    assert (await harness.send_request("/added/2799/x"))[0] == 200
    assert "40000 bytes" in harness.read_log_lines("store_lost")[0]["reason"]


@pytest.mark.anyio
async def test_invalid_settings_are_ignored_and_valid_ones_applied(harness):
    await harness.start(*make_plain_engines())
    harness.write_settings(text="not = toml = at all")
    harness.daemon.reload()
    assert harness.read_log_lines("settings_unreadable")
    assert (await harness.send_request("/book/seat"))[0] == 200
    harness.write_settings(store="127.0.0.1:1")
    harness.daemon.reload()
    assert harness.daemon.store_connections.address == "127.0.0.1:1"


@asynccontextmanager
async def slow_request(harness):
    for engine in harness.engines.values():
        engine.delay_s = 0.5
    task = asyncio.create_task(harness.send_request("/book/seat", b"x"))
    await asyncio.sleep(0.1)
    yield task


def test_hangup_is_ignored_before_the_gateway_imports_its_modules():
    script = (
        "import importlib.abc, signal, sys\n"
        "class Finder(importlib.abc.MetaPathFinder):\n"
        "    def find_spec(self, name, path, target=None):\n"
        "        if name == 'asyncio':\n"
        "            print(signal.getsignal(signal.SIGHUP) == signal.SIG_IGN)\n"
        "sys.meta_path.insert(0, Finder())\n"
        "import jasminewalk.gateway.__main__\n"
    )
    result = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    assert result.stdout == "True\n"


@pytest.mark.anyio
async def test_shutdown_drains_requests_and_fails_readiness(harness):
    await harness.start(*make_plain_engines())
    async with slow_request(harness) as task:
        harness.daemon.stopping.set()
        assert (await task)[0] == 200
    async with asyncio.timeout(5):
        await harness.task
    assert not harness.daemon.is_ready
    assert harness.read_log_lines("stopped")[0]["active"] == 0


@pytest.mark.anyio
async def test_metrics_and_readiness_are_served(harness):
    await harness.start(*make_plain_engines())
    await harness.send_request("/book/seat")
    harness.front_port, front_port = harness.ready_port, harness.front_port
    status, _, text = await harness.send_request("/metrics")
    assert status == 200
    assert b'jasminewalk_answers_total{route="booking",status="200"} 1.0' in text
    assert (await harness.send_request("/-/readiness"))[0] == 200
    harness.front_port = front_port


@pytest.mark.anyio
async def test_only_lease_holder_orders_the_missing_stage(harness):
    await harness.start(*make_llm_engines()[1:])
    async with asyncio.timeout(4):
        while not any(engine.orders for engine in harness.engines.values()):
            await asyncio.sleep(0.05)
    (order,) = [order for engine in harness.engines.values() for order in engine.orders]
    assert (order["op"], order["stage"], order["holder"]) == (
        "stage",
        "prefill",
        "front-1",
    )
    assert order["expected"] == 0


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("attribute", "value"),
    [
        ("report_status", 503),
        ("report_changes", {"born": 2}),
        ("engine_id", "other"),
    ],
)
async def test_report_of_another_engine_or_incarnation_causes_no_order(
    harness, attribute, value
):
    await harness.start(*make_llm_engines()[1:])
    for engine in harness.engines.values():
        setattr(engine, attribute, value)
    async with asyncio.timeout(4):
        while not harness.read_log_lines("order_unanswered"):
            await asyncio.sleep(0.05)
    assert not any(engine.orders for engine in harness.engines.values())
    (line, *_) = harness.read_log_lines("order_unanswered")
    assert "BadMessageError" in line["reason"]


@pytest.mark.anyio
async def test_report_counts_if_the_registry_does_not_name_the_start(harness):
    engines = make_llm_engines()[1:]
    for engine in engines:
        engine.entry = partial(engine.entry, born=0)
        engine.report_changes = {"born": 2}
    await harness.start(*engines)
    async with asyncio.timeout(4):
        while not any(engine.orders for engine in engines):
            await asyncio.sleep(0.05)


@pytest.mark.anyio
async def test_gateway_that_left_the_holders_does_not_join_again(harness):
    await harness.start(*make_llm_engines())
    async with asyncio.timeout(4):
        while harness.daemon.stage_controller.lease.held_since is None:
            await asyncio.sleep(0.05)
    harness.daemon.stopping.set()
    await asyncio.sleep(2.0)
    calls = [call for call in harness.store.calls if call in ("log-join", "log-leave")]
    assert calls[-1] == "log-leave"
    assert harness.daemon.stage_controller.lease.held_since is None


@pytest.mark.anyio
async def test_late_response_to_a_renewal_gives_no_lease_to_a_gateway_that_left(
    harness,
):
    await harness.start(*make_llm_engines())
    leases = harness.daemon.leases
    joined = asyncio.Event()
    send = leases.store.transport

    async def send_slowly(method, target, body, timeout_s):
        response = await send(method, target, body, timeout_s)
        if target == "/-/log-join":
            joined.set()
            await asyncio.sleep(0.2)
        return response

    leases.store.transport = send_slowly
    await joined.wait()
    await leases.leave()
    await asyncio.sleep(0.4)
    assert harness.daemon.stage_controller.lease.held_since is None


def test_command_reports_path_of_unreadable_settings(run_command, tmp_path):
    result = run_command("gateway", "--settings", tmp_path / "absent.toml")
    assert result.code != 0
    assert "absent.toml" in result.err


def test_deploy_file_has_the_metrics_port():
    deploy = Path(__file__).resolve().parent.parent / "deploy" / "system.toml"
    role = tomllib.loads(deploy.read_text(encoding="utf-8"))["roles"]["gateway"]
    assert role["metrics"] == f"{METRICS_PORT}/metrics"


def test_sighup_does_not_end_a_starting_process(tmp_path):
    script = "import os, jasminewalk.gateway.__main__; os.kill(os.getpid(), 1)"
    result = subprocess.run([sys.executable, "-c", script], check=False, timeout=20)
    assert result.returncode == 0


@pytest.mark.parametrize("name", ["SIGHUP", "SIGTERM"])
def test_signal_does_not_end_a_stopping_process(tmp_path, name):
    # After SIGTERM the event loop is closed, which removes its signal handlers, and the
    # process exits a little later.
    path = tmp_path / "local.toml"
    store, peer, front, ready = (allocate_port() for _ in range(4))
    path.write_text(
        SETTINGS.format(
            peer=peer, front=front, ready=ready, store=f"127.0.0.1:{store}"
        ),
        encoding="utf-8",
    )
    script = (
        "import os, signal, sys, threading\n"
        "from jasminewalk.gateway.__main__ import serve\n"
        "stop = lambda: os.kill(os.getpid(), signal.SIGTERM)\n"
        "threading.Timer(1.0, stop).start()\n"
        "serve(sys.argv[1])\n"
        f"os.kill(os.getpid(), signal.{name})\n"
    )
    command = [sys.executable, "-c", script, str(path)]
    result = subprocess.run(command, check=False, timeout=20)
    assert result.returncode == 0

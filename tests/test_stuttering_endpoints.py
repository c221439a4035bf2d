"""Clients of a peer whose second response to a request follows the next request."""

import anyio
import attrs
import msgspec
import pytest

from dispatch_harness import DispatchHarness
from jasminewalk.agreement.log_client import HttpLog
from jasminewalk.exceptions import (
    LogUnavailableError,
    RefusedError,
    StaleFencingNumberError,
)
from jasminewalk.generated_codes import Code
from jasminewalk.generated_requests import (
    EngineOrder,
    EngineState,
    Frame,
    GenerateRequest,
    Instance,
    RefusalBody,
    ServiceCall,
    ServiceReply,
)
from jasminewalk.generated_standins import AppendResult, WeightTurn
from jasminewalk.ingress.jobs import CallJob
from jasminewalk.interfaces import CachePage, ServiceRequest
from jasminewalk.metrics import Metrics
from jasminewalk.sidecars.engine_client import HttpEngine
from jasminewalk.sidecars.service_client import HttpService
from jasminewalk.sidecars.sidecar_http import SidecarApp
from jasminewalk.sidecars.weights_client import HttpWeightStore
from jasminewalk.transport._http import HttpServer, open_http_pool
from jasminewalk.transport._http_call import call
from jasminewalk.transport.instances_client import HttpInstanceList
from jasminewalk.transport.memory_limit import MemoryLimit
from jasminewalk.transport.peer_auth import PeerAuthenticator
from raw_server import StutteringServer, build_response
from test_standins import make_request

pytestmark = pytest.mark.anyio

encode_json = msgspec.json.encode


@pytest.fixture
async def pool():
    async with open_http_pool() as pool:
        yield pool


def count_up(build_body):
    """Answer the n-th request, from 1, with the JSON of ``build_body(n)``."""
    numbers = iter(range(1, 100))
    return lambda request: build_response(encode_json(build_body(next(numbers))))


async def test_append_is_confirmed_only_by_its_own_response(pool):
    server = StutteringServer(count_up(lambda number: AppendResult(offset=number)))
    async with server.serve():
        log = HttpLog(pool, server.address, timeout_s=2.0)
        assert [await log.append(b"a") for _ in range(3)] == [1, 2, 3]


async def test_failed_append_is_not_confirmed_by_the_response_to_another(pool):
    def answer(request):
        if request.body == b"refused":
            return build_response(b"{}", status=b"503 Unavailable")
        return build_response(encode_json(AppendResult(offset=7)))

    server = StutteringServer(answer)
    async with server.serve():
        log = HttpLog(pool, server.address, timeout_s=2.0)
        assert await log.append(b"stored") == 7
        with pytest.raises(LogUnavailableError):
            await log.append(b"refused")


async def test_page_of_the_log_is_the_response_to_its_own_read(pool):
    def answer(request):
        stream = request.line.split(b"/")[2]
        return build_response(msgspec.msgpack.encode((1, 2, [(1, stream)])))

    server = StutteringServer(answer)
    async with server.serve():
        for stream in ("main", "claims-a", "claims-b"):
            log = HttpLog(pool, server.address, timeout_s=2.0, stream=stream)
            page = await log.read(1, 10)
            assert page.entries[0].data == stream.encode()


async def test_service_response_without_a_key_belongs_to_its_own_call(pool):
    server = StutteringServer(lambda request: build_response(request.body))
    async with server.serve():
        service = HttpService(pool, server.address)
        for body in (b"anna", b"ben", b"cleo"):
            call = ServiceRequest(method="POST", path="/", headers=[], body=body)
            assert (await service.call(call)).body == body


async def test_service_response_with_a_key_belongs_to_its_own_call(pool):
    server = StutteringServer(lambda request: build_response(request.body))
    async with server.serve():
        service = HttpService(pool, server.address)
        for body in (b"anna", b"ben", b"cleo"):
            call = ServiceRequest(
                method="POST", path="/", headers=[], body=body, key=body.decode()
            )
            assert (await service.call(call)).body == body


async def test_refused_order_is_not_confirmed_by_the_response_to_another(pool):
    def answer(request):
        order = msgspec.json.decode(request.body, type=EngineOrder)
        if order.fencing_number == 9:
            return build_response(b"{}")
        body = {
            "code": Code.STALE_FENCING_NUMBER,
            "name": "",
            "message": "",
            "ran": "not_run",
        }
        return build_response(encode_json(body), status=b"409 Conflict")

    server = StutteringServer(answer)
    async with server.serve():
        engine = HttpEngine(pool, server.address)
        await engine.order(EngineOrder(fencing_number=9, role="mixed", models=[]))
        with pytest.raises(StaleFencingNumberError):
            await engine.order(EngineOrder(fencing_number=8, role="mixed", models=[]))


async def test_tokens_of_a_generation_belong_to_its_own_request(pool):
    def answer(request):
        request_id = msgspec.json.decode(request.body, type=GenerateRequest).request_id
        return build_response(encode_json(Frame(n=0, t=request_id, end="stop")) + b"\n")

    server = StutteringServer(answer)
    async with server.serve():
        engine = HttpEngine(pool, server.address)
        for request_id in ("r1", "r2", "r3"):
            request = make_request(request_id=request_id)
            data = b"".join([chunk async for chunk in engine.generate(request)])
            assert msgspec.json.decode(data, type=Frame).t == request_id


async def test_exported_handle_belongs_to_its_own_request(pool):
    server = StutteringServer(
        lambda request: build_response(request.line.split(b"/")[3])
    )
    async with server.serve():
        engine = HttpEngine(pool, server.address)
        for request_id in ("r1", "r2", "r3"):
            assert await engine.export_kv(request_id, 1) == request_id.encode()


async def test_state_of_an_engine_is_the_response_to_its_own_poll(pool):
    server = StutteringServer(
        count_up(
            lambda number: EngineState(role="mixed", models=[], fencing_number=number)
        )
    )
    async with server.serve():
        engine = HttpEngine(pool, server.address)
        numbers = [(await engine.state()).fencing_number for _ in range(3)]
        assert numbers == [1, 2, 3]


async def test_cache_page_is_the_response_to_its_own_request(pool):
    server = StutteringServer(
        count_up(
            lambda number: CachePage(
                first_sequence=number, next_sequence=number + 1, added=[], removed=[]
            )
        )
    )
    async with server.serve():
        engine = HttpEngine(pool, server.address)
        pages = [await engine.cache_events(number) for number in (1, 2, 3)]
        assert [page.first_sequence for page in pages] == [1, 2, 3]


async def test_instance_list_is_the_response_to_its_own_read(pool):
    server = StutteringServer(
        count_up(
            lambda number: [
                Instance(name=f"e{number}", kind="entry", address="x:1", state="live")
            ]
        )
    )
    async with server.serve():
        instances = HttpInstanceList(pool, server.address)
        names = [(await instances.instances())[0].name for _ in range(3)]
        assert names == ["e1", "e2", "e3"]


async def test_weight_reservation_is_the_response_to_its_own_request(pool):
    server = StutteringServer(count_up(lambda number: WeightTurn(wait_s=number)))
    async with server.serve():
        store = HttpWeightStore(pool, server.address)
        assert [await store.reserve("m", 1) for _ in range(3)] == [1, 2, 3]


async def call_through_entry(server, *request_ids):
    """Call a sidecar for requests one after the other; return replies and errors."""
    harness = DispatchHarness()
    results = []
    async with anyio.create_task_group() as group, server.serve():
        group.start_soon(harness.connections.run)
        harness.add_endpoint("e1", server.address, kind="service")
        for request_id in request_ids:
            profile = attrs.evolve(harness.make_profile(), request_id=request_id)
            job = CallJob(
                profile=profile,
                service="desk",
                method="GET",
                path="/",
                headers=[],
                body=b"",
            )
            try:
                _, reply = await harness.dispatcher.call(job)
                results.append(reply.body)
            except RefusedError as error:
                results.append(error)
        await harness.connections.aclose()
        group.cancel_scope.cancel()
    return results


async def test_refusal_of_another_request_is_not_believed():
    def answer(request):
        call = msgspec.msgpack.decode(request.body, type=ServiceCall)
        if call.request_id == "r1":
            refusal = RefusalBody(
                code=Code.OVERLOADED,
                name="",
                message="",
                ran="not_run",
                request_id="r1",
            )
            return build_response(encode_json(refusal), status=b"429 Busy")
        return build_response(msgspec.msgpack.encode(ServiceReply(status=200)))

    first, second = await call_through_entry(StutteringServer(answer), "r1", "r2")
    assert (first.code, first.ran) == (Code.OVERLOADED, "not_run")
    assert second.ran == "unknown"


async def test_reply_that_does_not_name_its_request_is_not_believed():
    def answer(request):
        call = msgspec.msgpack.decode(request.body, type=ServiceCall)
        reply = ServiceReply(status=200, body=call.request_id.encode())
        return build_response(msgspec.msgpack.encode(reply))

    results = await call_through_entry(StutteringServer(answer), "r1", "r2")
    assert [result.ran for result in results] == ["unknown", "unknown"]


async def test_sidecar_names_the_attempt_in_an_error(pool):
    app = SidecarApp(
        authenticator=PeerAuthenticator("0123456789abcdef"),
        body_bytes=10,
        memory=MemoryLimit(1 << 30),
        metrics=Metrics("sidecar"),
    )
    server = HttpServer(app, "127.0.0.1:0")
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve)
        await server.wait_started()
        headers = [("jasminewalk-attempt", "r1/2")]
        response = await call(
            pool, "POST", server.address, "/call", headers=headers, timeout_s=2.0
        )
        assert response.status == 403
        assert ("jasminewalk-attempt", "r1/2") in response.headers
        server.stop()

"""Dispatcher with two fake sidecars that fail in configurable ways."""

import contextlib
import random

import anyio
import msgspec

from jasminewalk.clock import SystemClock
from jasminewalk.generated_messages import LoadReport
from jasminewalk.generated_requests import (
    Frame,
    GenerateRequest,
    Instance,
    ServiceCall,
    ServiceReply,
)
from jasminewalk.generated_settings import EntrySettings, LogSettings, PeerSettings
from jasminewalk.ingress.connections import SidecarConnectionPool
from jasminewalk.ingress.dispatch import Dispatcher
from jasminewalk.ingress.jobs import CallJob, GenerationJob, TokenSink
from jasminewalk.ingress.traces import TraceStore
from jasminewalk.metrics import Metrics
from jasminewalk.scheduling.membership import Membership
from jasminewalk.scheduling.routing import Router, RoutingSettings
from jasminewalk.transport._http import ATTEMPT_HEADER, HttpServer, read_body, send_json
from jasminewalk.transport.peer_auth import PeerAuthenticator
from jasminewalk.types import RequestProfile

SHARED_KEY = "0123456789abcdef"
TOKENS = [f" t{index}" for index in range(6)]
LONG_TIMEOUT_S = 30.0
PROGRESS_TIMEOUT_S = 0.3


class FakeSidecar:
    """Sidecar that can drop, stall or refuse requests."""

    def __init__(self):
        self.server = HttpServer(self, "127.0.0.1:0")
        self.requests = []
        self.disconnected = anyio.Event()
        self.crash_at_token = None
        self.stall_at_token = None
        self.refusal = None
        self.attempt_header = None

    async def __call__(self, scope, receive, send):
        body = await read_body(receive, 1 << 20)
        if self.refusal is not None:
            self.requests.append(None)
            headers = [item for item in scope["headers"] if item[0] == ATTEMPT_HEADER]
            await send_json(send, 429, self.refusal, headers)
        elif scope["path"] == "/call":
            await self.call(body, receive, send)
        else:
            await self.generate(body, receive, send)

    async def generate(self, body, receive, send):
        request = msgspec.msgpack.decode(body, type=GenerateRequest)
        self.requests.append(request)
        expected = f"{request.request_id}/{request.attempt}".encode()
        headers = [(ATTEMPT_HEADER, self.attempt_header or expected)]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await self.send_chunk(send, b"{}\n")
        for index in range(request.resume_from, len(TOKENS)):
            if index == self.crash_at_token:
                raise ConnectionError("cut")
            if index == self.stall_at_token:
                await self.wait_disconnect(receive)
                return
            end = "length" if index == len(TOKENS) - 1 else ""
            frame = Frame(n=index, t=TOKENS[index], end=end)
            await self.send_chunk(send, msgspec.json.encode(frame) + b"\n")
        await send({"type": "http.response.body", "body": b""})

    async def call(self, body, receive, send):
        request = msgspec.msgpack.decode(body, type=ServiceCall)
        self.requests.append(request)
        if self.crash_at_token == 0:
            raise ConnectionError("cut")
        if self.stall_at_token == 0:
            await self.wait_disconnect(receive)
            return
        reply = msgspec.msgpack.encode(ServiceReply(status=200, body=b"seat"))
        attempt_id = f"{request.request_id}/{request.attempt}".encode()
        headers = [(ATTEMPT_HEADER, attempt_id)]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": reply})

    async def send_chunk(self, send, data):
        await send({"type": "http.response.body", "body": data, "more_body": True})

    async def wait_disconnect(self, receive):
        while (await receive())["type"] != "http.disconnect":
            pass
        self.disconnected.set()


class RecordingSink(TokenSink):
    def __init__(self):
        self.texts = []

    async def write(self, attempt, texts):
        self.texts += texts


class DispatchHarness:
    """A dispatcher with two fake sidecars."""

    def __init__(self):
        clock = SystemClock()
        settings = EntrySettings(
            name="entry",
            failure_domain="a",
            listen="127.0.0.1:0",
            log=LogSettings(address="127.0.0.1:1"),
            instances_address="127.0.0.1:1",
            peers=PeerSettings(shared_key=SHARED_KEY, suspect_s=LONG_TIMEOUT_S),
        )
        self.clock = clock
        self.membership = Membership(settings)
        self.router = Router(RoutingSettings(), random.Random(1))
        self.connections = SidecarConnectionPool(
            authenticator=PeerAuthenticator(SHARED_KEY),
            connect_timeout_s=5.0,
            clock=clock,
        )
        self.dispatcher = Dispatcher(
            clock=clock,
            router=self.router,
            membership=self.membership,
            connections=self.connections,
            traces=TraceStore(),
            metrics=Metrics("entry"),
            progress_timeout_s=PROGRESS_TIMEOUT_S,
        )
        self.sidecars = {}
        self.sink = RecordingSink()

    def add_endpoint(self, name, address, kind="engine"):
        now_s = self.clock.monotonic()
        common_fields = {
            "pool": "p",
            "failure_domain": "a",
            "address": address,
            "kind": kind,
        }
        self.membership.observe_instances(
            now_s, [Instance(name=name, state="live", **common_fields)]
        )
        report = LoadReport(
            endpoint=name,
            incarnation="i",
            sequence=1,
            state="live",
            max_batch=32,
            prefill_tokens_per_s=1e6,
            decode_tokens_per_s=1e4,
            **common_fields,
        )
        self.membership.observe_report(now_s, report)
        self.router.observe_report(now_s, report)

    def make_profile(self, **fields):
        now_s = self.clock.monotonic()
        return RequestProfile(
            request_id="r1",
            organisation="o",
            request_class="c",
            pool="p",
            max_tokens=6,
            expected_tokens=6,
            arrived_s=now_s,
            deadline_s=now_s + LONG_TIMEOUT_S,
            **fields,
        )

    async def generate(self):
        job = GenerationJob(profile=self.make_profile(), prompt="hi")
        return await self.dispatcher.generate(job, self.sink)

    async def call(self):
        job = CallJob(
            profile=self.make_profile(repeatable=False),
            service="desk",
            method="POST",
            path="/book",
            headers=[],
            body=b"x",
            key="k",
        )
        return await self.dispatcher.call(job)

    @property
    def outcomes(self):
        trace = self.dispatcher.traces.get("r1")
        return [attempt.outcome for attempt in trace.attempts]


@contextlib.asynccontextmanager
async def open_harness():
    harness = DispatchHarness()
    async with anyio.create_task_group() as group:
        group.start_soon(harness.connections.run)
        for name in ("e1", "e2"):
            sidecar = FakeSidecar()
            harness.sidecars[name] = sidecar
            group.start_soon(sidecar.server.serve)
            await sidecar.server.wait_started()
            harness.add_endpoint(name, sidecar.server.address)
        yield harness
        await harness.connections.aclose()
        group.cancel_scope.cancel()


def inject_faults_into_first(harness, **faults):
    """Set the faults on the sidecar that receives the first request."""
    for sidecar in harness.sidecars.values():
        generate, call = sidecar.generate, sidecar.call

        def wrap_handler(handler, sidecar=sidecar):
            async def handle(*args):
                if not any(
                    candidate.requests for candidate in harness.sidecars.values()
                ):
                    for name, value in faults.items():
                        setattr(sidecar, name, value)
                await handler(*args)

            return handle

        sidecar.generate, sidecar.call = wrap_handler(generate), wrap_handler(call)

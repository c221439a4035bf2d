"""The request path of an entry with two sidecars that fail in chosen ways."""

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

KEY = "0123456789abcdef"
TOKENS = [f" t{n}" for n in range(6)]
FAR_S = 30.0
PROGRESS_TIMEOUT_S = 0.3


class FakeSidecar:
    """Sidecar that can cut, silence or refuse the first attempts."""

    def __init__(self):
        self.server = HttpServer(self, "127.0.0.1:0")
        self.requests = []
        self.left = anyio.Event()
        self.cut_after = None
        self.silent_after = None
        self.refusal = None
        self.attempt_header = None

    async def __call__(self, scope, receive, send):
        body = await read_body(receive, 1 << 20)
        if self.refusal is not None:
            self.requests.append(None)
            await send_json(send, 429, self.refusal)
        elif scope["path"] == "/call":
            await self.call(body, receive, send)
        else:
            await self.generate(body, receive, send)

    async def generate(self, body, receive, send):
        request = msgspec.msgpack.decode(body, type=GenerateRequest)
        self.requests.append(request)
        own = f"{request.request_id}/{request.attempt}".encode()
        headers = [(ATTEMPT_HEADER, self.attempt_header or own)]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await self.part(send, b"{}\n")
        for n in range(request.resume_from, len(TOKENS)):
            if n == self.cut_after:
                raise ConnectionError("cut")
            if n == self.silent_after:
                await self.wait_left(receive)
                return
            end = "length" if n == len(TOKENS) - 1 else ""
            frame = Frame(n=n, t=TOKENS[n], end=end)
            await self.part(send, msgspec.json.encode(frame) + b"\n")
        await send({"type": "http.response.body", "body": b""})

    async def call(self, body, receive, send):
        request = msgspec.msgpack.decode(body, type=ServiceCall)
        self.requests.append(request)
        if self.cut_after == 0:
            raise ConnectionError("cut")
        if self.silent_after == 0:
            await self.wait_left(receive)
            return
        reply = msgspec.msgpack.encode(ServiceReply(status=200, body=b"seat"))
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": reply})

    async def part(self, send, data):
        await send({"type": "http.response.body", "body": data, "more_body": True})

    async def wait_left(self, receive):
        while (await receive())["type"] != "http.disconnect":
            pass
        self.left.set()


class ListSink(TokenSink):
    def __init__(self):
        self.texts = []

    async def write(self, attempt, texts):
        self.texts += texts


class Bench:
    """A dispatcher with two fake sidecars."""

    def __init__(self):
        clock = SystemClock()
        settings = EntrySettings(
            name="entry",
            failure_domain="a",
            listen="127.0.0.1:0",
            log=LogSettings(address="127.0.0.1:1"),
            instances_address="127.0.0.1:1",
            peers=PeerSettings(shared_key=KEY, suspect_s=FAR_S),
        )
        self.clock = clock
        self.membership = Membership(settings)
        self.router = Router(RoutingSettings(), random.Random(1))
        self.connections = SidecarConnectionPool(
            authenticator=PeerAuthenticator(KEY), connect_timeout_s=5.0, clock=clock
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
        self.sink = ListSink()

    def add(self, name, address, kind="engine"):
        now_s = self.clock.monotonic()
        place = {"pool": "p", "failure_domain": "a", "address": address, "kind": kind}
        self.membership.observe_instances(
            now_s, [Instance(name=name, state="live", **place)]
        )
        report = LoadReport(
            endpoint=name,
            incarnation="i",
            sequence=1,
            state="live",
            max_batch=32,
            prefill_tokens_per_s=1e6,
            decode_tokens_per_s=1e4,
            **place,
        )
        self.membership.observe_report(now_s, report)
        self.router.observe_report(now_s, report)

    def profile(self, **fields):
        now_s = self.clock.monotonic()
        return RequestProfile(
            request_id="r1",
            organisation="o",
            request_class="c",
            pool="p",
            max_tokens=6,
            expected_tokens=6,
            arrived_s=now_s,
            deadline_s=now_s + FAR_S,
            **fields,
        )

    async def generate(self):
        job = GenerationJob(profile=self.profile(), prompt="hi")
        return await self.dispatcher.generate(job, self.sink)

    async def call(self):
        job = CallJob(
            profile=self.profile(repeatable=False),
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
async def open_bench():
    made = Bench()
    async with anyio.create_task_group() as group:
        group.start_soon(made.connections.run)
        for name in ("e1", "e2"):
            sidecar = FakeSidecar()
            made.sidecars[name] = sidecar
            group.start_soon(sidecar.server.serve)
            await sidecar.server.wait_started()
            made.add(name, sidecar.server.address)
        yield made
        await made.connections.aclose()
        group.cancel_scope.cancel()


def fail_first(bench, **faults):
    """Give the faults to whichever sidecar is asked first."""
    for sidecar in bench.sidecars.values():
        generate, call = sidecar.generate, sidecar.call

        def first_only(handler, sidecar=sidecar):
            async def handle(*args):
                if not any(other.requests for other in bench.sidecars.values()):
                    for name, value in faults.items():
                        setattr(sidecar, name, value)
                await handler(*args)

            return handle

        sidecar.generate, sidecar.call = first_only(generate), first_only(call)

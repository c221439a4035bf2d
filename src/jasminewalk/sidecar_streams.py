"""Generations that a sidecar queues, hands to its engine and passes back."""

import contextlib
import math
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import attrs
import msgspec
from absl import logging

from jasminewalk._http import ATTEMPT_HEADER, Receive, Send, send_json
from jasminewalk.clock import Clock
from jasminewalk.generated_codes import RESULTS, Code
from jasminewalk.generated_requests import Frame, GenerateRequest, RefusalBody
from jasminewalk.interfaces import Engine
from jasminewalk.metrics import Metrics
from jasminewalk.queueing import EndpointQueue
from jasminewalk.types import Refusal, RequestProfile

__all__ = ["GenerationRunner", "profile_of", "refusal_body"]

HEARTBEAT_LINE = b"{}\n"
HEARTBEAT_S = 0.5
HEADER_DELAY_S = 1.0
CANCEL_TIMEOUT_S = 1.0
FIRST_TOKEN_PATIENCE = 4.0
STREAM_HEADERS = [(b"content-type", b"application/x-ndjson")]

_encode = msgspec.json.Encoder().encode


def profile_of(request: GenerateRequest, pool: str, now_s: float) -> RequestProfile:
    """Return what decisions need to know about a generation.

    :param request: the attempt.
    :param pool: pool of the endpoint.
    :param now_s: current instant in seconds.
    """
    left = max(1, request.max_tokens - request.resume_from)
    first_token_s = request.first_token_s or math.inf
    expected = request.expected_tokens - request.resume_from
    return RequestProfile(
        request_id=f"{request.request_id}/{request.attempt}",
        organisation=request.organisation,
        request_class=request.request_class,
        pool=pool,
        model=request.model,
        prompt_tokens=request.prompt_tokens + request.resume_from,
        expected_tokens=min(left, max(1, expected)),
        max_tokens=left,
        prefix_hashes=tuple(request.prefix_hashes),
        arrived_s=now_s,
        deadline_s=now_s + request.deadline_s,
        first_token_deadline_s=now_s + first_token_s,
        priority=request.priority,
        weight=request.weight,
    )


def refusal_body(refusal: Refusal, request_id: str, queue: EndpointQueue) -> Any:
    """Return the body that tells an entry about a refusal.

    :param refusal: the refusal.
    :param request_id: identifier of the request.
    :param queue: queue of the endpoint.
    """
    return RefusalBody(
        code=refusal.code,
        name=refusal.code.name.lower(),
        message=refusal.reason,
        ran=refusal.ran,
        request_id=request_id,
        retry_after_s=refusal.retry_after_s,
        queued_prefill_tokens=queue.queued_prefill_tokens,
    )


@attrs.define(kw_only=True, eq=False)
class Stream:
    """A generation between its arrival and its end.

    :param request: the attempt.
    :param profile: what the queue knows of it.
    :param send: ASGI send function of the entry's request.
    :param arrived_s: instant of arrival in seconds.
    :param scope: cancelled when the entry leaves or the engine is stuck.
    :param started: set when the queue lets the generation go on or gives it up.
    :param refusal: why the queue gave the generation up.
    :param header_sent: whether the answer's header was sent.
    :param handed_over: whether the engine has the generation.
    :param sent_s: instant of the last bytes to the entry in seconds.
    :param progress_s: instant of the last bytes from the engine in seconds.
    :param got_bytes: whether the engine sent anything yet.
    :param stuck: whether the engine was silent for too long.
    """

    request: GenerateRequest
    profile: RequestProfile
    send: Send
    arrived_s: float
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    started: anyio.Event = attrs.field(factory=anyio.Event)
    refusal: Refusal | None = None
    header_sent: bool = False
    handed_over: bool = False
    sent_s: float = 0.0
    progress_s: float = 0.0
    got_bytes: bool = False
    stuck: bool = False


class GenerationRunner:
    """Runs generations on one engine, in the order the queue decides.

    :param engine: the engine.
    :param queue: decides what runs when, and what is given up.
    :param pool: pool of the endpoint.
    :param clock: source of time.
    :param progress_timeout_s: seconds without output after which a stream ends.
    :param metrics: counters and histograms of the sidecar.
    """

    def __init__(
        self,
        *,
        engine: Engine,
        queue: EndpointQueue,
        pool: str,
        clock: Clock,
        progress_timeout_s: float,
        metrics: Metrics,
    ) -> None:
        self.metrics = metrics
        self.engine = engine
        self.queue = queue
        self.pool = pool
        self.clock = clock
        self.progress_timeout_s = progress_timeout_s
        self.streams: dict[str, Stream] = {}
        self.completed = 0
        self.failed = 0

    async def handle(
        self, request: GenerateRequest, receive: Receive, send: Send
    ) -> None:
        """Answer one generation request of an entry.

        :param request: the attempt.
        :param receive: ASGI receive function; reports when the entry leaves.
        :param send: ASGI send function.
        """
        now_s = self.clock.monotonic()
        profile = profile_of(request, self.pool, now_s)
        if profile.request_id in self.streams:
            refusal = Refusal(Code.BAD_MESSAGE, "The attempt is already here.", 0.0)
            await self.send_refusal(request, refusal, send)
            return
        refused = self.queue.offer(now_s, profile)
        if refused is not None:
            await self.send_refusal(request, refused, send)
            return
        stream = Stream(request=request, profile=profile, send=send, arrived_s=now_s)
        self.streams[profile.request_id] = stream
        try:
            self.start_ready()
            await self.run_until_left(stream, receive)
        finally:
            self.end(stream)

    async def run_until_left(self, stream: Stream, receive: Receive) -> None:
        """Run a stream until it ends or the entry closes the connection.

        :param stream: the stream.
        :param receive: ASGI receive function.
        """

        async def watch() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            stream.scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(watch)
            with stream.scope:
                await self.run(stream)
            if stream.stuck:
                await self.send_end(stream, Code.ENDPOINT_FAILED, "unknown")
            group.cancel_scope.cancel()
        if stream.scope.cancelled_caught and stream.handed_over:
            await self.cancel_on_engine(stream.request)

    async def run(self, stream: Stream) -> None:
        """Wait for the stream's turn and pass on the engine's output.

        :param stream: the stream.
        """
        await stream.started.wait()
        if stream.refusal is not None:
            await self.give_up(stream, stream.refusal)
            return
        stream.handed_over = True
        stream.progress_s = self.clock.monotonic()
        try:
            await self.pass_on(stream)
        except OSError as error:
            logging.warning(
                "[sidecar] Engine failed. request_id=%s attempt=%d error=%r",
                stream.request.request_id,
                stream.request.attempt,
                error,
            )
            self.failed += 1
            await self.send_end(stream, Code.ENDPOINT_FAILED, "unknown")
            return
        self.completed += 1
        await stream.send({"type": "http.response.body", "body": b""})

    async def pass_on(self, stream: Stream) -> None:
        """Copy the engine's frames to the entry.

        :param stream: the stream.
        :raises OSError: if the engine's connection fails.
        """
        frames: AsyncIterator[bytes] = self.engine.generate(stream.request)
        async for lines in frames:
            now_s = self.clock.monotonic()
            stream.progress_s = now_s
            if not stream.got_bytes:
                self.note_first_token(stream, now_s)
            await self.send_lines(stream, lines, now_s)

    def note_first_token(self, stream: Stream, now_s: float) -> None:
        """Tell the queue that a prefill is done, and start who waited for it.

        :param stream: the stream.
        :param now_s: current instant in seconds.
        """
        stream.got_bytes = True
        self.queue.first_token(now_s, stream.profile.request_id)
        self.start_ready()

    async def send_lines(self, stream: Stream, lines: bytes, now_s: float) -> None:
        """Send frames, preceded by the header if it has not been sent.

        :param stream: the stream.
        :param lines: whole or partial lines.
        :param now_s: current instant in seconds.
        """
        if not stream.header_sent:
            await self.send_header(stream)
        stream.sent_s = now_s
        await stream.send(
            {"type": "http.response.body", "body": lines, "more_body": True}
        )

    async def send_header(self, stream: Stream) -> None:
        """Send the header of a stream.

        :param stream: the stream.
        """
        stream.header_sent = True
        attempt = (ATTEMPT_HEADER, stream.profile.request_id.encode())
        headers = [*STREAM_HEADERS, attempt]
        await stream.send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )

    async def send_end(
        self, stream: Stream, code: Code, ran: Any, retry_after_s: float = 0.0
    ) -> None:
        """End a stream that broke.

        :param stream: the stream.
        :param code: result code.
        :param ran: whether the request ran.
        :param retry_after_s: seconds after which to come back.
        """
        frame = Frame(code=code, ran=ran, retry_after_s=retry_after_s)
        await self.send_lines(
            stream, b"\n" + _encode(frame) + b"\n", self.clock.monotonic()
        )
        await stream.send({"type": "http.response.body", "body": b""})

    async def give_up(self, stream: Stream, refusal: Refusal) -> None:
        """Tell the entry at once that a queued generation will not run.

        :param stream: the stream.
        :param refusal: why.
        """
        if stream.header_sent:
            await self.send_end(
                stream, refusal.code, refusal.ran, refusal.retry_after_s
            )
            return
        await self.send_refusal(stream.request, refusal, stream.send)

    async def send_refusal(
        self, request: GenerateRequest, refusal: Refusal, send: Send
    ) -> None:
        """Send a refusal as a whole answer.

        :param request: the attempt.
        :param refusal: why it is refused.
        :param send: ASGI send function.
        """
        body = refusal_body(refusal, request.request_id, self.queue)
        await send_json(send, RESULTS[refusal.code].http_status, body)

    def start_ready(self) -> None:
        """Let the generations go whose turn has come."""
        now_s = self.clock.monotonic()
        for profile in self.queue.start(now_s):
            stream = self.streams.get(profile.request_id)
            if stream is None:
                self.queue.finished(now_s, profile.request_id)
                continue
            stream.started.set()
            self.metrics.observe(
                "queue_seconds",
                now_s - stream.arrived_s,
                organisation=profile.organisation,
                request_class=profile.request_class,
            )

    def end(self, stream: Stream) -> None:
        """Forget a stream and free its place.

        :param stream: the stream.
        """
        self.streams.pop(stream.profile.request_id, None)
        now_s = self.clock.monotonic()
        if stream.started.is_set() and stream.refusal is None:
            self.queue.finished(now_s, stream.profile.request_id)
        else:
            self.queue.cancel(stream.profile.request_id)
        self.start_ready()

    def cancel(self, request_id: str, attempt: int) -> None:
        """Stop an attempt wherever it is.

        :param request_id: identifier of the request.
        :param attempt: number of the attempt.
        """
        stream = self.streams.get(f"{request_id}/{attempt}")
        if stream is None:
            return
        stream.scope.cancel()

    async def cancel_on_engine(self, request: GenerateRequest) -> None:
        """Free what an abandoned attempt holds on the engine.

        :param request: the attempt.
        """
        with anyio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
            with contextlib.suppress(OSError):
                await self.engine.cancel(request.request_id, request.attempt)

    async def tick(self) -> None:
        """Give up what is hopeless, start what can run, watch and beat streams."""
        now_s = self.clock.monotonic()
        for expired in self.queue.expired(now_s):
            stream = self.streams.get(expired.profile.request_id)
            if stream is not None:
                stream.refusal = expired.refusal
                stream.started.set()
        self.start_ready()
        for stream in list(self.streams.values()):
            self.watch_progress(stream, now_s)
            await self.beat(stream, now_s)

    def watch_progress(self, stream: Stream, now_s: float) -> None:
        """Stop a stream whose engine has been silent for too long.

        :param stream: the stream.
        :param now_s: current instant in seconds.
        """
        if not stream.handed_over:
            return
        patience = 1.0 if stream.got_bytes else FIRST_TOKEN_PATIENCE
        if now_s - stream.progress_s > self.progress_timeout_s * patience:
            stream.stuck = True
            self.failed += 1
            stream.scope.cancel()

    async def beat(self, stream: Stream, now_s: float) -> None:
        """Show the entry that a silent stream is alive.

        :param stream: the stream.
        :param now_s: current instant in seconds.
        """
        if stream.started.is_set() and not stream.handed_over:
            return
        if stream.got_bytes or stream.stuck:
            return
        last_s = stream.sent_s or stream.arrived_s + HEADER_DELAY_S - HEARTBEAT_S
        if now_s - last_s >= HEARTBEAT_S:
            await self.send_lines(stream, HEARTBEAT_LINE, now_s)

    async def run_ticks(self, period_s: float, stopped: Callable[[], bool]) -> None:
        """Tick until stopped.

        :param period_s: seconds between ticks.
        :param stopped: returns whether to end.
        """
        while not stopped():
            await self.tick()
            await anyio.sleep(period_s)

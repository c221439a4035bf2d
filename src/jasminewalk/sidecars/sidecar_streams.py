"""Runner that queues generations, sends them to the engine and streams the output."""

import contextlib
from collections.abc import AsyncIterator
from typing import Any

import anyio
import msgspec
from absl import logging

from jasminewalk.clock import Clock
from jasminewalk.generated_codes import RESULTS, Code
from jasminewalk.generated_requests import Frame, GenerateRequest
from jasminewalk.interfaces import Engine
from jasminewalk.metrics import Metrics
from jasminewalk.scheduling.queueing import EndpointQueue
from jasminewalk.sidecars.generation_stream import GenerationStream, build_profile
from jasminewalk.sidecars.sidecar_http import build_refusal_body
from jasminewalk.transport._http import ATTEMPT_HEADER, Receive, Send, send_json
from jasminewalk.types import Refusal

__all__ = ["GenerationRunner"]

HEARTBEAT_LINE = b"{}\n"
HEARTBEAT_INTERVAL_S = 0.5
FIRST_HEARTBEAT_DELAY_S = 1.0
CANCEL_TIMEOUT_S = 1.0
FIRST_TOKEN_TIMEOUT_FACTOR = 4.0
STREAM_HEADERS = [(b"content-type", b"application/x-ndjson")]

_encode = msgspec.json.Encoder().encode


class GenerationRunner:
    """Runs generations on one engine, in the order that the queue determines.

    :param engine: the engine.
    :param queue: queue that admits, orders and expires the generations.
    :param pool: pool of the endpoint.
    :param clock: source of time.
    :param progress_timeout_s: maximum seconds between two outputs of a stream; the
        first output may take ``FIRST_TOKEN_TIMEOUT_FACTOR`` times as long.
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
        self.streams: dict[str, GenerationStream] = {}
        self.completed = 0
        self.failed = 0

    async def handle(
        self, request: GenerateRequest, receive: Receive, send: Send
    ) -> None:
        """Handle one generation request of an entry.

        :param request: the request and attempt.
        :param receive: ASGI receive function; reports when the entry disconnects.
        :param send: ASGI send function.
        """
        now_s = self.clock.monotonic()
        profile = build_profile(request, self.pool, now_s)
        if profile.request_id in self.streams:
            refusal = Refusal(
                Code.BAD_MESSAGE, "The attempt is already in progress.", 0.0
            )
            await self.send_refusal(request, refusal, send)
            return
        queue_refusal = self.queue.offer(now_s, profile)
        if queue_refusal is not None:
            await self.send_refusal(request, queue_refusal, send)
            return
        stream = GenerationStream(
            request=request, profile=profile, send=send, arrived_s=now_s
        )
        self.streams[profile.request_id] = stream
        try:
            self.start_ready_streams()
            await self.run_until_disconnect(stream, receive)
        finally:
            self.remove_stream(stream)

    async def run_until_disconnect(
        self, stream: GenerationStream, receive: Receive
    ) -> None:
        """Run a stream until it ends or the entry disconnects.

        :param stream: the stream.
        :param receive: ASGI receive function.
        """

        async def watch_for_disconnect() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            stream.scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(watch_for_disconnect)
            with stream.scope:
                await self.run_stream(stream)
            if stream.is_stalled:
                await self.send_end(stream, Code.ENDPOINT_FAILED, "unknown")
            group.cancel_scope.cancel()
        if stream.scope.cancelled_caught and stream.sent_to_engine:
            await self.cancel_on_engine(stream.request)

    async def run_stream(self, stream: GenerationStream) -> None:
        """Wait until the queue starts the stream, then forward the engine's output.

        :param stream: the stream.
        """
        await stream.started.wait()
        if stream.refusal is not None:
            await self.send_queue_refusal(stream, stream.refusal)
            return
        stream.sent_to_engine = True
        stream.last_progress_s = self.clock.monotonic()
        try:
            await self.forward_output(stream)
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

    async def forward_output(self, stream: GenerationStream) -> None:
        """Forward the engine's frames to the entry.

        :param stream: the stream.
        :raises OSError: if the engine's connection fails.
        """
        frames: AsyncIterator[bytes] = self.engine.generate(stream.request)
        async for lines in frames:
            now_s = self.clock.monotonic()
            stream.last_progress_s = now_s
            if not stream.has_output:
                self.record_first_token(stream, now_s)
            await self.send_lines(stream, lines, now_s)

    def record_first_token(self, stream: GenerationStream, now_s: float) -> None:
        """Record the end of a prefill, and start streams that waited for it.

        :param stream: the stream.
        :param now_s: current time in seconds.
        """
        stream.has_output = True
        self.queue.record_first_token(now_s, stream.profile.request_id)
        self.start_ready_streams()

    async def send_lines(
        self, stream: GenerationStream, lines: bytes, now_s: float
    ) -> None:
        """Send frames, after the response headers if they have not been sent.

        :param stream: the stream.
        :param lines: complete or partial lines.
        :param now_s: current time in seconds.
        """
        if not stream.headers_sent:
            await self.send_headers(stream)
        stream.last_sent_s = now_s
        await stream.send(
            {"type": "http.response.body", "body": lines, "more_body": True}
        )

    async def send_headers(self, stream: GenerationStream) -> None:
        """Send the response headers of a stream.

        :param stream: the stream.
        """
        stream.headers_sent = True
        attempt = (ATTEMPT_HEADER, stream.profile.request_id.encode())
        headers = [*STREAM_HEADERS, attempt]
        await stream.send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )

    async def send_end(
        self, stream: GenerationStream, code: Code, ran: Any, retry_after_s: float = 0.0
    ) -> None:
        """End a stream with a frame that reports an error.

        The newline before the frame ends a line that the engine left incomplete.

        :param stream: the stream.
        :param code: result code.
        :param ran: whether the request ran.
        :param retry_after_s: seconds after which the entry may retry.
        """
        frame = Frame(code=code, ran=ran, retry_after_s=retry_after_s)
        await self.send_lines(
            stream, b"\n" + _encode(frame) + b"\n", self.clock.monotonic()
        )
        await stream.send({"type": "http.response.body", "body": b""})

    async def send_queue_refusal(
        self, stream: GenerationStream, refusal: Refusal
    ) -> None:
        """Refuse a generation that the queue expired.

        :param stream: the stream.
        :param refusal: reason for the refusal.
        """
        if stream.headers_sent:
            await self.send_end(
                stream, refusal.code, refusal.ran, refusal.retry_after_s
            )
            return
        await self.send_refusal(stream.request, refusal, stream.send)

    async def send_refusal(
        self, request: GenerateRequest, refusal: Refusal, send: Send
    ) -> None:
        """Send a refusal as a complete response.

        :param request: the request and attempt.
        :param refusal: reason for the refusal.
        :param send: ASGI send function.
        """
        body = build_refusal_body(
            refusal,
            request.request_id,
            queued=self.queue.queued,
            queued_prefill_tokens=self.queue.queued_prefill_tokens,
        )
        attempt_id = f"{request.request_id}/{request.attempt}".encode()
        await send_json(
            send,
            RESULTS[refusal.code].http_status,
            body,
            [(ATTEMPT_HEADER, attempt_id)],
        )

    def start_ready_streams(self) -> None:
        """Start the streams that the queue allows to run now."""
        now_s = self.clock.monotonic()
        for profile in self.queue.start(now_s):
            stream = self.streams.get(profile.request_id)
            if stream is None:
                self.queue.record_finished(now_s, profile.request_id)
                continue
            stream.started.set()
            self.metrics.observe(
                "queue_seconds",
                now_s - stream.arrived_s,
                organisation=profile.organisation,
                request_class=profile.request_class,
            )

    def remove_stream(self, stream: GenerationStream) -> None:
        """Remove a stream and free its place in the queue.

        :param stream: the stream.
        """
        self.streams.pop(stream.profile.request_id, None)
        now_s = self.clock.monotonic()
        if stream.started.is_set() and stream.refusal is None:
            self.queue.record_finished(now_s, stream.profile.request_id)
        else:
            self.queue.cancel(stream.profile.request_id)
        self.start_ready_streams()

    def cancel(self, request_id: str, attempt: int) -> None:
        """Cancel an attempt, whether it is queued or running.

        :param request_id: identifier of the request.
        :param attempt: number of the attempt.
        """
        stream = self.streams.get(f"{request_id}/{attempt}")
        if stream is None:
            return
        stream.scope.cancel()

    async def cancel_on_engine(self, request: GenerateRequest) -> None:
        """Cancel an abandoned attempt on the engine to free its memory.

        :param request: the request and attempt.
        """
        with anyio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
            with contextlib.suppress(OSError):
                await self.engine.cancel(request.request_id, request.attempt)

    async def tick(self) -> None:
        """Expire and start queued streams, and check the progress of running ones.

        Also send the heartbeats that are due.
        """
        now_s = self.clock.monotonic()
        for expired in self.queue.remove_expired(now_s):
            stream = self.streams.get(expired.profile.request_id)
            if stream is not None:
                stream.refusal = expired.refusal
                stream.started.set()
        self.start_ready_streams()
        for stream in list(self.streams.values()):
            self.check_progress(stream, now_s)
            await self.send_due_heartbeat(stream, now_s)

    def check_progress(self, stream: GenerationStream, now_s: float) -> None:
        """Cancel a stream whose engine has sent no output for too long.

        :param stream: the stream.
        :param now_s: current time in seconds.
        """
        if not stream.sent_to_engine:
            return
        timeout_factor = 1.0 if stream.has_output else FIRST_TOKEN_TIMEOUT_FACTOR
        if now_s - stream.last_progress_s > self.progress_timeout_s * timeout_factor:
            stream.is_stalled = True
            self.failed += 1
            stream.scope.cancel()

    async def send_due_heartbeat(self, stream: GenerationStream, now_s: float) -> None:
        """Send a heartbeat to the entry if a stream without output needs one.

        The first heartbeat also sends the response headers. It is sent
        ``FIRST_HEARTBEAT_DELAY_S`` after arrival, so that a generation that expires
        earlier can still be refused with an HTTP status of its own.

        :param stream: the stream.
        :param now_s: current time in seconds.
        """
        if stream.started.is_set() and not stream.sent_to_engine:
            return
        if stream.has_output or stream.is_stalled:
            return
        last_sent_s = (
            stream.last_sent_s
            or stream.arrived_s + FIRST_HEARTBEAT_DELAY_S - HEARTBEAT_INTERVAL_S
        )
        if now_s - last_sent_s >= HEARTBEAT_INTERVAL_S:
            await self.send_lines(stream, HEARTBEAT_LINE, now_s)

"""Stand-in for a model engine: serves the engine model over HTTP in real time."""

import random
from typing import Any

import anyio
import msgspec

from jasminewalk.clock import Clock, SystemClock
from jasminewalk.exceptions import BadRequestError
from jasminewalk.generated_requests import EngineOrder, GenerateRequest
from jasminewalk.generated_standins import EngineFaults, StandinEngineSettings
from jasminewalk.standins._standin import NoResponseError, Standin, StandinRequest
from jasminewalk.standins.engine_model import EngineModel, SentFrame
from jasminewalk.transport._http import send_json

__all__ = ["StandinEngine"]

STREAM_HEADERS = [(b"content-type", b"application/x-ndjson")]
MAX_SLEEP_S = 60.0

_encode = msgspec.json.Encoder().encode


class _StreamedResponse:
    """Lines of a streamed response that are not yet written.

    :param client: host and port of the client.
    """

    def __init__(self, client: tuple[str, int]) -> None:
        self.client = client
        self.lines: list[bytes] = []
        self.ended = False
        self.broken = False
        self.changed = anyio.Event()

    def add(self, sent: SentFrame) -> None:
        """Add a frame.

        :param sent: the frame that the model sent.
        """
        self.lines.append(_encode(sent.frame))
        self.ended = bool(sent.frame.end or sent.frame.code)
        self.changed.set()

    def abort(self) -> None:
        """Mark the response as broken, and wake its writer."""
        self.broken = True
        self.changed.set()

    async def take_lines(self) -> bytes:
        """Wait for lines, then remove and return all of them as one block of bytes.

        The block is empty if the response was aborted and no line is left.
        """
        await self.changed.wait()
        self.changed = anyio.Event()
        data = b"\n".join(self.lines) + b"\n" if self.lines else b""
        self.lines.clear()
        return data


class StandinEngine(Standin[EngineFaults]):
    """Engine that produces tokens at the speed of its model.

    :param settings: settings of the model and of the listener.
    :param clock: source of time.
    """

    def __init__(
        self, settings: StandinEngineSettings, *, clock: Clock | None = None
    ) -> None:
        super().__init__(settings.listen, settings.body_bytes, EngineFaults())
        self.settings = settings
        self.clock = clock or SystemClock()
        self.model = EngineModel(settings.model, random.Random(settings.seed))
        self.responses: dict[tuple[str, int], _StreamedResponse] = {}
        self.model_changed = anyio.Event()
        self.crash_at_s = float("inf")
        self.requests = 0
        self.cancelled = 0

    async def run_background(self) -> None:
        """Advance the model as time passes, until cancelled."""
        while True:
            now_s = self.clock.monotonic()
            if now_s >= self.crash_at_s:
                self.crash()
            self.deliver_frames(self.model.advance(now_s))
            next_s = min(self.model.next_event_s, self.crash_at_s)
            wait_s = min(MAX_SLEEP_S, next_s - self.clock.monotonic())
            self.model_changed = anyio.Event()
            with anyio.move_on_after(max(0.0, wait_s)):
                await self.model_changed.wait()

    def deliver_frames(self, frames: list[SentFrame]) -> None:
        """Add frames to the responses that they belong to.

        :param frames: frames of the model.
        """
        for sent in frames:
            response = self.responses.get((sent.request_id, sent.attempt))
            if response is not None:
                response.add(sent)

    def on_faults_changed(self, previous: EngineFaults) -> None:
        """Crash, restart, pause or continue the model.

        :param previous: faults before the change.
        """
        now_s = self.clock.monotonic()
        if self.faults.crashed and not previous.crashed:
            self.crash()
        elif previous.crashed and not self.faults.crashed:
            self.model.restart(now_s)
        if self.faults.frozen:
            self.model.pause(now_s)
        else:
            self.model.unpause(now_s)
        self.model_changed.set()

    def crash(self) -> None:
        """Crash the model and break all responses."""
        self.crash_at_s = float("inf")
        self.mark_crashed()
        self.model.crash(self.clock.monotonic())
        for response in list(self.responses.values()):
            response.abort()

    def mark_crashed(self) -> None:
        """Set the ``crashed`` fault, so that ``GET /faults`` shows the crash."""
        values = msgspec.to_builtins(self.faults) | {"crashed": True}
        self.faults = msgspec.convert(values, EngineFaults)

    def get_counts(self) -> Any:
        """Return counts of requests and failures, and all orders."""
        return {
            "requests": self.requests,
            "cancelled": self.cancelled,
            "open": len(self.responses),
            "broken_streams": self.model.broken_streams,
            "stale_orders": self.model.stale_orders,
            "orders": self.model.orders,
        }

    async def handle_request(self, request: StandinRequest) -> None:
        """Handle a request of the sidecar.

        :param request: the request.
        """
        if self.model.down:
            await self.reset_connection(request)
            return
        segments = request.path_segments
        route = (request.method, segments[0])
        if route == ("POST", "generate"):
            await self.generate(request, request.decode(GenerateRequest))
        elif self.faults.frozen:
            raise NoResponseError
        elif route == ("DELETE", "generate"):
            await self.cancel(request)
        elif route == ("GET", "state"):
            state = self.model.state(self.clock.monotonic())
            await send_json(request.send, 200, state)
        elif route == ("POST", "orders"):
            await self.handle_order(request)
        elif route == ("GET", "events"):
            sequence = int(request.get_number("sequence", 0, 1 << 62))
            page = self.model.cache_events(self.clock.monotonic(), sequence)
            await send_json(request.send, 200, page)
        elif route == ("POST", "kv"):
            await self.transfer_kv(request)
        else:
            raise self.build_unknown_path_error(request)

    async def generate(
        self, request: StandinRequest, generation: GenerateRequest
    ) -> None:
        """Stream a generation, and cancel it if the client disconnects.

        :param request: the HTTP request.
        :param generation: the generation request.
        """
        key = (generation.request_id, generation.attempt)
        if key in self.responses:
            raise BadRequestError(f"Attempt {key} is already running.")
        self.requests += 1
        response = self.responses[key] = _StreamedResponse(request.client)
        self.model.submit(self.clock.monotonic(), generation)
        self.model_changed.set()
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self.cancel_on_disconnect, request, group.cancel_scope)
                await self.write_response(request, response)
                group.cancel_scope.cancel()
        finally:
            del self.responses[key]
            now_s = self.clock.monotonic()
            if not response.ended and self.model.cancel(now_s, *key):
                self.cancelled += 1
                self.model_changed.set()
        if response.broken:
            await self.reset_connection(request)

    async def cancel_on_disconnect(
        self, request: StandinRequest, scope: anyio.CancelScope
    ) -> None:
        """Cancel the response when the client disconnects.

        :param request: the HTTP request.
        :param scope: cancel scope of the response.
        """
        while (await request.receive())["type"] != "http.disconnect":
            pass
        scope.cancel()

    async def write_response(
        self, request: StandinRequest, response: _StreamedResponse
    ) -> None:
        """Write the lines of a response as they become available.

        :param request: the HTTP request.
        :param response: the response.
        """
        start = {
            "type": "http.response.start",
            "status": 200,
            "headers": STREAM_HEADERS,
        }
        await request.send(start)
        while not response.ended or response.lines:
            data = await response.take_lines()
            if response.broken:
                return
            if request.client in self.silenced_clients:
                await self.stopping.wait()
                response.abort()
                return
            body = {"type": "http.response.body", "body": data, "more_body": True}
            await request.send(body)
        await request.send({"type": "http.response.body", "body": b""})

    async def cancel(self, request: StandinRequest) -> None:
        """Cancel the attempt that the path names.

        :param request: the request.
        """
        key = self.parse_attempt(request, request.path_segments[1:])
        response = self.responses.get(key)
        if self.model.cancel(self.clock.monotonic(), *key):
            self.cancelled += 1
            self.model_changed.set()
        if response is not None:
            response.abort()
        await send_json(request.send, 200, {})

    def parse_attempt(
        self, request: StandinRequest, segments: list[str]
    ) -> tuple[str, int]:
        """Parse the request identifier and attempt number at the end of a path.

        :param request: the request.
        :param segments: last segments of its path.
        :raises BadRequestError: if the segments name no attempt.
        """
        if len(segments) != 2 or not segments[1].isdigit():
            raise self.build_unknown_path_error(request)
        return segments[0], int(segments[1])

    async def handle_order(self, request: StandinRequest) -> None:
        """Start to carry out an order; with ``crash_on_order``, crash halfway through.

        :param request: the request.
        """
        now_s = self.clock.monotonic()
        self.model.order(now_s, request.decode(EngineOrder))
        change = self.model.change
        if self.faults.crash_on_order and change is not None:
            self.crash_at_s = (now_s + change.end_s) / 2
        self.model_changed.set()
        await send_json(request.send, 200, {})

    async def transfer_kv(self, request: StandinRequest) -> None:
        """Export or import the KV cache of a stream.

        :param request: the request.
        """
        now_s = self.clock.monotonic()
        if request.path == "/kv/import":
            self.model.import_kv(now_s, request.body)
            await send_json(request.send, 200, {})
            return
        if request.path_segments[1:2] != ["export"]:
            raise self.build_unknown_path_error(request)
        key = self.parse_attempt(request, request.path_segments[2:])
        handle = self.model.export_kv(now_s, *key)
        start = {"type": "http.response.start", "status": 200, "headers": []}
        await request.send(start)
        await request.send({"type": "http.response.body", "body": handle})

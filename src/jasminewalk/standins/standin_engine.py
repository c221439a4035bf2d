"""Stand-in for a model engine: the engine model on a real clock, over HTTP."""

import random
from typing import Any

import anyio
import msgspec

from jasminewalk.clock import Clock, SystemClock
from jasminewalk.exceptions import BadRequestError
from jasminewalk.generated_requests import EngineOrder, GenerateRequest
from jasminewalk.generated_standins import EngineFaults, StandinEngineSettings
from jasminewalk.standins._standin import HeldError, Standin, StandinRequest
from jasminewalk.standins.engine_model import EngineModel, SentFrame
from jasminewalk.transport._http import send_json

__all__ = ["StandinEngine"]

STREAM_HEADERS = [(b"content-type", b"application/x-ndjson")]
LONGEST_SLEEP_S = 60.0

_encode = msgspec.json.Encoder().encode


class _Answer:
    """Lines of one answer that wait to be written.

    :param client: address of the connection's other end.
    """

    def __init__(self, client: tuple[str, int]) -> None:
        self.client = client
        self.lines: list[bytes] = []
        self.ended = False
        self.broken = False
        self.changed = anyio.Event()

    def add(self, out: SentFrame) -> None:
        """Add a frame.

        :param out: the frame.
        """
        self.lines.append(_encode(out.frame))
        self.ended = bool(out.frame.end or out.frame.code)
        self.changed.set()

    def stop(self) -> None:
        """Break the answer off."""
        self.broken = True
        self.changed.set()

    async def take(self) -> bytes:
        """Wait for lines and return all that are there."""
        await self.changed.wait()
        self.changed = anyio.Event()
        data = b"\n".join(self.lines) + b"\n" if self.lines else b""
        self.lines.clear()
        return data


class StandinEngine(Standin[EngineFaults]):
    """Engine that produces tokens at the modelled speed.

    :param settings: the model and its listener.
    :param clock: source of time.
    """

    def __init__(
        self, settings: StandinEngineSettings, *, clock: Clock | None = None
    ) -> None:
        super().__init__(settings.listen, settings.body_bytes, EngineFaults())
        self.settings = settings
        self.clock = clock or SystemClock()
        self.model = EngineModel(settings.model, random.Random(settings.seed))
        self.answers: dict[tuple[str, int], _Answer] = {}
        self.submitted = anyio.Event()
        self.crash_s = float("inf")
        self.requests = 0
        self.cancelled = 0

    async def work(self) -> None:
        """Let the model work at the pace of the clock, until cancelled."""
        while True:
            now_s = self.clock.monotonic()
            if now_s >= self.crash_s:
                self.crash()
            self.pass_on(self.model.advance(now_s))
            next_s = min(self.model.next_event_s, self.crash_s)
            wait_s = min(LONGEST_SLEEP_S, next_s - self.clock.monotonic())
            self.submitted = anyio.Event()
            with anyio.move_on_after(max(0.0, wait_s)):
                await self.submitted.wait()

    def pass_on(self, frames: list[SentFrame]) -> None:
        """Hand frames to the answers that they belong to.

        :param frames: frames of the model.
        """
        for out in frames:
            answer = self.answers.get((out.request_id, out.attempt))
            if answer is not None:
                answer.add(out)

    def on_faults(self, before: EngineFaults) -> None:
        """Crash, restart, freeze or go on.

        :param before: the faults until now.
        """
        now_s = self.clock.monotonic()
        if self.faults.crashed and not before.crashed:
            self.crash()
        elif before.crashed and not self.faults.crashed:
            self.model.restart(now_s)
        if self.faults.frozen:
            self.model.pause(now_s)
        else:
            self.model.unpause(now_s)
        self.submitted.set()

    def crash(self) -> None:
        """Go down and reset all streams."""
        self.crash_s = float("inf")
        self.set_crashed()
        self.model.crash(self.clock.monotonic())
        for answer in list(self.answers.values()):
            answer.stop()

    def set_crashed(self) -> None:
        """Show the crash among the faults."""
        values = msgspec.to_builtins(self.faults) | {"crashed": True}
        self.faults = msgspec.convert(values, EngineFaults)

    def counts(self) -> Any:
        """Return requests, cancellations and orders so far."""
        return {
            "requests": self.requests,
            "cancelled": self.cancelled,
            "open": len(self.answers),
            "broken_streams": self.model.broken_streams,
            "stale_orders": self.model.stale_orders,
            "orders": self.model.orders,
        }

    async def answer(self, request: StandinRequest) -> None:
        """Answer a request of the sidecar.

        :param request: the request.
        """
        if self.model.down:
            await self.lose_answer(request)
            return
        parts = request.parts
        route = (request.method, parts[0])
        if route == ("POST", "generate"):
            await self.generate(request, request.decode(GenerateRequest))
        elif self.faults.frozen:
            raise HeldError
        elif route == ("DELETE", "generate"):
            await self.cancel(request)
        elif route == ("GET", "state"):
            state = self.model.state(self.clock.monotonic())
            await send_json(request.send, 200, state)
        elif route == ("POST", "orders"):
            await self.take_order(request)
        elif route == ("GET", "events"):
            sequence = int(request.number("sequence", 0, 1 << 62))
            page = self.model.cache_events(self.clock.monotonic(), sequence)
            await send_json(request.send, 200, page)
        elif route == ("POST", "kv"):
            await self.move_kv(request)
        else:
            raise self.no_such_path(request)

    async def generate(self, request: StandinRequest, wanted: GenerateRequest) -> None:
        """Stream a generation; a closed connection cancels it.

        :param request: the HTTP request.
        :param wanted: what to generate.
        """
        key = (wanted.request_id, wanted.attempt)
        if key in self.answers:
            raise BadRequestError(f"Attempt {key} is running already.")
        self.requests += 1
        answer = self.answers[key] = _Answer(request.client)
        self.model.submit(self.clock.monotonic(), wanted)
        self.submitted.set()
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self.watch, request, group.cancel_scope)
                await self.write(request, answer)
                group.cancel_scope.cancel()
        finally:
            del self.answers[key]
            now_s = self.clock.monotonic()
            if not answer.ended and self.model.cancel(now_s, *key):
                self.cancelled += 1
                self.submitted.set()
        if answer.broken:
            await self.lose_answer(request)

    async def watch(self, request: StandinRequest, scope: anyio.CancelScope) -> None:
        """Cancel the answer when the connection's other end is gone.

        :param request: the HTTP request.
        :param scope: scope of the answer.
        """
        while (await request.receive())["type"] != "http.disconnect":
            pass
        scope.cancel()

    async def write(self, request: StandinRequest, answer: _Answer) -> None:
        """Write lines as they come, until the last one.

        :param request: the HTTP request.
        :param answer: the answer.
        """
        start = {
            "type": "http.response.start",
            "status": 200,
            "headers": STREAM_HEADERS,
        }
        await request.send(start)
        while not answer.ended or answer.lines:
            data = await answer.take()
            if answer.broken:
                return
            if request.client in self.silenced:
                await self.stopping.wait()
                answer.stop()
                return
            body = {"type": "http.response.body", "body": data, "more_body": True}
            await request.send(body)
        await request.send({"type": "http.response.body", "body": b""})

    async def cancel(self, request: StandinRequest) -> None:
        """Stop the attempt that the path names.

        :param request: the request.
        """
        key = self.attempt_of(request, request.parts[1:])
        answer = self.answers.get(key)
        if self.model.cancel(self.clock.monotonic(), *key):
            self.cancelled += 1
            self.submitted.set()
        if answer is not None:
            answer.stop()
        await send_json(request.send, 200, {})

    def attempt_of(self, request: StandinRequest, parts: list[str]) -> tuple[str, int]:
        """Return the request id and attempt that a path ends with.

        :param request: the request.
        :param parts: last segments of its path.
        """
        if len(parts) != 2 or not parts[1].isdigit():
            raise self.no_such_path(request)
        return parts[0], int(parts[1])

    async def take_order(self, request: StandinRequest) -> None:
        """Carry out an order, or crash in the middle of it.

        :param request: the request.
        """
        now_s = self.clock.monotonic()
        self.model.order(now_s, request.decode(EngineOrder))
        change = self.model.change
        if self.faults.crash_on_order and change is not None:
            self.crash_s = (now_s + change.end_s) / 2
        self.submitted.set()
        await send_json(request.send, 200, {})

    async def move_kv(self, request: StandinRequest) -> None:
        """Export or import the KV cache of a stream.

        :param request: the request.
        """
        now_s = self.clock.monotonic()
        if request.path == "/kv/import":
            self.model.import_kv(now_s, request.body)
            await send_json(request.send, 200, {})
            return
        if request.parts[1:2] != ["export"]:
            raise self.no_such_path(request)
        key = self.attempt_of(request, request.parts[2:])
        handle = self.model.export_kv(now_s, *key)
        start = {"type": "http.response.start", "status": 200, "headers": []}
        await request.send(start)
        await request.send({"type": "http.response.body", "body": handle})

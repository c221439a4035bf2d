"""Continuous batch of a modelled engine: admission, steps and frames."""

import bisect
import heapq

import attrs

from jasminewalk.generated_requests import Frame, GenerateRequest
from jasminewalk.generated_standins import EngineModelSettings
from jasminewalk.standins._engine_cache import PrefixCache
from jasminewalk.standins._engine_kv import KvImports
from jasminewalk.standins._engine_speeds import EngineSpeeds
from jasminewalk.standins._engine_steps import Gaps, Run, StepLog, Stream, StreamKey
from jasminewalk.standins._engine_text import token_of

__all__ = ["Batch", "FrameOut"]

NO_GAPS = Gaps()
UNBOUNDED_STEPS = 1 << 30


@attrs.frozen(kw_only=True)
class FrameOut:
    """A frame that the engine sent.

    :param request_id: identifier of the request.
    :param attempt: number of the attempt.
    :param frame: the frame; ``code`` is set if the stream was refused or broke.
    :param at_s: instant in seconds.
    :param largest_gap_s: largest seconds between two tokens, on the last frame.
    :param p95_gap_s: 95th percentile of them, on the last frame.
    """

    request_id: str
    attempt: int
    frame: Frame
    at_s: float
    largest_gap_s: float = 0.0
    p95_gap_s: float = 0.0


class Batch:
    """Streams of an engine and the steps that serve them.

    :param settings: limits of the batch.
    :param speeds: durations of steps.
    :param cache: prefix cache and memory of running streams.
    :param emit_tokens: whether to send a frame for each token.
    """

    def __init__(
        self,
        settings: EngineModelSettings,
        speeds: EngineSpeeds,
        cache: PrefixCache,
        *,
        emit_tokens: bool,
    ) -> None:
        self.settings = settings
        self.speeds = speeds
        self.cache = cache
        self.emit_tokens = emit_tokens
        self.log = StepLog()
        self.streams: dict[StreamKey, Stream] = {}
        self.waiting: list[tuple[tuple[int, int], Stream]] = []
        self.prefilling: list[tuple[tuple[int, int], Stream]] = []
        self.decoding: dict[StreamKey, Stream] = {}
        self.finishing: list[tuple[int, tuple[int, int], Stream]] = []
        self.imports = KvImports()
        self.out: list[FrameOut] = []
        self.run: Run | None = None

    @property
    def next_event_s(self) -> float:
        """Instant of the next frame, as far as it is known."""
        if self.run is None:
            return float("inf")
        steps = 1 if self.emit_tokens else self.run.steps
        return self.run.start_s + self.run.step_s * steps

    @property
    def room(self) -> int:
        """Streams that the batch could take more."""
        return self.settings.max_batch - len(self.decoding) - len(self.prefilling)

    def add(self, now_s: float, stream: Stream) -> None:
        """Let a new stream wait for its place.

        :param now_s: current instant in seconds.
        :param stream: the stream.
        """
        self.streams[stream.key] = stream
        heapq.heappush(self.waiting, (stream.order, stream))
        if self.room > 0:
            self.replan(now_s)

    def clear(self) -> list[GenerateRequest]:
        """Drop every stream and return what they answered."""
        requests = [stream.request for stream in self.streams.values()]
        for stream in self.streams.values():
            stream.ended = True
        self.streams.clear()
        self.waiting.clear()
        self.prefilling.clear()
        self.decoding.clear()
        self.finishing.clear()
        self.run = None
        return requests

    def drop(self, now_s: float, stream: Stream) -> None:
        """Forget a stream and free its memory.

        :param now_s: current instant in seconds.
        :param stream: the stream.
        """
        stream.ended = True
        del self.streams[stream.key]
        self.decoding.pop(stream.key, None)
        started = stream.decoding or stream.prefill_left > 0
        self.prefilling = [item for item in self.prefilling if item[1] is not stream]
        if started:
            self.cache.reserve(now_s, -stream.blocks)

    def catch_up(self, now_s: float) -> None:
        """Work up to an instant.

        :param now_s: current instant in seconds.
        """
        while self.run is not None and self.run.end_s <= now_s:
            end_s = self.run.end_s
            self.settle(self.run.steps)
            self.plan(end_s)
        if self.run is not None and self.emit_tokens:
            self.settle(self.run.steps_until(now_s))

    def replan(self, now_s: float) -> None:
        """Let what changed count from the end of the step in progress.

        :param now_s: current instant in seconds.
        """
        if self.run is None:
            self.plan(now_s)
            return
        self.settle(min(self.run.steps - 1, self.run.steps_until(now_s)))
        self.run.steps = 1

    def plan(self, now_s: float) -> None:
        """Admit streams and start the next run.

        :param now_s: start of the run in seconds.
        """
        self.admit(now_s)
        budget = self.speeds.chunk_tokens
        chunks: list[tuple[Stream, int]] = []
        for _, stream in self.prefilling:
            tokens = min(budget, stream.prefill_left)
            chunks.append((stream, tokens))
            budget -= tokens
            if budget == 0:
                break
        batch = len(self.decoding)
        if not chunks and not batch:
            self.run = None
            return
        steps = self.steps_to_finish() if batch else UNBOUNDED_STEPS
        if chunks:
            head, tokens = chunks[0]
            steps = min(steps, head.prefill_left // tokens if len(chunks) == 1 else 1)
        total = sum(tokens for _, tokens in chunks)
        step_s = self.speeds.prefill_s(total) + self.speeds.decode_s(batch)
        self.run = Run(now_s, step_s, max(1, steps), chunks)

    def admit(self, now_s: float) -> None:
        """Move waiting streams into the batch while they fit.

        :param now_s: current instant in seconds.
        """
        room = self.room
        while self.waiting and room > 0:
            stream = self.waiting[0][1]
            if stream.ended:
                heapq.heappop(self.waiting)
                continue
            if not self.cache.can_reserve(stream.blocks):
                return
            heapq.heappop(self.waiting)
            self.begin_prefill(now_s, stream)
            room -= 1

    def begin_prefill(self, now_s: float, stream: Stream) -> None:
        """Reserve memory for a stream and look its prompt up in the cache.

        :param now_s: current instant in seconds.
        :param stream: the stream.
        """
        request = stream.request
        self.cache.reserve(now_s, stream.blocks)
        tokens = request.prompt_tokens + request.resume_from
        cached = min(self.cache.cached_tokens(request.prefix_hashes), tokens - 1)
        stream.cached = max(0, cached)
        imported = self.imports.take(stream)
        if imported:
            ratio = (
                self.settings.prefill_tokens_per_s
                / self.settings.kv_import_tokens_per_s
            )
            stream.cached = min(imported, tokens - 1)
            tokens += int(imported * ratio)
        stream.prefill_left = max(1, tokens - stream.cached)
        bisect.insort(self.prefilling, (stream.order, stream))

    def steps_to_finish(self) -> int:
        """Return the steps until the next decoding stream ends."""
        while self.finishing[0][2].ended:
            heapq.heappop(self.finishing)
        return self.finishing[0][0] - self.log.steps

    def settle(self, steps: int) -> None:
        """Carry out the first steps of the run.

        :param steps: how many of them.
        """
        run = self.run
        if run is None or steps == 0:
            return
        end_s = run.start_s + run.step_s * steps
        if self.emit_tokens:
            self.send_tokens(run, steps)
        self.log.add(steps, run.step_s)
        self.finish_streams(end_s)
        for stream, tokens in run.chunks:
            if stream.ended:
                continue
            stream.prefill_left -= tokens * steps
            if stream.prefill_left <= 0:
                self.send_first(end_s, stream)
        run.start_s = end_s
        run.steps -= steps

    def send_tokens(self, run: Run, steps: int) -> None:
        """Send the tokens of some steps, but for each stream's last one.

        :param run: the run.
        :param steps: how many of its steps.
        """
        for index in range(1, steps + 1):
            at_s = run.start_s + run.step_s * index
            step = self.log.steps + index
            for stream in self.decoding.values():
                if step >= stream.last_step:
                    continue
                n = stream.request.resume_from + step - stream.joined_step
                frame = Frame(n=n, t=token_of(stream.digest, n))
                self.send(at_s, stream.request, frame)

    def send_first(self, now_s: float, stream: Stream) -> None:
        """Send the first token of a stream and let it decode.

        :param now_s: current instant in seconds.
        :param stream: the stream.
        """
        self.prefilling.remove((stream.order, stream))
        self.cache.store(now_s, stream.request.prefix_hashes)
        stream.decoding = True
        stream.joined_step = self.log.steps
        if stream.last_step == stream.joined_step:
            self.finish_stream(now_s, stream)
            return
        n = stream.request.resume_from
        frame = Frame(n=n, t=token_of(stream.digest, n), cached=stream.cached)
        self.send(now_s, stream.request, frame)
        self.decoding[stream.key] = stream
        heapq.heappush(self.finishing, (stream.last_step, stream.order, stream))

    def finish_streams(self, now_s: float) -> None:
        """End the streams whose last token has come.

        :param now_s: current instant in seconds.
        """
        while self.finishing and self.finishing[0][0] <= self.log.steps:
            stream = heapq.heappop(self.finishing)[2]
            if not stream.ended:
                self.finish_stream(now_s, stream)

    def finish_stream(self, now_s: float, stream: Stream) -> None:
        """Send the last token of a stream and free its memory.

        :param now_s: current instant in seconds.
        :param stream: the stream.
        """
        request = stream.request
        n = stream.total_tokens - 1
        frame = Frame(
            n=n,
            t=token_of(stream.digest, n),
            end=self.finish_reason(request, stream.total_tokens),
            cached=stream.cached if n == request.resume_from else 0,
        )
        gaps = self.log.gaps(stream.joined_step, stream.last_step)
        self.drop(now_s, stream)
        self.send(now_s, request, frame, gaps)

    def finish_reason(self, request: GenerateRequest, total: int) -> str:
        """Return why an answer ends.

        :param request: what was asked.
        :param total: whole length of the answer.
        """
        return "length" if total >= request.max_tokens else "stop"

    def send(
        self,
        at_s: float,
        request: GenerateRequest,
        frame: Frame,
        gaps: Gaps = NO_GAPS,
    ) -> None:
        """Keep a frame for the next ``advance``.

        :param at_s: instant of the frame in seconds.
        :param request: what it answers.
        :param frame: the frame.
        :param gaps: seconds between tokens, on the last frame.
        """
        out = FrameOut(
            request_id=request.request_id,
            attempt=request.attempt,
            frame=frame,
            at_s=at_s,
            largest_gap_s=gaps.largest_s,
            p95_gap_s=gaps.p95_s,
        )
        self.out.append(out)

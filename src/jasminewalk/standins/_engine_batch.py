"""Continuous batching of a simulated engine: admission, steps and frames."""

import bisect
import heapq

import attrs

from jasminewalk.generated_requests import Frame, GenerateRequest
from jasminewalk.generated_standins import EngineModelSettings
from jasminewalk.standins._engine_cache import PrefixCache
from jasminewalk.standins._engine_kv import KvImports
from jasminewalk.standins._engine_speeds import EngineSpeeds
from jasminewalk.standins._engine_steps import (
    StepLog,
    StepRun,
    Stream,
    StreamKey,
    TokenGaps,
)
from jasminewalk.standins._engine_text import compute_token_text_from_digest

__all__ = ["Batch", "SentFrame"]

NO_GAPS = TokenGaps()
UNBOUNDED_STEPS = 1 << 30


@attrs.frozen(kw_only=True)
class SentFrame:
    """A frame that the engine sent, with its time.

    :param request_id: identifier of the request.
    :param attempt: number of the attempt.
    :param frame: the frame; its ``code`` is set if the stream was refused or broken.
    :param at_s: time at which it was sent, in seconds.
    :param largest_gap_s: longest time between two tokens in seconds, set on the last
        frame.
    :param p95_gap_s: 95th percentile of the times between tokens in seconds, set on
        the last frame.
    """

    request_id: str
    attempt: int
    frame: Frame
    at_s: float
    largest_gap_s: float = 0.0
    p95_gap_s: float = 0.0


class Batch:
    """Simulates the steps of an engine and the streams that they serve.

    :param settings: limits of the batch.
    :param speeds: step durations in the current role.
    :param cache: prefix cache, which shares its blocks with running streams.
    :param emit_tokens: whether to send a frame for each token; otherwise only the
        first and the last token of each stream are sent.
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
        self.step_log = StepLog()
        self.streams: dict[StreamKey, Stream] = {}
        self.waiting: list[tuple[tuple[int, int], Stream]] = []
        self.prefilling: list[tuple[tuple[int, int], Stream]] = []
        self.decoding: dict[StreamKey, Stream] = {}
        self.decoding_by_last_step: list[tuple[int, tuple[int, int], Stream]] = []
        self.kv_imports = KvImports()
        self.pending_frames: list[SentFrame] = []
        self.current_run: StepRun | None = None

    @property
    def next_event_s(self) -> float:
        """Time of the next possible frame in seconds; infinite if no step runs."""
        if self.current_run is None:
            return float("inf")
        steps = 1 if self.emit_tokens else self.current_run.steps
        return self.current_run.start_s + self.current_run.step_s * steps

    @property
    def free_slots(self) -> int:
        """Number of streams that the batch can still admit."""
        return self.settings.max_batch - len(self.decoding) - len(self.prefilling)

    def add(self, now_s: float, stream: Stream) -> None:
        """Add a stream to the waiting streams, and plan again if a slot is free.

        :param now_s: current time in seconds.
        :param stream: the stream.
        """
        self.streams[stream.key] = stream
        heapq.heappush(self.waiting, (stream.rank, stream))
        if self.free_slots > 0:
            self.replan(now_s)

    def clear(self) -> list[GenerateRequest]:
        """Remove every stream and return their requests."""
        requests = [stream.request for stream in self.streams.values()]
        for stream in self.streams.values():
            stream.ended = True
        self.streams.clear()
        self.waiting.clear()
        self.prefilling.clear()
        self.decoding.clear()
        self.decoding_by_last_step.clear()
        self.current_run = None
        return requests

    def remove(self, now_s: float, stream: Stream) -> None:
        """Remove a stream and release its KV cache blocks.

        :param now_s: current time in seconds.
        :param stream: the stream.
        """
        stream.ended = True
        del self.streams[stream.key]
        self.decoding.pop(stream.key, None)
        started = stream.is_decoding or stream.prefill_tokens_left > 0
        self.prefilling = [item for item in self.prefilling if item[1] is not stream]
        if started:
            self.cache.reserve(now_s, -stream.blocks)

    def simulate_until(self, now_s: float) -> None:
        """Simulate up to the current time.

        :param now_s: current time in seconds.
        """
        while self.current_run is not None and self.current_run.end_s <= now_s:
            end_s = self.current_run.end_s
            self.complete_steps(self.current_run.steps)
            self.plan(end_s)
        if self.current_run is not None and self.emit_tokens:
            self.complete_steps(self.current_run.count_steps_until(now_s))

    def replan(self, now_s: float) -> None:
        """Let the current run end after the step in progress, or plan if none runs.

        :param now_s: current time in seconds.
        """
        if self.current_run is None:
            self.plan(now_s)
            return
        self.complete_steps(
            min(self.current_run.steps - 1, self.current_run.count_steps_until(now_s))
        )
        self.current_run.steps = 1

    def plan(self, now_s: float) -> None:
        """Admit waiting streams and start the next run of steps.

        :param now_s: start of the run in seconds.
        """
        self.admit(now_s)
        budget = self.speeds.max_chunk_tokens
        chunks: list[tuple[Stream, int]] = []
        for _, stream in self.prefilling:
            tokens = min(budget, stream.prefill_tokens_left)
            chunks.append((stream, tokens))
            budget -= tokens
            if budget == 0:
                break
        decoding_count = len(self.decoding)
        if not chunks and not decoding_count:
            self.current_run = None
            return
        steps = self.count_steps_to_next_end() if decoding_count else UNBOUNDED_STEPS
        if chunks:
            first_stream, tokens = chunks[0]
            steps = min(
                steps,
                first_stream.prefill_tokens_left // tokens if len(chunks) == 1 else 1,
            )
        prefill_tokens = sum(tokens for _, tokens in chunks)
        step_s = self.speeds.compute_prefill_s(
            prefill_tokens
        ) + self.speeds.compute_decode_s(decoding_count)
        self.current_run = StepRun(now_s, step_s, max(1, steps), chunks)

    def admit(self, now_s: float) -> None:
        """Move waiting streams into the batch while slots and blocks are free.

        :param now_s: current time in seconds.
        """
        free_slots = self.free_slots
        while self.waiting and free_slots > 0:
            stream = self.waiting[0][1]
            if stream.ended:
                heapq.heappop(self.waiting)
                continue
            if not self.cache.can_reserve(stream.blocks):
                return
            heapq.heappop(self.waiting)
            self.begin_prefill(now_s, stream)
            free_slots -= 1

    def begin_prefill(self, now_s: float, stream: Stream) -> None:
        """Reserve blocks for a stream and compute how many tokens it has to prefill.

        The time to import a KV cache counts as additional prefill tokens.

        :param now_s: current time in seconds.
        :param stream: the stream.
        """
        request = stream.request
        self.cache.reserve(now_s, stream.blocks)
        tokens = request.prompt_tokens + request.resume_from
        cached = min(self.cache.count_cached_tokens(request.prefix_hashes), tokens - 1)
        stream.cached_tokens = max(0, cached)
        imported_tokens = self.kv_imports.take(stream)
        if imported_tokens:
            ratio = (
                self.settings.prefill_tokens_per_s
                / self.settings.kv_import_tokens_per_s
            )
            stream.cached_tokens = min(imported_tokens, tokens - 1)
            tokens += int(imported_tokens * ratio)
        stream.prefill_tokens_left = max(1, tokens - stream.cached_tokens)
        bisect.insort(self.prefilling, (stream.rank, stream))

    def count_steps_to_next_end(self) -> int:
        """Return the number of steps until the next decoding stream ends."""
        while self.decoding_by_last_step[0][2].ended:
            heapq.heappop(self.decoding_by_last_step)
        return self.decoding_by_last_step[0][0] - self.step_log.steps

    def complete_steps(self, steps: int) -> None:
        """Complete steps of the current run, and send the frames that they produce.

        :param steps: number of steps.
        """
        run = self.current_run
        if run is None or steps == 0:
            return
        end_s = run.start_s + run.step_s * steps
        if self.emit_tokens:
            self.send_tokens(run, steps)
        self.step_log.add(steps, run.step_s)
        self.finish_streams(end_s)
        for stream, tokens in run.chunks:
            if stream.ended:
                continue
            stream.prefill_tokens_left -= tokens * steps
            if stream.prefill_tokens_left <= 0:
                self.send_first_token(end_s, stream)
        run.start_s = end_s
        run.steps -= steps

    def send_tokens(self, run: StepRun, steps: int) -> None:
        """Send the tokens of steps, except for the last token of each stream.

        :param run: the run of steps.
        :param steps: number of steps.
        """
        for offset in range(1, steps + 1):
            at_s = run.start_s + run.step_s * offset
            step = self.step_log.steps + offset
            for stream in self.decoding.values():
                if step >= stream.last_step:
                    continue
                token_index = (
                    stream.request.resume_from + step - stream.first_token_step
                )
                frame = Frame(
                    n=token_index,
                    t=compute_token_text_from_digest(stream.digest, token_index),
                )
                self.queue_frame(at_s, stream.request, frame)

    def send_first_token(self, now_s: float, stream: Stream) -> None:
        """Send the first token of a stream and start to decode it.

        :param now_s: current time in seconds.
        :param stream: the stream.
        """
        self.prefilling.remove((stream.rank, stream))
        self.cache.store(now_s, stream.request.prefix_hashes)
        stream.is_decoding = True
        stream.first_token_step = self.step_log.steps
        if stream.last_step == stream.first_token_step:
            self.finish_stream(now_s, stream)
            return
        token_index = stream.request.resume_from
        frame = Frame(
            n=token_index,
            t=compute_token_text_from_digest(stream.digest, token_index),
            cached=stream.cached_tokens,
        )
        self.queue_frame(now_s, stream.request, frame)
        self.decoding[stream.key] = stream
        heapq.heappush(
            self.decoding_by_last_step, (stream.last_step, stream.rank, stream)
        )

    def finish_streams(self, now_s: float) -> None:
        """Finish the streams whose last token is computed.

        :param now_s: current time in seconds.
        """
        while (
            self.decoding_by_last_step
            and self.decoding_by_last_step[0][0] <= self.step_log.steps
        ):
            stream = heapq.heappop(self.decoding_by_last_step)[2]
            if not stream.ended:
                self.finish_stream(now_s, stream)

    def finish_stream(self, now_s: float, stream: Stream) -> None:
        """Send the last token of a stream and release its KV cache blocks.

        :param now_s: current time in seconds.
        :param stream: the stream.
        """
        request = stream.request
        token_index = stream.total_tokens - 1
        frame = Frame(
            n=token_index,
            t=compute_token_text_from_digest(stream.digest, token_index),
            end=self.get_finish_reason(request, stream.total_tokens),
            cached=stream.cached_tokens if token_index == request.resume_from else 0,
        )
        gaps = self.step_log.compute_gaps(stream.first_token_step, stream.last_step)
        self.remove(now_s, stream)
        self.queue_frame(now_s, request, frame, gaps)

    def get_finish_reason(self, request: GenerateRequest, total_tokens: int) -> str:
        """Return why a response ends: ``length`` or ``stop``.

        :param request: the generation request.
        :param total_tokens: total output tokens of the response.
        """
        return "length" if total_tokens >= request.max_tokens else "stop"

    def queue_frame(
        self,
        at_s: float,
        request: GenerateRequest,
        frame: Frame,
        gaps: TokenGaps = NO_GAPS,
    ) -> None:
        """Add a frame to those that ``EngineModel.advance`` returns next.

        :param at_s: time of the frame in seconds.
        :param request: request that the frame belongs to.
        :param frame: the frame.
        :param gaps: times between tokens, given for the last frame.
        """
        sent = SentFrame(
            request_id=request.request_id,
            attempt=request.attempt,
            frame=frame,
            at_s=at_s,
            largest_gap_s=gaps.largest_s,
            p95_gap_s=gaps.p95_s,
        )
        self.pending_frames.append(sent)

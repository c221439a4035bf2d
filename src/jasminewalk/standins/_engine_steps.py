"""Streams of a simulated engine, and the steps that it computes for them."""

from collections import deque

import attrs

from jasminewalk.generated_requests import GenerateRequest

__all__ = ["StepLog", "StepRun", "Stream", "StreamKey", "TokenGaps"]

MAX_LOGGED_RUNS = 16384
GAP_QUANTILE = 0.95

StreamKey = tuple[str, int]


@attrs.define(kw_only=True, eq=False)
class Stream:
    """One generation on the engine.

    :param request: the generation request.
    :param digest: digest of the prompt.
    :param rank: rank among waiting streams, by priority, then arrival; lowest first.
    :param total_tokens: total output tokens of the response, including those of earlier
        attempts.
    :param blocks: KV cache blocks that the stream needs.
    :param prefill_tokens_left: prompt tokens still to be computed.
    :param cached_tokens: prompt tokens found in the prefix cache.
    :param first_token_step: step that produced the first token.
    :param is_decoding: whether the first token has been produced.
    :param ended: whether the stream has finished, broken or been cancelled.
    """

    request: GenerateRequest
    digest: int
    rank: tuple[int, int]
    total_tokens: int
    blocks: int
    prefill_tokens_left: int = 0
    cached_tokens: int = 0
    first_token_step: int = 0
    is_decoding: bool = False
    ended: bool = False

    @property
    def key(self) -> StreamKey:
        """Request identifier and attempt number."""
        return (self.request.request_id, self.request.attempt)

    @property
    def last_step(self) -> int:
        """Step that produces the last token."""
        return self.first_token_step + self.total_tokens - self.request.resume_from - 1


@attrs.define
class StepRun:
    """A run of steps with equal durations and prefill chunks.

    :param start_s: start of the first step in seconds.
    :param step_s: duration of one step in seconds.
    :param steps: number of steps.
    :param chunks: streams that each step prefills, with the prompt tokens per step.
    """

    start_s: float
    step_s: float
    steps: int
    chunks: list[tuple[Stream, int]]

    @property
    def end_s(self) -> float:
        """Time at which the last step ends, in seconds."""
        return self.start_s + self.step_s * self.steps

    def count_steps_until(self, now_s: float) -> int:
        """Return how many steps have ended by a given time.

        :param now_s: the time in seconds.
        """
        if now_s >= self.end_s:
            return self.steps
        # 1e-9 compensates for rounding when a step ends exactly at now_s.
        return min(self.steps, int((now_s - self.start_s) / self.step_s + 1e-9))


@attrs.frozen
class TokenGaps:
    """Times between the tokens of one stream.

    :param largest_s: longest time in seconds.
    :param p95_s: 95th percentile in seconds.
    """

    largest_s: float = 0.0
    p95_s: float = 0.0


class StepLog:
    """Records the durations of recent steps, to compute the times between tokens."""

    def __init__(self) -> None:
        self.steps = 0
        self.runs: deque[tuple[int, float]] = deque(maxlen=MAX_LOGGED_RUNS)

    def add(self, steps: int, step_s: float) -> None:
        """Record steps of equal duration.

        :param steps: number of steps.
        :param step_s: duration of each step in seconds.
        """
        if not self.runs or self.runs[-1][1] != step_s:
            self.runs.append((self.steps, step_s))
        self.steps += steps

    def compute_gaps(self, first_step: int, last_step: int) -> TokenGaps:
        """Compute the times between the tokens of a stream.

        :param first_step: step that produced its first token.
        :param last_step: step that produced its last token.
        """
        count = last_step - first_step
        if count <= 0:
            return TokenGaps()
        durations: list[tuple[float, int]] = []
        end = last_step
        for start, step_s in reversed(self.runs):
            if start >= end:
                continue
            begin = max(start, first_step)
            durations.append((step_s, end - begin))
            end = begin
            if start <= first_step:
                break
        durations.sort(reverse=True)
        excluded = int(count * (1.0 - GAP_QUANTILE))
        for step_s, steps in durations:
            excluded -= steps
            if excluded < 0:
                return TokenGaps(durations[0][0], step_s)
        return TokenGaps(durations[0][0], durations[-1][0])

"""Streams and runs of equal steps of a modelled engine."""

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

    :param request: what to generate.
    :param digest: digest of the prompt.
    :param rank: rank among those that wait: priority, then arrival.
    :param total_tokens: whole length of the answer.
    :param blocks: KV cache blocks reserved.
    :param prefill_tokens_left: prompt tokens still to be computed.
    :param cached_tokens: prompt tokens found in the prefix cache.
    :param first_token_step: step at whose end the first token came.
    :param is_decoding: whether the first token came.
    :param ended: whether the stream ended or was cancelled.
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
        """Request and attempt."""
        return (self.request.request_id, self.request.attempt)

    @property
    def last_step(self) -> int:
        """Step at whose end the last token comes."""
        return self.first_token_step + self.total_tokens - self.request.resume_from - 1


@attrs.define
class StepRun:
    """A number of equal steps.

    :param start_s: start of the first step in seconds.
    :param step_s: seconds of one step.
    :param steps: number of steps.
    :param chunks: prompt tokens that each step computes, by stream.
    """

    start_s: float
    step_s: float
    steps: int
    chunks: list[tuple[Stream, int]]

    @property
    def end_s(self) -> float:
        """Instant at which the last step ends."""
        return self.start_s + self.step_s * self.steps

    def count_steps_until(self, now_s: float) -> int:
        """Return how many steps have ended at an instant.

        :param now_s: the instant in seconds.
        """
        if now_s >= self.end_s:
            return self.steps
        return min(self.steps, int((now_s - self.start_s) / self.step_s + 1e-9))


@attrs.frozen
class TokenGaps:
    """Seconds between the tokens of one stream.

    :param largest_s: the largest.
    :param p95_s: their 95th percentile.
    """

    largest_s: float = 0.0
    p95_s: float = 0.0


class StepLog:
    """Durations of recent steps, for the gaps between tokens."""

    def __init__(self) -> None:
        self.steps = 0
        self.runs: deque[tuple[int, float]] = deque(maxlen=MAX_LOGGED_RUNS)

    def add(self, steps: int, step_s: float) -> None:
        """Count steps of equal duration.

        :param steps: number of steps.
        :param step_s: seconds of each.
        """
        if not self.runs or self.runs[-1][1] != step_s:
            self.runs.append((self.steps, step_s))
        self.steps += steps

    def compute_gaps(self, first_step: int, last_step: int) -> TokenGaps:
        """Return the gaps of a stream that decoded in some steps.

        :param first_step: step at whose end its first token came.
        :param last_step: step at whose end its last token came.
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
        above = int(count * (1.0 - GAP_QUANTILE))
        for step_s, times in durations:
            above -= times
            if above < 0:
                return TokenGaps(durations[0][0], step_s)
        return TokenGaps(durations[0][0], durations[-1][0])

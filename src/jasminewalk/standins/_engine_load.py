"""Load of a simulated engine, reported with a lag."""

from collections import deque

import attrs

from jasminewalk.generated_requests import EngineState
from jasminewalk.generated_standins import EngineModelSettings
from jasminewalk.standins._engine_batch import Batch
from jasminewalk.standins._engine_steps import Stream

__all__ = ["LoadHistory", "LoadSample"]

MAX_SAMPLES = 64
SAMPLES_PER_LAG = 4


@attrs.frozen
class LoadSample:
    """Load at one time.

    :param at_s: time of the sample in seconds.
    :param state: the load.
    """

    at_s: float
    state: EngineState


class LoadHistory:
    """Keeps samples of the load, and returns the one that is as old as the lag.

    :param settings: limits and report lag of the engine.
    :param batch: streams of the engine.
    """

    def __init__(self, settings: EngineModelSettings, batch: Batch) -> None:
        self.settings = settings
        self.batch = batch
        self.samples: deque[LoadSample] = deque(maxlen=MAX_SAMPLES)

    def get_sample(self, now_s: float) -> LoadSample:
        """Return the newest sample at least as old as the lag, or else the oldest one.

        :param now_s: current time in seconds.
        """
        lag_s = self.settings.report_lag_s
        last_sample_s = self.samples[-1].at_s if self.samples else float("-inf")
        if now_s - last_sample_s >= lag_s / SAMPLES_PER_LAG:
            self.samples.append(LoadSample(now_s, self.compute_load()))
        while len(self.samples) > 1 and self.samples[1].at_s <= now_s - lag_s:
            self.samples.popleft()
        return self.samples[0]

    def compute_load(self) -> EngineState:
        """Compute the current load, without the list of models."""
        batch = self.batch
        speeds = batch.speeds
        waiting = [item[1] for item in batch.waiting if not item[1].ended]
        prefilling = [item[1] for item in batch.prefilling]
        prefill_tokens_left = sum(stream.prefill_tokens_left for stream in prefilling)
        prefill_tokens_left += sum(stream.request.prompt_tokens for stream in waiting)
        step_s = speeds.compute_decode_s(max(1, len(batch.decoding)))
        return EngineState(
            role=speeds.role,
            models=[],
            queued=len(waiting),
            queued_prefill_tokens=prefill_tokens_left,
            running=len(prefilling) + len(batch.decoding),
            decode_tokens_left=sum(
                map(self.estimate_tokens_left, batch.streams.values())
            ),
            max_batch=self.settings.max_batch,
            prefill_tokens_per_s=speeds.prefill_tokens_per_s,
            decode_tokens_per_s=1.0 / step_s,
            kv_used=batch.cache.reserved_blocks / self.settings.cache_blocks,
        )

    def estimate_tokens_left(self, stream: Stream) -> int:
        """Estimate how many more output tokens a stream will produce, at least 1.

        :param stream: the stream.
        """
        request = stream.request
        expected_tokens = request.expected_tokens or request.max_tokens
        produced_tokens = request.resume_from
        if stream.is_decoding:
            produced_tokens += self.batch.step_log.steps - stream.first_token_step + 1
        return max(1, expected_tokens - produced_tokens)

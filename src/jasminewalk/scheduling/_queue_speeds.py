"""Speeds of an engine under its current mix of requests, learned by its sidecar."""

import math

import attrs

__all__ = ["DecayingRate", "QueueSpeeds"]

RATE_WINDOW_S = 10.0
PRIOR_WEIGHT_S = 0.5


@attrs.define
class DecayingRate:
    """Amount of work per busy second, with exponentially decaying observations.

    :param amount: decayed amount of work.
    :param busy_s: decayed busy seconds.
    :param updated_s: time of the newest observation in seconds.
    """

    amount: float = 0.0
    busy_s: float = 0.0
    updated_s: float = -math.inf

    def observe(self, now_s: float, amount: float, busy_s: float) -> None:
        """Add an observation.

        :param now_s: current time in seconds.
        :param amount: amount of work done.
        :param busy_s: seconds that the work took.
        """
        decay = math.exp(-(now_s - self.updated_s) / RATE_WINDOW_S)
        self.amount = self.amount * decay + amount
        self.busy_s = self.busy_s * decay + busy_s
        self.updated_s = now_s

    def estimate(self, prior: float) -> float:
        """Return the rate, weighted towards a prior while there are few observations.

        :param prior: rate assumed without observations.
        """
        return (self.amount + prior * PRIOR_WEIGHT_S) / (self.busy_s + PRIOR_WEIGHT_S)


class QueueSpeeds:
    """Prefill rate, decode rate and residence time on one engine."""

    def __init__(self) -> None:
        self.prefill = DecayingRate()
        self.decode = DecayingRate()
        self.residence = DecayingRate()
        self.prefill_since_s = -math.inf

    def record_prefill_start(self, now_s: float, *, is_only_prefill: bool) -> None:
        """Record that a prompt was sent to the engine.

        :param now_s: current time in seconds.
        :param is_only_prefill: whether no other prompt is being prefilled.
        """
        if is_only_prefill:
            self.prefill_since_s = now_s

    def record_prefill_end(self, now_s: float, tokens: int) -> None:
        """Record that the prefill of a prompt is done.

        :param now_s: current time in seconds.
        :param tokens: prompt tokens that needed prefill.
        """
        self.prefill.observe(now_s, tokens, max(0.0, now_s - self.prefill_since_s))
        self.prefill_since_s = now_s

    def record_finished(
        self, now_s: float, tokens: int, decode_s: float, residence_s: float
    ) -> None:
        """Record that a request has left the engine.

        :param now_s: current time in seconds.
        :param tokens: number of output tokens.
        :param decode_s: seconds since its first token.
        :param residence_s: seconds since the request was sent to the engine.
        """
        if tokens > 1 and decode_s > 0.0:
            self.decode.observe(now_s, tokens, decode_s)
        # With one unit per request, the rate is the mean residence time.
        self.residence.observe(now_s, residence_s, 1.0)

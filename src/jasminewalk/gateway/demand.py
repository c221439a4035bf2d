"""Demand of callers, in engine time by stage."""

import math

import attrs

__all__ = ["Demand", "DemandMeter"]

# Time constant in seconds of the average. It smooths out brief changes in the mix of
# long and short prompts, because a change of stage makes an engine unavailable for
# seconds.
AVERAGING_TIME_S = 7.0


@attrs.frozen
class Demand:
    """Engine seconds demanded per second, for engines of speed 1.

    :param prefill: work that suits engines in stage prefill: long prompts.
    :param decode: work that needs engines in stage decode.
    """

    prefill: float = 0.0
    decode: float = 0.0

    def __add__(self, other: "Demand") -> "Demand":
        """Return the sum of two demands."""
        return Demand(self.prefill + other.prefill, self.decode + other.decode)


@attrs.define
class DemandMeter:
    """Exponentially weighted average of the demand at one gateway.

    >>> meter = DemandMeter()
    >>> for step in range(10_000):
    ...     meter.record(step / 100, prefill_s=0.01, decode_s=0.02)
    >>> demand = meter.compute_rate(100.0)
    >>> round(demand.prefill, 1), round(demand.decode, 1)
    (1.0, 2.0)
    """

    updated_at: float = 0.0
    prefill: float = 0.0
    decode: float = 0.0

    def record(self, now: float, *, prefill_s: float, decode_s: float) -> None:
        """Count one request, whether or not it is admitted.

        :param now: current monotonic time in seconds.
        :param prefill_s: seconds on an engine of speed 1 in stage prefill.
        :param decode_s: seconds on an engine of speed 1 in stage decode.
        """
        self._decay(now)
        self.prefill += prefill_s / AVERAGING_TIME_S
        self.decode += decode_s / AVERAGING_TIME_S

    def compute_rate(self, now: float) -> Demand:
        """Return the average demand up to now.

        :param now: current monotonic time in seconds.
        """
        self._decay(now)
        return Demand(self.prefill, self.decode)

    def _decay(self, now: float) -> None:
        decay = math.exp(-max(0.0, now - self.updated_at) / AVERAGING_TIME_S)
        self.prefill *= decay
        self.decode *= decay
        self.updated_at = now

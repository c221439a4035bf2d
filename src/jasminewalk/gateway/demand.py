"""Rate of the work that callers ask for, by the stage that does it best."""

import math

import attrs

__all__ = ["Demand", "DemandMeter"]

# Seconds over which demand is averaged: longer than the short swings of the mix, as a
# change of stage takes an engine away for seconds.
AVERAGING_TIME_S = 7.0


@attrs.frozen
class Demand:
    """Engine time asked for in a second, for engines of speed 1.

    :param prefill: seconds of reading that engines in stage prefill do best.
    :param decode: seconds of work that only engines in stage decode do.
    """

    prefill: float = 0.0
    decode: float = 0.0

    def __add__(self, other: "Demand") -> "Demand":
        """Return the demand of both."""
        return Demand(self.prefill + other.prefill, self.decode + other.decode)


@attrs.define
class DemandMeter:
    """Averages the demand that one gateway sees, with exponential weights.

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
        """Count one request, also if it is refused.

        :param now: current instant in seconds.
        :param prefill_s: seconds for an engine in stage prefill.
        :param decode_s: seconds for an engine in stage decode.
        """
        self._decay(now)
        self.prefill += prefill_s / AVERAGING_TIME_S
        self.decode += decode_s / AVERAGING_TIME_S

    def compute_rate(self, now: float) -> Demand:
        """Return the averaged demand.

        :param now: current instant in seconds.
        """
        self._decay(now)
        return Demand(self.prefill, self.decode)

    def _decay(self, now: float) -> None:
        decay = math.exp(-max(0.0, now - self.updated_at) / AVERAGING_TIME_S)
        self.prefill *= decay
        self.decode *= decay
        self.updated_at = now

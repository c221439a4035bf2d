"""Rate of the work that callers ask for, by the stage that does it best."""

import math

import attrs

__all__ = ["Demand", "DemandMeter"]

# Seconds over which demand is averaged: longer than the short swings of the mix, as a
# change of stage takes an engine away for seconds.
AVERAGED_S = 7.0


@attrs.frozen
class Demand:
    """Engine time asked for in a second, for engines of speed 1.

    :param reading: seconds of reading that engines in stage prefill do best.
    :param answering: seconds of work that only engines in stage decode do.
    """

    reading: float = 0.0
    answering: float = 0.0

    def __add__(self, other: "Demand") -> "Demand":
        """Return the demand of both."""
        return Demand(self.reading + other.reading, self.answering + other.answering)


@attrs.define
class DemandMeter:
    """Averages the demand that one gateway sees, with exponential weights.

    >>> meter = DemandMeter()
    >>> for step in range(10_000):
    ...     meter.count(step / 100, reading_s=0.01, answering_s=0.02)
    >>> round(meter.rate(100.0).reading, 1), round(meter.rate(100.0).answering, 1)
    (1.0, 2.0)
    """

    updated_at: float = 0.0
    reading: float = 0.0
    answering: float = 0.0

    def count(self, now: float, *, reading_s: float, answering_s: float) -> None:
        """Count one request, also if it is refused.

        :param now: current instant in seconds.
        :param reading_s: seconds for an engine in stage prefill.
        :param answering_s: seconds for an engine in stage decode.
        """
        self._decay(now)
        self.reading += reading_s / AVERAGED_S
        self.answering += answering_s / AVERAGED_S

    def rate(self, now: float) -> Demand:
        """Return the averaged demand.

        :param now: current instant in seconds.
        """
        self._decay(now)
        return Demand(self.reading, self.answering)

    def _decay(self, now: float) -> None:
        kept = math.exp(-max(0.0, now - self.updated_at) / AVERAGED_S)
        self.reading *= kept
        self.answering *= kept
        self.updated_at = now

"""Time of day that does not follow short jumps of the system's clock."""

from collections import deque
from collections.abc import Callable
from statistics import median

__all__ = ["SteadyWallClock"]

# Seconds between two samples, and number of samples of which the median is used. A
# jump counts once it has lasted for half of them.
SAMPLE_INTERVAL_S = 1.0
MAX_SAMPLES = 121


class SteadyWallClock:
    """Adds the median difference of two clocks to the one that never jumps.

    :param boot_clock: returns seconds that include time in suspend and never jump.
    :param wall_clock: returns the Unix time in seconds, which may jump.
    """

    def __init__(
        self, boot_clock: Callable[[], float], wall_clock: Callable[[], float]
    ) -> None:
        self.boot_clock = boot_clock
        self.wall_clock = wall_clock
        self.differences: deque[float] = deque(maxlen=MAX_SAMPLES)
        self.difference = 0.0
        self.sampled_at = float("-inf")

    def __call__(self) -> float:
        """Return the Unix time in seconds."""
        now = self.boot_clock()
        if now - self.sampled_at >= SAMPLE_INTERVAL_S:
            self.sampled_at = now
            self.differences.append(self.wall_clock() - now)
            self.difference = median(self.differences)
        return now + self.difference

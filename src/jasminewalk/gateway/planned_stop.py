"""Which requests a gateway that was told to end still takes."""

from collections.abc import Callable

__all__ = ["PlannedStop"]

# The drain ends this many seconds before the grace period, so that the process exits
# before SIGKILL.
GRACE_MARGIN_S = 0.7


class PlannedStop:
    """Compares the deadlines of requests with the end of this process.

    A request that may still run when the process ends would be cut off. Its caller is
    better served by another gateway, at once.

    :param clock: returns the monotonic time in seconds.

    Its ``ends_at`` is the monotonic time at which the drain ends; infinite before it
    begins.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.ends_at = float("inf")

    def begin(self, grace_s: float) -> None:
        """Record that the process was told to end.

        :param grace_s: seconds until it is killed.
        """
        self.ends_at = self.clock() + grace_s - GRACE_MARGIN_S

    @property
    def is_over(self) -> bool:
        """Whether the time to drain is used up."""
        return self.clock() >= self.ends_at

    def may_cut(self, deadline: float) -> bool:
        """Return whether a request may still run when the process ends.

        :param deadline: monotonic time by which the request ends.
        """
        return deadline > self.ends_at

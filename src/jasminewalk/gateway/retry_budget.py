"""Budget of repeated arrivals, kept by each gateway for its share."""

from collections import deque

import attrs

__all__ = ["RetryBudget"]

# Part of the allowance that is used; the rest covers requests counted late.
USABLE_SHARE = 0.7


@attrs.define
class RetryBudget:
    """Allows retries of a service's requests within a sliding window.

    Each gateway spends at most the ratio of its own requests and an equal share of the
    slack, so that all together stay within the bound without telling each other.

    >>> budget = RetryBudget(ratio=0.2, window_s=10.0, slack=10.0)
    >>> budget.take(0.0, gateways=1)
    True

    :param ratio: retries allowed per request.
    :param window_s: window in seconds.
    :param slack: retries allowed in a window besides the ratio, for all gateways.
    """

    ratio: float
    window_s: float
    slack: float
    requests: deque[float] = attrs.field(factory=deque)
    retries: deque[float] = attrs.field(factory=deque)

    def record_request(self, now: float) -> None:
        """Count a request of a caller.

        :param now: current instant in seconds.
        """
        self.requests.append(now)
        self._expire(now)

    def take(self, now: float, gateways: int) -> bool:
        """Use one repeat if the budget allows it.

        :param now: current instant in seconds.
        :param gateways: gateways that share the slack; at least 1.
        """
        self._expire(now)
        allowed = self.ratio * len(self.requests) + self.slack / max(1, gateways)
        if len(self.retries) + 1 > USABLE_SHARE * allowed:
            return False
        self.retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self.window_s
        for times in (self.requests, self.retries):
            while times and times[0] < oldest:
                times.popleft()

"""Retry budget of a service, of which each gateway spends its own share."""

from collections import deque

import attrs

__all__ = ["RetryBudget"]

# Share of the allowance that is spent. The rest is a margin for requests that are
# counted late.
USABLE_SHARE = 0.7


@attrs.define
class RetryBudget:
    """Allows retries of a service's requests within a sliding window.

    Each gateway spends at most the ratio of its own requests and an equal share of the
    slack, so all gateways together stay within the bound without coordination.

    >>> budget = RetryBudget(ratio=0.2, window_s=10.0, slack=10.0)
    >>> budget.try_take(0.0, gateways=1)
    True

    :param ratio: retries allowed per request.
    :param window_s: length of the window in seconds.
    :param slack: retries allowed in a window in addition to the ratio, for all gateways
        together.
    :param requests: times of the requests in the window.
    :param retries: times of the retries in the window.
    """

    ratio: float
    window_s: float
    slack: float
    requests: deque[float] = attrs.field(factory=deque)
    retries: deque[float] = attrs.field(factory=deque)

    def record_request(self, now: float) -> None:
        """Count a request of a caller.

        :param now: monotonic time in seconds.
        """
        self.requests.append(now)
        self._remove_expired(now)

    def try_take(self, now: float, gateways: int) -> bool:
        """Take one retry from the budget; return False if the budget is exhausted.

        :param now: monotonic time in seconds.
        :param gateways: number of gateways that share the slack; 0 if it is not known
            yet, which leaves no slack.
        """
        self._remove_expired(now)
        slack = self.slack / gateways if gateways else 0.0
        allowed = self.ratio * len(self.requests) + slack
        if len(self.retries) + 1 > USABLE_SHARE * allowed:
            return False
        self.retries.append(now)
        return True

    def _remove_expired(self, now: float) -> None:
        oldest = now - self.window_s
        for times in (self.requests, self.retries):
            while times and times[0] < oldest:
                times.popleft()

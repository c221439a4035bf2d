"""Requests that wait at a gateway until an endpoint of their service takes them.

The load it answers: more requests than all endpoints of a service take well, for a
moment or for long. What would wait too long is refused at once.
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from typing import TypeVar

import attrs

__all__ = ["WaitingLine"]

# Seconds over which the rate at which requests leave the line is measured.
RATE_WINDOW_S = 1.0
# Requests that wait at most; each holds its caller's connection.
MAX_WAITING = 256
# Seconds between two looks of the first in line.
INTERVAL_S = 0.01

Found = TypeVar("Found")


@attrs.define
class WaitingLine:
    """Line of one service at one gateway; the first in line goes first.

    :param waiting: requests that wait.
    :param left_times: monotonic times at which requests were last let through.
    :param turn: held by the first in line.
    """

    waiting: int = 0
    left_times: deque[float] = attrs.field(factory=lambda: deque(maxlen=512))
    turn: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    def predict_wait_s(self, now: float) -> float:
        """Return the seconds that a request which joins now would wait.

        :param now: current monotonic time in seconds.
        """
        if self.waiting >= MAX_WAITING:
            return math.inf
        if not self.waiting:
            return 0.0
        recent = sum(now - left_at <= RATE_WINDOW_S for left_at in self.left_times)
        return self.waiting * RATE_WINDOW_S / max(1, recent)

    def record_left(self, now: float) -> None:
        """Count a request that an endpoint takes.

        :param now: current monotonic time in seconds.
        """
        self.left_times.append(now)

    async def wait_for(
        self, find: Callable[[], Found | None], timeout_s: float
    ) -> Found | None:
        """Wait to be first in line, and then for an endpoint; None after the timeout.

        :param find: returns an endpoint that takes a request; None if none does.
        :param timeout_s: longest time in seconds.
        """
        self.waiting += 1
        try:
            async with asyncio.timeout(timeout_s), self.turn:
                while (found := find()) is None:
                    await asyncio.sleep(INTERVAL_S)
                return found
        except TimeoutError:
            return None
        finally:
            self.waiting -= 1

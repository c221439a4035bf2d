"""Clocks, which are passed as arguments so that time can be controlled."""

import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime, timedelta

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(ABC):
    """Source of time.

    Monotonic times are in seconds, as with ``time.monotonic``; only the difference
    between two of them is meaningful.
    """

    @abstractmethod
    def monotonic(self) -> float:
        """Return the current monotonic time in seconds, which never decreases."""

    @abstractmethod
    def utcnow(self) -> datetime:
        """Return the current date and time in UTC, for display."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return the current monotonic time in seconds, which never decreases."""
        return time.monotonic()

    def utcnow(self) -> datetime:
        """Return the current date and time in UTC, for display."""
        return datetime.now(UTC)


class ManualClock(Clock):
    """Clock that advances only when ``advance`` is called.

    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.monotonic()
    1.5

    :param start_s: initial monotonic time in seconds.
    """

    def __init__(self, start_s: float = 0.0) -> None:
        self.now_s = start_s
        self.epoch = datetime(2026, 1, 1, tzinfo=UTC)

    def monotonic(self) -> float:
        """Return the current monotonic time in seconds, which never decreases."""
        return self.now_s

    def utcnow(self) -> datetime:
        """Return the current date and time in UTC, for display."""
        return self.epoch + timedelta(seconds=self.now_s)

    def advance(self, seconds: float) -> None:
        """Advance the clock.

        :param seconds: duration in seconds; a negative one is taken as 0.
        """
        self.now_s += max(0.0, seconds)

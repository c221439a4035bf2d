"""Clocks, passed in wherever time matters."""

import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime, timedelta

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(ABC):
    """Source of time.

    Instants are seconds as ``time.monotonic`` gives them; only differences have
    a meaning.
    """

    @abstractmethod
    def monotonic(self) -> float:
        """Return the current instant in seconds; it never goes back."""

    @abstractmethod
    def utcnow(self) -> datetime:
        """Return the current date and time in UTC, for people to read."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return the current instant in seconds; it never goes back."""
        return time.monotonic()

    def utcnow(self) -> datetime:
        """Return the current date and time in UTC, for people to read."""
        return datetime.now(UTC)


class ManualClock(Clock):
    """Clock that moves only when told to.

    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.monotonic()
    1.5

    :param start_s: first instant in seconds.
    """

    def __init__(self, start_s: float = 0.0) -> None:
        self.now_s = start_s
        self.epoch = datetime(2026, 1, 1, tzinfo=UTC)

    def monotonic(self) -> float:
        """Return the current instant in seconds; it never goes back."""
        return self.now_s

    def utcnow(self) -> datetime:
        """Return the current date and time in UTC, for people to read."""
        return self.epoch + timedelta(seconds=self.now_s)

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: how far; not negative.
        """
        self.now_s += max(0.0, seconds)

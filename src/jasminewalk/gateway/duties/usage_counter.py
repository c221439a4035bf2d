"""Count of the requests that engines began, by organisation and wall-clock window."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

__all__ = ["KEPT_WINDOWS", "UsageCounter"]

# Windows that are remembered; older ones are reported, or too late to be.
KEPT_WINDOWS = 12
# Seconds after its end for which a window waits for requests of which it is not known
# yet whether an engine began them.
MAX_PENDING_S = 3.5
# Seconds after its end up to which first events that were made in it may arrive.
ARRIVAL_S = 0.4


class UsageCounter:
    """Counts each request once, in the window in which an engine began it.

    :param window_s: length of a window in seconds; 0 counts nothing.
    :param clock: returns the monotonic time in seconds.
    :param wall_clock: returns the Unix time in seconds.
    """

    def __init__(
        self,
        window_s: float,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self.window_s = window_s
        self.clock = clock
        self.wall_clock = wall_clock
        self.windows: dict[int, dict[str, int]] = {}
        self.pending: dict[int, int] = {}

    def record(self, began_s: float, name: str) -> None:
        """Count a request.

        :param began_s: monotonic time in seconds at which an engine began it.
        :param name: name of its organisation; empty if it has none.
        """
        if not self.window_s or not name:
            return
        counts = self.windows.setdefault(self.find_window(began_s), {})
        counts[name] = counts.get(name, 0) + 1

    @contextmanager
    def track(self, sent_s: float) -> Iterator[None]:
        """Keep a window open while it is not known whether a request belongs to it.

        :param sent_s: monotonic time in seconds at which the request was sent.
        """
        if not self.window_s:
            yield
            return
        window = self.find_window(sent_s)
        self.pending[window] = self.pending.get(window, 0) + 1
        try:
            yield
        finally:
            self.pending[window] -= 1
            if not self.pending[window]:
                del self.pending[window]

    def find_window(self, at_s: float) -> int:
        """Return the number of the window at a time.

        :param at_s: monotonic time in seconds.
        """
        age_s = self.clock() - at_s
        return int((self.wall_clock() - age_s) // self.window_s)

    def compute_since_end_s(self, window: int) -> float:
        """Return the seconds since a window ended; negative while it lasts.

        :param window: number of the window.
        """
        return self.wall_clock() - (window + 1) * self.window_s

    def is_final(self, window: int) -> bool:
        """Return whether nothing more will be counted in a window.

        :param window: number of the window.
        """
        since_end_s = self.compute_since_end_s(window)
        if since_end_s < ARRIVAL_S:
            return False
        return since_end_s >= MAX_PENDING_S or not any(
            pending <= window for pending in self.pending
        )

    def list_windows(self) -> list[int]:
        """Return the numbers of the windows that matter still, and forget the others.

        The present one comes last.
        """
        current = self.find_window(self.clock())
        for window in [
            window for window in self.windows if window <= current - KEPT_WINDOWS
        ]:
            del self.windows[window]
        return list(range(current - KEPT_WINDOWS + 1, current + 1))

"""Decide what usage is reported, so that no two reports of a window ever differ.

The load it answers: a window every few seconds, gateways that die, freeze, or hold the
duty in turn, and a store or platform that is away, slow, or loses answers.
"""

import attrs

from jasminewalk.gateway.duties.usage_counter import UsageCounter
from jasminewalk.gateway.duties.usage_ledger import UsageLedger

__all__ = ["Proposal", "UsageReports"]

# Seconds after the end of a window from which it is reported though a live gateway has
# not said all it counted, as a share of the time in which the report is due.
PATIENCE_SHARE = 0.4
# Seconds for which a report is repeated that the platform has not acknowledged, after
# it was due. An exact repeat does no harm.
REPEAT_S = 30.0


@attrs.frozen
class Proposal:
    """Counts of one window, as one gateway would report them.

    :param window: number of the window.
    :param counts: requests by the name of the organisation.
    """

    window: int
    counts: dict[str, int]


class UsageReports:
    """Decides which windows to propose to the store, and which to report.

    A report must be repeated exactly, by whichever gateway. So its counts go to the
    store's log first, and the first record of a window holds; whoever has the duty
    reports what that says and nothing else.

    :param counter: counts of this gateway, and the windows.
    :param ledger: counts of all gateways.
    :param late_s: seconds after the end of a window in which its report is due.
    """

    def __init__(
        self, counter: UsageCounter, ledger: UsageLedger, late_s: float
    ) -> None:
        self.counter = counter
        self.ledger = ledger
        self.late_s = late_s
        self.first_window: int | None = None
        self.not_before = 0
        self.decided: dict[int, dict[str, int]] = {}
        self.proposed: dict[int, dict[str, int]] = {}
        self.acknowledged: set[int] = set()

    def start(self) -> None:
        """Leave out the windows that were over before this process started."""
        if self.first_window is None and self.counter.window_s:
            self.first_window = self.counter.list_windows()[-1]

    def distrust_log(self) -> None:
        """Treat what the log lacks as unknown, as the store came back from a copy.

        Counts that were decided before may be lost from it, and may have been reported.
        So windows that are over, and that this gateway did not see decided, are left
        out: a missing report is better than a second one that differs.
        """
        if self.counter.window_s:
            self.not_before = self.counter.list_windows()[-1]
            self.proposed.clear()

    def propose(self, nodes: dict[str, int]) -> Proposal | None:
        """Return the next window whose counts are to be written to the log, if any.

        What was proposed before is proposed again unchanged, as it may still arrive.

        :param nodes: start of each live gateway in Unix milliseconds, by its name.
        """
        self.start()
        for window in self.counter.list_windows()[:-1]:
            if window in self.decided or not self._is_due(window, nodes):
                continue
            counts = self.proposed.get(window)
            if counts is None:
                if self.first_window is None or window < self._get_first_unreported():
                    continue
                counts = self.proposed[window] = self.ledger.add_up(window)
            return Proposal(window, counts)
        return None

    def _is_due(self, window: int, nodes: dict[str, int]) -> bool:
        since_end_s = self.counter.compute_since_end_s(window)
        if since_end_s > self.late_s + REPEAT_S:
            return False
        return since_end_s >= PATIENCE_SHARE * self.late_s or (
            self.counter.is_final(window) and self.ledger.is_complete(window, nodes)
        )

    def _get_first_unreported(self) -> int:
        """Return the first window that this process may propose.

        If others reported windows before it started, it goes on behind the last.
        """
        first = self.first_window or 0
        if self.decided:
            first = min(first, max(self.decided) + 1)
        return max(first, self.not_before)

    def apply_decided(self, window: int, counts: dict[str, int]) -> bool:
        """Apply a record of the log; return whether it is the first of its window.

        :param window: number of the window.
        :param counts: counts that the record gives.
        """
        if window in self.decided:
            return False
        self.decided[window] = counts
        oldest = self.counter.list_windows()[0] - 1
        for known in [known for known in self.decided if known < oldest]:
            del self.decided[known]
            self.proposed.pop(known, None)
            self.acknowledged.discard(known)
        return True

    def list_unsent(self) -> list[Proposal]:
        """Return the decided windows whose report is not acknowledged yet."""
        return [
            Proposal(window, counts)
            for window, counts in sorted(self.decided.items())
            if window not in self.acknowledged
            and self.counter.compute_since_end_s(window) <= self.late_s + REPEAT_S
        ]

    def record_acknowledged(self, window: int) -> None:
        """Record that the platform has the report of a window.

        :param window: number of the window.
        """
        self.acknowledged.add(window)

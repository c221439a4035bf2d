"""Keeps a fold up to date with the platform's log."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

import anyio
from absl import logging

from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.fold_events import FoldEvent
from jasminewalk.clock import Clock
from jasminewalk.exceptions import LogUnavailableError
from jasminewalk.generated_settings import LogSettings
from jasminewalk.interfaces import Log, LogEntry, LogPage

__all__ = ["FoldListener", "LogFollower"]

PAGE_RECORDS = 1000


class FoldListener(ABC):
    """Receiver of what new log records change."""

    @abstractmethod
    def on_fold_event(self, event: FoldEvent) -> None:
        """Take one event.

        :param event: what a record changed.
        """

    @abstractmethod
    def on_records(self, first_offset: int, entries: Sequence[LogEntry]) -> None:
        """Take the records that were just folded, in log order.

        :param first_offset: offset of the first record.
        :param entries: the records.
        """


class LogFollower:
    """Reads the log, or takes records that a peer passes on, into one fold.

    :param log: the platform's log.
    :param fold: the state that the records add up to.
    :param settings: settings of the log.
    :param clock: source of time.
    :param listener: receiver of events.
    :param feed_fresh_s: seconds for which a feed from a peer replaces polling.
    """

    def __init__(
        self,
        *,
        log: Log,
        fold: LogFold,
        settings: LogSettings,
        clock: Clock,
        listener: FoldListener,
        feed_fresh_s: float = 0.0,
    ) -> None:
        self.log = log
        self.fold = fold
        self.settings = settings
        self.clock = clock
        self.listener = listener
        self.feed_fresh_s = feed_fresh_s
        self.fed_s = float("-inf")
        self.read_s = float("-inf")
        self.tail = 0
        self.failing = False
        self.ready = anyio.Event()
        self.wanted = anyio.Event()

    @property
    def reachable(self) -> bool:
        """Whether the last read of the log succeeded."""
        return self.read_s > float("-inf") and not self.failing

    def want_records(self) -> None:
        """Read the log now, even while a feed is fresh."""
        self.wanted.set()

    def feed(self, first_offset: int, records: Sequence[bytes], tail: int) -> None:
        """Take records that a peer passes on; a run with a gap is ignored.

        :param first_offset: offset of the first record.
        :param records: encoded records in log order.
        :param tail: offset one past the last record that the peer knows.
        """
        if first_offset > self.fold.next_offset or not self.ready.is_set():
            return
        entries = [
            LogEntry(first_offset + index, data) for index, data in enumerate(records)
        ]
        self.apply([e for e in entries if e.offset >= self.fold.next_offset])
        if self.fold.next_offset >= tail:
            self.fed_s = self.clock.monotonic()

    def apply(self, entries: Sequence[LogEntry]) -> None:
        """Fold records and pass on what they change.

        A rebuilt fold continues after its snapshot, so the rest is read again.

        :param entries: records in log order from the fold's next offset on.
        """
        if not entries:
            return
        events: list[FoldEvent] = []
        for entry in entries:
            events.extend(self.fold.apply(entry))
            if self.fold.next_offset <= entry.offset:
                break
        self.listener.on_records(entries[0].offset, entries)
        for event in events:
            self.listener.on_fold_event(event)

    def take_page(self, page: LogPage) -> None:
        """Fold a page that was read from the log.

        :param page: the page.
        """
        self.read_s = self.clock.monotonic()
        self.tail = max(self.tail, page.tail)
        self.fold.observe_first_retained(page.first)
        self.apply([e for e in page.entries if e.offset >= self.fold.next_offset])
        if self.fold.observe_tail(page.tail):
            self.ready.set()

    @property
    def read_wait_s(self) -> float:
        """Seconds that the next read waits; the first one asks only for the tail."""
        if self.read_s == float("-inf"):
            return 0.0
        return self.settings.poll_wait_s

    async def run(self) -> None:
        """Follow the log until cancelled."""
        while True:
            await self.wait_for_gap()
            await self.wait_for_turn()
            try:
                page = await self.log.read(
                    self.fold.next_offset, PAGE_RECORDS, self.read_wait_s
                )
            except LogUnavailableError as error:
                self.note_failure(error)
                await anyio.sleep(self.settings.retry_s)
                continue
            self.failing = False
            self.take_page(page)

    def note_failure(self, error: LogUnavailableError) -> None:
        """Log the start of an outage once.

        :param error: what the log's client reported.
        """
        if not self.failing:
            logging.warning("[log] Log unavailable. error=%s", error)
        self.failing = True

    async def wait_for_gap(self) -> None:
        """Let some time pass between two reads, unless records are wanted now."""
        left_s = self.read_s + self.settings.read_gap_s - self.clock.monotonic()
        if left_s > 0 and self.ready.is_set():
            with anyio.move_on_after(left_s):
                await self.wanted.wait()

    async def wait_for_turn(self) -> None:
        """Wait while a fresh feed makes polling unnecessary."""
        while self.ready.is_set() and not self.wanted.is_set():
            left_s = self.fed_s + self.feed_fresh_s - self.clock.monotonic()
            if left_s <= 0:
                break
            with anyio.move_on_after(left_s):
                await self.wanted.wait()
        self.wanted = anyio.Event()

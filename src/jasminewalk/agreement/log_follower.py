"""Keep a fold up to date with the platform's log."""

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
    """Receives new log records and the events that they cause."""

    @abstractmethod
    def on_fold_event(self, event: FoldEvent) -> None:
        """Handle an event.

        :param event: event that resulted from a record.
        """

    @abstractmethod
    def on_records(self, first_offset: int, entries: Sequence[LogEntry]) -> None:
        """Handle records that were just applied.

        :param first_offset: offset of the first record.
        :param entries: the records, in log order.
        """


class LogFollower:
    """Applies records to a fold, either read from the log or fed by a peer.

    Peers that read the log feed its new records to others, which then poll the log
    only when no feed has arrived for a while.

    :param log: the platform's log.
    :param fold: the fold to keep up to date.
    :param settings: settings of the log.
    :param clock: source of time.
    :param listener: receiver of records and events.
    :param feed_lifetime_s: seconds after a feed during which the log is not polled.
    """

    def __init__(
        self,
        *,
        log: Log,
        fold: LogFold,
        settings: LogSettings,
        clock: Clock,
        listener: FoldListener,
        feed_lifetime_s: float = 0.0,
    ) -> None:
        self.log = log
        self.fold = fold
        self.settings = settings
        self.clock = clock
        self.listener = listener
        self.feed_lifetime_s = feed_lifetime_s
        self.last_feed_s = float("-inf")
        self.last_read_s = float("-inf")
        self.tail = 0
        self.failing = False
        self.ready = anyio.Event()
        self.read_requested = anyio.Event()

    @property
    def is_reachable(self) -> bool:
        """Whether the last read of the log succeeded."""
        return self.last_read_s > float("-inf") and not self.failing

    def request_read(self) -> None:
        """Read the log at once, even if a feed arrived recently."""
        self.read_requested.set()

    def apply_feed(
        self, first_offset: int, records: Sequence[bytes], tail: int
    ) -> None:
        """Apply records that a peer feeds.

        A feed that starts after the fold's next offset is ignored, and so is any
        feed before the first read of the log reached its tail.

        :param first_offset: offset of the first record.
        :param records: encoded records in log order.
        :param tail: offset one past the last record that the peer knows.
        """
        if first_offset > self.fold.next_offset or not self.ready.is_set():
            return
        entries = [
            LogEntry(first_offset + index, data) for index, data in enumerate(records)
        ]
        self.apply(
            [entry for entry in entries if entry.offset >= self.fold.next_offset]
        )
        if self.fold.next_offset >= tail:
            self.last_feed_s = self.clock.monotonic()

    def apply(self, entries: Sequence[LogEntry]) -> None:
        """Apply records to the fold and pass them and their events to the listener.

        If the fold was rebuilt from a snapshot, it continues at an earlier offset,
        so the remaining records are read again.

        :param entries: records in log order, starting at the fold's next offset.
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

    def apply_page(self, page: LogPage) -> None:
        """Apply a page that was read from the log.

        :param page: the page.
        """
        self.last_read_s = self.clock.monotonic()
        self.tail = max(self.tail, page.tail)
        self.fold.observe_first_retained(page.first)
        self.apply(
            [entry for entry in page.entries if entry.offset >= self.fold.next_offset]
        )
        if self.fold.observe_tail(page.tail):
            self.ready.set()

    @property
    def read_wait_s(self) -> float:
        """Longest time in seconds that the next read waits for a new record.

        The first read does not wait, because it has to find the log's tail.
        """
        if self.last_read_s == float("-inf"):
            return 0.0
        return self.settings.poll_wait_s

    async def run(self) -> None:
        """Follow the log until cancelled."""
        while True:
            await self.wait_between_reads()
            await self.wait_while_feed_is_current()
            try:
                page = await self.log.read(
                    self.fold.next_offset, PAGE_RECORDS, self.read_wait_s
                )
            except LogUnavailableError as error:
                self.report_failure(error)
                await anyio.sleep(self.settings.retry_s)
                continue
            self.failing = False
            self.apply_page(page)

    def report_failure(self, error: LogUnavailableError) -> None:
        """Log a warning when an outage of the log begins.

        :param error: error of the failed read.
        """
        if not self.failing:
            logging.warning("[log] Log unavailable. error=%s", error)
        self.failing = True

    async def wait_between_reads(self) -> None:
        """Wait for the minimum time between two reads or until a read is requested."""
        remaining_s = (
            self.last_read_s + self.settings.read_gap_s - self.clock.monotonic()
        )
        if remaining_s > 0 and self.ready.is_set():
            with anyio.move_on_after(remaining_s):
                await self.read_requested.wait()

    async def wait_while_feed_is_current(self) -> None:
        """Wait while a recent feed replaces polling and no read is requested."""
        while self.ready.is_set() and not self.read_requested.is_set():
            remaining_s = (
                self.last_feed_s + self.feed_lifetime_s - self.clock.monotonic()
            )
            if remaining_s <= 0:
                break
            with anyio.move_on_after(remaining_s):
                await self.read_requested.wait()
        self.read_requested = anyio.Event()

"""Reading of the log by the commands for operators."""

from collections import deque
from typing import Any

import anyio
import attrs

from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.fold_events import FoldEvent
from jasminewalk.exceptions import BadMessageError, LogUnavailableError
from jasminewalk.interfaces import Log, LogEntry
from jasminewalk.transport.codec import decode_record

__all__ = ["FoldedRecord", "LogReader"]

PAGE_RECORDS = 5000
READ_WAIT_S = 0.2


@attrs.frozen(kw_only=True)
class FoldedRecord:
    """One record with what it changed.

    :param offset: offset of the record.
    :param record: the record, or nothing if it cannot be decoded.
    :param events: what it changed.
    """

    offset: int
    record: Any
    events: list[FoldEvent]


class LogReader:
    """Folds the log page by page.

    :param log: the platform's log.
    """

    def __init__(self, log: Log) -> None:
        self.log = log
        self.fold = LogFold()

    async def read(self, wait_s: float = 0.0) -> list[FoldedRecord]:
        """Read and fold the next page.

        :param wait_s: longest wait for a new record in seconds.
        :raises LogUnavailableError: if the log did not answer.
        """
        page = await self.log.read(self.fold.next_offset, PAGE_RECORDS, wait_s)
        self.fold.observe_first_retained(page.first)
        folded = []
        for entry in page.entries:
            if entry.offset < self.fold.next_offset:
                continue
            folded.append(self.apply(entry))
            if self.fold.next_offset <= entry.offset:
                break
        self.fold.observe_tail(page.tail)
        return folded

    def apply(self, entry: LogEntry) -> FoldedRecord:
        """Fold one entry.

        :param entry: the entry.
        """
        try:
            record = decode_record(entry.data)
        except BadMessageError:
            record = None
        events = self.fold.apply(entry)
        return FoldedRecord(offset=entry.offset, record=record, events=events)

    async def read_to_tail(self, timeout_s: float, keep: int = 0) -> list[FoldedRecord]:
        """Read and fold all records that there are; return the last of them.

        :param timeout_s: longest time in seconds.
        :param keep: most records to return.
        :raises LogUnavailableError: if the log did not answer in time.
        """
        kept: deque[FoldedRecord] = deque(maxlen=keep)
        with anyio.move_on_after(timeout_s):
            kept.extend(await self.read())
            while not self.fold.ready:
                kept.extend(await self.read(READ_WAIT_S))
            return list(kept)
        raise LogUnavailableError(
            f"The log was not read to its end in {timeout_s:g} s."
        )

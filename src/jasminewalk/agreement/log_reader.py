"""Reader of the log for the operator commands."""

from collections import deque
from typing import Any

import anyio
import attrs

from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.fold_events import FoldEvent
from jasminewalk.exceptions import BadMessageError, LogUnavailableError
from jasminewalk.interfaces import Log, LogEntry
from jasminewalk.transport.codec import decode_record

__all__ = ["AppliedRecord", "LogReader"]

PAGE_RECORDS = 5000
READ_WAIT_S = 0.2


@attrs.frozen(kw_only=True)
class AppliedRecord:
    """A record with the events that resulted from it.

    :param offset: offset of the record.
    :param record: the decoded record, or ``None`` if it cannot be decoded.
    :param events: events that resulted from it.
    """

    offset: int
    record: Any
    events: list[FoldEvent]


class LogReader:
    """Reads the log page by page and applies its records to a fold.

    :param log: the platform's log.
    """

    def __init__(self, log: Log) -> None:
        self.log = log
        self.fold = LogFold()

    async def read(self, wait_s: float = 0.0) -> list[AppliedRecord]:
        """Read and apply the next page.

        :param wait_s: maximum seconds to wait for a new record.
        :raises LogUnavailableError: if the log did not respond.
        """
        page = await self.log.read(self.fold.next_offset, PAGE_RECORDS, wait_s)
        self.fold.observe_first_retained(page.first)
        applied = []
        for entry in page.entries:
            if entry.offset < self.fold.next_offset:
                continue
            applied.append(self.apply(entry))
            if self.fold.next_offset <= entry.offset:
                break
        self.fold.observe_tail(page.tail)
        return applied

    def apply(self, entry: LogEntry) -> AppliedRecord:
        """Apply one entry and return it with its events.

        :param entry: the entry.
        """
        try:
            record = decode_record(entry.data)
        except BadMessageError:
            record = None
        events = self.fold.apply(entry)
        return AppliedRecord(offset=entry.offset, record=record, events=events)

    async def read_to_tail(
        self, timeout_s: float, limit: int = 0
    ) -> list[AppliedRecord]:
        """Read and apply all records up to the log's tail and return the latest.

        :param timeout_s: maximum seconds for the whole call.
        :param limit: maximum number of records to return; 0 returns none.
        :raises LogUnavailableError: if the log did not respond, or the tail was not
            reached in time.
        """
        latest: deque[AppliedRecord] = deque(maxlen=limit)
        with anyio.move_on_after(timeout_s):
            latest.extend(await self.read())
            while not self.fold.is_ready:
                latest.extend(await self.read(READ_WAIT_S))
            return list(latest)
        raise LogUnavailableError(
            f"The tail of the log was not reached within {timeout_s:g} s."
        )

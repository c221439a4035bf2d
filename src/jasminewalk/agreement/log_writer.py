"""Appends to the log whose answer may be lost or that may land late."""

import random
from typing import Any, Generic, TypeVar

import attrs

from jasminewalk.transport.codec import encode_record

__all__ = [
    "AppendGivenUp",
    "AppendRecord",
    "GroupCommit",
    "LogWriter",
    "LogWriterSettings",
    "SendAppend",
    "new_record_id",
]

T = TypeVar("T")

RECORD_ID_BITS = 96


def new_record_id(rng: random.Random, owner: str = "") -> str:
    """Return an identifier that no other record has.

    :param rng: random source, seeded by the system outside tests.
    :param owner: identifier of the process, in case others have the same seed.
    """
    return f"{owner}{rng.getrandbits(RECORD_ID_BITS):024x}"


@attrs.frozen(kw_only=True)
class LogWriterSettings:
    """Limits of a writer.

    :param answer_timeout_s: seconds after which an answer counts as lost.
    :param retry_s: seconds before the second try; doubled for each further one.
    :param retry_max_s: longest wait between attempts in seconds.
    :param appends_per_s: most appends a second, attempts included.
    :param burst: most appends at once.
    :param outage_failures: failures in a row that count as an outage.
    """

    answer_timeout_s: float = 2.0
    retry_s: float = 0.2
    retry_max_s: float = 5.0
    appends_per_s: float = 20.0
    burst: int = 20
    outage_failures: int = 2


@attrs.frozen(kw_only=True)
class AppendRecord:
    """A decision's wish to put a record on the log; hand it to ``submit``.

    :param record: object of a class from ``generated_records``.
    :param give_up_s: instant after which the record is no longer wanted.
    """

    record: Any
    give_up_s: float = float("inf")


@attrs.frozen(kw_only=True)
class SendAppend:
    """Append these bytes to the log, then report ``answered`` or ``failed``.

    :param record_id: identifier of the record.
    :param data: encoded record.
    """

    record_id: str
    data: bytes


@attrs.frozen(kw_only=True)
class AppendGivenUp:
    """The writer no longer waits for a record, which may still land.

    :param record_id: identifier of the record.
    :param may_be_on_log: whether any try was sent.
    """

    record_id: str
    may_be_on_log: bool


WriterAction = SendAppend | AppendGivenUp


@attrs.define(kw_only=True)
class _PendingAppend:
    record_id: str
    data: bytes
    give_up_s: float
    next_attempt_s: float
    attempts: int = 0
    offset: int = 0


class LogWriter:
    """Sends records to the log until each was seen on it or is given up.

    A record is sent again with the same bytes; the fold accepts only one copy.
    A record counts as written only when it was read back from the log.

    :param settings: limits of the writer.
    :param rng: random source for jitter.
    """

    def __init__(self, settings: LogWriterSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.pending: dict[str, _PendingAppend] = {}
        self.failures = 0
        self.tokens = float(settings.burst)
        self.last_refill_s = 0.0

    @property
    def in_outage(self) -> bool:
        """Whether the last appends all failed."""
        return self.failures >= self.settings.outage_failures

    def submit(
        self, now_s: float, record: Any, give_up_s: float = float("inf")
    ) -> list[WriterAction]:
        """Take a record to append.

        :param now_s: current instant in seconds.
        :param record: object of a class from ``generated_records``.
        :param give_up_s: instant after which it is no longer wanted.
        """
        self.pending[record.record_id] = _PendingAppend(
            record_id=record.record_id,
            data=encode_record(record),
            give_up_s=give_up_s,
            next_attempt_s=now_s,
        )
        return self.tick(now_s)

    def record_answer(self, record_id: str, offset: int) -> None:
        """Note that the log answered; the record is awaited, not sent again.

        :param record_id: identifier of the record.
        :param offset: offset at which the log put it.
        """
        self.failures = 0
        pending = self.pending.get(record_id)
        if pending is not None:
            pending.offset = offset

    def record_failure(self, now_s: float, record_id: str) -> None:
        """Note that no answer came; the record may be on the log.

        :param now_s: current instant in seconds.
        :param record_id: identifier of the record.
        """
        self.failures += 1
        pending = self.pending.get(record_id)
        if pending is not None:
            pending.next_attempt_s = now_s + self.draw_backoff_s(pending.attempts)

    def record_read_back(self, record_id: str) -> None:
        """Note that the record was read back from the log.

        :param record_id: identifier of the record.
        """
        if self.pending.pop(record_id, None) is not None:
            self.failures = 0

    def discard_applied(self, next_offset: int) -> None:
        """Forget the answered records that the fold has passed.

        :param next_offset: next offset of the fold.
        """
        for pending in list(self.pending.values()):
            if 0 < pending.offset < next_offset:
                del self.pending[pending.record_id]

    def tick(self, now_s: float) -> list[WriterAction]:
        """Return what is due: attempts to send and records to give up.

        :param now_s: current instant in seconds.
        """
        self.refill_tokens(now_s)
        actions: list[WriterAction] = []
        for pending in list(self.pending.values()):
            if now_s >= pending.give_up_s:
                del self.pending[pending.record_id]
                actions.append(build_give_up(pending))
            elif self.is_due(now_s, pending) and self.tokens >= 1.0:
                self.tokens -= 1.0
                actions.append(self.start_attempt(now_s, pending))
        return actions

    def is_due(self, now_s: float, pending: _PendingAppend) -> bool:
        """Return whether a record is to be sent now.

        :param now_s: current instant in seconds.
        :param pending: the record.
        """
        return not pending.offset and now_s >= pending.next_attempt_s

    def start_attempt(self, now_s: float, pending: _PendingAppend) -> SendAppend:
        """Note a try and return it.

        :param now_s: current instant in seconds.
        :param pending: the record.
        """
        pending.attempts += 1
        pending.next_attempt_s = now_s + self.settings.answer_timeout_s
        return SendAppend(record_id=pending.record_id, data=pending.data)

    def refill_tokens(self, now_s: float) -> None:
        """Add the appends that the time since the last call allows.

        :param now_s: current instant in seconds.
        """
        added_tokens = (now_s - self.last_refill_s) * self.settings.appends_per_s
        self.tokens = min(float(self.settings.burst), self.tokens + added_tokens)
        self.last_refill_s = now_s

    def draw_backoff_s(self, attempts: int) -> float:
        """Return the wait before the next try, with jitter.

        :param attempts: attempts so far.
        """
        max_backoff_s = min(
            self.settings.retry_max_s,
            self.settings.retry_s * 2 ** min(attempts - 1, 16),
        )
        return max_backoff_s * self.rng.uniform(0.5, 1.0)

    def next_wake_s(self) -> float:
        """Return the instant at which ``tick`` has something to do."""
        due_times_s = [
            pending.give_up_s
            if pending.offset
            else min(pending.next_attempt_s, pending.give_up_s)
            for pending in self.pending.values()
        ]
        return min(due_times_s, default=float("inf"))


def build_give_up(pending: _PendingAppend) -> AppendGivenUp:
    """Return the action for a record that is no longer wanted.

    :param pending: the record.
    """
    return AppendGivenUp(
        record_id=pending.record_id, may_be_on_log=pending.attempts > 0
    )


class GroupCommit(Generic[T]):
    """Collects items that are appended together.

    :param wait_s: seconds the first item waits for others.
    :param max_items: most items of one record.
    :param interval_s: least seconds between records that are not full.
    """

    def __init__(self, wait_s: float, max_items: int, interval_s: float = 0.0) -> None:
        self.wait_s = wait_s
        self.max_items = max_items
        self.interval_s = interval_s
        self.items: list[T] = []
        self.due_s = float("inf")
        self.earliest_s = float("-inf")

    def add(self, now_s: float, item: T) -> None:
        """Add an item.

        :param now_s: current instant in seconds.
        :param item: the item.
        """
        self.items.append(item)
        self.due_s = min(self.due_s, max(now_s + self.wait_s, self.earliest_s))

    def take(self, now_s: float) -> list[T]:
        """Return the items that are due, oldest first, or none.

        :param now_s: current instant in seconds.
        """
        if now_s < self.due_s and len(self.items) < self.max_items:
            return []
        taken = self.items[: self.max_items]
        self.items = self.items[self.max_items :]
        self.earliest_s = now_s + self.interval_s
        self.due_s = self.earliest_s if self.items else float("inf")
        return taken

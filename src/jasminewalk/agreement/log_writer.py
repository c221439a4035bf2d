"""Appends to a log that may lose responses or store a record late."""

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
    "generate_record_id",
]

T = TypeVar("T")

RECORD_ID_BITS = 96


def generate_record_id(rng: random.Random, owner: str = "") -> str:
    """Return an identifier that no other record has.

    :param rng: random source, seeded by the system except in tests.
    :param owner: identifier of the process, as a prefix that keeps identifiers apart
        where two processes have the same seed.
    """
    return f"{owner}{rng.getrandbits(RECORD_ID_BITS):024x}"


@attrs.frozen(kw_only=True)
class LogWriterSettings:
    """Limits of a writer.

    :param response_timeout_s: seconds after which a response counts as lost.
    :param retry_s: seconds before the second attempt, doubled for each further one.
    :param retry_max_s: maximum seconds between two attempts.
    :param appends_per_s: maximum appends per second, including repeated attempts.
    :param burst: maximum appends at once.
    :param outage_failures: consecutive failures that count as an outage.
    """

    response_timeout_s: float = 2.0
    retry_s: float = 0.2
    retry_max_s: float = 5.0
    appends_per_s: float = 20.0
    burst: int = 20
    outage_failures: int = 2


@attrs.frozen(kw_only=True)
class AppendRecord:
    """Action that asks for a record to be passed to ``LogWriter.submit``.

    :param record: object of a class from ``generated_records``.
    :param give_up_s: time in seconds at which to stop sending the record.
    """

    record: Any
    give_up_s: float = float("inf")


@attrs.frozen(kw_only=True)
class SendAppend:
    """Action that asks for one append to the log.

    Report the result with ``record_response`` or ``record_failure``.

    :param record_id: identifier of the record.
    :param data: encoded record.
    """

    record_id: str
    data: bytes


@attrs.frozen(kw_only=True)
class AppendGivenUp:
    """The writer gave up a record, which may still appear on the log.

    :param record_id: identifier of the record.
    :param may_be_on_log: whether the record was sent at least once.
    """

    record_id: str
    may_be_on_log: bool


WriterAction = SendAppend | AppendGivenUp


@attrs.define(kw_only=True)
class _PendingAppend:
    """A record that was neither read back from the log nor given up.

    :param record_id: identifier of the record.
    :param data: encoded record.
    :param give_up_s: time in seconds at which to stop sending the record.
    :param next_attempt_s: time of the next attempt in seconds.
    :param attempts: number of attempts so far.
    :param offset: offset that the log reported; 0 before a response.
    """

    record_id: str
    data: bytes
    give_up_s: float
    next_attempt_s: float
    attempts: int = 0
    offset: int = 0


class LogWriter:
    """Schedules appends until each record is read back from the log or given up.

    A repeated append sends the same bytes, of which the fold accepts only one copy.
    A record counts as written only once it was read back from the log.

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
        """Whether enough consecutive appends failed to count as an outage."""
        return self.failures >= self.settings.outage_failures

    def submit(
        self, now_s: float, record: Any, give_up_s: float = float("inf")
    ) -> list[WriterAction]:
        """Queue a record to append and return the actions that are due.

        :param now_s: current time in seconds.
        :param record: object of a class from ``generated_records``.
        :param give_up_s: time in seconds at which to stop sending the record.
        """
        self.pending[record.record_id] = _PendingAppend(
            record_id=record.record_id,
            data=encode_record(record),
            give_up_s=give_up_s,
            next_attempt_s=now_s,
        )
        return self.tick(now_s)

    def record_response(self, record_id: str, offset: int) -> None:
        """Record that the log responded, so that the record is not sent again.

        :param record_id: identifier of the record.
        :param offset: offset of the record on the log.
        """
        self.failures = 0
        pending = self.pending.get(record_id)
        if pending is not None:
            pending.offset = offset

    def record_failure(self, now_s: float, record_id: str) -> None:
        """Record that no response came, and schedule the next attempt.

        The record may be on the log all the same.

        :param now_s: current time in seconds.
        :param record_id: identifier of the record.
        """
        self.failures += 1
        pending = self.pending.get(record_id)
        if pending is not None:
            pending.next_attempt_s = now_s + self.draw_backoff_s(pending.attempts)

    def record_read_back(self, record_id: str) -> None:
        """Record that a record was read back from the log.

        :param record_id: identifier of the record.
        """
        if self.pending.pop(record_id, None) is not None:
            self.failures = 0

    def discard_applied(self, next_offset: int) -> None:
        """Drop the acknowledged records that the fold has applied.

        :param next_offset: next offset of the fold.
        """
        for pending in list(self.pending.values()):
            if 0 < pending.offset < next_offset:
                del self.pending[pending.record_id]

    def tick(self, now_s: float) -> list[WriterAction]:
        """Return the actions that are due: appends to send and records given up.

        :param now_s: current time in seconds.
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
        """Return whether the next attempt of a record is due.

        :param now_s: current time in seconds.
        :param pending: the record.
        """
        return not pending.offset and now_s >= pending.next_attempt_s

    def start_attempt(self, now_s: float, pending: _PendingAppend) -> SendAppend:
        """Start an attempt and return its action.

        :param now_s: current time in seconds.
        :param pending: the record.
        """
        pending.attempts += 1
        pending.next_attempt_s = now_s + self.settings.response_timeout_s
        return SendAppend(record_id=pending.record_id, data=pending.data)

    def refill_tokens(self, now_s: float) -> None:
        """Refill the token bucket that limits appends, up to the burst.

        :param now_s: current time in seconds.
        """
        added_tokens = (now_s - self.last_refill_s) * self.settings.appends_per_s
        self.tokens = min(float(self.settings.burst), self.tokens + added_tokens)
        self.last_refill_s = now_s

    def draw_backoff_s(self, attempts: int) -> float:
        """Return the seconds to wait before the next attempt, with jitter.

        :param attempts: number of attempts so far.
        """
        max_backoff_s = min(
            self.settings.retry_max_s,
            self.settings.retry_s * 2 ** min(attempts - 1, 16),
        )
        return max_backoff_s * self.rng.uniform(0.5, 1.0)

    def get_next_wake_s(self) -> float:
        """Return the time in seconds at which ``tick`` must be called next."""
        due_times_s = [
            pending.give_up_s
            if pending.offset
            else min(pending.next_attempt_s, pending.give_up_s)
            for pending in self.pending.values()
        ]
        return min(due_times_s, default=float("inf"))


def build_give_up(pending: _PendingAppend) -> AppendGivenUp:
    """Return the action for a record that is given up.

    :param pending: the record.
    """
    return AppendGivenUp(
        record_id=pending.record_id, may_be_on_log=pending.attempts > 0
    )


class GroupCommit(Generic[T]):
    """Collects items that are appended in one record.

    :param wait_s: seconds for which the first item waits for others.
    :param max_items: maximum number of items in one record.
    :param interval_s: minimum seconds between records that are not full.
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

        :param now_s: current time in seconds.
        :param item: the item.
        """
        self.items.append(item)
        self.due_s = min(self.due_s, max(now_s + self.wait_s, self.earliest_s))

    def take(self, now_s: float) -> list[T]:
        """Remove and return the items that are due, oldest first.

        :param now_s: current time in seconds.
        """
        if now_s < self.due_s and len(self.items) < self.max_items:
            return []
        taken = self.items[: self.max_items]
        self.items = self.items[self.max_items :]
        self.earliest_s = now_s + self.interval_s
        self.due_s = self.earliest_s if self.items else float("inf")
        return taken

"""Task that sends the appends of a ``LogWriter`` to the log."""

import random

import anyio
from absl import logging
from anyio.abc import TaskGroup

from jasminewalk.agreement.fold_events import FoldEvent
from jasminewalk.agreement.log_follower import LogFollower
from jasminewalk.agreement.log_writer import (
    AppendGivenUp,
    AppendRecord,
    LogWriter,
    LogWriterSettings,
    SendAppend,
    WriterAction,
)
from jasminewalk.clock import Clock
from jasminewalk.exceptions import LogUnavailableError
from jasminewalk.interfaces import Log

__all__ = ["LogAppender"]

IDLE_WAIT_S = 1.0
MIN_WAIT_S = 0.005


class LogAppender:
    """Appends each record until it is read back from the log or given up.

    :param log: the platform's log.
    :param follower: follower that reads the appended records back.
    :param clock: source of time.
    :param rng: source of jitter.
    :param settings: limits of the writer.
    """

    def __init__(
        self,
        *,
        log: Log,
        follower: LogFollower,
        clock: Clock,
        rng: random.Random,
        settings: LogWriterSettings | None = None,
    ) -> None:
        self.log = log
        self.follower = follower
        self.clock = clock
        self.writer = LogWriter(settings or LogWriterSettings(), rng)
        self.wake_requested = anyio.Event()
        self.queued_actions: list[WriterAction] = []

    @property
    def is_available(self) -> bool:
        """Whether the latest reads and appends succeeded."""
        return self.follower.is_reachable and not self.writer.in_outage

    def submit(self, append: AppendRecord) -> None:
        """Queue a record to append.

        :param append: the record and the time at which to give it up.
        """
        now_s = self.clock.monotonic()
        self.queued_actions += self.writer.submit(
            now_s, append.record, append.give_up_s
        )
        self.wake_requested.set()

    def on_fold_event(self, event: FoldEvent) -> None:
        """Stop appending the record that an event resulted from.

        :param event: event of the follower's fold.
        """
        record_id = getattr(event, "record_id", "")
        if record_id:
            self.writer.record_read_back(record_id)
        self.writer.discard_applied(self.follower.fold.next_offset)

    async def run(self) -> None:
        """Append records until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self.run_due_actions(group)
                wait_s = self.writer.get_next_wake_s() - self.clock.monotonic()
                with anyio.move_on_after(min(IDLE_WAIT_S, max(MIN_WAIT_S, wait_s))):
                    await self.wake_requested.wait()
                self.wake_requested = anyio.Event()
                if self.writer.pending:
                    self.follower.request_read()

    def run_due_actions(self, group: TaskGroup) -> None:
        """Start the appends that are due and log those that were given up.

        :param group: task group in which appends run.
        """
        self.writer.discard_applied(self.follower.fold.next_offset)
        actions = self.queued_actions + self.writer.tick(self.clock.monotonic())
        self.queued_actions = []
        for action in actions:
            if isinstance(action, SendAppend):
                group.start_soon(self.append, action)
            elif isinstance(action, AppendGivenUp) and action.may_be_on_log:
                logging.warning("[log] Append given up. record_id=%s", action.record_id)

    async def append(self, action: SendAppend) -> None:
        """Append a record once and report the result to the writer.

        :param action: the append to send.
        """
        try:
            offset = await self.log.append(action.data)
        except LogUnavailableError as error:
            logging.warning(
                "[log] Append failed. record_id=%s error=%s",
                action.record_id,
                error,
            )
            self.writer.record_failure(self.clock.monotonic(), action.record_id)
        else:
            self.writer.record_response(action.record_id, offset)
        self.follower.request_read()
        self.wake_requested.set()

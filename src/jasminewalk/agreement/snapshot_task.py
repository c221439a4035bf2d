"""Task that regularly writes a snapshot of the state to the log."""

import random

import anyio
from absl import logging

from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.snapshots import SnapshotPlanner, SnapshotSettings
from jasminewalk.clock import Clock
from jasminewalk.exceptions import LogUnavailableError
from jasminewalk.generated_records import SnapshotRecord
from jasminewalk.generated_settings import LogSettings
from jasminewalk.interfaces import Log
from jasminewalk.transport.codec import encode_record

__all__ = ["SnapshotTask"]

MAX_APPEND_ATTEMPTS = 3
MIN_WAIT_S = 0.02
MAX_WAIT_S = 1.0


class SnapshotTask:
    """Appends the chunks of snapshots to the log when they are due.

    :param log: the platform's log.
    :param fold: state to write.
    :param settings: settings of the log.
    :param clock: source of time.
    :param rng: random source for jitter and identifiers.
    """

    def __init__(
        self,
        *,
        log: Log,
        fold: LogFold,
        settings: LogSettings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.log = log
        self.retry_s = settings.retry_s
        self.clock = clock
        self.planner = SnapshotPlanner(
            fold, SnapshotSettings(retention_s=settings.retention_s), rng
        )

    async def run(self) -> None:
        """Append chunks of snapshots until cancelled."""
        while True:
            for record in self.planner.tick(self.clock.monotonic()):
                await self.append(record)
            wait_s = self.planner.get_next_wake_s() - self.clock.monotonic()
            await anyio.sleep(min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s)))

    async def append(self, record: SnapshotRecord) -> None:
        """Append a chunk with a few attempts.

        If all attempts fail, the snapshot never completes and readers ignore it.

        :param record: the chunk.
        """
        data = encode_record(record)
        for _ in range(MAX_APPEND_ATTEMPTS):
            try:
                await self.log.append(data)
            except LogUnavailableError as error:
                logging.warning("[log] Snapshot chunk not appended. error=%s", error)
                await anyio.sleep(self.retry_s)
            else:
                return

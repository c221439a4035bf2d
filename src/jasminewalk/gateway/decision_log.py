"""Structured log on standard output, rate-limited and non-blocking."""

import asyncio
import logging as standard_logging
import os
from collections import deque
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

import attrs
import msgspec
from absl import flags, logging

__all__ = ["DecisionLog", "LineBuffer"]

# Limits of lines per second. Decisions on requests are suppressed first, then failures
# of requests, and changes of the gateway's own state last.
MAX_DECISION_LINES_PER_S = 300
MAX_FAILURE_LINES_PER_S = 450
MAX_STATE_LINES_PER_S = 600
# Lines buffered while standard output is blocked.
MAX_BUFFERED_LINES = 4000
FLUSH_INTERVAL_S = 0.1
STDOUT_FD = 1


@attrs.define(eq=False)
class LineBuffer:
    """Buffer of lines to be written to a non-blocking output.

    :param write: writes bytes without blocking and returns the number written.
    """

    write: Callable[[bytes], int]
    lines: deque[bytes] = attrs.field(factory=deque)
    unwritten: bytes = b""
    suppressed: int = 0

    def append(self, line: bytes) -> None:
        """Buffer a line, or count it as suppressed if the buffer is full.

        :param line: the line with its newline.
        """
        if len(self.lines) >= MAX_BUFFERED_LINES:
            self.suppressed += 1
            return
        self.lines.append(line)

    def flush(self) -> None:
        """Write as much as the output accepts."""
        while self.unwritten or self.lines:
            if not self.unwritten:
                self.unwritten = b"".join(self.lines)
                self.lines.clear()
            try:
                written = self.write(self.unwritten)
            except BlockingIOError:
                return
            except OSError:
                self.unwritten = b""
                return
            self.unwritten = self.unwritten[written:]


class _JsonHandler(standard_logging.Handler):
    def __init__(self, buffer: LineBuffer) -> None:
        super().__init__()
        self.buffer = buffer

    def emit(self, record: standard_logging.LogRecord) -> None:
        line = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(),
            "severity": record.levelname,
            "event": record.getMessage(),
        }
        line.update(getattr(record, "fields", {}))
        self.buffer.append(msgspec.json.encode(line, enc_hook=str) + b"\n")


class DecisionLog:
    """Writes a line for each decision on a request and each change of state.

    :param node: name of the instance, part of each line.
    :param clock: returns the monotonic time in seconds.
    :param write: writes bytes without blocking and returns the number written;
        standard output if None.
    """

    def __init__(
        self,
        node: str,
        clock: Callable[[], float],
        write: Callable[[bytes], int] | None = None,
    ) -> None:
        self.node = node
        self.clock = clock
        self.buffer = LineBuffer(write or _open_nonblocking_stdout())
        self.current_second = 0
        self.lines_in_second = 0
        self.suppressed = 0
        self.handler = _JsonHandler(self.buffer)
        if not flags.FLAGS.is_parsed():
            flags.FLAGS.mark_as_parsed()
        self.logger = logging.get_absl_logger()
        self.logger.handlers = [self.handler]
        self.logger.propagate = False
        logging.set_verbosity(logging.INFO)

    def info(self, event: str, **fields: Any) -> None:
        """Write a line for a decision or a change of state.

        :param event: name of the event.
        :param fields: inputs and outcome.
        """
        limit = (
            MAX_DECISION_LINES_PER_S if "request" in fields else MAX_STATE_LINES_PER_S
        )
        if self._allow_line(limit):
            self._write(standard_logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Write a line for a failure; its limit is higher than that of decisions.

        :param event: name of the event.
        :param fields: inputs and outcome.
        """
        limit = (
            MAX_FAILURE_LINES_PER_S if "request" in fields else MAX_STATE_LINES_PER_S
        )
        if self._allow_line(limit):
            self._write(standard_logging.WARNING, event, fields)

    async def flush_forever(self) -> None:
        """Write buffered lines at intervals until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Write buffered lines, and the number of suppressed ones if any."""
        suppressed = self.suppressed + self.buffer.suppressed
        if suppressed and len(self.buffer.lines) < MAX_BUFFERED_LINES:
            self.suppressed = self.buffer.suppressed = 0
            fields = {"count": suppressed}
            self._write(standard_logging.WARNING, "lines_suppressed", fields)
        self.buffer.flush()

    def _allow_line(self, limit: int) -> bool:
        second = int(self.clock())
        if second != self.current_second:
            self.current_second = second
            self.lines_in_second = 0
        if self.lines_in_second < limit:
            self.lines_in_second += 1
            return True
        self.suppressed += 1
        return False

    def _write(self, level: int, event: str, fields: dict[str, Any]) -> None:
        fields = {"node": self.node, **fields}
        record = self.logger.makeRecord(
            "jasminewalk", level, "", 0, event, (), None, extra={"fields": fields}
        )
        self.handler.emit(record)


def _open_nonblocking_stdout() -> Callable[[bytes], int]:
    try:
        os.set_blocking(STDOUT_FD, False)
    except OSError:
        pass  # standard output is closed; writes fail and their lines are dropped
    return lambda data: os.write(STDOUT_FD, data)

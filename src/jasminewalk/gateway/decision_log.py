"""Structured log lines on standard output, bounded and never blocking."""

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

# Lines written in a second: decisions on requests are suppressed first, then failures
# of requests, and last what changes the beliefs of the process.
MAX_DECISION_LINES_PER_S = 300
MAX_FAILURE_LINES_PER_S = 450
MAX_STATE_LINES_PER_S = 600
# Lines held while standard output takes none.
MAX_BUFFERED_LINES = 4000
FLUSH_INTERVAL_S = 0.1
STDOUT_FD = 1


@attrs.define(eq=False)
class LineBuffer:
    """Lines that wait until standard output takes them.

    :param write: writes bytes without blocking and returns how many were written.
    """

    write: Callable[[bytes], int]
    lines: deque[bytes] = attrs.field(factory=deque)
    unwritten: bytes = b""
    suppressed: int = 0

    def append(self, line: bytes) -> None:
        """Hold a line, or count it as suppressed if too many are held.

        :param line: the line with its end.
        """
        if len(self.lines) >= MAX_BUFFERED_LINES:
            self.suppressed += 1
            return
        self.lines.append(line)

    def flush(self) -> None:
        """Write as much as is written."""
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
    """Writes one line for each decision and each change of belief.

    :param node: name of the instance, part of each line.
    :param clock: returns the current instant in seconds.
    :param write: writes bytes without blocking; standard output if None.
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
        """Write a line for an ordinary decision.

        :param event: what was decided or believed.
        :param fields: inputs, their age, and the outcome.
        """
        limit = (
            MAX_DECISION_LINES_PER_S if "request" in fields else MAX_STATE_LINES_PER_S
        )
        if self._take_line(limit):
            self._write(standard_logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Write a line for a failure, suppressed later than other lines.

        :param event: what failed.
        :param fields: inputs, their age, and the outcome.
        """
        limit = (
            MAX_FAILURE_LINES_PER_S if "request" in fields else MAX_STATE_LINES_PER_S
        )
        if self._take_line(limit):
            self._write(standard_logging.WARNING, event, fields)

    async def flush_forever(self) -> None:
        """Hand held lines to standard output."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Write held lines to standard output, and how many were suppressed."""
        suppressed = self.suppressed + self.buffer.suppressed
        if suppressed and len(self.buffer.lines) < MAX_BUFFERED_LINES:
            self.suppressed = self.buffer.suppressed = 0
            fields = {"count": suppressed}
            self._write(standard_logging.WARNING, "lines_suppressed", fields)
        self.buffer.flush()

    def _take_line(self, limit: int) -> bool:
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
        pass  # standard output is closed; writes fail and are suppressed
    return lambda data: os.write(STDOUT_FD, data)

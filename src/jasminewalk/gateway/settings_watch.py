"""Notices that the settings file has changed without a signal."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from jasminewalk.gateway.decision_log import DecisionLog

__all__ = ["SettingsWatch"]

# Seconds between two checks of the settings file for changes.
POLL_INTERVAL_S = 1.0


class SettingsWatch:
    """Compares the settings file with what it was, and has it read when it changes.

    :param path: path of the settings file.
    :param log: decision log.
    :param on_change: called after each change.
    """

    def __init__(
        self, path: Path, log: DecisionLog, on_change: Callable[[], None]
    ) -> None:
        self.path = path
        self.log = log
        self.on_change = on_change

    async def run(self) -> None:
        """Watch the file until cancelled."""
        last_stamp = self._read_stamp()
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            stamp = self._read_stamp()
            if stamp != last_stamp:
                last_stamp = stamp
                self.on_change()

    def _read_stamp(self) -> tuple[int, int] | None:
        try:
            status = self.path.stat()
        except OSError as error:
            self.log.warning("settings_missing", reason=repr(error))
            return None
        return status.st_mtime_ns, status.st_size

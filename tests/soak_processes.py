"""Gateway processes of the soak, and what was observed of them."""

import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import attrs

from ports import allocate_port
from soak_checks import ViolationError, read_memory_bytes
from test_gateway_daemon import SETTINGS

__all__ = ["Gateway"]

SOURCE = Path(__file__).resolve().parent.parent / "src"
# Peak of a gateway's resident memory, which a machine of the platform has.
MAX_MEMORY_BYTES = 300_000_000
# Seconds after a fault of a process during which it may not answer.
RECOVERY_S = 1.0
# Bit of SIGHUP in the masks of signals of a process.
HANGUP_BIT = 1 << (signal.SIGHUP - 1)


@attrs.define(eq=False)
class Gateway:
    """One gateway process and what was observed of its present incarnation."""

    name: str
    ip: str
    directory: Path
    store: str
    more_settings: str = ""
    front: int = attrs.field(factory=allocate_port)
    process: subprocess.Popen | None = None
    observed_version: int = 0
    observed_at: float = 0.0
    last_fault_at: float = 0.0
    stopping: bool = False
    pauses: int = 0
    served: bool = False
    handled_hangup: bool = False
    peak_memory_bytes: int = 0

    def start(self):
        text = SETTINGS.format(
            peer=allocate_port(),
            front=self.front,
            ready=allocate_port(),
            store=self.store,
        )
        text = text.replace("127.0.0.1:", f"{self.ip}:").replace(
            f'address = "{self.ip}:', 'address = "127.0.0.1:'
        )
        text = text.replace('ip = "127.0.0.1"', f'ip = "{self.ip}"')
        text = text.replace("front-1", self.name).replace(
            "lease_ms = 100", "lease_ms = 1000"
        )
        path = self.directory / f"{self.name}.toml"
        path.write_text(text + self.more_settings, encoding="utf-8")
        environment = dict(os.environ, JASMINEWALK_CONFIG=str(path))
        environment.setdefault("PYTHONPATH", str(SOURCE))
        with (self.directory / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "jasminewalk.gateway"],
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.observed_version, self.stopping, self.served = 0, False, False
        self.handled_hangup = False

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def handles_hangup(self):
        """Return whether SIGHUP has lost its default action, which ends a process.

        It has that action until the first line of the package runs.
        """
        if not self.handled_hangup:
            text = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
            masks = re.findall(r"^Sig(?:Ign|Cgt):\s*(\w+)$", text, re.MULTILINE)
            self.handled_hangup = any(int(mask, 16) & HANGUP_BIT for mask in masks)
        return self.handled_hangup

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()

    def may_be_silent(self, asked_at):
        """Return whether a fault may explain that a request has no answer.

        A process that has not answered any request may still be starting.
        """
        had_fault = asked_at - self.last_fault_at <= RECOVERY_S or self.pauses
        return had_fault or self.stopping or not self.served

    def check(self):
        """Check that the process runs within its memory.

        :raises ViolationError: if it ended by itself, or needed more.
        """
        if not self.stopping and self.process.poll() is not None:
            raise ViolationError(f"{self.name} ended with {self.process.returncode}")
        memory_bytes = read_memory_bytes(self.process.pid)
        self.peak_memory_bytes = max(self.peak_memory_bytes, memory_bytes)
        if memory_bytes > MAX_MEMORY_BYTES:
            raise ViolationError(f"{self.name} needed {memory_bytes // 10**6} MB")

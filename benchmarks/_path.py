"""The whole path as separate processes, with one engine, for benchmarks."""

import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import httpcore
import msgspec

ROOT = Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "tests"))

import fleet  # noqa: E402
from jasminewalk.generated_requests import GenerateRequest  # noqa: E402

__all__ = [
    "PathFleet",
    "chat_body",
    "cpu_s",
    "generate_body",
    "path_fleet",
    "rss_bytes",
]

CLASS_DEADLINE_S = 3600.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_s(pid: int) -> float:
    """Return the processor seconds that a process has used.

    :param pid: identifier of the process.
    """
    text = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_bytes(pid: int) -> int:
    """Return the resident memory of a process.

    :param pid: identifier of the process.
    """
    text = Path(f"/proc/{pid}/statm").read_text(encoding="utf-8")
    return int(text.split()[1]) * PAGE_BYTES


def chat_body(number: int, max_tokens: int) -> bytes:
    """Return a streamed chat request.

    :param number: number of the request, which makes its prompt unique.
    :param max_tokens: most output tokens.
    """
    value = {
        "model": "tutor",
        "stream": True,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": f"How long for bar {number}?"}],
    }
    return json.dumps(value).encode()


def generate_body(number: int, max_tokens: int) -> bytes:
    """Return a request as an engine takes it.

    :param number: number of the request, which makes its prompt unique.
    :param max_tokens: most output tokens.
    """
    request = GenerateRequest(
        request_id=f"direct-{number}",
        attempt=1,
        organisation="school",
        request_class="helper",
        model="tutor",
        prompt=f"user: How long for bar {number}?\n",
        prompt_tokens=8,
        max_tokens=max_tokens,
        deadline_s=CLASS_DEADLINE_S,
    )
    return msgspec.json.encode(request)


class PathFleet(fleet.Fleet):
    """Log, instance list, one engine with its sidecar, one entry."""

    def start_path(self, period_s: float) -> None:
        """Start every process and wait until the entry answers.

        :param period_s: seconds between two tokens of a stream.
        """
        self.start_platform()
        self.publish()
        self.start_script("tutor-1", "_steady_engine.py", str(period_s))
        fleet.wait_for(lambda: self.get_counts("tutor-1"), "engine")
        self.start_sidecar("tutor-1", "engine", 1, True)
        self.start_entry(1)
        fleet.wait_for(lambda: self.is_ready("entry-1"), "entry")
        fleet.wait_for(lambda: self.is_usable_at("entry-1", "tutor-1"), "engine")

    def start_script(self, name: str, script: str, *words: str) -> None:
        """Start one of the helper processes of the benchmarks.

        :param name: name of the process.
        :param script: file name of its script.
        :param words: arguments after the address to listen on.
        """
        self.addresses[name] = fleet.allocate_address()
        path = str(Path(__file__).with_name(script))
        command = [sys.executable, path, self.addresses[name], *words]
        self.processes[name] = subprocess.Popen(command)

    def get_endpoint_address(self, name: str) -> str:
        """Return the address of an endpoint itself, without the tests' relay.

        :param name: endpoint name.
        """
        return self.addresses[name]

    def publish(self) -> None:
        """Publish an organisation whose requests may take long."""
        body = fleet.TEMPLATE["versions"]["1"]["organisation"]
        slow = {"deadline_s": CLASS_DEADLINE_S, "first_token_s": CLASS_DEADLINE_S}
        classes = {**body["classes"], "helper": slow}
        organisation = {**body, "classes": classes}
        version = {"parameters": {}, "organisation": organisation}
        self.append("fleet/default", fleet.FLEET)
        self.append("template/school", {"versions": {"1": version}})
        self.append("organisation/school", fleet.ORGANISATION)

    @property
    def chat_url(self) -> str:
        """URL of chat completions at the entry."""
        return self.build_url("entry-1", "/v1/chat/completions")

    @property
    def engine_url(self) -> str:
        """URL of generations at the engine."""
        return f"http://{self.addresses['tutor-1']}/generate"

    def pid(self, name: str) -> int:
        """Return the identifier of a process.

        :param name: name of the process.
        """
        return self.processes[name].pid

    def start_bare_relay(self) -> str:
        """Start a bare relay in front of the engine and return its URL."""
        self.start_script("bare", "_bare_relay.py", self.engine_url)
        url = f"http://{self.addresses['bare']}/generate"
        fleet.wait_for(lambda: httpcore.request("GET", url).status, "bare relay")
        return url


@contextmanager
def path_fleet(period_s: float) -> Iterator[PathFleet]:
    """Run the path for the time of a block.

    :param period_s: seconds between two tokens of a stream.
    """
    with tempfile.TemporaryDirectory() as folder:
        running = PathFleet(Path(folder))
        try:
            running.start_path(period_s)
            yield running
        finally:
            running.stop()
            time.sleep(0.1)

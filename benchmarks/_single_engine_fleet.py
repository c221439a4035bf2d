"""Fleet of separate processes with one engine, for benchmarks of the request path."""

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
    "SingleEngineFleet",
    "build_chat_body",
    "build_generate_body",
    "read_cpu_s",
    "read_rss_bytes",
    "run_fleet",
]

CLASS_DEADLINE_S = 3600.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_cpu_s(pid: int) -> float:
    """Return the CPU seconds that a process has used.

    :param pid: process identifier.
    """
    text = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_rss_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes.

    :param pid: process identifier.
    """
    text = Path(f"/proc/{pid}/statm").read_text(encoding="utf-8")
    return int(text.split()[1]) * PAGE_BYTES


def build_chat_body(number: int, max_tokens: int) -> bytes:
    """Build the body of a streamed chat request.

    :param number: number that makes the prompt unique.
    :param max_tokens: maximum number of output tokens.
    """
    value = {
        "model": "tutor",
        "stream": True,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": f"How long for bar {number}?"}],
    }
    return json.dumps(value).encode()


def build_generate_body(number: int, max_tokens: int) -> bytes:
    """Build the body of a request that is sent directly to an engine.

    :param number: number that makes the prompt unique.
    :param max_tokens: maximum number of output tokens.
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


class SingleEngineFleet(fleet.Fleet):
    """Fleet of a log, an instance list, one entry, and one engine with its sidecar."""

    def start_all(self, token_interval_s: float) -> None:
        """Start all processes and wait until the entry can use the engine.

        :param token_interval_s: seconds between two tokens of a stream.
        """
        self.start_platform()
        self.publish()
        self.start_script("tutor-1", "_fixed_rate_engine.py", str(token_interval_s))
        fleet.wait_for(lambda: self.get_counts("tutor-1"), "engine")
        self.start_sidecar("tutor-1", "engine", 1, True)
        self.start_entry(1)
        fleet.wait_for(lambda: self.is_ready("entry-1"), "entry")
        fleet.wait_for(lambda: self.is_usable_at("entry-1", "tutor-1"), "engine")

    def start_script(self, name: str, script: str, *arguments: str) -> None:
        """Start a script of this folder as a process.

        :param name: name of the process.
        :param script: file name of the script.
        :param arguments: arguments that follow the address to listen on.
        """
        self.addresses[name] = fleet.allocate_address()
        path = str(Path(__file__).with_name(script))
        command = [sys.executable, path, self.addresses[name], *arguments]
        self.processes[name] = subprocess.Popen(command)

    def get_endpoint_address(self, name: str) -> str:
        """Return the address of an endpoint itself, bypassing the tests' relay.

        :param name: endpoint name.
        """
        return self.addresses[name]

    def publish(self) -> None:
        """Publish an organisation whose request deadlines allow long streams."""
        default_organisation = fleet.TEMPLATE["versions"]["1"]["organisation"]
        slow_class = {"deadline_s": CLASS_DEADLINE_S, "first_token_s": CLASS_DEADLINE_S}
        classes = {**default_organisation["classes"], "helper": slow_class}
        organisation = {**default_organisation, "classes": classes}
        version = {"parameters": {}, "organisation": organisation}
        self.append("fleet/default", fleet.FLEET)
        self.append("template/school", {"versions": {"1": version}})
        self.append("organisation/school", fleet.ORGANISATION)

    @property
    def chat_url(self) -> str:
        """URL of chat completions on the entry."""
        return self.build_url("entry-1", "/v1/chat/completions")

    @property
    def engine_url(self) -> str:
        """URL of the engine's generate path."""
        return f"http://{self.addresses['tutor-1']}/generate"

    def get_pid(self, name: str) -> int:
        """Return the process identifier of a process of the fleet.

        :param name: name of the process.
        """
        return self.processes[name].pid

    def start_bare_relay(self) -> str:
        """Start the baseline relay in front of the engine and return its URL."""
        self.start_script("bare", "_bare_relay.py", self.engine_url)
        url = f"http://{self.addresses['bare']}/generate"
        fleet.wait_for(lambda: httpcore.request("GET", url).status, "bare relay")
        return url


@contextmanager
def run_fleet(token_interval_s: float) -> Iterator[SingleEngineFleet]:
    """Run the fleet while the context is open.

    :param token_interval_s: seconds between two tokens of a stream.
    """
    with tempfile.TemporaryDirectory() as folder:
        running_fleet = SingleEngineFleet(Path(folder))
        try:
            running_fleet.start_all(token_interval_s)
            yield running_fleet
        finally:
            running_fleet.stop()
            time.sleep(0.1)

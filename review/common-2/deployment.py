"""Starts the gateways by the deploy file and the stand-ins, as separate processes."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import standins

ROOT = Path(__file__).resolve().parents[2]
HOST = standins.HOST
CLIENT_HOST = "bar.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

SETTINGS = """node_name = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "north"
region = "north"
internal_ports = [{peer_port}, {peer_port}]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover"]
[zones]
north = "north"
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
[limits]
cpu_share = 0.817
cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
reuse_after_s = 2
stable_window_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
recover_s = 12
fencing_required = false
lease_ms = 3000
thaw_ms = 300
[platform]
address = "{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
record_bytes = 262144
call_bytes = 2097152
ttl_min_ms = 1000
"""


def find_port():
    """Return a port of the loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def build_configuration(routes, services):
    """Return a configuration with the limits of the users' example."""
    return {
        "version": 1,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


class MeaninglessError(Exception):
    """What the case needs in order to show anything did not happen."""


class Deployment:
    """The processes of one case, and the record of what they did."""

    def __init__(self, folder):
        self.record_path = Path(folder) / "record.txt"
        self.record_path.unlink(missing_ok=True)
        # All processes append, so that none writes over the lines of another.
        self.record = self.record_path.open("a", encoding="utf-8")
        self.folder = tempfile.TemporaryDirectory()
        self.processes = []
        self.gateways = 0
        self.store = f"{HOST}:{find_port()}"

    def note(self, event, **fields):
        """Write one line of the record."""
        line = {"at": round(time.time(), 3), "event": event, **fields}
        self.record.write(json.dumps(line) + "\n")
        self.record.flush()

    def read_record(self, event):
        """Return the lines of the record on one kind of event."""
        lines = self.record_path.read_text(encoding="utf-8").splitlines()
        return [line for line in map(json.loads, lines) if line["event"] == event]

    def start(self, words, environment=None, cwd=None):
        """Start a process."""
        process = subprocess.Popen(
            words,
            cwd=cwd,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.record if environment is None else subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.processes.append(process)
        return process

    def start_standin(self, *words):
        """Start a stand-in, which writes to the record."""
        program = Path(standins.__file__).resolve()
        return self.start([sys.executable, str(program), *words])

    def start_store(self):
        """Start the store."""
        return self.start_standin("store", self.store.rpartition(":")[2])

    def start_engine(self, **settings):
        """Start an engine."""
        settings = {"store": self.store, "heartbeat_s": 1.2, "drain_s": 2.0} | settings
        return self.start_standin("engine", json.dumps(settings))

    def start_gateway(self, name):
        """Start a gateway as the deploy file says; return it and its addresses."""
        deploy = tomllib.loads(
            (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        )
        # Each gateway is a machine of its own, so its fixed port of metrics is free.
        self.gateways += 1
        ip = f"127.0.0.{10 + self.gateways}"
        ports = {
            "peer_port": find_port(),
            "front_port": find_port(),
            "ready_port": find_port(),
        }
        path = Path(self.folder.name) / f"{name}.toml"
        text = SETTINGS.format(name=name, ip=ip, store=self.store, **ports)
        path.write_text(text, encoding="utf-8")
        environment = {
            variable: os.environ[variable]
            for variable in ("PATH", "HOME", "LANG")
            if variable in os.environ
        }
        environment["JASMINEWALK_CONFIG"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        process = self.start(
            deploy["roles"]["gateway"]["run"].split(), environment, ROOT
        )
        return process, f"{ip}:{ports['front_port']}", f"{ip}:{ports['ready_port']}"

    async def wait_until_listening(self, address, timeout_s=10.0):
        """Wait until something listens at an address."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(timeout_s):
            while True:
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection(host, int(port))
                    writer.close()
                    return
                await asyncio.sleep(0.05)

    async def wait_until_ready(self, address, timeout_s=20.0):
        """Wait until a gateway says that it is ready."""
        async with asyncio.timeout(timeout_s):
            while True:
                with contextlib.suppress(OSError, TimeoutError):
                    if (await standins.call(address, "GET", "/-/readiness"))[0] == 200:
                        return
                await asyncio.sleep(0.1)

    def close(self):
        """End all processes that were started here."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.record.close()
        self.folder.cleanup()


def run_case(folder, play):
    """Play a case, and exit as the review's issue says.

    :param folder: folder of the case.
    :param play: coroutine function that returns the answers that break the rule.
    """
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))
    # An exception of it passes to launch.py, which ends with 2.
    deployment = Deployment(folder)
    try:
        broken = asyncio.run(asyncio.wait_for(play(deployment), 100))
        deployment.note("verdict", trouble=TROUBLE, broken=broken)
        status = BROKEN if broken else HELD
    except Exception as error:  # whatever kept the case from running
        deployment.note("not run", error=repr(error))
        print(f"not run: {error!r}")
        status = NOT_RUN
    finally:
        deployment.close()
    print(
        f"{'broken' if status == BROKEN else 'held' if status == HELD else 'not run'}"
    )
    sys.exit(status)

"""Tests of the ports that tests are given."""

import subprocess
import sys
from pathlib import Path

from ports import allocate_port

COUNT = 250


def test_processes_at_the_same_time_are_given_different_ports():
    script = (
        "import ports\n"
        f"print(*[ports.allocate_port() for _ in range({COUNT})], flush=True)\n"
        "input()\n"
    )
    # Both start to look at the same block.
    script = f"import os; os.getpid = lambda: 1\n{script}"
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", script],
            cwd=Path(__file__).parent,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        for _ in range(3)
    ]
    given = [process.stdout.readline().split() for process in processes]
    for process in processes:
        process.communicate(b"\n")
    assert [len(ports) for ports in given] == [COUNT] * 3
    assert len(set().union(*given)) == 3 * COUNT


def test_ports_are_different_and_not_ephemeral():
    given = [allocate_port() for _ in range(COUNT)]
    assert len(set(given)) == COUNT
    path = Path("/proc/sys/net/ipv4/ip_local_port_range")
    if path.exists():
        first_ephemeral_port = int(path.read_text(encoding="ascii").split()[0])
        assert max(given) < first_ephemeral_port

"""Shared fixtures of the tests."""

from pathlib import Path

import attrs
import pytest

from jasminewalk.cli import main
from jasminewalk.clock import ManualClock
from ports import allocate_address

KNOWN_FAILURES_FILE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def read_known_failures():
    """Return the texts that each test listed in KNOWN-RED.txt fails with, by node id.

    A test that has failed in several ways has an entry for each.
    """
    if not KNOWN_FAILURES_FILE.exists():
        return {}
    lines = KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines()
    fields = [line.partition(": ")[::2] for line in lines]
    names = [value for name, value in fields if name == "test"]
    texts = [value for name, value in fields if name == "fails with"]
    failures = {}
    for name, text in zip(names, texts, strict=True):
        failures.setdefault(name, []).append(text)
    return failures


KNOWN_FAILURES = read_known_failures()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item):
    """Report a failure as expected only if the test fails with its listed text."""
    report = yield
    texts = KNOWN_FAILURES.get(item.nodeid, ())
    if report.failed and any(text in report.longreprtext for text in texts):
        report.outcome = "skipped"
        report.wasxfail = "KNOWN-RED.txt"
    return report


def pytest_terminal_summary(terminalreporter):
    failed = {report.nodeid for report in terminalreporter.getreports("xfailed")}
    for name in sorted(KNOWN_FAILURES):
        outcome = "failed as listed" if name in failed else "not failed in this run"
        terminalreporter.write_line(f"known red: {name}: {outcome}")


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def free_address():
    return allocate_address()


@attrs.frozen
class CommandResult:
    code: int
    out: str
    err: str


@pytest.fixture
def run_command(capsys):
    def run(*arguments):
        with pytest.raises(SystemExit) as caught:
            main([str(argument) for argument in arguments])
            raise SystemExit(0)
        captured = capsys.readouterr()
        return CommandResult(caught.value.code or 0, captured.out, captured.err)

    return run

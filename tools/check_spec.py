"""Checks the protocol specification with Spin.

Every model in spec/ must hold as it is, and Spin must find a counterexample as
soon as one of its guards is removed.
"""

import re
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import attrs

ROOT = Path(__file__).resolve().parent.parent
SPEC_DIR = ROOT / "spec"
PARALLEL_CHECKS = 2
TIMEOUT_S = 300
HASH_TABLE_LOG2 = 24
MAX_DEPTH_STEPS = 100_000
ERRORS_PATTERN = re.compile(r"errors: (\d+)")
STATES_PATTERN = re.compile(r"(\S+) states, stored")
VIOLATION_PATTERN = re.compile(r"pan:\d+: (.*) \(at depth")


@attrs.frozen
class Check:
    """One run of Spin.

    :param model: file name of the model without its suffix.
    :param variant: macro that chooses a variant of the model, or nothing.
    :param guard: macro that removes a guard, or nothing for the whole model.
    """

    model: str
    variant: str = ""
    guard: str = ""

    @property
    def name(self) -> str:
        """Name of the check, for people to read."""
        return " ".join(filter(None, [self.model, self.variant, self.guard]))

    @property
    def macros(self) -> list[str]:
        """Options of Spin's preprocessor."""
        return [f"-D{macro}" for macro in (self.variant, self.guard) if macro]


@attrs.frozen
class Verdict:
    """What a run of Spin found.

    :param check: the check.
    :param passed: whether the result is the expected one.
    :param states: states that were stored.
    :param found: the violated property, or what else ended the run.
    """

    check: Check
    passed: bool
    states: int
    found: str


CHECKS = [
    Check("configuration"),
    Check("configuration", guard="NO_CAS"),
    Check("configuration", guard="NO_TAIL"),
    Check("snapshots"),
    Check("snapshots", guard="ANY_SNAPSHOT"),
    Check("snapshots", guard="PARTIAL_SNAPSHOT"),
    Check("snapshots", guard="NO_GAP_CHECK"),
    Check("orders"),
    Check("orders", guard="NO_LAPSE"),
    Check("orders", guard="NO_WAIT"),
    Check("orders", guard="LAPSE_FROM_READ"),
    Check("orders", guard="SEND_BEFORE_READ"),
    Check("orders", guard="NO_QUIET"),
    Check("orders", guard="PAUSE_AT_SEND"),
    Check("orders", "CHECKS"),
    Check("orders", "CHECKS", "NO_FENCING"),
    Check("orders", "CHECKS", "NO_RESTATE"),
    Check("orders", "CHECKS", "SEND_BEFORE_READ"),
    Check("orders", "CHECKS", "NO_QUIET"),
    Check("roles"),
    Check("roles", guard="NO_MINIMUM"),
    Check("roles", guard="NO_POOL_CAS"),
    Check("claims"),
    Check("claims", guard="RUN_ON_ANSWER"),
    Check("claims", guard="RUN_AFTER_GIVE_UP"),
    Check("claims", guard="FREE_ON_SUPERSEDE"),
    Check("claims", guard="ANYONE_ENDS"),
    Check("claims", guard="FREE_UNKNOWN"),
]


def run(command: list[str], directory: Path) -> str:
    """Return the output of a command.

    :param command: program and arguments.
    :param directory: directory to run it in.
    """
    done = subprocess.run(
        command,
        cwd=directory,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    return done.stdout


def explore(check: Check, directory: Path) -> str:
    """Return what Spin's verifier prints for a check.

    A model without a guard is searched breadth-first, since its shortest
    counterexample is wanted.

    :param check: the check.
    :param directory: empty directory to work in.
    """
    source = (SPEC_DIR / f"{check.model}.pml").read_text(encoding="utf-8")
    (directory / "model.pml").write_text(source, encoding="utf-8")
    generated = run(["spin", *check.macros, "-a", "model.pml"], directory)
    search = ["-DBFS"] if check.guard else []
    compiler = ["gcc", "-O2", "-w", "-DSAFETY", *search, "-o", "pan", "pan.c"]
    compiled = run(compiler, directory)
    if not (directory / "pan").exists():
        return generated + compiled
    limits = [f"-m{MAX_DEPTH_STEPS}", f"-w{HASH_TABLE_LOG2}"]
    return run([str(directory / "pan"), *limits], directory)


def verdict(check: Check) -> Verdict:
    """Run one check and compare its result with the expected one.

    :param check: the check.
    """
    with tempfile.TemporaryDirectory() as directory:
        output = explore(check, Path(directory))
    errors = ERRORS_PATTERN.search(output)
    states = STATES_PATTERN.search(output)
    if errors is None or states is None:
        return Verdict(check, passed=False, states=0, found=output[-500:])
    violation = VIOLATION_PATTERN.search(output)
    found = violation.group(1) if violation else "no violation"
    violated = "assertion violated" in found
    complete = "search depth too small" not in output and "out of memory" not in output
    passed = violated if check.guard else complete and errors.group(1) == "0"
    return Verdict(check, passed, int(float(states.group(1))), found)


def main() -> int:
    """Run every check and return the exit code."""
    if shutil.which("spin") is None:
        print(
            f"spin is not installed: {len(CHECKS)} checks NOT RUN; .ci/run installs it"
        )
        return 0
    with ThreadPoolExecutor(PARALLEL_CHECKS) as pool:
        verdicts = list(pool.map(verdict, CHECKS))
    for done in verdicts:
        mark = "ok" if done.passed else "FAILED"
        print(f"{mark:6} {done.check.name:40} {done.states:>10} states  {done.found}")
    failed = sum(not done.passed for done in verdicts)
    print(f"{len(verdicts)} checks, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

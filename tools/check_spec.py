"""Check the protocol models in spec/ with Spin.

Every complete model must satisfy its assertions, and Spin must find a
counterexample for every model with a guard removed.
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
MAX_PARALLEL_CHECKS = 2
COMMAND_TIMEOUT_S = 300
HASH_TABLE_SIZE_LOG2 = 24
MAX_DEPTH_STEPS = 100_000
ERRORS_PATTERN = re.compile(r"errors: (\d+)")
STATES_PATTERN = re.compile(r"(\S+) states, stored")
VIOLATION_PATTERN = re.compile(r"pan:\d+: (.*) \(at depth")


@attrs.frozen
class Check:
    """One run of Spin.

    :param model: file name of the model without its suffix.
    :param variant: macro that selects a variant of the model; empty for none.
    :param removed_guard: macro that removes a guard; empty for the complete
        model.
    """

    model: str
    variant: str = ""
    removed_guard: str = ""

    @property
    def name(self) -> str:
        """Name to print for the check."""
        return " ".join(filter(None, [self.model, self.variant, self.removed_guard]))

    @property
    def macros(self) -> list[str]:
        """Preprocessor options to pass to Spin."""
        return [f"-D{macro}" for macro in (self.variant, self.removed_guard) if macro]


@attrs.frozen
class CheckResult:
    """Result of one check.

    :param check: the check.
    :param passed: whether Spin found what the check expects.
    :param states: number of states that Spin stored.
    :param finding: violated assertion, "no violation", or the end of the
        output if Spin or the compiler failed.
    """

    check: Check
    passed: bool
    states: int
    finding: str


CHECKS = [
    Check("configuration"),
    Check("configuration", removed_guard="NO_CAS"),
    Check("configuration", removed_guard="NO_TAIL"),
    Check("snapshots"),
    Check("snapshots", removed_guard="ANY_SNAPSHOT"),
    Check("snapshots", removed_guard="PARTIAL_SNAPSHOT"),
    Check("snapshots", removed_guard="NO_GAP_CHECK"),
    Check("orders"),
    Check("orders", removed_guard="NO_LAPSE"),
    Check("orders", removed_guard="NO_WAIT"),
    Check("orders", removed_guard="LAPSE_FROM_READ"),
    Check("orders", removed_guard="SEND_BEFORE_READ"),
    Check("orders", removed_guard="NO_QUIET"),
    Check("orders", removed_guard="PAUSE_AT_SEND"),
    Check("orders", "CHECKS"),
    Check("orders", "CHECKS", "NO_FENCING"),
    Check("orders", "CHECKS", "NO_RESTATE"),
    Check("orders", "CHECKS", "SEND_BEFORE_READ"),
    Check("orders", "CHECKS", "NO_QUIET"),
    Check("roles"),
    Check("roles", removed_guard="NO_MINIMUM"),
    Check("roles", removed_guard="NO_POOL_CAS"),
    Check("claims"),
    Check("claims", removed_guard="RUN_ON_ANSWER"),
    Check("claims", removed_guard="RUN_AFTER_GIVE_UP"),
    Check("claims", removed_guard="FREE_ON_SUPERSEDE"),
    Check("claims", removed_guard="ANYONE_ENDS"),
    Check("claims", removed_guard="FREE_UNKNOWN"),
]


def run_command(command: list[str], directory: Path) -> str:
    """Run a command and return its standard output and standard error.

    :param command: program and arguments.
    :param directory: directory to run it in.
    :raises subprocess.TimeoutExpired: if the command takes too long.
    """
    completed = subprocess.run(
        command,
        cwd=directory,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )
    return completed.stdout


def run_verifier(check: Check, directory: Path) -> str:
    """Build and run Spin's verifier for a check and return its output.

    A model with a guard removed is searched breadth-first, so that Spin reports
    the shortest counterexample.

    :param check: the check.
    :param directory: empty directory for the generated files.
    """
    source = (SPEC_DIR / f"{check.model}.pml").read_text(encoding="utf-8")
    (directory / "model.pml").write_text(source, encoding="utf-8")
    generated = run_command(["spin", *check.macros, "-a", "model.pml"], directory)
    search_options = ["-DBFS"] if check.removed_guard else []
    compiler = ["gcc", "-O2", "-w", "-DSAFETY", *search_options, "-o", "pan", "pan.c"]
    compiled = run_command(compiler, directory)
    if not (directory / "pan").exists():
        return generated + compiled
    limit_options = [f"-m{MAX_DEPTH_STEPS}", f"-w{HASH_TABLE_SIZE_LOG2}"]
    return run_command([str(directory / "pan"), *limit_options], directory)


def run_check(check: Check) -> CheckResult:
    """Run one check and compare the finding of Spin with the expected one.

    :param check: the check.
    """
    with tempfile.TemporaryDirectory() as directory:
        output = run_verifier(check, Path(directory))
    errors = ERRORS_PATTERN.search(output)
    states = STATES_PATTERN.search(output)
    if errors is None or states is None:
        return CheckResult(check, passed=False, states=0, finding=output[-500:])
    violation = VIOLATION_PATTERN.search(output)
    finding = violation.group(1) if violation else "no violation"
    violated = "assertion violated" in finding
    complete = "search depth too small" not in output and "out of memory" not in output
    passed = violated if check.removed_guard else complete and errors.group(1) == "0"
    return CheckResult(check, passed, int(float(states.group(1))), finding)


def main() -> int:
    """Run all checks, print their results and return the exit code."""
    if shutil.which("spin") is None:
        print(
            f"spin is not installed: {len(CHECKS)} checks NOT RUN; .ci/run installs it"
        )
        return 0
    with ThreadPoolExecutor(MAX_PARALLEL_CHECKS) as pool:
        results = list(pool.map(run_check, CHECKS))
    for result in results:
        status = "ok" if result.passed else "FAILED"
        print(
            f"{status:6} {result.check.name:40} {result.states:>10} states  "
            f"{result.finding}"
        )
    failed = sum(not result.passed for result in results)
    print(f"{len(results)} checks, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

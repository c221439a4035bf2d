"""The command line: ``jasminewalk COMMAND``."""

import errno
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import anyio
import attrs
import fire
import msgspec
from absl import logging

from jasminewalk.exceptions import BadSettingsError, JasminewalkError
from jasminewalk.generated_codes import Code
from jasminewalk.logs import configure_logging

__all__ = ["Commands", "Standins", "main"]

SETTINGS_VARIABLE = "JASMINEWALK_SETTINGS"
SETTINGS_FILE = "operator.yaml"
EXIT_INTERRUPTED = 130
BIND_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES)
ADDRESS_POLL_S = 0.01


@attrs.frozen
class Action:
    """What a command line asks for, to be done once all of it was understood.

    :param do: does it.
    """

    do: Callable[[], None]


class Daemon(Protocol):
    """What the command line needs of a daemon."""

    address: str

    async def run(self) -> None:
        """Serve until stopped."""

    def stop(self) -> None:
        """Finish what runs, then end ``run``."""


class Standins:
    """Small stand-ins for the platform and the back ends, for tests and trials."""

    def engine(self, settings: str, verbosity: int = 0) -> Action:
        """Run an engine stand-in until SIGTERM.

        :param settings: YAML file with the settings (StandinEngineSettings).
        :param verbosity: 1 logs more, -1 logs warnings only.
        """
        from jasminewalk.generated_standins import StandinEngineSettings
        from jasminewalk.standin_engine import StandinEngine

        return Action(
            lambda: _serve(StandinEngine, StandinEngineSettings, settings, verbosity)
        )

    def service(self, settings: str, verbosity: int = 0) -> Action:
        """Run a service stand-in until SIGTERM.

        :param settings: YAML file with the settings (StandinServiceSettings).
        :param verbosity: 1 logs more, -1 logs warnings only.
        """
        from jasminewalk.generated_standins import StandinServiceSettings
        from jasminewalk.standin_service import StandinService

        return Action(
            lambda: _serve(StandinService, StandinServiceSettings, settings, verbosity)
        )

    def log(self, settings: str, verbosity: int = 0) -> Action:
        """Run a stand-in of the platform's log until SIGTERM.

        :param settings: YAML file with the settings (StandinLogSettings).
        :param verbosity: 1 logs more, -1 logs warnings only.
        """
        from jasminewalk.generated_standins import StandinLogSettings
        from jasminewalk.standin_log import StandinLog

        return Action(
            lambda: _serve(StandinLog, StandinLogSettings, settings, verbosity)
        )

    def instances(self, settings: str, verbosity: int = 0) -> Action:
        """Run a stand-in of the platform's instance list until SIGTERM.

        :param settings: YAML file with the settings (StandinInstancesSettings).
        :param verbosity: 1 logs more, -1 logs warnings only.
        """
        from jasminewalk.generated_standins import StandinInstancesSettings
        from jasminewalk.standin_instances import StandinInstances

        return Action(
            lambda: _serve(
                StandinInstances, StandinInstancesSettings, settings, verbosity
            )
        )

    def weights(self, settings: str, verbosity: int = 0) -> Action:
        """Run a weight store stand-in until SIGTERM.

        :param settings: YAML file with the settings (StandinWeightsSettings).
        :param verbosity: 1 logs more, -1 logs warnings only.
        """
        from jasminewalk.generated_standins import StandinWeightsSettings
        from jasminewalk.standin_weights import StandinWeights

        return Action(
            lambda: _serve(StandinWeights, StandinWeightsSettings, settings, verbosity)
        )


class Commands:
    """Serves language-model work on a fixed fleet of engines.

    Errors are one line with a number; docs/ERRORS.md lists them with the exit codes.
    Commands for operators read operator.yaml, or the file that JASMINEWALK_SETTINGS
    or --settings names, to find the log and the instance list.
    """

    def __init__(self) -> None:
        self.standin = Standins()

    def entry(self, settings: str, verbosity: int = 0) -> Action:
        """Run an entry: accept callers and relay their answers, until SIGTERM.

        :param settings: YAML file with the settings (EntrySettings).
        :param verbosity: 1 logs more, -1 logs warnings only.
        """
        from jasminewalk.entry import EntryDaemon
        from jasminewalk.generated_settings import EntrySettings

        return Action(lambda: _serve(EntryDaemon, EntrySettings, settings, verbosity))

    def sidecar(self, settings: str, verbosity: int = 0) -> Action:
        """Run the sidecar of one endpoint until SIGTERM.

        :param settings: YAML file with the settings (SidecarSettings).
        :param verbosity: 1 logs more, -1 logs warnings only.
        """
        from jasminewalk.generated_settings import SidecarSettings
        from jasminewalk.sidecar import SidecarDaemon

        return Action(
            lambda: _serve(SidecarDaemon, SidecarSettings, settings, verbosity)
        )

    def demo(self, stay: bool = False, verbosity: int = -1) -> Action:
        """Run a whole fleet in this process, send it requests, show the answers.

        Exits 0 only if every answer came and the booking ran once.

        :param stay: keep serving until interrupted and print the base URL.
        :param verbosity: 1 logs more, 0 logs information, -1 warnings only.
        """

        def do() -> None:
            from jasminewalk.embedded import run_demo

            configure_logging(verbosity)
            sys.exit(run_demo(stay))

        return Action(do)

    def check(self, file: str) -> Action:
        """Check a settings, load or configuration file without publishing it.

        :param file: YAML file, or directory of configuration files.
        """
        from jasminewalk.file_checks import check_file

        return Action(lambda: print(check_file(str(file))))

    def publish(
        self,
        file: str,
        dry_run: bool = False,
        base: int | None = None,
        reason: str = "",
        wait: bool = True,
        settings: str = "",
    ) -> Action:
        """Put a configuration in force and say when it is so everywhere.

        Running it again is harmless: what is in force already is left alone. Of two
        racing publications the first on the log wins; the other one ends with
        exit code 8 and names the winner.

        :param file: YAML file, or directory of configuration files.
        :param dry_run: show the differences and publish nothing.
        :param base: refuse if something was changed after this revision.
        :param reason: why, kept on the log and shown by status.
        :param wait: wait until it is in force on all live instances.
        :param settings: YAML file with the settings (OperatorSettings).
        """
        from jasminewalk.publish import PublishOptions, publish_file

        options = PublishOptions(
            file=str(file), dry_run=dry_run, base=base, reason=str(reason), wait=wait
        )
        return Action(
            lambda: _run(
                lambda: publish_file(_operator_settings(settings), options, print)
            )
        )

    def status(
        self, json: bool = False, changes: int = 10, settings: str = ""
    ) -> Action:
        """Show entries, endpoints, the revision in force and recent changes.

        :param json: print JSON instead of text.
        :param changes: how many recent changes to show.
        :param settings: YAML file with the settings (OperatorSettings).
        """
        from jasminewalk.inspection import read_status
        from jasminewalk.status_text import status_lines

        def do() -> None:
            status = _run(lambda: read_status(_operator_settings(settings), changes))
            _show(status, status_lines(status), json)

        return Action(do)

    def explain(
        self, request_id: str, json: bool = False, settings: str = ""
    ) -> Action:
        """Show what became of a request: attempts, endpoints weighed, times.

        :param request_id: identifier from the answer's Request-Id header.
        :param json: print JSON instead of text.
        :param settings: YAML file with the settings (OperatorSettings).
        """
        from jasminewalk.inspection import explain_request
        from jasminewalk.status_text import trace_lines

        def do() -> None:
            operator = _operator_settings(settings)
            entry, trace = _run(lambda: explain_request(operator, str(request_id)))
            _show(trace, trace_lines(entry, trace), json)

        return Action(do)

    def load(self, file: str, out: str = "reports/load") -> Action:
        """Send an open-loop load to a fleet and report percentiles and goodput.

        :param file: YAML file with the plan (LoadPlan).
        :param out: directory for result.json and report.html.
        """
        from jasminewalk.load import run_load

        return Action(lambda: _run(lambda: run_load(str(file), str(out), print)))

    def measure(
        self,
        file: str,
        variants: Any = (),
        policies: Any = (),
        seeds: Any = (),
        json: str = "",
        plot: str = "",
    ) -> Action:
        """Measure routing and admission policies on a model of the fleet.

        :param file: YAML file with the workload.
        :param variants: names of variants, with commas; the workload itself if none.
        :param policies: names of policies, with commas; ours and the baselines if none.
        :param seeds: numbers, with commas.
        :param json: file for the figures of every run.
        :param plot: file for a plot.
        """
        from jasminewalk.measure import DEFAULT_POLICIES, DEFAULT_SEEDS, run_measure

        return Action(
            lambda: run_measure(
                str(file),
                variants=_items(variants),
                policies=_items(policies) or DEFAULT_POLICIES,
                seeds=[int(seed) for seed in _items(seeds)] or DEFAULT_SEEDS,
                json_path=str(json),
                plot_path=str(plot),
            )
        )


def _items(value: Any) -> list[str]:
    parts = value if isinstance(value, (list, tuple)) else str(value).split(",")
    return [str(part) for part in parts if str(part)]


def _show(value: Any, lines: list[str], as_json: bool) -> None:
    if as_json:
        print(msgspec.json.format(msgspec.json.encode(value)).decode())
    else:
        print("\n".join(lines))


def _operator_settings(file: str) -> Any:
    from jasminewalk.generated_settings import OperatorSettings
    from jasminewalk.settings import load_settings

    name = file or os.environ.get(SETTINGS_VARIABLE, SETTINGS_FILE)
    return load_settings(str(name), OperatorSettings)


def _run(function: Callable[[], Awaitable[Any]]) -> Any:
    async def call() -> Any:
        return await function()

    return anyio.run(call, backend_options={"use_uvloop": True})


def _serve(
    daemon_class: Callable[[Any], Daemon],
    settings_class: type,
    file: str,
    verbosity: int,
) -> None:
    from jasminewalk.settings import load_settings

    configure_logging(verbosity)
    settings: Any = load_settings(str(file), settings_class)

    async def serve() -> None:
        daemon = daemon_class(settings)
        async with anyio.create_task_group() as group:
            group.start_soon(_stop_on_signal, daemon)
            group.start_soon(_print_address, daemon)
            await daemon.run()
            group.cancel_scope.cancel()

    try:
        _run(serve)
    except (OSError, BaseExceptionGroup) as error:
        found = _single(error)
        if getattr(found, "errno", None) not in BIND_ERRORS:
            raise
        raise BadSettingsError(
            f"{file}: cannot listen on one of {_listen_addresses(settings)}: {found}"
        ) from error


def _listen_addresses(settings: Any) -> str:
    names = [
        field.name for field in attrs.fields(type(settings)) if "listen" in field.name
    ]
    return ", ".join(getattr(settings, name) for name in names)


async def _stop_on_signal(daemon: Daemon) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            logging.info("[cli] Stopping. signal=%s", signal.Signals(number).name)
            daemon.stop()


async def _print_address(daemon: Daemon) -> None:
    while not daemon.address:
        await anyio.sleep(ADDRESS_POLL_S)
    print(f"address={daemon.address}", flush=True)


def _single(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return error


def _fail(error: BaseException) -> int:
    found = _single(error)
    if isinstance(found, KeyboardInterrupt):
        return EXIT_INTERRUPTED
    if logging.get_verbosity() >= logging.DEBUG:
        traceback.print_exception(found, file=sys.stderr)
    if not isinstance(found, JasminewalkError):
        reason = " ".join(str(found).split()) or "no message"
        found = JasminewalkError(
            f"{type(found).__name__}: {reason}", code=Code.INTERNAL_ERROR
        )
    print(f"error {found}", file=sys.stderr)
    return found.exit_code


def _nothing(action: Any) -> Any:
    return None if isinstance(action, Action) else action


def main(arguments: list[str] | None = None) -> None:
    """Run a command and exit with its code.

    :param arguments: arguments of the command line; those of the process if absent.
    """
    os.environ.setdefault("PAGER", "cat")
    try:
        action = fire.Fire(
            Commands(), command=arguments, name="jasminewalk", serialize=_nothing
        )
        if isinstance(action, Action):
            action.do()
    except SystemExit:
        raise
    except BaseException as error:
        sys.exit(_fail(error))


if __name__ == "__main__":
    main()

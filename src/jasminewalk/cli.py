"""Command-line interface: ``jasminewalk COMMAND``."""

import os
import sys
import traceback
from datetime import datetime
from typing import Any

import fire
import msgspec
from absl import logging

from jasminewalk._cli_daemons import Action, Standins, run_async, serve, unwrap_error
from jasminewalk._cli_text import text_arguments
from jasminewalk.exceptions import (
    BadSettingsError,
    JasminewalkError,
    UnknownRequestError,
)
from jasminewalk.generated_codes import RESULTS, Code
from jasminewalk.logs import configure_logging

__all__ = ["Commands", "main"]

SETTINGS_VARIABLE = "JASMINEWALK_SETTINGS"
DEFAULT_SETTINGS_FILE = "operator.yaml"
EXIT_INTERRUPTED = 130
EXIT_BROKEN_PIPE = 141


class Commands:
    """Serves language-model work on a fixed fleet of engines.

    Errors are printed on one line with an error code. docs/ERRORS.md lists the codes
    and the exit codes. Commands for operators read the addresses of the log and the
    instance list from operator.yaml, or from the file that --settings or
    JASMINEWALK_SETTINGS names.
    """

    def __init__(self) -> None:
        self.standin = Standins()

    @text_arguments("settings")
    def entry(self, settings: str, verbosity: int = 0) -> Action:
        """Run an entry, which accepts requests and relays responses, until SIGTERM.

        :param settings: YAML file with the settings (EntrySettings).
        :param verbosity: log level: 1 for debug, 0 for info, -1 for warning.
        """
        from jasminewalk.generated_settings import EntrySettings
        from jasminewalk.ingress.entry import EntryDaemon

        return Action(lambda: serve(EntryDaemon, EntrySettings, settings, verbosity))

    @text_arguments("settings")
    def gateway(self, settings: str = "") -> Action:
        """Run a gateway on the platform until SIGTERM.

        :param settings: TOML file with the settings, which the platform provides;
            defaults to the file that JASMINEWALK_CONFIG names.
        """
        from jasminewalk.gateway.__main__ import serve as serve_gateway

        return Action(lambda: serve_gateway(settings))

    @text_arguments("settings")
    def sidecar(self, settings: str, verbosity: int = 0) -> Action:
        """Run the sidecar of one endpoint until SIGTERM.

        :param settings: YAML file with the settings (SidecarSettings).
        :param verbosity: log level: 1 for debug, 0 for info, -1 for warning.
        """
        from jasminewalk.generated_settings import SidecarSettings
        from jasminewalk.sidecars.sidecar import SidecarDaemon

        return Action(
            lambda: serve(SidecarDaemon, SidecarSettings, settings, verbosity)
        )

    def demo(self, stay: bool = False, verbosity: int = -1) -> Action:
        """Run a fleet in this process, send it requests and print the responses.

        The exit code is 0 only if all requests were answered and the booking ran
        exactly once.

        :param stay: print the base URL and keep serving until interrupted.
        :param verbosity: log level: 1 for debug, 0 for info, -1 for warning.
        """

        def execute() -> None:
            from jasminewalk.demo.embedded import run_demo

            configure_logging(verbosity)
            sys.exit(run_demo(stay))

        return Action(execute)

    @text_arguments("file", "against")
    def check(
        self,
        file: str,
        against: str = "",
        strict: bool = False,
        as_json: bool = False,
    ) -> Action:
        """Check a settings, load or configuration file without publishing it.

        Of a serving configuration, which gateways read, it shows errors, entries
        without effect, limits that contradict each other, and what differs from the
        configuration in force. The exit code is 0 only if there is no error.

        :param file: YAML file, directory of configuration files, or JSON file with a
            serving configuration.
        :param against: JSON file with the serving configuration in force.
        :param strict: fail for warnings, too.
        :param as_json: print the result for a serving configuration as JSON.
        """

        def execute() -> None:
            from jasminewalk.operators.file_checks import check_file

            result = check_file(file, against=against, strict=strict, as_json=as_json)
            print(result.text)
            if not result.is_valid:
                sys.exit(RESULTS[Code.BAD_CONFIGURATION].exit_code)

        return Action(execute)

    @text_arguments("file", "reason", "settings")
    def publish(
        self,
        file: str,
        dry_run: bool = False,
        base: int | None = None,
        reason: str = "",
        wait: bool = True,
        settings: str = "",
    ) -> Action:
        """Publish a configuration and wait until it is in force on all instances.

        The command is idempotent: objects that are already in force are not published
        again. Of two concurrent publications, the first one on the log is accepted;
        the other one fails with exit code 8 and names the accepted one.

        :param file: YAML file, or directory of configuration files.
        :param dry_run: show the differences without publishing them.
        :param base: fail if something was changed after this revision.
        :param reason: reason for the change, kept on the log and shown by status.
        :param wait: wait until the configuration is in force on all live instances.
        :param settings: YAML file with the settings (OperatorSettings).
        """
        from jasminewalk.operators.publish import PublishOptions, publish_file

        options = PublishOptions(
            file=file, dry_run=dry_run, base=base, reason=reason, wait=wait
        )
        return Action(
            lambda: run_async(
                lambda: publish_file(_load_operator_settings(settings), options, print)
            )
        )

    @text_arguments("settings")
    def status(
        self, json: bool = False, changes: int = 10, settings: str = ""
    ) -> Action:
        """Show entries, endpoints, the revision in force and recent changes.

        :param json: print JSON instead of text.
        :param changes: number of recent changes to show.
        :param settings: YAML file with the settings (OperatorSettings).
        """
        from jasminewalk.operators.inspection import read_status
        from jasminewalk.operators.status_text import format_status

        def execute() -> None:
            status = run_async(
                lambda: read_status(_load_operator_settings(settings), changes)
            )
            _print_result(status, format_status(status), json)

        return Action(execute)

    @text_arguments("request_id", "settings", "logs", "engine", "since", "until")
    def explain(
        self,
        request_id: str = "",
        json: bool = False,
        settings: str = "",
        logs: str = "",
        engine: str = "",
        since: str = "",
        until: str = "",
    ) -> Action:
        """Show the trace of a request: attempts, endpoints considered, times.

        The trace is fetched from the entries. For requests to gateways, pass a file
        with their log lines.

        :param request_id: identifier from the Request-Id header of the response.
        :param json: print JSON instead of text.
        :param settings: YAML file with the settings (OperatorSettings).
        :param logs: file with log lines of gateways, or - for standard input.
        :param engine: with logs, show only lines about this engine.
        :param since: with logs, start time in ISO 8601.
        :param until: with logs, end time in ISO 8601.
        """
        if logs:
            return Action(
                lambda: _print_log_trace(logs, request_id, engine, since, until)
            )
        from jasminewalk.operators.inspection import explain_request
        from jasminewalk.operators.status_text import format_trace

        def execute() -> None:
            operator = _load_operator_settings(settings)
            entry, trace = run_async(lambda: explain_request(operator, request_id))
            _print_result(trace, format_trace(entry, trace), json)

        return Action(execute)

    @text_arguments("store", "release")
    def quarantine(self, store: str, release: str = "") -> Action:
        """List the parts of prompts that gateways refuse because they crash engines.

        :param store: address of the platform's store, as HOST:PORT.
        :param release: ids of parts, separated by commas, to serve again instead. All
            gateways know it within 30 seconds.
        """
        from jasminewalk.operators.quarantines import show_or_release

        return Action(lambda: run_async(lambda: show_or_release(store, release, print)))

    @text_arguments("file", "out")
    def load(self, file: str, out: str = "reports/load") -> Action:
        """Send an open-loop load to a fleet and report percentiles and goodput.

        :param file: YAML file with the load plan (LoadPlan).
        :param out: directory to write result.json and report.html to.
        """
        from jasminewalk.loads.load import run_load

        return Action(lambda: run_async(lambda: run_load(file, out, print)))

    @text_arguments("file", "json", "plot")
    def measure(
        self,
        file: str,
        variants: Any = (),
        policies: Any = (),
        seeds: Any = (),
        json: str = "",
        plot: str = "",
    ) -> Action:
        """Measure routing and admission policies in a simulation of the fleet.

        :param file: YAML file with the workload.
        :param variants: comma-separated variants; defaults to the workload itself.
        :param policies: comma-separated policies; defaults to jasminewalk and the
            baselines.
        :param seeds: comma-separated seeds.
        :param json: file to write the results of all runs to.
        :param plot: file to write a plot to.
        """
        from jasminewalk.measuring.measure import (
            DEFAULT_POLICIES,
            DEFAULT_SEEDS,
            run_measure,
        )

        return Action(
            lambda: run_measure(
                file,
                variants=_split_items(variants),
                policies=_split_items(policies) or DEFAULT_POLICIES,
                seeds=[int(seed) for seed in _split_items(seeds)] or DEFAULT_SEEDS,
                json_path=json,
                plot_path=plot,
            )
        )


def _split_items(value: Any) -> list[str]:
    parts = value if isinstance(value, (list, tuple)) else str(value).split(",")
    return [str(part) for part in parts if str(part)]


def _print_result(value: Any, lines: list[str], as_json: bool) -> None:
    if as_json:
        print(msgspec.json.format(msgspec.json.encode(value)).decode())
    else:
        print("\n".join(lines))


def _print_log_trace(
    logs: str, request_id: str, engine: str, since: str, until: str
) -> None:
    from jasminewalk.gateway.log_trace import (
        LineFilter,
        format_lines,
        parse_lines,
        select_lines,
    )

    try:
        line_filter = LineFilter(
            request_id,
            engine,
            datetime.fromisoformat(since) if since else None,
            datetime.fromisoformat(until) if until else None,
        )
        if logs == "-":
            selected = select_lines(parse_lines(sys.stdin), line_filter)
        else:
            with open(logs, encoding="utf-8", errors="replace") as lines:
                selected = select_lines(parse_lines(lines), line_filter)
    except (OSError, ValueError, TypeError) as error:
        raise BadSettingsError(str(error)) from error
    if not selected:
        raise UnknownRequestError(f"no line of {logs} matches")
    print("\n".join(format_lines(selected)))


def _load_operator_settings(file: str) -> Any:
    from jasminewalk.generated_settings import OperatorSettings
    from jasminewalk.settings import load_settings

    name = file or os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_FILE)
    return load_settings(str(name), OperatorSettings)


def _report_error(error: BaseException) -> int:
    cause = unwrap_error(error)
    if isinstance(cause, KeyboardInterrupt):
        return EXIT_INTERRUPTED
    if logging.get_verbosity() >= logging.DEBUG:
        traceback.print_exception(cause, file=sys.stderr)
    if not isinstance(cause, JasminewalkError):
        reason = " ".join(str(cause).split()) or "no message"
        cause = JasminewalkError(
            f"{type(cause).__name__}: {reason}", code=Code.INTERNAL_ERROR
        )
    print(f"error {cause}", file=sys.stderr)
    return cause.exit_code


def _hide_action(action: Any) -> Any:
    return None if isinstance(action, Action) else action


def main(arguments: list[str] | None = None) -> None:
    """Run a command and exit with its exit code.

    :param arguments: command-line arguments; defaults to those of the process.
    """
    os.environ.setdefault("PAGER", "cat")
    try:
        action = fire.Fire(
            Commands(), command=arguments, name="jasminewalk", serialize=_hide_action
        )
        if isinstance(action, Action):
            action.execute()
    except SystemExit:
        raise
    except BrokenPipeError:
        # The interpreter flushes standard output at exit, which would fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(EXIT_BROKEN_PIPE)
    except BaseException as error:
        sys.exit(_report_error(error))


if __name__ == "__main__":
    main()

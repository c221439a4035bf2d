"""The command line: ``jasminewalk COMMAND``."""

import os
import sys
import traceback
from datetime import datetime
from typing import Any

import fire
import msgspec
from absl import logging

from jasminewalk._cli_daemons import Action, Standins, run, serve, single
from jasminewalk._cli_text import text_arguments
from jasminewalk.exceptions import (
    BadSettingsError,
    JasminewalkError,
    UnknownRequestError,
)
from jasminewalk.generated_codes import Code
from jasminewalk.logs import configure_logging

__all__ = ["Commands", "main"]

SETTINGS_VARIABLE = "JASMINEWALK_SETTINGS"
SETTINGS_FILE = "operator.yaml"
EXIT_INTERRUPTED = 130
EXIT_BROKEN_PIPE = 141


class Commands:
    """Serves language-model work on a fixed fleet of engines.

    Errors are one line with a number; docs/ERRORS.md lists them with the exit codes.
    Commands for operators read operator.yaml, or the file that JASMINEWALK_SETTINGS
    or --settings names, to find the log and the instance list.
    """

    def __init__(self) -> None:
        self.standin = Standins()

    @text_arguments("settings")
    def entry(self, settings: str, verbosity: int = 0) -> Action:
        """Run an entry: accept callers and relay their answers, until SIGTERM.

        :param settings: YAML file with the settings (EntrySettings).
        :param verbosity: 1 logs more, -1 logs warnings only.
        """
        from jasminewalk.generated_settings import EntrySettings
        from jasminewalk.ingress.entry import EntryDaemon

        return Action(lambda: serve(EntryDaemon, EntrySettings, settings, verbosity))

    @text_arguments("settings")
    def gateway(self, settings: str = "") -> Action:
        """Run a gateway on the users' platform until SIGTERM.

        :param settings: settings file (TOML) that the platform lays beside the
            process; the one that JASMINEWALK_CONFIG names if none is given.
        """
        from jasminewalk.gateway.__main__ import serve as serve_gateway

        return Action(lambda: serve_gateway(settings))

    @text_arguments("settings")
    def sidecar(self, settings: str, verbosity: int = 0) -> Action:
        """Run the sidecar of one endpoint until SIGTERM.

        :param settings: YAML file with the settings (SidecarSettings).
        :param verbosity: 1 logs more, -1 logs warnings only.
        """
        from jasminewalk.generated_settings import SidecarSettings
        from jasminewalk.sidecars.sidecar import SidecarDaemon

        return Action(
            lambda: serve(SidecarDaemon, SidecarSettings, settings, verbosity)
        )

    def demo(self, stay: bool = False, verbosity: int = -1) -> Action:
        """Run a whole fleet in this process, send it requests, show the answers.

        Exits 0 only if every answer came and the booking ran once.

        :param stay: keep serving until interrupted and print the base URL.
        :param verbosity: 1 logs more, 0 logs information, -1 warnings only.
        """

        def do() -> None:
            from jasminewalk.demo.embedded import run_demo

            configure_logging(verbosity)
            sys.exit(run_demo(stay))

        return Action(do)

    @text_arguments("file")
    def check(self, file: str) -> Action:
        """Check a settings, load or configuration file without publishing it.

        :param file: YAML file, or directory of configuration files.
        """
        from jasminewalk.operators.file_checks import check_file

        return Action(lambda: print(check_file(file)))

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
        from jasminewalk.operators.publish import PublishOptions, publish_file

        options = PublishOptions(
            file=file, dry_run=dry_run, base=base, reason=reason, wait=wait
        )
        return Action(
            lambda: run(
                lambda: publish_file(_operator_settings(settings), options, print)
            )
        )

    @text_arguments("settings")
    def status(
        self, json: bool = False, changes: int = 10, settings: str = ""
    ) -> Action:
        """Show entries, endpoints, the revision in force and recent changes.

        :param json: print JSON instead of text.
        :param changes: how many recent changes to show.
        :param settings: YAML file with the settings (OperatorSettings).
        """
        from jasminewalk.operators.inspection import read_status
        from jasminewalk.operators.status_text import format_status

        def do() -> None:
            status = run(lambda: read_status(_operator_settings(settings), changes))
            _show(status, format_status(status), json)

        return Action(do)

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
        """Show what became of a request: attempts, endpoints weighed, times.

        Entries are asked for a request; for gateways, give their logs.

        :param request_id: identifier from the answer's Request-Id header.
        :param json: print JSON instead of text.
        :param settings: YAML file with the settings (OperatorSettings).
        :param logs: file with log lines of gateways, - for standard input.
        :param engine: with logs, only lines about this engine.
        :param since: with logs, first instant in ISO 8601.
        :param until: with logs, last instant in ISO 8601.
        """
        if logs:
            return Action(
                lambda: _print_log_trace(logs, request_id, engine, since, until)
            )
        from jasminewalk.operators.inspection import explain_request
        from jasminewalk.operators.status_text import format_trace

        def do() -> None:
            operator = _operator_settings(settings)
            entry, trace = run(lambda: explain_request(operator, request_id))
            _show(trace, format_trace(entry, trace), json)

        return Action(do)

    @text_arguments("file", "out")
    def load(self, file: str, out: str = "reports/load") -> Action:
        """Send an open-loop load to a fleet and report percentiles and goodput.

        :param file: YAML file with the plan (LoadPlan).
        :param out: directory for result.json and report.html.
        """
        from jasminewalk.loads.load import run_load

        return Action(lambda: run(lambda: run_load(file, out, print)))

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
        """Measure routing and admission policies on a model of the fleet.

        :param file: YAML file with the workload.
        :param variants: names of variants, with commas; the workload itself if none.
        :param policies: names of policies, with commas; ours and the baselines if none.
        :param seeds: numbers, with commas.
        :param json: file for the figures of every run.
        :param plot: file for a plot.
        """
        from jasminewalk.measuring.measure import (
            DEFAULT_POLICIES,
            DEFAULT_SEEDS,
            run_measure,
        )

        return Action(
            lambda: run_measure(
                file,
                variants=_items(variants),
                policies=_items(policies) or DEFAULT_POLICIES,
                seeds=[int(seed) for seed in _items(seeds)] or DEFAULT_SEEDS,
                json_path=json,
                plot_path=plot,
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


def _print_log_trace(
    logs: str, request_id: str, engine: str, since: str, until: str
) -> None:
    from jasminewalk.gateway.log_trace import (
        Selection,
        format_lines,
        parse_lines,
        select_lines,
    )

    try:
        selection = Selection(
            request_id,
            engine,
            datetime.fromisoformat(since) if since else None,
            datetime.fromisoformat(until) if until else None,
        )
        if logs == "-":
            found = select_lines(parse_lines(sys.stdin), selection)
        else:
            with open(logs, encoding="utf-8", errors="replace") as lines:
                found = select_lines(parse_lines(lines), selection)
    except (OSError, ValueError, TypeError) as error:
        raise BadSettingsError(str(error)) from error
    if not found:
        raise UnknownRequestError(f"no line of {logs} matches")
    print("\n".join(format_lines(found)))


def _operator_settings(file: str) -> Any:
    from jasminewalk.generated_settings import OperatorSettings
    from jasminewalk.settings import load_settings

    name = file or os.environ.get(SETTINGS_VARIABLE, SETTINGS_FILE)
    return load_settings(str(name), OperatorSettings)


def _fail(error: BaseException) -> int:
    found = single(error)
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
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(EXIT_BROKEN_PIPE)
    except BaseException as error:
        sys.exit(_fail(error))


if __name__ == "__main__":
    main()

"""Commands of the command line that run daemons and stand-ins."""

import errno
import signal
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import anyio
import attrs
from absl import logging

from jasminewalk._cli_text import text_arguments
from jasminewalk.exceptions import BadSettingsError
from jasminewalk.logs import configure_logging

__all__ = ["Action", "Standins", "run_async", "serve", "unwrap_error"]

BIND_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES)
ADDRESS_POLL_INTERVAL_S = 0.01


@attrs.frozen
class Action:
    """Action of a command, to be executed after all arguments have been parsed.

    Fire reports an unknown flag only after it has called the command. A command
    therefore returns its action instead of executing it.

    :param execute: function that runs the command.
    """

    execute: Callable[[], None]


class Daemon(Protocol):
    """Interface of the daemons that the command line runs."""

    address: str

    async def run(self) -> None:
        """Serve until ``stop`` is called."""

    def stop(self) -> None:
        """Finish the work in progress and let ``run`` return."""


class Standins:
    """Stand-ins for the platform and the back ends, for tests and trials."""

    @text_arguments("settings")
    def engine(self, settings: str, verbosity: int = 0) -> Action:
        """Run a stand-in for an engine until SIGTERM.

        :param settings: YAML file with the settings (StandinEngineSettings).
        :param verbosity: log level: 1 for debug, 0 for info, -1 for warning.
        """
        from jasminewalk.generated_standins import StandinEngineSettings
        from jasminewalk.standins.standin_engine import StandinEngine

        return Action(
            lambda: serve(StandinEngine, StandinEngineSettings, settings, verbosity)
        )

    @text_arguments("settings")
    def service(self, settings: str, verbosity: int = 0) -> Action:
        """Run a stand-in for a service until SIGTERM.

        :param settings: YAML file with the settings (StandinServiceSettings).
        :param verbosity: log level: 1 for debug, 0 for info, -1 for warning.
        """
        from jasminewalk.generated_standins import StandinServiceSettings
        from jasminewalk.standins.standin_service import StandinService

        return Action(
            lambda: serve(StandinService, StandinServiceSettings, settings, verbosity)
        )

    @text_arguments("settings")
    def log(self, settings: str, verbosity: int = 0) -> Action:
        """Run a stand-in for the platform's log until SIGTERM.

        :param settings: YAML file with the settings (StandinLogSettings).
        :param verbosity: log level: 1 for debug, 0 for info, -1 for warning.
        """
        from jasminewalk.generated_standins import StandinLogSettings
        from jasminewalk.standins.standin_log import StandinLog

        return Action(
            lambda: serve(StandinLog, StandinLogSettings, settings, verbosity)
        )

    @text_arguments("settings")
    def instances(self, settings: str, verbosity: int = 0) -> Action:
        """Run a stand-in for the platform's instance list until SIGTERM.

        :param settings: YAML file with the settings (StandinInstancesSettings).
        :param verbosity: log level: 1 for debug, 0 for info, -1 for warning.
        """
        from jasminewalk.generated_standins import StandinInstancesSettings
        from jasminewalk.standins.standin_instances import StandinInstances

        return Action(
            lambda: serve(
                StandinInstances, StandinInstancesSettings, settings, verbosity
            )
        )

    @text_arguments("settings")
    def weights(self, settings: str, verbosity: int = 0) -> Action:
        """Run a stand-in for the weight store until SIGTERM.

        :param settings: YAML file with the settings (StandinWeightsSettings).
        :param verbosity: log level: 1 for debug, 0 for info, -1 for warning.
        """
        from jasminewalk.generated_standins import StandinWeightsSettings
        from jasminewalk.standins.standin_weights import StandinWeights

        return Action(
            lambda: serve(StandinWeights, StandinWeightsSettings, settings, verbosity)
        )


def run_async(function: Callable[[], Awaitable[Any]]) -> Any:
    """Run an asynchronous function on uvloop and return its result.

    :param function: function without parameters.
    """

    async def call() -> Any:
        return await function()

    return anyio.run(call, backend_options={"use_uvloop": True})


def serve(
    daemon_class: Callable[[Any], Daemon],
    settings_class: type,
    file: str,
    verbosity: int,
) -> None:
    """Run a daemon until it has shut down after SIGTERM or SIGINT.

    :param daemon_class: class of the daemon.
    :param settings_class: class of its settings.
    :param file: path of the YAML file with the settings.
    :param verbosity: log level: 1 for debug, 0 for info, -1 for warning.
    :raises BadSettingsError: if the file is not valid or the daemon cannot listen on
        an address in it.
    """
    from jasminewalk.settings import load_settings

    configure_logging(verbosity)
    settings: Any = load_settings(file, settings_class)

    async def run_daemon() -> None:
        daemon = daemon_class(settings)
        async with anyio.create_task_group() as group:
            group.start_soon(_stop_on_signal, daemon)
            group.start_soon(_print_address, daemon)
            await daemon.run()
            group.cancel_scope.cancel()

    try:
        run_async(run_daemon)
    except Exception as error:
        cause = unwrap_error(error)
        if not _is_bind_error(cause):
            raise
        raise BadSettingsError(
            f"{file}: cannot listen on one of {_list_addresses(settings)}: {cause}"
        ) from error


def _is_bind_error(error: BaseException) -> bool:
    from pynng.exceptions import AddressInUse

    is_os_error = isinstance(error, OSError) and error.errno in BIND_ERRORS
    return is_os_error or isinstance(error, AddressInUse)


def _list_addresses(settings: Any) -> str:
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
        await anyio.sleep(ADDRESS_POLL_INTERVAL_S)
    print(f"address={daemon.address}", flush=True)


def unwrap_error(error: BaseException) -> BaseException:
    """Unwrap nested exception groups that hold a single exception.

    A group with several exceptions is returned as it is.

    :param error: exception or exception group.
    """
    while isinstance(error, BaseExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return error

"""Entry point of ``python -m jasminewalk.gateway``."""

import signal

# SIGHUP asks a gateway to reload its settings, but its default action would end the
# process during the imports below. It can be ignored meanwhile, as the settings file is
# read after the imports.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

from jasminewalk.exceptions import BadSettingsError  # noqa: E402
from jasminewalk.gateway.daemon import GatewayDaemon  # noqa: E402
from jasminewalk.platform.settings import get_settings_path  # noqa: E402

__all__ = ["serve"]

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def serve(settings: str = "") -> None:
    """Run a gateway until SIGTERM.

    :param settings: path of the settings file; if empty, the platform's default path.
    :raises BadSettingsError: if the settings can't be read.
    """
    path = Path(settings) if settings else get_settings_path()
    try:
        asyncio.run(_run(path))
    finally:
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


async def _run(path: Path) -> None:
    try:
        await GatewayDaemon(path).run()
    finally:
        # The event loop restores the default actions of its signals when it is closed;
        # a signal that comes from then on would end the process with an error.
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


if __name__ == "__main__":
    try:
        serve()
    except BadSettingsError as error:
        sys.exit(f"gateway: {error}")

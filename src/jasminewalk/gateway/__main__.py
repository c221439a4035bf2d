"""Starts a gateway with ``python -m jasminewalk.gateway``."""

import signal

# A changed settings file is read at the start anyway; the signal's default would end
# the process while the rest is imported.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

from jasminewalk.exceptions import BadSettingsError  # noqa: E402
from jasminewalk.gateway.daemon import GatewayDaemon  # noqa: E402
from jasminewalk.platform.settings import get_settings_path  # noqa: E402

__all__ = ["serve"]


def serve(settings: str = "") -> None:
    """Serve until SIGTERM.

    :param settings: settings file; the one that the platform names if empty.
    :raises BadSettingsError: if it can't be read.
    """
    path = Path(settings) if settings else get_settings_path()
    asyncio.run(_run(path))


async def _run(path: Path) -> None:
    await GatewayDaemon(path).run()


if __name__ == "__main__":
    try:
        serve()
    except BadSettingsError as error:
        sys.exit(f"gateway: {error}")

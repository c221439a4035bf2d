"""Starts a gateway with ``python -m jasminewalk.gateway``."""

import asyncio
import sys
from pathlib import Path

from jasminewalk.exceptions import BadSettingsError
from jasminewalk.gateway.daemon import GatewayDaemon
from jasminewalk.platform.settings import settings_path

__all__ = ["serve"]


def serve(settings: str = "") -> None:
    """Serve until SIGTERM.

    :param settings: settings file; the one that the platform names if empty.
    :raises BadSettingsError: if it can't be read.
    """
    path = Path(settings) if settings else settings_path()
    asyncio.run(_run(path))


async def _run(path: Path) -> None:
    await GatewayDaemon(path).run()


if __name__ == "__main__":
    try:
        serve()
    except BadSettingsError as error:
        sys.exit(f"gateway: {error}")

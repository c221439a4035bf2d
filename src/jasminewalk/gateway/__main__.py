"""Starts a gateway with ``python -m jasminewalk.gateway``."""

import asyncio
import sys

from jasminewalk.exceptions import BadSettingsError
from jasminewalk.gateway.daemon import GatewayDaemon
from jasminewalk.platform.settings import settings_path


async def _serve() -> None:
    daemon = GatewayDaemon(settings_path())
    await daemon.run()


def main() -> None:
    """Serve until SIGTERM."""
    try:
        asyncio.run(_serve())
    except BadSettingsError as error:
        sys.exit(f"gateway: {error}")


if __name__ == "__main__":
    main()

"""Prompt parts that gateways refuse, for operators."""

import time
from collections.abc import Callable

from jasminewalk.exceptions import BadSettingsError
from jasminewalk.gateway.quarantine_store import read_quarantines, release_parts
from jasminewalk.gateway.store_connections import StoreConnections
from jasminewalk.platform.store import StoreClient

__all__ = ["show_or_release"]


async def show_or_release(
    address: str, release: str, write: Callable[[str], None]
) -> None:
    """Write a line for each quarantine in the store, or release parts.

    :param address: ``host:port`` of the store.
    :param release: ids of parts to release, separated by commas; empty for none.
    :param write: writes one line.
    :raises BadSettingsError: if the address has no port.
    :raises LogUnavailableError: if the store does not answer as expected.
    """
    if not address.rpartition(":")[2].isdigit():
        raise BadSettingsError(f"{address!r} is no HOST:PORT")
    store = StoreClient(StoreConnections(address, time.monotonic).call)
    if release:
        parts = [part for part in release.split(",") if part]
        await release_parts(store, parts)
        write(f"released: {', '.join(parts)}")
        return
    quarantines = await read_quarantines(store)
    for quarantine in quarantines:
        left_s = quarantine.until_ms / 1e3 - time.time()
        write(
            f"{' and '.join(quarantine.parts)}: {quarantine.crashes} engines crashed, "
            + (f"refused for {left_s:.0f} s" if left_s > 0 else "a trial is due")
        )
    if not quarantines:
        write("no part is refused")

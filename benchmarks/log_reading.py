"""Processor time of a reader of the log for each read and each record."""

import tempfile
import time
from pathlib import Path

import anyio
from _bench import Slope, save, show, slope
from _fleet_data import organisation_records
from _path import PathFleet, fleet

from jasminewalk.agreement.log_client import HttpLog
from jasminewalk.transport._http import http_client

RECORDS = (1, 10, 100, 1000)
READS = 100
TIMEOUT_S = 5.0
US = 1e6


async def read_us(address):
    """Return processor microseconds of a read by the number of its records."""
    points = []
    async with http_client(8) as pool:
        log = HttpLog(pool, address, TIMEOUT_S)
        for data in organisation_records(max(RECORDS)):
            await log.append(data)
        for count in RECORDS:
            start_s = time.process_time()
            for _ in range(READS):
                page = await log.read(1, count)
                assert len(page.entries) == count
            points.append((count, (time.process_time() - start_s) / READS * US))
    return points


def main() -> list[Slope]:
    with tempfile.TemporaryDirectory() as folder:
        running = PathFleet(Path(folder))
        try:
            running.addresses["log"] = fleet.allocate_address()
            settings = {
                "listen": running.addresses["log"],
                "appends_per_s": 1e6,
                "append_burst": 1_000_000,
            }
            running.start("log", settings, "standin", "log")
            fleet.wait_for(lambda: running.get_counts("log"), "log")
            points = anyio.run(
                read_us,
                running.addresses["log"],
                backend_options={"use_uvloop": True},
            )
        finally:
            running.stop()
    rows = [slope("one read of the log", "record", "us", points)]
    save("log_reading", rows)
    return rows


if __name__ == "__main__":
    show(main())

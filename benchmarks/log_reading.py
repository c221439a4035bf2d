"""CPU time of a client of the log per read and per record."""

import tempfile
import time
from pathlib import Path

import anyio
from _bench import LinearFit, fit_line, print_rows, save_rows
from _fleet_data import generate_organisation_records
from _single_engine_fleet import SingleEngineFleet, fleet

from jasminewalk.agreement.log_client import HttpLog
from jasminewalk.transport._http import open_http_pool

RECORD_COUNTS = (1, 10, 100, 1000)
READ_COUNT = 100
TIMEOUT_S = 5.0
US_PER_S = 1e6


async def measure_read_us(address):
    """Return pairs of the number of records in a read and the CPU microseconds used."""
    points = []
    async with open_http_pool(8) as pool:
        log = HttpLog(pool, address, TIMEOUT_S)
        for data in generate_organisation_records(max(RECORD_COUNTS)):
            await log.append(data)
        for count in RECORD_COUNTS:
            start_s = time.process_time()
            for _ in range(READ_COUNT):
                page = await log.read(1, count)
                assert len(page.entries) == count
            points.append(
                (count, (time.process_time() - start_s) / READ_COUNT * US_PER_S)
            )
    return points


def main() -> list[LinearFit]:
    with tempfile.TemporaryDirectory() as folder:
        running_fleet = SingleEngineFleet(Path(folder))
        try:
            running_fleet.addresses["log"] = fleet.allocate_address()
            settings = {
                "listen": running_fleet.addresses["log"],
                "appends_per_s": 1e6,
                "append_burst": 1_000_000,
            }
            running_fleet.start("log", settings, "standin", "log")
            fleet.wait_for(lambda: running_fleet.get_counts("log"), "log")
            points = anyio.run(
                measure_read_us,
                running_fleet.addresses["log"],
                backend_options={"use_uvloop": True},
            )
        finally:
            running_fleet.stop()
    rows = [fit_line("one read of the log", "record", "us", points)]
    save_rows("log_reading", rows)
    return rows


if __name__ == "__main__":
    print_rows(main())

"""Process with the control listeners of many sidecars, for control_channel."""

import json
import os
import random
import sys
import time

import anyio
from _fleet_data import SHARED_KEY, build_reports

from jasminewalk.generated_settings import PeerSettings
from jasminewalk.transport.channel import MessageHandler, PeerListener

FIRST_PORT = 12000
LAST_PORT = 20000
BIND_ATTEMPTS = 200


class DiscardHandler(MessageHandler):
    """Handler that drops what comes."""

    def on_message(self, envelope, pipe):
        """Drop a message."""

    def on_rejected(self, code):
        """Drop a code."""


def create_listener(name, rng):
    """Return a listener and its address on a free port.

    :param name: endpoint name.
    :param rng: random source for the port.
    """
    for _ in range(BIND_ATTEMPTS):
        address = f"127.0.0.1:{rng.randrange(FIRST_PORT, LAST_PORT)}"
        try:
            listener = PeerListener(
                address,
                name,
                "life",
                PeerSettings(shared_key=SHARED_KEY),
                DiscardHandler(),
            )
        except Exception:
            continue
        return listener, address
    raise RuntimeError("no free port")


async def send_reports(listeners, reports, interval_s):
    """Send each endpoint's report once in a period, until cancelled.

    :param listeners: listeners by endpoint.
    :param reports: reports.
    :param interval_s: the period in seconds.
    """
    sent_count = 0
    while True:
        for report in reports:
            sent_count += await listeners[report.endpoint].broadcast(report)
            await anyio.sleep(interval_s / len(reports))
        print(json.dumps([sent_count, time.process_time()]), flush=True)


async def main(count, interval_s):
    """Listen, tell the addresses, and send reports until stdin is closed.

    :param count: number of sidecars.
    :param interval_s: seconds between two reports of a sidecar.
    """
    rng = random.Random(os.getpid())
    listeners = {}
    addresses = []
    reports = build_reports(count)
    for report in reports:
        listeners[report.endpoint], address = create_listener(report.endpoint, rng)
        addresses.append(address)
    print(json.dumps(addresses), flush=True)
    async with anyio.create_task_group() as group:
        group.start_soon(send_reports, listeners, reports, interval_s)
        await anyio.to_thread.run_sync(sys.stdin.read)
        group.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(
        main, int(sys.argv[1]), float(sys.argv[2]), backend_options={"use_uvloop": True}
    )

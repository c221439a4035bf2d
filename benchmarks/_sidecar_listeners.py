"""Process with the control listeners of many sidecars, used by control_channel."""

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
    """Handler that discards all messages."""

    def on_message(self, envelope, pipe):
        """Discard a message."""

    def on_rejected(self, code):
        """Ignore the rejection of a message."""


def create_listener(name, rng):
    """Create a listener on a free port; return it and its address.

    :param name: endpoint name.
    :param rng: random number generator that chooses the port.
    :raises RuntimeError: if no free port is found.
    """
    for _ in range(BIND_ATTEMPTS):
        address = f"127.0.0.1:{rng.randrange(FIRST_PORT, LAST_PORT)}"
        try:
            listener = PeerListener(
                address,
                name,
                "0001",
                PeerSettings(shared_key=SHARED_KEY),
                DiscardHandler(),
            )
        except Exception:
            continue
        return listener, address
    raise RuntimeError("no free port")


async def send_reports(listeners, reports, interval_s):
    """Send each endpoint's load report once per interval until cancelled.

    After each interval, print the messages sent and the CPU seconds used since the
    start.

    :param listeners: listeners by endpoint name.
    :param reports: load report of each endpoint.
    :param interval_s: seconds between two reports of an endpoint.
    """
    sent_count = 0
    while True:
        for report in reports:
            sent_count += await listeners[report.endpoint].broadcast(report)
            await anyio.sleep(interval_s / len(reports))
        print(json.dumps([sent_count, time.process_time()]), flush=True)


async def main(count, interval_s):
    """Start the listeners, print their addresses and send reports until stdin closes.

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

"""Processor time and bytes of control messages between entry and sidecars."""

import json
import subprocess
import sys
import time
from pathlib import Path

import anyio
import attrs
import msgspec
from _bench import Slope, busy_s, save, show, slope
from _fleet_data import KEY, instances, reports

from jasminewalk.generated_messages import CacheEvents, EntryHello, PoolDemand
from jasminewalk.generated_settings import PeerSettings
from jasminewalk.transport.channel import MessageHandler, PeerDialer
from jasminewalk.transport.codec import MessageCodec

SIDECARS = (16, 64, 128)
PERIOD_S = 0.25
WARM_S = 1.5
RUN_S = 5.0
BATCHES = (10, 100, 1000)
BLOCK_COUNTS = (10, 100, 1000)
LIST_SIZES = (100, 1000, 6300)
MODEL_COUNTS = (1, 4, 19)
US = 1e6


class Counter(MessageHandler):
    """Counts messages and their bytes."""

    def __init__(self):
        self.messages = 0

    def on_message(self, envelope, pipe):
        """Count a message."""
        self.messages += 1

    def on_rejected(self, code):
        """Fail the run.

        :param code: result code.
        """
        raise AssertionError(code)


async def received(addresses):
    """Return messages and processor seconds of a run with these sidecars.

    :param addresses: control addresses.
    """
    counter = Counter()
    settings = PeerSettings(shared_key=KEY)
    hello = EntryHello(entry="entry-1", incarnation="life")
    dialers = [
        PeerDialer(address, "entry-1", "life", settings, counter)
        for address in addresses
    ]
    async with anyio.create_task_group() as group:
        for dialer in dialers:
            group.start_soon(dialer.receive)
        await anyio.sleep(WARM_S)
        for dialer in dialers:
            await dialer.send(hello)
        start, start_s = counter.messages, time.process_time()
        await anyio.sleep(RUN_S)
        found = counter.messages - start, time.process_time() - start_s
        for dialer in dialers:
            dialer.close()
        group.cancel_scope.cancel()
    return found


def channel_cost(count):
    """Return processor seconds a second at the entry for some sidecars.

    :param count: number of sidecars.
    """
    command = [
        sys.executable,
        str(Path(__file__).with_name("_listeners.py")),
        str(count),
        str(PERIOD_S),
    ]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as child:
        addresses = json.loads(child.stdout.readline())
        messages, seconds = anyio.run(
            received, addresses, backend_options={"use_uvloop": True}
        )
        output, _ = child.communicate("")
    rounds = [json.loads(line) for line in output.splitlines()]
    (first, first_s), (last, last_s) = rounds[len(rounds) // 3], rounds[-1]
    sent_us = (last_s - first_s) / (last - first) * US
    return messages / RUN_S, seconds / RUN_S, sent_us


def encoded_bytes(message):
    return len(MessageCodec(KEY).encode("engine-00001", "0" * 16, 100_000, message))


def codec_us(count):
    """Return the processor time to encode and decode some reports."""
    encoder, decoder = MessageCodec(KEY), MessageCodec(KEY)
    rows = reports(count)

    def turn():
        for number, row in enumerate(rows):
            decoder.decode(encoder.encode(row.endpoint, "0" * 16, number, row))

    return busy_s(turn) * US


def main() -> list[Slope]:
    points = [channel_cost(count) for count in SIDECARS]
    report = reports(1)[0]
    hashes = [(1 << 62) + number * 7919 for number in range(max(BLOCK_COUNTS))]
    demand = PoolDemand(
        entry="entry-1",
        pool="pool-1",
        period_s=1.0,
        prompt_tokens=100_000,
        output_tokens=10_000,
        requests=50,
    )
    small = [
        ("load report", report),
        ("hello", EntryHello(entry="entry-1", incarnation="0" * 16)),
        ("demand", demand),
    ]
    rows = [
        slope(
            "processor time of an entry for control messages",
            "message received a second",
            "s/s",
            [(rate, seconds) for rate, seconds, _ in points],
        ),
        slope(
            "processor time of a sidecar for control messages",
            "message sent a second",
            "s/s",
            [(rate, rate * sent_us / US) for rate, _, sent_us in points],
        ),
        slope(
            "sealing and opening",
            "load report",
            "us",
            [(count, codec_us(count)) for count in BATCHES],
        ),
        slope(
            "cache events on the channel",
            "block",
            "B",
            [(count, events_bytes(report, hashes[:count])) for count in BLOCK_COUNTS],
        ),
        slope(
            "instance list answer",
            "endpoint listed",
            "B",
            [(count, listing_bytes(count)) for count in LIST_SIZES],
        ),
        slope(
            "load report on the channel",
            "model loaded",
            "B",
            [(count, models_bytes(report, count)) for count in MODEL_COUNTS],
        ),
        *(
            slope(
                f"{name} on the channel",
                "message",
                "B",
                [(count, count * encoded_bytes(message)) for count in BATCHES],
            )
            for name, message in small[1:]
        ),
    ]
    save("control_channel", rows)
    return rows


def events_bytes(report, added):
    return encoded_bytes(
        CacheEvents(
            endpoint=report.endpoint,
            incarnation="0" * 16,
            first_sequence=1000,
            added=added,
            count=len(added),
        )
    )


def listing_bytes(count):
    return len(msgspec.json.encode(instances(count)))


def models_bytes(report, count):
    models = [f"model-{number:02d}" for number in range(count)]
    return encoded_bytes(attrs.evolve(report, models=models))


if __name__ == "__main__":
    show(main())

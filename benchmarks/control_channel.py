"""CPU time and size of the control messages between entries and sidecars."""

import json
import subprocess
import sys
import time
from pathlib import Path

import anyio
import attrs
import msgspec
from _bench import LinearFit, fit_line, measure_cpu_s, print_rows, save_rows
from _fleet_data import SHARED_KEY, build_instances, build_reports

from jasminewalk.generated_messages import CacheEvents, EntryHello, PoolDemand
from jasminewalk.generated_settings import PeerSettings
from jasminewalk.transport.channel import MessageHandler, PeerDialer
from jasminewalk.transport.codec import MessageCodec

SIDECAR_COUNTS = (16, 64, 128)
REPORT_INTERVAL_S = 0.25
WARMUP_S = 1.5
RUN_S = 5.0
MESSAGE_COUNTS = (10, 100, 1000)
BLOCK_COUNTS = (10, 100, 1000)
INSTANCE_COUNTS = (100, 1000, 6300)
MODEL_COUNTS = (1, 4, 19)
US_PER_S = 1e6


class MessageCounter(MessageHandler):
    """Handler that counts the received messages."""

    def __init__(self):
        self.message_count = 0

    def on_message(self, envelope, pipe):
        """Count a message."""
        self.message_count += 1

    def on_rejected(self, code):
        """Fail the run.

        :param code: result code.
        """
        raise AssertionError(code)


async def measure_reception(addresses):
    """Return the messages that an entry receives in a run, and its CPU seconds.

    :param addresses: control addresses of the sidecars.
    """
    handler = MessageCounter()
    settings = PeerSettings(shared_key=SHARED_KEY)
    hello = EntryHello(entry="entry-1", incarnation="0001")
    dialers = [
        PeerDialer(address, "entry-1", "0001", settings, handler)
        for address in addresses
    ]
    async with anyio.create_task_group() as group:
        for dialer in dialers:
            group.start_soon(dialer.receive)
        await anyio.sleep(WARMUP_S)
        for dialer in dialers:
            await dialer.send(hello)
        start_count, start_s = handler.message_count, time.process_time()
        await anyio.sleep(RUN_S)
        measured = handler.message_count - start_count, time.process_time() - start_s
        for dialer in dialers:
            dialer.close()
        group.cancel_scope.cancel()
    return measured


def measure_channel(count):
    """Measure the channels between one entry and a number of sidecars.

    Return the messages that the entry receives per second, the CPU seconds that it
    uses per second, and the CPU microseconds of the sidecars per message sent.

    :param count: number of sidecars.
    """
    command = [
        sys.executable,
        str(Path(__file__).with_name("_sidecar_listeners.py")),
        str(count),
        str(REPORT_INTERVAL_S),
    ]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as child:
        addresses = json.loads(child.stdout.readline())
        messages, cpu_s = anyio.run(
            measure_reception, addresses, backend_options={"use_uvloop": True}
        )
        output, _ = child.communicate("")
    rounds = [json.loads(line) for line in output.splitlines()]
    # The first third of the rounds includes the warm-up of the entry.
    (first_count, first_s), (last_count, last_s) = rounds[len(rounds) // 3], rounds[-1]
    sent_us = (last_s - first_s) / (last_count - first_count) * US_PER_S
    return messages / RUN_S, cpu_s / RUN_S, sent_us


def measure_encoded_bytes(message):
    """Return the size in bytes of an encoded message."""
    return len(
        MessageCodec(SHARED_KEY).encode("engine-00001", "0" * 16, 100_000, message)
    )


def measure_codec_us(count):
    """Return the CPU microseconds to encode and decode a number of load reports."""
    encoder, decoder = MessageCodec(SHARED_KEY), MessageCodec(SHARED_KEY)
    reports = build_reports(count)

    def encode_and_decode():
        for number, report in enumerate(reports):
            decoder.decode(encoder.encode(report.endpoint, "0" * 16, number, report))

    return measure_cpu_s(encode_and_decode) * US_PER_S


def main() -> list[LinearFit]:
    points = [measure_channel(count) for count in SIDECAR_COUNTS]
    report = build_reports(1)[0]
    hashes = [(1 << 62) + number * 7919 for number in range(max(BLOCK_COUNTS))]
    demand = PoolDemand(
        entry="entry-1",
        pool="pool-1",
        period_s=1.0,
        prompt_tokens=100_000,
        output_tokens=10_000,
        requests=50,
    )
    messages = [
        ("load report", report),
        ("hello", EntryHello(entry="entry-1", incarnation="0" * 16)),
        ("demand", demand),
    ]
    rows = [
        fit_line(
            "processor time of an entry for control messages",
            "message received a second",
            "s/s",
            [(rate, cpu_s) for rate, cpu_s, _ in points],
        ),
        fit_line(
            "processor time of a sidecar for control messages",
            "message sent a second",
            "s/s",
            [(rate, rate * sent_us / US_PER_S) for rate, _, sent_us in points],
        ),
        fit_line(
            "sealing and opening",
            "load report",
            "us",
            [(count, measure_codec_us(count)) for count in MESSAGE_COUNTS],
        ),
        fit_line(
            "cache events on the channel",
            "block",
            "B",
            [
                (count, measure_cache_events_bytes(report, hashes[:count]))
                for count in BLOCK_COUNTS
            ],
        ),
        fit_line(
            "instance list answer",
            "endpoint listed",
            "B",
            [(count, measure_instance_list_bytes(count)) for count in INSTANCE_COUNTS],
        ),
        fit_line(
            "load report on the channel",
            "model loaded",
            "B",
            [(count, measure_report_bytes(report, count)) for count in MODEL_COUNTS],
        ),
        *(
            fit_line(
                f"{name} on the channel",
                "message",
                "B",
                [
                    (count, count * measure_encoded_bytes(message))
                    for count in MESSAGE_COUNTS
                ],
            )
            for name, message in messages[1:]
        ),
    ]
    save_rows("control_channel", rows)
    return rows


def measure_cache_events_bytes(report, added):
    """Return the size in bytes of a message with the hashes of added blocks."""
    return measure_encoded_bytes(
        CacheEvents(
            endpoint=report.endpoint,
            incarnation="0" * 16,
            first_sequence=1000,
            added=added,
            count=len(added),
        )
    )


def measure_instance_list_bytes(count):
    """Return the size in bytes of an instance list of a number of endpoints."""
    return len(msgspec.json.encode(build_instances(count)))


def measure_report_bytes(report, count):
    """Return the size in bytes of a load report with a number of models."""
    models = [f"model-{number:02d}" for number in range(count)]
    return measure_encoded_bytes(attrs.evolve(report, models=models))


if __name__ == "__main__":
    print_rows(main())

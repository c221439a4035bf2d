"""What a gateway's placing and its peers' messages cost as gateways and engines grow.

One process, no network: the best case.
"""

import time

import msgspec

from jasminewalk.gateway.fleet import EngineState, Fleet
from jasminewalk.gateway.peer_membership import (
    ANNOUNCE_INTERVAL_S,
    MAX_FULL_RATE_GATEWAYS,
)
from jasminewalk.gateway.peers import (
    PeerExchange,
    TopicProgress,
    decode_peer_message,
)
from jasminewalk.gateway.placement import PlacementPolicy, PromptProfile
from jasminewalk.gateway.prompt_cache import PromptCache
from jasminewalk.gateway.stream_origins import StreamOrigin
from jasminewalk.gateway.stream_versions import StreamVersions
from jasminewalk.platform.headers import PromptPart
from jasminewalk.platform.registry import DECODE, PREFILL, EngineEntry

SIZES = ((10, 5), (62, 68), (300, 300), (330, 360))
REPEATS = 200
PREFILL_SHARE = 0.3
CACHE_TOKENS = 400_000
# Engines on which one gateway has requests, at most.
LOADED_ENGINES = 40
LONG = PromptProfile((PromptPart("shared", 13_300), PromptPart("own", 3_720)), 17_020)
SHORT = PromptProfile((PromptPart("question", 300),), 300)


def build_fleet(count: int) -> Fleet:
    """Return a fleet of engines of one service.

    :param count: number of engines.
    """
    fleet = Fleet()
    for number in range(count):
        stage = PREFILL if number < PREFILL_SHARE * count else DECODE
        entry = EngineEntry(
            f"engine-{number}", "llm", f"10.1.0.{number}:80", "a", 16, False, stage, 1
        )
        fleet.engines[entry.engine_id] = EngineState(entry, PromptCache(CACHE_TOKENS))
    return fleet


def build_messages(count: int, fleet: Fleet, gateways: int) -> list[bytes]:
    """Return one message of each of a number of gateways.

    :param count: number of engines.
    :param fleet: the engines, as all gateways know them.
    :param gateways: number of gateways.
    """
    messages = []
    for number in range(gateways):
        own = build_fleet(count)
        for offset in range(min(count, LOADED_ENGINES)):
            engine = own.engines[f"engine-{(number + offset) % count}"]
            engine.own_load.requests, engine.own_load.prefill_s = 2, 0.1
            engine.speeds.append(1.0)
        sender = PeerExchange(f"front-{number}", f"10.0.0.1:{7000 + number}", 1, own)
        sender.number = 4
        messages.append(sender.build_message(0.0, TopicProgress(), TopicProgress()))
    return messages


def measure_us(call, repeats=REPEATS) -> float:
    """Return the processor time of a call in microseconds, as the mean of many.

    :param call: function without arguments.
    :param repeats: number of calls.
    """
    started_at = time.process_time()
    for _ in range(repeats):
        call()
    return (time.process_time() - started_at) / repeats * 1e6


def measure(count: int, gateways: int) -> str:
    """Return a row of the table.

    :param count: number of engines.
    :param gateways: number of gateways.
    """
    fleet = build_fleet(count)
    exchange = PeerExchange("self", "10.0.0.1:6999", 1, fleet)
    messages = build_messages(count, fleet, gateways - 1)
    for data in messages:
        exchange.apply_message(0.0, decode_peer_message(data))
    placement = PlacementPolicy("a")
    engines = list(fleet.engines.values())

    def place(prompt: PromptProfile) -> None:
        demand = exchange.compute_total_demand(0.0)
        placement.is_busy(demand, engines)
        placement.list_options(prompt, engines)

    decoded = [decode_peer_message(data) for data in messages]

    def apply_all() -> None:
        for message in decoded:
            later = msgspec.structs.replace(message, number=exchange.number + 100)
            exchange.peers[message.node].number = 0
            exchange.apply_message(0.0, later)

    versions = StreamVersions(exchange, lambda: 0.0)
    origin = StreamOrigin("v1", "engine-1", 1)
    interval_s = ANNOUNCE_INTERVAL_S * max(1.0, gateways / MAX_FULL_RATE_GATEWAYS)
    per_s = (gateways - 1) / interval_s
    long_us, short_us = (
        measure_us(lambda: place(LONG)),
        measure_us(lambda: place(SHORT)),
    )
    begin_us = measure_us(lambda: versions.record("attempt-1", origin))
    message_us = measure_us(apply_all, 5) / len(messages)
    size = sum(map(len, messages)) / len(messages)
    return (
        f"| {count} x {gateways} | {long_us:.0f} us | {short_us:.0f} us "
        f"| {begin_us:.0f} us | {message_us:.0f} us | {per_s:.0f}/s "
        f"| {message_us * per_s / 1e4:.1f}% | {size * per_s / 1e3:.0f} KB/s "
        f"| {interval_s:.2f} s |"
    )


def main() -> None:
    """Print the table."""
    print(
        "| engines x gateways | place a long prompt | a short one | begin a stream "
        "| apply one message | messages | core for messages | bytes in | news every |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for count, gateways in SIZES:
        print(measure(count, gateways), flush=True)


if __name__ == "__main__":
    main()

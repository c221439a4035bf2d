"""State that gateways announce to one another over UDP, without agreement."""

from collections import deque
from collections.abc import Iterator

import attrs
import msgspec
import xxhash

from jasminewalk.gateway.demand import Demand, DemandMeter
from jasminewalk.gateway.fleet import EngineState, Fleet, Load, Outcomes
from jasminewalk.platform.headers import PromptPart

__all__ = [
    "LoadExchange",
    "PeerMessage",
    "TopicProgress",
    "decode_peer_message",
    "engine_key",
]

# Seconds after which the load of a silent gateway is forgotten.
PEER_TIMEOUT_S = 1.5
# Messages in which a read prompt is announced, as single datagrams are lost at times.
READ_ANNOUNCEMENTS = 2
# Messages between two that carry the learned speeds, which change slowly.
MESSAGES_PER_SPEEDS = 5
# Shortest part of a prompt that is worth announcing, in tokens.
ANNOUNCED_PART_TOKENS = 1000
# Longest time for which an engine is left alone because it changes its stage.
LONGEST_CHANGE_S = 8.0
MAX_ANNOUNCED_READS = 40


class TopicProgress(msgspec.Struct, array_like=True, frozen=True):
    """How far a gateway has read a topic of the store.

    :param read_ms_ago: milliseconds since its last read; negative if it never read.
    :param changed_offset: offset after the last record that changed anything.
    """

    read_ms_ago: int = -1
    changed_offset: int = 0


class PeerMessage(msgspec.Struct, array_like=True, frozen=True):
    """One gateway's message to all others.

    :param loads: engine, requests, and milliseconds of reading at an engine of speed 1.
    :param speeds: engine, speed in hundredths, and number of observations.
    :param reads: engine, part of a prompt, and its tokens; 0 if it was not read.
    :param changing: engine, and milliseconds for which a change of stage takes it away.
    :param outcomes: engine, requests ended and failed there since the message before.
    """

    node: str
    address: str
    started_ms: int
    number: int
    configuration: TopicProgress
    registry: TopicProgress
    reading_ms: int
    answering_ms: int
    loads: list[tuple[int, int, int]]
    speeds: list[tuple[int, int, int]]
    reads: list[tuple[int, str, int]]
    changing: list[tuple[int, int]]
    # Gateways of the version before send none.
    outcomes: list[tuple[int, int, int]] = []


def decode_peer_message(data: bytes) -> PeerMessage | None:
    """Decode a datagram; None if it is no message of a gateway.

    :param data: the datagram.
    """
    try:
        return msgspec.msgpack.decode(data, type=PeerMessage)
    except msgspec.DecodeError:
        return None


def engine_key(engine: EngineState) -> int:
    """Return a short number for an engine's incarnation.

    :param engine: the engine.
    """
    entry = engine.entry
    return xxhash.xxh32_intdigest(f"{entry.engine_id} {entry.started_ms}".encode())


@attrs.define
class _AnnouncedRead:
    engine: EngineState
    part: PromptPart
    times: int = 0


@attrs.define
class Peer:
    """What is known of another gateway.

    :param address: ``host:port`` of its UDP socket.
    :param started_ms: start of its process.
    :param number: number of its last message.
    :param received_at: instant of its last message.
    :param demand: work that its callers ask for.
    """

    address: str
    started_ms: int = 0
    number: int = -1
    received_at: float = float("-inf")
    demand: Demand = attrs.field(factory=Demand)


class LoadExchange:
    """Keeps each gateway's picture of all work at the engines.

    :param node: name of this gateway's instance.
    :param address: ``host:port`` of its UDP socket.
    :param started_ms: start of this process.
    :param fleet: the engines.
    """

    def __init__(self, node: str, address: str, started_ms: int, fleet: Fleet) -> None:
        self.node = node
        self.address = address
        self.started_ms = started_ms
        self.fleet = fleet
        self.peers: dict[str, Peer] = {}
        self.number = 0
        self.announced_at = 0.0
        self.demand = DemandMeter()
        self.reads: deque[_AnnouncedRead] = deque()

    def learn_address(self, node: str, address: str) -> None:
        """Take the address of another gateway.

        :param node: name of its instance.
        :param address: ``host:port`` of its UDP socket.
        """
        if node == self.node:
            return
        known = self.peers.get(node)
        if known is None or known.address != address:
            self.peers[node] = Peer(address)

    def live_peers(self, now: float) -> int:
        """Return how many other gateways sent a message lately.

        :param now: current instant in seconds.
        """
        return sum(
            now - peer.received_at < PEER_TIMEOUT_S for peer in self.peers.values()
        )

    def rank(self, now: float) -> int:
        """Return this gateway's place among the live ones, by name.

        :param now: current instant in seconds.
        """
        return sum(
            node < self.node and now - peer.received_at < PEER_TIMEOUT_S
            for node, peer in self.peers.items()
        )

    def total_demand(self, now: float) -> Demand:
        """Return the work that callers of all gateways ask for.

        :param now: current instant in seconds.
        """
        total = self.demand.rate(now)
        for peer in self.peers.values():
            if now - peer.received_at < PEER_TIMEOUT_S:
                total = total + peer.demand
        return total

    def record_read(self, engine: EngineState, prompt: tuple[PromptPart, ...]) -> None:
        """Remember that an engine reads a prompt, to announce it.

        :param engine: the engine.
        :param prompt: parts of the prompt.
        """
        engine.cache.add(prompt)
        for part in prompt:
            if part.tokens >= ANNOUNCED_PART_TOKENS:
                self.reads.append(_AnnouncedRead(engine, part))

    def record_unread(
        self, engine: EngineState, prompt: tuple[PromptPart, ...]
    ) -> None:
        """Remember that an engine did not read a prompt that it was sent.

        Only the prompt's own part, the last, is forgotten: others may have had the
        shared ones read there.

        :param engine: the engine.
        :param prompt: parts of the prompt.
        """
        if prompt:
            engine.cache.remove(prompt[-1].part_id)
            self.reads.append(_AnnouncedRead(engine, PromptPart(prompt[-1].part_id, 0)))

    def message(
        self, now: float, configuration: TopicProgress, registry: TopicProgress
    ) -> bytes:
        """Build the next message.

        :param now: current instant in seconds.
        :param configuration: how far the configuration was read.
        :param registry: how far the registry was read.
        """
        self.number += 1
        self._forget_failures(now)
        demand = self.demand.rate(now)
        engines = self.fleet.engines.values()
        message = PeerMessage(
            node=self.node,
            address=self.address,
            started_ms=self.started_ms,
            number=self.number,
            configuration=configuration,
            registry=registry,
            reading_ms=round(demand.reading * 1e3),
            answering_ms=round(demand.answering * 1e3),
            loads=[
                (
                    engine_key(engine),
                    engine.own.requests,
                    round(engine.own.reading_s * 1e3),
                )
                for engine in engines
                if engine.own.requests
            ],
            speeds=self._announced_speeds(),
            reads=self._announced_reads(),
            changing=[
                (engine_key(engine), round((engine.changing_until - now) * 1e3))
                for engine in engines
                if engine.changing_until > now
            ],
            outcomes=self._announced_outcomes(),
        )
        return msgspec.msgpack.encode(message)

    def _forget_failures(self, now: float) -> None:
        for engine in self.fleet.engines.values():
            engine.forget_failures(now - self.announced_at)
        self.announced_at = now

    def _announced_outcomes(self) -> list[tuple[int, int, int]]:
        announced = []
        for engine in self.fleet.engines.values():
            outcomes, engine.unannounced = engine.unannounced, Outcomes()
            # Most engines are sound; their outcomes are not announced.
            if outcomes.ended and (outcomes.failed or engine.failing):
                row = (engine_key(engine), outcomes.ended, outcomes.failed)
                announced.append(row)
        return announced

    def _announced_speeds(self) -> list[tuple[int, int, int]]:
        if self.number % MESSAGES_PER_SPEEDS:
            return []
        return [
            (engine_key(engine), round(engine.own_speed * 100), len(engine.speeds))
            for engine in self.fleet.engines.values()
            if engine.speeds
        ]

    def _announced_reads(self) -> list[tuple[int, str, int]]:
        announced = list(self.reads)[:MAX_ANNOUNCED_READS]
        for read in announced:
            read.times += 1
        while self.reads and self.reads[0].times >= READ_ANNOUNCEMENTS:
            self.reads.popleft()
        return [
            (engine_key(read.engine), read.part.part_id, read.part.tokens)
            for read in announced
        ]

    def take(self, now: float, message: PeerMessage) -> bool:
        """Take a message of another gateway; False if it is old or our own.

        :param now: current instant in seconds.
        :param message: the message.
        """
        if message.node == self.node:
            return False
        self.learn_address(message.node, message.address)
        peer = self.peers[message.node]
        if (message.started_ms, message.number) <= (peer.started_ms, peer.number):
            return False
        peer.started_ms, peer.number, peer.received_at = (
            message.started_ms,
            message.number,
            now,
        )
        by_key = {engine_key(engine): engine for engine in self.fleet.engines.values()}
        for engine in by_key.values():
            engine.peers.pop(message.node, None)
        for key, requests, reading_ms in message.loads:
            if key in by_key:
                by_key[key].peers[message.node] = Load(requests, reading_ms / 1e3)
        for key, speed, observations in message.speeds:
            if key in by_key:
                by_key[key].peer_speeds[message.node] = (speed / 100, observations)
        peer.demand = Demand(message.reading_ms / 1e3, message.answering_ms / 1e3)
        for key, left_ms in message.changing:
            # The first word counts: others repeat it, a little later each time.
            if key in by_key and by_key[key].changing_until <= now and left_ms > 500:
                left_s = min(left_ms / 1e3, LONGEST_CHANGE_S)
                by_key[key].changing_until = now + left_s
        for key, ended, failed in message.outcomes:
            if key in by_key and 0 <= failed <= ended and ended > 0:
                by_key[key].learn_outcomes(Outcomes(ended, failed))
        for key, part_id, tokens in message.reads:
            if key in by_key and tokens:
                by_key[key].cache.add((PromptPart(part_id, tokens),))
            elif key in by_key:
                by_key[key].cache.remove(part_id)
        return True

    def forget_silent(self, now: float) -> Iterator[str]:
        """Drop the load of silent gateways and return their names.

        :param now: current instant in seconds.
        """
        for node, peer in list(self.peers.items()):
            if peer.number >= 0 and now - peer.received_at >= PEER_TIMEOUT_S:
                self.peers[node] = Peer(peer.address, peer.started_ms)
                for engine in self.fleet.engines.values():
                    engine.peers.pop(node, None)
                    engine.peer_speeds.pop(node, None)
                yield node

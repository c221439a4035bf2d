"""What gateways tell one another, unasked and without agreement, over UDP."""

from collections import deque
from collections.abc import Iterator

import attrs
import msgspec
import xxhash

from jasminewalk.gateway.demand import Demand, DemandMeter
from jasminewalk.gateway.fleet import EngineState, Fleet, Load
from jasminewalk.platform.headers import PromptPart

__all__ = ["LoadExchange", "LoadNews", "decode_news", "engine_key"]

# Seconds after which the load of a silent gateway is forgotten.
PEER_TIMEOUT_S = 1.5
# Seconds during which a read prompt is told with each message.
READ_TOLD_S = 0.45
# Shortest part of a prompt that is worth telling, in tokens.
TOLD_PART_TOKENS = 1000
# Longest time for which an engine is left alone because it changes its stage.
LONGEST_CHANGE_S = 8.0
MAX_TOLD_READS = 40


class LoadNews(msgspec.Struct, array_like=True, frozen=True):
    """One gateway's message to all others."""

    node: str
    address: str
    started_ms: int
    number: int
    configuration_offset: int
    registry_digest: int
    registry_offset: int
    loads: list[tuple[int, int, float, float, int]]
    reads: list[tuple[int, str, int]]
    reading: float
    answering: float
    changing: list[tuple[int, float]]


def decode_news(data: bytes) -> LoadNews | None:
    """Decode a datagram; None if it is no message of a gateway.

    :param data: the datagram.
    """
    try:
        return msgspec.msgpack.decode(data, type=LoadNews)
    except msgspec.DecodeError:
        return None


def engine_key(engine: EngineState) -> int:
    """Return a short number for an engine's incarnation.

    :param engine: the engine.
    """
    entry = engine.entry
    return xxhash.xxh32_intdigest(f"{entry.engine_id} {entry.started_ms}".encode())


@attrs.define
class Peer:
    """What is known of another gateway.

    :param address: ``host:port`` of its UDP socket.
    :param started_ms: start of its process.
    :param number: number of its last message.
    :param heard_at: instant of its last message.
    :param demand: work that its callers ask for.
    """

    address: str
    started_ms: int = 0
    number: int = -1
    heard_at: float = float("-inf")
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
        self.demand = DemandMeter()
        self.reads: deque[tuple[float, EngineState, PromptPart]] = deque()

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
        """Return how many other gateways were heard lately.

        :param now: current instant in seconds.
        """
        return sum(now - peer.heard_at < PEER_TIMEOUT_S for peer in self.peers.values())

    def total_demand(self, now: float) -> Demand:
        """Return the work that callers of all gateways ask for.

        :param now: current instant in seconds.
        """
        total = self.demand.rate(now)
        for peer in self.peers.values():
            if now - peer.heard_at < PEER_TIMEOUT_S:
                total = total + peer.demand
        return total

    def note_read(
        self, now: float, engine: EngineState, prompt: tuple[PromptPart, ...]
    ) -> None:
        """Remember that an engine reads a prompt, to tell others.

        :param now: current instant in seconds.
        :param engine: the engine.
        :param prompt: parts of the prompt.
        """
        engine.cache.add(prompt)
        for part in prompt:
            if part.tokens >= TOLD_PART_TOKENS:
                self.reads.append((now, engine, part))

    def message(
        self, now: float, configuration_offset: int, registry_offset: int, digest: int
    ) -> bytes:
        """Build the next message.

        :param now: current instant in seconds.
        :param configuration_offset: offset up to which the configuration was read.
        :param registry_offset: offset up to which the registry was read.
        :param digest: digest of the registry as this gateway sees it.
        """
        while self.reads and now - self.reads[0][0] > READ_TOLD_S:
            self.reads.popleft()
        self.number += 1
        demand = self.demand.rate(now)
        news = LoadNews(
            self.node,
            self.address,
            self.started_ms,
            self.number,
            configuration_offset,
            digest,
            registry_offset,
            [
                (
                    engine_key(engine),
                    engine.own.requests,
                    round(engine.own.reading_s, 4),
                    round(engine.own_speed, 3),
                    len(engine.speeds),
                )
                for engine in self.fleet.engines.values()
                if engine.own.requests or engine.speeds
            ],
            [
                (engine_key(engine), part.part_id, part.tokens)
                for _, engine, part in list(self.reads)[-MAX_TOLD_READS:]
            ],
            round(demand.reading, 4),
            round(demand.answering, 4),
            [
                (engine_key(engine), round(engine.changing_until - now, 2))
                for engine in self.fleet.engines.values()
                if engine.changing_until > now
            ],
        )
        return msgspec.msgpack.encode(news)

    def take(self, now: float, news: LoadNews) -> bool:
        """Take a message of another gateway; False if it is old or our own.

        :param now: current instant in seconds.
        :param news: the message.
        """
        if news.node == self.node:
            return False
        self.learn_address(news.node, news.address)
        peer = self.peers[news.node]
        if (news.started_ms, news.number) <= (peer.started_ms, peer.number):
            return False
        peer.started_ms, peer.number, peer.heard_at = news.started_ms, news.number, now
        by_key = {engine_key(engine): engine for engine in self.fleet.engines.values()}
        for engine in by_key.values():
            engine.peers.pop(news.node, None)
            engine.peer_speeds.pop(news.node, None)
        for key, requests, reading_s, speed, observations in news.loads:
            engine = by_key.get(key)
            if engine is not None:
                engine.peers[news.node] = Load(requests, reading_s)
                engine.peer_speeds[news.node] = (speed, observations)
        peer.demand = Demand(news.reading, news.answering)
        for key, left_s in news.changing:
            # The first word counts: others repeat it, a little later each time.
            if key in by_key and by_key[key].changing_until <= now and left_s > 0.5:
                by_key[key].changing_until = now + min(left_s, LONGEST_CHANGE_S)
        for key, part_id, tokens in news.reads:
            if key in by_key:
                by_key[key].cache.add((PromptPart(part_id, tokens),))
        return True

    def forget_silent(self, now: float) -> Iterator[str]:
        """Drop the load of silent gateways and return their names.

        :param now: current instant in seconds.
        """
        for node, peer in list(self.peers.items()):
            if peer.number >= 0 and now - peer.heard_at >= PEER_TIMEOUT_S:
                self.peers[node] = Peer(peer.address, peer.started_ms)
                for engine in self.fleet.engines.values():
                    engine.peers.pop(node, None)
                    engine.peer_speeds.pop(node, None)
                yield node

"""Which software version of an engine began a stream, kept by several gateways.

The gateway that relays the first event of a stream tells a few others before it does,
so that the stream can go on at its version once that gateway is gone.
"""

import asyncio
from bisect import bisect_left
from collections import OrderedDict
from collections.abc import Callable

import attrs
import msgspec
import xxhash

from jasminewalk.decoding import Count, Number, decode_msgpack
from jasminewalk.exceptions import BadMessageError
from jasminewalk.gateway.peers import PeerExchange
from jasminewalk.gateway.stream_origins import StreamOrigin
from jasminewalk.gateway.version_shares import compute_stream_key

__all__ = ["GatewaysAnswer", "ReadState", "StreamOrigin", "StreamVersions"]

# Gateways that are told of a stream, and that are asked for one. More are asked, as the
# asking gateway may not know the same ones.
KEEPERS = 3
ASKED_KEEPERS = 5
# Seconds for which the beginning of a stream is kept.
KEPT_S = 30.0
MAX_STREAMS = 20_000
# Seconds to wait for the other gateways, and most requests that wait at a time.
ANSWER_TIMEOUT_S = 0.15
MAX_WAITING = 512
# First byte of the datagrams, which no message about a gateway's state begins with.
DATAGRAM_MARK = b"\x01"


class ReadState(msgspec.Struct, array_like=True, frozen=True):
    """How far a gateway has read what the store has of engines and versions.

    :param era: era of the store.
    :param registry: offset in the registry, after the last record that had an effect.
    :param shares: the same, in the topic of the shares of versions.
    """

    era: Number
    registry: Count
    shares: Count

    def includes(self, other: "ReadState") -> bool:
        """Return whether a gateway that has read so far knows all that another does.

        :param other: how far the other gateway has read.
        """
        return (
            self.era == other.era
            and self.registry >= other.registry
            and self.shares >= other.shares
        )


@attrs.frozen
class GatewaysAnswer:
    """What gateways know of the beginning of a stream.

    :param origin: engine that began it; None if no gateway that answered knows it.
    :param asked: other gateways that were asked.
    :param answered: those of them that answered.
    :param read_states: how far those have read that answered and said so.
    """

    origin: StreamOrigin | None = None
    asked: int = 0
    answered: int = 0
    read_states: tuple[ReadState, ...] = ()


class _Began(msgspec.Struct, array_like=True, tag="began", frozen=True):
    key: int
    version: str
    engine_id: str
    began_ms: Number


class _Question(msgspec.Struct, array_like=True, tag="question", frozen=True):
    key: int
    number: int
    address: str


class _Answer(msgspec.Struct, array_like=True, tag="answer", frozen=True):
    number: int
    version: str
    engine_id: str
    began_ms: Number
    # Previous versions of the gateway do not send it.
    read_state: ReadState | None = None


Datagram = _Began | _Question | _Answer


@attrs.define(eq=False)
class _Waiting:
    result: asyncio.Future[StreamOrigin | None]
    unanswered: int
    read_states: list[ReadState] = attrs.field(factory=list)


class StreamVersions:
    """Remembers the versions that began streams, and asks other gateways for them.

    :param peers: the other gateways.
    :param clock: returns the monotonic time in seconds.
    """

    def __init__(self, peers: PeerExchange, clock: Callable[[], float]) -> None:
        self.peers = peers
        self.clock = clock
        self.streams: OrderedDict[int, tuple[StreamOrigin, float]] = OrderedDict()
        self.waiting: dict[int, _Waiting] = {}
        self.question_count = 0
        self.ring: list[tuple[int, str]] = []
        self.ring_changes = -1
        self.send: Callable[[str, bytes], None] = lambda address, data: None
        self.get_read_state: Callable[[], ReadState | None] = lambda: None

    def record(self, request_id: str, origin: StreamOrigin) -> None:
        """Record which engine began a stream, and tell other gateways at once.

        :param request_id: id of the caller's attempt that gets the first event.
        :param origin: the engine.
        """
        key = compute_stream_key(request_id)
        self._keep(key, origin)
        message = _Began(key, origin.version, origin.engine_id, origin.began_ms)
        for address in self._list_keepers(key, KEEPERS):
            self.send(address, _encode(message))

    async def find(self, request_id: str) -> StreamOrigin | None:
        """Return which engine began a stream; None if no gateway knows it.

        :param request_id: id of the caller's attempt that got the first event.
        """
        return (await self.ask(request_id)).origin

    async def ask(self, request_id: str) -> GatewaysAnswer:
        """Return what this gateway, or others if it knows nothing, know of a stream.

        :param request_id: id of the caller's attempt that got the first event.
        """
        key = compute_stream_key(request_id)
        known = self._get(key)
        keepers = self._list_keepers(key, ASKED_KEEPERS)
        if known is not None or not keepers or len(self.waiting) >= MAX_WAITING:
            return GatewaysAnswer(known)
        self.question_count += 1
        number = self.question_count
        waiting = _Waiting(asyncio.get_running_loop().create_future(), len(keepers))
        self.waiting[number] = waiting
        question = _Question(key, number, self.peers.address)
        for address in keepers:
            self.send(address, _encode(question))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                origin = await waiting.result
        except TimeoutError:
            origin = None
        finally:
            del self.waiting[number]
        return GatewaysAnswer(
            origin,
            len(keepers),
            len(keepers) - waiting.unanswered,
            tuple(waiting.read_states),
        )

    def receive(self, data: bytes) -> bool:
        """Handle a datagram of another gateway; return False if it can't be read.

        :param data: payload, with the mark.
        """
        try:
            message = decode_msgpack(data[len(DATAGRAM_MARK) :], _decoder, "datagram")
        except BadMessageError:
            return False
        if isinstance(message, _Began):
            origin = StreamOrigin(message.version, message.engine_id, message.began_ms)
            self._keep(message.key, origin)
        elif isinstance(message, _Question):
            self._answer(message)
        else:
            self._apply_answer(message)
        return True

    def _answer(self, question: _Question) -> None:
        origin = self._get(question.key) or StreamOrigin("", "", 0)
        answer = _Answer(
            question.number,
            origin.version,
            origin.engine_id,
            origin.began_ms,
            self.get_read_state(),
        )
        if any(peer.address == question.address for peer in self.peers.list_live()):
            self.send(question.address, _encode(answer))

    def _apply_answer(self, message: _Answer) -> None:
        waiting = self.waiting.get(message.number)
        if waiting is None or waiting.result.done():
            return
        waiting.unanswered -= 1
        if message.read_state is not None:
            waiting.read_states.append(message.read_state)
        if message.version:
            waiting.result.set_result(
                StreamOrigin(message.version, message.engine_id, message.began_ms)
            )
        elif not waiting.unanswered:
            waiting.result.set_result(None)

    def _keep(self, key: int, origin: StreamOrigin) -> None:
        self.streams[key] = origin, self.clock()
        self.streams.move_to_end(key)
        oldest = self.clock() - KEPT_S
        while self.streams:
            first = next(iter(self.streams))
            if len(self.streams) <= MAX_STREAMS and self.streams[first][1] > oldest:
                return
            del self.streams[first]

    def _get(self, key: int) -> StreamOrigin | None:
        origin, kept_at = self.streams.get(key, (None, 0.0))
        return origin if self.clock() - kept_at < KEPT_S else None

    def _list_keepers(self, key: int, count: int) -> list[str]:
        """Return the gateways that follow a stream's hash on a ring of live ones."""
        if self.ring_changes != self.peers.live_changes:
            self.ring_changes = self.peers.live_changes
            self.ring = sorted(
                (xxhash.xxh3_64_intdigest(peer.address.encode()), peer.address)
                for peer in self.peers.list_live()
            )
        start = bisect_left(self.ring, (key, ""))
        following = self.ring[start : start + count]
        following += self.ring[: min(start, count - len(following))]
        return [address for _, address in following]


_decoder = msgspec.msgpack.Decoder(Datagram)


def _encode(message: Datagram) -> bytes:
    return DATAGRAM_MARK + msgspec.msgpack.encode(message)

"""Versions that began streams, in the store, where no other proof of them outlives all
gateways.
"""

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable

import attrs
import msgspec

from jasminewalk.decoding import Number, decode_msgpack
from jasminewalk.exceptions import BadMessageError, LogUnavailableError
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.platform.store import STREAMS_TOPIC, StoreClient

__all__ = ["StreamOrigin", "StreamOriginLog"]

# Longest time in seconds that the first event of a stream waits for the store.
MAX_WRITE_WAIT_S = 0.01
# Longest time in seconds that a caller who resumes a stream waits for the store.
MAX_READ_WAIT_S = 0.4
# Seconds for which a stream is remembered, and in which a failed write is repeated.
KEPT_S = 30.0
REPEATED_S = 10.0
WRITE_RETRY_S = 0.2
# Seconds between two reads, which bounds the calls for streams that don't exist.
MIN_READ_INTERVAL_S = 0.05
MAX_STREAMS = 20_000
MAX_UNWRITTEN = 2000
# Records of one append, and pages of one read.
MAX_BATCH = 500
MAX_PAGES = 8


@attrs.frozen
class StreamOrigin:
    """Engine that wrote the first event of a stream.

    :param version: version of its software.
    :param engine_id: id of the engine.
    :param began_ms: Unix time of the event in milliseconds.
    """

    version: str
    engine_id: str
    began_ms: int


class _StoredOrigin(msgspec.Struct, array_like=True, frozen=True):
    key: int
    version: str
    engine_id: str
    began_ms: Number


_decoder = msgspec.msgpack.Decoder(_StoredOrigin)


@attrs.define(eq=False)
class _Write:
    content: bytes
    at: float
    done: asyncio.Future[None]


class StreamOriginLog:
    """Writes the origins of streams to the store, several at a time, and reads them.

    :param store: the metadata store.
    :param log: decision log.
    :param clock: returns the monotonic time in seconds.
    """

    def __init__(
        self, store: StoreClient, log: DecisionLog, clock: Callable[[], float]
    ) -> None:
        self.store = store
        self.log = log
        self.clock = clock
        self.streams: OrderedDict[int, tuple[StreamOrigin, float]] = OrderedDict()
        self.unwritten: deque[_Write] = deque()
        self.written: deque[_Write] = deque(maxlen=MAX_UNWRITTEN)
        self.has_unwritten = asyncio.Event()
        self.is_failing = False
        self.offset = 0
        self.read_began_at = float("-inf")
        self.reading = asyncio.Lock()

    async def write(self, key: int, origin: StreamOrigin) -> None:
        """Write the origin of a stream; wait for the store for a moment only.

        :param key: hash of the id of the attempt that gets the first event.
        :param origin: the engine.
        """
        done = self.write_later(key, origin)
        if not self.is_failing:
            await asyncio.wait((done,), timeout=MAX_WRITE_WAIT_S)

    def write_later(self, key: int, origin: StreamOrigin) -> asyncio.Future[None]:
        """Have the origin of a stream written; return a future that then is done.

        :param key: hash of the id of the attempt that gets, or got, the first event.
        :param origin: the engine.
        """
        stored = _StoredOrigin(key, origin.version, origin.engine_id, origin.began_ms)
        done = asyncio.get_running_loop().create_future()
        write = _Write(msgspec.msgpack.encode(stored), self.clock(), done)
        if len(self.unwritten) >= MAX_UNWRITTEN:
            self.unwritten.popleft().done.cancel()
        self.unwritten.append(write)
        self.has_unwritten.set()
        return done

    def has_read(self, key: int) -> bool:
        """Return whether the store was read to have the origin of a stream.

        :param key: hash of the id of the attempt that got the first event.
        """
        return key in self.streams

    async def write_forever(self) -> None:
        """Write what is to be written, until cancelled."""
        while True:
            await self.has_unwritten.wait()
            self._drop_old(self.unwritten, REPEATED_S)
            batch = list(self.unwritten)[:MAX_BATCH]
            if not batch:
                self.has_unwritten.clear()
                continue
            try:
                contents = [write.content for write in batch]
                await self.store.append(STREAMS_TOPIC, contents)
            except (LogUnavailableError, OSError, TimeoutError) as error:
                if not self.is_failing:
                    self.log.warning("origins_not_stored", reason=repr(error))
                self.is_failing = True
                await asyncio.sleep(WRITE_RETRY_S)
                continue
            self.is_failing = False
            for write in batch:
                if self.unwritten and self.unwritten[0] is write:
                    self.unwritten.popleft()
                if not write.done.done():
                    write.done.set_result(None)
            self._drop_old(self.written, REPEATED_S)
            self.written.extend(batch)

    def write_again(self) -> None:
        """Write what the store lost, and read its records from the first one."""
        self.offset = 0
        self._drop_old(self.written, REPEATED_S)
        self.unwritten.extendleft(reversed(self.written))
        self.written.clear()
        self.has_unwritten.set()

    def _drop_old(self, writes: deque[_Write], seconds: float) -> None:
        oldest = self.clock() - seconds
        while writes and writes[0].at < oldest:
            writes.popleft().done.cancel()

    async def find(self, key: int) -> tuple[StreamOrigin | None, bool]:
        """Return which engine began a stream, and whether the store answered.

        :param key: hash of the id of the attempt that got the first event.
        """
        asked_at = self.clock()
        try:
            async with asyncio.timeout(MAX_READ_WAIT_S):
                while key not in self.streams and self.read_began_at < asked_at:
                    await self._read(asked_at)
        except (LogUnavailableError, OSError, TimeoutError) as error:
            self.log.warning("origins_not_read", reason=repr(error))
            return None, False
        origin, _ = self.streams.get(key, (None, 0.0))
        return origin, True

    async def _read(self, asked_at: float) -> None:
        async with self.reading:
            if self.read_began_at >= asked_at:
                return
            wait_s = self.read_began_at + MIN_READ_INTERVAL_S - self.clock()
            await asyncio.sleep(max(0.0, wait_s))
            began_at = self.clock()
            for _ in range(MAX_PAGES):
                page = await self.store.read_contents(STREAMS_TOPIC, self.offset)
                # Streams before the last that are remembered are over.
                first_kept = page.end - MAX_STREAMS
                first_read = page.next_offset - len(page.contents)
                for content in page.contents[max(0, first_kept - first_read) :]:
                    self._remember(content)
                self.offset = max(page.next_offset, first_kept)
                if self.offset >= page.end:
                    break
            self.read_began_at = began_at

    def _remember(self, content: bytes) -> None:
        try:
            stored = decode_msgpack(content, _decoder, "origin of a stream")
        except BadMessageError as error:
            self.log.warning("origin_unreadable", reason=str(error))
            return
        origin = StreamOrigin(stored.version, stored.engine_id, stored.began_ms)
        self.streams[stored.key] = origin, self.clock()
        self.streams.move_to_end(stored.key)
        oldest = self.clock() - KEPT_S
        while len(self.streams) > MAX_STREAMS or (
            self.streams and next(iter(self.streams.values()))[1] < oldest
        ):
            self.streams.popitem(last=False)

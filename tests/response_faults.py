"""Faults in the responses of the fakes: second copies, and bytes without end."""

import asyncio
import random
from collections import Counter
from contextlib import asynccontextmanager
from functools import partial

import attrs

__all__ = ["ENDLESS_PARTS", "REPEATS", "ResponseFaults"]

# When the second copy of a response is sent. A cut one is begun at once, and its rest
# is sent when the next request arrives.
REPEATS = (
    "at_once",
    "while_idle",
    "before_next_response",
    "after_next_response",
    "cut_in_status_line",
    "cut_in_head",
    "cut_in_body",
)
CUT_STATUS_LINE_BYTES = 9
# Seconds of silence after which the second copy is sent on an idle connection.
IDLE_S = (0.0, 0.03)
# Seconds of delay of a response whose caller has abandoned it.
ABANDONED_S = (0.6, 1.6)
CHUNK = b"10000\r\n" + b"a" * 0x10000 + b"\r\n"
FIELDS = b"x-filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n" * 1024
# Bytes before the part of a response that doesn't end, and those that are repeated.
ENDLESS_PARTS = {
    "head": (b"", FIELDS),
    "header": (b"x-filler: ", b"a" * 0x10000),
    "body": (b"transfer-encoding: chunked\r\n\r\n", CHUNK),
    "other_response": (b"transfer-encoding: chunked\r\n\r\n", CHUNK),
    "trailer": (b"transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", FIELDS),
}
MAX_UNSENT_BYTES = 0x40000
ENDLESS_INTERVAL_S = 0.002
MAX_ENDLESS_S = 12.0


@attrs.define(eq=False)
class SentResponse:
    """Bytes of the latest response on a connection, and copies that are still due.

    A response that is ``held`` is sent late, and then twice.
    """

    data: list[bytes] = attrs.field(factory=list)
    before_next: bytes = b""
    after_next: bytes = b""
    held: bool = False


class ResponseFaults:
    """Faults of one server's responses.

    ``repeats`` names the ways in which responses are sent a second time, one of them
    for each. ``abandoned_share`` is the share of requests that are answered only once
    their caller has given up, and then twice. ``endless`` names the part of responses
    that doesn't end; only ``max_endless`` of all servers are sent at a time, others are
    answered as usual.
    """

    max_endless = 3
    endless_now = 0

    def __init__(self, seed=0):
        self.random = random.Random(seed)
        self.repeats = ()
        self.abandoned_share = 0.0
        self.endless = ""
        self.repeated = Counter()
        self.sent = {}

    @property
    def repeated_count(self):
        return sum(self.repeated.values())

    @asynccontextmanager
    async def repeat(self, connection):
        """Send due copies around the response that the body of the block sends."""
        if connection not in self.sent and not self.repeats:
            yield
            return
        sent = self._begin(connection)
        try:
            yield
            if sent.held:
                await asyncio.sleep(self.random.uniform(*ABANDONED_S))
        except BaseException:
            self.sent.pop(connection, None)
            raise
        if connection.closed:
            self.sent.pop(connection, None)
        elif connection.response_ended:
            self._end(connection, sent)

    def _begin(self, connection):
        if connection not in self.sent:
            self.sent[connection] = SentResponse()
            connection._write = partial(self._write, connection)
        sent = self.sent[connection]
        sent.data.clear()
        sent.held = self.random.random() < self.abandoned_share
        connection.transport.write(sent.before_next)
        sent.before_next = b""
        return sent

    def _end(self, connection, sent):
        data = b"".join(sent.data)
        if sent.held:
            self.repeated["abandoned"] += 1
            connection.transport.write(data + data)
        connection.transport.write(sent.after_next)
        sent.after_next = b""
        if self.repeats and not sent.held:
            self._repeat(connection, sent, data, self.random.choice(self.repeats))

    def _write(self, connection, data):
        sent = self.sent.get(connection)
        if sent is not None:
            sent.data.append(data)
        if sent is None or not sent.held:
            type(connection)._write(connection, data)

    def _repeat(self, connection, sent, data, way):
        self.repeated[way] += 1
        if way == "before_next_response":
            sent.before_next = data
        elif way == "after_next_response":
            sent.after_next = data
        elif way == "while_idle":
            asyncio.get_running_loop().call_later(
                self.random.uniform(*IDLE_S), self._write_if_idle, connection, data
            )
        else:
            size = find_cut(data, way)
            connection.transport.write(data[:size])
            sent.before_next = data[size:]

    def _write_if_idle(self, connection, data):
        if connection.task is None and not connection.closing:
            connection.transport.write(data)

    async def send_endlessly(self, connection, headers):
        """Send a response that doesn't end; return whether there was one to send.

        :param connection: connection of the request.
        :param headers: headers that the response should have.
        """
        if not self.endless or ResponseFaults.endless_now >= self.max_endless:
            return False
        first, repeated = ENDLESS_PARTS[self.endless]
        if self.endless == "other_response":
            headers = [(b"x-jasminewalk-request-id", b"other")]
        head = b"".join(b"%s: %s\r\n" % header for header in headers)
        transport = connection.transport
        transport.write(b"HTTP/1.1 200 OK\r\n" + head + first)
        connection.response_started = True
        self.repeated["endless"] += 1
        ResponseFaults.endless_now += 1
        try:
            async with asyncio.timeout(MAX_ENDLESS_S):
                while not transport.is_closing():
                    if transport.get_write_buffer_size() < MAX_UNSENT_BYTES:
                        transport.write(repeated)
                    await asyncio.sleep(ENDLESS_INTERVAL_S)
        except TimeoutError:
            connection.abort()
        finally:
            ResponseFaults.endless_now -= 1
        return True


def find_cut(data, way):
    """Return the number of bytes of a response before its cut."""
    head_size = data.index(b"\r\n\r\n") + 4
    return {
        "at_once": len(data),
        "cut_in_status_line": CUT_STATUS_LINE_BYTES,
        "cut_in_head": head_size // 2,
        "cut_in_body": (head_size + len(data)) // 2,
    }[way]

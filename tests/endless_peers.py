"""Peers that send bytes until their connection is closed, for tests on loopback."""

import asyncio
import json

import attrs

from jasminewalk.platform.headers import EXPECT_INSTANCE

# Bytes of one write of a fast peer, and seconds between two writes of a slow one.
FAST_WRITE_BYTES = 64 * 1024
DRIP_INTERVAL_S = 0.01


@attrs.frozen
class EndlessBytes:
    """Bytes that begin a response, and bytes that follow again and again."""

    name: str
    start: bytes
    repeated: bytes

    def __str__(self):
        return self.name


def make_head(*lines, status=b"200 OK", request_id=b"REQUEST-ID"):
    """Return a response head; REQUEST-ID stands for the id of the request."""
    names = (
        b"HTTP/1.1 " + status,
        b"x-jasminewalk-request-id: " + request_id,
        b"x-jasminewalk-response-signature: s",
        *lines,
    )
    return b"\r\n".join(names) + b"\r\n"


CHUNKED = b"transfer-encoding: chunked"
CHUNKED_HEAD = make_head(CHUNKED) + b"\r\n"
FOREIGN_HEAD = make_head(b"content-length: 999999999", request_id=b"other") + b"\r\n"
FOREIGN_RESPONSE = make_head(b"content-length: 4", request_id=b"other") + b"\r\nlate"

ENDLESS_HEADS = [
    EndlessBytes("status_line", b"HTTP/1.1 2", b"0"),
    EndlessBytes("reason_phrase", b"HTTP/1.1 200 ", b"OK "),
    EndlessBytes("header_name", make_head() + b"x", b"x"),
    EndlessBytes("header_value", make_head() + b"x: ", b"x"),
    EndlessBytes("headers", make_head(), b"x: y\r\n"),
    EndlessBytes("folded_header", make_head() + b"x: y\r\n", b" y\r\n"),
    EndlessBytes("interim_responses", b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    EndlessBytes("line_ends", b"", b"\r\n"),
    EndlessBytes("garbage", b"", b"no answer "),
    EndlessBytes("zeros", b"", b"\0"),
]
ENDLESS_FRAMING = [
    EndlessBytes("chunk_size", CHUNKED_HEAD, b"0"),
    EndlessBytes("chunk_extension", CHUNKED_HEAD + b"1;", b"x"),
    EndlessBytes("chunk_extensions", CHUNKED_HEAD, b"1;" + b"x" * 999 + b"\r\ny\r\n"),
    EndlessBytes("trailer_value", CHUNKED_HEAD + b"1\r\ny\r\n0\r\nx: ", b"x"),
    EndlessBytes("trailers", CHUNKED_HEAD + b"1\r\ny\r\n0\r\n", b"x: y\r\n"),
]
ENDLESS_FOREIGN = [
    EndlessBytes("foreign_body", FOREIGN_HEAD, b"x"),
    EndlessBytes("foreign_responses", b"", FOREIGN_RESPONSE),
]
SMALL_CHUNK = b"4\r\nbody\r\n"
ENDLESS_BODIES = [
    EndlessBytes("length", make_head(b"content-length: 99999999999") + b"\r\n", b"x"),
    EndlessBytes("chunks", CHUNKED_HEAD, b"400\r\n" + b"x" * 1024 + b"\r\n"),
    EndlessBytes("small_chunks", CHUNKED_HEAD, SMALL_CHUNK),
    EndlessBytes("until_close", make_head() + b"\r\n", b"x"),
]
ENDLESS_EVENTS = [
    EndlessBytes("event", make_head() + b"\r\nid: 1\ndata: ", b"x"),
    EndlessBytes("event_id", make_head() + b"\r\nid: ", b"1"),
    EndlessBytes("events_without_id", make_head() + b"\r\n", b"data: x\n\n"),
    EndlessBytes("comments", make_head() + b"\r\n", b": ping\n\n"),
    EndlessBytes("line_ends", make_head() + b"\r\n", b"\n"),
]
PART_OF_STREAM = make_head() + b"\r\nid: 1\ndata: x\n\nid: 2\ndata: "
ERROR_HEAD = make_head(CHUNKED, status=b"500 Failed") + b"\r\n"
ENDLESS_ERRORS = [
    EndlessBytes("error_chunks", ERROR_HEAD, SMALL_CHUNK),
    EndlessBytes(
        "error_length",
        make_head(b"content-length: 9999999", status=b"500 Failed") + b"\r\n",
        b"x",
    ),
]


class EndlessPeer:
    """Server that sends bytes without end to each request, until the client closes.

    A slow peer sends a few bytes at a time. ``sent_bytes`` are the bytes that it wrote,
    ``opened`` counts the connections that the client must end, and ``closed`` those
    that it ended.
    """

    def __init__(self, endless, *, slow=False):
        self.endless = endless
        self.slow = slow
        self.sent_bytes = 0
        self.requests = []
        self.names_engine = False
        self.opened = 0
        self.closed = 0

    async def start(self, address):
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self.handle, host, int(port))
        return self

    async def read_request(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = [line.partition(b": ") for line in head.split(b"\r\n")]
        headers = {name.lower(): value for name, _, value in lines}
        await reader.readexactly(int(headers.get(b"content-length", 0)))
        self.requests.append(head.split(b"\r\n")[0])
        self.names_engine = EXPECT_INSTANCE in headers
        return headers.get(b"x-jasminewalk-request-id", b"a")

    async def handle(self, reader, writer):
        self.opened += 1
        try:
            request_id = await self.read_request(reader)
            await self.send_endlessly(writer, request_id)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.closed += 1
        finally:
            writer.transport.abort()

    async def send_endlessly(self, writer, request_id):
        writer.write(self.endless.start.replace(b"REQUEST-ID", request_id))
        repeated = self.endless.repeated.replace(b"REQUEST-ID", request_id)
        if not self.slow:
            repeated *= FAST_WRITE_BYTES // len(repeated) + 1
        while not writer.transport.is_closing():
            writer.write(repeated)
            self.sent_bytes += len(repeated)
            await writer.drain()
            if self.slow:
                await asyncio.sleep(DRIP_INTERVAL_S)
        raise ConnectionResetError


class EndlessEngine(EndlessPeer):
    """Engine that answers the calls at ``endless_path`` without end.

    Reports and orders are answered, unless ``endless_path`` begins with theirs.
    """

    def __init__(self, engine_id, endless, *, slow=False, service="app", stage=""):
        super().__init__(endless, slow=slow)
        self.engine_id = engine_id
        self.service = service
        self.stage = stage
        self.endless_paths = (b"/book", b"/look", b"/verdict", b"/help")

    async def start(self, port):
        self.address = f"127.0.0.1:{port}"
        return await super().start(self.address)

    def entry(self):
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": "north",
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1,
        }
        return fields | ({"stage": self.stage} if self.stage else {})

    async def send_endlessly(self, writer, request_id):
        if self.requests[-1].split()[1].startswith(self.endless_paths):
            await super().send_endlessly(writer, request_id)
            return
        report = {
            "stage": self.stage,
            "sequence": 0,
            "busy": False,
            "waiting": 0,
            "running": 0,
        }
        body = json.dumps(report).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)
        )
        await writer.drain()
        if not self.names_engine:
            # Not of a gateway, and ended here after its response.
            self.opened -= 1

"""HTTP server on plain sockets whose responses may be late, repeated or endless."""

import asyncio
import contextlib
import re

import attrs

HEAD_END = b"\r\n\r\n"
LENGTH_PATTERN = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)


@attrs.frozen
class RawRequest:
    """Request line, header lines and body of a request, as received."""

    line: bytes
    headers: bytes
    body: bytes


async def read_request(reader):
    head = await reader.readuntil(HEAD_END)
    line, _, headers = head.partition(b"\r\n")
    length = LENGTH_PATTERN.search(headers)
    body = await reader.readexactly(int(length[1]) if length else 0)
    return RawRequest(line, headers, body)


def build_response(body, status=b"200 OK", headers=()):
    lines = [b"HTTP/1.1 " + status, b"content-length: %d" % len(body), *headers]
    return b"\r\n".join(lines) + HEAD_END + body


class RawServer:
    """Server that calls ``respond(request, writer)`` for each request."""

    def __init__(self, respond):
        self.respond = respond
        self.address = ""
        self.connections = 0

    @contextlib.asynccontextmanager
    async def serve(self):
        server = await asyncio.start_server(self.handle, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        try:
            yield self
        finally:
            server.close()

    async def handle(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await self.respond(await read_request(reader), writer)
                await writer.drain()
        writer.close()


class StutteringServer(RawServer):
    """Server that sends each response again when the next request arrives.

    The second response to a request arrives on the request's connection, before the
    response to the next request there.

    :param answer: returns the bytes of the response to a request.
    """

    def __init__(self, answer):
        super().__init__(self.stutter)
        self.answer = answer
        self.last_responses = {}
        self.requests = []

    async def stutter(self, request, writer):
        self.requests.append(request)
        writer.write(self.last_responses.get(writer, b""))
        response = self.last_responses[writer] = self.answer(request)
        writer.write(response)


class EndlessServer(RawServer):
    """Server that responds with ``start`` and then ``piece`` until it is closed."""

    def __init__(self, start, piece):
        super().__init__(self.send_without_end)
        self.start = start
        self.piece = piece
        self.sent_bytes = 0

    async def send_without_end(self, request, writer):
        writer.write(self.start)
        while True:
            writer.write(self.piece)
            await writer.drain()
            self.sent_bytes += len(self.piece)

"""Callers that nobody controls, and a gateway process that must outlast them."""

import asyncio
import re
import socket
from pathlib import Path

from platform_fakes import FakeEngine, FakeStore, configuration
from ports import allocate_port
from soak_processes import Gateway

__all__ = [
    "CROWDS",
    "MAX_DESCRIPTORS",
    "MEMORY_MB",
    "Crowd",
    "CrowdedFleet",
    "build_chunked",
]

# Memory and descriptors of the machine, as the gateway's settings name them.
MEMORY_MB = 80
MAX_DESCRIPTORS = 600
MAX_BODY_BYTES = 4 * 1024 * 1024
LARGE_BYTES = 3_000_000
EVENT_BYTES = 10_000
# Bytes that the kernel keeps for a caller that does not read.
RECEIVE_BUFFER_BYTES = 4096
START_TIMEOUT_S = 30.0
# Seconds in which a crowd is sent, and longest time for one of its writes; what a
# gateway does not read by then stays unsent.
SEND_TIMEOUT_S = 60.0
# Tries of an ordinary caller, and seconds between them.
ORDINARY_TRIES = 40
RETRY_S = 0.5
# Looks for engines that still answer the crowd.
ENGINES_TRIES = 10
SETTINGS = f"""
[limits]
memory_mb = {MEMORY_MB}
max_fds = {MAX_DESCRIPTORS}
"""


class LargeEngine(FakeEngine):
    """Engine whose answers are long where the path asks for it."""

    async def answer(self, connection, request, headers):
        if not request.path.endswith("/large"):
            await super().answer(connection, request, headers)
        elif self.service == "app":
            body = b"x" * LARGE_BYTES
            connection.send_response(200, self.build_headers(headers), body)
        else:
            connection.start_stream(200, self.build_headers(headers))
            for number in range(1, LARGE_BYTES // EVENT_BYTES + 1):
                data = b"x" * EVENT_BYTES
                connection.send_chunk(b"id: %d\ndata: %s\n\n" % (number, data))
                await connection.drain()
            connection.end_stream()


class Crowd:
    """Callers of one process, which keep their connections open.

    Subclasses start the process and name its address.

    :param crowds: functions that return what one caller of a kind sends, by its name.
    """

    memory_mb = MEMORY_MB
    max_descriptors = MAX_DESCRIPTORS

    def __init__(self, crowds):
        self.crowds = crowds
        self.connections = []
        self.requests = 0

    @property
    def address(self):
        """Host and port of the process."""
        raise NotImplementedError

    @property
    def process(self):
        raise NotImplementedError

    def build_ordinary_request(self):
        raise NotImplementedError

    def leave(self):
        """Have the crowd close its connections."""
        for connection in self.connections:
            connection.close()
        self.connections.clear()

    # What must hold.

    def check(self):
        """Check that the process lives within its memory and descriptors."""
        self.check_process(self.process)
        assert self.count_descriptors() <= self.max_descriptors

    def check_process(self, process):
        assert process.poll() is None, f"a process ended with {process.returncode}"
        status = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
        peak_kb = int(re.search(r"^VmHWM:\s*(\d+) kB$", status, re.MULTILINE)[1])
        assert peak_kb * 1024 <= self.memory_mb * 1_000_000, f"peak of {peak_kb} kB"

    def count_descriptors(self):
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    async def is_served(self):
        """Return whether one ordinary request is answered."""
        self.requests += 1
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        try:
            writer.write(self.build_ordinary_request())
            async with asyncio.timeout(10):
                response = await reader.read(4096)
            return response.startswith(b"HTTP/1.1 200 ")
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def check_ordinary_caller(self):
        """Check that an ordinary caller that comes back when refused is answered."""
        for _ in range(ORDINARY_TRIES):
            if await self.is_served():
                return
            await asyncio.sleep(RETRY_S)
        raise AssertionError("no ordinary request is answered")

    # The callers.

    async def open(self):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, self.address)
        self.connections.append(connection)
        return connection

    async def send(self, pieces):
        """Send pieces on a connection that stays open, as far as they are read."""
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                connection = await self.open()
                for piece in pieces:
                    await asyncio.get_running_loop().sock_sendall(connection, piece)
        except (OSError, TimeoutError):
            # A caller that is refused or held up keeps what it has.
            pass

    async def send_crowd(self, name, count):
        """Have so many callers of a kind send what they send; keep them connected."""
        build = self.crowds[name]
        await asyncio.gather(
            *(self.send(build(self, f"{name}-{number}")) for number in range(count))
        )


class CrowdedFleet(Crowd):
    """A gateway in a process of its own, engines, the store, and a crowd."""

    def __init__(self, directory):
        super().__init__(CROWDS)
        self.directory = directory
        self.store = FakeStore()
        self.engines = [LargeEngine("app-0"), LargeEngine("llm-0", "llm", "decode")]
        self.gateway = None

    @property
    def address(self):
        return self.gateway.ip, self.gateway.front

    @property
    def process(self):
        return self.gateway.process

    def build_ordinary_request(self):
        return self.build_head("/look/x", f"o{self.requests}", b"4") + b"body"

    async def start(self):
        await self.store.start(allocate_port())
        document = configuration()
        document["limits"]["max_body_bytes"] = MAX_BODY_BYTES
        self.store.put("keyed.op", "config", document)
        for engine in self.engines:
            await engine.start(allocate_port())
            self.store.put("keyed.servers", engine.engine_id, engine.entry())
        self.gateway = Gateway(
            "front-0", "127.0.0.2", self.directory, self.store.address, SETTINGS
        )
        self.gateway.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_served():
                await asyncio.sleep(0.1)

    def stop(self):
        self.leave()
        if self.gateway is not None:
            self.gateway.kill()
            log = (self.directory / "front-0.log").read_text(encoding="utf-8")
            print(log[-20_000:])

    async def wait_for_engines(self):
        """Wait until the engines have answered what they can of the crowd's requests.

        What a caller leaves unread may hold up an engine, so this ends after a time.
        """
        for _ in range(ENGINES_TRIES):
            await asyncio.sleep(RETRY_S)
            if not any(engine.running_requests for engine in self.engines):
                return

    def build_head(self, path, request_id, length=None):
        framing = b"transfer-encoding: chunked"
        if length is not None:
            framing = b"content-length: " + length
        return (
            (
                f"POST {path} HTTP/1.1\r\nhost: bar.example\r\n"
                f"x-jasminewalk-request-id: {request_id}\r\n"
                "x-jasminewalk-deadline-ms: 20000\r\n"
            ).encode()
            + framing
            + b"\r\n\r\n"
        )


def build_chunked(head, chunk_bytes, body_bytes):
    """Yield a head and a chunked body that stops just short of its end."""
    yield head
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    per_piece = max(1, 65536 // len(chunk))
    chunks = body_bytes // chunk_bytes
    for start in range(0, chunks, per_piece):
        yield chunk * min(per_piece, chunks - start)


def build_small_chunks(fleet, name):
    return build_chunked(fleet.build_head("/book/x", name), 2, 60_000)


def build_large_chunks(fleet, name):
    head = fleet.build_head("/book/x", name)
    return build_chunked(head, 65536, MAX_BODY_BYTES - 65536)


def build_pipelined(fleet, name):
    """Yield many small requests whose answers are not read."""
    yield b"".join(
        fleet.build_head("/look/x", f"{name}-{number}", b"0") for number in range(400)
    )


def build_unread_answer(fleet, name):
    """Yield a request for a long answer that is not read."""
    yield fleet.build_head("/look/large", name, b"0")


def build_unread_stream(fleet, name):
    """Yield a request for a long stream that is not read."""
    yield fleet.build_head("/help/large", name, b"0")


CROWDS = {
    "small_chunks": build_small_chunks,
    "large_chunks": build_large_chunks,
    "pipelined": build_pipelined,
    "unread_answer": build_unread_answer,
    "unread_stream": build_unread_stream,
}

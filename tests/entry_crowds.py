"""Callers that nobody controls, before an entry and the sidecar behind it."""

import asyncio
import json

from crowds import Crowd, build_chunked
from fleet import Fleet, wait_for

__all__ = ["CROWDS", "CrowdedEntry"]

MAX_BODY_BYTES = 4 * 1024 * 1024
LARGE_BYTES = 3_000_000
STREAM_TOKENS = 4000
SERVICE_PATH = "/organisations/school/services/enrolment"
CHAT_PATH = "/organisations/school/v1/chat/completions"


class CrowdedEntry(Crowd):
    """An entry, an engine and a service with their sidecars, and a crowd."""

    memory_mb = 160
    max_descriptors = 600
    max_connections = 300

    def __init__(self, directory):
        super().__init__(CROWDS)
        self.fleet = Fleet(directory)

    @property
    def address(self):
        host, _, port = self.fleet.entry_addresses["entry-1"].partition(":")
        return host, int(port)

    @property
    def process(self):
        return self.fleet.processes["entry-1"]

    @property
    def sidecar(self):
        """Process of the sidecar of the service."""
        return self.fleet.processes["sidecar-enrolment-1"]

    def build_ordinary_request(self):
        return self.build_head("GET", f"{SERVICE_PATH}/rooms", b"0")

    def build_head(self, method, path, length=None):
        framing = b"transfer-encoding: chunked"
        if length is not None:
            framing = b"content-length: " + length
        head = f"{method} {path} HTTP/1.1\r\nhost: bar.example\r\n"
        return head.encode() + framing + b"\r\n\r\n"

    async def start(self):
        await asyncio.to_thread(self.start_fleet)

    def start_fleet(self):
        fleet = self.fleet
        fleet.start_platform()
        fleet.start_endpoint("engine", 1, decode_step_s=0.001)
        fleet.start_endpoint("service", 1, sidecar={"memory_mb": self.memory_mb})
        fleet.start_entry(
            1,
            body_bytes=MAX_BODY_BYTES,
            memory_mb=self.memory_mb,
            max_connections=self.max_connections,
        )
        for name in fleet.operator_addresses:
            wait_for(lambda name=name: fleet.is_serving(name), f"{name} serving")
        fleet.publish()
        wait_for(lambda: fleet.chat().status == 200, "a chat")
        wait_for(lambda: fleet.book("ready").status == 200, "a booking")

    def stop(self):
        self.leave()
        for name in ("entry-1", "sidecar-enrolment-1"):
            if name in self.fleet.processes:
                print(self.fleet.read_log(name)[-10_000:])
        self.fleet.stop()

    def check(self):
        super().check()
        self.check_process(self.sidecar)


def build_unfinished(fleet, chunk_bytes, body_bytes):
    """Yield a chunked body that stops just short of its end."""
    head = fleet.build_head("POST", f"{SERVICE_PATH}/bookings")
    return build_chunked(head, chunk_bytes, body_bytes)


def build_small_chunks(fleet, name):
    return build_unfinished(fleet, 2, 60_000)


def build_large_chunks(fleet, name):
    return build_unfinished(fleet, 65536, MAX_BODY_BYTES - 65536)


def build_pipelined(fleet, name):
    """Yield many small requests whose answers are not read."""
    yield fleet.build_ordinary_request() * 100


def build_pipelined_heads(fleet, name):
    """Yield requests with long heads that wait for the one before them."""
    yield fleet.build_ordinary_request()
    fields = b"x-filler: %s\r\n" % (b"x" * 50_000)
    head = fleet.build_ordinary_request().replace(b"\r\n\r\n", b"\r\n" + fields, 1)
    for _ in range(20):
        yield head + b"\r\n"


def build_unread_answer(fleet, name):
    """Yield a request whose answer is as long as it, and is not read."""
    yield fleet.build_head("GET", f"{SERVICE_PATH}/rooms", b"%d" % LARGE_BYTES)
    yield b"x" * LARGE_BYTES


def build_unread_stream(fleet, name):
    """Yield a request for a long stream that is not read."""
    body = json.dumps(
        {
            "model": "tutor",
            "stream": True,
            "max_tokens": STREAM_TOKENS,
            "messages": [{"role": "user", "content": name}],
        }
    ).encode()
    yield fleet.build_head("POST", CHAT_PATH, b"%d" % len(body)) + body


CROWDS = {
    "small_chunks": build_small_chunks,
    "large_chunks": build_large_chunks,
    "pipelined": build_pipelined,
    "pipelined_heads": build_pipelined_heads,
    "unread_answer": build_unread_answer,
    "unread_stream": build_unread_stream,
}

"""Stand-ins for the platform's store and for engines, and a client.

Only the standard library is used. Run as a program, it is one stand-in:

    standins.py store PORT
    standins.py engine SETTINGS_AS_JSON

Each writes what it does to standard output, one JSON document a line.
"""

import asyncio
import base64
import contextlib
import json
import signal
import struct
import sys
import time
from urllib.parse import parse_qs, quote, urlsplit

HOST = "127.0.0.1"


def note(event, **fields):
    """Write one line of the record."""
    line = {"at": round(time.time(), 3), "event": event, **fields}
    # In one piece, as several processes write to one record.
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()


async def read_message(reader):
    """Return the first line, the headers and the body of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def encode_response(status, headers=(), body=b"", length=True):
    """Return the bytes of a response."""
    lines = [
        f"HTTP/1.1 {status} Status",
        *(f"{name}: {value}" for name, value in headers),
    ]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(address, method, target, body=b"", headers=(), timeout_s=2.0):
    """Send one request on a connection of its own; return status, headers and body."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [
                f"{method} {target} HTTP/1.1",
                f"Host: {address}",
                "Connection: close",
            ]
            lines += [f"{name}: {value}" for name, value in headers]
            lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            message = await read_message(reader)
            if message is None:
                raise ConnectionError("no response")
            return int(message[0].split()[1]), message[1], message[2]
        finally:
            writer.close()


def encode_keyed(key, value):
    """Return the body of an append of one record of a keyed topic."""
    content = bytes([len(key)]) + key.encode() + value
    return struct.pack(">I", len(content)) + content


async def put(store, topic, key, document):
    """Write a record of a keyed topic; None as the document drops the key."""
    value = b"" if document is None else json.dumps(document).encode()
    target = f"/-/log-append?topic={quote(topic)}&part=0"
    status, _, _ = await call(store, "POST", target, encode_keyed(key, value))
    if status != 200:
        raise ConnectionError(f"store answered {status}")


# The store.


class Store:
    """The platform's store: topics with one partition, and groups."""

    def __init__(self):
        self.topics = {}
        self.groups = {}

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (message := await read_message(reader)) is not None:
                first, _, body = message
                method, target, _ = first.split(" ", 2)
                url = urlsplit(target)
                query = {
                    name: values[0] for name, values in parse_qs(url.query).items()
                }
                status, content = await self.answer(method, url.path, query, body)
                writer.write(encode_response(status, (), content))
                await writer.drain()
        writer.close()

    async def answer(self, method, path, query, body):
        """Return the status and the body of a response."""
        if path == "/-/log-append":
            return self.append(query, body)
        if path == "/-/log-read":
            return await self.read(query)
        if path == "/-/log-newest":
            return self.read_newest(query)
        if path == "/-/log-join":
            return self.join(json.loads(body))
        if path == "/-/log-leave":
            self.leave(json.loads(body))
            return 200, b"{}"
        return 404, b"{}"

    def append(self, query, body):
        """Append records; return the status and the body of the response."""
        records = self.topics.setdefault(query["topic"], [])
        offset = len(records)
        if int(query.get("at", offset)) != offset:
            return 412, json.dumps({"end": offset}).encode()
        while body:
            (size,) = struct.unpack_from(">I", body)
            records.append(body[4 : 4 + size])
            body = body[4 + size :]
        return 200, json.dumps({"offset": offset, "end": len(records)}).encode()

    async def read(self, query):
        """Return the records from an offset on, once there are any."""
        offset = int(query["from"])
        ends_at = time.monotonic() + int(query.get("wait_ms", 0)) / 1e3
        while len(self.topics.get(query["topic"], ())) <= offset:
            if time.monotonic() >= ends_at:
                break
            await asyncio.sleep(0.01)
        records = self.topics.get(query["topic"], [])
        content = struct.pack(">QQ", len(records), 0)
        for record in records[offset:]:
            content += struct.pack(">I", len(record)) + record
        return 200, content

    def read_newest(self, query):
        """Return the newest record of each key."""
        newest = {}
        records = self.topics.get(query["topic"], [])
        for offset, record in enumerate(records):
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            newest.pop(key, None)
            if value:
                encoded = base64.b64encode(value).decode()
                newest[key] = {"key": key, "value": encoded, "offset": offset}
        items = [newest[key] for key in sorted(newest)]
        document = {"items": items, "has_more": False, "end": len(records)}
        return 200, json.dumps(document).encode()

    def join(self, request):
        """Take a member into a group, or keep it there."""
        now = time.monotonic()
        group = self.groups.setdefault(
            request["group"], {"generation": 0, "members": {}, "owners": {}}
        )
        members = group["members"]
        lapsed = [name for name, until in members.items() if until <= now]
        for name in lapsed:
            del members[name]
        is_new = request["member"] not in members
        members[request["member"]] = now + request["ttl_ms"] / 1e3
        if lapsed or is_new:
            group["generation"] += 1
        # The member that joined first keeps all partitions for as long as it stays.
        topic, owner = request["topics"][0], next(iter(members))
        rows = [[topic, part, 0] for part in range(12)]
        parts = rows if owner == request["member"] else []
        answer = {
            "generation": group["generation"],
            "ttl_ms": request["ttl_ms"],
            "parts": parts,
        }
        return 200, json.dumps(answer).encode()

    def leave(self, request):
        """Drop a member of a group."""
        group = self.groups.get(request["group"])
        if group and group["members"].pop(request["member"], None) is not None:
            group["generation"] += 1


async def run_store(port):
    """Serve as the store until the process is ended."""
    store = Store()
    server = await asyncio.start_server(store.serve, HOST, port)
    async with server:
        await server.serve_forever()


# Engines.


class Engine:
    """An engine, which registers itself and serves streams and plain requests.

    Settings: ``id``, ``service``, ``port``, ``store``, ``stage`` (empty for a plain
    service), ``events`` of a stream, ``pause_s`` between them, ``framed`` (whether its
    answers have chunks or a length), ``drain_s`` (how long it serves on after it said
    that it is draining) and ``heartbeat_s``.
    """

    def __init__(self, settings):
        self.settings = settings
        self.id = settings["id"]
        self.born = int(time.time() * 1e3)
        self.state = "ready"
        self.sequence = 0
        self.running = 0

    @property
    def address(self):
        """Address at which it serves."""
        return f"{HOST}:{self.settings['port']}"

    def build_entry(self):
        """Return its registry entry."""
        self.sequence += 1
        entry = {
            "service": self.settings["service"],
            "address": self.address,
            "zone": "north",
            "version": "v1",
            "slots": 16,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.settings["stage"]:
            models = [{"name": "m", "version": 1, "adapters": []}]
            entry |= {"stage": self.settings["stage"], "models": models}
        return entry

    async def register(self):
        """Write its entry to the store."""
        with contextlib.suppress(OSError, TimeoutError):
            await put(
                self.settings["store"], "keyed.servers", self.id, self.build_entry()
            )

    async def beat(self):
        """Write its entry again and again."""
        while True:
            await self.register()
            await asyncio.sleep(self.settings["heartbeat_s"])

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                if not await self.answer(writer, method, target, headers, body):
                    break
        writer.close()

    async def answer(self, writer, method, target, headers, body):
        """Answer a request; return whether the connection stays open."""
        expected = headers.get("x-jasminewalk-expect-instance", self.id)
        request_id = headers.get("x-jasminewalk-request-id", "")
        own = [("X-Jasminewalk-Instance-Id", self.id)]
        if request_id:
            own.append(("X-Jasminewalk-Request-Id", request_id))
        if expected != self.id:
            writer.write(encode_response(421, own))
            return True
        if target == "/-/report":
            report = {
                "stage": self.settings["stage"],
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": 0,
                "waiting": 0,
                "running": self.running,
                "kv_used": 0,
                "kv_total": 90000,
                "kv_handles": 0,
                "born": self.born,
            }
            writer.write(encode_response(200, own, json.dumps(report).encode()))
            return True
        if target.startswith("/-/"):
            writer.write(encode_response(200, own))
            return True
        own.append(
            ("X-Jasminewalk-Response-Signature", f"{self.id}.{self.born}.{request_id}")
        )
        note(
            "runs",
            engine=self.id,
            request=request_id,
            after=headers.get("last-event-id", ""),
        )
        self.running += 1
        try:
            if self.settings["stage"]:
                after = int(headers.get("last-event-id") or 0)
                pieces = [
                    f"id: {number}\ndata: {request_id}/{number}\n\n".encode()
                    for number in range(after + 1, self.settings["events"] + 1)
                ]
                own.append(("Content-Type", "text/event-stream"))
            else:
                pieces = [
                    f"{request_id}/{number};".encode()
                    for number in range(1, self.settings["events"] + 1)
                ]
            return await self.send(writer, own, pieces, request_id)
        finally:
            self.running -= 1

    async def send(self, writer, headers, pieces, request_id):
        """Send an answer; return whether the connection stays open."""
        framed = self.settings["framed"]
        ending = ("Transfer-Encoding", "chunked") if framed else ("Connection", "close")
        writer.write(encode_response(200, [*headers, ending], length=False))
        for piece in pieces:
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece) if framed else piece)
            await writer.drain()
            await asyncio.sleep(self.settings["pause_s"])
        if framed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        note("ran", engine=self.id, request=request_id, pieces=len(pieces))
        return framed

    async def leave(self):
        """Say that it drains, serve on, and let the process end."""
        self.state = "draining"
        note("draining", engine=self.id)
        await self.register()
        ends_at = time.monotonic() + self.settings["drain_s"]
        while time.monotonic() < ends_at or self.running:
            await asyncio.sleep(0.02)
        await put(self.settings["store"], "keyed.servers", self.id, None)
        note("ended", engine=self.id)


async def run_engine(settings):
    """Serve as an engine until SIGTERM, then drain."""
    engine = Engine(settings)
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    await asyncio.start_server(engine.serve, HOST, settings["port"])
    note("started", engine=engine.id, born=engine.born)
    beating = asyncio.create_task(engine.beat())
    await stopping.wait()
    beating.cancel()
    await engine.leave()


# A client.


class Answer:
    """What a client received.

    ``complete`` says whether the protocol marks the answer's end: the last chunk, or
    the last byte of its length.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False

    def describe(self):
        """Return what the record tells of it."""
        return {
            "status": self.status,
            "signed": "x-jasminewalk-response-signature" in self.headers,
            "bytes": len(self.body),
            "complete": self.complete,
        }


async def send(address, method, target, headers, body=b""):
    """Send a request on a new connection and return the answer."""
    answer = Answer()
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer.status = int(head[0].split()[1])
        for line in head[1:]:
            name, separator, value = line.partition(":")
            if separator:
                answer.headers[name.lower()] = value.strip()
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                answer.body += (await reader.readexactly(size + 2))[:-2]
                if not size:
                    break
        else:
            length = int(answer.headers.get("content-length", 0))
            while len(answer.body) < length:
                piece = await reader.read(length - len(answer.body))
                if not piece:
                    return answer
                answer.body += piece
        answer.complete = True
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()
    return answer


if __name__ == "__main__":
    if sys.argv[1] == "store":
        asyncio.run(run_store(int(sys.argv[2])))
    else:
        asyncio.run(run_engine(json.loads(sys.argv[2])))

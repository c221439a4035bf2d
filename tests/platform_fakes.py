"""Stand-ins of the users' platform on loopback: its store and its engines."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from jasminewalk.http1 import CallersServer

ROUTES = [
    {
        "name": "booking",
        "host": "bar.example",
        "path_prefix": "/book/",
        "kind": "unsafe",
        "timeout_ms": 900,
        "target_latency_ms": 150,
        "service": "app",
        "max_attempts": 1,
    },
    {
        "name": "lookup",
        "host": "bar.example",
        "path_prefix": "/look/",
        "kind": "safe",
        "timeout_ms": 900,
        "target_latency_ms": 150,
        "service": "app",
        "max_attempts": 2,
    },
    {
        "name": "verdict",
        "host": "bar.example",
        "path_prefix": "/verdict/",
        "kind": "streaming",
        "resumable": True,
        "timeout_ms": 2000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": "llm",
        "max_attempts": 2,
        "gap_aim_ms": 150,
    },
    {
        "name": "helper",
        "host": "bar.example",
        "path_prefix": "/help/",
        "kind": "streaming",
        "timeout_ms": 2000,
        "target_latency_ms": 250,
        "priority": 0,
        "service": "llm",
        "max_attempts": 1,
        "gap_aim_ms": 150,
    },
]
SERVICES = [
    {"name": "app", "health_path": "/health", "max_connections": 50},
    {
        "name": "llm",
        "health_path": "/health",
        "max_connections": 50,
        "engine": {"slots": 16, "kv_capacity": 100000, "switch_s": 0.2},
    },
]


def configuration(version=1, routes=None):
    return {
        "version": version,
        "routes": ROUTES if routes is None else routes,
        "services": SERVICES,
        "limits": {"max_body_bytes": 100000, "idle_timeout_ms": 5000},
    }


class FakeStore:
    """The metadata store: keyed topics and one group, in memory."""

    def __init__(self):
        self.topics = {}
        self.first = {}
        self.down = False
        self.calls = []
        self.joins = {}
        self.generation = 0
        self.address = ""

    async def start(self, free_port):
        self.address = f"127.0.0.1:{free_port}"
        self.server = CallersServer(
            self.handle, asyncio.get_running_loop().time, print, print
        )
        await self.server.listen(self.address)

    def put(self, topic, key, value):
        records = self.topics.setdefault(topic, [])
        text = None if value is None else json.dumps(value).encode()
        records.append((key, text))

    def forget(self, topic):
        self.first[topic] = len(self.topics.get(topic, ()))

    async def handle(self, connection, request):
        if self.down:
            connection.abort()
            return
        url = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        name = url.path.removeprefix("/-/")
        self.calls.append(name)
        await getattr(self, name.replace("-", "_"))(connection, query, request.body)

    async def log_newest(self, connection, query, body):
        records = self.topics.get(query["topic"], [])
        newest = {}
        for offset, (key, value) in enumerate(records):
            newest.pop(key, None)
            if value is not None:
                encoded = base64.b64encode(value).decode()
                newest[key] = {"key": key, "value": encoded, "offset": offset}
        answer = {
            "items": list(newest.values()),
            "has_more": False,
            "end": len(records),
        }
        connection.answer(200, (), json.dumps(answer).encode())

    async def log_read(self, connection, query, body):
        topic, start = query["topic"], int(query["from"])
        if start < self.first.get(topic, 0):
            connection.answer(410, (), b'{"first":0}')
            return
        ends_at = (
            asyncio.get_running_loop().time() + float(query.get("wait_ms", 0)) / 1e3
        )
        while (
            len(self.topics.get(topic, ())) <= start
            and asyncio.get_running_loop().time() < ends_at
        ):
            await asyncio.sleep(0.01)
        records = self.topics.get(topic, [])
        answer = struct.pack(">QQ", len(records), self.first.get(topic, 0))
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            answer += struct.pack(">I", len(content)) + content
        connection.answer(200, (), answer)

    async def log_append(self, connection, query, body):
        size = body[4]
        key, value = body[5 : 5 + size].decode(), body[5 + size :]
        self.topics.setdefault(query["topic"], []).append((key, value))
        connection.answer(200, (), b'{"offset":0,"end":1}')

    async def log_join(self, connection, query, body):
        asked = json.loads(body)
        now = asyncio.get_running_loop().time()
        live = {m: until for m, until in self.joins.items() if until > now}
        if live.keys() != self.joins.keys() or asked["member"] not in live:
            self.generation += 1
        self.joins = live
        self.joins[asked["member"]] = now + asked["ttl_ms"] / 1e3
        holder = next(iter(self.joins))
        parts = [[asked["topics"][0], 0, 0]] if holder == asked["member"] else []
        answer = {"generation": self.generation, "ttl_ms": 3000, "parts": parts}
        connection.answer(200, (), json.dumps(answer).encode())

    async def log_leave(self, connection, query, body):
        self.joins.pop(json.loads(body)["member"], None)
        connection.answer(200, (), b"{}")


class FakeEngine:
    """An engine that answers as its script says and remembers what it was sent."""

    def __init__(self, engine_id, service="app", stage="", zone="north"):
        self.engine_id = engine_id
        self.service = service
        self.stage = stage
        self.zone = zone
        self.requests = []
        self.cancelled = []
        self.executed_requests = []
        self.running_requests = set()
        self.orders = []
        self.released_paths = []
        self.events = 3
        self.behaviour = "answer"
        self.delay_s = 0.0
        self.address = ""

    async def start(self, free_port):
        self.address = f"127.0.0.1:{free_port}"
        self.server = CallersServer(
            self.handle, asyncio.get_running_loop().time, print, print
        )
        await self.server.listen(self.address)

    def entry(self, state="ready", **changes):
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 16,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1,
        }
        if self.stage:
            fields["stage"] = self.stage
        return fields | changes

    async def handle(self, connection, request):
        headers = dict(request.headers)
        if request.path.startswith("/-/"):
            await self.own_call(connection, request)
            return
        self.requests.append((request, headers))
        request_id = headers[b"x-jasminewalk-request-id"].decode()
        if self.behaviour != "full":
            prefill = b"x-jasminewalk-stage" in headers
            self.executed_requests.append((request_id, request.target, prefill))
        self.running_requests.add(request_id)
        try:
            await getattr(self, self.behaviour)(connection, request, headers)
        except asyncio.CancelledError:
            self.cancelled.append(request_id)
            raise
        finally:
            self.running_requests.discard(request_id)

    async def own_call(self, connection, request):
        if request.path == "/-/report":
            report = {
                "stage": self.stage,
                "sequence": len(self.orders),
                "busy": False,
                "waiting": 0,
                "running": 0,
            }
            connection.answer(200, (), json.dumps(report).encode())
        elif request.path == "/-/order":
            order = json.loads(request.body)
            order["at"] = asyncio.get_running_loop().time()
            self.orders.append(order)
            connection.answer(202, (), b"")
        else:
            self.released_paths.append(request.path)
            connection.answer(200, (), b"")

    def head(self, headers):
        return [
            (b"x-jasminewalk-request-id", headers[b"x-jasminewalk-request-id"]),
            (b"x-jasminewalk-response-signature", self.engine_id.encode()),
        ]

    async def answer(self, connection, request, headers):
        await asyncio.sleep(1.5 if request.path.endswith("/slow") else self.delay_s)
        if headers.get(b"x-jasminewalk-stage") == b"prefill":
            body = {"kv_handle": f"h-{len(self.requests)}", "tokens": 1, "version": 1}
            connection.answer(200, self.head(headers), json.dumps(body).encode())
        elif self.service == "llm":
            await self.stream(connection, headers, self.events)
            connection.end_stream()
        else:
            connection.answer(200, self.head(headers), b"served by " + request.body)

    async def stream(self, connection, headers, count):
        connection.start_stream(200, self.head(headers))
        first = int(headers.get(b"last-event-id", b"0")) + 1
        for number in range(first, count + 1):
            connection.send_chunk(b"id: %d\ndata: token %d\n\n" % (number, number))
            await asyncio.sleep(0)

    async def break_stream(self, connection, request, headers):
        """Break off in the middle of the event after the next."""
        first = int(headers.get(b"last-event-id", b"0")) + 1
        await self.stream(connection, headers, first)
        connection.send_chunk(b"id: %d\nda" % (first + 1))
        await asyncio.sleep(0.02)
        connection.abort()

    async def pause_stream(self, connection, request, headers):
        """Say nothing for a while after the first event of a stream, then go on."""
        if b"x-jasminewalk-stage" in headers or b"last-event-id" in headers:
            await self.answer(connection, request, headers)
            return
        await self.stream(connection, headers, 1)
        await asyncio.sleep(1.5)
        for number in range(2, self.events + 1):
            connection.send_chunk(b"id: %d\ndata: token %d\n\n" % (number, number))
        connection.end_stream()

    async def error(self, connection, request, headers):
        connection.answer(500, self.head(headers), b"engine failed")

    async def full(self, connection, request, headers):
        head = [(b"x-jasminewalk-request-id", headers[b"x-jasminewalk-request-id"])]
        connection.answer(503, [*head, (b"x-jasminewalk-not-executed", b"1")], b"")

    async def overloaded_without_not_executed(self, connection, request, headers):
        connection.answer(503, self.head(headers), b"")

    async def reset(self, connection, request, headers):
        connection.abort()

    async def hang(self, connection, request, headers):
        await asyncio.sleep(30)

    async def unsigned(self, connection, request, headers):
        connection.answer(200, self.head(headers)[:1], b"who am I")

    async def encoded(self, connection, request, headers):
        head = [*self.head(headers), (b"content-encoding", b"gzip")]
        connection.answer(200, head, b"zipped")

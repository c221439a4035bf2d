"""Fakes of the platform's metadata store and engines that serve on loopback."""

import asyncio
import base64
import copy
import json
import struct
from urllib.parse import parse_qs, urlsplit

from jasminewalk.http1 import CallerServer
from response_faults import ResponseFaults

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


# Partitions of each topic that a group deals out.
PARTITIONS = 2
# Seconds between two pieces of records that are sent at a limited rate.
RECORDS_INTERVAL_S = 0.02


def configuration(version=1, routes=None):
    # A copy, as a test that changes it would change it for those after it.
    return {
        "version": version,
        "routes": copy.deepcopy(ROUTES if routes is None else routes),
        "services": copy.deepcopy(SERVICES),
        "limits": {"max_body_bytes": 100000, "idle_timeout_ms": 5000},
    }


class FakeStore:
    """In-memory metadata store with keyed topics and one group.

    ``bytes_per_s`` limits the rate at which records are sent, and the store falls
    silent after ``silent_after_bytes`` of a response; None is unlimited. All responses
    name its ``era``; None leaves the header out.
    """

    def __init__(self):
        self.bytes_per_s = None
        self.silent_after_bytes = None
        self.topics = {}
        self.first_offsets = {}
        self.down = False
        self.calls = []
        self.member_expiries = {}
        self.generation = 0
        self.era = 1
        self.holders = {}
        self.faults = ResponseFaults()
        self.address = ""

    async def start(self, port):
        self.address = f"127.0.0.1:{port}"
        self.server = CallerServer(
            self.handle, asyncio.get_running_loop().time, print, print
        )
        await self.server.listen(self.address)

    def put(self, topic, key, value):
        records = self.topics.setdefault(topic, [])
        text = None if value is None else json.dumps(value).encode()
        records.append((key, text))

    def delete_records(self, topic):
        self.first_offsets[topic] = len(self.topics.get(topic, ()))

    async def handle(self, connection, request):
        if self.down:
            connection.abort()
            return
        url = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        name = url.path.removeprefix("/-/")
        self.calls.append(name)
        if await self.faults.send_endlessly(connection, ()):
            return
        async with self.faults.repeat(connection):
            respond = getattr(self, name.replace("-", "_"))
            await respond(connection, query, request.body)

    def respond(self, connection, status, body):
        connection.send_response(status, self.build_era_headers(), body)

    def build_era_headers(self):
        return [] if self.era is None else [(b"Store-Era", b"%d" % self.era)]

    def make_copy(self):
        """Return a copy of the records and members, from which to restore the store."""
        topics = {topic: list(records) for topic, records in self.topics.items()}
        return topics, dict(self.member_expiries), self.generation

    def restore(self, copy):
        """Go back to a copy, in a new era; offsets are given out again."""
        topics, self.member_expiries, self.generation = copy
        self.topics = {topic: list(records) for topic, records in topics.items()}
        self.member_expiries = dict(self.member_expiries)
        self.first_offsets = {}
        self.era += 1

    async def send_records(self, connection, body):
        if self.silent_after_bytes is not None and len(body) > self.silent_after_bytes:
            connection.start_stream(200, self.build_era_headers())
            connection.send_chunk(body[: self.silent_after_bytes])
            await asyncio.sleep(30)
        if self.bytes_per_s is None:
            self.respond(connection, 200, body)
            return
        connection.start_stream(200, self.build_era_headers())
        piece = max(1, int(self.bytes_per_s * RECORDS_INTERVAL_S))
        for start in range(0, len(body), piece):
            connection.send_chunk(body[start : start + piece])
            await asyncio.sleep(RECORDS_INTERVAL_S)
        connection.end_stream()

    async def log_newest(self, connection, query, body):
        records = self.topics.get(query["topic"], [])
        newest = {}
        for offset, (key, value) in enumerate(records):
            newest.pop(key, None)
            if value is not None:
                encoded = base64.b64encode(value).decode()
                newest[key] = {"key": key, "value": encoded, "offset": offset}
        response = {
            "items": list(newest.values()),
            "has_more": False,
            "end": len(records),
        }
        await self.send_records(connection, json.dumps(response).encode())

    async def log_read(self, connection, query, body):
        topic, first_offset = query["topic"], int(query["from"])
        end = len(self.topics.get(topic, ()))
        if not self.first_offsets.get(topic, 0) <= first_offset <= end:
            self.respond(connection, 410, b'{"first":0}')
            return
        deadline = (
            asyncio.get_running_loop().time() + float(query.get("wait_ms", 0)) / 1e3
        )
        while (
            len(self.topics.get(topic, ())) <= first_offset
            and asyncio.get_running_loop().time() < deadline
        ):
            await asyncio.sleep(0.01)
        records = self.topics.get(topic, [])
        response = struct.pack(">QQ", len(records), self.first_offsets.get(topic, 0))
        for key, value in records[first_offset:]:
            content = value or b""
            if key is not None:
                content = bytes([len(key)]) + key.encode() + content
            response += struct.pack(">I", len(content)) + content
        await self.send_records(connection, response)

    async def log_append(self, connection, query, body):
        records = self.topics.setdefault(query["topic"], [])
        if int(query.get("at", len(records))) != len(records):
            self.respond(connection, 412, b'{"end":%d}' % len(records))
            return
        offset = len(records)
        while body:
            (length,) = struct.unpack_from(">I", body)
            content, body = body[4 : 4 + length], body[4 + length :]
            if not query["topic"].startswith("keyed."):
                records.append((None, content))
                continue
            size = content[0]
            key, value = content[1 : 1 + size].decode(), content[1 + size :]
            records.append((key, value or None))
        answer = {"offset": offset, "end": len(records)}
        self.respond(connection, 200, json.dumps(answer).encode())

    async def log_join(self, connection, query, body):
        request = json.loads(body)
        now = asyncio.get_running_loop().time()
        live_members = {
            member: expires_at
            for member, expires_at in self.member_expiries.items()
            if expires_at > now
        }
        if (
            live_members.keys() != self.member_expiries.keys()
            or request["member"] not in live_members
        ):
            self.generation += 1
        self.member_expiries = live_members
        self.member_expiries[request["member"]] = now + request["ttl_ms"] / 1e3
        holder = next(iter(self.member_expiries))
        self.holders.setdefault((self.era, self.generation), set()).add(holder)
        topic = request["topics"][0]
        partitions = (
            [[topic, number, 0] for number in range(PARTITIONS)]
            if holder == request["member"]
            else []
        )
        response = {"generation": self.generation, "ttl_ms": 3000, "parts": partitions}
        self.respond(connection, 200, json.dumps(response).encode())

    async def log_leave(self, connection, query, body):
        if self.member_expiries.pop(json.loads(body)["member"], None) is not None:
            self.generation += 1
        self.respond(connection, 200, b"{}")


class FakePlatformApi:
    """Platform's API that records the reports of usage; ``status`` is its answer."""

    def __init__(self):
        self.calls = []
        self.status = 200
        self.address = ""

    async def start(self, port):
        self.address = f"127.0.0.1:{port}"
        self.server = CallerServer(
            self.handle, asyncio.get_running_loop().time, print, print
        )
        await self.server.listen(self.address)

    async def handle(self, connection, request):
        headers = dict(request.headers)
        document = json.loads(request.body)
        holder = headers[b"x-jasminewalk-duty-holder"].decode()
        fence = int(headers[b"x-jasminewalk-fence-token"])
        self.calls.append((holder, fence, self.status, document))
        connection.send_response(self.status, [], b"")

    def list_accepted(self):
        """Return the counts that were accepted, by window; two must not differ."""
        accepted = {}
        for _, _, status, document in self.calls:
            if status == 200:
                window, counts = document["window_index"], document["counts"]
                assert accepted.setdefault(window, counts) == counts
        return accepted


class FakeEngine:
    """Engine that responds according to ``behaviour`` and records its requests.

    ``behaviour`` is the name of the method that handles the requests of callers. If it
    ``repeats_responses``, the last response on a connection is sent again when the next
    request arrives there, before the response to that one; ``faults`` has more ways.
    While it is ``leaving``, all its responses say so.
    """

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
        self.report_status = 200
        self.report_changes = {}
        self.event_count = 3
        self.behaviour = "answer"
        self.delay_s = 0.0
        self.request_limit = ""
        self.leaving = False
        self.born = 1
        self.retry_after = "1"
        self.arrivals = []
        self.control_arrivals = []
        self.handles = {}
        self.faults = ResponseFaults()
        self.address = ""

    async def start(self, port):
        self.address = f"127.0.0.1:{port}"
        self.server = CallerServer(
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
            "born": self.born,
        }
        if self.stage:
            fields["stage"] = self.stage
        return fields | changes

    @property
    def repeats_responses(self):
        return bool(self.faults.repeats)

    @repeats_responses.setter
    def repeats_responses(self, value):
        self.faults.repeats = ("before_next_response",) if value else ()

    @property
    def repeated_responses(self):
        return self.faults.repeated_count

    async def handle(self, connection, request):
        async with self.faults.repeat(connection):
            await self.respond(connection, request)

    async def respond(self, connection, request):
        headers = dict(request.headers)
        if headers.get(b"x-jasminewalk-expect-instance") not in (
            None,
            self.engine_id.encode(),
        ):
            connection.send_response(421, self.build_headers(headers), b"")
            return
        if request.path.startswith("/-/"):
            if await self.faults.send_endlessly(connection, ()):
                return
            await self.handle_control_call(connection, request)
            return
        self.requests.append((request, headers))
        self.arrivals.append(asyncio.get_running_loop().time())
        request_id = headers[b"x-jasminewalk-request-id"].decode()
        if self.behaviour not in ("full", "turn_away"):
            prefill = b"x-jasminewalk-stage" in headers
            self.executed_requests.append((request_id, request.target, prefill))
        self.running_requests.add(request_id)
        try:
            own_headers = self.build_headers(headers)
            if not await self.faults.send_endlessly(connection, own_headers):
                await getattr(self, self.behaviour)(connection, request, headers)
        except asyncio.CancelledError:
            self.cancelled.append(request_id)
            raise
        finally:
            self.running_requests.discard(request_id)

    async def handle_control_call(self, connection, request):
        self.control_arrivals.append(asyncio.get_running_loop().time())
        if self.behaviour == "turn_away":
            connection.send_response(503, self.build_retry_after_headers(), b"")
        elif request.path == "/-/report":
            report = {
                "stage": self.stage,
                "sequence": len(self.orders),
                "busy": False,
                "waiting": 0,
                "running": 0,
                **self.report_changes,
            }
            connection.send_response(
                self.report_status,
                self.build_leaving_headers(),
                json.dumps(report).encode(),
            )
        elif request.path == "/-/order":
            order = json.loads(request.body)
            order["at"] = asyncio.get_running_loop().time()
            self.orders.append(order)
            connection.send_response(202, self.build_leaving_headers(), b"")
        else:
            self.released_paths.append(request.path)
            connection.send_response(200, self.build_leaving_headers(), b"")

    def build_headers(self, headers):
        request_id = headers.get(b"x-jasminewalk-request-id")
        return [
            *([(b"x-jasminewalk-request-id", request_id)] if request_id else []),
            (b"x-jasminewalk-response-signature", self.engine_id.encode()),
            *self.build_limit_headers(),
            *self.build_leaving_headers(),
        ]

    def build_leaving_headers(self):
        return [(b"server-leaving", b"1")] if self.leaving else []

    def build_limit_headers(self):
        if not self.request_limit:
            return []
        return [(b"server-limit", self.request_limit.encode())]

    async def answer(self, connection, request, headers):
        await asyncio.sleep(1.5 if request.path.endswith("/slow") else self.delay_s)
        if headers.get(b"x-jasminewalk-stage") == b"prefill":
            handle = f"h-{len(self.handles) + 1}"
            self.handles[handle] = headers[b"x-jasminewalk-request-id"]
            body = {"kv_handle": handle, "tokens": 1, "version": 1}
            connection.send_response(
                200, self.build_headers(headers), json.dumps(body).encode()
            )
        elif self.service == "llm":
            await self.send_events(connection, headers, self.event_count)
            connection.end_stream()
        else:
            connection.send_response(
                200, self.build_headers(headers), b"served by " + request.body
            )

    async def send_events(self, connection, headers, count):
        connection.start_stream(200, self.build_headers(headers))
        first_event = int(headers.get(b"last-event-id", b"0")) + 1
        for number in range(first_event, count + 1):
            connection.send_chunk(build_event(headers, number))
            await asyncio.sleep(0)

    async def break_stream(self, connection, request, headers):
        """Send one event and a part of the next, then reset the connection."""
        first_event = int(headers.get(b"last-event-id", b"0")) + 1
        await self.send_events(connection, headers, first_event)
        connection.send_chunk(b"id: %d\nda" % (first_event + 1))
        await asyncio.sleep(0.02)
        connection.abort()

    async def pause_stream(self, connection, request, headers):
        """Pause 1.5 seconds after the first event of a new stream, then finish it."""
        if b"x-jasminewalk-stage" in headers or b"last-event-id" in headers:
            await self.answer(connection, request, headers)
            return
        await self.send_events(connection, headers, 1)
        await asyncio.sleep(1.5)
        for number in range(2, self.event_count + 1):
            connection.send_chunk(build_event(headers, number))
        connection.end_stream()

    async def error(self, connection, request, headers):
        body = b"engine failed " + headers[b"x-jasminewalk-request-id"]
        connection.send_response(500, self.build_headers(headers), body)

    async def full(self, connection, request, headers):
        response_headers = [
            (b"x-jasminewalk-request-id", headers[b"x-jasminewalk-request-id"])
        ]
        connection.send_response(
            503,
            [
                *response_headers,
                *self.build_limit_headers(),
                *self.build_leaving_headers(),
                (b"x-jasminewalk-not-executed", b"1"),
            ],
            b"",
        )

    async def turn_away(self, connection, request, headers):
        """Refuse the request and ask for no others for a time."""
        headers = self.build_headers(headers) + self.build_retry_after_headers()
        headers.append((b"x-jasminewalk-not-executed", b"1"))
        connection.send_response(503, headers, b"")

    async def turn_away_without_not_executed(self, connection, request, headers):
        headers = self.build_headers(headers) + self.build_retry_after_headers()
        connection.send_response(503, headers, b"")

    def build_retry_after_headers(self):
        return [(b"retry-after", self.retry_after.encode())]

    async def misdirect(self, connection, request, headers):
        connection.send_response(421, self.build_headers(headers), b"")

    async def reject_stage(self, connection, request, headers):
        """Refuse a request of another stage; the response names this engine."""
        response_headers = [
            *self.build_headers(headers),
            (b"x-jasminewalk-instance-id", self.engine_id.encode()),
        ]
        connection.send_response(421, response_headers, b"")

    async def overloaded_without_not_executed(self, connection, request, headers):
        connection.send_response(503, self.build_headers(headers), b"")

    async def reset(self, connection, request, headers):
        connection.abort()

    async def hang(self, connection, request, headers):
        await asyncio.sleep(30)

    async def unsigned(self, connection, request, headers):
        connection.send_response(200, self.build_headers(headers)[:1], b"who am I")

    async def encoded(self, connection, request, headers):
        response_headers = [
            *self.build_headers(headers),
            (b"content-encoding", b"gzip"),
        ]
        connection.send_response(200, response_headers, b"zipped")


def build_event(headers, number):
    """Return an event of a stream, which names its request and its number."""
    request_id = headers[b"x-jasminewalk-request-id"]
    return b"event: %s\nid: %d\ndata: token %d\n\n" % (request_id, number, number)

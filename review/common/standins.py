"""Small stand-ins of the platform, its store, engines and clients, on loopback.

They use the standard library only and follow PROTOCOL.md where a case needs it. All run
in one process and one event loop; gateways run as separate processes, started with the
command of the deploy file.
"""

# ruff: noqa: D102, D103

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HEARTBEAT_S = 1.2
STORE_DELAY_S = 0.004


def pick_ports(count):
    """Return free ports. All are held open until the last is known."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for held in sockets:
            held.bind((HOST, 0))
        return [held.getsockname()[1] for held in sockets]
    finally:
        for held in sockets:
            held.close()


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self.started = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.started:9.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        """Write a line to the record and to standard output."""
        self.write(text)
        print(text, flush=True)


class Message:
    """A request or response that was read: first line, headers and body."""

    def __init__(self, line, headers, body):
        self.line = line
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Return the first line and the headers of the next message; None at the end."""
    line = await reader.readline()
    if not line.endswith(b"\n"):
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if not header.endswith(b"\n"):
            return None
        header = header.strip()
        if not header:
            return line.decode().strip(), headers
        name, _, value = header.partition(b":")
        headers[name.decode().lower()] = value.decode().strip()


async def read_chunk(reader):
    """Return the next chunk of a body; no bytes at its end; None if it breaks off."""
    size_line = await reader.readline()
    if not size_line.endswith(b"\n"):
        return None
    size = int(size_line, 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_request(reader):
    """Return the next request; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(line, headers, body)


def encode_head(status, headers):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def encode_response(status, body, headers=None):
    return encode_head(status, {**(headers or {}), "Content-Length": len(body)}) + body


class Server:
    """HTTP/1.1 server; a subclass answers the requests."""

    def __init__(self, port):
        self.port = port
        self.writers = set()
        self.server = None

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                ends = await self.answer(request, reader, writer)
                await writer.drain()
                if ends or request.headers.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, reader, writer):
        raise NotImplementedError

    def stop(self):
        """Stop listening and reset all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class Store(Server):
    """The platform's metadata store: keyed topics, plain topics and groups."""

    def __init__(self, port, record):
        super().__init__(port)
        self.record = record
        self.topics = {}
        self.groups = {}

    def put(self, topic, key, value):
        """Append a record to a keyed topic; no value drops the key."""
        content = bytes([len(key)]) + key.encode() + value
        self.topics.setdefault(topic, []).append(content)

    async def answer(self, request, reader, writer):
        _, target, _ = request.line.split(" ")
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        call = getattr(self, url.path.removeprefix("/-/").replace("-", "_"), None)
        await asyncio.sleep(STORE_DELAY_S)
        if call is None:
            writer.write(encode_response(404, b"{}"))
            return
        status, body = await call(query, request.body)
        writer.write(encode_response(status, body))

    async def log_newest(self, query, body):
        contents = self.topics.get(query["topic"], [])
        newest = {}
        for offset, content in enumerate(contents):
            size = content[0]
            key, value = content[1 : 1 + size].decode(), content[1 + size :]
            newest.pop(key, None)
            if value:
                text = base64.b64encode(value).decode()
                newest[key] = {"key": key, "value": text, "offset": offset}
        answer = {
            "items": list(newest.values()),
            "has_more": False,
            "end": len(contents),
        }
        return 200, json.dumps(answer).encode()

    async def log_read(self, query, body):
        contents = self.topics.get(query["topic"], [])
        parts = [struct.pack(">QQ", len(contents), 0)]
        for content in contents[int(query["from"]) :]:
            parts.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(parts)

    async def log_append(self, query, body):
        contents = self.topics.setdefault(query["topic"], [])
        if int(query.get("at", len(contents))) != len(contents):
            return 412, json.dumps({"end": len(contents)}).encode()
        first = len(contents)
        while body:
            (length,) = struct.unpack_from(">I", body)
            contents.append(body[4 : 4 + length])
            body = body[4 + length :]
        return 200, json.dumps({"offset": first, "end": len(contents)}).encode()

    async def log_join(self, query, body):
        call = json.loads(body)
        group = self.groups.setdefault(call["group"], {"members": {}, "number": 0})
        now = time.monotonic()
        live = {name: end for name, end in group["members"].items() if end > now}
        if len(live) != len(group["members"]) or call["member"] not in live:
            group["number"] += 1
        live[call["member"]] = now + call["ttl_ms"] / 1e3
        group["members"] = live
        holds = next(iter(live)) == call["member"]
        rows = [[call["topics"][0], 0, 0]] if holds else []
        answer = {"generation": group["number"], "parts": rows}
        return 200, json.dumps(answer).encode()

    async def log_leave(self, query, body):
        call = json.loads(body)
        group = self.groups.get(call["group"], {"members": {}, "number": 0})
        if group["members"].pop(call["member"], None) is not None:
            group["number"] += 1
        return 200, b"{}"


class Engine(Server):
    """An application engine: plain answers after a time of work, and event streams.

    :param work_s: seconds of work for a plain request.
    :param gap_s: seconds between two events of a stream.

    While it ``is_full``, it rejects what arrives. A stream that passes the event
    ``preempted_at`` is preempted for ``preempted_s`` seconds and then goes on.
    """

    def __init__(
        self,
        port,
        engine_id,
        service,
        store,
        record,
        stage="",
        work_s=0.045,
        gap_s=0.05,
    ):
        super().__init__(port)
        self.engine_id = engine_id
        self.service = service
        self.store = store
        self.record = record
        self.stage = stage
        self.work_s = work_s
        self.gap_s = gap_s
        self.orders = 0
        self.is_full = False
        self.preempted_at = 0
        self.preempted_s = 0.0
        self.preempted_count = 0
        self.state = "ready"
        self.born = int(time.time() * 1e3)
        self.sequence = 0
        self.runs = []
        self.bodies = []
        self.arrivals = []

    async def start(self):
        await self.listen()
        self.register()

    async def listen(self):
        """Listen without an entry in the store."""
        await super().start()

    def register(self):
        """Write the entry into the store, as at a heartbeat."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 16,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.stage:
            entry["stage"] = self.stage
        self.store.put("keyed.servers", self.engine_id, json.dumps(entry).encode())

    def leave(self):
        """Remove the entry, as at the end of the engine."""
        self.store.put("keyed.servers", self.engine_id, b"")

    def sign(self, request):
        return {
            "X-Jasminewalk-Request-Id": request.headers["x-jasminewalk-request-id"],
            "X-Jasminewalk-Response-Signature": f"{self.engine_id}.{len(self.runs)}",
            "X-Jasminewalk-Instance-Id": self.engine_id,
        }

    async def answer(self, request, reader, writer):
        expected = request.headers.get("x-jasminewalk-expect-instance", self.engine_id)
        request_id = request.headers.get("x-jasminewalk-request-id", "")
        if expected != self.engine_id:
            writer.write(encode_response(421, b"", {"X-Jasminewalk-Not-Executed": "1"}))
            return
        if request.line.startswith("GET /-/report"):
            report = {
                "stage": self.stage,
                "models": [],
                "busy": False,
                "sequence": self.orders,
                "waiting": 0,
                "running": 0,
                "born": self.born,
            }
            writer.write(encode_response(200, json.dumps(report).encode()))
            return
        if request.line.startswith("POST /-/order"):
            self.orders += 1
            self.stage = json.loads(request.body).get("stage", self.stage)
            self.record.write(f"order    at {self.engine_id}: {request.body.decode()}")
            writer.write(encode_response(202, b""))
            return
        self.arrivals.append((time.monotonic(), request_id))
        if not request_id:
            writer.write(encode_response(400, b"", {"X-Jasminewalk-Not-Executed": "1"}))
            return
        if self.is_full:
            self.record.write(f"rejected {request_id} at {self.engine_id}")
            rejected = {**self.sign(request), "X-Jasminewalk-Not-Executed": "1"}
            writer.write(encode_response(503, b"", rejected))
            return
        self.runs.append((time.monotonic(), request_id))
        self.bodies.append((request_id, request.body))
        size = len(request.body)
        self.record.write(f"run      {request_id} at {self.engine_id}, {size} bytes")
        if "x-jasminewalk-token-usage" in request.headers:
            return await self.stream(request, writer)
        await asyncio.sleep(self.work_s)
        body = b"done " + request_id.encode()
        writer.write(encode_response(200, body, self.sign(request)))
        self.record.write(f"run over {request_id} at {self.engine_id}")

    async def stream(self, request, writer):
        request_id = request.headers["x-jasminewalk-request-id"]
        count = int(request.headers["x-jasminewalk-token-usage"].partition(",")[2])
        first = int(request.headers.get("last-event-id", "0")) + 1
        headers = {
            **self.sign(request),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(encode_head(200, headers))
        for number in range(first, count + 1):
            await asyncio.sleep(self.gap_s)
            if number == self.preempted_at:
                self.preempted_count += 1
                self.record.write(f"preempt  {request_id} at {self.engine_id}")
                await asyncio.sleep(self.preempted_s)
            data = f"{request_id} {number} of {count}"
            event = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if writer.transport.is_closing():
                self.record.write(f"cut off  {request_id} at {self.engine_id}")
                raise ConnectionError
        writer.write(b"0\r\n\r\n")
        self.record.write(f"run over {request_id} at {self.engine_id}")


class EngineProcess(Engine):
    """An engine that runs as a process of its own, with ``engine.py``."""

    def __init__(self, port, engine_id, service, store, record, stage):
        super().__init__(port, engine_id, service, store, record, stage)
        self.process = None
        self.copying = None

    async def listen(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(Path(__file__).with_name("engine.py")),
            str(self.port),
            self.engine_id,
            stdout=asyncio.subprocess.PIPE,
        )
        if await self.process.stdout.readline() != b"listening\n":
            raise OSError(f"{self.engine_id} does not listen")
        self.copying = asyncio.create_task(self.copy_record())

    async def copy_record(self):
        """Write what the engine says that it does to the record of the case."""
        while line := await self.process.stdout.readline():
            self.record.write(line.decode().strip())

    def kill(self):
        """End the process at once."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    async def end(self):
        """End the process and wait for that."""
        self.kill()
        if self.process is not None:
            await self.process.wait()
        if self.copying is not None:
            await self.copying


class Gateway:
    """One gateway of the project as a process, started by the deploy file's command."""

    def __init__(self, name, folder, store, bounds=None):
        self.name = name
        ready, front, control, peer = pick_ports(4)
        self.front, self.ready = front, ready
        self.process = None
        self.settings = Path(folder) / f"{name}.toml"
        self.log = Path(folder) / f"{name}.log"
        chosen = {**BOUNDS, **(bounds or {})}
        lines = [
            f'node_name = "{name}"',
            'role = "gateway"',
            'machine_class = "front"',
            'serves = ["front"]',
            f'ip = "{HOST}"',
            'zone = "zone-a"',
            'region = "region"',
            f"internal_ports = [{peer},{peer}]",
            "[listen]",
            f'front = "{HOST}:{front}"',
            f'ready = "{HOST}:{ready}"',
            f'control = "{HOST}:{control}"',
            "[limits]",
            "max_fds = 4100",
            "memory_mb = 300",
            "[bounds]",
            *(f"{key} = {json.dumps(value)}" for key, value in chosen.items()),
            "[platform]",
            f'address = "{store.address}"',
            'form = "log"',
            "ttl_min_ms = 1000",
        ]
        self.settings.write_text("\n".join(lines) + "\n", encoding="utf-8")

    async def start(self):
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split()
        kept = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment = {
            **kept,
            "JASMINEWALK_CONFIG": str(self.settings),
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )

    def send(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        """End the process at once and wait for that."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self):
        """Ask once whether the gateway is ready, as the platform does every second."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, self.ready)
                writer.write(
                    b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                )
                head = await read_head(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return head is not None and head[0].split(" ")[1] == "200"


BOUNDS = {
    "stable_window_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 56,
    "recover_s": 12,
    "lease_ms": 3000,
    "thaw_ms": 300,
}


class Answer:
    """What a client got for one request.

    :param status: status; 0 if the connection failed before one.
    :param body: bytes of the body.
    :param complete: whether the whole answer came.
    """

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


class Client:
    """A client's connection to a gateway, kept for further requests."""

    def __init__(self, port, record):
        self.port = port
        self.record = record
        self.reader = self.writer = None
        self.sent_at = 0.0

    @property
    def is_open(self):
        return self.writer is not None

    async def connect(self):
        async with asyncio.timeout(1.0):
            self.reader, self.writer = await asyncio.open_connection(HOST, self.port)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    async def send(self, method, path, request_id, deadline_ms, headers=None, body=b""):
        """Send one request and return its answer; open a connection if none is kept."""
        lines = [f"{method} {path} HTTP/1.1", "Host: bar.example"]
        fields = {
            "X-Jasminewalk-Request-Id": request_id,
            "X-Jasminewalk-Deadline-Ms": deadline_ms,
            **(headers or {}),
        }
        if body or method == "POST":
            fields["Content-Length"] = len(body)
        lines += [f"{name}: {value}" for name, value in fields.items()]
        kept = "kept" if self.is_open else "new"
        answer = Answer(0, {}, b"", False)
        try:
            async with asyncio.timeout(deadline_ms / 1e3 + 0.5):
                if not self.is_open:
                    await self.connect()
                self.record.write(
                    f"send     {request_id} {method} {path} on a {kept} connection"
                )
                self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                await self.writer.drain()
                self.sent_at = time.monotonic()
                await self.receive(answer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.write(f"failed   {request_id} {error!r}")
        closing = answer.headers.get("connection", "").lower() == "close"
        if not answer.complete or closing:
            self.close()
        state = "whole" if answer.complete else "not complete"
        self.record.write(
            f"answer   {request_id} {answer.status} {state}, {len(answer.body)} bytes"
        )
        return answer

    async def receive(self, answer):
        head = await read_head(self.reader)
        if head is None:
            return
        line, answer.headers = head
        answer.status = int(line.split(" ")[1])
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while (chunk := await read_chunk(self.reader)) is not None:
                if not chunk:
                    answer.complete = True
                    return
                answer.body += chunk
            return
        length = int(answer.headers.get("content-length", "0"))
        answer.body = await self.reader.readexactly(length)
        answer.complete = True


class World:
    """Store, engines and gateways of a case, in a temporary folder."""

    def __init__(self, case_folder):
        self.record = Record(Path(case_folder) / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(pick_ports(1)[0], self.record)
        self.engines = []
        self.gateways = []
        self.tasks = []

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    def configure(self, routes, services):
        document = {
            "version": 1,
            "routes": routes,
            "services": services,
            "limits": {"max_body_bytes": 100000, "idle_timeout_ms": 15000},
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    async def add_engine(self, engine_id, service, **options):
        engine = Engine(
            pick_ports(1)[0], engine_id, service, self.store, self.record, **options
        )
        await engine.start()
        self.engines.append(engine)
        return engine

    async def add_engine_process(self, engine_id, service, stage):
        engine = EngineProcess(
            pick_ports(1)[0],
            engine_id,
            service,
            self.store,
            self.record,
            stage,
        )
        self.engines.append(engine)
        await engine.start()
        return engine

    async def add_gateways(self, count, bounds=None):
        for number in range(count):
            gateway = Gateway(f"front-{number + 1}", self.folder, self.store, bounds)
            self.gateways.append(gateway)
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))

    async def wait_until_ready(self, timeout_s=15.0):
        """Wait until all gateways are ready; raise TimeoutError otherwise."""
        async with asyncio.timeout(timeout_s):
            for gateway in self.gateways:
                while not await gateway.is_ready():
                    await asyncio.sleep(0.1)

    async def beat(self):
        """Let all engines that are listed write their entries at each heartbeat."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for engine in self.engines:
                if engine.state != "gone":
                    engine.register()

    async def end(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for gateway in self.gateways:
            await gateway.end()
        for engine in self.engines:
            if isinstance(engine, EngineProcess):
                await engine.end()
        for server in (*self.engines, self.store):
            server.stop()
        # Connections are closed by the next turns of the event loop.
        await asyncio.sleep(0.1)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for gateway in self.gateways:
                with contextlib.suppress(OSError):
                    shutil.copy(gateway.log, keep)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_folder, main, limit_s=100.0):
    """Run a case and end the process: 1 broken, 0 held, 2 could not run.

    Whatever ends the case, also a signal, its processes are ended before.
    """

    async def run():
        world = World(case_folder)
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                await world.store.start()
                world.spawn(world.beat())
                return await main(world)
        except (Exception, asyncio.CancelledError) as error:
            world.record.say(f"could not run: {error!r}")
            return 2
        finally:
            await world.end()

    try:
        code = asyncio.run(run())
    except Exception as error:
        print(f"could not run: {error!r}")
        code = 2
    sys.exit(code)

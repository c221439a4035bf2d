"""Memory that a connection of a caller holds, without a network."""

import asyncio

import pytest
from hypothesis import given, settings, strategies as st

from jasminewalk.http1 import CallerConnection, CallerServer
from jasminewalk.http1.memory_plan import MIN_KIND_BYTES, MemoryPlan

LIMIT_BYTES = 20_000


class FakeTransport(asyncio.Transport):
    def __init__(self):
        super().__init__()
        self.written = b""
        self.reading = True

    def write(self, data):
        self.written += bytes(data)

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def close(self):
        pass

    def abort(self):
        pass


class FakeTime:
    now = 0.0

    def __call__(self):
        return self.now


async def wait_forever(connection, request):
    await asyncio.Event().wait()


def make_server(handler=wait_forever, limit=LIMIT_BYTES):
    server = CallerServer(handler, FakeTime(), print, lambda status: None)
    server.max_held_bytes = limit
    return server


def connect(server):
    connection = CallerConnection(server)
    connection.connection_made(FakeTransport())
    return connection


def build_request(chunks, *, complete):
    head = b"POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
    body = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    return head + body + (b"0\r\n\r\n" if complete else b"")


requests = st.builds(
    lambda sizes, complete: build_request(
        [b"x" * size for size in sizes], complete=complete
    ),
    st.lists(st.integers(1, 3000), max_size=30),
    complete=st.booleans(),
)


@settings(deadline=None)
@given(st.lists(requests, min_size=1, max_size=8), st.integers(1, 5000), st.data())
def test_held_bytes_never_exceed_the_limit_whatever_arrives(texts, most, data):
    async def play():
        server = make_server()
        connections = [connect(server) for _ in texts]
        left = dict(zip(connections, texts, strict=True))
        while any(left.values()):
            connection = data.draw(st.sampled_from([c for c in connections if left[c]]))
            size = data.draw(st.integers(1, most))
            connection.data_received(left[connection][:size])
            left[connection] = left[connection][size:]
            complete = sum(
                request.held_bytes
                for known in connections
                for request in known.pending_requests
            )
            assert server.held_bytes <= LIMIT_BYTES + complete + most + 4096
            assert server.held_bytes == sum(c.held_bytes for c in connections)
        for connection in connections:
            connection.connection_lost(None)
        assert server.held_bytes == 0

    asyncio.run(play())


@settings(deadline=None)
@given(st.lists(st.integers(1, 700), min_size=1, max_size=20), st.integers(1, 300))
def test_body_is_the_same_however_it_is_split(sizes, piece):
    received = []

    async def answer(connection, request):
        received.append(request.body)
        connection.send_response(200, [], b"")

    async def play():
        server = make_server(answer, limit=1_000_000)
        connection = connect(server)
        chunks = [bytes([65 + size % 26]) * size for size in sizes]
        text = build_request(chunks, complete=True)
        for start in range(0, len(text), piece):
            connection.data_received(text[start : start + piece])
        while connection.task is not None:
            await asyncio.sleep(0)
        assert received.pop() == b"".join(chunks)
        assert server.held_bytes == 0

    asyncio.run(play())


def test_pipelined_requests_wait_unparsed():
    async def play():
        server = make_server(limit=10_000_000)
        connection = connect(server)
        text = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n" * 2000
        connection.data_received(text)
        assert len(connection.pending_requests) < 200
        assert not connection.transport.reading
        assert server.held_bytes < len(text) + 200 * 2048
        connection.connection_lost(None)
        assert server.held_bytes == 0

    asyncio.run(play())


def test_pipelined_requests_are_all_answered_in_order():
    targets = []

    async def answer(connection, request):
        targets.append(request.target)
        connection.send_response(200, [], b"")

    async def play():
        server = make_server(answer, limit=10_000_000)
        connection = connect(server)
        expected = [b"/%d" % number for number in range(1000)]
        connection.data_received(
            b"".join(b"GET %s HTTP/1.1\r\nhost: a\r\n\r\n" % path for path in expected)
        )
        while connection.task is not None or connection.backlog:
            await asyncio.sleep(0)
        assert targets == expected
        assert connection.transport.reading
        assert server.held_bytes == 0

    asyncio.run(play())


def test_refusal_for_want_of_memory_says_when_to_come_back():
    async def play():
        server = make_server()
        connection = connect(server)
        connection.data_received(build_request([b"x" * 30_000], complete=False))
        written = connection.transport.written
        assert written.startswith(b"HTTP/1.1 503 ")
        assert b"retry-after: 1\r\n" in written
        assert b"connection: close\r\n" in written

    asyncio.run(play())


def test_largest_request_makes_room_for_small_ones():
    async def play():
        server = make_server()
        large, small = connect(server), connect(server)
        large.data_received(build_request([b"x" * 15_000], complete=False))
        small.data_received(build_request([b"x" * 6_000], complete=True))
        assert large.closing
        assert small.task is not None
        small.task.cancel()

    asyncio.run(play())


def test_connection_that_is_idle_for_longest_makes_room_for_a_new_one():
    async def play():
        server = make_server()
        server.max_connections = 3
        connections = []
        for _ in range(3):
            server.clock.now += 1.0
            connections.append(connect(server))
        connections[0].data_received(b"GET /x HT")
        connect(server)
        assert [connection.closing for connection in connections] == [
            False,
            True,
            False,
        ]
        assert len(server.connections) == 3

    asyncio.run(play())


def test_request_that_arrives_for_longest_makes_room_for_a_new_connection():
    # Guards against callers that stop short of their end and take all connections.
    async def play():
        server = make_server()
        server.max_connections = 3
        connections = []
        for _ in range(3):
            connections.append(connect(server))
            connections[-1].data_received(b"POST /x HTTP/1.1\r\nhost")
            server.clock.now += 0.6
        new = connect(server)
        assert [connection.closing for connection in [*connections, new]] == [
            True,
            False,
            False,
            False,
        ]
        written = connections[0].transport.written
        assert written.startswith(b"HTTP/1.1 503 ")
        assert b"retry-after: 1\r\n" in written
        new.data_received(b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n")
        assert new.task is not None
        new.task.cancel()
        assert len(server.connections) == 3

    asyncio.run(play())


def test_large_requests_that_run_leave_memory_for_small_ones():
    # Guards against refusals of ordinary callers while large bodies are being answered.
    async def play():
        limit = 4_000_000
        server = make_server(limit=limit)
        large = [connect(server) for _ in range(12)]
        for connection in large:
            connection.data_received(build_request([b"x" * 400_000], complete=True))
        running = [connection for connection in large if connection.task is not None]
        assert 0.5 * limit < server.held_bytes <= 0.75 * limit + 32_768
        assert 0 < len(running) < len(large)
        small = connect(server)
        small.data_received(build_request([b"x" * 6_000], complete=True))
        assert small.task is not None
        for connection in [*running, small]:
            connection.task.cancel()

    asyncio.run(play())


@pytest.mark.parametrize(
    ("memory_mb", "descriptors"), [(80, 600), (160, 3075), (300, 4100), (552, 8192)]
)
def test_limits_add_up_to_the_memory_of_the_instance(memory_mb, descriptors):
    plan = MemoryPlan.from_limits(memory_mb * 1_000_000, descriptors)
    parts = (plan.requests_bytes, plan.engines_bytes, plan.responses_bytes)
    assert min(parts) >= MIN_KIND_BYTES
    assert sum(parts) + 45_000_000 <= memory_mb * 1_000_000
    assert plan.max_connections < descriptors

"""Limits of an entry and a sidecar on memory and connections, without a network."""

import gc
import weakref
from types import SimpleNamespace

import anyio
import pytest
from hypothesis import given, settings, strategies as st

from jasminewalk.clock import ManualClock
from jasminewalk.exceptions import RefusedError
from jasminewalk.generated_codes import Code
from jasminewalk.ingress import connections
from jasminewalk.ingress._api_exchange import run_while_connected
from jasminewalk.transport._http import read_body
from jasminewalk.transport.connection_guard import ConnectionGuard
from jasminewalk.transport.memory_limit import LARGE_BYTES, MemoryLimit

LIMIT_BYTES = 4_000_000

changes = st.lists(
    st.tuples(st.integers(0, 9), st.integers(0, 700_000), st.booleans()), max_size=60
)


@settings(deadline=None)
@given(changes, st.sets(st.integers(0, 9)))
def test_only_what_may_not_be_given_up_exceeds_the_limit(changes, kept):
    limit = MemoryLimit(LIMIT_BYTES)
    holdings = [limit.open("request") for _ in range(10)]
    given_up = []
    for number, holding in enumerate(holdings):
        if number not in kept:
            holding.allow_refusal(lambda number=number: given_up.append(number))
    for number, size, closes in changes:
        holdings[number].add(size)
        if closes:
            holdings[number].close()
        kept_bytes = sum(holdings[number].held_bytes for number in kept)
        assert limit.held_bytes <= max(LIMIT_BYTES, kept_bytes)
        assert limit.held_bytes == sum(holding.held_bytes for holding in holdings)
        assert limit.large_bytes == sum(
            holding.held_bytes
            for holding in holdings
            if holding.held_bytes > LARGE_BYTES
        )
    assert len(given_up) == len(set(given_up))
    assert not kept & set(given_up)


def test_large_requests_leave_room_for_small_ones():
    limit = MemoryLimit(LIMIT_BYTES)
    running = limit.open("request")
    running.add(limit.max_large_bytes)
    large, small = limit.open("request"), limit.open("request")
    for holding in (large, small):
        holding.allow_refusal(lambda: None)
    small.add(LARGE_BYTES)
    large.add(LARGE_BYTES + 1)
    assert (large.refused, small.refused) == (True, False)


@pytest.mark.anyio
async def test_body_that_never_stops_to_arrive_is_refused():
    # Guards against a refusal that waits for a pause of its caller.
    limit = MemoryLimit(LIMIT_BYTES)
    received = 0

    async def receive():
        nonlocal received
        received += 1
        return {"type": "http.request", "body": b"x" * 65536, "more_body": True}

    with anyio.fail_after(10), pytest.raises(RefusedError) as raised:
        await read_body(receive, 50_000_000, limit.open("request"))
    assert raised.value.code == Code.OVERLOADED
    assert raised.value.ran == "not_run"
    assert received < LIMIT_BYTES / 65536
    assert limit.held_bytes == 0


@pytest.mark.anyio
async def test_waiting_body_is_refused_for_another():
    limit = MemoryLimit(LIMIT_BYTES)
    results = []

    async def read(size):
        messages = [{"type": "http.request", "body": b"x" * size, "more_body": True}]

        async def receive():
            return messages.pop() if messages else await anyio.sleep_forever()

        try:
            await read_body(receive, 1 << 40, limit.open("request"))
        except RefusedError:
            results.append(size)
            group.cancel_scope.cancel()

    with anyio.fail_after(10):
        async with anyio.create_task_group() as group:
            group.start_soon(read, 1_000_000)
            group.start_soon(read, 300_000)
    assert results == [1_000_000]


@pytest.mark.anyio
async def test_failed_request_keeps_nothing_in_memory():
    # Guards against bodies that stay until the next garbage collection.
    class Body:
        pass

    body = Body()
    reference = weakref.ref(body)

    async def run(body):
        raise RefusedError("full", code=Code.OVERLOADED)

    gc.disable()
    try:
        try:
            await run_while_connected(anyio.sleep_forever, lambda body=body: run(body))
        except RefusedError:
            pass
        del body
        assert reference() is None
    finally:
        gc.enable()


class FakeConnection:
    def __init__(self, idle_since=0.0, arrival_since=None, is_idle=False, unsent=0):
        self.idle_since = idle_since
        self.arrival_since = arrival_since
        self.is_idle = is_idle
        self.aborted = False
        self.flow = SimpleNamespace(write_paused=unsent > 0)
        self.transport = SimpleNamespace(
            get_write_buffer_size=lambda: unsent, is_closing=lambda: self.aborted
        )

    def abort(self):
        self.aborted = True


def make_guard(max_connections, known=()):
    guard = ConnectionGuard(max_connections, MemoryLimit(LIMIT_BYTES), 1000)
    guard.connections.update(known)
    return guard


@pytest.mark.parametrize(
    ("known", "victim"),
    [
        ([{"is_idle": True, "idle_since": 5}, {"is_idle": True, "idle_since": 4}], 1),
        ([{"arrival_since": 1}, {"is_idle": True, "idle_since": 9}], 1),
        ([{"arrival_since": 3}, {"arrival_since": 2}, {}], 1),
        ([{"arrival_since": 9.5}, {}], None),
    ],
)
def test_least_useful_connection_makes_room(known, victim):
    known = [FakeConnection(**fields) for fields in known]
    guard = make_guard(len(known), known)
    new = FakeConnection()
    guard.add(new, 10.0)
    aborted = [connection.aborted for connection in [*known, new]]
    assert aborted.index(True) == (len(known) if victim is None else victim)
    assert aborted.count(True) == 1
    assert len(guard.connections) == len(known)


def test_connections_with_most_unread_bytes_are_reset():
    sizes = [300, 800, 0, 400]
    known = [FakeConnection(unsent=size) for size in sizes]
    guard = make_guard(10, known)
    guard.limit_unsent()
    assert [connection.aborted for connection in known] == [False, True, False, False]


@pytest.mark.parametrize("memory_mb", [160, 552, 1024])
def test_parts_add_up_to_the_memory_of_the_process(memory_mb):
    guard = ConnectionGuard.from_limits(memory_mb, 300, lambda kind: None)
    parts = guard.memory.limit_bytes + guard.max_unsent_bytes
    assert parts + 62_000_000 + 300 * 16384 <= memory_mb * 1_000_000


def test_idle_connections_of_a_burst_are_closed_soon(monkeypatch):
    clock = ManualClock()
    pool = connections.ConnectionPool(connect_timeout_s=1.0, clock=clock)
    open_connection = SimpleNamespace(has_expired=lambda: False)
    for _ in range(connections.KEPT_CONNECTIONS + 1):
        assert pool.keep_idle("a", open_connection)
    idle = pool.idle["a"]
    assert not pool.is_expired(idle)
    clock.advance(connections.SURPLUS_IDLE_S + 0.1)
    assert pool.is_expired(idle)
    idle.popleft()
    assert not pool.is_expired(idle)


def test_entry_without_memory_for_one_request_does_not_start(run_command, tmp_path):
    path = tmp_path / "entry.yaml"
    path.write_text(
        "{name: e, failure_domain: a, listen: '127.0.0.1:0', memory_mb: 100, "
        "log: {address: '127.0.0.1:1'}, instances_address: '127.0.0.1:2', "
        "peers: {shared_key: '0123456789abcdef'}}"
    )
    result = run_command("entry", "--settings", path)
    assert result.code == 7
    assert "memory_mb 100 is too little for body_bytes 8388608" in result.err

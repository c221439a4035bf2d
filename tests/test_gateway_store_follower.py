"""Followers of the store's topics, with and without the progress of peers."""

import json

import pytest

from jasminewalk.exceptions import LogUnavailableError
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.fleet import Fleet
from jasminewalk.gateway.peers import TopicProgress
from jasminewalk.gateway.store_follower import (
    CONFIGURATION_READ_INTERVAL_S,
    READ_JITTER_S,
    ConfigurationFollower,
    RegistryFollower,
)
from jasminewalk.platform.store import KeyedRecord, RecordsGoneError, RecordsPage
from platform_fakes import ROUTES, configuration


class ScriptedStore:
    def __init__(self, clock):
        self.era = None
        self.newest = RecordsPage((), 0)
        self.changes = []
        self.failure = None
        self.calls = []
        self.clock = clock
        self.duration_s = 0.0

    async def read_newest(self, topic):
        self.clock.advance(self.duration_s)
        self.calls.append("newest")
        if self.failure:
            raise self.failure
        return self.newest

    async def read_from(self, topic, offset):
        self.calls.append(offset)
        if self.failure:
            raise self.failure
        page = self.changes.pop(0)
        if isinstance(page, Exception):
            raise page
        return page


def make_record(number, **changes):
    document = json.dumps(configuration(number) | changes).encode()
    return KeyedRecord("config", document)


@pytest.fixture
def store(clock):
    return ScriptedStore(clock)


@pytest.fixture
def applied():
    return []


@pytest.fixture
def written():
    return []


@pytest.fixture
def log(clock, written):
    return DecisionLog(
        "front-1", clock.monotonic, lambda data: written.append(data) or len(data)
    )


@pytest.fixture
def follower(store, log, clock, applied):
    def apply(configuration):
        applied.append(configuration.version)

    return ConfigurationFollower(store, log, clock.monotonic, apply)


@pytest.mark.anyio
async def test_newest_configuration_then_changes_are_applied(follower, store, applied):
    store.newest = RecordsPage((make_record(3),), 4)
    store.changes = [RecordsPage((make_record(5), make_record(8)), 6)]
    await follower.read_once()
    await follower.read_once()
    assert applied == [3, 8]
    assert store.calls == ["newest", 4]
    assert follower.offset == 6


@pytest.mark.anyio
async def test_older_configuration_is_not_applied(follower, store, applied):
    store.newest = RecordsPage((make_record(7),), 4)
    store.changes = [RecordsPage((make_record(6),), 5)]
    await follower.read_once()
    await follower.read_once()
    assert applied == [7]


@pytest.mark.anyio
async def test_unreadable_configuration_keeps_the_one_in_force(
    follower, store, applied, log, written
):
    store.newest = RecordsPage((make_record(7),), 4)
    store.changes = [RecordsPage((KeyedRecord("config", b"\xff"),), 5)]
    await follower.read_once()
    await follower.read_once()
    log.flush()
    assert applied == [7]
    assert b"configuration_unreadable" in b"".join(written)


@pytest.mark.anyio
async def test_newest_records_are_read_again_after_records_were_deleted(
    follower, store, applied
):
    store.newest = RecordsPage((make_record(3),), 4)
    await follower.read_once()
    store.newest = RecordsPage((make_record(9),), 40)
    store.changes = [RecordsGoneError("keyed.op")]
    await follower.read_once()
    assert applied == [3, 9]
    assert follower.offset == 40


@pytest.mark.anyio
async def test_rest_of_an_incomplete_page_is_read_at_once(follower, store, clock):
    store.newest = RecordsPage((make_record(3),), 4, end=4)
    store.changes = [RecordsPage((make_record(5),), 5, end=6)]
    await follower.read_once()
    await follower.read_once()
    assert follower._is_due(READ_JITTER_S)
    assert follower.compute_progress(clock.monotonic()) == TopicProgress(-1, 5)


@pytest.mark.anyio
async def test_superseded_configurations_are_not_fetched(follower, store, applied):
    store.newest = RecordsPage((make_record(3),), 4, end=4)
    await follower.read_once()
    store.newest = RecordsPage((make_record(9),), 7, end=7)
    follower.record_peer_progress(0.0, TopicProgress(10, 7))
    await follower.read_once()
    assert applied == [3, 9]
    assert store.calls == ["newest", "newest"]


@pytest.mark.anyio
async def test_record_too_large_for_a_page_is_read_as_the_newest(
    follower, store, applied
):
    store.newest = RecordsPage((make_record(3),), 4, end=4)
    await follower.read_once()
    store.newest = RecordsPage((make_record(9),), 5, end=5)
    store.changes = [RecordsPage((), 4, end=5)]
    await follower.read_once()
    assert applied == [3, 9]
    assert follower.offset == 5


@pytest.mark.anyio
async def test_read_by_a_peer_postpones_the_own_read(follower, store, clock):
    await follower.read_once()
    clock.advance(CONFIGURATION_READ_INTERVAL_S + READ_JITTER_S)
    assert follower._is_due(READ_JITTER_S)
    follower.record_peer_progress(clock.monotonic(), TopicProgress(100, 0))
    assert not follower._is_due(0.0)
    clock.advance(CONFIGURATION_READ_INTERVAL_S)
    assert follower._is_due(0.0)


@pytest.mark.anyio
async def test_announced_age_of_a_read_counts_from_its_start(follower, store, clock):
    store.duration_s = 1.5
    await follower.read_once()
    assert follower.compute_progress(clock.monotonic()).read_ms_ago == 1500


@pytest.mark.anyio
async def test_change_announced_by_a_peer_is_read_at_once(follower, store, clock):
    store.newest = RecordsPage((make_record(3),), 4)
    await follower.read_once()
    follower.record_peer_progress(clock.monotonic(), TopicProgress(10, 4))
    assert not follower._is_due(0.0)
    follower.record_peer_progress(clock.monotonic(), TopicProgress(10, 5))
    assert follower._is_due(READ_JITTER_S)


@pytest.mark.anyio
async def test_follower_that_cannot_read_reports_no_progress(follower, store, clock):
    assert follower.compute_progress(clock.monotonic()) == TopicProgress()
    store.newest = RecordsPage((make_record(3),), 4)
    await follower.read_once()
    clock.advance(0.25)
    assert follower.compute_progress(clock.monotonic()) == TopicProgress(250, 4)
    follower._record_failure(LogUnavailableError("down"))
    assert follower.compute_progress(clock.monotonic()) == TopicProgress()


@pytest.mark.anyio
async def test_heartbeats_do_not_count_as_changes(store, log, clock):
    entry = {
        "service": "llm",
        "address": "10.1.0.9:8080",
        "zone": "north",
        "slots": 16,
        "state": "ready",
        "born": 12,
        "sequence": 1,
    }

    def make_heartbeat(sequence, **changes):
        document = json.dumps(entry | {"sequence": sequence} | changes).encode()
        return RecordsPage((KeyedRecord("i-1", document),), sequence)

    follower = RegistryFollower(store, log, clock.monotonic, Fleet())
    store.newest = make_heartbeat(1)
    store.changes = [make_heartbeat(2), make_heartbeat(3, state="draining")]
    await follower.read_once()
    await follower.read_once()
    assert follower.changed_offset == 1
    await follower.read_once()
    assert follower.changed_offset == 3


ENTRY = {
    "service": "app",
    "address": "10.0.0.9:8000",
    "zone": "north",
    "slots": 16,
    "state": "ready",
}


@pytest.fixture
async def registry(store, log, clock):
    registry = RegistryFollower(store, log, clock.monotonic, Fleet(heartbeat_s=1.0))
    registry.on_recovery = lambda unread_s: registry.fleet.record_store_recovery(
        clock.monotonic(), unread_s
    )
    records = [KeyedRecord(f"i-{n}", json.dumps(ENTRY).encode()) for n in range(2)]
    store.newest = RecordsPage(tuple(records), 2)
    await registry.read_once()
    store.changes = [RecordsPage((KeyedRecord("i-0", None),), 3)]
    return registry


def list_usable_ids(registry, now):
    usable = registry.fleet.list_usable("app", now)
    return sorted(engine.entry.engine_id for engine in usable)


@pytest.mark.anyio
@pytest.mark.parametrize("failures", [1, 3])
async def test_failed_reads_while_a_peer_reads_are_no_outage(registry, clock, failures):
    for _ in range(failures):
        clock.advance(1.4)
        registry._record_failure(LogUnavailableError("status 429"))
        registry.record_peer_progress(clock.now_s, TopicProgress(100, 2))
    await registry.read_once()
    assert list_usable_ids(registry, clock.now_s) == ["i-1"]


@pytest.mark.anyio
async def test_peer_that_reads_first_after_an_outage_does_not_hide_it(registry, clock):
    registry._record_failure(LogUnavailableError("no response"))
    clock.advance(6.0)
    registry.record_peer_progress(clock.now_s, TopicProgress(0, 3))
    clock.advance(0.4)
    registry.record_peer_progress(clock.now_s, TopicProgress(0, 3))
    await registry.read_once()
    assert list_usable_ids(registry, clock.now_s) == ["i-0", "i-1"]
    assert list_usable_ids(registry, 8.0) == ["i-1"]


def read_lines(log, written, event):
    log.flush()
    lines = [json.loads(line) for line in b"".join(written).splitlines()]
    return [line for line in lines if line["event"] == event]


@pytest.mark.anyio
async def test_unchanged_routes_of_a_new_version_are_not_decoded_again(follower, store):
    applied = []
    follower.apply = applied.append
    store.newest = RecordsPage((make_record(3),), 1, end=1)
    added = {**ROUTES[1], "name": "added", "path_prefix": "/added/"}
    page = (make_record(4, routes=ROUTES), make_record(5, routes=[*ROUTES, added]))
    store.changes = [RecordsPage(page, 3, end=3)]
    await follower.read_once()
    await follower.read_once()
    before, after = (configuration.routes for configuration in applied)
    assert [route.name for route in after] == [*(r.name for r in before), "added"]
    assert all(new is old for new, old in zip(after, before, strict=False))


@pytest.mark.anyio
async def test_readable_configuration_is_applied_beside_a_newer_unreadable_one(
    follower, store, applied, log, written
):
    store.newest = RecordsPage((make_record(3),), 1, end=1)
    page = (make_record(4), make_record(5, routes=[{"name": "without a host"}]))
    store.changes = [RecordsPage(page, 3, end=3)]
    await follower.read_once()
    await follower.read_once()
    assert applied == [3, 4]
    assert read_lines(log, written, "configuration_unreadable")


@pytest.mark.anyio
async def test_read_with_changes_is_logged_with_its_size(follower, store, log, written):
    store.newest = RecordsPage((make_record(3),), 4, size=1200)
    store.changes = [RecordsPage((), 4, size=16)]
    await follower.read_once()
    await follower.read_once()
    [line] = read_lines(log, written, "topic_read")
    assert (line["bytes"], line["next_offset"], line["records"]) == (1200, 4, 1)
    assert (line["fetch_ms"], line["apply_ms"]) == (0, 0)


@pytest.mark.anyio
async def test_failed_reads_are_logged_less_often_with_time(
    follower, store, log, written
):
    for _ in range(35):
        follower._record_failure(LogUnavailableError("no response"))
    await follower.read_once()
    assert len(read_lines(log, written, "store_lost")) == 1
    failed = read_lines(log, written, "store_read_failed")
    assert [line["failed_reads"] for line in failed] == [*range(2, 11), 20, 30]
    [regained] = read_lines(log, written, "store_regained")
    assert regained["failed_reads"] == 35
    assert regained["unread_s"] is None


@pytest.mark.anyio
async def test_regained_store_is_logged_with_the_time_without_any_read(
    follower, store, clock, log, written
):
    store.newest = RecordsPage((make_record(3),), 4, size=16)
    await follower.read_once()
    clock.advance(1.0)
    follower.record_peer_progress(clock.now_s, TopicProgress(0, 4))
    follower._record_failure(LogUnavailableError("no response"))
    clock.advance(0.25)
    store.changes = [RecordsPage((make_record(5),), 5)]
    await follower.read_once()
    [regained] = read_lines(log, written, "store_regained")
    assert regained["unread_s"] == 0.25
    assert read_lines(log, written, "topic_read")[-1]["since_read_s"] == 1.25


@pytest.mark.anyio
async def test_announced_offset_that_the_store_lacks_is_read_once(follower, store):
    store.newest = RecordsPage((make_record(3),), 4, end=4)
    await follower.read_once()
    follower.record_peer_progress(0.0, TopicProgress(10, 50))
    await follower.read_once()
    assert not follower._is_due(READ_JITTER_S)


@pytest.mark.anyio
async def test_own_offset_that_the_store_lacks_is_not_announced(follower, store, clock):
    store.newest = RecordsPage((make_record(3),), 50, end=50)
    await follower.read_once()
    store.newest = RecordsPage((make_record(3),), 4, end=4)
    store.changes = [RecordsGoneError("keyed.op")]
    await follower.read_once()
    assert follower.compute_progress(clock.monotonic()).changed_offset == 4

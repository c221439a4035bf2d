"""A store that comes back from an older copy, and says so with a higher era."""

import asyncio
import json
import struct

import msgspec
import pytest

from gateway_fakes import make_engine
from jasminewalk.exceptions import LogUnavailableError
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.engine_list import GONE_KEPT_S, RELISTED_HOLD_S
from jasminewalk.gateway.fleet import Fleet
from jasminewalk.gateway.holder_lease import USABLE_SESSION_SHARE, HolderLease
from jasminewalk.gateway.peers import (
    PeerExchange,
    PeerMessage,
    TopicProgress,
    decode_peer_message,
)
from jasminewalk.gateway.stage_controller import read_boot_clock
from jasminewalk.gateway.store_follower import ConfigurationFollower
from jasminewalk.platform.headers import decode_store_era
from jasminewalk.platform.store import (
    GroupMembership,
    RecordsGoneError,
    StoreClient,
    StoreResponse,
)
from platform_fakes import ROUTES, configuration
from test_gateway_daemon import GatewayHarness, make_llm_engines, make_plain_engines
from test_gateway_leaving import make_entry_record, make_fleet
from test_gateway_limits import GatewayGroup

SESSION_S = 3.0
GAP_S = 0.5
HELD = GroupMembership(7, frozenset((0,)))
READS = ("log-read", "log-newest")


@pytest.fixture
async def harness(tmp_path):
    harness = GatewayHarness(tmp_path)
    yield harness
    harness.stop()


@pytest.fixture
async def group(tmp_path):
    group = GatewayGroup(tmp_path)
    yield group
    group.stop()


# The client of the store.


@pytest.mark.parametrize(
    ("value", "era"), [(b"3", 3), (b"0", 0), (b"-1", None), (b"x", None), (b"", None)]
)
def test_era_of_a_response_is_decoded(value, era):
    assert decode_store_era([(b"store-era", value)]) == era
    assert decode_store_era([]) is None


class ScriptedTransport:
    """Answers calls in order; a response may be held back until it is released."""

    def __init__(self):
        self.responses = []
        self.eras = []
        self.client = StoreClient(self.call)
        self.client.on_new_era = lambda previous, era: self.eras.append((previous, era))

    async def call(self, method, target, body, timeout_s):
        response = self.responses.pop(0)
        if isinstance(response, asyncio.Future):
            return await response
        return response


def make_page(era, end=9):
    return StoreResponse(200, struct.pack(">QQ", end, 0), era)


def make_newest(era, *keys, more=False):
    items = [{"key": key, "value": "YQ==", "offset": 0} for key in keys]
    document = {"items": items, "has_more": more, "end": 9}
    return StoreResponse(200, json.dumps(document).encode(), era)


@pytest.mark.anyio
async def test_higher_era_is_reported_once_with_the_one_before():
    transport = ScriptedTransport()
    transport.responses = [make_newest(era) for era in (4, 4, 5, None, 7)]
    for _ in range(5):
        await transport.client.read_newest("keyed.x")
    assert transport.eras == [(None, 4), (4, 5), (5, 7)]


@pytest.mark.anyio
async def test_late_response_of_an_older_era_is_dropped():
    transport = ScriptedTransport()
    late = asyncio.get_running_loop().create_future()
    transport.responses = [make_page(4), late, make_page(5)]
    await transport.client.read_from("keyed.x", 9)
    join = asyncio.create_task(transport.client.join("g", "m", "t", 3.0, 0))
    await asyncio.sleep(0)
    with pytest.raises(RecordsGoneError):
        await transport.client.read_from("keyed.x", 9)
    late.set_result(StoreResponse(200, b'{"generation":7,"parts":[["t",0,0]]}', 4))
    with pytest.raises(LogUnavailableError, match="era 4"):
        await join


@pytest.mark.anyio
async def test_read_from_an_offset_of_an_older_era_is_not_used():
    transport = ScriptedTransport()
    transport.responses = [make_page(4), make_page(5), make_page(5)]
    await transport.client.read_from("keyed.x", 9)
    with pytest.raises(RecordsGoneError):
        await transport.client.read_from("keyed.x", 9)
    assert (await transport.client.read_from("keyed.x", 9)).end == 9


@pytest.mark.anyio
async def test_pages_of_two_eras_are_not_put_together():
    transport = ScriptedTransport()
    transport.responses = [make_newest(4, "a", more=True), make_newest(5, "b")]
    with pytest.raises(LogUnavailableError, match="era"):
        await transport.client.read_newest("keyed.x")


# The followers.


def test_progress_of_a_peer_in_another_era_is_ignored(clock):
    store = StoreClient(None)
    log = DecisionLog("front-1", clock.monotonic, len)
    follower = ConfigurationFollower(store, log, clock.monotonic, print)
    store.era = 4
    for era in (-1, 3, 5):
        follower.record_peer_progress(10.0, TopicProgress(0, 99), era)
    assert follower.peer_read_at == float("-inf")
    assert follower.peer_changed_offset == 0
    follower.record_peer_progress(10.0, TopicProgress(0, 99), 4)
    assert (follower.peer_read_at, follower.peer_changed_offset) == (10.0, 99)
    assert follower.announced_era == 4


def test_message_of_the_previous_version_has_no_era():
    exchange = PeerExchange("front-1", "h:1", 1, Fleet())
    data = exchange.build_message(1.0, TopicProgress(5, 7), TopicProgress(), 3)
    assert decode_peer_message(data).store_era == 3
    count = PeerMessage.__struct_fields__.index("store_era")
    fields = msgspec.msgpack.decode(data)[:count]
    previous = decode_peer_message(msgspec.msgpack.encode(fields))
    assert (previous.configuration, previous.store_era) == (TopicProgress(5, 7), -1)


# The lease.


def test_lease_of_an_older_era_allows_nothing():
    lease = HolderLease(SESSION_S, GAP_S)
    lease.record_renewal(10.0, 10.0, HELD)
    assert lease.may_order(10.6)
    assert lease.distrust(10.6, era=5)
    assert not lease.may_order(10.6)
    assert lease.generation == 0
    assert not lease.distrust(10.7, era=6)


def test_holder_in_a_new_era_waits_out_the_holder_of_the_older_one():
    older, newer = HolderLease(SESSION_S, GAP_S), HolderLease(SESSION_S, GAP_S)
    older.record_renewal(10.0, 10.0, HELD)
    # The store comes back at once, from a copy without the older holder.
    newer.distrust(10.0, era=5)
    moments = [10.0 + number / 100 for number in range(400)]
    older_times, newer_times = [], []
    for moment in moments:
        newer.record_renewal(moment, moment, HELD)
        older_times += [moment] if older.may_order(moment) else []
        newer_times += [moment] if newer.may_order(moment) else []
    assert newer_times[0] >= older_times[-1] + GAP_S
    assert newer_times[0] <= 10.0 + USABLE_SESSION_SHARE * SESSION_S + GAP_S + 0.02


def test_process_that_just_started_waits_out_a_holder_that_the_copy_lost():
    lease = HolderLease(SESSION_S, GAP_S)
    store = StoreClient(None)
    store.on_new_era = lambda previous, era: lease.distrust(10.0, era)
    store._check_era(StoreResponse(200, b"", 5))
    lease.record_renewal(10.0, 10.0, HELD)
    assert not lease.may_order(10.0 + USABLE_SESSION_SHARE * SESSION_S - 0.01)


def test_fencing_number_rises_although_the_generation_goes_back():
    lease = HolderLease(SESSION_S, GAP_S)
    lease.distrust(1.0, era=4)
    lease.record_renewal(1.0, 1.0, GroupMembership(900, frozenset((0,))))
    before = lease.fencing_number
    lease.distrust(2.0, era=5)
    lease.record_renewal(2.0, 2.0, GroupMembership(3, frozenset((0,))))
    assert lease.fencing_number > before
    assert lease.fencing_number < 2**31


# The engines.


def test_leaving_engine_is_not_ready_again_in_an_older_entry():
    fleet = make_fleet()
    for state in ("ready", "draining", "ready"):
        list(fleet.apply_changes(1.0, [make_entry_record("app-0", state=state)]))
    assert not fleet.list_usable("app", 1.0)
    list(fleet.apply_changes(1.0, [make_entry_record("app-0", born=2)]))
    assert fleet.list_usable("app", 1.0)


def test_older_copy_does_not_bring_back_an_older_incarnation():
    fleet = make_fleet()
    list(fleet.apply_changes(1.0, [make_entry_record("app-0", born=5)]))
    fleet.record_new_era(2.0)
    copy = [make_entry_record("app-0", born=4)]
    assert [event.event for event in fleet.apply_snapshot(2.0, copy)] == [
        "entry_outdated"
    ]
    assert fleet.engines["app-0"].entry.started_ms == 5


def test_older_copy_does_not_bring_back_an_incarnation_before_the_gone_one():
    fleet = make_fleet()
    list(fleet.apply_snapshot(1.0, [make_entry_record("app-0", born=5)]))
    list(fleet.apply_snapshot(5.0, []))
    fleet.record_new_era(6.0)
    list(fleet.apply_snapshot(6.0, [make_entry_record("app-0", born=4)]))
    assert not fleet.engines


def test_state_of_an_engine_that_is_gone_is_kept_for_a_minute_only():
    fleet = make_fleet()
    list(fleet.apply_snapshot(1.0, [make_entry_record("app-0")]))
    list(fleet.apply_snapshot(5.0, []))
    list(fleet.expire(5.0 + GONE_KEPT_S - 1.0))
    assert list(fleet.gone) == ["app-0"]
    list(fleet.expire(5.0 + GONE_KEPT_S))
    assert not fleet.gone


def test_engine_missing_in_the_copy_has_time_to_write_its_entry_again():
    fleet = make_fleet()
    list(fleet.apply_snapshot(1.0, [make_entry_record("app-0")]))
    fleet.record_new_era(10.0)
    list(fleet.apply_snapshot(10.1, []))
    assert fleet.list_usable("app", 11.9)
    assert not fleet.list_usable("app", 12.1)


def test_engine_that_was_gone_is_held_until_it_writes_its_entry_again():
    fleet = make_fleet()
    list(fleet.apply_snapshot(1.0, [make_entry_record("app-0")]))
    list(fleet.apply_snapshot(5.0, []))
    assert not fleet.engines
    fleet.record_new_era(6.0)
    events = list(fleet.apply_snapshot(6.0, [make_entry_record("app-0")]))
    assert [event.event for event in events] == ["engine_held"]
    assert events[0].left_s == RELISTED_HOLD_S
    assert not fleet.list_usable("app", 6.0 + RELISTED_HOLD_S - 0.1)
    assert fleet.list_usable("app", 6.0 + RELISTED_HOLD_S)
    list(fleet.apply_changes(7.0, [make_entry_record("app-0")]))
    assert fleet.list_usable("app", 7.0)


def test_engine_listed_again_in_the_same_era_is_used_with_what_is_known_of_it():
    fleet = make_fleet()
    list(fleet.apply_snapshot(1.0, [make_entry_record("app-0")]))
    fleet.record_backoff(1.0, fleet.engines["app-0"], 30.0)
    list(fleet.apply_snapshot(5.0, []))
    list(fleet.apply_snapshot(6.0, [make_entry_record("app-0")]))
    assert fleet.list_usable("app", 6.0)
    assert not fleet.list_available("app", 6.0)


# Whole gateways.


async def wait_for_era(daemon, era):
    async with asyncio.timeout(4):
        while daemon.store.era != era:
            await asyncio.sleep(0.01)


@pytest.mark.anyio
async def test_configuration_in_force_is_not_replaced_by_the_copys(harness):
    await harness.start(*make_plain_engines())
    store = harness.store
    copy = store.make_copy()
    store.put("keyed.op", "config", configuration(7))
    async with asyncio.timeout(3):
        while harness.daemon.routes.version != 7:
            await asyncio.sleep(0.01)
    store.restore(copy)
    await wait_for_era(harness.daemon, 2)
    await asyncio.sleep(1.5)
    assert harness.daemon.routes.version == 7
    (line,) = harness.read_log_lines("configuration_kept")
    assert (line["version"], line["older"]) == (7, 1)
    (line,) = [line for line in harness.read_log_lines("store_era") if line["era"] == 2]
    assert line["previous"] == 1
    # What comes next has an offset that was given out before.
    store.put("keyed.op", "config", configuration(9, ROUTES[:1]))
    async with asyncio.timeout(3):
        while harness.daemon.routes.version != 9:
            await asyncio.sleep(0.01)


@pytest.mark.anyio
async def test_records_below_a_known_offset_are_read_after_a_restore(harness):
    await harness.start(*make_plain_engines(1))
    store = harness.store
    copy = store.make_copy()
    for sequence in range(5):
        entry = harness.engines["app-0"].entry(sequence=sequence)
        store.put("keyed.servers", "app-0", entry)
    async with asyncio.timeout(3):
        while harness.daemon.registry.offset != 6:
            await asyncio.sleep(0.01)
    store.restore(copy)
    (other,) = make_plain_engines(1)
    other.engine_id = "app-9"
    for number in range(8):
        key = "app-9" if number == 0 else "app-0"
        entry = (other if number == 0 else harness.engines["app-0"]).entry()
        store.put("keyed.servers", key, entry | {"address": "127.0.0.1:1"})
    async with asyncio.timeout(3):
        while "app-9" not in harness.daemon.fleet.engines:
            await asyncio.sleep(0.01)


@pytest.mark.anyio
async def test_gateway_writes_its_address_again_in_a_new_era(harness):
    store = harness.store
    await harness.start(*make_plain_engines())
    async with asyncio.timeout(3):
        while not store.topics.get("keyed.gateways"):
            await asyncio.sleep(0.01)
    records = {k: v for k, v in store.topics.items() if k != "keyed.gateways"}
    store.restore((records, {}, 0))
    async with asyncio.timeout(8):
        while not store.topics.get("keyed.gateways"):
            await asyncio.sleep(0.01)
    ((key, _),) = store.topics["keyed.gateways"]
    assert key == "front-1"


@pytest.mark.anyio
@pytest.mark.parametrize("restores", [1, 3])
async def test_two_gateways_never_both_hold_the_lease_after_a_restore(group, restores):
    engines = make_llm_engines()
    await group.start(engines, count=3)
    store = group.store
    # The copy is older than all joins.
    copy = (store.make_copy()[0], {}, 0)

    def list_holders():
        leases = [daemon.stage_controller.lease for daemon in group.daemons]
        return [
            number
            for number, lease in enumerate(leases)
            if lease.may_order(read_boot_clock())
        ]

    async def watch(seconds):
        seen = []
        ends_at = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < ends_at:
            holders = list_holders()
            assert len(holders) <= 1
            seen.extend((holder, store.era) for holder in holders)
            await asyncio.sleep(0.01)
        return seen

    holder = (await watch(3.5))[-1][0]
    for _ in range(restores):
        store.restore(copy)
        # The first to join in the new era gets the lease.
        for number, daemon in enumerate(group.daemons):
            if number != holder:
                await daemon.leases.renew()
        await watch(0.8)
    seen = await watch(4.0)
    assert seen


@pytest.mark.anyio
async def test_offset_that_a_peer_read_before_the_restore_causes_no_reads(group):
    await group.start(make_plain_engines(), count=3)
    store = group.store
    copy = store.make_copy()
    for version in range(2, 9):
        store.put("keyed.op", "config", configuration(version))
    async with asyncio.timeout(4):
        while any(daemon.routes.version != 8 for daemon in group.daemons):
            await asyncio.sleep(0.01)
    store.restore(copy)
    for daemon in group.daemons:
        await wait_for_era(daemon, 2)
    await asyncio.sleep(1.0)
    before = len(store.calls)
    await asyncio.sleep(2.0)
    reads = [name for name in store.calls[before:] if name in READS]
    assert len(reads) <= 12, reads
    assert all(daemon.routes.version == 8 for daemon in group.daemons)


def test_engine_of_an_older_era_keeps_its_state(clock):
    fleet = make_fleet(make_engine("app-0", service="app"))
    state = fleet.engines["app-0"]
    fleet.record_new_era(1.0)
    list(fleet.apply_snapshot(1.0, [make_entry_record("app-0")]))
    assert fleet.engines["app-0"] is state

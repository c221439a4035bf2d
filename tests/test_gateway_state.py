"""State of a gateway: fleet, peers, demand, holder lease, planned stages, log."""

import json

import msgspec
import pytest

from gateway_fakes import make_engine, make_prompt
from jasminewalk.gateway.decision_log import (
    MAX_BUFFERED_LINES,
    MAX_DECISION_LINES_PER_S,
    MAX_FAILURE_LINES_PER_S,
    DecisionLog,
)
from jasminewalk.gateway.demand import Demand
from jasminewalk.gateway.fleet import Fleet
from jasminewalk.gateway.holder_lease import HolderLease
from jasminewalk.gateway.peer_membership import MEMBER_TIMEOUT_S, PEER_TIMEOUT_S
from jasminewalk.gateway.peers import (
    PeerExchange,
    PeerMessage,
    TopicProgress,
    compute_engine_key,
    decode_peer_message,
)
from jasminewalk.gateway.stage_planner import StagePlanner
from jasminewalk.platform.configuration import decode_configuration
from jasminewalk.platform.store import GroupMembership, KeyedRecord
from platform_fakes import configuration

# Position of the outcomes in an encoded message.
OUTCOMES_INDEX = PeerMessage.__struct_fields__.index("outcomes")
ENTRY = {
    "service": "llm",
    "address": "10.1.0.9:8080",
    "zone": "north",
    "slots": 16,
    "state": "ready",
    "stage": "decode",
    "born": 12,
}


def make_record(engine_id, **changes):
    return KeyedRecord(engine_id, json.dumps(ENTRY | changes).encode())


@pytest.fixture
def fleet():
    fleet = Fleet()
    list(fleet.apply_snapshot(0.0, [make_record("i-1"), make_record("i-2")]))
    return fleet


def list_usable_ids(fleet, now=0.0):
    return sorted(engine.entry.engine_id for engine in fleet.list_usable("llm", now))


def test_listed_engines_are_usable(fleet):
    assert list_usable_ids(fleet) == ["i-1", "i-2"]
    assert fleet.list_usable("app", 0.0) == []


@pytest.mark.parametrize(
    "change",
    [
        make_record("i-1", state="draining"),
        KeyedRecord("i-1", None),
        make_record("i-1", service="other"),
    ],
)
def test_leaving_engine_gets_no_requests(fleet, change):
    list(fleet.apply_changes(1.0, [change]))
    assert list_usable_ids(fleet, 1.0) == ["i-2"]


def test_engine_whose_entry_can_not_be_read_gets_nothing_until_it_writes_again(fleet):
    events = list(
        fleet.apply_changes(1.0, [KeyedRecord("i-1", b"\xff"), make_record("i-3")])
    )
    assert [event.event for event in events] == ["entry_unreadable", "engine_listed"]
    assert list_usable_ids(fleet) == ["i-2", "i-3"]
    assert fleet.engines["i-1"].may_end
    (event,) = fleet.apply_changes(2.0, [make_record("i-1")])
    assert event.event == "engine_changed"
    assert list_usable_ids(fleet) == ["i-1", "i-2", "i-3"]


def test_entry_that_can_not_be_read_among_all_entries_names_no_engine(fleet):
    records = [KeyedRecord("i-1", b"\xff"), make_record("i-2")]
    list(fleet.apply_snapshot(1.0, records))
    assert list_usable_ids(fleet) == ["i-2"]


def test_entry_missing_after_an_outage_expires_after_the_grace_time(fleet):
    fleet.record_store_recovery(10.0, 6.0)
    list(fleet.apply_snapshot(10.5, [make_record("i-2")]))
    assert list_usable_ids(fleet, 11.9) == ["i-1", "i-2"]
    assert list_usable_ids(fleet, 12.0) == ["i-2"]
    assert [event.event for event in fleet.expire(12.0)] == ["engine_gone"]


@pytest.mark.parametrize("unread_s", [0.05, 0.9, 2.3, float("inf")])
def test_entry_missing_after_a_failed_read_is_gone_at_once(fleet, unread_s):
    fleet.record_store_recovery(10.0, unread_s)
    list(fleet.apply_changes(10.1, [KeyedRecord("i-1", None)]))
    assert list_usable_ids(fleet, 10.1) == ["i-2"]


def test_entry_that_returns_within_the_grace_time_is_kept(fleet):
    fleet.record_store_recovery(10.0, 6.0)
    list(fleet.apply_snapshot(10.5, [make_record("i-2")]))
    (event,) = fleet.apply_changes(11.0, [make_record("i-1")])
    assert event.event == "engine_changed"
    assert list_usable_ids(fleet, 13.0) == ["i-1", "i-2"]
    assert list(fleet.expire(13.0)) == []


def test_restarted_engine_loses_its_cache_and_keeps_its_speed(fleet):
    before = fleet.engines["i-1"]
    before.cache.add(make_prompt(3000, 500).parts)
    before.observe_prefill(0.1, 0.2)
    list(fleet.apply_changes(1.0, [make_record("i-1", born=99)]))
    after = fleet.engines["i-1"]
    assert after is not before
    assert after.cache.used_tokens == 0
    assert before not in fleet.list_usable("llm", 1.0)
    # The speed is kept because the engine runs on the same machine.
    assert after.speed == pytest.approx(0.5)


def test_suspected_engine_is_avoided_longer_each_time_and_used_if_no_other_is_left(
    fleet,
):
    engine = fleet.engines["i-1"]
    fleet.suspect(0.0, engine, "connect timeout")
    assert list_usable_ids(fleet, 0.1) == ["i-2"]
    assert list_usable_ids(fleet, 0.6) == ["i-1", "i-2"]
    fleet.suspect(0.6, engine, "connect timeout")
    assert list_usable_ids(fleet, 1.5) == ["i-2"]
    list(fleet.apply_changes(1.5, [KeyedRecord("i-2", None)]))
    assert list_usable_ids(fleet, 1.5) == ["i-1"]
    assert fleet.trust(engine).event == "engine_trusted"
    assert fleet.trust(engine) is None


@pytest.mark.parametrize(
    ("status", "avoided_s", "event"),
    [(421, 0.5, "engine_suspected"), (503, 0.15, None), (429, 0.15, None)],
)
def test_engine_that_refuses_is_avoided_briefly(fleet, status, avoided_s, event):
    result = fleet.record_rejection(1.0, fleet.engines["i-1"], status)
    assert (result.event if result else None) == event
    assert list_usable_ids(fleet, 1.0 + avoided_s - 0.01) == ["i-2"]
    assert list_usable_ids(fleet, 1.0 + avoided_s) == ["i-1", "i-2"]


def test_engine_changing_its_stage_is_avoided_until_its_entry_shows_it(fleet):
    engine = fleet.engines["i-1"]
    engine.changing_until = 5.0
    assert list_usable_ids(fleet, 1.0) == ["i-2"]
    list(fleet.apply_changes(2.0, [make_record("i-1", stage="prefill")]))
    assert list_usable_ids(fleet, 2.0) == ["i-1", "i-2"]


def test_speed_is_estimated_from_the_faster_samples():
    engine = make_engine("p", "prefill")
    for elapsed_s in (0.1, 0.1, 0.1, 0.5, 0.9):
        engine.observe_prefill(0.06, elapsed_s)
    assert engine.speed == pytest.approx(0.6)


@pytest.fixture
def exchanges():
    def make_exchange(name):
        fleet = Fleet()
        document = json.dumps(configuration()).encode()
        fleet.set_services(decode_configuration(document).services)
        list(fleet.apply_snapshot(0.0, [make_record("i-1"), make_record("i-2")]))
        return PeerExchange(name, f"10.0.0.{name}:7660", 1, fleet)

    return make_exchange("1"), make_exchange("2")


def build_message(sender, now):
    return sender.build_message(now, TopicProgress(), TopicProgress())


def send_message(sender, receiver, now):
    return receiver.apply_message(
        now,
        decode_peer_message(
            sender.build_message(now, TopicProgress(), TopicProgress())
        ),
    )


def test_gateways_exchange_loads_and_cached_prompts(exchanges):
    sender, receiver = exchanges
    profile = make_prompt(13_000, 4000)
    sender_engine = sender.fleet.engines["i-1"]
    sender_engine.own_load.requests, sender_engine.own_load.prefill_s = 3, 0.5
    sender.record_prefill(sender_engine, profile.parts)
    assert send_message(sender, receiver, 1.1)
    receiver_engine = receiver.fleet.engines["i-1"]
    assert (receiver_engine.requests, receiver_engine.prefill_s) == (3, 0.5)
    assert receiver_engine.cache.count_cached_tokens(profile.parts) == 17_000
    sender_engine.own_load.requests, sender_engine.own_load.prefill_s = 0, 0.0
    send_message(sender, receiver, 1.2)
    assert (receiver_engine.requests, receiver_engine.prefill_s) == (0, 0.0)


def test_last_part_of_a_retracted_prefill_is_removed_by_all_gateways(exchanges):
    sender, receiver = exchanges
    profile = make_prompt(13_000, 4000)
    sender_engine, receiver_engine = (
        sender.fleet.engines["i-1"],
        receiver.fleet.engines["i-1"],
    )
    sender.record_prefill(sender_engine, profile.parts)
    send_message(sender, receiver, 1.0)
    sender.retract_prefill(sender_engine, profile.parts)
    send_message(sender, receiver, 1.1)
    for engine in (sender_engine, receiver_engine):
        assert engine.cache.count_cached_tokens(profile.parts) == 13_000
        assert engine.cache.used_tokens == 13_000


def test_silent_gateway_is_dropped(exchanges):
    sender, receiver = exchanges
    sender.fleet.engines["i-1"].own_load.requests = 3
    sender.demand.record(1.0, prefill_s=1.0, decode_s=1.0)
    send_message(sender, receiver, 1.0)
    assert receiver.peers["1"].received_at == 1.0
    assert receiver.list_members(1.1) == ["1", "2"]
    assert receiver.compute_total_demand(1.1) != Demand()
    assert list(receiver.drop_silent_peers(1.0 + PEER_TIMEOUT_S)) == ["1"]
    assert receiver.fleet.engines["i-1"].requests == 0
    assert receiver.compute_total_demand(9.0) == Demand()
    assert receiver.list_members(9.0) == ["1", "2"]
    assert receiver.list_members(1.0 + MEMBER_TIMEOUT_S) == ["2"]


def test_old_own_and_unreadable_messages_are_ignored(exchanges):
    sender, receiver = exchanges
    first, second = (
        decode_peer_message(sender.build_message(1.0, TopicProgress(), TopicProgress()))
        for _ in range(2)
    )
    assert receiver.apply_message(1.0, second)
    assert not receiver.apply_message(1.0, first)
    assert not sender.apply_message(1.0, first)
    assert decode_peer_message(b"\xffgarbage") is None
    assert decode_peer_message(msgspec.msgpack.encode({"node": 1})) is None


def test_message_of_an_earlier_incarnation_at_another_address_is_ignored(exchanges):
    sender, receiver = exchanges
    sender.fleet.engines["i-1"].own_load.requests = 3
    old = decode_peer_message(build_message(sender, 1.0))
    sender.fleet.engines["i-1"].own_load.requests = 0
    sender.started_ms, sender.address = 2, "10.0.0.9:7660"
    assert send_message(sender, receiver, 1.1)
    assert not receiver.apply_message(1.2, old)
    assert receiver.peers["1"].address == "10.0.0.9:7660"
    assert receiver.fleet.engines["i-1"].requests == 0
    assert send_message(sender, receiver, 1.3)


def test_late_message_is_ignored_after_a_silence(exchanges):
    sender, receiver = exchanges
    sender.fleet.engines["i-1"].own_load.requests = 3
    late = decode_peer_message(build_message(sender, 1.0))
    assert send_message(sender, receiver, 1.1)
    silent_at = 1.1 + PEER_TIMEOUT_S
    assert list(receiver.drop_silent_peers(silent_at)) == ["1"]
    assert not list(receiver.drop_silent_peers(silent_at))
    assert not receiver.apply_message(silent_at, late)
    assert receiver.fleet.engines["i-1"].requests == 0
    assert send_message(sender, receiver, silent_at + 0.1)


def test_loads_of_a_gateway_whose_listed_address_changed_are_dropped(exchanges):
    sender, receiver = exchanges
    sender.fleet.engines["i-1"].own_load.requests = 3
    assert send_message(sender, receiver, 1.0)
    receiver.record_address(1.1, "1", "10.0.0.9:7660")
    assert list(receiver.drop_silent_peers(1.0 + PEER_TIMEOUT_S)) == ["1"]
    assert receiver.fleet.engines["i-1"].requests == 0


def test_gateways_exchange_outcomes_of_requests(exchanges):
    sender, receiver = exchanges
    for failed in (True, False, True, True):
        sender.fleet.engines["i-1"].record_outcome(failed)
        sender.fleet.engines["i-2"].record_outcome(False)
    send_message(sender, receiver, 1.0)
    assert receiver.fleet.engines["i-1"].excess_failure_rate > 0
    assert receiver.fleet.engines["i-2"].failure_rate == 0.0
    rate = receiver.fleet.engines["i-1"].failure_rate
    send_message(sender, receiver, 1.1)
    assert receiver.fleet.engines["i-1"].failure_rate == rate


def test_message_without_outcomes_is_accepted(exchanges):
    sender, receiver = exchanges
    fields = msgspec.msgpack.decode(build_message(sender, 1.0))
    assert receiver.apply_message(
        1.0, decode_peer_message(msgspec.msgpack.encode(fields[:OUTCOMES_INDEX]))
    )


@pytest.mark.parametrize(("ended", "failed"), [(0, 0), (1, 2), (3, -1)])
def test_invalid_outcomes_are_ignored(exchanges, ended, failed):
    sender, receiver = exchanges
    fields = msgspec.msgpack.decode(build_message(sender, 1.0))
    engine = receiver.fleet.engines["i-1"]
    fields[OUTCOMES_INDEX] = [[compute_engine_key(engine), ended, failed]]
    receiver.apply_message(1.0, decode_peer_message(msgspec.msgpack.encode(fields)))
    assert engine.failure_rate == 0.0


def test_failing_engine_is_healthy_again_after_a_while(fleet):
    engine = fleet.engines["i-1"]
    for _ in range(6):
        engine.record_outcome(True)
    assert [event.event for event in fleet.detect_failure_changes()] == [
        "engine_failing"
    ]
    assert list(fleet.detect_failure_changes()) == []
    engine.decay_failure_rate(20.0)
    assert [event.event for event in fleet.detect_failure_changes()] == ["engine_sound"]


def test_engine_that_fails_about_a_tenth_is_not_called_failing_and_sound_in_turn(fleet):
    engine = fleet.engines["i-1"]
    events = []
    for number in range(600):
        engine.record_outcome(number % 9 == 0)
        engine.decay_failure_rate(0.01)
        events += [event.event for event in fleet.detect_failure_changes()]
    assert events == ["engine_failing"]


def test_change_of_stage_is_announced(exchanges):
    sender, receiver = exchanges
    sender.fleet.engines["i-1"].changing_until = 4.0
    send_message(sender, receiver, 1.0)
    assert receiver.fleet.engines["i-1"].changing_until == pytest.approx(4.0)


def make_membership(generation):
    return GroupMembership(generation, frozenset({0}))


def test_new_holder_waits_for_the_handover_gap():
    lease = HolderLease(session_s=3.0, handover_gap_s=3.0)
    assert lease.record_renewal(0.0, 0.1, make_membership(5))
    for step in range(1, 7):
        lease.record_renewal(step * 0.5, step * 0.5 + 0.1, make_membership(5))
    assert not lease.may_order(3.05)
    assert lease.may_order(3.2)


@pytest.mark.parametrize("now", [4.9, 9.0])
def test_lease_expires_without_renewal_well_before_the_session_ends(now):
    lease = HolderLease(session_s=3.0, handover_gap_s=0.0)
    lease.record_renewal(3.0, 3.1, make_membership(5))
    assert lease.may_order(4.0)
    assert not lease.may_order(now)


def test_lease_regained_after_expiry_waits_for_the_gap_again():
    lease = HolderLease(session_s=3.0, handover_gap_s=3.0)
    lease.record_renewal(0.0, 0.1, make_membership(5))
    lease.record_renewal(10.0, 10.1, make_membership(9))
    assert not lease.may_order(10.2)
    assert lease.generation == 9


def test_lease_is_lost_when_the_partition_is_reassigned():
    lease = HolderLease(session_s=3.0, handover_gap_s=0.0)
    lease.record_renewal(0.0, 0.1, make_membership(5))
    assert lease.record_renewal(0.5, 0.6, GroupMembership(6, frozenset({3})))
    assert not lease.may_order(0.7)


def make_engines(prefill_count, decode_count):
    return [make_engine(f"p{n}", "prefill") for n in range(prefill_count)] + [
        make_engine(f"d{n}") for n in range(decode_count)
    ]


@pytest.mark.parametrize(
    ("prefill_count", "decode_count", "demand", "stage"),
    [
        (1, 6, Demand(3.0, 0.5), "prefill"),
        (5, 2, Demand(0.5, 3.0), "decode"),
        (3, 4, Demand(2.0, 2.5), None),
        (3, 4, Demand(0.01, 0.01), None),
        (0, 7, Demand(1.0, 1.0), "prefill"),
        (7, 0, Demand(1.0, 1.0), "decode"),
        (0, 1, Demand(9.0, 1.0), None),
        (1, 1, Demand(9.0, 1.0), None),
    ],
)
def test_stages_follow_the_demand(prefill_count, decode_count, demand, stage):
    change = StagePlanner().plan(
        9.0, "llm", make_engines(prefill_count, decode_count), demand
    )
    assert (change.stage if change else None) == stage


def test_planner_waits_between_changes():
    planner = StagePlanner()
    engines, demand = make_engines(1, 6), Demand(3.0, 0.5)
    planner.record_change(9.0, "llm")
    assert planner.plan(10.0, "llm", engines, demand) is None
    assert planner.plan(9.0 + planner.settle_s, "llm", engines, demand)


@pytest.mark.parametrize(
    ("stages", "demand", "chosen"),
    [
        (("prefill", "decode", "decode"), Demand(9.0, 0.5), "fast"),
        (("decode", "prefill", "prefill"), Demand(0.1, 9.0), "slow"),
        (("decode", "decode", "decode"), Demand(1.0, 1.0), "fast"),
        (("prefill", "prefill", "prefill"), Demand(1.0, 1.0), "slow"),
    ],
)
def test_fast_engines_prefill_and_slow_ones_decode(stages, demand, chosen):
    speeds = {"usual": 1.0, "slow": 0.5, "fast": 2.0}
    engines = [
        make_engine(name, stage, speed=speed)
        for (name, speed), stage in zip(speeds.items(), stages, strict=True)
    ]
    change = StagePlanner().plan(9.0, "llm", engines, demand)
    assert change.engine.entry.engine_id == chosen


@pytest.fixture
def written():
    return []


@pytest.fixture
def log(clock, written):
    def write(data):
        written.append(data)
        return len(data)

    return DecisionLog("front-1", clock.monotonic, write)


def parse_lines(written):
    return [json.loads(line) for line in b"".join(written).splitlines()]


def test_line_is_json_with_its_fields(log, written):
    log.info("placed", request="9c41", predicted_ms=12.5)
    log.flush()
    (line,) = parse_lines(written)
    assert line["event"] == "placed"
    assert line["node"] == "front-1"
    assert (line["request"], line["predicted_ms"]) == ("9c41", 12.5)
    assert line["severity"] == "INFO"


def test_state_changes_are_suppressed_last_and_suppressed_lines_are_counted(
    log, written
):
    for _ in range(MAX_DECISION_LINES_PER_S + 50):
        log.info("placed", request="a")
    log.warning("failed", request="a")
    for _ in range(MAX_FAILURE_LINES_PER_S):
        log.warning("failed", request="b")
    log.info("store_regained", topic="t")
    log.flush()
    events = [line["event"] for line in parse_lines(written)]
    assert events.count("placed") == MAX_DECISION_LINES_PER_S
    assert events.count("failed") == MAX_FAILURE_LINES_PER_S - MAX_DECISION_LINES_PER_S
    assert "store_regained" in events
    assert parse_lines(written)[-1]["count"] == 50 + 1 + MAX_DECISION_LINES_PER_S


def test_blocked_output_does_not_block_the_log(clock):
    def write(data):
        raise BlockingIOError

    log = DecisionLog("front-1", clock.monotonic, write)
    for _ in range(MAX_BUFFERED_LINES + 10):
        clock.advance(1.0)
        log.info("placed")
        log.flush()
    assert len(log.buffer.lines) <= MAX_BUFFERED_LINES
    assert log.buffer.suppressed > 0


def test_suspected_engine_takes_what_a_limited_one_has_no_room_for():
    fleet = Fleet()
    for name in ("limited", "suspected"):
        fleet.engines[name] = make_engine(name)
    limited, suspected = fleet.engines.values()
    fleet.record_limit(0.0, limited, 1.0, 0.0)
    fleet.suspect(0.0, suspected, "connect timeout")
    assert fleet.list_available("llm", 0.1) == [suspected]
    limited.limit.assign_share(0.1, 10.0)
    assert fleet.list_available("llm", 0.3) == [limited]

"""What a gateway believes: fleet, peers, demand, holder, planned stages, logs."""

import json

import msgspec
import pytest

from gateway_fakes import make_engine, make_prompt
from jasminewalk.gateway.decision_log import (
    FAILURE_LINES_PER_S,
    HELD_LINES,
    LINES_PER_S,
    DecisionLog,
)
from jasminewalk.gateway.demand import Demand
from jasminewalk.gateway.fleet import Fleet
from jasminewalk.gateway.peers import (
    PEER_TIMEOUT_S,
    LoadExchange,
    TopicProgress,
    decode_peer_message,
    engine_key,
)
from jasminewalk.gateway.stage_holder import HolderLease
from jasminewalk.gateway.stage_planner import StagePlanner
from jasminewalk.platform.configuration import decode_configuration
from jasminewalk.platform.store import KeyedRecord, Membership
from platform_fakes import configuration

ENTRY = {
    "service": "llm",
    "address": "10.1.0.9:8080",
    "zone": "north",
    "slots": 16,
    "state": "ready",
    "stage": "decode",
    "born": 12,
}


def record(engine_id, **changes):
    return KeyedRecord(engine_id, json.dumps(ENTRY | changes).encode())


@pytest.fixture
def fleet():
    made = Fleet()
    list(made.replace(0.0, [record("i-1"), record("i-2")]))
    return made


def usable(fleet, now=0.0):
    return sorted(engine.entry.engine_id for engine in fleet.usable("llm", now))


def test_listed_engines_are_usable(fleet):
    assert usable(fleet) == ["i-1", "i-2"]
    assert fleet.usable("app", 0.0) == []


@pytest.mark.parametrize(
    "change",
    [
        record("i-1", state="draining"),
        KeyedRecord("i-1", None),
        record("i-1", service="other"),
    ],
)
def test_engine_that_leaves_gets_no_work_at_once(fleet, change):
    list(fleet.update(1.0, [change]))
    assert usable(fleet, 1.0) == ["i-2"]


def test_unreadable_entry_changes_nothing(fleet):
    events = list(fleet.update(1.0, [KeyedRecord("i-1", b"\xff"), record("i-3")]))
    assert [event.event for event in events] == ["entry_unreadable", "engine_listed"]
    assert usable(fleet) == ["i-1", "i-2", "i-3"]


def test_entry_missing_after_an_outage_has_two_seconds(fleet):
    fleet.store_returned(10.0)
    list(fleet.replace(10.5, [record("i-2")]))
    assert usable(fleet, 11.9) == ["i-1", "i-2"]
    assert usable(fleet, 12.0) == ["i-2"]
    assert [event.event for event in fleet.expire(12.0)] == ["engine_gone"]


def test_entry_that_comes_back_in_time_stays(fleet):
    fleet.store_returned(10.0)
    list(fleet.replace(10.5, [record("i-2")]))
    list(fleet.update(11.0, [record("i-1")]))
    assert usable(fleet, 13.0) == ["i-1", "i-2"]
    assert list(fleet.expire(13.0)) == []


def test_engine_reborn_under_its_id_starts_anew(fleet):
    before = fleet.engines["i-1"]
    before.cache.add(make_prompt(3000, 500).parts)
    before.observe_read(0.1, 0.2)
    list(fleet.update(1.0, [record("i-1", born=99)]))
    after = fleet.engines["i-1"]
    assert after is not before
    assert after.cache.used_tokens == 0
    assert before not in fleet.usable("llm", 1.0)
    # It runs on the same machine.
    assert after.speed == pytest.approx(0.5)


def test_suspected_engine_is_avoided_longer_each_time_and_used_if_alone(fleet):
    engine = fleet.engines["i-1"]
    fleet.suspect(0.0, engine, "connect timeout")
    assert usable(fleet, 0.1) == ["i-2"]
    assert usable(fleet, 0.6) == ["i-1", "i-2"]
    fleet.suspect(0.6, engine, "connect timeout")
    assert usable(fleet, 1.5) == ["i-2"]
    list(fleet.update(1.5, [KeyedRecord("i-2", None)]))
    assert usable(fleet, 1.5) == ["i-1"]
    assert fleet.trust(engine).event == "engine_trusted"
    assert fleet.trust(engine) is None


@pytest.mark.parametrize(
    ("status", "avoided_s", "event"),
    [(421, 0.5, "engine_suspected"), (503, 0.15, None), (429, 0.15, None)],
)
def test_engine_that_refuses_is_avoided_for_a_while(fleet, status, avoided_s, event):
    found = fleet.rejected(1.0, fleet.engines["i-1"], status)
    assert (found.event if found else None) == event
    assert usable(fleet, 1.0 + avoided_s - 0.01) == ["i-2"]
    assert usable(fleet, 1.0 + avoided_s) == ["i-1", "i-2"]


def test_engine_that_changes_its_stage_is_left_alone_until_it_is_listed(fleet):
    engine = fleet.engines["i-1"]
    engine.changing_until = 5.0
    assert usable(fleet, 1.0) == ["i-2"]
    list(fleet.update(2.0, [record("i-1", stage="prefill")]))
    assert usable(fleet, 2.0) == ["i-1", "i-2"]


def test_speed_is_learned_from_the_faster_observations():
    engine = make_engine("p", "prefill")
    for taken_s in (0.1, 0.1, 0.1, 0.5, 0.9):
        engine.observe_read(0.06, taken_s)
    assert engine.speed == pytest.approx(0.6)


@pytest.fixture
def gateways():
    def made(name):
        fleet = Fleet()
        document = json.dumps(configuration()).encode()
        fleet.use_services(decode_configuration(document).services)
        list(fleet.replace(0.0, [record("i-1"), record("i-2")]))
        return LoadExchange(name, f"10.0.0.{name}:7660", 1, fleet)

    return made("1"), made("2")


def message_of(sender, now):
    return sender.message(now, TopicProgress(), TopicProgress())


def tell(sender, receiver, now):
    return receiver.take(
        now, decode_peer_message(sender.message(now, TopicProgress(), TopicProgress()))
    )


def test_gateways_count_each_others_work_and_reads(gateways):
    one, two = gateways
    work = make_prompt(13_000, 4000)
    there = one.fleet.engines["i-1"]
    there.own.requests, there.own.reading_s = 3, 0.5
    one.record_read(there, work.parts)
    assert tell(one, two, 1.1)
    seen = two.fleet.engines["i-1"]
    assert (seen.requests, seen.reading_s) == (3, 0.5)
    assert seen.cache.count_cached_tokens(work.parts) == 17_000
    there.own.requests, there.own.reading_s = 0, 0.0
    tell(one, two, 1.2)
    assert (seen.requests, seen.reading_s) == (0, 0.0)


def test_own_part_of_a_prompt_that_was_not_read_is_forgotten_by_all(gateways):
    one, two = gateways
    work = make_prompt(13_000, 4000)
    there, seen = one.fleet.engines["i-1"], two.fleet.engines["i-1"]
    one.record_read(there, work.parts)
    tell(one, two, 1.0)
    one.record_unread(there, work.parts)
    tell(one, two, 1.1)
    for engine in (there, seen):
        assert engine.cache.count_cached_tokens(work.parts) == 13_000
        assert engine.cache.used_tokens == 13_000


def test_silent_gateway_is_forgotten(gateways):
    one, two = gateways
    one.fleet.engines["i-1"].own.requests = 3
    one.demand.count(1.0, reading_s=1.0, answering_s=1.0)
    tell(one, two, 1.0)
    assert two.live_peers(1.1) == 1
    assert two.total_demand(1.1) != Demand()
    assert list(two.forget_silent(1.0 + PEER_TIMEOUT_S)) == ["1"]
    assert two.fleet.engines["i-1"].requests == 0
    assert two.total_demand(9.0) == Demand()


def test_old_own_and_unreadable_messages_are_passed_over(gateways):
    one, two = gateways
    first, second = (
        decode_peer_message(one.message(1.0, TopicProgress(), TopicProgress()))
        for _ in range(2)
    )
    assert two.take(1.0, second)
    assert not two.take(1.0, first)
    assert not one.take(1.0, first)
    assert decode_peer_message(b"\xffgarbage") is None
    assert decode_peer_message(msgspec.msgpack.encode({"node": 1})) is None


def test_gateways_learn_of_each_others_failed_requests(gateways):
    one, two = gateways
    for failed in (True, False, True, True):
        one.fleet.engines["i-1"].observe_outcome(failed)
        one.fleet.engines["i-2"].observe_outcome(False)
    tell(one, two, 1.0)
    assert two.fleet.engines["i-1"].failing > 0
    assert two.fleet.engines["i-2"].failure_rate == 0.0
    rate = two.fleet.engines["i-1"].failure_rate
    tell(one, two, 1.1)
    assert two.fleet.engines["i-1"].failure_rate == rate


def test_message_of_a_gateway_that_counts_no_outcomes_is_taken(gateways):
    one, two = gateways
    fields = msgspec.msgpack.decode(message_of(one, 1.0))
    assert two.take(1.0, decode_peer_message(msgspec.msgpack.encode(fields[:-1])))


@pytest.mark.parametrize(("ended", "failed"), [(0, 0), (1, 2), (3, -1)])
def test_impossible_outcomes_are_passed_over(gateways, ended, failed):
    one, two = gateways
    fields = msgspec.msgpack.decode(message_of(one, 1.0))
    engine = two.fleet.engines["i-1"]
    fields[-1] = [[engine_key(engine), ended, failed]]
    two.take(1.0, decode_peer_message(msgspec.msgpack.encode(fields)))
    assert engine.failure_rate == 0.0


def test_failing_engine_is_sound_again_after_a_while(fleet):
    engine = fleet.engines["i-1"]
    for _ in range(6):
        engine.observe_outcome(True)
    assert [event.event for event in fleet.failing_changes()] == ["engine_failing"]
    assert list(fleet.failing_changes()) == []
    engine.forget_failures(20.0)
    assert [event.event for event in fleet.failing_changes()] == ["engine_sound"]


def test_change_of_stage_is_announced(gateways):
    one, two = gateways
    one.fleet.engines["i-1"].changing_until = 4.0
    tell(one, two, 1.0)
    assert two.fleet.engines["i-1"].changing_until == pytest.approx(4.0)


def held(generation):
    return Membership(generation, frozenset({0}))


def test_new_holder_waits_until_orders_of_the_last_one_are_old():
    lease = HolderLease(session_s=3.0, gap_s=3.0)
    assert lease.renewed(0.0, 0.1, held(5))
    for step in range(1, 7):
        lease.renewed(step * 0.5, step * 0.5 + 0.1, held(5))
    assert not lease.may_order(3.05)
    assert lease.may_order(3.2)


@pytest.mark.parametrize("now", [4.9, 9.0])
def test_right_lapses_without_renewal_long_before_the_store_gives_it_away(now):
    lease = HolderLease(session_s=3.0, gap_s=0.0)
    lease.renewed(3.0, 3.1, held(5))
    assert lease.may_order(4.0)
    assert not lease.may_order(now)


def test_right_regained_after_a_lapse_waits_again():
    lease = HolderLease(session_s=3.0, gap_s=3.0)
    lease.renewed(0.0, 0.1, held(5))
    lease.renewed(10.0, 10.1, held(9))
    assert not lease.may_order(10.2)
    assert lease.generation == 9


def test_right_is_lost_when_the_store_says_so():
    lease = HolderLease(session_s=3.0, gap_s=0.0)
    lease.renewed(0.0, 0.1, held(5))
    assert lease.renewed(0.5, 0.6, Membership(6, frozenset({3})))
    assert not lease.may_order(0.7)


def fleet_of(readers, others):
    return [make_engine(f"p{n}", "prefill") for n in range(readers)] + [
        make_engine(f"d{n}") for n in range(others)
    ]


@pytest.mark.parametrize(
    ("readers", "others", "demand", "stage"),
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
def test_stages_follow_the_demand(readers, others, demand, stage):
    change = StagePlanner().plan(9.0, "llm", fleet_of(readers, others), demand)
    assert (change.stage if change else None) == stage


def test_planner_settles_between_changes():
    planner = StagePlanner()
    engines, demand = fleet_of(1, 6), Demand(3.0, 0.5)
    planner.changed(9.0, "llm")
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
def test_fast_engines_read_and_slow_ones_answer(stages, demand, chosen):
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


def lines(written):
    return [json.loads(line) for line in b"".join(written).splitlines()]


def test_line_is_json_with_its_fields(log, written):
    log.info("placed", request="9c41", predicted_ms=12.5)
    log.flush()
    (line,) = lines(written)
    assert line["event"] == "placed"
    assert line["node"] == "front-1"
    assert (line["request"], line["predicted_ms"]) == ("9c41", 12.5)
    assert line["severity"] == "INFO"


def test_beliefs_are_the_last_to_be_suppressed_and_the_rest_is_counted(log, written):
    for _ in range(LINES_PER_S + 50):
        log.info("placed", request="a")
    log.warning("failed", request="a")
    for _ in range(FAILURE_LINES_PER_S):
        log.warning("failed", request="b")
    log.info("store_regained", topic="t")
    log.flush()
    found = [line["event"] for line in lines(written)]
    assert found.count("placed") == LINES_PER_S
    assert found.count("failed") == FAILURE_LINES_PER_S - LINES_PER_S
    assert "store_regained" in found
    assert lines(written)[-1]["count"] == 50 + 1 + LINES_PER_S


def test_blocked_output_blocks_nobody(clock):
    def write(data):
        raise BlockingIOError

    log = DecisionLog("front-1", clock.monotonic, write)
    for _ in range(HELD_LINES + 10):
        clock.advance(1.0)
        log.info("placed")
        log.flush()
    assert len(log.buffer.lines) <= HELD_LINES
    assert log.buffer.suppressed > 0

import random

import pytest

from jasminewalk.generated_messages import Leaving, LoadReport
from jasminewalk.generated_requests import Instance
from jasminewalk.generated_settings import EntrySettings, LogSettings, PeerSettings
from jasminewalk.scheduling.membership import FORGET_AFTER_S, LEAVING_HOLD_S, Membership

HEARTBEAT_S = 0.5


def make_membership(subset=64):
    return Membership(
        EntrySettings(
            name="entry-1",
            failure_domain="a",
            region="north",
            listen="127.0.0.1:0",
            log=LogSettings(address="127.0.0.1:1"),
            instances_address="127.0.0.1:1",
            peers=PeerSettings(shared_key="0123456789abcdef"),
            subset=subset,
        )
    )


@pytest.fixture
def membership():
    made = make_membership()
    made.observe_instances(0.0, [row("e1"), row("e2")])
    return made


def row(name, state="live", domain="a", pool="p", region="north"):
    return Instance(
        name=name,
        kind="engine",
        address=f"{name}:1",
        control_address=f"{name}:2",
        pool=pool,
        failure_domain=domain,
        region=region,
        state=state,
    )


def report(name, sequence, incarnation="i1", state="live"):
    return LoadReport(
        endpoint=name,
        incarnation=incarnation,
        sequence=sequence,
        kind="engine",
        pool="p",
        failure_domain="a",
        address=f"{name}:1",
        state=state,
    )


def beat(membership, name, until_s, *, since_s=0.0, **fields):
    """Send heartbeats and return the instant of the last."""
    now_s, sequence = since_s, round(since_s / HEARTBEAT_S) + 1
    while now_s <= until_s:
        membership.observe_report(now_s, report(name, sequence, **fields))
        now_s, sequence = now_s + HEARTBEAT_S, sequence + 1
    return now_s - HEARTBEAT_S


def leave(membership, name, incarnation="i1", now_s=0.0):
    leaving = Leaving(endpoint=name, incarnation=incarnation, reason="shutdown")
    membership.observe_leaving(now_s, leaving)


def test_listed_endpoint_is_usable_only_after_it_reports(membership):
    assert membership.list_usable(0.0, "p") == []
    beat(membership, "e1", 0.0)
    assert membership.list_usable(0.0, "p") == ["e1"]
    assert membership.list_usable(0.0, "other") == []


@pytest.mark.parametrize("state", ["starting", "draining", "changing", "down"])
def test_endpoint_that_is_not_live_gets_no_work(membership, state):
    beat(membership, "e1", 0.0, state=state)
    assert membership.list_usable(0.0, "p") == []


def test_crashed_endpoint_is_left_within_two_seconds(membership):
    last_s = beat(membership, "e1", 5.0)
    assert membership.list_usable(last_s + 1.0, "p") == ["e1"]
    assert membership.list_usable(last_s + 2.0, "p") == []


def test_endpoint_returns_after_probation(membership):
    last_s = beat(membership, "e1", 5.0)
    back_s = last_s + 10.0
    beat(membership, "e1", back_s, since_s=back_s)
    assert membership.list_usable(back_s, "p") == []
    steady_s = beat(membership, "e1", back_s + 1.0, since_s=back_s + HEARTBEAT_S)
    assert membership.list_usable(steady_s, "p") == ["e1"]


def test_pause_of_the_entry_is_no_silence_of_the_endpoint(membership):
    last_s = beat(membership, "e1", 5.0)
    membership.observe_pause(30.0)
    assert membership.list_usable(last_s + 30.0, "p") == ["e1"]
    assert membership.list_usable(last_s + 32.0, "p") == []


def test_answer_is_a_sign_of_life_but_no_way_out_of_probation(membership):
    last_s = beat(membership, "e1", 5.0)
    membership.observe_response(last_s + 1.0, "e1")
    assert membership.list_usable(last_s + 2.0, "p") == ["e1"]
    membership.observe_response(last_s + 5.0, "e1")
    assert membership.list_usable(last_s + 5.0, "p") == []


def test_leaving_wins_over_live_reports_and_list(membership):
    beat(membership, "e1", 1.0)
    leave(membership, "e1", now_s=1.0)
    membership.observe_instances(1.1, [row("e1")])
    beat(membership, "e1", 60.0, since_s=1.5)
    assert membership.list_usable(60.0, "p") == []
    membership.observe_report(60.1, report("e1", 1, incarnation="i2"))
    membership.observe_report(60.2, report("e1", 2, incarnation="i2"))
    assert membership.list_usable(60.2, "p") == ["e1"]


def test_leaving_before_the_first_report_counts(membership):
    leave(membership, "e1")
    beat(membership, "e1", 1.0)
    assert membership.list_usable(1.0, "p") == []


def test_flapping_list_gives_a_leaving_endpoint_no_work(membership):
    now_s = 0.0
    for number in range(100):
        state = "leaving" if number % 7 == 0 else "live"
        membership.observe_instances(now_s, [row("e1", state)])
        beat(membership, "e1", now_s, since_s=now_s)
        assert membership.list_usable(now_s, "p") == []
        now_s += 1.0
    beat(membership, "e1", now_s + LEAVING_HOLD_S, since_s=now_s)
    assert membership.list_usable(now_s + LEAVING_HOLD_S, "p") == ["e1"]


def test_endpoint_missing_from_the_list_keeps_its_work(membership):
    last_s = beat(membership, "e1", FORGET_AFTER_S * 2)
    membership.observe_instances(last_s, [])
    assert membership.list_usable(last_s, "p") == ["e1"]
    gone = membership.observe_instances(last_s + FORGET_AFTER_S + 1.0, [])
    assert "e1" in gone
    assert membership.members == {}


def test_reports_of_an_older_incarnation_or_order_are_ignored(membership):
    assert membership.observe_report(0.0, report("e1", 5))
    assert not membership.observe_report(0.1, report("e1", 4))
    assert membership.observe_report(0.2, report("e1", 1, incarnation="i2"))
    assert not membership.observe_report(0.3, report("e1", 6))


def test_failing_endpoint_is_avoided_while_another_is_left(membership):
    beat(membership, "e1", 0.0)
    beat(membership, "e2", 0.0)
    membership.observe_failure(0.0, "e1")
    assert membership.list_usable(0.1, "p") == ["e2"]
    membership.observe_failure(0.0, "e2")
    assert membership.list_usable(0.1, "p") == ["e1", "e2"]
    membership.observe_success("e1")
    assert membership.list_usable(0.1, "p") == ["e1"]


def test_subset_prefers_the_own_region_after_the_own_failure_domain():
    membership = make_membership(subset=6)
    rows = [row(f"a{n}") for n in range(2)]
    rows += [row(f"b{n}", domain="b") for n in range(3)]
    rows += [row(f"s{n}", domain="c", region="south") for n in range(9)]
    membership.observe_instances(0.0, rows)
    subset = membership.choose_subset(0.0)
    assert sorted(subset[:2]) == ["a0", "a1"]
    assert sorted(subset[2:5]) == ["b0", "b1", "b2"]
    assert [name[0] for name in subset[5:]] == ["s"]
    membership.observe_instances(0.0, [row("s0", domain="c"), row("b0", domain="b")])
    assert "s0" in membership.choose_subset(0.0)[2:6]


def test_subset_prefers_the_own_failure_domain_and_is_stable():
    membership = make_membership(subset=4)
    rows = [row(f"e{n}", domain="a" if n % 2 else "b") for n in range(20)]
    membership.observe_instances(0.0, rows)
    before = membership.choose_subset(0.0)
    assert len(before) == 4
    assert all(membership.members[name].failure_domain == "a" for name in before)
    gone = before[1]
    membership.observe_instances(1.0, [r for r in rows if r.name != gone])
    membership.remove_member(membership.members[gone])
    after = membership.choose_subset(1.0)
    assert [name for name in after if name in before] == [
        name for name in before if name != gone
    ]
    assert len(after) == 4


def test_silent_endpoints_are_replaced_in_the_subset():
    membership = make_membership(subset=2)
    membership.observe_instances(0.0, [row(f"e{n}") for n in range(6)])
    first, second = membership.choose_subset(0.0)
    beat(membership, first, 0.0)
    beat(membership, second, 10.0)
    later = membership.choose_subset(10.0)
    assert later[:2] == [first, second]
    assert len(later) == 3


@pytest.mark.parametrize("seed", range(5))
def test_indexes_agree_with_a_search_of_all_members(seed):
    rng = random.Random(seed)
    membership = make_membership()
    now_s = 0.0
    for sequence in range(1, 400):
        now_s += rng.uniform(0.0, 0.3) + FORGET_AFTER_S * (sequence % 100 == 0)
        name = f"e{rng.randrange(12)}"
        rows = [row(name, domain=rng.choice("ab"), pool=rng.choice("pq"))]
        membership.observe_instances(now_s, rows if rng.random() < 0.3 else [])
        membership.observe_report(now_s, report(name, sequence))
        for pool in "pq":
            members = [m for m in membership.members.values() if m.pool == pool]
            live = {m.endpoint for m in members if membership.is_live(now_s, m)}
            assert set(membership.list_usable(now_s, pool)) == live
            ranked = sorted(members, key=membership.compute_rank)
            assert membership.rank_members(pool) == ranked

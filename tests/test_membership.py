"""Liveness of endpoints and the subset to which an entry connects."""

import random

import pytest

from jasminewalk.generated_messages import Leaving, LoadReport
from jasminewalk.generated_requests import Instance
from jasminewalk.generated_settings import EntrySettings, LogSettings, PeerSettings
from jasminewalk.scheduling.membership import LEAVING_HOLD_S, REMOVE_AFTER_S, Membership

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
    membership = make_membership()
    membership.observe_instances(0.0, [make_instance("e1"), make_instance("e2")])
    return membership


def make_instance(name, state="live", domain="a", pool="p", region="north"):
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


def make_report(name, sequence, incarnation="i1", state="live"):
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


def send_heartbeats(membership, name, until_s, *, since_s=0.0, **fields):
    """Send heartbeats and return the time of the last one."""
    now_s, sequence = since_s, round(since_s / HEARTBEAT_S) + 1
    while now_s <= until_s:
        membership.observe_report(now_s, make_report(name, sequence, **fields))
        now_s, sequence = now_s + HEARTBEAT_S, sequence + 1
    return now_s - HEARTBEAT_S


def announce_leaving(membership, name, incarnation="i1", now_s=0.0):
    leaving = Leaving(endpoint=name, incarnation=incarnation, reason="shutdown")
    membership.observe_leaving(now_s, leaving)


def test_listed_endpoint_is_usable_only_after_it_reports(membership):
    assert membership.list_usable(0.0, "p") == []
    send_heartbeats(membership, "e1", 0.0)
    assert membership.list_usable(0.0, "p") == ["e1"]
    assert membership.list_usable(0.0, "other") == []


@pytest.mark.parametrize("state", ["starting", "draining", "changing", "down"])
def test_endpoint_that_is_not_live_is_not_usable(membership, state):
    send_heartbeats(membership, "e1", 0.0, state=state)
    assert membership.list_usable(0.0, "p") == []


def test_crashed_endpoint_is_unusable_within_two_seconds(membership):
    last_s = send_heartbeats(membership, "e1", 5.0)
    assert membership.list_usable(last_s + 1.0, "p") == ["e1"]
    assert membership.list_usable(last_s + 2.0, "p") == []


def test_silent_endpoint_returns_after_consecutive_reports(membership):
    last_s = send_heartbeats(membership, "e1", 5.0)
    return_s = last_s + 10.0
    send_heartbeats(membership, "e1", return_s, since_s=return_s)
    assert membership.list_usable(return_s, "p") == []
    steady_s = send_heartbeats(
        membership, "e1", return_s + 1.0, since_s=return_s + HEARTBEAT_S
    )
    assert membership.list_usable(steady_s, "p") == ["e1"]


def test_pause_of_the_entry_does_not_count_as_silence(membership):
    last_s = send_heartbeats(membership, "e1", 5.0)
    membership.observe_pause(30.0)
    assert membership.list_usable(last_s + 30.0, "p") == ["e1"]
    assert membership.list_usable(last_s + 32.0, "p") == []


def test_response_counts_as_heartbeat_unless_the_endpoint_was_silent(membership):
    last_s = send_heartbeats(membership, "e1", 5.0)
    membership.record_response(last_s + 1.0, "e1")
    assert membership.list_usable(last_s + 2.0, "p") == ["e1"]
    membership.record_response(last_s + 5.0, "e1")
    assert membership.list_usable(last_s + 5.0, "p") == []


def test_leaving_overrides_live_reports_and_list(membership):
    send_heartbeats(membership, "e1", 1.0)
    announce_leaving(membership, "e1", now_s=1.0)
    membership.observe_instances(1.1, [make_instance("e1")])
    send_heartbeats(membership, "e1", 60.0, since_s=1.5)
    assert membership.list_usable(60.0, "p") == []
    membership.observe_report(60.1, make_report("e1", 1, incarnation="i2"))
    membership.observe_report(60.2, make_report("e1", 2, incarnation="i2"))
    assert membership.list_usable(60.2, "p") == ["e1"]


def test_leaving_before_the_first_report_counts(membership):
    announce_leaving(membership, "e1")
    send_heartbeats(membership, "e1", 1.0)
    assert membership.list_usable(1.0, "p") == []


def test_flapping_list_does_not_make_a_leaving_endpoint_usable(membership):
    now_s = 0.0
    for number in range(100):
        state = "leaving" if number % 7 == 0 else "live"
        membership.observe_instances(now_s, [make_instance("e1", state)])
        send_heartbeats(membership, "e1", now_s, since_s=now_s)
        assert membership.list_usable(now_s, "p") == []
        now_s += 1.0
    send_heartbeats(membership, "e1", now_s + LEAVING_HOLD_S, since_s=now_s)
    assert membership.list_usable(now_s + LEAVING_HOLD_S, "p") == ["e1"]


def test_endpoint_missing_from_the_list_stays_usable(membership):
    last_s = send_heartbeats(membership, "e1", REMOVE_AFTER_S * 2)
    membership.observe_instances(last_s, [])
    assert membership.list_usable(last_s, "p") == ["e1"]
    removed = membership.observe_instances(last_s + REMOVE_AFTER_S + 1.0, [])
    assert "e1" in removed
    assert membership.members == {}


def test_reports_of_an_older_incarnation_or_sequence_are_ignored(membership):
    assert membership.observe_report(0.0, make_report("e1", 5))
    assert not membership.observe_report(0.1, make_report("e1", 4))
    assert membership.observe_report(0.2, make_report("e1", 1, incarnation="i2"))
    assert not membership.observe_report(0.3, make_report("e1", 6))


def test_failing_endpoint_is_avoided_while_another_is_usable(membership):
    send_heartbeats(membership, "e1", 0.0)
    send_heartbeats(membership, "e2", 0.0)
    membership.record_failure(0.0, "e1")
    assert membership.list_usable(0.1, "p") == ["e2"]
    membership.record_failure(0.0, "e2")
    assert membership.list_usable(0.1, "p") == ["e1", "e2"]
    membership.record_success("e1")
    assert membership.list_usable(0.1, "p") == ["e1"]


def test_subset_prefers_its_own_failure_domain_and_then_its_region():
    membership = make_membership(subset=6)
    instances = [make_instance(f"a{n}") for n in range(2)]
    instances += [make_instance(f"b{n}", domain="b") for n in range(3)]
    instances += [make_instance(f"s{n}", domain="c", region="south") for n in range(9)]
    membership.observe_instances(0.0, instances)
    subset = membership.choose_subset(0.0)
    assert sorted(subset[:2]) == ["a0", "a1"]
    assert sorted(subset[2:5]) == ["b0", "b1", "b2"]
    assert [name[0] for name in subset[5:]] == ["s"]
    membership.observe_instances(
        0.0, [make_instance("s0", domain="c"), make_instance("b0", domain="b")]
    )
    assert "s0" in membership.choose_subset(0.0)[2:6]


def test_subset_prefers_its_own_failure_domain_and_is_stable():
    membership = make_membership(subset=4)
    instances = [
        make_instance(f"e{n}", domain="a" if n % 2 else "b") for n in range(20)
    ]
    membership.observe_instances(0.0, instances)
    before = membership.choose_subset(0.0)
    assert len(before) == 4
    assert all(membership.members[name].failure_domain == "a" for name in before)
    removed = before[1]
    membership.observe_instances(
        1.0, [instance for instance in instances if instance.name != removed]
    )
    membership.remove_member(membership.members[removed])
    after = membership.choose_subset(1.0)
    assert [name for name in after if name in before] == [
        name for name in before if name != removed
    ]
    assert len(after) == 4


def test_silent_endpoints_are_replaced_in_the_subset():
    membership = make_membership(subset=2)
    membership.observe_instances(0.0, [make_instance(f"e{n}") for n in range(6)])
    first, second = membership.choose_subset(0.0)
    send_heartbeats(membership, first, 0.0)
    send_heartbeats(membership, second, 10.0)
    later = membership.choose_subset(10.0)
    assert later[:2] == [first, second]
    assert len(later) == 3


@pytest.mark.parametrize("seed", range(5))
def test_indexes_match_a_scan_of_all_members(seed):
    rng = random.Random(seed)
    membership = make_membership()
    now_s = 0.0
    for sequence in range(1, 400):
        now_s += rng.uniform(0.0, 0.3) + REMOVE_AFTER_S * (sequence % 100 == 0)
        name = f"e{rng.randrange(12)}"
        instances = [
            make_instance(name, domain=rng.choice("ab"), pool=rng.choice("pq"))
        ]
        membership.observe_instances(now_s, instances if rng.random() < 0.3 else [])
        membership.observe_report(now_s, make_report(name, sequence))
        for pool in "pq":
            members = [
                member for member in membership.members.values() if member.pool == pool
            ]
            live = {
                member.endpoint
                for member in members
                if membership.is_live(now_s, member)
            }
            assert set(membership.list_usable(now_s, pool)) == live
            ranked = sorted(members, key=membership.compute_rank)
            assert membership.rank_members(pool) == ranked

"""Counts of usage, and the reports of several gateways, without a network."""

import itertools
import random

import pytest

from jasminewalk.gateway.duties import (
    SteadyWallClock,
    UsageCounter,
    UsageLedger,
    UsageReports,
)
from jasminewalk.gateway.duties.usage_duty import UsageNews
from jasminewalk.gateway.duties.usage_ledger import WindowCounts
from jasminewalk.platform.duties import encode_usage_report

WINDOW_S = 5.0
LATE_S = 10.0
START_S = 1_000.0


class Time:
    def __init__(self):
        self.now = START_S

    def __call__(self):
        return self.now


class Member:
    """Gateway that counts, and that may report."""

    def __init__(self, time, node, started_ms=1):
        self.node, self.started_ms = node, started_ms
        self.counter = UsageCounter(WINDOW_S, time, time)
        self.ledger = UsageLedger()
        self.reports = UsageReports(self.counter, self.ledger, LATE_S)
        self.reports.start()
        self.news = UsageNews(self.counter)

    def tell(self, others):
        self.news.number += 1
        for other in others:
            other.ledger.apply(
                self.node, self.started_ms, self.news.collect(other.node)
            )


class Log:
    """Records in the order in which they arrived."""

    def __init__(self):
        self.records = []

    def read(self, reports):
        for window, counts in self.records:
            reports.apply_decided(window, counts)


@pytest.fixture
def time():
    return Time()


def find_window(at):
    return int(at // WINDOW_S)


def test_request_counts_in_the_window_in_which_it_began(time):
    counter = UsageCounter(WINDOW_S, time, time)
    began_s = time.now + 4.9
    time.now += 5.2
    counter.record(began_s, "cafe-luna")
    counter.record(time.now, "cafe-luna")
    counter.record(time.now, "")
    first = find_window(START_S)
    assert counter.windows == {first: {"cafe-luna": 1}, first + 1: {"cafe-luna": 1}}


def test_window_is_not_final_while_a_request_may_belong_to_it(time):
    counter = UsageCounter(WINDOW_S, time, time)
    first = find_window(START_S)
    with counter.track(time.now):
        time.now += WINDOW_S + 1.0
        assert not counter.is_final(first)
        time.now += 3.0
        assert counter.is_final(first)
    assert not counter.is_final(first + 1)


def test_nothing_is_counted_where_the_platform_wants_no_reports(time):
    counter = UsageCounter(0.0, time, time)
    counter.record(time.now, "cafe-luna")
    with counter.track(time.now):
        assert not counter.windows


def test_counts_of_lost_late_and_repeated_messages_add_up_to_the_same():
    rng = random.Random(5)
    messages = [
        (node, 1, [WindowCounts(7, count == 20, {"a": count, "b": count // 2})])
        for node, count in itertools.product(("front-1", "front-2"), range(1, 21))
    ]
    for _ in range(20):
        ledger = UsageLedger()
        shuffled = rng.sample(messages, len(messages)) + rng.sample(messages, 10)
        for message in shuffled:
            ledger.apply(*message)
        assert ledger.add_up(7) == {"a": 40, "b": 20}
        assert ledger.is_complete(7, {"front-1": 1, "front-2": 1})
        assert not ledger.is_complete(7, {"front-1": 1, "front-2": 2})


def test_counts_of_a_gateway_that_died_and_of_its_next_start_both_count():
    ledger = UsageLedger()
    ledger.apply("front-1", 1, [WindowCounts(7, False, {"a": 5})])
    ledger.apply("front-1", 2, [WindowCounts(7, True, {"a": 3})])
    assert ledger.add_up(7) == {"a": 8}


def test_window_is_reported_once_all_gateways_have_said_what_they_counted(time):
    members = [Member(time, f"front-{number}") for number in range(3)]
    nodes = {member.node: 1 for member in members}
    for member in members:
        member.counter.record(time.now, "a")
    time.now += WINDOW_S + 0.5
    holder = members[0]
    for member in members[:2]:
        member.tell([holder])
    assert holder.reports.propose(nodes) is None
    members[2].tell([holder])
    proposal = holder.reports.propose(nodes)
    assert proposal.counts == {"a": 3}


def test_window_is_reported_in_time_though_a_gateway_is_silent(time):
    holder = Member(time, "front-1")
    holder.counter.record(time.now, "a")
    time.now += WINDOW_S + 0.5
    holder.tell([holder])
    nodes = {"front-1": 1, "front-2": 1}
    assert holder.reports.propose(nodes) is None
    time.now += LATE_S * 0.5
    holder.tell([holder])
    assert holder.reports.propose(nodes).counts == {"a": 1}


def test_proposal_does_not_change_while_it_may_still_arrive(time):
    holder = Member(time, "front-1")
    holder.counter.record(time.now, "a")
    time.now += WINDOW_S + 0.5
    holder.tell([holder])
    nodes = {"front-1": 1}
    first = holder.reports.propose(nodes)
    holder.ledger.apply("front-2", 1, [WindowCounts(first.window, True, {"a": 9})])
    assert holder.reports.propose(nodes) == first


def test_first_record_of_a_window_holds_for_all_holders(time):
    log = Log()
    members = [Member(time, f"front-{number}") for number in range(2)]
    for number, member in enumerate(members):
        for _ in range(number + 1):
            member.counter.record(time.now, "a")
    time.now += WINDOW_S + 0.5
    proposals = []
    for member in members:
        member.tell([member])
        proposal = member.reports.propose({member.node: 1})
        proposals.append(proposal)
        log.records.append((proposal.window, proposal.counts))
    assert proposals[0] != proposals[1]
    for member in members:
        log.read(member.reports)
        assert member.reports.list_unsent() == [proposals[0]]
    members[0].reports.record_acknowledged(proposals[0].window)
    assert not members[0].reports.list_unsent()


def test_holder_after_the_death_of_all_goes_on_behind_the_last_report(time):
    former = Member(time, "front-1")
    log = Log()
    former.counter.record(time.now, "a")
    time.now += WINDOW_S + 0.5
    former.tell([former])
    proposal = former.reports.propose({"front-1": 1})
    log.records.append((proposal.window, proposal.counts))
    former.counter.record(time.now, "a")
    former.tell([former])
    rows = former.ledger.list_rows([proposal.window + 1])
    time.now += WINDOW_S + 1.0
    later = Member(time, "front-1", started_ms=2)
    log.read(later.reports)
    for row in rows:
        later.ledger.apply(*row)
    later.tell([later])
    assert [later.reports.list_unsent()[0]] == [proposal]
    time.now += LATE_S * 0.5
    following = later.reports.propose({"front-1": 2})
    assert following.window == proposal.window + 1
    assert following.counts == {"a": 1}


def test_window_that_a_lost_record_may_have_decided_is_not_reported_again(time):
    member = Member(time, "front-1")
    member.counter.record(time.now, "a")
    time.now += WINDOW_S + 0.5
    member.tell([member])
    assert member.reports.propose({"front-1": 1}) is not None
    member.reports.distrust_log()
    assert member.reports.propose({"front-1": 1}) is None
    member.counter.record(time.now, "a")
    time.now += WINDOW_S
    member.tell([member])
    member.tell([member])
    proposal = member.reports.propose({"front-1": 1})
    assert proposal.window == find_window(START_S) + 1


@pytest.mark.parametrize("seed", range(20))
def test_no_two_reports_of_a_window_differ_whoever_reports(time, seed):
    """Holders change, die, freeze with a call on its way, and read the log late."""
    rng = random.Random(seed)
    log, reported = Log(), {}
    members = [Member(time, f"front-{number}") for number in range(4)]
    arriving = []
    for step in range(900):
        time.now += 0.1
        for member in members:
            if rng.random() < 0.3:
                member.counter.record(time.now, "a")
        if step % 5 == 0:
            for member in members:
                listeners = [m for m in members if rng.random() < 0.8 or m is member]
                member.tell(listeners)
        if rng.random() < 0.01:
            number = rng.randrange(len(members))
            former = members[number]
            members[number] = Member(time, former.node, former.started_ms + 1)
        holder = rng.choice(members) if rng.random() < 0.02 else members[step // 225]
        proposal = holder.reports.propose(
            {member.node: member.started_ms for member in members}
        )
        if proposal is not None:
            delay = rng.choice([0, 0, 1, 20])
            arriving.append((step + delay, proposal))
        for due, record in list(arriving):
            if due <= step:
                arriving.remove((due, record))
                log.records.append((record.window, record.counts))
        log.read(holder.reports)
        for sent in holder.reports.list_unsent():
            if rng.random() < 0.7:
                assert reported.setdefault(sent.window, sent.counts) == sent.counts
                holder.reports.record_acknowledged(sent.window)
    first, last = find_window(START_S) + 1, find_window(time.now) - 3
    assert set(range(first, last)) <= reported.keys()


def test_short_jumps_of_the_time_of_day_move_no_window():
    boot, wall = Time(), Time()
    clock = SteadyWallClock(boot, wall)
    for _ in range(30):
        clock()
        boot.now += 1.0
        wall.now += 1.0
    for jump_s in (7.0, -9.0):
        wall.now += jump_s
        for _ in range(8):
            boot.now += 1.0
            wall.now += 1.0
            assert clock() == pytest.approx(boot.now)
        wall.now -= jump_s


def test_report_names_its_window_holder_and_fence():
    request = encode_usage_report("10.0.0.9:80", "front-1", 12, 7, {"b": 2, "a": 1})
    head, _, body = request.partition(b"\r\n\r\n")
    assert head.startswith(b"POST /usage HTTP/1.1\r\n")
    assert b"x-jasminewalk-duty-holder: front-1\r\n" in head
    assert b"x-jasminewalk-fence-token: 12\r\n" in head
    assert body == b'{"window_index":7,"counts":{"a":1,"b":2}}'

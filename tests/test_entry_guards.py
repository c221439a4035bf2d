"""Each guard of the entry, taken away, breaks the promise that it is there for."""

import attrs
import pytest

from entry_bench import TOKENS, fail_first, open_bench
from jasminewalk.exceptions import RefusedError
from jasminewalk.ingress.jobs import GenerationJob
from jasminewalk.scheduling import membership as membership_module
from jasminewalk.scheduling.attempts import RequestStateMachine, ResponseAssembler
from jasminewalk.scheduling.membership import Membership
from jasminewalk.transport.network import ReadWatch
from test_attempts import (
    FakeEndpointSelector,
    encode_lines,
    make_profile,
    make_refusal_body,
)
from test_membership import (
    announce_leaving,
    make_instance,
    make_membership,
    send_heartbeats,
)

pytestmark = pytest.mark.anyio

SHORT_S = 1.5


@pytest.fixture
async def bench():
    async with open_bench() as made:
        yield made


def duplicates_are_dropped():
    assembler = ResponseAssembler()
    assembler.start_attempt(1)
    return assembler.feed_lines(1, encode_lines(0, 2) * 2) == ["a", "bc"]


def late_attempts_are_dropped():
    assembler = ResponseAssembler()
    assembler.start_attempt(1)
    assembler.start_attempt(2)
    return assembler.feed_lines(1, encode_lines(0, 2)) == []


def gaps_are_found():
    assembler = ResponseAssembler()
    assembler.start_attempt(1)
    assembler.feed_lines(1, encode_lines(0, 1) + encode_lines(2, 3, "stop"))
    return not assembler.finish_reason


def not_run_is_true():
    machine = RequestStateMachine(
        profile=make_profile(), endpoints=FakeEndpointSelector()
    )
    first = machine.start_attempt(0.0)
    machine.handle_failure(0.1, first.route.endpoint, may_have_run=True)
    return (
        machine.handle_refusal(0.2, "e2", make_refusal_body()).refusal.ran != "not_run"
    )


def leaving_endpoint_gets_no_work():
    membership = make_membership()
    membership.observe_instances(0.0, [make_instance("e1")])
    send_heartbeats(membership, "e1", 1.0)
    announce_leaving(membership, "e1")
    return membership.list_usable(1.0, "p") == []


def flapping_list_brings_no_work():
    membership = make_membership()
    membership.observe_instances(0.0, [make_instance("e1", "leaving")])
    membership.observe_instances(1.0, [make_instance("e1")])
    send_heartbeats(membership, "e1", 1.0)
    return membership.list_usable(1.0, "p") == []


def crashed_endpoint_is_left():
    membership = make_membership()
    membership.observe_instances(0.0, [make_instance("e1")])
    last_s = send_heartbeats(membership, "e1", 1.0)
    return membership.list_usable(last_s + 2.0, "p") == []


def take_all(assembler, frames):
    texts = [frame.t for frame in frames if frame.n >= 0]
    assembler.finish_reason = frames[-1].end
    return texts


def take_any_attempt(assembler, attempt, data):
    return TAKE_LINES(assembler, assembler.attempt, data)


TAKE_LINES = ResponseAssembler.feed_lines


@pytest.mark.parametrize(
    ("promise", "owner", "guard", "without"),
    [
        (duplicates_are_dropped, ResponseAssembler, "process_frames", take_all),
        (gaps_are_found, ResponseAssembler, "process_frames", take_all),
        (late_attempts_are_dropped, ResponseAssembler, "feed_lines", take_any_attempt),
        (not_run_is_true, RequestStateMachine, "update_known_ran", lambda *args: None),
        (leaving_endpoint_gets_no_work, Membership, "is_leaving", lambda *args: False),
        (flapping_list_brings_no_work, membership_module, "LEAVING_HOLD_S", 0.0),
        (crashed_endpoint_is_left, Membership, "suspect_s", property(lambda s: 9e9)),
    ],
)
def test_promise_holds_with_its_guard_only(monkeypatch, promise, owner, guard, without):
    assert promise()
    if isinstance(without, property):
        without = without.setter(lambda self, value: None)
        monkeypatch.setattr(owner, guard, without, raising=False)
    else:
        monkeypatch.setattr(owner, guard, without)
    assert not promise()


async def test_crossed_answer_reaches_the_caller_without_its_guard(bench, monkeypatch):
    monkeypatch.setattr("jasminewalk.ingress._run.Run.check_own", lambda *args: None)
    fail_first(bench, attempt_header=b"r0/1")
    await bench.generate()
    assert bench.outcomes == ["ok"]


async def test_silent_connection_holds_the_answer_without_its_guard(bench, monkeypatch):
    monkeypatch.setattr(ReadWatch, "expired", lambda *args: [])
    fail_first(bench, silent_after=2)
    profile = bench.profile()
    profile = attrs.evolve(profile, deadline_s=profile.arrived_s + SHORT_S)
    with pytest.raises(RefusedError):
        await bench.dispatcher.generate(
            GenerationJob(profile=profile, prompt="hi"), bench.sink
        )
    assert bench.sink.texts == TOKENS[:2]

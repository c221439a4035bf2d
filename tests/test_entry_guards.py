"""Each guard of the entry, taken away, breaks the promise that it is there for."""

import attrs
import pytest

from entry_bench import TOKENS, fail_first, open_bench
from jasminewalk.exceptions import RefusedError
from jasminewalk.ingress.jobs import GenerationJob
from jasminewalk.scheduling import membership as membership_module
from jasminewalk.scheduling.attempts import AnswerAssembler, RequestMachine
from jasminewalk.scheduling.membership import Membership
from jasminewalk.transport.network import ReadWatch
from test_attempts import FakeEndpoints, lines, make_profile, refusal
from test_membership import beat, leave, make_membership, row

pytestmark = pytest.mark.anyio

SHORT_S = 1.5


@pytest.fixture
async def bench():
    async with open_bench() as made:
        yield made


def duplicates_are_dropped():
    assembler = AnswerAssembler()
    assembler.start_attempt(1)
    return assembler.take_lines(1, lines(0, 2) * 2) == ["a", "bc"]


def late_attempts_are_dropped():
    assembler = AnswerAssembler()
    assembler.start_attempt(1)
    assembler.start_attempt(2)
    return assembler.take_lines(1, lines(0, 2)) == []


def gaps_are_found():
    assembler = AnswerAssembler()
    assembler.start_attempt(1)
    assembler.take_lines(1, lines(0, 1) + lines(2, 3, "stop"))
    return not assembler.end


def not_run_is_true():
    machine = RequestMachine(profile=make_profile(), endpoints=FakeEndpoints())
    first = machine.start(0.0)
    machine.broke(0.1, first.route.endpoint, may_have_run=True)
    return machine.refused(0.2, "e2", refusal()).refusal.ran != "not_run"


def leaving_endpoint_gets_no_work():
    membership = make_membership()
    membership.observe_instances(0.0, [row("e1")])
    beat(membership, "e1", 1.0)
    leave(membership, "e1")
    return membership.usable(1.0, "p") == []


def flapping_list_brings_no_work():
    membership = make_membership()
    membership.observe_instances(0.0, [row("e1", "leaving")])
    membership.observe_instances(1.0, [row("e1")])
    beat(membership, "e1", 1.0)
    return membership.usable(1.0, "p") == []


def crashed_endpoint_is_left():
    membership = make_membership()
    membership.observe_instances(0.0, [row("e1")])
    last_s = beat(membership, "e1", 1.0)
    return membership.usable(last_s + 2.0, "p") == []


def take_all(assembler, frames):
    texts = [frame.t for frame in frames if frame.n >= 0]
    assembler.end = frames[-1].end
    return texts


def take_any_attempt(assembler, attempt, data):
    return TAKE_LINES(assembler, assembler.attempt, data)


TAKE_LINES = AnswerAssembler.take_lines


@pytest.mark.parametrize(
    ("promise", "owner", "guard", "without"),
    [
        (duplicates_are_dropped, AnswerAssembler, "take_frames", take_all),
        (gaps_are_found, AnswerAssembler, "take_frames", take_all),
        (late_attempts_are_dropped, AnswerAssembler, "take_lines", take_any_attempt),
        (not_run_is_true, RequestMachine, "raise_ran", lambda *args: None),
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
    monkeypatch.setattr(
        "jasminewalk.ingress._run.RequestRun.check_attempt_header", lambda *args: None
    )
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

"""Tests that each safeguard of an entry is needed.

Each test replaces one safeguard and checks that its guarantee no longer holds.
"""

import attrs
import pytest

from dispatch_harness import TOKENS, inject_faults_into_first, open_harness
from jasminewalk.exceptions import RefusedError
from jasminewalk.ingress.jobs import GenerationJob
from jasminewalk.scheduling import membership as membership_module
from jasminewalk.scheduling.attempts import RequestStateMachine, ResponseAssembler
from jasminewalk.scheduling.membership import Membership
from jasminewalk.transport.network import ReadTimeoutMonitor
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

DEADLINE_S = 1.5


@pytest.fixture
async def harness():
    async with open_harness() as harness:
        yield harness


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


def request_that_may_have_run_is_not_reported_as_not_run():
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


def endpoint_listed_again_gets_no_work():
    membership = make_membership()
    membership.observe_instances(0.0, [make_instance("e1", "leaving")])
    membership.observe_instances(1.0, [make_instance("e1")])
    send_heartbeats(membership, "e1", 1.0)
    return membership.list_usable(1.0, "p") == []


def crashed_endpoint_gets_no_work():
    membership = make_membership()
    membership.observe_instances(0.0, [make_instance("e1")])
    last_s = send_heartbeats(membership, "e1", 1.0)
    return membership.list_usable(last_s + 2.0, "p") == []


def accept_all_frames(assembler, frames):
    texts = [frame.t for frame in frames if frame.n >= 0]
    assembler.finish_reason = frames[-1].end
    return texts


def accept_any_attempt(assembler, attempt, data):
    return ORIGINAL_FEED_LINES(assembler, assembler.attempt, data)


ORIGINAL_FEED_LINES = ResponseAssembler.feed_lines


@pytest.mark.parametrize(
    ("guarantee", "owner", "safeguard", "replacement"),
    [
        (
            duplicates_are_dropped,
            ResponseAssembler,
            "process_frames",
            accept_all_frames,
        ),
        (gaps_are_found, ResponseAssembler, "process_frames", accept_all_frames),
        (
            late_attempts_are_dropped,
            ResponseAssembler,
            "feed_lines",
            accept_any_attempt,
        ),
        (
            request_that_may_have_run_is_not_reported_as_not_run,
            RequestStateMachine,
            "update_known_ran",
            lambda *args: None,
        ),
        (leaving_endpoint_gets_no_work, Membership, "is_leaving", lambda *args: False),
        (endpoint_listed_again_gets_no_work, membership_module, "LEAVING_HOLD_S", 0.0),
        (
            crashed_endpoint_gets_no_work,
            Membership,
            "suspect_s",
            property(lambda self: 9e9),
        ),
    ],
)
def test_guarantee_fails_without_its_safeguard(
    monkeypatch, guarantee, owner, safeguard, replacement
):
    assert guarantee()
    if isinstance(replacement, property):
        replacement = replacement.setter(lambda self, value: None)
        monkeypatch.setattr(owner, safeguard, replacement, raising=False)
    else:
        monkeypatch.setattr(owner, safeguard, replacement)
    assert not guarantee()


async def test_response_to_another_request_is_accepted_without_its_check(
    harness, monkeypatch
):
    monkeypatch.setattr(
        "jasminewalk.ingress._run.RequestRun.check_attempt_header", lambda *args: None
    )
    inject_faults_into_first(harness, attempt_header=b"r0/1")
    await harness.generate()
    assert harness.outcomes == ["ok"]


async def test_silent_connection_blocks_the_response_without_the_read_timeout(
    harness, monkeypatch
):
    monkeypatch.setattr(ReadTimeoutMonitor, "find_expired", lambda *args: [])
    inject_faults_into_first(harness, stall_at_token=2)
    profile = harness.make_profile()
    profile = attrs.evolve(profile, deadline_s=profile.arrived_s + DEADLINE_S)
    with pytest.raises(RefusedError):
        await harness.dispatcher.generate(
            GenerationJob(profile=profile, prompt="hi"), harness.sink
        )
    assert harness.sink.texts == TOKENS[:2]

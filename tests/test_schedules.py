"""Promises under random schedules, and what breaks without each guard."""

import attrs
import pytest
from hypothesis import given, settings, strategies as st

from jasminewalk.agreement._fold_claims import ClaimTable
from jasminewalk.agreement._fold_grants import EndpointTable
from jasminewalk.agreement._fold_subjects import SubjectTable
from jasminewalk.agreement.at_most_once import ClaimController, RunRequest
from jasminewalk.agreement.authority import OrderController
from jasminewalk.agreement.fold import LogFold
from observers import ViolationError
from scenario import Scenario

MAX_SCHEDULES = 20
MANY_ORDERS = {"ask_period_s": 5.0, "want_period_s": 0.3}


@settings(derandomize=True, deadline=None, max_examples=12)
@given(
    seed=st.integers(min_value=0, max_value=10**6),
    fault_period_s=st.sampled_from([0.5, 1.5, 5.0]),
)
def test_promises_hold_and_the_fleet_repairs_itself(seed, fault_period_s):
    Scenario(seed, fault_period_s).run()


def run_after_give_up(self, now_s, claim):
    return [RunRequest(request_id=claim.request_id)]


def free_superseded(self, endpoint, incarnation):
    for key in list(self.open_by_endpoint.get(endpoint, ())):
        self.put(attrs.evolve(self.claim_by_key[key], outcome="not_run"))
    return []


def accept_any_base(self, offset, record):
    current = self.entry_by_subject.get(record.subject)
    base = current.revision if current else 0
    return apply_subject(self, offset, attrs.evolve(record, base_revision=base))


def skip_gap(self, first):
    self.next_offset = max(self.next_offset, first)


def send_unwatched(self, now_s, change):
    actions = send(self, now_s, change)
    change.unanswered = 0
    return actions


apply_subject = SubjectTable.apply
send = OrderController.send

GUARDS = {
    "first claim wins": (ClaimTable, "find_rejection", lambda *args: None, "ran twice"),
    "given up is final": (
        ClaimController,
        "withdraw",
        run_after_give_up,
        "ran after not_run",
    ),
    "superseded is unknown": (
        ClaimTable,
        "end_superseded_claims",
        free_superseded,
        "ran twice",
    ),
    "order is not under way": (OrderController, "send", send_unwatched, "order"),
    "minimum of a role": (
        EndpointTable,
        "keeps_minimum",
        lambda *args: True,
        "below its minimum",
    ),
    "compare-and-set": (
        SubjectTable,
        "apply",
        accept_any_base,
        "accepted change was lost",
    ),
    "ready after the tail": (
        LogFold,
        "ready",
        property(lambda self: True),
        "forgot|went back",
    ),
    "gap is noticed": (
        LogFold,
        "observe_first_retained",
        skip_gap,
        "ran twice|disagree|forgot|back",
    ),
}


def first_violation(**work):
    for seed in range(MAX_SCHEDULES):
        try:
            Scenario(seed, fault_period_s=0.5, **work).run()
        except ViolationError as violation:
            return str(violation)
    return "none"


@pytest.mark.parametrize("guard", GUARDS)
def test_without_guard_a_promise_breaks(guard, monkeypatch):
    owner, name, replacement, broken = GUARDS[guard]
    monkeypatch.setattr(owner, name, replacement)
    work = MANY_ORDERS if owner is OrderController else {}
    violation = first_violation(**work)
    assert any(text in violation for text in broken.split("|")), violation

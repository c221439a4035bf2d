"""Check invariants under random schedules, with and without each guard."""

import attrs
import pytest
from hypothesis import given, settings, strategies as st

from jasminewalk.agreement._fold_claims import ClaimTable
from jasminewalk.agreement._fold_grants import EndpointTable
from jasminewalk.agreement._fold_subjects import SubjectTable
from jasminewalk.agreement.at_most_once import ClaimController, RunRequest
from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.order_controller import OrderController
from observers import InvariantViolationError
from scenario import Scenario

MAX_SCHEDULES = 20
MANY_ORDERS_LOAD = {"request_period_s": 5.0, "wanted_state_period_s": 0.3}


@settings(derandomize=True, deadline=None, max_examples=12)
@given(
    seed=st.integers(min_value=0, max_value=10**6),
    fault_period_s=st.sampled_from([0.5, 1.5, 5.0]),
)
def test_invariants_hold_and_fleet_recovers(seed, fault_period_s):
    Scenario(seed, fault_period_s).run()


def run_withdrawn_request(self, now_s, claim):
    return [RunRequest(request_id=claim.request_id)]


def release_superseded_claims(self, endpoint, incarnation):
    for key in list(self.open_by_endpoint.get(endpoint, ())):
        self.put(attrs.evolve(self.claim_by_key[key], outcome="not_run"))
    return []


def accept_any_base(self, offset, record):
    current = self.entry_by_subject.get(record.subject)
    base = current.revision if current else 0
    return apply_configuration(self, offset, attrs.evolve(record, base_revision=base))


def skip_gap(self, first):
    self.next_offset = max(self.next_offset, first)


def send_without_tracking(self, now_s, change):
    actions = send_order(self, now_s, change)
    change.unanswered_orders = 0
    return actions


apply_configuration = SubjectTable.apply
send_order = OrderController.send_order

GUARDS = {
    "first claim wins": (ClaimTable, "find_rejection", lambda *args: None, "ran twice"),
    "withdrawn request never runs": (
        ClaimController,
        "withdraw_claim",
        run_withdrawn_request,
        "ran after not_run",
    ),
    "superseded claim ends as unknown": (
        ClaimTable,
        "end_superseded_claims",
        release_superseded_claims,
        "ran twice",
    ),
    "no new order while one is unanswered": (
        OrderController,
        "send_order",
        send_without_tracking,
        "order",
    ),
    "pool keeps its minimum": (
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
    "ready only after the tail": (
        LogFold,
        "is_ready",
        property(lambda self: True),
        "lost the configuration|went back",
    ),
    "dropped records are detected": (
        LogFold,
        "observe_first_retained",
        skip_gap,
        "ran twice|disagree|lost the configuration|back",
    ),
}


def find_first_violation(**load):
    for seed in range(MAX_SCHEDULES):
        try:
            Scenario(seed, fault_period_s=0.5, **load).run()
        except InvariantViolationError as violation:
            return str(violation)
    return "none"


@pytest.mark.parametrize("guard", GUARDS)
def test_removing_a_guard_violates_an_invariant(guard, monkeypatch):
    owner, name, replacement, pattern = GUARDS[guard]
    monkeypatch.setattr(owner, name, replacement)
    load = MANY_ORDERS_LOAD if owner is OrderController else {}
    violation = find_first_violation(**load)
    assert any(message in violation for message in pattern.split("|")), violation

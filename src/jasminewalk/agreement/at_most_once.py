"""Controller that runs each request with an idempotency key at most once."""

import random
from typing import Any, Literal

from jasminewalk.agreement._claim_rules import ClaimRules
from jasminewalk.agreement._claim_state import (
    ClaimBatches,
    ClaimRequest,
    KeyTable,
    build_refusal,
    refuse_request,
)
from jasminewalk.agreement.claim_actions import (
    ClaimAction,
    ClaimSettings,
    RefuseRequest,
    ReplyToRequest,
    RunRequest,
)
from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.fold_events import (
    ClaimAccepted,
    ClaimEnded,
    ClaimRejected,
    FoldEvent,
    StateReplaced,
)
from jasminewalk.generated_codes import Code
from jasminewalk.generated_records import ClaimEntry, ClaimOutcome
from jasminewalk.types import Refusal

__all__ = [
    "ClaimAction",
    "ClaimController",
    "ClaimSettings",
    "RefuseRequest",
    "ReplyToRequest",
    "RunRequest",
]

Outcome = Literal["ran", "not_run", "unknown"]


class ClaimController:
    """Decides for the sidecar of a service which requests run.

    A request runs only after its claim was read back from the log as the first one
    for its key. If a claim reaches the log after it was given up, it is ended with
    the outcome ``not_run``.

    The methods perform no I/O: they return the actions to carry out.

    :param settings: settings of the claims.
    :param fold: shared state, derived from the log.
    :param rng: random source for identifiers.
    """

    def __init__(
        self, settings: ClaimSettings, fold: LogFold, rng: random.Random
    ) -> None:
        self.settings = settings
        self.fold = fold
        self.rng = rng
        self.log_available = True
        self.draining = False
        self.rules = ClaimRules(settings, fold)
        self.keys = KeyTable(fold)
        self.key_by_request: dict[str, str] = {}
        self.batches = ClaimBatches(settings, rng)

    @property
    def is_idle(self) -> bool:
        """Whether no request is waiting or running and all outcomes are on the log."""
        return self.keys.is_empty and not self.batches.outcomes.items

    def handle_request(
        self,
        now_s: float,
        *,
        request_id: str,
        key: str,
        fingerprint: str,
        deadline_s: float,
    ) -> list[ClaimAction]:
        """Accept a request and decide about it.

        :param now_s: current time in seconds.
        :param request_id: identifier of the request and attempt.
        :param key: organisation, service and idempotency key.
        :param fingerprint: hash of the request.
        :param deadline_s: time of the deadline in seconds.
        """
        request = ClaimRequest(
            request_id=request_id,
            key=key,
            fingerprint=fingerprint,
            deadline_s=deadline_s,
            give_up_s=min(deadline_s, now_s + self.settings.outcome_wait_s),
        )
        self.key_by_request[request_id] = key
        return self.decide(now_s, request)

    def decide(self, now_s: float, request: ClaimRequest) -> list[ClaimAction]:
        """Replay the known outcome, refuse the request, let it wait or claim its key.

        :param now_s: current time in seconds.
        :param request: the request, which has no claim.
        """
        state = self.keys.get(request.key)
        known_reply = self.rules.find_known_reply(request, state)
        if known_reply is not None:
            return self.complete_request(known_reply)
        if self.rules.is_key_claimed(request, state):
            self.keys.get_or_create(request.key).waiting[request.request_id] = request
            return []
        refusal = self.rules.find_refusal(
            now_s, request, self.log_available, self.draining
        )
        if refusal is not None:
            return self.complete_request(refuse_request(request, refusal))
        request.record_id = ""
        request.give_up_s = min(request.deadline_s, now_s + self.settings.claim_wait_s)
        self.keys.get_or_create(request.key).owner = request
        self.batches.claims.add(now_s, request)
        return self.batches.take_due_claims(now_s, self.keys.is_owner)

    def on_event(self, now_s: float, event: FoldEvent) -> list[ClaimAction]:
        """Handle an event of the fold.

        :param now_s: current time in seconds.
        :param event: event of the fold.
        """
        match event:
            case ClaimAccepted():
                return self.handle_claim_accepted(now_s, event.claim)
            case ClaimRejected():
                return self.handle_claim_rejected(now_s, event.record_id, event.key)
            case ClaimEnded():
                return self.handle_claim_ended(now_s, event.claim)
            case StateReplaced():
                return self.handle_state_replaced(now_s)
        return []

    def handle_claim_accepted(
        self, now_s: float, claim: ClaimEntry
    ) -> list[ClaimAction]:
        """Run the request of an accepted claim, or withdraw the claim.

        :param now_s: current time in seconds.
        :param claim: the claim.
        """
        settings = self.settings
        if (claim.endpoint, claim.incarnation) != (
            settings.endpoint,
            settings.incarnation,
        ):
            return []
        state = self.keys.get(claim.key)
        owner = state.owner if state else None
        if owner is None or owner.record_id != claim.record_id:
            return self.withdraw_claim(now_s, claim)
        if owner.running:
            return []
        if now_s < owner.give_up_s:
            owner.running = True
            return [RunRequest(request_id=owner.request_id)]
        return [*self.withdraw_claim(now_s, claim), *self.give_up_claim(now_s, owner)]

    def withdraw_claim(self, now_s: float, claim: ClaimEntry) -> list[ClaimAction]:
        """End a claim of this process with the outcome ``not_run``.

        :param now_s: current time in seconds.
        :param claim: the claim.
        """
        outcome = ClaimOutcome(key=claim.key, claim=claim.claim, outcome="not_run")
        return self.batches.add_outcome(now_s, outcome)

    def handle_claim_rejected(
        self, now_s: float, record_id: str, key: str
    ) -> list[ClaimAction]:
        """Decide again about a request whose claim was rejected.

        :param now_s: current time in seconds.
        :param record_id: identifier of the record that contains the claim.
        :param key: key of the claim.
        """
        state = self.keys.get(key)
        owner = state.owner if state else None
        if state is None or owner is None or owner.running:
            return []
        if owner.record_id != record_id:
            return []
        state.owner = None
        owner.give_up_s = min(owner.deadline_s, now_s + self.settings.outcome_wait_s)
        return self.decide(now_s, owner)

    def handle_claim_ended(self, now_s: float, claim: ClaimEntry) -> list[ClaimAction]:
        """Decide again about the requests that waited for the outcome of a claim.

        :param now_s: current time in seconds.
        :param claim: the claim with its outcome.
        """
        state = self.keys.get(claim.key)
        if state is None:
            return []
        self.keys.discard_recorded_outcome(claim.key, state)
        return self.decide_waiting(now_s, claim.key)

    def decide_waiting(self, now_s: float, key: str) -> list[ClaimAction]:
        """Decide again about the requests that are waiting for a key.

        :param now_s: current time in seconds.
        :param key: the key.
        """
        state = self.keys.get(key)
        if state is None:
            return []
        waiting, state.waiting = state.waiting, {}
        actions: list[ClaimAction] = []
        for request in waiting.values():
            actions.extend(self.decide(now_s, request))
        self.keys.remove_if_unused(key)
        return actions

    def handle_state_replaced(self, now_s: float) -> list[ClaimAction]:
        """Compare all requests with a state rebuilt from a snapshot.

        :param now_s: current time in seconds.
        """
        actions: list[ClaimAction] = []
        for key, state in self.keys.items():
            entry = self.fold.get_claim(key)
            owner = state.owner
            if owner is not None and owner.record_id and entry is not None:
                if entry.record_id == owner.record_id and not entry.outcome:
                    actions.extend(self.handle_claim_accepted(now_s, entry))
                elif not owner.running:
                    actions.extend(
                        self.handle_claim_rejected(now_s, owner.record_id, key)
                    )
            if entry is not None and entry.outcome:
                actions.extend(self.handle_claim_ended(now_s, entry))
        return actions + self.withdraw_orphaned_claims(now_s)

    def withdraw_orphaned_claims(self, now_s: float) -> list[ClaimAction]:
        """End the open claims of this process that belong to none of its requests.

        :param now_s: current time in seconds.
        """
        actions: list[ClaimAction] = []
        for key in list(self.fold.claims.list_open_keys(self.settings.endpoint)):
            entry = self.fold.get_claim(key)
            if self.keys.get(key) or entry is None:
                continue
            if entry.incarnation == self.settings.incarnation:
                actions.extend(self.withdraw_claim(now_s, entry))
        return actions

    def handle_response(
        self,
        now_s: float,
        request_id: str,
        *,
        status: int,
        headers: list[list[str]],
        body: bytes,
    ) -> list[ClaimAction]:
        """Reply with the response of the service and record the outcome.

        :param now_s: current time in seconds.
        :param request_id: identifier of the request that ran.
        :param status: HTTP status.
        :param headers: pairs of name and value.
        :param body: body of the response.
        """
        whole = len(body) <= self.settings.max_body_bytes
        recorded_content = {
            "status": status,
            "headers": headers,
            "body": body if whole else b"",
        }
        reply = ReplyToRequest(
            request_id=request_id,
            status=status,
            headers=headers,
            body=body,
            replayed=False,
        )
        return self.finish_request(
            now_s, request_id, reply, "ran", whole=whole, **recorded_content
        )

    def handle_not_sent(
        self, now_s: float, request_id: str, refusal: Refusal
    ) -> list[ClaimAction]:
        """Refuse a request of which nothing was sent to the service.

        :param now_s: current time in seconds.
        :param request_id: identifier of the request.
        :param refusal: reason for the refusal; its ``ran`` is ``not_run``.
        """
        reply = RefuseRequest(request_id=request_id, refusal=refusal)
        return self.finish_request(now_s, request_id, reply, "not_run")

    def handle_lost_response(self, now_s: float, request_id: str) -> list[ClaimAction]:
        """Refuse a request that was sent to the service but got no response.

        :param now_s: current time in seconds.
        :param request_id: identifier of the request.
        """
        refusal = build_refusal(Code.OUTCOME_UNKNOWN)
        reply = RefuseRequest(request_id=request_id, refusal=refusal)
        return self.finish_request(now_s, request_id, reply, "unknown")

    def finish_request(
        self,
        now_s: float,
        request_id: str,
        reply: ReplyToRequest | RefuseRequest,
        outcome: Outcome,
        **content: Any,
    ) -> list[ClaimAction]:
        """Reply to a request that was handed to the service and record its outcome.

        :param now_s: current time in seconds.
        :param request_id: identifier of the request.
        :param reply: reply to the caller.
        :param outcome: whether the request ran.
        :param content: other fields of the recorded outcome.
        """
        key = self.key_by_request.get(request_id, "")
        state = self.keys.get(key)
        owner = state.owner if state else None
        entry = self.fold.get_claim(key)
        if state is None or owner is None or owner.request_id != request_id:
            return []
        if not owner.running:
            return []
        state.owner = None
        actions = self.complete_request(reply)
        if entry is None or entry.record_id != owner.record_id or entry.outcome:
            return actions + self.decide_waiting(now_s, key)
        record = ClaimOutcome(key=key, claim=entry.claim, outcome=outcome, **content)
        if outcome != "not_run":
            state.outcome = record
            actions += self.decide_waiting(now_s, key)
        return actions + self.batches.add_outcome(now_s, record)

    def cancel(self, now_s: float, request_id: str) -> list[ClaimAction]:
        """Drop a request whose caller has disconnected, unless it is running.

        :param now_s: current time in seconds.
        :param request_id: identifier of the request.
        """
        key = self.key_by_request.get(request_id, "")
        state = self.keys.get(key)
        if state is None:
            return []
        state.waiting.pop(request_id, None)
        owner = state.owner
        if owner is not None and owner.request_id == request_id:
            if owner.running:
                return []
            state.owner = None
        self.key_by_request.pop(request_id, None)
        return self.decide_waiting(now_s, key)

    def tick(self, now_s: float) -> list[ClaimAction]:
        """Append due claims and outcomes, and refuse requests that waited too long.

        :param now_s: current time in seconds.
        """
        actions: list[ClaimAction] = []
        for key, state in self.keys.items():
            self.keys.discard_recorded_outcome(key, state)
            owner = state.owner
            if owner is not None and not owner.running and now_s >= owner.give_up_s:
                actions.extend(self.give_up_claim(now_s, owner))
            for request in list(state.waiting.values()):
                if now_s >= request.give_up_s:
                    del state.waiting[request.request_id]
                    refusal = build_refusal(
                        Code.OUTCOME_UNKNOWN, retry_after_s=self.settings.retry_after_s
                    )
                    actions.extend(
                        self.complete_request(refuse_request(request, refusal))
                    )
        actions.extend(self.batches.take_due_claims(now_s, self.keys.is_owner))
        actions.extend(self.batches.take_due_outcomes(now_s))
        return actions

    def give_up_claim(self, now_s: float, owner: ClaimRequest) -> list[ClaimAction]:
        """Refuse a request whose claim was not read back in time.

        The request can no longer run: if its claim still reaches the log, the claim
        is withdrawn.

        :param now_s: current time in seconds.
        :param owner: the request.
        """
        self.keys.get_or_create(owner.key).owner = None
        is_past_deadline = now_s >= owner.deadline_s
        code = Code.DEADLINE_PASSED if is_past_deadline else Code.LOG_UNAVAILABLE
        refusal = build_refusal(
            code, "not_run", retry_after_s=self.settings.retry_after_s
        )
        actions = self.complete_request(refuse_request(owner, refusal))
        return actions + self.decide_waiting(now_s, owner.key)

    def complete_request(
        self, reply: ReplyToRequest | RefuseRequest
    ) -> list[ClaimAction]:
        """Remove a request and return its reply.

        :param reply: the reply.
        """
        key = self.key_by_request.pop(reply.request_id, "")
        self.keys.remove_if_unused(key)
        return [reply]

    def get_next_wake_s(self) -> float:
        """Return the time at which ``tick`` is next due, in seconds."""
        batches = self.batches
        return min(
            batches.claims.due_s, batches.outcomes.due_s, self.keys.get_next_wake_s()
        )

"""State of the claim controller: requests, keys and batches."""

import random
from collections.abc import Callable

import attrs

from jasminewalk.agreement.claim_actions import (
    ClaimAction,
    ClaimSettings,
    RefuseRequest,
    ReplyToRequest,
)
from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.log_writer import (
    AppendRecord,
    GroupCommit,
    generate_record_id,
)
from jasminewalk.generated_codes import RESULTS, Code, Ran
from jasminewalk.generated_records import (
    Claim,
    ClaimBatchRecord,
    ClaimEntry,
    ClaimOutcome,
    OutcomeBatchRecord,
)
from jasminewalk.types import Refusal

__all__ = [
    "ClaimBatches",
    "ClaimRequest",
    "KeyState",
    "KeyTable",
    "build_refusal",
    "build_replay",
    "refuse_request",
]


@attrs.define(kw_only=True)
class ClaimRequest:
    """Request without a reply so far.

    :param request_id: identifier of the request and attempt.
    :param key: organisation, service and idempotency key.
    :param fingerprint: hash of the request.
    :param deadline_s: time of the deadline in seconds.
    :param give_up_s: time at which the request is refused if it is still undecided,
        in seconds.
    :param record_id: identifier of the record with its claim; empty before the claim
        is appended.
    :param running: whether the request was handed to the service.
    """

    request_id: str
    key: str
    fingerprint: str
    deadline_s: float
    give_up_s: float
    record_id: str = ""
    running: bool = False


@attrs.define
class KeyState:
    """State of a key in this process.

    :param owner: request that is claiming the key or running.
    :param waiting: requests that wait for the outcome of another one, by identifier.
    :param outcome: outcome that has not been read back from the log yet.
    """

    owner: ClaimRequest | None = None
    waiting: dict[str, ClaimRequest] = attrs.field(factory=dict)
    outcome: ClaimOutcome | None = None


class KeyTable:
    """States of the keys that the requests of this process use.

    :param fold: shared state, derived from the log.
    """

    def __init__(self, fold: LogFold) -> None:
        self.fold = fold
        self.state_by_key: dict[str, KeyState] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no request is waiting or running and all outcomes are on the log."""
        return not self.state_by_key

    def get(self, key: str) -> KeyState | None:
        """Return the state of a key, if it has one.

        :param key: the key.
        """
        return self.state_by_key.get(key)

    def items(self) -> list[tuple[str, KeyState]]:
        """Return all keys and their states."""
        return list(self.state_by_key.items())

    def get_or_create(self, key: str) -> KeyState:
        """Return the state of a key, creating it if necessary.

        :param key: the key.
        """
        return self.state_by_key.setdefault(key, KeyState())

    def remove_if_unused(self, key: str) -> None:
        """Remove a key that has no request and no outcome to record.

        :param key: the key.
        """
        state = self.state_by_key.get(key)
        if state is None or state.owner or state.waiting or state.outcome:
            return
        del self.state_by_key[key]

    def discard_recorded_outcome(self, key: str, state: KeyState) -> None:
        """Discard an outcome that is on the log or whose claim no longer exists.

        :param key: the key.
        :param state: state of the key.
        """
        if state.outcome is None:
            return
        entry = self.fold.get_claim(key)
        if entry is None or entry.outcome or entry.claim != state.outcome.claim:
            state.outcome = None
            self.remove_if_unused(key)

    def is_owner(self, request: ClaimRequest) -> bool:
        """Return whether a request is still the owner of its key.

        :param request: the request.
        """
        state = self.state_by_key.get(request.key)
        return state is not None and state.owner is request

    def get_next_wake_s(self) -> float:
        """Return the time at which the next request is given up, in seconds."""
        times_s: list[float] = []
        for state in self.state_by_key.values():
            if state.owner is not None and not state.owner.running:
                times_s.append(state.owner.give_up_s)
            times_s.extend(request.give_up_s for request in state.waiting.values())
        return min(times_s, default=float("inf"))


class ClaimBatches:
    """Collects claims and outcomes and appends several in one record.

    :param settings: settings of the claims.
    :param rng: random source for identifiers.
    """

    def __init__(self, settings: ClaimSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.claims: GroupCommit[ClaimRequest] = GroupCommit(
            settings.batch_s, settings.max_batch, settings.interval_s
        )
        self.outcomes: GroupCommit[ClaimOutcome] = GroupCommit(
            settings.batch_s, settings.max_batch, settings.interval_s
        )

    def take_due_claims(
        self, now_s: float, is_wanted: Callable[[ClaimRequest], bool]
    ) -> list[ClaimAction]:
        """Remove the claims that are due and return the append of their record.

        :param now_s: current time in seconds.
        :param is_wanted: function that returns whether a request still needs its
            claim.
        """
        due = [request for request in self.claims.take(now_s) if is_wanted(request)]
        if not due:
            return []
        record = ClaimBatchRecord(
            record_id=generate_record_id(self.rng, self.settings.incarnation),
            endpoint=self.settings.endpoint,
            incarnation=self.settings.incarnation,
            claims=[
                Claim(
                    key=claim_request.key,
                    fingerprint=claim_request.fingerprint,
                    request_id=claim_request.request_id,
                )
                for claim_request in due
            ],
        )
        for request in due:
            request.record_id = record.record_id
        give_up_s = max(request.give_up_s for request in due)
        return [AppendRecord(record=record, give_up_s=give_up_s)]

    def add_outcome(self, now_s: float, outcome: ClaimOutcome) -> list[ClaimAction]:
        """Add an outcome to the next record.

        :param now_s: current time in seconds.
        :param outcome: the outcome.
        """
        self.outcomes.add(now_s, outcome)
        return self.take_due_outcomes(now_s)

    def take_due_outcomes(self, now_s: float) -> list[ClaimAction]:
        """Remove the outcomes that are due and return the append of their record.

        :param now_s: current time in seconds.
        """
        due = self.outcomes.take(now_s)
        if not due:
            return []
        record = OutcomeBatchRecord(
            record_id=generate_record_id(self.rng, self.settings.incarnation),
            endpoint=self.settings.endpoint,
            incarnation=self.settings.incarnation,
            outcomes=due,
        )
        return [AppendRecord(record=record)]


def build_refusal(
    code: Code, ran: Ran | None = None, retry_after_s: float = 0.0
) -> Refusal:
    """Build a refusal with the message of its result code.

    :param code: result code.
    :param ran: whether the request ran; the value of the code by default.
    :param retry_after_s: seconds after which the caller may retry.
    """
    result = RESULTS[code]
    return Refusal(code, result.message, retry_after_s, ran or result.ran)


def refuse_request(request: ClaimRequest, refusal: Refusal) -> RefuseRequest:
    """Return the action that refuses a request.

    :param request: the request.
    :param refusal: reason for the refusal.
    """
    return RefuseRequest(request_id=request.request_id, refusal=refusal)


def build_replay(
    request: ClaimRequest, ended: ClaimEntry | ClaimOutcome
) -> ReplyToRequest | RefuseRequest | None:
    """Build the reply to a duplicate of an earlier request.

    Return None if the earlier request did not run or has no outcome yet.

    :param request: the duplicate.
    :param ended: claim or outcome of the earlier request.
    """
    if ended.outcome == "unknown":
        return refuse_request(request, build_refusal(Code.OUTCOME_UNKNOWN))
    if ended.outcome != "ran":
        return None
    if not ended.whole:
        return refuse_request(request, build_refusal(Code.OUTCOME_UNKNOWN, "ran"))
    return ReplyToRequest(
        request_id=request.request_id,
        status=ended.status,
        headers=ended.headers,
        body=ended.body,
        replayed=True,
    )

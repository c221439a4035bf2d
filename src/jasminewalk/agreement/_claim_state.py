"""Requests, keys and batches that the at-most-once controller keeps."""

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
    "refuse_request",
    "build_replay",
]


@attrs.define(kw_only=True)
class ClaimRequest:
    """A request that was not answered yet.

    :param request_id: identifier of the request, its attempt included.
    :param key: organisation, service and idempotency key.
    :param fingerprint: hash of the request.
    :param deadline_s: instant of the deadline in seconds.
    :param give_up_s: instant at which it is refused if nothing is decided.
    :param record_id: identifier of the record with its claim, once there is one.
    :param running: whether it was handed to the service.
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
    """What one process knows of a key.

    :param owner: the request that claims the key or runs.
    :param waiting: requests that wait for another one's outcome, by identifier.
    :param outcome: outcome that is not on the log yet.
    """

    owner: ClaimRequest | None = None
    waiting: dict[str, ClaimRequest] = attrs.field(factory=dict)
    outcome: ClaimOutcome | None = None


class KeyTable:
    """What one process knows of each key that its requests are about.

    :param fold: state of the log.
    """

    def __init__(self, fold: LogFold) -> None:
        self.fold = fold
        self.state_by_key: dict[str, KeyState] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no request waits or runs and every outcome is on the log."""
        return not self.state_by_key

    def get(self, key: str) -> KeyState | None:
        """Return what is known of a key, if anything.

        :param key: the key.
        """
        return self.state_by_key.get(key)

    def items(self) -> list[tuple[str, KeyState]]:
        """Return all keys with what is known of them."""
        return list(self.state_by_key.items())

    def get_or_create(self, key: str) -> KeyState:
        """Return what this process knows of a key.

        :param key: the key.
        """
        return self.state_by_key.setdefault(key, KeyState())

    def remove_if_unused(self, key: str) -> None:
        """Forget a key that no request of this process is about.

        :param key: the key.
        """
        state = self.state_by_key.get(key)
        if state is None or state.owner or state.waiting or state.outcome:
            return
        del self.state_by_key[key]

    def discard_recorded_outcome(self, key: str, state: KeyState) -> None:
        """Forget an outcome that the fold has, or has no more use for.

        :param key: the key.
        :param state: what this process knows of it.
        """
        if state.outcome is None:
            return
        entry = self.fold.get_claim(key)
        if entry is None or entry.outcome or entry.claim != state.outcome.claim:
            state.outcome = None
            self.remove_if_unused(key)

    def is_owner(self, request: ClaimRequest) -> bool:
        """Return whether a request still wants the claim of its key.

        :param request: the request.
        """
        state = self.state_by_key.get(request.key)
        return state is not None and state.owner is request

    def get_next_wake_s(self) -> float:
        """Return the instant at which the next request is given up."""
        times_s: list[float] = []
        for state in self.state_by_key.values():
            if state.owner is not None and not state.owner.running:
                times_s.append(state.owner.give_up_s)
            times_s.extend(request.give_up_s for request in state.waiting.values())
        return min(times_s, default=float("inf"))


class ClaimBatches:
    """Collects claims and outcomes into records.

    :param settings: limits of the claims.
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
        """Return the record of the claims that are due.

        :param now_s: current instant in seconds.
        :param is_wanted: returns whether a request still wants its claim.
        """
        due = [request for request in self.claims.take(now_s) if is_wanted(request)]
        if not due:
            return []
        record = ClaimBatchRecord(
            record_id=generate_record_id(self.rng, self.settings.incarnation),
            endpoint=self.settings.endpoint,
            incarnation=self.settings.incarnation,
            claims=[
                Claim(key=r.key, fingerprint=r.fingerprint, request_id=r.request_id)
                for r in due
            ],
        )
        for request in due:
            request.record_id = record.record_id
        give_up_s = max(request.give_up_s for request in due)
        return [AppendRecord(record=record, give_up_s=give_up_s)]

    def add_outcome(self, now_s: float, outcome: ClaimOutcome) -> list[ClaimAction]:
        """Put an outcome into the next record.

        :param now_s: current instant in seconds.
        :param outcome: the outcome.
        """
        self.outcomes.add(now_s, outcome)
        return self.take_due_outcomes(now_s)

    def take_due_outcomes(self, now_s: float) -> list[ClaimAction]:
        """Return the record of the outcomes that are due.

        :param now_s: current instant in seconds.
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
    """Return a refusal with the message of its code.

    :param code: result code.
    :param ran: whether the request ran, if not as the code says.
    :param retry_after_s: seconds after which to come back.
    """
    result = RESULTS[code]
    return Refusal(code, result.message, retry_after_s, ran or result.ran)


def refuse_request(request: ClaimRequest, refusal: Refusal) -> RefuseRequest:
    """Return the action that refuses a request.

    :param request: the request.
    :param refusal: why.
    """
    return RefuseRequest(request_id=request.request_id, refusal=refusal)


def build_replay(
    request: ClaimRequest, ended: ClaimEntry | ClaimOutcome
) -> ReplyToRequest | RefuseRequest | None:
    """Return the answer that an ended claim gives to a duplicate, if it does.

    :param request: the duplicate.
    :param ended: the claim or its outcome.
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

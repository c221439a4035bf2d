"""Decides what becomes of a request from the state of its key."""

from jasminewalk.agreement._claim_state import (
    ClaimRequest,
    KeyState,
    build_refusal,
    build_replay,
    refuse_request,
)
from jasminewalk.agreement.claim_actions import (
    ClaimSettings,
    RefuseRequest,
    ReplyToRequest,
)
from jasminewalk.agreement.fold import LogFold
from jasminewalk.generated_codes import Code
from jasminewalk.types import Refusal

__all__ = ["ClaimRules"]


class ClaimRules:
    """Rules for a request without a claim of its own.

    :param settings: limits of the claims.
    :param fold: state of the log.
    """

    def __init__(self, settings: ClaimSettings, fold: LogFold) -> None:
        self.settings = settings
        self.fold = fold

    def find_known_outcome(
        self, request: ClaimRequest, state: KeyState | None
    ) -> ReplyToRequest | RefuseRequest | None:
        """Return the answer that an earlier request decides, if one does.

        :param request: the request.
        :param state: what this process knows of the key.
        """
        entry = self.fold.get_claim(request.key)
        if entry is None:
            if not self.fold.claims.is_expired(request.key):
                return self.refuse_reused_key(request, state)
            return refuse_request(request, build_refusal(Code.KEY_EXPIRED))
        if entry.fingerprint != request.fingerprint:
            return refuse_request(request, build_refusal(Code.KEY_REUSED))
        outcome = state.outcome if state else None
        if outcome is not None and outcome.claim == entry.claim:
            return build_replay(request, outcome)
        return build_replay(request, entry)

    def refuse_reused_key(
        self, request: ClaimRequest, state: KeyState | None
    ) -> RefuseRequest | None:
        """Refuse a request whose key is being claimed for another one.

        :param request: the request.
        :param state: what this process knows of the key.
        """
        owner = state.owner if state else None
        if owner is None or owner.fingerprint == request.fingerprint:
            return None
        return refuse_request(request, build_refusal(Code.KEY_REUSED))

    def is_key_claimed(self, request: ClaimRequest, state: KeyState | None) -> bool:
        """Return whether another request has or may get the claim of the key.

        :param request: the request.
        :param state: what this process knows of the key.
        """
        if state is not None and state.owner not in (None, request):
            return True
        entry = self.fold.get_claim(request.key)
        return entry is not None and not entry.outcome

    def find_refusal(
        self,
        now_s: float,
        request: ClaimRequest,
        log_available: bool,
        draining: bool,
    ) -> Refusal | None:
        """Return why a request cannot be claimed now, or nothing.

        :param now_s: current instant in seconds.
        :param request: the request.
        :param log_available: whether the log answers.
        :param draining: whether the endpoint takes no new work.
        """
        settings = self.settings
        if now_s >= request.deadline_s:
            return build_refusal(Code.DEADLINE_PASSED, "not_run")
        if draining:
            return build_refusal(Code.DRAINING, retry_after_s=settings.retry_after_s)
        if not self.fold.is_registered(settings.endpoint, settings.incarnation):
            return build_refusal(Code.NOT_READY, retry_after_s=settings.retry_after_s)
        if not log_available or not self.fold.ready:
            return build_refusal(
                Code.LOG_UNAVAILABLE, retry_after_s=settings.retry_after_s
            )
        return None

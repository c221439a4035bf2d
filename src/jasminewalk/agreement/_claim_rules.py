"""Rules that decide about a request from the state of its key."""

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
    """Rules for a request that has no claim.

    :param settings: settings of the claims.
    :param fold: shared state, derived from the log.
    """

    def __init__(self, settings: ClaimSettings, fold: LogFold) -> None:
        self.settings = settings
        self.fold = fold

    def find_known_reply(
        self, request: ClaimRequest, state: KeyState | None
    ) -> ReplyToRequest | RefuseRequest | None:
        """Return the reply that an earlier request with the key determines, if any.

        :param request: the request.
        :param state: state of the key in this process, if any.
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
        """Refuse a request if this process is claiming its key for a different one.

        :param request: the request.
        :param state: state of the key in this process, if any.
        """
        owner = state.owner if state else None
        if owner is None or owner.fingerprint == request.fingerprint:
            return None
        return refuse_request(request, build_refusal(Code.KEY_REUSED))

    def is_key_claimed(self, request: ClaimRequest, state: KeyState | None) -> bool:
        """Return whether another request has claimed the key or is claiming it.

        :param request: the request.
        :param state: state of the key in this process, if any.
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
        """Return why the request cannot be claimed now, or None if it can.

        :param now_s: current time in seconds.
        :param request: the request.
        :param log_available: whether the log is available.
        :param draining: whether the endpoint refuses new work.
        """
        settings = self.settings
        if now_s >= request.deadline_s:
            return build_refusal(Code.DEADLINE_PASSED, "not_run")
        if draining:
            return build_refusal(Code.DRAINING, retry_after_s=settings.retry_after_s)
        if not self.fold.is_registered(settings.endpoint, settings.incarnation):
            return build_refusal(Code.NOT_READY, retry_after_s=settings.retry_after_s)
        if not log_available or not self.fold.is_ready:
            return build_refusal(
                Code.LOG_UNAVAILABLE, retry_after_s=settings.retry_after_s
            )
        return None

"""State machine of one request: attempts, retries and resumption."""

import math
from abc import ABC, abstractmethod
from collections.abc import Collection

import attrs

from jasminewalk.generated_codes import RESULTS, Code, Ran
from jasminewalk.generated_requests import RefusalBody
from jasminewalk.scheduling._response_assembler import ResponseAssembler
from jasminewalk.types import Refusal, RequestProfile, Route

__all__ = [
    "ResponseAssembler",
    "EndpointSelector",
    "Finish",
    "GiveUp",
    "RequestStateMachine",
    "Send",
    "Wait",
]

MAX_ATTEMPTS_WITHOUT_PROGRESS = 4
RESUME_WAIT_S = 0.2
DEFAULT_RETRY_AFTER_S = 1.0
RAN_ORDER: dict[Ran, int] = {"not_run": 0, "unknown": 1, "ran": 2}


class EndpointSelector(ABC):
    """Interface through which a request chooses endpoints and spends retries."""

    @abstractmethod
    def choose(
        self,
        now_s: float,
        profile: RequestProfile,
        excluded: Collection[str],
        *,
        retry: bool,
    ) -> Route | Refusal:
        """Choose an endpoint for a request, or refuse the request.

        :param now_s: current time in seconds.
        :param profile: the part of the request that remains to be done.
        :param excluded: endpoints that must not be chosen.
        :param retry: whether the request has been sent before.
        """

    @abstractmethod
    def try_take_retry(self) -> bool:
        """Spend one retry of the budget; return whether one was left."""


@attrs.frozen(kw_only=True)
class Send:
    """Action: send the request to an endpoint.

    :param attempt: number of the attempt, starting at 1.
    :param route: chosen endpoint and the reason.
    :param profile: the request for this attempt.
    :param resume_from: number of output tokens that the caller already has.
    """

    attempt: int
    route: Route
    profile: RequestProfile
    resume_from: int


@attrs.frozen
class Wait:
    """Action: wait before the next attempt.

    :param until_s: time in seconds at which to start the next attempt.
    """

    until_s: float


@attrs.frozen
class Finish:
    """Action: finish the request; the response is complete."""


@attrs.frozen
class GiveUp:
    """Action: report to the caller that the request failed.

    :param refusal: the refusal, which says whether the request ran.
    """

    refusal: Refusal


Action = Send | Wait | Finish | GiveUp


class RequestStateMachine:
    """Decides the next action for one request over all its attempts.

    A request that was refused before it ran is retried on another endpoint within the
    retry budget. A failed attempt is resumed after the tokens that the caller already
    has. Once the caller has a token, the request is resumed until its deadline; after
    several attempts without progress it waits and then tries all endpoints again.

    :param profile: the request as it arrived.
    :param endpoints: chooses endpoints and spends retries.
    """

    def __init__(self, *, profile: RequestProfile, endpoints: EndpointSelector) -> None:
        self.profile = profile
        self.endpoints = endpoints
        self.assembler = ResponseAssembler(profile.max_tokens or math.inf)
        self.attempt = 0
        self.known_ran: Ran = "not_run"
        self.in_flight = False
        self.excluded: set[str] = set()
        self.attempts_without_progress = 0
        self.tokens_at_start = 0
        self.last_refusal: Refusal | None = None

    @property
    def in_progress(self) -> bool:
        """Whether the caller already has a part of the response."""
        return self.assembler.next_token > 0

    @property
    def ran(self) -> Ran:
        """Whether the request ran, as far as is known."""
        if self.in_progress:
            return "ran"
        if self.in_flight and self.known_ran == "not_run":
            return "unknown"
        return self.known_ran

    def start_attempt(self, now_s: float) -> Action:
        """Start the next attempt and return the action to take.

        :param now_s: current time in seconds.
        """
        if now_s >= self.profile.deadline_s:
            return self.give_up_at_deadline()
        profile = self.build_remaining_profile()
        retry = self.attempt > 0
        chosen = self.endpoints.choose(now_s, profile, self.excluded, retry=retry)
        if isinstance(chosen, Refusal):
            return self.handle_no_route(now_s, chosen)
        self.attempt += 1
        self.tokens_at_start = self.assembler.next_token
        self.assembler.start_attempt(self.attempt)
        return Send(
            attempt=self.attempt,
            route=chosen,
            profile=profile,
            resume_from=self.assembler.next_token,
        )

    def build_remaining_profile(self) -> RequestProfile:
        """Build a profile of the part of the request that remains to be done.

        A response that has begun must be completed and not refused by admission, so
        its profile has no deadline.
        """
        tokens_sent = self.assembler.next_token
        if not tokens_sent:
            return self.profile
        return attrs.evolve(
            self.profile,
            prompt_tokens=self.profile.prompt_tokens + tokens_sent,
            expected_tokens=max(1, self.profile.expected_tokens - tokens_sent),
            max_tokens=max(1, self.profile.max_tokens - tokens_sent),
            deadline_s=math.inf,
            first_token_deadline_s=math.inf,
        )

    def handle_no_route(self, now_s: float, refusal: Refusal) -> Action:
        """Return the action to take if no endpoint was chosen.

        :param now_s: current time in seconds.
        :param refusal: the reason.
        """
        if self.in_progress:
            self.excluded.clear()
            return Wait(now_s + RESUME_WAIT_S)
        return self.give_up(self.last_refusal or refusal)

    def mark_sent(self) -> None:
        """Record that the endpoint may have received the current attempt."""
        self.in_flight = True

    def handle_refusal(self, now_s: float, endpoint: str, body: RefusalBody) -> Action:
        """Return the action to take after a sidecar refused the current attempt.

        :param now_s: current time in seconds.
        :param endpoint: endpoint that refused.
        :param body: the refusal.
        """
        self.in_flight = False
        self.last_refusal = Refusal(
            parse_code(body.code), body.message, body.retry_after_s, body.ran
        )
        if body.ran != "not_run":
            self.update_known_ran(body.ran)
            return self.give_up(self.last_refusal)
        # Planned work must not end a request, and each endpoint drains only once.
        draining = self.last_refusal.code == Code.DRAINING
        return self.retry(now_s, endpoint, use_budget=not draining)

    def handle_failure(
        self, now_s: float, endpoint: str, *, may_have_run: bool
    ) -> Action:
        """Return the action to take after the current attempt ended prematurely.

        :param now_s: current time in seconds.
        :param endpoint: endpoint that failed.
        :param may_have_run: whether the endpoint may have received the request.
        """
        self.in_flight = False
        if may_have_run:
            self.update_known_ran("unknown")
        self.last_refusal = None
        return self.retry(now_s, endpoint)

    def handle_stream_end(self, now_s: float, endpoint: str) -> Action:
        """Return the action to take after the stream of the current attempt closed.

        :param now_s: current time in seconds.
        :param endpoint: endpoint that sent the stream.
        """
        if self.assembler.finish_reason:
            self.in_flight = False
            self.update_known_ran("ran")
            return Finish()
        frame = self.assembler.error_frame
        if frame is None:
            return self.handle_failure(now_s, endpoint, may_have_run=True)
        if frame.ran != "not_run":
            return self.handle_failure(now_s, endpoint, may_have_run=True)
        body = RefusalBody(
            code=frame.code,
            name="",
            message="",
            ran="not_run",
            retry_after_s=frame.retry_after_s,
        )
        return self.handle_refusal(now_s, endpoint, body)

    def retry(self, now_s: float, endpoint: str, *, use_budget: bool = True) -> Action:
        """Start the next attempt on another endpoint, or give up.

        :param now_s: current time in seconds.
        :param endpoint: endpoint of the last attempt.
        :param use_budget: whether the attempt takes a retry from the budget.
        """
        self.excluded.add(endpoint)
        if self.assembler.next_token > self.tokens_at_start:
            self.attempts_without_progress = 0
        self.attempts_without_progress += 1
        if now_s >= self.profile.deadline_s:
            return self.give_up_at_deadline()
        if self.in_progress:
            return self.resume(now_s)
        if self.attempts_without_progress >= MAX_ATTEMPTS_WITHOUT_PROGRESS or (
            use_budget and not self.endpoints.try_take_retry()
        ):
            return self.give_up(self.last_refusal or self.build_exhausted_refusal())
        return self.start_attempt(now_s)

    def resume(self, now_s: float) -> Action:
        """Return the action that continues a response which has already begun.

        :param now_s: current time in seconds.
        """
        if self.attempts_without_progress < MAX_ATTEMPTS_WITHOUT_PROGRESS:
            return self.start_attempt(now_s)
        self.attempts_without_progress = 1
        self.excluded.clear()
        return Wait(now_s + RESUME_WAIT_S)

    def update_known_ran(self, ran: Ran) -> None:
        """Record that the request may have run, unless more is already known.

        :param ran: whether the last attempt ran.
        """
        if RAN_ORDER[ran] > RAN_ORDER[self.known_ran]:
            self.known_ran = ran

    def give_up(self, refusal: Refusal) -> GiveUp:
        """Return the final refusal, which states whether any of the attempts ran.

        :param refusal: refusal of the last attempt.
        """
        self.update_known_ran(refusal.ran)
        code = refusal.code
        if self.ran != "not_run" and RESULTS[code].ran == "not_run":
            code = Code.RETRIES_EXHAUSTED
        return GiveUp(attrs.evolve(refusal, code=code, ran=self.ran))

    def give_up_at_deadline(self) -> GiveUp:
        """Return the final refusal for a request whose deadline has passed."""
        return self.give_up(
            Refusal(
                Code.DEADLINE_PASSED,
                RESULTS[Code.DEADLINE_PASSED].message,
                DEFAULT_RETRY_AFTER_S,
                self.ran,
            )
        )

    def build_exhausted_refusal(self) -> Refusal:
        """Build the refusal for a request whose attempts have all failed."""
        return Refusal(
            Code.RETRIES_EXHAUSTED,
            RESULTS[Code.RETRIES_EXHAUSTED].message,
            DEFAULT_RETRY_AFTER_S,
            self.ran,
        )


def parse_code(number: int) -> Code:
    """Return the result code for a number sent by a peer.

    :param number: the number; an unknown one, as sent by a newer version, is mapped to
        ``NO_ENDPOINT``.
    """
    try:
        return Code(number)
    except ValueError:
        return Code.NO_ENDPOINT

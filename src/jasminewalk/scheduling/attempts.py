"""Attempts of one request: what to send next, and which tokens are new."""

import math
from abc import ABC, abstractmethod
from collections.abc import Collection

import attrs

from jasminewalk.generated_codes import RESULTS, Code, Ran
from jasminewalk.generated_requests import RefusalBody
from jasminewalk.scheduling._answer_assembler import AnswerAssembler
from jasminewalk.types import Refusal, RequestProfile, Route

__all__ = [
    "AnswerAssembler",
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
    """What a request machine asks of the policy and the membership."""

    @abstractmethod
    def choose(
        self,
        now_s: float,
        profile: RequestProfile,
        excluded: Collection[str],
        *,
        retry: bool,
    ) -> Route | Refusal:
        """Return where to send a request, or why not to.

        :param now_s: current instant.
        :param profile: the request as it is now.
        :param excluded: endpoints not to choose.
        :param retry: whether the request was sent before.
        """

    @abstractmethod
    def try_take_retry(self) -> bool:
        """Return whether a retry can be afforded, and use it up."""


@attrs.frozen(kw_only=True)
class Send:
    """Action: hand the request to an endpoint.

    :param attempt: number of the attempt from 1.
    :param route: where to and why.
    :param profile: the request as it is for this attempt.
    :param resume_from: output tokens that the caller already has.
    """

    attempt: int
    route: Route
    profile: RequestProfile
    resume_from: int


@attrs.frozen
class Wait:
    """Action: ask again later.

    :param until_s: instant at which to ask again.
    """

    until_s: float


@attrs.frozen
class Finish:
    """Action: the answer is whole."""


@attrs.frozen
class GiveUp:
    """Action: tell the caller that there will be no whole answer.

    :param refusal: why, whether the request ran and when to come back.
    """

    refusal: Refusal


Action = Send | Wait | Finish | GiveUp


class RequestStateMachine:
    """State of one request over all its attempts.

    A refusal that did not run is retried elsewhere within the retry budget. A
    broken attempt is resumed from the tokens that the caller has; once the caller
    has any, only the deadline or a row of attempts without progress ends that.

    :param profile: the request as it arrived.
    :param endpoints: policy and membership.
    """

    def __init__(self, *, profile: RequestProfile, endpoints: EndpointSelector) -> None:
        self.profile = profile
        self.endpoints = endpoints
        self.assembler = AnswerAssembler()
        self.attempt = 0
        self.known_ran: Ran = "not_run"
        self.in_flight = False
        self.excluded: set[str] = set()
        self.attempts_without_progress = 0
        self.tokens_at_start = 0
        self.last_refusal: Refusal | None = None

    @property
    def in_progress(self) -> bool:
        """Whether the caller already has a part of the answer."""
        return self.assembler.next_token > 0

    @property
    def ran(self) -> Ran:
        """Whether the request ran, as far as can be known now."""
        if self.in_progress:
            return "ran"
        if self.in_flight and self.known_ran == "not_run":
            return "unknown"
        return self.known_ran

    def start_attempt(self, now_s: float) -> Action:
        """Return what to do next.

        :param now_s: current instant.
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
        """Return the request without the tokens that the caller already has.

        An answer that has begun is finished whatever it costs, so the policy sees
        no deadline.
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
        """Return what to do when no endpoint was chosen.

        :param now_s: current instant.
        :param refusal: why none was chosen.
        """
        if self.in_progress:
            self.excluded.clear()
            return Wait(now_s + RESUME_WAIT_S)
        return self.give_up(self.last_refusal or refusal)

    def mark_sent(self) -> None:
        """Note that the endpoint may have the current attempt from now on."""
        self.in_flight = True

    def handle_refusal(self, now_s: float, endpoint: str, body: RefusalBody) -> Action:
        """Return what to do after a sidecar refused the current attempt.

        :param now_s: current instant.
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
        return self.retry(now_s, endpoint)

    def handle_failure(
        self, now_s: float, endpoint: str, *, may_have_run: bool
    ) -> Action:
        """Return what to do after the current attempt ended without its end.

        :param now_s: current instant.
        :param endpoint: endpoint that failed.
        :param may_have_run: whether the endpoint may have got the request.
        """
        self.in_flight = False
        if may_have_run:
            self.update_known_ran("unknown")
        self.last_refusal = None
        return self.retry(now_s, endpoint)

    def handle_stream_end(self, now_s: float, endpoint: str) -> Action:
        """Return what to do after a stream of the current attempt closed.

        :param now_s: current instant.
        :param endpoint: endpoint that the stream came from.
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

    def retry(self, now_s: float, endpoint: str) -> Action:
        """Return the next attempt, or give up.

        :param now_s: current instant.
        :param endpoint: endpoint of the last attempt.
        """
        self.excluded.add(endpoint)
        if self.assembler.next_token > self.tokens_at_start:
            self.attempts_without_progress = 0
        self.attempts_without_progress += 1
        if now_s >= self.profile.deadline_s:
            return self.give_up_at_deadline()
        if self.in_progress:
            return self.resume(now_s)
        if (
            self.attempts_without_progress >= MAX_ATTEMPTS_WITHOUT_PROGRESS
            or not self.endpoints.try_take_retry()
        ):
            return self.give_up(self.last_refusal or self.build_exhausted_refusal())
        return self.start_attempt(now_s)

    def resume(self, now_s: float) -> Action:
        """Return how to go on with an answer that the caller has a part of.

        :param now_s: current instant.
        """
        if self.attempts_without_progress < MAX_ATTEMPTS_WITHOUT_PROGRESS:
            return self.start_attempt(now_s)
        self.attempts_without_progress = 1
        self.excluded.clear()
        return Wait(now_s + RESUME_WAIT_S)

    def update_known_ran(self, ran: Ran) -> None:
        """Note that the request may have got further than was known.

        :param ran: how far the last attempt may have got.
        """
        if RAN_ORDER[ran] > RAN_ORDER[self.known_ran]:
            self.known_ran = ran

    def give_up(self, refusal: Refusal) -> GiveUp:
        """Return the final answer, with what is true of all attempts.

        :param refusal: why there is no whole answer.
        """
        self.update_known_ran(refusal.ran)
        code = refusal.code
        if self.ran != "not_run" and RESULTS[code].ran == "not_run":
            code = Code.RETRIES_EXHAUSTED
        return GiveUp(attrs.evolve(refusal, code=code, ran=self.ran))

    def give_up_at_deadline(self) -> GiveUp:
        """Return the final answer for a request that is out of time."""
        return self.give_up(
            Refusal(
                Code.DEADLINE_PASSED,
                RESULTS[Code.DEADLINE_PASSED].message,
                DEFAULT_RETRY_AFTER_S,
                self.ran,
            )
        )

    def build_exhausted_refusal(self) -> Refusal:
        """Return the refusal for a request whose attempts all failed."""
        return Refusal(
            Code.RETRIES_EXHAUSTED,
            RESULTS[Code.RETRIES_EXHAUSTED].message,
            DEFAULT_RETRY_AFTER_S,
            self.ran,
        )


def parse_code(number: int) -> Code:
    """Return the result code with a number that a peer sent.

    :param number: the number; one of a newer version counts as no endpoint.
    """
    try:
        return Code(number)
    except ValueError:
        return Code.NO_ENDPOINT

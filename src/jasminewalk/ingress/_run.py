"""Base class for running one request through one or more attempts."""

from abc import ABC, abstractmethod
from collections.abc import Callable

import anyio
import httpcore
import msgspec
from absl import logging

from jasminewalk.clock import Clock
from jasminewalk.decoding import DECODE_ERRORS
from jasminewalk.exceptions import RefusedError
from jasminewalk.generated_requests import RefusalBody
from jasminewalk.ingress._pool_endpoints import PoolEndpoints
from jasminewalk.ingress.connections import (
    CONNECT_ERRORS,
    TRANSPORT_ERRORS,
    SidecarConnectionPool,
)
from jasminewalk.ingress.jobs import Job
from jasminewalk.ingress.traces import (
    MAX_CANDIDATES,
    AttemptTrace,
    RequestTrace,
    TraceStore,
)
from jasminewalk.metrics import Metrics
from jasminewalk.scheduling.attempts import (
    Action,
    Finish,
    GiveUp,
    RequestStateMachine,
    Send,
    Wait,
)
from jasminewalk.scheduling.membership import Membership
from jasminewalk.scheduling.routing import Router
from jasminewalk.transport._http import ATTEMPT_HEADER
from jasminewalk.transport._http_call import HTTP_OK, read_limited_body
from jasminewalk.types import Refusal

__all__ = ["EntryContext", "RequestRun"]

MAX_REFUSAL_BYTES = 1 << 16
OTHER_REQUEST_MESSAGE = "The response belongs to another request."

_decode_refusal = msgspec.json.Decoder(RefusalBody).decode


class EntryContext:
    """Components that all requests of an entry share.

    :param clock: source of time.
    :param router: chooses endpoints.
    :param membership: tracks which endpoints are live.
    :param connections: connections to the sidecars.
    :param traces: traces of recent requests.
    :param metrics: metrics of the entry.
    :param progress_timeout_s: longest silence of a stream in seconds.
    :param is_log_reachable: returns whether the log responded recently. Calls that
        must not run twice need the log.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        router: Router,
        membership: Membership,
        connections: SidecarConnectionPool,
        traces: TraceStore,
        metrics: Metrics,
        progress_timeout_s: float,
        is_log_reachable: Callable[[], bool] = lambda: True,
    ) -> None:
        self.clock = clock
        self.router = router
        self.membership = membership
        self.connections = connections
        self.traces = traces
        self.metrics = metrics
        self.progress_timeout_s = progress_timeout_s
        self.is_log_reachable = is_log_reachable


class RequestRun(ABC):
    """Runs one request and retries or resumes it until its response is complete.

    :param context: components that all requests share.
    :param job: the request.
    """

    def __init__(self, context: EntryContext, job: Job) -> None:
        self.context = context
        self.job = job
        self.clock = context.clock
        self.router = context.router
        self.membership = context.membership
        self.trace = self.create_trace()
        self.machine = RequestStateMachine(
            profile=job.profile,
            endpoints=PoolEndpoints(self.membership, self.router, job),
        )

    @property
    def labels(self) -> dict[str, str]:
        """Metric labels of the request."""
        profile = self.job.profile
        return {
            "organisation": profile.organisation,
            "request_class": profile.request_class,
        }

    def create_trace(self) -> RequestTrace:
        """Create a trace for the request and store it."""
        profile = self.job.profile
        trace = RequestTrace(
            request_id=profile.request_id,
            arrived_at=self.clock.utcnow().isoformat(timespec="milliseconds"),
            arrived_s=profile.arrived_s,
            organisation=profile.organisation,
            request_class=profile.request_class,
            pool=profile.pool,
            model=profile.model,
            deadline_s=profile.deadline_s - profile.arrived_s,
            prompt_tokens=profile.prompt_tokens,
        )
        self.context.traces.add(trace)
        return trace

    def compute_elapsed_s(self) -> float:
        """Return the time since the request arrived, in seconds."""
        return self.clock.monotonic() - self.job.profile.arrived_s

    async def run(self) -> None:
        """Make attempts until the response is complete.

        :raises RefusedError: if the request is given up.
        """
        self.context.metrics.count("requests", 1, **self.labels)
        remaining_s = self.job.profile.deadline_s - self.clock.monotonic()
        try:
            with anyio.move_on_after(max(0.0, remaining_s)) as scope:
                await self.execute_actions(
                    self.machine.start_attempt(self.clock.monotonic())
                )
            if scope.cancelled_caught:
                self.refuse(self.machine.give_up_at_deadline().refusal)
            self.record_end("ok")
        finally:
            if self.trace.total_s is None:
                self.record_end("caller_gone")

    async def execute_actions(self, action: Action) -> None:
        """Execute actions until the request ends.

        :param action: first action.
        :raises RefusedError: if the request is given up.
        """
        while True:
            match action:
                case Send():
                    action = await self.send_attempt(action)
                case Wait(until_s):
                    await anyio.sleep(max(0.0, until_s - self.clock.monotonic()))
                    action = self.machine.start_attempt(self.clock.monotonic())
                case GiveUp(refusal):
                    self.refuse(refusal)
                case Finish():
                    return

    def refuse(self, refusal: Refusal) -> None:
        """Record a refusal and raise it as an error.

        :param refusal: reason for giving the request up.
        :raises RefusedError: always.
        """
        self.trace.message = refusal.reason
        self.trace.weighed = refusal.candidates[:MAX_CANDIDATES]
        self.record_end(refusal.code.name.lower(), refusal.ran)
        self.context.metrics.count(
            "refusals", code=str(refusal.code.value), pool=self.job.profile.pool
        )
        raise RefusedError(
            refusal.reason,
            code=refusal.code,
            ran=refusal.ran,
            retry_after_s=refusal.retry_after_s,
        )

    def record_end(self, outcome: str, ran: str = "") -> None:
        """Record the end of the request in its trace, the metrics and a log line.

        :param outcome: name of the result code.
        :param ran: whether the request ran; empty to take it from the attempts.
        """
        trace = self.trace
        trace.outcome = outcome
        trace.ran = ran or self.machine.ran
        trace.total_s = self.compute_elapsed_s()
        trace.output_tokens = self.machine.assembler.next_token
        trace.cached_tokens = self.machine.assembler.cached_tokens
        logging.info(
            "[entry] Request ended. request_id=%s outcome=%s attempts=%d "
            "tokens=%d total_s=%.3f",
            trace.request_id,
            outcome,
            self.machine.attempt,
            trace.output_tokens,
            trace.total_s,
        )
        self.context.metrics.observe("request_seconds", trace.total_s, **self.labels)
        self.record_token_counts()

    def record_token_counts(self) -> None:
        """Add the tokens of a generation that has ended to the metrics."""
        trace = self.trace
        if not trace.model:
            return
        metrics = self.context.metrics
        metrics.count("prompt_tokens", trace.prompt_tokens, **self.labels)
        metrics.count("output_tokens", trace.output_tokens, **self.labels)
        metrics.count("cached_tokens", trace.cached_tokens, **self.labels)
        if trace.cached_tokens:
            metrics.count("cache_hits", 1, **self.labels)

    async def send_attempt(self, action: Send) -> Action:
        """Make one attempt and return the next action.

        :param action: the attempt.
        """
        now_s = self.clock.monotonic()
        endpoint = action.route.endpoint
        attempt = self.begin_attempt(now_s, action)
        self.machine.mark_sent()
        address = self.membership.get_address(endpoint)
        try:
            next_action = await self.exchange(action, address)
        except TRANSPORT_ERRORS as error:
            may_have_run = not isinstance(error, CONNECT_ERRORS)
            attempt.outcome = f"{type(error).__name__} {error}".strip()
            next_action = self.record_failure(endpoint, may_have_run=may_have_run)
        finally:
            attempt.ended_s = self.compute_elapsed_s()
            if not attempt.outcome:
                attempt.outcome = "abandoned"
                self.router.record_finished(
                    self.clock.monotonic(),
                    self.job.profile.request_id,
                    self.machine.assembler.next_token,
                )
        return next_action

    def begin_attempt(self, now_s: float, action: Send) -> AttemptTrace:
        """Record the start of an attempt and return its trace.

        :param now_s: current time in seconds.
        :param action: the attempt.
        """
        endpoint = action.route.endpoint
        trace = AttemptTrace(
            attempt=action.attempt,
            endpoint=endpoint,
            reason=action.route.reason,
            candidates=action.route.candidates,
            resume_from=action.resume_from,
            sent_s=now_s - self.job.profile.arrived_s,
        )
        self.trace.add_attempt(trace)
        self.router.record_sent(now_s, action.profile, endpoint)
        if action.attempt > 1:
            metric = "resumes" if action.resume_from else "retries"
            self.context.metrics.count(metric, pool=self.job.profile.pool)
        logging.debug(
            "[entry] Request routed. request_id=%s attempt=%d endpoint=%s "
            "resume_from=%d reason=%r",
            self.job.profile.request_id,
            action.attempt,
            endpoint,
            action.resume_from,
            action.route.reason,
        )
        return trace

    @abstractmethod
    async def exchange(self, action: Send, address: str) -> Action:
        """Send one attempt to its sidecar and return the next action.

        :param action: the attempt.
        :param address: request address of the sidecar.
        """

    def build_attempt_id(self, action: Send) -> bytes:
        """Build the identifier of an attempt, which its response must repeat.

        :param action: the attempt.
        """
        return f"{self.job.profile.request_id}/{action.attempt}".encode()

    def check_attempt_header(self, action: Send, response: httpcore.Response) -> None:
        """Check that a response belongs to this attempt of this request.

        A refusal without the header is checked by ``read_refusal``.

        :param action: the attempt.
        :param response: response of the sidecar.
        :raises httpcore.RemoteProtocolError: if its header is missing or names another
            request or attempt.
        """
        attempt_id = find_attempt_id(response)
        if not attempt_id and response.status != HTTP_OK:
            return
        if attempt_id != self.build_attempt_id(action):
            raise httpcore.RemoteProtocolError(OTHER_REQUEST_MESSAGE)

    def record_success(self, endpoint: str) -> None:
        """Record that the request succeeded.

        :param endpoint: endpoint that served it.
        """
        self.trace.attempts[-1].outcome = "ok"
        self.membership.record_success(endpoint)
        self.router.record_finished(
            self.clock.monotonic(),
            self.job.profile.request_id,
            self.machine.assembler.next_token,
        )

    def record_failure(self, endpoint: str, *, may_have_run: bool) -> Action:
        """Record that an attempt failed and return the next action.

        :param endpoint: endpoint that failed.
        :param may_have_run: whether the endpoint may have received the request.
        """
        now_s = self.clock.monotonic()
        self.membership.record_failure(now_s, endpoint)
        self.router.record_failure(now_s, self.job.profile.request_id, endpoint)
        logging.warning(
            "[entry] Attempt failed. request_id=%s endpoint=%s outcome=%r",
            self.job.profile.request_id,
            endpoint,
            self.trace.attempts[-1].outcome,
        )
        return self.machine.handle_failure(now_s, endpoint, may_have_run=may_have_run)

    def record_refusal(self, endpoint: str, body: RefusalBody) -> Action:
        """Record that a sidecar refused an attempt and return the next action.

        :param endpoint: endpoint that refused.
        :param body: the refusal.
        """
        now_s = self.clock.monotonic()
        self.trace.attempts[-1].outcome = f"refused {body.code} {body.message}"
        self.router.record_refusal(now_s, self.job.profile.request_id, endpoint, body)
        return self.machine.handle_refusal(now_s, endpoint, body)

    async def read_refusal(self, response: httpcore.Response) -> RefusalBody | None:
        """Read the refusal in a response; return None if the body is not a refusal.

        :param response: response with an error status.
        :raises httpcore.RemoteProtocolError: if the body is too large, or the refusal
            does not name this request.
        """
        body = await read_limited_body(response, MAX_REFUSAL_BYTES)
        try:
            refusal = _decode_refusal(body)
        except DECODE_ERRORS:
            return None
        # Sidecars of earlier versions name the request only in the body of a refusal.
        is_named = find_attempt_id(response) or (
            refusal.request_id == self.job.profile.request_id
        )
        if not is_named:
            raise httpcore.RemoteProtocolError(OTHER_REQUEST_MESSAGE)
        return refusal


def find_attempt_id(response: httpcore.Response) -> bytes:
    """Return the identifier of the attempt that a response names, or no bytes.

    :param response: response of a sidecar.
    """
    for name, value in response.headers:
        if name.lower() == ATTEMPT_HEADER:
            return value
    return b""

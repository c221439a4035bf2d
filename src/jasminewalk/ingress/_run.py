"""What generations and calls share on their way through their attempts."""

from abc import ABC, abstractmethod
from collections.abc import Callable

import anyio
import httpcore
import msgspec
from absl import logging

from jasminewalk.clock import Clock
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
    RequestMachine,
    Send,
    Wait,
)
from jasminewalk.scheduling.membership import Membership
from jasminewalk.scheduling.routing import Router
from jasminewalk.transport._http import ATTEMPT_HEADER
from jasminewalk.types import Refusal

__all__ = ["EntryContext", "RequestRun", "read_limited_body"]

MAX_REFUSAL_BYTES = 1 << 16

_decode_refusal = msgspec.json.Decoder(RefusalBody).decode


class EntryContext:
    """What all requests of an entry share.

    :param clock: source of time.
    :param router: chooses endpoints.
    :param membership: liveness of endpoints.
    :param connections: connections to the sidecars.
    :param traces: store of what became of requests.
    :param metrics: metrics of the entry.
    :param progress_timeout_s: longest silence of a stream.
    :param is_log_reachable: returns whether the log, which calls that may not be
        repeated need, answered lately.
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
    """One request on its way through its attempts.

    :param context: what all requests share.
    :param job: the request.
    """

    def __init__(self, context: EntryContext, job: Job) -> None:
        self.context = context
        self.job = job
        self.clock = context.clock
        self.router = context.router
        self.membership = context.membership
        self.trace = self.create_trace()
        self.machine = RequestMachine(
            profile=job.profile,
            endpoints=PoolEndpoints(self.membership, self.router, job),
        )

    @property
    def labels(self) -> dict[str, str]:
        """Labels of the request's metrics."""
        profile = self.job.profile
        return {
            "organisation": profile.organisation,
            "request_class": profile.request_class,
        }

    def create_trace(self) -> RequestTrace:
        """Return a trace for the request and keep it."""
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
        """Return the seconds since the request arrived."""
        return self.clock.monotonic() - self.job.profile.arrived_s

    async def run(self) -> None:
        """Make attempts until the answer is whole.

        :raises RefusedError: if there will be no whole answer.
        """
        self.context.metrics.count("requests", 1, **self.labels)
        remaining_s = self.job.profile.deadline_s - self.clock.monotonic()
        try:
            with anyio.move_on_after(max(0.0, remaining_s)) as scope:
                await self.execute_actions(self.machine.start(self.clock.monotonic()))
            if scope.cancelled_caught:
                self.refuse(self.machine.deadline_passed().refusal)
            self.record_end("ok")
        finally:
            if self.trace.total_s is None:
                self.record_end("caller_gone")

    async def execute_actions(self, action: Action) -> None:
        """Carry out actions until there is none left.

        :param action: first action.
        :raises RefusedError: if there will be no whole answer.
        """
        while True:
            match action:
                case Send():
                    action = await self.send_attempt(action)
                case Wait(until_s):
                    await anyio.sleep(max(0.0, until_s - self.clock.monotonic()))
                    action = self.machine.start(self.clock.monotonic())
                case GiveUp(refusal):
                    self.refuse(refusal)
                case Finish():
                    return

    def refuse(self, refusal: Refusal) -> None:
        """Give the request up.

        :param refusal: why.
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
        """Note the end of the request.

        :param outcome: name of the result code.
        :param ran: whether the request ran.
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
        """Count the tokens of a generation that has ended."""
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
        """Make one attempt and return what to do after it.

        :param action: the attempt.
        """
        now_s = self.clock.monotonic()
        endpoint = action.route.endpoint
        attempt = self.begin_attempt(now_s, action)
        self.machine.sent()
        address = self.membership.address(endpoint)
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
                self.router.finished(
                    self.clock.monotonic(),
                    self.job.profile.request_id,
                    self.machine.assembler.next_token,
                )
        return next_action

    def begin_attempt(self, now_s: float, action: Send) -> AttemptTrace:
        """Note the start of an attempt and return its trace.

        :param now_s: current instant.
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
        self.router.sent(now_s, action.profile, endpoint)
        if action.attempt > 1:
            name = "resumes" if action.resume_from else "retries"
            self.context.metrics.count(name, pool=self.job.profile.pool)
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
        """Send one attempt to its sidecar and return what to do after it.

        :param action: the attempt.
        :param address: request address of the sidecar.
        """

    def check_attempt_header(self, action: Send, response: httpcore.Response) -> None:
        """Refuse an answer that belongs to another attempt or request.

        :param action: the attempt.
        :param response: answer of the sidecar.
        :raises httpcore.RemoteProtocolError: if the answer names another attempt.
        """
        expected = f"{self.job.profile.request_id}/{action.attempt}".encode()
        for name, value in response.headers:
            if name.lower() == ATTEMPT_HEADER and value != expected:
                raise httpcore.RemoteProtocolError("The answer is another request's.")

    def record_success(self, endpoint: str) -> None:
        """Note the good end of the request.

        :param endpoint: endpoint that answered.
        """
        self.trace.attempts[-1].outcome = "ok"
        self.membership.observe_success(endpoint)
        self.router.finished(
            self.clock.monotonic(),
            self.job.profile.request_id,
            self.machine.assembler.next_token,
        )

    def record_failure(self, endpoint: str, *, may_have_run: bool) -> Action:
        """Note that an attempt failed and return what to do after it.

        :param endpoint: endpoint that failed.
        :param may_have_run: whether the endpoint may have got the request.
        """
        now_s = self.clock.monotonic()
        self.membership.observe_failure(now_s, endpoint)
        self.router.failed(now_s, self.job.profile.request_id, endpoint)
        logging.warning(
            "[entry] Attempt failed. request_id=%s endpoint=%s outcome=%r",
            self.job.profile.request_id,
            endpoint,
            self.trace.attempts[-1].outcome,
        )
        return self.machine.broke(now_s, endpoint, may_have_run=may_have_run)

    def record_refusal(self, endpoint: str, body: RefusalBody) -> Action:
        """Note that a sidecar refused an attempt and return what to do after it.

        :param endpoint: endpoint that refused.
        :param body: the refusal.
        """
        now_s = self.clock.monotonic()
        self.trace.attempts[-1].outcome = f"refused {body.code} {body.message}"
        self.router.refused(now_s, self.job.profile.request_id, endpoint, body)
        return self.machine.refused(now_s, endpoint, body)

    async def read_refusal(self, response: httpcore.Response) -> RefusalBody | None:
        """Return the refusal in an answer, or nothing if it holds none.

        :param response: answer with an error status.
        """
        body = await read_limited_body(response, MAX_REFUSAL_BYTES)
        try:
            return _decode_refusal(body)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return None


async def read_limited_body(response: httpcore.Response, max_bytes: int) -> bytes:
    """Return the body of an answer.

    :param response: the answer.
    :param max_bytes: largest body allowed.
    :raises httpcore.RemoteProtocolError: if the body is larger.
    """
    chunks: list[bytes] = []
    size = 0
    async for chunk in response.aiter_stream():
        size += len(chunk)
        if size > max_bytes:
            raise httpcore.RemoteProtocolError("The body is too large.")
        chunks.append(chunk)
    return b"".join(chunks)

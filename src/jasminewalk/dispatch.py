"""Runs requests of callers against sidecars, attempt by attempt."""

import math
from abc import ABC, abstractmethod
from collections.abc import Callable, Collection, Sequence

import anyio
import attrs
import httpcore
import msgspec
from absl import logging

from jasminewalk.attempts import (
    Action,
    AnswerAssembler,
    Endpoints,
    Finish,
    GiveUp,
    RequestMachine,
    Send,
    Wait,
)
from jasminewalk.clock import Clock
from jasminewalk.connections import (
    TRANSPORT_ERRORS,
    UNSENT_ERRORS,
    SidecarConnections,
)
from jasminewalk.exceptions import RefusedError
from jasminewalk.generated_codes import RESULTS, Code
from jasminewalk.generated_requests import (
    GenerateRequest,
    RefusalBody,
    ServiceCall,
    ServiceReply,
)
from jasminewalk.membership import Membership
from jasminewalk.metrics import Metrics
from jasminewalk.routing import Router
from jasminewalk.traces import AttemptTrace, RequestTrace, TraceStore
from jasminewalk.types import Refusal, RequestProfile, Route

__all__ = ["CallJob", "Dispatcher", "GenerationJob", "Job", "TokenSink"]

MAX_REPLY_BYTES = 32 << 20
MAX_REFUSAL_BYTES = 1 << 16
LOG_RETRY_AFTER_S = 1.0
RETRY_MARK = frozenset({""})
LEAST_LEFT_S = 0.001

_encode = msgspec.msgpack.Encoder().encode
_decode_reply = msgspec.msgpack.Decoder(ServiceReply).decode
_decode_refusal = msgspec.json.Decoder(RefusalBody).decode


@attrs.frozen(kw_only=True)
class Job:
    """A request of a caller, checked against the configuration in force.

    :param profile: what decisions need to know of it.
    :param failure_domains: failure domains that may serve it; empty for all.
    :param withdrawn: endpoints that the configuration excludes.
    """

    profile: RequestProfile
    failure_domains: Sequence[str] = ()
    withdrawn: Collection[str] = ()


@attrs.frozen(kw_only=True)
class GenerationJob(Job):
    """A generation.

    :param prompt: rendered prompt.
    :param adapter: adapter name.
    """

    prompt: str
    adapter: str = ""


@attrs.frozen(kw_only=True)
class CallJob(Job):
    """A call of a plain service.

    :param service: service name.
    :param method: HTTP method.
    :param path: path with query below the service.
    :param headers: names and values, names in lower case.
    :param body: request body.
    :param key: idempotency key; empty for a call that may be repeated.
    """

    service: str
    method: str
    path: str
    headers: list[list[str]]
    body: bytes
    key: str = ""


class TokenSink(ABC):
    """Receiver of the tokens of an answer, in order and each once."""

    @abstractmethod
    async def write(self, attempt: int, texts: list[str]) -> None:
        """Take new tokens.

        :param attempt: number of the attempt that they came from.
        :param texts: texts of the tokens.
        """


class PoolEndpoints(Endpoints):
    """Endpoints of the pool that serves one job.

    :param membership: liveness of endpoints.
    :param router: chooses among those that are usable.
    :param job: the job.
    """

    def __init__(self, membership: Membership, router: Router, job: Job) -> None:
        self.membership = membership
        self.router = router
        self.job = job

    def choose(
        self,
        now_s: float,
        profile: RequestProfile,
        excluded: Collection[str],
        *,
        retry: bool,
    ) -> Route | Refusal:
        """Return where to send the job, or why not to.

        :param now_s: current instant.
        :param profile: the request as it is now.
        :param excluded: endpoints not to choose.
        :param retry: whether the job was sent before.
        """
        usable = [
            endpoint
            for endpoint in self.membership.usable(now_s, profile.pool)
            if self.allows(endpoint)
        ]
        barred = RETRY_MARK.union(excluded) if retry else frozenset(excluded)
        return self.router.choose(now_s, profile, usable, barred)

    def may_retry(self) -> bool:
        """Return whether a retry can be afforded, and use it up."""
        return self.router.may_retry()

    def allows(self, endpoint: str) -> bool:
        """Return whether the configuration lets an endpoint serve the job.

        :param endpoint: endpoint name.
        """
        if endpoint in self.job.withdrawn:
            return False
        domains = self.job.failure_domains
        member = self.membership.members[endpoint]
        if domains and member.failure_domain not in domains:
            return False
        models = member.report.models if member.report else []
        return not models or not self.job.profile.model or self.has_model(models)

    def has_model(self, models: list[str]) -> bool:
        """Return whether an endpoint has loaded what the job needs.

        :param models: models and adapters loaded.
        """
        adapter = getattr(self.job, "adapter", "")
        return self.job.profile.model in models and (not adapter or adapter in models)


class Run:
    """One request on its way through its attempts.

    :param dispatcher: what all requests share.
    :param job: the request.
    """

    def __init__(self, dispatcher: "Dispatcher", job: Job) -> None:
        self.dispatcher = dispatcher
        self.job = job
        self.clock = dispatcher.clock
        self.router = dispatcher.router
        self.membership = dispatcher.membership
        self.trace = self.new_trace()
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

    def new_trace(self) -> RequestTrace:
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
        self.dispatcher.traces.add(trace)
        return trace

    def elapsed_s(self) -> float:
        """Return the seconds since the request arrived."""
        return self.clock.monotonic() - self.job.profile.arrived_s

    async def run(self) -> None:
        """Make attempts until the answer is whole.

        :raises RefusedError: if there will be no whole answer.
        """
        self.dispatcher.metrics.count("requests", 1, **self.labels)
        left_s = self.job.profile.deadline_s - self.clock.monotonic()
        try:
            with anyio.move_on_after(max(0.0, left_s)) as scope:
                await self.follow(self.machine.start(self.clock.monotonic()))
            if scope.cancelled_caught:
                self.refuse(self.machine.deadline_passed().refusal)
            self.settle("ok")
        finally:
            if self.trace.total_s is None:
                self.settle("caller_gone")

    async def follow(self, action: Action) -> None:
        """Carry out actions until there is none left.

        :param action: first action.
        :raises RefusedError: if there will be no whole answer.
        """
        while True:
            match action:
                case Send():
                    action = await self.send(action)
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
        self.settle(refusal.code.name.lower(), refusal.ran)
        self.dispatcher.metrics.count(
            "refusals", code=str(refusal.code.value), pool=self.job.profile.pool
        )
        raise RefusedError(
            refusal.reason,
            code=refusal.code,
            ran=refusal.ran,
            retry_after_s=refusal.retry_after_s,
        )

    def settle(self, outcome: str, ran: str = "") -> None:
        """Note the end of the request.

        :param outcome: name of the result code.
        :param ran: whether the request ran.
        """
        trace = self.trace
        trace.outcome = outcome
        trace.ran = ran or self.machine.ran
        trace.total_s = self.elapsed_s()
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
        self.dispatcher.metrics.observe("request_seconds", trace.total_s, **self.labels)
        self.count_tokens()

    def count_tokens(self) -> None:
        """Count the tokens of a generation that has ended."""
        trace = self.trace
        if not trace.model:
            return
        metrics = self.dispatcher.metrics
        metrics.count("prompt_tokens", trace.prompt_tokens, **self.labels)
        metrics.count("output_tokens", trace.output_tokens, **self.labels)
        metrics.count("cached_tokens", trace.cached_tokens, **self.labels)
        if trace.cached_tokens:
            metrics.count("cache_hits", 1, **self.labels)

    async def send(self, action: Send) -> Action:
        """Make one attempt and return what to do after it.

        :param action: the attempt.
        """
        now_s = self.clock.monotonic()
        endpoint = action.route.endpoint
        attempt = self.begin_attempt(now_s, action)
        self.machine.sent()
        address = self.membership.address(endpoint)
        try:
            following = await self.exchange(action, address)
        except TRANSPORT_ERRORS as error:
            may_have_run = not isinstance(error, UNSENT_ERRORS)
            attempt.outcome = f"{type(error).__name__} {error}".strip()
            following = self.failed(endpoint, may_have_run=may_have_run)
        finally:
            attempt.ended_s = self.elapsed_s()
            if not attempt.outcome:
                attempt.outcome = "abandoned"
                self.router.finished(
                    self.clock.monotonic(),
                    self.job.profile.request_id,
                    self.machine.assembler.next_token,
                )
        return following

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
            self.dispatcher.metrics.count(name, pool=self.job.profile.pool)
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

    async def exchange(self, action: Send, address: str) -> Action:
        """Send one attempt to its sidecar and return what to do after it.

        :param action: the attempt.
        :param address: request address of the sidecar.
        """
        raise NotImplementedError

    def succeeded(self, endpoint: str) -> None:
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

    def failed(self, endpoint: str, *, may_have_run: bool) -> Action:
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

    def refused(self, endpoint: str, body: RefusalBody) -> Action:
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
        body = await read_limited(response, MAX_REFUSAL_BYTES)
        try:
            return _decode_refusal(body)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return None


async def read_limited(response: httpcore.Response, max_bytes: int) -> bytes:
    """Return the body of an answer.

    :param response: the answer.
    :param max_bytes: largest body allowed.
    :raises httpcore.RemoteProtocolError: if the body is larger.
    """
    parts: list[bytes] = []
    size = 0
    async for part in response.aiter_stream():
        size += len(part)
        if size > max_bytes:
            raise httpcore.RemoteProtocolError("The body is too large.")
        parts.append(part)
    return b"".join(parts)


def log_unavailable() -> Refusal:
    """Return the refusal of a call that needs the log during an outage."""
    code = Code.LOG_UNAVAILABLE
    return Refusal(code, RESULTS[code].message, LOG_RETRY_AFTER_S)


class GenerationRun(Run):
    """A generation on its way through its attempts.

    :param dispatcher: what all requests share.
    :param job: the generation.
    :param sink: receiver of the tokens.
    """

    def __init__(
        self, dispatcher: "Dispatcher", job: GenerationJob, sink: TokenSink
    ) -> None:
        super().__init__(dispatcher, job)
        self.job: GenerationJob = job
        self.sink = sink
        self.first_token_at_s: float | None = None

    def body(self, action: Send) -> bytes:
        """Return the body of the request to the sidecar.

        :param action: the attempt.
        """
        profile = self.job.profile
        request = GenerateRequest(
            request_id=profile.request_id,
            attempt=action.attempt,
            organisation=profile.organisation,
            request_class=profile.request_class,
            model=profile.model,
            prompt=self.job.prompt,
            prompt_tokens=profile.prompt_tokens,
            prefix_hashes=list(profile.prefix_hashes),
            max_tokens=profile.max_tokens,
            expected_tokens=profile.expected_tokens,
            deadline_s=profile.deadline_s - self.clock.monotonic(),
            first_token_s=self.first_token_left_s(profile),
            priority=profile.priority,
            weight=profile.weight,
            resume_from=action.resume_from,
            resume_text=self.machine.assembler.text,
            adapter=self.job.adapter,
        )
        return _encode(request)

    def first_token_left_s(self, profile: RequestProfile) -> float:
        """Return the seconds until the first token is wanted; 0 for no limit.

        :param profile: the request.
        """
        if math.isinf(profile.first_token_deadline_s):
            return 0.0
        left_s = profile.first_token_deadline_s - self.clock.monotonic()
        return max(LEAST_LEFT_S, left_s)

    async def exchange(self, action: Send, address: str) -> Action:
        """Send one attempt to its sidecar and pass its tokens on.

        :param action: the attempt.
        :param address: request address of the sidecar.
        """
        endpoint = action.route.endpoint
        async with self.dispatcher.connections.post(
            address,
            "/generate",
            self.body(action),
            self.dispatcher.progress_timeout_s,
        ) as response:
            self.membership.observe_answer(self.clock.monotonic(), endpoint)
            if response.status != 200:
                refusal = await self.read_refusal(response)
                if refusal is None:
                    self.trace.attempts[-1].outcome = f"status {response.status}"
                    return self.failed(endpoint, may_have_run=True)
                return self.refused(endpoint, refusal)
            await self.relay(action.attempt, response)
        return self.ended(endpoint)

    async def relay(self, attempt: int, response: httpcore.Response) -> None:
        """Pass tokens on until the stream or the answer ends.

        :param attempt: number of the attempt.
        :param response: answer of the sidecar.
        """
        assembler = self.machine.assembler
        write = self.sink.write
        async for data in response.aiter_stream():
            texts = assembler.take_lines(attempt, data)
            if texts:
                if self.first_token_at_s is None:
                    self.note_first_token()
                await write(attempt, texts)
            if assembler.broken is not None:
                return

    def note_first_token(self) -> None:
        """Note the arrival of the first token."""
        elapsed_s = self.elapsed_s()
        self.first_token_at_s = elapsed_s
        self.trace.attempts[-1].first_token_s = elapsed_s
        self.router.first_token(
            self.clock.monotonic(),
            self.job.profile.request_id,
            self.machine.assembler.cached_tokens,
        )
        self.dispatcher.metrics.observe("first_token_seconds", elapsed_s, **self.labels)

    def ended(self, endpoint: str) -> Action:
        """Return what to do after a stream has closed.

        :param endpoint: endpoint that the stream came from.
        """
        now_s = self.clock.monotonic()
        assembler = self.machine.assembler
        if assembler.end:
            self.note_token_gap()
            self.succeeded(endpoint)
            return self.machine.ended(now_s, endpoint)
        broken = assembler.broken
        if broken is not None and broken.ran == "not_run":
            self.trace.attempts[-1].outcome = f"refused {broken.code}"
        else:
            code = broken.code if broken else "none"
            self.trace.attempts[-1].outcome = f"stream broke code={code}"
            self.membership.observe_failure(now_s, endpoint)
        self.router.failed(now_s, self.job.profile.request_id, endpoint)
        return self.machine.ended(now_s, endpoint)

    def note_token_gap(self) -> None:
        """Note the mean time between tokens of a whole answer."""
        gaps = self.machine.assembler.next_token - 1
        if gaps > 0 and self.first_token_at_s is not None:
            gap_s = (self.elapsed_s() - self.first_token_at_s) / gaps
            self.dispatcher.metrics.observe(
                "between_tokens_seconds", gap_s, **self.labels
            )


class CallRun(Run):
    """A call of a plain service on its way through its attempts.

    :param dispatcher: what all requests share.
    :param job: the call.
    """

    def __init__(self, dispatcher: "Dispatcher", job: CallJob) -> None:
        super().__init__(dispatcher, job)
        self.job: CallJob = job
        self.reply: ServiceReply | None = None

    def body(self, action: Send) -> bytes:
        """Return the body of the request to the sidecar.

        :param action: the attempt.
        """
        profile = self.job.profile
        call = ServiceCall(
            request_id=profile.request_id,
            attempt=action.attempt,
            organisation=profile.organisation,
            service=self.job.service,
            request_class=profile.request_class,
            method=self.job.method,
            path=self.job.path,
            headers=self.job.headers,
            body=self.job.body,
            key=self.job.key,
            deadline_s=profile.deadline_s - self.clock.monotonic(),
            priority=profile.priority,
        )
        return _encode(call)

    async def exchange(self, action: Send, address: str) -> Action:
        """Send one attempt to its sidecar and take the reply.

        :param action: the attempt.
        :param address: request address of the sidecar.
        """
        endpoint = action.route.endpoint
        body = self.body(action)
        async with self.dispatcher.connections.post(
            address, "/call", body, self.patience_s()
        ) as response:
            self.membership.observe_answer(self.clock.monotonic(), endpoint)
            if response.status != 200:
                refusal = await self.read_refusal(response)
                if refusal is None:
                    self.trace.attempts[-1].outcome = f"status {response.status}"
                    return self.failed(endpoint, may_have_run=True)
                return self.refused(endpoint, refusal)
            reply = await read_limited(response, MAX_REPLY_BYTES)
        return self.take_reply(endpoint, reply)

    def patience_s(self) -> float:
        """Return the longest silence to allow: half of the time that is left."""
        left_s = self.job.profile.deadline_s - self.clock.monotonic()
        return max(self.dispatcher.progress_timeout_s, left_s / 2)

    def take_reply(self, endpoint: str, body: bytes) -> Action:
        """Take a reply and return what to do after it.

        :param endpoint: endpoint that replied.
        :param body: encoded reply.
        """
        try:
            self.reply = _decode_reply(body)
        except msgspec.MsgspecError as error:
            self.trace.attempts[-1].outcome = f"bad reply {error}"
            return self.failed(endpoint, may_have_run=True)
        self.machine.assembler.end = "reply"
        self.succeeded(endpoint)
        return self.machine.ended(self.clock.monotonic(), endpoint)


class Dispatcher:
    """What all requests of an entry share.

    :param clock: source of time.
    :param router: chooses endpoints.
    :param membership: liveness of endpoints.
    :param connections: connections to the sidecars.
    :param traces: store of what became of requests.
    :param metrics: metrics of the entry.
    :param progress_timeout_s: longest silence of a stream.
    :param log_reachable: returns whether the log, which calls that may not be
        repeated need, answered lately.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        router: Router,
        membership: Membership,
        connections: SidecarConnections,
        traces: TraceStore,
        metrics: Metrics,
        progress_timeout_s: float,
        log_reachable: Callable[[], bool] = lambda: True,
    ) -> None:
        self.clock = clock
        self.router = router
        self.membership = membership
        self.connections = connections
        self.traces = traces
        self.metrics = metrics
        self.progress_timeout_s = progress_timeout_s
        self.log_reachable = log_reachable

    async def generate(self, job: GenerationJob, sink: TokenSink) -> AnswerAssembler:
        """Run a generation and return its whole answer.

        :param job: the generation.
        :param sink: receiver of the tokens as they come.
        :raises RefusedError: if there will be no whole answer.
        """
        run = GenerationRun(self, job, sink)
        await run.run()
        return run.machine.assembler

    async def call(self, job: CallJob) -> tuple[int, ServiceReply]:
        """Run a call of a service and return its last attempt and reply.

        :param job: the call.
        :raises RefusedError: if there will be no reply.
        """
        run = CallRun(self, job)
        if job.key and not self.log_reachable():
            run.refuse(log_unavailable())
        await run.run()
        if run.reply is None:
            raise RefusedError(code=Code.INTERNAL_ERROR)
        return run.machine.attempt, run.reply

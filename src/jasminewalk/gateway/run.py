"""Base of the request runs: retries, load accounting, responses and log lines."""

import math
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Iterator
from contextlib import ExitStack, asynccontextmanager, contextmanager
from enum import Enum, auto
from functools import cached_property

import attrs

from jasminewalk.gateway.context import GatewayContext
from jasminewalk.gateway.fleet import EngineState
from jasminewalk.gateway.organisations import Access
from jasminewalk.gateway.request_fingerprint import compute_request_fingerprint
from jasminewalk.http1 import Response
from jasminewalk.http1.server import CallerConnection, CallerRequest
from jasminewalk.platform.configuration import Route
from jasminewalk.platform.headers import RequestHead, filter_relayed_headers

__all__ = ["StreamAttemptResult", "RequestRun", "TrackedLoad"]

# Seconds of a request's deadline reserved for sending the response to the caller.
RESPONSE_MARGIN_S = 0.02
UNAUTHORIZED, UNAVAILABLE, BAD_GATEWAY, GATEWAY_TIMEOUT = 401, 503, 502, 504
# Reason of an attempt whose engine ended with its response.
ENGINE_ENDED = "engine ended with its response"
# Status codes that tell the caller that the request was not executed.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# ``Retry-After`` in seconds when no engine ran the request.
ENGINE_FULL_RETRY_AFTER_S = 0.15
# Seconds that a suspect request waits for the end of its repeat at this gateway, and
# ``Retry-After`` if that has not ended then.
MAX_TURN_WAIT_S = 0.5
# Longest ``Retry-After`` in seconds when the engines' limits leave no room at this
# gateway; another one may have room sooner.
MAX_LIMIT_RETRY_AFTER_S = 1.0


class StreamAttemptResult(Enum):
    """Result of one attempt to stream a generation."""

    DONE = auto()
    NOT_EXECUTED = auto()
    BROKEN = auto()
    NOT_SENT = auto()
    NOT_READ = auto()


class RequestRun(ABC):
    """Handles one request from its arrival to the end of its response.

    :param context: shared components of the gateway.
    :param connection: the caller's connection.
    :param request: the request.
    :param head: fields decoded from its headers.
    :param route: its route.
    :param service: name of the service that the request is sent to.
    :param access: the organisation that it is from, if it needs one.
    """

    def __init__(
        self,
        context: GatewayContext,
        connection: CallerConnection,
        request: CallerRequest,
        head: RequestHead,
        route: Route,
        service: str,
        access: Access,
    ) -> None:
        self.context = context
        self.connection = connection
        self.request = request
        self.head = head
        self.route = route
        self.service = service
        self.access = access
        self.was_counted = False
        self.attempts = 0
        self.tried_engines: list[str] = []
        self.sent = False
        self.retry_after_s = ENGINE_FULL_RETRY_AFTER_S
        self.awaited_engine = ""
        self.is_trial = False
        # Version of the engines that may go on with the stream; None if any may begin.
        self.version: str | None = None
        timeout_s = route.timeout_s
        if head.deadline_s is not None:
            timeout_s = min(timeout_s, head.deadline_s)
        self.deadline = request.arrived_s + timeout_s

    @cached_property
    def fingerprint(self) -> str:
        """Fingerprint of the request, which its repeats share."""
        return compute_request_fingerprint(self.request)

    @abstractmethod
    async def run(self) -> None:
        """Run the request and send the response to the caller."""

    @abstractmethod
    def finish_incomplete(self, reason: str, status: int) -> None:
        """End a request whose response can't be completed.

        :param reason: reason for the log and the metrics.
        :param status: status code if the request may have been executed.
        """

    def end_unfinished(self, reason: str) -> None:
        """End a request that runs, because the process is about to end.

        :param reason: reason for the log and the metrics.
        """
        if self.attempts and not self.connection.response_started:
            # The engine of the last attempt may still run it.
            self.fail(GATEWAY_TIMEOUT, reason)
        else:
            self.finish_incomplete(reason, GATEWAY_TIMEOUT)

    @property
    def organisation_rank(self) -> int | None:
        """Rank of its organisation; None if it has none."""
        organisation = self.access.organisation
        return organisation.rank if organisation is not None else None

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the parts of its prompt that other requests may share."""
        return ()

    @property
    def possible_causes(self) -> tuple[str, ...]:
        """Ids of what may crash engines, without the fingerprint if none matters."""
        if self.context.crash_watch.watches_requests:
            return (*self.shared_part_ids, self.fingerprint)
        return self.shared_part_ids

    @property
    def remaining_s(self) -> float:
        """Seconds until the request's deadline or its route's timeout, if earlier."""
        return self.deadline - self.context.clock()

    @property
    def engine_remaining_s(self) -> float:
        """Seconds that an engine may take to respond."""
        return self.remaining_s - RESPONSE_MARGIN_S

    @property
    def age_s(self) -> float:
        """Seconds since the request arrived."""
        return self.context.clock() - self.request.arrived_s

    def try_take_retry(self) -> bool:
        """Take a retry from the budget and return whether the request may be retried.

        A retry needs another attempt left on the route and a retry left in the budget.
        """
        if self.attempts >= self.route.max_attempts:
            return False
        allowed = self.context.try_take_retry(self.service)
        if not allowed:
            self.log("repeat_denied", reason="budget")
        return allowed

    def list_available_engines(self) -> list[EngineState]:
        """Return the engines of the service that may get the request now."""
        now = self.context.clock()
        return self.context.crash_watch.prefer_undisturbed(
            self.context.fleet.list_available(self.service, now, self.version),
            self.tried_engines,
        )

    def refuse_revoked(self) -> bool:
        """End the request and return True if its key was taken away while it waited.

        A stream that its caller has part of goes on, as it ran before.
        """
        is_running = self.connection.response_started
        if is_running or self.context.still_has_access(self.access):
            return False
        if self.attempts:
            self.finish_incomplete("key was taken away", BAD_GATEWAY)
        else:
            self.connection.send_response(UNAUTHORIZED, [], b"")
            self.context.metrics.record_refusal(self.route.name, "key was taken away")
            self.warn("denied", status=UNAUTHORIZED, reason="key was taken away")
        return True

    def count_begun(self, began_s: float) -> None:
        """Count the request as begun by an engine, once for all its attempts.

        :param began_s: monotonic time in seconds at which an engine began it.
        """
        if not self.was_counted:
            self.was_counted = True
            self.context.usage.record(began_s, self.access.name)

    def is_quarantined(self) -> bool:
        """Return whether a quarantine holds for the request."""
        quarantine = self.context.crash_watch.quarantine
        return bool(quarantine.quarantines) and (
            quarantine.find(self.possible_causes) is not None
        )

    def refuse_quarantined(self) -> bool:
        """End the request and return True if it crashes engines, or a part of it does.

        Once a quarantine is over, the request may be the one that is tried.
        """
        in_trial = self.is_trial and not self.attempts
        if in_trial or not self.is_quarantined():
            return False
        watch = self.context.crash_watch
        quarantine = watch.find_quarantine(
            self.possible_causes,
            may_try=self._may_be_tried(),
            is_trier=not self.context.peers.compute_rank(self.context.clock()),
        )
        if quarantine is None:
            self.is_trial = True
            return False
        self.retry_after_s = watch.compute_wait_s(quarantine)
        reason = "crashing request" if quarantine.is_request else "crashing prompt part"
        self.finish_incomplete(reason, BAD_GATEWAY)
        return True

    def _may_be_tried(self) -> bool:
        """Return whether the request may be tried though it may crash an engine.

        A second attempt could crash a second engine, and the others need one.
        """
        now = self.context.clock()
        present = self.context.fleet.list_usable(self.service, now)
        sound = [engine for engine in present if engine.suspect_until <= now]
        has_single_engine = self.context.fleet.count_listed(self.service) < 2
        return not self.attempts and (len(sound) > 1 or has_single_engine)

    @asynccontextmanager
    async def take_turn(self) -> AsyncIterator[bool]:
        """Let no repeat of a suspect request run here meanwhile.

        Yield whether the request may run; if not, it was ended.
        """
        watch = self.context.crash_watch
        if not watch.watches_requests or not watch.is_suspect(self.fingerprint):
            yield True
            return
        wait_s = max(0.0, min(MAX_TURN_WAIT_S, self.remaining_s))
        async with watch.take_turn(self.fingerprint, wait_s) as has_turn:
            if not has_turn:
                self.retry_after_s = MAX_TURN_WAIT_S
                self.finish_incomplete("repeat of a suspect request", BAD_GATEWAY)
            yield has_turn

    def explain_missing_engine(self) -> str:
        """Return why there is no engine to choose, and set when to come back."""
        now = self.context.clock()
        limit_wait_s = self.context.fleet.compute_limit_wait_s(self.service, now)
        backing_off = self.context.fleet.find_shortest_backoff(self.service, now)
        if backing_off is not None:
            backoff_wait_s = backing_off.compute_backoff_wait_s(now)
            if limit_wait_s is None or backoff_wait_s <= limit_wait_s:
                self.retry_after_s = backoff_wait_s
                self.awaited_engine = backing_off.entry.engine_id
                return "engine backoff"
        if limit_wait_s is None:
            return "no engine"
        self.retry_after_s = min(limit_wait_s, MAX_LIMIT_RETRY_AFTER_S)
        return "engine limit"

    async def has_ended(self, engine: EngineState) -> bool:
        """Return whether the process of an engine ended with its connection.

        A response without a length may then be incomplete. An engine that may end by
        itself does so after its last response.

        :param engine: the engine.
        """
        return not engine.may_end and await self.context.clients.is_refused(engine)

    @contextmanager
    def track_load(
        self, engine: EngineState, prefill_s: float = 0.0
    ) -> Iterator["TrackedLoad"]:
        """Count the request as load of an engine while the context is open.

        :param engine: the engine.
        :param prefill_s: seconds of prefill of its prompt at an engine of speed 1.
        """
        load = TrackedLoad(engine, prefill_s)
        watch = self.context.crash_watch
        engine.own_load.requests += 1
        engine.own_load.prefill_s += prefill_s
        with ExitStack() as stack:
            if watch.watches_requests and (
                self.is_trial or watch.is_suspect(self.fingerprint)
            ):
                stack.enter_context(watch.occupy(engine))
            try:
                yield load
            finally:
                load.release_prefill()
                engine.own_load.requests -= 1

    def record_rejection(self, engine: EngineState, response: Response) -> None:
        """Record that an engine refused the request without running it.

        :param engine: the engine.
        :param response: the refusal.
        """
        if response.head.retry_after_s is not None:
            # The engine itself said for how long it is to be left alone.
            if not self.list_available_engines():
                self.explain_missing_engine()
            return
        event = self.context.fleet.record_rejection(
            self.context.clock(), engine, response.status
        )
        if event is not None:
            self.warn(event.event, engine=event.engine, detail=event.detail)

    def refuse(self, reason: str, retry_after_s: float, **inputs: object) -> None:
        """Respond that the request was not executed and may be retried later.

        :param reason: reason for the log and the metrics.
        :param retry_after_s: value of the ``Retry-After`` header in seconds.
        :param inputs: inputs of the decision, as fields of the log line. Under load,
            lines of placements are suppressed before lines of refusals.
        """
        # Rounded up, so that the caller does not come back just too early.
        retry_after_s = math.ceil(retry_after_s * 100) / 100
        headers = [(b"retry-after", b"%.2f" % retry_after_s)]
        if self.awaited_engine:
            inputs.setdefault("engine", self.awaited_engine)
        self.connection.send_response(UNAVAILABLE, headers, b"")
        self.context.metrics.record_refusal(self.route.name, reason)
        self.warn(
            "refused", reason=reason, retry_after_s=round(retry_after_s, 2), **inputs
        )

    def fail(self, status: int, reason: str) -> None:
        """Respond that the request failed and may have been executed.

        :param status: 502 or 504.
        :param reason: reason for the log and the metrics.
        """
        self.connection.send_response(status, [], b"")
        self.context.metrics.record_failure(self.route.name, reason)
        self.warn("failed", status=status, reason=reason, engines=self.tried_engines)

    def relay(self, response: Response, body: bytes) -> None:
        """Relay the response of an engine to the caller.

        A status code that tells the caller that the request was not executed is
        replaced by 502, unless the engine stated it explicitly.

        :param response: head of the engine's response.
        :param body: whole body of the response.
        """
        if response.status in NOT_EXECUTED_STATUSES and not response.head.not_executed:
            self.fail(
                BAD_GATEWAY, f"engine answered {response.status} without a promise"
            )
            return
        self.connection.send_response(
            response.status, filter_relayed_headers(response.headers), body
        )
        self.record_response(response.status)

    def record_response(self, status: int, **fields: object) -> None:
        """Count and log a response that was relayed completely.

        :param status: status code.
        :param fields: additional fields of the log line.
        """
        self.context.metrics.record_response(self.route.name, status, self.age_s)
        self.log("answered", status=status, **fields)

    def log(self, event: str, **fields: object) -> None:
        """Write a log line about this request.

        :param event: event that is logged.
        :param fields: inputs and outcome of the decision.
        """
        self.context.log.info(event, **self._build_fields(fields))

    def warn(self, event: str, **fields: object) -> None:
        """Write a warning about a failure of this request.

        :param event: event that is logged.
        :param fields: inputs and outcome.
        """
        self.context.log.warning(event, **self._build_fields(fields))

    def _build_fields(self, fields: dict[str, object]) -> dict[str, object]:
        return {
            "request": self.head.request_id,
            "route": self.route.name,
            "age_ms": round(self.age_s * 1e3, 1),
            "attempt": self.attempts,
            **fields,
        }


@attrs.define
class TrackedLoad:
    """Load that one request adds to an engine.

    :param engine: the engine.
    :param prefill_s: seconds of prefill still counted, at an engine of speed 1.
    :param prefill_done: whether the engine has completed the prefill.
    """

    engine: EngineState
    prefill_s: float
    prefill_done: bool = False

    def complete_prefill(self) -> None:
        """Record that the engine has completed the prefill."""
        self.prefill_done = True
        self.release_prefill()

    def release_prefill(self) -> None:
        """Remove the prefill from the load of the engine, completed or not."""
        # Rounding errors add up; an idle engine must have no load at all.
        remaining_s = self.engine.own_load.prefill_s - self.prefill_s
        self.engine.own_load.prefill_s = remaining_s if remaining_s > 1e-6 else 0.0
        self.prefill_s = 0.0

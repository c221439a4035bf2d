"""What the runs of all kinds of requests share."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum, auto

import attrs

from jasminewalk.gateway.admission import AdmissionPolicy
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.engine_clients import EngineClients
from jasminewalk.gateway.fleet import EngineState, Fleet
from jasminewalk.gateway.metrics import GatewayMetrics
from jasminewalk.gateway.peers import LoadExchange
from jasminewalk.gateway.placement import PlacementPolicy
from jasminewalk.gateway.retry_budget import RetryBudget
from jasminewalk.http1.client import Answer
from jasminewalk.http1.server import CallerConnection, CallerRequest
from jasminewalk.platform.configuration import Route
from jasminewalk.platform.headers import RequestHead, relayed_headers
from jasminewalk.platform.settings import InstanceSettings

__all__ = ["AttemptResult", "GatewayContext", "RequestRun", "TrackedLoad"]

# Seconds of a request's time kept back for the way to the caller.
RESPONSE_MARGIN_S = 0.02
UNAVAILABLE, BAD_GATEWAY, GATEWAY_TIMEOUT = 503, 502, 504
# Statuses that promise that the request did not run.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# Advice to come back where an engine had no room, in seconds.
ENGINE_FULL_RETRY_AFTER_S = 0.15


class AttemptResult(Enum):
    """How one attempt at a stream ended."""

    DONE = auto()
    NOT_EXECUTED = auto()
    BROKEN = auto()
    NOT_SENT = auto()


@attrs.define
class GatewayContext:
    """Parts of a gateway that its runs use.

    :param settings: settings of the instance.
    :param fleet: the engines.
    :param clients: connections to the engines.
    :param placement: chooses engines.
    :param admission: admits or refuses.
    :param peers: exchanges loads, speeds and cached parts with other gateways.
    :param log: decision log.
    :param metrics: counters and histograms.
    :param clock: returns the current instant in seconds.
    :param retry_budgets: budget of repeats of each service.
    """

    settings: InstanceSettings
    fleet: Fleet
    clients: EngineClients
    placement: PlacementPolicy
    admission: AdmissionPolicy
    peers: LoadExchange
    log: DecisionLog
    metrics: GatewayMetrics
    clock: Callable[[], float]
    retry_budgets: dict[str, RetryBudget] = attrs.field(factory=dict)

    def get_retry_budget(self, service: str) -> RetryBudget:
        """Return the budget of repeats of a service.

        :param service: name of the service.
        """
        budget = self.retry_budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = RetryBudget(
                bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
            )
            self.retry_budgets[service] = budget
        return budget


class RequestRun:
    """One request on its way through the gateway.

    :param context: parts of the gateway.
    :param connection: the caller's connection.
    :param request: the request.
    :param head: what its headers say.
    :param route: its route.
    :param service: service that it goes to.
    """

    def __init__(
        self,
        context: GatewayContext,
        connection: CallerConnection,
        request: CallerRequest,
        head: RequestHead,
        route: Route,
        service: str,
    ) -> None:
        self.context = context
        self.connection = connection
        self.request = request
        self.head = head
        self.route = route
        self.service = service
        self.attempts = 0
        self.tried: list[str] = []
        self.sent = False
        timeout_s = route.timeout_s
        if head.deadline_s is not None:
            timeout_s = min(timeout_s, head.deadline_s)
        self.deadline = request.arrived_s + timeout_s

    @property
    def remaining_s(self) -> float:
        """Seconds until the request's deadline or its route's timeout."""
        return self.deadline - self.context.clock()

    @property
    def engine_remaining_s(self) -> float:
        """Seconds that an engine may take."""
        return self.remaining_s - RESPONSE_MARGIN_S

    @property
    def age_s(self) -> float:
        """Seconds since the request arrived."""
        return self.context.clock() - self.request.arrived_s

    def try_take_retry(self) -> bool:
        """Take one repeat from the budget if the route and the budget allow it."""
        if self.attempts >= self.route.max_attempts:
            return False
        gateways = 1 + self.context.peers.live_peers(self.context.clock())
        allowed = self.context.get_retry_budget(self.service).take(
            self.context.clock(), gateways
        )
        if not allowed:
            self.log("repeat_denied", reason="budget")
        return allowed

    @contextmanager
    def track_load(
        self, engine: EngineState, prefill_s: float = 0.0
    ) -> Iterator["TrackedLoad"]:
        """Count the request as work at an engine.

        :param engine: the engine.
        :param prefill_s: seconds that an engine of speed 1 reads its prompt.
        """
        load = TrackedLoad(engine, prefill_s)
        engine.own.requests += 1
        engine.own.reading_s += prefill_s
        try:
            yield load
        finally:
            load.release_prefill()
            engine.own.requests -= 1

    def record_rejection(self, engine: EngineState, status: int) -> None:
        """Take an engine's refusal to run the request.

        :param engine: the engine.
        :param status: status of its refusal.
        """
        event = self.context.fleet.rejected(self.context.clock(), engine, status)
        if event is not None:
            self.warn(event.event, engine=event.engine, detail=event.detail)

    def refuse(self, reason: str, retry_after_s: float, **inputs: object) -> None:
        """Answer that the request did not run.

        :param reason: why, for the log.
        :param retry_after_s: seconds after which to come back.
        :param inputs: what decided it, for the log; lines of placing may be suppressed
            under load, those of failures are the last to be.
        """
        headers = [(b"retry-after", b"%.2f" % retry_after_s)]
        self.connection.answer(UNAVAILABLE, headers, b"")
        self.context.metrics.refused(self.route.name, reason)
        self.warn(
            "refused", reason=reason, retry_after_s=round(retry_after_s, 2), **inputs
        )

    def fail(self, status: int, reason: str) -> None:
        """Answer that the request failed and may have run.

        :param status: 502 or 504.
        :param reason: why, for the log.
        """
        self.connection.answer(status, [], b"")
        self.context.metrics.failed(self.route.name, reason)
        self.warn("failed", status=status, reason=reason, engines=self.tried)

    def relay(self, answer: Answer, body: bytes) -> None:
        """Answer as the engine did.

        :param answer: head of the engine's answer.
        :param body: its whole body.
        """
        if answer.status in NOT_EXECUTED_STATUSES and not answer.head.not_executed:
            self.fail(BAD_GATEWAY, f"engine answered {answer.status} without a promise")
            return
        self.connection.answer(answer.status, relayed_headers(answer.headers), body)
        self.record_answer(answer.status)

    def record_answer(self, status: int, **fields: object) -> None:
        """Count and log an answer that was relayed whole.

        :param status: status code.
        :param fields: more for the log.
        """
        self.context.metrics.answered(self.route.name, status, self.age_s)
        self.log("answered", status=status, **fields)

    def log(self, event: str, **fields: object) -> None:
        """Write a line about this request.

        :param event: what was decided.
        :param fields: inputs and outcome.
        """
        self.context.log.info(event, **self._fields(fields))

    def warn(self, event: str, **fields: object) -> None:
        """Write a line about a failure of this request.

        :param event: what failed.
        :param fields: inputs and outcome.
        """
        self.context.log.warning(event, **self._fields(fields))

    def _fields(self, fields: dict[str, object]) -> dict[str, object]:
        return {
            "request": self.head.request_id,
            "route": self.route.name,
            "age_ms": round(self.age_s * 1e3, 1),
            "attempt": self.attempts,
            **fields,
        }


@attrs.define
class TrackedLoad:
    """Work that one request is counted as at an engine.

    :param engine: the engine.
    :param prefill_s: seconds of reading still counted.
    :param prefill_done: whether the engine has read its prompt.
    """

    engine: EngineState
    prefill_s: float
    prefill_done: bool = False

    def complete_prefill(self) -> None:
        """Count the prompt as read."""
        self.prefill_done = True
        self.release_prefill()

    def release_prefill(self) -> None:
        """Count nothing more to read, read or not."""
        # Sums of floats drift; an idle engine has no work at all.
        remaining_s = self.engine.own.reading_s - self.prefill_s
        self.engine.own.reading_s = remaining_s if remaining_s > 1e-6 else 0.0
        self.prefill_s = 0.0

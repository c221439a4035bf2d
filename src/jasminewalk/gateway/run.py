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
from jasminewalk.http1.client import Response
from jasminewalk.http1.server import CallerConnection, CallerRequest
from jasminewalk.platform.configuration import Route
from jasminewalk.platform.headers import RequestHead, filter_relayed_headers
from jasminewalk.platform.settings import InstanceSettings

__all__ = ["End", "GatewayParts", "Run", "RunLoad"]

# Seconds of a request's time kept back for the way to the caller.
ANSWER_TRAVEL_S = 0.02
NOT_RUN, BAD_GATEWAY, GATEWAY_TIMEOUT = 503, 502, 504
# Statuses that promise that the request did not run.
PROMISES = (408, 421, 429, 503)
# Advice to come back where an engine had no room, in seconds.
ENGINE_FULL_RETRY_S = 0.15


class End(Enum):
    """How one attempt at a stream ended."""

    DONE = auto()
    NOT_RUN = auto()
    BROKEN = auto()
    NOT_SENT = auto()


@attrs.define
class GatewayParts:
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
    :param budgets: budget of repeats of each service.
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
    budgets: dict[str, RetryBudget] = attrs.field(factory=dict)

    def budget(self, service: str) -> RetryBudget:
        """Return the budget of repeats of a service.

        :param service: name of the service.
        """
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = RetryBudget(
                bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
            )
            self.budgets[service] = budget
        return budget


class Run:
    """One request on its way through the gateway.

    :param parts: parts of the gateway.
    :param connection: the caller's connection.
    :param request: the request.
    :param head: what its headers say.
    :param route: its route.
    :param service: service that it goes to.
    """

    def __init__(
        self,
        parts: GatewayParts,
        connection: CallerConnection,
        request: CallerRequest,
        head: RequestHead,
        route: Route,
        service: str,
    ) -> None:
        self.parts = parts
        self.connection = connection
        self.request = request
        self.head = head
        self.route = route
        self.service = service
        self.attempts = 0
        self.tried: list[str] = []
        self.sent = False
        allowed_s = route.timeout_s
        if head.deadline_s is not None:
            allowed_s = min(allowed_s, head.deadline_s)
        self.ends_at = request.arrived_s + allowed_s

    @property
    def left_s(self) -> float:
        """Seconds until the request's deadline or its route's timeout."""
        return self.ends_at - self.parts.clock()

    @property
    def engine_left_s(self) -> float:
        """Seconds that an engine may take."""
        return self.left_s - ANSWER_TRAVEL_S

    @property
    def age_s(self) -> float:
        """Seconds since the request arrived."""
        return self.parts.clock() - self.request.arrived_s

    def may_repeat(self) -> bool:
        """Take one repeat from the budget if the route and the budget allow it."""
        if self.attempts >= self.route.max_attempts:
            return False
        gateways = 1 + self.parts.peers.live_peers(self.parts.clock())
        allowed = self.parts.budget(self.service).take(self.parts.clock(), gateways)
        if not allowed:
            self.log("repeat_denied", reason="budget")
        return allowed

    @contextmanager
    def load(self, engine: EngineState, reading_s: float = 0.0) -> Iterator["RunLoad"]:
        """Count the request as work at an engine.

        :param engine: the engine.
        :param reading_s: seconds that an engine of speed 1 reads its prompt.
        """
        counted = RunLoad(engine, reading_s)
        engine.own.requests += 1
        engine.own.reading_s += reading_s
        try:
            yield counted
        finally:
            counted.drop_reading()
            engine.own.requests -= 1

    def rejected(self, engine: EngineState, status: int) -> None:
        """Take an engine's refusal to run the request.

        :param engine: the engine.
        :param status: status of its refusal.
        """
        event = self.parts.fleet.rejected(self.parts.clock(), engine, status)
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
        self.connection.answer(NOT_RUN, headers, b"")
        self.parts.metrics.refused(self.route.name, reason)
        self.warn(
            "refused", reason=reason, retry_after_s=round(retry_after_s, 2), **inputs
        )

    def fail(self, status: int, reason: str) -> None:
        """Answer that the request failed and may have run.

        :param status: 502 or 504.
        :param reason: why, for the log.
        """
        self.connection.answer(status, [], b"")
        self.parts.metrics.failed(self.route.name, reason)
        self.warn("failed", status=status, reason=reason, engines=self.tried)

    def relay(self, answer: Response, body: bytes) -> None:
        """Answer as the engine did.

        :param answer: head of the engine's answer.
        :param body: its whole body.
        """
        if answer.status in PROMISES and not answer.head.not_executed:
            self.fail(BAD_GATEWAY, f"engine answered {answer.status} without a promise")
            return
        self.connection.answer(
            answer.status, filter_relayed_headers(answer.headers), body
        )
        self.answered(answer.status)

    def answered(self, status: int, **fields: object) -> None:
        """Count and log an answer that was relayed whole.

        :param status: status code.
        :param fields: more for the log.
        """
        self.parts.metrics.answered(self.route.name, status, self.age_s)
        self.log("answered", status=status, **fields)

    def log(self, event: str, **fields: object) -> None:
        """Write a line about this request.

        :param event: what was decided.
        :param fields: inputs and outcome.
        """
        self.parts.log.info(event, **self._fields(fields))

    def warn(self, event: str, **fields: object) -> None:
        """Write a line about a failure of this request.

        :param event: what failed.
        :param fields: inputs and outcome.
        """
        self.parts.log.warning(event, **self._fields(fields))

    def _fields(self, fields: dict[str, object]) -> dict[str, object]:
        return {
            "request": self.head.request_id,
            "route": self.route.name,
            "age_ms": round(self.age_s * 1e3, 1),
            "attempt": self.attempts,
            **fields,
        }


@attrs.define
class RunLoad:
    """Work that one request is counted as at an engine.

    :param engine: the engine.
    :param reading_s: seconds of reading still counted.
    :param was_read: whether the engine has read its prompt.
    """

    engine: EngineState
    reading_s: float
    was_read: bool = False

    def prompt_was_read(self) -> None:
        """Count the prompt as read."""
        self.was_read = True
        self.drop_reading()

    def drop_reading(self) -> None:
        """Count nothing more to read, read or not."""
        # Sums of floats drift; an idle engine has no work at all.
        left_s = self.engine.own.reading_s - self.reading_s
        self.engine.own.reading_s = left_s if left_s > 1e-6 else 0.0
        self.reading_s = 0.0

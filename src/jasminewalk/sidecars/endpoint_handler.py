"""Base class of the handlers that a sidecar uses for engines and services."""

import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, Literal

import attrs
import httpcore

from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.fold_events import FoldEvent
from jasminewalk.agreement.log_appender import LogAppender
from jasminewalk.agreement.log_follower import LogFollower
from jasminewalk.agreement.registration import Registrar
from jasminewalk.clock import Clock
from jasminewalk.generated_messages import LoadReport, PoolDemand
from jasminewalk.generated_settings import SidecarSettings
from jasminewalk.interfaces import Log
from jasminewalk.metrics import Metrics
from jasminewalk.sidecars.sidecar_http import CallHandler, GenerationHandler
from jasminewalk.transport.memory_limit import MemoryLimit

__all__ = ["EndpointHandler", "EndpointState", "SidecarContext"]

EndpointState = Literal["starting", "live", "draining", "changing", "down"]

MAX_CHANGES = 50


@attrs.frozen(kw_only=True)
class SidecarContext:
    """Objects that a sidecar shares with its endpoint handler.

    :param settings: settings of the sidecar.
    :param incarnation: identifier of the process.
    :param clock: source of time.
    :param rng: random source.
    :param http_pool: pool of HTTP connections.
    :param log: the platform's log.
    :param fold: shared state, derived from the log.
    :param follower: follower that applies new records to the fold.
    :param metrics: counters and histograms.
    :param memory: limit on what requests and replies hold.
    :param request_report: function that sends a load report without delay.
    :param broadcast: function that sends a control message to all connected entries.
    :param stop: function that shuts the sidecar down.
    """

    settings: SidecarSettings
    incarnation: str
    clock: Clock
    rng: random.Random
    http_pool: httpcore.AsyncConnectionPool
    log: Log
    fold: LogFold
    follower: LogFollower
    metrics: Metrics
    memory: MemoryLimit
    request_report: Callable[[], None]
    broadcast: Callable[[Any], Awaitable[None]]
    stop: Callable[[], None]

    def create_registrar(self) -> Registrar:
        """Create the registrar that makes this process its endpoint's only writer."""
        return Registrar(
            endpoint=self.settings.name,
            pool=self.settings.pool,
            incarnation=self.incarnation,
            fold=self.fold,
            rng=self.rng,
        )

    def create_appender(self) -> LogAppender:
        """Create an appender for the log stream that the sidecar follows."""
        return LogAppender(
            log=self.log, follower=self.follower, clock=self.clock, rng=self.rng
        )


class EndpointHandler(ABC):
    """Handles the requests, load and state of one endpoint.

    :param context: objects shared with the sidecar.
    """

    generation_handler: GenerationHandler | None = None
    call_handler: CallHandler | None = None

    def __init__(self, context: SidecarContext) -> None:
        self.context = context
        self.settings = context.settings
        self.clock = context.clock
        self.changes: deque[str] = deque(maxlen=MAX_CHANGES)

    @property
    @abstractmethod
    def is_idle(self) -> bool:
        """Whether no request is queued or running and no outcome is unrecorded."""

    @property
    @abstractmethod
    def state(self) -> EndpointState:
        """State of the endpoint.

        While the sidecar is shutting down, it reports ``draining`` instead.
        """

    @abstractmethod
    def drain(self) -> None:
        """Refuse new requests from now on and finish the admitted ones."""

    @abstractmethod
    def fill_report(self, report: LoadReport) -> LoadReport:
        """Return a load report completed with the load of the endpoint.

        :param report: report with the fields common to all sidecars.
        """

    @abstractmethod
    def on_fold_event(self, event: FoldEvent) -> None:
        """Handle an event of the fold.

        :param event: event of the fold.
        """

    @abstractmethod
    def on_demand(self, demand: PoolDemand) -> None:
        """Handle the demand for the pool that an entry measured.

        :param demand: demand of one pool at one entry.
        """

    @abstractmethod
    async def run(self) -> None:
        """Run all tasks of the handler until cancelled."""

    def record_change(self, text: str) -> None:
        """Record a change of the endpoint for operators.

        :param text: description of the change and its reason.
        """
        timestamp = self.clock.utcnow().isoformat(timespec="seconds")
        self.changes.append(f"{timestamp} {text}")

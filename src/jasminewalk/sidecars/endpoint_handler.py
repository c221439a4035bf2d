"""What differs between a sidecar beside an engine and one beside a service."""

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

__all__ = ["EndpointHandler", "EndpointState", "SidecarContext"]

EndpointState = Literal["starting", "live", "draining", "changing", "down"]

MAX_CHANGES = 50


@attrs.frozen(kw_only=True)
class SidecarContext:
    """What a part gets from its sidecar.

    :param settings: settings of the sidecar.
    :param incarnation: identifier of the process.
    :param clock: source of time.
    :param rng: source of jitter.
    :param pool: pool of HTTP connections.
    :param log: the platform's log.
    :param fold: state that the log's records add up to.
    :param follower: keeps the fold up to date.
    :param metrics: counters and histograms.
    :param request_report: sends a load report at once.
    :param broadcast: sends a control message to every connected entry.
    :param stop: shuts the sidecar down.
    """

    settings: SidecarSettings
    incarnation: str
    clock: Clock
    rng: random.Random
    pool: httpcore.AsyncConnectionPool
    log: Log
    fold: LogFold
    follower: LogFollower
    metrics: Metrics
    request_report: Callable[[], None]
    broadcast: Callable[[Any], Awaitable[None]]
    stop: Callable[[], None]

    def create_registrar(self) -> Registrar:
        """Return what makes this process the only writer for its endpoint."""
        return Registrar(
            endpoint=self.settings.name,
            pool=self.settings.pool,
            incarnation=self.incarnation,
            fold=self.fold,
            rng=self.rng,
        )

    def create_appender(self) -> LogAppender:
        """Return what appends records to the stream that the sidecar follows."""
        return LogAppender(
            log=self.log, follower=self.follower, clock=self.clock, rng=self.rng
        )


class EndpointHandler(ABC):
    """The part of a sidecar that deals with its endpoint.

    :param context: what the sidecar hands over.
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
        """Whether no request is queued or running."""

    @property
    @abstractmethod
    def state(self) -> EndpointState:
        """What the endpoint can take, shutdown aside."""

    @abstractmethod
    def drain(self) -> None:
        """Refuse new work from now on and finish what was admitted."""

    @abstractmethod
    def fill_report(self, report: LoadReport) -> LoadReport:
        """Return a load report with the endpoint's own figures.

        :param report: report with the figures that every sidecar has.
        """

    @abstractmethod
    def on_fold_event(self, event: FoldEvent) -> None:
        """Take what a new log record changed.

        :param event: what a record changed.
        """

    @abstractmethod
    def on_demand(self, demand: PoolDemand) -> None:
        """Take evidence of the work that arrives for the pool.

        :param demand: what one entry saw.
        """

    @abstractmethod
    async def run(self) -> None:
        """Deal with the endpoint until cancelled."""

    def record_change(self, text: str) -> None:
        """Remember a change of the endpoint for operators.

        :param text: what changed and why.
        """
        when = self.clock.utcnow().isoformat(timespec="seconds")
        self.changes.append(f"{when} {text}")

"""Sidecar daemon, the only process that sends requests and orders to an endpoint."""

import random
from collections.abc import Sequence
from typing import Any

import anyio
import attrs
from absl import logging

from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.fold_events import FoldEvent
from jasminewalk.agreement.log_client import (
    MAIN_STREAM,
    HttpLog,
    get_claims_stream_name,
)
from jasminewalk.agreement.log_follower import FoldListener, LogFollower
from jasminewalk.clock import Clock, SystemClock
from jasminewalk.generated_messages import (
    CacheEvents,
    EntryHello,
    Leaving,
    LoadReport,
    PoolDemand,
    RecordFeed,
)
from jasminewalk.generated_records import SnapshotEntry
from jasminewalk.generated_settings import SidecarSettings
from jasminewalk.interfaces import LogEntry
from jasminewalk.metrics import Metrics
from jasminewalk.operators.operators_http import OperatorApp, StatusSource
from jasminewalk.sidecars.endpoint_handler import EndpointHandler, SidecarContext
from jasminewalk.sidecars.sidecar_engine import EngineHandler
from jasminewalk.sidecars.sidecar_http import SidecarApp
from jasminewalk.sidecars.sidecar_service import ServiceHandler
from jasminewalk.transport._http import HttpServer, open_http_pool
from jasminewalk.transport.channel import (
    MessageHandler,
    PeerListener,
    generate_incarnation,
)
from jasminewalk.transport.codec import Envelope
from jasminewalk.transport.connection_guard import ConnectionGuard
from jasminewalk.transport.peer_auth import PeerAuthenticator

__all__ = ["SidecarDaemon", "SidecarStatus"]

FEED_LIFETIME_HEARTBEATS = 6
IDLE_POLL_INTERVAL_S = 0.02
LISTENER_CLOSE_DELAY_S = 0.3
# Open connections of all entries.
MAX_CONNECTIONS = 1000


@attrs.frozen(kw_only=True)
class SidecarStatus:
    """Status of a sidecar, for operators.

    :param name: endpoint name.
    :param incarnation: identifier of the process.
    :param ready: whether the sidecar accepts new work.
    :param stopping: whether the sidecar is shutting down.
    :param report: latest load report.
    :param changes: recent changes of the endpoint with their reasons.
    """

    name: str
    incarnation: str
    ready: bool
    stopping: bool
    report: LoadReport
    changes: list[str]


class SidecarDaemon(MessageHandler, FoldListener, StatusSource):
    """Serves one endpoint until it is stopped.

    :param settings: settings of the sidecar.
    :param clock: source of time.
    :param rng: random source; created from the seed in the settings by default.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        *,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.incarnation = generate_incarnation()
        seed = f"{settings.seed}/{self.incarnation}" if settings.seed else None
        self.rng = rng or random.Random(seed)
        self.metrics = Metrics("sidecar")
        self.guard = ConnectionGuard.from_limits(
            settings.memory_mb,
            MAX_CONNECTIONS,
            lambda kind: self.metrics.count("memory_refusals", kind=kind),
        )
        self.fold = LogFold()
        self.stopping = False
        self.stop_requested = anyio.Event()
        self.report_requested = anyio.Event()
        self.started = anyio.Event()
        self.report_sequence = 0
        self.last_hello_s_by_entry: dict[str, float] = {}
        self.address = ""
        self.control_address = settings.control_listen
        self.metrics_address = ""
        self.handler: EndpointHandler
        self.follower: LogFollower
        self.listener: PeerListener

    async def run(self) -> None:
        """Serve until ``stop`` is called and the admitted requests are finished."""
        async with open_http_pool() as http_pool:
            log = HttpLog(
                http_pool,
                self.settings.log.address,
                self.settings.log.timeout_s,
                self.log_stream,
            )
            self.follower = LogFollower(
                log=log,
                fold=self.fold,
                settings=self.settings.log,
                clock=self.clock,
                listener=self,
                feed_lifetime_s=self.feed_lifetime_s,
            )
            self.handler = self.create_handler(
                SidecarContext(
                    settings=self.settings,
                    incarnation=self.incarnation,
                    clock=self.clock,
                    rng=self.rng,
                    http_pool=http_pool,
                    log=log,
                    fold=self.fold,
                    follower=self.follower,
                    metrics=self.metrics,
                    memory=self.guard.memory,
                    request_report=self.request_report,
                    broadcast=self.broadcast,
                    stop=self.stop,
                )
            )
            await self.serve()

    @property
    def feed_lifetime_s(self) -> float:
        """Seconds after a feed of records during which the log need not be read."""
        return FEED_LIFETIME_HEARTBEATS * self.settings.peers.heartbeat_s

    def create_handler(self, context: SidecarContext) -> EndpointHandler:
        """Create the handler for the kind of endpoint.

        :param context: objects shared with the handler.
        """
        if self.settings.kind == "engine":
            return EngineHandler(context)
        return ServiceHandler(context)

    @property
    def log_stream(self) -> str:
        """Name of the log stream that the sidecar follows."""
        if self.settings.kind == "engine":
            return MAIN_STREAM
        return get_claims_stream_name(self.settings.pool)

    async def serve(self) -> None:
        """Run all tasks of the daemon until the shutdown is complete."""
        app = SidecarApp(
            authenticator=PeerAuthenticator(self.settings.peers.shared_key),
            body_bytes=self.settings.peers.message_bytes * 4,
            metrics=self.metrics,
            memory=self.guard.memory,
            generation_handler=self.handler.generation_handler,
            call_handler=self.handler.call_handler,
        )
        request_server = HttpServer(app, self.settings.listen, self.guard)
        operator_server = HttpServer(OperatorApp(self), self.settings.metrics_listen)
        self.listener = PeerListener(
            self.settings.control_listen,
            self.settings.name,
            self.incarnation,
            self.settings.peers,
            self,
        )
        self.address = request_server.address
        self.control_address = self.listener.address
        self.metrics_address = operator_server.address
        async with anyio.create_task_group() as group:
            for task in (
                request_server.serve,
                operator_server.serve,
                self.listener.receive,
                self.follower.run,
                self.handler.run,
                self.send_reports,
            ):
                group.start_soon(task)
            await request_server.wait_started()
            self.started.set()
            logging.info(
                "[sidecar] Serving. endpoint=%s address=%s control=%s",
                self.settings.name,
                self.address,
                self.control_address,
            )
            await self.stop_requested.wait()
            await self.shut_down()
            request_server.stop()
            operator_server.stop()
            await anyio.sleep(LISTENER_CLOSE_DELAY_S)
            self.listener.close()
            group.cancel_scope.cancel()

    def stop(self) -> None:
        """Refuse new work, finish the admitted requests, then end ``run``."""
        self.stop_requested.set()

    async def shut_down(self) -> None:
        """Announce the shutdown to the entries and wait until the endpoint is idle.

        The wait ends after ``shutdown_s`` seconds in any case.
        """
        self.stopping = True
        self.handler.drain()
        leaving = Leaving(
            endpoint=self.settings.name,
            incarnation=self.incarnation,
            reason="shutdown",
        )
        logging.info("[sidecar] Draining. endpoint=%s", self.settings.name)
        with anyio.move_on_after(self.settings.shutdown_s):
            await self.broadcast(leaving)
            self.request_report()
            while not self.handler.is_idle:
                await anyio.sleep(IDLE_POLL_INTERVAL_S)
        logging.info(
            "[sidecar] Stopped. endpoint=%s idle=%s",
            self.settings.name,
            self.handler.is_idle,
        )

    def request_report(self) -> None:
        """Send a load report without waiting for the next heartbeat."""
        self.report_requested.set()

    async def broadcast(self, message: Any) -> None:
        """Send a message to every connected entry.

        :param message: instance of a class from ``generated_messages``.
        """
        await self.listener.broadcast(message)

    async def send_reports(self) -> None:
        """Send load reports as heartbeats until cancelled."""
        while True:
            await self.broadcast(self.build_load_report())
            self.report_requested = anyio.Event()
            with anyio.move_on_after(self.settings.peers.heartbeat_s):
                await self.report_requested.wait()

    def build_load_report(self) -> LoadReport:
        """Build the next load report."""
        self.report_sequence += 1
        report = LoadReport(
            endpoint=self.settings.name,
            incarnation=self.incarnation,
            sequence=self.report_sequence,
            kind=self.settings.kind,
            pool=self.settings.pool,
            failure_domain=self.settings.failure_domain,
            address=self.address,
            state=self.endpoint_state,
            revision=self.revision,
        )
        return self.handler.fill_report(report)

    @property
    def revision(self) -> int:
        """Offset of the latest applied main-stream record; 0 on another stream."""
        return self.fold.next_offset - 1 if self.log_stream == MAIN_STREAM else 0

    @property
    def endpoint_state(self) -> Any:
        """State of the endpoint; ``draining`` while the sidecar is shutting down."""
        if self.stopping:
            return "draining"
        return self.handler.state

    def on_message(self, envelope: Envelope, pipe: Any) -> None:
        """Handle a control message of an entry.

        :param envelope: the message and its sender.
        :param pipe: connection on which the message arrived.
        """
        message = envelope.message
        if isinstance(message, EntryHello):
            self.on_hello(message)
        elif isinstance(message, RecordFeed):
            self.on_feed(message)
        elif isinstance(message, PoolDemand):
            self.handler.on_demand(message)
        elif not isinstance(message, CacheEvents | Leaving | LoadReport):
            logging.warning("[sidecar] Message ignored. type=%s", type(message))

    def on_feed(self, feed: RecordFeed) -> None:
        """Apply records of the main stream that an entry forwarded.

        A sidecar that follows another stream ignores them.

        :param feed: records of the main stream.
        """
        if self.log_stream == MAIN_STREAM:
            self.follower.apply_feed(feed.first_offset, feed.records, feed.tail)

    def on_hello(self, hello: EntryHello) -> None:
        """Record an entry that connected or left; send a load report to a new one.

        :param hello: message of the entry.
        """
        if hello.leaving:
            self.last_hello_s_by_entry.pop(hello.incarnation, None)
            return
        if hello.incarnation not in self.last_hello_s_by_entry:
            self.request_report()
        self.last_hello_s_by_entry[hello.incarnation] = self.clock.monotonic()

    def on_rejected(self, code: int) -> None:
        """Count a control message that was rejected.

        :param code: result code of the rejection.
        """
        self.metrics.count("peer_errors", code=str(int(code)))

    def on_fold_event(self, event: FoldEvent) -> None:
        """Pass an event of the fold to the handler.

        :param event: the event.
        """
        self.handler.on_fold_event(event)

    def on_records(self, first_offset: int, entries: Sequence[LogEntry]) -> None:
        """Ignore the records, since a sidecar forwards none.

        :param first_offset: offset of the first record.
        :param entries: the records.
        """

    @property
    def is_ready(self) -> bool:
        """Whether the sidecar accepts new work."""
        return self.started.is_set() and self.endpoint_state == "live"

    def get_status(self) -> SidecarStatus:
        """Return the status of the sidecar."""
        return SidecarStatus(
            name=self.settings.name,
            incarnation=self.incarnation,
            ready=self.is_ready,
            stopping=self.stopping,
            report=self.build_load_report(),
            changes=list(self.handler.changes),
        )

    def get_subject(self, subject: str) -> SnapshotEntry | None:
        """Return the current entry of a configuration subject, if there is one.

        :param subject: name of the subject, as ``kind/name``.
        """
        return self.fold.get_subject(subject)

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self.metrics.render()

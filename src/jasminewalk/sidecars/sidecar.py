"""Daemon beside one endpoint: the only process that gives it work and orders."""

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
from jasminewalk.operators.operators_http import OperatorsApp, StatusSource
from jasminewalk.sidecars.sidecar_engine import EnginePart
from jasminewalk.sidecars.sidecar_http import SidecarApp
from jasminewalk.sidecars.sidecar_parts import EndpointPart, PartContext
from jasminewalk.sidecars.sidecar_service import ServicePart
from jasminewalk.transport._http import HttpServer, http_client
from jasminewalk.transport.channel import MessageHandler, PeerListener, new_incarnation
from jasminewalk.transport.codec import Envelope
from jasminewalk.transport.peer_auth import PeerAuthenticator

__all__ = ["SidecarDaemon", "SidecarStatus"]

FEED_FRESH_HEARTBEATS = 6
IDLE_POLL_S = 0.02
LINGER_S = 0.3


@attrs.frozen(kw_only=True)
class SidecarStatus:
    """State of a sidecar, for operators.

    :param name: endpoint name.
    :param incarnation: identifier of the process.
    :param ready: whether the sidecar takes work.
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
    :param rng: source of jitter; made from the settings' seed if absent.
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
        self.incarnation = new_incarnation()
        seed = f"{settings.seed}/{self.incarnation}" if settings.seed else None
        self.rng = rng or random.Random(seed)
        self.metrics = Metrics("sidecar")
        self.fold = LogFold()
        self.stopping = False
        self.stop_requested = anyio.Event()
        self.report_wanted = anyio.Event()
        self.started = anyio.Event()
        self.report_sequence = 0
        self.entries: dict[str, float] = {}
        self.address = ""
        self.control_address = settings.control_listen
        self.metrics_address = ""
        self.part: EndpointPart
        self.follower: LogFollower
        self.listener: PeerListener

    async def run(self) -> None:
        """Serve until ``stop`` is called; requests that were admitted finish."""
        async with http_client() as pool:
            log = HttpLog(
                pool,
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
            self.part = self.make_part(
                PartContext(
                    settings=self.settings,
                    incarnation=self.incarnation,
                    clock=self.clock,
                    rng=self.rng,
                    pool=pool,
                    log=log,
                    fold=self.fold,
                    follower=self.follower,
                    metrics=self.metrics,
                    report_now=self.want_report,
                    send=self.broadcast,
                    stop=self.stop,
                )
            )
            await self.serve()

    @property
    def feed_lifetime_s(self) -> float:
        """Seconds for which a feed of records makes reads of the log needless."""
        return FEED_FRESH_HEARTBEATS * self.settings.peers.heartbeat_s

    def make_part(self, context: PartContext) -> EndpointPart:
        """Return the part that deals with the endpoint.

        :param context: what the part needs.
        """
        if self.settings.kind == "engine":
            return EnginePart(context)
        return ServicePart(context)

    @property
    def log_stream(self) -> str:
        """Stream of the log that the sidecar follows."""
        if self.settings.kind == "engine":
            return MAIN_STREAM
        return get_claims_stream_name(self.settings.pool)

    async def serve(self) -> None:
        """Run all tasks of the daemon until the shutdown is over."""
        app = SidecarApp(
            authenticator=PeerAuthenticator(self.settings.peers.shared_key),
            body_bytes=self.settings.peers.message_bytes * 4,
            metrics=self.metrics,
            generations=self.part.generations,
            calls=self.part.calls,
        )
        requests = HttpServer(app, self.settings.listen)
        operators = HttpServer(OperatorsApp(self), self.settings.metrics_listen)
        self.listener = PeerListener(
            self.settings.control_listen,
            self.settings.name,
            self.incarnation,
            self.settings.peers,
            self,
        )
        self.address = requests.address
        self.metrics_address = operators.address
        async with anyio.create_task_group() as group:
            for task in (
                requests.serve,
                operators.serve,
                self.listener.receive,
                self.follower.run,
                self.part.run,
                self.send_reports,
            ):
                group.start_soon(task)
            await requests.wait_started()
            self.started.set()
            logging.info(
                "[sidecar] Serving. endpoint=%s address=%s control=%s",
                self.settings.name,
                self.address,
                self.control_address,
            )
            await self.stop_requested.wait()
            await self.shut_down()
            requests.stop()
            operators.stop()
            await anyio.sleep(LINGER_S)
            self.listener.close()
            group.cancel_scope.cancel()

    def stop(self) -> None:
        """Refuse new work, finish what was admitted, then end ``run``."""
        self.stop_requested.set()

    async def shut_down(self) -> None:
        """Tell the entries that the endpoint leaves, and wait until it is idle."""
        self.stopping = True
        self.part.drain()
        leaving = Leaving(
            endpoint=self.settings.name,
            incarnation=self.incarnation,
            reason="shutdown",
        )
        logging.info("[sidecar] Draining. endpoint=%s", self.settings.name)
        with anyio.move_on_after(self.settings.shutdown_s):
            await self.broadcast(leaving)
            self.want_report()
            while not self.part.idle:
                await anyio.sleep(IDLE_POLL_S)
        logging.info(
            "[sidecar] Stopped. endpoint=%s idle=%s",
            self.settings.name,
            self.part.idle,
        )

    def want_report(self) -> None:
        """Send a load report without waiting for the next heartbeat."""
        self.report_wanted.set()

    async def broadcast(self, message: Any) -> None:
        """Send a message to every connected entry.

        :param message: object of a class from ``generated_messages``.
        """
        await self.listener.broadcast(message)

    async def send_reports(self) -> None:
        """Send load reports as heartbeats until cancelled."""
        while True:
            await self.broadcast(self.load_report())
            self.report_wanted = anyio.Event()
            with anyio.move_on_after(self.settings.peers.heartbeat_s):
                await self.report_wanted.wait()

    def load_report(self) -> LoadReport:
        """Return the next load report."""
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
        return self.part.fill_report(report)

    @property
    def revision(self) -> int:
        """Offset of the main stream that was folded; 0 if another is followed."""
        return self.fold.next_offset - 1 if self.log_stream == MAIN_STREAM else 0

    @property
    def endpoint_state(self) -> Any:
        """What the endpoint can take."""
        if self.stopping:
            return "draining"
        return self.part.state

    def on_message(self, envelope: Envelope, pipe: Any) -> None:
        """Take a control message of an entry.

        :param envelope: the message and its sender.
        :param pipe: connection it came from.
        """
        message = envelope.message
        if isinstance(message, EntryHello):
            self.on_hello(message)
        elif isinstance(message, RecordFeed):
            self.on_feed(message)
        elif isinstance(message, PoolDemand):
            self.part.on_demand(message)
        elif not isinstance(message, CacheEvents | Leaving | LoadReport):
            logging.warning("[sidecar] Message ignored. type=%s", type(message))

    def on_feed(self, feed: RecordFeed) -> None:
        """Fold records that an entry passes on, unless this follows another stream.

        :param feed: records of the main stream.
        """
        if self.log_stream == MAIN_STREAM:
            self.follower.apply_feed(feed.first_offset, feed.records, feed.tail)

    def on_hello(self, hello: EntryHello) -> None:
        """Note an entry; a new one gets a load report at once.

        :param hello: the entry's message.
        """
        if hello.leaving:
            self.entries.pop(hello.incarnation, None)
            return
        if hello.incarnation not in self.entries:
            self.want_report()
        self.entries[hello.incarnation] = self.clock.monotonic()

    def on_rejected(self, code: int) -> None:
        """Count a control message that was dropped.

        :param code: result code that says why.
        """
        self.metrics.count("peer_errors", code=str(int(code)))

    def on_fold_event(self, event: FoldEvent) -> None:
        """Pass on what a log record changed.

        :param event: the event.
        """
        self.part.on_fold_event(event)

    def on_records(self, first_offset: int, entries: Sequence[LogEntry]) -> None:
        """Ignore the records themselves; a sidecar feeds nobody.

        :param first_offset: offset of the first record.
        :param entries: the records.
        """

    @property
    def is_ready(self) -> bool:
        """Whether the sidecar takes work."""
        return self.started.is_set() and self.endpoint_state == "live"

    def get_status(self) -> SidecarStatus:
        """Return the sidecar's state."""
        return SidecarStatus(
            name=self.settings.name,
            incarnation=self.incarnation,
            ready=self.is_ready,
            stopping=self.stopping,
            report=self.load_report(),
            changes=list(self.part.changes),
        )

    def get_subject(self, subject: str) -> SnapshotEntry | None:
        """Return the revision of a subject of the configuration in force.

        :param subject: what is asked for, as kind/name.
        """
        return self.fold.get_subject(subject)

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self.metrics.render()

"""Daemon that accepts callers and relays their answers from the endpoints."""

import random
from collections.abc import Sequence
from typing import Any

import anyio
from absl import logging
from anyio.abc import TaskGroup

from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.fold_events import FoldEvent, SubjectChanged
from jasminewalk.agreement.log_client import HttpLog
from jasminewalk.agreement.log_follower import FoldListener, LogFollower
from jasminewalk.agreement.snapshot_task import SnapshotTask
from jasminewalk.clock import Clock, SystemClock
from jasminewalk.generated_messages import CacheEvents, Leaving, LoadReport
from jasminewalk.generated_records import SnapshotEntry
from jasminewalk.generated_settings import EntrySettings
from jasminewalk.ingress._api_requests import JobBuilder
from jasminewalk.ingress.api import CallersApi, ReadinessSource
from jasminewalk.ingress.connections import SidecarConnections
from jasminewalk.ingress.dispatch import Dispatcher
from jasminewalk.ingress.entry_peers import PeerLinks
from jasminewalk.ingress.entry_status import EntryStatus, endpoint_statuses
from jasminewalk.ingress.traces import RequestTrace, TraceStore
from jasminewalk.interfaces import InstanceList, Log, LogEntry
from jasminewalk.metrics import Metrics
from jasminewalk.operators.configuration import ConfigurationView
from jasminewalk.operators.operators_http import OperatorsApp, StatusSource
from jasminewalk.scheduling.membership import Membership
from jasminewalk.scheduling.routing import Router, RoutingSettings
from jasminewalk.scheduling.tokens import CharacterTokenizer
from jasminewalk.transport._http import HttpServer, http_client
from jasminewalk.transport.channel import MessageHandler, new_incarnation
from jasminewalk.transport.codec import Envelope
from jasminewalk.transport.instances_client import HttpInstanceList
from jasminewalk.transport.peer_auth import PeerAuthenticator

__all__ = ["EntryDaemon"]

PLATFORM_CONNECTIONS = 8
LINGER_S = 0.3
OUTAGE_POLLS = 2
DEMAND_HEARTBEATS = 2


class EntryDaemon(MessageHandler, FoldListener, StatusSource, ReadinessSource):
    """Serves callers until it is stopped.

    :param settings: settings of the entry.
    :param clock: source of time.
    :param rng: random source; made from the settings' seed if absent.
    """

    def __init__(
        self,
        settings: EntrySettings,
        *,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.rng = rng or random.Random(settings.seed or None)
        self.incarnation = new_incarnation()
        self.metrics = Metrics("entry")
        self.fold = LogFold()
        self.configuration = ConfigurationView()
        self.membership = Membership(settings)
        self.router = Router(RoutingSettings(entry=settings.name), self.rng)
        self.traces = TraceStore()
        self.changes: list[SubjectChanged] = []
        self.stopping = False
        self.stop_requested = anyio.Event()
        self.started = anyio.Event()
        self.requests_ended = anyio.Event()
        self.address = ""
        self.control_address = ""
        self.follower: LogFollower | None = None
        self.connections = SidecarConnections(
            authenticator=PeerAuthenticator(settings.peers.shared_key),
            connect_timeout_s=settings.connect_timeout_s,
            clock=self.clock,
        )
        self.links = PeerLinks(
            settings=settings,
            incarnation=self.incarnation,
            clock=self.clock,
            membership=self.membership,
            handler=self,
            revision=lambda: self.fold.next_offset - 1,
        )
        self.dispatcher = Dispatcher(
            clock=self.clock,
            router=self.router,
            membership=self.membership,
            connections=self.connections,
            traces=self.traces,
            metrics=self.metrics,
            progress_timeout_s=settings.progress_timeout_s,
            log_reachable=self.is_log_reachable,
        )

    async def run(self) -> None:
        """Serve until ``stop`` is called; open requests finish first."""
        async with http_client(PLATFORM_CONNECTIONS) as pool:
            timeout_s = self.settings.log.timeout_s
            log = HttpLog(pool, self.settings.log.address, timeout_s)
            instances = HttpInstanceList(
                pool, self.settings.instances_address, timeout_s
            )
            try:
                await self.serve(log, instances)
            finally:
                await self.connections.aclose()

    async def serve(self, log: Log, instances: InstanceList) -> None:
        """Run all tasks of the daemon until the shutdown is over.

        :param log: the platform's log.
        :param instances: the platform's instance list.
        """
        self.follower = LogFollower(
            log=log,
            fold=self.fold,
            settings=self.settings.log,
            clock=self.clock,
            listener=self,
        )
        snapshots = SnapshotTask(
            log=log,
            fold=self.fold,
            settings=self.settings.log,
            clock=self.clock,
            rng=self.rng,
        )
        requests = HttpServer(self.callers_api(), self.settings.listen)
        operators = HttpServer(OperatorsApp(self), self.settings.control_listen)
        self.address = requests.address
        self.control_address = operators.address
        async with anyio.create_task_group() as group:
            group.start_soon(self.serve_requests, requests)
            group.start_soon(operators.serve)
            group.start_soon(self.follower.run)
            group.start_soon(self.connections.run)
            group.start_soon(snapshots.run)
            group.start_soon(self.links.run, group)
            group.start_soon(self.follow_instances, instances)
            group.start_soon(self.send_demand)
            await requests.wait_started()
            await operators.wait_started()
            self.started.set()
            logging.info(
                "[entry] Serving. entry=%s address=%s control=%s",
                self.settings.name,
                self.address,
                self.control_address,
            )
            await self.stop_requested.wait()
            await self.shut_down(requests)
            self.end(group, operators)

    def callers_api(self) -> CallersApi:
        """Return the application for callers."""
        jobs = JobBuilder(
            configuration=self.configuration,
            tokenizer=CharacterTokenizer(),
            clock=self.clock,
        )
        return CallersApi(
            dispatcher=self.dispatcher,
            jobs=jobs,
            readiness=self,
            body_bytes=self.settings.body_bytes,
            id_prefix=self.incarnation,
        )

    async def serve_requests(self, requests: HttpServer) -> None:
        """Serve callers until stopped.

        :param requests: listener for callers.
        """
        await requests.serve()
        self.requests_ended.set()

    def stop(self) -> None:
        """Stop accepting, finish open requests, then end ``run``."""
        self.stop_requested.set()

    async def shut_down(self, requests: HttpServer) -> None:
        """Finish open requests; new ones are still taken for a moment.

        :param requests: listener for callers.
        """
        logging.info("[entry] Stopping. entry=%s", self.settings.name)
        self.stopping = True
        self.links.leaving = True
        await anyio.sleep(LINGER_S)
        requests.stop()
        with anyio.move_on_after(self.settings.shutdown_s):
            await self.requests_ended.wait()
        self.links.greet_all()
        logging.info(
            "[entry] Stopped. entry=%s finished=%s",
            self.settings.name,
            self.requests_ended.is_set(),
        )

    def end(self, group: TaskGroup, operators: HttpServer) -> None:
        """End the remaining tasks.

        :param group: their task group.
        :param operators: listener for operators.
        """
        operators.stop()
        group.cancel_scope.cancel()

    async def follow_instances(self, instances: InstanceList) -> None:
        """Read the instance list until cancelled.

        :param instances: the platform's instance list.
        """
        failing = False
        while True:
            try:
                rows = await instances.instances()
                now_s = self.clock.monotonic()
                for endpoint in self.membership.observe_instances(now_s, rows):
                    self.router.forget(endpoint)
                failing = False
            except OSError as error:
                if not failing:
                    logging.warning("[entry] Instance list failed. error=%r", error)
                failing = True
            await anyio.sleep(self.settings.instances_poll_s)

    async def send_demand(self) -> None:
        """Tell the sidecars what work arrives, until cancelled."""
        while True:
            await anyio.sleep(DEMAND_HEARTBEATS * self.settings.peers.heartbeat_s)
            self.links.send_demand(self.router.demand(self.clock.monotonic()))

    def on_message(self, envelope: Envelope, pipe: Any) -> None:
        """Take a control message of a sidecar.

        :param envelope: the message and its sender.
        :param pipe: connection it came from.
        """
        now_s = self.clock.monotonic()
        message = envelope.message
        if getattr(message, "endpoint", envelope.sender) != envelope.sender:
            logging.warning("[entry] Message ignored. sender=%s", envelope.sender)
        elif isinstance(message, LoadReport):
            if self.membership.observe_report(now_s, message):
                self.router.observe_report(now_s, message)
                self.links.on_revision(message.endpoint, message.revision)
        elif isinstance(message, CacheEvents):
            self.router.observe_cache(now_s, message)
        elif isinstance(message, Leaving):
            self.membership.observe_leaving(now_s, message)

    def on_rejected(self, code: int) -> None:
        """Count a control message that was dropped.

        :param code: result code that says why.
        """
        self.metrics.count("peer_errors", code=str(int(code)))

    def on_fold_event(self, event: FoldEvent) -> None:
        """Put an accepted change of the configuration in force.

        :param event: what a log record changed.
        """
        if isinstance(event, SubjectChanged):
            self.configuration.apply(
                event.subject, event.revision, event.document, event.deleted
            )

    def on_records(self, first_offset: int, entries: Sequence[LogEntry]) -> None:
        """Pass records on to the sidecars.

        :param first_offset: offset of the first record.
        :param entries: the records.
        """
        self.links.on_records(entries)

    @property
    def has_configuration(self) -> bool:
        """Whether the configuration was read up to a tail seen after the start."""
        return self.follower is not None and self.follower.ready.is_set()

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return self.has_configuration and not self.stopping

    def is_log_reachable(self) -> bool:
        """Return whether the log answered lately; one lost answer is no outage."""
        if self.follower is None:
            return False
        silent_s = self.clock.monotonic() - self.follower.last_read_s
        patience_s = OUTAGE_POLLS * self.settings.log.poll_wait_s
        return self.follower.reachable or silent_s < patience_s

    def status(self) -> EntryStatus:
        """Return the entry's state."""
        now_s = self.clock.monotonic()
        return EntryStatus(
            name=self.settings.name,
            incarnation=self.incarnation,
            failure_domain=self.settings.failure_domain,
            ready=self.is_ready,
            stopping=self.stopping,
            revision=self.fold.next_offset - 1,
            log_reachable=bool(self.follower and self.follower.reachable),
            endpoints=endpoint_statuses(now_s, self.membership),
        )

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self.metrics.render()

    def subject(self, subject: str) -> SnapshotEntry | None:
        """Return the revision of a subject of the configuration in force.

        :param subject: what is asked for, as kind/name.
        """
        return self.fold.get_subject(subject)

    def explain(self, request_id: str) -> RequestTrace | None:
        """Return what became of a request, or nothing if it is not kept.

        :param request_id: identifier of the request.
        """
        return self.traces.get(request_id)

"""Entry daemon: serves callers and routes their requests to endpoints."""

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
from jasminewalk.exceptions import BadSettingsError
from jasminewalk.generated_messages import CacheEvents, Leaving, LoadReport
from jasminewalk.generated_records import SnapshotEntry
from jasminewalk.generated_settings import EntrySettings
from jasminewalk.ingress._api_requests import JobBuilder
from jasminewalk.ingress.api import CallerApi, ReadinessSource
from jasminewalk.ingress.connections import SidecarConnectionPool
from jasminewalk.ingress.dispatch import Dispatcher
from jasminewalk.ingress.entry_peers import SidecarChannels
from jasminewalk.ingress.entry_status import EntryStatus, list_endpoint_statuses
from jasminewalk.ingress.traces import RequestTrace, TraceStore
from jasminewalk.interfaces import InstanceList, Log, LogEntry
from jasminewalk.metrics import Metrics
from jasminewalk.operators.configuration import ConfigurationView
from jasminewalk.operators.operators_http import OperatorApp, StatusSource
from jasminewalk.scheduling.membership import Membership
from jasminewalk.scheduling.routing import Router, RoutingSettings
from jasminewalk.scheduling.tokens import CharacterTokenizer
from jasminewalk.transport._http import (
    MEMORY_PER_BODY_BYTE,
    HttpServer,
    open_http_pool,
)
from jasminewalk.transport._http_call import MEMORY_PER_REPLY_BYTE
from jasminewalk.transport.channel import MessageHandler, generate_incarnation
from jasminewalk.transport.codec import Envelope
from jasminewalk.transport.connection_guard import ConnectionGuard
from jasminewalk.transport.instances_client import HttpInstanceList
from jasminewalk.transport.memory_limit import MemoryLimit
from jasminewalk.transport.peer_auth import PeerAuthenticator

__all__ = ["EntryDaemon"]

MAX_PLATFORM_CONNECTIONS = 8
# The balancer may send new requests until it sees that the entry is not ready.
LISTENER_CLOSE_DELAY_S = 0.3
OUTAGE_POLL_WAITS = 2
DEMAND_INTERVAL_HEARTBEATS = 2
# Memory of a request with the largest body and as large a reply, for each byte of it.
MEMORY_PER_BODY = MEMORY_PER_BODY_BYTE + MEMORY_PER_REPLY_BYTE


class EntryDaemon(MessageHandler, FoldListener, StatusSource, ReadinessSource):
    """Accepts requests of callers until it is stopped.

    :param settings: settings of the entry.
    :param clock: source of time; the system clock by default.
    :param rng: random source; seeded from the settings by default.
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
        self.incarnation = generate_incarnation()
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
        self.caller_server_ended = anyio.Event()
        self.address = ""
        self.control_address = ""
        self.follower: LogFollower | None = None
        self.connections = SidecarConnectionPool(
            authenticator=PeerAuthenticator(settings.peers.shared_key),
            connect_timeout_s=settings.connect_timeout_s,
            clock=self.clock,
        )
        self.sidecar_channels = SidecarChannels(
            settings=settings,
            incarnation=self.incarnation,
            clock=self.clock,
            membership=self.membership,
            handler=self,
            get_revision=lambda: self.fold.next_offset - 1,
        )
        self.dispatcher = Dispatcher(
            clock=self.clock,
            router=self.router,
            membership=self.membership,
            connections=self.connections,
            traces=self.traces,
            metrics=self.metrics,
            progress_timeout_s=settings.progress_timeout_s,
            is_log_reachable=self.is_log_reachable,
        )

    async def run(self) -> None:
        """Serve until ``stop`` is called and open requests have finished."""
        async with open_http_pool(MAX_PLATFORM_CONNECTIONS) as http:
            timeout_s = self.settings.log.timeout_s
            log = HttpLog(http, self.settings.log.address, timeout_s)
            instances = HttpInstanceList(
                http, self.settings.instances_address, timeout_s
            )
            try:
                await self.serve(log, instances)
            finally:
                await self.connections.aclose()

    async def serve(self, log: Log, instances: InstanceList) -> None:
        """Run all tasks of the daemon until the shutdown is complete.

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
        guard = ConnectionGuard.from_limits(
            self.settings.memory_mb,
            self.settings.max_connections,
            lambda kind: self.metrics.count("memory_refusals", kind=kind),
        )
        if guard.memory.max_large_bytes < MEMORY_PER_BODY * self.settings.body_bytes:
            raise BadSettingsError(
                f"memory_mb {self.settings.memory_mb} is too little for body_bytes "
                f"{self.settings.body_bytes} and max_connections "
                f"{self.settings.max_connections}."
            )
        caller_server = HttpServer(
            self.create_caller_api(guard.memory), self.settings.listen, guard
        )
        operator_server = HttpServer(OperatorApp(self), self.settings.control_listen)
        self.address = caller_server.address
        self.control_address = operator_server.address
        async with anyio.create_task_group() as group:
            group.start_soon(self.serve_callers, caller_server)
            group.start_soon(operator_server.serve)
            group.start_soon(self.follower.run)
            group.start_soon(self.connections.run)
            group.start_soon(snapshots.run)
            group.start_soon(self.sidecar_channels.run, group)
            group.start_soon(self.poll_instances, instances)
            group.start_soon(self.send_demand)
            await caller_server.wait_started()
            await operator_server.wait_started()
            self.started.set()
            logging.info(
                "[entry] Serving. entry=%s address=%s control=%s",
                self.settings.name,
                self.address,
                self.control_address,
            )
            await self.stop_requested.wait()
            await self.shut_down(caller_server)
            self.stop_tasks(group, operator_server)

    def create_caller_api(self, memory: MemoryLimit) -> CallerApi:
        """Create the ASGI application for callers.

        :param memory: limit on what their requests hold.
        """
        job_builder = JobBuilder(
            configuration=self.configuration,
            tokenizer=CharacterTokenizer(),
            clock=self.clock,
        )
        return CallerApi(
            dispatcher=self.dispatcher,
            job_builder=job_builder,
            readiness=self,
            max_body_bytes=self.settings.body_bytes,
            id_prefix=self.incarnation,
            memory=memory,
        )

    async def serve_callers(self, caller_server: HttpServer) -> None:
        """Serve callers until their server is stopped.

        :param caller_server: HTTP server for callers.
        """
        await caller_server.serve()
        self.caller_server_ended.set()

    def stop(self) -> None:
        """Ask ``run`` to stop accepting requests, finish open ones and return."""
        self.stop_requested.set()

    async def shut_down(self, caller_server: HttpServer) -> None:
        """Report the entry as not ready, then finish open requests.

        New requests are still accepted for ``LISTENER_CLOSE_DELAY_S``. After
        that, the wait for open requests ends after ``shutdown_s`` seconds in any case.

        :param caller_server: HTTP server for callers.
        """
        logging.info("[entry] Stopping. entry=%s", self.settings.name)
        self.stopping = True
        self.sidecar_channels.leaving = True
        await anyio.sleep(LISTENER_CLOSE_DELAY_S)
        caller_server.stop()
        with anyio.move_on_after(self.settings.shutdown_s):
            await self.caller_server_ended.wait()
        self.sidecar_channels.send_hello_to_all()
        logging.info(
            "[entry] Stopped. entry=%s finished=%s",
            self.settings.name,
            self.caller_server_ended.is_set(),
        )

    def stop_tasks(self, group: TaskGroup, operator_server: HttpServer) -> None:
        """Stop the remaining tasks.

        :param group: task group of the tasks.
        :param operator_server: HTTP server for operators.
        """
        operator_server.stop()
        group.cancel_scope.cancel()

    async def poll_instances(self, instances: InstanceList) -> None:
        """Poll the instance list until cancelled.

        :param instances: the platform's instance list.
        """
        failing = False
        while True:
            try:
                listed = await instances.instances()
                now_s = self.clock.monotonic()
                for endpoint in self.membership.observe_instances(now_s, listed):
                    self.router.remove_endpoint(endpoint)
                failing = False
            except OSError as error:
                if not failing:
                    logging.warning(
                        "[entry] Reading the instance list failed. error=%r", error
                    )
                failing = True
            await anyio.sleep(self.settings.instances_poll_s)

    async def send_demand(self) -> None:
        """Send the demand of each pool to its sidecars periodically until cancelled."""
        while True:
            await anyio.sleep(
                DEMAND_INTERVAL_HEARTBEATS * self.settings.peers.heartbeat_s
            )
            self.sidecar_channels.send_demand(
                self.router.collect_demand(self.clock.monotonic())
            )

    def on_message(self, envelope: Envelope, pipe: Any) -> None:
        """Handle a control message of a sidecar.

        A message about another endpoint than its sender is ignored.

        :param envelope: the message and its sender.
        :param pipe: connection that the message arrived on.
        """
        now_s = self.clock.monotonic()
        message = envelope.message
        if getattr(message, "endpoint", envelope.sender) != envelope.sender:
            logging.warning(
                "[entry] Message about another endpoint ignored. sender=%s",
                envelope.sender,
            )
        elif isinstance(message, LoadReport):
            if self.membership.observe_report(now_s, message):
                self.router.observe_report(now_s, message)
                self.sidecar_channels.on_revision(message.endpoint, message.revision)
        elif isinstance(message, CacheEvents):
            self.router.observe_cache(now_s, message)
        elif isinstance(message, Leaving):
            self.membership.observe_leaving(now_s, message)

    def on_rejected(self, code: int) -> None:
        """Count a control message that was rejected.

        :param code: result code of the rejection.
        """
        self.metrics.count("peer_errors", code=str(int(code)))

    def on_fold_event(self, event: FoldEvent) -> None:
        """Apply an accepted change of the configuration.

        :param event: the change that a log record made.
        """
        if isinstance(event, SubjectChanged):
            self.configuration.apply(
                event.subject, event.revision, event.document, event.deleted
            )

    def on_records(self, first_offset: int, entries: Sequence[LogEntry]) -> None:
        """Forward records to the sidecars of engines.

        :param first_offset: offset of the first record.
        :param entries: the records.
        """
        self.sidecar_channels.on_records(entries)

    @property
    def has_configuration(self) -> bool:
        """Whether the log was read up to a tail observed after the start."""
        return self.follower is not None and self.follower.ready.is_set()

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send requests to this entry."""
        return self.has_configuration and not self.stopping

    def is_log_reachable(self) -> bool:
        """Return whether the log responded recently.

        A single lost response does not make the log unreachable, because calls that
        need the log are refused while it is.
        """
        if self.follower is None:
            return False
        silence_s = self.clock.monotonic() - self.follower.last_read_s
        max_silence_s = OUTAGE_POLL_WAITS * self.settings.log.poll_wait_s
        return self.follower.is_reachable or silence_s < max_silence_s

    def get_status(self) -> EntryStatus:
        """Return the entry's state."""
        now_s = self.clock.monotonic()
        return EntryStatus(
            name=self.settings.name,
            incarnation=self.incarnation,
            failure_domain=self.settings.failure_domain,
            ready=self.is_ready,
            stopping=self.stopping,
            revision=self.fold.next_offset - 1,
            log_reachable=bool(self.follower and self.follower.is_reachable),
            endpoints=list_endpoint_statuses(now_s, self.membership),
        )

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self.metrics.render()

    def get_subject(self, subject: str) -> SnapshotEntry | None:
        """Return the current revision of a subject, or None if there is none.

        :param subject: name of the subject, as ``kind/name``.
        """
        return self.fold.get_subject(subject)

    def get_trace(self, request_id: str) -> RequestTrace | None:
        """Return the trace of a request, or None if it is not stored.

        :param request_id: identifier of the request.
        """
        return self.traces.get(request_id)

"""Gateway process: startup, request dispatch, settings reload and shutdown."""

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from jasminewalk.exceptions import BadSettingsError
from jasminewalk.gateway.admission import AdmissionPolicy
from jasminewalk.gateway.configuration_relay import ConfigurationRelay
from jasminewalk.gateway.context import GatewayContext
from jasminewalk.gateway.crash_quarantine import CrashQuarantine
from jasminewalk.gateway.crash_watch import CrashWatch
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.dispatcher import RequestDispatcher
from jasminewalk.gateway.duties import (
    LeaseGroup,
    SteadyWallClock,
    UsageCounter,
    create_usage_duty,
)
from jasminewalk.gateway.duties.lease_group import SESSION_S, read_boot_clock
from jasminewalk.gateway.engine_clients import EngineClients
from jasminewalk.gateway.fleet import Fleet, FleetEvent
from jasminewalk.gateway.holder_lease import USAGE_PARTITION, HolderLease
from jasminewalk.gateway.metrics import GatewayMetrics
from jasminewalk.gateway.organisations import AccessPolicy
from jasminewalk.gateway.peer_link import GatewaysFollower, PeerLink
from jasminewalk.gateway.peers import PeerExchange
from jasminewalk.gateway.placement import PlacementPolicy
from jasminewalk.gateway.planned_stop import Drain, PlannedStop
from jasminewalk.gateway.quarantine_news import QuarantineExchange
from jasminewalk.gateway.quarantine_store import QuarantineFollower
from jasminewalk.gateway.read_check import ReadCheck
from jasminewalk.gateway.routes import RouteTable
from jasminewalk.gateway.settings_watch import SettingsWatch
from jasminewalk.gateway.stage_controller import StageController
from jasminewalk.gateway.stage_planner import StagePlanner
from jasminewalk.gateway.start_check import StartCheck
from jasminewalk.gateway.store_connections import StoreConnections
from jasminewalk.gateway.store_follower import (
    ConfigurationFollower,
    RegistryFollower,
)
from jasminewalk.gateway.stream_history import StreamHistory
from jasminewalk.gateway.stream_origins import StreamOriginLog
from jasminewalk.gateway.stream_versions import StreamVersions
from jasminewalk.gateway.version_shares import VersionShares
from jasminewalk.gateway.version_store import VersionsFollower
from jasminewalk.http1.memory_plan import MemoryPlan
from jasminewalk.http1.server import CallerConnection, CallerRequest, CallerServer
from jasminewalk.platform.configuration import ServingConfiguration
from jasminewalk.platform.settings import load_settings
from jasminewalk.platform.store import StoreClient

__all__ = ["GatewayDaemon"]

# Port of the metrics on the address of the instance; also set in deploy/system.toml.
METRICS_PORT = 9464
UNAVAILABLE, OK = 503, 200
# Seconds before a failed task is restarted.
TASK_RESTART_DELAY_S = 0.5


class GatewayDaemon:
    """Runs one gateway until SIGTERM.

    :param path: path of the settings file.
    :raises BadSettingsError: if the settings can't be read.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.settings = load_settings(path)
        self.clock: Callable[[], float] = time.monotonic
        self.started_ms = int(time.time() * 1e3)
        self.log = DecisionLog(self.settings.name, self.clock)
        self.settings_watch = SettingsWatch(path, self.log, self.reload)
        self.fleet = Fleet(self.settings.heartbeat_s)
        self.clients = EngineClients(self.fleet, self.clock)
        self.clients.on_event = self._log_engine_event
        self.metrics = GatewayMetrics()
        self.stopping = asyncio.Event()
        self.planned_stop = PlannedStop(self.clock)
        peer_address = f"{self.settings.ip}:{self.settings.peer_port}"
        self.peers = PeerExchange(
            self.settings.name, peer_address, self.started_ms, self.fleet
        )
        quarantine = CrashQuarantine()
        self.crash_watch = CrashWatch(
            self.clients,
            quarantine,
            QuarantineExchange(quarantine),
            self.log,
            self.metrics,
            self.clock,
        )
        self.store_connections = StoreConnections(
            self.settings.store_address, self.clock
        )
        self.store = StoreClient(self.store_connections.call)
        self.store.on_new_era = self._handle_new_era
        self.stream_versions = StreamVersions(self.peers, self.clock)
        self.version_shares = VersionShares()
        self.stream_origins = StreamOriginLog(self.store, self.log, self.clock)
        self.usage = UsageCounter(
            self.settings.duties.counted_window_s,
            self.clock,
            SteadyWallClock(read_boot_clock, time.time),
        )
        self.context = GatewayContext(
            settings=self.settings,
            fleet=self.fleet,
            clients=self.clients,
            placement=PlacementPolicy(self.settings.failure_domain),
            admission=AdmissionPolicy(),
            peers=self.peers,
            crash_watch=self.crash_watch,
            stream_history=StreamHistory(
                self.stream_versions,
                self.version_shares,
                self.stream_origins,
                self.fleet,
                self.clock,
            ),
            start_check=StartCheck(self.fleet, self.clients, self.log, self.clock),
            log=self.log,
            metrics=self.metrics,
            clock=self.clock,
            wall_clock=time.time,
            access_policy=AccessPolicy.from_bounds(self.settings.bounds),
            usage=self.usage,
        )
        self.caller_server = CallerServer(
            self.handle_request,
            self.clock,
            self._log_handler_failure,
            self._log_unreadable_request,
        )
        self._limit_memory()
        self.drain = Drain(self.planned_stop, self.caller_server, self.log, self.clock)
        self.dispatcher = RequestDispatcher(
            self.context, self.drain, lambda: self.has_started
        )
        self.control_server = CallerServer(
            self.handle_control,
            self.clock,
            self._log_handler_failure,
            self._log_unreadable_request,
        )
        self.metrics_server = CallerServer(
            self.handle_control,
            self.clock,
            self._log_handler_failure,
            self._log_unreadable_request,
        )
        self.caller_server.on_unread = self._log_unread_response
        self.metrics.watch_memory(self.caller_server, self.clients.budget)
        self.configuration = ConfigurationFollower(
            self.store, self.log, self.clock, self._apply_configuration
        )
        self.registry = RegistryFollower(self.store, self.log, self.clock, self.fleet)
        self.registry.on_recovery = lambda unread_s: self.fleet.record_store_recovery(
            self.clock(), unread_s
        )
        self.metrics.registry_age.set_function(
            lambda: self.registry.compute_unread_s(self.clock())
        )
        self.gateways = GatewaysFollower(self.store, self.log, self.clock, self.peers)
        self.quarantines = QuarantineFollower(
            self.store,
            self.log,
            self.clock,
            time.time,
            self.crash_watch,
            lambda: not self.peers.compute_rank(self.clock()),
        )
        self.versions = VersionsFollower(
            self.store,
            self.log,
            self.clock,
            self.fleet,
            self.peers,
            self.version_shares,
        )
        self.versions.on_moved = self.context.stream_history.store_moved
        read_check = ReadCheck(self.registry, self.versions)
        self.context.stream_history.read_check = read_check
        self.stream_versions.get_read_state = lambda: read_check.announced_state
        self.relay = ConfigurationRelay(
            self.peers,
            self.configuration,
            self.log,
            self.clock,
            lambda: self.context.access_policy.key_ring is not None,
        )
        self.context.get_unread_s = lambda: self.configuration.compute_unread_s(
            self.clock()
        )
        self.context.is_behind = lambda: self.relay.is_behind
        self.peer_link = PeerLink(
            self.peers,
            self.configuration,
            self.registry,
            self.versions,
            self.crash_watch,
            self.stream_versions,
            self.context.fair_shares,
            self.log,
            self.clock,
        )
        self.peer_link.on_message = self.relay.receive
        self.configuration.on_read = self.registry.on_read = self.peer_link.announce
        self.versions.on_written = self.peer_link.announce
        self.crash_watch.on_urgent = self.peer_link.announce
        self.crash_watch.on_found = self.quarantines.found_here.set
        self.leases = LeaseGroup(
            f"{self.settings.name}/{self.started_ms}",
            self.store,
            self.peers,
            self.log,
            self.clock,
        )
        session_s = max(SESSION_S, self.settings.store_session_s)
        handover_gap_s = self.settings.bounds.handover_gap_s
        self.stage_controller = StageController(
            self.settings.name,
            self.fleet,
            self.peers,
            self.clients,
            StagePlanner(),
            self.leases.add("stages", HolderLease(session_s, handover_gap_s)),
            self.log,
            self.clock,
        )
        self.leases.after_renewal = self.stage_controller.order_if_allowed
        self.usage_duty = create_usage_duty(
            self.settings.duties,
            self.usage,
            self.leases,
            HolderLease(session_s, handover_gap_s, partition=USAGE_PARTITION),
        )
        if self.usage_duty is not None:
            self.peer_link.connect_usage(self.usage_duty)
        self.tasks: list[asyncio.Task[None]] = []

    def _limit_memory(self) -> None:
        settings = self.context.settings
        plan = MemoryPlan.from_limits(settings.memory_bytes, settings.max_open_files)
        plan.apply(self.caller_server, self.clients.budget)

    async def run(self) -> None:
        """Serve until SIGTERM, then drain the requests that are running."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGINT, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.log.info("started", zone=self.settings.failure_domain)
        await self.control_server.listen(self.settings.readiness_address)
        await self.caller_server.listen(self.settings.callers_address)
        await self._listen_for_metrics()
        await self.peer_link.open()
        for task_function in (
            self.log.flush_forever,
            self.caller_server.sweep_forever,
            self.control_server.sweep_forever,
            self.metrics_server.sweep_forever,
            self.clients.sweep_forever,
            self.configuration.run,
            self.registry.run,
            self.gateways.register_and_run,
            self.quarantines.run,
            self.quarantines.write_forever,
            self.versions.run,
            self.versions.write_forever,
            self.stream_origins.write_forever,
            self.peer_link.run,
            self.settings_watch.run,
            self.leases.run,
            self.relay.run,
        ):
            self._spawn(task_function)
        if self.usage_duty is not None:
            self._spawn(self.usage_duty.tell_forever)
            self._spawn(self.usage_duty.report_forever)
        await self.stopping.wait()
        self._spawn(self.leases.leave)
        await self.drain.run(self.context.settings.bounds.grace_s)
        for task in self.tasks:
            task.cancel()
        self.log.flush()

    def reload(self) -> None:
        """Reload the settings file; keep the current settings if it is invalid."""
        try:
            settings = load_settings(self.path)
        except BadSettingsError as error:
            self.log.warning("settings_unreadable", detail=str(error))
            return
        if settings != self.context.settings:
            self.context.update_settings(settings)
            self.store_connections.use_address(settings.store_address)
            self._limit_memory()
            self.log.info("settings_reloaded")

    @property
    def routes(self) -> RouteTable | None:
        """Routes of the configuration in force; None if none was read yet."""
        return self.dispatcher.routes

    @property
    def is_ready(self) -> bool:
        """Whether this process can serve callers."""
        return self.has_started and not self.stopping.is_set()

    @property
    def has_started(self) -> bool:
        """Whether this process knows what it needs to serve callers."""
        return (
            self.routes is not None
            and self.fleet.loaded
            and self.quarantines.was_read
            and self.versions.was_read
        )

    # Requests.

    async def handle_request(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        """Handle one request of a caller.

        :param connection: the caller's connection.
        :param request: the request.
        """
        await self.dispatcher.handle(connection, request)

    async def handle_control(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        """Handle a readiness check of the load balancer or a request for the metrics.

        :param connection: connection of the client.
        :param request: the request.
        """
        if request.path == "/metrics":
            connection.send_response(OK, (), self.metrics.render())
        else:
            connection.send_response(OK if self.is_ready else UNAVAILABLE, (), b"")

    def _log_engine_event(self, event: FleetEvent) -> None:
        self.log.info(event.event, **event.fields)

    def _log_handler_failure(self, request: CallerRequest, error: Exception) -> None:
        self.log.warning(
            "handler_failed",
            path=request.path[:80],
            error=repr(error),
            at=_format_location(error),
        )

    def _log_unreadable_request(self, status: int) -> None:
        self.metrics.unreadable.labels(str(status)).inc()
        self.log.warning("request_unreadable", status=status)

    def _log_unread_response(self, unsent_bytes: int) -> None:
        self.metrics.unread_responses.inc()
        self.log.warning("response_unread", unsent_bytes=unsent_bytes)

    # Configuration and settings.

    def _apply_configuration(self, configuration: ServingConfiguration) -> None:
        self.dispatcher.routes = RouteTable.from_configuration(configuration)
        self.context.access_policy.use(configuration.organisations)
        self.fleet.set_services(configuration.services)
        self.caller_server.limits = configuration.limits
        self.metrics.configuration_version.set(configuration.version)
        self.log.info(
            "configuration_in_force",
            version=configuration.version,
            routes=len(configuration.routes),
            organisations=len(configuration.organisations or ()),
        )

    def _handle_new_era(self, previous: int | None, era: int) -> None:
        """Treat what was learned from the store, and written there, as unproved."""
        if previous is not None:
            for follower in (
                self.configuration,
                self.registry,
                self.gateways,
                self.quarantines,
                self.versions,
            ):
                follower.forget_offsets()
            self.stream_origins.write_again()
            if self.usage_duty is not None:
                self.usage_duty.forget_offsets()
            self.fleet.record_new_era(self.clock())
        # A process that just started does not know whether the era is new.
        lease_dropped = self.leases.distrust(era)
        self.log.warning(
            "store_era", era=era, previous=previous, lease_dropped=lease_dropped
        )

    async def _listen_for_metrics(self) -> None:
        try:
            await self.metrics_server.listen(f"{self.settings.ip}:{METRICS_PORT}")
        except OSError as error:
            # The metrics are also available at the readiness address.
            self.log.warning("metrics_port_taken", port=METRICS_PORT, reason=str(error))

    # Shutdown and background tasks.

    def _spawn(self, task_function: Callable[[], Coroutine[Any, Any, None]]) -> None:
        task = asyncio.get_running_loop().create_task(self._supervise(task_function))
        self.tasks.append(task)

    async def _supervise(
        self, task_function: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        while True:
            try:
                await task_function()
                return
            except Exception as error:  # one failed task must not end the process
                self.log.warning(
                    "task_failed", error=repr(error), at=_format_location(error)
                )
                await asyncio.sleep(TASK_RESTART_DELAY_S)


def _format_location(error: BaseException | None) -> str:
    traceback = error.__traceback__ if error else None
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    if traceback is None:
        return ""
    return f"{traceback.tb_frame.f_code.co_filename}:{traceback.tb_lineno}"

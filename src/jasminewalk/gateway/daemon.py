"""Gateway process: startup, request dispatch, settings reload and shutdown."""

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from jasminewalk.exceptions import BadSettingsError
from jasminewalk.gateway.admission import AdmissionPolicy
from jasminewalk.gateway.context import GatewayContext
from jasminewalk.gateway.crash_quarantine import CrashQuarantine
from jasminewalk.gateway.crash_watch import CrashWatch
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.engine_clients import EngineClients
from jasminewalk.gateway.fleet import Fleet, FleetEvent
from jasminewalk.gateway.holder_lease import HolderLease
from jasminewalk.gateway.metrics import GatewayMetrics
from jasminewalk.gateway.peer_link import GatewaysFollower, PeerLink
from jasminewalk.gateway.peers import PeerExchange
from jasminewalk.gateway.placement import PlacementPolicy
from jasminewalk.gateway.plain_run import PlainRun
from jasminewalk.gateway.planned_stop import Drain, PlannedStop
from jasminewalk.gateway.quarantine_news import QuarantineExchange
from jasminewalk.gateway.quarantine_store import QuarantineFollower
from jasminewalk.gateway.read_check import ReadCheck
from jasminewalk.gateway.routes import RouteTable
from jasminewalk.gateway.stage_controller import SESSION_S, StageController
from jasminewalk.gateway.stage_planner import StagePlanner
from jasminewalk.gateway.start_check import StartCheck
from jasminewalk.gateway.store_connections import StoreConnections
from jasminewalk.gateway.store_follower import (
    ConfigurationFollower,
    RegistryFollower,
)
from jasminewalk.gateway.stream_history import StreamHistory
from jasminewalk.gateway.stream_origins import StreamOriginLog
from jasminewalk.gateway.stream_run import StreamRun
from jasminewalk.gateway.stream_versions import StreamVersions
from jasminewalk.gateway.version_shares import VersionShares
from jasminewalk.gateway.version_store import VersionsFollower
from jasminewalk.http1.server import CallerConnection, CallerRequest, CallerServer
from jasminewalk.platform.configuration import ServingConfiguration
from jasminewalk.platform.headers import decode_request_head, find_ambiguous_header
from jasminewalk.platform.settings import load_settings
from jasminewalk.platform.store import StoreClient

__all__ = ["GatewayDaemon"]

# Port of the metrics on the address of the instance; also set in deploy/system.toml.
METRICS_PORT = 9464
NOT_FOUND, UNAVAILABLE, OK, BAD_REQUEST = 404, 503, 200, 400
# ``Retry-After`` in seconds of a gateway that has not read the configuration and the
# registry yet.
STARTING_RETRY_AFTER_S = 0.5
# Seconds between two checks of the settings file for changes.
SETTINGS_POLL_INTERVAL_S = 1.0
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
        self.fleet = Fleet(self.settings.heartbeat_s)
        self.clients = EngineClients(self.fleet, self.clock)
        self.clients.on_event = self._log_engine_event
        self.metrics = GatewayMetrics()
        self.routes: RouteTable | None = None
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
        )
        self.caller_server = CallerServer(
            self.handle_request,
            self.clock,
            self._log_handler_failure,
            self._log_unreadable_request,
        )
        self.drain = Drain(self.planned_stop, self.caller_server, self.log, self.clock)
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
        self.caller_server.on_unread = lambda unsent_bytes: self.log.warning(
            "response_unread", unsent_bytes=unsent_bytes
        )
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
        self.peer_link = PeerLink(
            self.peers,
            self.configuration,
            self.registry,
            self.versions,
            self.crash_watch,
            self.stream_versions,
            self.log,
            self.clock,
        )
        self.configuration.on_read = self.registry.on_read = self.peer_link.announce
        self.versions.on_written = self.peer_link.announce
        self.crash_watch.on_urgent = self.peer_link.announce
        self.crash_watch.on_found = self.quarantines.found_here.set
        self.stage_controller = StageController(
            f"{self.settings.name}/{self.started_ms}",
            self.settings.name,
            self.store,
            self.fleet,
            self.peers,
            self.clients,
            StagePlanner(),
            HolderLease(
                max(SESSION_S, self.settings.store_session_s),
                self.settings.bounds.handover_gap_s,
            ),
            self.log,
            self.clock,
        )
        self.tasks: list[asyncio.Task[None]] = []

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
            self._watch_settings,
            self.stage_controller.run,
        ):
            self._spawn(task_function)
        await self.stopping.wait()
        self._spawn(self.stage_controller.leave)
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
            self.log.info("settings_reloaded")

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
        head = decode_request_head(request.headers)
        if self.routes is None or not self.has_started:
            headers = [(b"retry-after", b"%.1f" % STARTING_RETRY_AFTER_S)]
            connection.send_response(UNAVAILABLE, headers, b"")
            self.log.warning("refused", request=head.request_id, reason="starting")
            return
        ambiguous_header = find_ambiguous_header(request.headers)
        if ambiguous_header:
            connection.send_response(BAD_REQUEST, (), b"")
            self.log.warning(
                "ambiguous_request", request=head.request_id, header=ambiguous_header
            )
            return
        route = self.routes.match(request.host, request.path)
        if route is None:
            connection.send_response(NOT_FOUND, (), b"")
            self.log.info(
                "no_route",
                request=head.request_id,
                host=request.host,
                path=request.path[:80],
                version=self.routes.version,
            )
            return
        if not head.request_id:
            connection.send_response(BAD_REQUEST, (), b"")
            self.log.warning("no_request_id", route=route.name)
            return
        service = self.routes.choose_service(route, head.request_id)
        self.context.get_retry_budget(service).record_request(self.clock())
        run_class = StreamRun if route.streaming else PlainRun
        run = run_class(self.context, connection, request, head, route, service)
        if self.drain.refuses(run):
            return
        try:
            with self.drain.track(run):
                await run.run()
        except asyncio.CancelledError:
            if not self.planned_stop.is_over:
                run.warn("caller_left", engines=run.tried_engines)
            raise

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
        self.log.warning("request_unreadable", status=status)

    # Configuration and settings.

    def _apply_configuration(self, configuration: ServingConfiguration) -> None:
        self.routes = RouteTable.from_configuration(configuration)
        self.fleet.set_services(configuration.services)
        self.caller_server.limits = configuration.limits
        self.metrics.configuration_version.set(configuration.version)
        self.log.info(
            "configuration_in_force",
            version=configuration.version,
            routes=len(configuration.routes),
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
            self.fleet.record_new_era(self.clock())
        # A process that just started does not know whether the era is new.
        lease_dropped = self.stage_controller.distrust_lease(era)
        self.log.warning(
            "store_era", era=era, previous=previous, lease_dropped=lease_dropped
        )

    async def _watch_settings(self) -> None:
        last_stamp = self._read_settings_stamp()
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
            stamp = self._read_settings_stamp()
            if stamp != last_stamp:
                last_stamp = stamp
                self.reload()

    def _read_settings_stamp(self) -> tuple[int, int] | None:
        try:
            status = self.path.stat()
        except OSError as error:
            self.log.warning("settings_missing", reason=repr(error))
            return None
        return status.st_mtime_ns, status.st_size

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

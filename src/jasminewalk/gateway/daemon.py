"""The gateway's process: from its settings to its end."""

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from jasminewalk.exceptions import BadSettingsError
from jasminewalk.gateway.admission import AdmissionPolicy
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.engine_clients import EngineClients
from jasminewalk.gateway.fleet import Fleet
from jasminewalk.gateway.metrics import GatewayMetrics
from jasminewalk.gateway.peer_link import GatewaysFollower, PeerLink
from jasminewalk.gateway.peers import LoadExchange
from jasminewalk.gateway.placement import PlacementPolicy
from jasminewalk.gateway.plain_run import PlainRun
from jasminewalk.gateway.routes import RouteTable
from jasminewalk.gateway.run import GatewayParts
from jasminewalk.gateway.stage_holder import HolderLease
from jasminewalk.gateway.stage_keeper import SESSION_S, StageKeeper
from jasminewalk.gateway.stage_planner import StagePlanner
from jasminewalk.gateway.store_connections import StoreConnections
from jasminewalk.gateway.store_follower import (
    ConfigurationFollower,
    RegistryFollower,
)
from jasminewalk.gateway.stream_run import StreamRun
from jasminewalk.http1.server import CallerConnection, CallerRequest, CallersServer
from jasminewalk.platform.configuration import ServingConfiguration
from jasminewalk.platform.headers import decode_request_head
from jasminewalk.platform.settings import load_settings
from jasminewalk.platform.store import StoreClient

__all__ = ["GatewayDaemon"]

# Port of the metrics on the instance's own address; deploy/system.toml names it too.
METRICS_PORT = 9464
NOT_FOUND, UNAVAILABLE, OK, BAD_REQUEST = 404, 503, 200, 400
# Advice to come back to a gateway that knows no configuration yet, in seconds.
STARTING_RETRY_S = 0.5
# Seconds between two looks whether the settings file has changed.
SETTINGS_PERIOD_S = 1.0
# Seconds after SIGTERM during which new connections are still taken, until the
# balancer has seen two refusals of readiness.
LINGER_S = 2.3
# Seconds kept back at the end of the grace time.
GRACE_MARGIN_S = 0.7
# Seconds after which a task that failed is started again.
TASK_RESTART_S = 0.5


class GatewayDaemon:
    """Serves callers until SIGTERM.

    :param path: settings file.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.settings = load_settings(path)
        self.clock: Callable[[], float] = time.monotonic
        self.started_ms = int(time.time() * 1e3)
        self.log = DecisionLog(self.settings.name, self.clock)
        self.fleet = Fleet()
        self.clients = EngineClients(self.fleet, self.clock)
        self.metrics = GatewayMetrics()
        self.routes: RouteTable | None = None
        self.stopping = asyncio.Event()
        peer_address = f"{self.settings.ip}:{self.settings.peer_port}"
        self.peers = LoadExchange(
            self.settings.name, peer_address, self.started_ms, self.fleet
        )
        self.parts = GatewayParts(
            settings=self.settings,
            fleet=self.fleet,
            clients=self.clients,
            placement=PlacementPolicy(self.settings.failure_domain),
            admission=AdmissionPolicy(),
            peers=self.peers,
            log=self.log,
            metrics=self.metrics,
            clock=self.clock,
        )
        self.callers = CallersServer(
            self.handle, self.clock, self._handler_failed, self._unreadable
        )
        self.control = CallersServer(
            self.handle_control, self.clock, self._handler_failed, self._unreadable
        )
        self.metrics_server = CallersServer(
            self.handle_control, self.clock, self._handler_failed, self._unreadable
        )
        self.store_connections = StoreConnections(
            self.settings.store_address, self.clock
        )
        self.store = StoreClient(self.store_connections.call)
        self.configuration = ConfigurationFollower(
            self.store, self.log, self.clock, self._apply
        )
        self.registry = RegistryFollower(self.store, self.log, self.clock, self.fleet)
        self.registry.on_return = lambda: self.fleet.store_returned(self.clock())
        self.gateways = GatewaysFollower(self.store, self.log, self.clock, self.peers)
        self.link = PeerLink(
            self.peers, self.configuration, self.registry, self.log, self.clock
        )
        self.configuration.on_read = self.registry.on_read = self.link.announce
        self.keeper = StageKeeper(
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
        """Serve until SIGTERM, then finish what runs."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGINT, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.log.info("started", zone=self.settings.failure_domain)
        await self.control.listen(self.settings.readiness_address)
        await self.callers.listen(self.settings.callers_address)
        await self._listen_for_metrics()
        await self.link.open()
        for work in (
            self.log.flush_forever,
            self.callers.sweep_forever,
            self.control.sweep_forever,
            self.metrics_server.sweep_forever,
            self.clients.sweep_forever,
            self.configuration.run,
            self.registry.run,
            self.gateways.join_and_run,
            self.link.run,
            self._watch_settings,
            self.keeper.run,
        ):
            self._spawn(work)
        await self.stopping.wait()
        await self._drain()

    def reload(self) -> None:
        """Read the settings file again; a bad one changes nothing."""
        try:
            settings = load_settings(self.path)
        except BadSettingsError as error:
            self.log.warning("settings_unreadable", detail=str(error))
            return
        if settings != self.parts.settings:
            self.parts.settings = settings
            self.parts.budgets.clear()
            self.store_connections.use_address(settings.store_address)
            self.log.info("settings_reloaded")

    @property
    def ready(self) -> bool:
        """Whether this process can serve callers."""
        return (
            self.routes is not None and self.fleet.loaded and not self.stopping.is_set()
        )

    # Callers.

    async def handle(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        """Handle one request of a caller.

        :param connection: the caller's connection.
        :param request: the request.
        """
        head = decode_request_head(request.headers)
        if self.routes is None or not self.fleet.loaded:
            headers = [(b"retry-after", b"%.1f" % STARTING_RETRY_S)]
            connection.answer(UNAVAILABLE, headers, b"")
            self.log.warning("refused", request=head.request_id, reason="starting")
            return
        route = self.routes.match(request.host, request.path)
        if route is None:
            connection.answer(NOT_FOUND, (), b"")
            self.log.info(
                "no_route",
                request=head.request_id,
                host=request.host,
                path=request.path[:80],
                version=self.routes.version,
            )
            return
        if not head.request_id:
            connection.answer(BAD_REQUEST, (), b"")
            self.log.warning("no_request_id", route=route.name)
            return
        service = self.routes.service_of(route, head.request_id)
        self.parts.budget(service).count_request(self.clock())
        kind = StreamRun if route.streaming else PlainRun
        run = kind(self.parts, connection, request, head, route, service)
        try:
            await run.run()
        except asyncio.CancelledError:
            run.warn("caller_left", engines=run.tried)
            raise

    async def handle_control(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        """Answer the balancer and whoever reads metrics.

        :param connection: their connection.
        :param request: the request.
        """
        if request.path == "/metrics":
            connection.answer(OK, (), self.metrics.text())
        else:
            connection.answer(OK if self.ready else UNAVAILABLE, (), b"")

    def _handler_failed(self, request: CallerRequest, error: Exception) -> None:
        self.log.warning(
            "handler_failed",
            path=request.path[:80],
            error=repr(error),
            at=_where(error),
        )

    def _unreadable(self, status: int) -> None:
        self.log.warning("request_unreadable", status=status)

    # Configuration.

    def _apply(self, configuration: ServingConfiguration) -> None:
        self.routes = RouteTable.of(configuration)
        self.fleet.use_services(configuration.services)
        self.callers.limits = configuration.limits
        self.log.info(
            "configuration_in_force",
            version=configuration.version,
            routes=len(configuration.routes),
        )

    async def _watch_settings(self) -> None:
        seen = self._settings_stamp()
        while True:
            await asyncio.sleep(SETTINGS_PERIOD_S)
            stamp = self._settings_stamp()
            if stamp != seen:
                seen = stamp
                self.reload()

    def _settings_stamp(self) -> tuple[int, int] | None:
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
            # The metrics are served beside readiness, too.
            self.log.warning("metrics_port_taken", port=METRICS_PORT, reason=str(error))

    # The end.

    async def _drain(self) -> None:
        grace_s = self.parts.settings.bounds.grace_s
        ends_at = self.clock() + grace_s - GRACE_MARGIN_S
        self.log.info("stopping", active=self.callers.active)
        self._spawn(self.keeper.leave)
        self.callers.draining = True
        await asyncio.sleep(LINGER_S)
        self.callers.stop_listening()
        while self.clock() < ends_at:
            self.callers.close_idle()
            if not self.callers.active and not self.callers.connections:
                break
            await asyncio.sleep(0.05)
        self.log.info("stopped", active=self.callers.active)
        for task in self.tasks:
            task.cancel()
        self.log.flush()

    def _spawn(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        task = asyncio.get_running_loop().create_task(self._supervise(work))
        self.tasks.append(task)

    async def _supervise(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        while True:
            try:
                await work()
                return
            except Exception as error:  # a fault of one task must not end the process
                self.log.warning("task_failed", error=repr(error), at=_where(error))
                await asyncio.sleep(TASK_RESTART_S)


def _where(error: BaseException | None) -> str:
    trace = error.__traceback__ if error else None
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return ""
    return f"{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}"

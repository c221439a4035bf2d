"""A complete deployment as tasks of one process, on free ports of loopback."""

import contextlib
from collections.abc import AsyncIterator, Iterable, Sequence
from typing import Protocol

import anyio
import attrs
from anyio.abc import TaskGroup

from jasminewalk.generated_requests import Instance
from jasminewalk.generated_settings import (
    EntrySettings,
    LogSettings,
    PeerSettings,
    SidecarSettings,
)
from jasminewalk.generated_standins import (
    EngineModelSettings,
    StandinEngineSettings,
    StandinInstancesSettings,
    StandinLogSettings,
    StandinServiceSettings,
    StandinWeightsSettings,
)
from jasminewalk.ingress.entry import EntryDaemon
from jasminewalk.sidecars.sidecar import SidecarDaemon
from jasminewalk.standins.standin_engine import StandinEngine
from jasminewalk.standins.standin_instances import StandinInstances
from jasminewalk.standins.standin_log import StandinLog
from jasminewalk.standins.standin_service import StandinService
from jasminewalk.standins.standin_weights import StandinWeights

__all__ = [
    "Deployment",
    "DeploymentPlan",
    "EndpointPlan",
    "EntryPlan",
    "build_escuela_plan",
    "run_embedded_deployment",
]

LOOPBACK_ADDRESS = "127.0.0.1:0"
SHARED_KEY = "embedded-deployment"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.02
# Relative to the default speed of the engine model.
ENGINE_SPEED_FACTORS = (1.5, 1.5, 1.2, 1.0, 0.8, 0.5, 0.5)


class Daemon(Protocol):
    """A daemon or a stand-in."""

    async def run(self) -> None:
        """Serve until stopped."""

    def stop(self) -> None:
        """Finish open requests, then let ``run`` return."""


@attrs.frozen(kw_only=True)
class EndpointPlan:
    """An endpoint of a deployment.

    :param name: endpoint name.
    :param pool: pool name.
    :param failure_domain: failure domain name.
    :param engine: speeds and limits of an engine; ``None`` for a service.
    """

    name: str
    pool: str
    failure_domain: str
    engine: EngineModelSettings | None = None


@attrs.frozen(kw_only=True)
class EntryPlan:
    """An entry of a deployment.

    :param name: entry name.
    :param failure_domain: failure domain name.
    """

    name: str
    failure_domain: str


@attrs.frozen(kw_only=True)
class DeploymentPlan:
    """The entries, endpoints and settings of a deployment.

    :param entries: the entries.
    :param endpoints: the endpoints.
    :param peers: settings of the messages between entries and sidecars.
    :param progress_timeout_s: longest time in seconds between two events of a stream.
    :param instances_lag_s: lag of the instance list in seconds.
    :param retention_s: seconds that the log keeps a record.
    """

    entries: Sequence[EntryPlan]
    endpoints: Sequence[EndpointPlan]
    peers: PeerSettings = attrs.field(
        factory=lambda: PeerSettings(shared_key=SHARED_KEY)
    )
    progress_timeout_s: float = 3.0
    instances_lag_s: float = 0.0
    retention_s: float = 86400.0


def build_escuela_plan() -> DeploymentPlan:
    """Build the deployment plan for the configuration in ``examples/escuela``."""
    failure_domains = ("norte-oviedo", "norte-santander", "norte-coruna")
    base = EngineModelSettings(models=["tutor", "quick-helper"])
    engines = [
        EndpointPlan(
            name=f"tutor-{number}",
            pool="tutor",
            failure_domain=failure_domains[number % 3],
            engine=attrs.evolve(
                base,
                prefill_tokens_per_s=base.prefill_tokens_per_s * speed_factor,
                decode_step_s=base.decode_step_s / speed_factor,
            ),
        )
        for number, speed_factor in enumerate(ENGINE_SPEED_FACTORS)
    ]
    services = [
        EndpointPlan(name=f"enrolment-{index}", pool="enrolment", failure_domain=domain)
        for index, domain in enumerate(failure_domains)
    ]
    return DeploymentPlan(
        entries=[
            EntryPlan(name="entry-0", failure_domain=failure_domains[0]),
            EntryPlan(name="entry-1", failure_domain=failure_domains[1]),
        ],
        endpoints=[*engines, *services],
    )


class Deployment:
    """Runs the daemons of a deployment as tasks.

    :param plan: the plan of the deployment.
    """

    def __init__(self, plan: DeploymentPlan) -> None:
        self.plan = plan
        self.log = StandinLog(StandinLogSettings(retention_s=plan.retention_s))
        self.instances = StandinInstances(
            StandinInstancesSettings(lag_s=plan.instances_lag_s)
        )
        self.weights = StandinWeights(StandinWeightsSettings())
        self.engines: dict[str, StandinEngine] = {}
        self.services: dict[str, StandinService] = {}
        self.sidecars: dict[str, SidecarDaemon] = {}
        self.entries: dict[str, EntryDaemon] = {}
        self.ended_events: dict[int, anyio.Event] = {}

    @property
    def log_settings(self) -> LogSettings:
        """Settings with which the daemons use the log."""
        return LogSettings(address=self.log.address, retention_s=self.plan.retention_s)

    @property
    def back_ends(self) -> list[StandinEngine | StandinService]:
        """Stand-ins for all engines and services."""
        return [*self.engines.values(), *self.services.values()]

    async def start(self, group: TaskGroup) -> None:
        """Start all daemons and wait until the entries are ready.

        :param group: task group that the daemons run in.
        :raises TimeoutError: if the entries are not ready within ``START_TIMEOUT_S``.
        """
        for standin in (self.log, self.instances, self.weights):
            self.start_daemon(group, standin)
        for endpoint in self.plan.endpoints:
            await self.start_endpoint(group, endpoint)
        for entry in self.plan.entries:
            await self.start_entry(group, entry)
        with anyio.fail_after(START_TIMEOUT_S):
            while not all(entry.is_ready for entry in self.entries.values()):
                await anyio.sleep(POLL_INTERVAL_S)

    async def start_endpoint(self, group: TaskGroup, plan: EndpointPlan) -> None:
        """Start an endpoint with its sidecar, and add it to the instance list.

        :param group: task group that the daemons run in.
        :param plan: the plan of the endpoint.
        """
        if plan.engine is not None:
            engine = StandinEngine(StandinEngineSettings(model=plan.engine))
            self.engines[plan.name] = engine
            self.start_daemon(group, engine)
            await self.start_sidecar(group, plan, engine.address)
            return
        service = StandinService(StandinServiceSettings(name=plan.name))
        self.services[plan.name] = service
        self.start_daemon(group, service)
        await self.start_sidecar(group, plan, service.address)

    async def start_sidecar(
        self, group: TaskGroup, plan: EndpointPlan, endpoint_address: str
    ) -> None:
        """Start a sidecar and add it to the instance list.

        :param group: task group that the sidecar runs in.
        :param plan: the plan of its endpoint.
        :param endpoint_address: address of the engine or service.
        """
        settings = SidecarSettings(
            name=plan.name,
            kind="engine" if plan.engine else "service",
            pool=plan.pool,
            failure_domain=plan.failure_domain,
            listen=LOOPBACK_ADDRESS,
            control_listen=LOOPBACK_ADDRESS,
            endpoint_address=endpoint_address,
            log=self.log_settings,
            weights_address=self.weights.address,
            peers=self.plan.peers,
            progress_timeout_s=self.plan.progress_timeout_s,
        )
        sidecar = SidecarDaemon(settings)
        self.sidecars[plan.name] = sidecar
        self.start_daemon(group, sidecar)
        await sidecar.started.wait()
        self.add_to_instance_list(plan.name)

    def add_to_instance_list(self, name: str, *, leaving: bool = False) -> None:
        """Add an endpoint to the instance list, or change its state there.

        :param name: endpoint name.
        :param leaving: whether its state is ``leaving``; otherwise it is ``live``.
        """
        sidecar = self.sidecars[name]
        instance = Instance(
            name=name,
            kind=sidecar.settings.kind,
            address=sidecar.address,
            control_address=sidecar.control_address,
            pool=sidecar.settings.pool,
            failure_domain=sidecar.settings.failure_domain,
            state="leaving" if leaving else "live",
        )
        self.instances.put(name, instance)

    async def start_entry(self, group: TaskGroup, plan: EntryPlan) -> None:
        """Start an entry and add it to the instance list.

        :param group: task group that the entry runs in.
        :param plan: the plan of the entry.
        """
        settings = EntrySettings(
            name=plan.name,
            failure_domain=plan.failure_domain,
            listen=LOOPBACK_ADDRESS,
            log=self.log_settings,
            instances_address=self.instances.address,
            instances_poll_s=0.2,
            peers=self.plan.peers,
            progress_timeout_s=self.plan.progress_timeout_s,
        )
        entry = EntryDaemon(settings)
        self.entries[plan.name] = entry
        self.start_daemon(group, entry)
        await entry.started.wait()
        instance = Instance(
            name=plan.name,
            kind="entry",
            address=entry.address,
            control_address=entry.control_address,
            failure_domain=plan.failure_domain,
            state="live",
        )
        self.instances.put(plan.name, instance)

    async def wait_until_usable(self) -> None:
        """Wait until every entry can use every endpoint.

        :raises TimeoutError: if that takes too long.
        """
        with anyio.fail_after(START_TIMEOUT_S):
            while not all(map(self.can_use_all_endpoints, self.entries.values())):
                await anyio.sleep(POLL_INTERVAL_S)

    def can_use_all_endpoints(self, entry: EntryDaemon) -> bool:
        """Return whether an entry can use every running endpoint.

        :param entry: the entry.
        """
        now_s = entry.clock.monotonic()
        pools = {endpoint.pool for endpoint in self.plan.endpoints}
        usable = {
            name for pool in pools for name in entry.membership.list_usable(now_s, pool)
        }
        return usable >= self.sidecars.keys()

    async def wait_for_organisation(self, name: str) -> None:
        """Wait until every entry has applied the configuration of an organisation.

        :param name: organisation name.
        :raises TimeoutError: if that takes too long.
        """
        with anyio.fail_after(START_TIMEOUT_S):
            for entry in self.entries.values():
                while entry.configuration.get_organisation(name) is None:
                    await anyio.sleep(POLL_INTERVAL_S)

    def start_daemon(self, group: TaskGroup, daemon: Daemon) -> None:
        """Start a daemon as a task.

        :param group: task group that the daemon runs in.
        :param daemon: a daemon or stand-in.
        """
        ended = self.ended_events[id(daemon)] = anyio.Event()

        async def run() -> None:
            try:
                await daemon.run()
            finally:
                ended.set()

        group.start_soon(run)

    async def stop(self) -> None:
        """Stop the entries, sidecars, back ends and platform, in this order."""
        await self.stop_daemons(self.entries.values())
        await self.stop_daemons(self.sidecars.values())
        await self.stop_daemons(self.back_ends)
        await self.stop_daemons([self.log, self.instances, self.weights])

    async def stop_daemons(self, daemons: Iterable[Daemon]) -> None:
        """Stop daemons and wait until they end, up to a timeout.

        :param daemons: daemons or stand-ins.
        """
        stopping = [daemon for daemon in daemons if id(daemon) in self.ended_events]
        for daemon in stopping:
            daemon.stop()
        with anyio.move_on_after(STOP_TIMEOUT_S):
            for daemon in stopping:
                await self.ended_events[id(daemon)].wait()


@contextlib.asynccontextmanager
async def run_embedded_deployment(plan: DeploymentPlan) -> AsyncIterator[Deployment]:
    """Run a deployment until the context exits.

    :param plan: the plan of the deployment.
    """
    async with anyio.create_task_group() as group:
        deployment = Deployment(plan)
        try:
            await deployment.start(group)
            yield deployment
            await deployment.stop()
        finally:
            group.cancel_scope.cancel()

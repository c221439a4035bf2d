"""A whole deployment as tasks of one process, on loopback and free ports."""

import contextlib
import socket
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
    "embedded_deployment",
    "escuela_plan",
]

LOOPBACK = "127.0.0.1:0"
SHARED_KEY = "embedded-deployment"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.02
ENGINE_SPEEDS = (1.5, 1.5, 1.2, 1.0, 0.8, 0.5, 0.5)


class Part(Protocol):
    """A daemon or stand-in."""

    async def run(self) -> None:
        """Serve until stopped."""

    def stop(self) -> None:
        """Finish what runs, then return from ``run``."""


@attrs.frozen(kw_only=True)
class EndpointPlan:
    """An endpoint of a deployment.

    :param name: endpoint name.
    :param pool: pool name.
    :param failure_domain: failure domain name.
    :param engine: speeds and limits of an engine; nothing for a service.
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
    """What a deployment consists of.

    :param entries: the entries.
    :param endpoints: the endpoints.
    :param peers: talk between the processes of the system.
    :param progress_timeout_s: longest silence of a stream.
    :param instances_lag_s: lag of the instance list.
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


def escuela_plan() -> DeploymentPlan:
    """Return the deployment of the Escuela at its size of today."""
    domains = ("norte-oviedo", "norte-santander", "norte-coruna")
    base = EngineModelSettings(models=["tutor", "quick-helper"])
    engines = [
        EndpointPlan(
            name=f"tutor-{number}",
            pool="tutor",
            failure_domain=domains[number % 3],
            engine=attrs.evolve(
                base,
                prefill_tokens_per_s=base.prefill_tokens_per_s * speed,
                decode_step_s=base.decode_step_s / speed,
            ),
        )
        for number, speed in enumerate(ENGINE_SPEEDS)
    ]
    services = [
        EndpointPlan(name=f"enrolment-{n}", pool="enrolment", failure_domain=domain)
        for n, domain in enumerate(domains)
    ]
    return DeploymentPlan(
        entries=[
            EntryPlan(name="entry-0", failure_domain=domains[0]),
            EntryPlan(name="entry-1", failure_domain=domains[1]),
        ],
        endpoints=[*engines, *services],
    )


def free_address() -> str:
    """Return an address on loopback whose port is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class Deployment:
    """All parts of a deployment, running as tasks.

    :param plan: what it consists of.
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
        self.ended: dict[int, anyio.Event] = {}

    @property
    def log_settings(self) -> LogSettings:
        """How the daemons reach the log."""
        return LogSettings(address=self.log.address, retention_s=self.plan.retention_s)

    @property
    def back_ends(self) -> list[StandinEngine | StandinService]:
        """Stand-ins of all engines and services."""
        return [*self.engines.values(), *self.services.values()]

    async def start(self, group: TaskGroup) -> None:
        """Start all parts and wait until the entries know the configuration.

        :param group: task group that the parts run in.
        """
        for standin in (self.log, self.instances, self.weights):
            self.run_part(group, standin)
        for endpoint in self.plan.endpoints:
            await self.start_endpoint(group, endpoint)
        for entry in self.plan.entries:
            await self.start_entry(group, entry)
        with anyio.fail_after(START_TIMEOUT_S):
            while not all(entry.is_ready for entry in self.entries.values()):
                await anyio.sleep(POLL_S)

    async def start_endpoint(self, group: TaskGroup, plan: EndpointPlan) -> None:
        """Start an endpoint with its sidecar and list it.

        :param group: task group that the parts run in.
        :param plan: the endpoint.
        """
        if plan.engine is not None:
            engine = StandinEngine(StandinEngineSettings(model=plan.engine))
            self.engines[plan.name] = engine
            self.run_part(group, engine)
            await self.start_sidecar(group, plan, engine.address)
            return
        service = StandinService(StandinServiceSettings(name=plan.name))
        self.services[plan.name] = service
        self.run_part(group, service)
        await self.start_sidecar(group, plan, service.address)

    async def start_sidecar(
        self, group: TaskGroup, plan: EndpointPlan, endpoint_address: str
    ) -> None:
        """Start a sidecar and put it on the instance list.

        :param group: task group that the sidecar runs in.
        :param plan: its endpoint.
        :param endpoint_address: address of the engine or service.
        """
        settings = SidecarSettings(
            name=plan.name,
            kind="engine" if plan.engine else "service",
            pool=plan.pool,
            failure_domain=plan.failure_domain,
            listen=LOOPBACK,
            control_listen=free_address(),
            endpoint_address=endpoint_address,
            log=self.log_settings,
            weights_address=self.weights.address,
            peers=self.plan.peers,
            progress_timeout_s=self.plan.progress_timeout_s,
        )
        sidecar = SidecarDaemon(settings)
        self.sidecars[plan.name] = sidecar
        self.run_part(group, sidecar)
        await sidecar.started.wait()
        self.list_endpoint(plan.name)

    def list_endpoint(self, name: str, *, leaving: bool = False) -> None:
        """Put an endpoint on the instance list.

        :param name: endpoint name.
        :param leaving: whether the list calls it leaving.
        """
        sidecar = self.sidecars[name]
        instance = Instance(
            name=name,
            kind=sidecar.settings.kind,
            address=sidecar.address,
            control_address=sidecar.settings.control_listen,
            pool=sidecar.settings.pool,
            failure_domain=sidecar.settings.failure_domain,
            state="leaving" if leaving else "live",
        )
        self.instances.put(name, instance)

    async def start_entry(self, group: TaskGroup, plan: EntryPlan) -> None:
        """Start an entry and put it on the instance list.

        :param group: task group that the entry runs in.
        :param plan: the entry.
        """
        settings = EntrySettings(
            name=plan.name,
            failure_domain=plan.failure_domain,
            listen=LOOPBACK,
            log=self.log_settings,
            instances_address=self.instances.address,
            instances_poll_s=0.2,
            peers=self.plan.peers,
            progress_timeout_s=self.plan.progress_timeout_s,
        )
        entry = EntryDaemon(settings)
        self.entries[plan.name] = entry
        self.run_part(group, entry)
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

    async def wait_usable(self) -> None:
        """Wait until every entry may use every endpoint."""
        with anyio.fail_after(START_TIMEOUT_S):
            while not all(map(self.sees_all, self.entries.values())):
                await anyio.sleep(POLL_S)

    def sees_all(self, entry: EntryDaemon) -> bool:
        """Return whether an entry may use every endpoint that runs.

        :param entry: the entry.
        """
        now_s = entry.clock.monotonic()
        pools = {endpoint.pool for endpoint in self.plan.endpoints}
        usable = {
            name for pool in pools for name in entry.membership.list_usable(now_s, pool)
        }
        return usable >= self.sidecars.keys()

    async def wait_organisation(self, name: str) -> None:
        """Wait until every entry has an organisation in force.

        :param name: organisation name.
        """
        with anyio.fail_after(START_TIMEOUT_S):
            for entry in self.entries.values():
                while entry.configuration.get_organisation(name) is None:
                    await anyio.sleep(POLL_S)

    def run_part(self, group: TaskGroup, part: Part) -> None:
        """Run a part as a task.

        :param group: task group that the part runs in.
        :param part: a daemon or stand-in.
        """
        ended = self.ended[id(part)] = anyio.Event()

        async def run() -> None:
            try:
                await part.run()
            finally:
                ended.set()

        group.start_soon(run)

    async def stop(self) -> None:
        """Stop entries, sidecars, back ends and platform, in this order."""
        await self.stop_parts(self.entries.values())
        await self.stop_parts(self.sidecars.values())
        await self.stop_parts(self.back_ends)
        await self.stop_parts([self.log, self.instances, self.weights])

    async def stop_parts(self, parts: Iterable[Part]) -> None:
        """Ask parts to finish what they have, and wait until they end.

        :param parts: daemons or stand-ins.
        """
        stopping = [part for part in parts if id(part) in self.ended]
        for part in stopping:
            part.stop()
        with anyio.move_on_after(STOP_TIMEOUT_S):
            for part in stopping:
                await self.ended[id(part)].wait()


@contextlib.asynccontextmanager
async def embedded_deployment(plan: DeploymentPlan) -> AsyncIterator[Deployment]:
    """Run a deployment while the context is open.

    :param plan: what it consists of.
    """
    async with anyio.create_task_group() as group:
        deployment = Deployment(plan)
        try:
            await deployment.start(group)
            yield deployment
            await deployment.stop()
        finally:
            group.cancel_scope.cancel()

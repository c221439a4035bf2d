"""Task that carries out the role changes and model loads of one engine."""

from typing import Protocol, cast

import anyio
from absl import logging
from anyio.abc import TaskGroup

from jasminewalk.agreement.fold_events import FoldEvent, SubjectChanged
from jasminewalk.agreement.log_writer import AppendRecord
from jasminewalk.agreement.order_actions import (
    ChangeEnded,
    OrderAction,
    OrderSettings,
    ProposalRejected,
    ReserveWeights,
    ResumeWork,
    Role,
    SendOrder,
    StartDrain,
    WantedState,
)
from jasminewalk.agreement.order_controller import OrderController
from jasminewalk.exceptions import JasminewalkError, StaleFencingNumberError
from jasminewalk.generated_configuration import Pool
from jasminewalk.generated_messages import PoolDemand
from jasminewalk.generated_requests import EngineState
from jasminewalk.interfaces import Engine, WeightStore
from jasminewalk.operators.configuration import ConfigurationView
from jasminewalk.scheduling.roles import RolePlanner
from jasminewalk.sidecars.endpoint_handler import SidecarContext
from jasminewalk.sidecars.weights_client import HttpWeightStore

__all__ = ["EngineWorkControl", "OrderExecutor"]

TICK_INTERVAL_S = 0.1
RESERVATION_RETRY_S = 1.0
DEFAULT_ARTIFACT_BYTES = 16_000_000_000
FLEET_SUBJECT = "fleet/default"


class EngineWorkControl(Protocol):
    """Control over the admission of generations to an engine."""

    @property
    def is_idle(self) -> bool:
        """Whether no generation is queued or running."""

    def pause_admission(self) -> None:
        """Refuse new generations and finish the admitted ones."""

    def resume_admission(self) -> None:
        """Accept new generations again."""

    def record_change(self, text: str) -> None:
        """Record a change of the endpoint for operators."""


class OrderExecutor:
    """Runs the order controller and the role planner of one engine.

    :param context: objects shared with the sidecar.
    :param engine: the engine.
    :param work_control: control over the admission of generations.
    """

    def __init__(
        self, context: SidecarContext, engine: Engine, work_control: EngineWorkControl
    ) -> None:
        settings = context.settings
        self.context = context
        self.settings = settings
        self.clock = context.clock
        self.engine = engine
        self.work_control = work_control
        self.weight_store: WeightStore | None = None
        if settings.weights_address:
            self.weight_store = HttpWeightStore(
                context.http_pool, settings.weights_address
            )
        self.configuration = ConfigurationView()
        self.pool_configuration: Pool | None = None
        self.planner: RolePlanner | None = None
        self.engine_state: EngineState | None = None
        self.draining = False
        self.registration_sent_s = float("-inf")
        self.controller = OrderController(
            OrderSettings(
                endpoint=settings.name,
                pool=settings.pool,
                incarnation=context.incarnation,
                checks_fencing=settings.checks_fencing,
                lifetime_s=settings.grant_lifetime_s,
                reserves_weights=self.weight_store is not None,
            ),
            context.fold,
            context.rng,
        )
        self.registrar = context.create_registrar()
        self.appender = context.create_appender()
        self.pending_actions: list[OrderAction] = []
        self.action_enqueued = anyio.Event()
        self.task_group: TaskGroup | None = None

    def on_fold_event(self, event: FoldEvent) -> None:
        """Handle an event of the fold.

        :param event: event of the fold.
        """
        self.appender.on_fold_event(event)
        if isinstance(event, SubjectChanged) and event.subject == FLEET_SUBJECT:
            self.apply_fleet_configuration(event)
        for append in self.registrar.on_event(event):
            self.appender.submit(append)
        if self.registrar.is_superseded:
            self.context.stop()
        self.enqueue(self.controller.on_event(self.clock.monotonic(), event))

    def apply_fleet_configuration(self, event: SubjectChanged) -> None:
        """Apply a change of the fleet's configuration.

        :param event: the change, with the new document.
        """
        self.configuration.apply(
            event.subject, event.revision, event.document, event.deleted
        )
        pool = self.configuration.pools.get(self.settings.pool)
        if pool is None or pool == self.pool_configuration:
            return
        self.pool_configuration = pool
        self.planner = RolePlanner(self.settings.name, pool, self.context.rng)

    def on_engine_state(self, state: EngineState) -> None:
        """Record the state that the engine reports.

        :param state: the engine's state.
        """
        self.engine_state = state
        self.enqueue(self.controller.observe_engine(self.clock.monotonic(), state))

    def on_demand(self, demand: PoolDemand) -> None:
        """Record the demand for the pool that an entry measured.

        :param demand: demand of one pool at one entry.
        """
        if self.planner is not None and demand.pool == self.settings.pool:
            self.planner.observe_demand(self.clock.monotonic(), demand)

    def enqueue(self, actions: list[OrderAction]) -> None:
        """Queue actions for the task that carries them out.

        :param actions: actions of the controller.
        """
        if actions:
            self.pending_actions += actions
            self.action_enqueued.set()

    async def run(self) -> None:
        """Register the process, then carry out changes until cancelled."""
        async with anyio.create_task_group() as group:
            self.task_group = group
            group.start_soon(self.appender.run)
            group.start_soon(self.run_actions)
            await self.context.follower.ready.wait()
            while True:
                self.register()
                self.update_wanted_state()
                now_s = self.clock.monotonic()
                self.enqueue(self.controller.tick(now_s))
                if self.draining and self.work_control.is_idle:
                    self.enqueue(self.controller.handle_drained(now_s))
                await anyio.sleep(TICK_INTERVAL_S)

    def register(self) -> None:
        """Register as the only writer for the engine, once its state is known."""
        if self.registrar.is_registered or self.registrar.is_superseded:
            return
        now_s = self.clock.monotonic()
        if self.engine_state is None or self.registrar.record is not None:
            return
        self.registration_sent_s = now_s
        for append in self.registrar.register(self.engine_state.role):
            self.appender.submit(append)

    def update_wanted_state(self) -> None:
        """Compute the wanted state of the engine and pass it to the controller."""
        if (
            self.engine_state is None
            or self.pool_configuration is None
            or self.controller.change_in_progress
        ):
            return
        now_s = self.clock.monotonic()
        role, reason = self.choose_role(now_s)
        models = tuple(self.pool_configuration.models or self.engine_state.models)
        wanted = WantedState(
            role=role,
            models=models,
            version=self.pool_configuration.version,
            reason=reason,
        )
        self.enqueue(self.controller.set_wanted_state(now_s, wanted))

    def choose_role(self, now_s: float) -> tuple[Role, str]:
        """Return the role that the engine should have, and the reason.

        :param now_s: current time in seconds.
        """
        entry = self.context.fold.get_endpoint(self.settings.name)
        current: Role = entry.role if entry is not None else "mixed"
        if self.planner is None:
            return current, "configuration"
        roles = self.context.fold.get_roles(self.settings.pool)
        proposal = self.planner.propose(now_s, roles)
        if proposal is None:
            return current, "configuration"
        return cast(Role, proposal.role), proposal.reason

    async def run_actions(self) -> None:
        """Carry out queued actions until cancelled."""
        while True:
            await self.action_enqueued.wait()
            self.action_enqueued = anyio.Event()
            while self.pending_actions:
                await self.run_action(self.pending_actions.pop(0))

    async def run_action(self, action: OrderAction) -> None:
        """Carry out one action.

        :param action: action of the controller.
        """
        match action:
            case AppendRecord():
                self.appender.submit(action)
            case ReserveWeights():
                self.start_reservation(action)
            case StartDrain():
                self.start_drain(action.reason)
            case ResumeWork():
                self.resume_work()
            case SendOrder():
                await self.send_order(action)
            case ChangeEnded():
                self.record_change_end(action)
            case ProposalRejected():
                logging.info(
                    "[orders] Proposal rejected. endpoint=%s check=%s",
                    self.settings.name,
                    action.rejection,
                )

    def start_drain(self, reason: str) -> None:
        """Drain the engine before an order.

        :param reason: why the engine changes.
        """
        self.draining = True
        self.work_control.pause_admission()
        self.work_control.record_change(f"draining for a change: {reason}")
        self.context.request_report()

    def resume_work(self) -> None:
        """Accept new generations again after a change."""
        self.draining = False
        self.work_control.resume_admission()
        self.context.request_report()

    def record_change_end(self, action: ChangeEnded) -> None:
        """Record for operators how a change ended.

        :param action: the change and its outcome.
        """
        self.context.metrics.count("role_changes", role=action.role)
        self.work_control.record_change(
            f"change {action.outcome}: role={action.role} {action.wanted.reason}"
        )
        logging.info(
            "[orders] Change ended. endpoint=%s outcome=%s role=%s reason=%s",
            self.settings.name,
            action.outcome,
            action.role,
            action.wanted.reason,
        )

    def start_reservation(self, action: ReserveWeights) -> None:
        """Reserve weights in a separate task, since the weight store may be slow.

        :param action: artifacts to load.
        """
        if self.task_group is not None:
            self.task_group.start_soon(self.reserve_weights, action)

    async def reserve_weights(self, action: ReserveWeights) -> None:
        """Wait until the rate limit of the weight store allows a load.

        :param action: artifacts to load.
        """
        for artifact in action.artifacts:
            await anyio.sleep(await self.reserve_artifact(artifact))
        now_s = self.clock.monotonic()
        self.enqueue(self.controller.handle_weights_reserved(now_s, action.artifacts))

    async def reserve_artifact(self, artifact: str) -> float:
        """Return the seconds until an artifact may be loaded; retry until reserved.

        :param artifact: name of the model or adapter.
        """
        if self.weight_store is None:
            return 0.0
        bytes_by_artifact = (
            self.pool_configuration.artifact_bytes if self.pool_configuration else {}
        )
        size_bytes = bytes_by_artifact.get(artifact, DEFAULT_ARTIFACT_BYTES)
        while True:
            try:
                return await self.weight_store.reserve(artifact, size_bytes)
            except (OSError, JasminewalkError) as error:
                logging.warning(
                    "[orders] Weight store unavailable. endpoint=%s error=%r",
                    self.settings.name,
                    error,
                )
                await anyio.sleep(RESERVATION_RETRY_S)

    async def send_order(self, action: SendOrder) -> None:
        """Send an order, unless its grant has lapsed.

        :param action: the order and the time until which it is valid.
        """
        if self.clock.monotonic() >= action.valid_until_s:
            self.context.metrics.count("orders", outcome="lapsed")
            return
        try:
            await self.engine.order(action.order)
        except StaleFencingNumberError:
            self.context.metrics.count("orders", outcome="stale")
            self.enqueue(self.controller.handle_stale_order())
        except (OSError, JasminewalkError) as error:
            self.context.metrics.count("orders", outcome="failed")
            logging.warning(
                "[orders] Order failed. endpoint=%s fencing_number=%d error=%r",
                self.settings.name,
                action.order.fencing_number,
                error,
            )
        else:
            self.controller.record_order_response(action.order.fencing_number)
            self.context.metrics.count("orders", outcome="sent")

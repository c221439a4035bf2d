"""Handler of a sidecar's generations on a model engine."""

import contextlib

import anyio
import attrs
from absl import logging

from jasminewalk.agreement.fold_events import FoldEvent
from jasminewalk.decoding import DECODE_ERRORS
from jasminewalk.exceptions import JasminewalkError
from jasminewalk.generated_messages import CacheEvents, LoadReport, PoolDemand
from jasminewalk.generated_requests import EngineState
from jasminewalk.scheduling.queueing import EndpointQueue, QueueSettings
from jasminewalk.sidecars.endpoint_handler import (
    EndpointHandler,
    EndpointState,
    SidecarContext,
)
from jasminewalk.sidecars.engine_client import HttpEngine
from jasminewalk.sidecars.sidecar_orders import OrderExecutor
from jasminewalk.sidecars.sidecar_streams import GenerationRunner

__all__ = ["EngineHandler"]

TICK_INTERVAL_S = 0.05
DOWN_AFTER_FAILURES = 2
MAX_EVENTS_PER_MESSAGE = 4096


class EngineHandler(EndpointHandler):
    """Queues generations, polls the engine's state and sends it orders.

    :param context: objects shared with the sidecar.
    """

    def __init__(self, context: SidecarContext) -> None:
        super().__init__(context)
        self.engine = HttpEngine(context.http_pool, self.settings.endpoint_address)
        self.queue = EndpointQueue(QueueSettings())
        self.generation_runner = GenerationRunner(
            engine=self.engine,
            queue=self.queue,
            pool=self.settings.pool,
            clock=self.clock,
            progress_timeout_s=self.settings.progress_timeout_s,
            metrics=context.metrics,
        )
        self.generation_handler = self.generation_runner
        self.order_executor = OrderExecutor(context, self.engine, self)
        self.engine_state: EngineState | None = None
        self.last_polled_s = float("-inf")
        self.poll_failures = 0
        self.event_sequence = 0
        self.stopping = False

    @property
    def is_idle(self) -> bool:
        """Whether no generation is queued or running."""
        return not self.generation_runner.streams

    @property
    def state(self) -> EndpointState:
        """State of the endpoint, from the engine's state and the change in progress."""
        if self.poll_failures >= DOWN_AFTER_FAILURES:
            return "down"
        if self.engine_state is None:
            return "starting"
        if self.engine_state.changing:
            return "changing"
        if self.order_executor.draining:
            return "draining"
        return "live"

    def drain(self) -> None:
        """Refuse new generations from now on and finish the admitted ones."""
        self.stopping = True
        self.queue.drain()

    def pause_admission(self) -> None:
        """Refuse new generations before an order and finish the admitted ones."""
        self.queue.drain()

    def resume_admission(self) -> None:
        """Accept new generations after an order, unless the sidecar is stopping."""
        if not self.stopping:
            self.queue.resume()

    def fill_report(self, report: LoadReport) -> LoadReport:
        """Return a load report completed with the load of the engine.

        :param report: report with the fields common to all sidecars.
        """
        state = self.engine_state
        if state is None:
            return report
        return attrs.evolve(
            report,
            role=state.role,
            models=state.models,
            queued=self.queue.queued + state.queued,
            queued_prefill_tokens=(
                self.queue.queued_prefill_tokens + state.queued_prefill_tokens
            ),
            running=state.running,
            decode_tokens_left=state.decode_tokens_left,
            max_batch=state.max_batch,
            prefill_tokens_per_s=self.queue.prefill_tokens_per_s,
            decode_tokens_per_s=self.queue.decode_tokens_per_s,
            kv_used=state.kv_used,
            report_age_s=state.age_s + self.clock.monotonic() - self.last_polled_s,
            completed=self.generation_runner.completed,
            residence_s=self.queue.residence_s,
            levels=self.queue.count_by_priority(),
        )

    def on_fold_event(self, event: FoldEvent) -> None:
        """Handle an event of the fold.

        :param event: event of the fold.
        """
        self.order_executor.on_fold_event(event)

    def on_demand(self, demand: PoolDemand) -> None:
        """Record the demand for the pool that an entry measured.

        :param demand: demand of one pool at one entry.
        """
        self.order_executor.on_demand(demand)

    async def run(self) -> None:
        """Run all tasks of the handler until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.poll_engine)
            group.start_soon(self.poll_cache)
            group.start_soon(self.run_ticks)
            group.start_soon(self.order_executor.run)

    async def run_ticks(self) -> None:
        """Expire, start and check generations until cancelled."""
        while True:
            await self.generation_runner.tick()
            await anyio.sleep(TICK_INTERVAL_S)

    async def poll_engine(self) -> None:
        """Poll the engine's state until cancelled."""
        while True:
            await self.read_state()
            await anyio.sleep(self.settings.report_s)

    async def read_state(self) -> None:
        """Read the engine's state once; repeated failures mark the engine as down."""
        previous_state = self.state
        try:
            with anyio.fail_after(self.settings.progress_timeout_s):
                state = await self.engine.state()
        except (OSError, JasminewalkError, *DECODE_ERRORS) as error:
            self.record_poll_failure(error)
        else:
            self.poll_failures = 0
            self.engine_state = state
            self.last_polled_s = self.clock.monotonic()
            self.queue.observe_state(self.last_polled_s, state)
            self.order_executor.on_engine_state(state)
            self.generation_runner.start_ready_streams()
        if self.state != previous_state:
            self.record_change(f"state {previous_state} -> {self.state}")
            self.context.request_report()

    def record_poll_failure(self, error: Exception) -> None:
        """Count a failed read of the engine's state; log the first of a series.

        :param error: the error.
        """
        self.poll_failures += 1
        if self.poll_failures == 1:
            logging.warning(
                "[sidecar] Engine state could not be read. endpoint=%s error=%r",
                self.settings.name,
                error,
            )

    async def poll_cache(self) -> None:
        """Forward the engine's cache events until cancelled."""
        while True:
            with contextlib.suppress(OSError, JasminewalkError, *DECODE_ERRORS):
                with anyio.fail_after(self.settings.progress_timeout_s):
                    await self.read_cache()
            await anyio.sleep(self.settings.report_s)

    async def read_cache(self) -> None:
        """Read cache events once and send them to the entries."""
        page = await self.engine.cache_events(self.event_sequence)
        if page.next_sequence <= self.event_sequence:
            return
        message = CacheEvents(
            endpoint=self.settings.name,
            incarnation=self.context.incarnation,
            first_sequence=page.first_sequence,
            added=page.added[-MAX_EVENTS_PER_MESSAGE:],
            removed=page.removed[-MAX_EVENTS_PER_MESSAGE:],
            count=page.next_sequence - page.first_sequence,
        )
        self.event_sequence = page.next_sequence
        self.queue.observe_cache(message)
        await self.context.broadcast(message)

"""Simulated engine with the queue and role planner of its sidecar."""

import random

from jasminewalk.generated_configuration import Pool
from jasminewalk.generated_measure import Workload
from jasminewalk.generated_messages import CacheEvents, LoadReport
from jasminewalk.generated_requests import EngineOrder
from jasminewalk.measuring._measure_workload import build_engine_settings
from jasminewalk.measuring.baselines import Policy
from jasminewalk.standins.engine_model import EngineModel

__all__ = ["POOL", "MeasuredEndpoint"]

POOL = "engines"
NEVER_S = float("inf")


class MeasuredEndpoint:
    """Simulated engine with the queue and role planner of its sidecar.

    :param workload: the workload.
    :param number: number of the engine.
    :param policy: the policy.
    :param seed: seed of the random sources.
    """

    def __init__(
        self, workload: Workload, number: int, policy: Policy, seed: int
    ) -> None:
        rng = random.Random(f"{seed} {number}")
        self.name = f"engine-{number}"
        settings = build_engine_settings(workload, number)
        self.model = EngineModel(settings, rng, emit_tokens=False)
        self.report_age_s = rng.uniform(*workload.report_age_s)
        self.queue = policy.create_queue()
        pool = Pool(
            kind="engine",
            role_change_cost=workload.role_change_cost,
            horizon_s=workload.horizon_s,
            min_prefill=workload.min_prefill,
            min_decode=workload.min_decode,
        )
        self.planner = policy.create_planner(self.name, pool, rng)
        self.incarnation = 1
        self.sequence = 0
        self.cache_sequence = 0
        self.completed = 0
        self.is_running = True
        self.is_visible = True
        self.withdrawn = False
        self.wanted_role = ""
        self.next_wake_s = NEVER_S

    @property
    def is_usable(self) -> bool:
        """Whether entries send new requests to this endpoint."""
        return self.is_visible and not self.withdrawn and not self.wanted_role

    def build_report(self, now_s: float) -> LoadReport:
        """Build a load report from the current state.

        :param now_s: current time in seconds.
        """
        state = self.model.state(now_s)
        queue = self.queue
        queue.observe_state(now_s, state)
        self.sequence += 1
        queued_tokens = queue.queued_prefill_tokens + state.queued_prefill_tokens
        return LoadReport(
            endpoint=self.name,
            incarnation=str(self.incarnation),
            sequence=self.sequence,
            kind="engine",
            pool=POOL,
            failure_domain="",
            address="",
            state="live",
            role=state.role,
            queued=queue.queued + state.queued,
            queued_prefill_tokens=queued_tokens,
            running=state.running,
            decode_tokens_left=state.decode_tokens_left,
            max_batch=state.max_batch,
            prefill_tokens_per_s=queue.prefill_tokens_per_s,
            decode_tokens_per_s=queue.decode_tokens_per_s,
            kv_used=state.kv_used,
            report_age_s=self.report_age_s,
            completed=self.completed,
            residence_s=queue.residence_s,
            levels=queue.count_by_priority(),
        )

    def take_cache_events(self, now_s: float) -> CacheEvents | None:
        """Return the cache events since the last call, or ``None`` if there are none.

        :param now_s: current time in seconds.
        """
        page = self.model.cache_events(now_s, self.cache_sequence)
        count = page.next_sequence - page.first_sequence
        if count <= 0:
            return None
        self.cache_sequence = page.next_sequence
        events = CacheEvents(
            endpoint=self.name,
            incarnation=str(self.incarnation),
            first_sequence=page.first_sequence,
            added=page.added,
            removed=page.removed,
            count=count,
        )
        self.queue.observe_cache(events)
        return events

    def advance_role_change(self, now_s: float, fencing_number: int) -> None:
        """Order the wanted role once the queue is idle; resume the queue afterwards.

        :param now_s: current time in seconds.
        :param fencing_number: fencing number of the order.
        """
        role = self.wanted_role
        if self.model.speeds.role == role:
            self.wanted_role = ""
            self.queue.resume()
        elif self.queue.is_idle and self.model.change is None:
            order = EngineOrder(fencing_number=fencing_number, role=role, models=[])  # type: ignore[arg-type]
            self.model.order(now_s, order)

    def restart(self, now_s: float) -> None:
        """Restart the engine after a crash as a new incarnation.

        :param now_s: current time in seconds.
        """
        self.model.restart(now_s)
        self.wanted_role = ""
        self.is_running = self.is_visible = True
        self.incarnation += 1
        self.cache_sequence = 0

"""Drives the real decision objects against modelled engines on a virtual clock."""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from jasminewalk.generated_codes import Code
from jasminewalk.generated_measure import Workload
from jasminewalk.generated_messages import LoadReport
from jasminewalk.generated_requests import RefusalBody
from jasminewalk.measuring._measure_endpoint import POOL, MeasuredEndpoint
from jasminewalk.measuring._measure_faults import DETECT_S, schedule_faults
from jasminewalk.measuring._measure_workload import (
    MeasuredRequest,
    deadline_of,
    generation_of,
    profile_of,
)
from jasminewalk.measuring.baselines import Policy
from jasminewalk.standins.engine_model import SentFrame
from jasminewalk.types import Refusal, RequestProfile

__all__ = ["Driver", "RoleChange"]

TICK_S = 0.05
DEMAND_S = 2.0
PLAN_S = 1.0
MAX_ATTEMPTS = 4
NEVER_S = float("inf")


@attrs.frozen
class RoleChange:
    """A role change that took effect.

    :param at_s: instant of its acceptance in seconds.
    :param endpoint: endpoint name.
    :param role: new role.
    """

    at_s: float
    endpoint: str
    role: str


class Driver:
    """One run of one policy.

    :param workload: the workload.
    :param policy: the policy.
    :param requests: requests in order of arrival; their outcomes are filled in.
    :param seed: seed of the random sources.
    """

    def __init__(
        self,
        workload: Workload,
        policy: Policy,
        requests: Sequence[MeasuredRequest],
        seed: int,
    ) -> None:
        self.workload = workload
        self.requests = requests
        self.rng = random.Random(seed)
        self.routers = [
            policy.router(f"entry-{number}", random.Random(f"{seed} entry {number}"))
            for number in range(workload.entries)
        ]
        self.endpoints = {
            endpoint.name: endpoint
            for number in range(len(workload.speeds))
            for endpoint in [MeasuredEndpoint(workload, number, policy, seed)]
        }
        self.events: list[tuple[float, int, Callable[..., None], Any]] = []
        self.numbers = itertools.count()
        self.roles = dict.fromkeys(self.endpoints, "mixed")
        self.grants = itertools.count(1)
        self.log_down = False
        self.changes: list[RoleChange] = []
        self.retries = 0
        self.wasted_s = 0.0

    def run(self) -> None:
        """Run until every request has its outcome."""
        self.at(0.0, self.beat, None)
        self.at(TICK_S, self.tick, None)
        self.at(DEMAND_S, self.share_demand, None)
        self.at(PLAN_S, self.plan, None)
        schedule_faults(self)
        for request in self.requests:
            self.at(request.arrived_s, self.arrive, request)
            self.at(deadline_of(self.workload, request), self.expire, request)
        end_s = max(deadline_of(self.workload, item) for item in self.requests) + 1.0
        while self.events and self.events[0][0] <= end_s:
            now_s, _, action, argument = heapq.heappop(self.events)
            action(now_s, argument)

    def at(self, at_s: float, action: Callable[..., None], argument: Any) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (at_s, next(self.numbers), action, argument))

    # Requests

    def arrive(self, now_s: float, request: MeasuredRequest) -> None:
        """Let a new request reach an entry."""
        request.entry = self.rng.randrange(len(self.routers))
        self.attempt(now_s, request, frozenset())

    def attempt(
        self, now_s: float, request: MeasuredRequest, excluded: frozenset[str]
    ) -> None:
        """Route a request until an endpoint takes it or it is refused."""
        router = self.routers[request.entry]
        profile = profile_of(self.workload, POOL, request)
        while True:
            usable = [item.name for item in self.endpoints.values() if item.usable]
            decision = router.choose(now_s, profile, usable, excluded)
            if isinstance(decision, Refusal):
                self.end(now_s, request, "refused")
                return
            request.attempts += 1
            endpoint = self.endpoints[decision.endpoint]
            router.record_sent(now_s, profile, endpoint.name)
            refusal = self.offer(now_s, endpoint, request, profile)
            if refusal is None:
                return
            excluded |= {endpoint.name}
            body = RefusalBody(
                code=refusal.code,
                name=refusal.code.name,
                message=refusal.reason,
                ran="not_run",
                retry_after_s=refusal.retry_after_s,
            )
            router.record_refusal(now_s, profile.request_id, endpoint.name, body)
            if request.attempts >= MAX_ATTEMPTS or not router.try_take_retry():
                self.end(now_s, request, "refused")
                return
            self.retries += 1

    def offer(
        self,
        now_s: float,
        endpoint: MeasuredEndpoint,
        request: MeasuredRequest,
        profile: RequestProfile,
    ) -> Refusal | None:
        """Hand a request to an endpoint; return why it does not take it."""
        if not endpoint.up:
            return Refusal(Code.NO_ENDPOINT, "No connection.", DETECT_S)
        refusal = endpoint.queue.offer(now_s, profile)
        if refusal is None:
            request.endpoint = endpoint.name
            self.pump(now_s, endpoint)
        return refusal

    def pump(self, now_s: float, endpoint: MeasuredEndpoint) -> None:
        """Hand the engine what the queue lets go, and wake at its next frame."""
        for profile in endpoint.queue.start(now_s):
            request = self.requests[int(profile.request_id)]
            endpoint.model.submit(
                now_s, generation_of(request, profile), request.output_tokens
            )
        wake_s = endpoint.model.next_event_s
        if wake_s < endpoint.wake_s:
            endpoint.wake_s = wake_s
            self.at(wake_s, self.wake, endpoint)

    def wake(self, now_s: float, endpoint: MeasuredEndpoint) -> None:
        """Pass on the frames of an engine."""
        if now_s < endpoint.wake_s:
            return
        endpoint.wake_s = NEVER_S
        for out in endpoint.model.advance(now_s):
            self.on_frame(out, endpoint)
        self.pump(now_s, endpoint)

    def on_frame(self, out: SentFrame, endpoint: MeasuredEndpoint) -> None:
        """Take one frame of an engine."""
        request = self.requests[int(out.request_id)]
        if request.outcome or out.attempt != request.attempts:
            return
        router = self.routers[request.entry]
        if out.frame.code:
            endpoint.queue.cancel(out.request_id)
            router.record_failure(out.at_s, out.request_id, endpoint.name)
            self.retries += 1
            self.attempt(out.at_s, request, frozenset({endpoint.name}))
            return
        if request.first_s is None:
            request.first_s = out.at_s
        endpoint.queue.record_first_token(out.at_s, out.request_id)
        router.record_first_token(out.at_s, out.request_id, out.frame.cached)
        if out.frame.end:
            endpoint.completed += 1
            endpoint.queue.record_finished(
                out.at_s, out.request_id, request.output_tokens
            )
            router.record_finished(out.at_s, out.request_id, request.output_tokens)
            request.gap_s = out.p95_gap_s
            self.end(out.at_s, request, "good")

    def end(self, now_s: float, request: MeasuredRequest, outcome: str) -> None:
        """Give a request its outcome."""
        request.outcome = outcome
        request.ended_s = now_s

    def expire(self, now_s: float, request: MeasuredRequest) -> None:
        """Give up a request whose deadline passes, and free what it holds."""
        if request.outcome:
            return
        self.end(now_s, request, "late")
        self.wasted_s += request.work_s
        endpoint = self.endpoints[request.endpoint]
        endpoint.model.cancel(now_s, str(request.number), request.attempts)
        endpoint.queue.cancel(str(request.number))
        router = self.routers[request.entry]
        router.record_failure(now_s, str(request.number), endpoint.name)
        self.pump(now_s, endpoint)

    def tick(self, now_s: float, _: None) -> None:
        """Give up what waits without hope, start what can, change roles."""
        self.at(now_s + TICK_S, self.tick, None)
        for endpoint in self.endpoints.values():
            for expired in endpoint.queue.remove_expired(now_s):
                request = self.requests[int(expired.profile.request_id)]
                request.told_late_s = TICK_S
                self.end(now_s, request, "refused")
                router = self.routers[request.entry]
                router.remove_request(expired.profile.request_id)
            if endpoint.queue.queued:
                self.pump(now_s, endpoint)
            if endpoint.wanted_role and endpoint.up:
                endpoint.go_on_with_change(now_s, next(self.grants))
                self.pump(now_s, endpoint)

    # Reports

    def beat(self, now_s: float, _: None) -> None:
        """Let every sidecar report its load and cache events."""
        self.at(now_s + self.workload.heartbeat_s, self.beat, None)
        for endpoint in self.endpoints.values():
            if not endpoint.up:
                continue
            report = endpoint.report(now_s)
            self.at(now_s + endpoint.lag_s, self.deliver, report)
            events = endpoint.cache_events(now_s)
            if events is not None:
                for router in self.routers:
                    router.observe_cache(now_s, events)

    def deliver(self, now_s: float, report: LoadReport) -> None:
        """Let a load report arrive at the entries."""
        for router in self.routers:
            router.observe_report(now_s, report)

    def share_demand(self, now_s: float, _: None) -> None:
        """Tell the planners what the entries saw arrive."""
        self.at(now_s + DEMAND_S, self.share_demand, None)
        for router in self.routers:
            for demand in router.collect_demand(now_s):
                for endpoint in self.endpoints.values():
                    if endpoint.planner is not None:
                        endpoint.planner.observe_demand(now_s, demand)

    # Role changes

    def plan(self, now_s: float, _: None) -> None:
        """Let the planners propose; the first against the current roles wins."""
        self.at(now_s + PLAN_S, self.plan, None)
        changing = any(endpoint.wanted_role for endpoint in self.endpoints.values())
        if self.log_down or changing:
            return
        for endpoint in self.endpoints.values():
            if endpoint.planner is None or not endpoint.usable or not endpoint.up:
                continue
            proposal = endpoint.planner.propose(now_s, self.roles)
            if proposal is None:
                continue
            self.roles[endpoint.name] = proposal.role
            self.changes.append(RoleChange(now_s, endpoint.name, proposal.role))
            endpoint.wanted_role = proposal.role
            endpoint.queue.drain()
            return

"""Simulate routers, queues, role planners and engines on a virtual clock."""

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
from jasminewalk.measuring._measure_faults import CRASH_DETECTION_S, schedule_faults
from jasminewalk.measuring._measure_workload import (
    MeasuredRequest,
    build_generate_request,
    build_profile,
    compute_deadline_s,
)
from jasminewalk.measuring.baselines import Policy
from jasminewalk.standins.engine_model import SentFrame
from jasminewalk.types import Refusal, RequestProfile

__all__ = ["PolicySimulation", "RoleChange"]

TICK_INTERVAL_S = 0.05
DEMAND_INTERVAL_S = 2.0
PLAN_INTERVAL_S = 1.0
MAX_ATTEMPTS = 4
NEVER_S = float("inf")


@attrs.frozen
class RoleChange:
    """A role change that was accepted.

    :param at_s: time of acceptance in seconds.
    :param endpoint: endpoint name.
    :param role: new role.
    """

    at_s: float
    endpoint: str
    role: str


class PolicySimulation:
    """Simulation of one policy on one sequence of requests.

    :param workload: the workload.
    :param policy: the policy.
    :param requests: requests in order of arrival; the simulation sets their outcomes.
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
            policy.create_router(
                f"entry-{number}", random.Random(f"{seed} entry {number}")
            )
            for number in range(workload.entries)
        ]
        self.endpoints = {
            endpoint.name: endpoint
            for number in range(len(workload.speeds))
            for endpoint in [MeasuredEndpoint(workload, number, policy, seed)]
        }
        self.events: list[tuple[float, int, Callable[..., None], Any]] = []
        self.event_numbers = itertools.count()
        self.roles = dict.fromkeys(self.endpoints, "mixed")
        self.fencing_numbers = itertools.count(1)
        self.log_down = False
        self.role_changes: list[RoleChange] = []
        self.retries = 0
        self.wasted_s = 0.0

    def run(self) -> None:
        """Simulate until every request has an outcome."""
        self.schedule(0.0, self.send_reports, None)
        self.schedule(TICK_INTERVAL_S, self.tick, None)
        self.schedule(DEMAND_INTERVAL_S, self.share_demand, None)
        self.schedule(PLAN_INTERVAL_S, self.plan_role_change, None)
        schedule_faults(self)
        for request in self.requests:
            self.schedule(request.arrived_s, self.handle_arrival, request)
            self.schedule(
                compute_deadline_s(self.workload, request), self.expire_request, request
            )
        end_s = (
            max(compute_deadline_s(self.workload, item) for item in self.requests) + 1.0
        )
        while self.events and self.events[0][0] <= end_s:
            now_s, _, action, argument = heapq.heappop(self.events)
            action(now_s, argument)

    def schedule(self, at_s: float, action: Callable[..., None], argument: Any) -> None:
        """Schedule an action for a time in seconds."""
        heapq.heappush(self.events, (at_s, next(self.event_numbers), action, argument))

    # Requests

    def handle_arrival(self, now_s: float, request: MeasuredRequest) -> None:
        """Assign a new request to a random entry and route it."""
        request.entry = self.rng.randrange(len(self.routers))
        self.route_request(now_s, request, frozenset())

    def route_request(
        self, now_s: float, request: MeasuredRequest, excluded: frozenset[str]
    ) -> None:
        """Route a request until an endpoint accepts it or it is refused."""
        router = self.routers[request.entry]
        profile = build_profile(self.workload, POOL, request)
        while True:
            usable = [item.name for item in self.endpoints.values() if item.is_usable]
            decision = router.choose(now_s, profile, usable, excluded)
            if isinstance(decision, Refusal):
                self.record_outcome(now_s, request, "refused")
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
                self.record_outcome(now_s, request, "refused")
                return
            self.retries += 1

    def offer(
        self,
        now_s: float,
        endpoint: MeasuredEndpoint,
        request: MeasuredRequest,
        profile: RequestProfile,
    ) -> Refusal | None:
        """Offer a request to an endpoint; return its refusal, if any."""
        if not endpoint.is_running:
            return Refusal(Code.NO_ENDPOINT, "No connection.", CRASH_DETECTION_S)
        refusal = endpoint.queue.offer(now_s, profile)
        if refusal is None:
            request.endpoint = endpoint.name
            self.start_queued(now_s, endpoint)
        return refusal

    def start_queued(self, now_s: float, endpoint: MeasuredEndpoint) -> None:
        """Submit requests that the queue releases; schedule the next engine event."""
        for profile in endpoint.queue.start(now_s):
            request = self.requests[int(profile.request_id)]
            endpoint.model.submit(
                now_s, build_generate_request(request, profile), request.output_tokens
            )
        next_wake_s = endpoint.model.next_event_s
        if next_wake_s < endpoint.next_wake_s:
            endpoint.next_wake_s = next_wake_s
            self.schedule(next_wake_s, self.advance_engine, endpoint)

    def advance_engine(self, now_s: float, endpoint: MeasuredEndpoint) -> None:
        """Advance an engine and handle the frames that it sent."""
        if now_s < endpoint.next_wake_s:
            return
        endpoint.next_wake_s = NEVER_S
        for sent_frame in endpoint.model.advance(now_s):
            self.handle_frame(sent_frame, endpoint)
        self.start_queued(now_s, endpoint)

    def handle_frame(self, sent_frame: SentFrame, endpoint: MeasuredEndpoint) -> None:
        """Update a request from one frame of an engine; retry it after an error frame.

        Frames of earlier attempts and of requests that have ended are ignored.
        """
        request = self.requests[int(sent_frame.request_id)]
        if request.outcome or sent_frame.attempt != request.attempts:
            return
        router = self.routers[request.entry]
        if sent_frame.frame.code:
            endpoint.queue.cancel(sent_frame.request_id)
            router.record_failure(sent_frame.at_s, sent_frame.request_id, endpoint.name)
            self.retries += 1
            self.route_request(sent_frame.at_s, request, frozenset({endpoint.name}))
            return
        if request.first_token_at_s is None:
            request.first_token_at_s = sent_frame.at_s
        endpoint.queue.record_first_token(sent_frame.at_s, sent_frame.request_id)
        router.record_first_token(
            sent_frame.at_s, sent_frame.request_id, sent_frame.frame.cached
        )
        if sent_frame.frame.end:
            endpoint.completed += 1
            endpoint.queue.record_finished(
                sent_frame.at_s, sent_frame.request_id, request.output_tokens
            )
            router.record_finished(
                sent_frame.at_s, sent_frame.request_id, request.output_tokens
            )
            request.p95_gap_s = sent_frame.p95_gap_s
            self.record_outcome(sent_frame.at_s, request, "good")

    def record_outcome(
        self, now_s: float, request: MeasuredRequest, outcome: str
    ) -> None:
        """Record the outcome of a request."""
        request.outcome = outcome
        request.ended_s = now_s

    def expire_request(self, now_s: float, request: MeasuredRequest) -> None:
        """Cancel a request that reached its deadline, and release its resources."""
        if request.outcome:
            return
        self.record_outcome(now_s, request, "late")
        self.wasted_s += request.work_s
        endpoint = self.endpoints[request.endpoint]
        endpoint.model.cancel(now_s, str(request.number), request.attempts)
        endpoint.queue.cancel(str(request.number))
        router = self.routers[request.entry]
        router.record_failure(now_s, str(request.number), endpoint.name)
        self.start_queued(now_s, endpoint)

    def tick(self, now_s: float, _: None) -> None:
        """Refuse expired requests, start queued ones and advance role changes."""
        self.schedule(now_s + TICK_INTERVAL_S, self.tick, None)
        for endpoint in self.endpoints.values():
            for expired in endpoint.queue.remove_expired(now_s):
                request = self.requests[int(expired.profile.request_id)]
                request.refusal_delay_s = TICK_INTERVAL_S
                self.record_outcome(now_s, request, "refused")
                router = self.routers[request.entry]
                router.remove_request(expired.profile.request_id)
            if endpoint.queue.queued:
                self.start_queued(now_s, endpoint)
            if endpoint.wanted_role and endpoint.is_running:
                endpoint.advance_role_change(now_s, next(self.fencing_numbers))
                self.start_queued(now_s, endpoint)

    # Reports

    def send_reports(self, now_s: float, _: None) -> None:
        """Send the load report and the cache events of every running endpoint."""
        self.schedule(now_s + self.workload.heartbeat_s, self.send_reports, None)
        for endpoint in self.endpoints.values():
            if not endpoint.is_running:
                continue
            report = endpoint.build_report(now_s)
            self.schedule(now_s + endpoint.report_age_s, self.deliver_report, report)
            events = endpoint.take_cache_events(now_s)
            if events is not None:
                for router in self.routers:
                    router.observe_cache(now_s, events)

    def deliver_report(self, now_s: float, report: LoadReport) -> None:
        """Deliver a load report to the entries."""
        for router in self.routers:
            router.observe_report(now_s, report)

    def share_demand(self, now_s: float, _: None) -> None:
        """Send the demand that the entries measured to the role planners."""
        self.schedule(now_s + DEMAND_INTERVAL_S, self.share_demand, None)
        for router in self.routers:
            for demand in router.collect_demand(now_s):
                for endpoint in self.endpoints.values():
                    if endpoint.planner is not None:
                        endpoint.planner.observe_demand(now_s, demand)

    # Role changes

    def plan_role_change(self, now_s: float, _: None) -> None:
        """Accept the first role change that a planner proposes.

        Roles stay as they are during a log outage or while another change is in
        progress.
        """
        self.schedule(now_s + PLAN_INTERVAL_S, self.plan_role_change, None)
        changing = any(endpoint.wanted_role for endpoint in self.endpoints.values())
        if self.log_down or changing:
            return
        for endpoint in self.endpoints.values():
            if (
                endpoint.planner is None
                or not endpoint.is_usable
                or not endpoint.is_running
            ):
                continue
            proposal = endpoint.planner.propose(now_s, self.roles)
            if proposal is None:
                continue
            self.roles[endpoint.name] = proposal.role
            self.role_changes.append(RoleChange(now_s, endpoint.name, proposal.role))
            endpoint.wanted_role = proposal.role
            endpoint.queue.drain()
            return

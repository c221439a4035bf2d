"""Which endpoint gets a request, or when the caller should come back."""

import operator
import random
from collections.abc import Collection

from jasminewalk.generated_codes import Code
from jasminewalk.generated_messages import CacheEvents, LoadReport, PoolDemand
from jasminewalk.generated_requests import RefusalBody
from jasminewalk.scheduling._demand import DemandCounter
from jasminewalk.scheduling.admission import FairShares, RetryBudget
from jasminewalk.scheduling.endpoint_view import InFlightRequest
from jasminewalk.scheduling.scoring import (
    EndpointScorer,
    RequestEstimate,
    RoutingSettings,
    ScoredEndpoint,
)
from jasminewalk.types import Candidate, Refusal, RequestProfile, Route

__all__ = ["Router", "RoutingSettings"]

MAX_LISTED_CANDIDATES = 3
MAX_LEARNED_CLASSES = 10_000
REFERENCE_LEARNING_RATE = 0.02
FLEET_RATIO_PRIOR_REQUESTS = 2.0
FLEET_RATIO_WINDOW_REQUESTS = 200.0

_score = operator.attrgetter("score")


class Router(EndpointScorer):
    """Chooses endpoints from old reports, own history and learned speeds.

    :param settings: how to choose.
    :param rng: random source for candidates.
    """

    def __init__(self, settings: RoutingSettings, rng: random.Random) -> None:
        super().__init__(settings, rng)
        self.cache_sequences: dict[str, tuple[str, int]] = {}
        self.in_flight_requests: dict[str, InFlightRequest] = {}
        self.shares_by_pool: dict[str, FairShares] = {}
        self.demand_counter = DemandCounter(settings.entry)
        self.budget = RetryBudget(settings.retry_ratio)
        self.own_completed = 0.0
        self.fleet_completed = 0.0
        self.predicted_cached_tokens = 0
        self.observed_cached_tokens = 0

    def observe_report(self, now_s: float, report: LoadReport) -> None:
        """Take a load report.

        :param now_s: current instant in seconds.
        :param report: the report.
        """
        view = self.get_view(report.endpoint)
        previous = view.report
        if previous is not None and previous.incarnation == report.incarnation:
            self.fleet_completed += max(0, report.completed - previous.completed)
            self.update_fleet_request_ratio()
        view.observe(now_s, report)
        if report.prefill_tokens_per_s:
            change = report.prefill_tokens_per_s - self.reference_prefill_tokens_per_s
            self.reference_prefill_tokens_per_s += REFERENCE_LEARNING_RATE * change

    def update_fleet_request_ratio(self) -> None:
        """Learn how many requests all entries send for each one of this entry."""
        fleet_requests = self.fleet_completed + FLEET_RATIO_PRIOR_REQUESTS
        self.fleet_request_ratio = max(
            1.0, fleet_requests / (self.own_completed + FLEET_RATIO_PRIOR_REQUESTS)
        )
        if self.own_completed > FLEET_RATIO_WINDOW_REQUESTS:
            self.own_completed *= 0.5
            self.fleet_completed *= 0.5

    def observe_cache(self, now_s: float, events: CacheEvents) -> None:
        """Take cache events; a gap in their numbers means that some were lost.

        :param now_s: current instant in seconds.
        :param events: the events.
        """
        del now_s
        incarnation, _ = self.cache_sequences.get(events.endpoint, ("", 0))
        if incarnation and incarnation != events.incarnation:
            self.prefixes.remove_endpoint(events.endpoint)
        next_sequence = events.first_sequence + events.count
        self.cache_sequences[events.endpoint] = (events.incarnation, next_sequence)
        self.prefixes.remove(events.endpoint, events.removed)
        self.prefixes.add(events.endpoint, events.added)

    def forget_endpoint(self, endpoint: str) -> None:
        """Drop what is known of an endpoint.

        :param endpoint: endpoint name.
        """
        self.views.pop(endpoint, None)
        self.cache_sequences.pop(endpoint, None)
        self.avoided_until_s.pop(endpoint, None)
        self.prefixes.remove_endpoint(endpoint)

    def choose(
        self,
        now_s: float,
        profile: RequestProfile,
        usable: Collection[str],
        excluded: frozenset[str] = frozenset(),
        *,
        retry: bool = False,
    ) -> Route | Refusal:
        """Return the endpoint for a request, or why there is none.

        :param now_s: current instant in seconds.
        :param profile: the request.
        :param usable: endpoints that may get it.
        :param excluded: endpoints that were tried already.
        :param retry: whether the request was sent before, also if no endpoint is
            excluded for it.
        """
        first_try = not (retry or excluded)
        if first_try:
            self.budget.earn()
        estimate = self.estimate_request(profile)
        scored_endpoints = self.score_endpoints(now_s, estimate, usable, excluded)
        if not scored_endpoints:
            self.demand_counter.record_refusal(now_s, profile)
            wait_s = self.settings.min_retry_after_s * 5
            return Refusal(Code.NO_ENDPOINT, "No endpoint is usable.", wait_s)
        best = min(scored_endpoints, key=_score)
        if first_try:
            self.count_arrival(now_s, estimate, best)
        refusal = self.check_admission(now_s, profile, scored_endpoints)
        if refusal is not None:
            self.demand_counter.record_refusal(now_s, profile)
            return refusal
        return Route(
            best.view.endpoint,
            self.describe_choice(best),
            self.list_candidates(now_s, scored_endpoints),
        )

    def check_admission(
        self,
        now_s: float,
        profile: RequestProfile,
        scored_endpoints: list[ScoredEndpoint],
    ) -> Refusal | None:
        """Return why a request is not admitted, or nothing.

        :param now_s: current instant in seconds.
        :param profile: the request.
        :param scored_endpoints: endpoints weighed.
        """
        if not self.settings.admission:
            return None
        min_finish_s = min(scored.prediction.finish_s for scored in scored_endpoints)
        remaining_s = profile.deadline_s - now_s
        limit_s = remaining_s * self.settings.deadline_margin
        best = min(scored_endpoints, key=lambda scored: scored.late_s)
        late_s = best.late_s
        if late_s > 0.0:
            first_remaining_s = profile.first_token_deadline_s - now_s
            reason = (
                f"The best endpoint, {best.view.endpoint}, would send the first token "
                f"in {best.prediction.first_token_s:.2f} s of "
                f"{first_remaining_s:.2f} s and "
                f"finish in {best.prediction.finish_s:.2f} s of {remaining_s:.2f} s."
            )
            return self.build_refusal(
                now_s, Code.OVERLOADED, reason, late_s, scored_endpoints
            )
        if (
            not self.settings.fairness
            or min_finish_s <= limit_s * self.settings.min_share_time_fraction
        ):
            return None
        usage = self.get_shares(profile.pool).compute_usage(now_s, profile.organisation)
        if usage <= 1.0:
            return None
        allowed_fraction = usage**-self.settings.share_exponent
        fair_s = limit_s * max(self.settings.min_share_time_fraction, allowed_fraction)
        if min_finish_s <= fair_s:
            return None
        reason = f"The organisation uses {usage:.2f} of its share of a full pool."
        late_s = min_finish_s - fair_s
        return self.build_refusal(
            now_s, Code.OVER_SHARE, reason, late_s, scored_endpoints
        )

    def build_refusal(
        self,
        now_s: float,
        code: Code,
        reason: str,
        late_s: float,
        scored_endpoints: list[ScoredEndpoint],
    ) -> Refusal:
        """Return a refusal that says when to come back.

        :param now_s: current instant in seconds.
        :param code: result code.
        :param reason: why, for people to read.
        :param late_s: seconds of backlog that must go first.
        :param scored_endpoints: endpoints weighed.
        """
        settings = self.settings
        retry_after_s = min(
            settings.max_retry_after_s, max(settings.min_retry_after_s, late_s)
        )
        return Refusal(
            code,
            reason,
            retry_after_s,
            "not_run",
            self.list_candidates(now_s, scored_endpoints),
        )

    def get_shares(self, pool: str) -> FairShares:
        """Return the shares in a pool.

        :param pool: pool name.
        """
        shares = self.shares_by_pool.get(pool)
        if shares is None:
            shares = self.shares_by_pool[pool] = FairShares(self.settings.shares)
        return shares

    def describe_choice(self, best: ScoredEndpoint) -> str:
        """Return why an endpoint was chosen, for people to read.

        :param best: the endpoint chosen.
        """
        return (
            f"Lowest price {best.score:.3f} s: first token in"
            f" {best.prediction.first_token_s:.3f} s, finish in"
            f" {best.prediction.finish_s:.3f} s, {best.cached_tokens} tokens cached."
        )

    def list_candidates(
        self, now_s: float, scored_endpoints: list[ScoredEndpoint]
    ) -> tuple[Candidate, ...]:
        """Return the best candidates for people to read.

        :param now_s: current instant in seconds.
        :param scored_endpoints: endpoints weighed.
        """
        ranked = sorted(scored_endpoints, key=_score)
        return tuple(
            Candidate(
                scored.view.endpoint,
                scored.prediction.first_token_s,
                scored.prediction.finish_s,
                scored.cached_tokens,
                scored.view.compute_load_age_s(now_s),
            )
            for scored in ranked[:MAX_LISTED_CANDIDATES]
        )

    def record_sent(self, now_s: float, profile: RequestProfile, endpoint: str) -> None:
        """Count a request that was sent to an endpoint.

        :param now_s: current instant in seconds.
        :param profile: the request.
        :param endpoint: endpoint name.
        """
        view = self.get_view(endpoint)
        estimate = self.estimate_request(profile)
        scored = self.predict_for_endpoint(now_s, estimate, view)
        prediction = scored.prediction
        request = InFlightRequest(
            request_id=profile.request_id,
            endpoint=endpoint,
            organisation=profile.organisation,
            request_class=profile.request_class,
            pool=profile.pool,
            sent_s=now_s,
            prefill_tokens=max(1, profile.prompt_tokens - scored.cached_tokens),
            output_tokens=estimate.output_tokens,
            priority=profile.priority,
            prefix_hashes=profile.prefix_hashes,
            cached_tokens=scored.cached_tokens,
            predicted_first_token_s=prediction.first_token_s,
            predicted_decode_s=prediction.finish_s - prediction.first_token_s,
        )
        self.forget_request(profile.request_id)
        self.in_flight_requests[profile.request_id] = request
        view.add(request)
        view.last_trial_s = now_s
        self.prefixes.add(endpoint, profile.prefix_hashes)
        shares = self.get_shares(profile.pool)
        shares.record_admission(
            now_s, profile.organisation, self.estimate_work_s(estimate, scored)
        )

    def forget_request(self, request_id: str) -> InFlightRequest | None:
        """Forget a request that was sent, and return it.

        :param request_id: identifier of the request.
        """
        request = self.in_flight_requests.pop(request_id, None)
        if request is None:
            return None
        view = self.views.get(request.endpoint)
        if view is not None:
            view.remove(request)
        return request

    def record_first_token(
        self, now_s: float, request_id: str, cached_tokens: int = 0
    ) -> None:
        """Learn from the first token of an answer.

        :param now_s: current instant in seconds.
        :param request_id: identifier of the request.
        :param cached_tokens: prompt tokens that the engine found in its cache.
        """
        request = self.in_flight_requests.get(request_id)
        if request is None:
            return
        self.predicted_cached_tokens += request.cached_tokens
        self.observed_cached_tokens += cached_tokens
        self.get_view(request.endpoint).observe_first_token(now_s, request)

    def record_finished(
        self, now_s: float, request_id: str, output_tokens: int
    ) -> None:
        """Learn from a whole answer.

        :param now_s: current instant in seconds.
        :param request_id: identifier of the request.
        :param output_tokens: length of the answer.
        """
        request = self.forget_request(request_id)
        if request is None:
            return
        self.own_completed += 1
        view = self.get_view(request.endpoint)
        if view.is_service:
            view.observe_first_token(now_s, request)
            return
        view.observe_finish(now_s, request, output_tokens)
        key = (request.pool, request.request_class)
        learned = self.learned_output_tokens.get(key)
        if learned is None and len(self.learned_output_tokens) >= MAX_LEARNED_CLASSES:
            return
        if output_tokens > 0:
            learned = float(output_tokens) if learned is None else learned
            self.learned_output_tokens[key] = learned + 0.05 * (output_tokens - learned)

    def record_failure(self, now_s: float, request_id: str, endpoint: str) -> None:
        """Count a request that an endpoint failed.

        :param now_s: current instant in seconds.
        :param request_id: identifier of the request.
        :param endpoint: endpoint name.
        """
        self.forget_request(request_id)
        view = self.get_view(endpoint)
        view.observe_failure()
        view.last_trial_s = now_s

    def record_refusal(
        self, now_s: float, request_id: str, endpoint: str, body: RefusalBody
    ) -> None:
        """Count a request that an endpoint refused, and avoid it for a moment.

        :param now_s: current instant in seconds.
        :param request_id: identifier of the request.
        :param endpoint: endpoint name.
        :param body: the refusal.
        """
        request = self.forget_request(request_id)
        if request is not None:
            self.prefixes.remove(endpoint, request.prefix_hashes[-1:])
        avoidance_s = min(body.retry_after_s, self.settings.refusal_avoidance_s)
        self.avoided_until_s[endpoint] = now_s + avoidance_s

    def try_take_retry(self) -> bool:
        """Return whether the retry budget allows a retry, and take it out."""
        return self.budget.spend()

    def estimate_work_s(
        self, estimate: RequestEstimate, scored: ScoredEndpoint
    ) -> float:
        """Return the work of a request in seconds of its endpoint.

        :param estimate: the request.
        :param scored: the endpoint.
        """
        view = scored.view
        if view.is_service:
            return scored.prediction.work_s
        decode_s = estimate.output_tokens / view.decode_tokens_per_s / view.slots
        return scored.prediction.work_s + decode_s

    def count_arrival(
        self, now_s: float, estimate: RequestEstimate, best: ScoredEndpoint
    ) -> None:
        """Count the work of a new request.

        :param now_s: current instant in seconds.
        :param estimate: the request.
        :param best: best endpoint for it.
        """
        profile = estimate.profile
        output_tokens = estimate.output_tokens
        self.demand_counter.record_arrival(
            now_s, profile, best.cached_tokens, output_tokens
        )
        work_s = self.estimate_work_s(estimate, best)
        shares = self.get_shares(profile.pool)
        shares.record_arrival(now_s, profile.organisation, profile.weight, work_s)

    def collect_demand(self, now_s: float) -> list[PoolDemand]:
        """Return the work that arrived since the last call, by pool and class.

        :param now_s: current instant in seconds.
        """
        return self.demand_counter.collect(now_s, self.views.values())

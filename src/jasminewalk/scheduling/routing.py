"""Choice of an endpoint for each request, or refusal with a retry delay."""

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
    """Chooses endpoints by load reports, requests in flight and learned speeds.

    Load reports lag behind, so the router also counts the requests that it has sent
    itself.

    :param settings: routing settings.
    :param rng: random source for the selection of candidates.
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
        """Apply a load report of an endpoint.

        :param now_s: current time in seconds.
        :param report: the report.
        """
        view = self.get_view(report.endpoint)
        previous = view.report
        if previous is not None and previous.incarnation == report.incarnation:
            self.fleet_completed += max(0, report.completed - previous.completed)
            self.update_fleet_request_ratio()
        view.observe_report(now_s, report)
        if report.prefill_tokens_per_s:
            change = report.prefill_tokens_per_s - self.reference_prefill_tokens_per_s
            self.reference_prefill_tokens_per_s += REFERENCE_LEARNING_RATE * change

    def update_fleet_request_ratio(self) -> None:
        """Update how many requests all entries send per request of this entry.

        The ratio is computed from counts, because a moving average took minutes after
        a start to account for the other entries.
        """
        fleet_requests = self.fleet_completed + FLEET_RATIO_PRIOR_REQUESTS
        self.fleet_request_ratio = max(
            1.0, fleet_requests / (self.own_completed + FLEET_RATIO_PRIOR_REQUESTS)
        )
        if self.own_completed > FLEET_RATIO_WINDOW_REQUESTS:
            self.own_completed *= 0.5
            self.fleet_completed *= 0.5

    def observe_cache(self, now_s: float, events: CacheEvents) -> None:
        """Apply changes of an engine's prefix cache.

        Events of a new incarnation replace everything known about the cache. A gap
        in the sequence numbers means that some events were lost; this is tolerated,
        because the index only estimates what a cache holds.

        :param now_s: current time in seconds.
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

    def remove_endpoint(self, endpoint: str) -> None:
        """Drop everything known about an endpoint.

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
        """Choose the endpoint for a request, or refuse the request.

        :param now_s: current time in seconds.
        :param profile: the request.
        :param usable: endpoints that may serve the request.
        :param excluded: endpoints that have already been tried.
        :param retry: whether the request has been sent before, even if no endpoint
            is excluded.
        """
        is_first_attempt = not (retry or excluded)
        if is_first_attempt:
            self.budget.record_request()
        estimate = self.estimate_request(profile)
        scored_endpoints = self.score_endpoints(now_s, estimate, usable, excluded)
        if not scored_endpoints:
            self.demand_counter.record_refusal(now_s, profile)
            wait_s = self.settings.min_retry_after_s * 5
            return Refusal(Code.NO_ENDPOINT, "No endpoint is usable.", wait_s)
        best = min(scored_endpoints, key=_score)
        if is_first_attempt:
            self.record_arrival(now_s, estimate, best)
        refusal = self.find_refusal(now_s, profile, scored_endpoints)
        if refusal is not None:
            self.demand_counter.record_refusal(now_s, profile)
            return refusal
        return Route(
            best.view.endpoint,
            self.describe_choice(best),
            self.list_candidates(now_s, scored_endpoints),
        )

    def find_refusal(
        self,
        now_s: float,
        profile: RequestProfile,
        scored_endpoints: list[ScoredEndpoint],
    ) -> Refusal | None:
        """Return a refusal if a request is not admitted, otherwise ``None``.

        Fair shares are enforced only if the pool is so busy that even the best
        endpoint needs a large part of the allowed time.

        :param now_s: current time in seconds.
        :param profile: the request.
        :param scored_endpoints: endpoints with their scores.
        """
        if not self.settings.admission:
            return None
        min_finish_s = min(scored.prediction.finish_s for scored in scored_endpoints)
        remaining_s = profile.deadline_s - now_s
        allowed_s = remaining_s * self.settings.deadline_margin
        best = min(scored_endpoints, key=lambda scored: scored.late_s)
        late_s = best.late_s
        if late_s > 0.0:
            first_token_remaining_s = profile.first_token_deadline_s - now_s
            reason = (
                f"The best endpoint, {best.view.endpoint}, would send the first token "
                f"in {best.prediction.first_token_s:.2f} s of "
                f"{first_token_remaining_s:.2f} s and "
                f"finish in {best.prediction.finish_s:.2f} s of {remaining_s:.2f} s."
            )
            return self.build_refusal(
                now_s, Code.OVERLOADED, reason, late_s, scored_endpoints
            )
        if (
            not self.settings.fairness
            or min_finish_s <= allowed_s * self.settings.min_share_time_fraction
        ):
            return None
        usage = self.get_shares(profile.pool).compute_usage(now_s, profile.organisation)
        if usage <= 1.0:
            return None
        allowed_fraction = usage**-self.settings.share_exponent
        fair_allowed_s = allowed_s * max(
            self.settings.min_share_time_fraction, allowed_fraction
        )
        if min_finish_s <= fair_allowed_s:
            return None
        reason = f"The organisation uses {usage:.2f} of its share of a full pool."
        late_s = min_finish_s - fair_allowed_s
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
        """Build a refusal with a retry delay.

        :param now_s: current time in seconds.
        :param code: result code.
        :param reason: human-readable reason.
        :param late_s: seconds of backlog to be processed before a retry.
        :param scored_endpoints: endpoints with their scores.
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
        """Return the organisations' shares of a pool, creating them if needed.

        :param pool: pool name.
        """
        shares = self.shares_by_pool.get(pool)
        if shares is None:
            shares = self.shares_by_pool[pool] = FairShares(self.settings.shares)
        return shares

    def describe_choice(self, best: ScoredEndpoint) -> str:
        """Return a human-readable reason for the choice of an endpoint.

        :param best: the chosen endpoint.
        """
        return (
            f"Lowest score {best.score:.3f} s: first token in"
            f" {best.prediction.first_token_s:.3f} s, finish in"
            f" {best.prediction.finish_s:.3f} s, {best.cached_tokens} tokens cached."
        )

    def list_candidates(
        self, now_s: float, scored_endpoints: list[ScoredEndpoint]
    ) -> tuple[Candidate, ...]:
        """Return the candidates with the lowest scores, for traces and refusals.

        :param now_s: current time in seconds.
        :param scored_endpoints: endpoints with their scores.
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
        """Record that a request was sent to an endpoint.

        :param now_s: current time in seconds.
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
        self.remove_request(profile.request_id)
        self.in_flight_requests[profile.request_id] = request
        view.add(request)
        view.last_trial_s = now_s
        self.prefixes.add(endpoint, profile.prefix_hashes)
        shares = self.get_shares(profile.pool)
        shares.record_admission(
            now_s, profile.organisation, self.estimate_work_s(estimate, scored)
        )

    def remove_request(self, request_id: str) -> InFlightRequest | None:
        """Remove a request in flight and return it, if it is known.

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
        """Record the first token of a response and learn from its delay.

        :param now_s: current time in seconds.
        :param request_id: identifier of the request.
        :param cached_tokens: prompt tokens that the engine found in its cache.
        """
        request = self.in_flight_requests.get(request_id)
        if request is None:
            return
        self.predicted_cached_tokens += request.cached_tokens
        self.observed_cached_tokens += cached_tokens
        self.get_view(request.endpoint).record_first_token(now_s, request)

    def record_finished(
        self, now_s: float, request_id: str, output_tokens: int
    ) -> None:
        """Record the end of a response and learn from its duration and length.

        :param now_s: current time in seconds.
        :param request_id: identifier of the request.
        :param output_tokens: length of the response in tokens.
        """
        request = self.remove_request(request_id)
        if request is None:
            return
        self.own_completed += 1
        view = self.get_view(request.endpoint)
        if view.is_service:
            view.record_first_token(now_s, request)
            return
        view.record_finished(now_s, request, output_tokens)
        key = (request.pool, request.request_class)
        learned = self.learned_output_tokens.get(key)
        if learned is None and len(self.learned_output_tokens) >= MAX_LEARNED_CLASSES:
            return
        if output_tokens > 0:
            learned = float(output_tokens) if learned is None else learned
            self.learned_output_tokens[key] = learned + 0.05 * (output_tokens - learned)

    def record_failure(self, now_s: float, request_id: str, endpoint: str) -> None:
        """Record that a request failed on an endpoint.

        :param now_s: current time in seconds.
        :param request_id: identifier of the request.
        :param endpoint: endpoint name.
        """
        self.remove_request(request_id)
        view = self.get_view(endpoint)
        view.record_failure()
        view.last_trial_s = now_s

    def record_refusal(
        self, now_s: float, request_id: str, endpoint: str, body: RefusalBody
    ) -> None:
        """Record that an endpoint refused a request, and avoid it for a short time.

        :param now_s: current time in seconds.
        :param request_id: identifier of the request.
        :param endpoint: endpoint name.
        :param body: the refusal, whose retry delay bounds the time of avoidance.
        """
        request = self.remove_request(request_id)
        if request is not None:
            self.prefixes.remove(endpoint, request.prefix_hashes[-1:])
        avoidance_s = min(body.retry_after_s, self.settings.refusal_avoidance_s)
        self.avoided_until_s[endpoint] = now_s + avoidance_s

    def try_take_retry(self) -> bool:
        """Spend one retry of the budget; return whether one was left."""
        return self.budget.try_take()

    def estimate_work_s(
        self, estimate: RequestEstimate, scored: ScoredEndpoint
    ) -> float:
        """Return the work of a request in seconds of endpoint time.

        :param estimate: estimates for the request.
        :param scored: the endpoint with its prediction.
        """
        view = scored.view
        if view.is_service:
            return scored.prediction.work_s
        decode_s = estimate.output_tokens / view.decode_tokens_per_s / view.slots
        return scored.prediction.work_s + decode_s

    def record_arrival(
        self, now_s: float, estimate: RequestEstimate, best: ScoredEndpoint
    ) -> None:
        """Count the work of a newly arrived request.

        :param now_s: current time in seconds.
        :param estimate: estimates for the request.
        :param best: endpoint with the lowest score.
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

        :param now_s: current time in seconds.
        """
        return self.demand_counter.collect(now_s, self.views.values())

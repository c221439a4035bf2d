"""Scores of endpoints for a request, in seconds."""

import math
import random
from collections.abc import Collection, Sequence

import attrs

from jasminewalk.scheduling.admission import ShareSettings
from jasminewalk.scheduling.endpoint_view import EndpointView, Prediction, SpeedSettings
from jasminewalk.scheduling.prefixes import PrefixIndex
from jasminewalk.types import RequestProfile

__all__ = ["EndpointScorer", "RequestEstimate", "RoutingSettings", "ScoredEndpoint"]

LATE_PENALTY_S = 100.0
MAX_SCANNED_ENDPOINTS = 64


@attrs.frozen(kw_only=True)
class RoutingSettings:
    """Settings for the choice of endpoints.

    :param entry: entry name.
    :param speeds: how endpoint speeds are learned.
    :param shares: how the shares of organisations are measured.
    :param max_full_scan_endpoints: size up to which all endpoints of a pool are
        scored.
    :param random_candidates: number of random picks among the endpoints of a larger
        pool; those picked are scored.
    :param affinity_candidates: maximum number of endpoints of a larger pool that are
        scored because of their prefix caches.
    :param prefill_weight: score of a second of prefill.
    :param finish_weight: score of a second until the last token; a second until the
        first token scores 1.
    :param recompute_weight: reduction of the spare time that may be spent waiting, per
        fraction of the work that another endpoint has cached; with 2, a fraction of
        a quarter halves that time.
    :param min_spare_fraction: minimum fraction of the spare time that may be spent
        waiting.
    :param deadline_margin: fraction of the remaining time that a prediction may use.
    :param min_share_time_fraction: fraction of that time which an organisation far
        above its share may still use.
    :param share_exponent: exponent with which that time shrinks as usage grows.
    :param min_retry_after_s: shortest retry delay in seconds given to a caller.
    :param max_retry_after_s: longest retry delay in seconds given to a caller.
    :param retry_ratio: retries earned by each first attempt.
    :param refusal_avoidance_s: longest time in seconds for which an endpoint that
        refused a request is avoided.
    :param affinity: whether prefix caches affect the score.
    :param admission: whether requests that cannot meet their deadline are refused.
    :param fairness: whether the shares of organisations are enforced.
    :param learning: whether the output lengths of request classes are learned.
    """

    entry: str = ""
    speeds: SpeedSettings = attrs.field(factory=SpeedSettings)
    shares: ShareSettings = attrs.field(factory=ShareSettings)
    max_full_scan_endpoints: int = 16
    random_candidates: int = 3
    affinity_candidates: int = 2
    prefill_weight: float = 20.0
    finish_weight: float = 0.1
    recompute_weight: float = 2.0
    min_spare_fraction: float = 0.1
    deadline_margin: float = 0.85
    min_share_time_fraction: float = 0.4
    share_exponent: float = 3.0
    min_retry_after_s: float = 0.2
    max_retry_after_s: float = 30.0
    retry_ratio: float = 0.2
    refusal_avoidance_s: float = 0.1
    affinity: bool = True
    admission: bool = True
    fairness: bool = True
    learning: bool = True


@attrs.define
class RequestEstimate:
    """Estimates for a request that do not depend on the endpoint.

    :param profile: the request.
    :param sampled_blocks: positions and hashes of the prompt's blocks that the prefix
        index keeps.
    :param output_tokens: expected output tokens.
    """

    profile: RequestProfile
    sampled_blocks: list[tuple[int, int]]
    output_tokens: int


@attrs.define
class ScoredEndpoint:
    """An endpoint with its prediction and score for a request.

    :param view: the endpoint.
    :param cached_tokens: prompt tokens expected in its prefix cache.
    :param prediction: predicted response times.
    :param score: score in seconds; lower is better.
    :param late_s: seconds by which the prediction exceeds the allowed time.
    """

    view: EndpointView
    cached_tokens: int
    prediction: Prediction
    score: float
    late_s: float = 0.0


class EndpointScorer:
    """Predicts response times of endpoints and scores them for a request.

    :param settings: routing settings.
    :param rng: random source for the selection of candidates.
    """

    def __init__(self, settings: RoutingSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.views: dict[str, EndpointView] = {}
        self.prefixes = PrefixIndex()
        self.learned_output_tokens: dict[tuple[str, str], float] = {}
        self.avoided_until_s: dict[str, float] = {}
        # Average over all endpoints, so that the same prefill work scores the same on
        # each of them.
        self.reference_prefill_tokens_per_s = (
            settings.speeds.default_prefill_tokens_per_s
        )
        self.fleet_request_ratio = 1.0
        self.cached_usable: Sequence[str] = ()
        self.cached_usable_set: frozenset[str] = frozenset()

    def get_view(self, endpoint: str) -> EndpointView:
        """Return the view of an endpoint, creating it if needed.

        :param endpoint: endpoint name.
        """
        view = self.views.get(endpoint)
        if view is None:
            view = EndpointView(endpoint, self.settings.speeds)
            self.views[endpoint] = view
        return view

    def estimate_request(self, profile: RequestProfile) -> RequestEstimate:
        """Compute the estimates for a request that do not depend on the endpoint.

        :param profile: the request.
        """
        sampled_blocks: list[tuple[int, int]] = []
        if self.settings.affinity:
            sampled_blocks = self.prefixes.sample_blocks(profile.prefix_hashes)
        return RequestEstimate(
            profile, sampled_blocks, self.estimate_output_tokens(profile)
        )

    def score_endpoints(
        self,
        now_s: float,
        estimate: RequestEstimate,
        usable: Collection[str],
        excluded: frozenset[str],
    ) -> list[ScoredEndpoint]:
        """Score the candidate endpoints for a request.

        Endpoints on probation, and those that refused a request a short time ago, are
        scored only if no others are left.

        :param now_s: current time in seconds.
        :param estimate: estimates for the request.
        :param usable: endpoints that may serve the request.
        :param excluded: endpoints that have already been tried.
        """
        names = self.sample_endpoints(estimate, usable, excluded)
        views = [self.get_view(name) for name in names]
        healthy = [view for view in views if self.is_healthy(now_s, view)]
        scored_endpoints = [
            self.predict_for_endpoint(now_s, estimate, view)
            for view in healthy or views
        ]
        if not scored_endpoints:
            return []
        max_cached_tokens = max(scored.cached_tokens for scored in scored_endpoints)
        for scored in scored_endpoints:
            self.set_score(now_s, estimate.profile, scored, max_cached_tokens)
        return scored_endpoints

    def is_healthy(self, now_s: float, view: EndpointView) -> bool:
        """Return whether an endpoint is neither avoided nor on probation.

        :param now_s: current time in seconds.
        :param view: the endpoint.
        """
        if self.avoided_until_s.get(view.endpoint, 0.0) > now_s:
            return False
        return not view.is_on_probation(now_s)

    def sample_endpoints(
        self,
        estimate: RequestEstimate,
        usable: Collection[str],
        excluded: frozenset[str],
    ) -> list[str]:
        """Select all endpoints of a small pool, or a sample of a large one.

        :param estimate: estimates for the request.
        :param usable: endpoints that may serve the request.
        :param excluded: endpoints that have already been tried.
        """
        if len(usable) <= self.settings.max_full_scan_endpoints or not isinstance(
            usable, Sequence
        ):
            return [name for name in usable if name not in excluded]
        names: dict[str, None] = {}
        if self.settings.affinity:
            found = self.prefixes.find_endpoints(
                estimate.sampled_blocks, self.settings.affinity_candidates
            )
            usable_set = self.get_usable_set(usable)
            names.update(dict.fromkeys(name for name in found if name in usable_set))
        size = len(usable)
        for _ in range(self.settings.random_candidates):
            names[usable[int(self.rng.random() * size)]] = None
        return [name for name in names if name not in excluded]

    def get_usable_set(self, usable: Sequence[str]) -> Collection[str]:
        """Return a collection for membership tests.

        A long sequence is converted to a set, which is kept as long as the same
        sequence object is passed in.

        :param usable: endpoints that may serve requests; it must not be modified.
        """
        if len(usable) <= MAX_SCANNED_ENDPOINTS:
            return usable
        if usable is not self.cached_usable:
            self.cached_usable = usable
            self.cached_usable_set = frozenset(usable)
        return self.cached_usable_set

    def predict_for_endpoint(
        self, now_s: float, estimate: RequestEstimate, view: EndpointView
    ) -> ScoredEndpoint:
        """Predict the response times of an endpoint for a request.

        The score is preliminary until :meth:`set_score` is called.

        :param now_s: current time in seconds.
        :param estimate: estimates for the request.
        :param view: the endpoint.
        """
        profile = estimate.profile
        cached = 0
        if estimate.sampled_blocks:
            cached = self.prefixes.estimate_cached_tokens(
                view.endpoint, estimate.sampled_blocks
            )
        prefill = max(1, profile.prompt_tokens - cached)
        prediction = view.predict(
            now_s,
            prefill,
            estimate.output_tokens,
            profile.priority,
            self.fleet_request_ratio,
        )
        return ScoredEndpoint(view, cached, prediction, prediction.finish_s)

    def set_score(
        self,
        now_s: float,
        profile: RequestProfile,
        scored: ScoredEndpoint,
        max_cached_tokens: int,
    ) -> None:
        """Set the score of an endpoint for a request, and by how much it is late.

        Waiting and prefill work are scored separately. Scored by its predicted finish
        alone, a slower engine would get no long responses and often be idle.

        If another endpoint has more of the prompt cached, only a part of the spare
        time before the deadline may be spent waiting. In a full pool, requests that
        need little prefill are therefore admitted first. An endpoint without a backlog
        may still compute the prompt again, so that such a request is not refused while
        engines are idle.

        :param now_s: current time in seconds.
        :param profile: the request.
        :param scored: the endpoint with its prediction.
        :param max_cached_tokens: largest number of prompt tokens that a candidate has
            cached.
        """
        settings = self.settings
        prediction = scored.prediction
        prefill_s = (
            profile.prompt_tokens - scored.cached_tokens
        ) / self.reference_prefill_tokens_per_s
        recompute_s = (
            max_cached_tokens - scored.cached_tokens
        ) / self.reference_prefill_tokens_per_s
        score = prediction.first_token_s
        score += settings.finish_weight * prediction.finish_s
        score += settings.prefill_weight * prefill_s
        allowed_s = settings.deadline_margin * (profile.deadline_s - now_s)
        late_s = prediction.finish_s - allowed_s
        first_token_remaining_s = profile.first_token_deadline_s - now_s
        late_s = max(late_s, prediction.first_token_s - first_token_remaining_s)
        if recompute_s > 0.0 and late_s > -math.inf:
            recompute_fraction = recompute_s / (
                prefill_s + scored.view.residence_per_slot_s
            )
            spare_fraction = 1.0 - settings.recompute_weight * recompute_fraction
            spare_fraction = max(settings.min_spare_fraction, spare_fraction)
            late_s = max(
                late_s,
                prediction.wait_s - spare_fraction * (prediction.wait_s - late_s),
            )
        if late_s > 0.0:
            score += LATE_PENALTY_S + late_s
        scored.score = score
        scored.late_s = late_s

    def estimate_output_tokens(self, profile: RequestProfile) -> int:
        """Estimate the output tokens of a request from earlier ones of its class.

        Without any, the number expected by its profile is used.

        :param profile: the request.
        """
        expected = profile.expected_tokens
        if self.settings.learning:
            key = (profile.pool, profile.request_class)
            expected = round(self.learned_output_tokens.get(key, expected))
        if profile.max_tokens:
            expected = min(expected, profile.max_tokens)
        return max(1, expected)

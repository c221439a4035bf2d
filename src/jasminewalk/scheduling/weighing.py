"""Prices of endpoints for a request, in seconds."""

import math
import random
from collections.abc import Collection, Sequence

import attrs

from jasminewalk.scheduling.admission import ShareSettings
from jasminewalk.scheduling.prefixes import PrefixIndex
from jasminewalk.scheduling.speeds import EndpointView, Prediction, SpeedSettings
from jasminewalk.types import RequestProfile

__all__ = ["Option", "Query", "RoutingSettings", "Weigher"]

LATE_PRICE_S = 100.0
SCANNED_POOL = 64


@attrs.frozen(kw_only=True)
class RoutingSettings:
    """How an entry chooses endpoints.

    :param entry: entry name.
    :param speeds: how speeds are learned.
    :param shares: how shares of organisations are measured.
    :param small_pool: largest pool of which all endpoints are weighed.
    :param candidates: endpoints weighed at random in a larger pool.
    :param affine: endpoints weighed besides for their prefix cache.
    :param work_weight: price of a second of prefill in seconds to the first token.
    :param finish_weight: price of a second to the last token in the same.
    :param extra_work_weight: part of the spare time that work which another
        endpoint has cached takes away, against its part of the work.
    :param extra_work_patience: least part of the spare time that is left to it.
    :param deadline_margin: part of the time left that a prediction may use.
    :param share_floor: part of the time left that an organisation far above its
        share may use.
    :param share_steepness: power of the usage by which that time shrinks.
    :param min_retry_after_s: least seconds to come back after.
    :param max_retry_after_s: most seconds to come back after.
    :param retry_ratio: retries earned by each request.
    :param refusal_hold_s: seconds for which an endpoint that refused is avoided.
    :param affinity: whether prefix caches are weighed.
    :param admission: whether hopeless requests are refused.
    :param fairness: whether shares of organisations are kept.
    :param learning: whether output lengths are learned.
    """

    entry: str = ""
    speeds: SpeedSettings = attrs.field(factory=SpeedSettings)
    shares: ShareSettings = attrs.field(factory=ShareSettings)
    small_pool: int = 16
    candidates: int = 3
    affine: int = 2
    work_weight: float = 20.0
    finish_weight: float = 0.1
    extra_work_weight: float = 2.0
    extra_work_patience: float = 0.1
    deadline_margin: float = 0.85
    share_floor: float = 0.4
    share_steepness: float = 3.0
    min_retry_after_s: float = 0.2
    max_retry_after_s: float = 30.0
    retry_ratio: float = 0.2
    refusal_hold_s: float = 0.1
    affinity: bool = True
    admission: bool = True
    fairness: bool = True
    learning: bool = True


@attrs.define
class Query:
    """What is worked out once for a request.

    :param profile: the request.
    :param sampled: prefix blocks that the index keeps.
    :param output_tokens: output tokens expected.
    """

    profile: RequestProfile
    sampled: list[tuple[int, int]]
    output_tokens: int


@attrs.define
class Option:
    """An endpoint that is weighed for a request.

    :param view: the endpoint.
    :param cached_tokens: prompt tokens expected in its cache.
    :param prediction: when it would answer.
    :param score: price in seconds; lower is better.
    :param late_s: seconds by which it would miss the time it may use.
    """

    view: EndpointView
    cached_tokens: int
    prediction: Prediction
    score: float
    late_s: float = 0.0


class Weigher:
    """Predicts and prices what endpoints would do with a request.

    :param settings: how to choose.
    :param rng: random source for candidates.
    """

    def __init__(self, settings: RoutingSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.views: dict[str, EndpointView] = {}
        self.prefixes = PrefixIndex()
        self.lengths: dict[tuple[str, str], float] = {}
        self.refused_until_s: dict[str, float] = {}
        self.reference_rate = settings.speeds.default_prefill_tokens_per_s
        self.others = 1.0
        self.last_usable: Sequence[str] = ()
        self.last_members: frozenset[str] = frozenset()

    def view(self, endpoint: str) -> EndpointView:
        """Return the view of an endpoint, made if it is new.

        :param endpoint: endpoint name.
        """
        view = self.views.get(endpoint)
        if view is None:
            view = EndpointView(endpoint, self.settings.speeds)
            self.views[endpoint] = view
        return view

    def query(self, profile: RequestProfile) -> Query:
        """Return what is worked out once for a request.

        :param profile: the request.
        """
        sampled: list[tuple[int, int]] = []
        if self.settings.affinity:
            sampled = self.prefixes.sampled(profile.prefix_hashes)
        return Query(profile, sampled, self.expected_tokens(profile))

    def options(
        self,
        now_s: float,
        query: Query,
        usable: Collection[str],
        excluded: frozenset[str],
    ) -> list[Option]:
        """Return the endpoints worth weighing.

        :param now_s: current instant in seconds.
        :param query: the request.
        :param usable: endpoints that may get it.
        :param excluded: endpoints that were tried already.
        """
        names = self.sampled(query, usable, excluded)
        views = [self.view(name) for name in names]
        healthy = [view for view in views if self.is_healthy(now_s, view)]
        options = [self.option(now_s, query, view) for view in healthy or views]
        if not options:
            return []
        most = max(option.cached_tokens for option in options)
        for option in options:
            self.set_price(now_s, query.profile, option, most)
        return options

    def is_healthy(self, now_s: float, view: EndpointView) -> bool:
        """Return whether an endpoint may get more than a trial request.

        :param now_s: current instant in seconds.
        :param view: the endpoint.
        """
        if self.refused_until_s.get(view.endpoint, 0.0) > now_s:
            return False
        return not view.on_probation(now_s)

    def sampled(
        self,
        query: Query,
        usable: Collection[str],
        excluded: frozenset[str],
    ) -> list[str]:
        """Return all endpoints of a small pool, or some of a large one.

        :param query: the request.
        :param usable: endpoints that may get it.
        :param excluded: endpoints that were tried already.
        """
        if len(usable) <= self.settings.small_pool or not isinstance(usable, Sequence):
            return [name for name in usable if name not in excluded]
        names: dict[str, None] = {}
        if self.settings.affinity:
            found = self.prefixes.endpoints(query.sampled, self.settings.affine)
            members = self.members(usable)
            names.update(dict.fromkeys(name for name in found if name in members))
        size = len(usable)
        for _ in range(self.settings.candidates):
            names[usable[int(self.rng.random() * size)]] = None
        return [name for name in names if name not in excluded]

    def members(self, usable: Sequence[str]) -> Collection[str]:
        """Return a large sequence as a set, made once for each sequence object.

        :param usable: endpoints that may get requests; unchanged while it is used.
        """
        if len(usable) <= SCANNED_POOL:
            return usable
        if usable is not self.last_usable:
            self.last_usable = usable
            self.last_members = frozenset(usable)
        return self.last_members

    def option(self, now_s: float, query: Query, view: EndpointView) -> Option:
        """Return the price of an endpoint for a request.

        :param now_s: current instant in seconds.
        :param query: the request.
        :param view: the endpoint.
        """
        profile = query.profile
        cached = 0
        if query.sampled:
            cached = self.prefixes.cached_tokens(view.endpoint, query.sampled)
        prefill = max(1, profile.prompt_tokens - cached)
        prediction = view.predict(
            now_s, prefill, query.output_tokens, profile.priority, self.others
        )
        return Option(view, cached, prediction, prediction.finish_s)

    def set_price(
        self, now_s: float, profile: RequestProfile, option: Option, most_cached: int
    ) -> None:
        """Set the price of an endpoint for a request in seconds.

        A request that would be computed again where another endpoint has it cached
        may wait for less of its spare time, so that in a full pool cheap work goes
        first.

        :param now_s: current instant in seconds.
        :param profile: the request.
        :param option: the endpoint.
        :param most_cached: most prompt tokens that any endpoint has cached.
        """
        settings = self.settings
        prediction = option.prediction
        prefill_s = (profile.prompt_tokens - option.cached_tokens) / self.reference_rate
        extra_s = (most_cached - option.cached_tokens) / self.reference_rate
        price_s = prediction.first_token_s
        price_s += settings.finish_weight * prediction.finish_s
        price_s += settings.work_weight * prefill_s
        left_s = settings.deadline_margin * (profile.deadline_s - now_s)
        late_s = prediction.finish_s - left_s
        first_left_s = profile.first_token_deadline_s - now_s
        late_s = max(late_s, prediction.first_token_s - first_left_s)
        if extra_s > 0.0 and late_s > -math.inf:
            extra_part = extra_s / (prefill_s + option.view.slot_s)
            patience = 1.0 - settings.extra_work_weight * extra_part
            patience = max(settings.extra_work_patience, patience)
            late_s = max(
                late_s, prediction.wait_s - patience * (prediction.wait_s - late_s)
            )
        if late_s > 0.0:
            price_s += LATE_PRICE_S + late_s
        option.score = price_s
        option.late_s = late_s

    def expected_tokens(self, profile: RequestProfile) -> int:
        """Return the output tokens to expect, learned by class if possible.

        :param profile: the request.
        """
        expected = profile.expected_tokens
        if self.settings.learning:
            key = (profile.pool, profile.request_class)
            expected = round(self.lengths.get(key, expected))
        if profile.max_tokens:
            expected = min(expected, profile.max_tokens)
        return max(1, expected)

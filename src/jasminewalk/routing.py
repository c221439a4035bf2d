"""Which endpoint gets a request, or when the caller should come back."""

import math
import operator
import random
from collections.abc import Collection, Sequence

import attrs

from jasminewalk.admission import FairShares, RetryBudget, ShareSettings
from jasminewalk.generated_codes import Code
from jasminewalk.generated_messages import CacheEvents, LoadReport, PoolDemand
from jasminewalk.generated_requests import RefusalBody
from jasminewalk.prefixes import PrefixIndex
from jasminewalk.speeds import EndpointView, Flight, Prediction, SpeedSettings
from jasminewalk.types import Candidate, Refusal, RequestProfile, Route

__all__ = ["Router", "RoutingSettings"]

SHOWN_CANDIDATES = 4
MAX_LEARNED_CLASSES = 10_000
LATE_PRICE_S = 100.0
REFERENCE_LEARNING = 0.02
SCANNED_POOL = 64
OTHERS_PRIOR = 2.0
OTHERS_WINDOW = 200.0


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
    candidates: int = 4
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
class _Demand:
    """Work that arrived for a pool since the last count.

    :param since_s: start of the count in seconds.
    :param prompt_tokens: prompt tokens.
    :param cached_tokens: prompt tokens expected in a cache.
    :param output_tokens: output tokens expected.
    :param requests: requests.
    :param refused: requests refused.
    """

    since_s: float
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    requests: int = 0
    refused: int = 0


@attrs.define
class _Query:
    """What is worked out once for a request.

    :param profile: the request.
    :param sampled: prefix blocks that the index keeps.
    :param output_tokens: output tokens expected.
    """

    profile: RequestProfile
    sampled: list[tuple[int, int]]
    output_tokens: int


@attrs.define
class _Option:
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


_score = operator.attrgetter("score")


class Router:
    """Chooses endpoints from old reports, own history and learned speeds.

    :param settings: how to choose.
    :param rng: random source for candidates.
    """

    def __init__(self, settings: RoutingSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.views: dict[str, EndpointView] = {}
        self.prefixes = PrefixIndex()
        self.cache_sequences: dict[str, tuple[str, int]] = {}
        self.flights: dict[str, Flight] = {}
        self.shares: dict[str, FairShares] = {}
        self.demands: dict[tuple[str, str], _Demand] = {}
        self.budget = RetryBudget(settings.retry_ratio)
        self.lengths: dict[tuple[str, str], float] = {}
        self.refused_until_s: dict[str, float] = {}
        self.reference_rate = settings.speeds.default_prefill_tokens_per_s
        self.last_usable: Sequence[str] = ()
        self.last_members: frozenset[str] = frozenset()
        self.others = 1.0
        self.finished_here = 0.0
        self.finished_everywhere = 0.0

    # Observations

    def observe_report(self, now_s: float, report: LoadReport) -> None:
        """Take a load report.

        :param now_s: current instant in seconds.
        :param report: the report.
        """
        view = self.view(report.endpoint)
        known = view.report
        if known is not None and known.incarnation == report.incarnation:
            self.finished_everywhere += max(0, report.completed - known.completed)
            self.learn_others()
        view.observe(now_s, report)
        if report.prefill_tokens_per_s:
            change = report.prefill_tokens_per_s - self.reference_rate
            self.reference_rate += REFERENCE_LEARNING * change

    def learn_others(self) -> None:
        """Learn how many requests all entries send for each one of this entry."""
        everywhere = self.finished_everywhere + OTHERS_PRIOR
        self.others = max(1.0, everywhere / (self.finished_here + OTHERS_PRIOR))
        if self.finished_here > OTHERS_WINDOW:
            self.finished_here *= 0.5
            self.finished_everywhere *= 0.5

    def observe_cache(self, now_s: float, events: CacheEvents) -> None:
        """Take cache events; a gap in their numbers means that some were lost.

        :param now_s: current instant in seconds.
        :param events: the events.
        """
        del now_s
        incarnation, _ = self.cache_sequences.get(events.endpoint, ("", 0))
        if incarnation and incarnation != events.incarnation:
            self.prefixes.forget(events.endpoint)
        following = events.first_sequence + events.count
        self.cache_sequences[events.endpoint] = (events.incarnation, following)
        self.prefixes.remove(events.endpoint, events.removed)
        self.prefixes.add(events.endpoint, events.added)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint.

        :param endpoint: endpoint name.
        """
        self.views.pop(endpoint, None)
        self.cache_sequences.pop(endpoint, None)
        self.refused_until_s.pop(endpoint, None)
        self.prefixes.forget(endpoint)

    def view(self, endpoint: str) -> EndpointView:
        """Return the view of an endpoint, made if it is new.

        :param endpoint: endpoint name.
        """
        view = self.views.get(endpoint)
        if view is None:
            view = EndpointView(endpoint, self.settings.speeds)
            self.views[endpoint] = view
        return view

    # Choice

    def choose(
        self,
        now_s: float,
        profile: RequestProfile,
        usable: Collection[str],
        excluded: frozenset[str] = frozenset(),
    ) -> Route | Refusal:
        """Return the endpoint for a request, or why there is none.

        :param now_s: current instant in seconds.
        :param profile: the request.
        :param usable: endpoints that may get it.
        :param excluded: endpoints that were tried already.
        """
        first_try = not excluded
        if first_try:
            self.budget.earn()
        query = self.query(profile)
        options = self.options(now_s, query, usable, excluded)
        if not options:
            self.count_refused(now_s, profile)
            wait_s = self.settings.min_retry_after_s * 5
            return Refusal(Code.NO_ENDPOINT, "No endpoint is usable.", wait_s)
        best = min(options, key=_score)
        if first_try:
            self.count_arrival(now_s, profile, best)
        refusal = self.refusal(now_s, profile, options)
        if refusal is not None:
            self.count_refused(now_s, profile)
            return refusal
        return Route(best.view.endpoint, self.reason(best), self.shown(now_s, options))

    def query(self, profile: RequestProfile) -> _Query:
        """Return what is worked out once for a request.

        :param profile: the request.
        """
        sampled: list[tuple[int, int]] = []
        if self.settings.affinity:
            sampled = self.prefixes.sampled(profile.prefix_hashes)
        return _Query(profile, sampled, self.expected_tokens(profile))

    def options(
        self,
        now_s: float,
        query: _Query,
        usable: Collection[str],
        excluded: frozenset[str],
    ) -> list[_Option]:
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
        query: _Query,
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

    def option(self, now_s: float, query: _Query, view: EndpointView) -> _Option:
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
        return _Option(view, cached, prediction, prediction.finish_s)

    def set_price(
        self, now_s: float, profile: RequestProfile, option: _Option, most_cached: int
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

    # Admission

    def refusal(
        self, now_s: float, profile: RequestProfile, options: list[_Option]
    ) -> Refusal | None:
        """Return why a request is not admitted, or nothing.

        :param now_s: current instant in seconds.
        :param profile: the request.
        :param options: endpoints weighed.
        """
        if not self.settings.admission:
            return None
        quickest = min(option.prediction.finish_s for option in options)
        left_s = profile.deadline_s - now_s
        limit_s = left_s * self.settings.deadline_margin
        best = min(options, key=lambda option: option.late_s)
        late_s = best.late_s
        if late_s > 0.0:
            first_left_s = profile.first_token_deadline_s - now_s
            reason = (
                f"The best endpoint, {best.view.endpoint}, would send the first token "
                f"in {best.prediction.first_token_s:.2f} s of {first_left_s:.2f} s and "
                f"finish in {best.prediction.finish_s:.2f} s of {left_s:.2f} s."
            )
            return self.refuse(now_s, Code.OVERLOADED, reason, late_s, options)
        if (
            not self.settings.fairness
            or quickest <= limit_s * self.settings.share_floor
        ):
            return None
        usage = self.pool_shares(profile.pool).usage(now_s, profile.organisation)
        if usage <= 1.0:
            return None
        part = usage**-self.settings.share_steepness
        fair_s = limit_s * max(self.settings.share_floor, part)
        if quickest <= fair_s:
            return None
        reason = f"The organisation uses {usage:.2f} of its share of a full pool."
        late_s = quickest - fair_s
        return self.refuse(now_s, Code.OVER_SHARE, reason, late_s, options)

    def refuse(
        self,
        now_s: float,
        code: Code,
        reason: str,
        late_s: float,
        options: list[_Option],
    ) -> Refusal:
        """Return a refusal that says when to come back.

        :param now_s: current instant in seconds.
        :param code: result code.
        :param reason: why, for people to read.
        :param late_s: seconds of backlog that must go first.
        :param options: endpoints weighed.
        """
        settings = self.settings
        after_s = min(
            settings.max_retry_after_s, max(settings.min_retry_after_s, late_s)
        )
        return Refusal(code, reason, after_s, "not_run", self.shown(now_s, options))

    def pool_shares(self, pool: str) -> FairShares:
        """Return the shares in a pool.

        :param pool: pool name.
        """
        shares = self.shares.get(pool)
        if shares is None:
            shares = self.shares[pool] = FairShares(self.settings.shares)
        return shares

    # Reasons

    def reason(self, best: _Option) -> str:
        """Return why an endpoint was chosen, for people to read.

        :param best: the endpoint chosen.
        """
        return (
            f"Lowest price {best.score:.3f} s: first token in"
            f" {best.prediction.first_token_s:.3f} s, finish in"
            f" {best.prediction.finish_s:.3f} s, {best.cached_tokens} tokens cached."
        )

    def shown(self, now_s: float, options: list[_Option]) -> tuple[Candidate, ...]:
        """Return the best candidates for people to read.

        :param now_s: current instant in seconds.
        :param options: endpoints weighed.
        """
        ranked = sorted(options, key=_score)
        return tuple(
            Candidate(
                option.view.endpoint,
                option.prediction.first_token_s,
                option.prediction.finish_s,
                option.cached_tokens,
                option.view.age_s(now_s),
            )
            for option in ranked[:SHOWN_CANDIDATES]
        )

    # Requests

    def sent(self, now_s: float, profile: RequestProfile, endpoint: str) -> None:
        """Count a request that was sent to an endpoint.

        :param now_s: current instant in seconds.
        :param profile: the request.
        :param endpoint: endpoint name.
        """
        view = self.view(endpoint)
        query = self.query(profile)
        option = self.option(now_s, query, view)
        prediction = option.prediction
        flight = Flight(
            request_id=profile.request_id,
            endpoint=endpoint,
            organisation=profile.organisation,
            request_class=profile.request_class,
            pool=profile.pool,
            sent_s=now_s,
            prefill_tokens=max(1, profile.prompt_tokens - option.cached_tokens),
            output_tokens=query.output_tokens,
            priority=profile.priority,
            prefix_hashes=profile.prefix_hashes,
            cached_tokens=option.cached_tokens,
            predicted_first_s=prediction.first_token_s,
            predicted_decode_s=prediction.finish_s - prediction.first_token_s,
        )
        self.drop(profile.request_id)
        self.flights[profile.request_id] = flight
        view.add(flight)
        view.trial_s = now_s
        self.prefixes.add(endpoint, profile.prefix_hashes)
        shares = self.pool_shares(profile.pool)
        shares.admitted(now_s, profile.organisation, self.work_s(profile, option))

    def drop(self, request_id: str) -> Flight | None:
        """Forget a request that was sent, and return it.

        :param request_id: identifier of the request.
        """
        flight = self.flights.pop(request_id, None)
        if flight is None:
            return None
        view = self.views.get(flight.endpoint)
        if view is not None:
            view.remove(flight)
        return flight

    def first_token(
        self, now_s: float, request_id: str, cached_tokens: int | None = None
    ) -> None:
        """Learn from the first token of an answer.

        :param now_s: current instant in seconds.
        :param request_id: identifier of the request.
        :param cached_tokens: prompt tokens that the engine found in its cache.
        """
        flight = self.flights.get(request_id)
        if flight is None:
            return
        self.view(flight.endpoint).observe_first_token(now_s, flight)

    def finished(self, now_s: float, request_id: str, output_tokens: int) -> None:
        """Learn from a whole answer.

        :param now_s: current instant in seconds.
        :param request_id: identifier of the request.
        :param output_tokens: length of the answer.
        """
        flight = self.drop(request_id)
        if flight is None:
            return
        self.finished_here += 1
        view = self.view(flight.endpoint)
        if view.is_service:
            view.observe_first_token(now_s, flight)
            return
        view.observe_finish(now_s, flight, output_tokens)
        key = (flight.pool, flight.request_class)
        old = self.lengths.get(key)
        if old is None and len(self.lengths) >= MAX_LEARNED_CLASSES:
            return
        if output_tokens > 0:
            old = float(output_tokens) if old is None else old
            self.lengths[key] = old + 0.05 * (output_tokens - old)

    def failed(self, now_s: float, request_id: str, endpoint: str) -> None:
        """Count a request that an endpoint failed.

        :param now_s: current instant in seconds.
        :param request_id: identifier of the request.
        :param endpoint: endpoint name.
        """
        self.drop(request_id)
        view = self.view(endpoint)
        view.observe_failure()
        view.trial_s = now_s

    def refused(
        self, now_s: float, request_id: str, endpoint: str, body: RefusalBody
    ) -> None:
        """Count a request that an endpoint refused, and avoid it for a moment.

        :param now_s: current instant in seconds.
        :param request_id: identifier of the request.
        :param endpoint: endpoint name.
        :param body: the refusal.
        """
        flight = self.drop(request_id)
        if flight is not None:
            self.prefixes.remove(endpoint, flight.prefix_hashes[-1:])
        hold_s = min(body.retry_after_s, self.settings.refusal_hold_s)
        self.refused_until_s[endpoint] = now_s + hold_s

    def may_retry(self) -> bool:
        """Return whether the retry budget allows a retry, and take it out."""
        return self.budget.spend()

    # Demand

    def work_s(self, profile: RequestProfile, option: _Option) -> float:
        """Return the work of a request in seconds of its endpoint.

        :param profile: the request.
        :param option: the endpoint.
        """
        view = option.view
        if view.is_service:
            return option.prediction.work_s
        slots = max(1, view.report.max_batch) if view.report else 1
        decode_s = self.expected_tokens(profile) / view.decode_tokens_per_s / slots
        return option.prediction.work_s + decode_s

    def count_arrival(
        self, now_s: float, profile: RequestProfile, best: _Option
    ) -> None:
        """Count the work of a new request.

        :param now_s: current instant in seconds.
        :param profile: the request.
        :param best: best endpoint for it.
        """
        demand = self.demand_of(now_s, profile)
        demand.prompt_tokens += profile.prompt_tokens
        demand.cached_tokens += best.cached_tokens
        demand.output_tokens += self.expected_tokens(profile)
        demand.requests += 1
        self.pool_shares(profile.pool).arrived(
            now_s, profile.organisation, profile.weight, self.work_s(profile, best)
        )

    def count_refused(self, now_s: float, profile: RequestProfile) -> None:
        """Count a refused request.

        :param now_s: current instant in seconds.
        :param profile: the request.
        """
        self.demand_of(now_s, profile).refused += 1

    def demand_of(self, now_s: float, profile: RequestProfile) -> _Demand:
        """Return the demand counted for a request's pool and class.

        :param now_s: current instant in seconds.
        :param profile: the request.
        """
        key = (profile.pool, profile.request_class)
        demand = self.demands.get(key)
        if demand is None:
            demand = self.demands[key] = _Demand(now_s)
        return demand

    def demand(self, now_s: float) -> list[PoolDemand]:
        """Return the work that arrived since the last call, by pool and class.

        :param now_s: current instant in seconds.
        """
        prefill, decode = self.pool_speeds()
        counted = [
            PoolDemand(
                entry=self.settings.entry,
                pool=pool,
                request_class=request_class,
                period_s=max(1e-3, now_s - demand.since_s),
                prompt_tokens=demand.prompt_tokens,
                cached_tokens=demand.cached_tokens,
                output_tokens=demand.output_tokens,
                requests=demand.requests,
                refused=demand.refused,
                prefill_tokens_per_s=prefill.get(pool, 0.0),
                decode_tokens_per_s=decode.get(pool, 0.0),
            )
            for (pool, request_class), demand in self.demands.items()
        ]
        self.demands = {key: _Demand(now_s) for key in self.demands}
        return counted

    def pool_speeds(self) -> tuple[dict[str, float], dict[str, float]]:
        """Return prefill and full-batch decode tokens per second by pool."""
        prefill: dict[str, float] = {}
        decode: dict[str, float] = {}
        for view in self.views.values():
            report = view.report
            if report is None or report.kind == "service":
                continue
            pool = report.pool
            prefill[pool] = prefill.get(pool, 0.0) + view.prefill_tokens_per_s
            batch = view.decode_tokens_per_s * report.max_batch
            decode[pool] = decode.get(pool, 0.0) + batch
        return prefill, decode

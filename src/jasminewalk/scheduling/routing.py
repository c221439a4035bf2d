"""Which endpoint gets a request, or when the caller should come back."""

import operator
import random
from collections.abc import Collection

from jasminewalk.generated_codes import Code
from jasminewalk.generated_messages import CacheEvents, LoadReport, PoolDemand
from jasminewalk.generated_requests import RefusalBody
from jasminewalk.scheduling._demand import DemandCounts
from jasminewalk.scheduling.admission import FairShares, RetryBudget
from jasminewalk.scheduling.speeds import Flight
from jasminewalk.scheduling.weighing import Option, Query, RoutingSettings, Weigher
from jasminewalk.types import Candidate, Refusal, RequestProfile, Route

__all__ = ["Router", "RoutingSettings"]

SHOWN_CANDIDATES = 3
MAX_LEARNED_CLASSES = 10_000
REFERENCE_LEARNING = 0.02
OTHERS_PRIOR = 2.0
OTHERS_WINDOW = 200.0

_score = operator.attrgetter("score")


class Router(Weigher):
    """Chooses endpoints from old reports, own history and learned speeds.

    :param settings: how to choose.
    :param rng: random source for candidates.
    """

    def __init__(self, settings: RoutingSettings, rng: random.Random) -> None:
        super().__init__(settings, rng)
        self.cache_sequences: dict[str, tuple[str, int]] = {}
        self.flights: dict[str, Flight] = {}
        self.shares: dict[str, FairShares] = {}
        self.demands = DemandCounts(settings.entry)
        self.budget = RetryBudget(settings.retry_ratio)
        self.finished_here = 0.0
        self.finished_everywhere = 0.0
        self.expected_cached_tokens = 0
        self.found_cached_tokens = 0

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
        query = self.query(profile)
        options = self.options(now_s, query, usable, excluded)
        if not options:
            self.demands.refused(now_s, profile)
            wait_s = self.settings.min_retry_after_s * 5
            return Refusal(Code.NO_ENDPOINT, "No endpoint is usable.", wait_s)
        best = min(options, key=_score)
        if first_try:
            self.count_arrival(now_s, query, best)
        refusal = self.refusal(now_s, profile, options)
        if refusal is not None:
            self.demands.refused(now_s, profile)
            return refusal
        return Route(best.view.endpoint, self.reason(best), self.shown(now_s, options))

    def refusal(
        self, now_s: float, profile: RequestProfile, options: list[Option]
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
        options: list[Option],
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

    def reason(self, best: Option) -> str:
        """Return why an endpoint was chosen, for people to read.

        :param best: the endpoint chosen.
        """
        return (
            f"Lowest price {best.score:.3f} s: first token in"
            f" {best.prediction.first_token_s:.3f} s, finish in"
            f" {best.prediction.finish_s:.3f} s, {best.cached_tokens} tokens cached."
        )

    def shown(self, now_s: float, options: list[Option]) -> tuple[Candidate, ...]:
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
        shares.admitted(now_s, profile.organisation, self.work_s(query, option))

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
        self, now_s: float, request_id: str, cached_tokens: int = 0
    ) -> None:
        """Learn from the first token of an answer.

        :param now_s: current instant in seconds.
        :param request_id: identifier of the request.
        :param cached_tokens: prompt tokens that the engine found in its cache.
        """
        flight = self.flights.get(request_id)
        if flight is None:
            return
        self.expected_cached_tokens += flight.cached_tokens
        self.found_cached_tokens += cached_tokens
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

    def work_s(self, query: Query, option: Option) -> float:
        """Return the work of a request in seconds of its endpoint.

        :param query: the request.
        :param option: the endpoint.
        """
        view = option.view
        if view.is_service:
            return option.prediction.work_s
        decode_s = query.output_tokens / view.decode_tokens_per_s / view.slots
        return option.prediction.work_s + decode_s

    def count_arrival(self, now_s: float, query: Query, best: Option) -> None:
        """Count the work of a new request.

        :param now_s: current instant in seconds.
        :param query: the request.
        :param best: best endpoint for it.
        """
        profile = query.profile
        output = query.output_tokens
        self.demands.arrived(now_s, profile, best.cached_tokens, output)
        work_s = self.work_s(query, best)
        shares = self.pool_shares(profile.pool)
        shares.arrived(now_s, profile.organisation, profile.weight, work_s)

    def demand(self, now_s: float) -> list[PoolDemand]:
        """Return the work that arrived since the last call, by pool and class.

        :param now_s: current instant in seconds.
        """
        return self.demands.collect(now_s, self.views.values())

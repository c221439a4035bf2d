"""Counts of the work that arrives at an entry, used to plan role changes."""

from collections.abc import Iterable

import attrs

from jasminewalk.generated_messages import PoolDemand
from jasminewalk.scheduling.endpoint_view import EndpointView
from jasminewalk.types import RequestProfile

__all__ = ["DemandCounter"]


@attrs.define
class _Demand:
    """Work of one request class that arrived for a pool in the current period.

    :param since_s: start of the period in seconds.
    :param prompt_tokens: prompt tokens of the requests.
    :param cached_tokens: prompt tokens expected in a prefix cache.
    :param output_tokens: expected output tokens.
    :param requests: number of requests.
    :param refused: number of refused requests.
    """

    since_s: float
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    requests: int = 0
    refused: int = 0


class DemandCounter:
    """Counts arriving work by pool and request class.

    :param entry: entry name.
    """

    def __init__(self, entry: str) -> None:
        self.entry = entry
        self.demands: dict[tuple[str, str], _Demand] = {}

    def record_arrival(
        self,
        now_s: float,
        profile: RequestProfile,
        cached_tokens: int,
        output_tokens: int,
    ) -> None:
        """Record a new request.

        :param now_s: current time in seconds.
        :param profile: the request.
        :param cached_tokens: prompt tokens expected in a prefix cache.
        :param output_tokens: expected output tokens.
        """
        demand = self.get_demand(now_s, profile)
        demand.prompt_tokens += profile.prompt_tokens
        demand.cached_tokens += cached_tokens
        demand.output_tokens += output_tokens
        demand.requests += 1

    def record_refusal(self, now_s: float, profile: RequestProfile) -> None:
        """Record a refused request.

        :param now_s: current time in seconds.
        :param profile: the request.
        """
        self.get_demand(now_s, profile).refused += 1

    def get_demand(self, now_s: float, profile: RequestProfile) -> _Demand:
        """Return the counts for a request's pool and class, creating them if needed.

        :param now_s: current time in seconds.
        :param profile: the request.
        """
        key = (profile.pool, profile.request_class)
        demand = self.demands.get(key)
        if demand is None:
            demand = self.demands[key] = _Demand(now_s)
        return demand

    def collect(self, now_s: float, views: Iterable[EndpointView]) -> list[PoolDemand]:
        """Return the work that arrived since the last call, by pool and class.

        All counts are reset.

        :param now_s: current time in seconds.
        :param views: endpoints known to the entry.
        """
        prefill_by_pool, decode_by_pool = sum_pool_speeds(views)
        collected = [
            PoolDemand(
                entry=self.entry,
                pool=pool,
                request_class=request_class,
                period_s=max(1e-3, now_s - demand.since_s),
                prompt_tokens=demand.prompt_tokens,
                cached_tokens=demand.cached_tokens,
                output_tokens=demand.output_tokens,
                requests=demand.requests,
                refused=demand.refused,
                prefill_tokens_per_s=prefill_by_pool.get(pool, 0.0),
                decode_tokens_per_s=decode_by_pool.get(pool, 0.0),
            )
            for (pool, request_class), demand in self.demands.items()
        ]
        self.demands = {key: _Demand(now_s) for key in self.demands}
        return collected


def sum_pool_speeds(
    views: Iterable[EndpointView],
) -> tuple[dict[str, float], dict[str, float]]:
    """Return the total prefill and full-batch decode speeds by pool.

    Both are in tokens per second. Plain services are left out.

    :param views: endpoints to sum up.
    """
    prefill_by_pool: dict[str, float] = {}
    decode_by_pool: dict[str, float] = {}
    for view in views:
        report = view.report
        if report is None or report.kind == "service":
            continue
        pool = report.pool
        prefill_by_pool[pool] = (
            prefill_by_pool.get(pool, 0.0) + view.prefill_tokens_per_s
        )
        batch_tokens_per_s = view.decode_tokens_per_s * report.max_batch
        decode_by_pool[pool] = decode_by_pool.get(pool, 0.0) + batch_tokens_per_s
    return prefill_by_pool, decode_by_pool

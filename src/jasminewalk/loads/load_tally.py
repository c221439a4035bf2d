"""Count the results of the requests of a load."""

from collections import Counter
from typing import Literal

import attrs
from hdrh.histogram import HdrHistogram

from jasminewalk.generated_load import (
    KindResult,
    LoadKind,
    LoadPlan,
    LoadResult,
    SecondResult,
)
from jasminewalk.loads.load_schedule import DueRequest

__all__ = ["LoadTally", "RequestResult"]

MIN_US = 1
MAX_US = 600_000_000
SIGNIFICANT_FIGURES = 3
US_PER_S = 1e6
US_PER_MS = 1e3
PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9, 100.0)

Outcome = Literal["answered", "refused", "failed", "not_sent"]
ResultCategory = Literal["in_time", "late", "refused", "failed"]


@attrs.define(kw_only=True)
class RequestResult:
    """Result of one request; times are measured from when it was due.

    :param outcome: outcome of the request.
    :param reason: result code of a refusal, or cause of a failure.
    :param first_token_s: seconds to the first token.
    :param whole_s: seconds to the end of the response.
    :param gaps_s: seconds between successive tokens.
    :param tokens: output tokens received.
    """

    outcome: Outcome = "failed"
    reason: str = ""
    first_token_s: float | None = None
    whole_s: float = 0.0
    gaps_s: list[float] = attrs.field(factory=list)
    tokens: int = 0


class KindTally:
    """Counts and histograms of one kind of request.

    :param kind: the kind.
    """

    def __init__(self, kind: LoadKind) -> None:
        self.kind = kind
        self.counts: Counter[str] = Counter()
        self.refusals_by_reason: Counter[str] = Counter()
        self.failures_by_reason: Counter[str] = Counter()
        self.tokens = 0
        self.first_token = _create_histogram()
        self.between_tokens = _create_histogram()
        self.whole = _create_histogram()

    def add(self, result: RequestResult) -> ResultCategory:
        """Count one request and return its category.

        :param result: result of the request.
        """
        self.counts[result.outcome] += 1
        self.tokens += result.tokens
        if result.first_token_s is not None:
            _record_duration(self.first_token, result.first_token_s)
        for gap_s in result.gaps_s:
            _record_duration(self.between_tokens, gap_s)
        if result.outcome == "refused":
            self.refusals_by_reason[result.reason] += 1
            return "refused"
        if result.outcome != "answered":
            self.failures_by_reason[result.reason or result.outcome] += 1
            return "failed"
        _record_duration(self.whole, result.whole_s)
        if not self.is_in_time(result):
            return "late"
        self.counts["in_time"] += 1
        return "in_time"

    def is_in_time(self, result: RequestResult) -> bool:
        """Return whether a complete answer met its first-token and overall deadlines.

        :param result: result of the request.
        """
        first_token_s = result.first_token_s or 0.0
        return (
            result.whole_s <= self.kind.deadline_s
            and first_token_s <= self.kind.first_token_s
        )

    def build_result(self) -> KindResult:
        """Build the counts and percentiles of the requests so far."""
        return KindResult(
            due=sum(self.counts[name] for name in ("answered", "refused", "failed"))
            + self.counts["not_sent"],
            not_sent=self.counts["not_sent"],
            answered=self.counts["answered"],
            in_time=self.counts["in_time"],
            refused=dict(self.refusals_by_reason),
            failed=dict(self.failures_by_reason),
            output_tokens=self.tokens,
            first_token_ms=_compute_percentiles_ms(self.first_token),
            between_tokens_ms=_compute_percentiles_ms(self.between_tokens),
            whole_ms=_compute_percentiles_ms(self.whole),
        )


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_FIGURES)


def _record_duration(histogram: HdrHistogram, seconds: float) -> None:
    histogram.record_value(max(MIN_US, round(seconds * US_PER_S)))


def _compute_percentiles_ms(histogram: HdrHistogram) -> dict[str, float]:
    if not histogram.get_total_count():
        return {}
    return {
        f"{percentile:g}": histogram.get_value_at_percentile(percentile) / US_PER_MS
        for percentile in PERCENTILES
    }


class LoadTally:
    """Counts and histograms of all requests of a load so far.

    :param plan: the plan.
    :param duration_s: duration of the plan in seconds.
    """

    def __init__(self, plan: LoadPlan, duration_s: float) -> None:
        self.duration_s = duration_s
        self.kinds = {name: KindTally(kind) for name, kind in plan.kinds.items()}
        self.seconds: list[Counter[str]] = [
            Counter() for _ in range(int(duration_s) + 1)
        ]
        self.phases: dict[str, Counter[str]] = {
            phase.name: Counter() for phase in plan.phases
        }
        self.totals: Counter[str] = Counter()

    def add(self, request: DueRequest, result: RequestResult) -> None:
        """Count one request.

        :param request: the request.
        :param result: result of the request.
        """
        category = self.kinds[request.kind].add(result)
        self.seconds[int(request.due_s)][category] += 1
        self.phases[request.phase][category] += 1
        self.totals[category] += 1

    @property
    def request_count(self) -> int:
        """Number of requests counted so far."""
        return self.totals.total()

    def build_result(self, plan_name: str) -> LoadResult:
        """Build the result of the load.

        :param plan_name: name of the plan's file.
        """
        return LoadResult(
            plan=plan_name,
            duration_s=self.duration_s,
            goodput_per_s=self.totals["in_time"] / self.duration_s,
            in_time_share=_compute_in_time_share(self.totals),
            kinds={name: tally.build_result() for name, tally in self.kinds.items()},
            seconds=[
                SecondResult(due=counts.total(), **counts) for counts in self.seconds
            ],
            phases={
                name: _compute_in_time_share(counts)
                for name, counts in self.phases.items()
            },
        )


def _compute_in_time_share(counts: Counter[str]) -> float:
    return counts["in_time"] / counts.total() if counts else 0.0

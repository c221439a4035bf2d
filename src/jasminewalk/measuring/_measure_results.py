"""Summarize simulated runs and format a table that compares them."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

import attrs

from jasminewalk.generated_measure import Workload
from jasminewalk.measuring._measure_bound import GoodputBound
from jasminewalk.measuring._measure_simulation import PolicySimulation
from jasminewalk.measuring._measure_workload import MeasuredRequest

__all__ = ["ClassResult", "RunResult", "format_markdown_table", "summarize_run"]


@attrs.frozen(kw_only=True)
class ClassResult:
    """Result of one request class in a run.

    :param goodput_per_s: complete answers within the deadline, per second.
    :param first_token_s: 50th, 95th and 99th percentile of the seconds to the first
        token.
    :param between_tokens_s: 50th, 95th and 99th percentile, over all answers, of the
        95th percentile of the seconds between tokens of an answer.
    """

    goodput_per_s: float
    first_token_s: tuple[float, float, float]
    between_tokens_s: tuple[float, float, float]


@attrs.frozen(kw_only=True)
class RunResult:
    """Result of one run.

    :param workload: name of the workload.
    :param variant: name of the variant.
    :param policy: name of the policy.
    :param seed: seed of the run.
    :param requests: number of requests counted.
    :param answers: complete answers within the deadline.
    :param goodput_per_s: complete answers within the deadline, per second.
    :param of_bound: answers as a fraction of the bound.
    :param of_role_bound: answers as a fraction of the bound with free role
        changes and transfers of the KV cache.
    :param classes: results by class name.
    :param organisations: answers per second by organisation.
    :param least_share: smallest ratio, over all organisations, of work served to the
        fair share; at most 1.
    :param refused: number of refused requests.
    :param late: number of requests that reached their deadline unfinished.
    :param told_late_s: longest time in seconds from the moment when a request can no
        longer meet its deadline until its refusal.
    :param wasted_s: work of late requests, in seconds on an engine of speed 1.
    :param retries: number of attempts after the first.
    :param role_changes: number of role changes.
    :param swings: number of changes of the mix of classes.
    """

    workload: str
    variant: str
    policy: str
    seed: int
    requests: int
    answers: int
    goodput_per_s: float
    of_bound: float
    of_role_bound: float
    classes: dict[str, ClassResult]
    organisations: dict[str, float]
    least_share: float
    refused: int
    late: int
    told_late_s: float
    wasted_s: float
    retries: int
    role_changes: int
    swings: int


def compute_percentiles(values: Iterable[float]) -> tuple[float, float, float]:
    """Return the 50th, 95th and 99th percentile, or zeros if there are no values.

    >>> compute_percentiles(range(100))
    (50, 95, 99)

    :param values: the values.
    """
    ranked = sorted(values)
    if not ranked:
        return (0.0, 0.0, 0.0)
    count = len(ranked)
    return (
        ranked[count // 2],
        ranked[min(count - 1, count * 95 // 100)],
        ranked[min(count - 1, count * 99 // 100)],
    )


def summarize_class(
    name: str, requests: Sequence[MeasuredRequest], duration_s: float
) -> ClassResult:
    """Summarize the requests of one class.

    :param name: class name.
    :param requests: requests to count.
    :param duration_s: length of the counted period in seconds.
    """
    class_requests = [item for item in requests if item.request_class == name]
    answered_requests = [item for item in class_requests if item.outcome == "good"]
    return ClassResult(
        goodput_per_s=len(answered_requests) / duration_s,
        first_token_s=compute_percentiles(
            item.first_token_at_s - item.arrived_s
            for item in class_requests
            if item.first_token_at_s is not None
        ),
        between_tokens_s=compute_percentiles(
            item.p95_gap_s for item in answered_requests
        ),
    )


def compute_least_share(
    workload: Workload, requests: Sequence[MeasuredRequest]
) -> float:
    """Return the smallest ratio of work served to fair share, which is at most 1.

    The ratio is that of the organisation that gets the least of its share. Shares are
    weighted max-min fair: what an organisation does not request of its share is divided
    among the others.

    :param workload: the workload.
    :param requests: requests to count.
    """
    requested: Counter[str] = Counter()
    served: Counter[str] = Counter()
    for item in requests:
        requested[item.organisation] += item.work_s  # type: ignore[assignment]
        if item.outcome == "good":
            served[item.organisation] += item.work_s  # type: ignore[assignment]
    weights = {name: item.weight for name, item in workload.organisations.items()}
    remaining_s = float(sum(served.values()))
    remaining_weight = sum(weights[name] for name in requested)
    least = 1.0
    for name in sorted(requested, key=lambda key: requested[key] / weights[key]):
        share_s = min(
            float(requested[name]), remaining_s * weights[name] / remaining_weight
        )
        remaining_s -= share_s
        remaining_weight -= weights[name]
        if share_s > 0.0:
            least = min(least, served[name] / share_s)
    return least


def summarize_run(
    simulation: PolicySimulation,
    bound: GoodputBound,
    *,
    variant: str,
    policy: str,
    seed: int,
    swings: int,
) -> RunResult:
    """Summarize a run.

    :param simulation: the finished simulation.
    :param bound: goodput bounds of its workload.
    :param variant: name of the variant.
    :param policy: name of the policy.
    :param seed: seed of the run.
    :param swings: number of changes of the mix of classes.
    """
    workload = simulation.workload
    duration_s = workload.duration_s - workload.warmup_s
    counted_requests = [
        item for item in simulation.requests if item.arrived_s >= workload.warmup_s
    ]
    answered_requests = [item for item in counted_requests if item.outcome == "good"]
    outcomes = Counter(item.outcome for item in counted_requests)
    per_organisation = Counter(item.organisation for item in answered_requests)
    return RunResult(
        workload=workload.name,
        variant=variant,
        policy=policy,
        seed=seed,
        requests=len(counted_requests),
        answers=len(answered_requests),
        goodput_per_s=len(answered_requests) / duration_s,
        of_bound=len(answered_requests) / bound.answers,
        of_role_bound=len(answered_requests) / bound.role_answers,
        classes={
            name: summarize_class(name, counted_requests, duration_s)
            for name in workload.classes
        },
        organisations={
            name: per_organisation[name] / duration_s for name in workload.organisations
        },
        least_share=compute_least_share(workload, counted_requests),
        refused=outcomes["refused"],
        late=outcomes["late"],
        told_late_s=max(
            (item.refusal_delay_s for item in counted_requests), default=0.0
        ),
        wasted_s=simulation.wasted_s,
        retries=simulation.retries,
        role_changes=len(simulation.role_changes),
        swings=swings,
    )


def mean(runs: Sequence[RunResult], key: Callable[[RunResult], float]) -> float:
    """Return the mean of a value over runs.

    :param runs: runs of the same variant and policy.
    :param key: function that returns the value of a run.
    """
    return sum(map(key, runs)) / len(runs)


def get_worst_latency(
    workload: Workload, run: RunResult, index: int
) -> tuple[float, float]:
    """Return the worst times to first token and between tokens, in seconds.

    Only interactive classes count, or all classes if none is interactive.

    :param workload: the workload.
    :param run: the run.
    :param index: percentile to use: 0 for the 50th, 1 for the 95th, 2 for the 99th.
    """
    names = [name for name, item in workload.classes.items() if item.interactive]
    classes = [run.classes[name] for name in names] or list(run.classes.values())
    return (
        max(item.first_token_s[index] for item in classes),
        max(item.between_tokens_s[index] for item in classes),
    )


def format_markdown_table(workload: Workload, runs: Sequence[RunResult]) -> str:
    """Format a Markdown table with one row for each variant and policy.

    :param workload: the workload.
    :param runs: all runs.
    """
    lines = [
        "| variant | policy | goodput/s | of bound (least) | of role bound |"
        " first token p50/p95/p99 s | between tokens p95 ms | refused % | late % |"
        " wasted s | retries | role changes | least share |",
        "|---" * 13 + "|",
    ]
    groups: dict[tuple[str, str], list[RunResult]] = {}
    for run in runs:
        groups.setdefault((run.variant, run.policy), []).append(run)
    for (variant, policy), group in groups.items():
        first_token_s = [
            mean(group, lambda run, i=i: get_worst_latency(workload, run, i)[0])  # type: ignore[misc]
            for i in range(3)
        ]
        between_tokens_s = mean(
            group, lambda run: get_worst_latency(workload, run, 1)[1]
        )
        lines.append(
            f"| {variant} | {policy} | {mean(group, lambda run: run.goodput_per_s):.2f}"
            f" | {mean(group, lambda run: run.of_bound):.3f}"
            f" ({min(run.of_bound for run in group):.3f})"
            f" | {mean(group, lambda run: run.of_role_bound):.3f}"
            f" | {first_token_s[0]:.2f}/{first_token_s[1]:.2f}/{first_token_s[2]:.2f}"
            f" | {between_tokens_s * 1000:.1f}"
            f" | {100 * mean(group, lambda run: run.refused / run.requests):.1f}"
            f" | {100 * mean(group, lambda run: run.late / run.requests):.2f}"
            f" | {mean(group, lambda run: run.wasted_s):.1f}"
            f" | {mean(group, lambda run: run.retries):.0f}"
            f" | {mean(group, lambda run: run.role_changes):.1f}"
            f" | {mean(group, lambda run: run.least_share):.2f} |"
        )
    return "\n".join(lines)

"""Compute an upper bound on goodput, with all arrivals known in advance.

Work is modelled as a fluid: it can be divided at will between engines and over time.
"""

from collections import deque
from collections.abc import Sequence

import attrs

from jasminewalk.generated_measure import Workload
from jasminewalk.measuring._measure_workload import MeasuredRequest

__all__ = ["GoodputBound", "compute_bound"]

BIN_S = 0.5
BUCKET_COUNT = 8
OUTAGE_FAULTS = ("crash", "drain", "withdraw")


@attrs.frozen(kw_only=True)
class GoodputBound:
    """Upper bounds on the number of answers in time that any policy can give.

    :param answers: bound with all engines in the mixed role.
    :param role_answers: bound with each request on engines of the best role for it,
        where role changes and transfers of the KV cache cost nothing.
    """

    answers: float
    role_answers: float


def compute_bound(
    workload: Workload, requests: Sequence[MeasuredRequest]
) -> GoodputBound:
    """Compute the bounds of a workload from the requests after its warm-up.

    :param workload: the workload.
    :param requests: all requests of the workload.
    """
    gain = float(workload.engine.get("specialised_gain", 1.25))
    counted_requests = [
        item for item in requests if item.arrived_s >= workload.warmup_s
    ]
    model = _FluidModel(workload, counted_requests)
    return GoodputBound(
        answers=model.compute_answers(1.0),
        role_answers=model.compute_answers(1.0 / gain),
    )


class _FluidModel:
    """Model of work as a fluid that every engine serves at its speed.

    Time is divided into bins of ``BIN_S`` seconds, and the requests into buckets of
    similar work.

    :param workload: the workload.
    :param requests: requests to count.
    """

    def __init__(self, workload: Workload, requests: Sequence[MeasuredRequest]) -> None:
        self.workload = workload
        ordered = sorted(requests, key=lambda item: item.work_s)
        size = -(-len(ordered) // BUCKET_COUNT)
        self.buckets = [
            ordered[start : start + size] for start in range(0, len(ordered), size)
        ]
        longest_s = max(item.deadline_s for item in workload.classes.values())
        self.bin_count = int((workload.duration_s + longest_s) / BIN_S) + 2

    def compute_capacity_s(self, index: int) -> float:
        """Return the capacity of a time bin in seconds of an engine of speed 1.

        :param index: number of the bin.
        """
        now_s = index * BIN_S
        unavailable = {
            fault.endpoint
            for fault in self.workload.faults
            if fault.kind in OUTAGE_FAULTS
            and fault.at_s <= now_s < fault.at_s + fault.for_s
        }
        speeds = enumerate(self.workload.speeds)
        return BIN_S * sum(
            speed for number, speed in speeds if number not in unavailable
        )

    def compute_answers(self, work_factor: float) -> float:
        """Return the maximum number of requests answered in time.

        The work that can be served in time, as a function of the set of requests, is
        the rank function of a polymatroid. Serving the buckets greedily, those with
        the least work per request first, is therefore optimal.

        :param work_factor: factor on the work of each request.
        """
        total_answers = 0.0
        served_s = 0.0
        for count in range(1, len(self.buckets) + 1):
            bucket = self.buckets[count - 1]
            cumulative_s = self.compute_served_s(self.buckets[:count], work_factor)
            mean_s = work_factor * sum(item.work_s for item in bucket) / len(bucket)
            total_answers += min(len(bucket), (cumulative_s - served_s) / mean_s)
            served_s = cumulative_s
        return total_answers

    def compute_served_s(
        self, buckets: Sequence[Sequence[MeasuredRequest]], work_factor: float
    ) -> float:
        """Return the maximum work in seconds that can be served in time.

        Serving the earliest deadline first reaches this maximum.

        :param buckets: requests to serve.
        :param work_factor: factor on the work of each request.
        """
        arriving_work_s: dict[int, dict[int, float]] = {}
        for bucket in buckets:
            for item in bucket:
                start_bin = int(item.arrived_s / BIN_S)
                deadline_s = self.workload.classes[item.request_class].deadline_s
                end_bin = int((item.arrived_s + deadline_s) / BIN_S) + 1
                due_work_s = arriving_work_s.setdefault(start_bin, {})
                due_work_s[end_bin] = (
                    due_work_s.get(end_bin, 0.0) + item.work_s * work_factor
                )
        waiting_work_s: dict[int, float] = {}
        total_s = 0.0
        for index in range(self.bin_count):
            for end_bin, work_s in arriving_work_s.get(index, {}).items():
                waiting_work_s[end_bin] = waiting_work_s.get(end_bin, 0.0) + work_s
            remaining_s = self.compute_capacity_s(index)
            queue = deque(sorted(waiting_work_s))
            while queue:
                end_bin = queue.popleft()
                served_s = (
                    min(remaining_s, waiting_work_s[end_bin])
                    if end_bin > index
                    else 0.0
                )
                total_s += served_s
                remaining_s -= served_s
                waiting_work_s[end_bin] -= served_s
                if end_bin <= index + 1 or waiting_work_s[end_bin] <= 1e-12:
                    del waiting_work_s[end_bin]
                if remaining_s <= 0.0:
                    break
        return total_s

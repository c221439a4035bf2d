"""Upper bound on goodput that knows the future, as a fluid."""

from collections import deque
from collections.abc import Sequence

import attrs

from jasminewalk.generated_measure import Workload
from jasminewalk.measuring._measure_workload import MeasuredRequest

__all__ = ["Bound", "bound_of"]

BIN_S = 0.5
BUCKETS = 8
AWAY_FAULTS = ("crash", "drain", "withdraw")


@attrs.frozen(kw_only=True)
class Bound:
    """Most answers in time that any policy could give.

    :param answers: with all engines in the mixed role.
    :param role_answers: with each request in the role that suits it best, role
        changes and hand-over of KV cache free of cost.
    """

    answers: float
    role_answers: float


def bound_of(workload: Workload, requests: Sequence[MeasuredRequest]) -> Bound:
    """Return the bound of a workload.

    :param workload: the workload.
    :param requests: its requests.
    """
    gain = float(workload.engine.get("specialised_gain", 1.25))
    counted = [item for item in requests if item.arrived_s >= workload.warmup_s]
    fluid = _Fluid(workload, counted)
    return Bound(answers=fluid.answers(1.0), role_answers=fluid.answers(1.0 / gain))


class _Fluid:
    """Work as a fluid that every engine takes at its speed.

    :param workload: the workload.
    :param requests: requests that count.
    """

    def __init__(self, workload: Workload, requests: Sequence[MeasuredRequest]) -> None:
        self.workload = workload
        ordered = sorted(requests, key=lambda item: item.work_s)
        size = -(-len(ordered) // BUCKETS)
        self.buckets = [
            ordered[start : start + size] for start in range(0, len(ordered), size)
        ]
        longest_s = max(item.deadline_s for item in workload.classes.values())
        self.bins = int((workload.duration_s + longest_s) / BIN_S) + 2

    def capacity_s(self, index: int) -> float:
        """Return the seconds of an engine of speed 1 in a time bin.

        :param index: number of the bin.
        """
        now_s = index * BIN_S
        away = {
            fault.endpoint
            for fault in self.workload.faults
            if fault.kind in AWAY_FAULTS
            and fault.at_s <= now_s < fault.at_s + fault.for_s
        }
        speeds = enumerate(self.workload.speeds)
        return BIN_S * sum(speed for number, speed in speeds if number not in away)

    def answers(self, factor: float) -> float:
        """Return the most requests answered, cheapest first.

        The work that can be served in time is the rank function of a polymatroid,
        so taking the buckets by their price is optimal.

        :param factor: factor on the work of each request.
        """
        total = 0.0
        served_s = 0.0
        for count in range(1, len(self.buckets) + 1):
            bucket = self.buckets[count - 1]
            volume_s = self.served_s(self.buckets[:count], factor)
            mean_s = factor * sum(item.work_s for item in bucket) / len(bucket)
            total += min(len(bucket), (volume_s - served_s) / mean_s)
            served_s = volume_s
        return total

    def served_s(
        self, buckets: Sequence[Sequence[MeasuredRequest]], factor: float
    ) -> float:
        """Return the most work served in time, earliest deadline first.

        :param buckets: requests to serve.
        :param factor: factor on the work of each request.
        """
        arriving: dict[int, dict[int, float]] = {}
        for bucket in buckets:
            for item in bucket:
                start = int(item.arrived_s / BIN_S)
                deadline_s = self.workload.classes[item.request_class].deadline_s
                end = int((item.arrived_s + deadline_s) / BIN_S) + 1
                due = arriving.setdefault(start, {})
                due[end] = due.get(end, 0.0) + item.work_s * factor
        waiting: dict[int, float] = {}
        total_s = 0.0
        for index in range(self.bins):
            for end, work_s in arriving.get(index, {}).items():
                waiting[end] = waiting.get(end, 0.0) + work_s
            left_s = self.capacity_s(index)
            queue = deque(sorted(waiting))
            while queue:
                end = queue.popleft()
                part_s = min(left_s, waiting[end]) if end > index else 0.0
                total_s += part_s
                left_s -= part_s
                waiting[end] -= part_s
                if end <= index + 1 or waiting[end] <= 1e-12:
                    del waiting[end]
                if left_s <= 0.0:
                    break
        return total_s

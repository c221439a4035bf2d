"""Plot of goodput over time with the mix drawn under it."""

from collections.abc import Mapping, Sequence
from pathlib import Path

from jasminewalk.generated_measure import Workload
from jasminewalk.measuring._measure_driver import RoleChange
from jasminewalk.measuring._measure_workload import MeasuredRequest, Traffic

__all__ = ["draw"]

BIN_S = 5.0


def draw(
    path: Path,
    workload: Workload,
    traffic: Traffic,
    outcomes: Mapping[str, Sequence[MeasuredRequest]],
    changes: Mapping[str, Sequence[RoleChange]],
) -> None:
    """Draw the goodput of each policy over time, and the mix under it.

    :param path: file to write.
    :param workload: the workload.
    :param traffic: its requests' source.
    :param outcomes: requests with their outcomes by policy.
    :param changes: role changes by policy.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (above, below) = pyplot.subplots(
        2, 1, sharex=True, figsize=(10, 6), height_ratios=[3, 1]
    )
    bins = int(workload.duration_s / BIN_S)
    times = [index * BIN_S for index in range(bins)]
    for policy, requests in outcomes.items():
        counts = [0] * bins
        for item in requests:
            if item.outcome == "good":
                counts[min(bins - 1, int(item.arrived_s / BIN_S))] += 1
        (line,) = above.plot(times, [n / BIN_S for n in counts], label=policy)
        for change in changes.get(policy, ()):
            above.axvline(change.at_s, color=line.get_color(), linestyle=":")
    arrived = [0] * bins
    for item in next(iter(outcomes.values())):
        arrived[min(bins - 1, int(item.arrived_s / BIN_S))] += 1
    above.plot(times, [n / BIN_S for n in arrived], "k--", label="arrivals")
    above.set_ylabel("answers in time / s")
    above.legend(loc="lower right")
    above.set_title(f"{workload.name}, load {workload.load:.0%}")
    shares = [traffic.share_at(now_s) for now_s in times]
    names = list(workload.classes)
    below.stackplot(times, shares, [1.0 - share for share in shares], labels=names)
    below.set_ylabel("share of work")
    below.set_xlabel("seconds; dotted lines are role changes")
    below.legend(loc="lower right")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)

"""Plot goodput and the mix of work over time."""

from collections.abc import Mapping, Sequence
from pathlib import Path

from jasminewalk.generated_measure import Workload
from jasminewalk.measuring._measure_simulation import RoleChange
from jasminewalk.measuring._measure_workload import MeasuredRequest, TrafficGenerator

__all__ = ["draw_plot"]

BIN_S = 5.0


def draw_plot(
    path: Path,
    workload: Workload,
    traffic: TrafficGenerator,
    outcomes: Mapping[str, Sequence[MeasuredRequest]],
    role_changes: Mapping[str, Sequence[RoleChange]],
) -> None:
    """Plot the goodput of each policy over time, with the mix of work below it.

    :param path: image file to write.
    :param workload: the workload.
    :param traffic: generator of the requests.
    :param outcomes: requests with their outcomes by policy.
    :param role_changes: role changes by policy.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (goodput_axes, mix_axes) = pyplot.subplots(
        2, 1, sharex=True, figsize=(10, 6), height_ratios=[3, 1]
    )
    bin_count = int(workload.duration_s / BIN_S)
    times = [index * BIN_S for index in range(bin_count)]
    for policy, requests in outcomes.items():
        counts = [0] * bin_count
        for item in requests:
            if item.outcome == "good":
                counts[min(bin_count - 1, int(item.arrived_s / BIN_S))] += 1
        (line,) = goodput_axes.plot(
            times, [count / BIN_S for count in counts], label=policy
        )
        for change in role_changes.get(policy, ()):
            goodput_axes.axvline(change.at_s, color=line.get_color(), linestyle=":")
    arrival_counts = [0] * bin_count
    for item in next(iter(outcomes.values())):
        arrival_counts[min(bin_count - 1, int(item.arrived_s / BIN_S))] += 1
    goodput_axes.plot(
        times, [count / BIN_S for count in arrival_counts], "k--", label="arrivals"
    )
    goodput_axes.set_ylabel("answers in time / s")
    goodput_axes.legend(loc="lower right")
    goodput_axes.set_title(f"{workload.name}, load {workload.load:.0%}")
    shares = [traffic.get_work_share(now_s) for now_s in times]
    class_names = list(workload.classes)
    mix_axes.stackplot(
        times, shares, [1.0 - share for share in shares], labels=class_names
    )
    mix_axes.set_ylabel("share of work")
    mix_axes.set_xlabel("seconds; dotted lines are role changes")
    mix_axes.legend(loc="lower right")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)

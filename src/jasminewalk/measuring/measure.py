"""Compare policies on a workload by simulation, in one process on a virtual clock."""

from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec
from absl import logging

from jasminewalk.exceptions import BadSettingsError
from jasminewalk.measuring._measure_bound import compute_bound
from jasminewalk.measuring._measure_plot import draw_plot
from jasminewalk.measuring._measure_results import (
    RunResult,
    format_markdown_table,
    summarize_run,
)
from jasminewalk.measuring._measure_simulation import PolicySimulation, RoleChange
from jasminewalk.measuring._measure_workload import (
    MeasuredRequest,
    TrafficGenerator,
    apply_variant,
    load_workload,
)
from jasminewalk.measuring.baselines import POLICIES

__all__ = ["DEFAULT_POLICIES", "DEFAULT_SEEDS", "run_measure"]

DEFAULT_POLICIES = (
    "jasminewalk",
    "round-robin",
    "least-load",
    "prefix-hash",
    "reactive-roles",
)
DEFAULT_SEEDS = (101,)


def run_measure(
    path: str,
    *,
    variants: Sequence[str] = (),
    policies: Sequence[str] = DEFAULT_POLICIES,
    seeds: Sequence[int] = DEFAULT_SEEDS,
    json_path: str = "",
    plot_path: str = "",
    echo: Callable[[str], None] = print,
) -> None:
    """Simulate policies on a workload and print a Markdown table of the results.

    :param path: YAML file of the workload.
    :param variants: names of variants to run; the workload itself if empty.
    :param policies: names of the policies to compare.
    :param seeds: seeds to run each variant and policy with.
    :param json_path: JSON file for the results of all runs; not written if empty.
    :param plot_path: image file for a plot of the first seed of the last variant; not
        written if empty.
    :param echo: function that prints the table.
    :raises BadSettingsError: if the file is not valid, or a variant or policy is
        unknown.
    """
    unknown = sorted(set(policies) - set(POLICIES))
    if unknown:
        known = ", ".join(POLICIES)
        raise BadSettingsError(
            f"Unknown policies {unknown}; known policies are {known}."
        )
    workload = load_workload(Path(path))
    runs: list[RunResult] = []
    for name in variants or ("",):
        varied_workload = apply_variant(workload, name)
        for seed in seeds:
            traffic = TrafficGenerator(varied_workload, seed)
            bound = compute_bound(varied_workload, traffic.generate_requests())
            outcomes: dict[str, list[MeasuredRequest]] = {}
            role_changes: dict[str, list[RoleChange]] = {}
            for policy in policies:
                simulation = PolicySimulation(
                    varied_workload,
                    POLICIES[policy],
                    TrafficGenerator(varied_workload, seed).generate_requests(),
                    seed,
                )
                simulation.run()
                outcomes[policy] = list(simulation.requests)
                role_changes[policy] = simulation.role_changes
                result = summarize_run(
                    simulation,
                    bound,
                    variant=name,
                    policy=policy,
                    seed=seed,
                    swings=len(traffic.phases) - 1,
                )
                runs.append(result)
                logging.info(
                    "[measure] Run done. variant=%s policy=%s seed=%d of_bound=%.3f",
                    name,
                    policy,
                    seed,
                    result.of_bound,
                )
            if plot_path and seed == seeds[0]:
                draw_plot(
                    Path(plot_path), varied_workload, traffic, outcomes, role_changes
                )
    if json_path:
        Path(json_path).write_bytes(msgspec.json.encode(runs))
    echo(format_markdown_table(workload, runs))

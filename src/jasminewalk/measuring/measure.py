"""Compares policies on a workload, on a virtual clock in one process."""

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
    """Run policies on a workload, print a Markdown table.

    :param path: YAML file of the workload.
    :param variants: variants to run; the workload itself if empty.
    :param policies: names of policies.
    :param seeds: seeds, the same ones for every policy.
    :param json_path: file for the figures of every run; none if empty.
    :param plot_path: file for a plot of the first seed of the last variant.
    :param echo: prints the table.
    :raises BadSettingsError: if the file, a variant or a policy is not valid.
    """
    unknown = sorted(set(policies) - set(POLICIES))
    if unknown:
        known = ", ".join(POLICIES)
        raise BadSettingsError(f"Unknown policies {unknown}; there are {known}.")
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

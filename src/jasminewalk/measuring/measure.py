"""Compares policies on a workload, on a virtual clock in one process."""

from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec
from absl import logging

from jasminewalk.exceptions import BadSettingsError
from jasminewalk.measuring._measure_bound import bound_of
from jasminewalk.measuring._measure_driver import Driver, RoleChange
from jasminewalk.measuring._measure_plot import draw
from jasminewalk.measuring._measure_results import RunFigures, figures_of, table_of
from jasminewalk.measuring._measure_workload import (
    MeasuredRequest,
    Traffic,
    load_workload,
    variant,
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
    runs: list[RunFigures] = []
    for name in variants or ("",):
        varied = variant(workload, name)
        for seed in seeds:
            traffic = Traffic(varied, seed)
            bound = bound_of(varied, traffic.requests())
            outcomes: dict[str, list[MeasuredRequest]] = {}
            changes: dict[str, list[RoleChange]] = {}
            for policy in policies:
                driver = Driver(
                    varied, POLICIES[policy], Traffic(varied, seed).requests(), seed
                )
                driver.run()
                outcomes[policy] = list(driver.requests)
                changes[policy] = driver.changes
                figures = figures_of(
                    driver,
                    bound,
                    variant=name,
                    policy=policy,
                    seed=seed,
                    swings=len(traffic.phases) - 1,
                )
                runs.append(figures)
                logging.info(
                    "[measure] Run done. variant=%s policy=%s seed=%d of_bound=%.3f",
                    name,
                    policy,
                    seed,
                    figures.of_bound,
                )
            if plot_path and seed == seeds[0]:
                draw(Path(plot_path), varied, traffic, outcomes, changes)
    if json_path:
        Path(json_path).write_bytes(msgspec.json.encode(runs))
    echo(table_of(workload, runs))

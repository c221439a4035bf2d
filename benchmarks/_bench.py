"""Points, fits and the measuring of time and memory that all benchmarks share."""

import gc
import json
import time
import tracemalloc
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import attrs
import numpy

__all__ = [
    "RESULTS_DIRECTORY",
    "Comparison",
    "LinearFit",
    "fit_line",
    "measure_cpu_s",
    "measure_memory_bytes",
    "print_rows",
    "save_rows",
]

RESULTS_DIRECTORY = Path(__file__).resolve().parent / "results"
MIN_ROUND_S = 0.2


@attrs.frozen(kw_only=True)
class LinearFit:
    """How one quantity grows with one size.

    :param name: name of the row.
    :param size: what the sizes count.
    :param unit: unit of the quantity.
    :param points: sizes and quantities as measured.
    :param slope: growth of the quantity for each unit of the size.
    :param intercept: quantity at size 0.
    :param r2: part of the variance that the line explains.
    """

    name: str
    size: str
    unit: str
    points: list[list[float]]
    slope: float
    intercept: float
    r2: float

    def predict(self, size: float) -> float:
        """Return the quantity that the line gives for a size.

        :param size: the size.
        """
        return self.intercept + self.slope * size


@attrs.frozen(kw_only=True)
class Comparison:
    """Two quantities of one run, compared.

    :param name: name of the row.
    :param unit: unit of both.
    :param bare: the quantity without this project.
    :param path: the quantity with it.
    :param limit: bound on the comparison, as text.
    :param compared: the comparison.
    """

    name: str
    unit: str
    bare: float
    path: float
    limit: str
    compared: str


def fit_line(
    name: str, size: str, unit: str, points: Sequence[tuple[float, float]]
) -> LinearFit:
    """Return the least-squares line through points.

    :param name: name of the row.
    :param size: what the sizes count.
    :param unit: unit of the quantity.
    :param points: sizes and quantities.
    """
    sizes = numpy.array([point[0] for point in points], dtype=float)
    values = numpy.array([point[1] for point in points], dtype=float)
    slope, intercept = numpy.polyfit(sizes, values, 1)
    residual = float(((values - (slope * sizes + intercept)) ** 2).sum())
    total = float(((values - values.mean()) ** 2).sum())
    return LinearFit(
        name=name,
        size=size,
        unit=unit,
        points=[[float(x), float(y)] for x, y in points],
        slope=float(slope),
        intercept=float(intercept),
        r2=1.0 - residual / total if total else 1.0,
    )


def measure_cpu_s(function: Callable[[], Any], rounds: int = 3) -> float:
    """Return the processor seconds of one call, the least of some rounds.

    :param function: what to call.
    :param rounds: rounds of at least ``LEAST_S`` each.
    """
    best = float("inf")
    for _ in range(rounds):
        calls = 0
        start_s = time.process_time()
        while time.process_time() - start_s < MIN_ROUND_S:
            function()
            calls += 1
        best = min(best, (time.process_time() - start_s) / calls)
    return best


def measure_memory_bytes(build: Callable[[], Any]) -> tuple[int, Any]:
    """Return the bytes that an object keeps, and the object.

    :param build: makes the object.
    """
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    built = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before, built


def save_rows(task: str, rows: Sequence[LinearFit | Comparison]) -> None:
    """Write the raw points of one task.

    :param task: name of the task.
    :param rows: what it measured.
    """
    RESULTS_DIRECTORY.mkdir(exist_ok=True)
    text = json.dumps([attrs.asdict(row) for row in rows], indent=1)
    (RESULTS_DIRECTORY / f"{task}.json").write_text(text + "\n", encoding="utf-8")


def print_rows(rows: Sequence[LinearFit | Comparison]) -> None:
    """Print rows for people.

    :param rows: what was measured.
    """
    for row in rows:
        if isinstance(row, LinearFit):
            points = ", ".join(f"{size:g}: {value:.4g}" for size, value in row.points)
            print(
                f"{row.name}: {row.slope:.4g} {row.unit} per {row.size}"
                f" + {row.intercept:.4g} (r2 {row.r2:.3f}; {points})"
            )
        else:
            print(
                f"{row.name}: {row.bare:.4g} {row.unit} bare, {row.path:.4g} {row.unit}"
                f" through the path, {row.compared} (limit {row.limit})"
            )

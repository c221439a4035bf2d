"""Result types, line fitting and time and memory measurement for all benchmarks."""

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
    """Straight line fitted to a quantity measured at several sizes.

    :param name: name of the quantity.
    :param size: what one unit of the size is.
    :param unit: unit of the quantity.
    :param points: measured pairs of size and quantity.
    :param slope: increase of the quantity per unit of the size.
    :param intercept: quantity at size 0.
    :param r2: coefficient of determination.
    """

    name: str
    size: str
    unit: str
    points: list[list[float]]
    slope: float
    intercept: float
    r2: float

    def predict(self, size: float) -> float:
        """Return the quantity that the line predicts for a size.

        :param size: size to predict the quantity for.
        """
        return self.intercept + self.slope * size


@attrs.frozen(kw_only=True)
class Comparison:
    """One quantity measured without this project and through its request path.

    :param name: name of the quantity.
    :param unit: unit of both measurements.
    :param bare: value without this project.
    :param path: value through the request path: entry, sidecar and engine.
    :param limit: limit on the result, as text.
    :param compared: result of the comparison, as text.
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
    """Fit a line to points by least squares.

    :param name: name of the quantity.
    :param size: what one unit of the size is.
    :param unit: unit of the quantity.
    :param points: pairs of size and quantity.
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
    """Return the CPU seconds per call of a function in the fastest of several rounds.

    :param function: function to call repeatedly.
    :param rounds: number of rounds, each of at least ``MIN_ROUND_S`` CPU seconds.
    """
    fastest_s = float("inf")
    for _ in range(rounds):
        call_count = 0
        start_s = time.process_time()
        while time.process_time() - start_s < MIN_ROUND_S:
            function()
            call_count += 1
        fastest_s = min(fastest_s, (time.process_time() - start_s) / call_count)
    return fastest_s


def measure_memory_bytes(build: Callable[[], Any]) -> tuple[int, Any]:
    """Build an object; return the bytes that it keeps allocated, and the object.

    :param build: function that builds the object.
    """
    gc.collect()
    tracemalloc.start()
    bytes_before, _ = tracemalloc.get_traced_memory()
    built = build()
    gc.collect()
    bytes_after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return bytes_after - bytes_before, built


def save_rows(benchmark: str, rows: Sequence[LinearFit | Comparison]) -> None:
    """Save the results of one benchmark as JSON.

    :param benchmark: module name of the benchmark.
    :param rows: its results.
    """
    RESULTS_DIRECTORY.mkdir(exist_ok=True)
    text = json.dumps([attrs.asdict(row) for row in rows], indent=1)
    (RESULTS_DIRECTORY / f"{benchmark}.json").write_text(text + "\n", encoding="utf-8")


def print_rows(rows: Sequence[LinearFit | Comparison]) -> None:
    """Print results in readable form.

    :param rows: benchmark results.
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

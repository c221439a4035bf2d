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
    "RESULTS",
    "Ratio",
    "Slope",
    "busy_s",
    "memory_bytes",
    "save",
    "show",
    "slope",
]

RESULTS = Path(__file__).resolve().parent / "results"
LEAST_S = 0.2


@attrs.frozen(kw_only=True)
class Slope:
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

    def at(self, size: float) -> float:
        """Return the quantity that the line gives for a size.

        :param size: the size.
        """
        return self.intercept + self.slope * size


@attrs.frozen(kw_only=True)
class Ratio:
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


def slope(
    name: str, size: str, unit: str, points: Sequence[tuple[float, float]]
) -> Slope:
    """Return the least-squares line through points.

    :param name: name of the row.
    :param size: what the sizes count.
    :param unit: unit of the quantity.
    :param points: sizes and quantities.
    """
    x = numpy.array([point[0] for point in points], dtype=float)
    y = numpy.array([point[1] for point in points], dtype=float)
    growth, start = numpy.polyfit(x, y, 1)
    rest = float(((y - (growth * x + start)) ** 2).sum())
    spread = float(((y - y.mean()) ** 2).sum())
    return Slope(
        name=name,
        size=size,
        unit=unit,
        points=[[float(a), float(b)] for a, b in points],
        slope=float(growth),
        intercept=float(start),
        r2=1.0 - rest / spread if spread else 1.0,
    )


def busy_s(action: Callable[[], Any], rounds: int = 3) -> float:
    """Return the processor seconds of one call, the least of some rounds.

    :param action: what to call.
    :param rounds: rounds of at least ``LEAST_S`` each.
    """
    best = float("inf")
    for _ in range(rounds):
        calls = 0
        start_s = time.process_time()
        while time.process_time() - start_s < LEAST_S:
            action()
            calls += 1
        best = min(best, (time.process_time() - start_s) / calls)
    return best


def memory_bytes(make: Callable[[], Any]) -> tuple[int, Any]:
    """Return the bytes that an object keeps, and the object.

    :param make: makes the object.
    """
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    made = make()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before, made


def save(task: str, rows: Sequence[Slope | Ratio]) -> None:
    """Write the raw points of one task.

    :param task: name of the task.
    :param rows: what it measured.
    """
    RESULTS.mkdir(exist_ok=True)
    text = json.dumps([attrs.asdict(row) for row in rows], indent=1)
    (RESULTS / f"{task}.json").write_text(text + "\n", encoding="utf-8")


def show(rows: Sequence[Slope | Ratio]) -> None:
    """Print rows for people.

    :param rows: what was measured.
    """
    for row in rows:
        if isinstance(row, Slope):
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

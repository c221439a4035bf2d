"""Measures all slopes again and rewrites the tables of docs/CAPACITY.md.

With ``--saved`` the tables are written from the points of the last run; with
``--check`` they are only compared with these.
"""

import json
import math
import sys
from collections.abc import Sequence
from importlib import import_module
from pathlib import Path

from _bench import RESULTS, Ratio, Slope, show
from _figures import Figure, figures

PAGE = Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
TASKS = (
    "entry_state",
    "routing_time",
    "control_channel",
    "log_fold",
    "log_reading",
    "claims",
    "token_relay",
    "first_token",
    "open_streams",
)

Row = Slope | Ratio


def measured(task: str) -> list[Row]:
    """Run a task and return its rows.

    :param task: name of the task's module.
    """
    print(f"# {task}", flush=True)
    rows = import_module(task).main()
    show(rows)
    return rows


def saved(task: str) -> list[Row]:
    """Return the rows of a task's last run.

    :param task: name of the task's module.
    """
    values = json.loads((RESULTS / f"{task}.json").read_text(encoding="utf-8"))
    return [Slope(**row) if "points" in row else Ratio(**row) for row in values]


def number(value: float) -> str:
    """Return a number with three significant digits.

    :param value: the number.
    """
    if math.isinf(value):
        return "none"
    if value == 0 or abs(value) < 1e-9:
        return "0"
    if abs(value) >= 1000:
        return f"{round(value, 2 - math.floor(math.log10(abs(value)))):,.0f}"
    return f"{value:.3g}"


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a Markdown table.

    :param head: titles of the columns.
    :param rows: cells.
    """
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def slope_table(rows: Sequence[Row], task_by_row: dict[str, str]) -> str:
    """Return the table of slopes.

    :param rows: what was measured.
    :param task_by_row: task of each row.
    """
    head = ["quantity", "sizes and values", "slope", "at size 0", "r2", "command"]
    cells = [
        [
            row.name,
            "; ".join(f"{number(x)}: {number(y)}" for x, y in row.points),
            f"{number(row.slope)} {row.unit} per {row.size}",
            f"{number(row.intercept)} {row.unit}",
            f"{row.r2:.3f}",
            f"`python benchmarks/{task_by_row[row.name]}.py`",
        ]
        for row in rows
        if isinstance(row, Slope)
    ]
    return table(head, cells)


def ratio_table(rows: Sequence[Row]) -> str:
    """Return the table of comparisons.

    :param rows: what was measured.
    """
    head = ["comparison", "bare", "through the path", "result", "limit"]
    cells = [
        [
            row.name,
            f"{number(row.bare)} {row.unit}",
            f"{number(row.path)} {row.unit}",
            row.compared,
            row.limit,
        ]
        for row in rows
        if isinstance(row, Ratio)
    ]
    return table(head, cells)


def figure_table(found: Sequence[Figure]) -> str:
    """Return the table of figures at the size; those above the limit are bold.

    :param found: the figures.
    """
    head = ["role", "quantity", "default", "tuned", "changed", "limit", "carried by"]
    cells = []
    for figure in found:
        item = figure.item
        values = [figure.default, figure.tuned, figure.changed]
        shown = [
            f"**{number(value)}**" if value > item.limit else number(value)
            for value in values
        ]
        name = f"{item.quantity}, {item.unit}" if item.unit else item.quantity
        cells.append([item.role, name, *shown, number(item.limit), item.carrier])
    return table(head, cells)


def gap_table(found: Sequence[Figure]) -> str:
    """Return the table of gaps that settings alone do not close.

    :param found: the figures.
    """
    head = ["gap", "tuned", "limit", "change that closes it", "then"]
    cells = [
        [
            f"{figure.item.role}: {figure.item.quantity}",
            f"{number(figure.tuned)} {figure.item.unit}",
            f"{number(figure.item.limit)} {figure.item.unit}",
            figure.item.change or "none yet",
            f"{number(figure.changed)} {figure.item.unit}",
        ]
        for figure in found
        if figure.is_gap
    ]
    return table(head, cells)


def replaced(page: str, name: str, text: str) -> str:
    """Return a page with the part between two markers replaced.

    :param page: the page.
    :param name: name of the part.
    :param text: its new text.
    """
    begin, end = f"<!-- {name}: begin -->", f"<!-- {name}: end -->"
    before, rest = page.split(begin)
    _, after = rest.split(end)
    return f"{before}{begin}\n{text}\n{end}{after}"


def rewritten(page: str, rows: Sequence[Row], task_by_row: dict[str, str]) -> str:
    """Return the page with tables made from what was measured.

    :param page: the page.
    :param rows: what was measured.
    :param task_by_row: task of each row.
    """
    slopes = {row.name: row for row in rows if isinstance(row, Slope)}
    worked = figures(slopes)
    page = replaced(page, "figures", figure_table(worked))
    page = replaced(page, "gaps", gap_table(worked))
    page = replaced(page, "slopes", slope_table(rows, task_by_row))
    return replaced(page, "comparisons", ratio_table(rows))


def main(arguments: Sequence[str]) -> int:
    """Measure, or read the last points, and rewrite or check the page.

    :param arguments: arguments of the command line.
    """
    read = measured if not {"--saved", "--check"} & set(arguments) else saved
    rows: list[Row] = []
    task_by_row: dict[str, str] = {}
    for task in TASKS:
        found = read(task)
        rows += found
        task_by_row.update({row.name: task for row in found})
    page = PAGE.read_text(encoding="utf-8")
    text = rewritten(page, rows, task_by_row)
    if "--check" in arguments:
        return 0 if text == page else 1
    PAGE.write_text(text, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

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

from _bench import RESULTS_DIRECTORY, Comparison, LinearFit, print_rows
from _figures import Figure, compute_figures

PAGE_PATH = Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
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

Row = LinearFit | Comparison


def run_task(task: str) -> list[Row]:
    """Run a task and return its rows.

    :param task: name of the task's module.
    """
    print(f"# {task}", flush=True)
    rows = import_module(task).main()
    print_rows(rows)
    return rows


def load_saved_rows(task: str) -> list[Row]:
    """Return the rows of a task's last run.

    :param task: name of the task's module.
    """
    values = json.loads(
        (RESULTS_DIRECTORY / f"{task}.json").read_text(encoding="utf-8")
    )
    return [
        LinearFit(**row) if "points" in row else Comparison(**row) for row in values
    ]


def format_number(value: float) -> str:
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


def format_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a Markdown table.

    :param header: titles of the columns.
    :param rows: cells.
    """
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def format_slope_table(rows: Sequence[Row], task_by_row: dict[str, str]) -> str:
    """Return the table of slopes.

    :param rows: what was measured.
    :param task_by_row: task of each row.
    """
    header = ["quantity", "sizes and values", "slope", "at size 0", "r2", "command"]
    cells = [
        [
            row.name,
            "; ".join(f"{format_number(x)}: {format_number(y)}" for x, y in row.points),
            f"{format_number(row.slope)} {row.unit} per {row.size}",
            f"{format_number(row.intercept)} {row.unit}",
            f"{row.r2:.3f}",
            f"`python benchmarks/{task_by_row[row.name]}.py`",
        ]
        for row in rows
        if isinstance(row, LinearFit)
    ]
    return format_table(header, cells)


def format_comparison_table(rows: Sequence[Row]) -> str:
    """Return the table of comparisons.

    :param rows: what was measured.
    """
    header = ["comparison", "bare", "through the path", "result", "limit"]
    cells = [
        [
            row.name,
            f"{format_number(row.bare)} {row.unit}",
            f"{format_number(row.path)} {row.unit}",
            row.compared,
            row.limit,
        ]
        for row in rows
        if isinstance(row, Comparison)
    ]
    return format_table(header, cells)


def format_figure_table(figures: Sequence[Figure]) -> str:
    """Return the table of figures at the size; those above the limit are bold.

    :param figures: the figures.
    """
    header = ["role", "quantity", "default", "tuned", "changed", "limit", "carried by"]
    cells = []
    for figure in figures:
        definition = figure.definition
        values = [figure.default, figure.tuned, figure.changed]
        formatted = [
            f"**{format_number(value)}**"
            if value > definition.limit
            else format_number(value)
            for value in values
        ]
        name = (
            f"{definition.quantity}, {definition.unit}"
            if definition.unit
            else definition.quantity
        )
        cells.append(
            [
                definition.role,
                name,
                *formatted,
                format_number(definition.limit),
                definition.mechanism,
            ]
        )
    return format_table(header, cells)


def format_gap_table(figures: Sequence[Figure]) -> str:
    """Return the table of gaps that settings alone do not close.

    :param figures: the figures.
    """
    header = ["gap", "tuned", "limit", "change that closes it", "then"]
    cells = [
        [
            f"{figure.definition.role}: {figure.definition.quantity}",
            f"{format_number(figure.tuned)} {figure.definition.unit}",
            f"{format_number(figure.definition.limit)} {figure.definition.unit}",
            figure.definition.remedy or "none yet",
            f"{format_number(figure.changed)} {figure.definition.unit}",
        ]
        for figure in figures
        if figure.is_gap
    ]
    return format_table(header, cells)


def replace_section(page: str, name: str, text: str) -> str:
    """Return a page with the part between two markers replaced.

    :param page: the page.
    :param name: name of the part.
    :param text: its new text.
    """
    begin, end = f"<!-- {name}: begin -->", f"<!-- {name}: end -->"
    before, rest = page.split(begin)
    _, after = rest.split(end)
    return f"{before}{begin}\n{text}\n{end}{after}"


def update_page(page: str, rows: Sequence[Row], task_by_row: dict[str, str]) -> str:
    """Return the page with tables made from what was measured.

    :param page: the page.
    :param rows: what was measured.
    :param task_by_row: task of each row.
    """
    slopes = {row.name: row for row in rows if isinstance(row, LinearFit)}
    figures = compute_figures(slopes)
    page = replace_section(page, "figures", format_figure_table(figures))
    page = replace_section(page, "gaps", format_gap_table(figures))
    page = replace_section(page, "slopes", format_slope_table(rows, task_by_row))
    return replace_section(page, "comparisons", format_comparison_table(rows))


def main(arguments: Sequence[str]) -> int:
    """Measure, or read the last points, and rewrite or check the page.

    :param arguments: arguments of the command line.
    """
    get_rows = (
        run_task if not {"--saved", "--check"} & set(arguments) else load_saved_rows
    )
    rows: list[Row] = []
    task_by_row: dict[str, str] = {}
    for task in TASKS:
        task_rows = get_rows(task)
        rows += task_rows
        task_by_row.update({row.name: task for row in task_rows})
    page = PAGE_PATH.read_text(encoding="utf-8")
    text = update_page(page, rows, task_by_row)
    if "--check" in arguments:
        return 0 if text == page else 1
    PAGE_PATH.write_text(text, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

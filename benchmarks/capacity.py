"""Run all capacity benchmarks and regenerate the tables of docs/CAPACITY.md.

With ``--saved``, the tables are generated from the saved results of the last run.
With ``--check``, the page is not written; the exit status is 1 if it differs from
the saved results.
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
BENCHMARKS = (
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


def run_benchmark(benchmark: str) -> list[Row]:
    """Run a benchmark, print its results and return them.

    :param benchmark: module name of the benchmark.
    """
    print(f"# {benchmark}", flush=True)
    rows = import_module(benchmark).main()
    print_rows(rows)
    return rows


def load_saved_rows(benchmark: str) -> list[Row]:
    """Load the results of the last run of a benchmark.

    :param benchmark: module name of the benchmark.
    """
    values = json.loads(
        (RESULTS_DIRECTORY / f"{benchmark}.json").read_text(encoding="utf-8")
    )
    return [
        LinearFit(**row) if "points" in row else Comparison(**row) for row in values
    ]


def format_number(value: float) -> str:
    """Format a number with three significant digits, and infinity as "none".

    :param value: number to format.
    """
    if math.isinf(value):
        return "none"
    if value == 0 or abs(value) < 1e-9:
        return "0"
    if abs(value) >= 1000:
        return f"{round(value, 2 - math.floor(math.log10(abs(value)))):,.0f}"
    return f"{value:.3g}"


def format_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Format a Markdown table.

    :param header: column headings.
    :param rows: cells of each row.
    """
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def format_slope_table(rows: Sequence[Row], benchmark_by_row: dict[str, str]) -> str:
    """Format the table of fitted lines.

    :param rows: benchmark results.
    :param benchmark_by_row: module name of the benchmark by the name of the result.
    """
    header = ["quantity", "sizes and values", "slope", "at size 0", "r2", "command"]
    cells = [
        [
            row.name,
            "; ".join(f"{format_number(x)}: {format_number(y)}" for x, y in row.points),
            f"{format_number(row.slope)} {row.unit} per {row.size}",
            f"{format_number(row.intercept)} {row.unit}",
            f"{row.r2:.3f}",
            f"`python benchmarks/{benchmark_by_row[row.name]}.py`",
        ]
        for row in rows
        if isinstance(row, LinearFit)
    ]
    return format_table(header, cells)


def format_comparison_table(rows: Sequence[Row]) -> str:
    """Format the table of comparisons.

    :param rows: benchmark results.
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
    """Format the table of figures at the design size, with those above the limit bold.

    :param figures: figures to list.
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
    """Format the table of figures that exceed their limit with the tuned settings.

    :param figures: all figures of the page.
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
    """Return a page with the text between the markers of a section replaced.

    :param page: text of the page.
    :param name: name of the section in its markers.
    :param text: new text of the section.
    """
    begin, end = f"<!-- {name}: begin -->", f"<!-- {name}: end -->"
    before, rest = page.split(begin)
    _, after = rest.split(end)
    return f"{before}{begin}\n{text}\n{end}{after}"


def update_page(
    page: str, rows: Sequence[Row], benchmark_by_row: dict[str, str]
) -> str:
    """Return the page with its tables regenerated from benchmark results.

    :param page: text of the page.
    :param rows: benchmark results.
    :param benchmark_by_row: module name of the benchmark by the name of the result.
    """
    fits = {row.name: row for row in rows if isinstance(row, LinearFit)}
    figures = compute_figures(fits)
    page = replace_section(page, "figures", format_figure_table(figures))
    page = replace_section(page, "gaps", format_gap_table(figures))
    page = replace_section(page, "slopes", format_slope_table(rows, benchmark_by_row))
    return replace_section(page, "comparisons", format_comparison_table(rows))


def main(arguments: Sequence[str]) -> int:
    """Run the benchmarks or load their results, and write or check the page.

    Return the exit status.

    :param arguments: command-line arguments without the program name.
    """
    get_rows = (
        run_benchmark
        if not {"--saved", "--check"} & set(arguments)
        else load_saved_rows
    )
    rows: list[Row] = []
    benchmark_by_row: dict[str, str] = {}
    for benchmark in BENCHMARKS:
        benchmark_rows = get_rows(benchmark)
        rows += benchmark_rows
        benchmark_by_row.update({row.name: benchmark for row in benchmark_rows})
    page = PAGE_PATH.read_text(encoding="utf-8")
    text = update_page(page, rows, benchmark_by_row)
    if "--check" in arguments:
        return 0 if text == page else 1
    PAGE_PATH.write_text(text, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

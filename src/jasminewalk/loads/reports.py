"""Report the result of a load as text, as JSON, and as an HTML page with plots."""

import base64
import html
import io
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from jasminewalk.generated_load import KindResult, LoadResult
from jasminewalk.operators.text_tables import format_table

__all__ = ["format_result", "write_report"]

FIGURE_SIZE_INCHES = (9.0, 6.4)
FIGURE_DPI = 120
COLOURS = {
    "in_time": "#2f7d4f",
    "late": "#e0a030",
    "refused": "#7f8fa9",
    "failed": "#b03a3a",
}
LABELS = {
    "in_time": "in time",
    "late": "late",
    "refused": "refused, not run",
    "failed": "failed",
}
SHOWN_PERCENTILES = ("50", "95", "99", "100")
STYLE = """
body { font: 15px/1.5 sans-serif; margin: 2em auto; max-width: 62em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { padding: .25em .8em; text-align: right; border-bottom: 1px solid #ddd; }
th:first-child, td:first-child { text-align: left; }
img { max-width: 100%; }
"""


def format_result(result: LoadResult) -> list[str]:
    """Format the result as lines of text.

    :param result: the result.
    """
    lines = [format_summary(result), ""]
    lines += format_table(COUNT_HEADINGS, list(build_count_rows(result)))
    for heading, attribute in LATENCY_TABLES:
        rows = list(build_latency_rows(result, attribute))
        if rows:
            lines += [
                "",
                *format_table([heading.upper(), *build_percentile_headings()], rows),
            ]
    return lines


COUNT_HEADINGS = ("KIND", "DUE", "IN TIME", "LATE", "REFUSED", "FAILED", "WHY NOT")
LATENCY_TABLES = (
    ("first token, ms", "first_token_ms"),
    ("between tokens, ms", "between_tokens_ms"),
    ("whole answer, ms", "whole_ms"),
)


def format_summary(result: LoadResult) -> str:
    """Describe the goodput of a load in one sentence.

    :param result: the result.
    """
    return (
        f"Goodput {result.goodput_per_s:.2f} answers in time per second, "
        f"{result.in_time_share:.1%} of what was due, over {result.duration_s:g} s."
    )


def build_percentile_headings() -> list[str]:
    """Return the column headings of the shown percentiles."""
    return ["MAX" if name == "100" else f"P{name}" for name in SHOWN_PERCENTILES]


def build_count_rows(result: LoadResult) -> Iterator[list[str]]:
    """Yield a table row with the counts of each kind.

    :param result: the result.
    """
    for name, kind in result.kinds.items():
        yield [
            name,
            str(kind.due),
            str(kind.in_time),
            str(kind.answered - kind.in_time),
            str(sum(kind.refused.values())),
            str(sum(kind.failed.values())),
            format_reasons(kind) or "-",
        ]


def format_reasons(kind: KindResult) -> str:
    """Format why requests of a kind were not answered, the most frequent reason first.

    :param kind: result of the kind.
    """
    counts = [*kind.refused.items(), *kind.failed.items()]
    counts.sort(key=lambda item: -item[1])
    return ", ".join(f"{reason}: {count}" for reason, count in counts)


def build_latency_rows(result: LoadResult, attribute: str) -> Iterator[list[str]]:
    """Yield a table row with the percentiles of each kind that has any.

    :param result: the result.
    :param attribute: field of the kind's result that holds the percentiles.
    """
    for name, kind in result.kinds.items():
        percentiles: dict[str, float] = getattr(kind, attribute)
        if percentiles:
            yield [
                name,
                *(f"{percentiles[percentile]:.1f}" for percentile in SHOWN_PERCENTILES),
            ]


def write_report(result: LoadResult, directory: Path) -> list[Path]:
    """Write the result as JSON and as an HTML page; return the paths.

    :param result: the result.
    :param directory: directory to write to; created if it does not exist.
    """
    directory.mkdir(parents=True, exist_ok=True)
    json_path = directory / "result.json"
    json_path.write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    page_path = directory / "report.html"
    page_path.write_text(render_page(result, render_plot(result)), encoding="utf-8")
    return [json_path, page_path]


def render_plot(result: LoadResult) -> bytes:
    """Render a PNG image of outcomes over time and of latency percentiles.

    :param result: the result.
    """
    from matplotlib.figure import Figure

    figure = Figure(figsize=FIGURE_SIZE_INCHES, dpi=FIGURE_DPI, layout="constrained")
    outcome_axes, percentile_axes = figure.subplots(2, 1)
    draw_outcomes(outcome_axes, result)
    draw_percentiles(percentile_axes, result)
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png")
    return buffer.getvalue()


def draw_outcomes(axes: Any, result: LoadResult) -> None:
    """Plot the outcomes of requests by the second in which they were due.

    :param axes: axes to draw on.
    :param result: the result.
    """
    seconds = range(len(result.seconds))
    series = [[getattr(row, name) for row in result.seconds] for name in COLOURS]
    axes.stackplot(
        seconds, series, labels=LABELS.values(), colors=COLOURS.values(), step="post"
    )
    axes.set_xlabel("second in which the request was due")
    axes.set_ylabel("requests per second")
    axes.set_xlim(0, max(1, len(result.seconds) - 1))
    axes.legend(loc="upper right", ncols=4, frameon=False, fontsize=8)
    axes.set_ylim(0, 1.25 * max([1, *(row.due for row in result.seconds)]))


def draw_percentiles(axes: Any, result: LoadResult) -> None:
    """Plot the percentiles of the time to the complete answer.

    :param axes: axes to draw on.
    :param result: the result.
    """
    for name, kind in result.kinds.items():
        if kind.whole_ms:
            values = [value / 1000 for value in kind.whole_ms.values()]
            axes.plot(list(kind.whole_ms), values, marker="o", label=name)
    axes.set_yscale("log")
    axes.yaxis.set_major_formatter("{x:g}")
    axes.set_xlabel("percentile")
    axes.set_ylabel("seconds to the whole answer")
    axes.grid(axis="y", alpha=0.3)
    if axes.has_data():
        axes.legend(
            loc="center left", bbox_to_anchor=(1.0, 0.5), frameon=False, fontsize=8
        )


def render_page(result: LoadResult, image: bytes) -> str:
    """Render the report as one HTML page.

    :param result: the result.
    :param image: PNG image of the plot.
    """
    parts = [render_html_table(COUNT_HEADINGS, list(build_count_rows(result)))]
    for heading, attribute in LATENCY_TABLES:
        rows = list(build_latency_rows(result, attribute))
        if rows:
            parts.append(f"<h2>{heading.capitalize()}</h2>")
            parts.append(
                render_html_table(["KIND", *build_percentile_headings()], rows)
            )
    if len(result.phases) > 1:
        rows = [[name, f"{share:.1%}"] for name, share in result.phases.items()]
        parts.append("<h2>Answered in time by phase</h2>")
        parts.append(render_html_table(["PHASE", "IN TIME"], rows))
    title = html.escape(f"Load {result.plan}")
    encoded = base64.b64encode(image).decode()
    return (
        '<!doctype html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>{title}</title><style>{STYLE}</style></head>\n"
        f"<body><h1>{title}</h1><p>{html.escape(format_summary(result))}</p>\n"
        f'<img alt="requests over time and percentiles" '
        f'src="data:image/png;base64,{encoded}">\n'
        + "\n".join(parts)
        + "</body></html>\n"
    )


def render_html_table(
    headings: list[str] | tuple[str, ...], rows: list[list[str]]
) -> str:
    """Render a table in HTML.

    :param headings: column headings.
    :param rows: texts of the cells.
    """
    header = "".join(f"<th>{html.escape(cell.lower())}</th>" for cell in headings)
    body = "\n".join(
        "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in row) + "</tr>"
        for row in rows
    )
    return f"<table><thead><tr>{header}</tr></thead><tbody>\n{body}\n</tbody></table>"

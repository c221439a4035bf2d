"""Formatting of tables, durations and counts as plain text."""

from collections.abc import Sequence

__all__ = ["format_count", "format_seconds", "format_table", "pluralize"]

THOUSAND = 1000.0


def format_table(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """Return the lines of a table with aligned columns.

    >>> format_table(["name", "n"], [["a", "1"], ["bcdef", "2"]])
    ['name   n', 'a      1', 'bcdef  2']

    :param headings: headings of the columns.
    :param rows: cells of each row, one for each heading.
    """
    lines = [headings, *rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    ]


def format_seconds(seconds: float | None) -> str:
    """Format a duration for people to read.

    >>> format_seconds(0.0123), format_seconds(4.25), format_seconds(None)
    ('12 ms', '4.25 s', '-')

    :param seconds: duration in seconds; None if it is unknown.
    """
    if seconds is None:
        return "-"
    if seconds < 1.0:
        return f"{seconds * THOUSAND:.0f} ms"
    return f"{seconds:.2f} s" if seconds < 100.0 else f"{seconds:.0f} s"


def format_count(count: float) -> str:
    """Format a count for people to read, in thousands from 1000.

    >>> format_count(950), format_count(12_345)
    ('950', '12.3k')

    :param count: the count.
    """
    return f"{count:.0f}" if count < THOUSAND else f"{count / THOUSAND:.1f}k"


def pluralize(count: int, noun: str, plural: str = "") -> str:
    """Format a count with its noun in the singular or plural.

    >>> pluralize(1, "change"), pluralize(2, "entry", "entries")
    ('1 change', '2 entries')

    :param count: the count.
    :param noun: noun in the singular.
    :param plural: noun in the plural; empty if it is the singular with an ``s``.
    """
    return f"{count} {noun if count == 1 else plural or noun + 's'}"

"""Plain text tables and figures for operators."""

from collections.abc import Sequence

__all__ = ["format_count", "pluralize", "format_seconds", "format_table"]

THOUSAND = 1000.0


def format_table(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """Return the lines of a table with aligned columns.

    >>> format_table(["name", "n"], [["a", "1"], ["bcdef", "2"]])
    ['name   n', 'a      1', 'bcdef  2']

    :param headings: headings of the columns.
    :param rows: texts of the cells.
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
    """Return a period as people read it.

    >>> format_seconds(0.0123), format_seconds(4.25), format_seconds(None)
    ('12 ms', '4.25 s', '-')

    :param seconds: the period; nothing for an unknown one.
    """
    if seconds is None:
        return "-"
    if seconds < 1.0:
        return f"{seconds * THOUSAND:.0f} ms"
    return f"{seconds:.2f} s" if seconds < 100.0 else f"{seconds:.0f} s"


def format_count(count: float) -> str:
    """Return a count as people read it.

    >>> format_count(950), format_count(12_345)
    ('950', '12.3k')

    :param count: the count.
    """
    return f"{count:.0f}" if count < THOUSAND else f"{count / THOUSAND:.1f}k"


def pluralize(count: int, noun: str, plural: str = "") -> str:
    """Return a count with its noun.

    >>> pluralize(1, "change"), pluralize(2, "entry", "entries")
    ('1 change', '2 entries')

    :param count: the count.
    :param noun: the noun in the singular.
    :param plural: its plural, if it does not just take an ``s``.
    """
    return f"{count} {noun if count == 1 else plural or noun + 's'}"

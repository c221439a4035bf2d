"""Writes the reference tables of the pages in docs/ from the files in schema/.

Prose around the tables is written by hand: only what stands between a line
``<!-- table NAME -->`` and the line ``<!-- end -->`` is replaced.
"""

import re
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import yaml

from jasminewalk.metrics import CATALOGUE

ROOT = Path(__file__).resolve().parent.parent
SCHEMA_DIR = ROOT / "schema"
DOCS_DIR = ROOT / "docs"
SECTION = re.compile(r"(<!-- table (\S+) -->\n).*?(<!-- end -->)", re.DOTALL)
LIMIT_WORDS = {
    "minimum": "at least",
    "exclusiveMinimum": "more than",
    "maximum": "at most",
    "minLength": "characters at least",
    "minItems": "items at least",
}


def read_schema(name: str) -> dict[str, Any]:
    """Return a schema file.

    :param name: name of the file without its suffix.
    """
    text = (SCHEMA_DIR / f"{name}.yaml").read_text(encoding="utf-8")
    loaded: dict[str, Any] = yaml.safe_load(text)
    return loaded


def table(headings: list[str], rows: list[list[str]]) -> Iterator[str]:
    """Yield the lines of a Markdown table.

    :param headings: headings of the columns.
    :param rows: texts of the cells.
    """
    yield "| " + " | ".join(headings) + " |"
    yield "|" + "---|" * len(headings)
    for row in rows:
        yield "| " + " | ".join(cell.replace("|", "\\|") for cell in row) + " |"


def type_text(rule: dict[str, Any]) -> str:
    """Return the type of a property with its limits, for people to read.

    :param rule: the property's JSON Schema.
    """
    if "$ref" in rule:
        name = rule["$ref"].rsplit("/", 1)[-1]
        return f"[{name}](#{name.lower()})"
    if "enum" in rule:
        return "one of " + ", ".join(f"`{value}`" for value in rule["enum"])
    kind = rule.get("type", "any value")
    if kind == "array":
        return f"list of {type_text(rule['items'])}"
    if kind == "object":
        values = rule.get("additionalProperties")
        inner = type_text(values) if isinstance(values, dict) else "any value"
        return f"mapping of names to {inner}"
    text = " or ".join(kind) if isinstance(kind, list) else kind
    limits = [
        f"{words} {rule[key]}" for key, words in LIMIT_WORDS.items() if key in rule
    ]
    return ", ".join([text, *limits])


def default_text(rule: dict[str, Any]) -> str:
    """Return the default of a property, or that it is required.

    :param rule: the property's JSON Schema.
    """
    if "default" not in rule:
        return "**required**"
    default = rule["default"]
    if default is None:
        return "none"
    if default in ("", [], {}):
        return "empty"
    return f"`{yaml.safe_dump(default).splitlines()[0]}`"


def class_lines(name: str, schema: dict[str, Any]) -> Iterator[str]:
    """Yield the section of one class.

    :param name: name of the class.
    :param schema: its JSON Schema.
    """
    yield f"### {name}"
    yield ""
    yield schema["description"]
    yield ""
    rows = [
        [f"`{key}`", type_text(rule), default_text(rule), rule["description"]]
        for key, rule in schema["properties"].items()
    ]
    yield from table(["Name", "Type", "Default", "Meaning"], rows)
    yield ""


def schema_lines(name: str) -> Iterator[str]:
    """Yield the sections of all classes of a schema file.

    :param name: name of the file without its suffix.
    """
    for class_name, schema in read_schema(name)["$defs"].items():
        yield from class_lines(class_name, schema)


def code_lines() -> Iterator[str]:
    """Yield the table of result codes."""
    rows = [
        [
            str(row["number"]),
            f"`{row['name']}`",
            str(row["http"]),
            str(row["exit"]),
            f"`{row['ran']}`",
            row["message"],
        ]
        for row in read_schema("codes")["codes"]
    ]
    headings = ["Code", "Name", "HTTP", "Exit", "Ran", "Meaning"]
    yield from table(headings, rows)


def metric_lines() -> Iterator[str]:
    """Yield the table of metrics."""
    suffixes = {"counter": "_total"}
    rows = [
        [
            f"`jasminewalk_{spec.name}{suffixes.get(spec.kind, '')}`",
            spec.kind,
            spec.description,
        ]
        for spec in CATALOGUE
    ]
    yield from table(["Metric", "Kind", "Meaning"], rows)


SECTIONS: dict[str, Callable[[], Iterator[str]]] = {
    "codes": code_lines,
    "metrics": metric_lines,
    "settings": lambda: schema_lines("settings"),
    "standins": lambda: schema_lines("standins"),
    "configuration": lambda: schema_lines("configuration"),
    "load": lambda: schema_lines("load"),
    "measure": lambda: schema_lines("measure"),
}


def filled(text: str) -> str:
    """Return a page with its tables written anew.

    :param text: the page as it is.
    """

    def section(match: re.Match[str]) -> str:
        lines = "\n".join(SECTIONS[match[2]]()).strip()
        return f"{match[1]}\n{lines}\n\n{match[3]}"

    return SECTION.sub(section, text)


def main(arguments: list[str]) -> int:
    """Write the pages, or compare them with ``--check``.

    :param arguments: arguments of the command line.
    """
    stale = []
    for path in sorted(DOCS_DIR.glob("*.md")):
        current = path.read_text(encoding="utf-8")
        text = filled(current)
        if text == current:
            continue
        stale.append(path.name)
        if "--check" not in arguments:
            path.write_text(text, encoding="utf-8")
    if stale:
        print("generated:", ", ".join(stale))
    return 1 if stale and "--check" in arguments else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

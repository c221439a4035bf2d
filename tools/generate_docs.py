"""Generate the reference tables of the pages in docs/ from the files in schema/.

The text around the tables is written by hand: only the lines between
``<!-- table NAME -->`` and ``<!-- end -->`` are replaced.
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
TABLE_PATTERN = re.compile(r"(<!-- table (\S+) -->\n).*?(<!-- end -->)", re.DOTALL)
LIMIT_NAMES = {
    "minimum": "at least",
    "exclusiveMinimum": "more than",
    "maximum": "at most",
    "minLength": "minimum length",
    "minItems": "minimum number of items",
}


def load_schema(name: str) -> dict[str, Any]:
    """Return the content of a schema file.

    :param name: name of the file without its suffix.
    """
    text = (SCHEMA_DIR / f"{name}.yaml").read_text(encoding="utf-8")
    loaded: dict[str, Any] = yaml.safe_load(text)
    return loaded


def format_table(headings: list[str], rows: list[list[str]]) -> Iterator[str]:
    """Yield the lines of a Markdown table.

    :param headings: headings of the columns.
    :param rows: text of the cells, row by row.
    """
    yield "| " + " | ".join(headings) + " |"
    yield "|" + "---|" * len(headings)
    for row in rows:
        yield "| " + " | ".join(cell.replace("|", "\\|") for cell in row) + " |"


def format_type(rule: dict[str, Any]) -> str:
    """Describe the type of a property and its limits.

    :param rule: the property's JSON Schema.
    """
    if "$ref" in rule:
        name = rule["$ref"].rsplit("/", 1)[-1]
        return f"[{name}](#{name.lower()})"
    if "enum" in rule:
        return "one of " + ", ".join(f"`{value}`" for value in rule["enum"])
    kind = rule.get("type", "any value")
    if kind == "array":
        return f"list of {format_type(rule['items'])}"
    if kind == "object":
        values = rule.get("additionalProperties")
        inner = format_type(values) if isinstance(values, dict) else "any value"
        return f"mapping of names to {inner}"
    text = " or ".join(kind) if isinstance(kind, list) else kind
    limits = [
        f"{limit_name} {rule[key]}"
        for key, limit_name in LIMIT_NAMES.items()
        if key in rule
    ]
    return ", ".join([text, *limits])


def format_default(rule: dict[str, Any]) -> str:
    """Describe the default of a property, or say that it is required.

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


def format_class(name: str, schema: dict[str, Any]) -> Iterator[str]:
    """Yield the lines of the section on one class.

    :param name: name of the class.
    :param schema: its JSON Schema.
    """
    yield f"### {name}"
    yield ""
    yield schema["description"]
    yield ""
    rows = [
        [f"`{key}`", format_type(rule), format_default(rule), rule["description"]]
        for key, rule in schema["properties"].items()
    ]
    yield from format_table(["Name", "Type", "Default", "Meaning"], rows)
    yield ""


def format_schema(name: str) -> Iterator[str]:
    """Yield the lines of the sections on all classes of a schema file.

    :param name: name of the file without its suffix.
    """
    for class_name, schema in load_schema(name)["$defs"].items():
        yield from format_class(class_name, schema)


def format_codes() -> Iterator[str]:
    """Yield the lines of the table of result codes."""
    rows = [
        [
            str(row["number"]),
            f"`{row['name']}`",
            str(row["http"]),
            str(row["exit"]),
            f"`{row['ran']}`",
            row["message"],
        ]
        for row in load_schema("codes")["codes"]
    ]
    headings = ["Code", "Name", "HTTP", "Exit", "Ran", "Meaning"]
    yield from format_table(headings, rows)


def format_metrics() -> Iterator[str]:
    """Yield the lines of the table of metrics."""
    suffixes = {"counter": "_total"}
    rows = [
        [
            f"`jasminewalk_{spec.name}{suffixes.get(spec.kind, '')}`",
            spec.kind,
            spec.description,
        ]
        for spec in CATALOGUE
    ]
    yield from format_table(["Metric", "Kind", "Meaning"], rows)


TABLES: dict[str, Callable[[], Iterator[str]]] = {
    "codes": format_codes,
    "metrics": format_metrics,
    "settings": lambda: format_schema("settings"),
    "standins": lambda: format_schema("standins"),
    "configuration": lambda: format_schema("configuration"),
    "load": lambda: format_schema("load"),
    "measure": lambda: format_schema("measure"),
}


def update_tables(text: str) -> str:
    """Return a page with its tables regenerated.

    :param text: current text of the page.
    """

    def replace_table(match: re.Match[str]) -> str:
        lines = "\n".join(TABLES[match[2]]()).strip()
        return f"{match[1]}\n{lines}\n\n{match[3]}"

    return TABLE_PATTERN.sub(replace_table, text)


def main(arguments: list[str]) -> int:
    """Write the pages that changed and return the exit code.

    With ``--check``, write nothing and return 1 if a page is out of date.

    :param arguments: arguments of the command line.
    """
    outdated = []
    for path in sorted(DOCS_DIR.glob("*.md")):
        current = path.read_text(encoding="utf-8")
        text = update_tables(current)
        if text == current:
            continue
        outdated.append(path.name)
        if "--check" not in arguments:
            path.write_text(text, encoding="utf-8")
    if outdated:
        print("generated:", ", ".join(outdated))
    return 1 if outdated and "--check" in arguments else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

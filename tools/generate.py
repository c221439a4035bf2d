"""Generates the attrs classes and result codes from the files in schema/."""

import re
import subprocess
import sys
import textwrap
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import yaml

ROOT = Path(__file__).resolve().parent.parent
SCHEMA_DIR = ROOT / "schema"
PACKAGE_DIR = ROOT / "src" / "jasminewalk"
LINE_LENGTH = 79
SCALARS = {"integer": "int", "number": "float", "boolean": "bool", "string": "str"}
LIMITS = {
    "minimum": "ge",
    "exclusiveMinimum": "gt",
    "maximum": "le",
    "exclusiveMaximum": "lt",
    "minLength": "min_length",
    "maxLength": "max_length",
    "pattern": "pattern",
}


def type_of(schema: dict[str, Any]) -> str:
    """Return the Python type of a property.

    :param schema: the property's JSON Schema.
    """
    if "$ref" in schema:
        name = str(schema["$ref"]).rsplit("/", 1)[-1]
        return f"{name} | None" if schema.get("default", "") is None else name
    if "enum" in schema:
        return "Literal[" + ", ".join(f'"{value}"' for value in schema["enum"]) + "]"
    if "type" not in schema:
        return "Any"
    kind = schema["type"]
    if isinstance(kind, list):
        return f"{SCALARS[kind[0]]} | None"
    if kind == "array":
        return f"list[{type_of(schema['items'])}]"
    if kind == "object":
        values = schema.get("additionalProperties")
        return f"dict[str, {type_of(values) if isinstance(values, dict) else 'Any'}]"
    if schema.get("format") == "binary":
        return "bytes"
    return limited(SCALARS[kind], schema)


def limited(base: str, schema: dict[str, Any]) -> str:
    """Return a type with the schema's limits as msgspec metadata.

    :param base: the type without limits.
    :param schema: the property's JSON Schema.
    """
    limits = [
        f"{word}={schema[key]!r}" for key, word in LIMITS.items() if key in schema
    ]
    if not limits:
        return base
    return f"Annotated[{base}, msgspec.Meta({', '.join(limits)})]"


def default_of(schema: dict[str, Any]) -> str:
    """Return the source of a property's default, or nothing.

    :param schema: the property's JSON Schema.
    """
    if "default" not in schema:
        return ""
    default = schema["default"]
    if isinstance(default, (list, dict)):
        kind = type(default).__name__
        if default:
            return f" = attrs.field(factory=lambda: {default!r})"
        return f" = attrs.field(factory={kind})"
    if schema.get("format") == "binary":
        default = default.encode()
    if schema.get("type") == "number":
        default = float(default)
    return f" = {default!r}"


def wrapped(text: str, later_indent: str) -> list[str]:
    """Return docstring text as indented lines.

    :param text: the text of one paragraph.
    :param later_indent: indent of every line but the first.
    """
    return textwrap.wrap(
        text, LINE_LENGTH, initial_indent="    ", subsequent_indent=later_indent
    )


def class_source(name: str, schema: dict[str, Any]) -> Iterator[str]:
    """Yield the lines of one generated class.

    :param name: name of the class.
    :param schema: JSON Schema of the object.
    """
    properties = schema.get("properties", {})
    yield "@attrs.frozen(kw_only=True)"
    yield f"class {name}:"
    yield from wrapped(f'"""{schema["description"]}', "    ")
    yield ""
    for key, value in properties.items():
        yield from wrapped(f":param {key}: {value['description']}.", "        ")
    yield '    """'
    yield ""
    for key, value in properties.items():
        yield f"    {key}: {type_of(value)}{default_of(value)}"
    yield ""
    yield ""


def ordered(definitions: dict[str, Any]) -> list[str]:
    """Return the class names with each class after those it refers to.

    :param definitions: JSON Schemas by class name.
    """
    done: list[str] = []

    def visit(name: str) -> None:
        if name in done:
            return
        text = yaml.safe_dump(definitions[name])
        for other in definitions:
            if f"#/$defs/{other}'" in text and other != name:
                visit(other)
        done.append(name)

    for name in definitions:
        visit(name)
    return done


def module_source(schema: dict[str, Any], origin: str) -> str:
    """Return the source of the module for one schema file.

    :param schema: the whole schema.
    :param origin: file name of the schema.
    """
    definitions = schema["$defs"]
    body: list[str] = []
    for name in ordered(definitions):
        body.extend(class_source(name, definitions[name]))
    numbers = {
        value["x-number"]: key
        for key, value in definitions.items()
        if "x-number" in value
    }
    if numbers:
        body.append("TYPE_BY_NUMBER: dict[int, type] = {")
        body.extend(f"    {number}: {name}," for number, name in numbers.items())
        body.append("}")
    text = "\n".join(body)
    lines = [
        f'"""{schema["description"]}',
        "",
        f"Generated by tools/generate.py from schema/{origin}; do not edit.",
        '"""',
        "",
    ]
    names = [
        name
        for name in ("Annotated", "Any", "Literal")
        if re.search(rf"[\[ ]{name}([\[\]]| =)", text)
    ]
    if names:
        lines += [f"from typing import {', '.join(names)}", ""]
    lines.append("import attrs")
    if "msgspec." in text:
        lines.append("import msgspec")
    exported = sorted([*definitions, *(["TYPE_BY_NUMBER"] if numbers else [])])
    lines += ["", "__all__ = ["]
    lines += [f'    "{name}",' for name in exported]
    lines += ["]", "", "", text.rstrip(), ""]
    return "\n".join(lines)


def codes_source(codes: list[dict[str, Any]]) -> str:
    """Return the source of the module with the result codes.

    :param codes: rows of schema/codes.yaml.
    """
    lines = [
        '"""Numbered result codes.',
        "",
        "Generated by tools/generate.py from schema/codes.yaml; do not edit.",
        '"""',
        "",
        "from enum import IntEnum",
        "from typing import Literal",
        "",
        "import attrs",
        "",
        '__all__ = ["RESULTS", "Code", "Ran", "Result"]',
        "",
        'Ran = Literal["not_run", "ran", "unknown"]',
        "",
        "",
        "class Code(IntEnum):",
        '    """Number of a result."""',
        "",
    ]
    lines += [f"    {row['name'].upper()} = {row['number']}" for row in codes]
    lines += [
        "",
        "",
        "@attrs.frozen(kw_only=True)",
        "class Result:",
        '    """One row of the table of result codes.',
        "",
        "    :param code: number of the result.",
        "    :param http_status: status of an HTTP answer with this result.",
        "    :param exit_code: exit code of the command line.",
        "    :param ran: whether the request ran.",
        "    :param message: what happened, in one sentence.",
        '    """',
        "",
        "    code: Code",
        "    http_status: int",
        "    exit_code: int",
        "    ran: Ran",
        "    message: str",
        "",
        "",
        "RESULTS: dict[Code, Result] = {",
    ]
    for row in codes:
        code = f"Code.{row['name'].upper()}"
        lines += [
            f"    {code}: Result(",
            f"        code={code},",
            f"        http_status={row['http']},",
            f"        exit_code={row['exit']},",
            f'        ran="{row["ran"]}",',
            f'        message="{row["message"]}",',
            "    ),",
        ]
    lines += ["}", ""]
    return "\n".join(lines)


def sources() -> Iterator[tuple[Path, str]]:
    """Yield each generated module's path and source."""
    for path in sorted(SCHEMA_DIR.glob("*.yaml")):
        schema = yaml.safe_load(path.read_text(encoding="utf-8"))
        target = PACKAGE_DIR / f"generated_{path.stem}.py"
        if "codes" in schema:
            yield target, codes_source(schema["codes"])
        else:
            yield target, module_source(schema, path.name)


def formatted(source: str) -> str:
    """Return the source as the formatter writes it.

    :param source: Python source.
    """
    command = [sys.executable, "-m", "ruff", "format", "--no-cache", "-"]
    done = subprocess.run(
        command, input=source, capture_output=True, text=True, check=True, cwd=ROOT
    )
    return done.stdout


def main(arguments: list[str]) -> int:
    """Write the generated modules, or compare them with ``--check``.

    :param arguments: arguments of the command line.
    """
    stale = []
    for path, source in sources():
        text = formatted(source)
        current = path.read_text(encoding="utf-8") if path.exists() else ""
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

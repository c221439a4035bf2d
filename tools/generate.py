"""Generate the attrs classes and result codes from the files in schema/."""

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
DOCSTRING_LINE_LENGTH = 79
PYTHON_TYPES = {"integer": "int", "number": "float", "boolean": "bool", "string": "str"}
MSGSPEC_LIMITS = {
    "minimum": "ge",
    "exclusiveMinimum": "gt",
    "maximum": "le",
    "exclusiveMaximum": "lt",
    "minLength": "min_length",
    "maxLength": "max_length",
    "pattern": "pattern",
}


def build_type(schema: dict[str, Any]) -> str:
    """Return the Python type of a property as source code.

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
        return f"{PYTHON_TYPES[kind[0]]} | None"
    if kind == "array":
        return f"list[{build_type(schema['items'])}]"
    if kind == "object":
        values = schema.get("additionalProperties")
        return f"dict[str, {build_type(values) if isinstance(values, dict) else 'Any'}]"
    if schema.get("format") == "binary":
        return "bytes"
    return build_limited_type(PYTHON_TYPES[kind], schema)


def build_limited_type(base: str, schema: dict[str, Any]) -> str:
    """Return a type annotated with the property's limits as msgspec metadata.

    :param base: source code of the type without limits.
    :param schema: the property's JSON Schema.
    """
    limits = [
        f"{limit}={schema[key]!r}"
        for key, limit in MSGSPEC_LIMITS.items()
        if key in schema
    ]
    if not limits:
        return base
    return f"Annotated[{base}, msgspec.Meta({', '.join(limits)})]"


def build_default(schema: dict[str, Any]) -> str:
    """Return the default of a property as source code, empty if it has none.

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


def wrap_docstring(text: str, subsequent_indent: str) -> list[str]:
    """Wrap one paragraph of a docstring and return its indented lines.

    :param text: the text of the paragraph.
    :param subsequent_indent: indent of all lines after the first.
    """
    return textwrap.wrap(
        text,
        DOCSTRING_LINE_LENGTH,
        initial_indent="    ",
        subsequent_indent=subsequent_indent,
    )


def generate_class(name: str, schema: dict[str, Any]) -> Iterator[str]:
    """Yield the source lines of one class.

    :param name: name of the class.
    :param schema: JSON Schema of the object.
    """
    properties = schema.get("properties", {})
    yield "@attrs.frozen(kw_only=True)"
    yield f"class {name}:"
    yield from wrap_docstring(f'"""{schema["description"]}', "    ")
    yield ""
    for key, value in properties.items():
        yield from wrap_docstring(f":param {key}: {value['description']}.", "        ")
    yield '    """'
    yield ""
    for key, value in properties.items():
        yield f"    {key}: {build_type(value)}{build_default(value)}"
    yield ""
    yield ""


def sort_by_reference(definitions: dict[str, Any]) -> list[str]:
    """Return the class names, each after the classes that it refers to.

    :param definitions: JSON Schemas by class name.
    """
    sorted_names: list[str] = []

    def visit(name: str) -> None:
        if name in sorted_names:
            return
        text = yaml.safe_dump(definitions[name])
        for other in definitions:
            if f"#/$defs/{other}'" in text and other != name:
                visit(other)
        sorted_names.append(name)

    for name in definitions:
        visit(name)
    return sorted_names


def generate_module(schema: dict[str, Any], file_name: str) -> str:
    """Return the source code of the module for one schema file.

    :param schema: content of the schema file.
    :param file_name: name of the schema file.
    """
    definitions = schema["$defs"]
    body: list[str] = []
    for name in sort_by_reference(definitions):
        body.extend(generate_class(name, definitions[name]))
    name_by_number = {
        value["x-number"]: key
        for key, value in definitions.items()
        if "x-number" in value
    }
    if name_by_number:
        body.append("TYPE_BY_NUMBER: dict[int, type] = {")
        body.extend(f"    {number}: {name}," for number, name in name_by_number.items())
        body.append("}")
    text = "\n".join(body)
    lines = [
        f'"""{schema["description"]}',
        "",
        f"Generated by tools/generate.py from schema/{file_name}; do not edit.",
        '"""',
        "",
    ]
    typing_names = [
        name
        for name in ("Annotated", "Any", "Literal")
        if re.search(rf"[\[ ]{name}([\[\]]| =)", text)
    ]
    if typing_names:
        lines += [f"from typing import {', '.join(typing_names)}", ""]
    lines.append("import attrs")
    if "msgspec." in text:
        lines.append("import msgspec")
    exported = sorted([*definitions, *(["TYPE_BY_NUMBER"] if name_by_number else [])])
    lines += ["", "__all__ = ["]
    lines += [f'    "{name}",' for name in exported]
    lines += ["]", "", "", text.rstrip(), ""]
    return "\n".join(lines)


def generate_codes_module(codes: list[dict[str, Any]]) -> str:
    """Return the source code of the module with the result codes.

    :param codes: entries of schema/codes.yaml.
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
        '    """Number of a result code."""',
        "",
    ]
    lines += [f"    {row['name'].upper()} = {row['number']}" for row in codes]
    lines += [
        "",
        "",
        "@attrs.frozen(kw_only=True)",
        "class Result:",
        '    """Properties of one result code.',
        "",
        "    :param code: number of the result code.",
        "    :param http_status: HTTP status of a response with this code.",
        "    :param exit_code: exit code of a command that ends with this code.",
        "    :param ran: whether the request ran.",
        "    :param message: description of the result in one sentence.",
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


def generate_modules() -> Iterator[tuple[Path, str]]:
    """Yield the path and source code of each module, before formatting."""
    for path in sorted(SCHEMA_DIR.glob("*.yaml")):
        schema = yaml.safe_load(path.read_text(encoding="utf-8"))
        target = PACKAGE_DIR / f"generated_{path.stem}.py"
        if "codes" in schema:
            yield target, generate_codes_module(schema["codes"])
        else:
            yield target, generate_module(schema, path.name)


def format_source(source: str) -> str:
    """Format source code with Ruff.

    :param source: Python source code.
    :raises subprocess.CalledProcessError: if the source code is not valid.
    """
    command = [sys.executable, "-m", "ruff", "format", "--no-cache", "-"]
    completed = subprocess.run(
        command, input=source, capture_output=True, text=True, check=True, cwd=ROOT
    )
    return completed.stdout


def main(arguments: list[str]) -> int:
    """Write the generated modules that changed and return the exit code.

    With ``--check``, write nothing and return 1 if a module is out of date.

    :param arguments: arguments of the command line.
    """
    outdated = []
    for path, source in generate_modules():
        text = format_source(source)
        current = path.read_text(encoding="utf-8") if path.exists() else ""
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

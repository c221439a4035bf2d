"""Loading of the schema files and validation of documents."""

import difflib
from functools import cache
from importlib import resources
from pathlib import Path
from typing import Any

import yaml
from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError

from jasminewalk.operators.yaml_files import Problem, YamlDocument

__all__ = [
    "get_class_schema",
    "find_document_problems",
    "load_schema",
    "load_strict_schema",
]

SCHEMA_SUFFIX = ".yaml"
SOURCE_SCHEMA_DIR = Path(__file__).resolve().parent.parent.parent / "schema"
MAX_LISTED_NAMES = 12


@cache
def load_schema(name: str) -> dict[str, Any]:
    """Load a schema file.

    :param name: name of the schema file without its suffix, such as ``settings``.
    """
    packaged = resources.files("jasminewalk") / "schema" / (name + SCHEMA_SUFFIX)
    if packaged.is_file():
        text = packaged.read_text(encoding="utf-8")
    else:
        path = SOURCE_SCHEMA_DIR / (name + SCHEMA_SUFFIX)
        text = path.read_text(encoding="utf-8")
    loaded: dict[str, Any] = yaml.safe_load(text)
    return loaded


@cache
def load_strict_schema(name: str) -> dict[str, Any]:
    """Load a schema and make it reject unknown and missing properties.

    Properties without a default are required.

    :param name: name of the schema file without its suffix.
    """
    schema = load_schema(name)
    definitions = {
        key: {
            **value,
            "type": "object",
            "additionalProperties": False,
            "required": [
                field
                for field, rule in value.get("properties", {}).items()
                if "default" not in rule
            ],
        }
        for key, value in schema["$defs"].items()
    }
    return {**schema, "$defs": definitions}


def get_class_schema(name: str, class_name: str) -> dict[str, Any]:
    """Return the strict schema of a class.

    :param name: name of the schema file without its suffix.
    :param class_name: name of the class in the schema.
    """
    schema = load_strict_schema(name)
    return {**schema, "$ref": f"#/$defs/{class_name}"}


def find_document_problems(
    document: YamlDocument, schema: dict[str, Any], data: Any = None
) -> list[Problem]:
    """Validate a document and return its problems in the order of lines.

    :param document: the document.
    :param schema: strict JSON Schema.
    :param data: value to validate; defaults to that of the document.
    """
    value = document.data if data is None else data
    validator = Draft202012Validator(schema)
    problems = list(document.problems)
    for error in validator.iter_errors(value):
        problems.extend(_convert_error(error))
    return sorted(
        problems,
        key=lambda problem: (document.lines.get(problem.path, 0), problem.text),
    )


def _convert_error(error: ValidationError) -> list[Problem]:
    path = tuple(error.absolute_path)
    schema: Any = error.schema
    instance: Any = error.instance
    if error.validator == "additionalProperties":
        known = list(schema.get("properties", {}))
        unknown = [key for key in instance if key not in known]
        return [
            Problem((*path, key), f"found an unknown name; {_suggest_name(key, known)}")
            for key in unknown
        ]
    if error.validator == "required":
        name = error.message.split("'")[1]
        rule = schema["properties"][name]
        description = rule.get("description", "a value")
        return [Problem(path, f"found no {name}; it is needed: {description}")]
    return [
        Problem(path, f"found {_format_value(instance)}; {_describe_allowed(error)}")
    ]


def _suggest_name(key: str, known: list[str]) -> str:
    matches = difflib.get_close_matches(key, known, n=1)
    if matches:
        return f"did you mean {matches[0]}?"
    names = ", ".join(known[:MAX_LISTED_NAMES])
    return (
        f"allowed is one of {names}{', ...' if len(known) > MAX_LISTED_NAMES else ''}"
    )


def _format_value(value: Any) -> str:
    if isinstance(value, dict):
        return "a mapping"
    if isinstance(value, list):
        return "a list"
    if value is None:
        return "nothing"
    return repr(value)


def _describe_allowed(error: ValidationError) -> str:
    rule: Any = error.validator_value
    schema: Any = error.schema
    if error.validator == "type":
        types = rule if isinstance(rule, list) else [rule]
        return f"allowed is a value of type {' or '.join(types)}"
    if error.validator == "enum":
        return f"allowed is one of {', '.join(map(str, rule))}"
    if error.validator == "minimum":
        return f"allowed is {rule} or more"
    if error.validator == "exclusiveMinimum":
        return f"allowed is more than {rule}"
    if error.validator == "maximum":
        return f"allowed is {rule} or less"
    if error.validator == "minLength":
        return f"allowed are {rule} characters or more"
    if error.validator == "pattern":
        return f"allowed is {schema.get('description', rule)}"
    return f"allowed: {error.validator} {rule}"

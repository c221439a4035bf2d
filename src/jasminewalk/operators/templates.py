"""Templates of organisations, with typed parameters that fill placeholders."""

import re
from collections.abc import Mapping
from typing import Any

import msgspec

from jasminewalk.exceptions import BadConfigurationError
from jasminewalk.generated_configuration import (
    ModelRule,
    Organisation,
    OrganisationDocument,
    ServiceRule,
    Template,
    TemplateParameter,
    TemplateVersion,
)
from jasminewalk.operators.yaml_files import Problem, ValuePath, format_path

__all__ = [
    "fill_parameters",
    "find_version",
    "find_organisation_problems",
    "find_value_problem",
    "find_parameter_problems",
    "find_placeholders",
    "render_organisation",
    "find_template_problems",
]

PLACEHOLDER_PATTERN = re.compile(r"\$\{([A-Za-z_][A-Za-z0-9_]*)\}")
VERSION_NUMBER_PATTERN = re.compile(r"[1-9][0-9]*")
PYTHON_TYPES: dict[str, tuple[type, ...]] = {
    "string": (str,),
    "integer": (int,),
    "number": (int, float),
    "boolean": (bool,),
    "list": (list,),
}


def find_placeholders(body: Any) -> set[str]:
    """Return the names of all placeholders in a body.

    >>> sorted(find_placeholders({"a": ["${x}", "to ${y}"], "${z}": 1}))
    ['x', 'y', 'z']

    :param body: any part of a template's body.
    """
    if isinstance(body, str):
        return set(PLACEHOLDER_PATTERN.findall(body))
    if isinstance(body, list):
        return set().union(*map(find_placeholders, body))
    if isinstance(body, dict):
        return find_placeholders(list(body)) | find_placeholders(list(body.values()))
    return set()


def substitute(body: Any, values: Mapping[str, Any]) -> Any:
    """Return a body with its placeholders replaced by values.

    A string that consists of a single placeholder becomes the value with its type;
    in other strings, the value is inserted as text.

    >>> substitute({"a": "${n}", "b": "at ${n} o'clock"}, {"n": 7})
    {'a': 7, 'b': "at 7 o'clock"}

    :param body: any part of a template's body.
    :param values: values by parameter name.
    :raises BadConfigurationError: if a key is no longer a string.
    """
    if isinstance(body, str):
        if "${" not in body:
            return body
        single = PLACEHOLDER_PATTERN.fullmatch(body)
        if single:
            return values[single[1]]
        return PLACEHOLDER_PATTERN.sub(lambda match: str(values[match[1]]), body)
    if isinstance(body, list):
        return [substitute(item, values) for item in body]
    if isinstance(body, dict):
        return {
            _substitute_key(key, values): substitute(value, values)
            for key, value in body.items()
        }
    return body


def _substitute_key(key: str, values: Mapping[str, Any]) -> str:
    name = substitute(key, values)
    if not isinstance(name, str):
        raise BadConfigurationError(
            f"organisation: found {name!r} as a name; allowed is a string"
        )
    return name


def find_value_problem(parameter: TemplateParameter, value: Any) -> str:
    """Return a message that says why a value is not allowed; empty if it is.

    >>> find_value_problem(TemplateParameter(type="integer", maximum=3), 9)
    'found 9; allowed is 3 or less'

    :param parameter: type and limits of the parameter.
    :param value: the value to check.
    """
    has_type = isinstance(value, PYTHON_TYPES[parameter.type])
    if not has_type or (isinstance(value, bool) and parameter.type != "boolean"):
        return f"found {value!r}; allowed is a value of type {parameter.type}"
    for item in value if isinstance(value, list) else [value]:
        problem = _find_item_problem(parameter, item)
        if problem:
            return problem
    return _find_size_problem(parameter, value)


def _find_size_problem(parameter: TemplateParameter, value: Any) -> str:
    has_length = isinstance(value, (str, list))
    size = len(value) if has_length else float(value)
    quantity = "a length of " if has_length else ""
    if parameter.minimum is not None and size < parameter.minimum:
        return f"found {value!r}; allowed is {quantity}{parameter.minimum:g} or more"
    if parameter.maximum is not None and size > parameter.maximum:
        return f"found {value!r}; allowed is {quantity}{parameter.maximum:g} or less"
    return ""


def _find_item_problem(parameter: TemplateParameter, item: Any) -> str:
    if parameter.type == "list" and not isinstance(item, str):
        return f"found item {item!r}; allowed is a string"
    if parameter.allowed and item not in parameter.allowed:
        allowed = ", ".join(map(str, parameter.allowed))
        return f"found {item!r}; allowed is one of {allowed}"
    if parameter.pattern and not re.fullmatch(parameter.pattern, item):
        return f"found {item!r}; allowed is text that matches {parameter.pattern}"
    return ""


def find_template_problems(template: Template) -> list[Problem]:
    """Return the problems of a template that its schema does not detect.

    :param template: the template.
    """
    problems = []
    for number, version in template.versions.items():
        path = ("versions", number)
        if not VERSION_NUMBER_PATTERN.fullmatch(number):
            problems.append(
                Problem(path, f"found {number!r}; allowed is a whole number from 1")
            )
        problems.extend(_find_version_problems(version, path))
    return problems


def _find_version_problems(version: TemplateVersion, path: ValuePath) -> list[Problem]:
    problems = []
    known = ", ".join(version.parameters) or "none"
    for name in sorted(
        find_placeholders(version.organisation) - set(version.parameters)
    ):
        text = f"found ${{{name}}}; allowed is one of {known}"
        problems.append(Problem((*path, "organisation"), text))
    for name, parameter in version.parameters.items():
        text = _find_declaration_problem(parameter)
        if text:
            problems.append(Problem((*path, "parameters", name), text))
    return problems


def _find_declaration_problem(parameter: TemplateParameter) -> str:
    try:
        re.compile(parameter.pattern)
    except re.error as error:
        return f"found pattern {parameter.pattern!r}; {error}"
    if parameter.pattern and parameter.type not in ("string", "list"):
        return "found a pattern; only parameters of type string or list can have one"
    if parameter.required:
        return ""
    if parameter.default is None:
        return "found neither required nor a default; one of them is needed"
    problem = find_value_problem(parameter, parameter.default)
    return f"default: {problem}" if problem else ""


def find_parameter_problems(
    version: TemplateVersion, given: Mapping[str, Any]
) -> list[Problem]:
    """Return the problems in the parameter values of an organisation.

    :param version: version of a template.
    :param given: values of the organisation, by parameter name.
    """
    problems = []
    known = ", ".join(version.parameters) or "none"
    for name in given:
        if name not in version.parameters:
            text = f"found an unknown parameter; allowed is one of {known}"
            problems.append(Problem(("parameters", name), text))
    for name, parameter in version.parameters.items():
        if name in given:
            text = find_value_problem(parameter, given[name])
            if text:
                problems.append(Problem(("parameters", name), text))
        elif parameter.required:
            text = f"found no {name}; it is needed: {parameter.description}"
            problems.append(Problem(("parameters",), text))
    return problems


def fill_parameters(
    version: TemplateVersion, given: Mapping[str, Any]
) -> dict[str, Any]:
    """Return the values of all parameters, with defaults for those not given.

    :param version: version of a template.
    :param given: values of the organisation, by parameter name.
    :raises BadConfigurationError: if a value is missing, unknown or not allowed.
    """
    _raise_problems(find_parameter_problems(version, given))
    defaults = {
        name: parameter.default for name, parameter in version.parameters.items()
    }
    return {**defaults, **given}


def _raise_problems(problems: list[Problem]) -> None:
    if problems:
        texts = [f"{format_path(problem.path)}: {problem.text}" for problem in problems]
        raise BadConfigurationError("; ".join(texts))


def find_version(
    document: OrganisationDocument, template: Template | None
) -> TemplateVersion:
    """Return the version of a template that an organisation uses.

    :param document: document of the organisation.
    :param template: template that the document names; None if it does not exist.
    :raises BadConfigurationError: if the template or its version does not exist.
    """
    if template is None:
        raise BadConfigurationError(
            f"template: found {document.template!r}; allowed is a template in force"
        )
    version = template.versions.get(str(document.version))
    if version is None:
        known = ", ".join(template.versions) or "none"
        raise BadConfigurationError(
            f"version: found {document.version} of template {document.template!r}; "
            f"allowed is one of {known}"
        )
    return version


def render_organisation(
    name: str, document: OrganisationDocument, template: Template | None
) -> Organisation:
    """Return the organisation that results from a document and its template.

    :param name: organisation name.
    :param document: document of the organisation.
    :param template: template that the document names; None if it does not exist.
    :raises BadConfigurationError: if the document, its parameters or the resulting
        organisation are not valid.
    """
    version = find_version(document, template)
    body = substitute(
        version.organisation, fill_parameters(version, document.parameters)
    )
    try:
        organisation = msgspec.convert({**body, "name": name}, Organisation)
    except msgspec.ValidationError as error:
        raise BadConfigurationError(f"organisation: {error}") from error
    _raise_problems(find_organisation_problems(organisation))
    return organisation


def find_organisation_problems(organisation: Organisation) -> list[Problem]:
    """Return a problem for each rule whose request class does not exist.

    :param organisation: the organisation.
    """
    known = ", ".join(organisation.classes) or "none"
    rules: dict[ValuePath, ModelRule | ServiceRule] = {
        **{("models", name): rule for name, rule in organisation.models.items()},
        **{("services", name): rule for name, rule in organisation.services.items()},
    }
    return [
        Problem(
            (*path, "request_class"),
            f"found {rule.request_class!r}; allowed is one of {known}",
        )
        for path, rule in rules.items()
        if rule.request_class not in organisation.classes
    ]

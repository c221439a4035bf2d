"""Checks of settings files and configuration files."""

import json
from pathlib import Path

import attrs

from jasminewalk.exceptions import BadConfigurationError, BadSettingsError
from jasminewalk.operators.configuration import ConfigurationView
from jasminewalk.operators.configuration_checks import check_documents
from jasminewalk.operators.configuration_files import (
    is_configuration,
    read_configuration,
)
from jasminewalk.operators.serving_checks import describe_changes, find_problems
from jasminewalk.operators.yaml_files import read_documents
from jasminewalk.platform.configuration import (
    ServingConfiguration,
    decode_configuration,
)
from jasminewalk.settings import find_settings_problems, guess_kind

__all__ = ["CheckResult", "check_file"]

# Suffix of serving configurations, which the platform's operator publishes as JSON.
SERVING_SUFFIX = ".json"


@attrs.frozen
class CheckResult:
    """Result of a check.

    :param text: what the file contains, its problems and its changes.
    :param is_valid: whether nothing in it counts as an error.
    """

    text: str
    is_valid: bool = True


def check_file(
    file: str, *, against: str = "", strict: bool = False, as_json: bool = False
) -> CheckResult:
    """Check a file and return what it contains.

    For a serving configuration this has its problems, too, and what it changes.

    :param file: YAML file, directory of configuration files, or JSON file with a
        serving configuration.
    :param against: JSON file with the serving configuration in force; empty for none.
    :param strict: whether warnings count as errors.
    :param as_json: whether to return the result for a serving configuration as JSON.
    :raises BadSettingsError: if settings are not valid.
    :raises BadConfigurationError: if configuration is not valid.
    """
    if Path(file).suffix == SERVING_SUFFIX:
        return check_serving_configuration(file, against, strict, as_json)
    if against or strict or as_json:
        raise BadConfigurationError(
            f"{file}: against, strict and as_json are for serving configurations, in "
            f"files whose names end with {SERVING_SUFFIX}"
        )
    if Path(file).is_dir():
        return CheckResult(check_configuration(file))
    documents = read_documents(file, BadSettingsError)
    if is_configuration(documents):
        return CheckResult(check_configuration(file))
    return CheckResult(check_settings(file))


def check_settings(file: str) -> str:
    """Check a settings file and return a line that says what it contains.

    :param file: YAML file.
    :raises BadSettingsError: if the file is not valid.
    """
    documents = read_documents(file, BadSettingsError)
    if len(documents) != 1:
        raise BadSettingsError(
            f"{file}: found {len(documents)} documents; allowed is one"
        )
    kind = guess_kind(documents[0])
    problems = find_settings_problems(documents[0], kind)
    if problems:
        messages = "\n".join(map(documents[0].format_problem, problems))
        raise BadSettingsError(f"{messages}\n(checked as settings of {kind.name})")
    return f"{file}: valid settings of {kind.name}"


def check_configuration(file: str) -> str:
    """Check a complete configuration and return a line that says what it contains.

    :param file: YAML file, or directory of configuration files.
    :raises BadConfigurationError: if the configuration is not valid or has no fleet.
    """
    documents = read_configuration(file)
    kinds = [document.kind for document in documents]
    if "fleet" not in kinds:
        raise BadConfigurationError(
            f"{file}: found no fleet; check needs a complete configuration. To check "
            "a part against the configuration in force, use publish --dry_run"
        )
    check_documents(documents, ConfigurationView())
    return (
        f"{file}: valid configuration with {kinds.count('template')} templates and "
        f"{kinds.count('organisation')} organisations"
    )


def check_serving_configuration(
    file: str, against: str, strict: bool, as_json: bool
) -> CheckResult:
    """Check a serving configuration; return its problems and what it changes.

    :param file: JSON file.
    :param against: JSON file with the configuration in force; empty for none.
    :param strict: whether warnings count as errors.
    :param as_json: whether to return the result as JSON.
    :raises BadConfigurationError: if a file can't be read or decoded.
    """
    configuration = read_serving_configuration(file)
    problems = find_problems(configuration)
    changes = []
    if against:
        changes = describe_changes(read_serving_configuration(against), configuration)
    if as_json:
        text = json.dumps(
            {
                "version": configuration.version,
                "problems": [
                    {"path": held.path, "reason": held.reason, "error": held.is_error}
                    for held in problems
                ],
                "changes": changes,
            }
        )
    else:
        summary = (
            f"{file}: version {configuration.version} with "
            f"{len(configuration.routes)} routes and {len(configuration.services)} "
            "services"
        )
        text = "\n".join([summary, *map(str, problems), *changes])
    return CheckResult(text, not any(held.is_error or strict for held in problems))


def read_serving_configuration(file: str) -> ServingConfiguration:
    """Read a serving configuration.

    :param file: JSON file.
    :raises BadConfigurationError: if it can't be read, with line and column, or a
        gateway would refuse it.
    """
    try:
        text = Path(file).read_bytes()
        json.loads(text)
    except (OSError, ValueError, RecursionError) as error:
        raise BadConfigurationError(f"{file}: {error}") from error
    try:
        return decode_configuration(text)
    except BadConfigurationError as error:
        raise BadConfigurationError(f"{file}: {error}") from error

"""Checks of settings files and configuration files."""

from pathlib import Path

from jasminewalk.exceptions import BadConfigurationError, BadSettingsError
from jasminewalk.operators.configuration import ConfigurationView
from jasminewalk.operators.configuration_checks import check_documents
from jasminewalk.operators.configuration_files import (
    is_configuration,
    read_configuration,
)
from jasminewalk.operators.yaml_files import read_documents
from jasminewalk.settings import find_settings_problems, guess_kind

__all__ = ["check_file"]


def check_file(file: str) -> str:
    """Check a file and return a line that says what it contains.

    :param file: YAML file, or directory of configuration files.
    :raises BadSettingsError: if settings are not valid.
    :raises BadConfigurationError: if configuration is not valid.
    """
    if Path(file).is_dir():
        return check_configuration(file)
    documents = read_documents(file, BadSettingsError)
    if is_configuration(documents):
        return check_configuration(file)
    return check_settings(file)


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

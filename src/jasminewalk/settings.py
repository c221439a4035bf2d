"""Reading of settings files."""

from typing import Any, TypeVar

import attrs
import msgspec

from jasminewalk.exceptions import BadSettingsError
from jasminewalk.generated_load import LoadPlan
from jasminewalk.generated_measure import Workload
from jasminewalk.generated_settings import (
    EntrySettings,
    OperatorSettings,
    SidecarSettings,
)
from jasminewalk.generated_standins import (
    StandinEngineSettings,
    StandinInstancesSettings,
    StandinLogSettings,
    StandinServiceSettings,
    StandinWeightsSettings,
)
from jasminewalk.operators.yaml_files import Problem, YamlDocument, read_documents
from jasminewalk.schemas import definition, document_problems, load_schema

__all__ = ["KINDS", "SettingsKind", "guess_kind", "load_settings", "settings_problems"]

T = TypeVar("T")


@attrs.frozen
class SettingsKind:
    """One kind of settings file.

    :param name: name of the program that reads it.
    :param schema: name of the schema file.
    :param settings_class: class that the file is read into.
    """

    name: str
    schema: str
    settings_class: type

    @property
    def properties(self) -> dict[str, Any]:
        """Properties of the file's top level by name."""
        found: dict[str, Any] = load_schema(self.schema)["$defs"][
            self.settings_class.__name__
        ]["properties"]
        return found


KINDS = (
    SettingsKind("entry", "settings", EntrySettings),
    SettingsKind("sidecar", "settings", SidecarSettings),
    SettingsKind("operator", "settings", OperatorSettings),
    SettingsKind("load", "load", LoadPlan),
    SettingsKind("measure", "measure", Workload),
    SettingsKind("standin engine", "standins", StandinEngineSettings),
    SettingsKind("standin service", "standins", StandinServiceSettings),
    SettingsKind("standin log", "standins", StandinLogSettings),
    SettingsKind("standin instances", "standins", StandinInstancesSettings),
    SettingsKind("standin weights", "standins", StandinWeightsSettings),
)


def load_settings(file: str, settings_class: type[T]) -> T:
    """Return the settings that a file holds.

    :param file: name of the YAML file.
    :param settings_class: class to read it into.
    :raises BadSettingsError: if the file cannot be read or is not valid.
    """
    kind = next(kind for kind in KINDS if kind.settings_class is settings_class)
    document = read_one(file)
    problems = settings_problems(document, kind)
    if problems:
        raise BadSettingsError("\n".join(map(document.format_problem, problems)))
    return msgspec.convert(document.data, settings_class)


def read_one(file: str) -> YamlDocument:
    """Return the only document of a settings file.

    :param file: name of the YAML file.
    :raises BadSettingsError: if there is none or more than one.
    """
    documents = read_documents(file, BadSettingsError)
    if len(documents) != 1:
        raise BadSettingsError(
            f"{file}: found {len(documents)} documents; allowed is one"
        )
    return documents[0]


def settings_problems(document: YamlDocument, kind: SettingsKind) -> list[Problem]:
    """Return what is wrong with a settings document.

    :param document: the document.
    :param kind: kind of settings.
    """
    class_name = kind.settings_class.__name__
    problems = document_problems(document, definition(kind.schema, class_name))
    if problems:
        return problems
    try:
        msgspec.convert(document.data, kind.settings_class)
    except msgspec.ValidationError as error:
        return [Problem((), f"found settings that are not allowed: {error}")]
    return []


def guess_kind(document: YamlDocument) -> SettingsKind:
    """Return the kind of settings that a document looks most like.

    :param document: the document.
    """
    names = set(document.data) if isinstance(document.data, dict) else set()
    return max(KINDS, key=lambda kind: _likeness(names, set(kind.properties)))


def _likeness(names: set[str], known: set[str]) -> tuple[int, int]:
    return len(names & known) - len(names - known), -len(known)

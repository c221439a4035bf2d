"""Loading and validation of settings files."""

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
from jasminewalk.schemas import find_document_problems, get_class_schema, load_schema

__all__ = [
    "SETTINGS_KINDS",
    "SettingsKind",
    "guess_kind",
    "load_settings",
    "find_settings_problems",
]

Settings = TypeVar("Settings")


@attrs.frozen
class SettingsKind:
    """A kind of settings file.

    :param name: name of the program that reads the file.
    :param schema: name of the schema file without its suffix.
    :param settings_class: class that the file is decoded into.
    """

    name: str
    schema: str
    settings_class: type

    @property
    def properties(self) -> dict[str, Any]:
        """Schemas of the top-level properties by name."""
        properties: dict[str, Any] = load_schema(self.schema)["$defs"][
            self.settings_class.__name__
        ]["properties"]
        return properties


SETTINGS_KINDS = (
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


def load_settings(file: str, settings_class: type[Settings]) -> Settings:
    """Load and validate a settings file.

    :param file: path of the YAML file.
    :param settings_class: class to decode the file into.
    :raises BadSettingsError: if the file cannot be read or is not valid.
    """
    kind = next(
        kind for kind in SETTINGS_KINDS if kind.settings_class is settings_class
    )
    document = read_single_document(file)
    problems = find_settings_problems(document, kind)
    if problems:
        raise BadSettingsError("\n".join(map(document.format_problem, problems)))
    return msgspec.convert(document.data, settings_class)


def read_single_document(file: str) -> YamlDocument:
    """Read a YAML file that must hold exactly one document.

    :param file: path of the YAML file.
    :raises BadSettingsError: if the file cannot be read or does not hold exactly one
        document.
    """
    documents = read_documents(file, BadSettingsError)
    if len(documents) != 1:
        raise BadSettingsError(
            f"{file}: found {len(documents)} documents; allowed is one"
        )
    return documents[0]


def find_settings_problems(document: YamlDocument, kind: SettingsKind) -> list[Problem]:
    """Validate a settings document and return its problems.

    :param document: the document.
    :param kind: kind of settings file.
    """
    class_name = kind.settings_class.__name__
    problems = find_document_problems(
        document, get_class_schema(kind.schema, class_name)
    )
    if problems:
        return problems
    try:
        msgspec.convert(document.data, kind.settings_class)
    except msgspec.ValidationError as error:
        return [Problem((), f"found settings that are not allowed: {error}")]
    return []


def guess_kind(document: YamlDocument) -> SettingsKind:
    """Return the kind of settings file whose properties match a document best.

    :param document: the document.
    """
    names = set(document.data) if isinstance(document.data, dict) else set()
    return max(
        SETTINGS_KINDS, key=lambda kind: _score_match(names, set(kind.properties))
    )


def _score_match(names: set[str], known: set[str]) -> tuple[int, int]:
    return len(names & known) - len(names - known), -len(known)

"""Reading of configuration files and checks of each document by itself."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any, Literal

import attrs
import msgspec

from jasminewalk.exceptions import BadConfigurationError
from jasminewalk.operators.yaml_files import (
    Problem,
    YamlDocument,
    read_documents,
)
from jasminewalk.schemas import find_document_problems, get_class_schema

__all__ = [
    "ConfigurationDocument",
    "is_configuration",
    "read_configuration",
]

Kind = Literal["fleet", "template", "organisation"]

CLASS_BY_KIND = {
    "fleet": "Fleet",
    "template": "Template",
    "organisation": "OrganisationDocument",
}
HEADER_KEYS = ("kind", "name", "deleted")
NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
HEADER_SCHEMA = {
    "type": "object",
    "properties": {
        "kind": {"enum": list(CLASS_BY_KIND), "description": "kind of the document"},
        "name": {
            "type": "string",
            "pattern": NAME_PATTERN,
            "description": "a name of lower-case letters, digits, '.', '_' and '-'",
        },
        "deleted": {"type": "boolean"},
    },
    "required": ["kind", "name"],
}


@attrs.frozen(kw_only=True)
class ConfigurationDocument:
    """Document of a configuration file.

    :param kind: kind of the document.
    :param name: name of the fleet, template or organisation.
    :param body: the document without the keys of its header.
    :param deleted: whether to delete the subject.
    :param source: YAML document from which it was read.
    """

    kind: Kind
    name: str
    body: dict[str, Any]
    deleted: bool
    source: YamlDocument

    @property
    def subject(self) -> str:
        """Subject of the document on the log, as kind/name."""
        return f"{self.kind}/{self.name}"

    @property
    def text(self) -> str:
        """Body as compact JSON with sorted keys, so that equal bodies have equal text.

        Empty if the subject is to be deleted.
        """
        if self.deleted:
            return ""
        return msgspec.json.encode(self.body, order="sorted").decode()


def is_configuration(documents: Iterable[YamlDocument]) -> bool:
    """Return whether documents hold configuration rather than settings.

    Settings of a sidecar have a ``kind`` too, but also an ``endpoint_address``.

    :param documents: documents of a file.
    """
    return any(
        isinstance(document.data, dict)
        and "kind" in document.data
        and "endpoint_address" not in document.data
        for document in documents
    )


def list_configuration_paths(file: str) -> list[str]:
    """Return the paths of a configuration's files in the order of reading.

    :param file: path of a YAML file, or of a directory that is searched for YAML files
        recursively.
    """
    path = Path(file)
    if not path.is_dir():
        return [file]
    return sorted(str(child) for child in path.rglob("*.yaml"))


def read_configuration(file: str) -> list[ConfigurationDocument]:
    """Return the documents of a file or directory, fleet and templates first.

    :param file: path of a YAML file, or of a directory of YAML files.
    :raises BadConfigurationError: if a file cannot be read, if there is no document, or
        if a document does not match the schema or occurs twice.
    """
    sources = [
        document
        for path in list_configuration_paths(file)
        for document in read_documents(path, BadConfigurationError)
    ]
    if not sources:
        raise BadConfigurationError(
            f"{file}: found no documents; at least one is needed"
        )
    messages: list[str] = []
    documents: dict[str, ConfigurationDocument] = {}
    for source in sources:
        problems = find_header_problems(source) or find_body_problems(source)
        messages.extend(map(source.format_problem, problems))
        if problems:
            continue
        document = build_document(source)
        if document.subject in documents:
            problem = Problem(("name",), f"found {document.subject} a second time")
            messages.append(source.format_problem(problem))
        documents[document.subject] = document
    if messages:
        raise BadConfigurationError("\n".join(messages))
    order = list(CLASS_BY_KIND)
    return sorted(documents.values(), key=lambda document: order.index(document.kind))


def find_header_problems(source: YamlDocument) -> list[Problem]:
    """Return the problems in a document's header: ``kind``, ``name`` and ``deleted``.

    :param source: the document.
    """
    problems = find_document_problems(source, HEADER_SCHEMA)
    if problems:
        return problems
    is_fleet = source.data["kind"] == "fleet"
    if is_fleet and source.data["name"] != "default":
        text = f"found {source.data['name']!r}; allowed is default"
        return [Problem(("name",), text)]
    if is_fleet and source.data.get("deleted"):
        return [Problem(("deleted",), "found true; a fleet cannot be deleted")]
    return []


def find_body_problems(source: YamlDocument) -> list[Problem]:
    """Return the places where a document's body does not match the schema.

    :param source: the document.
    """
    if source.data.get("deleted"):
        return []
    class_name = CLASS_BY_KIND[source.data["kind"]]
    schema = get_class_schema("configuration", class_name)
    return find_document_problems(source, schema, extract_body(source))


def extract_body(source: YamlDocument) -> dict[str, Any]:
    """Return a document without the keys of its header.

    :param source: the document.
    """
    return {key: value for key, value in source.data.items() if key not in HEADER_KEYS}


def build_document(source: YamlDocument) -> ConfigurationDocument:
    """Return the configuration document built from a valid YAML document.

    :param source: the YAML document.
    """
    return ConfigurationDocument(
        kind=source.data["kind"],
        name=source.data["name"],
        body=extract_body(source),
        deleted=source.data.get("deleted", False),
        source=source,
    )

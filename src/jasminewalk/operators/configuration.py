"""Configuration in force, held in memory by each process that uses it."""

from collections import OrderedDict
from collections.abc import Iterator, Mapping

import msgspec
from absl import logging

from jasminewalk.decoding import DECODE_ERRORS
from jasminewalk.exceptions import BadConfigurationError
from jasminewalk.generated_configuration import (
    Fleet,
    Organisation,
    OrganisationDocument,
    Pool,
    Template,
)
from jasminewalk.operators.templates import find_template_problems, render_organisation
from jasminewalk.operators.yaml_files import format_path

__all__ = ["FLEET_SUBJECT", "ConfigurationView", "split_subject"]

FLEET_SUBJECT = "fleet/default"
ORGANISATION_PREFIX = "organisation/"
RENDERED_LIMIT = 2048

_fleet_decoder = msgspec.json.Decoder(Fleet)
_template_decoder = msgspec.json.Decoder(Template)
_organisation_decoder = msgspec.json.Decoder(OrganisationDocument)


def split_subject(subject: str) -> tuple[str, str]:
    """Split a subject into kind and name.

    >>> split_subject("organisation/hotel-norte")
    ('organisation', 'hotel-norte')

    :param subject: subject of a configuration record, as kind/name.
    """
    kind, _, name = subject.partition("/")
    return kind, name


class ConfigurationView:
    """Documents in force and the organisations rendered from them.

    Documents of organisations are stored as the compact JSON text in which they
    arrive. An organisation is rendered when it is first used, and the most recently
    used ones stay in a cache. A document that is not valid never replaces a valid one.

    :param rendered_limit: maximum number of rendered organisations in the cache.
    """

    def __init__(self, rendered_limit: int = RENDERED_LIMIT) -> None:
        self.revision = 0
        self.ignored_count = 0
        self.fleet = Fleet(pools={})
        self.templates: dict[str, Template] = {}
        self.documents: dict[str, str] = {}
        self.rendered: OrderedDict[str, Organisation] = OrderedDict()
        self.rendered_limit = rendered_limit

    @property
    def pools(self) -> Mapping[str, Pool]:
        """Pools of the fleet by name."""
        return self.fleet.pools

    def iterate_organisation_names(self) -> Iterator[str]:
        """Yield the names of all organisations."""
        for subject in self.documents:
            yield subject.removeprefix(ORGANISATION_PREFIX)

    def get_organisation(self, name: str) -> Organisation | None:
        """Return an organisation, or None if it does not exist or is not valid.

        :param name: organisation name.
        """
        cached = self.rendered.get(name)
        if cached is not None:
            self.rendered.move_to_end(name)
            return cached
        document = self.documents.get(ORGANISATION_PREFIX + name)
        if document is None:
            return None
        try:
            organisation = self.render(name, document)
        except BadConfigurationError as error:
            logging.log_every_n_seconds(
                logging.ERROR,
                "[configuration] Organisation is not valid. organisation=%s error=%s",
                10,
                name,
                error.detail,
            )
            return None
        self.rendered[name] = organisation
        if len(self.rendered) > self.rendered_limit:
            self.rendered.popitem(last=False)
        return organisation

    def render(self, name: str, document: str) -> Organisation:
        """Return the organisation rendered from a document and its template.

        :param name: organisation name.
        :param document: JSON text of the document.
        :raises BadConfigurationError: if the document is not valid.
        """
        try:
            decoded = _organisation_decoder.decode(document)
        except DECODE_ERRORS as error:
            raise BadConfigurationError(str(error)) from error
        return render_organisation(name, decoded, self.templates.get(decoded.template))

    def apply(
        self, subject: str, revision: int, document: str, deleted: bool = False
    ) -> bool:
        """Put an accepted document in force and return whether it was valid.

        A document that is not valid is logged and otherwise ignored.

        :param subject: subject of the record, as kind/name.
        :param revision: offset of the record.
        :param document: JSON text of the document.
        :param deleted: whether the record deletes the subject.
        """
        self.revision = max(self.revision, revision)
        kind, name = split_subject(subject)
        try:
            if kind == "organisation":
                self.apply_organisation(subject, name, document, deleted)
            elif kind == "template":
                self.apply_template(name, document, deleted)
            elif subject == FLEET_SUBJECT:
                self.apply_fleet(document, deleted)
            else:
                raise BadConfigurationError(f"found unknown subject {subject!r}")
        except (BadConfigurationError, *DECODE_ERRORS) as error:
            self.ignored_count += 1
            logging.error(
                "[configuration] Document ignored. subject=%s revision=%d error=%s",
                subject,
                revision,
                error,
            )
            return False
        return True

    def apply_organisation(
        self, subject: str, name: str, document: str, deleted: bool
    ) -> None:
        """Put the document of an organisation in force.

        A document that does not replace a valid one is rendered only when it is used,
        because its template may come later in a snapshot.

        :param subject: subject of the record, as kind/name.
        :param name: organisation name.
        :param document: JSON text of the document.
        :param deleted: whether the record deletes the organisation.
        :raises BadConfigurationError: if the document is not valid.
        """
        if deleted:
            self.documents.pop(subject, None)
            self.rendered.pop(name, None)
            return
        if subject in self.documents and self.get_organisation(name) is not None:
            self.rendered[name] = self.render(name, document)
        self.documents[subject] = document

    def apply_template(self, name: str, document: str, deleted: bool) -> None:
        """Put a template in force.

        :param name: template name.
        :param document: JSON text of the document.
        :param deleted: whether the record deletes the template.
        :raises BadConfigurationError: if the template is not valid.
        """
        if deleted:
            self.templates.pop(name, None)
        else:
            template = _template_decoder.decode(document)
            problems = find_template_problems(template)
            if problems:
                path = format_path(problems[0].path)
                raise BadConfigurationError(f"{path}: {problems[0].text}")
            self.templates[name] = template
        self.rendered.clear()

    def apply_fleet(self, document: str, deleted: bool) -> None:
        """Put the document of the fleet in force.

        :param document: JSON text of the document.
        :param deleted: whether the record deletes the fleet, which is not allowed.
        :raises BadConfigurationError: if the document is not valid.
        """
        if deleted:
            raise BadConfigurationError("The fleet cannot be deleted.")
        self.fleet = _fleet_decoder.decode(document)

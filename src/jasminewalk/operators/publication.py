"""Plan of the changes in a publication, and the outcome of each change."""

import difflib
import random
from collections.abc import Iterator

import attrs
import msgspec
import yaml

from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.fold_events import (
    FoldEvent,
    StateReplaced,
    SubjectChanged,
    SubjectRejected,
)
from jasminewalk.agreement.log_writer import generate_record_id
from jasminewalk.exceptions import ConfigurationConflictError
from jasminewalk.generated_records import ConfigurationRecord
from jasminewalk.operators.configuration import ConfigurationView, split_subject
from jasminewalk.operators.configuration_files import ConfigurationDocument

__all__ = [
    "ConfigurationChange",
    "Conflict",
    "Publication",
    "plan_changes",
    "build_view",
]


@attrs.frozen(kw_only=True)
class ConfigurationChange:
    """Change of one subject of the configuration.

    :param subject: subject that changes, as kind/name.
    :param base_revision: revision that the change is based on; 0 if there is none.
    :param before: JSON text of the document in force; empty if there is none.
    :param after: JSON text of the new document; empty to delete the subject.
    :param author: who published the revision in force.
    :param reason: why the revision in force was published.
    """

    subject: str
    base_revision: int
    before: str
    after: str
    author: str = ""
    reason: str = ""

    @property
    def deleted(self) -> bool:
        """Whether the change deletes the subject."""
        return not self.after

    @property
    def summary(self) -> str:
        """One-line description of the change."""
        if not self.before:
            return f"create {self.subject}"
        verb = "delete" if self.deleted else "change"
        author = f" by {self.author}" if self.author else ""
        reason = f": {self.reason}" if self.reason else ""
        return f"{verb} {self.subject} (revision {self.base_revision}{author}{reason})"

    def diff(self) -> str:
        """Return the change as a unified diff of the documents in YAML."""
        lines = difflib.unified_diff(
            render_yaml_lines(self.before),
            render_yaml_lines(self.after),
            f"{self.subject} in force",
            f"{self.subject} proposed",
            lineterm="",
        )
        return "\n".join(lines)


@attrs.frozen(kw_only=True)
class Conflict:
    """Change that is not based on the current revision of its subject.

    :param subject: subject of the change, as kind/name.
    :param base_revision: revision that the change was based on.
    :param current_revision: current revision; 0 if there is none.
    :param current_author: who published the current revision.
    :param current_reason: why the current revision was published.
    """

    subject: str
    base_revision: int
    current_revision: int
    current_author: str
    current_reason: str

    def __str__(self) -> str:
        author = self.current_author or "an unknown author"
        reason = f" ({self.current_reason})" if self.current_reason else ""
        return (
            f"{self.subject}: found revision {self.current_revision} by {author}"
            f"{reason}; this change was based on revision {self.base_revision}"
        )


def render_yaml_lines(document: str) -> list[str]:
    """Return the lines of a document in YAML.

    :param document: JSON text of the document; empty if there is none.
    """
    if not document:
        return []
    text: str = yaml.safe_dump(msgspec.json.decode(document), allow_unicode=True)
    return text.splitlines()


def build_view(fold: LogFold) -> ConfigurationView:
    """Return the configuration in force according to a fold.

    :param fold: state of the log, up to date with its tail.
    """
    view = ConfigurationView()
    for entry in fold.get_state().entries:
        if not entry.deleted:
            view.apply(entry.subject, entry.revision, entry.document)
    return view


def plan_changes(
    documents: list[ConfigurationDocument], fold: LogFold, base: int | None = None
) -> list[ConfigurationChange]:
    """Return the changes that put documents in force.

    A document that is already in force needs no change. Deletions come last, in
    reverse order, so that an organisation is deleted before its template.

    :param documents: documents to publish, fleet and templates first.
    :param fold: state of the log.
    :param base: last revision that the operator has seen; None for the log's tail.
    :raises ConfigurationConflictError: if a subject that the documents change has a
        revision after the base.
    """
    changes = []
    conflicts = []
    for document in documents:
        current = fold.get_subject(document.subject)
        before = current.document if current and not current.deleted else ""
        if before == document.text:
            continue
        revision = current.revision if current else 0
        if current and base is not None and revision > base:
            conflicts.append(build_conflict(document.subject, base, fold))
        change = ConfigurationChange(
            subject=document.subject,
            base_revision=revision,
            before=before,
            after=document.text,
            author=current.author if current else "",
            reason=current.reason if current else "",
        )
        changes.append(change)
    raise_conflicts(conflicts)
    updates = [change for change in changes if not change.deleted]
    deletions = [change for change in changes if change.deleted]
    return updates + deletions[::-1]


def build_conflict(subject: str, base_revision: int, fold: LogFold) -> Conflict:
    """Return the conflict between a change and the current revision of its subject.

    :param subject: subject of the change, as kind/name.
    :param base_revision: revision that the rejected change was based on.
    :param fold: state of the log.
    """
    current = fold.get_subject(subject)
    return Conflict(
        subject=subject,
        base_revision=base_revision,
        current_revision=current.revision if current else 0,
        current_author=current.author if current else "",
        current_reason=current.reason if current else "",
    )


def raise_conflicts(conflicts: list[Conflict]) -> None:
    """Raise an error that lists the conflicts, if there are any.

    :param conflicts: the conflicts.
    :raises ConfigurationConflictError: if there is at least one conflict.
    """
    if conflicts:
        raise ConfigurationConflictError("\n".join(map(str, conflicts)))


class Publication:
    """Changes that are being published, one kind of subject after the other.

    :param changes: changes in the order in which to publish them.
    :param fold: state of the log, kept up to date by the caller.
    :param author: who publishes the changes.
    :param reason: why the changes are published.
    :param rng: random source for record identifiers.
    """

    def __init__(
        self,
        changes: list[ConfigurationChange],
        *,
        fold: LogFold,
        author: str,
        reason: str,
        rng: random.Random,
    ) -> None:
        self.fold = fold
        self.author = author
        self.reason = reason
        self.rng = rng
        self.phases = list(split_into_phases(changes))
        self.pending: dict[str, ConfigurationChange] = {}
        self.accepted: dict[str, int] = {}
        self.conflicts: list[Conflict] = []

    @property
    def is_finished(self) -> bool:
        """Whether no change is left to append or to wait for."""
        return not self.pending and (not self.phases or bool(self.conflicts))

    @property
    def revision(self) -> int:
        """Highest revision of an accepted change; 0 if none was accepted."""
        return max(self.accepted.values(), default=0)

    def take_next_records(self) -> list[ConfigurationRecord]:
        """Return the records to append now.

        Records of one kind are returned only after all records of the previous kind
        were accepted, so that no reader sees an organisation before its template.
        """
        if self.pending or self.conflicts or not self.phases:
            return []
        records = [self.build_record(change) for change in self.phases[0]]
        self.pending = {
            record.record_id: change
            for record, change in zip(records, self.phases[0], strict=True)
        }
        del self.phases[0]
        return records

    def build_record(self, change: ConfigurationChange) -> ConfigurationRecord:
        """Return the log record for a change.

        :param change: the change.
        """
        return ConfigurationRecord(
            record_id=generate_record_id(self.rng),
            subject=change.subject,
            base_revision=change.base_revision,
            document=change.after,
            deleted=change.deleted,
            author=self.author,
            reason=self.reason,
        )

    def handle_event(self, event: FoldEvent) -> None:
        """Record the outcome of a pending change if an event shows it.

        :param event: event that resulted from a log record.
        """
        if isinstance(event, SubjectChanged):
            change = self.pending.pop(event.record_id, None)
            if change is not None:
                self.accepted[change.subject] = event.revision
        elif isinstance(event, SubjectRejected):
            change = self.pending.pop(event.record_id, None)
            if change is not None:
                self.record_rejection(change)
        elif isinstance(event, StateReplaced):
            self.record_accepted_changes()

    def record_rejection(self, change: ConfigurationChange) -> None:
        """Record a conflict for a change that was rejected.

        If the current document equals the document of the change, the change counts
        as accepted instead.

        :param change: the rejected change.
        """
        current = self.fold.get_subject(change.subject)
        if current and not current.deleted and current.document == change.after:
            self.accepted[change.subject] = current.revision
            return
        self.conflicts.append(
            build_conflict(change.subject, change.base_revision, self.fold)
        )

    def record_accepted_changes(self) -> None:
        """Record the pending changes that a state rebuilt from a snapshot contains."""
        for record_id, change in list(self.pending.items()):
            entry = self.fold.get_subject(change.subject)
            if entry is not None and entry.record_id == record_id:
                self.accepted[change.subject] = entry.revision
                del self.pending[record_id]


def split_into_phases(
    changes: list[ConfigurationChange],
) -> Iterator[list[ConfigurationChange]]:
    """Yield groups of consecutive changes that can be appended in any order.

    :param changes: all changes, in order.
    """
    phase: list[ConfigurationChange] = []
    for change in changes:
        if phase and get_phase_key(change) != get_phase_key(phase[0]):
            yield phase
            phase = []
        phase.append(change)
    if phase:
        yield phase


def get_phase_key(change: ConfigurationChange) -> tuple[bool, str]:
    """Return the key that all changes of a phase share.

    :param change: the change.
    """
    return change.deleted, split_subject(change.subject)[0]

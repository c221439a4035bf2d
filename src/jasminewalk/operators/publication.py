"""What a publication changes, and what became of each change."""

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

__all__ = ["Change", "Conflict", "Publication", "plan_changes", "build_view"]


@attrs.frozen(kw_only=True)
class Change:
    """One subject that a publication changes.

    :param subject: subject on the log.
    :param base_revision: revision that the change is based on; 0 for none.
    :param before: JSON text in force; empty for none.
    :param after: JSON text wanted; empty to delete the subject.
    :param author: who published the revision in force.
    :param reason: why it was published.
    """

    subject: str
    base_revision: int
    before: str
    after: str
    author: str = ""
    reason: str = ""

    @property
    def deleted(self) -> bool:
        """Whether the subject is removed."""
        return not self.after

    @property
    def summary(self) -> str:
        """What happens to the subject, in a few words."""
        if not self.before:
            return f"create {self.subject}"
        verb = "delete" if self.deleted else "change"
        author = f" by {self.author}" if self.author else ""
        reason = f": {self.reason}" if self.reason else ""
        return f"{verb} {self.subject} (revision {self.base_revision}{author}{reason})"

    def diff(self) -> str:
        """Return the change as a unified diff of YAML."""
        lines = difflib.unified_diff(
            render_yaml_lines(self.before),
            render_yaml_lines(self.after),
            f"{self.subject} in force",
            f"{self.subject} wanted",
            lineterm="",
        )
        return "\n".join(lines)


@attrs.frozen(kw_only=True)
class Conflict:
    """A change that lost against another one.

    :param subject: subject on the log.
    :param base_revision: revision that the change was based on.
    :param current_revision: revision in force; 0 if the subject was deleted.
    :param current_author: who published it.
    :param current_reason: why it was published.
    """

    subject: str
    base_revision: int
    current_revision: int
    current_author: str
    current_reason: str

    def __str__(self) -> str:
        author = self.current_author or "somebody"
        reason = f" ({self.current_reason})" if self.current_reason else ""
        return (
            f"{self.subject}: found revision {self.current_revision} by {author}"
            f"{reason}; this change was based on revision {self.base_revision}"
        )


def render_yaml_lines(document: str) -> list[str]:
    """Return a document as lines of YAML.

    :param document: JSON text; empty for none.
    """
    if not document:
        return []
    text: str = yaml.safe_dump(msgspec.json.decode(document), allow_unicode=True)
    return text.splitlines()


def build_view(fold: LogFold) -> ConfigurationView:
    """Return the configuration in force at the end of a fold.

    :param fold: the fold, ready.
    """
    view = ConfigurationView()
    for entry in fold.get_state().entries:
        if not entry.deleted:
            view.apply(entry.subject, entry.revision, entry.document)
    return view


def plan_changes(
    documents: list[ConfigurationDocument], fold: LogFold, base: int | None = None
) -> list[Change]:
    """Return what has to change for documents to be in force.

    :param documents: documents wanted, fleet and templates first.
    :param fold: state of the log.
    :param base: last revision that the operator has seen; nothing for the tail.
    :raises ConfigurationConflictError: if a subject was changed after the base.
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
        change = Change(
            subject=document.subject,
            base_revision=revision,
            before=before,
            after=document.text,
            author=current.author if current else "",
            reason=current.reason if current else "",
        )
        changes.append(change)
    raise_conflicts(conflicts)
    kept = [change for change in changes if not change.deleted]
    deletions = [change for change in changes if change.deleted]
    return kept + deletions[::-1]


def build_conflict(subject: str, base_revision: int, fold: LogFold) -> Conflict:
    """Return the conflict with the revision of a subject in force.

    :param subject: subject on the log.
    :param base_revision: revision that the losing change was based on.
    :param fold: state of the log.
    """
    winner = fold.get_subject(subject)
    return Conflict(
        subject=subject,
        base_revision=base_revision,
        current_revision=winner.revision if winner else 0,
        current_author=winner.author if winner else "",
        current_reason=winner.reason if winner else "",
    )


def raise_conflicts(conflicts: list[Conflict]) -> None:
    """Raise an error that names the winners, if there are any conflicts.

    :param conflicts: changes that lost.
    :raises ConfigurationConflictError: if there are any.
    """
    if conflicts:
        raise ConfigurationConflictError("\n".join(map(str, conflicts)))


class Publication:
    """Changes on their way to the log, one kind of subject after the other.

    :param changes: what to change, in order.
    :param fold: state of the log, kept up to date by the caller.
    :param author: who publishes.
    :param reason: why.
    :param rng: random source for record identifiers.
    """

    def __init__(
        self,
        changes: list[Change],
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
        self.pending: dict[str, Change] = {}
        self.accepted: dict[str, int] = {}
        self.conflicts: list[Conflict] = []

    @property
    def is_finished(self) -> bool:
        """Whether nothing is left to append or to wait for."""
        return not self.pending and (not self.phases or bool(self.conflicts))

    @property
    def revision(self) -> int:
        """Highest offset of an accepted change; 0 for none."""
        return max(self.accepted.values(), default=0)

    def take_next_records(self) -> list[ConfigurationRecord]:
        """Return the records to append now.

        Records of one kind are only returned once all of the kind before are in
        force, so that no reader meets an organisation before its template.
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

    def build_record(self, change: Change) -> ConfigurationRecord:
        """Return the record that proposes a change.

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
        """Note what became of a change.

        :param event: what a log record changed.
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
            self.find_accepted_changes()

    def record_rejection(self, change: Change) -> None:
        """Note a change that lost; a winner with the same document is no loss.

        :param change: the change.
        """
        winner = self.fold.get_subject(change.subject)
        if winner and not winner.deleted and winner.document == change.after:
            self.accepted[change.subject] = winner.revision
            return
        self.conflicts.append(
            build_conflict(change.subject, change.base_revision, self.fold)
        )

    def find_accepted_changes(self) -> None:
        """Find the pending changes in a state that a snapshot replaced."""
        for record_id, change in list(self.pending.items()):
            entry = self.fold.get_subject(change.subject)
            if entry is not None and entry.record_id == record_id:
                self.accepted[change.subject] = entry.revision
                del self.pending[record_id]


def split_into_phases(changes: list[Change]) -> Iterator[list[Change]]:
    """Yield runs of changes that can be appended in any order.

    :param changes: all changes, in order.
    """
    run: list[Change] = []
    for change in changes:
        if run and get_phase_key(change) != get_phase_key(run[0]):
            yield run
            run = []
        run.append(change)
    if run:
        yield run


def get_phase_key(change: Change) -> tuple[bool, str]:
    """Return what changes of one run have in common.

    :param change: the change.
    """
    return change.deleted, split_subject(change.subject)[0]

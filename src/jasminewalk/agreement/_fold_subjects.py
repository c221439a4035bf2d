"""Subjects of the configuration, changed by compare-and-set."""

from collections.abc import Iterable

from jasminewalk.agreement.fold_events import FoldEvent, SubjectChanged, SubjectRejected
from jasminewalk.generated_records import ConfigurationRecord, SnapshotEntry

__all__ = ["SubjectTable"]

MAX_DELETED_SUBJECTS = 10_000


class SubjectTable:
    """Configuration documents by subject.

    A removed subject keeps its revision, so that a late record cannot restore it.
    """

    def __init__(self) -> None:
        self.entry_by_subject: dict[str, SnapshotEntry] = {}
        self.deleted_subjects: dict[str, None] = {}

    def apply(self, offset: int, record: ConfigurationRecord) -> list[FoldEvent]:
        """Fold one proposed change.

        :param offset: offset of the record.
        :param record: the record.
        """
        current = self.entry_by_subject.get(record.subject)
        if current is not None and current.record_id == record.record_id:
            return []
        revision = current.revision if current else 0
        if record.base_revision != revision:
            return [
                SubjectRejected(
                    record_id=record.record_id,
                    subject=record.subject,
                    current_revision=revision,
                    current_author=current.author if current else "",
                )
            ]
        entry = SnapshotEntry(
            subject=record.subject,
            revision=offset,
            document="" if record.deleted else record.document,
            record_id=record.record_id,
            deleted=record.deleted,
            author=record.author,
            reason=record.reason,
        )
        self.put(entry)
        return [build_change_event(entry)]

    def put(self, entry: SnapshotEntry) -> None:
        """Store the entry of a subject.

        :param entry: the entry.
        """
        self.entry_by_subject[entry.subject] = entry
        self.deleted_subjects.pop(entry.subject, None)
        if not entry.deleted:
            return
        self.deleted_subjects[entry.subject] = None
        if len(self.deleted_subjects) > MAX_DELETED_SUBJECTS:
            oldest = next(iter(self.deleted_subjects))
            del self.deleted_subjects[oldest]
            del self.entry_by_subject[oldest]

    def list_entries(self) -> list[SnapshotEntry]:
        """Return all entries, the removed ones last in order of removal."""
        live = [entry for entry in self.entry_by_subject.values() if not entry.deleted]
        return live + [
            self.entry_by_subject[subject] for subject in self.deleted_subjects
        ]

    def replace(self, entries: Iterable[SnapshotEntry]) -> list[FoldEvent]:
        """Take over the entries of a snapshot and return what changed.

        :param entries: entries of the snapshot.
        """
        old = self.entry_by_subject
        self.entry_by_subject = {}
        self.deleted_subjects = {}
        events: list[FoldEvent] = []
        for entry in entries:
            self.put(entry)
            previous = old.pop(entry.subject, None)
            if previous is None or previous.revision != entry.revision:
                events.append(build_change_event(entry))
        events.extend(
            build_removal_event(entry) for entry in old.values() if not entry.deleted
        )
        return events


def build_change_event(entry: SnapshotEntry) -> SubjectChanged:
    """Return the event for an entry that is now in force.

    :param entry: the entry.
    """
    return SubjectChanged(
        subject=entry.subject,
        revision=entry.revision,
        document=entry.document,
        deleted=entry.deleted,
        record_id=entry.record_id,
        reason=entry.reason,
    )


def build_removal_event(entry: SnapshotEntry) -> SubjectChanged:
    """Return the event for an entry that a snapshot no longer holds.

    :param entry: the entry that was in force.
    """
    return SubjectChanged(
        subject=entry.subject,
        revision=entry.revision,
        document="",
        deleted=True,
        record_id="",
        reason="",
    )

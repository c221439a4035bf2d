"""Subjects of the configuration, which change by compare-and-set."""

from collections.abc import Iterable

from jasminewalk.agreement.fold_events import FoldEvent, SubjectChanged, SubjectRejected
from jasminewalk.generated_records import ConfigurationRecord, SnapshotEntry

__all__ = ["SubjectTable"]

MAX_DELETED_SUBJECTS = 10_000


class SubjectTable:
    """Configuration documents by subject.

    A deleted subject keeps its entry and revision, so that a record that arrives
    late cannot restore it.
    """

    def __init__(self) -> None:
        self.entry_by_subject: dict[str, SnapshotEntry] = {}
        self.deleted_subjects: dict[str, None] = {}

    def apply(self, offset: int, record: ConfigurationRecord) -> list[FoldEvent]:
        """Apply a proposed change if it is based on the current revision.

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
        """Store the entry of a subject and drop the oldest surplus deleted one.

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
        """Return all entries, deleted ones last in the order of their deletion."""
        live = [entry for entry in self.entry_by_subject.values() if not entry.deleted]
        return live + [
            self.entry_by_subject[subject] for subject in self.deleted_subjects
        ]

    def replace(self, entries: Iterable[SnapshotEntry]) -> list[FoldEvent]:
        """Replace all entries with those of a snapshot and return what changed.

        :param entries: entries of the snapshot.
        """
        previous_entries = self.entry_by_subject
        self.entry_by_subject = {}
        self.deleted_subjects = {}
        events: list[FoldEvent] = []
        for entry in entries:
            self.put(entry)
            previous = previous_entries.pop(entry.subject, None)
            if previous is None or previous.revision != entry.revision:
                events.append(build_change_event(entry))
        events.extend(
            build_removal_event(entry)
            for entry in previous_entries.values()
            if not entry.deleted
        )
        return events


def build_change_event(entry: SnapshotEntry) -> SubjectChanged:
    """Return the event for a new current entry.

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
    """Return the event for an entry that is missing from a snapshot.

    :param entry: the entry before the snapshot.
    """
    return SubjectChanged(
        subject=entry.subject,
        revision=entry.revision,
        document="",
        deleted=True,
        record_id="",
        reason="",
    )

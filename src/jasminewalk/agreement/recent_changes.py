"""Readable descriptions of the accepted changes on the log."""

from collections.abc import Iterable

import attrs

from jasminewalk.agreement.fold_events import (
    GrantAccepted,
    GrantEnded,
    RegistrationAccepted,
    SubjectChanged,
)
from jasminewalk.agreement.log_reader import AppliedRecord
from jasminewalk.generated_records import GrantRecord

__all__ = ["RecentChange", "list_recent_changes"]


@attrs.frozen(kw_only=True)
class RecentChange:
    """An accepted change, as shown to operators.

    :param revision: offset of the record.
    :param subject: subject of the configuration or endpoint that changed.
    :param change: text that says how it changed.
    :param author: who made the change; empty if unknown.
    :param reason: why it was made; empty if unknown.
    """

    revision: int
    subject: str
    change: str
    author: str = ""
    reason: str = ""


def list_recent_changes(
    records: Iterable[AppliedRecord], limit: int
) -> list[RecentChange]:
    """Return the latest changes of the configuration and of endpoints, newest first.

    :param records: records of the log in order, with their events.
    :param limit: maximum number of changes to return.
    """
    changes = [
        change
        for applied in records
        for event in applied.events
        if (change := build_change(applied, event)) is not None
    ]
    return changes[::-1][:limit]


def build_change(applied: AppliedRecord, event: object) -> RecentChange | None:
    """Return the change that an event describes, or ``None`` if it is not shown.

    :param applied: the record.
    :param event: event that resulted from the record.
    """
    record = applied.record
    match event:
        case SubjectChanged():
            return RecentChange(
                revision=event.revision,
                subject=event.subject,
                change="deleted" if event.deleted else "published",
                author=getattr(record, "author", ""),
                reason=event.reason,
            )
        case GrantAccepted() if isinstance(record, GrantRecord):
            return RecentChange(
                revision=event.grant,
                subject=record.endpoint,
                change=f"ordered role={record.role}",
                author=record.incarnation,
                reason=record.reason,
            )
        case GrantEnded():
            return RecentChange(
                revision=applied.offset,
                subject=event.endpoint,
                change=f"order {event.outcome} role={event.role}",
            )
        case RegistrationAccepted():
            return RecentChange(
                revision=event.offset,
                subject=event.endpoint,
                change="left" if event.left else "registered",
                author=event.incarnation,
            )
    return None

"""Events that result from applying a record of the log."""

from typing import Literal

import attrs

from jasminewalk.generated_records import ClaimEntry, EndpointEntry

__all__ = [
    "ClaimAccepted",
    "ClaimRejected",
    "ClaimEnded",
    "ClaimRejection",
    "FoldEvent",
    "GrantAccepted",
    "GrantEnded",
    "GrantRejected",
    "GrantRejection",
    "RecordIgnored",
    "RegistrationAccepted",
    "RegistrationRejected",
    "SnapshotCompleted",
    "StateReplaced",
    "SubjectChanged",
    "SubjectRejected",
]

GrantRejection = Literal[
    "not_registered", "grant_open", "base_grant", "pool_revision", "minimum"
]
ClaimRejection = Literal["held", "ended", "key_reused", "key_expired", "not_registered"]


@attrs.frozen(kw_only=True)
class SubjectChanged:
    """A change of the configuration was accepted.

    :param subject: subject that changed, as kind/name.
    :param revision: offset of the record.
    :param document: JSON text of the new document.
    :param deleted: whether the subject was deleted.
    :param record_id: identifier of the record.
    :param reason: why it was published.
    """

    subject: str
    revision: int
    document: str
    deleted: bool
    record_id: str
    reason: str


@attrs.frozen(kw_only=True)
class SubjectRejected:
    """A change of the configuration was not based on the current revision.

    :param record_id: identifier of the rejected record.
    :param subject: subject that the record would have changed.
    :param current_revision: current revision; 0 if there is none.
    :param current_author: who published the current revision.
    """

    record_id: str
    subject: str
    current_revision: int
    current_author: str


@attrs.frozen(kw_only=True)
class RegistrationAccepted:
    """A sidecar process became the only writer for its endpoint.

    :param record_id: identifier of the record.
    :param endpoint: endpoint name.
    :param incarnation: identifier of the process.
    :param offset: offset of the record.
    :param left: whether the endpoint left the pool.
    """

    record_id: str
    endpoint: str
    incarnation: str
    offset: int
    left: bool


@attrs.frozen(kw_only=True)
class RegistrationRejected:
    """A registration was not based on the current one.

    :param record_id: identifier of the rejected record.
    :param endpoint: endpoint name.
    :param current_registration: offset of the current registration; 0 for none.
    """

    record_id: str
    endpoint: str
    current_registration: int


@attrs.frozen(kw_only=True)
class GrantAccepted:
    """A grant was accepted, which allows its holder to make one change.

    :param record_id: identifier of the record.
    :param grant: offset of the record, which is also the fencing number.
    :param state: the endpoint with its new grant.
    """

    record_id: str
    grant: int
    state: EndpointEntry


@attrs.frozen(kw_only=True)
class GrantRejected:
    """A proposed change of an endpoint was rejected.

    :param record_id: identifier of the rejected record.
    :param endpoint: endpoint name.
    :param rejection: which check failed.
    :param current_grant: offset of the last grant of the endpoint; 0 for none.
    """

    record_id: str
    endpoint: str
    rejection: GrantRejection
    current_grant: int


@attrs.frozen(kw_only=True)
class GrantEnded:
    """A grant ended.

    :param endpoint: endpoint name.
    :param grant: offset of the grant.
    :param outcome: how the change ended.
    :param role: role of the endpoint afterwards.
    """

    endpoint: str
    grant: int
    outcome: Literal["done", "abandoned"]
    role: Literal["mixed", "prefill", "decode"]


@attrs.frozen(kw_only=True)
class ClaimAccepted:
    """A claim was accepted.

    :param record_id: identifier of the record with the claim.
    :param claim: the claim.
    """

    record_id: str
    claim: ClaimEntry


@attrs.frozen(kw_only=True)
class ClaimRejected:
    """A claim was rejected.

    :param record_id: identifier of the record with the claim.
    :param key: key of the claim.
    :param request_id: identifier of the rejected request.
    :param rejection: why it was rejected.
    :param current_claim: the claim that holds the key, or ``None``.
    """

    record_id: str
    key: str
    request_id: str
    rejection: ClaimRejection
    current_claim: ClaimEntry | None = None


@attrs.frozen(kw_only=True)
class ClaimEnded:
    """A claim ended.

    :param claim: the claim, including its outcome.
    """

    claim: ClaimEntry


@attrs.frozen(kw_only=True)
class SnapshotCompleted:
    """All chunks of a snapshot were read.

    :param covers: offset of the last record that the snapshot includes.
    :param offset: offset of the last chunk.
    """

    covers: int
    offset: int


@attrs.frozen(kw_only=True)
class StateReplaced:
    """The state was replaced with a snapshot; continue from ``next_offset``.

    :param covers: offset of the last record that the snapshot includes.
    """

    covers: int


@attrs.frozen(kw_only=True)
class RecordIgnored:
    """A record could not be decoded or has an unknown type, and was skipped.

    :param offset: offset of the record.
    :param reason: why it was skipped.
    """

    offset: int
    reason: str


FoldEvent = (
    SubjectChanged
    | SubjectRejected
    | RegistrationAccepted
    | RegistrationRejected
    | GrantAccepted
    | GrantRejected
    | GrantEnded
    | ClaimAccepted
    | ClaimRejected
    | ClaimEnded
    | SnapshotCompleted
    | StateReplaced
    | RecordIgnored
)

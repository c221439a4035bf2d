"""Endpoints with their registered sidecars, their grants and their pools' roles."""

from collections.abc import Iterable, Sequence

import attrs
import msgspec

from jasminewalk.agreement.fold_events import (
    FoldEvent,
    GrantAccepted,
    GrantEnded,
    GrantRejected,
    GrantRejection,
    RegistrationAccepted,
    RegistrationRejected,
)
from jasminewalk.decoding import DECODE_ERRORS
from jasminewalk.generated_configuration import Fleet, Pool
from jasminewalk.generated_records import (
    EndpointEntry,
    GrantOutcomeRecord,
    GrantRecord,
    PoolEntry,
    RegistrationRecord,
)

__all__ = ["EndpointTable"]

FLEET_SUBJECT = "fleet/default"
PREFILL_ROLES = frozenset({"mixed", "prefill"})
DECODE_ROLES = frozenset({"mixed", "decode"})


class EndpointTable:
    """Endpoints with their registered sidecar and their last grant.

    A grant allows one sidecar process to make one change of its endpoint.
    """

    def __init__(self) -> None:
        self.entry_by_endpoint: dict[str, EndpointEntry] = {}
        self.endpoints_by_pool: dict[str, dict[str, None]] = {}
        self.revision_by_pool: dict[str, int] = {}
        self.pools: dict[str, Pool] = {}

    def apply_fleet(self, document: str) -> None:
        """Update the pools' minimum endpoint counts from the fleet's configuration.

        :param document: JSON text of the fleet; ignored if it cannot be decoded.
        """
        try:
            fleet = msgspec.json.decode(document or "{}", type=Fleet)
        except DECODE_ERRORS:
            return
        self.pools = fleet.pools

    def apply_registration(
        self, offset: int, record: RegistrationRecord
    ) -> list[FoldEvent]:
        """Apply a registration if it is based on the current one.

        :param offset: offset of the record.
        :param record: the record.
        """
        current = self.entry_by_endpoint.get(record.endpoint)
        if current is not None and current.registration_id == record.record_id:
            return []
        base = current.registration if current else 0
        if record.base_registration != base:
            return [
                RegistrationRejected(
                    record_id=record.record_id,
                    endpoint=record.endpoint,
                    current_registration=base,
                )
            ]
        self.put(build_registered_entry(current, offset, record))
        return [
            RegistrationAccepted(
                record_id=record.record_id,
                endpoint=record.endpoint,
                incarnation=record.incarnation,
                offset=offset,
                left=record.left,
            )
        ]

    def apply_grant(self, offset: int, record: GrantRecord) -> list[FoldEvent]:
        """Apply a proposed change, which becomes a grant unless it is rejected.

        :param offset: offset of the record.
        :param record: the record.
        """
        current = self.entry_by_endpoint.get(record.endpoint)
        if current is not None and current.grant_id == record.record_id:
            return []
        rejection = self.find_rejection(current, record)
        if current is None or rejection is not None:
            return [
                GrantRejected(
                    record_id=record.record_id,
                    endpoint=record.endpoint,
                    rejection=rejection or "not_registered",
                    current_grant=current.grant if current else 0,
                )
            ]
        entry = attrs.evolve(
            current,
            grant=offset,
            grant_id=record.record_id,
            grant_holder=record.incarnation,
            open=True,
            wanted_role=record.role,
            wanted_models=record.models,
            wanted_version=record.version,
            lifetime_s=record.lifetime_s,
        )
        self.put(entry)
        if record.role != current.role:
            self.revision_by_pool[current.pool] = offset
        return [GrantAccepted(record_id=record.record_id, grant=offset, state=entry)]

    def find_rejection(
        self, current: EndpointEntry | None, record: GrantRecord
    ) -> GrantRejection | None:
        """Return which check a proposed change fails, or ``None`` if it passes all.

        :param current: current entry of the endpoint, or ``None``.
        :param record: the proposed change.
        """
        if current is None or current.incarnation != record.incarnation:
            return "not_registered"
        if current.left or current.pool != record.pool:
            return "not_registered"
        if record.base_grant != current.grant:
            return "base_grant"
        if current.open and current.grant_holder == record.incarnation:
            return "grant_open"
        if record.role == current.role:
            return None if self.can_be_unavailable(current) else "minimum"
        if record.base_pool_revision != self.get_pool_revision(current.pool):
            return "pool_revision"
        return None if self.keeps_minimum(current) else "minimum"

    def keeps_minimum(
        self, current: EndpointEntry, count_changing: bool = False
    ) -> bool:
        """Return whether the pool keeps its minimum while an endpoint is unavailable.

        :param current: entry of the endpoint that is to change.
        :param count_changing: whether endpoints with an open grant count as available.
        """
        pool = self.pools.get(current.pool)
        if pool is None:
            return True
        others = [
            entry.role
            for entry in self.list_members(current.pool)
            if entry.endpoint != current.endpoint
            and entry.endpoint not in pool.withdrawn
            and (count_changing or not entry.open)
        ]
        return meets_minimum(
            current.role, others, PREFILL_ROLES, pool.min_prefill
        ) and meets_minimum(current.role, others, DECODE_ROLES, pool.min_decode)

    def can_be_unavailable(self, current: EndpointEntry) -> bool:
        """Return whether an endpoint may make a change that keeps its role.

        The endpoint must wait while others are changing if the pool would fall
        below its minimum. A pool that is too small even without other changes
        does not block the endpoint, because waiting would not help.

        :param current: entry of the endpoint that is to change.
        """
        if self.keeps_minimum(current):
            return True
        return not self.keeps_minimum(current, count_changing=True)

    def apply_outcome(self, record: GrantOutcomeRecord) -> list[FoldEvent]:
        """Apply the outcome of a grant; any grant but the open one is skipped.

        :param record: the record.
        """
        current = self.entry_by_endpoint.get(record.endpoint)
        if current is None or not current.open or current.grant != record.grant:
            return []
        self.put(attrs.evolve(current, open=False, role=record.role))
        return [
            GrantEnded(
                endpoint=record.endpoint,
                grant=record.grant,
                outcome=record.outcome,
                role=record.role,
            )
        ]

    def put(self, entry: EndpointEntry) -> None:
        """Store the entry of an endpoint and update the members of its pool.

        :param entry: the entry.
        """
        previous = self.entry_by_endpoint.get(entry.endpoint)
        if previous is not None and previous.pool != entry.pool:
            self.endpoints_by_pool[previous.pool].pop(entry.endpoint, None)
        self.entry_by_endpoint[entry.endpoint] = entry
        self.endpoints_by_pool.setdefault(entry.pool, {})[entry.endpoint] = None

    def list_members(self, pool: str) -> list[EndpointEntry]:
        """Return the registered endpoints of a pool that have not left.

        :param pool: pool name.
        """
        entries = (
            self.entry_by_endpoint[name]
            for name in self.endpoints_by_pool.get(pool, ())
        )
        return [entry for entry in entries if not entry.left]

    def get_pool_revision(self, pool: str) -> int:
        """Return the offset of the last accepted role change of a pool; 0 for none.

        :param pool: pool name.
        """
        return self.revision_by_pool.get(pool, 0)

    def build_pool_entries(self) -> list[PoolEntry]:
        """Return the entries of the pools for a snapshot."""
        return [
            PoolEntry(pool=pool, revision=revision)
            for pool, revision in self.revision_by_pool.items()
        ]

    def replace(
        self, endpoints: Iterable[EndpointEntry], pools: Iterable[PoolEntry]
    ) -> None:
        """Replace all endpoints and pool revisions with those of a snapshot.

        :param endpoints: endpoints of the snapshot.
        :param pools: pools of the snapshot.
        """
        self.entry_by_endpoint = {}
        self.endpoints_by_pool = {}
        for entry in endpoints:
            self.put(entry)
        self.revision_by_pool = {entry.pool: entry.revision for entry in pools}


def build_registered_entry(
    current: EndpointEntry | None, offset: int, record: RegistrationRecord
) -> EndpointEntry:
    """Return the entry of an endpoint after a registration, with its grant kept.

    :param current: entry before the registration, or ``None``.
    :param offset: offset of the record.
    :param record: the registration.
    """
    base = current or EndpointEntry(
        endpoint=record.endpoint,
        pool=record.pool,
        incarnation=record.incarnation,
        registration=offset,
    )
    return attrs.evolve(
        base,
        pool=record.pool,
        incarnation=record.incarnation,
        registration=offset,
        registration_id=record.record_id,
        role=record.role,
        left=record.left,
    )


def meets_minimum(
    role: str, others: Sequence[str], capable_roles: frozenset[str], minimum: int
) -> bool:
    """Return whether enough other endpoints can do the work of one endpoint.

    :param role: role of the endpoint that is to change.
    :param others: roles of the other endpoints.
    :param capable_roles: roles that can do the work.
    :param minimum: minimum number of other endpoints with such a role.
    """
    if role not in capable_roles:
        return True
    return sum(other in capable_roles for other in others) >= minimum

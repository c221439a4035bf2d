"""Claims on the keys of non-idempotent requests, and their outcomes."""

from collections.abc import Iterable

import attrs
import xxhash

from jasminewalk.agreement.fold_events import (
    ClaimAccepted,
    ClaimEnded,
    ClaimRejected,
    ClaimRejection,
    FoldEvent,
)
from jasminewalk.generated_records import (
    Claim,
    ClaimBatchRecord,
    ClaimEntry,
    ClaimOutcome,
    OutcomeBatchRecord,
)

__all__ = ["ClaimTable", "hash_key"]

MAX_CLAIMS = 50_000
MAX_BODY_BYTES = 16 << 20
MAX_EXPIRED_KEYS = 200_000


def hash_key(key: str) -> int:
    """Return the hash that is kept for an expired key.

    :param key: key of a claim.
    """
    return xxhash.xxh3_64_intdigest(key.encode())


class ClaimTable:
    """Claims by key, in order of their offsets.

    Old claims expire by number of claims and of body bytes rather than by age, so
    that every reader of the same records drops the same keys at the same offset.

    :param max_claims: maximum number of claims kept with their outcomes.
    :param max_body_bytes: maximum total size in bytes of the response bodies kept.
    :param max_expired_keys: maximum number of hashes of expired keys kept.
    """

    def __init__(
        self,
        max_claims: int = MAX_CLAIMS,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_expired_keys: int = MAX_EXPIRED_KEYS,
    ) -> None:
        self.max_claims = max_claims
        self.max_body_bytes = max_body_bytes
        self.max_expired_keys = max_expired_keys
        self.claim_by_key: dict[str, ClaimEntry] = {}
        self.expired_key_hashes: dict[int, None] = {}
        self.open_by_endpoint: dict[str, dict[str, None]] = {}
        self.body_bytes = 0

    def get(self, key: str) -> ClaimEntry | None:
        """Return the claim of a key, or ``None`` if there is none or it has expired.

        :param key: key of the claim.
        """
        return self.claim_by_key.get(key)

    def list_open_keys(self, endpoint: str) -> Iterable[str]:
        """Return the keys of an endpoint's open claims.

        :param endpoint: endpoint name.
        """
        return self.open_by_endpoint.get(endpoint, {})

    def is_expired(self, key: str) -> bool:
        """Return whether a key belongs to a claim that has expired.

        :param key: key of the claim.
        """
        return key not in self.claim_by_key and hash_key(key) in self.expired_key_hashes

    def apply_claims(
        self, offset: int, record: ClaimBatchRecord, is_registered: bool
    ) -> list[FoldEvent]:
        """Apply a batch of claims.

        :param offset: offset of the record.
        :param record: the record.
        :param is_registered: whether the claimant is the registered sidecar.
        """
        events: list[FoldEvent] = []
        for claim in record.claims:
            events.extend(self.apply_claim(offset, record, claim, is_registered))
        self.expire_oldest()
        return events

    def apply_claim(
        self, offset: int, record: ClaimBatchRecord, claim: Claim, is_registered: bool
    ) -> list[FoldEvent]:
        """Apply one claim of a batch.

        :param offset: offset of the record.
        :param record: the record.
        :param claim: the claim.
        :param is_registered: whether the claimant is the registered sidecar.
        """
        current = self.claim_by_key.get(claim.key)
        if current is not None and current.record_id == record.record_id:
            return []
        rejection = self.find_rejection(current, claim, is_registered)
        if rejection is not None:
            return [
                ClaimRejected(
                    record_id=record.record_id,
                    key=claim.key,
                    request_id=claim.request_id,
                    rejection=rejection,
                    current_claim=current,
                )
            ]
        entry = ClaimEntry(
            key=claim.key,
            claim=offset,
            record_id=record.record_id,
            endpoint=record.endpoint,
            incarnation=record.incarnation,
            fingerprint=claim.fingerprint,
            request_id=claim.request_id,
        )
        self.claim_by_key.pop(claim.key, None)
        self.put(entry)
        return [ClaimAccepted(record_id=record.record_id, claim=entry)]

    def find_rejection(
        self, current: ClaimEntry | None, claim: Claim, is_registered: bool
    ) -> ClaimRejection | None:
        """Return why a claim is rejected, or ``None`` if it is accepted.

        :param current: the claim that holds the key, or ``None``.
        :param claim: the new claim.
        :param is_registered: whether the claimant is the registered sidecar.
        """
        if not is_registered:
            return "not_registered"
        if current is None:
            return "key_expired" if self.is_expired(claim.key) else None
        if current.fingerprint != claim.fingerprint:
            return "key_reused"
        if current.outcome == "not_run":
            return None
        return "ended" if current.outcome else "held"

    def apply_outcomes(self, record: OutcomeBatchRecord) -> list[FoldEvent]:
        """Apply a batch of outcomes; only its claimant can end an open claim.

        :param record: the record.
        """
        events: list[FoldEvent] = []
        for outcome in record.outcomes:
            current = self.claim_by_key.get(outcome.key)
            if current is None or current.outcome or current.claim != outcome.claim:
                continue
            claimant = (current.endpoint, current.incarnation)
            if claimant == (record.endpoint, record.incarnation):
                events.append(self.store_outcome(current, outcome))
        self.expire_oldest()
        return events

    def store_outcome(self, current: ClaimEntry, outcome: ClaimOutcome) -> ClaimEnded:
        """Store the outcome of an open claim.

        :param current: the open claim.
        :param outcome: its outcome.
        """
        entry = attrs.evolve(
            current,
            outcome=outcome.outcome,
            status=outcome.status,
            headers=outcome.headers,
            body=outcome.body,
            whole=outcome.whole,
        )
        self.put(entry)
        return ClaimEnded(claim=entry)

    def end_superseded_claims(self, endpoint: str, incarnation: str) -> list[FoldEvent]:
        """End the open claims of an endpoint's earlier sidecars as ``unknown``.

        :param endpoint: endpoint name.
        :param incarnation: identifier of the newly registered process.
        """
        events: list[FoldEvent] = []
        for key in list(self.list_open_keys(endpoint)):
            current = self.claim_by_key[key]
            if current.incarnation == incarnation:
                continue
            entry = attrs.evolve(current, outcome="unknown")
            self.put(entry)
            events.append(ClaimEnded(claim=entry))
        return events

    def put(self, entry: ClaimEntry) -> None:
        """Store a claim.

        :param entry: the claim.
        """
        previous = self.claim_by_key.get(entry.key)
        self.body_bytes += len(entry.body) - (len(previous.body) if previous else 0)
        self.claim_by_key[entry.key] = entry
        open_keys = self.open_by_endpoint.setdefault(entry.endpoint, {})
        if entry.outcome:
            open_keys.pop(entry.key, None)
        else:
            open_keys[entry.key] = None
        if not open_keys:
            del self.open_by_endpoint[entry.endpoint]

    def expire_oldest(self) -> None:
        """Replace the oldest claims with hashes of their keys while over the limits."""
        while self.claim_by_key and self.exceeds_limits():
            oldest = next(iter(self.claim_by_key))
            entry = self.claim_by_key.pop(oldest)
            self.body_bytes -= len(entry.body)
            self.open_by_endpoint.get(entry.endpoint, {}).pop(oldest, None)
            self.expired_key_hashes[hash_key(oldest)] = None
        while len(self.expired_key_hashes) > self.max_expired_keys:
            del self.expired_key_hashes[next(iter(self.expired_key_hashes))]

    def exceeds_limits(self) -> bool:
        """Return whether more claims or body bytes are kept than allowed."""
        too_many = len(self.claim_by_key) > self.max_claims
        return too_many or self.body_bytes > self.max_body_bytes

    def replace(
        self, claims: Iterable[ClaimEntry], expired_keys: Iterable[int]
    ) -> list[FoldEvent]:
        """Replace all claims with those of a snapshot and return which have ended.

        :param claims: claims of the snapshot, oldest first.
        :param expired_keys: hashes of expired keys, oldest first.
        """
        previous_claims = self.claim_by_key
        self.claim_by_key = {}
        self.open_by_endpoint = {}
        self.body_bytes = 0
        self.expired_key_hashes = dict.fromkeys(expired_keys)
        events: list[FoldEvent] = []
        for entry in claims:
            self.put(entry)
            if entry.outcome and not had_outcome(previous_claims.get(entry.key), entry):
                events.append(ClaimEnded(claim=entry))
        return events


def had_outcome(previous: ClaimEntry | None, entry: ClaimEntry) -> bool:
    """Return whether a claim already had its current outcome.

    :param previous: earlier entry of the key, or ``None``.
    :param entry: current entry of the key.
    """
    if previous is None:
        return False
    return previous.claim == entry.claim and previous.outcome == entry.outcome

"""Lease on one duty, such as stage orders, held by one gateway at a time."""

import attrs

from jasminewalk.platform.store import GroupMembership

__all__ = ["HOLDER_PARTITION", "USAGE_PARTITION", "HolderLease"]

# The member of the group that is assigned a duty's partition holds its lease.
HOLDER_PARTITION, USAGE_PARTITION = 0, 1
# Fencing numbers of one era of the store; its groups count generations, which go back
# when the store comes back from an older copy.
FENCING_NUMBERS_PER_ERA = 1_000_000
# Share of the session after which an unrenewed lease is no longer used.
USABLE_SESSION_SHARE = 0.6


@attrs.define
class HolderLease:
    """Decides whether this process may send orders to engines, or do another duty.

    The store assigns the partition to another member only after this one left, learned
    of the change, or did not renew for a whole session. A new holder waits for the
    handover gap, so that orders of two holders are never close together. All times are
    seconds of a monotonic clock that includes time in suspend.

    A store that comes back from an older copy, in a new era, may have lost the lease
    and grant it to another member at once. A holder of the older era can use its lease
    for the usable share of the session after its last renewal, which was before the new
    era. So in a new era a lease is used only after that time.

    :param session_s: seconds without a renewal after which the store drops a member.
    :param handover_gap_s: minimum seconds between orders of two holders.
    :param generation: generation of the group.
    :param held_since: time since which the lease is held; None if it is not held.
    :param valid_until: time up to which the lease may be used unless it is renewed.
    :param era: era of the store that the lease is of.
    :param usable_from: time from which no holder of an older era can use its lease.
    :param partition: partition of the group's topic that stands for the duty.
    """

    session_s: float
    handover_gap_s: float
    generation: int = 0
    held_since: float | None = None
    valid_until: float = float("-inf")
    era: int = 0
    usable_from: float = float("-inf")
    partition: int = HOLDER_PARTITION

    @property
    def fencing_number(self) -> int:
        """Number of an order, higher than the ones of earlier holders."""
        return self.era * FENCING_NUMBERS_PER_ERA + self.generation

    def distrust(self, now: float, era: int) -> bool:
        """Drop the lease in a new era of the store; return whether it was held.

        :param now: current time in seconds.
        :param era: the new era.
        """
        was_held = self.held_since is not None
        self.held_since, self.valid_until = None, float("-inf")
        self.generation, self.era = 0, era
        unproved_s = USABLE_SESSION_SHARE * self.session_s
        self.usable_from = now + unproved_s + self.handover_gap_s
        return was_held

    def record_renewal(
        self, requested_at: float, received_at: float, membership: GroupMembership
    ) -> bool:
        """Record the store's response; return whether the lease was gained or lost.

        :param requested_at: time before the call was sent.
        :param received_at: time at which the response arrived.
        :param membership: membership that the store answers with.
        """
        was_held = self.held_since is not None
        if received_at > self.valid_until:
            self.held_since = None
        self.generation = membership.generation
        if self.partition in membership.partitions:
            if self.held_since is None:
                self.held_since = received_at
            self.valid_until = requested_at + USABLE_SESSION_SHARE * self.session_s
        else:
            self.held_since = None
            self.valid_until = float("-inf")
        return was_held != (self.held_since is not None)

    def may_order(self, now: float) -> bool:
        """Return whether an order may be sent now.

        :param now: current time in seconds.
        """
        return (
            self.held_since is not None
            and now < self.valid_until
            and now >= self.held_since + self.handover_gap_s
            and now >= self.usable_from
        )

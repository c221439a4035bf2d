"""The right to give engines orders, held by one gateway at a time."""

import attrs

from jasminewalk.platform.store import Membership

__all__ = ["HolderLease"]

# Group whose member with the first partition holds the right.
HOLDER_PARTITION = 0
# Share of the session after which the right is no longer used.
USABLE_SESSION_SHARE = 0.6


@attrs.define
class HolderLease:
    """Decides whether this process may give orders now.

    The store hands a partition to another member only after this one left, learned of
    it, or was silent for its session. A new holder waits until orders of the one before
    are old. Instants come from a clock that goes on while the machine is suspended.

    :param session_s: seconds of silence after which the store drops a member.
    :param handover_gap_s: seconds between orders of two holders.
    """

    session_s: float
    handover_gap_s: float
    generation: int = 0
    held_since: float | None = None
    valid_until: float = float("-inf")

    def record_renewal(
        self, requested_at: float, received_at: float, membership: Membership
    ) -> bool:
        """Take the store's answer; returns whether holding changed.

        :param requested_at: instant before the call was sent.
        :param received_at: instant of the answer.
        :param membership: what the store answered.
        """
        was_held = self.held_since is not None
        if received_at > self.valid_until:
            self.held_since = None
        self.generation = membership.generation
        if HOLDER_PARTITION in membership.partitions:
            if self.held_since is None:
                self.held_since = received_at
            self.valid_until = requested_at + USABLE_SESSION_SHARE * self.session_s
        else:
            self.held_since = None
            self.valid_until = float("-inf")
        return was_held != (self.held_since is not None)

    def may_order(self, now: float) -> bool:
        """Return whether an order may be sent now.

        :param now: current instant in seconds.
        """
        return (
            self.held_since is not None
            and now < self.valid_until
            and now >= self.held_since + self.handover_gap_s
        )

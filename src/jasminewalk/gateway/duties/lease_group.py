"""Leases of one gateway on several duties, renewed with one call to the store."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from jasminewalk.exceptions import LogUnavailableError
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.holder_lease import HolderLease
from jasminewalk.gateway.peers import PeerExchange
from jasminewalk.platform.store import GATEWAYS_TOPIC, StoreClient

__all__ = ["MAX_CANDIDATES", "SESSION_S", "LeaseGroup", "read_boot_clock"]

HOLDER_GROUP = "stage-holder"
# Seconds without a renewal after which the store drops a member of the group.
SESSION_S = 3.0
# Seconds between two renewals.
RENEWAL_INTERVAL_S = 0.7
# Only this many live gateways, the first by name, join the group, which limits the
# calls to the store.
MAX_CANDIDATES = 3
# Seconds after its start in which a gateway does not join, as it may not have heard
# those before it. A group that takes in each gateway that starts deals its duties anew
# for as long as gateways are restarted in turn, and nobody has them for long enough.
JOIN_DELAY_S = 1.0


def read_boot_clock() -> float:
    """Return the seconds of a monotonic clock that includes time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseGroup:
    """Member of the store's group that deals the duties out to gateways.

    Each duty is a partition of the group's topic. The store deals partitions evenly, so
    the duties spread over the first few gateways, and are dealt anew when one of these
    dies. All leases of a gateway take one call to renew.

    :param member: name of this process in the group.
    :param store: the metadata store.
    :param exchange: state exchanged with the peers; tells who comes first.
    :param log: decision log.
    :param clock: returns the monotonic time in seconds.

    Its ``after_renewal`` is called after each renewal.
    """

    def __init__(
        self,
        member: str,
        store: StoreClient,
        exchange: PeerExchange,
        log: DecisionLog,
        clock: Callable[[], float],
    ) -> None:
        self.member = member
        self.store = store
        self.exchange = exchange
        self.log = log
        self.clock = clock
        self.leases: dict[str, HolderLease] = {}
        self.generation = 0
        self.leaving = False
        self.is_member = False
        self.after_renewal: Callable[[], Awaitable[None]] | None = None

    def add(self, duty: str, lease: HolderLease) -> HolderLease:
        """Renew a lease from now on, and return it.

        :param duty: name of its duty, for the log.
        :param lease: the lease.
        """
        self.leases[duty] = lease
        return lease

    async def run(self) -> None:
        """Renew the leases until this process leaves."""
        may_join_at = self.clock() + JOIN_DELAY_S
        while not self.leaving:
            now = self.clock()
            is_candidate = self.exchange.compute_rank(now) < MAX_CANDIDATES
            if is_candidate and now >= may_join_at:
                await self.renew()
            elif self.is_member and not is_candidate:
                await self._withdraw()
            if self.after_renewal is not None:
                await self.after_renewal()
            await asyncio.sleep(RENEWAL_INTERVAL_S * random.uniform(0.9, 1.1))

    def distrust(self, era: int) -> bool:
        """Drop all leases in a new era of the store; return whether any was held.

        :param era: the new era.
        """
        now = read_boot_clock()
        self.generation = 0
        were_held = [lease.distrust(now, era) for lease in self.leases.values()]
        return any(were_held)

    async def leave(self) -> None:
        """Release the leases before the process ends."""
        self.leaving = True
        await self._withdraw()

    async def _withdraw(self) -> None:
        """Leave the group, so that its duties are dealt to others at once."""
        self.is_member = False
        for lease in self.leases.values():
            lease.held_since = None
        try:
            await self.store.leave(HOLDER_GROUP, self.member)
        except (LogUnavailableError, OSError, TimeoutError) as error:
            # The store drops the member when its session times out.
            self.log.info("holder_not_left", reason=repr(error))

    async def renew(self) -> None:
        """Renew all leases with one call."""
        self.is_member = True
        requested_at = read_boot_clock()
        session_s = max(lease.session_s for lease in self.leases.values())
        try:
            membership = await self.store.join(
                HOLDER_GROUP, self.member, GATEWAYS_TOPIC, session_s, self.generation
            )
        except (LogUnavailableError, OSError, TimeoutError) as error:
            if any(lease.held_since is not None for lease in self.leases.values()):
                self.log.warning("holder_not_renewed", reason=repr(error))
            return
        if self.leaving:
            # The store may have given the leases to another member since.
            return
        self.generation = membership.generation
        received_at = read_boot_clock()
        for duty, lease in self.leases.items():
            if lease.record_renewal(requested_at, received_at, membership):
                self.log.info(
                    "holder_changed",
                    duty=duty,
                    held=lease.held_since is not None,
                    generation=membership.generation,
                )

"""Shares of engines' software versions in the store, where they outlive gateways."""

import asyncio
from collections.abc import Callable

import msgspec

from jasminewalk.decoding import Number, decode_json
from jasminewalk.exceptions import BadMessageError, LogUnavailableError
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.fleet import Fleet
from jasminewalk.gateway.peers import PeerExchange
from jasminewalk.gateway.store_follower import TopicFollower
from jasminewalk.gateway.version_shares import MAX_SHARES, VersionShares
from jasminewalk.platform.store import (
    VERSIONS_TOPIC,
    ConflictError,
    RecordsPage,
    StoreClient,
)

__all__ = ["StoredShares", "VersionsFollower"]

# Seconds between two reads by any gateway. It can be long because the one that writes
# tells the others.
READ_INTERVAL_S = 60.0
# Seconds between two comparisons of the shares with the engines.
COMPARISON_INTERVAL_S = 0.2
# Seconds for which other shares must suit before they are written, and the additional
# seconds for each gateway that comes before this one, so that usually one writes.
SETTLING_S = 0.4
SETTLING_PER_RANK_S = 0.5
MAX_RANK = 6
# Seconds since a gateway can serve in which it leaves shares as they are. If all
# gateways died, callers resume streams meanwhile, whose versions follow from these.
RETURN_S = 2.0


class StoredShares(msgspec.Struct, frozen=True):
    """Record of one service.

    :param shares: engines by version; the present shares first, then those by which
        streams that still run may have begun.
    """

    shares: list[dict[str, Number]]


class VersionsFollower(TopicFollower):
    """Follows the shares of versions in the store, and writes them when engines change.

    :param store: the metadata store.
    :param log: decision log.
    :param clock: returns the monotonic time in seconds.
    :param fleet: the engines.
    :param peers: the other gateways.
    :param shares: receives the shares.
    """

    def __init__(
        self,
        store: StoreClient,
        log: DecisionLog,
        clock: Callable[[], float],
        fleet: Fleet,
        peers: PeerExchange,
        shares: VersionShares,
    ) -> None:
        super().__init__(VERSIONS_TOPIC, store, log, clock, READ_INTERVAL_S)
        self.fleet = fleet
        self.peers = peers
        self.shares = shares
        self.was_read = False
        self.differs_since: dict[str, float] = {}
        self.can_serve_since: float | None = None
        self.on_written: Callable[[], None] = lambda: None
        # Called with the name of a service whose shares change, or are about to.
        self.on_moved: Callable[[str], int] = lambda service: 0

    async def read_once(self) -> None:
        """Read once and apply the shares.

        :raises LogUnavailableError: if the store does not answer as expected.
        """
        try:
            await super().read_once()
        finally:
            self.was_read = True

    def forget_offsets(self, jitter_s: float = 0.3) -> None:
        """Forget how far the topic was read, and what the store has of it.

        :param jitter_s: maximum random delay of the next read in seconds.
        """
        super().forget_offsets(jitter_s)
        self.shares.forget_stored()

    def apply_snapshot(self, page: RecordsPage) -> bool:
        """Apply the shares of each service."""
        return self.apply_changes(page)

    def apply_changes(self, page: RecordsPage) -> bool:
        """Apply changed shares in the order of the topic."""
        for record in page.records:
            try:
                stored = decode_json(record.value or b"", StoredShares, "shares")
            except BadMessageError as error:
                reason = str(error)
                self.log.warning("shares_unreadable", key=record.key, reason=reason)
                continue
            valid = [
                {version: count for version, count in shares.items() if count > 0}
                for shares in stored.shares[:MAX_SHARES]
            ]
            shares = [shares for shares in valid if shares]
            if self.shares.apply(self.clock(), record.key, list(shares)):
                self.log.info(
                    "version_shares",
                    service=record.key,
                    shares=shares[0] if shares else {},
                    superseded=len(shares) - 1,
                )
                self._report_moved(record.key)
        return bool(page.records)

    async def write_forever(self) -> None:
        """Write the shares that the store lacks, until cancelled."""
        while True:
            await asyncio.sleep(COMPARISON_INTERVAL_S)
            if self.offset is None or not self.fleet.loaded:
                continue
            for service in list(self.fleet.services):
                self.compare_with_engines(service)
            if not self.peers.peers_known:
                continue
            try:
                for service in list(self.fleet.services):
                    await self.write_if_due(service)
            except ConflictError:
                self.differs_since.clear()
                await self._read_again()
            except (LogUnavailableError, OSError, TimeoutError) as error:
                self.differs_since.clear()
                self.log.warning("shares_not_stored", reason=repr(error))

    def compare_with_engines(self, service: str) -> None:
        """Have streams written whose version will not follow from shares now due.

        Each gateway does so before one of them changes the shares, so that the streams
        are known also if all gateways die at once then.

        :param service: name of the service.
        """
        now = self.clock()
        if self.can_serve_since is None:
            self.can_serve_since = now
        engines = self.fleet.count_versions(service, now)
        if self.shares.expect(now, service, engines):
            self._report_moved(service)

    def _report_moved(self, service: str) -> None:
        if count := self.on_moved(service):
            self.log.info("streams_moved", service=service, streams=count)

    async def write_if_due(self, service: str) -> None:
        """Write the shares of a service if others have suited its engines for a time.

        :param service: name of the service.
        :raises ConflictError: if another gateway wrote meanwhile.
        :raises LogUnavailableError: if the store does not answer as expected.
        """
        now = self.clock()
        serves_since = now if self.can_serve_since is None else self.can_serve_since
        if now - serves_since < RETURN_S and self.shares.has_stored(service):
            return
        wanted = self.shares.propose(
            now, service, self.fleet.count_versions(service, now)
        )
        if wanted is None or self.offset is None:
            self.differs_since.pop(service, None)
            return
        since = self.differs_since.setdefault(service, now)
        rank = min(MAX_RANK, self.peers.compute_rank(now))
        if now - since < SETTLING_S + SETTLING_PER_RANK_S * rank:
            return
        record = StoredShares([dict(shares) for shares in wanted])
        value = msgspec.json.encode(record)
        await self.store.put_at(self.topic, service, value, self.offset)
        self.differs_since.pop(service, None)
        self.log.info("shares_stored", service=service, shares=record.shares)
        await self._read_again()
        self.on_written()

    async def _read_again(self) -> None:
        try:
            await self.read_once()
        except (LogUnavailableError, OSError, TimeoutError) as error:
            self._record_failure(error)

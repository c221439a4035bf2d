"""Which software version began a stream, by all that gateways and the store know."""

from collections import OrderedDict
from collections.abc import Callable

import attrs

from jasminewalk.gateway.fleet import Fleet
from jasminewalk.gateway.read_check import ReadCheck
from jasminewalk.gateway.stream_origins import StreamOrigin, StreamOriginLog
from jasminewalk.gateway.stream_versions import GatewaysAnswer, StreamVersions
from jasminewalk.gateway.version_shares import (
    SUPERSEDED_S,
    VersionShares,
    compute_stream_key,
)

__all__ = ["StreamHistory", "StreamSearch"]

# Streams of this gateway that may still run and whose origin the store does not have.
MAX_UNSTORED = 20_000


@attrs.frozen
class _UnstoredStream:
    service: str
    origin: StreamOrigin
    began_at: float


@attrs.frozen
class StreamSearch:
    """What was found out of the beginning of a stream.

    :param version: version that began it; empty if unknown.
    :param origin: engine that began it, if known.
    :param source: what named the version: ``gateways``, ``store``, ``shares`` or
        ``registry``; empty if nothing did.
    :param asked: other gateways that were asked.
    :param answered: those of them that answered.
    :param store_answered: whether the store answered; None if it was not asked.
    :param versions: versions that may have begun it, as far as the shares tell.
    :param is_current: whether this gateway knows all versions that others know; None if
        that did not matter.
    """

    version: str = ""
    origin: StreamOrigin | None = None
    source: str = ""
    asked: int = 0
    answered: int = 0
    store_answered: bool | None = None
    versions: tuple[str, ...] = ()
    is_current: bool | None = None

    @property
    def fields(self) -> dict[str, object]:
        """Fields of the log line."""
        return {
            "version": self.version,
            "known_by": self.source,
            "gateways_asked": self.asked,
            "gateways_answered": self.answered,
            "store_answered": self.store_answered,
            "versions": self.versions,
            "is_current": self.is_current,
        }


class StreamHistory:
    """Records the versions that begin streams, and finds them again.

    Gateways tell each other of each stream. What must outlive all of them is at the
    store: the shares of the versions, from which the version of most streams follows,
    and the origins of the other streams.

    :param gateways: what gateways tell each other.
    :param shares: shares of the versions.
    :param origins: origins of streams in the store.
    :param fleet: the engines.
    :param clock: returns the monotonic time in seconds.
    :param read_check: tells whether this gateway has missed any versions; None takes
        what it knows for complete.
    """

    def __init__(
        self,
        gateways: StreamVersions,
        shares: VersionShares,
        origins: StreamOriginLog,
        fleet: Fleet,
        clock: Callable[[], float],
        read_check: ReadCheck | None = None,
    ) -> None:
        self.gateways = gateways
        self.shares = shares
        self.origins = origins
        self.fleet = fleet
        self.clock = clock
        self.read_check = read_check
        self.unstored: OrderedDict[int, _UnstoredStream] = OrderedDict()

    @property
    def is_store_failing(self) -> bool:
        """Whether the last write of an origin failed."""
        return self.origins.is_failing

    def list_versions(self, service: str) -> set[str]:
        """Return the versions that may have begun streams of a service.

        :param service: name of the service.
        """
        return self.shares.list_versions(service) | self.fleet.list_versions(service)

    def choose_version(self, service: str, request_id: str) -> str:
        """Return the version at which a new stream is to begin; empty for any.

        :param service: name of the service.
        :param request_id: id of the caller's attempt.
        """
        return self.shares.choose(service, compute_stream_key(request_id))

    async def record(
        self, service: str, request_id: str, origin: StreamOrigin, *, is_new: bool
    ) -> None:
        """Record which engine began a stream, before its caller has an event.

        It is written to the store only if the version does not follow from the shares,
        or will not follow from those that are about to replace them.

        :param service: name of the service.
        :param request_id: id of the attempt that gets, or got, the first event.
        :param origin: the engine.
        :param is_new: whether the stream begins now.
        """
        self.gateways.record(request_id, origin)
        key = compute_stream_key(request_id)
        now = self.clock()
        if self.shares.is_derivable(now, service, key, origin.version):
            self.unstored[key] = _UnstoredStream(service, origin, now)
            self.unstored.move_to_end(key)
            self._forget_ended(now)
        elif is_new:
            await self.origins.write(key, origin)
        elif not self.origins.has_read(key):
            self.origins.write_later(key, origin)

    def store_moved(self, service: str) -> int:
        """Write the origins of streams whose version will no longer follow from shares.

        To be called when the shares of a service change, or are about to. Streams that
        began before have no origin at the store, as none was needed. Return how many
        are written.

        :param service: name of the service.
        """
        now = self.clock()
        self._forget_ended(now)
        moved = [
            key
            for key, stream in self.unstored.items()
            if stream.service == service
            and not self.shares.is_derivable(now, service, key, stream.origin.version)
        ]
        for key in moved:
            self.origins.write_later(key, self.unstored.pop(key).origin)
        return len(moved)

    async def find(self, service: str, request_id: str) -> StreamSearch:
        """Find out which version began a stream.

        :param service: name of the service.
        :param request_id: id of the attempt that got the first event; empty if the
            caller does not name it.
        """
        asked_at = self.clock()
        search, answer = StreamSearch(), None
        if request_id:
            search, answer = await self._ask(request_id)
        if not search.version:
            search = await self._check_reads(search, asked_at, answer)
        versions = self.list_versions(service)
        search = attrs.evolve(search, versions=tuple(sorted(versions)))
        if search.version or search.is_current is False:
            return search
        now = self.clock()
        if search.store_answered is False and self.shares.are_changing(now, service):
            # It may have begun against its id, which only the store tells.
            return search
        if not request_id and len(versions) > 1:
            return search
        key = compute_stream_key(request_id) if request_id else None
        if derived := self.shares.derive(now, service, key):
            return attrs.evolve(search, version=derived, source="shares")
        if only := self.fleet.find_only_version(service, now):
            return attrs.evolve(search, version=only, source="registry")
        return search

    async def _check_reads(
        self, search: StreamSearch, asked_at: float, answer: GatewaysAnswer | None
    ) -> StreamSearch:
        """Find out whether versions were missed that may have begun a stream."""
        check = self.read_check
        if check is None:
            return search
        is_current = search.store_answered is not False and (
            await check.read_since(asked_at)
        )
        if not is_current:
            answer = answer or await self.gateways.ask("")
            is_current = check.is_in_step(answer)
        return attrs.evolve(search, is_current=is_current)

    def _forget_ended(self, now: float) -> None:
        oldest = now - SUPERSEDED_S
        while self.unstored:
            first = next(iter(self.unstored.values()))
            if len(self.unstored) <= MAX_UNSTORED and first.began_at > oldest:
                return
            self.unstored.popitem(last=False)

    async def _ask(self, request_id: str) -> tuple[StreamSearch, GatewaysAnswer]:
        """Ask gateways for the origin of a stream, then the store."""
        answer = await self.gateways.ask(request_id)
        source, origin, store_answered = "gateways", answer.origin, None
        if origin is None:
            # Also if there seems to be one version: newer shares may not be read yet.
            key = compute_stream_key(request_id)
            origin, store_answered = await self.origins.find(key)
            source = "store"
        search = StreamSearch(
            version=origin.version if origin else "",
            origin=origin,
            source=source if origin else "",
            asked=answer.asked,
            answered=answer.answered,
            store_answered=store_answered,
        )
        return search, answer

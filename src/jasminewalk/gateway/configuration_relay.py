"""Passes the configuration in force on to gateways that can't read it themselves.

The store may turn some gateways away while it serves the others and the operator. Keys
that are taken away then must not go on to run requests at those gateways.
"""

import asyncio
from collections.abc import Callable
from random import Random

import attrs

from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.peer_message import PeerMessage
from jasminewalk.gateway.peers import PeerExchange
from jasminewalk.gateway.store_follower import ConfigurationFollower
from jasminewalk.http1 import (
    CallerConnection,
    CallerRequest,
    CallerServer,
    Exchange,
    ExchangeBrokenError,
    ReceiveBudget,
    connect,
    encode_request,
)

__all__ = ["ConfigurationRelay", "RelaySource"]

CONFIGURATION_PATH = "/configuration"
OK, NOT_FOUND = 200, 404
# Seconds for which a peer has had a newer version before it is asked for it; by then
# this gateway would have read it if the store served it.
READ_GRACE_S = 0.4
# Seconds between two looks at the versions of the peers.
INTERVAL_S = 0.1
# Timeouts in seconds of the connection to a peer, of each part of its response, and of
# all of it.
CONNECT_TIMEOUT_S = 0.3
PART_TIMEOUT_S = 0.8
MAX_CALL_S = 5.0
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024


@attrs.define
class RelaySource:
    """Decides when to ask a peer for a configuration, and which one.

    :param rng: chooses among the peers, so that they share the work.
    :param versions: version that each peer has in force, by its address, and since
        when it is known.
    """

    rng: Random = attrs.field(factory=Random)
    versions: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def record(self, now: float, address: str, version: int) -> None:
        """Record the version that a peer has in force.

        :param now: current monotonic time in seconds.
        :param address: ``host:port`` of the peer.
        :param version: version; negative if it has none.
        """
        known = self.versions.get(address)
        if known is None or known[0] != version:
            self.versions[address] = version, now

    def is_behind(self, version: int) -> bool:
        """Return whether a peer has a newer version.

        :param version: version that is in force here.
        """
        return any(known > version for known, _ in self.versions.values())

    def choose(self, now: float, version: int, live: set[str]) -> str | None:
        """Return the address of the peer to ask; None if there is nothing to ask for.

        :param now: current monotonic time in seconds.
        :param version: version that is in force here.
        :param live: addresses of the peers that are heard.
        """
        for address in self.versions.keys() - live:
            del self.versions[address]
        newer = {
            address: known
            for address, (known, since) in self.versions.items()
            if known > version and now - since >= READ_GRACE_S
        }
        if not newer:
            return None
        newest = max(newer.values())
        return self.rng.choice(
            sorted(address for address, known in newer.items() if known == newest)
        )


class ConfigurationRelay:
    """Serves the configuration to peers, and reads it from them where that is needed.

    :param exchange: the other gateways.
    :param configuration: follower of the configuration.
    :param log: decision log.
    :param clock: returns the monotonic time in seconds.
    :param is_needed: returns whether changes can't wait for the store.
    """

    def __init__(
        self,
        exchange: PeerExchange,
        configuration: ConfigurationFollower,
        log: DecisionLog,
        clock: Callable[[], float],
        is_needed: Callable[[], bool],
    ) -> None:
        self.exchange = exchange
        self.configuration = configuration
        self.log = log
        self.clock = clock
        self.is_needed = is_needed
        self.source = RelaySource()
        self.budget = ReceiveBudget()
        self.server = CallerServer(
            self.handle,
            clock,
            lambda request, error: log.warning("relay_failed", error=repr(error)),
            lambda status: None,
        )

    @property
    def is_behind(self) -> bool:
        """Whether a peer has a newer configuration in force than this gateway."""
        return self.source.is_behind(self.configuration.version)

    def receive(self, message: PeerMessage) -> None:
        """Record what a peer says of its configuration.

        :param message: message of the peer.
        """
        self.source.record(self.clock(), message.address, message.configuration_version)

    async def handle(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        """Send a peer the configuration, with digests in place of keys.

        :param connection: connection of the peer.
        :param request: the request.
        """
        document = self.configuration.document
        if request.path == CONFIGURATION_PATH and document:
            connection.send_response(OK, (), document)
        else:
            connection.send_response(NOT_FOUND, (), b"")

    async def run(self) -> None:
        """Serve peers, and ask them whenever that is due, until cancelled."""
        try:
            await self.server.listen(self.exchange.address)
        except OSError as error:
            self.log.warning("relay_port_taken", reason=str(error))
        while True:
            await asyncio.sleep(INTERVAL_S)
            self.server.sweep()
            if self.is_needed():
                await self.read_if_due()

    async def read_if_due(self) -> None:
        """Read the configuration from a peer that has a newer one."""
        live = {peer.address for peer in self.exchange.list_live()}
        version = self.configuration.version
        address = self.source.choose(self.clock(), version, live)
        if address is None:
            return
        try:
            async with asyncio.timeout(MAX_CALL_S):
                document = await self._fetch(address)
        except (ExchangeBrokenError, TimeoutError) as error:
            self.log.info("relay_unread", peer=address, reason=repr(error))
            return
        if self.configuration.adopt(document):
            self.log.info(
                "configuration_relayed",
                peer=address,
                version=self.configuration.version,
                former=version,
                bytes=len(document),
            )

    async def _fetch(self, address: str) -> bytes:
        connection = await connect(address, CONNECT_TIMEOUT_S, self.clock, self.budget)
        exchange = Exchange(max_body_bytes=MAX_DOCUMENT_BYTES)
        headers = [(b"host", address.encode()), (b"connection", b"close")]
        try:
            connection.send(
                encode_request(b"GET", CONFIGURATION_PATH.encode(), headers, b""),
                exchange,
            )
            async with asyncio.timeout(PART_TIMEOUT_S):
                response = await exchange.head()
            body = await exchange.body(PART_TIMEOUT_S)
        finally:
            connection.abort()
        if response.status != OK:
            raise ExchangeBrokenError(f"peer answered {response.status}")
        return body

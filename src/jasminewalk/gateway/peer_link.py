"""UDP messages between gateways, and discovery of peers through the store."""

import asyncio
import socket
from collections.abc import Callable
from itertools import chain
from typing import Any

import msgspec

from jasminewalk.decoding import decode_json
from jasminewalk.exceptions import BadMessageError, LogUnavailableError
from jasminewalk.gateway.crash_watch import CrashWatch
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.duties import usage_duty
from jasminewalk.gateway.duties.usage_duty import UsageDuty
from jasminewalk.gateway.organisations import FairShares
from jasminewalk.gateway.peer_message import PeerMessage
from jasminewalk.gateway.peers import PeerExchange, decode_peer_message
from jasminewalk.gateway.store_follower import (
    ConfigurationFollower,
    RegistryFollower,
    TopicFollower,
)
from jasminewalk.gateway.stream_versions import DATAGRAM_MARK, StreamVersions
from jasminewalk.gateway.version_store import VersionsFollower
from jasminewalk.platform.addresses import parse_address, parse_peer_address
from jasminewalk.platform.store import GATEWAYS_TOPIC, RecordsPage, StoreClient

__all__ = ["GatewaysFollower", "PeerLink"]

# Seconds between two reads of the list of gateways. It can be long because a new
# gateway also announces itself to its peers.
LIST_READ_INTERVAL_S = 20.0
# Seconds until gateways that started at the same time are on the list.
FIRST_LIST_READ_DELAY_S = 2.0
# Maximum random delay in seconds until a gateway registers again in a new era.
REREGISTRATION_JITTER_S = 2.0
# Seconds between attempts to register.
REGISTRATION_RETRY_S = 0.5
# One message in this many tells of the engine time that organisations used.
MESSAGES_PER_USES = 10


class _ListedGateway(msgspec.Struct):
    address: str


class GatewaysFollower(TopicFollower):
    """Adds this gateway to the list in the store, and reads the addresses of others.

    :param store: the metadata store.
    :param log: decision log.
    :param clock: returns the monotonic time in seconds.
    :param exchange: receives the addresses.
    """

    def __init__(
        self,
        store: StoreClient,
        log: DecisionLog,
        clock: Callable[[], float],
        exchange: PeerExchange,
    ) -> None:
        super().__init__(GATEWAYS_TOPIC, store, log, clock, LIST_READ_INTERVAL_S)
        self.exchange = exchange
        self.registered = False

    async def register_and_run(self) -> None:
        """Register this gateway, then follow the list until cancelled."""
        while True:
            try:
                await self._register()
                break
            except (LogUnavailableError, OSError) as error:
                self.log.warning("gateway_not_listed", reason=repr(error))
                await asyncio.sleep(REGISTRATION_RETRY_S)
        await asyncio.sleep(FIRST_LIST_READ_DELAY_S)
        await self.run()

    async def read_once(self) -> None:
        """Read once and apply the records; register before in a new era of the store.

        :raises LogUnavailableError: if the store does not answer as expected.
        """
        if not self.registered:
            await self._register()
            self.log.info("gateway_listed_again", era=self.store.era)
        await super().read_once()

    def forget_offsets(self, jitter_s: float = REREGISTRATION_JITTER_S) -> None:
        """Forget how far the list was read, and that this gateway is on it.

        :param jitter_s: maximum random delay of the next read in seconds.
        """
        super().forget_offsets(jitter_s)
        self.registered = False

    async def _register(self) -> None:
        value = msgspec.json.encode({"address": self.exchange.address})
        await self.store.put(GATEWAYS_TOPIC, self.exchange.node, value)
        self.registered = True

    def apply_snapshot(self, page: RecordsPage) -> bool:
        """Record the addresses on the list of gateways."""
        return self.apply_changes(page)

    def apply_changes(self, page: RecordsPage) -> bool:
        """Record changed addresses in the order of the topic."""
        for record in page.records:
            if record.value is None:
                continue
            try:
                listed = decode_json(record.value, _ListedGateway, "gateway")
                parse_peer_address(listed.address)
            except BadMessageError as error:
                reason = str(error)
                self.log.warning("gateway_unreadable", key=record.key, reason=reason)
                continue
            self.exchange.record_address(self.clock(), record.key, listed.address)
        self.exchange.peers_known = True
        return bool(page.records)


class PeerLink:
    """Sends this gateway's state to the other gateways and receives theirs.

    :param exchange: builds and applies the messages.
    :param configuration: follower of the configuration.
    :param registry: follower of the registry.
    :param versions: follower of the shares of versions.
    :param crash_watch: builds and applies the news of crashes.
    :param stream_versions: exchanges the versions that began streams.
    :param fair_shares: compares what organisations use of the engines.
    :param log: decision log.
    :param clock: returns the monotonic time in seconds.

    Its ``on_message`` is called with each message of a peer that was applied.
    """

    def __init__(
        self,
        exchange: PeerExchange,
        configuration: ConfigurationFollower,
        registry: RegistryFollower,
        versions: VersionsFollower,
        crash_watch: CrashWatch,
        stream_versions: StreamVersions,
        fair_shares: FairShares,
        log: DecisionLog,
        clock: Callable[[], float],
    ) -> None:
        self.exchange = exchange
        self.configuration = configuration
        self.registry = registry
        self.versions = versions
        self.crash_watch = crash_watch
        self.stream_versions = stream_versions
        self.stream_versions.send = self.send
        self.fair_shares = fair_shares
        self.usage: UsageDuty | None = None
        self.on_message: Callable[[PeerMessage], None] = lambda message: None
        self.log = log
        self.clock = clock
        self.socket: asyncio.DatagramTransport | None = None

    def connect_usage(self, duty: UsageDuty) -> None:
        """Have counts of usage exchanged over the socket.

        :param duty: sends and receives the counts.
        """
        self.usage = duty
        duty.send = self.send

    async def open(self) -> None:
        """Open the UDP socket."""
        self.socket, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _Datagrams(self.receive),
            local_addr=parse_address(self.exchange.address),
            family=socket.AF_INET,
        )

    async def run(self) -> None:
        """Announce this gateway's state and drop silent peers until cancelled."""
        while True:
            self.announce()
            self.exchange.assign_limit_shares(self.clock())
            for node in self.exchange.drop_silent_peers(self.clock()):
                self.log.info("peer_silent", peer=node)
            for event in self.exchange.fleet.detect_failure_changes():
                self.log.info(event.event, engine=event.engine, detail=event.detail)
            await asyncio.sleep(self.exchange.announce_interval_s)

    def announce(self) -> None:
        """Send one message to the other gateways."""
        now = self.clock()
        data = self.exchange.build_message(
            now,
            self.configuration.compute_progress(now),
            self.registry.compute_progress(now),
            self.registry.announced_era,
            self.crash_watch.build_news(),
            self.versions.compute_progress(now),
            self.registry.offset,
            self.configuration.version,
            self._collect_uses(now),
        )
        for address in self.exchange.list_recipients(now):
            self.send(address, data)
        self.exchange.fleet.gateways = self.exchange.member_count

    def _collect_uses(self, now: float) -> list[tuple[int, int, int]]:
        if self.exchange.number % MESSAGES_PER_USES:
            return []
        return self.fair_shares.announce(now)

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram to another gateway.

        :param address: ``host:port`` of its UDP socket.
        :param data: payload.
        """
        if self.socket is not None:
            self.socket.sendto(data, parse_peer_address(address))

    def receive(self, data: bytes) -> None:
        """Decode and apply a datagram.

        :param data: payload of the datagram.
        """
        if data.startswith(DATAGRAM_MARK):
            if not self.stream_versions.receive(data):
                self.log.warning("peer_unreadable", size=len(data))
            return
        if data.startswith(usage_duty.DATAGRAM_MARK):
            if self.usage is not None and not self.usage.receive(data):
                self.log.warning("peer_unreadable", size=len(data))
            return
        message = decode_peer_message(data)
        if message is None or not _is_peer_address(message.address):
            self.log.warning("peer_unreadable", size=len(data))
            return
        now = self.clock()
        if self.exchange.apply_message(now, message):
            era = message.store_era
            self.configuration.record_peer_progress(now, message.configuration, era)
            self.registry.record_peer_progress(now, message.registry, era)
            if message.versions is None:
                self.versions.shares.record_former_gateway(now)
            else:
                self.versions.record_peer_progress(now, message.versions, era)
            self.crash_watch.apply_news(message.quarantine)
            if message.uses:
                self.fair_shares.apply(now, message.node, message.uses)
            self.on_message(message)
            for event in chain(
                self.exchange.apply_limits(now, message),
                self.exchange.apply_leaving(message),
                self.exchange.apply_unlisted(
                    now, message, self.registry.announced_era, self.registry.offset
                ),
            ):
                self.log.info(
                    event.event,
                    engine=event.engine,
                    detail=event.detail,
                    peer=message.node,
                )


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self.on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.on_datagram(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors; the state of unreachable peers is dropped after a timeout."""


def _is_peer_address(address: str) -> bool:
    try:
        parse_peer_address(address)
    except BadMessageError:
        return False
    return True

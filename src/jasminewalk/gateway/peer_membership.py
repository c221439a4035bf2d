"""Which gateways there are, which of them are heard, and how often they are told."""

import attrs

from jasminewalk.gateway.demand import Demand
from jasminewalk.gateway.engine_state import EngineState

__all__ = ["MEMBER_TIMEOUT_S", "PEER_TIMEOUT_S", "Peer", "PeerMembership"]

# Seconds between two messages to the peers, and the number of gateways above which this
# interval grows in proportion to their number, which limits the work per gateway.
ANNOUNCE_INTERVAL_S = 0.1
MAX_FULL_RATE_GATEWAYS = 30
# Seconds without a message after which the loads and speeds of a peer are dropped, and
# messages that must have been missed in a row, as single datagrams can be lost.
PEER_TIMEOUT_S = 1.5
MIN_MISSED_MESSAGES = 6
# Seconds without a message for which a peer keeps its share of the limits that hold for
# all gateways together. It is longer than the timeout above, because a gateway that
# only lost contact goes on using its share.
MEMBER_TIMEOUT_S = 20.0
# One message in this many is also sent to peers that were not heard for that long.
MESSAGES_PER_ABSENT_PEERS = 20


@attrs.define
class Peer:
    """State of another gateway.

    :param address: ``host:port`` of its UDP socket.
    :param started_ms: Unix time of its process start in milliseconds.
    :param number: number of its last message; -1 before the first.
    :param received_at: monotonic time of its last message; minus infinity before the
        first and once its loads are dropped.
    :param heard_at: monotonic time of its last message, or at which the list of
        gateways named it; kept when its loads are dropped.
    :param demand: demand of its callers.
    :param loaded: engines on which its last message announced load, by their keys.
    """

    address: str
    started_ms: int = 0
    number: int = -1
    received_at: float = float("-inf")
    heard_at: float = float("-inf")
    demand: Demand = attrs.field(factory=Demand)
    loaded: dict[int, EngineState] = attrs.field(factory=dict)


class PeerMembership:
    """The other gateways, as this one has heard of them.

    :param node: name of this gateway's instance.
    :param address: ``host:port`` of its UDP socket.
    :param started_ms: Unix time of this process's start in milliseconds.

    Its ``live_changes`` counts the changes of the list of gateways that are heard, its
    ``member_count`` the gateways that lately were, with this one.
    """

    def __init__(self, node: str, address: str, started_ms: int) -> None:
        self.node = node
        self.address = address
        self.started_ms = started_ms
        self.peers: dict[str, Peer] = {}
        self.number = 0
        self.peers_known = False
        self.member_count = 1
        self.live_changes = 0

    def record_address(self, now: float, node: str, address: str) -> None:
        """Record the address of a peer.

        :param now: current monotonic time in seconds.
        :param node: name of its instance.
        :param address: ``host:port`` of its UDP socket.
        """
        if node == self.node:
            return
        peer = self.peers.setdefault(node, Peer(address, heard_at=now))
        if peer.address != address:
            peer.address, peer.heard_at = address, now
            self.live_changes += 1

    @property
    def announce_interval_s(self) -> float:
        """Seconds between two messages of a gateway, which depend on their number."""
        return ANNOUNCE_INTERVAL_S * max(
            1.0, self.member_count / MAX_FULL_RATE_GATEWAYS
        )

    @property
    def silence_timeout_s(self) -> float:
        """Seconds without a message after which a peer counts as silent."""
        return max(PEER_TIMEOUT_S, MIN_MISSED_MESSAGES * self.announce_interval_s)

    def list_recipients(self, now: float) -> list[str]:
        """Return the addresses that get the message that was built last.

        Peers that have not been heard for long may be gone for good.

        :param now: current monotonic time in seconds.
        """
        peers = self.peers.values()
        present = [peer for peer in peers if now - peer.heard_at < MEMBER_TIMEOUT_S]
        self.member_count = 1 + len(present)
        reaches_all = self.number % MESSAGES_PER_ABSENT_PEERS == 0
        return [peer.address for peer in (peers if reaches_all else present)]

    def list_members(self, now: float) -> list[str]:
        """Return the names of all gateways that share limits, with this one.

        :param now: current monotonic time in seconds.
        """
        members = [
            node
            for node, peer in self.peers.items()
            if now - peer.heard_at < MEMBER_TIMEOUT_S
        ]
        return [*members, self.node]

    def list_live(self) -> list[Peer]:
        """Return the other gateways that are heard."""
        return [
            peer for peer in self.peers.values() if peer.received_at > float("-inf")
        ]

    def compute_rank(self, now: float) -> int:
        """Return the rank of this gateway by name among the live ones, from 0.

        :param now: current monotonic time in seconds.
        """
        timeout_s = self.silence_timeout_s
        return sum(
            node < self.node and now - peer.received_at < timeout_s
            for node, peer in self.peers.items()
        )

    def list_first(self, now: float, count: int) -> list[tuple[str, str]]:
        """Return the names and addresses of the first live gateways by name.

        :param now: current monotonic time in seconds.
        :param count: number of gateways; fewer if fewer are live.
        """
        timeout_s = self.silence_timeout_s
        live = [
            (node, peer.address)
            for node, peer in self.peers.items()
            if now - peer.received_at < timeout_s
        ]
        return sorted([*live, (self.node, self.address)])[:count]

    def list_starts(self, now: float) -> dict[str, int]:
        """Return the start of each live gateway in Unix milliseconds, by its name.

        :param now: current monotonic time in seconds.
        """
        timeout_s = self.silence_timeout_s
        starts = {
            node: peer.started_ms
            for node, peer in self.peers.items()
            if now - peer.received_at < timeout_s
        }
        return {**starts, self.node: self.started_ms}

    def is_outdated(self, now: float, peer: Peer, started_ms: int, number: int) -> bool:
        """Return whether a message of a peer is not newer than what it said before.

        :param now: current monotonic time in seconds.
        :param peer: the peer.
        :param started_ms: start of the process that sent the message.
        :param number: number of the message.
        """
        if started_ms == peer.started_ms:
            return number <= peer.number
        # The time of day may be set back before a restart, so an incarnation that
        # seems to be older counts once the other one is silent.
        is_silent = now - peer.received_at >= self.silence_timeout_s
        return started_ms < peer.started_ms and not is_silent

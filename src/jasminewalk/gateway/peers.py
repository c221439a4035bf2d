"""State that gateways announce to their peers over UDP, without consensus."""

from collections import deque
from collections.abc import Iterator

import attrs
import msgspec
import xxhash

from jasminewalk.gateway.demand import Demand, DemandMeter
from jasminewalk.gateway.fleet import (
    EngineState,
    Fleet,
    FleetEvent,
    Load,
    Outcomes,
)
from jasminewalk.gateway.quarantine_news import QuarantineNews
from jasminewalk.gateway.request_limit import compute_share
from jasminewalk.platform.headers import PromptPart

__all__ = [
    "UNKNOWN_ERA",
    "PeerExchange",
    "PeerMessage",
    "TopicProgress",
    "decode_peer_message",
    "compute_engine_key",
]

# Seconds without a message after which the loads and speeds of a peer are dropped.
PEER_TIMEOUT_S = 1.5
# Seconds without a message for which a peer keeps its share of the limits that hold for
# all gateways together. It is longer than the timeout above, because a gateway that
# only lost contact goes on using its share.
MEMBER_TIMEOUT_S = 20.0
# Seconds for which the end of a limit is announced.
LIMIT_END_ANNOUNCEMENT_S = 10.0
# Era in a message whose sender knows none, or is of the previous version.
UNKNOWN_ERA = -1
# Limit in a message that stands for none.
NO_LIMIT = -1
# Messages that announce the same prefill, because single datagrams can be lost.
PREFILL_ANNOUNCEMENTS = 2
# One message in this many carries the measured speeds, which change slowly.
MESSAGES_PER_SPEEDS = 5
# Smallest prompt part that is announced, in tokens.
MIN_ANNOUNCED_TOKENS = 1000
# Maximum seconds for which an announced change of stage makes an engine unavailable.
MAX_CHANGE_S = 8.0
# Maximum number of prefills that one message announces.
MAX_ANNOUNCED_PREFILLS = 40


class TopicProgress(msgspec.Struct, array_like=True, frozen=True):
    """How far a gateway has read a topic of the store.

    :param read_ms_ago: milliseconds since its last read; negative if unknown.
    :param changed_offset: offset after the last record that had an effect.
    """

    read_ms_ago: int = -1
    changed_offset: int = 0


class PeerMessage(msgspec.Struct, array_like=True, frozen=True):
    """State that one gateway sends to its peers.

    :param node: name of the sending instance.
    :param address: ``host:port`` of its UDP socket.
    :param started_ms: Unix time of its process start in milliseconds.
    :param number: number of the message, counted from the start of the process.
    :param configuration: how far it has read the configuration.
    :param registry: how far it has read the registry.
    :param prefill_ms: its demand for prefill, in engine milliseconds per second.
    :param decode_ms: its demand for decode, in engine milliseconds per second.
    :param loads: engine, requests, and prefill left in milliseconds at speed 1.
    :param speeds: engine, speed in hundredths, and number of samples.
    :param prefills: engine, id of a prompt part, and its tokens; 0 tokens retract it.
    :param changing: engine, and milliseconds until its change of stage is over.
    :param outcomes: engine, requests that ended and failed since the last message.
    :param limits: engine, its limit in requests per 1,000 seconds or -1 for none, and
        milliseconds since that was observed.
    :param leaving: engines that said in a response that they are leaving.
    :param store_era: era of the store in which it has read the topics.
    :param quarantine: what it knows of prompt parts that crash engines, if anything.
    """

    node: str
    address: str
    started_ms: int
    number: int
    configuration: TopicProgress
    registry: TopicProgress
    prefill_ms: int
    decode_ms: int
    loads: list[tuple[int, int, int]]
    speeds: list[tuple[int, int, int]]
    prefills: list[tuple[int, str, int]]
    changing: list[tuple[int, int]]
    # Previous versions of the gateway do not send all of these fields.
    outcomes: list[tuple[int, int, int]] = []
    limits: list[tuple[int, int, int]] = []
    leaving: list[int] = []
    store_era: int = UNKNOWN_ERA
    quarantine: QuarantineNews | None = None


def decode_peer_message(data: bytes) -> PeerMessage | None:
    """Decode a datagram; return None if it is not a valid message.

    :param data: payload of the datagram.
    """
    try:
        return msgspec.msgpack.decode(data, type=PeerMessage)
    except msgspec.DecodeError:
        return None


def compute_engine_key(engine: EngineState) -> int:
    """Return a 32-bit hash that identifies an engine's incarnation.

    :param engine: the engine.
    """
    entry = engine.entry
    return xxhash.xxh32_intdigest(f"{entry.engine_id} {entry.started_ms}".encode())


@attrs.define
class _AnnouncedPrefill:
    engine: EngineState
    part: PromptPart
    sent_count: int = 0


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
    """

    address: str
    started_ms: int = 0
    number: int = -1
    received_at: float = float("-inf")
    heard_at: float = float("-inf")
    demand: Demand = attrs.field(factory=Demand)


class PeerExchange:
    """Exchanges loads, speeds, cached parts, outcomes and demand with peers.

    :param node: name of this gateway's instance.
    :param address: ``host:port`` of its UDP socket.
    :param started_ms: Unix time of this process's start in milliseconds.
    :param fleet: the engines.
    """

    def __init__(self, node: str, address: str, started_ms: int, fleet: Fleet) -> None:
        self.node = node
        self.address = address
        self.started_ms = started_ms
        self.fleet = fleet
        self.peers: dict[str, Peer] = {}
        self.number = 0
        self.announced_at = 0.0
        self.demand = DemandMeter()
        self.prefills: deque[_AnnouncedPrefill] = deque()
        self.peers_known = False

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

    def assign_limit_shares(self, now: float) -> None:
        """Set this gateway's share of each engine's limit.

        A gateway that does not know its peers yet has no share.

        :param now: current monotonic time in seconds.
        """
        engines = self.fleet.engines.values()
        limited = [engine for engine in engines if engine.limit.per_s is not None]
        members = self.list_members(now) if limited else []
        for engine in limited:
            per_s = engine.limit.per_s or 0.0
            key = compute_engine_key(engine)
            share_per_s = compute_share(per_s, key, self.node, members)
            engine.limit.assign_share(now, share_per_s if self.peers_known else 0.0)

    def compute_rank(self, now: float) -> int:
        """Return the rank of this gateway by name among the live ones, from 0.

        :param now: current monotonic time in seconds.
        """
        return sum(
            node < self.node and now - peer.received_at < PEER_TIMEOUT_S
            for node, peer in self.peers.items()
        )

    def compute_total_demand(self, now: float) -> Demand:
        """Return the total demand at all live gateways.

        :param now: current monotonic time in seconds.
        """
        total = self.demand.compute_rate(now)
        for peer in self.peers.values():
            if now - peer.received_at < PEER_TIMEOUT_S:
                total = total + peer.demand
        return total

    def record_prefill(
        self, engine: EngineState, prompt: tuple[PromptPart, ...]
    ) -> None:
        """Record a prompt as cached by an engine, and announce it to the peers.

        :param engine: the engine.
        :param prompt: parts of the prompt.
        """
        engine.cache.add(prompt)
        for part in prompt:
            if part.tokens >= MIN_ANNOUNCED_TOKENS:
                self.prefills.append(_AnnouncedPrefill(engine, part))

    def retract_prefill(
        self, engine: EngineState, prompt: tuple[PromptPart, ...]
    ) -> None:
        """Record that an engine did not prefill a prompt after all.

        Only the last part is removed, as it belongs to this prompt alone. The shared
        parts may have been prefilled for other requests.

        :param engine: the engine.
        :param prompt: parts of the prompt.
        """
        if prompt:
            engine.cache.remove(prompt[-1].part_id)
            self.prefills.append(
                _AnnouncedPrefill(engine, PromptPart(prompt[-1].part_id, 0))
            )

    def build_message(
        self,
        now: float,
        configuration: TopicProgress,
        registry: TopicProgress,
        store_era: int = UNKNOWN_ERA,
        quarantine: QuarantineNews | None = None,
    ) -> bytes:
        """Build the next message to the other gateways, and decay the failure rates.

        :param now: current monotonic time in seconds.
        :param configuration: how far this gateway has read the configuration.
        :param registry: how far this gateway has read the registry.
        :param store_era: era of the store in which it has read them.
        :param quarantine: what it knows of prompt parts that crash engines, if
            anything.
        """
        self.number += 1
        self._decay_failure_rates(now)
        demand = self.demand.compute_rate(now)
        engines = self.fleet.engines.values()
        message = PeerMessage(
            node=self.node,
            address=self.address,
            started_ms=self.started_ms,
            number=self.number,
            configuration=configuration,
            registry=registry,
            prefill_ms=round(demand.prefill * 1e3),
            decode_ms=round(demand.decode * 1e3),
            loads=[
                (
                    compute_engine_key(engine),
                    engine.own_load.requests,
                    round(engine.own_load.prefill_s * 1e3),
                )
                for engine in engines
                if engine.own_load.requests
            ],
            speeds=self._collect_speeds(),
            prefills=self._collect_prefills(),
            changing=[
                (compute_engine_key(engine), round((engine.changing_until - now) * 1e3))
                for engine in engines
                if engine.changing_until > now
            ],
            outcomes=self._collect_outcomes(),
            limits=self._collect_limits(now),
            leaving=[
                compute_engine_key(engine) for engine in engines if engine.said_leaving
            ],
            store_era=store_era,
            quarantine=quarantine,
        )
        return msgspec.msgpack.encode(message)

    def _decay_failure_rates(self, now: float) -> None:
        for engine in self.fleet.engines.values():
            engine.decay_failure_rate(now - self.announced_at)
        self.announced_at = now

    def _collect_outcomes(self) -> list[tuple[int, int, int]]:
        announced = []
        for engine in self.fleet.engines.values():
            outcomes, engine.unannounced_outcomes = (
                engine.unannounced_outcomes,
                Outcomes(),
            )
            # Outcomes at healthy engines are left out to keep messages small.
            if outcomes.ended and (outcomes.failed or engine.excess_failure_rate):
                row = (compute_engine_key(engine), outcomes.ended, outcomes.failed)
                announced.append(row)
        return announced

    def _collect_limits(self, now: float) -> list[tuple[int, int, int]]:
        announced = []
        for engine in self.fleet.engines.values():
            limit, age_s = engine.limit, now - engine.limit.observed_at
            if limit.per_s is not None or age_s < LIMIT_END_ANNOUNCEMENT_S:
                per_1000_s = NO_LIMIT if limit.per_s is None else limit.per_s * 1e3
                row = (
                    compute_engine_key(engine),
                    round(per_1000_s),
                    round(age_s * 1e3),
                )
                announced.append(row)
        return announced

    def _collect_speeds(self) -> list[tuple[int, int, int]]:
        if self.number % MESSAGES_PER_SPEEDS:
            return []
        return [
            (
                compute_engine_key(engine),
                round(engine.own_speed * 100),
                len(engine.speeds),
            )
            for engine in self.fleet.engines.values()
            if engine.speeds
        ]

    def _collect_prefills(self) -> list[tuple[int, str, int]]:
        announced = list(self.prefills)[:MAX_ANNOUNCED_PREFILLS]
        for prefill in announced:
            prefill.sent_count += 1
        while self.prefills and self.prefills[0].sent_count >= PREFILL_ANNOUNCEMENTS:
            self.prefills.popleft()
        return [
            (
                compute_engine_key(prefill.engine),
                prefill.part.part_id,
                prefill.part.tokens,
            )
            for prefill in announced
        ]

    def _is_outdated(self, now: float, message: PeerMessage, peer: Peer) -> bool:
        if message.started_ms == peer.started_ms:
            return message.number <= peer.number
        # The time of day may be set back before a restart, so an incarnation that
        # seems to be older counts once the other one is silent.
        is_silent = now - peer.received_at >= PEER_TIMEOUT_S
        return message.started_ms < peer.started_ms and not is_silent

    def apply_message(self, now: float, message: PeerMessage) -> bool:
        """Apply a peer's message; return False if it is outdated or this gateway's own.

        :param now: current monotonic time in seconds.
        :param message: the message.
        """
        if message.node == self.node:
            return False
        peer = self.peers.get(message.node)
        if peer is not None and self._is_outdated(now, message, peer):
            return False
        self.record_address(now, message.node, message.address)
        self.peers_known = True
        peer = self.peers[message.node]
        peer.started_ms, peer.number = message.started_ms, message.number
        peer.received_at = peer.heard_at = now
        engines_by_key = {
            compute_engine_key(engine): engine for engine in self.fleet.engines.values()
        }
        for engine in engines_by_key.values():
            engine.peer_loads.pop(message.node, None)
        for key, requests, prefill_ms in message.loads:
            if key in engines_by_key:
                engines_by_key[key].peer_loads[message.node] = Load(
                    requests, prefill_ms / 1e3
                )
        for key, speed, samples in message.speeds:
            if key in engines_by_key:
                engines_by_key[key].peer_speeds[message.node] = (
                    speed / 100,
                    samples,
                )
        peer.demand = Demand(message.prefill_ms / 1e3, message.decode_ms / 1e3)
        for key, remaining_ms in message.changing:
            # Only the first announcement counts: peers repeat it, and the delay of each
            # message would postpone the end. A repeat that arrives just after the end
            # would start it anew, so the last 500 ms are ignored.
            if (
                key in engines_by_key
                and engines_by_key[key].changing_until <= now
                and remaining_ms > 500
            ):
                remaining_s = min(remaining_ms / 1e3, MAX_CHANGE_S)
                engines_by_key[key].changing_until = now + remaining_s
        for key, ended, failed in message.outcomes:
            if key in engines_by_key and 0 <= failed <= ended and ended > 0:
                engines_by_key[key].update_failure_rate(Outcomes(ended, failed))
        for key, part_id, tokens in message.prefills:
            if key in engines_by_key and tokens:
                engines_by_key[key].cache.add((PromptPart(part_id, tokens),))
            elif key in engines_by_key:
                engines_by_key[key].cache.remove(part_id)
        return True

    def apply_limits(self, now: float, message: PeerMessage) -> Iterator[FleetEvent]:
        """Apply the limits that a peer observed, and yield an event for each change.

        :param now: current monotonic time in seconds.
        :param message: the message.
        """
        if not message.limits:
            return
        engines_by_key = {
            compute_engine_key(engine): engine for engine in self.fleet.engines.values()
        }
        for key, per_1000_s, age_ms in message.limits:
            if key in engines_by_key and age_ms >= 0:
                per_s = None if per_1000_s < 0 else per_1000_s / 1e3
                event = self.fleet.record_limit(
                    now, engines_by_key[key], per_s, now - age_ms / 1e3
                )
                if event is not None:
                    yield event

    def apply_leaving(self, message: PeerMessage) -> Iterator[FleetEvent]:
        """Record the engines of which a peer says that they are leaving.

        Yield an event for each that this gateway did not know of.

        :param message: the message.
        """
        if not message.leaving:
            return
        leaving = set(message.leaving)
        for engine in self.fleet.engines.values():
            if not engine.said_leaving and compute_engine_key(engine) in leaving:
                event = self.fleet.record_leaving(engine, "a peer said so")
                if event is not None:
                    yield event

    def drop_silent_peers(self, now: float) -> Iterator[str]:
        """Drop the loads and speeds of silent peers, and yield their names.

        :param now: current monotonic time in seconds.
        """
        for node, peer in self.peers.items():
            if PEER_TIMEOUT_S <= now - peer.received_at < float("inf"):
                # The number stays, so that a late message is still known as outdated.
                peer.received_at, peer.demand = float("-inf"), Demand()
                for engine in self.fleet.engines.values():
                    engine.peer_loads.pop(node, None)
                    engine.peer_speeds.pop(node, None)
                yield node

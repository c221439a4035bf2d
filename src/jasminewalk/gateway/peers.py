"""State that gateways announce to their peers over UDP, without consensus."""

from collections import deque
from collections.abc import Iterator

import attrs
import msgspec

from jasminewalk.gateway.demand import Demand, DemandMeter
from jasminewalk.gateway.fleet import (
    EngineState,
    Fleet,
    FleetEvent,
    Outcomes,
)
from jasminewalk.gateway.peer_membership import (
    Peer,
    PeerMembership,
)
from jasminewalk.gateway.peer_message import (
    UNKNOWN_ERA,
    PeerMessage,
    TopicProgress,
    decode_peer_message,
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

# Seconds after which the demands of the peers are added up again.
DEMAND_SUM_INTERVAL_S = 0.1
# Seconds for which the end of a limit is announced.
LIMIT_END_ANNOUNCEMENT_S = 10.0
# Limit in a message that stands for none.
NO_LIMIT = -1
# Learnt limits are announced in tenths of a request.
LIMIT_TENTHS = 10
# Messages that announce the same prefill, because single datagrams can be lost.
PREFILL_ANNOUNCEMENTS = 2
# One message in this many carries the measured speeds, which change slowly.
MESSAGES_PER_SPEEDS = 5
# Smallest prompt part that is announced, in tokens.
MIN_ANNOUNCED_TOKENS = 1000
# Maximum number of engines without an entry that one message announces.
MAX_ANNOUNCED_UNLISTED = 200
# Maximum seconds for which an announced change of stage makes an engine unavailable.
MAX_CHANGE_S = 8.0
# Maximum number of prefills that one message announces.
MAX_ANNOUNCED_PREFILLS = 40


def compute_engine_key(engine: EngineState) -> int:
    """Return a 32-bit hash that identifies an engine's incarnation.

    :param engine: the engine.
    """
    return engine.key


@attrs.define
class _AnnouncedPrefill:
    engine: EngineState
    part: PromptPart
    sent_count: int = 0


class PeerExchange(PeerMembership):
    """Exchanges loads, speeds, cached parts, outcomes and demand with peers.

    :param node: name of this gateway's instance.
    :param address: ``host:port`` of its UDP socket.
    :param started_ms: Unix time of this process's start in milliseconds.
    :param fleet: the engines.
    """

    def __init__(self, node: str, address: str, started_ms: int, fleet: Fleet) -> None:
        super().__init__(node, address, started_ms)
        self.fleet = fleet
        self.announced_at = 0.0
        self.demand = DemandMeter()
        self.prefills: deque[_AnnouncedPrefill] = deque()
        self._peer_demand = Demand()
        self._peer_demand_at = float("-inf")
        self._engines_by_key: dict[int, EngineState] = {}
        self._indexed_engines: list[EngineState] = []

    def _index_engines(self) -> dict[int, EngineState]:
        engines = list(self.fleet.engines.values())
        if engines != self._indexed_engines:
            self._indexed_engines = engines
            self._engines_by_key = {engine.key: engine for engine in engines}
        return self._engines_by_key

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

    def compute_total_demand(self, now: float) -> Demand:
        """Return the total demand at all live gateways.

        :param now: current monotonic time in seconds.
        """
        if not 0 <= now - self._peer_demand_at < DEMAND_SUM_INTERVAL_S:
            self._peer_demand, self._peer_demand_at = Demand(), now
            timeout_s = self.silence_timeout_s
            for peer in self.peers.values():
                if now - peer.received_at < timeout_s:
                    self._peer_demand = self._peer_demand + peer.demand
        return self.demand.compute_rate(now) + self._peer_demand

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
        versions: TopicProgress | None = None,
        registry_offset: int | None = None,
        configuration_version: int = -1,
        uses: list[tuple[int, int, int]] | None = None,
    ) -> bytes:
        """Build the next message to the other gateways, and decay the failure rates.

        :param now: current monotonic time in seconds.
        :param configuration: how far this gateway has read the configuration.
        :param registry: how far this gateway has read the registry.
        :param store_era: era of the store in which it has read them.
        :param quarantine: what it knows of prompt parts that crash engines, if
            anything.
        :param versions: how far this gateway has read the shares of versions.
        :param registry_offset: offset up to which it has read the registry, if it has.
        :param configuration_version: version of its configuration, if it has one.
        :param uses: engine time that organisations asked for and used; None leaves it
            out.
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
                compute_engine_key(engine) for engine in engines if engine.leaving
            ],
            store_era=store_era,
            quarantine=quarantine,
            versions=versions,
            registry_offset=registry_offset or 0,
            unlisted=[
                compute_engine_key(engine)
                for engine in self.fleet.list_unlisted(now)[:MAX_ANNOUNCED_UNLISTED]
            ],
            configuration_version=configuration_version,
            uses=uses or [],
            learnt=self._collect_learnt(now),
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

    def _collect_learnt(self, now: float) -> list[tuple[int, int, int, int, int]]:
        rows = []
        for engine in self.fleet.engines.values():
            told = engine.learnt.announce(now)
            if told is not None:
                limit, count, seconds, at_once = told
                rows.append(
                    (
                        compute_engine_key(engine),
                        round(limit * LIMIT_TENTHS),
                        count,
                        round(seconds * 1e3),
                        round(at_once),
                    )
                )
        return rows

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

    def apply_message(self, now: float, message: PeerMessage) -> bool:
        """Apply a peer's message; return False if it is outdated or this gateway's own.

        :param now: current monotonic time in seconds.
        :param message: the message.
        """
        if message.node == self.node:
            return False
        peer = self.peers.get(message.node)
        if peer is not None and self.is_outdated(
            now, peer, message.started_ms, message.number
        ):
            return False
        self.record_address(now, message.node, message.address)
        self.peers_known = True
        peer = self.peers[message.node]
        peer.started_ms, peer.number = message.started_ms, message.number
        self.live_changes += peer.received_at == float("-inf")
        peer.received_at = peer.heard_at = now
        engines_by_key = self._index_engines()
        self._apply_loads(peer, message)
        for key, hundredths, samples in message.speeds:
            if key in engines_by_key:
                engines_by_key[key].peer_speeds.replace(
                    message.node, hundredths, samples
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
        for key, tenths, count, total_ms, at_once in message.learnt:
            if key in engines_by_key:
                row = tenths / LIMIT_TENTHS, count, total_ms / 1e3, at_once
                engines_by_key[key].learnt.record_peer(now, message.node, row)
        for key, part_id, tokens in message.prefills:
            if key in engines_by_key and tokens:
                engines_by_key[key].cache.add((PromptPart(part_id, tokens),))
            elif key in engines_by_key:
                engines_by_key[key].cache.remove(part_id)
        return True

    def _apply_loads(self, peer: Peer, message: PeerMessage) -> None:
        engines_by_key = self._index_engines()
        former, peer.loaded = peer.loaded, {}
        for key, requests, prefill_ms in message.loads:
            engine = engines_by_key.get(key)
            if engine is not None:
                engine.peer_loads.replace(message.node, requests, prefill_ms)
                peer.loaded[key] = engine
        for key, engine in former.items():
            if key not in peer.loaded:
                engine.peer_loads.remove(message.node)

    def apply_limits(self, now: float, message: PeerMessage) -> Iterator[FleetEvent]:
        """Apply the limits that a peer observed, and yield an event for each change.

        :param now: current monotonic time in seconds.
        :param message: the message.
        """
        if not message.limits:
            return
        engines_by_key = self._index_engines()
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

    def apply_unlisted(
        self, now: float, message: PeerMessage, era: int, offset: int | None
    ) -> Iterator[FleetEvent]:
        """Drop the engines that a peer found unlisted where it has read on further.

        This gateway may be unable to read the registry. What it has read itself holds
        against a peer that has read less.

        :param now: current monotonic time in seconds.
        :param message: the message.
        :param era: era of the store in which this gateway has read the registry.
        :param offset: offset up to which it has; None if it has not.
        """
        is_further = offset is not None and message.registry_offset > offset
        if message.unlisted and is_further and message.store_era == era:
            yield from self.fleet.drop_unlisted(now, set(message.unlisted))

    def drop_silent_peers(self, now: float) -> Iterator[str]:
        """Drop the loads and speeds of silent peers, and yield their names.

        :param now: current monotonic time in seconds.
        """
        timeout_s = self.silence_timeout_s
        for node, peer in self.peers.items():
            if timeout_s <= now - peer.received_at < float("inf"):
                # The number stays, so that a late message is still known as outdated.
                peer.received_at, peer.demand = float("-inf"), Demand()
                self.live_changes += 1
                for engine in peer.loaded.values():
                    engine.peer_loads.remove(node)
                peer.loaded = {}
                for engine in self.fleet.engines.values():
                    engine.peer_speeds.remove(node)
                yield node

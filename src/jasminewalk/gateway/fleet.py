"""View that a gateway has of the engines: members, load, speed, health."""

import math
from collections import deque
from collections.abc import Iterable, Iterator

import attrs

from jasminewalk.exceptions import BadMessageError
from jasminewalk.gateway.prompt_cache import PromptCache
from jasminewalk.platform.configuration import EngineTraits, Service
from jasminewalk.platform.registry import (
    PREFILL,
    EngineEntry,
    decode_engine_entry,
)
from jasminewalk.platform.store import KeyedRecord

__all__ = ["EngineState", "Fleet", "FleetEvent", "Load", "Outcomes"]

# Seconds after an outage of the store within which living engines are listed again.
RELISTING_S = 2.0
# Seconds that an engine is avoided after its first failure; doubled with each more.
FIRST_SUSPICION_S = 0.5
LONGEST_SUSPICION_S = 4.0
# Seconds that an engine which has no room is left alone.
FULL_PAUSE_S = 0.15
# Status by which an engine says that a request was meant for another one.
MISDIRECTED = 421
# Weight of the newest outcome in an engine's failure rate.
FAILURE_WEIGHT = 0.08
# Seconds after which a failure rate without new outcomes fell to 1/e, so that an engine
# that recovered gets work again.
FAILURE_MEMORY_S = 4.0
# Failure rate up to which an engine counts as sound.
ACCEPTED_FAILURE_RATE = 0.1
# Weight of the newest observation in an engine's latency.
LATENCY_WEIGHT = 0.15
SLOWEST, FASTEST = 0.1, 6.0
# Observations of a speed that are kept, and which of them counts: others' work makes
# an engine look slower than it is, nothing makes it look faster.
SPEEDS_KEPT = 9
SPEED_QUANTILE = 0.7
# Seconds that a stream holds a slot of an unknown engine.
DEFAULT_HOLD_S = 0.15
# Seconds that a plain request takes at an unknown engine.
DEFAULT_LATENCY_S = 0.06


@attrs.define
class Load:
    """Work that one gateway has at an engine.

    :param requests: requests sent and not yet ended.
    :param reading_s: seconds that an engine of speed 1 needs for their unread prompts.
    """

    requests: int = 0
    reading_s: float = 0.0


@attrs.define
class Outcomes:
    """Outcomes of requests at an engine.

    :param ended: requests that ended.
    :param failed: those of them that the engine failed.
    """

    ended: int = 0
    failed: int = 0


@attrs.frozen
class FleetEvent:
    """A change of what a gateway believes of an engine, for its log.

    :param event: what changed.
    :param engine: id of the engine.
    :param detail: why, with the inputs that decided.
    """

    event: str
    engine: str
    detail: str


@attrs.define(eq=False)
class EngineState:
    """One engine as a gateway sees it.

    :param entry: its registry entry.
    :param cache: parts it is believed to keep.
    :param own: work that this gateway has there.
    :param peers: work that other gateways say they have there, by their names.
    :param speeds: newest observations of its speed by this gateway.
    :param peer_speeds: speed and number of observations of other gateways.
    :param latency_s: smoothed seconds of a plain request.
    :param failure_rate: smoothed share of failed requests of all gateways.
    :param unannounced: outcomes at this gateway since its last message.
    :param counted_failing: whether its failure rate was last logged as too high.
    :param suspect_until: instant up to which it is avoided.
    :param failures: failures in a row to reach it.
    :param gone_at: instant at which a missing entry counts as gone; None if listed.
    :param changing_until: instant up to which a change of its stage takes it away.
    :param progress_at: instant at which it last sent this gateway anything.
    :param hold_s: smoothed seconds that a stream holds one of its slots.
    """

    entry: EngineEntry
    cache: PromptCache
    own: Load = attrs.field(factory=Load)
    peers: dict[str, Load] = attrs.field(factory=dict)
    speeds: deque[float] = attrs.field(factory=lambda: deque(maxlen=SPEEDS_KEPT))
    peer_speeds: dict[str, tuple[float, int]] = attrs.field(factory=dict)
    latency_s: float = DEFAULT_LATENCY_S
    failure_rate: float = 0.0
    unannounced: Outcomes = attrs.field(factory=Outcomes)
    counted_failing: bool = False
    suspect_until: float = 0.0
    failures: int = 0
    gone_at: float | None = None
    changing_until: float = 0.0
    progress_at: float = float("-inf")
    hold_s: float = DEFAULT_HOLD_S

    @property
    def requests(self) -> int:
        """Requests that all gateways have at the engine."""
        return self.own.requests + sum(load.requests for load in self.peers.values())

    @property
    def reading_s(self) -> float:
        """Seconds of unread prompts of all gateways, for an engine of speed 1."""
        return self.own.reading_s + sum(load.reading_s for load in self.peers.values())

    @property
    def own_speed(self) -> float:
        """Speed that this gateway observed; 1 if it observed none."""
        if not self.speeds:
            return 1.0
        ranked = sorted(self.speeds)
        return ranked[int(SPEED_QUANTILE * (len(ranked) - 1) + 0.5)]

    @property
    def speed(self) -> float:
        """Speed relative to the engine that estimates are made for."""
        seen = [*self.peer_speeds.values(), (self.own_speed, len(self.speeds))]
        count = sum(number for _, number in seen)
        if not count:
            return 1.0
        return sum(speed * number for speed, number in seen) / count

    def observe_read(self, expected_s: float, taken_s: float) -> None:
        """Learn the speed from a prompt that was read without others before it.

        :param expected_s: seconds that an engine of speed 1 takes.
        :param taken_s: seconds it took.
        """
        speed = expected_s / max(taken_s, 1e-4)
        self.speeds.append(min(FASTEST, max(SLOWEST, speed)))

    def observe_latency(self, taken_s: float) -> None:
        """Learn the latency of plain requests.

        :param taken_s: seconds that a request took.
        """
        self.latency_s += LATENCY_WEIGHT * (taken_s - self.latency_s)

    def observe_hold(self, held_s: float) -> None:
        """Learn how long a stream holds a slot.

        :param held_s: seconds that a stream held one.
        """
        self.hold_s += LATENCY_WEIGHT * (held_s - self.hold_s)

    def inherit(self, former: "EngineState") -> None:
        """Take over what a new incarnation has in common with the one before.

        :param former: the incarnation before, on the same machine.
        """
        self.speeds, self.peer_speeds = former.speeds, former.peer_speeds
        self.latency_s, self.hold_s = former.latency_s, former.hold_s

    def observe_outcome(self, failed: bool) -> None:
        """Learn the failure rate.

        :param failed: whether the engine failed a request that it should have served.
        """
        self.unannounced.ended += 1
        self.unannounced.failed += failed
        self.learn_outcomes(Outcomes(1, int(failed)))

    def learn_outcomes(self, outcomes: Outcomes) -> None:
        """Learn the failure rate from outcomes at this gateway or another one.

        :param outcomes: the outcomes, at least one.
        """
        weight = 1.0 - (1.0 - FAILURE_WEIGHT) ** outcomes.ended
        share = outcomes.failed / outcomes.ended
        self.failure_rate += weight * (share - self.failure_rate)

    def forget_failures(self, elapsed_s: float) -> None:
        """Let the failure rate fall with time.

        :param elapsed_s: seconds since the last call.
        """
        self.failure_rate *= math.exp(-elapsed_s / FAILURE_MEMORY_S)

    @property
    def failing(self) -> float:
        """Failure rate beyond the accepted one; 0 for a sound engine."""
        return max(0.0, self.failure_rate - ACCEPTED_FAILURE_RATE)


class Fleet:
    """All engines that the registry lists, by id."""

    def __init__(self) -> None:
        self.engines: dict[str, EngineState] = {}
        self.services: dict[str, Service] = {}
        self.loaded = False
        self.store_returned_at = float("-inf")

    def usable(self, service: str, now: float) -> list[EngineState]:
        """Return engines that may get work, suspected ones only if no other is left.

        :param service: name of the service.
        :param now: current instant in seconds.
        """
        listed = [
            engine
            for engine in self.engines.values()
            if engine.entry.service == service
            and not engine.entry.leaving
            and (engine.gone_at is None or now < engine.gone_at)
        ]
        trusted = [
            engine
            for engine in listed
            if engine.suspect_until <= now and engine.changing_until <= now
        ]
        return trusted or listed

    def use_services(self, services: dict[str, Service]) -> None:
        """Take the services of a new configuration.

        :param services: services by name.
        """
        self.services = services
        for engine in self.engines.values():
            traits = self._traits(engine.entry.service)
            engine.cache.capacity_tokens = traits.kv_cache_tokens if traits else 0

    def store_returned(self, now: float) -> None:
        """Note the end of an outage of the store.

        :param now: current instant in seconds.
        """
        self.store_returned_at = now

    def replace(
        self, now: float, records: Iterable[KeyedRecord]
    ) -> Iterator[FleetEvent]:
        """Take the newest entry of each engine; engines without one are missing.

        :param now: current instant in seconds.
        :param records: newest record of each key.
        """
        records = list(records)
        listed = {record.key for record in records if record.value}
        yield from self.update(now, records)
        for engine_id in set(self.engines) - listed:
            yield from self._missing(now, engine_id)
        self.loaded = True

    def update(
        self, now: float, records: Iterable[KeyedRecord]
    ) -> Iterator[FleetEvent]:
        """Take changes of the registry in their order.

        :param now: current instant in seconds.
        :param records: records in the order of the topic.
        """
        for record in records:
            if record.value is None:
                yield from self._missing(now, record.key)
                continue
            try:
                entry = decode_engine_entry(record.key, record.value)
            except BadMessageError as error:
                yield FleetEvent("entry_unreadable", record.key, str(error))
                continue
            yield from self._listed(now, entry)

    def expire(self, now: float) -> Iterator[FleetEvent]:
        """Drop engines whose entry stayed missing.

        :param now: current instant in seconds.
        """
        for engine_id, engine in list(self.engines.items()):
            if engine.gone_at is not None and now >= engine.gone_at:
                del self.engines[engine_id]
                yield FleetEvent("engine_gone", engine_id, "entry is missing")

    def suspect(self, now: float, engine: EngineState, reason: str) -> FleetEvent:
        """Avoid an engine that did not answer.

        :param now: current instant in seconds.
        :param engine: the engine.
        :param reason: what was seen.
        """
        if engine.suspect_until <= now:
            engine.failures += 1
        avoided_s = min(
            LONGEST_SUSPICION_S, FIRST_SUSPICION_S * 2 ** (engine.failures - 1)
        )
        engine.suspect_until = max(engine.suspect_until, now + avoided_s)
        return FleetEvent(
            "engine_suspected",
            engine.entry.engine_id,
            f"{reason}; avoided for {avoided_s:.1f} s",
        )

    def rejected(
        self, now: float, engine: EngineState, status: int
    ) -> FleetEvent | None:
        """Avoid an engine that refused a request without running it.

        :param now: current instant in seconds.
        :param engine: the engine.
        :param status: status of its refusal.
        """
        if status == MISDIRECTED:
            reason = "it is another engine or in another stage than listed"
            return self.suspect(now, engine, reason)
        engine.suspect_until = max(engine.suspect_until, now + FULL_PAUSE_S)
        return None

    def trust(self, engine: EngineState) -> FleetEvent | None:
        """Trust an engine that answered.

        :param engine: the engine.
        """
        if not engine.failures:
            return None
        engine.failures = 0
        engine.suspect_until = 0.0
        return FleetEvent("engine_trusted", engine.entry.engine_id, "it answered")

    def failing_changes(self) -> Iterator[FleetEvent]:
        """Yield engines that began or ceased to fail too many requests."""
        for engine_id, engine in self.engines.items():
            if engine.counted_failing != (engine.failing > 0):
                engine.counted_failing = not engine.counted_failing
                event = "engine_failing" if engine.counted_failing else "engine_sound"
                rate = f"failure rate {engine.failure_rate:.2f}"
                yield FleetEvent(event, engine_id, rate)

    def _listed(self, now: float, entry: EngineEntry) -> Iterator[FleetEvent]:
        known = self.engines.get(entry.engine_id)
        if known is not None and known.entry.started_ms == entry.started_ms:
            known.gone_at = None
            if known.entry != entry:
                changed = f"stage={entry.stage or '-'} leaving={entry.leaving}"
                if known.entry.stage != entry.stage:
                    known.changing_until = 0.0
                known.entry = entry
                yield FleetEvent("engine_changed", entry.engine_id, changed)
            return
        traits = self._traits(entry.service)
        state = EngineState(entry, PromptCache(traits.kv_cache_tokens if traits else 0))
        if known is not None:
            state.inherit(known)
        self.engines[entry.engine_id] = state
        yield FleetEvent(
            "engine_listed",
            entry.engine_id,
            f"service={entry.service} address={entry.address} "
            f"zone={entry.failure_domain} stage={entry.stage or '-'}",
        )

    def _missing(self, now: float, engine_id: str) -> Iterator[FleetEvent]:
        engine = self.engines.get(engine_id)
        if engine is None or engine.gone_at is not None:
            return
        engine.gone_at = max(now, self.store_returned_at + RELISTING_S)
        wait_s = engine.gone_at - now
        yield FleetEvent("engine_missing", engine_id, f"gone in {wait_s:.1f} s")
        yield from self.expire(now)

    def _traits(self, service: str) -> EngineTraits | None:
        found = self.services.get(service)
        return found.engine if found else None


def in_stage(engines: Iterable[EngineState], stage: str) -> list[EngineState]:
    """Return the engines in a stage; engines without one count as decode.

    :param engines: engines to choose from.
    :param stage: ``prefill`` or ``decode``.
    """
    if stage == PREFILL:
        return [engine for engine in engines if engine.entry.stage == PREFILL]
    return [engine for engine in engines if engine.entry.stage != PREFILL]

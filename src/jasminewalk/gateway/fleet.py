"""View that a gateway has of the engines: members, load, speed, health."""

from collections.abc import Iterable, Iterator

import attrs

from jasminewalk.exceptions import BadMessageError
from jasminewalk.gateway.prompt_cache import PromptCache
from jasminewalk.platform.configuration import EngineTraits, Service
from jasminewalk.platform.registry import (
    DECODE,
    PREFILL,
    EngineEntry,
    decode_engine_entry,
)
from jasminewalk.platform.store import KeyedRecord

__all__ = ["EngineState", "Fleet", "FleetEvent", "Load"]

# Seconds after an outage of the store within which living engines are listed again.
RELISTING_S = 2.0
# Seconds that an engine is avoided after its first failure; doubled with each more.
FIRST_SUSPICION_S = 0.5
LONGEST_SUSPICION_S = 4.0
# Weight of the newest outcome in an engine's failure rate.
FAILURE_WEIGHT = 0.08
# Weight of the newest observation in an engine's speed.
SPEED_WEIGHT = 0.15
# Prompt tokens per second that an unknown engine reads in stage prefill.
DEFAULT_READ_RATE = 60_000.0
# Stage decode reads prompts at half the speed (the platform's protocol).
DECODE_READ_SHARE = 0.5
SLOWEST, FASTEST = 0.15, 3.0
# Seconds that a plain request takes at an unknown engine.
DEFAULT_LATENCY_S = 0.06


@attrs.define
class Load:
    """Work that one gateway has at an engine.

    :param requests: requests sent and not yet ended.
    :param prompt_tokens: prompt tokens among them that are still to be read.
    """

    requests: int = 0
    prompt_tokens: int = 0


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
    :param speed: speed relative to an engine of the default read rate.
    :param latency_s: smoothed seconds of a plain request.
    :param failure_rate: smoothed share of failed requests.
    :param suspect_until: instant up to which it is avoided.
    :param failures: failures in a row to reach it.
    :param gone_at: instant at which a missing entry counts as gone; None if listed.
    :param progress_at: instant of the last bytes from it.
    """

    entry: EngineEntry
    cache: PromptCache
    own: Load = attrs.field(factory=Load)
    peers: dict[str, Load] = attrs.field(factory=dict)
    speed: float = 1.0
    latency_s: float = DEFAULT_LATENCY_S
    failure_rate: float = 0.0
    suspect_until: float = 0.0
    failures: int = 0
    gone_at: float | None = None
    progress_at: float = 0.0

    @property
    def requests(self) -> int:
        """Requests that all gateways have at the engine."""
        return self.own.requests + sum(load.requests for load in self.peers.values())

    @property
    def prompt_tokens(self) -> int:
        """Prompt tokens still to be read at the engine, of all gateways."""
        return self.own.prompt_tokens + sum(
            load.prompt_tokens for load in self.peers.values()
        )

    @property
    def read_rate(self) -> float:
        """Prompt tokens that the engine reads in a second."""
        stage_share = DECODE_READ_SHARE if self.entry.stage == DECODE else 1.0
        return DEFAULT_READ_RATE * self.speed * stage_share

    def observe_read(self, expected_s: float, taken_s: float) -> None:
        """Learn the speed from a prompt that was read.

        :param expected_s: seconds it should have taken at the present speed.
        :param taken_s: seconds it took.
        """
        seen = self.speed * min(3.0, max(0.33, expected_s / max(taken_s, 1e-3)))
        learned = self.speed + SPEED_WEIGHT * (seen - self.speed)
        self.speed = min(FASTEST, max(SLOWEST, learned))

    def observe_latency(self, taken_s: float) -> None:
        """Learn the latency of plain requests.

        :param taken_s: seconds that a request took.
        """
        self.latency_s += SPEED_WEIGHT * (taken_s - self.latency_s)

    def observe_outcome(self, failed: bool) -> None:
        """Learn the failure rate.

        :param failed: whether the engine failed a request that it should have served.
        """
        self.failure_rate += FAILURE_WEIGHT * (float(failed) - self.failure_rate)


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
        trusted = [engine for engine in listed if engine.suspect_until <= now]
        return trusted or listed

    def may_get_work(self, engine: EngineState, now: float) -> bool:
        """Return whether an engine that was chosen before may still get work.

        :param engine: the engine.
        :param now: current instant in seconds.
        """
        current = self.engines.get(engine.entry.engine_id)
        return (
            current is engine
            and not engine.entry.leaving
            and (engine.gone_at is None or now < engine.gone_at)
        )

    def use_services(self, services: dict[str, Service]) -> None:
        """Take the services of a new configuration.

        :param services: services by name.
        """
        self.services = services
        for engine in self.engines.values():
            traits = self._traits(engine.entry.service)
            engine.cache.capacity_tokens = traits.memory_tokens if traits else 0

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

    def trust(self, engine: EngineState) -> FleetEvent | None:
        """Trust an engine that answered.

        :param engine: the engine.
        """
        if not engine.failures:
            return None
        engine.failures = 0
        engine.suspect_until = 0.0
        return FleetEvent("engine_trusted", engine.entry.engine_id, "it answered")

    def _listed(self, now: float, entry: EngineEntry) -> Iterator[FleetEvent]:
        known = self.engines.get(entry.engine_id)
        if known is not None and known.entry.started_ms == entry.started_ms:
            known.gone_at = None
            if known.entry != entry:
                changed = f"stage={entry.stage or '-'} leaving={entry.leaving}"
                known.entry = entry
                yield FleetEvent("engine_changed", entry.engine_id, changed)
            return
        traits = self._traits(entry.service)
        self.engines[entry.engine_id] = EngineState(
            entry,
            PromptCache(traits.memory_tokens if traits else 0),
            progress_at=now,
        )
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

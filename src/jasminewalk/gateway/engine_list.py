"""The engines that there are, by the registry as a gateway has read it."""

from collections import Counter
from collections.abc import Iterable, Iterator

import attrs

from jasminewalk.exceptions import BadMessageError
from jasminewalk.gateway.engine_state import EngineState
from jasminewalk.gateway.prompt_cache import PromptCache
from jasminewalk.platform.configuration import EngineTraits, Service
from jasminewalk.platform.registry import (
    UNKNOWN_START_MS,
    EngineEntry,
    decode_engine_entry,
)
from jasminewalk.platform.settings import DEFAULT_HEARTBEAT_S
from jasminewalk.platform.store import KeyedRecord

__all__ = ["EngineList", "FleetEvent"]

# After an outage of the store, running engines register again within this many seconds.
RELISTING_GRACE_S = 2.0
# Heartbeats for which an outage must last before the entry of a running engine can
# lapse in it: an entry lapses after three, and the last one came up to one before.
MIN_OUTAGE_HEARTBEATS = 2
# Seconds for which the state of an engine that is gone is kept, in case that the same
# incarnation is listed again.
GONE_KEPT_S = 60.0
# Seconds for which peers are told that an engine is gone.
GONE_ANNOUNCED_S = 10.0
# Seconds for which an engine that was gone is left alone when the store comes back from
# an older copy that still lists it. If it is alive, it writes its entry again by then;
# if not, the store removes the entry again.
RELISTED_HOLD_S = 5.0
# Seconds for which all engines of a service must have had the same version for it to be
# that of any stream.
ONLY_VERSION_S = 30.0


@attrs.frozen
class FleetEvent:
    """A change of an engine's recorded state, for the gateway log.

    :param event: name of the log event.
    :param engine: id of the engine.
    :param detail: reason, with the inputs of the decision.
    :param left_s: seconds for which the change holds, if it has an end.
    """

    event: str
    engine: str
    detail: str
    left_s: float | None = None

    @property
    def fields(self) -> dict[str, object]:
        """Fields of its log line."""
        fields: dict[str, object] = {"engine": self.engine, "detail": self.detail}
        if self.left_s is not None:
            fields["left_s"] = self.left_s
        return fields


class EngineList:
    """Engines of the registry, by id, and the changes of their entries.

    :param heartbeat_s: seconds between two writes of an engine's entry.
    """

    def __init__(self, heartbeat_s: float = DEFAULT_HEARTBEAT_S) -> None:
        self.heartbeat_s = heartbeat_s
        self.engines: dict[str, EngineState] = {}
        self.services: dict[str, Service] = {}
        self.gone: dict[str, EngineState] = {}
        self.loaded = False
        self.store_recovered_at = float("-inf")
        self.reads_older_copy = False
        self.loaded_at = float("inf")
        self.former_versions: dict[tuple[str, str], float] = {}
        # Gateways that send requests to the engines, with this one.
        self.gateways = 1

    def is_replaced(self, engine: EngineState) -> bool:
        """Return whether another incarnation is listed under the id of an engine.

        :param engine: the engine.
        """
        listed = self.engines.get(engine.entry.engine_id)
        return listed is not None and listed is not engine

    def count_listed(self, service: str) -> int:
        """Return how many engines of a service are known, also those not in use.

        :param service: name of the service.
        """
        return sum(engine.entry.service == service for engine in self.engines.values())

    def list_versions(self, service: str) -> set[str]:
        """Return the versions that the engines of a service name, also leaving ones.

        :param service: name of the service.
        """
        return {
            engine.entry.version
            for engine in self.engines.values()
            if engine.entry.service == service and engine.entry.version
        }

    def count_versions(self, service: str, now: float) -> Counter[str]:
        """Return how many usable engines of a service each named version has.

        :param service: name of the service.
        :param now: current monotonic time in seconds.
        """
        present = self._list_present(service, now)
        return Counter(held.entry.version for held in present if held.entry.version)

    def find_only_version(self, service: str, now: float) -> str:
        """Return the version that all engines of a service had for some time.

        Return an empty string if there were several, or this gateway began to read the
        registry later.

        :param service: name of the service.
        :param now: current monotonic time in seconds.
        """
        if now - self.loaded_at < ONLY_VERSION_S:
            return ""
        versions = {
            engine.entry.version
            for engine in self.engines.values()
            if engine.entry.service == service
        }
        versions.update(
            version
            for (held, version), seen_at in self.former_versions.items()
            if held == service and now - seen_at < ONLY_VERSION_S
        )
        return versions.pop() if len(versions) == 1 else ""

    def set_services(self, services: dict[str, Service]) -> None:
        """Apply the services of a new configuration.

        :param services: services by name.
        """
        self.services = services
        for engine in self.engines.values():
            traits = self._get_engine_traits(engine.entry.service)
            engine.cache.capacity_tokens = traits.kv_cache_tokens if traits else 0

    def record_store_recovery(self, now: float, unread_s: float) -> None:
        """Record that the registry is read again after a read that failed.

        Only an outage in which entries of running engines can lapse gives these time
        to be written again.

        :param now: current monotonic time in seconds.
        :param unread_s: seconds for which neither this gateway nor a peer had read the
            registry; infinite if none had before.
        """
        if MIN_OUTAGE_HEARTBEATS * self.heartbeat_s <= unread_s < float("inf"):
            self.store_recovered_at = now

    def record_new_era(self, now: float) -> None:
        """Record that the store came back from an older copy.

        The next snapshot may list engines that are gone, and older incarnations.

        :param now: current monotonic time in seconds.
        """
        self.store_recovered_at = now
        self.reads_older_copy = True

    def apply_snapshot(
        self, now: float, records: Iterable[KeyedRecord]
    ) -> Iterator[FleetEvent]:
        """Apply a full read of the registry; engines without an entry become missing.

        :param now: current monotonic time in seconds.
        :param records: newest record of each key.
        """
        records = list(records)
        listed = {record.key for record in records if record.value}
        yield from self.apply_changes(now, records)
        for engine_id in set(self.engines) - listed:
            yield from self._mark_missing(now, engine_id)
        if not self.loaded:
            self.loaded_at = now
        self.loaded, self.reads_older_copy = True, False

    def apply_changes(
        self, now: float, records: Iterable[KeyedRecord]
    ) -> Iterator[FleetEvent]:
        """Apply changes of the registry in order.

        :param now: current monotonic time in seconds.
        :param records: records in the order of the topic.
        """
        for record in records:
            if record.value is None:
                yield from self._mark_missing(now, record.key)
                continue
            try:
                entry = decode_engine_entry(record.key, record.value)
            except BadMessageError as error:
                if record.key in self.engines:
                    self.engines[record.key].unreadable = True
                yield FleetEvent("entry_unreadable", record.key, str(error))
                continue
            yield from self._update_entry(now, entry)

    def list_unlisted(self, now: float) -> list[EngineState]:
        """Return the engines that no entry names any more, the latest first.

        :param now: current monotonic time in seconds.
        """
        gone = [
            engine
            for engine in reversed(self.gone.values())
            if now - (engine.expires_at or 0.0) < GONE_ANNOUNCED_S
        ]
        return gone + [engine for engine in self.engines.values() if engine.unreadable]

    def drop_unlisted(self, now: float, keys: set[int]) -> Iterator[FleetEvent]:
        """Drop engines that a peer found to have no entry; later entries list them.

        :param now: current monotonic time in seconds.
        :param keys: keys of the engines.
        """
        for engine_id, engine in self.engines.items():
            if engine.key in keys:
                engine.expires_at = now
                yield FleetEvent("engine_missing", engine_id, "a peer has read so")
        yield from self.expire(now)

    def expire(self, now: float) -> Iterator[FleetEvent]:
        """Drop engines whose entry is still missing when their time is over.

        :param now: current monotonic time in seconds.
        """
        for engine_id, engine in list(self.engines.items()):
            if engine.expires_at is not None and now >= engine.expires_at:
                self.gone[engine_id] = self.engines.pop(engine_id)
                self._record_former_version(now, engine.entry)
                yield FleetEvent("engine_gone", engine_id, "entry is missing")
        self.gone = {
            engine_id: engine
            for engine_id, engine in self.gone.items()
            if engine.expires_at is not None and now < engine.expires_at + GONE_KEPT_S
        }

    def _list_present(self, service: str, now: float) -> list[EngineState]:
        return [
            engine
            for engine in self.engines.values()
            if engine.entry.service == service
            and not engine.leaving
            and not engine.unreadable
            and (engine.expires_at is None or now < engine.expires_at)
            and engine.held_until <= now
        ]

    def _update_entry(self, now: float, entry: EngineEntry) -> Iterator[FleetEvent]:
        known = self.engines.get(entry.engine_id)
        gone = self.gone.get(entry.engine_id)
        newest = known or gone
        if newest is not None and entry.started_ms == UNKNOWN_START_MS:
            entry = attrs.evolve(entry, started_ms=newest.entry.started_ms)
        if known is not None and known.entry.started_ms == entry.started_ms:
            if known.entry.version != entry.version:
                self._record_former_version(now, known.entry)
            yield from self._change_entry(known, entry)
            return
        if newest is not None and self._is_outdated(newest, entry):
            detail = f"started at {entry.started_ms}, known {newest.entry.started_ms}"
            yield FleetEvent("entry_outdated", entry.engine_id, detail)
            return
        self.gone.pop(entry.engine_id, None)
        if gone is not None and gone.entry.started_ms == entry.started_ms:
            yield from self._relist(now, gone, entry)
            return
        traits = self._get_engine_traits(entry.service)
        state = EngineState(entry, PromptCache(traits.kv_cache_tokens if traits else 0))
        if known is not None:
            state.copy_estimates(known)
            self._record_former_version(now, known.entry)
        self.engines[entry.engine_id] = state
        yield FleetEvent(
            "engine_listed",
            entry.engine_id,
            f"service={entry.service} address={entry.address} "
            f"zone={entry.failure_domain} stage={entry.stage or '-'} "
            f"started={entry.started_ms or '-'} version={entry.version or '-'}",
        )

    def _change_entry(
        self, known: EngineState, entry: EngineEntry
    ) -> Iterator[FleetEvent]:
        was_listed = known.expires_at is None and not known.unreadable
        was_held = known.held_until > float("-inf")
        known.expires_at, known.held_until = None, float("-inf")
        known.unreadable = False
        if known.entry == entry and was_listed and not was_held:
            return
        if known.entry.stage != entry.stage:
            known.changing_until = 0.0
        # An older copy of the store may show the entry of before it was leaving.
        known.said_leaving = known.leaving
        known.entry = entry
        changed = f"stage={entry.stage or '-'} leaving={known.leaving}"
        yield FleetEvent("engine_changed", entry.engine_id, changed)

    def _relist(
        self, now: float, engine: EngineState, entry: EngineEntry
    ) -> Iterator[FleetEvent]:
        self.engines[entry.engine_id] = engine
        engine.expires_at = None
        yield from self._change_entry(engine, entry)
        if self.reads_older_copy:
            engine.held_until = now + RELISTED_HOLD_S
            detail = "it was gone before the store came back from an older copy"
            yield FleetEvent(
                "engine_held", entry.engine_id, detail, left_s=RELISTED_HOLD_S
            )
        else:
            detail = f"again, as started at {entry.started_ms}"
            yield FleetEvent("engine_listed", entry.engine_id, detail)

    def _is_outdated(self, known: EngineState, entry: EngineEntry) -> bool:
        return self.reads_older_copy and entry.started_ms < known.entry.started_ms

    def _mark_missing(self, now: float, engine_id: str) -> Iterator[FleetEvent]:
        engine = self.engines.get(engine_id)
        if engine is None or engine.expires_at is not None:
            return
        engine.expires_at = max(now, self.store_recovered_at + RELISTING_GRACE_S)
        wait_s = engine.expires_at - now
        yield FleetEvent("engine_missing", engine_id, f"gone in {wait_s:.1f} s")
        yield from self.expire(now)

    def _record_former_version(self, now: float, entry: EngineEntry) -> None:
        self.former_versions = {
            key: seen_at
            for key, seen_at in self.former_versions.items()
            if now - seen_at < ONLY_VERSION_S
        }
        self.former_versions[entry.service, entry.version] = now

    def _get_engine_traits(self, service: str) -> EngineTraits | None:
        found = self.services.get(service)
        return found.engine if found else None

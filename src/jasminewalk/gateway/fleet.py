"""State of the engines as one gateway knows it: membership, load, speed, health."""

import math
from collections import deque
from collections.abc import Iterable, Iterator

import attrs

from jasminewalk.exceptions import BadMessageError
from jasminewalk.gateway.engine_backoff import EngineBackoff
from jasminewalk.gateway.prompt_cache import PromptCache
from jasminewalk.gateway.request_limit import RequestLimit
from jasminewalk.platform.configuration import EngineTraits, Service
from jasminewalk.platform.registry import (
    PREFILL,
    UNKNOWN_START_MS,
    EngineEntry,
    decode_engine_entry,
)
from jasminewalk.platform.store import KeyedRecord

__all__ = ["EngineState", "Fleet", "FleetEvent", "Load", "Outcomes"]

# After an outage of the store, running engines register again within this many seconds.
RELISTING_GRACE_S = 2.0
# Seconds for which the state of an engine that is gone is kept, in case that the same
# incarnation is listed again.
GONE_KEPT_S = 60.0
# Seconds for which an engine that was gone is left alone when the store comes back from
# an older copy that still lists it. If it is alive, it writes its entry again by then;
# if not, the store removes the entry again.
RELISTED_HOLD_S = 5.0
# Seconds for which all engines of a service must have had the same version for it to be
# that of any stream.
ONLY_VERSION_S = 30.0
# Seconds that an engine is avoided after its first failure to connect or answer;
# doubled with each further one, up to the maximum.
MIN_SUSPICION_S = 0.5
MAX_SUSPICION_S = 4.0
# Seconds that an engine is avoided after it refused a request for lack of capacity.
FULL_BACKOFF_S = 0.15
# Status with which an engine refuses a request that names another engine or stage.
MISDIRECTED_REQUEST = 421
# Weight of the newest outcome in an engine's moving average of failures.
FAILURE_WEIGHT = 0.08
# Time constant in seconds with which a failure rate decays, so that an engine that
# recovered gets requests again.
FAILURE_DECAY_S = 4.0
# Failure rate up to which an engine counts as healthy.
ACCEPTED_FAILURE_RATE = 0.1
# Weight of the newest observation in the moving averages of latency and residence time.
LATENCY_WEIGHT = 0.15
# Bounds of a speed sample, relative to the reference engine.
MIN_SPEED, MAX_SPEED = 0.1, 6.0
# Speed samples kept per engine, and the quantile of them that is used. It is above the
# median because concurrent requests make an engine look slower, never faster.
MAX_SPEED_SAMPLES = 9
SPEED_QUANTILE = 0.7
# Initial estimate of the seconds that a stream occupies a slot.
DEFAULT_RESIDENCE_S = 0.15
# Window in seconds over which requests to an engine are counted.
SENT_WINDOW_S = 4.0
# Initial estimate of the seconds that a plain request takes.
DEFAULT_LATENCY_S = 0.06


@attrs.define
class Load:
    """Load that one gateway puts on an engine.

    :param requests: requests in flight.
    :param prefill_s: prefill left for them, in seconds on an engine of speed 1.
    """

    requests: int = 0
    prefill_s: float = 0.0


@attrs.define
class Outcomes:
    """Counts of requests that ended at an engine.

    :param ended: requests that ended.
    :param failed: how many of them the engine failed.
    """

    ended: int = 0
    failed: int = 0


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


@attrs.define(eq=False)
class EngineState:
    """State of one engine as this gateway knows it.

    :param entry: registry entry of its present incarnation.
    :param cache: estimate of the prompt parts in its cache.
    :param own_load: load from this gateway.
    :param peer_loads: loads that the peers announced, by name of the gateway.
    :param speeds: latest speed samples of this gateway, oldest first.
    :param peer_speeds: speed and number of samples of each peer.
    :param latency_s: moving average of the seconds that a plain request takes.
    :param failure_rate: moving average of the share of requests that failed, over all
        gateways.
    :param unannounced_outcomes: outcomes at this gateway since its last message.
    :param logged_failing: whether the log last reported its failure rate as too high.
    :param suspect_until: monotonic time up to which it is avoided.
    :param failures: consecutive failures, not counting any while it is avoided.
    :param expires_at: monotonic time at which an engine without a registry entry is
        dropped; None while it has one.
    :param changing_until: monotonic time up to which a change of its stage makes it
        unavailable.
    :param last_progress_at: monotonic time at which it last sent this gateway any data.
    :param residence_s: moving average of the seconds that a stream occupies a slot.
    :param limit: limit on its requests from all gateways together.
    :param sent_times: monotonic times of the latest requests of this gateway, oldest
        first.
    :param said_leaving: whether a response, or a peer that had one, said that this
        incarnation is leaving.
    :param backoff: time for which it wants nothing from this gateway.
    :param held_until: monotonic time up to which it gets nothing because only an older
        copy of the store lists it.
    """

    entry: EngineEntry
    cache: PromptCache
    own_load: Load = attrs.field(factory=Load)
    peer_loads: dict[str, Load] = attrs.field(factory=dict)
    speeds: deque[float] = attrs.field(factory=lambda: deque(maxlen=MAX_SPEED_SAMPLES))
    peer_speeds: dict[str, tuple[float, int]] = attrs.field(factory=dict)
    latency_s: float = DEFAULT_LATENCY_S
    failure_rate: float = 0.0
    unannounced_outcomes: Outcomes = attrs.field(factory=Outcomes)
    logged_failing: bool = False
    suspect_until: float = 0.0
    failures: int = 0
    expires_at: float | None = None
    changing_until: float = 0.0
    last_progress_at: float = float("-inf")
    residence_s: float = DEFAULT_RESIDENCE_S
    limit: RequestLimit = attrs.field(factory=RequestLimit)
    sent_times: deque[float] = attrs.field(factory=deque)
    said_leaving: bool = False
    backoff: EngineBackoff = attrs.field(factory=EngineBackoff)
    held_until: float = float("-inf")

    @property
    def leaving(self) -> bool:
        """Whether it is leaving, by its registry entry or by what it said."""
        return self.entry.leaving or self.said_leaving

    @property
    def may_end(self) -> bool:
        """Whether its process may end by itself: it is leaving, or has no entry."""
        return self.leaving or self.expires_at is not None

    @property
    def requests(self) -> int:
        """Requests in flight from all gateways."""
        return self.own_load.requests + sum(
            load.requests for load in self.peer_loads.values()
        )

    @property
    def prefill_s(self) -> float:
        """Prefill left for all gateways, in seconds on an engine of speed 1."""
        return self.own_load.prefill_s + sum(
            load.prefill_s for load in self.peer_loads.values()
        )

    @property
    def own_speed(self) -> float:
        """Speed measured by this gateway; 1 without samples."""
        if not self.speeds:
            return 1.0
        ranked = sorted(self.speeds)
        return ranked[int(SPEED_QUANTILE * (len(ranked) - 1) + 0.5)]

    @property
    def speed(self) -> float:
        """Speed relative to the reference engine, averaged over all gateways."""
        estimates = [*self.peer_speeds.values(), (self.own_speed, len(self.speeds))]
        total_samples = sum(samples for _, samples in estimates)
        if not total_samples:
            return 1.0
        return sum(speed * samples for speed, samples in estimates) / total_samples

    def compute_backoff_wait_s(self, now: float) -> float:
        """Return the seconds until it takes another request after it turned some away.

        :param now: current monotonic time in seconds.
        """
        return self.backoff.compute_wait_s(
            now, self.own_load.requests, self.entry.slots
        )

    def observe_prefill(self, expected_s: float, elapsed_s: float) -> None:
        """Add a speed sample from a prefill that did not wait for other requests.

        :param expected_s: seconds that an engine of speed 1 takes.
        :param elapsed_s: seconds that this engine took.
        """
        speed = expected_s / max(elapsed_s, 1e-4)
        self.speeds.append(min(MAX_SPEED, max(MIN_SPEED, speed)))

    def observe_latency(self, elapsed_s: float) -> None:
        """Update the average latency of plain requests.

        :param elapsed_s: seconds that the request took.
        """
        self.latency_s += LATENCY_WEIGHT * (elapsed_s - self.latency_s)

    def observe_residence(self, observed_s: float) -> None:
        """Update the average time that a stream occupies a slot.

        :param observed_s: seconds that the stream occupied a slot.
        """
        self.residence_s += LATENCY_WEIGHT * (observed_s - self.residence_s)

    def record_sent(self, now: float) -> None:
        """Count a request that this gateway sends the engine.

        :param now: current monotonic time in seconds.
        """
        self.limit.take(now)
        self.sent_times.append(now)
        while self.sent_times[0] <= now - SENT_WINDOW_S:
            self.sent_times.popleft()

    def count_sent(self, now: float) -> int:
        """Return how many requests this gateway sent the engine in the window.

        :param now: current monotonic time in seconds.
        """
        return sum(sent_at > now - SENT_WINDOW_S for sent_at in self.sent_times)

    def copy_estimates(self, previous: "EngineState") -> None:
        """Copy the estimates of the previous incarnation on the same machine.

        :param previous: state of the previous incarnation of the engine.
        """
        self.speeds, self.peer_speeds = previous.speeds, previous.peer_speeds
        self.latency_s, self.residence_s = previous.latency_s, previous.residence_s

    def record_outcome(self, failed: bool) -> None:
        """Count the outcome of one request of this gateway.

        :param failed: whether the engine failed a request that it should have served.
        """
        self.unannounced_outcomes.ended += 1
        self.unannounced_outcomes.failed += failed
        self.update_failure_rate(Outcomes(1, int(failed)))

    def update_failure_rate(self, outcomes: Outcomes) -> None:
        """Update the failure rate with outcomes at this gateway or a peer.

        :param outcomes: counts of at least one request.
        """
        weight = 1.0 - (1.0 - FAILURE_WEIGHT) ** outcomes.ended
        share = outcomes.failed / outcomes.ended
        self.failure_rate += weight * (share - self.failure_rate)

    def decay_failure_rate(self, elapsed_s: float) -> None:
        """Decay the failure rate with time.

        :param elapsed_s: seconds since the last call.
        """
        self.failure_rate *= math.exp(-elapsed_s / FAILURE_DECAY_S)

    @property
    def excess_failure_rate(self) -> float:
        """Failure rate above the accepted one; 0 for a healthy engine."""
        return max(0.0, self.failure_rate - ACCEPTED_FAILURE_RATE)


class Fleet:
    """Engines of the registry, by id."""

    def __init__(self) -> None:
        self.engines: dict[str, EngineState] = {}
        self.services: dict[str, Service] = {}
        self.gone: dict[str, EngineState] = {}
        self.loaded = False
        self.store_recovered_at = float("-inf")
        self.reads_older_copy = False
        self.loaded_at = float("inf")
        self.former_versions: dict[tuple[str, str], float] = {}

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

    def list_usable(self, service: str, now: float) -> list[EngineState]:
        """Return the engines of a service that may get requests.

        Suspected and changing ones are included only if there are no others.

        :param service: name of the service.
        :param now: current monotonic time in seconds.
        """
        return _prefer_trusted(self._list_present(service, now), now)

    def list_available(
        self, service: str, now: float, version: str | None = None
    ) -> list[EngineState]:
        """Return the usable engines of a service that take another request now.

        An engine that turned requests away for a time is left out, and so is one whose
        limit has no room.

        :param service: name of the service.
        :param now: current monotonic time in seconds.
        :param version: version of the software that they must have; None for any.
        """
        present = [
            engine
            for engine in self._list_present(service, now)
            if not engine.compute_backoff_wait_s(now)
            and (version is None or engine.entry.version == version)
        ]
        usable = _prefer_trusted(present, now)
        return [engine for engine in usable if engine.limit.has_room(now)]

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

    def _record_former_version(self, now: float, entry: EngineEntry) -> None:
        self.former_versions = {
            key: seen_at
            for key, seen_at in self.former_versions.items()
            if now - seen_at < ONLY_VERSION_S
        }
        self.former_versions[entry.service, entry.version] = now

    def find_shortest_backoff(self, service: str, now: float) -> EngineState | None:
        """Return the first engine to come back of those that turned requests away.

        :param service: name of the service.
        :param now: current monotonic time in seconds.
        """
        waiting = [
            engine
            for engine in self._list_present(service, now)
            if engine.compute_backoff_wait_s(now)
        ]
        return min(
            waiting,
            key=lambda engine: engine.compute_backoff_wait_s(now),
            default=None,
        )

    def compute_limit_wait_s(self, service: str, now: float) -> float | None:
        """Return the seconds until the limit of an engine has room again.

        Return None if no limit keeps requests from the service's usable engines.

        :param service: name of the service.
        :param now: current monotonic time in seconds.
        """
        waits = (
            engine.limit.compute_wait_s(now)
            for engine in self.list_usable(service, now)
            if not engine.compute_backoff_wait_s(now)
        )
        return min((wait_s for wait_s in waits if wait_s > 0), default=None)

    def set_services(self, services: dict[str, Service]) -> None:
        """Apply the services of a new configuration.

        :param services: services by name.
        """
        self.services = services
        for engine in self.engines.values():
            traits = self._get_engine_traits(engine.entry.service)
            engine.cache.capacity_tokens = traits.kv_cache_tokens if traits else 0

    def record_store_recovery(self, now: float) -> None:
        """Record the end of an outage of the store.

        :param now: current monotonic time in seconds.
        """
        self.store_recovered_at = now

    def record_new_era(self, now: float) -> None:
        """Record that the store came back from an older copy.

        The next snapshot may list engines that are gone, and older incarnations.

        :param now: current monotonic time in seconds.
        """
        self.record_store_recovery(now)
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
                yield FleetEvent("entry_unreadable", record.key, str(error))
                continue
            yield from self._update_entry(now, entry)

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

    def record_limit(
        self, now: float, engine: EngineState, per_s: float | None, at: float
    ) -> FleetEvent | None:
        """Record the limit that an engine names; return an event if it changed.

        :param now: current monotonic time in seconds.
        :param engine: the engine.
        :param per_s: requests per second; None if the engine names no limit.
        :param at: monotonic time at which that held.
        """
        if not engine.limit.observe(per_s, at):
            return None
        sent = f"{engine.count_sent(now)} requests sent here in {SENT_WINDOW_S:g} s"
        if per_s is None:
            return FleetEvent("engine_unlimited", engine.entry.engine_id, sent)
        detail = f"{per_s:g} requests a second from all gateways; {sent}"
        return FleetEvent("engine_limited", engine.entry.engine_id, detail)

    def record_leaving(self, engine: EngineState, reason: str) -> FleetEvent | None:
        """Record that an engine said that it is leaving; return an event if it is news.

        :param engine: the engine.
        :param reason: how this gateway learned of it, for the log.
        """
        if engine.said_leaving:
            return None
        engine.said_leaving = True
        return FleetEvent("engine_leaving", engine.entry.engine_id, reason)

    def record_backoff(
        self, now: float, engine: EngineState, wait_s: float
    ) -> FleetEvent | None:
        """Record that an engine turned a request away; return an event if it is news.

        :param now: current monotonic time in seconds.
        :param engine: the engine.
        :param wait_s: seconds for which it wants nothing from this gateway.
        """
        was_active = engine.backoff.is_active(now)
        if not engine.backoff.extend(now, wait_s) or not wait_s:
            return None
        longer = "again, for longer" if was_active else "nothing is sent to it"
        detail = f"{longer}; {engine.count_sent(now)} requests sent here in "
        return FleetEvent(
            "engine_backoff",
            engine.entry.engine_id,
            f"{detail}{SENT_WINDOW_S:g} s",
            left_s=round(wait_s, 2),
        )

    def suspect(self, now: float, engine: EngineState, reason: str) -> FleetEvent:
        """Avoid an engine that did not answer, longer with each consecutive failure.

        :param now: current monotonic time in seconds.
        :param engine: the engine.
        :param reason: what was observed, for the log.
        """
        if engine.suspect_until <= now:
            engine.failures += 1
        suspicion_s = min(MAX_SUSPICION_S, MIN_SUSPICION_S * 2 ** (engine.failures - 1))
        engine.suspect_until = max(engine.suspect_until, now + suspicion_s)
        return FleetEvent(
            "engine_suspected",
            engine.entry.engine_id,
            f"{reason}; avoided for {suspicion_s:.1f} s",
        )

    def record_rejection(
        self, now: float, engine: EngineState, status: int
    ) -> FleetEvent | None:
        """Avoid an engine that refused a request without running it.

        Return an event if the engine differs from its registry entry.

        :param now: current monotonic time in seconds.
        :param engine: the engine.
        :param status: HTTP status of the refusal.
        """
        if status == MISDIRECTED_REQUEST:
            reason = "its id or stage differs from its registry entry"
            return self.suspect(now, engine, reason)
        engine.suspect_until = max(engine.suspect_until, now + FULL_BACKOFF_S)
        return None

    def trust(self, engine: EngineState) -> FleetEvent | None:
        """End the suspicion of an engine that answered.

        Return an event if the engine was suspected.

        :param engine: the engine.
        """
        if not engine.failures:
            return None
        engine.failures = 0
        engine.suspect_until = 0.0
        return FleetEvent("engine_trusted", engine.entry.engine_id, "it answered")

    def detect_failure_changes(self) -> Iterator[FleetEvent]:
        """Yield an event for each engine that became failing or healthy again."""
        for engine_id, engine in self.engines.items():
            if engine.logged_failing != (engine.excess_failure_rate > 0):
                engine.logged_failing = not engine.logged_failing
                event = "engine_failing" if engine.logged_failing else "engine_sound"
                rate = f"failure rate {engine.failure_rate:.2f}"
                yield FleetEvent(event, engine_id, rate)

    def _list_present(self, service: str, now: float) -> list[EngineState]:
        return [
            engine
            for engine in self.engines.values()
            if engine.entry.service == service
            and not engine.leaving
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
        known.expires_at, known.held_until = None, float("-inf")
        if known.entry == entry:
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

    def _get_engine_traits(self, service: str) -> EngineTraits | None:
        found = self.services.get(service)
        return found.engine if found else None


def _prefer_trusted(engines: list[EngineState], now: float) -> list[EngineState]:
    """Return the engines that are neither suspected nor changing, or all if all are."""
    trusted = [
        engine
        for engine in engines
        if engine.suspect_until <= now and engine.changing_until <= now
    ]
    return trusted or engines


def filter_by_stage(engines: Iterable[EngineState], stage: str) -> list[EngineState]:
    """Return the engines in a stage; engines without a stage count as decode.

    :param engines: engines to filter.
    :param stage: ``prefill`` or ``decode``.
    """
    if stage == PREFILL:
        return [engine for engine in engines if engine.entry.stage == PREFILL]
    return [engine for engine in engines if engine.entry.stage != PREFILL]

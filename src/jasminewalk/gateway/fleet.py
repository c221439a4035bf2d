"""The engines as one gateway knows them, and which of them may be used."""

from collections.abc import Iterable, Iterator

from jasminewalk.gateway.engine_list import EngineList, FleetEvent
from jasminewalk.gateway.engine_state import (
    SENT_WINDOW_S,
    EngineState,
    Outcomes,
)
from jasminewalk.gateway.peer_sums import Load
from jasminewalk.platform.registry import PREFILL

__all__ = ["EngineState", "Fleet", "FleetEvent", "Load", "Outcomes"]

# Seconds that an engine is avoided after its first failure to connect or answer;
# doubled with each further one, up to the maximum.
MIN_SUSPICION_S = 0.5
MAX_SUSPICION_S = 4.0
# Seconds that an engine is avoided after it refused a request for lack of capacity.
FULL_BACKOFF_S = 0.15
# Failure rate below which an engine that the log calls failing is called sound again;
# it is lower than the one from which it is failing, so that these do not alternate.
SOUND_FAILURE_RATE = 0.05
# Status with which an engine refuses a request that names another engine or stage.
MISDIRECTED_REQUEST = 421


class Fleet(EngineList):
    """Engines of the registry, and which of them may be used."""

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
        limit, named by itself or learnt, has no room.

        :param service: name of the service.
        :param now: current monotonic time in seconds.
        :param version: version of the software that they must have; None for any.
        """
        present = [
            engine
            for engine in self._list_present(service, now)
            if not engine.compute_backoff_wait_s(now)
            and (version is None or engine.entry.version == version)
            and engine.limit.has_room(now)
            and engine.learnt.has_room(now, engine.requests, self.gateways)
        ]
        return _prefer_trusted(present, now)

    def is_at_learnt_limits(self, service: str, now: float) -> bool:
        """Return whether only learnt limits keep requests from usable engines.

        :param service: name of the service.
        :param now: current monotonic time in seconds.
        """
        return any(
            not engine.learnt.has_room(now, engine.requests, self.gateways)
            for engine in self.list_usable(service, now)
            if not engine.compute_backoff_wait_s(now) and engine.limit.has_room(now)
        )

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
        engine.suspected_at = now
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
            if engine.logged_failing:
                changed = engine.failure_rate < SOUND_FAILURE_RATE
            else:
                changed = engine.excess_failure_rate > 0
            if changed:
                engine.logged_failing = not engine.logged_failing
                event = "engine_failing" if engine.logged_failing else "engine_sound"
                rate = f"failure rate {engine.failure_rate:.2f}"
                yield FleetEvent(event, engine_id, rate)


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

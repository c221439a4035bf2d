"""Decision how many engines read prompts for others, and which one changes."""

from collections.abc import Sequence

import attrs

from jasminewalk.gateway.demand import Demand
from jasminewalk.gateway.fleet import EngineState, in_stage
from jasminewalk.platform.registry import DECODE, PREFILL

__all__ = ["StageChange", "StagePlanner"]

# Engine seconds in a second below which no change pays.
IDLE_DEMAND = 0.3


@attrs.frozen
class StageChange:
    """An engine that shall change its stage.

    :param engine: the engine.
    :param stage: stage it shall take.
    :param reason: inputs that decided, for the log.
    """

    engine: EngineState
    stage: str
    reason: str


@attrs.define
class StagePlanner:
    """Divides a service's engines between reading prompts and answering.

    It answers the swing between long prompts and short questions: it chooses the number
    of reading engines at which the busier side is least busy, and changes one engine at
    a time, only for a gain that is worth an engine's absence.

    :param settle_s: seconds between two changes of a service.
    :param least_gain: share by which a change must lower the busier side's load.
    """

    settle_s: float = 6.0
    least_gain: float = 0.45
    changed_at: dict[str, float] = attrs.field(factory=dict)

    def plan(
        self,
        now: float,
        service: str,
        engines: Sequence[EngineState],
        demand: Demand,
    ) -> StageChange | None:
        """Return the next change of a service, or None.

        :param now: current instant in seconds.
        :param service: name of the service.
        :param engines: its engines that may get work.
        :param demand: work that all callers ask for.
        """
        if now - self.changed_at.get(service, float("-inf")) < self.settle_s:
            return None
        if len(engines) < 2:
            return None
        readers = in_stage(engines, PREFILL)
        others = in_stage(engines, DECODE)
        if not readers or not others:
            return self._missing_stage(readers, others)
        if demand.reading + demand.answering < IDLE_DEMAND:
            return None
        present = _busier_side(readers, others, demand)
        best: tuple[float, EngineState, str] | None = None
        if len(others) > 1:
            engine = min(others, key=_speed)
            load = _busier_side(
                [*readers, engine], [e for e in others if e is not engine], demand
            )
            best = (load, engine, PREFILL)
        if len(readers) > 1:
            engine = max(readers, key=_speed)
            load = _busier_side(
                [e for e in readers if e is not engine], [*others, engine], demand
            )
            if best is None or load < best[0]:
                best = (load, engine, DECODE)
        if best is None or best[0] > (1.0 - self.least_gain) * present:
            return None
        reason = (
            f"{len(readers)} of {len(engines)} engines read prompts; reading "
            f"{demand.reading:.2f}, answering {demand.answering:.2f}; busier side "
            f"{present:.2f}, expected {best[0]:.2f}"
        )
        return StageChange(best[1], best[2], reason)

    def changed(self, now: float, service: str) -> None:
        """Note that a change of a service was ordered.

        :param now: current instant in seconds.
        :param service: name of the service.
        """
        self.changed_at[service] = now

    def _missing_stage(
        self, readers: Sequence[EngineState], others: Sequence[EngineState]
    ) -> StageChange:
        if not others:
            engine = max(readers, key=_speed)
            return StageChange(engine, DECODE, "no engine answers")
        return StageChange(min(others, key=_speed), PREFILL, "no engine reads prompts")


def _speed(engine: EngineState) -> tuple[float, str]:
    return engine.speed, engine.entry.engine_id


def _busier_side(
    readers: Sequence[EngineState], others: Sequence[EngineState], demand: Demand
) -> float:
    reading = demand.reading / sum(engine.speed for engine in readers)
    answering = demand.answering / sum(engine.speed for engine in others)
    return max(reading, answering)

"""Decision how many engines read prompts for others, and which one changes."""

from collections.abc import Sequence

import attrs

from jasminewalk.gateway.demand import Demand
from jasminewalk.gateway.fleet import EngineState, filter_by_stage
from jasminewalk.platform.registry import DECODE, PREFILL

__all__ = ["StageChange", "StagePlanner"]

# Share of an engine's time that can be used without queueing.
USABLE_SHARE = 0.8


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

    It answers the swing between long prompts and short questions. A change must save
    more work than the engine's absence costs, over the time for which the mix holds.
    Fast engines read: in stage prefill an engine reads more than twice as fast, and the
    largest prompts are in time only there.

    :param settle_s: seconds between two changes of a service.
    :param horizon_s: seconds for which the mix is expected to hold.
    :param away_s: seconds that a change takes an engine away.
    :param change_cost: weight of the work that is lost meanwhile.
    """

    settle_s: float = 10.0
    horizon_s: float = 10.0
    away_s: float = 4.0
    change_cost: float = 1.8
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
        readers = filter_by_stage(engines, PREFILL)
        others = filter_by_stage(engines, DECODE)
        if not readers or not others:
            return self._missing_stage(readers, others)
        changes = []
        if len(others) > 1:
            changes.append((max(others, key=_speed), PREFILL))
        if len(readers) > 1:
            changes.append((min(readers, key=_speed), DECODE))
        if not changes:
            return None
        gains = [
            (self._gain_s(readers, others, engine, stage, demand), engine, stage)
            for engine, stage in changes
        ]
        gain_s, engine, stage = max(gains, key=lambda found: found[0])
        if gain_s <= 0:
            return None
        reason = (
            f"{len(readers)} of {len(engines)} engines read prompts; asked for are "
            f"{demand.reading:.2f} of reading and {demand.answering:.2f} of answering; "
            f"a change saves {gain_s:.1f} engine seconds"
        )
        return StageChange(engine, stage, reason)

    def _gain_s(
        self,
        readers: Sequence[EngineState],
        others: Sequence[EngineState],
        engine: EngineState,
        stage: str,
        demand: Demand,
    ) -> float:
        present = _unserved(readers, others, demand)
        if stage == PREFILL:
            left = [other for other in others if other is not engine]
            after = _unserved([*readers, engine], left, demand)
        else:
            left = [reader for reader in readers if reader is not engine]
            after = _unserved(left, [*others, engine], demand)
        cost_s = self.change_cost * self.away_s * engine.speed
        return (present - after) * self.horizon_s - cost_s

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
            engine = min(readers, key=_speed)
            return StageChange(engine, DECODE, "no engine answers")
        return StageChange(max(others, key=_speed), PREFILL, "no engine reads prompts")


def _speed(engine: EngineState) -> tuple[float, str]:
    return engine.speed, engine.entry.engine_id


def _unserved(
    readers: Sequence[EngineState], others: Sequence[EngineState], demand: Demand
) -> float:
    reading = demand.reading - USABLE_SHARE * sum(e.speed for e in readers)
    answering = demand.answering - USABLE_SHARE * sum(e.speed for e in others)
    return max(0.0, reading) + max(0.0, answering)

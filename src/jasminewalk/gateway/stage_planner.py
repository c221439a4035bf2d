"""Choice of the next engine to change its stage."""

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
    """A planned change of an engine's stage.

    :param engine: the engine.
    :param stage: stage to change to.
    :param reason: inputs of the decision, for the log.
    """

    engine: EngineState
    stage: str
    reason: str


@attrs.define
class StagePlanner:
    """Divides a service's engines between the stages prefill and decode.

    The mix of long prompts and short questions changes over time. A change of stage
    must save more work over the horizon than is lost while the engine is unavailable.
    The fastest engines are preferred for prefill: an engine prefills more than twice as
    fast in that stage, and only there can the largest prompts meet their objective.

    :param settle_s: minimum seconds between two changes in a service.
    :param horizon_s: seconds for which the present mix is expected to last.
    :param change_duration_s: seconds that a change makes an engine unavailable.
    :param change_cost: weight of the work that is lost during a change.
    :param changed_at: monotonic time of the last change in each service, by its name.
    """

    settle_s: float = 10.0
    horizon_s: float = 10.0
    change_duration_s: float = 4.0
    change_cost: float = 1.8
    changed_at: dict[str, float] = attrs.field(factory=dict)

    def plan(
        self,
        now: float,
        service: str,
        engines: Sequence[EngineState],
        demand: Demand,
    ) -> StageChange | None:
        """Return the next change in a service, or None.

        :param now: current monotonic time in seconds.
        :param service: name of the service.
        :param engines: its usable engines.
        :param demand: total demand at all gateways.
        """
        if now - self.changed_at.get(service, float("-inf")) < self.settle_s:
            return None
        if len(engines) < 2:
            return None
        prefill_engines = filter_by_stage(engines, PREFILL)
        decode_engines = filter_by_stage(engines, DECODE)
        if not prefill_engines or not decode_engines:
            return self._fill_empty_stage(prefill_engines, decode_engines)
        changes = []
        if len(decode_engines) > 1:
            changes.append((max(decode_engines, key=_get_speed_key), PREFILL))
        if len(prefill_engines) > 1:
            changes.append((min(prefill_engines, key=_get_speed_key), DECODE))
        if not changes:
            return None
        gains = [
            (
                self._estimate_gain_s(
                    prefill_engines, decode_engines, engine, stage, demand
                ),
                engine,
                stage,
            )
            for engine, stage in changes
        ]
        gain_s, engine, stage = max(gains, key=lambda option: option[0])
        if gain_s <= 0:
            return None
        reason = (
            f"{len(prefill_engines)} of {len(engines)} engines prefill; "
            f"demand is {demand.prefill:.2f} prefill and {demand.decode:.2f} decode "
            f"engine seconds per second; a change saves {gain_s:.1f} engine seconds"
        )
        return StageChange(engine, stage, reason)

    def _estimate_gain_s(
        self,
        prefill_engines: Sequence[EngineState],
        decode_engines: Sequence[EngineState],
        engine: EngineState,
        stage: str,
        demand: Demand,
    ) -> float:
        before = _compute_unmet_demand(prefill_engines, decode_engines, demand)
        if stage == PREFILL:
            remaining = [
                decode_engine
                for decode_engine in decode_engines
                if decode_engine is not engine
            ]
            after = _compute_unmet_demand([*prefill_engines, engine], remaining, demand)
        else:
            remaining = [
                prefill_engine
                for prefill_engine in prefill_engines
                if prefill_engine is not engine
            ]
            after = _compute_unmet_demand(remaining, [*decode_engines, engine], demand)
        cost_s = self.change_cost * self.change_duration_s * engine.speed
        return (before - after) * self.horizon_s - cost_s

    def record_change(self, now: float, service: str) -> None:
        """Record a change in a service; the next one waits for ``settle_s``.

        :param now: current monotonic time in seconds.
        :param service: name of the service.
        """
        self.changed_at[service] = now

    def _fill_empty_stage(
        self,
        prefill_engines: Sequence[EngineState],
        decode_engines: Sequence[EngineState],
    ) -> StageChange:
        if not decode_engines:
            engine = min(prefill_engines, key=_get_speed_key)
            return StageChange(engine, DECODE, "no engine in stage decode")
        return StageChange(
            max(decode_engines, key=_get_speed_key),
            PREFILL,
            "no engine in stage prefill",
        )


def _get_speed_key(engine: EngineState) -> tuple[float, str]:
    return engine.speed, engine.entry.engine_id


def _compute_unmet_demand(
    prefill_engines: Sequence[EngineState],
    decode_engines: Sequence[EngineState],
    demand: Demand,
) -> float:
    prefill = demand.prefill - USABLE_SHARE * sum(
        engine.speed for engine in prefill_engines
    )
    decode = demand.decode - USABLE_SHARE * sum(
        engine.speed for engine in decode_engines
    )
    return max(0.0, prefill) + max(0.0, decode)

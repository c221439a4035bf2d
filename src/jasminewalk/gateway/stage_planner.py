"""Decision how many engines read prompts for others, and which one changes."""

from collections.abc import Sequence

import attrs

from jasminewalk.gateway.fleet import EngineState, in_stage
from jasminewalk.platform.registry import DECODE, PREFILL

__all__ = ["StageChange", "StagePlanner"]


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
    """Keeps a share of the engines in stage prefill.

    It answers the mix of long prompts and short questions: prompts read on the engines
    that decode hold up the tokens of others, and cost twice the time.

    :param prefill_share: share of a service's engines that read prompts.
    :param settle_s: seconds between two changes of a service.
    """

    prefill_share: float = 0.43
    settle_s: float = 4.0
    changed_at: dict[str, float] = attrs.field(factory=dict)

    def plan(
        self, now: float, service: str, engines: Sequence[EngineState]
    ) -> StageChange | None:
        """Return the next change of a service, or None.

        :param now: current instant in seconds.
        :param service: name of the service.
        :param engines: its engines that may get work.
        """
        if now - self.changed_at.get(service, float("-inf")) < self.settle_s:
            return None
        if len(engines) < 2:
            return None
        readers = in_stage(engines, PREFILL)
        others = in_stage(engines, DECODE)
        wanted = round(self.prefill_share * len(engines))
        wanted = min(len(engines) - 1, max(1, wanted))
        reason = f"{len(readers)} of {len(engines)} engines read prompts, want {wanted}"
        if len(readers) < wanted:
            engine = max(others, key=lambda e: (e.speed, e.entry.engine_id))
            return StageChange(engine, PREFILL, reason)
        if len(readers) > wanted:
            engine = min(readers, key=lambda e: (e.speed, e.entry.engine_id))
            return StageChange(engine, DECODE, reason)
        return None

    def changed(self, now: float, service: str) -> None:
        """Note that a change of a service was ordered.

        :param now: current instant in seconds.
        :param service: name of the service.
        """
        self.changed_at[service] = now

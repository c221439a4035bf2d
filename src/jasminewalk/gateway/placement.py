"""Choice of the engine, or engines, of a request."""

from collections.abc import Collection, Sequence
from random import Random

import attrs
import xxhash

from jasminewalk.gateway.demand import Demand
from jasminewalk.gateway.fleet import EngineState, filter_by_stage
from jasminewalk.platform.headers import PromptPart
from jasminewalk.platform.registry import DECODE, PREFILL

__all__ = ["Estimate", "Option", "PlacementPolicy", "PromptWork", "reading_s"]

# Seconds added for an engine in another failure domain: network and priced bytes.
OTHER_DOMAIN_S = 0.004
# Prompt tokens that an engine of speed 1 reads in a second in stage prefill (the users'
# sheets), and the share of it in stage decode, where tokens of others come between
# (fitted to reads without others before them on played days).
READ_RATE = 61_200.0
DECODE_READ_SHARE = 0.445
# Seconds for each pair of a token and one before it (attention), alike in both stages
# (the same fit).
PAIR_S = 0.27e-9
# Seconds of a request besides its tokens, at an engine of speed 1.
REQUEST_S = 0.008
# Shortest read for which reading at a prefill engine pays, in tokens.
SHORTEST_SPLIT_TOKENS = 1500
# Seconds that the answer to a long prompt takes of an engine, its slots shared.
ANSWER_S = 0.03
# Seconds of the hand-over of a prompt between two engines.
HAND_OVER_S = 0.04
# Longest read of a prompt on an engine that also answers others, in seconds.
LONGEST_DIRECT_READ_S = 0.35
# Engine time weighs this much besides the caller's waiting time.
ENGINE_TIME_WEIGHT = 1.0
# Engines that a short question is compared on; gateways that all took the best of the
# whole fleet by the same old message would overrun it.
SAMPLED_ENGINES = 3
# Share of the reading engines' time that is asked for when they count as busy.
BUSY_SHARE = 0.8
# Weight of reading again what another engine keeps, besides the engine's time: a copy
# pushes other parts out of its memory.
REREAD_WEIGHT = 0.5
# Seconds that one running request adds to the first token of another.
RUNNING_S = 0.0005
# Seconds of waiting that a failed request counts as.
FAILED_REQUEST_S = 1.0


@attrs.frozen
class PromptWork:
    """What placing needs to know of a prompt.

    :param parts: parts of the prompt in order.
    :param tokens: its length in tokens.
    """

    parts: tuple[PromptPart, ...]
    tokens: int

    @property
    def shared_key(self) -> str:
        """Id of the last part that other requests share; empty if there is none."""
        return self.parts[-2].part_id if len(self.parts) > 1 else ""


@attrs.frozen
class Estimate:
    """What a request can expect of an engine.

    :param engine: the engine.
    :param wait_s: seconds until the engine starts on it.
    :param read_s: seconds that the engine reads its prompt.
    :param work_s: seconds that an engine of speed 1 would read it.
    :param cached_tokens: tokens that need no reading.
    """

    engine: EngineState
    wait_s: float
    read_s: float
    work_s: float
    cached_tokens: int

    @property
    def total_s(self) -> float:
        """Seconds until the prompt is read."""
        return self.wait_s + self.read_s


@attrs.frozen
class Option:
    """One way to serve a generation.

    :param estimate: what it can expect of the engine that reads its prompt.
    :param split: whether that engine reads it for another one.
    :param predicted_s: seconds until the answering engine has the prompt.
    """

    estimate: Estimate
    split: bool
    predicted_s: float


@attrs.define
class PlacementPolicy:
    """Chooses engines by predicted time.

    :param failure_domain: zone of the gateway.
    :param random: source of the engines that short questions are compared on.
    """

    failure_domain: str
    random: Random = attrs.field(factory=Random)

    def plain(
        self, engines: Sequence[EngineState], excluded: Collection[str]
    ) -> EngineState | None:
        """Choose the engine of a plain request.

        :param engines: engines that may get work.
        :param excluded: ids of engines that had the request before.
        """
        candidates = [e for e in engines if e.entry.engine_id not in excluded]
        return min(candidates, key=self._plain_cost, default=None)

    def options(
        self,
        work: PromptWork,
        engines: Sequence[EngineState],
        excluded: Collection[str] = (),
        *,
        may_split: bool = True,
    ) -> list[Option]:
        """Return the ways to serve a generation, the best first.

        :param work: the prompt.
        :param engines: engines that may get work.
        :param excluded: ids of engines that had the request before.
        :param may_split: whether one engine may read the prompt for another.
        """
        answering = filter_by_stage(engines, DECODE)
        if work.tokens < SHORTEST_SPLIT_TOKENS:
            answering = self._sample(answering)
        held = max((e.cache.cached_tokens(work.parts) for e in engines), default=0)
        direct = self._best(work, answering, excluded, held)
        reader = None
        if (may_split and work.tokens >= SHORTEST_SPLIT_TOKENS) or direct is None:
            reader = self._best(work, filter_by_stage(engines, PREFILL), excluded, held)
        found = []
        if reader is not None and filter_by_stage(engines, DECODE):
            found.append(Option(reader, True, reader.total_s + HAND_OVER_S))
        if direct is not None and (not found or direct.read_s <= LONGEST_DIRECT_READ_S):
            found.append(Option(direct, False, direct.total_s))
        return sorted(
            found,
            key=lambda option: (
                option.predicted_s
                + option.estimate.read_s
                + REREAD_WEIGHT
                * max(0, held - option.estimate.cached_tokens)
                / READ_RATE
            ),
        )

    def demand(
        self, work: PromptWork, engines: Sequence[EngineState]
    ) -> tuple[float, float]:
        """Return the engine seconds a generation asks for, reading and answering.

        Both are for engines of speed 1; long prompts are best read in stage prefill.

        :param work: the prompt.
        :param engines: engines that may get work.
        """
        if work.tokens < SHORTEST_SPLIT_TOKENS:
            return 0.0, reading_s(work.tokens, 0, DECODE)
        kept = (engine.cache.cached_tokens(work.parts) for engine in engines)
        cached = min(max(kept, default=0), work.tokens - 1)
        return reading_s(work.tokens - cached, cached, PREFILL), ANSWER_S

    def busy(self, demand: Demand, engines: Sequence[EngineState]) -> bool:
        """Return whether more reading is asked for than the reading engines can do.

        :param demand: work that callers of all gateways ask for.
        :param engines: engines that may get work.
        """
        readers = filter_by_stage(engines, PREFILL) or engines
        return demand.prefill > BUSY_SHARE * sum(engine.speed for engine in readers)

    def decoder(
        self, engines: Sequence[EngineState], excluded: Collection[str] = ()
    ) -> EngineState | None:
        """Choose the engine that answers a prompt which another one read.

        :param engines: engines that may get work.
        :param excluded: ids of engines that had the request before.
        """
        answering = self._sample(filter_by_stage(engines, DECODE))
        found = self._best(PromptWork((), 1), answering, excluded)
        return found.engine if found else None

    def _sample(self, engines: list[EngineState]) -> list[EngineState]:
        if len(engines) <= SAMPLED_ENGINES:
            return engines
        return self.random.sample(engines, SAMPLED_ENGINES)

    def _best(
        self,
        work: PromptWork,
        engines: Sequence[EngineState],
        excluded: Collection[str],
        held: int = 0,
    ) -> Estimate | None:
        estimates = [
            self.estimate(work, engine)
            for engine in engines
            if engine.entry.engine_id not in excluded
        ]
        return min(
            estimates, key=lambda found: self._cost(work, found, held), default=None
        )

    def estimate(self, work: PromptWork, engine: EngineState) -> Estimate:
        """Predict what a prompt can expect of an engine.

        :param work: the prompt.
        :param engine: the engine.
        """
        cached = min(engine.cache.cached_tokens(work.parts), work.tokens - 1)
        work_s = reading_s(work.tokens - cached, cached, engine.entry.stage)
        speed = engine.speed
        wait_s = engine.prefill_s / speed + RUNNING_S * engine.requests
        excess = engine.requests + 1 - engine.entry.slots
        if excess > 0:
            wait_s += excess * engine.residence_s / engine.entry.slots
        if engine.entry.failure_domain != self.failure_domain:
            wait_s += OTHER_DOMAIN_S
        return Estimate(engine, wait_s, work_s / speed, work_s, cached)

    def _cost(self, work: PromptWork, found: Estimate, held: int) -> tuple[float, int]:
        cost_s = (
            found.wait_s
            + (1.0 + ENGINE_TIME_WEIGHT) * found.read_s
            + REREAD_WEIGHT * max(0, held - found.cached_tokens) / READ_RATE
            + FAILED_REQUEST_S * found.engine.excess_failure_rate
        )
        # Rounding lets prompts of one key meet again where all engines are alike.
        return round(cost_s, 2), _affinity(work.shared_key, found.engine)

    def _plain_cost(self, engine: EngineState) -> tuple[float, float]:
        queue = engine.requests / engine.entry.slots
        cost_s = engine.latency_s * (1.0 + 2.0 * queue)
        cost_s += FAILED_REQUEST_S * engine.excess_failure_rate
        if engine.entry.failure_domain != self.failure_domain:
            cost_s += OTHER_DOMAIN_S
        return cost_s, engine.entry.started_ms


def _affinity(key: str, engine: EngineState) -> int:
    return xxhash.xxh32_intdigest(f"{key} {engine.entry.engine_id}".encode())


def reading_s(unread: int, cached: int, stage: str) -> float:
    """Return the seconds that an engine of speed 1 reads a prompt.

    :param unread: tokens to read.
    :param cached: tokens before them that need no reading.
    :param stage: stage of the engine.
    """
    share = 1.0 if stage == PREFILL else DECODE_READ_SHARE
    attention_s = PAIR_S * unread * (cached + unread / 2)
    return REQUEST_S + unread / READ_RATE / share + attention_s

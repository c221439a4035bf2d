"""Choice of the engine, or engines, of a request."""

from collections.abc import Collection, Sequence
from random import Random

import attrs
import xxhash

from jasminewalk.gateway.demand import Demand
from jasminewalk.gateway.fleet import EngineState, in_stage
from jasminewalk.platform.headers import PromptPart
from jasminewalk.platform.registry import DECODE, PREFILL

__all__ = [
    "Estimate",
    "Option",
    "PlacementPolicy",
    "PromptProfile",
    "estimate_prefill_s",
]

# Seconds added for an engine in another failure domain: network and priced bytes.
CROSS_DOMAIN_PENALTY_S = 0.004
# Prompt tokens that an engine of speed 1 reads in a second in stage prefill (the users'
# sheets), and the share of it in stage decode, where tokens of others come between
# (fitted to reads without others before them on played days).
PREFILL_TOKENS_PER_S = 61_200.0
DECODE_STAGE_PREFILL_SHARE = 0.445
# Seconds for each pair of a token and one before it (attention), alike in both stages
# (the same fit).
ATTENTION_PAIR_S = 0.27e-9
# Seconds of a request besides its tokens, at an engine of speed 1.
REQUEST_OVERHEAD_S = 0.008
# Shortest read for which reading at a prefill engine pays, in tokens.
MIN_DISAGGREGATED_TOKENS = 1500
# Seconds that the answer to a long prompt takes of an engine, its slots shared.
LONG_PROMPT_DECODE_S = 0.03
# Seconds of the hand-over of a prompt between two engines.
KV_TRANSFER_S = 0.04
# Longest read of a prompt on an engine that also answers others, in seconds.
MAX_LOCAL_PREFILL_S = 0.35
# Engine time weighs this much besides the caller's waiting time.
ENGINE_TIME_WEIGHT = 1.0
# Engines that a short question is compared on; gateways that all took the best of the
# whole fleet by the same old message would overrun it.
SAMPLED_ENGINES = 3
# Share of the reading engines' time that is asked for when they count as busy.
BUSY_UTILIZATION = 0.8
# Weight of reading again what another engine keeps, besides the engine's time: a copy
# pushes other parts out of its memory.
RECOMPUTE_WEIGHT = 0.5
# Seconds that one running request adds to the first token of another.
RUNNING_REQUEST_DELAY_S = 0.0005
# Seconds of waiting that a failed request counts as.
FAILED_REQUEST_PENALTY_S = 1.0


@attrs.frozen
class PromptProfile:
    """What placing needs to know of a prompt.

    :param parts: parts of the prompt in order.
    :param tokens: its length in tokens.
    """

    parts: tuple[PromptPart, ...]
    tokens: int

    @property
    def shared_prefix_id(self) -> str:
        """Id of the last part that other requests share; empty if there is none."""
        return self.parts[-2].part_id if len(self.parts) > 1 else ""


@attrs.frozen
class Estimate:
    """What a request can expect of an engine.

    :param engine: the engine.
    :param wait_s: seconds until the engine starts on it.
    :param predicted_prefill_s: seconds that the engine reads its prompt.
    :param prefill_s: seconds that an engine of speed 1 would read it.
    :param cached_tokens: tokens that need no reading.
    """

    engine: EngineState
    wait_s: float
    predicted_prefill_s: float
    prefill_s: float
    cached_tokens: int

    @property
    def total_s(self) -> float:
        """Seconds until the prompt is read."""
        return self.wait_s + self.predicted_prefill_s


@attrs.frozen
class Option:
    """One way to serve a generation.

    :param estimate: what it can expect of the engine that reads its prompt.
    :param disaggregated: whether that engine reads it for another one.
    :param predicted_s: seconds until the answering engine has the prompt.
    """

    estimate: Estimate
    disaggregated: bool
    predicted_s: float


@attrs.define
class PlacementPolicy:
    """Chooses engines by predicted time.

    :param failure_domain: zone of the gateway.
    :param random: source of the engines that short questions are compared on.
    """

    failure_domain: str
    random: Random = attrs.field(factory=Random)

    def choose_engine(
        self, engines: Sequence[EngineState], excluded: Collection[str]
    ) -> EngineState | None:
        """Choose the engine of a plain request.

        :param engines: engines that may get work.
        :param excluded: ids of engines that had the request before.
        """
        candidates = [
            engine for engine in engines if engine.entry.engine_id not in excluded
        ]
        return min(candidates, key=self._compute_plain_cost, default=None)

    def list_options(
        self,
        prompt: PromptProfile,
        engines: Sequence[EngineState],
        excluded: Collection[str] = (),
        *,
        allow_disaggregated: bool = True,
    ) -> list[Option]:
        """Return the ways to serve a generation, the best first.

        :param prompt: the prompt.
        :param engines: engines that may get work.
        :param excluded: ids of engines that had the request before.
        :param allow_disaggregated: whether one engine may read the prompt for another.
        """
        decode_engines = in_stage(engines, DECODE)
        if prompt.tokens < MIN_DISAGGREGATED_TOKENS:
            decode_engines = self._sample(decode_engines)
        most_cached = max(
            (engine.cache.count_cached_tokens(prompt.parts) for engine in engines),
            default=0,
        )
        local = self._choose_best(prompt, decode_engines, excluded, most_cached)
        remote = None
        if (
            allow_disaggregated and prompt.tokens >= MIN_DISAGGREGATED_TOKENS
        ) or local is None:
            remote = self._choose_best(
                prompt, in_stage(engines, PREFILL), excluded, most_cached
            )
        options = []
        if remote is not None and in_stage(engines, DECODE):
            options.append(Option(remote, True, remote.total_s + KV_TRANSFER_S))
        if local is not None and (
            not options or local.predicted_prefill_s <= MAX_LOCAL_PREFILL_S
        ):
            options.append(Option(local, False, local.total_s))
        return sorted(
            options,
            key=lambda option: (
                option.predicted_s
                + option.estimate.predicted_prefill_s
                + RECOMPUTE_WEIGHT
                * max(0, most_cached - option.estimate.cached_tokens)
                / PREFILL_TOKENS_PER_S
            ),
        )

    def estimate_demand(
        self, prompt: PromptProfile, engines: Sequence[EngineState]
    ) -> tuple[float, float]:
        """Return the engine seconds a generation asks for, reading and answering.

        Both are for engines of speed 1; long prompts are best read in stage prefill.

        :param prompt: the prompt.
        :param engines: engines that may get work.
        """
        if prompt.tokens < MIN_DISAGGREGATED_TOKENS:
            return 0.0, estimate_prefill_s(prompt.tokens, 0, DECODE)
        cached_counts = (
            engine.cache.count_cached_tokens(prompt.parts) for engine in engines
        )
        cached = min(max(cached_counts, default=0), prompt.tokens - 1)
        return estimate_prefill_s(
            prompt.tokens - cached, cached, PREFILL
        ), LONG_PROMPT_DECODE_S

    def is_busy(self, demand: Demand, engines: Sequence[EngineState]) -> bool:
        """Return whether more reading is asked for than the reading engines can do.

        :param demand: work that callers of all gateways ask for.
        :param engines: engines that may get work.
        """
        prefill_engines = in_stage(engines, PREFILL) or engines
        return demand.reading > BUSY_UTILIZATION * sum(
            engine.speed for engine in prefill_engines
        )

    def choose_decode_engine(
        self, engines: Sequence[EngineState], excluded: Collection[str] = ()
    ) -> EngineState | None:
        """Choose the engine that answers a prompt which another one read.

        :param engines: engines that may get work.
        :param excluded: ids of engines that had the request before.
        """
        decode_engines = self._sample(in_stage(engines, DECODE))
        estimate = self._choose_best(PromptProfile((), 1), decode_engines, excluded)
        return estimate.engine if estimate else None

    def _sample(self, engines: list[EngineState]) -> list[EngineState]:
        if len(engines) <= SAMPLED_ENGINES:
            return engines
        return self.random.sample(engines, SAMPLED_ENGINES)

    def _choose_best(
        self,
        prompt: PromptProfile,
        engines: Sequence[EngineState],
        excluded: Collection[str],
        most_cached: int = 0,
    ) -> Estimate | None:
        estimates = [
            self.estimate(prompt, engine)
            for engine in engines
            if engine.entry.engine_id not in excluded
        ]
        return min(
            estimates,
            key=lambda estimate: self._compute_cost(prompt, estimate, most_cached),
            default=None,
        )

    def estimate(self, prompt: PromptProfile, engine: EngineState) -> Estimate:
        """Predict what a prompt can expect of an engine.

        :param prompt: the prompt.
        :param engine: the engine.
        """
        cached = min(engine.cache.count_cached_tokens(prompt.parts), prompt.tokens - 1)
        prefill_s = estimate_prefill_s(
            prompt.tokens - cached, cached, engine.entry.stage
        )
        speed = engine.speed
        wait_s = engine.reading_s / speed + RUNNING_REQUEST_DELAY_S * engine.requests
        excess = engine.requests + 1 - engine.entry.slots
        if excess > 0:
            wait_s += excess * engine.hold_s / engine.entry.slots
        if engine.entry.failure_domain != self.failure_domain:
            wait_s += CROSS_DOMAIN_PENALTY_S
        return Estimate(engine, wait_s, prefill_s / speed, prefill_s, cached)

    def _compute_cost(
        self, prompt: PromptProfile, estimate: Estimate, most_cached: int
    ) -> tuple[float, int]:
        cost_s = (
            estimate.wait_s
            + (1.0 + ENGINE_TIME_WEIGHT) * estimate.predicted_prefill_s
            + RECOMPUTE_WEIGHT
            * max(0, most_cached - estimate.cached_tokens)
            / PREFILL_TOKENS_PER_S
            + FAILED_REQUEST_PENALTY_S * estimate.engine.failing
        )
        # Rounding lets prompts of one key meet again where all engines are alike.
        return round(cost_s, 2), _compute_affinity_hash(
            prompt.shared_prefix_id, estimate.engine
        )

    def _compute_plain_cost(self, engine: EngineState) -> tuple[float, float]:
        queue = engine.requests / engine.entry.slots
        cost_s = engine.latency_s * (1.0 + 2.0 * queue)
        cost_s += FAILED_REQUEST_PENALTY_S * engine.failing
        if engine.entry.failure_domain != self.failure_domain:
            cost_s += CROSS_DOMAIN_PENALTY_S
        return cost_s, engine.entry.started_ms


def _compute_affinity_hash(key: str, engine: EngineState) -> int:
    return xxhash.xxh32_intdigest(f"{key} {engine.entry.engine_id}".encode())


def estimate_prefill_s(uncached: int, cached: int, stage: str) -> float:
    """Return the seconds that an engine of speed 1 reads a prompt.

    :param uncached: tokens to read.
    :param cached: tokens before them that need no reading.
    :param stage: stage of the engine.
    """
    share = 1.0 if stage == PREFILL else DECODE_STAGE_PREFILL_SHARE
    attention_s = ATTENTION_PAIR_S * uncached * (cached + uncached / 2)
    return REQUEST_OVERHEAD_S + uncached / PREFILL_TOKENS_PER_S / share + attention_s

"""Placement of plain requests and generations on engines."""

from collections.abc import Collection, Sequence
from random import Random

import attrs
import xxhash

from jasminewalk.gateway.demand import Demand
from jasminewalk.gateway.fleet import EngineState, filter_by_stage
from jasminewalk.platform.headers import PromptPart
from jasminewalk.platform.registry import DECODE, PREFILL

__all__ = [
    "LONG_PROMPT_DECODE_S",
    "MIN_DISAGGREGATED_TOKENS",
    "PlacementOption",
    "PlacementPolicy",
    "PrefillEstimate",
    "PromptProfile",
    "estimate_prefill_s",
]

# Seconds added for an engine in another failure domain: network latency, and traffic
# that is billed by the byte.
CROSS_DOMAIN_PENALTY_S = 0.004
# Prefill rate of an engine of speed 1 in stage prefill, in tokens per second, as the
# engine's data sheet gives it. In stage decode an engine reaches only a share of this
# rate, because decode steps of other streams run in between.
PREFILL_TOKENS_PER_S = 61_200.0
DECODE_STAGE_PREFILL_SHARE = 0.445
# Seconds of attention for each pair of a token and an earlier token, in both stages.
ATTENTION_PAIR_S = 0.27e-9
# Fixed seconds for each prefill at an engine of speed 1, whatever its length.
REQUEST_OVERHEAD_S = 0.008
# Shortest prompt for which a prefill on a separate engine pays off, in tokens.
MIN_DISAGGREGATED_TOKENS = 1500
# Engine time of the decode phase after a long prompt, divided by the slots that share
# the engine, in seconds.
LONG_PROMPT_DECODE_S = 0.03
# Seconds to transfer the KV cache of a prompt between two engines.
KV_TRANSFER_S = 0.04
# Longest prefill on an engine that also decodes other streams, in seconds.
MAX_LOCAL_PREFILL_S = 0.35
# Cost of a second of engine time, relative to a second that the caller waits.
ENGINE_TIME_WEIGHT = 1.0
# Engines compared for a short prompt, or for the decode after a separate prefill.
# Gateways that all chose the best engine of the whole fleet from the same outdated load
# message would overload it.
SAMPLED_ENGINES = 3
# Share of the prefill engines' capacity above which they count as busy.
BUSY_UTILIZATION = 0.8
# Weight of the time to recompute a prefix that another engine has cached, in addition
# to the engine time itself: the second copy evicts other prefixes from the cache.
RECOMPUTE_WEIGHT = 0.5
# Seconds by which one running request delays the first token of another.
RUNNING_REQUEST_DELAY_S = 0.0005
# Cost of a failed request, in seconds of waiting.
FAILED_REQUEST_PENALTY_S = 1.0


@attrs.frozen
class PromptProfile:
    """Parts and length of a prompt, as the placement needs them.

    :param parts: parts of the prompt in order.
    :param tokens: length of the prompt in tokens.
    """

    parts: tuple[PromptPart, ...]
    tokens: int

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the parts that other requests may share: all but the last."""
        return tuple(part.part_id for part in self.parts[:-1])

    @property
    def shared_prefix_id(self) -> str:
        """Id of the last part of the shared prefix; empty if no part is shared."""
        return self.parts[-2].part_id if len(self.parts) > 1 else ""


@attrs.frozen
class PrefillEstimate:
    """Predicted prefill time of a prompt at one engine.

    :param engine: the engine.
    :param wait_s: seconds until the engine starts the prefill.
    :param predicted_prefill_s: seconds of prefill at this engine.
    :param prefill_s: seconds of prefill at an engine of speed 1.
    :param cached_tokens: prompt tokens that the engine has cached.
    :param whole_prefill_s: seconds of prefill at this engine if none were cached.
    """

    engine: EngineState
    wait_s: float
    predicted_prefill_s: float
    prefill_s: float
    cached_tokens: int
    whole_prefill_s: float

    @property
    def total_s(self) -> float:
        """Seconds until the prefill is complete."""
        return self.wait_s + self.predicted_prefill_s


@attrs.frozen
class PlacementOption:
    """One possible placement of a generation.

    :param estimate: estimate for the engine that runs the prefill.
    :param disaggregated: whether another engine runs the decode.
    :param predicted_s: seconds until the engine that runs the decode can start it.
    """

    estimate: PrefillEstimate
    disaggregated: bool
    predicted_s: float


@attrs.define
class PlacementPolicy:
    """Places requests on engines by predicted time.

    :param failure_domain: failure domain of the gateway.
    :param rng: random source that samples the engines to compare.
    """

    failure_domain: str
    rng: Random = attrs.field(factory=Random)

    def choose_engine(
        self, engines: Sequence[EngineState], excluded: Collection[str]
    ) -> EngineState | None:
        """Choose the engine for a plain request.

        :param engines: engines that accept requests.
        :param excluded: ids of engines that were tried already.
        :returns: the engine, or None if there is no other engine.
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
    ) -> list[PlacementOption]:
        """Return the possible placements of a generation, the best first.

        :param prompt: the prompt.
        :param engines: engines that accept requests.
        :param excluded: ids of engines that were tried already.
        :param allow_disaggregated: whether prefill and decode may run on different
            engines. A prompt that no decode engine can take is placed that way anyway.
        """
        decode_engines = filter_by_stage(engines, DECODE)
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
            # Versions of the engines' software can't read each other's KV cache.
            versions = {
                engine.entry.version
                for engine in filter_by_stage(engines, DECODE)
                if engine.entry.engine_id not in excluded
            }
            readers = [
                engine
                for engine in filter_by_stage(engines, PREFILL)
                if engine.entry.version in versions
            ]
            remote = self._choose_best(prompt, readers, excluded, most_cached)
        options = []
        if remote is not None:
            options.append(
                PlacementOption(remote, True, remote.total_s + KV_TRANSFER_S)
            )
        if local is not None and (
            not options or local.predicted_prefill_s <= MAX_LOCAL_PREFILL_S
        ):
            options.append(PlacementOption(local, False, local.total_s))
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
        """Return the engine time that a generation needs in stages prefill and decode.

        A long prompt needs time in both stages. A short one is prefilled in stage
        decode, so all its time counts there.

        :param prompt: the prompt.
        :param engines: engines that accept requests.
        :returns: seconds in stage prefill and in stage decode, at an engine of speed 1.
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
        """Return whether prefill demand exceeds the usable prefill capacity.

        :param demand: demand of the callers of all gateways.
        :param engines: engines that accept requests.
        """
        prefill_engines = filter_by_stage(engines, PREFILL) or engines
        return demand.prefill > BUSY_UTILIZATION * sum(
            engine.speed for engine in prefill_engines
        )

    def choose_decode_engine(
        self, engines: Sequence[EngineState], excluded: Collection[str] = ()
    ) -> EngineState | None:
        """Choose the engine that decodes after a prefill on another engine.

        :param engines: engines that accept requests.
        :param excluded: ids of engines that were tried already.
        :returns: the engine, or None if there is none in stage decode.
        """
        decode_engines = self._sample(filter_by_stage(engines, DECODE))
        estimate = self._choose_best(PromptProfile((), 1), decode_engines, excluded)
        return estimate.engine if estimate else None

    def _sample(self, engines: list[EngineState]) -> list[EngineState]:
        if len(engines) <= SAMPLED_ENGINES:
            return engines
        return self.rng.sample(engines, SAMPLED_ENGINES)

    def _choose_best(
        self,
        prompt: PromptProfile,
        engines: Sequence[EngineState],
        excluded: Collection[str],
        most_cached: int = 0,
    ) -> PrefillEstimate | None:
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

    def estimate(self, prompt: PromptProfile, engine: EngineState) -> PrefillEstimate:
        """Predict the prefill time of a prompt at an engine.

        :param prompt: the prompt.
        :param engine: the engine.
        """
        cached = min(engine.cache.count_cached_tokens(prompt.parts), prompt.tokens - 1)
        prefill_s = estimate_prefill_s(
            prompt.tokens - cached, cached, engine.entry.stage
        )
        speed = engine.speed
        wait_s = engine.prefill_s / speed + RUNNING_REQUEST_DELAY_S * engine.requests
        excess_requests = engine.requests + 1 - engine.entry.slots
        if excess_requests > 0:
            wait_s += excess_requests * engine.residence_s / engine.entry.slots
        if engine.entry.failure_domain != self.failure_domain:
            wait_s += CROSS_DOMAIN_PENALTY_S
        whole_s = estimate_prefill_s(prompt.tokens, 0, engine.entry.stage)
        return PrefillEstimate(
            engine, wait_s, prefill_s / speed, prefill_s, cached, whole_s / speed
        )

    def _compute_cost(
        self, prompt: PromptProfile, estimate: PrefillEstimate, most_cached: int
    ) -> tuple[float, int]:
        cost_s = (
            estimate.wait_s
            + (1.0 + ENGINE_TIME_WEIGHT) * estimate.predicted_prefill_s
            + RECOMPUTE_WEIGHT
            * max(0, most_cached - estimate.cached_tokens)
            / PREFILL_TOKENS_PER_S
            + FAILED_REQUEST_PENALTY_S * estimate.engine.excess_failure_rate
        )
        # Rounded so that equally loaded engines tie. The hash then sends prompts that
        # share a prefix to the same engine.
        return round(cost_s, 2), _compute_affinity_hash(
            prompt.shared_prefix_id, estimate.engine
        )

    def _compute_plain_cost(self, engine: EngineState) -> tuple[float, float]:
        queue_ratio = engine.requests / engine.entry.slots
        cost_s = engine.latency_s * (1.0 + 2.0 * queue_ratio)
        cost_s += FAILED_REQUEST_PENALTY_S * engine.excess_failure_rate
        if engine.entry.failure_domain != self.failure_domain:
            cost_s += CROSS_DOMAIN_PENALTY_S
        return cost_s, engine.entry.started_ms


def _compute_affinity_hash(prefix_id: str, engine: EngineState) -> int:
    return xxhash.xxh32_intdigest(f"{prefix_id} {engine.entry.engine_id}".encode())


def estimate_prefill_s(uncached: int, cached: int, stage: str) -> float:
    """Return the prefill time of a prompt at an engine of speed 1, in seconds.

    :param uncached: prompt tokens to compute.
    :param cached: cached tokens before them.
    :param stage: stage of the engine.
    """
    share = 1.0 if stage == PREFILL else DECODE_STAGE_PREFILL_SHARE
    attention_s = ATTENTION_PAIR_S * uncached * (cached + uncached / 2)
    return REQUEST_OVERHEAD_S + uncached / PREFILL_TOKENS_PER_S / share + attention_s

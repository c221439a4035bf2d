"""Role changes of engines, decided by expected gain and cost."""

import itertools
import math
import random
from collections.abc import Mapping

import attrs

from jasminewalk.generated_configuration import Pool
from jasminewalk.generated_messages import PoolDemand

__all__ = ["RolePlanner", "RoleProposal", "RoleSettings"]

ROLES = ("mixed", "prefill", "decode")


@attrs.frozen(kw_only=True)
class RoleSettings:
    """Assumptions about role changes and their effect.

    :param change_duration_s: seconds for which a change takes an engine out of
        service, including its drain.
    :param specialised_gain: speed factor for the work in which a role specialises.
    :param specialised_loss: speed factor for the other work.
    :param demand_window_s: seconds after which past demand counts for about a third
        (the time constant of its exponential decay).
    :param settle_s: minimum number of seconds between changes in a pool.
    :param max_stagger_s: longest random delay in seconds before a proposal, which keeps
        engines from proposing changes at the same time.
    :param peak_utilisation: fraction of the capacity that can be used while
        deadlines are met.
    :param min_refused_fraction: fraction of refused requests below which no change is
        proposed, because spare capacity leaves nothing to gain.
    :param default_mix_duration_s: seconds that a mix of prefill and decode work is
        expected to last before any shift is observed.
    """

    change_duration_s: float = 8.0
    specialised_gain: float = 1.25
    specialised_loss: float = 0.5
    demand_window_s: float = 10.0
    settle_s: float = 60.0
    max_stagger_s: float = 1.0
    peak_utilisation: float = 0.9
    min_refused_fraction: float = 0.05
    default_mix_duration_s: float = 180.0


@attrs.frozen(kw_only=True)
class RoleProposal:
    """A role change whose expected gain exceeds its cost.

    :param endpoint: endpoint name.
    :param role: role that the engine should take.
    :param gain_s: gained work in engine seconds over the horizon.
    :param cost_s: cost in engine seconds, including the cost set for the pool.
    :param reason: human-readable reason.
    """

    endpoint: str
    role: str
    gain_s: float
    cost_s: float
    reason: str


@attrs.define
class _Rates:
    """Demand of one request class as seen by one entry.

    :param updated_s: time of the newest update in seconds.
    :param prefill: uncached prompt tokens per second.
    :param decode: output tokens per second.
    :param requests: requests per second.
    :param refused: refused requests per second.
    """

    updated_s: float
    prefill: float = 0.0
    decode: float = 0.0
    requests: float = 0.0
    refused: float = 0.0


@attrs.frozen
class _ClassWork:
    """Demand of one request class in engines of average speed in the mixed role.

    :param prefill: number of engines kept busy by prefill.
    :param decode: number of engines kept busy by decode.
    """

    prefill: float
    decode: float


class RolePlanner:
    """Proposes role changes for one engine.

    :param endpoint: endpoint name.
    :param pool: settings of the pool.
    :param rng: random source for the delay of proposals.
    :param settings: assumptions about role changes.
    """

    def __init__(
        self,
        endpoint: str,
        pool: Pool,
        rng: random.Random,
        settings: RoleSettings | None = None,
    ) -> None:
        self.endpoint = endpoint
        self.pool = pool
        self.rng = rng
        self.settings = settings or RoleSettings()
        self.rates: dict[tuple[str, str], _Rates] = {}
        self.pool_prefill_tokens_per_s = 0.0
        self.pool_decode_tokens_per_s = 0.0
        self.roles: dict[str, str] = {}
        self.last_change_s = -math.inf
        self.dominant_sign = 0
        self.dominant_since_s = -math.inf
        self.expected_mix_duration_s = self.settings.default_mix_duration_s
        self.propose_after_s = -math.inf
        self.wanted_role = ""

    # Observations

    def observe_demand(self, now_s: float, demand: PoolDemand) -> None:
        """Update the demand rates with a report of an entry.

        :param now_s: current time in seconds.
        :param demand: work of one request class that arrived at one entry.
        """
        key = (demand.entry, demand.request_class)
        rates = self.rates.setdefault(key, _Rates(now_s))
        weight = 1.0 - math.exp(-demand.period_s / self.settings.demand_window_s)
        uncached = max(0, demand.prompt_tokens - demand.cached_tokens)
        rates.prefill += weight * (uncached / demand.period_s - rates.prefill)
        rates.decode += weight * (demand.output_tokens / demand.period_s - rates.decode)
        rates.requests += weight * (demand.requests / demand.period_s - rates.requests)
        rates.refused += weight * (demand.refused / demand.period_s - rates.refused)
        rates.updated_s = now_s
        if demand.prefill_tokens_per_s:
            self.pool_prefill_tokens_per_s = demand.prefill_tokens_per_s
        if demand.decode_tokens_per_s:
            self.pool_decode_tokens_per_s = demand.decode_tokens_per_s
        self.update_mix(now_s)

    def update_mix(self, now_s: float) -> None:
        """Update how long prefill or decode is expected to dominate the work.

        Rates that have not been updated for a long time are dropped first.

        :param now_s: current time in seconds.
        """
        self.rates = {
            key: rates
            for key, rates in self.rates.items()
            if now_s - rates.updated_s < 6.0 * self.settings.demand_window_s
        }
        if not self.pool_prefill_tokens_per_s or not self.pool_decode_tokens_per_s:
            return
        prefill = sum(rates.prefill for rates in self.rates.values())
        decode = sum(rates.decode for rates in self.rates.values())
        prefill_excess = (
            prefill / self.pool_prefill_tokens_per_s
            - decode / self.pool_decode_tokens_per_s
        )
        sign = 1 if prefill_excess > 0.0 else -1
        if sign == self.dominant_sign:
            return
        if self.dominant_sign and math.isfinite(self.dominant_since_s):
            self.expected_mix_duration_s += 0.5 * (
                now_s - self.dominant_since_s - self.expected_mix_duration_s
            )
        self.dominant_sign = sign
        self.dominant_since_s = now_s

    # Decision

    def propose(self, now_s: float, roles: Mapping[str, str]) -> RoleProposal | None:
        """Return a worthwhile role change of this engine, or ``None``.

        :param now_s: current time in seconds.
        :param roles: current roles in the pool by endpoint.
        """
        if dict(roles) != self.roles:
            self.roles = dict(roles)
            self.last_change_s = now_s
        if now_s - self.last_change_s < self.settings.settle_s or now_s < 0.0:
            return None
        best = self.find_best_change(now_s)
        if best is None:
            self.wanted_role = ""
            return None
        if self.wanted_role != best.role:
            self.wanted_role = best.role
            self.propose_after_s = (
                now_s + self.rng.random() * self.settings.max_stagger_s
            )
        return best if now_s >= self.propose_after_s else None

    def find_best_change(self, now_s: float) -> RoleProposal | None:
        """Return the change with the largest gain, if it exceeds the cost.

        The cost covers the change back as well, because the mix is expected to shift
        back.

        :param now_s: current time in seconds.
        """
        work = self.estimate_work()
        if not work or self.refused_fraction < self.settings.min_refused_fraction:
            return None
        role = self.roles.get(self.endpoint, "mixed")
        current_roles = list(self.roles.values())
        counts = {name: current_roles.count(name) for name in ROLES}
        remaining_s = max(
            0.0, self.expected_mix_duration_s - (now_s - self.dominant_since_s)
        )
        in_use_s = (
            min(self.pool.horizon_s, remaining_s) - self.settings.change_duration_s
        )
        cost_s = 2.0 * self.settings.change_duration_s + self.pool.role_change_cost
        before = self.estimate_served_work(work, counts)
        best: RoleProposal | None = None
        for new_role in ROLES:
            if new_role == role or not self.is_change_allowed(counts, role, new_role):
                continue
            after = self.estimate_served_work(
                work, self.count_after_change(counts, role, new_role)
            )
            gain_s = (after - before) * max(0.0, in_use_s)
            if gain_s <= cost_s or (best and gain_s <= best.gain_s):
                continue
            reason = (
                f"Work of {after:.2f} engines served instead of {before:.2f} for"
                f" {in_use_s:.0f} s gains {gain_s:.1f} s; the change costs"
                f" {cost_s:.1f} s."
            )
            best = RoleProposal(
                endpoint=self.endpoint,
                role=new_role,
                gain_s=gain_s,
                cost_s=cost_s,
                reason=reason,
            )
        return best

    def count_after_change(
        self, counts: Mapping[str, int], old: str, new: str
    ) -> dict[str, int]:
        """Return the number of engines by role after one engine changes its role.

        :param counts: number of engines by role.
        :param old: current role of the engine.
        :param new: new role of the engine.
        """
        after = dict(counts)
        after[old] -= 1
        after[new] += 1
        return after

    def is_change_allowed(self, counts: Mapping[str, int], old: str, new: str) -> bool:
        """Return whether the pool keeps its minimum numbers of engines after a change.

        :param counts: number of engines by role.
        :param old: current role of the engine.
        :param new: new role of the engine.
        """
        after = self.count_after_change(counts, old, new)
        can_prefill = after["mixed"] + after["prefill"]
        can_decode = after["mixed"] + after["decode"]
        return can_prefill >= self.pool.min_prefill and (
            can_decode >= self.pool.min_decode
        )

    @property
    def refused_fraction(self) -> float:
        """Fraction of recent requests that were refused, at most 0.9."""
        requests = sum(rates.requests for rates in self.rates.values())
        refused = sum(rates.refused for rates in self.rates.values())
        return min(0.9, refused / requests) if requests else 0.0

    def estimate_work(self) -> list[_ClassWork]:
        """Estimate the demand of each class in engines of average speed.

        The total follows from the fraction of refused requests, which shows how far the
        demand exceeds the capacity. The learned speeds depend on the mix and only
        determine how the total is divided; a total computed from them would make every
        pool look overloaded.
        """
        if (
            not self.roles
            or not self.pool_prefill_tokens_per_s
            or not self.pool_decode_tokens_per_s
        ):
            return []
        by_class: dict[str, list[_Rates]] = {}
        for (_, request_class), rates in self.rates.items():
            by_class.setdefault(request_class, []).append(rates)
        class_work = [
            _ClassWork(
                sum(rates.prefill for rates in class_rates)
                / self.pool_prefill_tokens_per_s,
                sum(rates.decode for rates in class_rates)
                / self.pool_decode_tokens_per_s,
            )
            for class_rates in by_class.values()
        ]
        total = sum(item.prefill + item.decode for item in class_work)
        if total <= 0.0:
            return []
        capacity = len(self.roles) * self.settings.peak_utilisation
        scale = capacity / (1.0 - self.refused_fraction) / total
        return [
            _ClassWork(item.prefill * scale, item.decode * scale) for item in class_work
        ]

    def estimate_served_work(
        self, work: list[_ClassWork], counts: Mapping[str, int]
    ) -> float:
        """Estimate the work that the pool can serve with a given set of roles.

        The work is measured in engines in the mixed role. Each class first uses the
        roles that serve it with the fewest engines. With up to four classes, all orders
        of the classes are tried and the best one counts.

        :param work: demand by class.
        :param counts: number of engines by role.
        """
        orders = itertools.permutations(work) if len(work) <= 4 else [tuple(work)]
        return max(self.estimate_served_in_order(order, counts) for order in orders)

    def estimate_served_in_order(
        self, work: tuple[_ClassWork, ...], counts: Mapping[str, int]
    ) -> float:
        """Estimate the work served if engines are assigned to classes in this order.

        :param work: demand by class, in the order of assignment.
        :param counts: number of engines by role.
        """
        free_engines = {
            role: count * self.settings.peak_utilisation
            for role, count in counts.items()
        }
        total = 0.0
        for item in work:
            size = item.prefill + item.decode
            remaining = 1.0
            for role in sorted(
                ROLES, key=lambda name: self.compute_engines_needed(item, name)
            ):
                needed = self.compute_engines_needed(item, role)
                if needed <= 0.0 or free_engines[role] <= 0.0:
                    continue
                fraction = min(remaining, free_engines[role] / needed)
                free_engines[role] -= fraction * needed
                remaining -= fraction
                total += fraction * size
        return total

    def compute_engines_needed(self, work: _ClassWork, role: str) -> float:
        """Return how many engines of a role a class would keep busy.

        :param work: demand of the class.
        :param role: the role.
        """
        if role == "mixed":
            return work.prefill + work.decode
        gain = self.settings.specialised_gain
        loss = self.settings.specialised_loss
        if role == "prefill":
            return work.prefill / gain + work.decode / loss
        return work.prefill / loss + work.decode / gain

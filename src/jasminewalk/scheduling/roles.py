"""When an engine should change its role, by what the change is expected to gain."""

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
    """What is assumed of role changes.

    :param change_s: seconds that a change takes the engine away, drain included.
    :param specialised_gain: speed factor of the work that a role is made for.
    :param specialised_loss: speed factor of the other work.
    :param demand_window_s: seconds after which past demand counts a third.
    :param settle_s: least seconds between changes in a pool.
    :param stagger_s: longest random wait before a proposal.
    :param peak_utilisation: part of the capacity that can be used in time.
    :param least_refused_part: part of the requests refused below which no change
        can gain.
    :param default_dwell_s: seconds that a mix is expected to last at first.
    """

    change_s: float = 8.0
    specialised_gain: float = 1.25
    specialised_loss: float = 0.5
    demand_window_s: float = 10.0
    settle_s: float = 60.0
    stagger_s: float = 1.0
    peak_utilisation: float = 0.9
    least_refused_part: float = 0.05
    default_dwell_s: float = 180.0


@attrs.frozen(kw_only=True)
class RoleProposal:
    """A role change that is expected to pay.

    :param endpoint: endpoint name.
    :param role: wanted role.
    :param gain_s: seconds of one engine's work gained over the horizon.
    :param cost_s: seconds of one engine's work lost, at the pool's price.
    :param reason: why, for people to read.
    """

    endpoint: str
    role: str
    gain_s: float
    cost_s: float
    reason: str


@attrs.define
class _Rates:
    """Demand of one class as seen by one entry.

    :param updated_s: instant of the newest evidence.
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
class _Work:
    """Demand of one class in engines of average speed in the mixed role.

    :param prefill: engines busy with prefill.
    :param decode: engines busy with decode.
    """

    prefill: float
    decode: float


class RolePlanner:
    """Proposes role changes for one engine.

    :param endpoint: endpoint name.
    :param pool: settings of the pool.
    :param rng: random source for staggering.
    :param settings: what is assumed of role changes.
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
        self.fleet_prefill = 0.0
        self.fleet_decode = 0.0
        self.roles: dict[str, str] = {}
        self.changed_s = -math.inf
        self.mix_side = 0
        self.mix_since_s = -math.inf
        self.dwell_s = self.settings.default_dwell_s
        self.wait_until_s = -math.inf
        self.wanted = ""

    # Evidence

    def observe_demand(self, now_s: float, demand: PoolDemand) -> None:
        """Take evidence of the work that arrives.

        :param now_s: current instant in seconds.
        :param demand: what one entry saw of one class.
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
            self.fleet_prefill = demand.prefill_tokens_per_s
        if demand.decode_tokens_per_s:
            self.fleet_decode = demand.decode_tokens_per_s
        self.note_mix(now_s)

    def note_mix(self, now_s: float) -> None:
        """Learn how long a mix lasts before it swings back.

        :param now_s: current instant in seconds.
        """
        self.rates = {
            key: rates
            for key, rates in self.rates.items()
            if now_s - rates.updated_s < 6.0 * self.settings.demand_window_s
        }
        if not self.fleet_prefill or not self.fleet_decode:
            return
        prefill = sum(rates.prefill for rates in self.rates.values())
        decode = sum(rates.decode for rates in self.rates.values())
        lead = prefill / self.fleet_prefill - decode / self.fleet_decode
        side = 1 if lead > 0.0 else -1
        if side == self.mix_side:
            return
        if self.mix_side and math.isfinite(self.mix_since_s):
            self.dwell_s += 0.5 * (now_s - self.mix_since_s - self.dwell_s)
        self.mix_side = side
        self.mix_since_s = now_s

    # Decision

    def propose(self, now_s: float, roles: Mapping[str, str]) -> RoleProposal | None:
        """Return the change of this engine that pays, or nothing.

        :param now_s: current instant in seconds.
        :param roles: roles in force in the pool by endpoint.
        """
        if dict(roles) != self.roles:
            self.roles = dict(roles)
            self.changed_s = now_s
        if now_s - self.changed_s < self.settings.settle_s or now_s < 0.0:
            return None
        best = self.best(now_s)
        if best is None:
            self.wanted = ""
            return None
        if self.wanted != best.role:
            self.wanted = best.role
            self.wait_until_s = now_s + self.rng.random() * self.settings.stagger_s
        return best if now_s >= self.wait_until_s else None

    def best(self, now_s: float) -> RoleProposal | None:
        """Return the change that gains the most, if it gains more than it costs.

        The cost counts the way back, as the mix is expected to swing back.

        :param now_s: current instant in seconds.
        """
        work = self.work()
        if not work or self.refused_part < self.settings.least_refused_part:
            return None
        role = self.roles.get(self.endpoint, "mixed")
        held = list(self.roles.values())
        counts = {name: held.count(name) for name in ROLES}
        left_s = max(0.0, self.dwell_s - (now_s - self.mix_since_s))
        use_s = min(self.pool.horizon_s, left_s) - self.settings.change_s
        cost_s = 2.0 * self.settings.change_s + self.pool.role_change_cost
        before = self.served(work, counts)
        found: RoleProposal | None = None
        for wanted in ROLES:
            if wanted == role or not self.allowed(counts, role, wanted):
                continue
            after = self.served(work, self.moved(counts, role, wanted))
            gain_s = (after - before) * max(0.0, use_s)
            if gain_s <= cost_s or (found and gain_s <= found.gain_s):
                continue
            reason = (
                f"Work of {after:.2f} engines served instead of {before:.2f} for"
                f" {use_s:.0f} s gains {gain_s:.1f} s; the change costs {cost_s:.1f} s."
            )
            found = RoleProposal(
                endpoint=self.endpoint,
                role=wanted,
                gain_s=gain_s,
                cost_s=cost_s,
                reason=reason,
            )
        return found

    def moved(self, counts: Mapping[str, int], old: str, new: str) -> dict[str, int]:
        """Return the engines by role after one changes.

        :param counts: engines by role.
        :param old: role it leaves.
        :param new: role it takes.
        """
        moved = dict(counts)
        moved[old] -= 1
        moved[new] += 1
        return moved

    def allowed(self, counts: Mapping[str, int], old: str, new: str) -> bool:
        """Return whether the pool keeps its least numbers after a change.

        :param counts: engines by role.
        :param old: role that the engine leaves.
        :param new: role that it takes.
        """
        after = self.moved(counts, old, new)
        can_prefill = after["mixed"] + after["prefill"]
        can_decode = after["mixed"] + after["decode"]
        return can_prefill >= self.pool.min_prefill and (
            can_decode >= self.pool.min_decode
        )

    @property
    def refused_part(self) -> float:
        """Part of the requests that were refused lately."""
        requests = sum(rates.requests for rates in self.rates.values())
        refused = sum(rates.refused for rates in self.rates.values())
        return min(0.9, refused / requests) if requests else 0.0

    def work(self) -> list[_Work]:
        """Return the demand of each class in engines of average speed.

        What is refused shows how far the demand is above the capacity; the learned
        speeds, which depend on the mix, give only its parts.
        """
        if not self.roles or not self.fleet_prefill or not self.fleet_decode:
            return []
        by_class: dict[str, list[_Rates]] = {}
        for (_, request_class), rates in self.rates.items():
            by_class.setdefault(request_class, []).append(rates)
        parts = [
            _Work(
                sum(rates.prefill for rates in items) / self.fleet_prefill,
                sum(rates.decode for rates in items) / self.fleet_decode,
            )
            for items in by_class.values()
        ]
        total = sum(part.prefill + part.decode for part in parts)
        if total <= 0.0:
            return []
        capacity = len(self.roles) * self.settings.peak_utilisation
        scale = capacity / (1.0 - self.refused_part) / total
        return [_Work(part.prefill * scale, part.decode * scale) for part in parts]

    def served(self, work: list[_Work], counts: Mapping[str, int]) -> float:
        """Return the mixed-role work that the pool can serve with some roles.

        Each class takes the roles that serve it cheapest first; all orders in which
        the classes may choose are tried.

        :param work: demand by class.
        :param counts: engines by role.
        """
        orders = itertools.permutations(work) if len(work) <= 4 else [tuple(work)]
        return max(self.served_in_order(order, counts) for order in orders)

    def served_in_order(
        self, work: tuple[_Work, ...], counts: Mapping[str, int]
    ) -> float:
        """Return the work served if the classes choose in this order.

        :param work: demand by class.
        :param counts: engines by role.
        """
        free = {
            role: count * self.settings.peak_utilisation
            for role, count in counts.items()
        }
        total = 0.0
        for item in work:
            size = item.prefill + item.decode
            left = 1.0
            for role in sorted(ROLES, key=lambda name: self.engines(item, name)):
                needed = self.engines(item, role)
                if needed <= 0.0 or free[role] <= 0.0:
                    continue
                part = min(left, free[role] / needed)
                free[role] -= part * needed
                left -= part
                total += part * size
        return total

    def engines(self, work: _Work, role: str) -> float:
        """Return the engines of a role that a class would keep busy.

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

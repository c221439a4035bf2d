"""Policies that the measurement compares."""

import random
from abc import ABC, abstractmethod
from collections.abc import Collection, Mapping

import attrs
import xxhash

from jasminewalk.generated_codes import Code
from jasminewalk.generated_configuration import Pool
from jasminewalk.scheduling.endpoint_view import SpeedSettings
from jasminewalk.scheduling.queueing import EndpointQueue, QueueSettings
from jasminewalk.scheduling.roles import RolePlanner, RoleProposal, RoleSettings
from jasminewalk.scheduling.routing import Router, RoutingSettings
from jasminewalk.types import Refusal, RequestProfile, Route

__all__ = [
    "POLICIES",
    "LeastLoadRouter",
    "Policy",
    "PrefixHashRouter",
    "ReactivePlanner",
    "RoundRobinRouter",
]

NO_ENDPOINT_RETRY_S = 1.0


class Policy(ABC):
    """A way to decide, as the objects that the daemons would use."""

    name = ""

    @abstractmethod
    def router(self, entry: str, rng: random.Random) -> Router:
        """Return the router of an entry.

        :param entry: entry name.
        :param rng: random source.
        """

    def queue(self) -> EndpointQueue:
        """Return the queue of an endpoint."""
        return EndpointQueue(QueueSettings())

    def planner(
        self, endpoint: str, pool: Pool, rng: random.Random
    ) -> RolePlanner | None:
        """Return the planner of an engine, or nothing if roles stay.

        :param endpoint: endpoint name.
        :param pool: settings of the pool.
        :param rng: random source.
        """
        del endpoint, pool, rng
        return None


class _SimpleRouter(Router):
    """Router that picks by one rule and admits everything."""

    def choose(
        self,
        now_s: float,
        profile: RequestProfile,
        usable: Collection[str],
        excluded: frozenset[str] = frozenset(),
        *,
        retry: bool = False,
    ) -> Route | Refusal:
        """Return the endpoint that the rule picks.

        :param now_s: current instant in seconds.
        :param profile: the request.
        :param usable: endpoints that may get it.
        :param excluded: endpoints that were tried already.
        :param retry: whether the request was sent before.
        """
        names = sorted(name for name in usable if name not in excluded)
        if not names:
            return Refusal(
                Code.NO_ENDPOINT, "No endpoint is usable.", NO_ENDPOINT_RETRY_S
            )
        if not (retry or excluded):
            self.budget.record_request()
            estimate = self.estimate_request(profile)
            scored = self.predict_for_endpoint(now_s, estimate, self.get_view(names[0]))
            self.record_arrival(now_s, estimate, scored)
        return Route(self.pick(profile, names), type(self).__name__)

    @abstractmethod
    def pick(self, profile: RequestProfile, names: list[str]) -> str:
        """Return one of some endpoints.

        :param profile: the request.
        :param names: endpoint names in order.
        """


class RoundRobinRouter(_SimpleRouter):
    """Gives each endpoint its turn."""

    turn = 0

    def pick(self, profile: RequestProfile, names: list[str]) -> str:
        """Return the next endpoint.

        :param profile: the request.
        :param names: endpoint names in order.
        """
        self.turn += 1
        return names[self.turn % len(names)]


class LeastLoadRouter(_SimpleRouter):
    """Picks the endpoint that last reported the fewest requests."""

    def pick(self, profile: RequestProfile, names: list[str]) -> str:
        """Return the endpoint with the least reported load.

        :param profile: the request.
        :param names: endpoint names in order.
        """
        return min(names, key=lambda name: (self.load(name), self.rng.random()))

    def load(self, name: str) -> int:
        """Return the requests that an endpoint last reported.

        :param name: endpoint name.
        """
        report = self.get_view(name).report
        return report.queued + report.running if report else 0


def _hash(name: str, seed: int) -> int:
    return xxhash.xxh3_64_intdigest(name.encode(), seed)


class PrefixHashRouter(_SimpleRouter):
    """Picks by a rendezvous hash of the first block of the prompt."""

    def pick(self, profile: RequestProfile, names: list[str]) -> str:
        """Return the endpoint that the prefix hashes to.

        :param profile: the request.
        :param names: endpoint names in order.
        """
        if not profile.prefix_hashes:
            return self.rng.choice(names)
        seed = profile.prefix_hashes[0]
        return max(names, key=lambda name: _hash(name, seed))


class ReactivePlanner(RolePlanner):
    """Follows the mix at once, whatever a change costs."""

    def propose(self, now_s: float, roles: Mapping[str, str]) -> RoleProposal | None:
        """Return a change towards the mix of the moment.

        :param now_s: current instant in seconds.
        :param roles: roles in force in the pool by endpoint.
        """
        self.roles = dict(roles)
        work = self.estimate_work()
        total = sum(item.prefill + item.decode for item in work)
        if total <= 0.0:
            return None
        share = sum(item.prefill for item in work) / total
        wanted = round(share * len(roles))
        wanted = min(len(roles) - self.pool.min_decode, wanted)
        wanted = max(self.pool.min_prefill, wanted)
        having = sum(role == "prefill" for role in roles.values())
        own = roles.get(self.endpoint, "mixed")
        role = own
        if having < wanted and own != "prefill":
            role = "prefill"
        elif own == ("prefill" if having > wanted else "mixed"):
            role = "decode"
        if role == own:
            return None
        return RoleProposal(
            endpoint=self.endpoint,
            role=role,
            gain_s=0.0,
            cost_s=0.0,
            reason=f"Prefill is {share:.2f} of the work.",
        )


@attrs.frozen
class _Ours(Policy):
    """The policy of the daemons, or one with a mechanism off.

    :param name: name of the policy.
    :param routing: settings of the routers.
    :param queueing: settings of the queues.
    :param roles: settings of the planners, or nothing for fixed roles.
    """

    name: str
    routing: RoutingSettings = attrs.field(factory=RoutingSettings)
    queueing: QueueSettings = attrs.field(factory=QueueSettings)
    roles: RoleSettings | None = attrs.field(factory=RoleSettings)

    def router(self, entry: str, rng: random.Random) -> Router:
        """Return the router of an entry.

        :param entry: entry name.
        :param rng: random source.
        """
        return Router(attrs.evolve(self.routing, entry=entry), rng)

    def queue(self) -> EndpointQueue:
        """Return the queue of an endpoint."""
        return EndpointQueue(self.queueing)

    def planner(
        self, endpoint: str, pool: Pool, rng: random.Random
    ) -> RolePlanner | None:
        """Return the planner of an engine, or nothing if roles stay.

        :param endpoint: endpoint name.
        :param pool: settings of the pool.
        :param rng: random source.
        """
        if self.roles is None:
            return None
        return RolePlanner(endpoint, pool, rng, self.roles)


@attrs.frozen
class _Baseline(Policy):
    """A policy with a simple router.

    :param name: name of the policy.
    :param router_class: class of the routers.
    :param planner_class: class of the planners, if roles change.
    """

    name: str
    router_class: type[Router]
    planner_class: type[RolePlanner] | None = None

    def router(self, entry: str, rng: random.Random) -> Router:
        """Return the router of an entry.

        :param entry: entry name.
        :param rng: random source.
        """
        return self.router_class(RoutingSettings(entry=entry), rng)

    def planner(
        self, endpoint: str, pool: Pool, rng: random.Random
    ) -> RolePlanner | None:
        """Return the planner of an engine, or nothing if roles stay.

        :param endpoint: endpoint name.
        :param pool: settings of the pool.
        :param rng: random source.
        """
        if self.planner_class is None:
            return None
        return self.planner_class(endpoint, pool, rng)


POLICIES: dict[str, Policy] = {
    policy.name: policy
    for policy in (
        _Ours("jasminewalk"),
        _Baseline("round-robin", RoundRobinRouter),
        _Baseline("least-load", LeastLoadRouter),
        _Baseline("prefix-hash", PrefixHashRouter),
        _Baseline("reactive-roles", LeastLoadRouter, ReactivePlanner),
        _Ours("fixed-roles", roles=None),
        _Ours("no-affinity", RoutingSettings(affinity=False)),
        _Ours("no-admission", RoutingSettings(admission=False)),
        _Ours("no-fairness", RoutingSettings(fairness=False)),
        _Ours("no-learning", RoutingSettings(learning=False)),
        _Ours("no-corrections", RoutingSettings(speeds=SpeedSettings(learning_rate=0))),
        _Ours(
            "no-own-count",
            RoutingSettings(speeds=SpeedSettings(count_own_requests=False)),
        ),
        _Ours("no-cheap-first", RoutingSettings(recompute_weight=0.0)),
        _Ours("no-queue-shares", queueing=QueueSettings(fairness=False)),
        _Ours("deep-engine-queue", queueing=QueueSettings(engine_prefill_s=60.0)),
    )
}

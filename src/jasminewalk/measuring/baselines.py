"""Policies to compare: the jasminewalk policy, its ablations, and baselines."""

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
    """Factory of the routers, queues and role planners of a simulated fleet."""

    name = ""

    @abstractmethod
    def create_router(self, entry: str, rng: random.Random) -> Router:
        """Create the router of an entry.

        :param entry: entry name.
        :param rng: random source.
        """

    def create_queue(self) -> EndpointQueue:
        """Create the queue of an endpoint."""
        return EndpointQueue(QueueSettings())

    def create_planner(
        self, endpoint: str, pool: Pool, rng: random.Random
    ) -> RolePlanner | None:
        """Create the role planner of an engine; return ``None`` if roles are fixed.

        :param endpoint: endpoint name.
        :param pool: settings of the pool.
        :param rng: random source.
        """
        del endpoint, pool, rng
        return None


class _SimpleRouter(Router):
    """Router that applies a single rule and admits every request."""

    def choose(
        self,
        now_s: float,
        profile: RequestProfile,
        usable: Collection[str],
        excluded: frozenset[str] = frozenset(),
        *,
        retry: bool = False,
    ) -> Route | Refusal:
        """Choose an endpoint by the rule of the subclass.

        :param now_s: current time in seconds.
        :param profile: the request.
        :param usable: endpoints that accept new requests.
        :param excluded: endpoints that were already tried.
        :param retry: whether the request was already sent to an endpoint.
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
        """Pick one of the given endpoints.

        :param profile: the request.
        :param names: endpoint names in order.
        """


class RoundRobinRouter(_SimpleRouter):
    """Router that sends requests to the endpoints in turn."""

    position = 0

    def pick(self, profile: RequestProfile, names: list[str]) -> str:
        """Pick the next endpoint.

        :param profile: the request.
        :param names: endpoint names in order.
        """
        self.position += 1
        return names[self.position % len(names)]


class LeastLoadRouter(_SimpleRouter):
    """Router that picks the endpoint with the fewest requests in its last report."""

    def pick(self, profile: RequestProfile, names: list[str]) -> str:
        """Pick the endpoint with the least reported load, at random among equals.

        :param profile: the request.
        :param names: endpoint names in order.
        """
        return min(
            names, key=lambda name: (self.get_reported_load(name), self.rng.random())
        )

    def get_reported_load(self, name: str) -> int:
        """Return the number of requests in an endpoint's last report, or 0 without one.

        :param name: endpoint name.
        """
        report = self.get_view(name).report
        return report.queued + report.running if report else 0


def _hash_name(name: str, seed: int) -> int:
    return xxhash.xxh3_64_intdigest(name.encode(), seed)


class PrefixHashRouter(_SimpleRouter):
    """Router that uses rendezvous hashing of the first block of the prompt."""

    def pick(self, profile: RequestProfile, names: list[str]) -> str:
        """Pick the endpoint with the highest hash, or a random one for a short prompt.

        :param profile: the request.
        :param names: endpoint names in order.
        """
        if not profile.prefix_hashes:
            return self.rng.choice(names)
        prefix_hash = profile.prefix_hashes[0]
        return max(names, key=lambda name: _hash_name(name, prefix_hash))


class ReactivePlanner(RolePlanner):
    """Planner that follows the current mix at once, whatever a role change costs."""

    def propose(self, now_s: float, roles: Mapping[str, str]) -> RoleProposal | None:
        """Propose a role change towards the current mix, or return ``None``.

        :param now_s: current time in seconds.
        :param roles: current roles in the pool by endpoint.
        """
        self.roles = dict(roles)
        work = self.estimate_work()
        total = sum(item.prefill + item.decode for item in work)
        if total <= 0.0:
            return None
        prefill_share = sum(item.prefill for item in work) / total
        wanted_count = round(prefill_share * len(roles))
        wanted_count = min(len(roles) - self.pool.min_decode, wanted_count)
        wanted_count = max(self.pool.min_prefill, wanted_count)
        current_count = sum(role == "prefill" for role in roles.values())
        own_role = roles.get(self.endpoint, "mixed")
        role = own_role
        if current_count < wanted_count and own_role != "prefill":
            role = "prefill"
        elif own_role == ("prefill" if current_count > wanted_count else "mixed"):
            role = "decode"
        if role == own_role:
            return None
        return RoleProposal(
            endpoint=self.endpoint,
            role=role,
            gain_s=0.0,
            cost_s=0.0,
            reason=f"Prefill is {prefill_share:.2f} of the work.",
        )


@attrs.frozen
class _JasminewalkPolicy(Policy):
    """The policy that the daemons use, or a variation with a mechanism switched off.

    :param name: name of the policy.
    :param routing: settings of the routers.
    :param queueing: settings of the queues.
    :param roles: settings of the role planners; ``None`` for fixed roles.
    """

    name: str
    routing: RoutingSettings = attrs.field(factory=RoutingSettings)
    queueing: QueueSettings = attrs.field(factory=QueueSettings)
    roles: RoleSettings | None = attrs.field(factory=RoleSettings)

    def create_router(self, entry: str, rng: random.Random) -> Router:
        """Create the router of an entry.

        :param entry: entry name.
        :param rng: random source.
        """
        return Router(attrs.evolve(self.routing, entry=entry), rng)

    def create_queue(self) -> EndpointQueue:
        """Create the queue of an endpoint."""
        return EndpointQueue(self.queueing)

    def create_planner(
        self, endpoint: str, pool: Pool, rng: random.Random
    ) -> RolePlanner | None:
        """Create the role planner of an engine; return ``None`` if roles are fixed.

        :param endpoint: endpoint name.
        :param pool: settings of the pool.
        :param rng: random source.
        """
        if self.roles is None:
            return None
        return RolePlanner(endpoint, pool, rng, self.roles)


@attrs.frozen
class _BaselinePolicy(Policy):
    """A baseline with a simple router.

    :param name: name of the policy.
    :param router_class: class of the routers.
    :param planner_class: class of the role planners; ``None`` for fixed roles.
    """

    name: str
    router_class: type[Router]
    planner_class: type[RolePlanner] | None = None

    def create_router(self, entry: str, rng: random.Random) -> Router:
        """Create the router of an entry.

        :param entry: entry name.
        :param rng: random source.
        """
        return self.router_class(RoutingSettings(entry=entry), rng)

    def create_planner(
        self, endpoint: str, pool: Pool, rng: random.Random
    ) -> RolePlanner | None:
        """Create the role planner of an engine; return ``None`` if roles are fixed.

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
        _JasminewalkPolicy("jasminewalk"),
        _BaselinePolicy("round-robin", RoundRobinRouter),
        _BaselinePolicy("least-load", LeastLoadRouter),
        _BaselinePolicy("prefix-hash", PrefixHashRouter),
        _BaselinePolicy("reactive-roles", LeastLoadRouter, ReactivePlanner),
        _JasminewalkPolicy("fixed-roles", roles=None),
        _JasminewalkPolicy("no-affinity", RoutingSettings(affinity=False)),
        _JasminewalkPolicy("no-admission", RoutingSettings(admission=False)),
        _JasminewalkPolicy("no-fairness", RoutingSettings(fairness=False)),
        _JasminewalkPolicy("no-learning", RoutingSettings(learning=False)),
        _JasminewalkPolicy(
            "no-corrections", RoutingSettings(speeds=SpeedSettings(learning_rate=0))
        ),
        _JasminewalkPolicy(
            "no-own-count",
            RoutingSettings(speeds=SpeedSettings(count_own_requests=False)),
        ),
        _JasminewalkPolicy("no-cheap-first", RoutingSettings(recompute_weight=0.0)),
        _JasminewalkPolicy("no-queue-shares", queueing=QueueSettings(fairness=False)),
        _JasminewalkPolicy(
            "deep-engine-queue", queueing=QueueSettings(engine_prefill_s=60.0)
        ),
    )
}

"""Chooses endpoints for the attempts of one request."""

from collections.abc import Collection

from jasminewalk.ingress.jobs import Job
from jasminewalk.scheduling.attempts import EndpointSelector
from jasminewalk.scheduling.membership import Membership
from jasminewalk.scheduling.routing import Router
from jasminewalk.types import Refusal, RequestProfile, Route

__all__ = ["PoolEndpoints"]


class PoolEndpoints(EndpointSelector):
    """Endpoints of the pool that serves one job.

    :param membership: tracks which endpoints are live.
    :param router: chooses among usable endpoints.
    :param job: the job.
    """

    def __init__(self, membership: Membership, router: Router, job: Job) -> None:
        self.membership = membership
        self.router = router
        self.job = job

    def choose(
        self,
        now_s: float,
        profile: RequestProfile,
        excluded: Collection[str],
        *,
        retry: bool,
    ) -> Route | Refusal:
        """Choose an endpoint for the job, or refuse it.

        :param now_s: current time in seconds.
        :param profile: the part of the request that remains to be done.
        :param excluded: endpoints that must not be chosen.
        :param retry: whether the job was sent before.
        """
        usable = [
            endpoint
            for endpoint in self.membership.list_usable(now_s, profile.pool)
            if self.may_serve(endpoint)
        ]
        return self.router.choose(
            now_s, profile, usable, frozenset(excluded), retry=retry
        )

    def try_take_retry(self) -> bool:
        """Spend one retry of the budget; return whether one was left."""
        return self.router.try_take_retry()

    def may_serve(self, endpoint: str) -> bool:
        """Return whether an endpoint may serve the job and has loaded its model.

        An endpoint that reports no models is assumed to have it.

        :param endpoint: endpoint name.
        """
        if endpoint in self.job.withdrawn:
            return False
        domains = self.job.failure_domains
        member = self.membership.members[endpoint]
        if domains and member.failure_domain not in domains:
            return False
        models = member.report.models if member.report else []
        return not models or not self.job.profile.model or self.has_model(models)

    def has_model(self, models: list[str]) -> bool:
        """Return whether the job's model and adapter are loaded.

        :param models: models and adapters that an endpoint has loaded.
        """
        adapter = getattr(self.job, "adapter", "")
        return self.job.profile.model in models and (not adapter or adapter in models)

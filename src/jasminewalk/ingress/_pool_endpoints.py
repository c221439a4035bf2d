"""Endpoints of the pool that serves one request."""

from collections.abc import Collection

from jasminewalk.ingress.jobs import Job
from jasminewalk.scheduling.attempts import EndpointSelector
from jasminewalk.scheduling.membership import Membership
from jasminewalk.scheduling.routing import Router
from jasminewalk.types import Refusal, RequestProfile, Route

__all__ = ["PoolEndpoints"]


class PoolEndpoints(EndpointSelector):
    """Endpoints of the pool that serves one job.

    :param membership: liveness of endpoints.
    :param router: chooses among those that are usable.
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
        """Return where to send the job, or why not to.

        :param now_s: current instant.
        :param profile: the request as it is now.
        :param excluded: endpoints not to choose.
        :param retry: whether the job was sent before.
        """
        usable = [
            endpoint
            for endpoint in self.membership.list_usable(now_s, profile.pool)
            if self.allows(endpoint)
        ]
        return self.router.choose(
            now_s, profile, usable, frozenset(excluded), retry=retry
        )

    def try_take_retry(self) -> bool:
        """Return whether a retry can be afforded, and use it up."""
        return self.router.try_take_retry()

    def allows(self, endpoint: str) -> bool:
        """Return whether the configuration lets an endpoint serve the job.

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
        """Return whether an endpoint has loaded what the job needs.

        :param models: models and adapters loaded.
        """
        adapter = getattr(self.job, "adapter", "")
        return self.job.profile.model in models and (not adapter or adapter in models)

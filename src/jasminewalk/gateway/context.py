"""Components of a gateway that the runs of all its requests share."""

from collections.abc import Callable

import attrs

from jasminewalk.gateway.admission import AdmissionPolicy
from jasminewalk.gateway.capacity import WaitingLine
from jasminewalk.gateway.crash_watch import CrashWatch
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.duties.usage_counter import UsageCounter
from jasminewalk.gateway.engine_clients import EngineClients
from jasminewalk.gateway.fleet import Fleet
from jasminewalk.gateway.metrics import GatewayMetrics
from jasminewalk.gateway.organisations import (
    Access,
    AccessPolicy,
    Denied,
    FairShares,
)
from jasminewalk.gateway.peers import PeerExchange
from jasminewalk.gateway.placement import PlacementPolicy
from jasminewalk.gateway.retry_budget import RetryBudget
from jasminewalk.gateway.start_check import StartCheck
from jasminewalk.gateway.stream_history import StreamHistory
from jasminewalk.platform.configuration import Route
from jasminewalk.platform.settings import InstanceSettings

__all__ = ["GatewayContext"]


@attrs.define
class GatewayContext:
    """Shared components of a gateway that its request runs use.

    :param settings: settings of the instance.
    :param fleet: the engines.
    :param clients: connections to the engines.
    :param placement: chooses engines.
    :param admission: admits or refuses generations.
    :param peers: exchanges loads, speeds and cached parts with other gateways.
    :param crash_watch: finds the prompt parts and requests that crash engines.
    :param stream_history: knows the versions that began streams.
    :param start_check: compares the starts of engines with the listed ones.
    :param log: decision log.
    :param metrics: counters and histograms.
    :param clock: returns the monotonic time in seconds.
    :param wall_clock: returns the Unix time in seconds.
    :param access_policy: decides by their keys whether requests may run.
    :param usage: counts the requests of each organisation that engines began.
    :param fair_shares: compares what organisations use of the engines.
    :param retry_budgets: retry budget of each service, by its name.
    :param lines: requests that wait for an endpoint of a service, by its name.
    :param get_unread_s: returns the seconds since the configuration was last read by
        any gateway that this one hears.
    :param is_behind: returns whether another gateway has a newer configuration.
    """

    settings: InstanceSettings
    fleet: Fleet
    clients: EngineClients
    placement: PlacementPolicy
    admission: AdmissionPolicy
    peers: PeerExchange
    crash_watch: CrashWatch
    stream_history: StreamHistory
    start_check: StartCheck
    log: DecisionLog
    metrics: GatewayMetrics
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    access_policy: AccessPolicy
    usage: UsageCounter
    fair_shares: FairShares = attrs.field(factory=FairShares)
    retry_budgets: dict[str, RetryBudget] = attrs.field(factory=dict)
    lines: dict[str, WaitingLine] = attrs.field(factory=dict)
    get_unread_s: Callable[[], float] = lambda: 0.0
    is_behind: Callable[[], bool] = lambda: False

    def get_line(self, service: str) -> WaitingLine:
        """Return the line of a service; create it if there is none.

        :param service: name of the service.
        """
        return self.lines.setdefault(service, WaitingLine())

    def decide_access(self, route: Route, credential: str) -> Access | Denied:
        """Decide by its key whether a request that has just arrived may run.

        :param route: its route.
        :param credential: its key; empty if it has none.
        """
        return self.access_policy.decide(
            route, credential, self.get_unread_s(), is_behind=self.is_behind()
        )

    def still_has_access(self, access: Access) -> bool:
        """Return whether a request that waited may still run.

        :param access: what was decided when it arrived.
        """
        return self.access_policy.still_holds(access, self.get_unread_s())

    def get_retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service; create it if there is none.

        :param service: name of the service.
        """
        budget = self.retry_budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = RetryBudget(
                bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
            )
            self.retry_budgets[service] = budget
        return budget

    def update_settings(self, settings: InstanceSettings) -> None:
        """Apply changed settings; retries that were taken stay counted.

        :param settings: new settings of the instance.
        """
        self.settings = settings
        bounds = settings.bounds
        self.access_policy.use_bounds(bounds)
        for budget in self.retry_budgets.values():
            budget.ratio, budget.slack = bounds.retry_ratio, bounds.retry_slack
            budget.window_s = bounds.retry_window_s

    def try_take_retry(self, service: str) -> bool:
        """Take a retry from the budget of a service; return False if there is none.

        :param service: name of the service.
        """
        now = self.clock()
        gateways = len(self.peers.list_members(now)) if self.peers.peers_known else 0
        return self.get_retry_budget(service).try_take(now, gateways)

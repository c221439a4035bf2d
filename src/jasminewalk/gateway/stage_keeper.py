"""Task that holds the right to give orders and carries out planned changes."""

import asyncio
import random
import time
from collections.abc import Callable

from jasminewalk.exceptions import BadMessageError, LogUnavailableError
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.engine_clients import EngineClients, NotSentError
from jasminewalk.gateway.fleet import Fleet
from jasminewalk.gateway.peers import LoadExchange
from jasminewalk.gateway.stage_holder import HolderLease
from jasminewalk.gateway.stage_planner import StageChange, StagePlanner
from jasminewalk.http1.client import ExchangeBrokenError
from jasminewalk.platform.configuration import Service
from jasminewalk.platform.engines import (
    ACCEPTED_STATUSES,
    REPORT_PATH,
    decode_report,
    encode_stage_order,
    get_order_path,
)
from jasminewalk.platform.headers import build_engine_headers
from jasminewalk.platform.store import GATEWAYS_TOPIC, StoreClient

__all__ = ["StageKeeper"]

GROUP = "stage-holder"
# Seconds of silence after which the store drops a member of the group.
SESSION_S = 3.0
# Seconds between two renewals.
RENEWAL_S = 0.7
# Gateways, the first by name, that are members of the group; the others save the calls.
CANDIDATES = 3
# Seconds that a call to an engine may take.
CALL_TIMEOUT_S = 0.4
# Seconds that the registry takes to show a changed stage.
CHANGE_MARGIN_S = 1.5


def suspended_clock() -> float:
    """Return seconds of a clock that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StageKeeper:
    """Renews the right to give orders, and orders what the planner wants.

    :param member: name of this process in the group.
    :param node: name of the instance, which engines know as the holder.
    :param store: the metadata store.
    :param fleet: the engines.
    :param peers: sums up the work that callers of all gateways ask for.
    :param clients: connections to the engines.
    :param planner: decides on changes.
    :param lease: decides whether an order may be sent.
    :param log: decision log.
    :param clock: returns the current instant in seconds.
    """

    def __init__(
        self,
        member: str,
        node: str,
        store: StoreClient,
        fleet: Fleet,
        peers: LoadExchange,
        clients: EngineClients,
        planner: StagePlanner,
        lease: HolderLease,
        log: DecisionLog,
        clock: Callable[[], float],
    ) -> None:
        self.member = member
        self.node = node
        self.store = store
        self.fleet = fleet
        self.peers = peers
        self.clients = clients
        self.planner = planner
        self.lease = lease
        self.log = log
        self.clock = clock

    async def run(self) -> None:
        """Renew and order forever."""
        while True:
            if self.peers.rank(self.clock()) < CANDIDATES:
                await self._renew()
            if self.lease.may_order(suspended_clock()):
                await self._order_next()
            await asyncio.sleep(RENEWAL_S * random.uniform(0.9, 1.1))

    async def leave(self) -> None:
        """Give up the right before the process ends."""
        self.lease.held_since = None
        try:
            await self.store.leave(GROUP, self.member)
        except (LogUnavailableError, OSError, TimeoutError) as error:
            # The store drops the member after its session.
            self.log.info("holder_not_left", reason=repr(error))

    async def _renew(self) -> None:
        asked_at = suspended_clock()
        try:
            membership = await self.store.join(
                GROUP,
                self.member,
                GATEWAYS_TOPIC,
                self.lease.session_s,
                self.lease.generation,
            )
        except (LogUnavailableError, OSError, TimeoutError) as error:
            if self.lease.held_since is not None:
                self.log.warning("holder_not_renewed", reason=repr(error))
            return
        if self.lease.renewed(asked_at, suspended_clock(), membership):
            self.log.info(
                "holder_changed",
                held=self.lease.held_since is not None,
                generation=membership.generation,
            )

    async def _order_next(self) -> None:
        for service in self.fleet.services.values():
            if service.engine is None:
                continue
            now = self.clock()
            engines = self.fleet.usable(service.name, now)
            demand = self.peers.total_demand(now)
            change = self.planner.plan(now, service.name, engines, demand)
            if change is not None:
                await self._order(service, change)
                return

    async def _order(self, service: Service, change: StageChange) -> None:
        engine_id = change.engine.entry.engine_id
        try:
            _, body = await self.clients.call(
                change.engine, b"GET", REPORT_PATH, (), b"", CALL_TIMEOUT_S
            )
            report = decode_report(body)
            if report.order_in_progress or report.stage == change.stage:
                self.planner.changed(self.clock(), service.name)
                return
            if not self.lease.may_order(suspended_clock()):
                return
            self.planner.changed(self.clock(), service.name)
            fence = self.lease.generation
            away_s = service.engine.stage_change_s if service.engine else 0.0
            change.engine.changing_until = self.clock() + away_s + CHANGE_MARGIN_S
            headers = build_engine_headers(
                (), engine_id=engine_id, deadline_s=CALL_TIMEOUT_S
            )
            status, _ = await self.clients.call(
                change.engine,
                b"POST",
                get_order_path(),
                headers,
                encode_stage_order(
                    change.stage, self.node, fence, report.orders_accepted
                ),
                CALL_TIMEOUT_S,
            )
        except (
            BadMessageError,
            ExchangeBrokenError,
            NotSentError,
            TimeoutError,
        ) as error:
            self.planner.changed(self.clock(), service.name)
            self.log.warning(
                "order_unanswered",
                engine=engine_id,
                stage=change.stage,
                reason=repr(error),
            )
            return
        self.log.info(
            "stage_ordered",
            engine=engine_id,
            stage=change.stage,
            accepted=status in ACCEPTED_STATUSES,
            status=status,
            fence=fence,
            reason=change.reason,
        )

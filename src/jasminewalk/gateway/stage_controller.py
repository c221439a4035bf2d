"""Task that holds the lease on stage orders and sends the planned orders."""

import asyncio
import random
import time
from collections.abc import Callable, Sequence

from jasminewalk.exceptions import BadMessageError, LogUnavailableError
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.engine_clients import EngineClients, NotSentError
from jasminewalk.gateway.fleet import EngineState, Fleet
from jasminewalk.gateway.holder_lease import HolderLease
from jasminewalk.gateway.peers import PeerExchange
from jasminewalk.gateway.stage_planner import StageChange, StagePlanner
from jasminewalk.http1 import ExchangeBrokenError
from jasminewalk.platform.configuration import Service
from jasminewalk.platform.engines import (
    ACCEPTED_STATUSES,
    REPORT_PATH,
    EngineReport,
    decode_report,
    encode_stage_order,
    get_order_path,
)
from jasminewalk.platform.headers import Header, build_engine_headers
from jasminewalk.platform.store import GATEWAYS_TOPIC, StoreClient

__all__ = ["StageController"]

HOLDER_GROUP = "stage-holder"
OK = 200
# Seconds without a renewal after which the store drops a member of the group.
SESSION_S = 3.0
# Seconds between two renewals.
RENEWAL_INTERVAL_S = 0.7
# Only this many live gateways, the first by name, join the group, which limits the
# calls to the store.
MAX_CANDIDATES = 3
# Timeout of a call to an engine, in seconds.
CALL_TIMEOUT_S = 0.4
# Seconds until the registry shows a changed stage.
REGISTRY_DELAY_S = 1.5


def read_boot_clock() -> float:
    """Return the seconds of a monotonic clock that includes time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StageController:
    """Renews the holder lease, and sends the orders of the planner while it is held.

    :param member: name of this process in the group.
    :param node: name of the instance, sent to engines as the holder.
    :param store: the metadata store.
    :param fleet: the engines.
    :param exchange: state exchanged with the peers; gives the total demand.
    :param clients: connections to the engines.
    :param planner: plans changes of stage.
    :param lease: lease that allows sending orders.
    :param log: decision log.
    :param clock: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        member: str,
        node: str,
        store: StoreClient,
        fleet: Fleet,
        exchange: PeerExchange,
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
        self.exchange = exchange
        self.clients = clients
        self.planner = planner
        self.lease = lease
        self.log = log
        self.clock = clock
        self.leaving = False

    async def run(self) -> None:
        """Renew the lease and send orders until this process leaves."""
        while not self.leaving:
            if self.exchange.compute_rank(self.clock()) < MAX_CANDIDATES:
                await self._renew()
            if self.lease.may_order(read_boot_clock()):
                await self._order_next()
            await asyncio.sleep(RENEWAL_INTERVAL_S * random.uniform(0.9, 1.1))

    def distrust_lease(self, era: int) -> bool:
        """Drop the lease in a new era of the store; return whether it was held.

        :param era: the new era.
        """
        return self.lease.distrust(read_boot_clock(), era)

    async def leave(self) -> None:
        """Release the lease before the process ends."""
        self.leaving = True
        self.lease.held_since = None
        try:
            await self.store.leave(HOLDER_GROUP, self.member)
        except (LogUnavailableError, OSError, TimeoutError) as error:
            # The store drops the member when its session times out.
            self.log.info("holder_not_left", reason=repr(error))

    async def _renew(self) -> None:
        requested_at = read_boot_clock()
        try:
            membership = await self.store.join(
                HOLDER_GROUP,
                self.member,
                GATEWAYS_TOPIC,
                self.lease.session_s,
                self.lease.generation,
            )
        except (LogUnavailableError, OSError, TimeoutError) as error:
            if self.lease.held_since is not None:
                self.log.warning("holder_not_renewed", reason=repr(error))
            return
        if self.leaving:
            # The store may have given the lease to another member since.
            return
        if self.lease.record_renewal(requested_at, read_boot_clock(), membership):
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
            engines = self.fleet.list_usable(service.name, now)
            demand = self.exchange.compute_total_demand(now)
            change = self.planner.plan(now, service.name, engines, demand)
            if change is not None and change.engine.backoff.is_active(now):
                self.log.info(
                    "order_deferred",
                    engine=change.engine.entry.engine_id,
                    stage=change.stage,
                    left_s=round(change.engine.backoff.until - now, 2),
                )
            elif change is not None:
                await self._order(service, change)
                return

    async def _read_report(
        self, engine: EngineState, headers: Sequence[Header]
    ) -> EngineReport:
        """Read the report of an engine.

        :raises BadMessageError: if it is not the report of this incarnation.
        """
        status, body = await self.clients.call(
            engine, b"GET", REPORT_PATH, headers, b"", CALL_TIMEOUT_S
        )
        if status != OK:
            raise BadMessageError(f"engine answered {status} instead of a report")
        report = decode_report(body)
        starts = {report.started_ms, engine.entry.started_ms}
        restarted = len(starts) > 1 and 0 not in starts
        if restarted or self.fleet.is_replaced(engine):
            raise BadMessageError("report of another incarnation of the engine")
        return report

    async def _order(self, service: Service, change: StageChange) -> None:
        engine_id = change.engine.entry.engine_id
        headers = build_engine_headers(
            (), engine_id=engine_id, deadline_s=CALL_TIMEOUT_S
        )
        try:
            report = await self._read_report(change.engine, headers)
            if report.order_in_progress or report.stage == change.stage:
                self.planner.record_change(self.clock(), service.name)
                return
            # The report itself may say that the engine is leaving.
            if change.engine.leaving or not self.lease.may_order(read_boot_clock()):
                return
            self.planner.record_change(self.clock(), service.name)
            fencing_number = self.lease.fencing_number
            change_duration_s = service.engine.stage_change_s if service.engine else 0.0
            change.engine.changing_until = (
                self.clock() + change_duration_s + REGISTRY_DELAY_S
            )
            status, _ = await self.clients.call(
                change.engine,
                b"POST",
                get_order_path(),
                headers,
                encode_stage_order(
                    change.stage, self.node, fencing_number, report.orders_accepted
                ),
                CALL_TIMEOUT_S,
            )
        except (
            BadMessageError,
            ExchangeBrokenError,
            NotSentError,
            TimeoutError,
        ) as error:
            self.planner.record_change(self.clock(), service.name)
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
            fence=fencing_number,
            reason=change.reason,
        )

"""Sends the planned stage orders while this gateway holds the lease on them."""

from collections.abc import Callable, Sequence

from jasminewalk.exceptions import BadMessageError
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.duties.lease_group import read_boot_clock
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

__all__ = ["StageController"]

OK = 200
# Timeout of a call to an engine, in seconds.
CALL_TIMEOUT_S = 0.4
# Seconds until the registry shows a changed stage.
REGISTRY_DELAY_S = 1.5


class StageController:
    """Sends the orders of the planner while the lease on them is held.

    :param node: name of the instance, sent to engines as the holder.
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
        node: str,
        fleet: Fleet,
        exchange: PeerExchange,
        clients: EngineClients,
        planner: StagePlanner,
        lease: HolderLease,
        log: DecisionLog,
        clock: Callable[[], float],
    ) -> None:
        self.node = node
        self.fleet = fleet
        self.exchange = exchange
        self.clients = clients
        self.planner = planner
        self.lease = lease
        self.log = log
        self.clock = clock

    async def order_if_allowed(self) -> None:
        """Send the next order that is planned, if this gateway holds the lease."""
        if self.lease.may_order(read_boot_clock()):
            await self._order_next()

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

"""Plain requests, whose response is not a stream."""

import asyncio

import attrs

from jasminewalk.gateway.engine_clients import NotSentError, OpenExchange
from jasminewalk.gateway.fleet import EngineState
from jasminewalk.gateway.run import (
    BAD_GATEWAY,
    ENGINE_ENDED,
    GATEWAY_TIMEOUT,
    RequestRun,
)
from jasminewalk.http1 import ExchangeBrokenError, Response
from jasminewalk.platform.headers import build_engine_headers

__all__ = ["PlainRun"]

# Engines to which connecting may fail before the request is refused.
MAX_CONNECT_FAILURES = 3
# A repeatable request is sent to another engine after this multiple of the engine's
# usual latency, but not before the minimum in seconds.
SLOW_RESPONSE_FACTOR = 6.0
MIN_SLOW_RESPONSE_S = 0.25
# Shortest remaining time for which a request is sent, in seconds.
MIN_SEND_TIME_S = 0.015
MIN_SERVER_ERROR_STATUS = 500
# Share of the time left to its deadline that a request may wait in line.
MAX_LINE_SHARE = 0.5
# Bounds of ``Retry-After`` of a request that would wait longer, in seconds.
MIN_LINE_RETRY_S, MAX_LINE_RETRY_S = 0.1, 1.0
NO_RESPONSE = "no answer in time"


@attrs.frozen
class PlainAttemptResult:
    """Result of one attempt at a plain request.

    :param response: head of the engine's response; None if the response is incomplete.
    :param body: body of the response.
    :param reason: reason of the result, for the log and the metrics.
    :param not_executed: whether the engine stated that it did not run the request.
    :param retry_granted: whether a retry was already taken from the budget.
    """

    response: Response | None
    body: bytes = b""
    reason: str = ""
    not_executed: bool = False
    retry_granted: bool = False

    @property
    def failed(self) -> bool:
        """Whether the response is missing or is a server error."""
        return self.response is None or self.response.status >= MIN_SERVER_ERROR_STATUS

    @property
    def turned_away(self) -> bool:
        """Whether the engine wants no requests from this gateway for a time."""
        return (
            self.response is not None and self.response.head.retry_after_s is not None
        )


class PlainRun(RequestRun):
    """Runs a plain request; retries it if it is repeatable or was not executed."""

    async def run(self) -> None:
        """Run the request and send the response to the caller."""
        if not self.route.repeatable:
            # The request may have side effects, so it runs to its end even if the
            # caller disconnects.
            self.connection.cancel_on_close = False
        self.connect_failures = 0
        self.last_result: PlainAttemptResult | None = None
        self.may_have_run = False
        self.line_wait_s: float | None = None
        while True:
            async with self.take_turn() as may_run:
                is_over = not may_run or await self._run_once()
            if is_over:
                return

    async def _run_once(self) -> bool:
        """Make one attempt; return whether the request was ended."""
        if self.refuse_revoked() or self.refuse_quarantined():
            return True
        engine = await self._wait_for_engine()
        if engine is None or self.engine_remaining_s < MIN_SEND_TIME_S:
            self._finish("no time left" if engine else self.explain_missing_engine())
            return True
        if self.refuse_revoked():
            return True
        try:
            result = await self._attempt(engine)
        except NotSentError as error:
            self.connect_failures += 1
            event = self.context.fleet.suspect(
                self.context.clock(), engine, error.reason
            )
            self.warn(event.event, engine=event.engine, detail=event.detail)
            self.tried_engines.append(engine.entry.engine_id)
            if self.connect_failures >= MAX_CONNECT_FAILURES:
                self._finish("no engine reached")
                return True
            return False
        if not result.not_executed:
            self.may_have_run = True
            if result.response or self.last_result is None:
                self.last_result = result
        may_retry = self.route.repeatable or result.not_executed
        granted = result.retry_granted or (
            result.failed and may_retry and self.try_take_retry()
        )
        if not granted:
            self._finish(result.reason)
            return True
        self.log("retried", reason=result.reason, engine=engine.entry.engine_id)
        return False

    def finish_incomplete(self, reason: str, status: int) -> None:
        """End a request whose response can't be completed.

        :param reason: reason for the log and the metrics.
        :param status: unused; the last attempt decides.
        """
        self._finish(reason)

    async def _wait_for_engine(self) -> EngineState | None:
        """Return an engine; wait in line while all are at their learnt limits."""
        line = self.context.get_line(self.service)
        now = self.context.clock()
        engine = None if line.waiting else self._choose_engine()
        if engine is None and self.context.fleet.is_at_learnt_limits(self.service, now):
            predicted_s = line.predict_wait_s(now)
            allowed_s = MAX_LINE_SHARE * self.remaining_s
            if predicted_s > allowed_s:
                self.line_wait_s = predicted_s
                return None
            engine = await line.wait_for(self._choose_engine, allowed_s)
            self.line_wait_s = line.predict_wait_s(self.context.clock())
        elif engine is None:
            engine = self._choose_engine()
        if engine is not None:
            line.record_left(self.context.clock())
        return engine

    def explain_missing_engine(self) -> str:
        """Return why there is no engine to choose, and set when to come back."""
        if self.line_wait_s is None:
            return super().explain_missing_engine()
        wait_s = max(MIN_LINE_RETRY_S, self.line_wait_s)
        self.retry_after_s = min(MAX_LINE_RETRY_S, wait_s)
        return "learnt limit"

    def _choose_engine(self) -> EngineState | None:
        if self.context.settings.learns_limits:
            self._look_for_overdue()
        engines = self.list_available_engines()
        return self.context.placement.choose_engine(engines, self.tried_engines)

    def _look_for_overdue(self) -> None:
        """Learn from requests of this gateway that engines have not answered yet."""
        now = self.context.clock()
        for engine in self.context.fleet.list_usable(self.service, now):
            if not engine.in_flight:
                continue
            oldest, former = next(iter(engine.in_flight.values())), engine.learnt.limit
            if engine.learnt.record_overdue(
                now, oldest, engine.requests, self.route.objective_s
            ):
                self._log_learnt(engine, former)

    def _log_learnt(self, engine: EngineState, former: float | None) -> None:
        learnt = engine.learnt
        self.context.log.info(
            "limit_learnt",
            engine=engine.entry.engine_id,
            limit=None if learnt.limit is None else round(learnt.limit, 1),
            former=None if former is None else round(former, 1),
            slots=learnt.slots,
            latency_ms=round(learnt.latency_s * 1e3, 1),
            idle_ms=round(learnt.idle_s * 1e3, 1),
            objective_ms=round(self.route.objective_s * 1e3),
            requests=engine.requests,
        )

    async def _attempt(self, engine: EngineState) -> PlainAttemptResult:
        slow_after_s = max(MIN_SLOW_RESPONSE_S, SLOW_RESPONSE_FACTOR * engine.latency_s)
        with self.track_load(engine):
            sent = await self.context.clients.send(
                engine,
                self.request.method,
                self.request.target,
                build_engine_headers(
                    self.request.headers,
                    engine_id=engine.entry.engine_id,
                    deadline_s=self.engine_remaining_s,
                    organisation=self.access.name,
                ),
                self.request.body,
                request_id=self.head.request_id,
                repeatable=self.route.repeatable,
                timeout_s=self.engine_remaining_s,
            )
            self.attempts += 1
            self.tried_engines.append(engine.entry.engine_id)
            self.log(
                "placed",
                engine=engine.entry.engine_id,
                engine_requests=engine.requests,
                latency_ms=round(engine.latency_s * 1e3, 1),
            )
            started_at, at_once = self.context.clock(), engine.requests
            engine.in_flight[id(self)] = started_at
            try:
                with self.context.usage.track(started_at):
                    result = await self._receive(sent, engine, slow_after_s)
            finally:
                engine.in_flight.pop(id(self), None)
        was_cut = result.response is None and sent.exchange.ended_by_peer
        if not (result.not_executed or result.turned_away or was_cut):
            self.count_begun(started_at)
        self._learn(engine, result, started_at, at_once)
        self._record_crash_evidence(sent, engine, result, started_at)
        self._record_outcome(engine, result, self.context.clock() - started_at)
        return result

    def _learn(
        self,
        engine: EngineState,
        result: PlainAttemptResult,
        started_at: float,
        at_once: int,
    ) -> None:
        """Learn from an answer, or from none, how much the engine takes well."""
        if not self.context.settings.learns_limits:
            return
        is_answer = result.response is not None and not result.not_executed
        if not is_answer and result.reason != NO_RESPONSE:
            return
        now, former = self.context.clock(), engine.learnt.limit
        if engine.learnt.record(
            now, started_at, now - started_at, at_once, self.route.objective_s
        ):
            self._log_learnt(engine, former)

    async def _receive(
        self, sent: OpenExchange, engine: EngineState, slow_after_s: float
    ) -> PlainAttemptResult:
        try:
            async with asyncio.timeout(max(self.engine_remaining_s, 0)):
                if not await self._wait_for_response(sent, slow_after_s):
                    return PlainAttemptResult(
                        None, reason=NO_RESPONSE, retry_granted=True
                    )
                response = await sent.exchange.head()
                body = await sent.exchange.body()
                if sent.exchange.ended_by_peer and await self.has_ended(engine):
                    return PlainAttemptResult(None, reason=ENGINE_ENDED)
        except TimeoutError:
            return PlainAttemptResult(None, reason=NO_RESPONSE)
        except ExchangeBrokenError as error:
            self.warn(
                "response_broken",
                engine=engine.entry.engine_id,
                reason=error.reason,
                ended_by_engine=sent.exchange.ended_by_peer,
                fingerprint=self.fingerprint,
            )
            return PlainAttemptResult(None, reason=error.reason)
        finally:
            sent.close()
        if response.head.not_executed:
            reason = f"engine refused with {response.status}"
            return PlainAttemptResult(response, body, reason, not_executed=True)
        if response.head.encoded or (
            response.status < 300 and not response.head.signed
        ):
            return PlainAttemptResult(None, reason="answer is not the engine's")
        return PlainAttemptResult(response, body, f"engine answered {response.status}")

    def _record_crash_evidence(
        self,
        sent: OpenExchange,
        engine: EngineState,
        result: PlainAttemptResult,
        sent_at: float,
    ) -> None:
        watch = self.context.crash_watch
        if result.response is None:
            if sent.exchange.ended_by_peer:
                watch.record_broken(
                    engine,
                    (self.fingerprint,),
                    sent_at,
                    # An engine that lives has run what it broke off.
                    on_sound=lambda: self.count_begun(sent_at),
                )
        elif watch.watches_requests and not result.failed and not result.not_executed:
            watch.record_answer((self.fingerprint,))

    async def _wait_for_response(self, sent: OpenExchange, slow_after_s: float) -> bool:
        """Return False if the response is late and a retry was taken from the budget.

        Without a retry, a late response is waited for until the deadline.
        """
        if not self.route.repeatable:
            return True
        try:
            async with asyncio.timeout(slow_after_s):
                await sent.exchange.head()
                await sent.exchange.body()
        except TimeoutError:
            other_engine = (
                self.engine_remaining_s >= MIN_SEND_TIME_S and self._choose_engine()
            )
            return not (other_engine and self.try_take_retry())
        return True

    def _record_outcome(
        self, engine: EngineState, result: PlainAttemptResult, elapsed_s: float
    ) -> None:
        if result.not_executed:
            if result.response is not None:
                self.record_rejection(engine, result.response)
            return
        if not result.turned_away:
            engine.record_outcome(result.failed)
        if result.response is not None:
            engine.last_progress_at = self.context.clock()
            engine.observe_latency(elapsed_s)
            event = self.context.fleet.trust(engine)
        elif result.reason == NO_RESPONSE:
            event = self.context.fleet.suspect(
                self.context.clock(), engine, result.reason
            )
        else:
            event = None
        if event is not None:
            self.log(event.event, engine=event.engine, detail=event.detail)

    def _finish(self, reason: str) -> None:
        result = self.last_result
        if result is None or not self.may_have_run:
            self.refuse(reason, self.retry_after_s)
        elif result.response is not None:
            self.relay(result.response, result.body)
        elif result.reason == NO_RESPONSE:
            self.fail(GATEWAY_TIMEOUT, result.reason)
        else:
            self.fail(BAD_GATEWAY, result.reason)

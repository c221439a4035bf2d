"""Plain requests: answered whole by one engine."""

import asyncio

import attrs

from jasminewalk.gateway.engine_clients import NotSentError, OpenExchange
from jasminewalk.gateway.fleet import EngineState
from jasminewalk.gateway.run import (
    BAD_GATEWAY,
    ENGINE_FULL_RETRY_S,
    GATEWAY_TIMEOUT,
    Run,
)
from jasminewalk.http1.client import ExchangeBrokenError, Response
from jasminewalk.platform.headers import build_engine_headers

__all__ = ["PlainRun"]

# Engines to which connecting may fail before a request is refused.
MAX_CONNECTS = 3
# A repeatable request is sent elsewhere after this many of its usual latencies.
SLOW_LATENCIES = 6.0
SHORTEST_PATIENCE_S = 0.25
# Shortest time left for which sending a request makes sense, in seconds.
SHORTEST_SEND_S = 0.015
ENGINE_FAILURE = 500
NO_ANSWER = "no answer in time"


@attrs.frozen
class Outcome:
    """How one attempt ended.

    :param answer: head of the engine's answer, if it came whole.
    :param body: body of the answer.
    :param reason: why there is none.
    :param not_run: whether the request certainly did not run.
    :param repeat_granted: whether the budget already granted a repeat.
    """

    answer: Response | None
    body: bytes = b""
    reason: str = ""
    not_run: bool = False
    repeat_granted: bool = False

    @property
    def failed(self) -> bool:
        """Whether a repeat could bring something better."""
        return self.answer is None or self.answer.status >= ENGINE_FAILURE


class PlainRun(Run):
    """Runs a plain request, again only where that is allowed."""

    async def run(self) -> None:
        """Run the request and answer the caller."""
        if not self.route.repeatable:
            # A caller that leaves does not undo what it ordered.
            self.connection.cancel_on_close = False
        connects = 0
        last: Outcome | None = None
        self.may_have_run = False
        while True:
            engine = self._choose()
            if engine is None or self.engine_left_s < SHORTEST_SEND_S:
                self._finish(last, "no engine" if engine is None else "no time left")
                return
            try:
                outcome = await self._attempt(engine)
            except NotSentError as error:
                connects += 1
                event = self.parts.fleet.suspect(
                    self.parts.clock(), engine, error.reason
                )
                self.warn(event.event, engine=event.engine, detail=event.detail)
                self.tried.append(engine.entry.engine_id)
                if connects >= MAX_CONNECTS:
                    self._finish(last, "no engine reached")
                    return
                continue
            if not outcome.not_run:
                self.may_have_run = True
                last = outcome if outcome.answer or last is None else last
            repeatable = self.route.repeatable or outcome.not_run
            granted = outcome.repeat_granted or (
                outcome.failed and repeatable and self.may_repeat()
            )
            if not granted:
                self._finish(last, outcome.reason)
                return
            self.log("retried", reason=outcome.reason, engine=engine.entry.engine_id)

    def _choose(self) -> EngineState | None:
        now = self.parts.clock()
        usable = self.parts.fleet.usable(self.service, now)
        return self.parts.placement.plain(usable, self.tried)

    async def _attempt(self, engine: EngineState) -> Outcome:
        patience_s = max(SHORTEST_PATIENCE_S, SLOW_LATENCIES * engine.latency_s)
        with self.load(engine):
            sent = await self.parts.clients.send(
                engine,
                self.request.method,
                self.request.target,
                build_engine_headers(
                    self.request.headers,
                    engine_id=engine.entry.engine_id,
                    deadline_s=self.engine_left_s,
                ),
                self.request.body,
                request_id=self.head.request_id,
                repeatable=self.route.repeatable,
                timeout_s=self.engine_left_s,
            )
            self.attempts += 1
            self.tried.append(engine.entry.engine_id)
            self.log(
                "placed",
                engine=engine.entry.engine_id,
                engine_requests=engine.requests,
                latency_ms=round(engine.latency_s * 1e3, 1),
            )
            started = self.parts.clock()
            outcome = await self._answer_of(sent, patience_s)
        self._learn(engine, outcome, self.parts.clock() - started)
        return outcome

    async def _answer_of(self, sent: OpenExchange, patience_s: float) -> Outcome:
        try:
            async with asyncio.timeout(max(self.engine_left_s, 0)):
                if not await self._answers_within(sent, patience_s):
                    return Outcome(None, reason=NO_ANSWER, repeat_granted=True)
                answer = await sent.exchange.head()
                body = await sent.exchange.body()
        except TimeoutError:
            return Outcome(None, reason=NO_ANSWER)
        except ExchangeBrokenError as error:
            return Outcome(None, reason=error.reason)
        finally:
            sent.close()
        if answer.head.not_executed:
            reason = f"engine refused with {answer.status}"
            return Outcome(answer, body, reason, not_run=True)
        if answer.head.encoded or (answer.status < 300 and not answer.head.signed):
            return Outcome(None, reason="answer is not the engine's")
        return Outcome(answer, body, f"engine answered {answer.status}")

    async def _answers_within(self, sent: OpenExchange, patience_s: float) -> bool:
        """Return False if an answer is late and the request is granted a repeat.

        Without a repeat, the engine's silence is no reason to give up.
        """
        if not self.route.repeatable:
            return True
        try:
            async with asyncio.timeout(patience_s):
                await sent.exchange.head()
        except TimeoutError:
            elsewhere = self.engine_left_s >= SHORTEST_SEND_S and self._choose()
            return not (elsewhere and self.may_repeat())
        return True

    def _learn(self, engine: EngineState, outcome: Outcome, taken_s: float) -> None:
        if outcome.not_run:
            if outcome.answer is not None:
                self.rejected(engine, outcome.answer.status)
            return
        engine.observe_outcome(outcome.failed)
        if outcome.answer is not None:
            engine.progress_at = self.parts.clock()
            engine.observe_latency(taken_s)
            event = self.parts.fleet.trust(engine)
        elif outcome.reason == NO_ANSWER:
            event = self.parts.fleet.suspect(self.parts.clock(), engine, outcome.reason)
        else:
            event = None
        if event is not None:
            self.log(event.event, engine=event.engine, detail=event.detail)

    def _finish(self, ran: Outcome | None, reason: str) -> None:
        if ran is None or not self.may_have_run:
            self.refuse(reason, ENGINE_FULL_RETRY_S)
        elif ran.answer is not None:
            self.relay(ran.answer, ran.body)
        elif ran.reason == NO_ANSWER:
            self.fail(GATEWAY_TIMEOUT, ran.reason)
        else:
            self.fail(BAD_GATEWAY, ran.reason)

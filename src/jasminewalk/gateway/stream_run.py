"""Generations: relayed event by event, and resumed where that is allowed."""

import asyncio

from jasminewalk.gateway.engine_clients import NotSentError, OpenExchange
from jasminewalk.gateway.event_stream import EventSplitter, OutOfOrderError
from jasminewalk.gateway.fleet import EngineState
from jasminewalk.gateway.generation_run import SUCCESS, GenerationRun
from jasminewalk.gateway.placement import Estimate
from jasminewalk.gateway.read_prompt import ReadPrompt
from jasminewalk.gateway.run import (
    BAD_GATEWAY,
    ENGINE_FULL_RETRY_S,
    GATEWAY_TIMEOUT,
    End,
    RunLoad,
)
from jasminewalk.http1.client import ExchangeBrokenError, Response
from jasminewalk.platform.headers import filter_relayed_headers

__all__ = ["StreamRun"]

# A stream without a byte for this long goes on elsewhere if it may, in seconds.
SILENCE_S = 1.2
MAX_CONNECTS = 3
SHORTEST_SEND_S = 0.02


class StreamRun(GenerationRun):
    """Runs a generation, and resumes it at another engine where that is allowed."""

    async def run(self) -> None:
        """Run the request and answer the caller."""
        self.begin()
        self.splitter = EventSplitter(self.head.last_event_id.encode())
        self.failure: tuple[Response, bytes] | None = None
        self.move_granted = False
        self.first_event_at: float | None = None
        try:
            async with asyncio.timeout(max(0.0, self.left_s)):
                await self._run()
        except TimeoutError:
            self.finish("no answer in time", GATEWAY_TIMEOUT)
        finally:
            self.free_prompt()

    @property
    def last_event_id(self) -> str:
        """Id of the last event that the caller got whole; empty if there is none."""
        return self.splitter.last_id.decode("latin-1")

    async def _run(self) -> None:
        connects = 0
        while True:
            chosen = self.place()
            if chosen is None:
                return
            option, priority = chosen
            estimate = option.estimate
            if option.split and not await self.read_prompt(estimate, priority):
                continue
            engine = self.decoder() if option.split else estimate.engine
            if engine is None:
                self.finish("no engine", BAD_GATEWAY)
                return
            if option.split:
                self.log("handed_over", engine=engine.entry.engine_id)
            end = await self._attempt(engine, estimate, priority)
            if end is End.DONE:
                return
            self.free_prompt()
            if end is End.NOT_SENT:
                connects += 1
                if connects < MAX_CONNECTS:
                    continue
            elif self._may_go_on(end):
                self.log("retried", reason=self.reason, events=self.last_event_id)
                continue
            self.finish(self.reason, BAD_GATEWAY)
            return

    def _may_go_on(self, end: End) -> bool:
        if end is End.BROKEN and not self.route.resumable:
            return False
        granted, self.move_granted = self.move_granted, False
        return granted or (self.left_s > SHORTEST_SEND_S and self.may_repeat())

    def may_move(self) -> bool:
        """Return whether a stream that runs may be given up for another engine.

        A repeat is then taken from the budget.
        """
        if not self.move_granted:
            self.move_granted = (
                self.route.resumable
                and self.left_s > SHORTEST_SEND_S
                and self.decoder() is not None
                and self.may_repeat()
            )
        return self.move_granted

    # The stream.

    async def _attempt(
        self, engine: EngineState, estimate: Estimate, priority: int
    ) -> End:
        prompt = self.prompt
        work_s = estimate.work_s if prompt is None else 0.0
        alone = engine.reading_s == 0.0
        with self.prompt_load(engine, work_s) as load:
            started = self.parts.clock()
            try:
                sent = await self.send(engine, priority)
            except NotSentError as error:
                self.suspect(engine, error.reason)
                return End.NOT_SENT
            self.attempts += 1
            self.tried.append(engine.entry.engine_id)
            try:
                predicted_s = estimate.total_s if prompt is None else 0.0
                end = await self._relay(sent, engine, load, predicted_s)
            finally:
                sent.close()
        if end is End.DONE:
            engine.observe_hold(self.parts.clock() - started)
        if end is not End.NOT_RUN:
            engine.observe_outcome(end is End.BROKEN)
        self._learn_read(engine, estimate, prompt, alone, started)
        return end

    def _learn_read(
        self,
        engine: EngineState,
        estimate: Estimate,
        prompt: ReadPrompt | None,
        alone: bool,
        started: float,
    ) -> None:
        first_at = self.first_event_at
        if prompt is None and alone and first_at:
            engine.observe_read(estimate.work_s, first_at - started)

    async def _relay(
        self,
        sent: OpenExchange,
        engine: EngineState,
        load: RunLoad,
        predicted_s: float,
    ) -> End:
        try:
            answer = await self.patiently(
                sent.exchange.head, engine, predicted_s, give_up=self.may_move
            )
            if answer.status != SUCCESS:
                return await self._not_streamed(sent, answer, engine)
            if answer.head.encoded or not answer.head.signed:
                return self._broken(engine, "answer is not the engine's")
            self.may_have_run = True
            if self.prompt is not None:
                self.prompt.taken = True
            while True:
                chunk = await self._next_chunk(sent)
                if not chunk:
                    break
                engine.progress_at = self.parts.clock()
                load.prompt_was_read()
                for event in self.splitter.feed(chunk):
                    self._deliver(answer, event)
        except ExchangeBrokenError as error:
            return self._broken(engine, error.reason)
        except OutOfOrderError as error:
            return self._broken(engine, str(error))
        if not self.splitter.between_events:
            return self._broken(engine, "stream ended within an event")
        self._end_stream(answer, engine)
        return End.DONE

    async def _next_chunk(self, sent: OpenExchange) -> bytes:
        if not self.started:
            return await sent.exchange.next_chunk()
        while True:
            try:
                async with asyncio.timeout(SILENCE_S):
                    return await sent.exchange.next_chunk()
            except TimeoutError:
                # Silence is no reason to cut a stream that can't go on elsewhere.
                if self.may_move():
                    reason = f"silent for {SILENCE_S} s"
                    raise ExchangeBrokenError(reason) from None

    async def _not_streamed(
        self, sent: OpenExchange, answer: Response, engine: EngineState
    ) -> End:
        body = await sent.exchange.body()
        if answer.head.not_executed:
            self.reason = f"engine refused with {answer.status}"
            self.rejected(engine, answer.status)
            self.log("not_executed", engine=engine.entry.engine_id, reason=self.reason)
            return End.NOT_RUN
        self.failure = (answer, body)
        return self._broken(engine, f"engine answered {answer.status}")

    def _broken(self, engine: EngineState, reason: str) -> End:
        self.reason = reason
        # Whatever broke it, the engine had the request and said nothing of not running.
        self.may_have_run = True
        self.splitter.restart()
        self.warn(
            "stream_broken",
            engine=engine.entry.engine_id,
            reason=reason,
            events=self.last_event_id,
        )
        return End.BROKEN

    def _deliver(self, answer: Response, event: bytes) -> None:
        if not self.started:
            self.started = True
            self.first_event_at = self.parts.clock()
            self.parts.metrics.first_event(self.route.name, self.age_s)
            self.connection.start_stream(
                answer.status, filter_relayed_headers(answer.headers)
            )
        self.connection.send_chunk(event)

    def _end_stream(self, answer: Response, engine: EngineState) -> None:
        event = self.parts.fleet.trust(engine)
        if event is not None:
            self.log(event.event, engine=event.engine, detail=event.detail)
        if not self.started:
            self.connection.start_stream(
                answer.status, filter_relayed_headers(answer.headers)
            )
            self.started = True
        self.connection.end_stream()
        first_ms = ((self.first_event_at or 0) - self.request.arrived_s) * 1e3
        self.answered(answer.status, first_ms=round(first_ms, 1))

    def finish(self, reason: str, status: int) -> None:
        """End a request that can't be answered whole.

        :param reason: why, for the log.
        :param status: status if the request may have run.
        """
        if self.started:
            self.parts.metrics.failed(self.route.name, reason)
            self.warn(
                "stream_cut",
                reason=reason,
                events=self.last_event_id,
                engines=self.tried,
            )
            self.connection.abort()
        elif (not self.may_have_run and not self.attempts) or (
            not self.may_have_run and status != GATEWAY_TIMEOUT
        ):
            self.refuse(reason, ENGINE_FULL_RETRY_S)
        elif self.failure is not None:
            self.relay(*self.failure)
        else:
            self.fail(status, reason)

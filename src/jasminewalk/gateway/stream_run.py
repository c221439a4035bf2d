"""Generations: placed by prompt, relayed event by event, resumed where allowed."""

import asyncio
from collections.abc import Awaitable, Callable

from jasminewalk.exceptions import BadMessageError
from jasminewalk.gateway.admission import Admission, Admitted
from jasminewalk.gateway.engine_clients import NotSentError, OpenExchange
from jasminewalk.gateway.event_stream import EventSplitter, OutOfOrderError
from jasminewalk.gateway.fleet import EngineState
from jasminewalk.gateway.placement import Estimate, Option, PromptWork
from jasminewalk.gateway.read_prompt import ReadPrompt, free_prompt
from jasminewalk.gateway.run import (
    BAD_GATEWAY,
    ENGINE_FULL_RETRY_S,
    GATEWAY_TIMEOUT,
    End,
    Run,
    RunLoad,
)
from jasminewalk.http1.client import Answer, ExchangeBrokenError
from jasminewalk.platform.engines import decode_prompt_handle
from jasminewalk.platform.headers import engine_headers, relayed_headers

__all__ = ["StreamRun", "engine_patience_s"]

# A stream without a byte for this long is taken for broken, in seconds.
SILENCE_S = 1.2
# An engine that sends this gateway nothing for so many times the predicted seconds, and
# for the shortest time at least, counts as silent.
PREDICTED_TIMES = 3.0
SHORTEST_PATIENCE_S = 1.5
# Share of its caller's patience after which a silent engine is given up, so that
# another one can still begin.
CALLER_PATIENCE_SHARE = 0.8
MAX_CONNECTS = 3
SUCCESS = 200
SHORTEST_SEND_S = 0.02
# Urgency at the engine of a stream that goes on: its caller has part of it.
RESUMED_PRIORITY = 0


class StreamRun(Run):
    """Runs a generation, and resumes it at another engine where that is allowed."""

    async def run(self) -> None:
        """Run the request and answer the caller."""
        self.work = PromptWork(self.head.prompt, self.head.prompt_tokens)
        self.splitter = EventSplitter(self.head.last_event_id.encode())
        self.started = False
        self.may_have_run = False
        self.failure: tuple[Answer, bytes] | None = None
        self.reason = ""
        self.prompt: ReadPrompt | None = None
        self.prompts_failed = 0
        self.first_event_at: float | None = None
        self._count_demand()
        try:
            async with asyncio.timeout(max(0.0, self.left_s)):
                await self._run()
        except TimeoutError:
            self._finish("no answer in time", GATEWAY_TIMEOUT)
        finally:
            self._free_prompt()

    async def _run(self) -> None:
        connects = 0
        while True:
            chosen = self._place()
            if chosen is None:
                return
            option, priority = chosen
            estimate = option.estimate
            if option.split and not await self._read_prompt(estimate, priority):
                continue
            engine = self._decoder() if option.split else estimate.engine
            if engine is None:
                self._finish("no engine", BAD_GATEWAY)
                return
            if option.split:
                self.log("handed_over", engine=engine.entry.engine_id)
            end = await self._attempt(engine, estimate, priority)
            if end is End.DONE:
                return
            self._free_prompt()
            if end is End.NOT_SENT:
                connects += 1
                if connects < MAX_CONNECTS:
                    continue
            elif self._may_go_on(end):
                self.log("retried", reason=self.reason, events=self._last_id())
                continue
            self._finish(self.reason, BAD_GATEWAY)
            return

    def _may_go_on(self, end: End) -> bool:
        if end is End.BROKEN and not self.route.resumable:
            return False
        return self.left_s > SHORTEST_SEND_S and self.may_repeat()

    def _count_demand(self) -> None:
        now = self.parts.clock()
        engines = self.parts.fleet.usable(self.service, now)
        reading_s, answering_s = self.parts.placement.demand(self.work, engines)
        self.parts.peers.demand.count(now, reading_s=reading_s, answering_s=answering_s)

    # Placing.

    def _place(self) -> tuple[Option, int] | None:
        now = self.parts.clock()
        engines = self.parts.fleet.usable(self.service, now)
        options = self.parts.placement.options(
            self.work,
            engines,
            self.tried,
            # A second call to read the prompt would count against the retry budget.
            may_split=not self.prompts_failed,
        )
        if not options:
            self._finish("no engine", BAD_GATEWAY)
            return None
        demand = self.parts.peers.total_demand(now)
        busy = self.parts.placement.busy(demand, engines)
        option, decision = self._admit(options, busy=busy)
        estimate = option.estimate
        inputs = {
            "engine": estimate.engine.entry.engine_id,
            "split": option.split,
            "predicted_ms": round(option.predicted_s * 1e3, 1),
            "wait_ms": round(estimate.wait_s * 1e3, 1),
            "tokens": self.work.tokens,
            "cached": estimate.cached_tokens,
            "speed": round(estimate.engine.speed, 2),
            "engine_requests": estimate.engine.requests,
            "busy": busy,
        }
        if isinstance(decision, Admitted):
            self.log("placed", priority=decision.priority, **inputs)
            return option, decision.priority
        if self.started:
            self.log("placed", priority=RESUMED_PRIORITY, **inputs)
            return option, RESUMED_PRIORITY
        self.log("not_admitted", **inputs)
        if self.may_have_run:
            self._finish("too late to go on", BAD_GATEWAY)
        else:
            self.refuse("overloaded", decision.retry_after_s)
        return None

    def _admit(self, options: list[Option], *, busy: bool) -> tuple[Option, Admission]:
        decided = [
            (
                option,
                self.parts.admission.decide(
                    option.predicted_s,
                    option.estimate.wait_s,
                    self.route.objective_s - self.age_s,
                    self.left_s,
                    self.route.patience_s - self.age_s,
                    self.route.rank,
                    # Who waited in vain for a reader is not refused for being late.
                    split=option.split or self.prompts_failed > 0,
                    busy=busy,
                ),
            )
            for option in options
        ]
        for option, decision in decided:
            if isinstance(decision, Admitted) and decision.in_time:
                return option, decision
        for option, decision in decided:
            if isinstance(decision, Admitted):
                return option, decision
        return decided[0]

    def _decoder(self) -> EngineState | None:
        engines = self.parts.fleet.usable(self.service, self.parts.clock())
        return self.parts.placement.decoder(engines, self.tried)

    # Reading the prompt at one engine for another.

    async def _read_prompt(self, estimate: Estimate, priority: int) -> bool:
        engine = estimate.engine
        started = self.parts.clock()
        alone = engine.reading_s == 0.0
        with self.load(engine, estimate.work_s):
            self.parts.peers.record_read(engine, self.work.parts)
            try:
                sent = await self._send(engine, priority, prefill_only=True)
            except NotSentError as error:
                self._suspect(engine, error.reason)
                return False
            try:
                answer = await self._patiently(
                    sent.exchange.head, engine, estimate.total_s, give_up=True
                )
                body = await sent.exchange.body()
                handle = (
                    decode_prompt_handle(body) if answer.status == SUCCESS else None
                )
            except (ExchangeBrokenError, BadMessageError) as error:
                self._prompt_failed(engine, str(error))
                return False
            finally:
                sent.close()
        if handle is None:
            if answer.head.not_executed:
                self.rejected(engine, answer.status)
            refused = answer.head.not_executed
            reason = f"engine answered {answer.status}"
            self._prompt_failed(engine, reason, failed=not refused)
            return False
        taken_s = self.parts.clock() - started
        if alone and engine.reading_s == 0.0:
            engine.observe_read(estimate.work_s, taken_s)
        self.prompt = ReadPrompt(engine, handle.handle_id)
        self.log(
            "prompt_read",
            engine=engine.entry.engine_id,
            taken_ms=round(taken_s * 1e3, 1),
            predicted_ms=round(estimate.total_s * 1e3, 1),
            read_tokens=self.work.tokens - estimate.cached_tokens,
            alone=alone,
        )
        return True

    def _prompt_failed(
        self, engine: EngineState, reason: str, *, failed: bool = True
    ) -> None:
        if failed:
            engine.observe_outcome(True)
        self.tried.append(engine.entry.engine_id)
        self.reason = reason
        self.prompts_failed += 1
        self.warn("prompt_not_read", engine=engine.entry.engine_id, reason=reason)

    def _free_prompt(self) -> None:
        prompt, self.prompt = self.prompt, None
        if prompt is not None and not prompt.taken:
            asyncio.get_running_loop().create_task(
                free_prompt(self.parts.clients, prompt, self.log)
            )

    # The stream.

    async def _attempt(
        self, engine: EngineState, estimate: Estimate, priority: int
    ) -> End:
        prompt = self.prompt
        work_s = estimate.work_s if prompt is None else 0.0
        alone = engine.reading_s == 0.0
        with self.load(engine, work_s) as load:
            self.parts.peers.record_read(engine, self.work.parts)
            started = self.parts.clock()
            try:
                sent = await self._send(engine, priority)
            except NotSentError as error:
                self._suspect(engine, error.reason)
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

    async def _send(
        self,
        engine: EngineState,
        priority: int,
        *,
        prefill_only: bool = False,
    ) -> OpenExchange:
        resumed = self.started
        return await self.parts.clients.send(
            engine,
            self.request.method,
            self.request.target,
            engine_headers(
                self.request.headers,
                engine_id=engine.entry.engine_id,
                deadline_s=self.engine_left_s,
                priority=priority,
                prefill_only=prefill_only,
                prompt_source=self.prompt.source if self.prompt else "",
                last_event_id=self._last_id() if resumed else None,
            ),
            self.request.body,
            request_id="" if prefill_only else self.head.request_id,
            repeatable=self.route.resumable or prefill_only,
            timeout_s=self.engine_left_s,
        )

    async def _relay(
        self,
        sent: OpenExchange,
        engine: EngineState,
        load: RunLoad,
        predicted_s: float,
    ) -> End:
        # A generation that can't go on elsewhere may as well wait.
        give_up = self.route.resumable and self.attempts < self.route.max_attempts
        try:
            answer = await self._patiently(
                sent.exchange.head, engine, predicted_s, give_up=give_up
            )
            if answer.status != SUCCESS:
                return await self._not_streamed(sent, answer, engine)
            if answer.head.encoded or not answer.head.signed:
                return self._broken(engine, "answer is not the engine's")
            self.may_have_run = True
            if self.prompt is not None:
                self.prompt.taken = True
            while True:
                chunk = await self._next_chunk(sent, engine)
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

    async def _patiently(
        self,
        wait: Callable[[], Awaitable[Answer]],
        engine: EngineState,
        predicted_s: float,
        *,
        give_up: bool,
    ) -> Answer:
        """Wait for an answer, and suspect an engine that sends nothing to anyone."""
        patience_s = engine_patience_s(predicted_s, self.route.patience_s)
        while True:
            try:
                async with asyncio.timeout(patience_s):
                    answer = await wait()
            except TimeoutError:
                now = self.parts.clock()
                if now - engine.progress_at < patience_s:
                    continue
                reason = f"silent for {patience_s:.1f} s"
                event = self.parts.fleet.suspect(now, engine, reason)
                self.warn(event.event, engine=event.engine, detail=event.detail)
                if give_up:
                    raise ExchangeBrokenError(reason) from None
                continue
            engine.progress_at = self.parts.clock()
            return answer

    async def _next_chunk(self, sent: OpenExchange, engine: EngineState) -> bytes:
        if not self.started:
            return await sent.exchange.next_chunk()
        try:
            async with asyncio.timeout(SILENCE_S):
                return await sent.exchange.next_chunk()
        except TimeoutError as error:
            raise ExchangeBrokenError(f"silent for {SILENCE_S} s") from error

    async def _not_streamed(
        self, sent: OpenExchange, answer: Answer, engine: EngineState
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
            events=self._last_id(),
        )
        return End.BROKEN

    def _deliver(self, answer: Answer, event: bytes) -> None:
        if not self.started:
            self.started = True
            self.first_event_at = self.parts.clock()
            self.parts.metrics.first_event(self.route.name, self.age_s)
            self.connection.start_stream(answer.status, relayed_headers(answer.headers))
        self.connection.send_chunk(event)

    def _end_stream(self, answer: Answer, engine: EngineState) -> None:
        event = self.parts.fleet.trust(engine)
        if event is not None:
            self.log(event.event, engine=event.engine, detail=event.detail)
        if not self.started:
            self.connection.start_stream(answer.status, relayed_headers(answer.headers))
            self.started = True
        self.connection.end_stream()
        first_ms = ((self.first_event_at or 0) - self.request.arrived_s) * 1e3
        self.answered(answer.status, first_ms=round(first_ms, 1))

    def _finish(self, reason: str, status: int) -> None:
        if self.started:
            self.parts.metrics.failed(self.route.name, reason)
            self.warn("stream_cut", reason=reason, events=self._last_id())
            self.connection.abort()
        elif (not self.may_have_run and not self.attempts) or (
            not self.may_have_run and status != GATEWAY_TIMEOUT
        ):
            self.refuse(reason, ENGINE_FULL_RETRY_S)
        elif self.failure is not None:
            self.relay(*self.failure)
        else:
            self.fail(status, reason)

    def _suspect(self, engine: EngineState, reason: str) -> None:
        self.reason = reason
        self.tried.append(engine.entry.engine_id)
        event = self.parts.fleet.suspect(self.parts.clock(), engine, reason)
        self.warn(event.event, engine=event.engine, detail=event.detail)

    def _last_id(self) -> str:
        return self.splitter.last_id.decode("latin-1")


def engine_patience_s(predicted_s: float, caller_patience_s: float) -> float:
    """Return the seconds of silence after which an engine is suspected.

    :param predicted_s: seconds that its answer was predicted to take.
    :param caller_patience_s: seconds without an event after which the caller leaves.
    """
    return min(
        max(SHORTEST_PATIENCE_S, PREDICTED_TIMES * predicted_s),
        CALLER_PATIENCE_SHARE * caller_patience_s,
    )

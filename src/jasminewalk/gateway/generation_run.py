"""Generations before their answer: placed by prompt, and read for another engine."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

from jasminewalk.exceptions import BadMessageError
from jasminewalk.gateway.admission import Admission, Admitted
from jasminewalk.gateway.engine_clients import NotSentError, OpenExchange
from jasminewalk.gateway.fleet import EngineState
from jasminewalk.gateway.placement import Estimate, Option, PromptWork
from jasminewalk.gateway.read_prompt import ReadPrompt, free_prompt
from jasminewalk.gateway.run import BAD_GATEWAY, Run, RunLoad
from jasminewalk.http1.client import ExchangeBrokenError, Response
from jasminewalk.platform.engines import decode_prompt_handle
from jasminewalk.platform.headers import build_engine_headers

__all__ = ["SUCCESS", "GenerationRun", "engine_patience_s"]

# An engine that sends this gateway nothing for so many times the predicted seconds, and
# for the shortest time at least, counts as silent.
PREDICTED_TIMES = 3.0
SHORTEST_PATIENCE_S = 1.5
# Share of its caller's patience after which a silent engine is given up, so that
# another one can still begin.
CALLER_PATIENCE_SHARE = 0.8
SUCCESS = 200
# Urgency at the engine of a stream that goes on: its caller has part of it.
RESUMED_PRIORITY = 0


class GenerationRun(Run, ABC):
    """Places a generation and has its prompt read; its subclass brings the answer."""

    def begin(self) -> None:
        """Set up the state of a request before it is placed, and count its demand."""
        self.work = PromptWork(self.head.prompt, self.head.prompt_tokens)
        self.started = False
        self.may_have_run = False
        self.reason = ""
        self.prompt: ReadPrompt | None = None
        self.prompts_failed = 0
        self._count_demand()

    @abstractmethod
    def finish(self, reason: str, status: int) -> None:
        """End a request that can't be answered whole.

        :param reason: why, for the log.
        :param status: status if the request may have run.
        """

    @property
    @abstractmethod
    def last_event_id(self) -> str:
        """Id of the last event that the caller got whole; empty if there is none."""

    def _count_demand(self) -> None:
        now = self.parts.clock()
        engines = self.parts.fleet.usable(self.service, now)
        reading_s, answering_s = self.parts.placement.demand(self.work, engines)
        self.parts.peers.demand.count(now, reading_s=reading_s, answering_s=answering_s)

    def place(self) -> tuple[Option, int] | None:
        """Return the way to serve the request and its urgency at the engine.

        None if it was answered instead: refused, or failed where it may have run.
        """
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
            self.finish("no engine", BAD_GATEWAY)
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
        if self.may_have_run:
            self.warn("not_admitted", **inputs)
            self.finish("too late to go on", BAD_GATEWAY)
        else:
            self.refuse("overloaded", decision.retry_after_s, **inputs)
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

    def decoder(self) -> EngineState | None:
        """Return the engine that answers a prompt which another one read, if any."""
        engines = self.parts.fleet.usable(self.service, self.parts.clock())
        return self.parts.placement.decoder(engines, self.tried)

    @contextmanager
    def prompt_load(self, engine: EngineState, reading_s: float) -> Iterator[RunLoad]:
        """Count the request as work at an engine, and its prompt as kept there.

        The prompt's own part counts as kept no longer if the engine did not read it.

        :param engine: the engine.
        :param reading_s: seconds that an engine of speed 1 reads the prompt.
        """
        with self.load(engine, reading_s) as load:
            self.parts.peers.record_read(engine, self.work.parts)
            try:
                yield load
            finally:
                if not load.was_read:
                    self.parts.peers.record_unread(engine, self.work.parts)

    async def read_prompt(self, estimate: Estimate, priority: int) -> bool:
        """Have an engine read the prompt for another, and return whether it did.

        :param estimate: the engine, and what the request can expect of it.
        :param priority: urgency at the engine, 0 first.
        """
        engine = estimate.engine
        started = self.parts.clock()
        alone = engine.reading_s == 0.0
        with self.prompt_load(engine, estimate.work_s) as load:
            try:
                sent = await self.send(engine, priority, prefill_only=True)
            except NotSentError as error:
                self.suspect(engine, error.reason)
                return False
            try:
                answer = await self.patiently(
                    sent.exchange.head, engine, estimate.total_s, give_up=lambda: True
                )
                body = await sent.exchange.body()
                handle = None
                if answer.status == SUCCESS:
                    handle = decode_prompt_handle(body)
                    load.prompt_was_read()
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
        engine.observe_outcome(False)
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

    def free_prompt(self) -> None:
        """Free a prompt that was read and not handed over, without waiting for it."""
        prompt, self.prompt = self.prompt, None
        if prompt is not None and not prompt.taken:
            asyncio.get_running_loop().create_task(
                free_prompt(self.parts.clients, prompt, self.log)
            )

    async def send(
        self,
        engine: EngineState,
        priority: int,
        *,
        prefill_only: bool = False,
    ) -> OpenExchange:
        """Send the request to an engine.

        :param engine: the engine.
        :param priority: urgency at the engine, 0 first.
        :param prefill_only: whether the engine only reads the prompt.
        :raises NotSentError: if nothing was sent.
        """
        resumed = self.started
        return await self.parts.clients.send(
            engine,
            self.request.method,
            self.request.target,
            build_engine_headers(
                self.request.headers,
                engine_id=engine.entry.engine_id,
                deadline_s=self.engine_left_s,
                priority=priority,
                prefill_only=prefill_only,
                kv_source=self.prompt.source if self.prompt else "",
                last_event_id=self.last_event_id if resumed else None,
            ),
            self.request.body,
            request_id="" if prefill_only else self.head.request_id,
            repeatable=self.route.resumable or prefill_only,
            timeout_s=self.engine_left_s,
        )

    async def patiently(
        self,
        wait: Callable[[], Awaitable[Response]],
        engine: EngineState,
        predicted_s: float,
        *,
        give_up: Callable[[], bool],
    ) -> Response:
        """Wait for an answer, and suspect an engine that sends nothing to anyone.

        :param wait: waits for the head of the answer.
        :param engine: the engine.
        :param predicted_s: seconds that the answer was predicted to take.
        :param give_up: returns whether the request may go to another engine instead.
        :raises ExchangeBrokenError: if the engine is silent and may be given up.
        """
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
                if give_up():
                    raise ExchangeBrokenError(reason) from None
                continue
            engine.progress_at = self.parts.clock()
            return answer

    def suspect(self, engine: EngineState, reason: str) -> None:
        """Avoid an engine that could not be reached, also for this request.

        :param engine: the engine.
        :param reason: what was seen.
        """
        self.reason = reason
        self.tried.append(engine.entry.engine_id)
        event = self.parts.fleet.suspect(self.parts.clock(), engine, reason)
        self.warn(event.event, engine=event.engine, detail=event.detail)


def engine_patience_s(predicted_s: float, caller_patience_s: float) -> float:
    """Return the seconds of silence after which an engine is suspected.

    :param predicted_s: seconds that its answer was predicted to take.
    :param caller_patience_s: seconds without an event after which the caller leaves.
    """
    return min(
        max(SHORTEST_PATIENCE_S, PREDICTED_TIMES * predicted_s),
        CALLER_PATIENCE_SHARE * caller_patience_s,
    )

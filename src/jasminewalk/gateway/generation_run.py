"""Placement of generations, and their prefill on a separate engine."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

from jasminewalk.exceptions import BadMessageError
from jasminewalk.gateway.admission import (
    RESUMED_PRIORITY,
    AdmissionDecision,
    Admitted,
)
from jasminewalk.gateway.engine_clients import NotSentError, OpenExchange
from jasminewalk.gateway.fleet import EngineState
from jasminewalk.gateway.placement import (
    LONG_PROMPT_DECODE_S,
    MIN_DISAGGREGATED_TOKENS,
    PlacementOption,
    PrefillEstimate,
    PromptProfile,
)
from jasminewalk.gateway.prefilled_prompt import PrefilledPrompt, release_prompt
from jasminewalk.gateway.response_waits import (
    compute_silence_timeout_s,
    receive_small_body,
)
from jasminewalk.gateway.run import BAD_GATEWAY, RequestRun, TrackedLoad
from jasminewalk.http1 import ExchangeBrokenError, Response
from jasminewalk.platform.engines import decode_prompt_handle
from jasminewalk.platform.headers import build_engine_headers

__all__ = ["OK", "GenerationRun", "compute_silence_timeout_s", "receive_small_body"]

OK = 200
# ``Retry-After`` in seconds if no engine can go on with a stream.
VERSION_RETRY_AFTER_S = 0.3


class GenerationRun(RequestRun, ABC):
    """Places a generation and runs its prefill; a subclass streams the response."""

    def prepare(self) -> None:
        """Initialise the state of the request and record its demand."""
        self.prompt_profile = PromptProfile(self.head.prompt, self.head.prompt_tokens)
        self.stream_started = False
        self.may_have_run = False
        self.reason = ""
        self.prefilled_prompt: PrefilledPrompt | None = None
        self.failed_prefills = 0
        if not self.is_quarantined():
            self._record_demand()

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the parts of its prompt that other requests may share."""
        return self.prompt_profile.shared_part_ids

    @property
    @abstractmethod
    def last_event_id(self) -> str:
        """Id of the last complete event sent to the caller; empty if there is none."""

    def _record_demand(self) -> None:
        now = self.context.clock()
        engines = self.context.fleet.list_usable(self.service, now)
        prefill_s, decode_s = self.context.placement.estimate_demand(
            self.prompt_profile, engines
        )
        self.context.peers.demand.record(now, prefill_s=prefill_s, decode_s=decode_s)

    def place(self) -> tuple[PlacementOption, int] | None:
        """Choose the placement of the request and its priority at the engine.

        Return None if the request was ended instead: refused, or failed if it may have
        been executed.
        """
        if self.refuse_revoked() or self.refuse_quarantined():
            return None
        now = self.context.clock()
        engines = [
            engine
            for engine in self.context.fleet.list_usable(self.service, now)
            if not engine.backoff.is_active(now)
        ]
        demand = self.context.peers.compute_total_demand(now)
        busy = self.context.placement.is_busy(demand, engines)
        choice = self._choose_by_version(busy=busy)
        if choice is None:
            self.finish_incomplete(self.explain_missing_engine(), BAD_GATEWAY)
            return None
        option, decision = choice
        estimate = option.estimate
        if not self.attempts:
            engine_s = self._compute_engine_s(estimate)
            self.context.fair_shares.record_asked(now, self.access.name, engine_s)
        inputs = {
            "engine": estimate.engine.entry.engine_id,
            "version": estimate.engine.entry.version,
            "split": option.disaggregated,
            "predicted_ms": round(option.predicted_s * 1e3, 1),
            "wait_ms": round(estimate.wait_s * 1e3, 1),
            "tokens": self.prompt_profile.tokens,
            "cached": estimate.cached_tokens,
            "speed": round(estimate.engine.speed, 2),
            "engine_requests": estimate.engine.requests,
            "busy": busy,
        }
        if isinstance(decision, Admitted):
            self.log("placed", priority=decision.priority, **inputs)
            now = self.context.clock()
            engine_s = self._compute_engine_s(estimate)
            self.context.fair_shares.record_used(now, self.access.name, engine_s)
            return option, decision.priority
        if self.stream_started:
            self.log("placed", priority=RESUMED_PRIORITY, **inputs)
            return option, RESUMED_PRIORITY
        objective_left_s = self.route.objective_s - self.age_s
        inputs |= decision.fields
        inputs["objective_left_ms"] = round(objective_left_s * 1e3, 1)
        if self.may_have_run:
            self.warn("not_admitted", **inputs)
            self.finish_incomplete("too late to go on", BAD_GATEWAY)
        else:
            self._refuse_overloaded(decision.retry_after_s, inputs)
        return None

    def _compute_engine_s(self, estimate: PrefillEstimate) -> float:
        """Return the engine time of the request, in seconds at an engine of speed 1."""
        is_long = self.prompt_profile.tokens >= MIN_DISAGGREGATED_TOKENS
        return estimate.prefill_s + (LONG_PROMPT_DECODE_S if is_long else 0.0)

    def _refuse_overloaded(
        self, retry_after_s: float, inputs: dict[str, object]
    ) -> None:
        now = self.context.clock()
        backing_off = self.context.fleet.find_shortest_backoff(self.service, now)
        if backing_off is not None:
            # An engine that comes back sooner takes the request then.
            backoff_s = backing_off.compute_backoff_wait_s(now)
            retry_after_s = min(retry_after_s, backoff_s)
            inputs["backoff_ms"] = round(backoff_s * 1e3, 1)
        self.refuse("overloaded", retry_after_s, **inputs)

    def _choose_by_version(
        self, *, busy: bool
    ) -> tuple[PlacementOption, AdmissionDecision] | None:
        """Return an option and whether it is admitted; None if there is no option.

        A new stream begins at the version that follows from its id, if an engine of it
        can be in time.
        """
        available = self.list_available_engines()
        preferred = self._filter_by_share(available)
        if len(preferred) < len(available) and (
            options := self._list_options(preferred)
        ):
            option, decision = self._choose_admitted(options, busy=busy)
            # If the store does not answer, it can't be told of another version.
            is_strict = self.context.stream_history.is_store_failing
            if isinstance(decision, Admitted) and (decision.in_time or is_strict):
                return option, decision
        options = self._list_options(available)
        return self._choose_admitted(options, busy=busy) if options else None

    def _filter_by_share(self, engines: list[EngineState]) -> list[EngineState]:
        """Return the engines at whose version a stream with this id is to begin."""
        if self.version is not None or not self.route.resumable:
            return engines
        version = self.context.stream_history.choose_version(
            self.service, self.head.request_id
        )
        if not version:
            return engines
        return [engine for engine in engines if engine.entry.version == version]

    def _list_options(self, engines: list[EngineState]) -> list[PlacementOption]:
        return self.context.placement.list_options(
            self.prompt_profile,
            engines,
            self.tried_engines,
            # Another prefill on a separate engine would count against the retry budget.
            allow_disaggregated=not self.failed_prefills,
        )

    def _choose_admitted(
        self, options: list[PlacementOption], *, busy: bool
    ) -> tuple[PlacementOption, AdmissionDecision]:
        decisions = [(option, self._decide(option, busy=busy)) for option in options]
        for option, decision in decisions:
            if isinstance(decision, Admitted) and decision.in_time:
                return option, decision
        for option, decision in decisions:
            if isinstance(decision, Admitted):
                return option, decision
        return decisions[0]

    def _decide(self, option: PlacementOption, *, busy: bool) -> AdmissionDecision:
        if self.last_event_id:
            return self.context.admission.decide_resumed(
                option.predicted_s,
                option.estimate.wait_s,
                self.remaining_s,
                self.route.patience_s - self.age_s,
            )
        return self.context.admission.decide(
            option.predicted_s,
            option.estimate.wait_s,
            self.route.objective_s - self.age_s,
            self.remaining_s,
            self.route.patience_s - self.age_s,
            self.route.rank,
            # A request delayed by a failed prefill keeps the higher limit for late
            # requests, so that it is not refused for that delay.
            disaggregated=option.disaggregated or self.failed_prefills > 0,
            busy=busy,
            whole_prefill_s=option.estimate.whole_prefill_s,
            organisation_rank=self.organisation_rank,
            over_share=self._is_over_share(),
        )

    def _is_over_share(self) -> bool:
        """Return whether its organisation has used more than its share of the engines.

        Streams that have begun go on all the same.
        """
        if not self.access.name or self.stream_started:
            return False
        now = self.context.clock()
        engines = self.context.fleet.list_usable(self.service, now)
        capacity = sum(engine.speed for engine in engines)
        return self.context.fair_shares.is_over(now, self.access.name, capacity)

    def choose_decode_engine(self) -> EngineState | None:
        """Return the engine that decodes after a separate prefill, or None."""
        engines = self.list_available_engines()
        if self.prefilled_prompt is not None:
            version = self.prefilled_prompt.engine.entry.version
            engines = [held for held in engines if held.entry.version == version]
        return self.context.placement.choose_decode_engine(engines, self.tried_engines)

    def explain_missing_engine(self) -> str:
        """Return why there is no engine to choose, and set when to come back."""
        if self.version is None:
            return super().explain_missing_engine()
        self.retry_after_s = VERSION_RETRY_AFTER_S
        return "no engine of the stream's version"

    @contextmanager
    def track_prompt_load(
        self, engine: EngineState, prefill_s: float
    ) -> Iterator[TrackedLoad]:
        """Count the request as load of an engine, and its prompt as cached there.

        If the engine does not complete the prefill, the last part of the prompt, which
        no other request shares, no longer counts as cached.

        :param engine: the engine.
        :param prefill_s: seconds of prefill at an engine of speed 1.
        """
        with self.track_load(engine, prefill_s) as load:
            self.context.peers.record_prefill(engine, self.prompt_profile.parts)
            try:
                yield load
            finally:
                if not load.prefill_done:
                    self.context.peers.retract_prefill(
                        engine, self.prompt_profile.parts
                    )

    async def prefill_remotely(self, estimate: PrefillEstimate, priority: int) -> bool:
        """Run the prefill on a separate engine and return whether it succeeded.

        :param estimate: the engine and the predicted prefill time.
        :param priority: priority at the engine; 0 is served first.
        """
        engine = estimate.engine
        started_at = self.context.clock()
        alone = engine.prefill_s == 0.0
        with self.track_prompt_load(engine, estimate.prefill_s) as load:
            try:
                sent = await self.send(engine, priority, prefill_only=True)
            except NotSentError as error:
                self.suspect(engine, error.reason)
                return False
            try:
                response = await self.wait_for_response(
                    sent.exchange.head,
                    engine,
                    estimate.total_s,
                    may_abandon=lambda: True,
                )
                body = await receive_small_body(sent)
                handle = None
                if response.status == OK:
                    handle = decode_prompt_handle(body)
                    load.complete_prefill()
            except (ExchangeBrokenError, BadMessageError) as error:
                if sent.exchange.ended_by_peer:
                    # No part is to blame before an answer on it has begun.
                    self.context.crash_watch.record_broken(
                        engine, (self.fingerprint,), started_at
                    )
                self._record_prefill_failure(engine, str(error))
                return False
            finally:
                sent.close()
        if handle is None:
            if response.head.not_executed:
                self.record_rejection(engine, response)
            turned_away = response.head.retry_after_s is not None
            refused = response.head.not_executed or turned_away
            reason = f"engine answered {response.status}"
            self._record_prefill_failure(engine, reason, failed=not refused)
            return False
        if self.context.fleet.is_replaced(engine):
            # Handles of the new incarnation may have the same id.
            self._record_prefill_failure(engine, "engine restarted", failed=False)
            return False
        engine.record_outcome(False)
        elapsed_s = self.context.clock() - started_at
        if alone and engine.prefill_s == 0.0:
            engine.observe_prefill(estimate.prefill_s, elapsed_s)
        self.prefilled_prompt = PrefilledPrompt(engine, handle.handle_id)
        self.log(
            "prompt_read",
            engine=engine.entry.engine_id,
            handle=handle.handle_id,
            version=engine.entry.version,
            named=response.head.request_id,
            reused=sent.reused,
            taken_ms=round(elapsed_s * 1e3, 1),
            predicted_ms=round(estimate.total_s * 1e3, 1),
            read_tokens=self.prompt_profile.tokens - estimate.cached_tokens,
            alone=alone,
        )
        return True

    def _record_prefill_failure(
        self, engine: EngineState, reason: str, *, failed: bool = True
    ) -> None:
        if failed:
            engine.record_outcome(True)
        self.tried_engines.append(engine.entry.engine_id)
        self.reason = reason
        self.failed_prefills += 1
        self.warn("prompt_not_read", engine=engine.entry.engine_id, reason=reason)

    def release_prompt(self) -> None:
        """Release a prompt that was not transferred, without waiting for the engine."""
        prompt, self.prefilled_prompt = self.prefilled_prompt, None
        if prompt is not None and not prompt.transferred:
            asyncio.get_running_loop().create_task(
                release_prompt(self.context.clients, prompt, self.log)
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
        :param priority: priority at the engine; 0 is served first.
        :param prefill_only: whether the engine only runs the prefill.
        :raises NotSentError: if no connection to the engine could be opened.
        """
        resumed = self.stream_started
        return await self.context.clients.send(
            engine,
            self.request.method,
            self.request.target,
            build_engine_headers(
                self.request.headers,
                engine_id=engine.entry.engine_id,
                deadline_s=self.engine_remaining_s,
                priority=priority,
                prefill_only=prefill_only,
                kv_source=self.prefilled_prompt.source if self.prefilled_prompt else "",
                last_event_id=self.last_event_id if resumed else None,
                organisation=self.access.name,
            ),
            self.request.body,
            request_id=self.head.request_id,
            repeatable=self.route.resumable or prefill_only,
            timeout_s=self.engine_remaining_s,
        )

    async def wait_for_response(
        self,
        receive: Callable[[], Awaitable[Response]],
        engine: EngineState,
        predicted_s: float,
        *,
        may_abandon: Callable[[], bool],
    ) -> Response:
        """Wait for the head of a response; suspect an engine that falls silent.

        An engine is silent if it sent this gateway nothing, for any request, within the
        timeout.

        :param receive: waits for the head of the response.
        :param engine: the engine.
        :param predicted_s: predicted seconds until the response.
        :param may_abandon: returns whether the request may go to another engine.
        :raises ExchangeBrokenError: if the engine is silent and may be abandoned, or if
            the connection ended.
        """
        timeout_s = compute_silence_timeout_s(predicted_s, self.route.patience_s)
        while True:
            try:
                async with asyncio.timeout(timeout_s):
                    response = await receive()
            except TimeoutError:
                now = self.context.clock()
                if now - engine.last_progress_at < timeout_s:
                    continue
                reason = f"silent for {timeout_s:.1f} s"
                event = self.context.fleet.suspect(now, engine, reason)
                self.warn(event.event, engine=event.engine, detail=event.detail)
                if may_abandon():
                    raise ExchangeBrokenError(reason) from None
                continue
            engine.last_progress_at = self.context.clock()
            return response

    def suspect(self, engine: EngineState, reason: str) -> None:
        """Mark an engine that could not be reached as suspect, and as tried.

        :param engine: the engine.
        :param reason: error for the log.
        """
        self.reason = reason
        self.tried_engines.append(engine.entry.engine_id)
        event = self.context.fleet.suspect(self.context.clock(), engine, reason)
        self.warn(event.event, engine=event.engine, detail=event.detail)

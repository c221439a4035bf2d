"""Streaming of generations, with resumption on another engine where it is allowed."""

import asyncio

from jasminewalk.gateway.engine_clients import NotSentError, OpenExchange
from jasminewalk.gateway.event_stream import EventSplitter, InvalidStreamError
from jasminewalk.gateway.fleet import EngineState
from jasminewalk.gateway.generation_run import (
    OK,
    VERSION_RETRY_AFTER_S,
    GenerationRun,
    receive_small_body,
)
from jasminewalk.gateway.placement import PrefillEstimate
from jasminewalk.gateway.prefilled_prompt import PrefilledPrompt
from jasminewalk.gateway.run import (
    BAD_GATEWAY,
    ENGINE_ENDED,
    GATEWAY_TIMEOUT,
    StreamAttemptResult,
    TrackedLoad,
)
from jasminewalk.gateway.stream_history import StreamSearch
from jasminewalk.gateway.stream_origins import StreamOrigin
from jasminewalk.http1 import ExchangeBrokenError, Response
from jasminewalk.platform.headers import filter_relayed_headers

__all__ = ["StreamRun"]

# Seconds without a complete event after which a stream is resumed on another engine,
# if allowed.
STREAM_SILENCE_TIMEOUT_S = 1.2
# Engines to which connecting may fail before the request is refused.
MAX_CONNECT_FAILURES = 3
# Shortest remaining time for which a request is sent again, in seconds.
MIN_SEND_TIME_S = 0.02
# Events of a stream in addition to one for each token that the caller asked for.
MAX_EXTRA_EVENTS = 16
# Seconds after the first event in which a prompt that crashes engines does so.
WRITING_BEGINS_S = 0.5
# Milliseconds before an engine's start, by its clock, up to which a stream surely began
# at its former start.
CLOCK_MARGIN_MS = 500
# Ids of prompt parts in a log line.
MAX_LOGGED_PARTS = 8


class StreamRun(GenerationRun):
    """Streams a generation and resumes it on another engine where its route allows."""

    async def run(self) -> None:
        """Run the request and send the response to the caller."""
        self.prepare()
        if self.head.last_event_id:
            self.log(
                "taken_up", resumes=self.head.resumes, events=self.head.last_event_id
            )
        max_tokens = self.head.output_tokens
        self.splitter = EventSplitter(
            self.head.last_event_id.encode(),
            max_id=max_tokens + MAX_EXTRA_EVENTS if max_tokens else None,
        )
        self.error_response: tuple[Response, bytes] | None = None
        self.retry_reserved = False
        self.response_begun = False
        self.first_event_at: float | None = None
        self.origin: StreamOrigin | None = None
        self.refusal_inputs: dict[str, object] = {}
        try:
            async with asyncio.timeout(max(0.0, self.remaining_s)):
                if not self.head.last_event_id or await self._find_version():
                    await self._run()
        except TimeoutError:
            self.finish_incomplete("no answer in time", GATEWAY_TIMEOUT)
        finally:
            self.release_prompt()

    @property
    def last_event_id(self) -> str:
        """Id of the last complete event sent to the caller; empty if there is none."""
        return self.splitter.last_id.decode("latin-1")

    async def _find_version(self) -> bool:
        """Find the version that began the stream; refuse the request if unknown."""
        history = self.context.stream_history
        search = await history.find(self.service, self.head.resumes)
        self.origin, self.version = search.origin, search.version
        self.log("stream_sought", resumes=self.head.resumes, **search.fields)
        return not self._refuse_uncertain_version(search)

    def _refuse_uncertain_version(self, search: StreamSearch | None = None) -> bool:
        """End the request and return True if its stream's version is not certain.

        :param search: what was found out of the beginning of the stream, if it began
            in another request.
        """
        is_certain = self.version != "" and not self._may_be_of_later_start()
        if not is_certain:
            self.retry_after_s = VERSION_RETRY_AFTER_S
            if search is not None:
                self.refusal_inputs = {"resumes": self.head.resumes, **search.fields}
            self.finish_incomplete("version of the stream is unknown", BAD_GATEWAY)
        return not is_certain

    def _may_be_of_later_start(self) -> bool:
        """Return whether the engine may have had another version than was listed.

        It may have restarted under its id before its new entry was read.
        """
        if self.origin is None:
            return False
        listed = self.context.fleet.engines.get(self.origin.engine_id)
        if listed is None or listed.entry.version == self.version:
            return False
        return self.origin.began_ms > listed.entry.started_ms - CLOCK_MARGIN_MS

    async def _run(self) -> None:
        connect_failures = 0
        while True:
            async with self.take_turn() as may_run:
                result = await self._place_and_attempt() if may_run else None
            if result is None or result is StreamAttemptResult.DONE:
                return
            if result is StreamAttemptResult.NOT_READ:
                continue
            self.release_prompt()
            if result is StreamAttemptResult.NOT_SENT:
                connect_failures += 1
                if connect_failures < MAX_CONNECT_FAILURES:
                    continue
            elif self._try_resume(result):
                self.log("retried", reason=self.reason, events=self.last_event_id)
                continue
            self.finish_incomplete(self.reason, BAD_GATEWAY)
            return

    async def _place_and_attempt(self) -> StreamAttemptResult | None:
        """Return the result of an attempt; None if the request was ended instead."""
        if self.stream_started and self._refuse_uncertain_version():
            return None
        placement = self.place()
        if placement is None:
            return None
        option, priority = placement
        estimate = option.estimate
        if option.disaggregated and not await self.prefill_remotely(estimate, priority):
            return StreamAttemptResult.NOT_READ
        if option.disaggregated and (
            self.refuse_revoked() or self.refuse_quarantined()
        ):
            return None
        engine = (
            self.choose_decode_engine() if option.disaggregated else estimate.engine
        )
        if engine is None:
            self.finish_incomplete(self.explain_missing_engine(), BAD_GATEWAY)
            return None
        if option.disaggregated:
            source = self.prefilled_prompt.source if self.prefilled_prompt else ""
            self.log(
                "handed_over",
                engine=engine.entry.engine_id,
                version=engine.entry.version,
                source=source,
            )
        return await self._attempt(engine, estimate, priority)

    def _try_resume(self, result: StreamAttemptResult) -> bool:
        if result is StreamAttemptResult.BROKEN and not self._is_resumable:
            return False
        granted, self.retry_reserved = self.retry_reserved, False
        return granted or (self.remaining_s > MIN_SEND_TIME_S and self.try_take_retry())

    @property
    def _is_resumable(self) -> bool:
        return self.route.resumable and not self.splitter.has_unnumbered

    def try_reserve_retry(self) -> bool:
        """Return whether a running stream may be abandoned for another engine.

        If so, a retry is taken from the budget and reserved for this request.
        """
        if not self.retry_reserved:
            self.retry_reserved = (
                self._is_resumable
                and self.remaining_s > MIN_SEND_TIME_S
                and self.choose_decode_engine() is not None
                and self.try_take_retry()
            )
        return self.retry_reserved

    # Attempts and their streams.

    async def _attempt(
        self, engine: EngineState, estimate: PrefillEstimate, priority: int
    ) -> StreamAttemptResult:
        self.response_begun = False
        self.writing_since: float | None = None
        prompt = self.prefilled_prompt
        prefill_s = estimate.prefill_s if prompt is None else 0.0
        alone = engine.prefill_s == 0.0
        with self.track_prompt_load(engine, prefill_s) as load:
            started_at = self.context.clock()
            try:
                sent = await self.send(engine, priority)
            except NotSentError as error:
                self.suspect(engine, error.reason)
                return StreamAttemptResult.NOT_SENT
            self.attempts += 1
            self.tried_engines.append(engine.entry.engine_id)
            try:
                predicted_s = estimate.total_s if prompt is None else 0.0
                result = await self._relay(sent, engine, load, predicted_s)
            finally:
                sent.close()
        if result is StreamAttemptResult.DONE:
            engine.observe_residence(self.context.clock() - started_at)
            self.context.crash_watch.record_answer(self.possible_causes)
        response = sent.exchange.response
        if result is StreamAttemptResult.BROKEN and sent.exchange.ended_by_peer:
            # A part crashes an engine that begins to write; a request, at any time.
            parts = self.shared_part_ids if self._is_at_beginning(response) else ()
            self.context.crash_watch.record_broken(
                engine,
                (*parts, self.fingerprint),
                started_at,
                # An engine that lives has run what it broke off.
                on_sound=lambda: self.count_begun(started_at),
            )
        turned_away = response is not None and response.head.retry_after_s is not None
        if result is not StreamAttemptResult.NOT_EXECUTED and not turned_away:
            engine.record_outcome(result is StreamAttemptResult.BROKEN)
        self._record_prefill_time(engine, estimate, prompt, alone, started_at)
        return result

    def _record_prefill_time(
        self,
        engine: EngineState,
        estimate: PrefillEstimate,
        prompt: PrefilledPrompt | None,
        alone: bool,
        started_at: float,
    ) -> None:
        first_event_at = self.first_event_at
        if prompt is None and alone and first_event_at:
            engine.observe_prefill(estimate.prefill_s, first_event_at - started_at)

    async def _relay(
        self,
        sent: OpenExchange,
        engine: EngineState,
        load: TrackedLoad,
        predicted_s: float,
    ) -> StreamAttemptResult:
        try:
            response = await self.wait_for_response(
                sent.exchange.head,
                engine,
                predicted_s,
                may_abandon=self.try_reserve_retry,
            )
            if response.status != OK:
                return await self._handle_error_response(sent, response, engine)
            if response.head.encoded or not response.head.signed:
                return self._fail_attempt(engine, "answer is not the engine's")
            if not await self._is_listed_start(sent, engine):
                return self._fail_attempt(engine, "engine may have restarted")
            self.response_begun = True
            self.may_have_run = True
            if self.prefilled_prompt is not None:
                self.prefilled_prompt.transferred = True
            self._postpone_silence_timeout()
            while True:
                chunk = await self._next_chunk(sent)
                if not chunk:
                    break
                engine.last_progress_at = self.context.clock()
                load.complete_prefill()
                if events := self.splitter.feed(chunk):
                    if not self.stream_started:
                        await self._record_origin(engine)
                    for event in events:
                        self._relay_event(engine, response, event)
                    await self.connection.drain()
                    self._postpone_silence_timeout()
        except ExchangeBrokenError as error:
            return self._fail_attempt(engine, error.reason)
        except InvalidStreamError as error:
            return self._fail_attempt(engine, str(error))
        if not self.splitter.at_event_boundary:
            return self._fail_attempt(engine, "stream ended within an event")
        if sent.exchange.ended_by_peer:
            if not self.stream_started and not self.head.last_event_id:
                return self._fail_attempt(engine, "stream ended without an event")
            if await self.has_ended(engine):
                return self._fail_attempt(engine, ENGINE_ENDED)
        self._end_stream(response, engine)
        return StreamAttemptResult.DONE

    async def _is_listed_start(self, sent: OpenExchange, engine: EngineState) -> bool:
        """Return whether an engine that responds is the start that its entry names."""
        check = self.context.start_check
        opened_at = sent.connection.opened_at
        if self.version is not None:
            return await check.is_proven(engine, opened_at)
        if not self.route.resumable:
            return True
        versions = self.context.stream_history.list_versions(self.service)
        return await check.is_plausible(engine, opened_at, len(versions))

    async def _next_chunk(self, sent: OpenExchange) -> bytes:
        if not self.stream_started:
            return await sent.exchange.next_chunk()
        while True:
            try:
                async with asyncio.timeout(self.silent_at - self.context.clock()):
                    return await sent.exchange.next_chunk()
            except TimeoutError:
                self._postpone_silence_timeout()
                # Abandon the stream only if it can be resumed on another engine.
                if self.try_reserve_retry():
                    reason = f"silent for {STREAM_SILENCE_TIMEOUT_S} s"
                    raise ExchangeBrokenError(reason) from None

    def _postpone_silence_timeout(self) -> None:
        self.silent_at = self.context.clock() + STREAM_SILENCE_TIMEOUT_S

    async def _handle_error_response(
        self, sent: OpenExchange, response: Response, engine: EngineState
    ) -> StreamAttemptResult:
        body = await receive_small_body(sent)
        if response.head.not_executed:
            self.reason = f"engine refused with {response.status}"
            self.record_rejection(engine, response)
            self.log("not_executed", engine=engine.entry.engine_id, reason=self.reason)
            return StreamAttemptResult.NOT_EXECUTED
        self.error_response = (response, body)
        return self._fail_attempt(engine, f"engine answered {response.status}")

    def _fail_attempt(self, engine: EngineState, reason: str) -> StreamAttemptResult:
        self.reason = reason
        # The engine received the request and did not state that it was not executed.
        self.may_have_run = True
        self.splitter.discard_partial()
        self.warn(
            "stream_broken",
            engine=engine.entry.engine_id,
            version=engine.entry.version,
            reason=reason,
            events=self.last_event_id,
            begun=self.response_begun,
            shared_parts=self.prompt_profile.shared_part_ids[:MAX_LOGGED_PARTS],
            fingerprint=self.fingerprint,
        )
        return StreamAttemptResult.BROKEN

    def _is_at_beginning(self, response: Response | None) -> bool:
        """Return whether the engine was about to write the answer, or just began.

        :param response: head of its response, if there was one.
        """
        since = self.writing_since
        return (response is None or response.status == OK) and (
            since is None or self.context.clock() - since <= WRITING_BEGINS_S
        )

    def _relay_event(
        self, engine: EngineState, response: Response, event: bytes
    ) -> None:
        if self.writing_since is None:
            self.writing_since = self.context.clock()
        if not self.stream_started:
            self.stream_started = True
            self.first_event_at = self.context.clock()
            self.count_begun(self.first_event_at)
            self.context.metrics.record_first_event(self.route.name, self.age_s)
            self.connection.start_stream(
                response.status, filter_relayed_headers(response.headers)
            )
        self.connection.send_chunk(event)

    async def _record_origin(self, engine: EngineState) -> None:
        """Record which engine began the stream, before its caller has an event."""
        if self.origin is None:
            version = self.version or engine.entry.version
            began_ms = int(self.context.wall_clock() * 1e3)
            self.origin = StreamOrigin(version, engine.entry.engine_id, began_ms)
        self.version = self.origin.version
        if self.route.resumable and self.version:
            request_id = self.head.resumes or self.head.request_id
            await self.context.stream_history.record(
                self.service,
                request_id,
                self.origin,
                is_new=not self.head.last_event_id,
            )

    def _end_stream(self, response: Response, engine: EngineState) -> None:
        event = self.context.fleet.trust(engine)
        if event is not None:
            self.log(event.event, engine=event.engine, detail=event.detail)
        if not self.stream_started:
            self.connection.start_stream(
                response.status, filter_relayed_headers(response.headers)
            )
            self.stream_started = True
        self.connection.end_stream()
        first_ms = ((self.first_event_at or 0) - self.request.arrived_s) * 1e3
        self.record_response(response.status, first_ms=round(first_ms, 1))

    def finish_incomplete(self, reason: str, status: int) -> None:
        """End a request whose response can't be completed.

        A stream that has started is aborted, so that it does not look complete.

        :param reason: reason for the log and the metrics.
        :param status: status code if the request may have been executed.
        """
        if self.stream_started:
            self.context.metrics.record_failure(self.route.name, reason)
            self.warn(
                "stream_cut",
                reason=reason,
                events=self.last_event_id,
                engines=self.tried_engines,
            )
            self.connection.abort()
        elif (not self.may_have_run and not self.attempts) or (
            not self.may_have_run and status != GATEWAY_TIMEOUT
        ):
            self.refuse(reason, self.retry_after_s, **self.refusal_inputs)
        elif self.error_response is not None:
            self.relay(*self.error_response)
        else:
            self.fail(status, reason)

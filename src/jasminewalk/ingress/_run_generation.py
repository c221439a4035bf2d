"""Runs one generation and resumes it after a failure."""

import math
from collections.abc import AsyncIterator

import anyio
import httpcore
import msgspec
from absl import logging

from jasminewalk.generated_requests import GenerateRequest
from jasminewalk.ingress._run import EntryContext, RequestRun
from jasminewalk.ingress.connections import TRANSPORT_ERRORS
from jasminewalk.ingress.jobs import GenerationJob, TokenSink
from jasminewalk.scheduling.attempts import Action, Send
from jasminewalk.transport._http_call import HTTP_OK
from jasminewalk.types import RequestProfile

__all__ = ["GenerationRun"]

MIN_FIRST_TOKEN_TIMEOUT_S = 0.001
STREAM_END_TIMEOUT_S = 0.2
MAX_STREAM_END_BYTES = 1 << 16

_encode = msgspec.msgpack.Encoder().encode


class GenerationRun(RequestRun):
    """Runs one generation; an attempt that fails is resumed on another endpoint.

    :param context: components that all requests share.
    :param job: the generation.
    :param sink: receives the tokens.
    """

    def __init__(
        self, context: EntryContext, job: GenerationJob, sink: TokenSink
    ) -> None:
        super().__init__(context, job)
        self.job: GenerationJob = job
        self.sink = sink
        self.last_token_s: float | None = None
        self.token_gaps = context.metrics.get_series(
            "between_tokens_seconds", **self.labels
        )

    def encode_request(self, action: Send) -> bytes:
        """Encode the body of the request to the sidecar.

        :param action: the attempt.
        """
        profile = self.job.profile
        request = GenerateRequest(
            request_id=profile.request_id,
            attempt=action.attempt,
            organisation=profile.organisation,
            request_class=profile.request_class,
            model=profile.model,
            prompt=self.job.prompt,
            prompt_tokens=profile.prompt_tokens,
            prefix_hashes=list(profile.prefix_hashes),
            max_tokens=profile.max_tokens,
            expected_tokens=profile.expected_tokens,
            deadline_s=profile.deadline_s - self.clock.monotonic(),
            first_token_s=self.compute_first_token_timeout_s(profile),
            priority=profile.priority,
            weight=profile.weight,
            resume_from=action.resume_from,
            resume_text=self.machine.assembler.text,
            adapter=self.job.adapter,
        )
        return _encode(request)

    def compute_first_token_timeout_s(self, profile: RequestProfile) -> float:
        """Return the time left for the first token in seconds; 0 for no limit.

        A deadline that has passed gives the smallest positive value, because 0
        would mean that there is no limit.

        :param profile: the request.
        """
        if math.isinf(profile.first_token_deadline_s):
            return 0.0
        remaining_s = profile.first_token_deadline_s - self.clock.monotonic()
        return max(MIN_FIRST_TOKEN_TIMEOUT_S, remaining_s)

    async def exchange(self, action: Send, address: str) -> Action:
        """Send one attempt to its sidecar and forward its tokens to the caller.

        :param action: the attempt.
        :param address: request address of the sidecar.
        """
        endpoint = action.route.endpoint
        async with self.context.connections.post(
            address,
            "/generate",
            self.encode_request(action),
            self.context.progress_timeout_s,
            self.build_attempt_id(action),
        ) as response:
            self.check_attempt_header(action, response)
            self.membership.record_response(self.clock.monotonic(), endpoint)
            if response.status != HTTP_OK:
                refusal = await self.read_refusal(response)
                if refusal is None:
                    self.trace.attempts[-1].outcome = f"status {response.status}"
                    return self.record_failure(endpoint, may_have_run=True)
                return self.record_refusal(endpoint, refusal)
            await self.relay_tokens(action.attempt, response)
        return self.handle_stream_end(endpoint)

    async def relay_tokens(self, attempt: int, response: httpcore.Response) -> None:
        """Forward tokens until the last one, or until the stream fails or is malformed.

        :param attempt: number of the attempt.
        :param response: response of the sidecar.
        """
        assembler = self.machine.assembler
        write = self.sink.write
        monotonic = self.clock.monotonic
        chunks = response.aiter_stream()
        async for data in chunks:
            texts = assembler.feed_lines(attempt, data)
            if texts:
                now_s = monotonic()
                if self.last_token_s is None:
                    self.record_first_token()
                else:
                    self.token_gaps.add((now_s - self.last_token_s) / len(texts))
                self.last_token_s = now_s
                await write(attempt, texts)
            if assembler.error_frame is not None:
                return
            if assembler.finish_reason:
                await self.read_stream_end(chunks)
                return

    async def read_stream_end(self, chunks: AsyncIterator[bytes]) -> None:
        """Read what follows the last frame, so that the connection can be used again.

        The response is complete, so a stream that does not end only costs its
        connection.

        :param chunks: the rest of the response of the sidecar.
        """
        size = 0
        reason = "timeout"
        try:
            with anyio.move_on_after(STREAM_END_TIMEOUT_S):
                async for data in chunks:
                    size += len(data)
                    if size > MAX_STREAM_END_BYTES:
                        reason = "too many bytes"
                        break
                else:
                    return
        except TRANSPORT_ERRORS as error:
            reason = repr(error)
        logging.warning(
            "[entry] Stream did not end after its last frame. request_id=%s reason=%s",
            self.job.profile.request_id,
            reason,
        )

    def record_first_token(self) -> None:
        """Record the arrival of the first token."""
        elapsed_s = self.compute_elapsed_s()
        self.trace.attempts[-1].first_token_s = elapsed_s
        self.router.record_first_token(
            self.clock.monotonic(), self.job.profile.request_id
        )
        self.context.metrics.observe("first_token_seconds", elapsed_s, **self.labels)

    def handle_stream_end(self, endpoint: str) -> Action:
        """Record how a stream ended and return the next action.

        :param endpoint: endpoint that sent the stream.
        """
        now_s = self.clock.monotonic()
        assembler = self.machine.assembler
        if assembler.finish_reason:
            self.record_success(endpoint)
            return self.machine.handle_stream_end(now_s, endpoint)
        error_frame = assembler.error_frame
        if error_frame is not None and error_frame.ran == "not_run":
            self.trace.attempts[-1].outcome = f"refused {error_frame.code}"
        else:
            code = error_frame.code if error_frame else "none"
            self.trace.attempts[-1].outcome = f"stream broke code={code}"
            self.membership.record_failure(now_s, endpoint)
        self.router.record_failure(now_s, self.job.profile.request_id, endpoint)
        return self.machine.handle_stream_end(now_s, endpoint)

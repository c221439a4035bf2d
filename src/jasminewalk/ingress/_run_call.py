"""Runs one call of a service."""

import msgspec

from jasminewalk.decoding import DECODE_ERRORS
from jasminewalk.generated_requests import ServiceCall, ServiceReply
from jasminewalk.ingress._run import EntryContext, RequestRun
from jasminewalk.ingress.jobs import CallJob
from jasminewalk.scheduling.attempts import Action, Send
from jasminewalk.transport._http_call import HTTP_OK, read_limited_body

__all__ = ["CallRun"]

MAX_REPLY_BYTES = 32 << 20

_encode = msgspec.msgpack.Encoder().encode
_decode_reply = msgspec.msgpack.Decoder(ServiceReply).decode


class CallRun(RequestRun):
    """Runs one call of a service and retries it after a failure.

    :param context: components that all requests share.
    :param job: the call.
    """

    def __init__(self, context: EntryContext, job: CallJob) -> None:
        super().__init__(context, job)
        self.job: CallJob = job
        self.reply: ServiceReply | None = None

    def encode_request(self, action: Send) -> bytes:
        """Encode the body of the request to the sidecar.

        :param action: the attempt.
        """
        profile = self.job.profile
        call = ServiceCall(
            request_id=profile.request_id,
            attempt=action.attempt,
            organisation=profile.organisation,
            service=self.job.service,
            request_class=profile.request_class,
            method=self.job.method,
            path=self.job.path,
            headers=self.job.headers,
            body=self.job.body,
            key=self.job.key,
            deadline_s=profile.deadline_s - self.clock.monotonic(),
            priority=profile.priority,
        )
        return _encode(call)

    async def exchange(self, action: Send, address: str) -> Action:
        """Send one attempt to its sidecar and read the reply.

        :param action: the attempt.
        :param address: request address of the sidecar.
        """
        endpoint = action.route.endpoint
        body = self.encode_request(action)
        async with self.context.connections.post(
            address,
            "/call",
            body,
            self.compute_read_timeout_s(),
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
            reply_body = await read_limited_body(
                response, MAX_REPLY_BYTES, self.job.holding
            )
        return self.handle_reply(endpoint, reply_body)

    def compute_read_timeout_s(self) -> float:
        """Return the read timeout in seconds.

        This is half of the time until the deadline, which leaves the rest for another
        attempt, but at least the progress timeout.
        """
        remaining_s = self.job.profile.deadline_s - self.clock.monotonic()
        return max(self.context.progress_timeout_s, remaining_s / 2)

    def handle_reply(self, endpoint: str, body: bytes) -> Action:
        """Decode a reply, record the outcome and return the next action.

        :param endpoint: endpoint that replied.
        :param body: encoded reply.
        """
        try:
            self.reply = _decode_reply(body)
        except DECODE_ERRORS as error:
            self.trace.attempts[-1].outcome = f"bad reply {error}"
            return self.record_failure(endpoint, may_have_run=True)
        self.machine.assembler.finish_reason = "reply"
        self.record_success(endpoint)
        return self.machine.handle_stream_end(self.clock.monotonic(), endpoint)

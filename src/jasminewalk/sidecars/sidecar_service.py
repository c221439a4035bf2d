"""Handler of a sidecar's calls to a plain service."""

import anyio
import attrs
import msgspec
import xxhash
from absl import logging
from anyio.abc import TaskGroup

from jasminewalk.agreement.at_most_once import ClaimController
from jasminewalk.agreement.claim_actions import (
    ClaimAction,
    ClaimSettings,
    RefuseRequest,
    ReplyToRequest,
    RunRequest,
)
from jasminewalk.agreement.fold_events import FoldEvent
from jasminewalk.agreement.log_writer import AppendRecord
from jasminewalk.agreement.snapshot_task import SnapshotTask
from jasminewalk.generated_codes import RESULTS, Code
from jasminewalk.generated_messages import LoadReport, PoolDemand
from jasminewalk.generated_requests import ServiceCall, ServiceReply
from jasminewalk.interfaces import ServiceRequest, ServiceResponse
from jasminewalk.sidecars.endpoint_handler import (
    EndpointHandler,
    EndpointState,
    SidecarContext,
)
from jasminewalk.sidecars.service_client import HttpService
from jasminewalk.sidecars.sidecar_http import build_refusal_body
from jasminewalk.transport._http import ATTEMPT_HEADER, Receive, Send, send_json
from jasminewalk.types import Refusal

__all__ = ["ServiceHandler", "build_claim_key", "compute_fingerprint"]

TICK_INTERVAL_S = 0.01
MAX_PENDING_CALLS = 256
RETRY_AFTER_S = 0.5
CALL_TIMEOUT_FACTOR = 10.0
MSGPACK_HEADERS = [(b"content-type", b"application/msgpack")]


def build_claim_key(call: ServiceCall) -> str:
    """Build the key under which a call runs at most once.

    :param call: the call.
    """
    return f"{call.organisation}/{call.service}/{call.key}"


def compute_fingerprint(call: ServiceCall) -> str:
    """Return a hash of a call's method, path and body.

    :param call: the call.
    """
    content = f"{call.method} {call.path}\n".encode() + call.body
    return xxhash.xxh3_128_hexdigest(content)


@attrs.define(kw_only=True, eq=False)
class PendingCall:
    """Call that was admitted and has no reply yet.

    :param call: the call.
    :param done: event that is set with the reply.
    :param reply: reply to the entry.
    """

    call: ServiceCall
    done: anyio.Event = attrs.field(factory=anyio.Event)
    reply: ServiceReply | Refusal | None = None

    def set_reply(self, reply: ServiceReply | Refusal) -> None:
        """Set the reply, unless there is one.

        :param reply: the reply.
        """
        if self.reply is None:
            self.reply = reply
            self.done.set()


class ServiceHandler(EndpointHandler):
    """Forwards calls to the service; calls with a key run at most once.

    :param context: objects shared with the sidecar.
    """

    def __init__(self, context: SidecarContext) -> None:
        super().__init__(context)
        self.service = HttpService(
            context.http_pool, self.settings.endpoint_address, memory=context.memory
        )
        self.call_handler = self
        self.controller = ClaimController(
            ClaimSettings(
                endpoint=self.settings.name,
                incarnation=context.incarnation,
                batch_s=self.settings.claim_batch_s,
            ),
            context.fold,
            context.rng,
        )
        self.registrar = context.create_registrar()
        self.appender = context.create_appender()
        self.snapshot_task = SnapshotTask(
            log=context.log,
            fold=context.fold,
            settings=self.settings.log,
            clock=context.clock,
            rng=context.rng,
        )
        self.pending_calls: dict[str, PendingCall] = {}
        self.running = 0
        self.completed = 0
        self.draining = False
        self.task_group: TaskGroup | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no call is waiting or running and all outcomes are on the log."""
        return not self.pending_calls and not self.running and self.controller.is_idle

    @property
    def state(self) -> EndpointState:
        """State of the endpoint: ``draining`` after ``drain``, else ``live``."""
        return "draining" if self.draining else "live"

    def drain(self) -> None:
        """Refuse new calls from now on and finish the admitted ones."""
        self.draining = True
        self.controller.draining = True

    def fill_report(self, report: LoadReport) -> LoadReport:
        """Return a load report completed with the load of the service.

        :param report: report with the fields common to all sidecars.
        """
        return attrs.evolve(
            report,
            queued=max(0, len(self.pending_calls) - self.running),
            running=self.running,
            max_batch=MAX_PENDING_CALLS,
            completed=self.completed,
        )

    def on_demand(self, demand: PoolDemand) -> None:
        """Ignore the demand, since a service has no roles.

        :param demand: demand of one pool at one entry.
        """

    def on_fold_event(self, event: FoldEvent) -> None:
        """Handle an event of the fold.

        :param event: event of the fold.
        """
        self.appender.on_fold_event(event)
        for append in self.registrar.on_event(event):
            self.appender.submit(append)
        if self.registrar.is_superseded:
            self.context.stop()
        self.run_actions(self.controller.on_event(self.clock.monotonic(), event))

    async def run(self) -> None:
        """Register the process, then run the claim controller until cancelled."""
        async with anyio.create_task_group() as group:
            self.task_group = group
            group.start_soon(self.appender.run)
            group.start_soon(self.snapshot_task.run)
            await self.context.follower.ready.wait()
            for append in self.registrar.register():
                self.appender.submit(append)
            while True:
                self.controller.log_available = self.appender.is_available
                self.run_actions(self.controller.tick(self.clock.monotonic()))
                await anyio.sleep(TICK_INTERVAL_S)

    async def handle(self, call: ServiceCall, receive: Receive, send: Send) -> None:
        """Handle one call of an entry.

        :param call: the call.
        :param receive: ASGI receive function.
        :param send: ASGI send function.
        """
        if self.draining:
            refusal = Refusal(Code.DRAINING, "The service is draining.", RETRY_AFTER_S)
            await self.send_reply(call, refusal, send)
        elif len(self.pending_calls) >= MAX_PENDING_CALLS:
            refusal = Refusal(
                Code.OVERLOADED, "The service has too many calls.", RETRY_AFTER_S
            )
            await self.send_reply(call, refusal, send)
        elif call.key:
            await self.send_reply(call, await self.run_at_most_once(call), send)
        else:
            await self.send_reply(call, await self.run_repeatable(call), send)

    async def run_repeatable(self, call: ServiceCall) -> ServiceReply | Refusal:
        """Run a call without a key, which may be retried, and return its reply.

        :param call: the call.
        """
        self.running += 1
        try:
            with anyio.fail_after(max(0.0, call.deadline_s)):
                response = await self.service.call(build_service_request(call))
        except OSError as error:
            logging.warning(
                "[sidecar] Service failed. request_id=%s error=%r",
                call.request_id,
                error,
            )
            return Refusal(Code.ENDPOINT_FAILED, repr(error), RETRY_AFTER_S, "unknown")
        finally:
            self.running -= 1
        self.completed += 1
        return build_reply(response)

    async def run_at_most_once(self, call: ServiceCall) -> ServiceReply | Refusal:
        """Run a call with a key, at most once, and return its reply.

        :param call: the call.
        """
        request_id = f"{call.request_id}/{call.attempt}"
        if request_id in self.pending_calls:
            return Refusal(Code.BAD_MESSAGE, "The attempt is already in progress.", 0.0)
        pending = PendingCall(call=call)
        self.pending_calls[request_id] = pending
        now_s = self.clock.monotonic()
        try:
            self.run_actions(
                self.controller.handle_request(
                    now_s,
                    request_id=request_id,
                    key=build_claim_key(call),
                    fingerprint=compute_fingerprint(call),
                    deadline_s=now_s + call.deadline_s,
                )
            )
            await pending.done.wait()
        finally:
            self.pending_calls.pop(request_id, None)
            if pending.reply is None:
                self.run_actions(
                    self.controller.cancel(self.clock.monotonic(), request_id)
                )
        assert pending.reply is not None
        return pending.reply

    def run_actions(self, actions: list[ClaimAction]) -> None:
        """Carry out actions of the claim controller.

        :param actions: the actions.
        """
        for action in actions:
            match action:
                case AppendRecord():
                    self.appender.submit(action)
                case RunRequest():
                    self.start_call(action.request_id)
                case ReplyToRequest():
                    self.reply_to_call(action)
                case RefuseRequest():
                    self.finish_call(action.request_id, action.refusal)

    def start_call(self, request_id: str) -> None:
        """Start a call whose claim was accepted.

        The call then runs to its end even if the caller disconnects.

        :param request_id: identifier of the request and attempt.
        """
        pending = self.pending_calls.get(request_id)
        if pending is None or self.task_group is None:
            refusal = Refusal(Code.CALLER_GONE, "The caller disconnected.", 0.0)
            now_s = self.clock.monotonic()
            self.run_actions(
                self.controller.handle_not_sent(now_s, request_id, refusal)
            )
            return
        self.running += 1
        self.task_group.start_soon(self.run_claimed, request_id, pending.call)

    async def run_claimed(self, request_id: str, call: ServiceCall) -> None:
        """Send a claimed call to the service once, without retries.

        :param request_id: identifier of the request and attempt.
        :param call: the call.
        """
        timeout_s = self.settings.progress_timeout_s * CALL_TIMEOUT_FACTOR
        try:
            with anyio.fail_after(timeout_s):
                response = await self.service.call(build_service_request(call))
        except ConnectionError as error:
            refusal = Refusal(Code.ENDPOINT_FAILED, repr(error), RETRY_AFTER_S)
            now_s = self.clock.monotonic()
            self.run_actions(
                self.controller.handle_not_sent(now_s, request_id, refusal)
            )
        except OSError as error:
            logging.warning(
                "[sidecar] Response of the service lost. request_id=%s error=%r",
                request_id,
                error,
            )
            self.run_actions(
                self.controller.handle_lost_response(self.clock.monotonic(), request_id)
            )
        else:
            self.completed += 1
            self.run_actions(
                self.controller.handle_response(
                    self.clock.monotonic(),
                    request_id,
                    status=response.status,
                    headers=[[name, value] for name, value in response.headers],
                    body=response.body,
                )
            )
        finally:
            self.running -= 1

    def reply_to_call(self, action: ReplyToRequest) -> None:
        """Reply to a call with a response of the service, possibly a replayed one.

        :param action: the response.
        """
        if action.replayed:
            self.context.metrics.count("replays")
        reply = ServiceReply(
            status=action.status,
            headers=action.headers,
            body=action.body,
            replayed=action.replayed,
        )
        self.finish_call(action.request_id, reply)

    def finish_call(self, request_id: str, reply: ServiceReply | Refusal) -> None:
        """Pass a reply to the task that waits for it.

        :param request_id: identifier of the request and attempt.
        :param reply: the reply.
        """
        pending = self.pending_calls.get(request_id)
        if pending is not None:
            pending.set_reply(reply)

    async def send_reply(
        self, call: ServiceCall, reply: ServiceReply | Refusal, send: Send
    ) -> None:
        """Send a reply to the entry.

        :param call: the call.
        :param reply: the reply.
        :param send: ASGI send function.
        """
        attempt_header = (
            ATTEMPT_HEADER,
            f"{call.request_id}/{call.attempt}".encode(),
        )
        if isinstance(reply, Refusal):
            body = build_refusal_body(
                reply, call.request_id, queued=len(self.pending_calls)
            )
            status = RESULTS[reply.code].http_status
            await send_json(send, status, body, [attempt_header])
            return
        body_bytes = msgspec.msgpack.encode(reply)
        headers = [
            *MSGPACK_HEADERS,
            attempt_header,
            (b"content-length", str(len(body_bytes)).encode()),
        ]
        holding = self.context.memory.open("reply")
        holding.add(len(reply.body) + len(body_bytes))
        try:
            await send(
                {"type": "http.response.start", "status": 200, "headers": headers}
            )
            await send({"type": "http.response.body", "body": body_bytes})
        finally:
            holding.close()


def build_service_request(call: ServiceCall) -> ServiceRequest:
    """Build the request that is sent to the service.

    :param call: the call.
    """
    return ServiceRequest(
        method=call.method,
        path=call.path,
        headers=[(name, value) for name, value in call.headers],
        body=call.body,
        key=call.key,
    )


def build_reply(response: ServiceResponse) -> ServiceReply:
    """Build the reply that is sent to the entry.

    :param response: response of the service.
    """
    return ServiceReply(
        status=response.status,
        headers=[[name, value] for name, value in response.headers],
        body=response.body,
    )

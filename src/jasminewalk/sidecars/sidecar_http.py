"""HTTP application through which entries send requests to a sidecar."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Protocol

import msgspec
from absl import logging

from jasminewalk.decoding import DECODE_ERRORS
from jasminewalk.exceptions import BadMessageError, JasminewalkError
from jasminewalk.generated_codes import Code
from jasminewalk.generated_requests import (
    GenerateRequest,
    RefusalBody,
    ServiceCall,
)
from jasminewalk.metrics import Metrics
from jasminewalk.transport._http import (
    ATTEMPT_HEADER,
    Receive,
    Scope,
    Send,
    read_body,
    send_json,
)
from jasminewalk.transport.memory_limit import MemoryLimit
from jasminewalk.transport.peer_auth import AUTH_HEADER, PeerAuthenticator
from jasminewalk.types import Refusal

__all__ = [
    "CallHandler",
    "GenerationHandler",
    "SidecarApp",
    "build_error_body",
    "build_refusal_body",
]

Handle = Callable[[Receive, Send], Awaitable[None]]

_decode_generate = msgspec.msgpack.Decoder(GenerateRequest).decode
_decode_call = msgspec.msgpack.Decoder(ServiceCall).decode


class GenerationHandler(Protocol):
    """Handler of generation requests."""

    async def handle(
        self, request: GenerateRequest, receive: Receive, send: Send
    ) -> None:
        """Handle one generation request."""

    def cancel(self, request_id: str, attempt: int) -> None:
        """Cancel one attempt."""


class CallHandler(Protocol):
    """Handler of calls to a plain service."""

    async def handle(self, call: ServiceCall, receive: Receive, send: Send) -> None:
        """Handle one call."""


def build_error_body(error: JasminewalkError, request_id: str = "") -> RefusalBody:
    """Build the response body for an error.

    :param error: the error.
    :param request_id: identifier of the request.
    """
    return RefusalBody(
        code=error.code,
        name=error.code.name.lower(),
        message=error.detail,
        ran=error.ran,
        request_id=request_id,
        retry_after_s=error.retry_after_s,
    )


def build_refusal_body(
    refusal: Refusal,
    request_id: str,
    *,
    queued: int,
    queued_prefill_tokens: int = 0,
) -> RefusalBody:
    """Build the response body for a refusal.

    :param refusal: the refusal.
    :param request_id: identifier of the request.
    :param queued: number of requests that wait at the endpoint.
    :param queued_prefill_tokens: number of prompt tokens that wait for prefill.
    """
    return RefusalBody(
        code=refusal.code,
        name=refusal.code.name.lower(),
        message=refusal.reason,
        ran=refusal.ran,
        request_id=request_id,
        retry_after_s=refusal.retry_after_s,
        queued=queued,
        queued_prefill_tokens=queued_prefill_tokens,
    )


def find_attempt_headers(scope: Scope) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request that name its attempt.

    :param scope: ASGI scope.
    """
    return [header for header in scope["headers"] if header[0] == ATTEMPT_HEADER]


class SidecarApp:
    """ASGI application that authenticates entries and dispatches their requests.

    :param authenticator: checker of the signatures of peers.
    :param body_bytes: maximum size of a request body in bytes.
    :param metrics: counters for refused requests.
    :param memory: limit on what the requests hold.
    :param generation_handler: handler of generations; None for a service.
    :param call_handler: handler of calls; None for an engine.
    """

    def __init__(
        self,
        *,
        authenticator: PeerAuthenticator,
        body_bytes: int,
        metrics: Metrics,
        memory: MemoryLimit,
        generation_handler: GenerationHandler | None = None,
        call_handler: CallHandler | None = None,
    ) -> None:
        self.authenticator = authenticator
        self.body_bytes = body_bytes
        self.metrics = metrics
        self.memory = memory
        self.generation_handler = generation_handler
        self.call_handler = call_handler

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request.

        :param scope: ASGI scope.
        :param receive: ASGI receive function.
        :param send: ASGI send function.
        """
        if scope["type"] != "http":
            return
        holding = self.memory.open("request")
        try:
            handle = self.decode(
                scope, await read_body(receive, self.body_bytes, holding)
            )
            await handle(receive, send)
        except JasminewalkError as error:
            self.metrics.count("peer_errors", code=str(error.code.value))
            logging.warning(
                "[sidecar] Request refused. path=%s error=%s", scope["path"], error
            )
            await send_json(
                send,
                error.result.http_status,
                build_error_body(error),
                find_attempt_headers(scope),
            )
        finally:
            holding.close()

    def authenticate(self, scope: Scope, body: bytes) -> None:
        """Check the signature of a request.

        :param scope: ASGI scope.
        :param body: body of the request.
        :raises UnauthenticatedPeerError: if the signature is missing or wrong.
        """
        signature = dict(scope["headers"]).get(AUTH_HEADER, b"")
        self.authenticator.verify(signature, scope["method"], scope["path"], body)

    def decode(self, scope: Scope, body: bytes) -> Handle:
        """Authenticate and decode a request; return what handles it.

        :param scope: ASGI scope.
        :param body: body of the request; not kept.
        :raises JasminewalkError: if the request is malformed or unknown.
        """
        self.authenticate(scope, body)
        method, path = scope["method"], scope["path"]
        try:
            if self.generation_handler and (method, path) == ("POST", "/generate"):
                return partial(self.generation_handler.handle, _decode_generate(body))
            if self.call_handler and (method, path) == ("POST", "/call"):
                return partial(self.call_handler.handle, _decode_call(body))
        except DECODE_ERRORS as error:
            raise BadMessageError(str(error)) from error
        if self.generation_handler and method == "DELETE":
            return partial(self.cancel, path)
        raise JasminewalkError(
            f"There is no route for {method} {path}.", code=Code.UNKNOWN_PATH
        )

    async def cancel(self, path: str, receive: Receive, send: Send) -> None:
        """Cancel the attempt in a request path.

        :param path: ``/generate/{request_id}/{attempt}``.
        :param receive: ASGI receive function.
        :param send: ASGI send function.
        :raises JasminewalkError: if the path does not identify an attempt.
        """
        parts = path.strip("/").split("/")
        if len(parts) != 3 or parts[0] != "generate" or not parts[2].isdigit():
            raise JasminewalkError(code=Code.UNKNOWN_PATH)
        if self.generation_handler is not None:
            self.generation_handler.cancel(parts[1], int(parts[2]))
        await send_json(send, 200, {})

"""HTTP exchanges with callers."""

from collections.abc import Awaitable, Callable

import anyio

from jasminewalk.exceptions import JasminewalkError
from jasminewalk.ingress._api_openai import OpenAiFormat
from jasminewalk.ingress.jobs import TokenSink
from jasminewalk.transport._http import Receive, Scope, Send, send_json
from jasminewalk.transport.memory_limit import Holding

__all__ = [
    "CallerGoneError",
    "Exchange",
    "StreamedResponseSink",
    "CompleteResponseSink",
    "run_while_connected",
]

STREAM_HEADERS = [
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-cache"),
]

Headers = list[tuple[bytes, bytes]]


class CallerGoneError(Exception):
    """The caller closed the connection before the response was complete."""


class Exchange:
    """One HTTP request of a caller and the state of its response.

    :param scope: ASGI scope.
    :param receive: ASGI receive function.
    :param send: ASGI send function.
    :param request_id: identifier of the request.
    :param holding: memory that the request and its answer take.
    """

    def __init__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        request_id: str,
        holding: Holding,
    ) -> None:
        self.scope = scope
        self.receive = receive
        self.send = send
        self.request_id = request_id
        self.holding = holding
        self.attempt = 0
        self.started = False
        self.streaming = False

    @property
    def common_headers(self) -> Headers:
        """Headers of every response."""
        return [
            (b"request-id", self.request_id.encode()),
            (b"attempt", str(self.attempt).encode()),
        ]

    async def send_json_response(
        self, status: int, document: object, headers: Headers | None = None
    ) -> None:
        """Send a complete JSON response.

        :param status: HTTP status.
        :param document: value to encode as JSON.
        :param headers: additional headers.
        """
        self.started = True
        headers = [*self.common_headers, *(headers or [])]
        await send_json(self.send, status, document, headers)

    async def start_stream(self) -> None:
        """Send the status and headers of a streamed response."""
        self.started = True
        self.streaming = True
        await self.send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [*STREAM_HEADERS, *self.common_headers],
            }
        )

    async def send_chunk(self, data: bytes) -> None:
        """Send a part of a streamed response.

        :param data: one or more complete server-sent events.
        """
        await self.send({"type": "http.response.body", "body": data, "more_body": True})

    async def end_stream(self, data: bytes) -> None:
        """Send the last part of a response body.

        :param data: complete server-sent events, or the rest of the body.
        """
        await self.send({"type": "http.response.body", "body": data})


class StreamedResponseSink(TokenSink):
    """Sends tokens to the caller as server-sent events.

    :param exchange: HTTP exchange with the caller.
    :param response_format: format of the response.
    """

    def __init__(self, exchange: Exchange, response_format: OpenAiFormat) -> None:
        self.exchange = exchange
        self.response_format = response_format

    async def write(self, attempt: int, texts: list[str]) -> None:
        """Send new tokens; the first ones start the response.

        :param attempt: number of the attempt that produced them.
        :param texts: texts of the tokens.
        """
        exchange = self.exchange
        events = self.response_format.encode_texts(texts)
        if not exchange.started:
            exchange.attempt = attempt
            await exchange.start_stream()
            events = self.response_format.encode_first_events() + events
        await exchange.send_chunk(events)


class CompleteResponseSink(TokenSink):
    """Records the last attempt of a response that is sent in one piece.

    The assembler of the attempts collects the tokens.

    :param exchange: HTTP exchange with the caller.
    """

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange

    async def write(self, attempt: int, texts: list[str]) -> None:
        """Record the attempt that produced the tokens.

        :param attempt: number of the attempt.
        :param texts: texts of the tokens.
        """
        self.exchange.attempt = attempt


async def run_while_connected(
    receive: Receive, run: Callable[[], Awaitable[None]]
) -> None:
    """Run a function and cancel it if the caller closes the connection.

    :param receive: ASGI receive function; the request body must have been read.
    :param run: asynchronous function to run.
    :raises CallerGoneError: if the caller closed the connection first.
    :raises JasminewalkError: if the function raised it.
    """
    error: JasminewalkError | None = None
    completed = False

    async def watch_disconnect() -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(watch_disconnect)
        try:
            await run()
            completed = True
        except JasminewalkError as raised:
            error = raised
        group.cancel_scope.cancel()
    if error is not None:
        try:
            raise error
        finally:
            # The error refers to this frame, which would keep the body of the request.
            del error
    if not completed:
        raise CallerGoneError

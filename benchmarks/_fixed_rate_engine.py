"""Engine that sends each stream one token immediately, then one per interval."""

import sys

import anyio
import msgspec

from jasminewalk.generated_requests import EngineState, Frame, GenerateRequest
from jasminewalk.interfaces import CachePage
from jasminewalk.standins.engine_model import compute_token_text
from jasminewalk.transport._http import HttpServer, read_body, send_json

MAX_BODY_BYTES = 1 << 20
MAX_BATCH = 8192
STATE = EngineState(
    role="mixed",
    models=["tutor"],
    max_batch=MAX_BATCH,
    prefill_tokens_per_s=100_000.0,
    decode_tokens_per_s=50.0,
)

_encode = msgspec.json.Encoder().encode


class FixedRateEngine:
    """ASGI application with the HTTP paths of an engine that a sidecar calls.

    The load does not slow streams down: each one runs at the same fixed rate.

    :param token_interval_s: seconds between two tokens of a stream.
    """

    def __init__(self, token_interval_s: float) -> None:
        self.token_interval_s = token_interval_s
        self.open_streams = 0

    async def __call__(self, scope, receive, send) -> None:
        """Handle one request.

        :param scope: ASGI scope.
        :param receive: ASGI receive function.
        :param send: ASGI send function.
        """
        path = scope["path"]
        body = await read_body(receive, MAX_BODY_BYTES)
        if path == "/generate":
            request = msgspec.json.decode(body, type=GenerateRequest)
            await self.stream_response(request, receive, send)
        elif path == "/events":
            await send_json(send, 200, CachePage(0, 0, [], []))
        elif path == "/counts":
            await send_json(send, 200, {"open": self.open_streams})
        else:
            await send_json(send, 200, STATE)

    async def stream_response(self, request, receive, send) -> None:
        """Stream a response until it is complete or the caller disconnects.

        :param request: generation request.
        :param receive: ASGI receive function.
        :param send: ASGI send function.
        """
        self.open_streams += 1
        await send({"type": "http.response.start", "status": 200, "headers": []})
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self.cancel_on_disconnect, receive, group.cancel_scope)
                await self.send_tokens(request, send)
                group.cancel_scope.cancel()
        finally:
            self.open_streams -= 1
        await send({"type": "http.response.body", "body": b""})

    async def send_tokens(self, request, send) -> None:
        """Send the tokens of a response.

        :param request: generation request.
        :param send: ASGI send function.
        """
        last_number = request.max_tokens - 1
        for number in range(request.resume_from, request.max_tokens):
            text = compute_token_text(request.prompt, number)
            end = "length" if number == last_number else ""
            line = _encode(Frame(n=number, t=text, end=end)) + b"\n"
            message = {"body": line, "more_body": True}
            await send({"type": "http.response.body", **message})
            if not end:
                await anyio.sleep(self.token_interval_s)

    async def cancel_on_disconnect(
        self, receive, cancel_scope: anyio.CancelScope
    ) -> None:
        """Cancel the response when the caller disconnects.

        :param receive: ASGI receive function.
        :param cancel_scope: cancel scope of the response.
        """
        while (await receive())["type"] != "http.disconnect":
            pass
        cancel_scope.cancel()


async def main(address: str, token_interval_s: str) -> None:
    """Serve until the process is terminated.

    :param address: ``host:port`` to listen on.
    :param token_interval_s: seconds between two tokens of a stream.
    """
    await HttpServer(FixedRateEngine(float(token_interval_s)), address).serve()


if __name__ == "__main__":
    anyio.run(main, *sys.argv[1:], backend_options={"use_uvloop": True})

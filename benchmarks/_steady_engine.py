"""Engine whose streams are independent: a token at once, then one each period."""

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


class SteadyEngine:
    """ASGI application with what a sidecar asks of an engine.

    :param period_s: seconds between two tokens of a stream.
    """

    def __init__(self, period_s: float) -> None:
        self.period_s = period_s
        self.open = 0

    async def __call__(self, scope, receive, send) -> None:
        """Answer one request.

        :param scope: ASGI scope.
        :param receive: ASGI receive function.
        :param send: ASGI send function.
        """
        path = scope["path"]
        body = await read_body(receive, MAX_BODY_BYTES)
        if path == "/generate":
            request = msgspec.json.decode(body, type=GenerateRequest)
            await self.generate(request, receive, send)
        elif path == "/events":
            await send_json(send, 200, CachePage(0, 0, [], []))
        elif path == "/counts":
            await send_json(send, 200, {"open": self.open})
        else:
            await send_json(send, 200, STATE)

    async def generate(self, request, receive, send) -> None:
        """Stream an answer until it is whole or its caller is gone.

        :param request: what to generate.
        :param receive: ASGI receive function.
        :param send: ASGI send function.
        """
        self.open += 1
        await send({"type": "http.response.start", "status": 200, "headers": []})
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self.watch, receive, group.cancel_scope)
                await self.write(request, send)
                group.cancel_scope.cancel()
        finally:
            self.open -= 1
        await send({"type": "http.response.body", "body": b""})

    async def write(self, request, send) -> None:
        """Send the tokens of an answer.

        :param request: what to generate.
        :param send: ASGI send function.
        """
        last = request.max_tokens - 1
        for number in range(request.resume_from, request.max_tokens):
            text = compute_token_text(request.prompt, number)
            end = "length" if number == last else ""
            line = _encode(Frame(n=number, t=text, end=end)) + b"\n"
            part = {"body": line, "more_body": True}
            await send({"type": "http.response.body", **part})
            if not end:
                await anyio.sleep(self.period_s)

    async def watch(self, receive, scope: anyio.CancelScope) -> None:
        """Stop when the caller is gone.

        :param receive: ASGI receive function.
        :param scope: scope of the answer.
        """
        while (await receive())["type"] != "http.disconnect":
            pass
        scope.cancel()


async def main(address: str, period_s: str) -> None:
    """Serve until the process is ended.

    :param address: ``host:port`` to listen on.
    :param period_s: seconds between two tokens of a stream.
    """
    await HttpServer(SteadyEngine(float(period_s)), address).serve()


if __name__ == "__main__":
    anyio.run(main, *sys.argv[1:], backend_options={"use_uvloop": True})

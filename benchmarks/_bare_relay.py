"""Minimal relay of an engine's stream from httpcore to uvicorn, as a baseline."""

import sys

import anyio
import httpcore

from jasminewalk.transport._http import HttpServer, open_http_pool, read_body

MAX_BODY_BYTES = 1 << 20


class BareRelay:
    """ASGI application that copies an engine's response chunk by chunk.

    :param pool: HTTP connection pool.
    :param url: URL of the engine.
    """

    def __init__(self, pool: httpcore.AsyncConnectionPool, url: str) -> None:
        self.pool = pool
        self.url = url

    async def __call__(self, scope, receive, send) -> None:
        """Relay one request and its response.

        :param scope: ASGI scope.
        :param receive: ASGI receive function.
        :param send: ASGI send function.
        """
        body = await read_body(receive, MAX_BODY_BYTES)
        start = {"type": "http.response.start", "status": 200, "headers": []}
        await send(start)
        if scope["method"] == "POST":
            async with anyio.create_task_group() as group:
                group.start_soon(self.cancel_on_disconnect, receive, group.cancel_scope)
                await self.copy_response(body, send)
                group.cancel_scope.cancel()
        await send({"type": "http.response.body", "body": b""})

    async def copy_response(self, body: bytes, send) -> None:
        """Copy the chunks of one response.

        :param body: request body.
        :param send: ASGI send function.
        """
        async with self.pool.stream("POST", self.url, content=body) as response:
            async for data in response.aiter_stream():
                message = {"body": data, "more_body": True}
                await send({"type": "http.response.body", **message})

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


async def main(address: str, url: str) -> None:
    """Serve until the process is terminated.

    :param address: ``host:port`` to listen on.
    :param url: URL of the engine.
    """
    async with open_http_pool() as pool:
        await HttpServer(BareRelay(pool, url), address).serve()


if __name__ == "__main__":
    anyio.run(main, *sys.argv[1:], backend_options={"use_uvloop": True})

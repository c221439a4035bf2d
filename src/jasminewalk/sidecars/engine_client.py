"""Client of a model engine for its sidecar."""

from collections.abc import AsyncIterator

import httpcore
import msgspec

from jasminewalk.clock import SystemClock
from jasminewalk.exceptions import OrderRefusedError, StaleFencingNumberError
from jasminewalk.generated_codes import Code
from jasminewalk.generated_requests import EngineOrder, EngineState, GenerateRequest
from jasminewalk.ingress.connections import ConnectionPool
from jasminewalk.interfaces import CachePage, Engine
from jasminewalk.transport._http_call import (
    CALL_TIMEOUT_S,
    CLOSE_HEADER,
    HTTP_ERRORS,
    HTTP_OK,
    MAX_ERROR_BYTES,
    HttpClient,
    HttpResponse,
    decode_error,
    raise_for_status,
    read_limited_body,
    to_os_error,
)

__all__ = ["HttpEngine"]

HTTP_CONFLICT = 409

_encode = msgspec.json.Encoder().encode
_state_decoder = msgspec.json.Decoder(EngineState)
_page_decoder = msgspec.json.Decoder(CachePage)


class HttpEngine(HttpClient, Engine):
    """HTTP client of a model engine.

    :param pool: pool of HTTP connections for requests other than generations.
    :param address: ``host:port`` of the engine.
    :param timeout_s: maximum seconds to wait for a connection, and for a response
        that is not a stream.
    """

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        address: str,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        super().__init__(pool, address, timeout_s)
        self.streams = ConnectionPool(connect_timeout_s=timeout_s, clock=SystemClock())

    async def generate(self, request: GenerateRequest) -> AsyncIterator[bytes]:
        """Yield the stream of a generation as newline-delimited JSON frames.

        The frames do not name their request, so the connection is used only once.

        :param request: the generation; its first ``resume_from`` tokens are skipped.
        :raises OSError: if the connection fails.
        """
        try:
            async with self.streams.stream(
                self.address, "/generate", _encode(request), headers=[CLOSE_HEADER]
            ) as response:
                if response.status != HTTP_OK:
                    body = await read_limited_body(response, MAX_ERROR_BYTES)
                    raise_for_status(HttpResponse(response.status, [], body))
                async for data in response.aiter_stream():
                    yield data
        except HTTP_ERRORS as error:
            raise to_os_error(error) from error

    async def cancel(self, request_id: str, attempt: int) -> None:
        """Cancel a generation and free its memory.

        :param request_id: identifier of the request.
        :param attempt: number of the attempt.
        :raises OSError: if the engine did not respond.
        """
        await self.call("DELETE", f"/generate/{request_id}/{attempt}")

    async def state(self) -> EngineState:
        """Return the state and load that the engine reports.

        :raises OSError: if the engine did not respond.
        """
        return await self.fetch(_state_decoder, "GET", "/state")

    async def order(self, order: EngineOrder) -> None:
        """Send an order, which contains the complete wanted state.

        :param order: the order.
        :raises StaleFencingNumberError: if the engine has seen a newer fencing number.
        :raises OrderRefusedError: if the engine refuses the order for another reason.
        :raises OSError: if the engine did not respond.
        """
        response = await self.send("POST", "/orders", _encode(order))
        if response.status == HTTP_CONFLICT:
            error = decode_error(response)
            if error.code == Code.STALE_FENCING_NUMBER:
                raise StaleFencingNumberError(error.detail)
            raise OrderRefusedError(error.detail)
        raise_for_status(response)

    async def cache_events(self, sequence: int) -> CachePage:
        """Return cache events from a sequence number on.

        :param sequence: sequence number of the first event to return.
        :raises OSError: if the engine did not respond.
        """
        return await self.fetch(_page_decoder, "GET", f"/events?sequence={sequence}")

    async def export_kv(self, request_id: str, attempt: int) -> bytes:
        """Export the KV cache of a running generation and return its handle.

        :param request_id: identifier of the request.
        :param attempt: number of the attempt.
        :raises OSError: if the engine did not respond or does not run the generation.
        """
        response = await self.call("POST", f"/kv/export/{request_id}/{attempt}")
        return response.body

    async def import_kv(self, handle: bytes) -> None:
        """Import a KV cache that another engine exported.

        :param handle: handle that ``export_kv`` returned.
        :raises OSError: if the engine did not respond or refused the handle.
        """
        await self.call("POST", "/kv/import", handle)

"""Base class for all stand-ins: HTTP server, routing, errors, counts and faults."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import Any, Generic, TypeVar
from urllib.parse import parse_qsl

import anyio
import attrs
import msgspec
from absl import logging

from jasminewalk.exceptions import BadRequestError, JasminewalkError
from jasminewalk.generated_codes import Code
from jasminewalk.generated_requests import RefusalBody
from jasminewalk.transport._http import (
    HttpServer,
    Receive,
    Scope,
    Send,
    read_body,
    send_json,
)

__all__ = ["NoResponseError", "Standin", "StandinRequest"]

Faults = TypeVar("Faults")
Body = TypeVar("Body")


class NoResponseError(Exception):
    """Raised when a request is to get no response."""


@attrs.frozen(kw_only=True)
class StandinRequest:
    """A request to a stand-in.

    :param method: HTTP method.
    :param path: path without the query.
    :param query: last value of each query parameter.
    :param headers: header names in lower case, and their values.
    :param body: body of the request.
    :param client: host and port of the client.
    :param receive: ASGI receive function.
    :param send: ASGI send function.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: list[tuple[str, str]]
    body: bytes
    client: tuple[str, int]
    receive: Receive
    send: Send

    @property
    def path_segments(self) -> list[str]:
        """Segments of the path."""
        return self.path.strip("/").split("/")

    def decode(self, kind: type[Body]) -> Body:
        """Decode the JSON body.

        :param kind: type of the body, such as an attrs class.
        :raises BadRequestError: if the body is not valid JSON or does not match the
            type.
        """
        try:
            return msgspec.json.decode(self.body, type=kind)
        except msgspec.ValidationError as error:
            raise BadRequestError(str(error)) from error
        except msgspec.DecodeError as error:
            raise BadRequestError(str(error), code=Code.BAD_JSON) from error

    def get_number(self, name: str, default: float, maximum: float) -> float:
        """Return a query parameter as a non-negative number.

        :param name: name of the parameter.
        :param default: value if the parameter is absent.
        :param maximum: largest value allowed.
        :raises BadRequestError: if the value is not a number in the range.
        """
        text = self.query.get(name, "")
        if not text:
            return default
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not 0.0 <= value <= maximum:
            raise BadRequestError(
                f"Parameter {name} is {text!r};"
                f" a number from 0 to {maximum:g} is allowed."
            )
        return value


class Standin(ABC, Generic[Faults]):
    """HTTP server that stands in for an external system in tests and in the demo.

    :param listen: ``host:port`` to listen on.
    :param body_bytes: largest request body in bytes.
    :param faults: initial faults.
    """

    def __init__(self, listen: str, body_bytes: int, faults: Faults) -> None:
        self.body_bytes = body_bytes
        self.faults = faults
        self.server = HttpServer(self, listen)
        self.address = self.server.address
        self.silenced_clients: set[tuple[str, int]] = set()
        self.stopping = anyio.Event()

    async def run(self) -> None:
        """Serve until ``stop`` is called."""
        logging.info("[standin] Serving. kind=%s address=%s", self.kind, self.address)
        async with anyio.create_task_group() as group:
            group.start_soon(self.run_background)
            await self.server.serve()
            group.cancel_scope.cancel()

    async def wait_started(self) -> None:
        """Wait until requests are accepted."""
        await self.server.wait_started()

    def stop(self) -> None:
        """Finish open requests, then let ``run`` return."""
        self.stopping.set()
        self.server.stop()

    @property
    def kind(self) -> str:
        """Name of the class, for logs."""
        return type(self).__name__

    async def run_background(self) -> None:
        """Run the background work of the stand-in until cancelled."""

    @abstractmethod
    async def handle_request(self, request: StandinRequest) -> None:
        """Handle a request for the external system.

        :param request: the request.
        :raises JasminewalkError: if the response is an error with a result code.
        :raises NoResponseError: if the request is to get no response.
        """

    @abstractmethod
    def get_counts(self) -> Any:
        """Return the counters, which ``GET /counts`` sends."""

    def on_faults_changed(self, previous: Faults) -> None:
        """Apply changed faults.

        :param previous: faults before the change.
        """

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request.

        :param scope: ASGI scope.
        :param receive: ASGI receive function.
        :param send: ASGI send function.
        """
        try:
            body = await read_body(receive, self.body_bytes)
            request = StandinRequest(
                method=scope["method"],
                path=scope["path"],
                query=dict(parse_qsl(scope["query_string"].decode("latin-1"))),
                headers=[
                    (name.decode("latin-1"), value.decode("latin-1"))
                    for name, value in scope["headers"]
                ],
                body=body,
                client=tuple(scope["client"]),
                receive=receive,
                send=send,
            )
            await self.dispatch(request)
        except NoResponseError:
            await self.hold_connection(receive)
        except JasminewalkError as error:
            if error.code != Code.CALLER_GONE:
                await self.send_error(send, error)

    async def dispatch(self, request: StandinRequest) -> None:
        """Handle a request for faults or counts; pass others to ``handle_request``.

        :param request: the request.
        """
        route = (request.method, request.path)
        if route == ("PUT", "/faults"):
            self.set_faults(request)
            await send_json(request.send, 200, self.faults)
        elif route == ("GET", "/faults"):
            await send_json(request.send, 200, self.faults)
        elif route == ("GET", "/counts"):
            await send_json(request.send, 200, self.get_counts())
        else:
            self.check_not_silenced(request)
            await self.handle_request(request)

    def set_faults(self, request: StandinRequest) -> None:
        """Set the faults that the body names, and leave the others.

        When ``silent`` is set, the connections that are open at that time carry no more
        responses until they are closed, except for the connection of this request.

        :param request: request whose body is a JSON object of faults.
        :raises BadRequestError: if a fault is unknown or its value is not allowed.
        """
        changes = request.decode(dict[str, Any])
        current: dict[str, Any] = msgspec.to_builtins(self.faults)
        unknown = sorted(set(changes) - set(current))
        if unknown:
            raise BadRequestError(
                f"Unknown fault {unknown[0]!r}; allowed are {', '.join(current)}."
            )
        try:
            faults = msgspec.convert(current | changes, type(self.faults))
        except msgspec.ValidationError as error:
            raise BadRequestError(str(error)) from error
        previous, self.faults = self.faults, faults
        silent = getattr(faults, "silent", False)
        if silent and not getattr(previous, "silent", False):
            self.silenced_clients |= self.list_clients() - {request.client}
        self.on_faults_changed(previous)

    def list_clients(self) -> set[tuple[str, int]]:
        """Return the clients of all open connections."""
        return {self.get_client(connection) for connection in self.list_connections()}

    def list_connections(self) -> list[Any]:
        """Return the server's open connections."""
        return list(self.server.server.server_state.connections)

    def get_client(self, connection: Any) -> tuple[str, int]:
        """Return the host and port of a connection's client.

        :param connection: the server's connection.
        """
        host, port = connection.client or ("", 0)
        return host, port

    def check_not_silenced(self, request: StandinRequest) -> None:
        """Raise an error if a request came on a silenced connection.

        :param request: the request.
        :raises NoResponseError: if its connection is silenced.
        """
        if request.client in self.silenced_clients:
            raise NoResponseError

    async def hold_connection(self, receive: Receive) -> None:
        """Keep a connection open without a response until the client closes it.

        :param receive: ASGI receive function.
        """
        async with anyio.create_task_group() as group:

            async def wait_for_stop() -> None:
                await self.stopping.wait()
                group.cancel_scope.cancel()

            group.start_soon(wait_for_stop)
            while (await receive())["type"] != "http.disconnect":
                pass
            group.cancel_scope.cancel()

    def abort_connection(self, client: tuple[str, int]) -> None:
        """Reset the connection of a client.

        :param client: host and port of the client.
        """
        for connection in self.list_connections():
            if self.get_client(connection) == client:
                connection.transport.abort()

    async def reset_connection(self, request: StandinRequest) -> None:
        """Reset the connection of a request instead of sending a response.

        :param request: the request.
        """
        self.abort_connection(request.client)
        while (await request.receive())["type"] != "http.disconnect":
            pass

    async def send_error(self, send: Send, error: JasminewalkError) -> None:
        """Send an error with its result code.

        :param send: ASGI send function.
        :param error: the error.
        """
        body = RefusalBody(
            code=error.code,
            name=error.code.name.lower(),
            message=error.detail,
            ran=error.ran,
            retry_after_s=error.retry_after_s,
        )
        await send_json(send, error.result.http_status, body)

    def build_unknown_path_error(self, request: StandinRequest) -> BadRequestError:
        """Build the error for an unknown path or method.

        :param request: the request.
        """
        return BadRequestError(
            f"There is no {request.method} {request.path}.", code=Code.UNKNOWN_PATH
        )

"""What all stand-ins share: routing, numbered errors, counts and faults."""

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
    """A request ends without an answer."""


@attrs.frozen(kw_only=True)
class StandinRequest:
    """One request to a stand-in.

    :param method: HTTP method.
    :param path: path without query.
    :param query: last value of each query parameter.
    :param headers: names in lower case and values.
    :param body: body of the request.
    :param client: address of the connection's other end.
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
        """Return the body as an object.

        :param kind: attrs class of the body.
        :raises BadRequestError: if the body does not fit.
        """
        try:
            return msgspec.json.decode(self.body, type=kind)
        except msgspec.ValidationError as error:
            raise BadRequestError(str(error)) from error
        except msgspec.DecodeError as error:
            raise BadRequestError(str(error), code=Code.BAD_JSON) from error

    def get_number(self, name: str, default: float, most: float) -> float:
        """Return a query parameter as a number from 0 on.

        :param name: name of the parameter.
        :param default: value if the parameter is absent.
        :param most: largest value allowed.
        :raises BadRequestError: if it is no such number.
        """
        text = self.query.get(name, "")
        if not text:
            return default
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not 0.0 <= value <= most:
            raise BadRequestError(
                f"Parameter {name} is {text!r}; a number from 0 to {most:g} is allowed."
            )
        return value


class Standin(ABC, Generic[Faults]):
    """HTTP server that stands in for a system outside.

    :param listen: ``host:port`` to listen on.
    :param body_bytes: largest request body in bytes.
    :param faults: the faults, all off.
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
        """Finish open requests, then return from ``run``."""
        self.stopping.set()
        self.server.stop()

    @property
    def kind(self) -> str:
        """Name of the class, for logs."""
        return type(self).__name__

    async def run_background(self) -> None:
        """Do what happens without a request, until cancelled."""

    @abstractmethod
    async def handle_request(self, request: StandinRequest) -> None:
        """Answer a request that is not for the control part.

        :param request: the request.
        :raises JasminewalkError: if there is a numbered error instead.
        :raises NoResponseError: if the request is to end without an answer.
        """

    @abstractmethod
    def get_counts(self) -> Any:
        """Return what was counted so far."""

    def on_faults_changed(self, before: Faults) -> None:
        """Act on changed faults.

        :param before: the faults until now.
        """

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request.

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
        """Answer a request for the control part, or pass it on.

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
        """Change the faults that the body names.

        :param request: request with a JSON object of faults.
        :raises BadRequestError: if a fault is unknown or its value is not allowed.
        """
        given = request.decode(dict[str, Any])
        current: dict[str, Any] = msgspec.to_builtins(self.faults)
        unknown = sorted(set(given) - set(current))
        if unknown:
            raise BadRequestError(
                f"Unknown fault {unknown[0]!r}; allowed are {', '.join(current)}."
            )
        try:
            faults = msgspec.convert(current | given, type(self.faults))
        except msgspec.ValidationError as error:
            raise BadRequestError(str(error)) from error
        before, self.faults = self.faults, faults
        silent = getattr(faults, "silent", False)
        if silent and not getattr(before, "silent", False):
            self.silenced_clients |= self.list_clients() - {request.client}
        self.on_faults_changed(before)

    def list_clients(self) -> set[tuple[str, int]]:
        """Return the other ends of all open connections."""
        return {self.get_client(item) for item in self.list_connections()}

    def list_connections(self) -> list[Any]:
        """Return the server's open connections."""
        return list(self.server.server.server_state.connections)

    def get_client(self, connection: Any) -> tuple[str, int]:
        """Return the other end of a connection.

        :param connection: the server's connection.
        """
        host, port = connection.client or ("", 0)
        return host, port

    def check_not_silenced(self, request: StandinRequest) -> None:
        """Drop a request that came on a silenced connection.

        :param request: the request.
        :raises NoResponseError: if its connection is silenced.
        """
        if request.client in self.silenced_clients:
            raise NoResponseError

    async def hold_connection(self, receive: Receive) -> None:
        """Keep a connection open without a word until its other end closes it.

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
        """Reset a connection.

        :param client: address of the connection's other end.
        """
        for connection in self.list_connections():
            if self.get_client(connection) == client:
                connection.transport.abort()

    async def reset_connection(self, request: StandinRequest) -> None:
        """Reset the connection instead of answering.

        :param request: the request.
        """
        self.abort_connection(request.client)
        while (await request.receive())["type"] != "http.disconnect":
            pass

    async def send_error(self, send: Send, error: JasminewalkError) -> None:
        """Send a numbered error.

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
        """Return the error for a path or method that does not exist.

        :param request: the request.
        """
        return BadRequestError(
            f"There is no {request.method} {request.path}.", code=Code.UNKNOWN_PATH
        )

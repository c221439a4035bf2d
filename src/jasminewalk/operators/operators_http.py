"""HTTP application for operators, served by each daemon on its control address."""

from abc import ABC, abstractmethod
from typing import Any

from jasminewalk.exceptions import JasminewalkError
from jasminewalk.generated_codes import Code
from jasminewalk.generated_records import SnapshotEntry
from jasminewalk.transport._http import Receive, Scope, Send, send_json

__all__ = ["OperatorApp", "StatusSource"]

METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class StatusSource(ABC):
    """Interface through which a daemon provides its state to operators.

    :param stopping: whether the daemon is shutting down.
    """

    stopping: bool = False

    @property
    @abstractmethod
    def is_ready(self) -> bool:
        """Whether the daemon accepts requests."""

    @abstractmethod
    def get_status(self) -> Any:
        """Return the daemon's state as an attrs object."""

    @abstractmethod
    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""

    def get_trace(self, request_id: str) -> Any:
        """Return the trace of a request, or None if it is not stored.

        :param request_id: identifier of the request.
        """
        return None

    def get_subject(self, subject: str) -> SnapshotEntry | None:
        """Return the current revision of a subject, or None if it is unknown.

        :param subject: subject of the configuration, as kind/name.
        """
        return None


class OperatorApp:
    """ASGI application with health, metrics, status and request traces.

    :param source: the daemon.
    """

    def __init__(self, source: StatusSource) -> None:
        self.source = source

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle an HTTP request.

        :param scope: ASGI scope.
        :param receive: ASGI receive function.
        :param send: ASGI send function.
        """
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path == "/healthz":
            await send_json(send, 200, {"ok": True})
        elif path == "/readyz":
            ready = self.source.is_ready and not self.source.stopping
            await send_json(send, 200 if ready else 503, {"ready": ready})
        elif path == "/metrics":
            await self.send_metrics(send)
        elif path == "/status":
            await send_json(send, 200, self.source.get_status())
        elif path.startswith("/explain/"):
            request_id = path.removeprefix("/explain/")
            await self.send_value(path, self.source.get_trace(request_id), send)
        elif path.startswith("/subjects/"):
            subject = path.removeprefix("/subjects/")
            await self.send_value(path, self.source.get_subject(subject), send)
        else:
            await self.send_not_found(path, send)

    async def send_metrics(self, send: Send) -> None:
        """Send the metrics.

        :param send: ASGI send function.
        """
        body = self.source.render_metrics()
        headers = [
            (b"content-type", METRICS_TYPE),
            (b"content-length", str(len(body)).encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    async def send_value(self, path: str, value: Any, send: Send) -> None:
        """Send a value as JSON, or an error if there is none.

        :param path: path of the request.
        :param value: value to send; None if it does not exist.
        :param send: ASGI send function.
        """
        if value is None:
            await self.send_not_found(path, send)
        else:
            await send_json(send, 200, value)

    async def send_not_found(self, path: str, send: Send) -> None:
        """Send the error for a path that does not exist.

        :param path: path of the request.
        :param send: ASGI send function.
        """
        error = JasminewalkError(f"There is no {path}.", code=Code.UNKNOWN_PATH)
        body = {"code": error.code, "name": "unknown_path", "message": error.detail}
        await send_json(send, error.result.http_status, body)

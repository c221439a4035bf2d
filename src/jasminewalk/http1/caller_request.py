"""Requests of callers, and the limits on what callers may send."""

import attrs

from jasminewalk.platform.headers import Header

__all__ = ["CallerLimits", "CallerRequest"]


@attrs.frozen
class CallerLimits:
    """Limits on the requests and connections of callers.

    :param header_bytes: maximum size of the target and headers of a request in bytes.
    :param body_bytes: maximum size of a request body in bytes.
    :param header_timeout_s: seconds that a caller may take to send the headers of a
        request.
    :param idle_timeout_s: seconds after which an idle connection is closed.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.define(eq=False)
class CallerRequest:
    """A request that was received completely.

    :param method: method.
    :param target: path and query as they were received.
    :param headers: pairs of a name in lower case and a value.
    :param body: complete body.
    :param arrived_s: monotonic time in seconds at which its first bytes were read.
    :param keep_alive: whether the caller keeps the connection open after the response.
    :param held_bytes: memory that it takes, in bytes.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    arrived_s: float
    keep_alive: bool
    held_bytes: int = 0

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def host(self) -> str:
        """Host in lower case, without the port; empty if there is no such header."""
        for name, value in self.headers:
            if name == b"host":
                return value.decode("latin-1").lower().rpartition(":")[0] or (
                    value.decode("latin-1").lower()
                )
        return ""

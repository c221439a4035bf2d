"""HTTP/1.1 over asyncio protocols, parsed by httptools.

The layer below uvicorn and httpcore is used because the gateway must see what those
hide: whether an answer ended whole, whose answer arrives on a kept connection, and the
moment at which a caller leaves.
"""

from jasminewalk.http1.client import (
    Connection,
    ConnectionPool,
    Exchange,
    ExchangeBrokenError,
    Response,
    connect,
)
from jasminewalk.http1.server import (
    CallerConnection,
    CallerLimits,
    CallerRequest,
    CallersServer,
)

__all__ = [
    "Response",
    "CallerConnection",
    "CallerLimits",
    "CallerRequest",
    "CallersServer",
    "Connection",
    "ConnectionPool",
    "Exchange",
    "ExchangeBrokenError",
    "connect",
]

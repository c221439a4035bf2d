"""HTTP/1.1 over asyncio protocols, parsed by httptools.

It is used instead of uvicorn and httpcore because these hide details that the gateway
needs: whether a response was complete, which request a response on a reused connection
belongs to, and when a caller disconnects.
"""

from jasminewalk.http1.client import Connection, connect, encode_request
from jasminewalk.http1.exchange import (
    DiscardedBytes,
    Exchange,
    ExchangeBrokenError,
    Response,
)
from jasminewalk.http1.pool import ConnectionPool
from jasminewalk.http1.receive_budget import ReceiveBudget
from jasminewalk.http1.server import (
    CallerConnection,
    CallerLimits,
    CallerRequest,
    CallerServer,
)

__all__ = [
    "Response",
    "CallerConnection",
    "CallerLimits",
    "CallerRequest",
    "CallerServer",
    "Connection",
    "ConnectionPool",
    "DiscardedBytes",
    "Exchange",
    "ExchangeBrokenError",
    "ReceiveBudget",
    "connect",
    "encode_request",
]

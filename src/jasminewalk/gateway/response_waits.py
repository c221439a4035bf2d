"""How long a gateway waits for an engine: until it is silent, and for small bodies."""

import asyncio

from jasminewalk.gateway.engine_clients import OpenExchange
from jasminewalk.http1 import ExchangeBrokenError

__all__ = ["compute_silence_timeout_s", "receive_small_body"]

# An engine counts as silent if it sends this gateway nothing for this multiple of the
# predicted time, and for at least the minimum in seconds.
SILENCE_FACTOR = 3.0
MIN_SILENCE_TIMEOUT_S = 1.5
# Share of the caller's patience after which a silent engine is abandoned, so that
# another engine can still send an event before the caller abandons the request.
CALLER_PATIENCE_SHARE = 0.8
# Largest body of the response to a prefill or of an error, and seconds in which it must
# arrive after the head.
MAX_SMALL_BODY_BYTES = 1024 * 1024
SMALL_BODY_TIMEOUT_S = 1.2


async def receive_small_body(sent: OpenExchange) -> bytes:
    """Receive a body that is small and was complete when its response began.

    :param sent: request whose response has begun.
    :raises ExchangeBrokenError: if the body is too large or not complete in time.
    """
    sent.exchange.max_body_bytes = MAX_SMALL_BODY_BYTES
    try:
        async with asyncio.timeout(SMALL_BODY_TIMEOUT_S):
            return await sent.exchange.body()
    except TimeoutError:
        reason = f"body not complete after {SMALL_BODY_TIMEOUT_S} s"
        raise ExchangeBrokenError(reason) from None


def compute_silence_timeout_s(predicted_s: float, caller_patience_s: float) -> float:
    """Return the seconds of silence after which an engine is suspected.

    :param predicted_s: predicted seconds until the response of the engine.
    :param caller_patience_s: seconds without an event after which the caller abandons
        the request.
    """
    return min(
        max(MIN_SILENCE_TIMEOUT_S, SILENCE_FACTOR * predicted_s),
        CALLER_PATIENCE_SHARE * caller_patience_s,
    )

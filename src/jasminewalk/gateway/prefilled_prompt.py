"""Prompts whose prefill ran on a separate engine, and the release of their handles."""

import asyncio
from collections.abc import Callable

import attrs

from jasminewalk.gateway.engine_clients import EngineClients, NotSentError
from jasminewalk.gateway.fleet import EngineState
from jasminewalk.http1 import ExchangeBrokenError
from jasminewalk.platform.engines import build_release_path
from jasminewalk.platform.headers import build_engine_headers

__all__ = ["PrefilledPrompt", "release_prompt"]

# Timeout of the call that releases a handle, in seconds.
RELEASE_TIMEOUT_S = 0.5
# Longest delay of that call in seconds; engines release handles themselves after a few
# seconds.
MAX_RELEASE_DELAY_S = 5.0
OK = 200


@attrs.define
class PrefilledPrompt:
    """A prompt whose KV cache an engine holds for another engine.

    :param engine: engine that ran the prefill.
    :param handle_id: id of the handle of the KV cache on that engine.
    :param transferred: whether another engine has started to decode from it.
    """

    engine: EngineState
    handle_id: str
    transferred: bool = False

    @property
    def source(self) -> str:
        """Address and handle from which another engine fetches the KV cache."""
        return f"{self.engine.entry.address}/{self.handle_id}"


async def release_prompt(
    clients: EngineClients, prompt: PrefilledPrompt, log: Callable[..., None]
) -> None:
    """Release the handle of a prompt that no engine decodes from.

    Errors are only logged. An engine that turned requests away for a time is called
    when that is over, unless the handle has expired by then. A handle of an engine that
    restarted since is gone; another engine at its address refuses the call.

    :param clients: connections to the engines.
    :param prompt: the prompt.
    :param log: writes a log line about the request.
    """
    backoff, deadline = prompt.engine.backoff, clients.clock() + MAX_RELEASE_DELAY_S
    while backoff.is_active(now := clients.clock()):
        if backoff.until > deadline:
            wait_s = round(backoff.until - now, 1)
            log("handle_not_freed", reason=f"engine wants no calls for {wait_s} s")
            return
        await asyncio.sleep(backoff.until - now)
    if clients.fleet.is_replaced(prompt.engine):
        log("handle_not_freed", reason="engine restarted")
        return
    headers = build_engine_headers(
        (), engine_id=prompt.engine.entry.engine_id, deadline_s=RELEASE_TIMEOUT_S
    )
    try:
        status, _ = await clients.call(
            prompt.engine,
            b"DELETE",
            build_release_path(prompt.handle_id),
            headers,
            b"",
            RELEASE_TIMEOUT_S,
        )
        if status != OK:
            log("handle_not_freed", reason=f"engine answered {status}")
    except (ExchangeBrokenError, NotSentError, TimeoutError) as error:
        # The engine releases the handle itself when it expires.
        log("handle_not_freed", reason=repr(error))

"""A prompt that one engine read for another, and the freeing of it."""

from collections.abc import Callable

import attrs

from jasminewalk.gateway.engine_clients import EngineClients, NotSentError
from jasminewalk.gateway.fleet import EngineState
from jasminewalk.http1.client import ExchangeBrokenError
from jasminewalk.platform.engines import build_release_path

__all__ = ["ReadPrompt", "free_prompt"]

# Seconds that freeing a handle may take.
RELEASE_TIMEOUT_S = 0.5


@attrs.define
class ReadPrompt:
    """A prompt that an engine read for a request and keeps.

    :param engine: the engine that keeps it.
    :param handle_id: names it there.
    :param taken: whether it was handed over.
    """

    engine: EngineState
    handle_id: str
    taken: bool = False

    @property
    def source(self) -> str:
        """Address and handle for the engine that goes on."""
        return f"{self.engine.entry.address}/{self.handle_id}"


async def free_prompt(
    clients: EngineClients, prompt: ReadPrompt, log: Callable[..., None]
) -> None:
    """Free a prompt that was read in vain.

    :param clients: connections to the engines.
    :param prompt: the prompt.
    :param log: writes a line about the request.
    """
    try:
        await clients.call(
            prompt.engine,
            b"DELETE",
            build_release_path(prompt.handle_id),
            (),
            b"",
            RELEASE_TIMEOUT_S,
        )
    except (ExchangeBrokenError, NotSentError, TimeoutError) as error:
        # The engine frees the handle by itself when it expires.
        log("handle_not_freed", reason=repr(error))

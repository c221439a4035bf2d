"""Requests of callers that were validated against the configuration."""

from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence

import attrs

from jasminewalk.transport.memory_limit import Holding
from jasminewalk.types import RequestProfile

__all__ = ["CallJob", "GenerationJob", "Job", "TokenSink"]


@attrs.frozen(kw_only=True)
class Job:
    """A request that was validated against the configuration in force.

    :param profile: properties of the request that routing depends on.
    :param failure_domains: failure domains that may serve the request; empty for all.
    :param withdrawn: endpoints that the configuration excludes.
    """

    profile: RequestProfile
    failure_domains: Sequence[str] = ()
    withdrawn: Collection[str] = ()


@attrs.frozen(kw_only=True)
class GenerationJob(Job):
    """A request to generate text.

    :param prompt: rendered prompt.
    :param adapter: adapter name; empty for none.
    """

    prompt: str
    adapter: str = ""


@attrs.frozen(kw_only=True)
class CallJob(Job):
    """A call of a service.

    :param service: service name.
    :param method: HTTP method.
    :param path: path and query, relative to the service.
    :param headers: pairs of name and value; names are in lower case.
    :param body: request body.
    :param key: idempotency key; empty for a call that may run more than once.
    :param holding: memory that the call and its reply take; ``None`` for no limit.
    """

    service: str
    method: str
    path: str
    headers: list[list[str]]
    body: bytes
    key: str = ""
    holding: Holding | None = None


class TokenSink(ABC):
    """Receives the tokens of a response in order and without duplicates."""

    @abstractmethod
    async def write(self, attempt: int, texts: list[str]) -> None:
        """Write new tokens.

        :param attempt: number of the attempt that produced them.
        :param texts: texts of the tokens.
        """

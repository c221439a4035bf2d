"""Requests of callers after their check against the configuration in force."""

from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence

import attrs

from jasminewalk.types import RequestProfile

__all__ = ["CallJob", "GenerationJob", "Job", "TokenSink"]


@attrs.frozen(kw_only=True)
class Job:
    """A request of a caller, checked against the configuration in force.

    :param profile: what decisions need to know of it.
    :param failure_domains: failure domains that may serve it; empty for all.
    :param withdrawn: endpoints that the configuration excludes.
    """

    profile: RequestProfile
    failure_domains: Sequence[str] = ()
    withdrawn: Collection[str] = ()


@attrs.frozen(kw_only=True)
class GenerationJob(Job):
    """A generation.

    :param prompt: rendered prompt.
    :param adapter: adapter name.
    """

    prompt: str
    adapter: str = ""


@attrs.frozen(kw_only=True)
class CallJob(Job):
    """A call of a plain service.

    :param service: service name.
    :param method: HTTP method.
    :param path: path with query below the service.
    :param headers: names and values, names in lower case.
    :param body: request body.
    :param key: idempotency key; empty for a call that may be repeated.
    """

    service: str
    method: str
    path: str
    headers: list[list[str]]
    body: bytes
    key: str = ""


class TokenSink(ABC):
    """Receiver of the tokens of an answer, in order and each once."""

    @abstractmethod
    async def write(self, attempt: int, texts: list[str]) -> None:
        """Take new tokens.

        :param attempt: number of the attempt that they came from.
        :param texts: texts of the tokens.
        """

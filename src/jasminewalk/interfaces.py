"""Abstract base classes of the systems outside: log, instance list, back ends."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

import attrs

from jasminewalk.generated_requests import (
    EngineOrder,
    EngineState,
    GenerateRequest,
    Instance,
)

__all__ = [
    "CachePage",
    "Engine",
    "InstanceList",
    "Log",
    "LogEntry",
    "LogPage",
    "Service",
    "ServiceResponse",
    "ServiceRequest",
    "WeightStore",
]


@attrs.frozen
class LogEntry:
    """One record on the log.

    :param offset: position in the log from 1.
    :param data: encoded record.
    """

    offset: int
    data: bytes


@attrs.frozen
class LogPage:
    """A run of records read from the log.

    :param entries: records in order of their offsets.
    :param first: offset of the oldest record that is still kept.
    :param tail: offset one past the newest record.
    """

    entries: list[LogEntry]
    first: int
    tail: int


class Log(ABC):
    """Append-only log with offsets; offsets start at 1 and only grow."""

    @abstractmethod
    async def append(self, data: bytes) -> int:
        """Append a record and return its offset.

        :param data: encoded record.
        :raises LogUnavailableError: if no answer came; the record may be there.
        """

    @abstractmethod
    async def read(self, offset: int, limit: int, wait_s: float = 0.0) -> LogPage:
        """Read records from an offset on.

        :param offset: first offset wanted; older than ``first`` starts there.
        :param limit: most records to return.
        :param wait_s: longest wait for a new record in seconds.
        :raises LogUnavailableError: if no answer came.
        """


class InstanceList(ABC):
    """The platform's lagging list of live and leaving instances."""

    @abstractmethod
    async def instances(self) -> list[Instance]:
        """Return the rows of the list.

        :raises OSError: if the list cannot be reached.
        """


class Engine(ABC):
    """A model engine, as its sidecar sees it."""

    @abstractmethod
    def generate(self, request: GenerateRequest) -> AsyncIterator[bytes]:
        """Yield the stream of a generation as newline-delimited JSON frames.

        :param request: what to generate; ``resume_from`` tokens are skipped.
        :raises OSError: if the connection fails.
        """

    @abstractmethod
    async def cancel(self, request_id: str, attempt: int) -> None:
        """Stop a generation and free its memory.

        :param request_id: identifier of the request.
        :param attempt: number of the attempt.
        """

    @abstractmethod
    async def state(self) -> EngineState:
        """Return the state and load that the engine reports."""

    @abstractmethod
    async def order(self, order: EngineOrder) -> None:
        """Send an order that states the wanted state in full.

        :param order: the order.
        :raises StaleFencingNumberError: if the engine saw a newer number.
        :raises OrderRefusedError: if the engine refuses for another reason.
        """

    @abstractmethod
    async def cache_events(self, sequence: int) -> "CachePage":
        """Return cache events from a sequence number on.

        :param sequence: first number wanted.
        """

    @abstractmethod
    async def export_kv(self, request_id: str, attempt: int) -> bytes:
        """Return the KV cache of a running generation as one handle.

        :param request_id: identifier of the request.
        :param attempt: number of the attempt.
        """

    @abstractmethod
    async def import_kv(self, handle: bytes) -> None:
        """Take over a KV cache that another engine exported.

        :param handle: what ``export_kv`` returned.
        """


@attrs.frozen
class CachePage:
    """Cache events of an engine.

    :param first_sequence: number of the first event in the page.
    :param next_sequence: number to ask for next; a gap shows events were lost.
    :param added: prefix block hashes stored.
    :param removed: prefix block hashes evicted.
    """

    first_sequence: int
    next_sequence: int
    added: list[int]
    removed: list[int]


@attrs.frozen(kw_only=True)
class ServiceRequest:
    """A call of a plain service.

    :param method: HTTP method.
    :param path: path with query below the service.
    :param headers: names and values, names in lower case.
    :param body: request body.
    :param key: idempotency key, or nothing for a call that may be repeated.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    key: str = ""


@attrs.frozen(kw_only=True)
class ServiceResponse:
    """Answer of a plain service.

    :param status: HTTP status.
    :param headers: names and values, names in lower case.
    :param body: answer body.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class Service(ABC):
    """A plain service, as its sidecar sees it."""

    @abstractmethod
    async def call(self, request: ServiceRequest) -> ServiceResponse:
        """Send one call; it is never sent twice.

        :param request: the call.
        :raises ConnectionError: if nothing was sent.
        :raises OSError: if the call may have run.
        """


class WeightStore(ABC):
    """The rate-limited store of weights."""

    @abstractmethod
    async def reserve(self, artifact: str, size_bytes: int) -> float:
        """Return seconds to wait before the artifact may be loaded.

        :param artifact: name of the model or adapter.
        :param size_bytes: size of its weights.
        """

"""Abstract base classes for external systems: log, instance list, back ends."""

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
    """A record on the log and its offset.

    :param offset: position in the log, starting at 1.
    :param data: encoded record.
    """

    offset: int
    data: bytes


@attrs.frozen
class LogPage:
    """A page of consecutive records read from the log.

    :param entries: records in order of their offsets.
    :param first: offset of the oldest record that the log retains.
    :param tail: offset that the next appended record will get.
    """

    entries: list[LogEntry]
    first: int
    tail: int


class Log(ABC):
    """Append-only log; offsets of records start at 1 and always increase."""

    @abstractmethod
    async def append(self, data: bytes) -> int:
        """Append a record and return its offset.

        :param data: encoded record.
        :raises LogUnavailableError: if the log did not respond; the record may have
            been appended.
        """

    @abstractmethod
    async def read(self, offset: int, limit: int, wait_s: float = 0.0) -> LogPage:
        """Read records, starting at an offset.

        :param offset: offset of the first record to return; if that record is no
            longer retained, the page starts at the oldest one that is.
        :param limit: maximum number of records to return.
        :param wait_s: maximum time in seconds to wait for a new record.
        :raises LogUnavailableError: if the log did not respond.
        """


class InstanceList(ABC):
    """The platform's list of live and leaving instances, which may be out of date."""

    @abstractmethod
    async def instances(self) -> list[Instance]:
        """Fetch the rows of the list.

        :raises OSError: if the list cannot be fetched.
        """


class Engine(ABC):
    """A model engine, as used by its sidecar."""

    @abstractmethod
    def generate(self, request: GenerateRequest) -> AsyncIterator[bytes]:
        """Start a generation and yield its newline-delimited JSON frames.

        :param request: the request; the first ``resume_from`` tokens are skipped.
        :raises OSError: if the connection fails.
        """

    @abstractmethod
    async def cancel(self, request_id: str, attempt: int) -> None:
        """Stop a generation and free its KV cache.

        :param request_id: identifier of the request.
        :param attempt: number of the attempt.
        """

    @abstractmethod
    async def state(self) -> EngineState:
        """Fetch the state and load of the engine."""

    @abstractmethod
    async def order(self, order: EngineOrder) -> None:
        """Send an order to the engine.

        :param order: the order, which holds the complete wanted state.
        :raises StaleFencingNumberError: if the engine has seen a higher fencing number.
        :raises OrderRefusedError: if the engine refuses for another reason.
        """

    @abstractmethod
    async def cache_events(self, sequence: int) -> "CachePage":
        """Fetch prefix cache events, starting at a sequence number.

        :param sequence: sequence number of the first event to return.
        """

    @abstractmethod
    async def export_kv(self, request_id: str, attempt: int) -> bytes:
        """Export the KV cache of a running generation and return it as a handle.

        :param request_id: identifier of the request.
        :param attempt: number of the attempt.
        """

    @abstractmethod
    async def import_kv(self, handle: bytes) -> None:
        """Import a KV cache that another engine exported.

        :param handle: handle that ``export_kv`` returned.
        """


@attrs.frozen
class CachePage:
    """A page of prefix cache events of an engine.

    :param first_sequence: sequence number of the first event in the page; if it is
        higher than requested, events were lost.
    :param next_sequence: sequence number to request next.
    :param added: hashes of the prompt blocks added to the cache.
    :param removed: hashes of the prompt blocks evicted from the cache.
    """

    first_sequence: int
    next_sequence: int
    added: list[int]
    removed: list[int]


@attrs.frozen(kw_only=True)
class ServiceRequest:
    """A call to a plain service.

    :param method: HTTP method.
    :param path: path and query string, relative to the service.
    :param headers: pairs of name, in lower case, and value.
    :param body: request body.
    :param key: idempotency key; empty for a call that may run more than once.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    key: str = ""


@attrs.frozen(kw_only=True)
class ServiceResponse:
    """A response of a plain service.

    :param status: HTTP status.
    :param headers: pairs of name, in lower case, and value.
    :param body: response body.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class Service(ABC):
    """A plain service, as used by its sidecar."""

    @abstractmethod
    async def call(self, request: ServiceRequest) -> ServiceResponse:
        """Send a call once, without retries.

        :param request: the call.
        :raises ConnectionError: if no part of the call was sent.
        :raises OSError: if the call failed and may have run.
        """


class WeightStore(ABC):
    """The store of model weights, which is rate-limited."""

    @abstractmethod
    async def reserve(self, artifact: str, size_bytes: int) -> float:
        """Reserve bandwidth for loading an artifact and return the time to wait first.

        :param artifact: name of the model or adapter.
        :param size_bytes: size of its weights in bytes.
        :returns: time in seconds until the artifact may be loaded.
        """

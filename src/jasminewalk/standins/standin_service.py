"""Stand-in for a plain service that counts the calls with each idempotency key."""

from typing import Any

import anyio
import attrs

from jasminewalk.generated_standins import (
    ServiceEcho,
    ServiceFaults,
    StandinServiceSettings,
)
from jasminewalk.standins._standin import NoResponseError, Standin, StandinRequest
from jasminewalk.transport._http import send_json

__all__ = ["StandinService"]

KEY_HEADER = "idempotency-key"
ECHOED_PREFIX = "x-"


class StandinService(Standin[ServiceFaults]):
    """Service that executes any call and echoes its request.

    :param settings: name and delay of the service.
    """

    def __init__(self, settings: StandinServiceSettings) -> None:
        super().__init__(settings.listen, settings.body_bytes, ServiceFaults())
        self.settings = settings
        self.runs: dict[str, int] = {}

    def get_counts(self) -> Any:
        """Return counts of executed calls by idempotency key; ``""`` means no key."""
        return self.runs

    async def handle_request(self, request: StandinRequest) -> None:
        """Execute a call, subject to the faults that are set.

        :param request: the call.
        """
        if self.faults.crashed:
            await self.reset_connection(request)
            return
        key = dict(request.headers).get(KEY_HEADER, "")
        self.runs[key] = self.runs.get(key, 0) + 1
        await anyio.sleep(self.settings.delay_s + self.faults.delay_s)
        if self.faults.lose_answers:
            remaining = self.faults.lose_answers - 1
            self.faults = attrs.evolve(self.faults, lose_answers=remaining)
            await self.reset_connection(request)
            return
        if self.faults.silent:
            raise NoResponseError
        echo = ServiceEcho(
            service=self.settings.name,
            method=request.method,
            path=request.path,
            runs=self.runs[key],
            body=request.body.decode("utf-8", "replace"),
        )
        await send_json(
            request.send,
            self.faults.status or 200,
            echo,
            self.get_echoed_headers(request),
        )

    def get_echoed_headers(self, request: StandinRequest) -> list[tuple[bytes, bytes]]:
        """Return the headers of a call that the response repeats.

        :param request: the call.
        """
        return [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in request.headers
            if name.startswith(ECHOED_PREFIX)
        ]

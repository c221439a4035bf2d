"""Stand-in for the platform's instance list, which shows changes with a lag."""

from collections import deque
from typing import Any

import attrs

from jasminewalk.clock import Clock, SystemClock
from jasminewalk.exceptions import BadRequestError, JasminewalkError
from jasminewalk.generated_codes import Code
from jasminewalk.generated_requests import Instance
from jasminewalk.generated_standins import InstancesFaults, StandinInstancesSettings
from jasminewalk.standins._standin import Standin, StandinRequest
from jasminewalk.transport._http import send_json

__all__ = ["StandinInstances"]


@attrs.frozen
class _PendingChange:
    """A change that the list does not show yet.

    :param due_s: time at which the list shows it, in seconds.
    :param name: instance name.
    :param instance: the instance; ``None`` if it is removed.
    """

    due_s: float
    name: str
    instance: Instance | None


class StandinInstances(Standin[InstancesFaults]):
    """Instance list that shows each change after a lag.

    :param settings: lag of the list.
    :param clock: source of time.
    """

    def __init__(
        self, settings: StandinInstancesSettings, *, clock: Clock | None = None
    ) -> None:
        super().__init__(settings.listen, settings.body_bytes, InstancesFaults())
        self.settings = settings
        self.clock = clock or SystemClock()
        self.visible_instances: dict[str, Instance] = {}
        self.pending_changes: deque[_PendingChange] = deque()
        self.reads = 0
        self.writes = 0

    def put(self, name: str, instance: Instance | None) -> None:
        """Add, replace or remove an instance; the list shows the change after the lag.

        :param name: instance name.
        :param instance: the instance; ``None`` removes it.
        """
        self.writes += 1
        due_s = self.clock.monotonic() + self.settings.lag_s
        self.pending_changes.append(_PendingChange(due_s, name, instance))

    def list_visible(self) -> list[Instance]:
        """Return the instances that the list shows now.

        Instances that flap are missing from every second read.
        """
        self.reads += 1
        now_s = self.clock.monotonic()
        while self.pending_changes and self.pending_changes[0].due_s <= now_s:
            if self.faults.frozen:
                break
            change = self.pending_changes.popleft()
            self.visible_instances.pop(change.name, None)
            if change.instance is not None:
                self.visible_instances[change.name] = change.instance
        missing = set(self.faults.flapping) if self.reads % 2 == 0 else set()
        return [
            instance
            for instance in self.visible_instances.values()
            if instance.name not in missing
        ]

    def get_counts(self) -> Any:
        """Return the numbers of reads and writes."""
        return {"reads": self.reads, "writes": self.writes}

    async def handle_request(self, request: StandinRequest) -> None:
        """Handle a read of the list or a change of an instance.

        :param request: the request.
        """
        segments = request.path_segments
        if segments[0] != "instances" or len(segments) > 2:
            raise self.build_unknown_path_error(request)
        if len(segments) == 1:
            await self.handle_list(request)
        else:
            await self.handle_change(request, segments[1])

    async def handle_list(self, request: StandinRequest) -> None:
        """Send the instance list.

        :param request: the request.
        """
        if request.method != "GET":
            raise self.build_unknown_path_error(request)
        if self.faults.outage:
            raise JasminewalkError(code=Code.NO_ENDPOINT, retry_after_s=1.0)
        await send_json(request.send, 200, self.list_visible())

    async def handle_change(self, request: StandinRequest, name: str) -> None:
        """Add, replace or remove an instance.

        :param request: the request.
        :param name: instance name from the path.
        """
        if request.method == "PUT":
            instance = request.decode(Instance)
            if instance.name != name:
                raise BadRequestError(
                    f"The path names {name!r}, the body {instance.name!r}."
                )
            self.put(name, instance)
        elif request.method == "DELETE":
            self.put(name, None)
        else:
            raise self.build_unknown_path_error(request)
        await send_json(request.send, 200, {})

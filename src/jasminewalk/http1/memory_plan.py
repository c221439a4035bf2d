"""Divide the memory of an instance among what callers and engines make it hold.

The load it answers: callers that nobody controls, which send bodies without an end in
pieces of any size, pipeline, or leave long answers unread, many at once.
"""

import attrs

from jasminewalk.http1.receive_budget import ReceiveBudget
from jasminewalk.http1.server import CallerServer

__all__ = ["MemoryPlan"]

MIB = 1024 * 1024
# Memory of a process that serves nobody, with its libraries and its view of the fleet.
BASE_BYTES = 45_000_000
# Share of the memory that is planned with; the rest is for what the allocator leaves
# unused between objects, and for the kernel's account of them.
PLANNED_SHARE = 0.85
# Memory of an open connection that is idle.
CONNECTION_BYTES = 8 * 1024
# Share of the descriptors that callers' connections may take; the others are for
# engines, the store, peers and files.
CALLERS_DESCRIPTORS = 0.6
MIN_CONNECTIONS = 50
# Least memory for all that follows, however small the instance is.
MIN_BUFFER_BYTES = 8 * MIB
# Least of that for each kind: one request or response of the largest size, while it is
# put together.
MIN_KIND_BYTES = 6 * MIB
# Shares of the memory for requests, for bodies of engines, and for responses that wait
# for their callers. A body exists twice while it is put together.
REQUESTS_SHARE, ENGINES_SHARE, RESPONSES_SHARE = 0.35, 0.2, 0.3


@attrs.frozen
class MemoryPlan:
    """Limits of one process that add up to the memory of its instance.

    >>> plan = MemoryPlan.from_limits(memory_bytes=160_000_000, max_descriptors=3075)
    >>> plan.max_connections
    1845
    >>> plan.requests_bytes + plan.engines_bytes + plan.responses_bytes
    64502896

    :param max_connections: open connections of callers.
    :param requests_bytes: memory of requests that were not answered yet, with what was
        received of them.
    :param engines_bytes: bodies of engines that were not passed on yet, in bytes.
    :param responses_bytes: responses that callers have not read, in bytes.
    """

    max_connections: int
    requests_bytes: int
    engines_bytes: int
    responses_bytes: int

    @classmethod
    def from_limits(cls, memory_bytes: int, max_descriptors: int) -> "MemoryPlan":
        """Return the plan of an instance.

        :param memory_bytes: memory of the instance.
        :param max_descriptors: maximum number of descriptors of the process.
        """
        max_connections = max(
            MIN_CONNECTIONS, int(CALLERS_DESCRIPTORS * max_descriptors)
        )
        planned = PLANNED_SHARE * memory_bytes - BASE_BYTES
        left = max(MIN_BUFFER_BYTES, planned - max_connections * CONNECTION_BYTES)
        return cls(
            max_connections,
            *(
                max(MIN_KIND_BYTES, int(share * left))
                for share in (REQUESTS_SHARE, ENGINES_SHARE, RESPONSES_SHARE)
            ),
        )

    def apply(self, server: CallerServer, budget: ReceiveBudget) -> None:
        """Have the limits kept from now on.

        :param server: server of the callers.
        :param budget: limit on what the connections to engines hold.
        """
        server.max_connections = self.max_connections
        server.max_held_bytes = self.requests_bytes
        server.max_unsent_bytes = self.responses_bytes
        budget.limit_bytes = self.engines_bytes

"""The planned stop of a gateway: what it still takes, and how it ends what it has."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.run import RequestRun
from jasminewalk.http1.server import CallerConnection, CallerServer

__all__ = ["Drain", "PlannedStop"]

# The drain ends this many seconds before the grace period, so that the process exits
# before SIGKILL.
GRACE_MARGIN_S = 0.7
# Seconds after SIGTERM during which new connections are still accepted, so that the
# load balancer can see two failed readiness checks first.
ACCEPT_S = 2.3
# Seconds for which the last responses may be sent after the drain.
LAST_RESPONSES_S = 0.2
# ``Retry-After`` in seconds of a gateway that ends; another one takes the request.
RETRY_AFTER_S = 0.1


class PlannedStop:
    """Compares the deadlines of requests with the end of this process.

    A request that may still run when the process ends would be cut off. Its caller is
    better served by another gateway, at once.

    :param clock: returns the monotonic time in seconds.

    Its ``ends_at`` is the monotonic time at which the drain ends; infinite before it
    begins.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.ends_at = float("inf")

    def begin(self, grace_s: float) -> None:
        """Record that the process was told to end.

        :param grace_s: seconds until it is killed.
        """
        self.ends_at = self.clock() + grace_s - GRACE_MARGIN_S

    @property
    def is_over(self) -> bool:
        """Whether the time to drain is used up."""
        return self.clock() >= self.ends_at

    def may_cut(self, deadline: float) -> bool:
        """Return whether a request may still run when the process ends.

        :param deadline: monotonic time by which the request ends.
        """
        return deadline > self.ends_at


class Drain:
    """Ends the requests of a gateway that was told to end.

    :param stop: compares deadlines with the end of the process.
    :param server: server of the callers.
    :param log: decision log.
    :param clock: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        stop: PlannedStop,
        server: CallerServer,
        log: DecisionLog,
        clock: Callable[[], float],
    ) -> None:
        self.stop = stop
        self.server = server
        self.log = log
        self.clock = clock
        self.runs: dict[CallerConnection, RequestRun] = {}

    def refuses(self, run: RequestRun) -> bool:
        """Refuse a request and return True if the end of the process may cut it.

        :param run: the request, which was not sent to an engine.
        """
        if not self.stop.may_cut(run.deadline):
            return False
        left_s = self.stop.ends_at - self.clock()
        run.refuse("stopping", RETRY_AFTER_S, left_s=round(left_s, 2))
        return True

    @contextmanager
    def track(self, run: RequestRun) -> Iterator[None]:
        """Have a request ended at the end of the drain while the context is open.

        :param run: the request.
        """
        self.runs[run.connection] = run
        try:
            yield
        finally:
            del self.runs[run.connection]

    async def run(self, grace_s: float) -> None:
        """Serve what can end in time, and end what remains then.

        :param grace_s: seconds until the process is killed.
        """
        self.stop.begin(grace_s)
        self.log.info("stopping", active=self.server.active)
        self.server.draining = True
        await asyncio.sleep(ACCEPT_S)
        self.server.stop_listening()
        await self._wait(self.stop.ends_at)
        if not self._is_empty:
            self._end_runs()
            await self._wait(self.clock() + LAST_RESPONSES_S)
        self.log.info("stopped", active=self.server.active)

    @property
    def _is_empty(self) -> bool:
        return not self.server.active and not self.server.connections

    async def _wait(self, ends_at: float) -> None:
        while self.clock() < ends_at and not self._is_empty:
            self.server.close_idle()
            await asyncio.sleep(0.02)

    def _end_runs(self) -> None:
        for connection, run in list(self.runs.items()):
            if not connection.response_ended:
                run.end_unfinished("gateway ends")
            if connection.task is not None:
                connection.task.cancel()

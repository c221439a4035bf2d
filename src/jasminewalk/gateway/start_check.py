"""Whether a process that responds is the start of its engine that the registry lists.

An engine may restart under its id, with another software version, and serve before its
new entry is read. What it writes then must not count as of the former version.
"""

from collections.abc import Callable

from jasminewalk.exceptions import BadMessageError
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.engine_clients import EngineClients, NotSentError
from jasminewalk.gateway.engine_state import EngineState
from jasminewalk.gateway.fleet import Fleet
from jasminewalk.http1 import ExchangeBrokenError
from jasminewalk.platform.engines import REPORT_PATH, decode_report
from jasminewalk.platform.headers import EXPECT_INSTANCE
from jasminewalk.platform.registry import UNKNOWN_START_MS

__all__ = ["StartCheck"]

# Seconds for the report of an engine.
REPORT_TIMEOUT_S = 0.3
# Seconds after an engine could not be reached in which it may have restarted.
RESTARTED_S = 20.0
OK = 200


class StartCheck:
    """Compares the starts that engines report with those that the registry lists.

    A process that was asked while a connection was open is the one that responds on
    it, so an engine is asked only once for the life of a connection.

    :param fleet: the engines.
    :param clients: sends requests to them.
    :param log: decision log.
    :param clock: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        fleet: Fleet,
        clients: EngineClients,
        log: DecisionLog,
        clock: Callable[[], float],
    ) -> None:
        self.fleet = fleet
        self.clients = clients
        self.log = log
        self.clock = clock

    async def is_proven(self, engine: EngineState, opened_at: float) -> bool:
        """Return whether the process is the listed start, for a stream that goes on.

        :param engine: the engine.
        :param opened_at: monotonic time at which the connection was opened.
        """
        if opened_at <= engine.start_confirmed_at:
            return True
        return await self._compare(engine) is True

    async def is_plausible(
        self, engine: EngineState, opened_at: float, version_count: int
    ) -> bool:
        """Return whether a new stream may begin at the process, as of its version.

        It is asked only if it may have restarted with another version. One that does
        not say when it started is believed.

        :param engine: the engine.
        :param opened_at: monotonic time at which the connection was opened.
        :param version_count: versions that the engines of its service have.
        """
        was_suspected = self.clock() - engine.suspected_at < RESTARTED_S
        if opened_at <= engine.start_confirmed_at or not (
            version_count > 1 or was_suspected
        ):
            return True
        return await self._compare(engine) is not False

    async def _compare(self, engine: EngineState) -> bool | None:
        """Return whether an engine reports the listed start; None if it reports none.

        One that reports another is avoided for a while.
        """
        asked_at = self.clock()
        started_ms = await self._ask(engine)
        if started_ms is None:
            return None
        if started_ms not in (UNKNOWN_START_MS, engine.entry.started_ms):
            reason = f"started at {started_ms}, listed {engine.entry.started_ms}"
            event = self.fleet.suspect(asked_at, engine, reason)
            self.log.warning(event.event, engine=event.engine, detail=event.detail)
            return False
        engine.start_confirmed_at = asked_at
        return True

    async def _ask(self, engine: EngineState) -> int | None:
        """Return the start that an engine reports, in milliseconds."""
        expected = [(EXPECT_INSTANCE, engine.entry.engine_id.encode())]
        try:
            status, body = await self.clients.call(
                engine, b"GET", REPORT_PATH, expected, b"", REPORT_TIMEOUT_S
            )
            return decode_report(body).started_ms if status == OK else None
        except (NotSentError, ExchangeBrokenError, TimeoutError, BadMessageError):
            return None

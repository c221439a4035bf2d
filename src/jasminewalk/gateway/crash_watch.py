"""Watches broken streams for engines that crash, and refuses what crashes them."""

import asyncio
from collections.abc import Callable, Collection, Iterable

from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.engine_clients import EngineClients
from jasminewalk.gateway.fleet import EngineState
from jasminewalk.gateway.metrics import GatewayMetrics
from jasminewalk.gateway.part_quarantine import (
    PartQuarantine,
    Quarantine,
    QuarantineEvent,
)
from jasminewalk.gateway.peers import compute_engine_key
from jasminewalk.gateway.quarantine_news import QuarantineExchange, QuarantineNews

__all__ = ["CrashWatch"]

# Seconds after the first broken stream in which the others of the engine break, too.
CONFIRMATION_DELAY_S = 0.02
# Ids of prompt parts in a log line.
MAX_LOGGED_PARTS = 8


class CrashWatch:
    """Finds out which prompt parts crash engines, from this gateway's broken streams.

    A stream that the engine broke off is evidence only if the engine's process has
    ended: nothing listens at its address. An engine that only resets connections, that
    does not answer, or that was to end speaks against no part.

    :param clients: connections to the engines.
    :param quarantine: decides on the evidence.
    :param exchange: tells the other gateways.
    :param log: decision log.
    :param metrics: counters.
    :param clock: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        clients: EngineClients,
        quarantine: PartQuarantine,
        exchange: QuarantineExchange,
        log: DecisionLog,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
    ) -> None:
        self.clients = clients
        self.quarantine = quarantine
        self.exchange = exchange
        self.log = log
        self.metrics = metrics
        self.clock = clock
        self.suspects: dict[EngineState, dict[str, float]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def record_broken_stream(
        self, engine: EngineState, parts: Iterable[str], sent_at: float
    ) -> None:
        """Record a stream that an engine broke off when it began to write the answer.

        :param engine: the engine.
        :param parts: ids of the prompt's parts that other requests may share.
        :param sent_at: monotonic time at which the request was sent.
        """
        if engine.may_end:
            return
        if engine not in self.suspects:
            self.suspects[engine] = {}
            task = asyncio.get_running_loop().create_task(self._confirm(engine))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        self.suspects[engine].update(dict.fromkeys(parts, sent_at))

    def record_answer(self, parts: tuple[str, ...]) -> None:
        """Record that an engine completed an answer, which clears its prompt's parts.

        :param parts: ids of the prompt's parts that other requests may share.
        """
        now = self.clock()
        self.exchange.announce_sound(now, parts)
        self._handle(self.quarantine.record_sound(now, parts))

    def find_quarantine(
        self, parts: tuple[str, ...], *, may_try: bool
    ) -> Quarantine | None:
        """Return the quarantine for which a request is refused; None if it may be sent.

        Once a quarantine is over, one request at a time is sent as a trial.

        :param parts: ids of the prompt's parts that other requests may share.
        :param may_try: whether this gateway is the one that makes trials.
        """
        now = self.clock()
        quarantine = self.quarantine.find(parts)
        if quarantine is None:
            return None
        if may_try and self.quarantine.try_begin_trial(now, quarantine):
            self.log.warning(
                "quarantine_trial",
                parts=_list_parts(quarantine.parts),
                crashes=quarantine.crashes,
            )
            return None
        quarantine.refused += 1
        return quarantine

    def compute_wait_s(self, quarantine: Quarantine) -> float:
        """Return the seconds until a request may be tried.

        :param quarantine: the quarantine for which a request is refused.
        """
        return self.quarantine.compute_wait_s(self.clock(), quarantine)

    def build_news(self) -> QuarantineNews | None:
        """Return what to tell the other gateways, and drop what is old."""
        now = self.clock()
        self._handle(self.quarantine.expire(now))
        return self.exchange.build(now)

    def apply_news(self, news: QuarantineNews | None) -> None:
        """Apply what another gateway tells.

        :param news: its news; None if it has none.
        """
        if news is not None:
            self._handle(self.exchange.apply(self.clock(), news))

    def adopt(self, quarantine: Quarantine) -> None:
        """Adopt a quarantine that the store has.

        :param quarantine: the quarantine.
        """
        self._handle(self.quarantine.adopt(self.clock(), quarantine))

    def release(self, parts: Collection[str]) -> None:
        """End the quarantines of parts that an operator says are sound.

        :param parts: ids of the parts.
        """
        self.log.warning("part_declared_sound", parts=_list_parts(parts))
        self.record_answer(tuple(parts))

    async def _confirm(self, engine: EngineState) -> None:
        await asyncio.sleep(CONFIRMATION_DELAY_S)
        has_ended = await self.clients.is_refused(engine)
        sent_at = self.suspects.pop(engine)
        engine_id = engine.entry.engine_id
        if not has_ended or engine.may_end:
            self.log.info("engine_not_crashed", engine=engine_id, parts=len(sent_at))
            return
        now = self.clock()
        known = self.quarantine.sound_at
        unproved = sorted(sent_at, key=lambda part: known.get(part, 0.0))
        self.metrics.engine_crashes.inc()
        self.log.warning(
            "engine_crashed",
            engine=engine_id,
            parts=unproved[:MAX_LOGGED_PARTS],
            parts_count=len(sent_at),
        )
        event = self.clients.fleet.suspect(now, engine, "its process ended")
        self.log.warning(event.event, **event.fields)
        key = compute_engine_key(engine)
        self.exchange.announce_crash(now, key, sent_at)
        self._handle(self.quarantine.record_crash(now, key, sent_at))

    def _handle(self, events: Iterable[QuarantineEvent]) -> None:
        for event in events:
            self.log.warning(
                event.event, parts=_list_parts(event.parts), detail=event.detail
            )
        self.metrics.quarantined_parts.set(len(self.quarantine.quarantines))


def _list_parts(parts: Iterable[str]) -> list[str]:
    return sorted(parts)[:MAX_LOGGED_PARTS]

"""Watches broken requests for engines that crash, and refuses what crashes them."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable, Collection, Iterable, Iterator
from contextlib import asynccontextmanager, contextmanager

import attrs

from jasminewalk.gateway.crash_quarantine import CrashQuarantine
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.engine_clients import EngineClients
from jasminewalk.gateway.fleet import EngineState
from jasminewalk.gateway.metrics import GatewayMetrics
from jasminewalk.gateway.peers import compute_engine_key
from jasminewalk.gateway.quarantine import Quarantine, QuarantineEvent
from jasminewalk.gateway.quarantine_news import QuarantineExchange, QuarantineNews
from jasminewalk.gateway.request_fingerprint import is_fingerprint

__all__ = ["CrashWatch"]

# Seconds after the first broken request in which the others of the engine break, too.
CONFIRMATION_DELAY_S = 0.02
# Ids of prompt parts in a log line.
MAX_LOGGED_PARTS = 8


class CrashWatch:
    """Finds out what crashes engines, from this gateway's broken requests.

    A request that the engine broke off is evidence only if the engine's process has
    ended: nothing listens at its address. An engine that only resets connections, that
    does not answer, or that was to end speaks against nothing.

    While a request is suspect, this gateway runs one of its repeats at a time, and
    sends that engine nothing else if there is another one.

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
        quarantine: CrashQuarantine,
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
        self.when_sound: dict[EngineState, list[Callable[[], None]]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.turns: dict[str, _Turn] = {}
        self.engines_in_turn: Counter[EngineState] = Counter()
        self.on_urgent: Callable[[], None] = lambda: None
        self.on_found: Callable[[], None] = lambda: None

    @property
    def watches_requests(self) -> bool:
        """Whether the fingerprint of any request matters now."""
        return self.quarantine.watches_requests

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether engines crashed under a request, and none answered it since.

        :param fingerprint: the request's.
        """
        return fingerprint in self.quarantine.suspects

    @asynccontextmanager
    async def take_turn(
        self, fingerprint: str, timeout_s: float
    ) -> AsyncIterator[bool]:
        """Wait until no repeat of a request runs here; let none run meanwhile.

        Yield whether none runs; False after the timeout.

        :param fingerprint: the request's.
        :param timeout_s: longest time to wait in seconds.
        """
        turn = self.turns.setdefault(fingerprint, _Turn())
        turn.users += 1
        try:
            try:
                async with asyncio.timeout(timeout_s):
                    await turn.lock.acquire()
            except TimeoutError:
                yield False
                return
            try:
                yield True
                # The next repeat must know what came of this one.
                await self._wait_for_verdict(fingerprint)
            finally:
                turn.lock.release()
        finally:
            turn.users -= 1
            if not turn.users:
                del self.turns[fingerprint]

    async def _wait_for_verdict(self, fingerprint: str) -> None:
        while any(fingerprint in sent_at for sent_at in self.suspects.values()):
            await asyncio.sleep(CONFIRMATION_DELAY_S)

    def prefer_undisturbed(
        self, engines: list[EngineState], excluded: Collection[str]
    ) -> list[EngineState]:
        """Return the engines that run no suspect request of this gateway.

        In a stage that has none, return all engines of that stage.

        :param engines: engines to choose from.
        :param excluded: ids of engines that can't be chosen.
        """
        if not self.engines_in_turn:
            return engines
        undisturbed = [e for e in engines if e not in self.engines_in_turn]
        stages = {
            engine.entry.stage
            for engine in undisturbed
            if engine.entry.engine_id not in excluded
        }
        return [
            engine
            for engine in engines
            if engine not in self.engines_in_turn or engine.entry.stage not in stages
        ]

    @contextmanager
    def occupy(self, engine: EngineState) -> Iterator[None]:
        """Keep other requests away from an engine while it runs a suspect one.

        :param engine: the engine.
        """
        self.engines_in_turn[engine] += 1
        try:
            yield
        finally:
            self.engines_in_turn[engine] -= 1
            if not self.engines_in_turn[engine]:
                del self.engines_in_turn[engine]

    def record_broken(
        self,
        engine: EngineState,
        parts: Iterable[str],
        sent_at: float,
        on_sound: Callable[[], None] = lambda: None,
    ) -> None:
        """Record a request that an engine broke off.

        :param engine: the engine.
        :param parts: the request's fingerprint; if the engine began to write an answer,
            also the ids of the prompt's parts that other requests may share.
        :param sent_at: monotonic time at which the request was sent.
        :param on_sound: called unless the process of the engine turns out to have
            ended, so that it only broke off the answer.
        """
        if engine.may_end:
            on_sound()
            return
        if engine not in self.suspects:
            self.suspects[engine] = {}
            broken_at = self.clock()
            task = asyncio.get_running_loop().create_task(
                self._confirm(engine, broken_at)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        self.suspects[engine].update(dict.fromkeys(parts, sent_at))
        self.when_sound.setdefault(engine, []).append(on_sound)

    def record_answer(self, parts: tuple[str, ...]) -> None:
        """Record that an engine completed an answer, which clears the request.

        :param parts: ids of the prompt's parts that other requests may share, and the
            request's fingerprint if any matters.
        """
        now = self.clock()
        self.exchange.announce_sound(now, parts)
        self._handle(self.quarantine.record_sound(now, parts))

    def find_quarantine(
        self, parts: tuple[str, ...], *, may_try: bool, is_trier: bool
    ) -> Quarantine | None:
        """Return the quarantine for which a request is refused; None if it may be sent.

        Once a quarantine is over, one request at a time is sent as a trial.

        :param parts: ids of the prompt's parts that other requests may share, and the
            request's fingerprint.
        :param may_try: whether the request may be a trial.
        :param is_trier: whether this gateway is the one that tries requests with a
            part. Any gateway may try a request that is in quarantine by itself.
        """
        now = self.clock()
        quarantine = self.quarantine.find(parts)
        if quarantine is None:
            return None
        may_try = may_try and (is_trier or quarantine.is_request)
        if may_try and self.quarantine.try_begin_trial(now, quarantine):
            self.log.warning(
                "quarantine_trial",
                parts=_list_parts(quarantine.parts),
                crashes=quarantine.crashes,
            )
            self.on_urgent()
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

    async def _confirm(self, engine: EngineState, broken_at: float) -> None:
        await asyncio.sleep(CONFIRMATION_DELAY_S)
        has_ended = await self.clients.is_refused(engine)
        sent_at = self.suspects.pop(engine)
        when_sound = self.when_sound.pop(engine)
        engine_id = engine.entry.engine_id
        if not has_ended or engine.may_end:
            self.log.info("engine_not_crashed", engine=engine_id, parts=len(sent_at))
            for on_sound in when_sound:
                on_sound()
            return
        now = self.clock()
        known = self.quarantine.sound_at
        unproved = sorted(sent_at, key=lambda part: known.get(part, 0.0))
        self.metrics.engine_crashes.inc()
        self.log.warning(
            "engine_crashed",
            engine=engine_id,
            parts=[part for part in unproved if not is_fingerprint(part)][
                :MAX_LOGGED_PARTS
            ],
            parts_count=sum(not is_fingerprint(part) for part in sent_at),
            requests=self._list_requests(sent_at),
        )
        event = self.clients.fleet.suspect(now, engine, "its process ended")
        self.log.warning(event.event, **event.fields)
        key = compute_engine_key(engine)
        self.exchange.announce_crash(broken_at, key, sent_at)
        events = list(self.quarantine.record_crash(now, key, sent_at, now - broken_at))
        self._handle(events)
        if events:
            self.on_found()
        self.on_urgent()

    def _list_requests(self, sent_at: Iterable[str]) -> list[str]:
        """Return the fingerprints of requests for the log, those known first."""
        requests = sorted(filter(is_fingerprint, sent_at))
        requests.sort(key=lambda fingerprint: not self.is_suspect(fingerprint))
        return requests[:MAX_LOGGED_PARTS]

    def _handle(self, events: Iterable[QuarantineEvent]) -> None:
        for event in events:
            self.log.warning(
                event.event, parts=_list_parts(event.parts), detail=event.detail
            )
        self.metrics.quarantined_parts.set(len(self.quarantine.quarantines))


@attrs.define
class _Turn:
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    users: int = 0


def _list_parts(parts: Iterable[str]) -> list[str]:
    return sorted(parts)[:MAX_LOGGED_PARTS]

"""What gateways tell each other about crashes of engines and their cause."""

from collections import OrderedDict
from collections.abc import Collection, Iterator, Mapping

import msgspec

from jasminewalk.decoding import Count, Number
from jasminewalk.gateway.crash_quarantine import CrashQuarantine
from jasminewalk.gateway.quarantine import Quarantine, QuarantineEvent
from jasminewalk.gateway.request_fingerprint import is_fingerprint

__all__ = ["QuarantineExchange", "QuarantineNews"]

# Seconds for which a crash, and that a part is sound, are announced.
CRASH_ANNOUNCED_S = 2.0
SOUND_ANNOUNCED_S = 1.0
# Seconds for which a trial is announced.
TRIAL_ANNOUNCED_S = 2.0
# Limits of one message.
MAX_ANNOUNCED_CRASHES = 16
MAX_ANNOUNCED_PARTS = 32
MAX_ANNOUNCED_REQUESTS = 32
MAX_ANNOUNCED_QUARANTINES = 16
# Crashes and sound parts that wait to be announced.
MAX_WAITING = 256


class QuarantineNews(msgspec.Struct, array_like=True, frozen=True):
    """Part of a gateway's message about crashes.

    :param crashes: engine, milliseconds since it crashed, and the parts that may have
        caused it with the milliseconds since a request with each was sent there.
    :param sound_parts: parts of which an answer was completed, though another gateway
        named them.
    :param quarantines: ids of the parts, crashes, milliseconds until a trial (negative
        if one is due), and the length of the quarantine in milliseconds.
    :param trials: ids of the parts of quarantines that were tried, and milliseconds
        since then.
    """

    crashes: list[tuple[Count, Number, dict[str, Number]]] = []
    sound_parts: list[str] = []
    quarantines: list[tuple[list[str], Count, Number, Count]] = []
    trials: list[tuple[list[str], Number]] = []


class QuarantineExchange:
    """Tells the other gateways of crashes, sound parts and quarantines.

    :param quarantine: receives what the others tell.
    """

    def __init__(self, quarantine: CrashQuarantine) -> None:
        self.quarantine = quarantine
        self.crashes: OrderedDict[int, tuple[float, dict[str, float]]] = OrderedDict()
        self.sound_until: OrderedDict[str, float] = OrderedDict()

    def announce_crash(
        self, now: float, engine_key: int, sent_at: Mapping[str, float]
    ) -> None:
        """Announce a crash that this gateway noticed.

        :param now: current monotonic time in seconds.
        :param engine_key: identifies the incarnation of the engine.
        :param sent_at: monotonic time at which a request was sent to the engine, by the
            ids of the request's parts and its fingerprint.
        """
        newest = sorted(sent_at.items(), key=lambda item: -item[1])
        parts = [item for item in newest if not is_fingerprint(item[0])]
        requests = [item for item in newest if is_fingerprint(item[0])]
        # Those that were in other crashes, too, come first.
        requests.sort(key=lambda item: item[0] not in self.quarantine.suspects)
        self.crashes[engine_key] = (
            now,
            dict(parts[:MAX_ANNOUNCED_PARTS] + requests[:MAX_ANNOUNCED_REQUESTS]),
        )
        while len(self.crashes) > MAX_WAITING:
            self.crashes.popitem(last=False)

    def announce_sound(self, now: float, parts: Collection[str]) -> None:
        """Announce parts that an answer cleared, if a crash speaks against them.

        :param now: current monotonic time in seconds.
        :param parts: ids of the parts.
        """
        suspects = [part for part in parts if self._is_suspected(part)]
        for part in suspects:
            self.sound_until[part] = now + SOUND_ANNOUNCED_S
            self.sound_until.move_to_end(part)
        while len(self.sound_until) > MAX_WAITING:
            self.sound_until.popitem(last=False)

    def build(self, now: float) -> QuarantineNews | None:
        """Return what to tell the other gateways; None if there is nothing.

        :param now: current monotonic time in seconds.
        """
        for key, (crashed_at, _) in list(self.crashes.items()):
            if now - crashed_at >= CRASH_ANNOUNCED_S:
                del self.crashes[key]
        for part, until in list(self.sound_until.items()):
            if now >= until:
                del self.sound_until[part]
        quarantines = self.quarantine.quarantines.values()
        if not self.crashes and not self.sound_until and not quarantines:
            return None
        newest = sorted(quarantines, key=lambda held: -held.until)
        return QuarantineNews(
            crashes=[
                (
                    key,
                    _to_milliseconds(now - crashed_at),
                    {part: _to_milliseconds(now - at) for part, at in sent_at.items()},
                )
                for key, (crashed_at, sent_at) in list(self.crashes.items())[
                    -MAX_ANNOUNCED_CRASHES:
                ]
            ],
            sound_parts=list(self.sound_until)[-MAX_ANNOUNCED_PARTS:],
            quarantines=[
                (
                    sorted(held.parts),
                    held.crashes,
                    _to_milliseconds(held.until - now),
                    _to_milliseconds(held.duration_s),
                )
                for held in newest[:MAX_ANNOUNCED_QUARANTINES]
            ],
            trials=[
                (sorted(held.parts), _to_milliseconds(now - held.tried_at))
                for held in newest[:MAX_ANNOUNCED_QUARANTINES]
                if now - held.tried_at < TRIAL_ANNOUNCED_S
            ],
        )

    def apply(self, now: float, news: QuarantineNews) -> Iterator[QuarantineEvent]:
        """Apply what another gateway tells, and yield an event for each change.

        :param now: current monotonic time in seconds.
        :param news: its news.
        """
        sound_at = self.quarantine.sound_at
        yield from self.quarantine.record_sound(now, news.sound_parts)
        for key, age_ms, sent_ms_ago in news.crashes:
            crashed_at = now - age_ms / 1e3
            for part in sent_ms_ago:
                if sound_at.get(part, crashed_at) > crashed_at:
                    self.sound_until[part] = now + SOUND_ANNOUNCED_S
            sent_at = {part: now - ms / 1e3 for part, ms in sent_ms_ago.items()}
            yield from self.quarantine.record_crash(now, key, sent_at, age_ms / 1e3)
        for parts, crashes, left_ms, duration_ms in news.quarantines:
            told = Quarantine(
                frozenset(parts), crashes, now + left_ms / 1e3, duration_ms / 1e3
            )
            if told.parts not in self.quarantine.quarantines:
                contradicted = self.quarantine.list_sound(now, told.parts)
                for part in contradicted:
                    self.sound_until[part] = now + SOUND_ANNOUNCED_S
            yield from self.quarantine.adopt(now, told)
        for tried_parts, age_ms in news.trials:
            self.quarantine.record_trial(frozenset(tried_parts), now - age_ms / 1e3)

    def _is_suspected(self, part: str) -> bool:
        quarantine = self.quarantine
        return any(
            part in crash.sent_at for crash in quarantine.crashes.values()
        ) or any(part in parts for parts in quarantine.quarantines)


def _to_milliseconds(seconds: float) -> int:
    return round(seconds * 1e3)

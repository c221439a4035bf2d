"""Evidence against what crashes engines, and its quarantine.

What crashes engines is a part of a prompt, or a whole request. Both are named by an id:
that of the part, or the fingerprint of the request.
"""

from collections import Counter, OrderedDict
from collections.abc import Collection, Iterator, Mapping

import attrs

from jasminewalk.gateway.quarantine import (
    MIN_QUARANTINE_S,
    EngineCrash,
    Quarantine,
    QuarantineEvent,
    build_event,
    compute_next_duration_s,
)
from jasminewalk.gateway.request_fingerprint import is_fingerprint

__all__ = ["CrashQuarantine"]

# Crashes, one after the other and without an answer in between, that prove a part
# guilty, and those that prove one of which an answer was completed recently: engines
# may all crash for another cause while a part that most requests share is in flight.
GUILTY_CRASHES = 3
GUILTY_CRASHES_IF_SOUND = 8
# Crashes that prove two parts guilty that are in different crashes; with fewer, the
# next crash may tell them apart.
AMBIGUOUS_CRASHES = 5
# Seconds until the first trial of a request. It is soon because a sound request may
# have run on the same engines as a guilty one; in a trial it runs without that.
FIRST_TRIAL_S = 1.0
# Seconds between trials of different requests, so that no engine runs two of them.
TRIAL_SEPARATION_S = 1.0
# Seconds for which a completed answer counts, and for which a crash does.
SOUND_S = 60.0
CRASH_KEPT_S = 300.0
# Seconds without an outcome of a trial after which another one is allowed.
TRIAL_INTERVAL_S = 10.0
# Least seconds until a request should come again.
MIN_WAIT_S = 1.0
# Seconds after its end for which a quarantine waits for a request to try.
FORGOTTEN_AFTER_S = 600.0
# Most entries in memory. The oldest are dropped first.
MAX_CRASHES = 64
MAX_PARTS_PER_CRASH = 64
MAX_REQUESTS_PER_CRASH = 64
MAX_SOUND_PARTS = 4096
MAX_QUARANTINES = 64


class CrashQuarantine:
    """Decides which parts and requests crash engines, and which requests are refused.

    A crash speaks against the parts of all requests that may have caused it. A part
    that goes on to crash engines is in all of these crashes; any other part is sooner
    or later in an answer that an engine completes, which clears it. A crash counts for
    a part only if a request with the part was sent after the crash counted before, so
    engines that fail together count once. A request is refused with the third crash in
    any case, and soon tried by itself. Crashes under one request alone speak against
    that request and not against its parts.

    >>> quarantine = CrashQuarantine()
    >>> for number in (1, 2, 3):
    ...     sent_at = {"rules": number, "menu": number}
    ...     _ = list(quarantine.record_crash(number + 0.5, number, sent_at))
    ...     _ = list(quarantine.record_sound(number + 0.6, ["rules"]))
    >>> sorted(quarantine.find(["rules", "menu"]).parts)
    ['menu']
    >>> quarantine.find(["rules"]) is None
    True
    """

    def __init__(self) -> None:
        self.crashes: OrderedDict[int, EngineCrash] = OrderedDict()
        self.explained: OrderedDict[int, None] = OrderedDict()
        self.sound_at: OrderedDict[str, float] = OrderedDict()
        self.quarantines: dict[frozenset[str], Quarantine] = {}
        self.suspects: frozenset[str] = frozenset()

    @property
    def watches_requests(self) -> bool:
        """Whether the fingerprint of any request matters."""
        return bool(self.suspects) or any(
            quarantine.is_request for quarantine in self.quarantines.values()
        )

    # Evidence.

    def record_crash(
        self,
        now: float,
        engine_key: int,
        sent_at: Mapping[str, float],
        age_s: float = 0,
    ) -> Iterator[QuarantineEvent]:
        """Record a crash, and yield an event for each quarantine that begins or lasts.

        The same crash may be recorded several times, by several gateways.

        :param now: current monotonic time in seconds.
        :param engine_key: identifies the incarnation of the engine.
        :param sent_at: monotonic time at which a request was sent to the engine, by the
            ids of the request's parts and its fingerprint.
        :param age_s: seconds since the crash.
        """
        if engine_key in self.explained:
            return
        crash = self.crashes.setdefault(engine_key, EngineCrash(now - age_s))
        for part, at in sent_at.items():
            if self.sound_at.get(part, at) > crash.crashed_at:
                continue
            if part in crash.sent_at:
                crash.sent_at[part] = max(at, crash.sent_at[part])
            elif is_fingerprint(part):
                self._add_request(crash, part, at)
            elif crash.count_parts() < MAX_PARTS_PER_CRASH:
                crash.sent_at[part] = at
        while len(self.crashes) > MAX_CRASHES:
            self.crashes.popitem(last=False)
        yield from self._explain_crash(now, engine_key, crash)
        yield from self._convict_requests(now)
        yield from self._convict(now)
        self._list_suspects()

    def _add_request(self, crash: EngineCrash, fingerprint: str, at: float) -> None:
        if fingerprint in crash.fingerprints:
            # Its quarantine explains the crash already.
            return
        if len(crash.fingerprints) >= MAX_REQUESTS_PER_CRASH:
            if fingerprint not in self.suspects:
                return
            # A caller may make up requests to hide the one that crashes engines.
            single = crash.fingerprints - self.suspects
            if not single:
                return
            dropped = single.pop()
            crash.fingerprints.discard(dropped)
            crash.sent_at.pop(dropped, None)
        crash.fingerprints.add(fingerprint)
        crash.sent_at[fingerprint] = at

    def record_sound(
        self, now: float, parts: Collection[str]
    ) -> Iterator[QuarantineEvent]:
        """Record that an engine completed an answer, which clears all of its parts.

        Yield an event for each quarantine that ends or gets narrower.

        :param now: current monotonic time in seconds.
        :param parts: ids of the parts, and the fingerprint of the request.
        """
        for part in parts:
            if is_fingerprint(part) and not self._is_watched(part):
                continue
            self.sound_at[part] = now
            self.sound_at.move_to_end(part)
        while len(self.sound_at) > MAX_SOUND_PARTS:
            self.sound_at.popitem(last=False)
        if self.crashes:
            for crash in self.crashes.values():
                for part in parts:
                    crash.sent_at.pop(part, None)
                    crash.fingerprints.discard(part)
            self._list_suspects()
        if self.quarantines:
            yield from self._clear(parts)

    def _is_watched(self, fingerprint: str) -> bool:
        return fingerprint in self.suspects or (
            frozenset((fingerprint,)) in self.quarantines
        )

    def _list_suspects(self) -> None:
        self.suspects = frozenset(
            part
            for crash in self.crashes.values()
            for part in crash.sent_at
            if is_fingerprint(part)
        )

    def expire(self, now: float) -> Iterator[QuarantineEvent]:
        """Drop old crashes, and quarantines that no request has tried for long.

        :param now: current monotonic time in seconds.
        """
        for key, crash in list(self.crashes.items()):
            if now - crash.crashed_at >= CRASH_KEPT_S:
                del self.crashes[key]
                self._list_suspects()
        for parts, quarantine in list(self.quarantines.items()):
            if now - quarantine.until >= FORGOTTEN_AFTER_S:
                del self.quarantines[parts]
                detail = f"no request tried it for {FORGOTTEN_AFTER_S:g} s"
                yield build_event("forgotten", parts, detail, ended=parts)

    def list_sound(self, now: float, parts: Collection[str]) -> list[str]:
        """Return the parts of which an answer was completed recently.

        :param now: current monotonic time in seconds.
        :param parts: ids of the parts.
        """
        return [
            part
            for part in parts
            if now - self.sound_at.get(part, float("-inf")) < SOUND_S
        ]

    # Decisions.

    def find(self, parts: Collection[str]) -> Quarantine | None:
        """Return the quarantine that holds for a request, or None.

        :param parts: ids of the request's parts, and its fingerprint.
        """
        if not self.quarantines:
            return None
        held = set(parts)
        for quarantine in self.quarantines.values():
            if quarantine.parts <= held:
                return quarantine
        return None

    def try_begin_trial(self, now: float, quarantine: Quarantine) -> bool:
        """Return whether one request may be tried, as the quarantine is over.

        :param now: current monotonic time in seconds.
        :param quarantine: the quarantine that holds for the request.
        """
        if now < quarantine.until or now - quarantine.tried_at < TRIAL_INTERVAL_S:
            return False
        if quarantine.is_request and any(
            now - other.tried_at < TRIAL_SEPARATION_S
            for other in self.quarantines.values()
        ):
            return False
        quarantine.tried_at = now
        return True

    def record_trial(self, parts: frozenset[str], tried_at: float) -> None:
        """Record that another gateway tries a request.

        :param parts: ids of the quarantine's parts.
        :param tried_at: monotonic time at which the trial began.
        """
        quarantine = self.quarantines.get(parts)
        if quarantine is not None:
            quarantine.tried_at = max(quarantine.tried_at, tried_at)

    def compute_wait_s(self, now: float, quarantine: Quarantine) -> float:
        """Return the seconds until a request may be tried.

        :param now: current monotonic time in seconds.
        :param quarantine: the quarantine that holds for the request.
        """
        return max(
            quarantine.until - now,
            quarantine.tried_at + TRIAL_INTERVAL_S - now,
            MIN_WAIT_S,
        )

    def adopt(self, now: float, told: Quarantine) -> Iterator[QuarantineEvent]:
        """Adopt a quarantine of another gateway; yield an event if it is news.

        :param now: current monotonic time in seconds.
        :param told: the quarantine, as the other gateway or the store has it.
        """
        parts = told.parts.difference(self.list_sound(now, told.parts))
        if not parts or now - told.until >= FORGOTTEN_AFTER_S:
            return
        known = self.quarantines.get(parts)
        if known is not None:
            known.crashes = max(known.crashes, told.crashes)
            if told.until > known.until:
                known.until, known.duration_s = told.until, told.duration_s
            return
        if any(held <= parts for held in self.quarantines):
            return
        adopted = attrs.evolve(told, parts=parts, refused=0, began_at=now)
        self._add(adopted)
        self._explain_crashes(adopted)
        self._list_suspects()
        yield build_event("quarantined", parts, "another gateway found it")

    # Verdicts.

    def _convict_requests(self, now: float) -> Iterator[QuarantineEvent]:
        counts = Counter(
            part
            for crash in self.crashes.values()
            for part in crash.sent_at
            if is_fingerprint(part)
        )
        for fingerprint, count in counts.items():
            if count < GUILTY_CRASHES:
                continue
            quarantine = Quarantine(
                frozenset((fingerprint,)),
                count,
                now + FIRST_TRIAL_S,
                MIN_QUARANTINE_S / 2,
                began_at=now,
            )
            self._add(quarantine)
            self._explain_crashes(quarantine)
            detail = f"{count} engines crashed, no answer in between"
            yield build_event("quarantined", quarantine.parts, detail)

    def _explain_crashes(self, quarantine: Quarantine) -> None:
        for key, crash in list(self.crashes.items()):
            if quarantine.parts <= crash.sent_at.keys():
                self._mark_explained(key, crash, quarantine)

    def _convict(self, now: float) -> Iterator[QuarantineEvent]:
        while True:
            parts, count = self._find_guilty(now)
            if not parts:
                return
            duration_s = MIN_QUARANTINE_S
            quarantine = Quarantine(parts, count, now + duration_s, duration_s)
            self._add(quarantine)
            self._explain_crashes(quarantine)
            yield build_event(
                "quarantined",
                parts,
                f"{count} engines crashed one after the other, no answer in between; "
                f"refused for {duration_s:g} s",
            )

    def _find_guilty(self, now: float) -> tuple[frozenset[str], int]:
        """Return the parts against which most crashes speak, and their number."""
        counts, keys = self._count_crashes()
        suspects = {
            part: count
            for part, count in counts.items()
            if count >= self._get_needed_crashes(now, part)
            and not self._has_one_request(keys[part])
        }
        if not suspects:
            return frozenset(), 0
        most = max(suspects.values())
        leaders = [part for part, count in suspects.items() if count == most]
        leaders.sort(key=lambda part: len(keys[part]), reverse=True)
        group = frozenset(part for part in leaders if keys[part] == keys[leaders[0]])
        if len(group) < len(leaders) and most < AMBIGUOUS_CRASHES:
            return frozenset(), 0
        return group, most

    def _count_crashes(self) -> tuple[dict[str, int], dict[str, list[int]]]:
        counts: dict[str, int] = {}
        counted_at: dict[str, float] = {}
        keys: dict[str, list[int]] = {}
        ordered = sorted(self.crashes.items(), key=lambda item: item[1].crashed_at)
        for key, crash in ordered:
            for part, sent_at in crash.sent_at.items():
                if is_fingerprint(part):
                    continue
                keys.setdefault(part, []).append(key)
                if sent_at > counted_at.get(part, float("-inf")):
                    counts[part] = counts.get(part, 0) + 1
                    counted_at[part] = crash.crashed_at
        return counts, keys

    def _has_one_request(self, keys: Collection[int]) -> bool:
        """Return whether one request is in all of some crashes."""
        return bool(set.intersection(*(self.crashes[key].fingerprints for key in keys)))

    def _get_needed_crashes(self, now: float, part: str) -> int:
        if self.list_sound(now, [part]):
            return GUILTY_CRASHES_IF_SOUND
        return GUILTY_CRASHES

    def _explain_crash(
        self, now: float, engine_key: int, crash: EngineCrash
    ) -> Iterator[QuarantineEvent]:
        for quarantine in list(self.quarantines.values()):
            if not quarantine.parts <= crash.sent_at.keys():
                continue
            quarantine.crashes += 1
            sent_at = max(crash.sent_at[part] for part in quarantine.parts)
            self._mark_explained(engine_key, crash, quarantine)
            is_trial = crash.crashed_at > quarantine.until
            if quarantine.is_request and (
                not is_trial or sent_at <= quarantine.began_at
            ):
                # It was on its way as the quarantine began.
                continue
            if is_trial:
                quarantine.duration_s = compute_next_duration_s(quarantine)
                detail = f"tried again; refused for {quarantine.duration_s:g} s"
                yield build_event("quarantined", quarantine.parts, detail)
            quarantine.until = max(
                quarantine.until, crash.crashed_at + quarantine.duration_s
            )
            if not quarantine.is_request:
                return

    def _mark_explained(
        self, engine_key: int, crash: EngineCrash, quarantine: Quarantine
    ) -> None:
        if quarantine.is_request:
            # Other requests stay suspect: the crash may speak against one of them.
            for part in quarantine.parts:
                del crash.sent_at[part]
            return
        self.crashes.pop(engine_key, None)
        self.explained[engine_key] = None
        while len(self.explained) > MAX_CRASHES:
            self.explained.popitem(last=False)

    def _add(self, quarantine: Quarantine) -> None:
        if len(self.quarantines) >= MAX_QUARANTINES:
            first = min(self.quarantines.values(), key=lambda held: held.until)
            del self.quarantines[first.parts]
        self.quarantines[quarantine.parts] = quarantine

    def _clear(self, parts: Collection[str]) -> Iterator[QuarantineEvent]:
        for held, quarantine in list(self.quarantines.items()):
            left = held.difference(parts)
            if left == held:
                continue
            del self.quarantines[held]
            if not left:
                detail = f"an answer was completed; {quarantine.refused} refused here"
                yield build_event("released", held, detail, ended=held)
            elif left not in self.quarantines:
                self._add(attrs.evolve(quarantine, parts=left))
                detail = "an answer cleared the other parts"
                yield build_event("quarantined", left, detail, ended=held)

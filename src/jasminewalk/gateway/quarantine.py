"""Crashes of engines, quarantines for what caused them, and their events."""

import attrs

from jasminewalk.gateway.request_fingerprint import is_fingerprint

__all__ = [
    "MAX_QUARANTINE_S",
    "MAX_TRIALS",
    "MIN_QUARANTINE_S",
    "UNTRIED_QUARANTINE_S",
    "EngineCrash",
    "Quarantine",
    "QuarantineEvent",
    "build_event",
    "compute_next_duration_s",
]

# Seconds of the first quarantine; doubled with each trial that crashes an engine.
MIN_QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 3600.0
# Trials of a request.
MAX_TRIALS = 3
# Seconds of the quarantine of a request after its last trial.
UNTRIED_QUARANTINE_S = 86_400.0


@attrs.define
class EngineCrash:
    """Crash of one incarnation of an engine, and what may have caused it.

    :param crashed_at: monotonic time at which the crash was noticed.
    :param sent_at: monotonic time at which the last request with a part was sent to the
        engine, by the part's id or the request's fingerprint.
    :param fingerprints: those of all requests that the engine ran, also if one of them
        is in quarantine for the crash.
    """

    crashed_at: float
    sent_at: dict[str, float] = attrs.field(factory=dict)
    fingerprints: set[str] = attrs.field(factory=set)

    def count_parts(self) -> int:
        """Return how many parts of prompts may have caused it."""
        return sum(not is_fingerprint(part) for part in self.sent_at)


@attrs.define
class Quarantine:
    """Parts whose requests are refused, or a request, because they crashed engines.

    Several parts are in one quarantine if the same crashes speak against all of them;
    then only requests that have all of them are refused.

    :param parts: ids of the parts, or the fingerprint of the request.
    :param crashes: engines that crashed under them.
    :param until: monotonic time from which a request with them may be tried.
    :param duration_s: length of the quarantine in seconds.
    :param tried_at: monotonic time of the last trial.
    :param refused: requests that this gateway refused.
    :param began_at: monotonic time at which it began at this gateway.
    """

    parts: frozenset[str]
    crashes: int
    until: float
    duration_s: float
    tried_at: float = float("-inf")
    refused: int = 0
    began_at: float = float("-inf")

    @property
    def is_request(self) -> bool:
        """Whether it is for a whole request."""
        return any(map(is_fingerprint, self.parts))


@attrs.frozen
class QuarantineEvent:
    """A change of the quarantine, for the log and the store.

    :param event: name of the log event.
    :param parts: ids of the parts.
    :param detail: reason, with the inputs of the decision.
    :param ended: parts of the quarantine that ended or was replaced, if one was.
    """

    event: str
    parts: frozenset[str]
    detail: str
    ended: frozenset[str] = frozenset()


def build_event(
    event: str,
    parts: frozenset[str],
    detail: str,
    ended: frozenset[str] = frozenset(),
) -> QuarantineEvent:
    """Return an event of a part or request.

    :param event: what happened to it.
    :param parts: ids of the parts, or the fingerprint of the request.
    :param detail: reason, with the inputs of the decision.
    :param ended: parts of the quarantine that ended or was replaced, if one was.
    """
    subject = "request" if any(map(is_fingerprint, parts)) else "part"
    return QuarantineEvent(f"{subject}_{event}", parts, detail, ended)


def compute_next_duration_s(quarantine: Quarantine) -> float:
    """Return the seconds of a quarantine after its trial crashed an engine.

    :param quarantine: the quarantine that was tried.
    """
    doubled_s = 2 * quarantine.duration_s
    if not quarantine.is_request:
        return min(MAX_QUARANTINE_S, doubled_s)
    is_last = doubled_s >= MIN_QUARANTINE_S * 2 ** (MAX_TRIALS - 1)
    return UNTRIED_QUARANTINE_S if is_last else doubled_s

"""Decide whose requests go first when organisations compete for too little engine time.

The load it answers: many organisations at all gateways, a few of them large, that
together ask for more engine time than there is, in bursts of single ones.
"""

import heapq
import math
from collections.abc import Iterable

import attrs
import xxhash

__all__ = ["FairShares", "compute_organisation_key"]

# Time constant in seconds with which use is forgotten. A burst is held against its
# organisation for about as long as callers wait.
MEMORY_S = 3.0
# Organisations of which one gateway tells the others; those with less use are below
# their share whatever the others add.
MAX_ANNOUNCED = 16
# Seconds between two computations of the fair share.
INTERVAL_S = 0.25
# Use above the fair share, relative to it, up to which an organisation counts as within
# it, as what gateways know of one another is late.
TOLERANCE = 0.1
# Organisations whose use is remembered at most.
MAX_REMEMBERED = 100_000
MS_PER_S = 1e3
# Share of the engines' time up to which they keep up with what is asked for.
USABLE_CAPACITY = 0.9
# Engine seconds below which what a peer announced no longer matters.
FORGOTTEN_S = 1e-3


def compute_organisation_key(name: str) -> int:
    """Return a 32-bit hash that stands for an organisation in messages.

    :param name: name of the organisation.
    """
    return xxhash.xxh32_intdigest(name.encode())


@attrs.define
class _Use:
    """Engine time of one organisation, which decays, as of a time."""

    asked_s: float = 0.0
    used_s: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self.at) / MEMORY_S)
        self.asked_s *= factor
        self.used_s *= factor
        self.at = now


class FairShares:
    """Compares the recent engine time of each organisation with its fair share.

    Engine time counts, not requests: what a prompt that must be read and the tokens to
    be made take at an engine of speed 1. The fair share is the level at which what
    organisations asked for, each cut at it, adds up to what the engines have; what one
    leaves goes to the others. Nobody is put back while the engines keep up.
    """

    def __init__(self) -> None:
        self.own: dict[int, _Use] = {}
        self.peers: dict[str, dict[int, _Use]] = {}
        self.level_s = math.inf
        self.computed_at = -math.inf
        self.used: dict[int, float] = {}

    def record_asked(self, now: float, name: str, engine_s: float) -> None:
        """Count the engine time that a request asks for, whether it gets it or not.

        :param now: current monotonic time in seconds.
        :param name: name of its organisation; empty if it has none.
        :param engine_s: seconds at an engine of speed 1.
        """
        if name:
            self._get_use(now, name).asked_s += engine_s

    def record_used(self, now: float, name: str, engine_s: float) -> None:
        """Count the engine time of a request that is sent to an engine.

        :param now: current monotonic time in seconds.
        :param name: name of its organisation; empty if it has none.
        :param engine_s: seconds at an engine of speed 1.
        """
        if name:
            self._get_use(now, name).used_s += engine_s

    def _get_use(self, now: float, name: str) -> _Use:
        key = compute_organisation_key(name)
        use = self.own.get(key)
        if use is None:
            if len(self.own) >= MAX_REMEMBERED:
                self._forget_least(now)
            use = self.own[key] = _Use(at=now)
        use.decay(now)
        return use

    def _forget_least(self, now: float) -> None:
        for use in self.own.values():
            use.decay(now)
        kept = heapq.nlargest(
            MAX_REMEMBERED // 2, self.own.items(), key=lambda item: item[1].asked_s
        )
        self.own = dict(kept)

    def announce(self, now: float) -> list[tuple[int, int, int]]:
        """Return the organisations that asked for most here.

        Each row has its key, and the milliseconds that it asked for and used.

        :param now: current monotonic time in seconds.
        """
        for use in self.own.values():
            use.decay(now)
        largest = heapq.nlargest(
            MAX_ANNOUNCED, self.own.items(), key=lambda item: item[1].asked_s
        )
        rows = (
            (key, round(use.asked_s * MS_PER_S), round(use.used_s * MS_PER_S))
            for key, use in largest
        )
        return [row for row in rows if row[1]]

    def apply(
        self, now: float, node: str, rows: Iterable[tuple[int, int, int]]
    ) -> None:
        """Replace what a peer announced.

        :param now: current monotonic time in seconds.
        :param node: name of its instance.
        :param rows: organisations, and the milliseconds that they asked for and used.
        """
        self.peers[node] = {
            key: _Use(asked_ms / MS_PER_S, used_ms / MS_PER_S, now)
            for key, asked_ms, used_ms in rows
        }

    def is_over(self, now: float, name: str, capacity: float) -> bool:
        """Return whether an organisation has used more than its share of late.

        :param now: current monotonic time in seconds.
        :param name: name of the organisation; empty if there is none.
        :param capacity: engine seconds per second that there are, at speed 1.
        """
        if not name:
            return False
        if not 0 <= now - self.computed_at < INTERVAL_S:
            self._compute(now, capacity)
        used_s = self.used.get(compute_organisation_key(name), 0.0)
        return used_s > (1 + TOLERANCE) * self.level_s

    def _compute(self, now: float, capacity: float) -> None:
        self.computed_at = now
        asked: dict[int, float] = {}
        self.used = {}
        for node, uses in [("", self.own), *self.peers.items()]:
            for key, use in uses.items():
                use.decay(now)
                asked[key] = asked.get(key, 0.0) + use.asked_s
                self.used[key] = self.used.get(key, 0.0) + use.used_s
            if node and not any(use.asked_s > FORGOTTEN_S for use in uses.values()):
                del self.peers[node]
        # What decays with this time constant settles at the rate times it.
        available_s = USABLE_CAPACITY * capacity * MEMORY_S
        self.level_s = compute_fair_level(asked.values(), available_s)


def compute_fair_level(uses: Iterable[float], available: float) -> float:
    """Return the level at which uses that are cut at it add up to what is available.

    Return infinity if all of them together are not more than that.

    >>> compute_fair_level([1.0, 2.0, 9.0], 9.0)
    6.0
    >>> compute_fair_level([1.0, 2.0], 9.0)
    inf

    :param uses: use of each organisation.
    :param available: what there is to share, in the same unit.
    """
    ranked = sorted(uses)
    left = available
    for position, use in enumerate(ranked):
        level = left / (len(ranked) - position)
        if use > level:
            return level
        left -= use
    return math.inf

"""Limit that an engine sets on the requests from all gateways together."""

import math
from collections.abc import Collection

import attrs
import xxhash

__all__ = ["RequestLimit", "compute_share"]

# Number of gateways that may share a limit: this many, and one more for each request
# per second. Each may have saved up one request, so fewer gateways mean a smaller
# burst.
MIN_SENDERS = 3
# Requests per second that are sent even if the limit is lower, because only a response
# shows that it ended.
MIN_RATE_PER_S = 0.1
# Seconds of its share that a gateway may save up, but at least one request.
MAX_SAVED_S = 0.5


@attrs.define
class RequestLimit:
    """Rate of requests that an engine takes from all gateways together.

    A gateway spends its share from a token bucket. Every request that it sends takes a
    token, of whatever kind it is.

    >>> limit = RequestLimit()
    >>> limit.observe(4.0, at=10.0)
    True
    >>> limit.assign_share(10.0, 2.0)
    >>> limit.has_room(10.0), limit.compute_wait_s(10.0), limit.has_room(10.5)
    (False, 0.5, True)

    :param per_s: requests per second; None while the engine names no limit.
    :param observed_at: monotonic time at which this was known to hold.
    :param share_per_s: requests per second that this gateway may send.
    :param tokens: requests that it may send now; negative if it sent too many.
    :param refilled_at: monotonic time up to which tokens were added.
    """

    per_s: float | None = None
    observed_at: float = float("-inf")
    share_per_s: float = 0.0
    tokens: float = 0.0
    refilled_at: float = float("-inf")

    def observe(self, per_s: float | None, at: float) -> bool:
        """Record what the engine said; return whether that changed the limit.

        :param per_s: requests per second; None if the engine named no limit.
        :param at: monotonic time at which that held; an older observation than the
            last is ignored.
        """
        if at < self.observed_at or (per_s is None and self.per_s is None):
            return False
        self.observed_at = at
        if per_s == self.per_s:
            return False
        if self.per_s is None:
            self.share_per_s = self.tokens = 0.0
        elif per_s is not None:
            self.share_per_s = min(self.share_per_s, per_s)
        self.per_s = per_s
        return True

    def assign_share(self, now: float, share_per_s: float) -> None:
        """Set the share of this gateway.

        :param now: current monotonic time in seconds.
        :param share_per_s: requests per second.
        """
        self._refill(now)
        self.share_per_s = share_per_s

    def has_room(self, now: float) -> bool:
        """Return whether this gateway may send a request.

        :param now: current monotonic time in seconds.
        """
        if self.per_s is None:
            return True
        self._refill(now)
        return self.tokens >= 1.0

    def compute_wait_s(self, now: float) -> float:
        """Return the seconds until this gateway may send a request.

        :param now: current monotonic time in seconds.
        """
        if self.has_room(now):
            return 0.0
        missing = 1.0 - self.tokens
        return missing / self.share_per_s if self.share_per_s > 0 else math.inf

    def take(self, now: float) -> None:
        """Count a request that this gateway sends.

        :param now: current monotonic time in seconds.
        """
        if self.per_s is not None:
            self._refill(now)
            self.tokens -= 1.0

    def _refill(self, now: float) -> None:
        if now > self.refilled_at > float("-inf"):
            max_tokens = max(1.0, MAX_SAVED_S * self.share_per_s)
            added = self.share_per_s * (now - self.refilled_at)
            self.tokens = min(max_tokens, self.tokens + added)
        self.refilled_at = max(self.refilled_at, now)


def compute_share(
    per_s: float, engine_key: int, node: str, members: Collection[str]
) -> float:
    """Return the share of a limit that one gateway may use, in requests per second.

    A few gateways, chosen by a hash for each engine, share the limit equally; the
    others send the engine nothing while it has a limit.

    :param per_s: limit of the engine in requests per second.
    :param engine_key: hash that identifies the engine's incarnation.
    :param node: name of the gateway.
    :param members: names of all gateways, with this one.
    """
    per_s = max(per_s, MIN_RATE_PER_S)
    senders = min(len(members), MIN_SENDERS + int(per_s))
    own_hash = _compute_sender_hash(engine_key, node)
    rank = sum(_compute_sender_hash(engine_key, name) < own_hash for name in members)
    return per_s / senders if rank < senders else 0.0


def _compute_sender_hash(engine_key: int, node: str) -> tuple[int, str]:
    return xxhash.xxh32_intdigest(f"{engine_key} {node}".encode()), node

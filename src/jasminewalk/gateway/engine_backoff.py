"""Time for which an engine wants no requests from this gateway."""

import attrs

__all__ = ["EngineBackoff"]

# Seconds over which the requests in flight may grow to the engine's slots after the
# time has ended.
RETURN_S = 1.0


@attrs.define
class EngineBackoff:
    """Time during which nothing is sent to an engine, and the return of traffic.

    An engine names the time when it turns a request away; it holds for this gateway
    only. Afterwards one request may be in flight, and more and more over the time of
    return, so that requests that waited for the engine do not arrive all at once.

    >>> backoff = EngineBackoff()
    >>> backoff.extend(10.0, 2.0)
    True
    >>> backoff.compute_wait_s(10.5, requests=0, slots=16)
    1.5
    >>> backoff.compute_wait_s(12.0, requests=0, slots=16)
    0.0

    :param until: monotonic time up to which nothing is sent.
    """

    until: float = float("-inf")

    def extend(self, now: float, wait_s: float) -> bool:
        """Record what the engine asked for; return whether the time ends later now.

        :param now: current monotonic time in seconds.
        :param wait_s: seconds for which the engine wants no requests.
        """
        if now + wait_s <= self.until:
            return False
        self.until = now + wait_s
        return True

    def is_active(self, now: float) -> bool:
        """Return whether the engine wants nothing, not even control calls.

        :param now: current monotonic time in seconds.
        """
        return now < self.until

    def compute_wait_s(self, now: float, requests: int, slots: int) -> float:
        """Return the seconds until another request may be sent.

        :param now: current monotonic time in seconds.
        :param requests: requests of this gateway in flight at the engine.
        :param slots: number of requests that the engine runs concurrently.
        """
        if now < self.until:
            return self.until - now
        elapsed_s = now - self.until
        if elapsed_s >= RETURN_S:
            return 0.0
        needed_s = min(RETURN_S, requests * RETURN_S / slots)
        return max(0.0, needed_s - elapsed_s)

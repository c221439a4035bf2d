"""Learn how many requests at once an endpoint takes well, from what it answers.

The load it answers: endpoints of one service that differ, some of which slow down long
before the slots that they announce are full, and that change within seconds, seen by
any number of gateways at once.
"""

import math

import attrs

__all__ = ["LearntLimit"]

# Seconds over which latencies are averaged, and least requests in them.
WINDOW_S = 0.1
MIN_SAMPLES = 3
# Share of the callers' objective that an endpoint may take for its answer, and multiple
# of its latency without load, whichever is longer.
OBJECTIVE_SHARE = 0.5
IDLE_FACTOR = 2.0
# Requests at once up to which the latency is that without load.
IDLE_REQUESTS = 2
# Weight of the newest window in the latency without load.
IDLE_WEIGHT = 0.5
# Bounds of one decrease; it aims a bit below what is allowed.
MIN_DECREASE, MAX_DECREASE = 0.3, 0.9
AIM = 0.8
# Each time a request in flight has waited this much longer, the limit falls again.
OVERDUE_GROWTH = 1.6
INCREASE_FACTOR, INCREASE = 1.15, 0.5
# The increase while the latency is hardly longer than without load.
FAST_INCREASE_FACTOR, FAST_INCREASE = 1.4, 1.0
UNLOADED_FACTOR = 1.3
# Share of the limit that must be in use for the endpoint to prove that it takes more,
# and share of the allowed latency up to which it does.
USED_SHARE = 0.6
SOUND_SHARE = 0.8
# Seconds for which what a peer learnt counts.
PEER_MEMORY_S = 2.0
# Seconds until a peer tells of an answer.
PEER_DELAY_S = 0.1
# Gateways that see each other's requests soon enough; more of them each keep to their
# part of the rate that the limit allows, with some more as their demand differs, of
# which they may save so many seconds.
FEW_GATEWAYS = 2
SHARE_HEADROOM = 1.2
SAVED_S = 0.1
MIN_LIMIT = 1.0


@attrs.define
class _Window:
    """Requests that ended since a time."""

    since: float = 0.0
    count: int = 0
    seconds: float = 0.0
    at_once: float = 0.0

    def add(self, now: float, count: int, seconds: float, at_once: float) -> None:
        if not self.count:
            self.since = now
        self.count += count
        self.seconds += seconds
        self.at_once = max(self.at_once, at_once)

    @property
    def latency_s(self) -> float:
        return self.seconds / self.count


@attrs.define
class LearntLimit:
    """Limit on the requests at once of one endpoint, from all gateways together.

    There is none until the endpoint is found to slow down before it is full: answers
    take more of the callers' objective than they may, though no more requests run than
    it has slots, or more than the queue behind its slots explains. The limit falls to
    where the latency would do if it grew with the square of the load, rises while the
    endpoint uses it and answers in time, and ends at the slots.

    An endpoint that is slow without load, too, takes no fewer requests for that: once
    the limit is so low that this shows, its latency without load counts as its usual
    one, and the limit rises again.

    :param slots: requests at once that the endpoint announces.
    :param limit: requests at once that it takes well; None if nothing is known against
        its slots.
    :param idle_s: latency without load in seconds; 0 before it was seen.
    :param changed_at: monotonic time of the last change; only requests that were sent
        later tell of it.
    :param overdue_s: longest wait of a request in flight that was counted since then.
    :param judged_at: monotonic time at which answers last told of the endpoint.
    :param objective_s: objective of the last request that was answered, in seconds.
    :param latency_s: mean latency of the last window, in seconds.
    :param peers: limit that each peer learnt, and when it said so.
    :param window: answers that were not judged yet.
    :param untold: answers of which the peers were not told yet.
    :param tokens: requests that this gateway may send within its part of the rate.
    :param refilled_at: monotonic time up to which tokens were added.
    """

    slots: int
    limit: float | None = None
    idle_s: float = 0.0
    changed_at: float = -math.inf
    overdue_s: float = 0.0
    judged_at: float = -math.inf
    objective_s: float = 0.0
    latency_s: float = 0.0
    peers: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    window: _Window = attrs.field(factory=_Window)
    untold: _Window = attrs.field(factory=_Window)
    tokens: float = 1.0
    refilled_at: float = -math.inf

    def record(
        self,
        now: float,
        sent_at: float,
        latency_s: float,
        at_once: int,
        objective_s: float,
    ) -> bool:
        """Record an answer; return whether the limit changed.

        :param now: current monotonic time in seconds.
        :param sent_at: monotonic time at which the request was sent.
        :param latency_s: seconds until its answer.
        :param at_once: requests at the endpoint when it was sent, with this one.
        :param objective_s: seconds in which its caller wants the answer.
        """
        if sent_at < self.changed_at:
            return False
        self.overdue_s = 0.0
        self.objective_s = objective_s
        self.untold.add(now, 1, latency_s, at_once)
        return self._add(now, 1, latency_s, at_once, objective_s)

    def _add(
        self, now: float, count: int, seconds: float, at_once: float, objective_s: float
    ) -> bool:
        window = self.window
        window.add(now, count, seconds, at_once)
        if window.count < MIN_SAMPLES or now - window.since < WINDOW_S:
            return False
        self.window = _Window()
        return self._judge(now, window.latency_s, window.at_once, objective_s)

    def record_overdue(
        self, now: float, oldest_sent_at: float, at_once: int, objective_s: float
    ) -> bool:
        """Record that a request waits for its answer; return whether the limit changed.

        :param now: current monotonic time in seconds.
        :param oldest_sent_at: monotonic time at which the request in flight that was
            sent first was sent.
        :param at_once: requests at the endpoint now.
        :param objective_s: seconds in which callers want the answers.
        """
        waited_s = now - oldest_sent_at
        allowed_s = self._compute_allowed_s(at_once, objective_s)
        if waited_s < max(allowed_s, OVERDUE_GROWTH * self.overdue_s):
            return False
        self.overdue_s = waited_s
        return self._lower(now, waited_s, at_once, allowed_s)

    def _compute_allowed_s(self, at_once: float, objective_s: float) -> float:
        """Return the latency of an endpoint that takes the load well.

        Requests that wait behind its slots explain more, up to the objective.
        """
        idle_s = IDLE_FACTOR * self.idle_s
        allowed_s = max(OBJECTIVE_SHARE * objective_s, idle_s)
        queued_s = allowed_s * max(1.0, at_once / self.slots)
        return min(queued_s, max(objective_s, idle_s))

    def _judge(
        self, now: float, latency_s: float, at_once: float, objective_s: float
    ) -> bool:
        self.judged_at, self.latency_s = now, latency_s
        if at_once <= IDLE_REQUESTS or latency_s < self.idle_s:
            self.idle_s += IDLE_WEIGHT * (latency_s - self.idle_s)
        allowed_s = self._compute_allowed_s(at_once, objective_s)
        if latency_s > allowed_s:
            return self._lower(now, latency_s, at_once, allowed_s)
        known = self.compute(now)
        if (
            math.isfinite(known)
            and latency_s <= SOUND_SHARE * allowed_s
            and at_once >= min(USED_SHARE * known, known - 1)
        ):
            raised = INCREASE_FACTOR * known + INCREASE
            if latency_s <= UNLOADED_FACTOR * self.idle_s:
                raised = FAST_INCREASE_FACTOR * known + FAST_INCREASE
            # All slots must have been in use before there is no limit again.
            is_proven = at_once >= self.slots
            return self._change(now, None if is_proven else min(self.slots, raised))
        return False

    def _lower(
        self, now: float, latency_s: float, at_once: float, allowed_s: float
    ) -> bool:
        self.judged_at = now
        if at_once <= MIN_LIMIT:
            return False
        factor = math.sqrt(AIM * allowed_s / latency_s)
        factor = min(MAX_DECREASE, max(MIN_DECREASE, factor))
        known = self.compute(now)
        lowered = max(MIN_LIMIT, min(known, at_once, self.slots) * factor)
        return lowered < known and self._change(now, lowered)

    def _change(self, now: float, limit: float | None) -> bool:
        changed = limit != self.limit
        self.limit, self.changed_at = limit, now
        self.window = _Window()
        return changed

    def announce(self, now: float) -> tuple[float, int, float, float] | None:
        """Return what to tell the peers; None if there is nothing to tell.

        That is the limit, and of the answers since the last call their number, the sum
        of their latencies in seconds, and the most requests at once.

        :param now: current monotonic time in seconds.
        """
        told, self.untold = self.untold, _Window()
        if self.limit is None and not self.peers:
            return None
        if not told.count and now - self.judged_at > PEER_MEMORY_S:
            return None
        limit = float(self.slots) if self.limit is None else self.limit
        return limit, told.count, told.seconds, told.at_once

    def record_peer(
        self,
        now: float,
        node: str,
        row: tuple[float, int, float, float],
    ) -> bool:
        """Record what a peer told; return whether the limit changed.

        :param now: current monotonic time in seconds.
        :param node: name of its instance.
        :param row: what its ``announce`` returned.
        """
        limit, count, seconds, at_once = row
        self.peers[node] = limit, now
        if not count or not self.objective_s:
            return False
        if now - self.changed_at < seconds / count + PEER_DELAY_S:
            return False
        return self._add(now, count, seconds, at_once, self.objective_s)

    def compute(self, now: float) -> float:
        """Return the requests at once that the endpoint takes; infinite if any.

        That is the mean of what the gateways found that lately had answers of it. If
        none had any, the last limit of this one holds.

        :param now: current monotonic time in seconds.
        """
        known = []
        for node, (limit, at) in list(self.peers.items()):
            if now - at > PEER_MEMORY_S:
                del self.peers[node]
            else:
                known.append(limit)
        if not known:
            return math.inf if self.limit is None else self.limit
        if now - self.judged_at <= PEER_MEMORY_S:
            known.append(self.slots if self.limit is None else self.limit)
        return sum(known) / len(known)

    def has_room(self, now: float, at_once: int, gateways: int = 1) -> bool:
        """Return whether the endpoint takes another request.

        Many gateways that see each other's requests late would all send at once. So
        each then also keeps to its part of the rate that follows from the limit and
        the latency.

        :param now: current monotonic time in seconds.
        :param at_once: requests at the endpoint, from all gateways as far as known.
        :param gateways: number of the gateways.
        """
        limit = self.compute(now)
        if math.isinf(limit):
            return True
        if gateways > FEW_GATEWAYS:
            self._refill(now, limit, gateways)
            if self.tokens < 1.0:
                return False
        # One is let through if it has none, as only answers tell that it recovered.
        return not at_once or at_once + 1 <= limit

    def _refill(self, now: float, limit: float, gateways: int) -> None:
        rate = SHARE_HEADROOM * limit / max(0.001, self.latency_s) / gateways
        elapsed_s = max(0.0, now - self.refilled_at)
        most = max(1.0, SAVED_S * rate)
        self.tokens = min(most, self.tokens + elapsed_s * rate)
        self.refilled_at = now

    def take(self) -> None:
        """Count a request that this gateway sends the endpoint."""
        self.tokens = max(0.0, self.tokens - 1.0)

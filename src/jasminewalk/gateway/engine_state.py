"""State of one engine as one gateway knows it: load, speed, health, limits."""

import math
from collections import deque

import attrs
import xxhash

from jasminewalk.gateway.capacity import LearntLimit
from jasminewalk.gateway.engine_backoff import EngineBackoff
from jasminewalk.gateway.peer_sums import Load, PeerLoads, PeerSpeeds
from jasminewalk.gateway.prompt_cache import PromptCache
from jasminewalk.gateway.request_limit import RequestLimit
from jasminewalk.platform.registry import EngineEntry

__all__ = ["SENT_WINDOW_S", "EngineState", "Outcomes"]

# Weight of the newest outcome in an engine's moving average of failures.
FAILURE_WEIGHT = 0.08
# Time constant in seconds with which a failure rate decays, so that an engine that
# recovered gets requests again.
FAILURE_DECAY_S = 4.0
# Failure rate up to which an engine counts as healthy.
ACCEPTED_FAILURE_RATE = 0.1
# Weight of the newest observation in the moving averages of latency and residence time.
LATENCY_WEIGHT = 0.15
# Bounds of a speed sample, relative to the reference engine.
MIN_SPEED, MAX_SPEED = 0.1, 6.0
# Speed samples kept per engine, and the quantile of them that is used. It is above the
# median because concurrent requests make an engine look slower, never faster.
MAX_SPEED_SAMPLES = 9
SPEED_QUANTILE = 0.7
# Initial estimate of the seconds that a stream occupies a slot.
DEFAULT_RESIDENCE_S = 0.15
# Window in seconds over which requests to an engine are counted.
SENT_WINDOW_S = 4.0
# Initial estimate of the seconds that a plain request takes.
DEFAULT_LATENCY_S = 0.06


@attrs.define
class Outcomes:
    """Counts of requests that ended at an engine.

    :param ended: requests that ended.
    :param failed: how many of them the engine failed.
    """

    ended: int = 0
    failed: int = 0


@attrs.define(eq=False)
class EngineState:
    """State of one engine as this gateway knows it.

    :param entry: registry entry of its present incarnation.
    :param cache: estimate of the prompt parts in its cache.
    :param own_load: load from this gateway.
    :param peer_loads: loads that the peers announced, by name of the gateway.
    :param speeds: latest speed samples of this gateway, oldest first.
    :param peer_speeds: speed and number of samples of each peer.
    :param latency_s: moving average of the seconds that a plain request takes.
    :param failure_rate: moving average of the share of requests that failed, over all
        gateways.
    :param unannounced_outcomes: outcomes at this gateway since its last message.
    :param logged_failing: whether the log last reported its failure rate as too high.
    :param suspect_until: monotonic time up to which it is avoided.
    :param suspected_at: monotonic time at which it was last suspected.
    :param start_confirmed_at: latest monotonic time at which its process is known to
        be the start that its entry names.
    :param failures: consecutive failures, not counting any while it is avoided.
    :param expires_at: monotonic time at which an engine without a registry entry is
        dropped; None while it has one.
    :param unreadable: whether its newest entry can't be read, so that it names no
        engine to use.
    :param changing_until: monotonic time up to which a change of its stage makes it
        unavailable.
    :param last_progress_at: monotonic time at which it last sent this gateway any data.
    :param residence_s: moving average of the seconds that a stream occupies a slot.
    :param limit: limit on its requests from all gateways together.
    :param sent_times: monotonic times of the latest requests of this gateway, oldest
        first.
    :param said_leaving: whether a response, or a peer that had one, said that this
        incarnation is leaving.
    :param backoff: time for which it wants nothing from this gateway.
    :param held_until: monotonic time up to which it gets nothing because only an older
        copy of the store lists it.
    :param in_flight: monotonic times at which plain requests that were not answered
        were sent, oldest first, by a number.
    :param learnt: how many plain requests at once it was found to take well.
    :param key: 32-bit hash that identifies its incarnation in messages.
    """

    entry: EngineEntry
    cache: PromptCache
    own_load: Load = attrs.field(factory=Load)
    peer_loads: PeerLoads = attrs.field(factory=PeerLoads)
    speeds: deque[float] = attrs.field(factory=lambda: deque(maxlen=MAX_SPEED_SAMPLES))
    peer_speeds: PeerSpeeds = attrs.field(factory=PeerSpeeds)
    latency_s: float = DEFAULT_LATENCY_S
    failure_rate: float = 0.0
    unannounced_outcomes: Outcomes = attrs.field(factory=Outcomes)
    logged_failing: bool = False
    suspect_until: float = 0.0
    suspected_at: float = float("-inf")
    start_confirmed_at: float = float("-inf")
    failures: int = 0
    expires_at: float | None = None
    unreadable: bool = False
    changing_until: float = 0.0
    last_progress_at: float = float("-inf")
    residence_s: float = DEFAULT_RESIDENCE_S
    limit: RequestLimit = attrs.field(factory=RequestLimit)
    sent_times: deque[float] = attrs.field(factory=deque)
    said_leaving: bool = False
    backoff: EngineBackoff = attrs.field(factory=EngineBackoff)
    held_until: float = float("-inf")
    in_flight: dict[int, float] = attrs.field(factory=dict)
    learnt: LearntLimit = attrs.field(init=False)
    key: int = attrs.field(init=False)

    @learnt.default
    def _create_learnt(self) -> LearntLimit:
        return LearntLimit(max(1, self.entry.slots))

    @key.default
    def _compute_key(self) -> int:
        identity = f"{self.entry.engine_id} {self.entry.started_ms}"
        return xxhash.xxh32_intdigest(identity.encode())

    @property
    def leaving(self) -> bool:
        """Whether it is leaving, by its registry entry or by what it said."""
        return self.entry.leaving or self.said_leaving

    @property
    def may_end(self) -> bool:
        """Whether its process may end by itself: it leaves, or no entry names it."""
        return self.leaving or self.unreadable or self.expires_at is not None

    @property
    def requests(self) -> int:
        """Requests in flight from all gateways."""
        return self.own_load.requests + self.peer_loads.requests

    @property
    def prefill_s(self) -> float:
        """Prefill left for all gateways, in seconds on an engine of speed 1."""
        return self.own_load.prefill_s + self.peer_loads.prefill_s

    @property
    def own_speed(self) -> float:
        """Speed measured by this gateway; 1 without samples."""
        if not self.speeds:
            return 1.0
        ranked = sorted(self.speeds)
        return ranked[int(SPEED_QUANTILE * (len(ranked) - 1) + 0.5)]

    @property
    def speed(self) -> float:
        """Speed relative to the reference engine, averaged over all gateways."""
        own_samples = len(self.speeds)
        total_samples = self.peer_speeds.samples + own_samples
        if not total_samples:
            return 1.0
        weighted = self.peer_speeds.weighted_hundredths / 100
        weighted += self.own_speed * own_samples
        return weighted / total_samples

    def compute_backoff_wait_s(self, now: float) -> float:
        """Return the seconds until it takes another request after it turned some away.

        :param now: current monotonic time in seconds.
        """
        return self.backoff.compute_wait_s(
            now, self.own_load.requests, self.entry.slots
        )

    def observe_prefill(self, expected_s: float, elapsed_s: float) -> None:
        """Add a speed sample from a prefill that did not wait for other requests.

        :param expected_s: seconds that an engine of speed 1 takes.
        :param elapsed_s: seconds that this engine took.
        """
        speed = expected_s / max(elapsed_s, 1e-4)
        self.speeds.append(min(MAX_SPEED, max(MIN_SPEED, speed)))

    def observe_latency(self, elapsed_s: float) -> None:
        """Update the average latency of plain requests.

        :param elapsed_s: seconds that the request took.
        """
        self.latency_s += LATENCY_WEIGHT * (elapsed_s - self.latency_s)

    def observe_residence(self, observed_s: float) -> None:
        """Update the average time that a stream occupies a slot.

        :param observed_s: seconds that the stream occupied a slot.
        """
        self.residence_s += LATENCY_WEIGHT * (observed_s - self.residence_s)

    def record_sent(self, now: float) -> None:
        """Count a request that this gateway sends the engine.

        :param now: current monotonic time in seconds.
        """
        self.limit.take(now)
        self.learnt.take()
        self.sent_times.append(now)
        while self.sent_times[0] <= now - SENT_WINDOW_S:
            self.sent_times.popleft()

    def count_sent(self, now: float) -> int:
        """Return how many requests this gateway sent the engine in the window.

        :param now: current monotonic time in seconds.
        """
        return sum(sent_at > now - SENT_WINDOW_S for sent_at in self.sent_times)

    def copy_estimates(self, previous: "EngineState") -> None:
        """Copy the estimates of the previous incarnation on the same machine.

        :param previous: state of the previous incarnation of the engine.
        """
        self.speeds, self.peer_speeds = previous.speeds, previous.peer_speeds
        self.latency_s, self.residence_s = previous.latency_s, previous.residence_s

    def record_outcome(self, failed: bool) -> None:
        """Count the outcome of one request of this gateway.

        :param failed: whether the engine failed a request that it should have served.
        """
        self.unannounced_outcomes.ended += 1
        self.unannounced_outcomes.failed += failed
        self.update_failure_rate(Outcomes(1, int(failed)))

    def update_failure_rate(self, outcomes: Outcomes) -> None:
        """Update the failure rate with outcomes at this gateway or a peer.

        :param outcomes: counts of at least one request.
        """
        weight = 1.0 - (1.0 - FAILURE_WEIGHT) ** outcomes.ended
        share = outcomes.failed / outcomes.ended
        self.failure_rate += weight * (share - self.failure_rate)

    def decay_failure_rate(self, elapsed_s: float) -> None:
        """Decay the failure rate with time.

        :param elapsed_s: seconds since the last call.
        """
        self.failure_rate *= math.exp(-elapsed_s / FAILURE_DECAY_S)

    @property
    def excess_failure_rate(self) -> float:
        """Failure rate above the accepted one; 0 for a healthy engine."""
        return max(0.0, self.failure_rate - ACCEPTED_FAILURE_RATE)

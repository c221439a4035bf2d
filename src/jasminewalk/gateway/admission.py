"""Admission control for generations: admit, admit at low priority, or refuse."""

import attrs

__all__ = [
    "RESUMED_PRIORITY",
    "AdmissionDecision",
    "AdmissionPolicy",
    "Admitted",
    "Refused",
]

# Seconds of network transfer and first decode step, added to the time of the prefill.
FIRST_TOKEN_OVERHEAD_S = 0.035
# Engine priority of requests that will miss their objective; 0 is served first, so they
# run after all requests that can still meet theirs.
LATE_PRIORITY = 8
# Engine priority of requests in time whose organisation has used more than its share.
OVER_SHARE_PRIORITY = 7
# Engine priority of a stream that its caller already has part of.
RESUMED_PRIORITY = 0
# Engine priorities of requests that can meet their objective; 0 is left to resumed
# streams.
HIGHEST_IN_TIME_PRIORITY, LOWEST_IN_TIME_PRIORITY = 1, 6
# Bounds of the ``Retry-After`` header, in seconds.
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.1, 2.0


@attrs.frozen
class Admitted:
    """Decision to send a generation to an engine.

    :param priority: priority at the engine; 0 is served first.
    :param in_time: whether the generation is expected to meet its latency objective.
    """

    priority: int
    in_time: bool


@attrs.frozen
class Refused:
    """Decision to refuse a generation without running it.

    :param retry_after_s: seconds after which a retry is expected to be admitted.
    :param limit: limit that was exceeded: ``wait`` until the prefill,
        ``first_token``, or the ``share`` of the organisation.
    :param needed_s: predicted seconds that the limit is compared with.
    :param allowed_s: seconds that the limit allows.
    """

    retry_after_s: float
    limit: str = attrs.field(default="", eq=False)
    needed_s: float = attrs.field(default=0.0, eq=False)
    allowed_s: float = attrs.field(default=0.0, eq=False)

    @property
    def fields(self) -> dict[str, object]:
        """Fields of the log line."""
        return {
            "limit": self.limit,
            "needed_ms": round(self.needed_s * 1e3, 1),
            "allowed_ms": round(self.allowed_s * 1e3, 1),
        }


AdmissionDecision = Admitted | Refused


@attrs.define
class AdmissionPolicy:
    """Admits or refuses generations by their predicted time to the first token.

    Refusals limit bursts of prompts that the engines can't prefill in time. If all of
    them were sent, every one would miss its objective.

    :param max_wait_busy_s: longest queueing time at the engine, in seconds, for a
        request that will miss its objective, while prefill demand exceeds capacity.
        Engines run prefills in the order of arrival, so late requests would delay
        requests that can still meet their objective.
    :param max_wait_s: the same limit while the engines keep up with demand on average.
    :param late_wait_per_prefill: the same limit as a multiple of the prefill of the
        whole prompt, if that is longer. A long prompt misses its objective after a wait
        that a short one can bear, so one limit for all would refuse long prompts alone.
        What an engine has cached of it counts, too: elsewhere it had to be computed.
    :param over_share_wait: longest wait of a request whose organisation has used more
        than its share, as a share of the time to its objective. The rest of that time
        is left to the others, for whom its work counts as waiting.
    :param late_disaggregated_share: largest share of the time to the deadline that a
        late request may use until its first token, if its prefill runs on a separate
        engine.
    :param late_local_share: the same limit if one engine runs prefill and decode; it is
        lower because the prefill delays the tokens of all other streams on the engine.
    """

    max_wait_busy_s: float = 0.3
    max_wait_s: float = 1.2
    late_wait_per_prefill: float = 1.0
    over_share_wait: float = 0.3
    late_disaggregated_share: float = 0.45
    late_local_share: float = 0.12

    def decide(
        self,
        predicted_s: float,
        wait_s: float,
        objective_remaining_s: float,
        remaining_s: float,
        patience_remaining_s: float,
        rank: int,
        *,
        disaggregated: bool,
        busy: bool,
        whole_prefill_s: float = 0.0,
        organisation_rank: int | None = None,
        over_share: bool = False,
    ) -> AdmissionDecision:
        """Decide whether to admit a generation.

        :param predicted_s: predicted seconds until its decode can start.
        :param wait_s: part of ``predicted_s`` before the prefill starts.
        :param objective_remaining_s: seconds until its latency objective is missed.
        :param remaining_s: seconds until its deadline.
        :param patience_remaining_s: seconds until its caller abandons the request, if
            no event arrives before then.
        :param rank: rank of its route; 0 is the most urgent.
        :param disaggregated: whether prefill and decode run on different engines.
        :param busy: whether prefill demand exceeds the capacity of the engines.
        :param whole_prefill_s: seconds of prefill at the engine if it had nothing of
            the prompt cached.
        :param organisation_rank: rank of its organisation, which goes before that of
            its route; None if it has none.
        :param over_share: whether its organisation has used more than its fair share of
            engines that can't serve everyone.
        """
        first_token_s = predicted_s + FIRST_TOKEN_OVERHEAD_S
        if first_token_s <= objective_remaining_s:
            if not over_share:
                priority = _compute_priority(rank, organisation_rank)
                return Admitted(priority, in_time=True)
            if wait_s <= self.over_share_wait * objective_remaining_s:
                return Admitted(OVER_SHARE_PRIORITY, in_time=True)
        if over_share:
            allowed_s = self.over_share_wait * max(0.0, objective_remaining_s)
            return _refuse(wait_s - allowed_s, "share", wait_s, allowed_s)
        late_share = (
            self.late_disaggregated_share if disaggregated else self.late_local_share
        )
        wait_limit_s = max(
            self.max_wait_busy_s if busy else self.max_wait_s,
            self.late_wait_per_prefill * max(predicted_s - wait_s, whole_prefill_s),
        )
        latest_s = min(late_share * remaining_s, patience_remaining_s)
        if wait_s <= wait_limit_s and first_token_s <= latest_s:
            return Admitted(LATE_PRIORITY, in_time=False)
        excess_s = first_token_s - max(0.0, objective_remaining_s)
        if wait_s > wait_limit_s:
            return _refuse(excess_s, "wait", wait_s, wait_limit_s)
        return _refuse(excess_s, "first_token", first_token_s, latest_s)

    def decide_resumed(
        self,
        predicted_s: float,
        wait_s: float,
        remaining_s: float,
        patience_remaining_s: float,
    ) -> AdmissionDecision:
        """Decide whether to admit a stream that its caller resumes.

        After a fault many callers do so at once. Each has part of its stream, which a
        refusal would waste, and few tries, so load is no reason to refuse it. Engines
        admit it before what waits there.

        :param predicted_s: predicted seconds until its decode can start.
        :param wait_s: part of ``predicted_s`` before the prefill starts.
        :param remaining_s: seconds until its deadline.
        :param patience_remaining_s: seconds until its caller abandons the request.
        """
        event_s = predicted_s - wait_s + FIRST_TOKEN_OVERHEAD_S
        latest_s = min(remaining_s, patience_remaining_s)
        if event_s <= latest_s:
            return Admitted(RESUMED_PRIORITY, in_time=False)
        return _refuse(event_s - latest_s, "first_token", event_s, latest_s)


def _compute_priority(rank: int, organisation_rank: int | None) -> int:
    """Return the engine priority of a request in time.

    The engines' few priorities tell the ranks of organisations apart first, then the
    most urgent routes from all others.

    >>> [_compute_priority(rank, None) for rank in (0, 1, 2, 3)]
    [1, 3, 5, 6]
    >>> [_compute_priority(rank, 0) for rank in (0, 1, 2, 3)]
    [1, 2, 2, 2]
    >>> [_compute_priority(rank, 1) for rank in (0, 1, 2, 3)]
    [3, 4, 4, 4]
    """
    if organisation_rank is None:
        step = 2 * rank
    else:
        step = 2 * organisation_rank + min(1, rank)
    return min(LOWEST_IN_TIME_PRIORITY, HIGHEST_IN_TIME_PRIORITY + max(0, step))


def _refuse(excess_s: float, limit: str, needed_s: float, allowed_s: float) -> Refused:
    retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, excess_s))
    return Refused(retry_after_s, limit, needed_s, allowed_s)

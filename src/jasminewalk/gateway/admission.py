"""Admission control for generations: admit, admit at low priority, or refuse."""

import attrs

__all__ = ["AdmissionDecision", "AdmissionPolicy", "Admitted", "Refused"]

# Seconds of network transfer and first decode step, added to the time of the prefill.
FIRST_TOKEN_OVERHEAD_S = 0.035
# Engine priority of requests that will miss their objective; 0 is served first, so they
# run after all requests that can still meet theirs.
LATE_PRIORITY = 8
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
    """

    retry_after_s: float


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
    :param late_disaggregated_share: largest share of the time to the deadline that a
        late request may use until its first token, if its prefill runs on a separate
        engine.
    :param late_local_share: the same limit if one engine runs prefill and decode; it is
        lower because the prefill delays the tokens of all other streams on the engine.
    """

    max_wait_busy_s: float = 0.3
    max_wait_s: float = 1.2
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
        """
        first_token_s = predicted_s + FIRST_TOKEN_OVERHEAD_S
        if first_token_s <= objective_remaining_s:
            priority = min(LOWEST_IN_TIME_PRIORITY, HIGHEST_IN_TIME_PRIORITY + 2 * rank)
            return Admitted(priority, in_time=True)
        late_share = (
            self.late_disaggregated_share if disaggregated else self.late_local_share
        )
        wait_limit_s = self.max_wait_busy_s if busy else self.max_wait_s
        latest_s = min(late_share * remaining_s, patience_remaining_s)
        if wait_s <= wait_limit_s and first_token_s <= latest_s:
            return Admitted(LATE_PRIORITY, in_time=False)
        excess_s = first_token_s - max(0.0, objective_remaining_s)
        return Refused(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, excess_s)))

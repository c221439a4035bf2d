"""Decision whether a generation is sent now, sent behind others, or refused."""

import attrs

__all__ = ["AdmissionDecision", "AdmissionPolicy", "Admitted", "Refused"]

# Seconds that the network and a first token take besides reading the prompt.
FIRST_TOKEN_OVERHEAD_S = 0.035
# Urgency at the engine of work that will be late, behind all that can be in time.
LATE_PRIORITY = 8
HIGHEST_PRIORITY, LOWEST_IN_TIME_PRIORITY = 1, 6
# Shortest and longest advice to come back, in seconds.
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.1, 2.0


@attrs.frozen
class Admitted:
    """A generation is sent.

    :param priority: urgency at the engine, 0 first.
    :param in_time: whether it is expected within its objective.
    """

    priority: int
    in_time: bool


@attrs.frozen
class Refused:
    """A generation is refused, not run.

    :param retry_after_s: seconds after which it is expected to be served.
    """

    retry_after_s: float


AdmissionDecision = Admitted | Refused


@attrs.define
class AdmissionPolicy:
    """Admits a generation by its predicted time to the first token.

    It answers bursts of prompts that the engines can't read in time: sending all of
    them would make each one late.

    :param max_wait_busy_s: longest wait at the engine for an answer that will be late,
        in seconds, while more is asked for than the engines can read; they read in the
        order of arrival, so late work would pile up before work that can be in time.
    :param max_wait_s: the same while the engines keep up on average.
    :param late_disaggregated_share: share of the time left within which an answer
        that is late is still worth the time of an engine that only reads prompts.
    :param late_local_share: the same where an engine reads and answers; its reading
        holds up the tokens of all others there.
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
        """Decide on one generation.

        :param predicted_s: seconds until its prompt is read.
        :param wait_s: part of it until an engine starts on the prompt.
        :param objective_remaining_s: seconds until its objective passes.
        :param remaining_s: seconds until its deadline.
        :param patience_remaining_s: seconds until its caller abandons it without an event.
        :param rank: urgency of its route, 0 is the most urgent.
        :param disaggregated: whether one engine reads its prompt for another.
        :param busy: whether more reading is asked for than the engines can do.
        """
        first_token_s = predicted_s + FIRST_TOKEN_OVERHEAD_S
        if first_token_s <= objective_remaining_s:
            priority = min(LOWEST_IN_TIME_PRIORITY, HIGHEST_PRIORITY + 2 * rank)
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

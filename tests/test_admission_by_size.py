"""What callers get by the size of their prompts, while engines can't keep up."""

import heapq
import random

import attrs
import pytest

from jasminewalk.gateway.admission import AdmissionPolicy, Admitted

# Seconds: objective, deadline and patience of a route, and duration of the load.
OBJECTIVE_S, DEADLINE_S, PATIENCE_S = 0.6, 10.0, 2.4
DURATION_S = 120.0
ENGINES = 4
TOKENS_PER_S = 61_200.0


@attrs.define
class Request:
    """Request of one caller, which comes back once if it is refused."""

    arrived_at: float
    prefill_s: float
    tries: int = 2
    first_token_at: float | None = None

    @property
    def delay_s(self):
        return (
            float("inf")
            if self.first_token_at is None
            else self.first_token_at - self.arrived_at
        )


def draw_requests(seed, utilization):
    """Draw prompts of a lognormal size; most are short, a tenth is very long."""
    source = random.Random(seed)
    mean_tokens = 11_000
    per_s = utilization * ENGINES * TOKENS_PER_S / mean_tokens
    requests, now = [], 0.0
    while now < DURATION_S:
        now += source.expovariate(per_s)
        tokens = min(60_000, source.lognormvariate(9.0, 0.75))
        requests.append(Request(now, tokens / TOKENS_PER_S))
    return requests


def serve(requests, policy):
    """Serve requests by engines that read prompts one after the other."""
    free_at = [0.0] * ENGINES
    arrivals = [(request.arrived_at, number) for number, request in enumerate(requests)]
    heapq.heapify(arrivals)
    while arrivals:
        now, number = heapq.heappop(arrivals)
        request = requests[number]
        engine = min(range(ENGINES), key=free_at.__getitem__)
        wait_s = max(0.0, free_at[engine] - now)
        age_s = now - request.arrived_at
        decision = policy.decide(
            wait_s + request.prefill_s,
            wait_s,
            OBJECTIVE_S - age_s,
            DEADLINE_S - age_s,
            # Each try of the caller is a request of its own.
            PATIENCE_S,
            1,
            disaggregated=True,
            busy=True,
        )
        request.tries -= 1
        if isinstance(decision, Admitted):
            free_at[engine] = max(now, free_at[engine]) + request.prefill_s
            request.first_token_at = free_at[engine]
        elif request.tries:
            heapq.heappush(arrivals, (now + decision.retry_after_s, number))
    return requests


def compute_share(requests, limit_s):
    return sum(held.delay_s <= limit_s for held in requests) / len(requests)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("utilization", [1.3, 1.6, 2.0])
def test_longest_prompts_are_served_at_least_half_as_often_as_all(seed, utilization):
    requests = serve(draw_requests(seed, utilization), AdmissionPolicy())
    longest = sorted(requests, key=lambda held: held.prefill_s)
    longest = longest[-len(requests) // 10 :]
    assert compute_share(longest, DEADLINE_S) >= 0.5 * compute_share(
        requests, DEADLINE_S
    )


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("utilization", [0.6, 0.9])
def test_short_prompts_stay_in_time_beside_long_ones(seed, utilization):
    requests = serve(draw_requests(seed, utilization), AdmissionPolicy())
    shorter = sorted(requests, key=lambda held: held.prefill_s)[: len(requests) // 2]
    assert compute_share(shorter, OBJECTIVE_S) >= 0.9


@attrs.define
class SharingRequest(Request):
    """Request with a shared part that one engine has cached.

    ``prefill_s`` is the prefill of its own part there.
    """

    holder: int = 0
    whole_prefill_s: float = 0.0


def draw_sharing_requests(seed, utilization):
    """Draw prompts of which most is shared; a tenth shares very much."""
    source = random.Random(seed)
    requests, now = [], 0.0
    while now < DURATION_S:
        now += source.expovariate(utilization * ENGINES / 0.1)
        shared_s = min(2.0, source.lognormvariate(-1.6, 0.8))
        own_s = source.uniform(0.05, 0.15)
        requests.append(
            SharingRequest(
                now,
                own_s,
                holder=source.randrange(ENGINES),
                whole_prefill_s=shared_s + own_s,
            )
        )
    return requests


def serve_at_holders(requests, policy):
    """Serve requests by the engines that have their shared parts."""
    free_at = [0.0] * ENGINES
    for request in requests:
        now = request.arrived_at
        wait_s = max(0.0, free_at[request.holder] - now)
        decision = policy.decide(
            wait_s + request.prefill_s,
            wait_s,
            OBJECTIVE_S,
            DEADLINE_S,
            PATIENCE_S,
            1,
            disaggregated=True,
            busy=True,
            whole_prefill_s=request.whole_prefill_s,
        )
        if isinstance(decision, Admitted):
            free_at[request.holder] = now + wait_s + request.prefill_s
            request.first_token_at = free_at[request.holder]
    return requests


@pytest.mark.parametrize("seed", range(5))
def test_most_of_a_cached_prompt_is_worth_its_wait(seed):
    # Guards against the refusal of long prompts at the one engine that has them.
    requests = serve_at_holders(draw_sharing_requests(seed, 1.3), AdmissionPolicy())
    longest = sorted(requests, key=lambda held: held.whole_prefill_s)
    longest = longest[-len(requests) // 10 :]
    assert compute_share(longest, PATIENCE_S) >= compute_share(requests, PATIENCE_S)
    assert compute_share(longest, PATIENCE_S) >= 0.9

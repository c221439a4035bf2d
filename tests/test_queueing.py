"""Admission, order and expiry of requests in an endpoint queue."""

import random

import pytest
from hypothesis import given, settings, strategies as st

from jasminewalk.generated_codes import Code
from jasminewalk.generated_messages import CacheEvents
from jasminewalk.generated_requests import EngineState
from jasminewalk.scheduling.queueing import EndpointQueue, QueueSettings
from jasminewalk.types import RequestProfile

STATE = EngineState(
    role="mixed",
    models=[],
    max_batch=4,
    prefill_tokens_per_s=8000.0,
    decode_tokens_per_s=100.0,
)


def make_profile(request_id, **changes):
    fields = {
        "request_id": request_id,
        "organisation": "oviedo",
        "request_class": "bar",
        "pool": "tutor",
        "prompt_tokens": 400,
        "expected_tokens": 50,
        "deadline_s": 5.0,
    }
    return RequestProfile(**(fields | changes))


@pytest.fixture
def queue():
    queue = EndpointQueue(QueueSettings())
    queue.observe_state(0.0, STATE)
    return queue


def start_requests(queue, now_s=0.0):
    return [profile.request_id for profile in queue.start(now_s)]


def fill_endpoint(queue):
    for number in range(4):
        assert queue.offer(0.0, make_profile(f"running-{number}")) is None
        start_requests(queue)
        queue.record_first_token(0.0, f"running-{number}")


def test_requests_start_by_priority_then_deadline(queue):
    fill_endpoint(queue)
    for name, changes in {
        "late": {"deadline_s": 5.0},
        "soon": {"deadline_s": 3.0},
        "urgent": {"deadline_s": 5.0, "priority": 1},
    }.items():
        assert queue.offer(0.0, make_profile(name, **changes)) is None
    assert start_requests(queue) == []
    order = []
    for number in range(3):
        queue.record_finished(0.5, f"running-{number}")
        started = start_requests(queue, 0.5)
        order += started
        queue.record_first_token(0.5, started[0])
    assert order == ["urgent", "soon", "late"]


def test_engine_gets_limited_prefill_work(queue):
    for number in range(3):
        queue.offer(0.0, make_profile(str(number), prompt_tokens=4000, deadline_s=60.0))
    assert len(start_requests(queue)) == 1
    assert len(queue.count_by_priority()) == 1
    queue.record_first_token(1.0, "0")
    assert start_requests(queue, 1.0) == ["1"]


def test_offer_that_would_be_late_is_refused_with_a_retry_delay(queue):
    queue.offer(0.0, make_profile("first", prompt_tokens=20_000, deadline_s=60.0))
    start_requests(queue)
    refusal = queue.offer(0.0, make_profile("second", deadline_s=2.0))
    assert refusal.code == Code.OVERLOADED
    assert refusal.ran == "not_run"
    assert refusal.retry_after_s > 1.0


def test_waiting_request_expires_once_it_would_be_late(queue):
    fill_endpoint(queue)
    assert queue.offer(0.0, make_profile("waiting", deadline_s=2.0)) is None
    assert queue.remove_expired(0.1) == []
    (expired,) = queue.remove_expired(1.9)
    assert expired.profile.request_id == "waiting"
    assert expired.refusal.ran == "not_run"
    assert expired.refusal.retry_after_s > 0.0
    assert queue.queued == 0


def test_draining_queue_finishes_its_requests(queue):
    queue.offer(0.0, make_profile("first"))
    queue.drain()
    assert queue.offer(0.0, make_profile("second")).code == Code.DRAINING
    assert start_requests(queue) == ["first"]
    assert not queue.is_idle
    queue.record_finished(1.0, "first")
    assert queue.is_idle
    queue.resume()
    assert queue.offer(1.0, make_profile("third")) is None


def test_organisation_that_received_more_work_starts_later(queue):
    fill_endpoint(queue)
    for number in range(4):
        queue.offer(0.0, make_profile(f"greedy-{number}", organisation="greedy"))
    queue.served_work_s = {"greedy": 1.0, "oviedo": 0.0}
    queue.offer(0.0, make_profile("modest", organisation="oviedo"))
    queue.cancel("greedy-0")
    queue.offer(0.0, make_profile("greedy-4", organisation="greedy"))
    queue.record_finished(0.1, "running-0")
    assert start_requests(queue, 0.1)[0] in {"greedy-1", "modest"}
    assert queue.compute_rank(
        0.0, make_profile("x", organisation="greedy")
    ) > queue.compute_rank(0.0, make_profile("x"))


def test_cached_prefix_needs_less_prefill(queue):
    hashes = tuple(range(4096, 4096 + 16))
    events = CacheEvents(
        endpoint="a", incarnation="1", first_sequence=0, added=list(hashes), count=16
    )
    queue.observe_cache(events)
    profile = make_profile("first", prompt_tokens=1100, prefix_hashes=hashes)
    assert 1100 - 16 * 64 <= queue.estimate_prefill_tokens(profile) <= 1100 - 14 * 64


def test_rates_are_learned_from_finished_requests(queue):
    now_s = 0.0
    for number in range(40):
        queue.offer(now_s, make_profile(str(number), deadline_s=now_s + 60.0))
        start_requests(queue, now_s)
        queue.record_first_token(now_s + 0.2, str(number))
        queue.record_finished(now_s + 1.2, str(number), 50)
        now_s += 1.2
    assert queue.prefill_tokens_per_s == pytest.approx(2000.0, rel=0.3)
    assert queue.decode_tokens_per_s == pytest.approx(50.0, rel=0.1)
    assert queue.residence_s == pytest.approx(1.2, rel=0.1)


@settings(derandomize=True, deadline=None, max_examples=30)
@given(st.integers(0, 10_000))
def test_every_request_ends_exactly_once(seed):
    rng = random.Random(seed)
    queue = EndpointQueue(QueueSettings(max_queued=8))
    queue.observe_state(0.0, STATE)
    offered, finished, running = set(), [], []
    for step in range(120):
        now_s = step * 0.1
        deadline_s = now_s + rng.uniform(0.1, 4.0)
        profile = make_profile(str(step), deadline_s=deadline_s)
        offered.add(profile.request_id)
        if queue.offer(now_s, profile) is not None:
            finished.append(profile.request_id)
        running += start_requests(queue, now_s)
        finished += [item.profile.request_id for item in queue.remove_expired(now_s)]
        assert len(queue.running) <= 4
        if running and rng.random() < 0.5:
            name = running.pop(rng.randrange(len(running)))
            queue.record_first_token(now_s, name)
            queue.record_finished(now_s, name)
            finished.append(name)
    waiting = set(queue.waiting)
    assert len(finished) == len(set(finished))
    assert offered == set(finished) | set(running) | waiting

"""Tests of the engine model: streams, prefix cache, orders, reports and faults."""

import random

import pytest
from hypothesis import given, settings, strategies as st

from jasminewalk.exceptions import (
    BadRequestError,
    OrderRefusedError,
    StaleFencingNumberError,
)
from jasminewalk.generated_requests import EngineOrder, GenerateRequest
from jasminewalk.standins.engine_model import (
    EngineModel,
    EngineModelSettings,
    compute_output_length,
    compute_token_text,
)

END_S = 1000.0


def make_engine(*, emit_tokens=True, **changes):
    values = {"event_lag_s": 0.0, "report_lag_s": 0.0, **changes}
    return EngineModel(
        EngineModelSettings(**values), random.Random(1), emit_tokens=emit_tokens
    )


def make_request(name, **changes):
    values = {
        "request_id": name,
        "attempt": 1,
        "organisation": "o",
        "request_class": "c",
        "model": "m",
        "prompt": f"prompt of {name}",
        "prompt_tokens": 1000,
        "max_tokens": 40,
        "deadline_s": 10.0,
        **changes,
    }
    return GenerateRequest(**values)


def make_order(fencing_number, **changes):
    return EngineOrder(
        **{"fencing_number": fencing_number, "role": "mixed", "models": [], **changes}
    )


def join_text(frames, name):
    return "".join(sent.frame.t for sent in frames if sent.request_id == name)


def test_response_is_complete_and_determined_by_the_prompt():
    engine = make_engine()
    engine.submit(0.0, make_request("a"))
    frames = engine.advance(END_S)
    length = compute_output_length("prompt of a", 40)
    indexes = [sent.frame.n for sent in frames]
    assert indexes == list(range(length))
    assert join_text(frames, "a") == "".join(
        compute_token_text("prompt of a", index) for index in range(length)
    )
    assert frames[-1].frame.end == ("length" if length == 40 else "stop")
    assert engine.cache.reserved_blocks == 0
    assert engine.next_event_s == float("inf")


def test_resumed_response_continues_at_the_next_token():
    uninterrupted = make_engine()
    uninterrupted.submit(0.0, make_request("a"))
    resumed = make_engine()
    resumed.submit(0.0, make_request("a", attempt=2, resume_from=7))
    frames = resumed.advance(END_S)
    assert frames[0].frame.n == 7
    assert join_text(frames, "a") == join_text(uninterrupted.advance(END_S)[7:], "a")


schedules = st.lists(
    st.tuples(
        st.floats(0.0, 0.3),
        st.integers(1, 3000),
        st.integers(1, 60),
        st.integers(0, 2),
        st.booleans(),
    ),
    min_size=1,
    max_size=12,
)


@given(schedules)
@settings(derandomize=True, deadline=None, max_examples=60)
def test_omitting_tokens_in_between_changes_neither_first_nor_last_token(schedule):
    results = []
    for emit_tokens in (True, False):
        engine = make_engine(emit_tokens=emit_tokens, max_batch=4)
        now_s = 0.0
        frames = []
        for index, (wait_s, prompt, output, priority, cancelled) in enumerate(schedule):
            now_s += wait_s
            request = make_request(
                str(index), prompt_tokens=prompt, max_tokens=60, priority=priority
            )
            engine.submit(now_s, request, output)
            if cancelled and index:
                engine.cancel(now_s, str(index - 1), 1)
            frames += engine.advance(now_s)
        frames += engine.advance(END_S)
        assert engine.cache.reserved_blocks == 0
        assert not engine.batch.streams
        times_by_request = {}
        for sent in frames:
            row = times_by_request.setdefault(sent.request_id, [round(sent.at_s, 6)])
            if sent.frame.end:
                gaps = (sent.largest_gap_s, sent.p95_gap_s)
                row += [round(sent.at_s, 6), sent.frame.end, *gaps]
        results.append(times_by_request)
    assert results[0] == results[1]


def test_largest_gap_includes_a_prefill_chunk_of_another_stream():
    engine = make_engine(emit_tokens=False)
    engine.submit(0.0, make_request("a", prompt_tokens=1), 40)
    engine.submit(0.1, make_request("b", prompt_tokens=4000), 40)
    last = next(sent for sent in engine.advance(END_S) if sent.frame.end)
    assert last.request_id == "a"
    assert last.largest_gap_s == pytest.approx(0.002 + 512 / 8000 + 0.012)


def test_prefix_is_cached_until_it_is_evicted():
    engine = make_engine(cache_blocks=40)
    first = make_request("a", prefix_hashes=list(range(10)))
    second = make_request("b", prefix_hashes=list(range(12)))
    other = make_request("c", prompt_tokens=2500, prefix_hashes=list(range(50, 89)))
    third = make_request("d", prefix_hashes=list(range(10)))
    cached = []
    for request in (first, second, other, third):
        engine.submit(0.0, request)
        cached.append(engine.advance(END_S)[0].frame.cached)
    assert cached == [0, 640, 0, 0]
    page = engine.cache_events(END_S, 0)
    assert set(range(10)) <= set(page.removed)


def test_lost_events_leave_a_gap_in_the_sequence():
    engine = make_engine(event_loss=0.2)
    engine.submit(0.0, make_request("a", prefix_hashes=list(range(100))))
    engine.advance(END_S)
    sequence = gap_count = read_events = 0
    while sequence < engine.cache.next_sequence:
        page = engine.cache_events(END_S, sequence)
        if page.next_sequence == sequence:
            break
        gap_count += page.first_sequence != sequence
        read_events += len(page.added)
        sequence = page.next_sequence
    assert gap_count > 0
    assert read_events == len(engine.cache.events)


def test_higher_priority_is_served_first():
    engine = make_engine(max_batch=1)
    engine.submit(0.0, make_request("running"))
    engine.submit(0.0, make_request("low", priority=0))
    engine.submit(0.0, make_request("high", priority=5))
    finished = [sent.request_id for sent in engine.advance(END_S) if sent.frame.end]
    assert finished == ["running", "high", "low"]


def test_role_change_breaks_streams_and_makes_the_engine_unavailable():
    engine = make_engine()
    engine.submit(0.0, make_request("a"))
    engine.order(0.05, make_order(5, role="prefill"))
    engine.submit(0.1, make_request("b"))
    refusals = [(sent.request_id, sent.frame.ran) for sent in engine.advance(1.0)]
    assert refusals == [("a", "unknown"), ("b", "not_run")]
    assert engine.state(1.0).changing
    engine.advance(7.0)
    assert engine.state(7.0).role == "prefill"
    assert not engine.state(7.0).changing


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_stale_order_is_counted_and_refused_if_fencing_is_checked(checks_fencing):
    engine = make_engine(checks_fencing=checks_fencing)
    engine.order(0.0, make_order(5))
    if checks_fencing:
        with pytest.raises(StaleFencingNumberError):
            engine.order(1.0, make_order(4))
    else:
        engine.order(1.0, make_order(4))
    assert engine.stale_orders == 1


def test_conflicting_order_is_refused_and_a_repeated_one_is_accepted():
    engine = make_engine()
    engine.order(0.0, make_order(5, role="decode"))
    engine.order(1.0, make_order(5, role="decode"))
    with pytest.raises(OrderRefusedError):
        engine.order(1.0, make_order(6, role="prefill"))
    assert engine.change.end_s == 6.0


def test_reported_load_lags_and_the_role_does_not():
    engine = make_engine(report_lag_s=1.0)
    engine.state(0.0)
    engine.submit(0.1, make_request("a", max_tokens=400))
    assert engine.state(0.5).running == 0
    assert engine.state(0.5).age_s == 0.5
    assert engine.state(1.6).running == 1


def test_imported_kv_cache_replaces_the_prefill():
    engines = [make_engine(), make_engine()]
    engines[0].submit(0.0, make_request("a", prompt_tokens=8000))
    frames = engines[0].advance(1.2)
    handle = engines[0].export_kv(1.2, "a", 1)
    engines[1].import_kv(1.2, handle)
    count = len(frames)
    resumed = make_request("a", attempt=2, prompt_tokens=8000, resume_from=count)
    engines[1].submit(1.2, resumed)
    first = engines[1].advance(END_S)[0]
    assert first.frame.n == count
    assert first.at_s < 1.3
    with pytest.raises(BadRequestError):
        engines[1].import_kv(2.0, b"\xc1")


def test_crash_breaks_every_stream_and_restart_empties_the_cache():
    engine = make_engine()
    engine.submit(0.0, make_request("a", prefix_hashes=[1, 2]))
    engine.advance(0.2)
    broken = engine.crash(0.2)
    assert [sent.frame.ran for sent in broken if sent.frame.code] == ["unknown"]
    engine.submit(0.3, make_request("b"))
    assert engine.advance(0.3)[0].frame.ran == "not_run"
    engine.restart(1.0)
    engine.submit(1.0, make_request("c", prefix_hashes=[1, 2]))
    assert engine.advance(END_S)[0].frame.cached == 0


def test_no_progress_while_paused():
    engine = make_engine()
    engine.submit(0.0, make_request("a"))
    frames_before = len(engine.advance(0.2))
    engine.pause(0.2)
    engine.submit(0.3, make_request("b"))
    assert engine.advance(5.0) == []
    engine.unpause(5.0)
    frames_after = engine.advance(END_S)
    assert min(sent.at_s for sent in frames_after) >= 5.0
    assert frames_before + len(frames_after) == sum(
        compute_output_length(f"prompt of {name}", 40) for name in "ab"
    )

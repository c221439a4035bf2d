"""Tests of the schedule, the counting and the reports of the load tool."""

import json

import attrs
import pytest

from jasminewalk.exceptions import BadSettingsError
from jasminewalk.generated_load import LoadKind, LoadPhase, LoadPlan, TokenRange
from jasminewalk.loads.load import has_token, record_error, record_tokens
from jasminewalk.loads.load_schedule import LoadSchedule, validate_plan
from jasminewalk.loads.load_tally import LoadTally, RequestResult
from jasminewalk.loads.reports import format_result, write_report

PLAN = LoadPlan(
    entries=["127.0.0.1:1", "127.0.0.1:2"],
    kinds={
        "verdict": LoadKind(
            organisations=["a", "b"],
            model="tutor",
            prefix_tokens=TokenRange(least=100, most=200),
            prefixes=2,
            question_tokens=TokenRange(least=5, most=9),
            first_token_s=1.0,
            deadline_s=10.0,
        ),
        "booking": LoadKind(
            organisations=["a"],
            service="enrolment",
            method="POST",
            path="/bookings",
            keyed=True,
            deadline_s=2.0,
        ),
    },
    phases=[
        LoadPhase(name="one", duration_s=5, requests_per_s=20, shares={"verdict": 1.0}),
        LoadPhase(name="two", duration_s=5, requests_per_s=60, shares={"booking": 1.0}),
    ],
)


def test_load_is_reproducible_from_its_seed():
    first = list(LoadSchedule(PLAN).generate_requests())
    assert first == list(LoadSchedule(PLAN).generate_requests())
    assert first != list(LoadSchedule(attrs.evolve(PLAN, seed=2)).generate_requests())


def test_phases_run_in_order_at_their_rates():
    requests = list(LoadSchedule(PLAN).generate_requests())
    assert [request.due_s for request in requests] == sorted(
        request.due_s for request in requests
    )
    first_phase = [request for request in requests if request.phase == "one"]
    second_phase = [request for request in requests if request.phase == "two"]
    assert {request.kind for request in first_phase} == {"verdict"}
    assert all(5 <= request.due_s < 10 for request in second_phase)
    assert 60 < len(first_phase) < 140
    assert 220 < len(second_phase) < 380


def test_prompts_share_prefixes_and_calls_have_unique_keys():
    requests = list(LoadSchedule(PLAN).generate_requests())
    bodies = [
        json.loads(request.body) for request in requests if request.kind == "verdict"
    ]
    assert len({body["messages"][0]["content"] for body in bodies}) == 2
    assert len({body["messages"][1]["content"] for body in bodies}) == len(bodies)
    keys = [
        dict(request.headers)["idempotency-key"]
        for request in requests
        if not request.streamed
    ]
    assert len(set(keys)) == len(keys)
    assert {request.path.split("/")[2] for request in requests if request.streamed} == {
        "a",
        "b",
    }


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"kinds": {}}, "phases[0].shares: found 'verdict'; allowed is one of none"),
        (
            {"phases": [attrs.evolve(PLAN.phases[0], shares={"verdict": 0})]},
            "no share above 0",
        ),
        (
            {
                "kinds": {
                    **PLAN.kinds,
                    "verdict": LoadKind(organisations=["a"], deadline_s=1),
                }
            },
            "kinds.verdict: found both or none of model and service",
        ),
    ],
)
def test_inconsistent_plans_raise_an_error(changes, message):
    with pytest.raises(BadSettingsError) as error_info:
        validate_plan(attrs.evolve(PLAN, **changes))
    assert message in error_info.value.detail


@pytest.fixture
def tally():
    tally = LoadTally(PLAN, 10.0)
    requests = list(LoadSchedule(PLAN).generate_requests())[:6]
    results = [
        RequestResult(outcome="answered", first_token_s=0.5, whole_s=3.0, tokens=9),
        RequestResult(outcome="answered", first_token_s=1.5, whole_s=3.0),
        RequestResult(outcome="answered", first_token_s=0.5, whole_s=11.0),
        RequestResult(outcome="refused", reason="1301 overloaded"),
        RequestResult(reason="timeout"),
        RequestResult(outcome="not_sent"),
    ]
    for request, result in zip(requests, results, strict=True):
        tally.add(request, result)
    return tally


def test_only_complete_answers_in_time_count_as_goodput(tally):
    result = tally.build_result("plan.yaml")
    assert result.goodput_per_s == 0.1
    assert result.in_time_share == pytest.approx(1 / 6)
    kind = result.kinds["verdict"]
    assert (kind.due, kind.answered, kind.in_time, kind.not_sent) == (6, 3, 1, 1)
    assert kind.refused == {"1301 overloaded": 1}
    assert kind.failed == {"timeout": 1, "not_sent": 1}
    assert kind.whole_ms["50"] == pytest.approx(3000, rel=0.01)
    assert sum(second.due for second in result.seconds) == 6


def test_report_is_written(tally, tmp_path):
    result = tally.build_result("plan <1>.yaml")
    json_path, page_path = write_report(result, tmp_path / "out")
    assert json.loads(json_path.read_bytes())["in_time_share"] == result.in_time_share
    page = page_path.read_text()
    assert "plan &lt;1&gt;.yaml" in page
    assert "data:image/png;base64,iVBOR" in page
    assert "1301 overloaded: 1" in "\n".join(format_result(result))


def test_times_are_measured_from_when_the_request_was_due():
    result = RequestResult()
    record_tokens(result, 1, 5.0, None, 3.0)
    record_tokens(result, 2, 5.5, 5.0, 3.0)
    assert (result.first_token_s, result.gaps_s, result.tokens) == (2.0, [0.25], 3)


@pytest.mark.parametrize(
    ("body", "outcome", "reason"),
    [
        (
            b'{"code":1301,"name":"overloaded","message":"","ran":"not_run"}',
            "refused",
            "1301 overloaded",
        ),
        (
            b'{"code":1402,"name":"retries_exhausted","message":"","ran":"unknown"}',
            "failed",
            "1402 retries_exhausted",
        ),
        (b"<html>", "failed", "status 502"),
    ],
)
def test_refusals_are_distinguished_from_failures(body, outcome, reason):
    result = RequestResult()
    record_error(result, 502, body)
    assert (result.outcome, result.reason) == (outcome, reason)


def test_lines_without_text_have_no_token():
    assert not has_token(b'data: {"choices":[{"delta":{"content":""}}]}')
    assert not has_token(b'data: {"choices":[{"delta":{},"finish_reason":"stop"}]}')
    assert not has_token(b"data: [DONE]")

import json

import attrs
import pytest

from jasminewalk.exceptions import BadSettingsError
from jasminewalk.generated_load import LoadKind, LoadPhase, LoadPlan, TokenRange
from jasminewalk.loads.load import is_token, note_error, note_tokens
from jasminewalk.loads.load_schedule import LoadSchedule, check_plan
from jasminewalk.loads.load_tally import Answer, LoadTally
from jasminewalk.loads.reports import result_lines, write_report

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


def test_same_seed_gives_the_same_load():
    first = list(LoadSchedule(PLAN).requests())
    assert first == list(LoadSchedule(PLAN).requests())
    assert first != list(LoadSchedule(attrs.evolve(PLAN, seed=2)).requests())


def test_phases_follow_each_other_at_their_rates():
    requests = list(LoadSchedule(PLAN).requests())
    assert [r.due_s for r in requests] == sorted(r.due_s for r in requests)
    one = [r for r in requests if r.phase == "one"]
    two = [r for r in requests if r.phase == "two"]
    assert {r.kind for r in one} == {"verdict"}
    assert all(5 <= r.due_s < 10 for r in two)
    assert 60 < len(one) < 140
    assert 220 < len(two) < 380


def test_prompts_share_prefixes_and_calls_have_keys_of_their_own():
    requests = list(LoadSchedule(PLAN).requests())
    bodies = [json.loads(r.body) for r in requests if r.kind == "verdict"]
    assert len({body["messages"][0]["content"] for body in bodies}) == 2
    assert len({body["messages"][1]["content"] for body in bodies}) == len(bodies)
    keys = [dict(r.headers)["idempotency-key"] for r in requests if not r.streamed]
    assert len(set(keys)) == len(keys)
    assert {r.path.split("/")[2] for r in requests if r.streamed} == {"a", "b"}


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
def test_plans_that_do_not_fit_are_refused(changes, message):
    with pytest.raises(BadSettingsError) as caught:
        check_plan(attrs.evolve(PLAN, **changes))
    assert message in caught.value.detail


@pytest.fixture
def tally():
    tally = LoadTally(PLAN, 10.0)
    requests = list(LoadSchedule(PLAN).requests())[:6]
    answers = [
        Answer(outcome="answered", first_token_s=0.5, whole_s=3.0, tokens=9),
        Answer(outcome="answered", first_token_s=1.5, whole_s=3.0),
        Answer(outcome="answered", first_token_s=0.5, whole_s=11.0),
        Answer(outcome="refused", reason="1301 overloaded"),
        Answer(reason="timeout"),
        Answer(outcome="not_sent"),
    ]
    for request, answer in zip(requests, answers, strict=True):
        tally.add(request, answer)
    return tally


def test_only_whole_answers_in_time_are_goodput(tally):
    result = tally.result("plan.yaml")
    assert result.goodput_per_s == 0.1
    assert result.in_time_share == pytest.approx(1 / 6)
    kind = result.kinds["verdict"]
    assert (kind.due, kind.answered, kind.in_time, kind.not_sent) == (6, 3, 1, 1)
    assert kind.refused == {"1301 overloaded": 1}
    assert kind.failed == {"timeout": 1, "not_sent": 1}
    assert kind.whole_ms["50"] == pytest.approx(3000, rel=0.01)
    assert sum(second.due for second in result.seconds) == 6


def test_report_is_written(tally, tmp_path):
    result = tally.result("plan <1>.yaml")
    json_path, page_path = write_report(result, tmp_path / "out")
    assert json.loads(json_path.read_bytes())["in_time_share"] == result.in_time_share
    page = page_path.read_text()
    assert "plan &lt;1&gt;.yaml" in page
    assert "data:image/png;base64,iVBOR" in page
    assert "1301 overloaded: 1" in "\n".join(result_lines(result))


def test_times_count_from_when_the_request_was_due():
    answer = Answer()
    note_tokens(answer, 1, 5.0, None, 3.0)
    note_tokens(answer, 2, 5.5, 5.0, 3.0)
    assert (answer.first_token_s, answer.gaps_s, answer.tokens) == (2.0, [0.25], 3)


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
def test_error_answers_are_told_apart(body, outcome, reason):
    answer = Answer()
    note_error(answer, 502, body)
    assert (answer.outcome, answer.reason) == (outcome, reason)


def test_only_lines_with_text_are_tokens():
    assert not is_token(b'data: {"choices":[{"delta":{"content":""}}]}')
    assert not is_token(b'data: {"choices":[{"delta":{},"finish_reason":"stop"}]}')
    assert not is_token(b"data: [DONE]")

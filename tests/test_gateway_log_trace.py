"""Traces of requests and engines, from recorded log lines."""

import json

import pytest

from jasminewalk.gateway.log_trace import (
    LineFilter,
    format_lines,
    parse_lines,
    select_lines,
)


def make_line(second, event, node="front-1", **fields):
    document = {
        "time": f"2026-10-20T07:48:{second:06.3f}+00:00",
        "severity": "INFO",
        "event": event,
        "node": node,
        **fields,
    }
    return json.dumps(document)


RECORDED = [
    "   3.1200 front-1 "
    + make_line(1.0, "placed", request="a", engine="i-1", wait_ms=3),
    make_line(0.9, "engine_changed", engine="i-1", detail="stage=decode"),
    make_line(1.1, "engine_changed", engine="i-2", detail="stage=decode"),
    make_line(1.2, "placed", request="b", engine="i-1"),
    make_line(
        1.3, "stream_broken", request="a", engine="i-1", reason="connection reset"
    ),
    make_line(1.4, "placed", request="a", engine="i-3"),
    make_line(1.5, "engine_suspected", node="front-2", engine="i-1", detail="x"),
    make_line(1.6, "configuration_in_force", version=7),
    make_line(9.0, "engine_gone", engine="i-1", detail="entry is missing"),
    "garbage",
    '{"half": ',
    "{}",
]


def select_trace(**criteria):
    lines = select_lines(parse_lines(RECORDED), LineFilter(**criteria))
    return [(line.event, line.fields.get("engine")) for line in lines]


def test_trace_of_a_request_includes_state_changes_of_its_engines():
    assert select_trace(request="a") == [
        ("engine_changed", "i-1"),
        ("placed", "i-1"),
        ("stream_broken", "i-1"),
        ("placed", "i-3"),
        ("configuration_in_force", None),
    ]


def test_trace_of_an_engine_includes_all_gateways():
    events = [event for event, _ in select_trace(engine="i-1")]
    assert events[-2:] == ["engine_suspected", "engine_gone"]
    assert len(events) == 6


def test_formatted_lines_have_milliseconds_and_fields():
    lines = select_lines(parse_lines(RECORDED), LineFilter(request="b"))
    text = list(format_lines(lines))
    assert any("placed" in line and "engine=i-1" in line for line in text)
    assert text[0].startswith("      0.0 ms")


@pytest.fixture
def logs(tmp_path):
    path = tmp_path / "logs.txt"
    path.write_text("\n".join(RECORDED), encoding="utf-8")
    return path


def test_command_prints_the_trace_of_a_request(run_command, logs):
    result = run_command("explain", "a", "--logs", logs)
    assert result.code == 0
    assert "stream_broken" in result.out


def test_command_accepts_a_time_range(run_command, logs):
    since = "2026-10-20T07:48:01.250+00:00"
    result = run_command("explain", "--logs", logs, "--since", since)
    assert "stream_broken" in result.out
    assert "wait_ms" not in result.out


@pytest.mark.parametrize(
    "arguments",
    [("nobody", "--logs", "{logs}"), ("a", "--logs", "absent.txt"),
     ("a", "--logs", "{logs}", "--since", "yesterday")],
)  # fmt: skip
def test_command_reports_invalid_arguments(run_command, logs, arguments):
    result = run_command("explain", *(part.format(logs=logs) for part in arguments))
    assert result.code != 0
    assert result.err


def select_events(recorded, request):
    lines = select_lines(parse_lines(recorded), LineFilter(request=request))
    return [(line.event, line.fields.get("engine")) for line in lines]


def test_trace_of_a_request_includes_earlier_notices_of_leaving_engines():
    recorded = [
        make_line(1.0, "engine_leaving", engine="i-1", detail="x"),
        make_line(1.1, "engine_leaving", engine="i-2", detail="x"),
        make_line(1.2, "engine_leaving", node="front-2", engine="i-1", detail="x"),
        make_line(1.3, "engine_leaving", engine="i-3", detail="x"),
        make_line(2.0, "engine_listed", engine="i-3", detail="x"),
        make_line(20.0, "placed", request="a", engine="i-1"),
        make_line(20.1, "placed", request="a", engine="i-3"),
        make_line(30.0, "refused", request="b", reason="no engine"),
    ]
    assert select_events(recorded, "a") == [
        ("engine_leaving", "i-1"),
        ("placed", "i-1"),
        ("placed", "i-3"),
    ]
    # A request without an engine shows which of them were not to be had.
    assert select_events(recorded, "b") == [
        ("engine_leaving", "i-1"),
        ("engine_leaving", "i-2"),
        ("refused", None),
    ]


def test_trace_of_a_request_includes_backoffs_that_still_held():
    recorded = [
        make_line(1.0, "engine_backoff", engine="i-1", detail="x", left_s=5.0),
        make_line(1.0, "engine_backoff", engine="i-2", detail="x", left_s=30.0),
        make_line(2.0, "engine_backoff", engine="i-2", detail="y", left_s=20.5),
        make_line(20.0, "refused", request="a", engine="i-1"),
        make_line(20.1, "refused", request="b", engine="i-2"),
        make_line(25.0, "refused", request="c", engine="i-2"),
    ]
    assert select_events(recorded, "a") == [("refused", "i-1")]
    assert select_events(recorded, "b") == [
        ("engine_backoff", "i-2"),
        ("refused", "i-2"),
    ]
    assert select_events(recorded, "c") == [
        ("engine_backoff", "i-2"),
        ("refused", "i-2"),
    ]


def test_trace_of_a_request_includes_a_new_era_of_the_store():
    recorded = [
        make_line(1.0, "store_era", era=4, previous=3),
        make_line(1.0, "engine_held", engine="i-1", detail="x", left_s=5.0),
        make_line(2.5, "refused", request="a", engine="i-1"),
        make_line(5.5, "refused", request="b", reason="no engine"),
    ]
    assert select_events(recorded, "a") == [
        ("store_era", None),
        ("engine_held", "i-1"),
        ("refused", "i-1"),
    ]
    assert select_events(recorded, "b") == [("engine_held", "i-1"), ("refused", None)]


def test_trace_of_a_resumed_stream_includes_the_shares_that_held():
    recorded = [
        make_line(1.0, "version_shares", service="llm", shares={"v1": 3}),
        make_line(2.0, "version_shares", service="llm", shares={"v2": 3}),
        make_line(3.0, "version_shares", node="front-2", service="llm", shares={}),
        make_line(30.0, "stream_sought", request="a", resumes="b", known_by=""),
        make_line(30.1, "refused", request="a", resumes="b", store_answered=False),
        make_line(30.2, "placed", request="c", engine="i-1"),
    ]
    lines = select_lines(parse_lines(recorded), LineFilter(request="a"))
    assert [line.event for line in lines] == [
        "version_shares",
        "stream_sought",
        "refused",
    ]
    assert lines[0].fields["shares"] == {"v2": 3}
    lines = select_lines(parse_lines(recorded), LineFilter(request="c"))
    assert [line.event for line in lines] == ["placed"]

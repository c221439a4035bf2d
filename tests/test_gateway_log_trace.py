"""Stories of requests, from recorded log lines."""

import json

import pytest

from jasminewalk.gateway.log_trace import (
    Selection,
    format_lines,
    parse_lines,
    select_lines,
)


def line(second, event, node="front-1", **fields):
    document = {
        "time": f"2026-10-20T07:48:{second:06.3f}+00:00",
        "severity": "INFO",
        "event": event,
        "node": node,
        **fields,
    }
    return json.dumps(document)


RECORDED = [
    "   3.1200 front-1 " + line(1.0, "placed", request="a", engine="i-1", wait_ms=3),
    line(0.9, "engine_changed", engine="i-1", detail="stage=decode"),
    line(1.1, "engine_changed", engine="i-2", detail="stage=decode"),
    line(1.2, "placed", request="b", engine="i-1"),
    line(1.3, "stream_broken", request="a", engine="i-1", reason="connection reset"),
    line(1.4, "placed", request="a", engine="i-3"),
    line(1.5, "engine_suspected", node="front-2", engine="i-1", detail="x"),
    line(1.6, "configuration_in_force", version=7),
    line(9.0, "engine_gone", engine="i-1", detail="entry is missing"),
    "garbage",
    '{"half": ',
    "{}",
]


def story(**selection):
    found = select_lines(parse_lines(RECORDED), Selection(**selection))
    return [(one.event, one.fields.get("engine")) for one in found]


def test_request_is_told_with_what_its_gateway_believed_of_its_engines():
    assert story(request="a") == [
        ("engine_changed", "i-1"),
        ("placed", "i-1"),
        ("stream_broken", "i-1"),
        ("placed", "i-3"),
        ("configuration_in_force", None),
    ]


def test_engine_is_told_by_all_gateways():
    events = [event for event, _ in story(engine="i-1")]
    assert events[-2:] == ["engine_suspected", "engine_gone"]
    assert len(events) == 6


def test_text_has_milliseconds_and_fields():
    found = select_lines(parse_lines(RECORDED), Selection(request="b"))
    text = list(format_lines(found))
    assert any("placed" in one and "engine=i-1" in one for one in text)
    assert text[0].startswith("      0.0 ms")


@pytest.fixture
def logs(tmp_path):
    path = tmp_path / "logs.txt"
    path.write_text("\n".join(RECORDED), encoding="utf-8")
    return path


def test_command_tells_a_story(run_command, logs):
    done = run_command("explain", "a", "--logs", logs)
    assert done.code == 0
    assert "stream_broken" in done.out


def test_command_takes_a_span(run_command, logs):
    since = "2026-10-20T07:48:01.250+00:00"
    done = run_command("explain", "--logs", logs, "--since", since)
    assert "stream_broken" in done.out
    assert "wait_ms" not in done.out


@pytest.mark.parametrize(
    "arguments",
    [("nobody", "--logs", "{logs}"), ("a", "--logs", "absent.txt"),
     ("a", "--logs", "{logs}", "--since", "yesterday")],
)  # fmt: skip
def test_command_says_what_is_wrong(run_command, logs, arguments):
    done = run_command("explain", *(part.format(logs=logs) for part in arguments))
    assert done.code != 0
    assert done.err

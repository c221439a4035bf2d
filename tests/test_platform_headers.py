"""Test decoding and building of request and response headers."""

import pytest

from jasminewalk.platform.headers import (
    PromptPart,
    build_engine_headers,
    decode_request_head,
    decode_response_head,
    filter_relayed_headers,
)


def test_request_head_is_decoded():
    head = decode_request_head(
        [
            (b"x-jasminewalk-request-id", b"9c41"),
            (b"x-jasminewalk-deadline-ms", b"1500"),
            (b"x-jasminewalk-token-usage", b"1460,80"),
            (b"x-jasminewalk-prompt-prefix", b"5c1e:800, 91bd:410,e440:250"),
            (b"last-event-id", b"12"),
        ]
    )
    assert head.request_id == "9c41"
    assert head.deadline_s == 1.5
    assert (head.prompt_tokens, head.output_tokens) == (1460, 80)
    assert head.prompt[1] == PromptPart("91bd", 410)
    assert head.last_event_id == "12"


@pytest.mark.parametrize(
    ("name", "value", "field", "expected"),
    [
        (b"x-jasminewalk-deadline-ms", b"soon", "deadline_s", None),
        (b"x-jasminewalk-deadline-ms", b"-5", "deadline_s", None),
        (b"x-jasminewalk-deadline-ms", b"nan", "deadline_s", None),
        (b"x-jasminewalk-token-usage", b"many,few", "prompt_tokens", 0),
        (b"x-jasminewalk-prompt-prefix", b"a:b,,c", "prompt_tokens", 0),
    ],
)
def test_invalid_values_are_ignored(name, value, field, expected):
    assert getattr(decode_request_head([(name, value)]), field) == expected


def test_system_headers_from_callers_are_replaced():
    sent = [
        (b"host", b"bar.example"),
        (b"x-jasminewalk-kv-source", b"10.0.0.1:1/stolen"),
        (b"x-jasminewalk-kv-hold", b"h"),
        (b"x-jasminewalk-pin-ms", b"4000"),
        (b"x-jasminewalk-kv-backup", b"10.0.0.1:1"),
        (b"x-jasminewalk-stage", b"prefill"),
        (b"x-jasminewalk-request-priority", b"0"),
        (b"x-jasminewalk-expect-instance", b"i-9"),
        (b"x-jasminewalk-deadline-ms", b"99999"),
        (b"x-jasminewalk-model", b"m"),
    ]
    built = build_engine_headers(sent, engine_id="i-1", deadline_s=1.2345)
    assert built == [
        (b"host", b"bar.example"),
        (b"x-jasminewalk-model", b"m"),
        (b"x-jasminewalk-deadline-ms", b"1234"),
        (b"x-jasminewalk-expect-instance", b"i-1"),
    ]


def test_hop_by_hop_headers_are_not_forwarded():
    sent = [
        (b"connection", b"keep-alive, x-hop, x-jasminewalk-request-id"),
        (b"keep-alive", b"timeout=5"),
        (b"x-hop", b"1"),
        (b"transfer-encoding", b"chunked"),
        (b"content-length", b"5"),
        (b"x-jasminewalk-request-id", b"7"),
        (b"accept", b"*/*"),
    ]
    names = [
        name for name, _ in build_engine_headers(sent, engine_id="i", deadline_s=1)
    ]
    assert names[:2] == [b"x-jasminewalk-request-id", b"accept"]
    relayed = [name for name, _ in filter_relayed_headers(sent)]
    assert relayed == [b"x-jasminewalk-request-id", b"accept"]


def test_last_event_id_of_resumed_stream_replaces_the_callers():
    sent = [(b"last-event-id", b"2")]
    built = build_engine_headers(sent, engine_id="i", deadline_s=1, last_event_id="5")
    assert [value for name, value in built if name == b"last-event-id"] == [b"5"]


@pytest.mark.parametrize(
    ("status", "headers", "field", "expected"),
    [
        (503, [(b"x-jasminewalk-not-executed", b"1")], "not_executed", True),
        (421, [], "not_executed", True),
        (503, [], "not_executed", False),
        (200, [(b"content-encoding", b"gzip")], "encoded", True),
        (200, [(b"content-encoding", b"identity")], "encoded", False),
        (200, [(b"connection", b"Close")], "closing", True),
        (200, [(b"keep-alive", b"max=5, timeout=4")], "idle_timeout_s", 4.0),
        (200, [(b"keep-alive", b"timeout=soon")], "idle_timeout_s", None),
    ],
)
def test_response_head_is_decoded(status, headers, field, expected):
    assert getattr(decode_response_head(status, headers), field) == expected


@pytest.mark.parametrize(
    ("value", "limit", "unreadable"),
    [
        (b"4", 4.0, ""),
        (b"3.5", 3.5, ""),
        (b"0", 0.0, ""),
        (b"-1", None, "-1"),
        (b"nan", None, "nan"),
        (b"inf", None, "inf"),
        (b"soon", None, "soon"),
    ],
)
def test_request_limit_of_a_response_is_decoded(value, limit, unreadable):
    head = decode_response_head(503, [(b"server-limit", value)])
    assert (head.request_limit_per_s, head.unreadable_limit) == (limit, unreadable)


def test_response_without_a_request_limit_names_none():
    head = decode_response_head(200, [])
    assert (head.request_limit_per_s, head.unreadable_limit) == (None, "")


def test_response_with_one_encoding_of_several_is_encoded():
    headers = [(b"content-encoding", b"gzip"), (b"content-encoding", b"identity")]
    assert decode_response_head(200, headers).encoded

"""Test decoding of configuration, registry entries and engine responses."""

import json
import math

import pytest

from jasminewalk.exceptions import BadConfigurationError, BadMessageError
from jasminewalk.platform.configuration import decode_configuration
from jasminewalk.platform.engines import (
    decode_prompt_handle,
    decode_report,
    encode_stage_order,
)
from jasminewalk.platform.registry import decode_engine_entry
from platform_fakes import configuration

ENTRY = {
    "service": "llm",
    "address": "10.1.0.9:8080",
    "zone": "north",
    "slots": 16,
    "state": "ready",
    "stage": "decode",
    "born": 12,
}


def decode_with_changes(**changes):
    return decode_configuration(json.dumps(configuration() | changes).encode())


def test_routes_are_decoded_with_times_in_seconds():
    routes = {route.name: route for route in decode_with_changes().routes}

    assert routes["booking"].timeout_s == 0.9
    assert not routes["booking"].repeatable
    assert routes["lookup"].repeatable
    assert routes["lookup"].max_event_gap_s == math.inf
    assert routes["lookup"].patience_s == max(2.0, 4 * routes["lookup"].objective_s)
    assert routes["verdict"].resumable and routes["verdict"].repeatable
    assert routes["helper"].streaming and not routes["helper"].repeatable


@pytest.mark.parametrize(
    ("target_latency_ms", "gap_aim_ms", "expected_patience_s"),
    [(250, 150, 2.0), (663, 150, 2.652), (250, 500, 4.0), (250, None, 2.0)],
)
def test_patience_is_the_longest_of_three_bounds(
    target_latency_ms, gap_aim_ms, expected_patience_s
):
    route = configuration()["routes"][0] | {"target_latency_ms": target_latency_ms}
    route.pop("gap_aim_ms", None)
    if gap_aim_ms is not None:
        route["gap_aim_ms"] = gap_aim_ms
    assert decode_with_changes(routes=[route]).routes[0].patience_s == pytest.approx(
        expected_patience_s
    )


def test_traffic_split_lists_all_services():
    route = configuration()["routes"][0]
    del route["service"]
    route["traffic_split"] = [
        {"service": "app", "weight": 90},
        {"service": "new", "weight": 10},
    ]
    split = decode_with_changes(routes=[route]).routes[0].split
    assert [(share.service, share.weight) for share in split] == [
        ("app", 90),
        ("new", 10),
    ]
    route["service"] = "app"


@pytest.mark.parametrize(
    "text", [b"", b"[]", b"{}", b'{"version":1,"routes":[{}],"services":[]}', b"\xff"]
)
def test_invalid_configuration_raises_error(text):
    with pytest.raises(BadConfigurationError):
        decode_configuration(text)


def test_registry_entry_is_decoded():
    entry = decode_engine_entry("i-1", json.dumps(ENTRY).encode())
    assert (entry.engine_id, entry.leaving, entry.started_ms) == ("i-1", False, 12)


@pytest.mark.parametrize(
    "changes",
    [
        {"service": 7},
        {"service": None},
        {"address": "no port"},
        {"address": ["10.1.0.9", 8080]},
        {"state": "sleeping"},
        {"slots": "many"},
        {"slots": True},
        {"zone": None},
        {"stage": "both"},
    ],
)
def test_registry_entry_with_invalid_field_raises_error(changes):
    with pytest.raises(BadMessageError):
        decode_engine_entry("i-1", json.dumps(ENTRY | changes).encode())


@pytest.mark.parametrize("text", [b"", b"\x00\x01", b"[1]", b'"ready"'])
def test_registry_entry_that_is_not_an_object_raises_error(text):
    with pytest.raises(BadMessageError):
        decode_engine_entry("i-1", text)


@pytest.mark.parametrize("text", [b"", b"[]", b'{"tokens":3}', b'{"kv_handle":7}'])
def test_prefill_response_without_handle_raises_error(text):
    with pytest.raises(BadMessageError):
        decode_prompt_handle(text)


@pytest.mark.parametrize("text", [b"{}", b"x", b'{"stage":"decode","sequence":"x"}'])
def test_invalid_report_raises_error(text):
    with pytest.raises(BadMessageError):
        decode_report(text)


def test_stage_order_contains_holder_fence_and_expected_orders():
    assert json.loads(encode_stage_order("prefill", "front-1", 9, 4)) == {
        "op": "stage",
        "stage": "prefill",
        "holder": "front-1",
        "fence": 9,
        "expected": 4,
    }

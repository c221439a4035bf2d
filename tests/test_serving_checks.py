"""Checks of a serving configuration before it is sent."""

import copy
import json
from pathlib import Path

import pytest
from hypothesis import given, settings, strategies as st

from jasminewalk.exceptions import BadConfigurationError
from jasminewalk.gateway.routes import RouteTable
from jasminewalk.operators.serving_checks import describe_changes, find_problems
from jasminewalk.platform.configuration import decode_configuration
from platform_fakes import configuration

EXAMPLE = Path(__file__).resolve().parent.parent / "examples" / "serving"
KEY = "sk-very-secret-1"


def build(change=lambda document: None, *, organisations=False):
    document = copy.deepcopy(configuration())
    if organisations:
        document["tenants"] = [{"name": "bar", "api_keys": [KEY]}]
    change(document)
    return document


def decode(document):
    return decode_configuration(json.dumps(document).encode())


def set_route(**fields):
    return lambda document: document["routes"][0].update(fields)


def set_service(**fields):
    return lambda document: document["services"][0].update(fields)


def add_organisations(*items):
    return lambda document: document.update(tenants=list(items))


def test_sound_configurations_have_no_problem():
    assert find_problems(decode(build())) == []
    assert find_problems(decode(build(organisations=True))) == []


@pytest.mark.parametrize(
    ("change", "is_error", "text"),
    [
        (set_route(service="absent"), True, "'absent' is not among the services"),
        (
            set_route(traffic_split=[{"service": "app", "weight": 0}]),
            True,
            "no service has a weight over 0",
        ),
        (
            set_route(traffic_split=[{"service": "app", "weight": -1}]),
            True,
            "is negative",
        ),
        (set_route(path_prefix="book/"), True, "has no /"),
        (set_route(host="bar.example:80"), True, "has a port"),
        (set_route(path_prefix="/look/"), False, "can never match"),
        (set_route(name="lookup"), False, "has the name of routes[0]"),
        (set_route(timeout_ms=0), True, "timeout_ms is not over 0"),
        (set_route(timeout_ms=100), False, "is below target_latency_ms 150"),
        (set_route(kind="streaming", gap_aim_ms=5000), False, "is over timeout_ms"),
        (set_route(max_attempts=3), False, "may not run twice"),
        (
            lambda document: document["services"].append({"name": "idle"}),
            False,
            "no route sends requests to it",
        ),
        (set_service(max_connections=0), True, "max_connections 0 allows none"),
        (
            lambda document: document["limits"].update(max_header_bytes=0),
            True,
            "refuses every request",
        ),
        (
            lambda document: document["limits"].update(max_body_bytes=0),
            False,
            "every request with a body",
        ),
        (
            add_organisations(
                {"name": "bar", "api_keys": [KEY]}, {"name": "pub", "api_keys": [KEY]}
            ),
            True,
            "is also one of 'bar'",
        ),
        (
            add_organisations({"name": "bar", "api_keys": [KEY]}, {"name": "pub"}),
            False,
            "'pub': has no key",
        ),
        (add_organisations({"name": "bar"}), True, "no key can reach it"),
    ],
)
def test_each_mistake_is_found(change, is_error, text):
    problems = find_problems(decode(build(change)))
    found = [held for held in problems if text in str(held)]
    assert found, problems
    assert all(held.is_error == is_error for held in found)
    assert KEY not in " ".join(map(str, problems))


@pytest.mark.parametrize(
    ("change", "line"),
    [
        (
            lambda new: new["routes"].pop(0),
            "callers: requests to bar.example/book/ get",
        ),
        (
            lambda new: new["routes"][0].update(service="llm"),
            "bar.example/book/ go to llm in place of app",
        ),
        (
            lambda new: new["routes"][0].update(timeout_ms=800),
            "routes: bar.example/book/ changes timeout_s 0.9 to 0.8",
        ),
        (
            lambda new: new["services"][0].update(max_connections=7),
            "services: 'app' changes max_connections",
        ),
        (lambda new: new["limits"].update(max_body_bytes=9), "limits: body_bytes"),
        (lambda new: new.update(tenants=[]), "'bar' is removed, its callers get 401"),
        (
            lambda new: new["tenants"][0].update(api_keys=["sk-new"]),
            "tenants: 'bar' loses key ",
        ),
        (
            lambda new: new["tenants"][0].update(api_keys=[]),
            "'bar' has no key any more",
        ),
        (lambda new: new.update(version=1), "version 1 is not over the 1 in force"),
    ],
)
def test_each_change_is_described(change, line):
    in_force = build(organisations=True)
    new = copy.deepcopy(in_force) | {"version": 2}
    change(new)
    lines = describe_changes(decode(in_force), decode(new))
    assert any(line in held for held in lines), lines
    assert KEY not in " ".join(lines)


def test_same_configuration_changes_nothing():
    new = build(organisations=True) | {"version": 2}
    assert describe_changes(decode(build(organisations=True)), decode(new)) == []


def test_first_keys_shut_out_callers_without_one():
    lines = describe_changes(
        decode(build()), decode(build(organisations=True) | {"version": 2})
    )
    assert "callers: requests to bar.example/look/ get 401 without a key" in lines


documents = st.fixed_dictionaries(
    {
        "version": st.integers(0, 9),
        "routes": st.lists(
            st.fixed_dictionaries(
                {
                    "host": st.sampled_from(["a", "A", "a:1", ""]),
                    "path_prefix": st.sampled_from(["/", "/x/", "x"]),
                    "service": st.sampled_from(["s", "t"]),
                },
                optional={"timeout_ms": st.integers(-1, 9), "kind": st.just("safe")},
            ),
            max_size=4,
        ),
        "services": st.lists(
            st.fixed_dictionaries({"name": st.sampled_from(["s", "t"])}), max_size=2
        ),
    }
)


@settings(deadline=None)
@given(documents)
def test_every_route_without_a_problem_matches_its_own_requests(document):
    serving = decode(document)
    paths = {held.path for held in find_problems(serving)}
    table = RouteTable.from_configuration(serving)
    for number, route in enumerate(serving.routes):
        if f"routes[{number}] {route.name!r}" not in paths:
            assert table.match(route.host, route.path_prefix) is route
            assert table.choose_service(route, "r") in serving.services


@pytest.fixture
def write(tmp_path):
    def write(name, text):
        path = tmp_path / name
        path.write_text(text if isinstance(text, str) else json.dumps(text))
        return path

    return write


def test_command_reports_problems_changes_and_exit_codes(run_command, write):
    in_force = write("in-force.json", build())
    warned = write(
        "new.json", build(set_route(max_attempts=3, service="llm")) | {"version": 2}
    )
    result = run_command("check", warned, "--against", in_force)
    assert result.code == 0
    assert "warning routes[0] 'booking': max_attempts 3" in result.out
    assert "go to llm in place of app" in result.out
    assert run_command("check", warned, "--strict").code == 7
    result = run_command("check", warned, "--as_json", "--against", in_force)
    report = json.loads(result.out)
    assert report["version"] == 2
    assert report["problems"][0]["error"] is False
    assert report["changes"]
    broken = write("broken.json", build(set_route(service="absent")))
    result = run_command("check", broken)
    assert result.code == 7
    assert "error routes[0] 'booking': service 'absent'" in result.out


def test_example_shows_what_the_command_prints(run_command, monkeypatch):
    monkeypatch.chdir(EXAMPLE)
    result = run_command("check", "new.json", "--against", "in-force.json")
    assert result.code == 7
    assert result.out in (EXAMPLE / "README.md").read_text(encoding="utf-8")


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('{"version": 1,\n "routes": [}', "line 2 column 13"),
        ('{"version": 1}', "missing required field"),
        ("[" * 100_000, "recursion"),
    ],
)
def test_unreadable_configuration_says_where(run_command, write, text, message):
    result = run_command("check", write("bad.json", text))
    assert result.code == 7
    assert message in result.err


@settings(deadline=None)
@given(st.recursive(st.none() | st.integers() | st.text(), st.lists, max_leaves=5))
def test_what_a_gateway_refuses_is_never_passed(value):
    document = build() | {"routes": value}
    try:
        decode(document)
    except BadConfigurationError:
        return
    assert isinstance(find_problems(decode(document)), list)

import json
import re
from pathlib import Path

import pytest
from hypothesis import given, settings, strategies as st

from jasminewalk.exceptions import BadConfigurationError
from jasminewalk.operators.configuration import ConfigurationView
from jasminewalk.operators.configuration_checks import check_documents
from jasminewalk.operators.configuration_files import read_configuration

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
ORGANISATION = {"template": "band-fittings", "version": 1, "parameters": {}}


def load_example(name):
    view = ConfigurationView()
    documents = read_configuration(str(EXAMPLES / name / "configuration.yaml"))
    check_documents(documents, view)
    return view


@pytest.fixture
def thrissur():
    return load_example("thrissur")


def encode_organisation(**changes):
    return json.dumps({**ORGANISATION, **changes})


@pytest.mark.parametrize(
    ("name", "organisation", "engine_pool"),
    [
        ("escuela", "cantabria", "tutor"),
        ("thrissur", "temple-bands", "fitting-assistant"),
    ],
)
def test_examples_are_valid_and_complete(name, organisation, engine_pool):
    view = load_example(name)
    found = view.get_organisation(organisation)
    assert {rule.pool for rule in found.models.values()} == {engine_pool}
    assert view.pools[engine_pool].kind == "engine"
    for service in found.services.values():
        assert not any(call.startswith("POST") for call in service.repeatable)
    assert all(
        view.get_organisation(name) for name in view.iterate_organisation_names()
    )


def test_invalid_document_never_replaces_a_valid_one(thrissur):
    valid = thrissur.get_organisation("ward-office")
    pools = thrissur.pools
    invalid = [
        ("organisation/ward-office", encode_organisation(version=7)),
        ("organisation/ward-office", encode_organisation(parameters={"weight": -1})),
        ("organisation/ward-office", "{"),
        ("template/band-fittings", "[]"),
        ("fleet/default", '{"pools": {"p": {"kind": "car"}}}'),
        ("gadget/x", "{}"),
    ]
    for revision, (subject, document) in enumerate(invalid, start=20):
        assert not thrissur.apply(subject, revision, document)
    assert not thrissur.apply("fleet/default", 30, "", deleted=True)
    assert thrissur.get_organisation("ward-office") == valid
    assert thrissur.pools == pools
    assert thrissur.ignored_count == len(invalid) + 1
    assert thrissur.revision == 30


def test_template_may_come_after_its_organisations(thrissur):
    view = ConfigurationView()
    view.apply("organisation/a", 5, encode_organisation())
    assert view.get_organisation("a") is None
    template = json.dumps({"versions": {}})
    view.apply("template/band-fittings", 2, template)
    assert view.get_organisation("a") is None
    view.templates.update(thrissur.templates)
    assert view.get_organisation("a").weight == 1.0


def test_change_and_deletion_take_effect_at_once(thrissur):
    assert thrissur.get_organisation("ward-office").weight == 0.5
    thrissur.apply(
        "organisation/ward-office", 9, encode_organisation(parameters={"weight": 3})
    )
    assert thrissur.get_organisation("ward-office").weight == 3.0
    thrissur.apply("organisation/ward-office", 10, "", deleted=True)
    assert thrissur.get_organisation("ward-office") is None


def test_rendered_organisations_are_bounded(thrissur):
    thrissur.rendered_limit = 3
    for number in range(10):
        thrissur.apply(f"organisation/o{number}", 20 + number, encode_organisation())
        assert thrissur.get_organisation(f"o{number}").name == f"o{number}"
    assert list(thrissur.rendered) == ["o7", "o8", "o9"]


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.sampled_from(["a", "${a}", "${b}", "engine", "list", "(", "GET /", ""]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["a", "1", "${a}", "default"]), inner)
    ),
    max_leaves=6,
)
TEMPLATE = {
    "versions": {
        "1": {
            "parameters": {"a": {"type": "list", "default": ["x"], "pattern": "x+"}},
            "organisation": {
                "classes": {"c": {"deadline_s": 3}},
                "failure_domains": "${a}",
                "models": {"m": {"pool": "p", "request_class": "c"}},
                "services": {},
            },
        }
    }
}


def iterate_paths(value, path=()):
    yield path
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from iterate_paths(inner, (*path, key))


def replace_at(value, path, new):
    if not path:
        return new
    return {**value, path[0]: replace_at(value[path[0]], path[1:], new)}


@settings(derandomize=True, deadline=None, max_examples=400)
@given(
    path=st.sampled_from(list(iterate_paths(TEMPLATE))), new=VALUES, parameters=VALUES
)
def test_no_document_on_the_log_raises_an_error(path, new, parameters):
    view = ConfigurationView()
    view.apply("template/t", 1, json.dumps(replace_at(TEMPLATE, path, new)))
    organisation = {"template": "t", "version": 1, "parameters": parameters}
    for name, document in (("o", organisation), ("p", new), ("o", organisation)):
        view.apply(f"organisation/{name}", 2, json.dumps(document))
        found = view.get_organisation(name)
        assert found is None or found.name == name
    view.apply("fleet/default", 3, json.dumps({"pools": {"p": new}}))
    assert all(pool.kind in ("engine", "service") for pool in view.pools.values())


def test_documents_in_configuration_guide_are_valid(tmp_path):
    guide = (EXAMPLES.parent / "docs/CONFIGURATION.md").read_text()
    configuration, deletion = re.findall(r"```yaml\n(.*?)```", guide, re.DOTALL)
    path = tmp_path / "c.yaml"
    path.write_text(configuration)
    view = ConfigurationView()
    check_documents(read_configuration(str(path)), view)
    assert view.get_organisation("asturias").services["enrolment"].repeatable == [
        "GET /"
    ]
    path.write_text(deletion.replace("hoteles-costa-verde", "asturias"))
    check_documents(read_configuration(str(path)), view)
    assert view.get_organisation("asturias") is None


CONFIGURATION = """\
kind: fleet
name: default
failure_domains: [a, b]
pools:
  big: {kind: engine, models: [m]}
  desk: {kind: service}
---
kind: template
name: t
versions:
  1:
    parameters:
      pool: {type: string, default: big}
      places: {type: list, default: [a]}
    organisation:
      classes: {c: {deadline_s: 3}}
      failure_domains: ${places}
      models: {m: {pool: '${pool}', request_class: c}}
      services: {}
---
kind: organisation
name: o
template: t
version: 1
parameters: {}
"""


ORGANISATION_KIND_LINE = "kind: organisation"


@pytest.mark.parametrize(
    ("old", "new", "line_start", "message"),
    [
        ("kind: fleet", "kind: fleets", "", "kind: found 'fleets'; allowed is one of"),
        ("name: default", "name: other", "", "name: found 'other'; allowed is default"),
        ("kind: engine", "kind: engin", "", "pools.big.kind: found 'engin'"),
        ("models: [m]}", "modles: [m]}", "", "pools.big.modles: found an unknown name"),
        ("pool: {type: string", "pool: {type: text", "", "allowed is one of string"),
        ("${places}", "${place}", "organisation:", "organisation: found ${place}"),
        (
            "template: t",
            "template: u",
            "",
            "template: found 'u'; allowed is a template",
        ),
        ("version: 1", "version: 2", "", "version: found 2 of template 't'"),
        ("version: 1", "version: 1\nversion: 1", "version: 1\nparam", "found twice"),
        ("name: o\n", "name: O\n", "", "name: found 'O'; allowed is a name of"),
        ("parameters: {}", "parameters: {pool: 3}", "", "parameters.pool: found 3"),
        (
            "parameters: {}",
            "parameters: {pool: desk}",
            ORGANISATION_KIND_LINE,
            "models.m: found pool 'desk' of kind service; allowed is kind engine",
        ),
        (
            "parameters: {}",
            "parameters: {pool: big2}",
            ORGANISATION_KIND_LINE,
            "models.m: found pool 'big2'; allowed is one of big, desk",
        ),
        (
            "parameters: {}",
            "parameters: {places: [c]}",
            ORGANISATION_KIND_LINE,
            "failure_domains: found 'c'; allowed is one of a, b",
        ),
        (
            "models: [m]}",
            "models: [n]}",
            ORGANISATION_KIND_LINE,
            "models.m: found 'm', which is not among the models of pool big",
        ),
    ],
)
def test_errors_name_line_path_found_and_allowed(
    tmp_path, old, new, line_start, message
):
    path = tmp_path / "c.yaml"
    changed = new.join(CONFIGURATION.rsplit(old, 1))
    path.write_text(changed)
    with pytest.raises(BadConfigurationError) as caught:
        check_documents(read_configuration(str(path)), ConfigurationView())
    line = 1 + changed[: changed.index(line_start or new)].count("\n")
    first_line = caught.value.detail.splitlines()[0]
    assert first_line.startswith(f"{path}:{line}: ")
    assert message in first_line


def test_published_version_never_changes(tmp_path):
    path = tmp_path / "c.yaml"
    path.write_text(CONFIGURATION)
    view = ConfigurationView()
    check_documents(read_configuration(str(path)), view)
    path.write_text(CONFIGURATION.replace("deadline_s: 3", "deadline_s: 4"))
    with pytest.raises(
        BadConfigurationError, match="published version must not change"
    ):
        check_documents(read_configuration(str(path)), view)
    path.write_text(CONFIGURATION.replace("  1:\n", "  2:\n"))
    with pytest.raises(
        BadConfigurationError, match="published version must not be removed"
    ):
        check_documents(read_configuration(str(path)), view)


def test_fleet_must_serve_organisations_in_force(tmp_path):
    path = tmp_path / "c.yaml"
    path.write_text(CONFIGURATION)
    view = ConfigurationView()
    check_documents(read_configuration(str(path)), view)
    path.write_text("kind: fleet\nname: default\npools: {}\n")
    with pytest.raises(
        BadConfigurationError, match=r"organisation/o: models\.m: found"
    ):
        check_documents(read_configuration(str(path)), view)

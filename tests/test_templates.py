import pytest

from jasminewalk.exceptions import BadConfigurationError
from jasminewalk.generated_configuration import (
    OrganisationDocument,
    Template,
    TemplateParameter,
    TemplateVersion,
)
from jasminewalk.operators.templates import (
    find_template_problems,
    find_value_problem,
    render_organisation,
)

BODY = {
    "weight": "${weight}",
    "failure_domains": "${domains}",
    "classes": {"helper": {"deadline_s": "${deadline_s}"}},
    "models": {"${model}": {"pool": "pool-${model}", "request_class": "helper"}},
    "services": {},
}
PARAMETERS = {
    "domains": TemplateParameter(
        type="list", allowed=["north", "south"], minimum=1, required=True
    ),
    "weight": TemplateParameter(type="number", default=1.0, minimum=0.5, maximum=4),
    "deadline_s": TemplateParameter(type="integer", default=6),
    "model": TemplateParameter(type="string", default="m", pattern="[a-z]+"),
}


@pytest.fixture
def version():
    return TemplateVersion(parameters=PARAMETERS, organisation=BODY)


@pytest.fixture
def template(version):
    return Template(versions={"1": version})


def render(template, parameters, version=1):
    document = OrganisationDocument(
        template="t", version=version, parameters=parameters
    )
    return render_organisation("cafe", document, template)


def test_values_keep_their_types(template):
    organisation = render(
        template, {"domains": ["south"], "weight": 2, "model": "tutor"}
    )
    assert organisation.name == "cafe"
    assert organisation.weight == 2.0
    assert organisation.failure_domains == ["south"]
    assert organisation.models["tutor"].pool == "pool-tutor"
    assert organisation.classes["helper"].deadline_s == 6.0


@pytest.mark.parametrize(
    ("parameters", "message"),
    [
        ({}, "parameters: found no domains; it is needed"),
        (
            {"domains": []},
            "parameters.domains: found []; allowed is a length of 1 or more",
        ),
        ({"domains": ["east"]}, "found 'east'; allowed is one of north, south"),
        ({"domains": "north"}, "found 'north'; allowed is a value of type list"),
        ({"domains": ["north"], "weight": 9}, "found 9; allowed is 4 or less"),
        ({"domains": ["north"], "weight": True}, "found True; allowed is a value of"),
        ({"domains": ["north"], "deadline_s": 1.5}, "of type integer"),
        ({"domains": ["north"], "deadline_s": 0}, "classes"),
        ({"domains": ["north"], "model": "B2"}, "text that matches [a-z]+"),
        ({"domains": ["north"], "wieght": 1}, "parameters.wieght: found an unknown"),
    ],
)
def test_error_for_bad_value_names_path_found_and_allowed(
    template, parameters, message
):
    with pytest.raises(BadConfigurationError) as caught:
        render(template, parameters)
    assert message in caught.value.detail


def test_error_for_unknown_version_lists_known_versions(template):
    with pytest.raises(BadConfigurationError, match=r"found 2 .* allowed is one of 1"):
        render(template, {"domains": ["north"]}, version=2)


def test_unknown_request_class_is_rejected():
    body = {
        "classes": {},
        "models": {"m": {"pool": "p", "request_class": "helper"}},
        "services": {},
    }
    template = Template(
        versions={"1": TemplateVersion(parameters={}, organisation=body)}
    )
    with pytest.raises(BadConfigurationError, match=r"models\.m\.request_class"):
        render(template, {})


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"x": TemplateParameter(type="string")}, "neither required nor a default"),
        ({"x": TemplateParameter(type="integer", default="a")}, "default: found 'a'"),
        ({"x": TemplateParameter(type="string", default="", pattern="(")}, "pattern"),
        ({"x": TemplateParameter(type="integer", default=1, pattern="1")}, "a pattern"),
    ],
)
def test_bad_parameter_declarations_are_reported(changes, message):
    version = TemplateVersion(parameters={**PARAMETERS, **changes}, organisation=BODY)
    problems = find_template_problems(Template(versions={"1": version}))
    assert [message in problem.text for problem in problems] == [True]
    assert problems[0].path == ("versions", "1", "parameters", "x")


def test_placeholder_without_parameter_is_reported():
    version = TemplateVersion(parameters={}, organisation={"weight": "${weight}"})
    problems = find_template_problems(Template(versions={"0": version}))
    assert {problem.path for problem in problems} == {
        ("versions", "0"),
        ("versions", "0", "organisation"),
    }


def test_name_must_be_a_string():
    domains = TemplateParameter(type="list", default=["a"])
    body = {"classes": {"${domains}": {}}, "models": {}, "services": {}}
    version = TemplateVersion(parameters={"domains": domains}, organisation=body)
    with pytest.raises(BadConfigurationError, match="as a name; allowed is a string"):
        render(Template(versions={"1": version}), {})


def test_boolean_parameter_rejects_integers():
    flag = TemplateParameter(type="boolean", default=False)
    assert find_value_problem(flag, True) == ""
    assert find_value_problem(flag, 1) != ""

import socket
from pathlib import Path

import pytest
import yaml

from jasminewalk.generated_codes import RESULTS

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
COMMANDS = (
    "check",
    "demo",
    "entry",
    "explain",
    "load",
    "measure",
    "publish",
    "sidecar",
    "standin engine",
    "standin instances",
    "standin log",
    "standin service",
    "standin weights",
    "status",
)
OPERATOR_SETTINGS = """\
instances_address: {0}
status_timeout_s: 0.5
publish_timeout_s: 0.5
log:
  address: {0}
  timeout_s: 0.5
"""


@pytest.fixture
def operator_file(tmp_path, free_address):
    path = tmp_path / "operator.yaml"
    path.write_text(OPERATOR_SETTINGS.format(free_address))
    return path


@pytest.mark.parametrize("command", COMMANDS)
def test_help_describes_each_command(run_command, command):
    result = run_command(*command.split(), "--help")
    text = result.out + result.err
    assert result.code == 0
    assert f"jasminewalk {command} - " in text
    assert "param" not in text
    assert "GROUP" not in text


@pytest.mark.parametrize("file", sorted(EXAMPLES.rglob("*.yaml")))
def test_example_file_is_valid(run_command, file):
    result = run_command("check", file)
    assert (result.code, result.err) == (0, "")
    assert f"{file}: valid " in result.out


@pytest.mark.parametrize(
    ("arguments", "code", "message"),
    [
        (("check", "absent.yaml"), 7, "error 1601 bad_settings: absent.yaml: cannot"),
        (("entry", "--settings", "absent.yaml"), 7, "error 1601 bad_settings: absent"),
        (("status", "--settings", "absent.yaml"), 7, "error 1601 bad_settings"),
        (("publish",), 2, "required argument: file"),
        (("publish", "x", "--bsae", "3"), 2, "bsae"),
        (("fly",), 2, "fly"),
    ],
)
def test_errors_have_an_exit_code_and_no_traceback(
    run_command, arguments, code, message
):
    result = run_command(*arguments)
    assert result.code == code
    assert message in result.err
    assert "Traceback" not in result.err


@pytest.mark.parametrize(
    ("arguments", "name"),
    [
        (("status",), "unreachable"),
        (("explain", "r-1"), "unreachable"),
        (("publish", EXAMPLES / "thrissur/configuration.yaml"), "log_unavailable"),
    ],
)
def test_unreachable_platform_reports_an_error_code(
    run_command, operator_file, arguments, name
):
    result = run_command(*arguments, "--settings", operator_file)
    expected = next(row for code, row in RESULTS.items() if code.name.lower() == name)
    assert result.code == expected.exit_code
    assert f"error {int(expected.code)} {name}: " in result.err
    assert len(result.err.strip().splitlines()) == 1


@pytest.mark.parametrize("command", ["sidecar", "standin log"])
def test_address_in_use_reports_an_error_code(
    run_command, tmp_path, free_address, command
):
    path = tmp_path / "settings.yaml"
    host, port = free_address.split(":")
    example = EXAMPLES / "local/escuela/sidecar-enrolment-1.yaml"
    text = f"listen: {free_address}\nappends_per_s: 5\n"
    if command == "sidecar":
        changes = {"listen": "127.0.0.1:0", "control_listen": free_address}
        text = yaml.safe_dump({**yaml.safe_load(example.read_text()), **changes})
    path.write_text(text)
    with socket.create_server((host, int(port))):
        result = run_command(*command.split(), "--settings", path)
    assert result.code == 7
    assert f"cannot listen on one of {free_address}" in result.err.replace(
        "127.0.0.1:0, ", ""
    )


@pytest.mark.parametrize("name", ["1e3", "a,b", "[x]", "True"])
def test_text_arguments_are_not_parsed_as_python(run_command, name):
    result = run_command("check", name)
    assert f"{name}: cannot be read" in result.err


def test_unknown_flag_fails_before_the_command_runs(run_command, tmp_path):
    path = tmp_path / "report"
    result = run_command(
        "load", EXAMPLES / "local/load-escuela.yaml", "--out", path, "--dryrun"
    )
    assert result.code == 2
    assert not path.exists()

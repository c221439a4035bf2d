import pytest

from jasminewalk.exceptions import BadSettingsError
from jasminewalk.generated_settings import EntrySettings
from jasminewalk.operators.file_checks import check_file
from jasminewalk.settings import load_settings

ENTRY_SETTINGS = """\
name: entry-1
failure_domain: a
listen: 127.0.0.1:0
instances_address: 127.0.0.1:1
log:
  address: 127.0.0.1:2
peers:
  shared_key: 0123456789abcdef
"""


@pytest.fixture
def write_settings(tmp_path):
    def write(text):
        path = tmp_path / "s.yaml"
        path.write_text(text)
        return str(path)

    return write


def test_defaults_are_applied(write_settings):
    settings = load_settings(write_settings(ENTRY_SETTINGS), EntrySettings)
    assert settings.log.timeout_s == 2.0
    assert settings.peers.heartbeat_s == 0.5
    assert check_file(write_settings(ENTRY_SETTINGS)).text.endswith(
        "valid settings of entry"
    )


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("name: entry-1", "nam: entry-1", ":1: nam: found an unknown name; did you"),
        ("name: entry-1\n", "", ":1: found no name; it is needed: name of the entry"),
        ("127.0.0.1:0", "here", ":3: listen: found 'here'; allowed is host:port"),
        (
            "127.0.0.1:2",
            "2",
            ":6: log.address: found 2; allowed is a value of type str",
        ),
        ("0123456789abcdef", "short", "8: peers.shared_key: found 'short'; allowed"),
        ("log:\n", "log: 3\nx:\n", ":5: log: found 3; allowed is a value of type obj"),
        ("name: entry-1", "subset: 0\nname: e", ":1: subset: found 0; allowed is 1 or"),
        ("name: entry-1", "shutdown_s: 0\nname: e", "found 0; allowed is more than 0"),
        (
            "name: entry-1",
            "subset: .nan\nname: e",
            ":1: subset: found .nan; allowed is",
        ),
        (
            "name: entry-1",
            "subset: .inf\nname: e",
            "found .inf; allowed is a number up",
        ),
        ("name: entry-1", "seed: 1" + "0" * 99, ":1: seed: found 1000"),
        ("name: entry-1", "? [a]\n: 1", ":1: found a name that is not plain text"),
        ("name: entry-1", "name: &a [*a]", "nested too deeply or contain themselves"),
        (
            "name: entry-1",
            "name: !!python/name:os.abort",
            "found text that is not YAML",
        ),
        ("name: entry-1", "name: [", "found text that is not YAML"),
        ("name: entry-1", "a: 1\n---\nb: 2", "found 2 documents; allowed is one"),
    ],
)
def test_errors_name_line_path_and_allowed_values(write_settings, old, new, message):
    with pytest.raises(BadSettingsError) as caught:
        load_settings(write_settings(ENTRY_SETTINGS.replace(old, new)), EntrySettings)
    assert message in caught.value.detail


def test_missing_file_raises_bad_settings():
    with pytest.raises(BadSettingsError, match=r"no\.yaml: cannot be read: No such"):
        load_settings("no.yaml", EntrySettings)


def test_all_problems_are_listed_in_line_order(write_settings):
    text = ENTRY_SETTINGS.replace("listen: 127.0.0.1:0", "listen: x").replace(
        "name:", "nam:"
    )
    with pytest.raises(BadSettingsError) as caught:
        load_settings(write_settings(text), EntrySettings)
    lines = [line.split(":")[1] for line in caught.value.detail.splitlines()]
    assert lines == ["1", "1", "3"]

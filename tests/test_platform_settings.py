"""Settings files that the platform lays beside each process."""

import pytest

from jasminewalk.exceptions import BadSettingsError
from jasminewalk.platform.settings import get_settings_path, load_settings

GOOD = """
node_name = "front-1"
zone = "north"
ip = "10.1.0.35"
internal_ports = [7660, 7675]
something_new = true
[listen]
front = "10.1.0.35:8144"
ready = "10.1.0.35:8140"
[limits]
max_fds = 4100
[bounds]
drain_ms = 2500
grace_s = 6
budget_ratio = 0.1
lease_ms = 4000
[platform]
address = "10.200.1.7:8142"
ttl_min_ms = 1500
"""


@pytest.fixture
def settings_file(tmp_path):
    def write(text):
        path = tmp_path / "local.toml"
        path.write_text(text, encoding="utf-8")
        return path

    return write


def test_settings_are_decoded_into_seconds(settings_file):
    settings = load_settings(settings_file(GOOD))

    assert settings.name == "front-1"
    assert settings.failure_domain == "north"
    assert settings.peer_port == 7660
    assert settings.store_session_s == 1.5
    assert settings.bounds.drain_s == 2.5
    assert settings.bounds.grace_s == 6.0
    assert settings.bounds.retry_ratio == 0.1
    assert settings.bounds.handover_gap_s == 4.0
    assert settings.bounds.configuration_s == 2.0


@pytest.mark.parametrize(
    "text",
    [
        "not = toml = at all",
        GOOD.replace('node_name = "front-1"', ""),
        GOOD.replace("internal_ports = [7660, 7675]", "internal_ports = []"),
        GOOD.replace('front = "10.1.0.35:8144"', ""),
        GOOD.replace("grace_s = 6", 'grace_s = "soon"'),
    ],
)
def test_bad_settings_name_the_file(settings_file, text):
    path = settings_file(text)
    with pytest.raises(BadSettingsError, match=str(path)):
        load_settings(path)


def test_missing_file_is_a_settings_error(tmp_path):
    with pytest.raises(BadSettingsError):
        load_settings(tmp_path / "absent.toml")


def test_path_comes_from_the_environment(monkeypatch):
    monkeypatch.setenv("JASMINEWALK_CONFIG", "/somewhere/else.toml")
    assert str(get_settings_path()) == "/somewhere/else.toml"

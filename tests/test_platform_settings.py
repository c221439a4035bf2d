"""Test reading of the platform's settings file."""

import pytest

from jasminewalk.exceptions import BadSettingsError
from jasminewalk.platform.settings import get_settings_path, load_settings

VALID_SETTINGS = """
node_name = "front-1"
zone = "north"
ip = "10.1.0.35"
internal_ports = [7660, 7675]
heartbeat_ms = 900
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
def write_settings(tmp_path):
    def write(text):
        path = tmp_path / "local.toml"
        path.write_text(text, encoding="utf-8")
        return path

    return write


def test_times_are_converted_to_seconds(write_settings):
    settings = load_settings(write_settings(VALID_SETTINGS))

    assert settings.name == "front-1"
    assert settings.failure_domain == "north"
    assert settings.peer_port == 7660
    assert settings.store_session_s == 1.5
    assert settings.heartbeat_s == 0.9
    assert settings.bounds.drain_s == 2.5
    assert settings.bounds.grace_s == 6.0
    assert settings.bounds.retry_ratio == 0.1
    assert settings.bounds.handover_gap_s == 4.0
    assert settings.bounds.configuration_s == 2.0


@pytest.mark.parametrize(
    "text",
    [
        "not = toml = at all",
        VALID_SETTINGS.replace('node_name = "front-1"', ""),
        VALID_SETTINGS.replace("internal_ports = [7660, 7675]", "internal_ports = []"),
        VALID_SETTINGS.replace('front = "10.1.0.35:8144"', ""),
        VALID_SETTINGS.replace("grace_s = 6", 'grace_s = "soon"'),
        VALID_SETTINGS.replace("grace_s = 6", "grace_s = nan"),
        VALID_SETTINGS.replace("grace_s = 6", "grace_s = -1"),
        VALID_SETTINGS.replace("lease_ms = 4000", "lease_ms = inf"),
        VALID_SETTINGS.replace("max_fds = 4100", "max_fds = inf"),
        VALID_SETTINGS.replace("[limits]", "[nested]\na = " + "[" * 5000 + "[limits]"),
        VALID_SETTINGS.replace("[limits]\nmax_fds = 4100", "").replace(
            "something_new", "limits"
        ),
        VALID_SETTINGS.replace("[7660, 7675]", "[76600, 76750]"),
        VALID_SETTINGS.replace("10.1.0.35:8144", "10.1.0.35:81440"),
        VALID_SETTINGS.replace("10.200.1.7:8142", "store.example:8142"),
        VALID_SETTINGS.replace("10.200.1.7:8142", "0.0.0.0:8142"),
    ],
)
def test_invalid_settings_error_names_the_file(write_settings, text):
    path = write_settings(text)
    with pytest.raises(BadSettingsError, match=str(path)):
        load_settings(path)


def test_missing_file_raises_settings_error(tmp_path):
    with pytest.raises(BadSettingsError):
        load_settings(tmp_path / "absent.toml")


def test_path_is_read_from_environment(monkeypatch):
    monkeypatch.setenv("JASMINEWALK_CONFIG", "/somewhere/else.toml")
    assert str(get_settings_path()) == "/somewhere/else.toml"

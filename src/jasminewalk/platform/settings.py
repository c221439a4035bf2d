"""Settings file that the platform lays beside each process."""

import os
import tomllib
from pathlib import Path
from typing import Any

import attrs

from jasminewalk.exceptions import BadSettingsError

__all__ = ["InstanceSettings", "SafetyBounds", "load_settings", "get_settings_path"]

PATH_VARIABLE = "JASMINEWALK_CONFIG"
DEFAULT_PATH = "/etc/jasminewalk/local.toml"


@attrs.frozen
class SafetyBounds:
    """Bounds within which the users expect the system to act.

    :param drain_s: seconds after which a leaving engine may get no new work.
    :param configuration_s: seconds within which a configuration is in force.
    :param grace_s: seconds between SIGTERM and SIGKILL.
    :param retry_ratio: extra arrivals per request that a service may get.
    :param retry_window_s: window of the retry budget in seconds.
    :param retry_slack: extra arrivals allowed in a window besides the ratio.
    :param handover_gap_s: least seconds between orders of two holders.
    """

    drain_s: float = 2.0
    configuration_s: float = 2.0
    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    handover_gap_s: float = 3.0


@attrs.frozen
class InstanceSettings:
    """What a process knows of its instance and of the platform.

    :param name: name of the instance.
    :param failure_domain: zone of the instance.
    :param ip: address that other instances reach.
    :param peer_port: first port for talk between processes of the system.
    :param callers_address: ``host:port`` on which callers are served.
    :param readiness_address: ``host:port`` that the balancer asks.
    :param store_address: ``host:port`` of the metadata store.
    :param store_session_s: least time to live of a group member in seconds.
    :param max_descriptors: descriptors that the process may open.
    :param bounds: bounds to keep.
    """

    name: str
    failure_domain: str
    ip: str
    peer_port: int
    callers_address: str
    readiness_address: str
    store_address: str
    store_session_s: float = 1.0
    max_descriptors: int = 1024
    bounds: SafetyBounds = attrs.field(factory=SafetyBounds)


def get_settings_path() -> Path:
    """Return the path of the settings file that the platform names."""
    return Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def load_settings(path: Path) -> InstanceSettings:
    """Read and check a settings file.

    :param path: TOML file.
    :raises BadSettingsError: if it can't be read or lacks a field.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise BadSettingsError(f"{path}: {error}") from error
    try:
        return _decode(document)
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise BadSettingsError(f"{path}: missing or bad field: {error!r}") from error


def _decode(document: dict[str, Any]) -> InstanceSettings:
    bounds = document.get("bounds", {})
    defaults = SafetyBounds()
    return InstanceSettings(
        name=str(document["node_name"]),
        failure_domain=str(document["zone"]),
        ip=str(document["ip"]),
        peer_port=int(document["internal_ports"][0]),
        callers_address=str(document["listen"]["front"]),
        readiness_address=str(document["listen"]["ready"]),
        store_address=str(document["platform"]["address"]),
        store_session_s=float(document["platform"].get("ttl_min_ms", 1000)) / 1e3,
        max_descriptors=int(document.get("limits", {}).get("max_fds", 1024)),
        bounds=SafetyBounds(
            drain_s=_seconds(bounds, "drain_ms", defaults.drain_s),
            configuration_s=_seconds(
                bounds, "config_apply_ms", defaults.configuration_s
            ),
            grace_s=float(bounds.get("grace_s", defaults.grace_s)),
            retry_ratio=float(bounds.get("budget_ratio", defaults.retry_ratio)),
            retry_window_s=float(
                bounds.get("budget_window_s", defaults.retry_window_s)
            ),
            retry_slack=float(bounds.get("budget_slack", defaults.retry_slack)),
            handover_gap_s=_seconds(bounds, "lease_ms", defaults.handover_gap_s),
        ),
    )


def _seconds(bounds: dict[str, Any], name: str, default_s: float) -> float:
    value = bounds.get(name)
    return default_s if value is None else float(value) / 1e3

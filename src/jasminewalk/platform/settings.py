"""Read the settings file that the platform provides on each instance."""

import os
import tomllib
from pathlib import Path
from typing import Any

import attrs

from jasminewalk.exceptions import BadSettingsError

__all__ = ["InstanceSettings", "SafetyBounds", "load_settings", "get_settings_path"]

SETTINGS_PATH_VARIABLE = "JASMINEWALK_CONFIG"
DEFAULT_SETTINGS_PATH = "/etc/jasminewalk/local.toml"


@attrs.frozen
class SafetyBounds:
    """Limits that the platform sets on the behaviour of the system.

    :param drain_s: seconds after which a leaving engine must get no new requests.
    :param configuration_s: seconds within which a published configuration must be in
        force.
    :param grace_s: seconds between SIGTERM and SIGKILL.
    :param retry_ratio: retries per request that a service may receive.
    :param retry_window_s: length of the retry budget's window in seconds.
    :param retry_slack: retries allowed in each window in addition to the ratio.
    :param handover_gap_s: minimum time between the orders of two lease holders, in
        seconds.
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
    """Settings of the instance on which a process runs.

    :param name: name of the instance.
    :param failure_domain: zone of the instance.
    :param ip: IP address at which other instances reach this one.
    :param peer_port: first port for messages between processes of the system.
    :param callers_address: ``host:port`` on which to serve callers.
    :param readiness_address: ``host:port`` on which to serve the load balancer's
        readiness check.
    :param store_address: ``host:port`` of the metadata store.
    :param store_session_s: shortest session of a group member that the store accepts,
        in seconds.
    :param max_open_files: maximum number of file descriptors that the process may open.
    :param bounds: limits on the behaviour of the system.
    """

    name: str
    failure_domain: str
    ip: str
    peer_port: int
    callers_address: str
    readiness_address: str
    store_address: str
    store_session_s: float = 1.0
    max_open_files: int = 1024
    bounds: SafetyBounds = attrs.field(factory=SafetyBounds)


def get_settings_path() -> Path:
    """Return the path of the settings file, from the environment or the default."""
    return Path(os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH))


def load_settings(path: Path) -> InstanceSettings:
    """Read and validate a settings file.

    :param path: path of the TOML file.
    :raises BadSettingsError: if the file can't be read or a field is missing or
        invalid.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise BadSettingsError(f"{path}: {error}") from error
    try:
        return _decode_settings(document)
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise BadSettingsError(
            f"{path}: missing or invalid field: {error!r}"
        ) from error


def _decode_settings(document: dict[str, Any]) -> InstanceSettings:
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
        max_open_files=int(document.get("limits", {}).get("max_fds", 1024)),
        bounds=SafetyBounds(
            drain_s=_get_seconds(bounds, "drain_ms", defaults.drain_s),
            configuration_s=_get_seconds(
                bounds, "config_apply_ms", defaults.configuration_s
            ),
            grace_s=float(bounds.get("grace_s", defaults.grace_s)),
            retry_ratio=float(bounds.get("budget_ratio", defaults.retry_ratio)),
            retry_window_s=float(
                bounds.get("budget_window_s", defaults.retry_window_s)
            ),
            retry_slack=float(bounds.get("budget_slack", defaults.retry_slack)),
            handover_gap_s=_get_seconds(bounds, "lease_ms", defaults.handover_gap_s),
        ),
    )


def _get_seconds(bounds: dict[str, Any], name: str, default_s: float) -> float:
    value = bounds.get(name)
    return default_s if value is None else float(value) / 1e3

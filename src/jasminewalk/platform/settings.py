"""Read the settings file that the platform provides on each instance."""

import math
import os
import tomllib
from pathlib import Path
from typing import Any

import attrs

from jasminewalk.exceptions import BadMessageError, BadSettingsError
from jasminewalk.platform.addresses import parse_address, parse_peer_address

__all__ = [
    "DEFAULT_HEARTBEAT_S",
    "DutySettings",
    "InstanceSettings",
    "SafetyBounds",
    "get_settings_path",
    "load_settings",
]

SETTINGS_PATH_VARIABLE = "JASMINEWALK_CONFIG"
DEFAULT_SETTINGS_PATH = "/etc/jasminewalk/local.toml"
DEFAULT_HEARTBEAT_S = 1.2
USAGE = "usage"
DEFAULT_USAGE_LATE_S = 10.0
DEFAULT_MEMORY_BYTES = 256_000_000


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
    :param key_confirmation_s: seconds without a read of the configuration after which
        an instance no longer takes keys, if ``needs_key_confirmation``.
    :param needs_key_confirmation: whether keys must be confirmed that often.
    """

    drain_s: float = 2.0
    configuration_s: float = 2.0
    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    handover_gap_s: float = 3.0
    key_confirmation_s: float = 5.0
    needs_key_confirmation: bool = False


@attrs.frozen
class DutySettings:
    """Calls to the platform that one instance at a time makes for all.

    :param address: ``host:port`` of the platform's API; empty if there is none.
    :param names: duties that the platform expects.
    :param usage_window_s: length of the windows over which usage is counted, in
        seconds; 0 if it is not counted.
    :param usage_late_s: seconds after the end of a window in which its usage is due.
    """

    address: str = ""
    names: tuple[str, ...] = ()
    usage_window_s: float = 0.0
    usage_late_s: float = DEFAULT_USAGE_LATE_S

    @property
    def reports_usage(self) -> bool:
        """Whether the usage of organisations is to be reported."""
        return bool(self.address) and USAGE in self.names and self.usage_window_s > 0

    @property
    def counted_window_s(self) -> float:
        """Length of the windows of usage in seconds; 0 if none is to be reported."""
        return self.usage_window_s if self.reports_usage else 0.0


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
    :param heartbeat_s: seconds between two writes of an engine's registry entry.
    :param max_open_files: maximum number of file descriptors that the process may open.
    :param memory_bytes: memory that the process may use.
    :param bounds: limits on the behaviour of the system.
    :param duties: calls to the platform that one instance at a time makes.
    :param learns_limits: whether gateways learn how much each endpoint takes well.
    """

    name: str
    failure_domain: str
    ip: str
    peer_port: int
    callers_address: str
    readiness_address: str
    store_address: str
    store_session_s: float = 1.0
    heartbeat_s: float = DEFAULT_HEARTBEAT_S
    max_open_files: int = 1024
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    bounds: SafetyBounds = attrs.field(factory=SafetyBounds)
    duties: DutySettings = attrs.field(factory=DutySettings)
    learns_limits: bool = False


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
    except (OSError, ValueError, RecursionError) as error:
        raise BadSettingsError(f"{path}: {error}") from error
    try:
        return _decode_settings(document)
    except (
        AttributeError,
        BadMessageError,
        KeyError,
        TypeError,
        ValueError,
        IndexError,
        OverflowError,
    ) as error:
        raise BadSettingsError(
            f"{path}: missing or invalid field: {error!r}"
        ) from error


def _decode_settings(document: dict[str, Any]) -> InstanceSettings:
    bounds = document.get("bounds", {})
    limits = document.get("limits", {})
    defaults = SafetyBounds()
    ip, peer_port = parse_peer_address(
        f"{document['ip']}:{document['internal_ports'][0]}"
    )
    store_address = _get_address(document["platform"], "address")
    parse_peer_address(store_address)
    return InstanceSettings(
        name=str(document["node_name"]),
        failure_domain=str(document["zone"]),
        ip=ip,
        peer_port=peer_port,
        callers_address=_get_address(document["listen"], "front"),
        readiness_address=_get_address(document["listen"], "ready"),
        store_address=store_address,
        store_session_s=_get_seconds(document["platform"], "ttl_min_ms", 1.0),
        heartbeat_s=_get_seconds(document, "heartbeat_ms", DEFAULT_HEARTBEAT_S),
        max_open_files=int(limits.get("max_fds", 1024)),
        memory_bytes=int(
            _get_number(limits, "memory_mb", DEFAULT_MEMORY_BYTES / 1e6) * 1e6
        ),
        bounds=SafetyBounds(
            drain_s=_get_seconds(bounds, "drain_ms", defaults.drain_s),
            configuration_s=_get_seconds(
                bounds, "config_apply_ms", defaults.configuration_s
            ),
            grace_s=_get_number(bounds, "grace_s", defaults.grace_s),
            retry_ratio=_get_number(bounds, "budget_ratio", defaults.retry_ratio),
            retry_window_s=_get_number(
                bounds, "budget_window_s", defaults.retry_window_s
            ),
            retry_slack=_get_number(bounds, "budget_slack", defaults.retry_slack),
            handover_gap_s=_get_seconds(bounds, "lease_ms", defaults.handover_gap_s),
            key_confirmation_s=_get_seconds(
                bounds, "revoke_ms", defaults.key_confirmation_s
            ),
            needs_key_confirmation=bool(bounds.get("revoke_fail_closed", False)),
        ),
        duties=_decode_duties(document.get("cloud", {}), bounds),
        learns_limits=bool(document.get("learn_limits", False)),
    )


def _decode_duties(cloud: dict[str, Any], bounds: dict[str, Any]) -> DutySettings:
    if not cloud:
        return DutySettings()
    address = _get_address(cloud, "address")
    parse_peer_address(address)
    return DutySettings(
        address=address,
        names=tuple(str(name) for name in cloud.get("duties", ())),
        usage_window_s=_get_number(bounds, "report_window_s", 0.0),
        usage_late_s=_get_number(bounds, "usage_late_s", DEFAULT_USAGE_LATE_S),
    )


def _get_address(fields: dict[str, Any], name: str) -> str:
    address = str(fields[name])
    parse_address(address)
    return address


def _get_seconds(fields: dict[str, Any], name: str, default_s: float) -> float:
    return _get_number(fields, name, default_s * 1e3) / 1e3


def _get_number(fields: dict[str, Any], name: str, default: float) -> float:
    number = float(fields.get(name, default))
    if not 0 <= number < math.inf:
        raise ValueError(f"{name} is {number}, not a finite number from 0 on")
    return number

"""Configuration that the platform's operator publishes, decoded."""

import math
from typing import Any

import attrs
import msgspec

from jasminewalk.exceptions import BadConfigurationError
from jasminewalk.http1.server import CallerLimits

__all__ = [
    "EngineTraits",
    "Route",
    "Service",
    "ServingConfiguration",
    "WeightedService",
    "decode_configuration",
]

SAFE = "safe"
STREAMING = "streaming"
# When callers abandon a stream without an event, by the platform's protocol: after the
# longest of these seconds, so many objectives, or so many declared pauses.
SHORTEST_PATIENCE_S = 2.0
OBJECTIVES_OF_PATIENCE = 4
PAUSES_OF_PATIENCE = 8


@attrs.frozen
class WeightedService:
    """One side of a route's split.

    :param service: name of the service.
    :param weight: its share, relative to the other sides.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests for a host and a path prefix go, and what holds for them.

    :param name: name of the route.
    :param host: host in lower case.
    :param path_prefix: prefix of the path, with a slash at both ends.
    :param split: services with their weights, at least one.
    :param streaming: whether answers are event streams.
    :param repeatable: whether a request may run more than once.
    :param resumable: whether a stream may go on at another engine.
    :param timeout_s: longest time a caller is kept waiting, in seconds.
    :param objective_s: latency within which an answer has its full value, in seconds.
    :param max_attempts: engines that one request may be sent to.
    :param rank: urgency, 0 is the most urgent.
    :param pause_s: longest pause between events in seconds; infinite if undeclared.
    """

    name: str
    host: str
    path_prefix: str
    split: tuple[WeightedService, ...]
    streaming: bool
    repeatable: bool
    resumable: bool
    timeout_s: float
    objective_s: float
    max_attempts: int
    rank: int
    pause_s: float

    @property
    def patience_s(self) -> float:
        """Seconds without an event after which callers abandon a stream."""
        declared_s = self.pause_s if math.isfinite(self.pause_s) else 0.0
        return max(
            SHORTEST_PATIENCE_S,
            OBJECTIVES_OF_PATIENCE * self.objective_s,
            PAUSES_OF_PATIENCE * declared_s,
        )


@attrs.frozen
class EngineTraits:
    """What the engines of a language-model service have in common.

    :param slots: requests that an engine runs at once.
    :param kv_cache_tokens: tokens that an engine's memory holds.
    :param handle_lifetime_s: seconds an engine keeps a handed-over prompt.
    :param stage_change_s: seconds a change of stage takes an engine away.
    """

    slots: int
    kv_cache_tokens: int
    handle_lifetime_s: float
    stage_change_s: float


@attrs.frozen
class Service:
    """A service that routes lead to.

    :param name: name of the service.
    :param health_path: path of the health check.
    :param max_connections: connections an engine takes from all callers together.
    :param engine: traits of its engines, if they are language-model engines.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineTraits | None


@attrs.frozen
class ServingConfiguration:
    """One version of the configuration.

    :param version: number that grows with each version.
    :param routes: all routes.
    :param services: services by name.
    :param limits: bounds on callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits


def decode_configuration(text: bytes) -> ServingConfiguration:
    """Decode a published configuration.

    :param text: JSON document.
    :raises BadConfigurationError: if it can't be read.
    """
    try:
        document = msgspec.json.decode(text)
        services = [_service(item) for item in document["services"]]
        return ServingConfiguration(
            version=int(document["version"]),
            routes=tuple(_route(item) for item in document["routes"]),
            services={service.name: service for service in services},
            limits=_limits(document.get("limits") or {}),
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        raise BadConfigurationError(f"published configuration: {error!r}") from error


def _route(item: dict[str, Any]) -> Route:
    sides = item.get("traffic_split") or [{"service": item["service"], "weight": 1}]
    kind = item.get("kind", "unsafe")
    streaming = kind == STREAMING
    resumable = streaming and bool(item.get("resumable", False))
    timeout_s = float(item.get("timeout_ms", 30_000)) / 1e3
    return Route(
        name=str(item.get("name", "")),
        host=str(item["host"]).lower(),
        path_prefix=str(item["path_prefix"]),
        split=tuple(
            WeightedService(str(side["service"]), float(side.get("weight", 1)))
            for side in sides
        ),
        streaming=streaming,
        repeatable=kind == SAFE or resumable,
        resumable=resumable,
        timeout_s=timeout_s,
        objective_s=float(item.get("target_latency_ms", timeout_s * 1e3)) / 1e3,
        max_attempts=max(1, int(item.get("max_attempts", 1))),
        rank=int(item.get("priority", 0)),
        pause_s=float(item.get("gap_aim_ms") or math.inf) / 1e3,
    )


def _service(item: dict[str, Any]) -> Service:
    engine = item.get("engine")
    return Service(
        name=str(item["name"]),
        health_path=str(item.get("health_path", "/health")),
        max_connections=int(item.get("max_connections", 64)),
        engine=_traits(engine) if isinstance(engine, dict) else None,
    )


def _traits(engine: dict[str, Any]) -> EngineTraits:
    return EngineTraits(
        slots=int(engine.get("slots", 16)),
        kv_cache_tokens=int(engine.get("kv_capacity", 400_000)),
        handle_lifetime_s=float(engine.get("kv_hold_s", 5.0)),
        stage_change_s=float(engine.get("switch_s", 3.0)),
    )


def _limits(item: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=int(item.get("max_header_bytes", defaults.header_bytes)),
        body_bytes=int(item.get("max_body_bytes", defaults.body_bytes)),
        header_timeout_s=float(
            item.get("header_timeout_ms", defaults.header_timeout_s * 1e3)
        )
        / 1e3,
        idle_timeout_s=float(item.get("idle_timeout_ms", defaults.idle_timeout_s * 1e3))
        / 1e3,
    )

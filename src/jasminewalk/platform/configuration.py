"""Decode the serving configuration that the platform's operator publishes."""

import hashlib
import math
from typing import Any

import attrs
import msgspec

from jasminewalk.decoding import DECODE_ERRORS, Count, Number
from jasminewalk.exceptions import BadConfigurationError
from jasminewalk.http1.server import CallerLimits
from jasminewalk.key_digests import digest_key

__all__ = [
    "ConfigurationDecoder",
    "EngineTraits",
    "Organisation",
    "Route",
    "Service",
    "ServingConfiguration",
    "WeightedService",
    "decode_configuration",
    "decode_version",
    "replace_keys",
]

SAFE = "safe"
STREAMING = "streaming"
# The platform's protocol defines when callers abandon a stream that sends no event:
# after the longest of a fixed minimum, a multiple of the route's latency objective and
# a multiple of its declared gap between events.
MIN_PATIENCE_S = 2.0
PATIENCE_PER_OBJECTIVE = 4
PATIENCE_PER_EVENT_GAP = 8


@attrs.frozen
class WeightedService:
    """One of the services among which a route splits its traffic.

    :param service: name of the service.
    :param weight: share of the traffic, relative to the route's other services.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Services and rules for the requests to one host and path prefix.

    :param name: name of the route.
    :param host: host in lower case.
    :param path_prefix: prefix of the path, with a leading and a trailing slash.
    :param split: the weighted services of the route, at least one.
    :param streaming: whether responses are event streams.
    :param repeatable: whether a request may safely run more than once.
    :param resumable: whether another engine may continue an interrupted stream.
    :param timeout_s: longest time that a caller waits for a response, in seconds.
    :param objective_s: target latency in seconds; a response within it has full value.
    :param max_attempts: maximum number of engines that one request is sent to.
    :param rank: priority; 0 is the most urgent.
    :param max_event_gap_s: longest declared time between events in seconds; infinite if
        the route declares none.
    :param public: whether its requests need no key where there are organisations.
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
    max_event_gap_s: float
    public: bool = False

    @property
    def patience_s(self) -> float:
        """Seconds without an event after which a caller abandons a stream."""
        declared_gap_s = (
            self.max_event_gap_s if math.isfinite(self.max_event_gap_s) else 0.0
        )
        return max(
            MIN_PATIENCE_S,
            PATIENCE_PER_OBJECTIVE * self.objective_s,
            PATIENCE_PER_EVENT_GAP * declared_gap_s,
        )


@attrs.frozen
class EngineTraits:
    """Properties that all engines of a language-model service share.

    :param slots: number of requests that an engine runs concurrently.
    :param kv_cache_tokens: capacity of an engine's KV cache in tokens.
    :param handle_lifetime_s: seconds for which an engine keeps the KV cache of a prompt
        that another engine may fetch.
    :param stage_change_s: seconds for which an engine is unavailable during a stage
        change.
    """

    slots: int
    kv_cache_tokens: int
    handle_lifetime_s: float
    stage_change_s: float


@attrs.frozen
class Service:
    """A service to which routes send requests.

    :param name: name of the service.
    :param health_path: path of the health check.
    :param max_connections: connections that an engine accepts from all its clients
        together.
    :param engine: properties of its engines; None unless it is a language-model
        service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineTraits | None


@attrs.frozen
class Organisation:
    """An organisation, whose callers identify themselves with its keys.

    :param name: name of the organisation.
    :param key_digests: digests of its keys.
    :param rank: priority of its requests, which goes before that of their routes; 0 is
        the most urgent. None if it has none.
    """

    name: str
    key_digests: tuple[str, ...]
    rank: int | None = None


@attrs.frozen
class ServingConfiguration:
    """One version of the serving configuration.

    :param version: version number, increasing with each publication.
    :param routes: all routes.
    :param services: services by name.
    :param limits: limits on what callers may send.
    :param organisations: organisations whose keys callers need; None if they need none.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    organisations: tuple[Organisation, ...] | None = None


class _Document(msgspec.Struct):
    version: Count
    routes: list[msgspec.Raw]
    services: list[dict[str, Any]]
    limits: dict[str, Any] | None = None
    organisations: list[msgspec.Raw] | None = msgspec.field(
        default=None, name="tenants"
    )


class _OrganisationItem(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    key_digests: list[str] = []
    priority: Number | None = None


class _VersionedDocument(msgspec.Struct):
    version: Count


class ConfigurationDecoder:
    """Decodes published configurations, reusing what the one before has in common.

    Most routes and organisations stay the same from one version to the next, and
    decoding thousands of them delays the requests of callers on a slow instance.
    """

    def __init__(self) -> None:
        self.routes: dict[bytes, Route] = {}
        # By digests of the texts, as these hold keys.
        self.organisations: dict[bytes, Organisation] = {}

    def decode(self, text: bytes) -> ServingConfiguration:
        """Decode a published configuration.

        :param text: JSON document.
        :raises BadConfigurationError: if the document is not valid JSON or a field is
            missing or invalid.
        """
        try:
            document = msgspec.json.decode(text, type=_Document)
            services = [_decode_service(item) for item in document.services]
            routes = {}
            for raw_route in document.routes:
                route_text = bytes(raw_route)
                routes[route_text] = self.routes.get(route_text) or _decode_route(
                    msgspec.json.decode(route_text)
                )
            organisations = None
            if document.organisations is not None:
                organisations = self._decode_organisations(document.organisations)
            configuration = ServingConfiguration(
                version=document.version,
                routes=tuple(routes.values()),
                services={service.name: service for service in services},
                limits=_decode_limits(document.limits or {}),
                organisations=(
                    None if organisations is None else tuple(organisations.values())
                ),
            )
        except (
            *DECODE_ERRORS,
            AttributeError,
            KeyError,
            OverflowError,
            TypeError,
        ) as error:
            raise BadConfigurationError(
                f"published configuration: {error!r}"
            ) from error
        self.routes = routes
        self.organisations = organisations or {}
        return configuration

    def _decode_organisations(
        self, items: list[msgspec.Raw]
    ) -> dict[bytes, Organisation]:
        organisations = {}
        for raw_item in items:
            digest = hashlib.blake2b(raw_item, digest_size=16).digest()
            organisations[digest] = self.organisations.get(
                digest
            ) or _decode_organisation(bytes(raw_item))
        return organisations


def decode_configuration(text: bytes) -> ServingConfiguration:
    """Decode a published configuration.

    :param text: JSON document.
    :raises BadConfigurationError: if the document is not valid JSON or a field is
        missing or invalid.
    """
    return ConfigurationDecoder().decode(text)


def decode_version(text: bytes) -> int:
    """Decode only the version of a published configuration.

    :param text: JSON document.
    :raises BadConfigurationError: if the document is not valid JSON or has no version.
    """
    try:
        return msgspec.json.decode(text, type=_VersionedDocument).version
    except DECODE_ERRORS as error:
        raise BadConfigurationError(f"published configuration: {error!r}") from error


def replace_keys(text: bytes) -> bytes:
    """Return a published configuration with digests in place of keys.

    A gateway passes a configuration on to others in this form.

    :param text: JSON document.
    :raises BadConfigurationError: if the document is not valid JSON.
    """
    try:
        document = msgspec.json.decode(text, type=dict[str, msgspec.Raw])
        if "tenants" in document:
            items = msgspec.json.decode(
                document["tenants"], type=list[_OrganisationItem]
            )
            for item in items:
                item.key_digests.extend(map(digest_key, item.api_keys))
                item.api_keys = []
            document["tenants"] = msgspec.Raw(msgspec.json.encode(items))
        return msgspec.json.encode(document)
    except DECODE_ERRORS as error:
        raise BadConfigurationError(f"published configuration: {error!r}") from error


def _decode_route(item: dict[str, Any]) -> Route:
    shares = item.get("traffic_split") or [{"service": item["service"], "weight": 1}]
    kind = item.get("kind", "unsafe")
    streaming = kind == STREAMING
    resumable = streaming and bool(item.get("resumable", False))
    timeout_s = float(item.get("timeout_ms", 30_000)) / 1e3
    return Route(
        name=str(item.get("name", "")),
        host=str(item["host"]).lower(),
        path_prefix=str(item["path_prefix"]),
        split=tuple(
            WeightedService(str(share["service"]), float(share.get("weight", 1)))
            for share in shares
        ),
        streaming=streaming,
        repeatable=kind == SAFE or resumable,
        resumable=resumable,
        timeout_s=timeout_s,
        objective_s=float(item.get("target_latency_ms", timeout_s * 1e3)) / 1e3,
        max_attempts=max(1, int(item.get("max_attempts", 1))),
        rank=int(item.get("priority", 0)),
        max_event_gap_s=float(item.get("gap_aim_ms") or math.inf) / 1e3,
        public=bool(item.get("public", False)),
    )


def _decode_organisation(text: bytes) -> Organisation:
    item = msgspec.json.decode(text, type=_OrganisationItem)
    digests = (*map(digest_key, item.api_keys), *item.key_digests)
    return Organisation(item.name, digests, item.priority)


def _decode_service(item: dict[str, Any]) -> Service:
    engine = item.get("engine")
    return Service(
        name=str(item["name"]),
        health_path=str(item.get("health_path", "/health")),
        max_connections=int(item.get("max_connections", 64)),
        engine=_decode_engine_traits(engine) if isinstance(engine, dict) else None,
    )


def _decode_engine_traits(engine: dict[str, Any]) -> EngineTraits:
    return EngineTraits(
        slots=int(engine.get("slots", 16)),
        kv_cache_tokens=int(engine.get("kv_capacity", 400_000)),
        handle_lifetime_s=float(engine.get("kv_hold_s", 5.0)),
        stage_change_s=float(engine.get("switch_s", 3.0)),
    )


def _decode_limits(item: dict[str, Any]) -> CallerLimits:
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

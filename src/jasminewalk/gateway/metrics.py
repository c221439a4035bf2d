"""Counters and latency histograms of a gateway."""

from collections.abc import Callable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from jasminewalk.http1 import CallerServer, ReceiveBudget

__all__ = ["GatewayMetrics"]

# Only this many routes get their own label; all others share one.
MAX_ROUTE_LABELS = 40
OTHER_ROUTES = "other"
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class GatewayMetrics:
    """Counts responses, refusals and failures of a bounded set of routes."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.routes: set[str] = set()
        self.responses = self._create_counter("answers", "Answers relayed.", "status")
        self.refusals = self._create_counter("refusals", "Requests refused.", "reason")
        self.failures = self._create_counter("failures", "Requests failed.", "reason")
        self.latency = self._create_histogram(
            "latency_seconds", "Until the whole answer."
        )
        self.first_event_latency = self._create_histogram(
            "first_event_seconds", "Until the first event."
        )
        self.engine_crashes = Counter(
            "jasminewalk_engine_crashes",
            "Engines whose process ended under requests of this gateway.",
            registry=self.registry,
        )
        self.quarantined_parts = Gauge(
            "jasminewalk_quarantined_parts",
            "Quarantines of prompt parts and requests that crash engines.",
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            "jasminewalk_configuration_version",
            "Version of the configuration in force.",
            registry=self.registry,
        )
        self.registry_age = Gauge(
            "jasminewalk_registry_age_seconds",
            "Since this gateway or a peer last read the registry of engines.",
            registry=self.registry,
        )
        self.held_bytes = Gauge(
            "jasminewalk_held_bytes",
            "Memory of requests, of engines' bodies and of unread responses.",
            ["kind"],
            registry=self.registry,
        )
        self.connections = Gauge(
            "jasminewalk_caller_connections",
            "Open connections of callers.",
            registry=self.registry,
        )
        self.unreadable = Counter(
            "jasminewalk_unreadable_requests",
            "Requests refused while they were received, by status.",
            ["status"],
            registry=self.registry,
        )
        self.unread_responses = Counter(
            "jasminewalk_unread_responses",
            "Responses aborted because their callers did not read them.",
            registry=self.registry,
        )

    def watch_memory(self, server: CallerServer, budget: ReceiveBudget) -> None:
        """Show what callers and engines make the process hold.

        :param server: server of the callers.
        :param budget: limit on what the connections to engines hold.
        """
        self.connections.set_function(lambda: len(server.connections))
        kinds: dict[str, Callable[[], float]] = {
            "requests": lambda: server.held_bytes,
            "engines": lambda: budget.held_bytes,
            "responses": lambda: server.unsent_body_bytes,
        }
        for kind, count in kinds.items():
            self.held_bytes.labels(kind).set_function(count)

    def record_response(self, route: str, status: int, seconds: float) -> None:
        """Count a response that was relayed completely.

        :param route: name of the route.
        :param status: HTTP status code.
        :param seconds: seconds since the request arrived.
        """
        self.responses.labels(self._get_route_label(route), str(status)).inc()
        self.latency.labels(self._get_route_label(route)).observe(seconds)

    def record_first_event(self, route: str, seconds: float) -> None:
        """Record the latency of the first event of a stream.

        :param route: name of the route.
        :param seconds: seconds since the request arrived.
        """
        self.first_event_latency.labels(self._get_route_label(route)).observe(seconds)

    def record_refusal(self, route: str, reason: str) -> None:
        """Count a refused request.

        :param route: name of the route.
        :param reason: value of the label ``reason``.
        """
        self.refusals.labels(self._get_route_label(route), reason).inc()

    def record_failure(self, route: str, reason: str) -> None:
        """Count a failed request.

        :param route: name of the route.
        :param reason: value of the label ``reason``.
        """
        self.failures.labels(self._get_route_label(route), reason).inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _get_route_label(self, route: str) -> str:
        if route not in self.routes:
            if len(self.routes) >= MAX_ROUTE_LABELS:
                return OTHER_ROUTES
            self.routes.add(route)
        return route

    def _create_counter(self, name: str, description: str, label: str) -> Counter:
        return Counter(
            f"jasminewalk_{name}", description, ["route", label], registry=self.registry
        )

    def _create_histogram(self, name: str, description: str) -> Histogram:
        return Histogram(
            f"jasminewalk_{name}",
            description,
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )

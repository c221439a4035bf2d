"""Counters and latency histograms of a gateway."""

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

__all__ = ["GatewayMetrics"]

# Routes with labels of their own; later ones share one label.
MAX_ROUTES = 40
OTHER = "other"
LATENCY_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class GatewayMetrics:
    """Counts what callers get, by route, with a bounded number of labels."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.routes: set[str] = set()
        self.answers = self._counter("answers", "Answers relayed.", "status")
        self.refusals = self._counter("refusals", "Requests refused.", "reason")
        self.failures = self._counter("failures", "Requests failed.", "reason")
        self.latency = self._histogram("latency_seconds", "Until the whole answer.")
        self.first = self._histogram("first_event_seconds", "Until the first event.")

    def answered(self, route: str, status: int, seconds: float) -> None:
        """Count an answer that was relayed whole.

        :param route: name of the route.
        :param status: status code.
        :param seconds: since the request arrived.
        """
        self.answers.labels(self._route(route), str(status)).inc()
        self.latency.labels(self._route(route)).observe(seconds)

    def first_event(self, route: str, seconds: float) -> None:
        """Count the first event of a stream.

        :param route: name of the route.
        :param seconds: since the request arrived.
        """
        self.first.labels(self._route(route)).observe(seconds)

    def refused(self, route: str, reason: str) -> None:
        """Count a refusal.

        :param route: name of the route.
        :param reason: why.
        """
        self.refusals.labels(self._route(route), reason).inc()

    def failed(self, route: str, reason: str) -> None:
        """Count a failure.

        :param route: name of the route.
        :param reason: why.
        """
        self.failures.labels(self._route(route), reason).inc()

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _route(self, route: str) -> str:
        if route not in self.routes:
            if len(self.routes) >= MAX_ROUTES:
                return OTHER
            self.routes.add(route)
        return route

    def _counter(self, name: str, text: str, label: str) -> Counter:
        return Counter(
            f"jasminewalk_{name}", text, ["route", label], registry=self.registry
        )

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            f"jasminewalk_{name}",
            text,
            ["route"],
            buckets=LATENCY_BOUNDS_S,
            registry=self.registry,
        )

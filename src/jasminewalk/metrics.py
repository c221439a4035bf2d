"""Metrics with a limited number of series, exported through OpenTelemetry."""

from bisect import bisect_left
from collections.abc import Iterable
from functools import partial
from typing import Any

import attrs
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    AggregationTemporality,
    Histogram,
    HistogramDataPoint,
    Metric,
    MetricsData,
    ResourceMetrics,
    ScopeMetrics,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.util.instrumentation import InstrumentationScope
from prometheus_client import CollectorRegistry, generate_latest

__all__ = ["CATALOGUE", "MetricSpec", "Metrics"]

OTHER_VALUE = "other"
LATENCY_BUCKET_BOUNDS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.018,
    0.026,
    0.04,
    0.06,
    0.1,
    0.25,
    0.5,
    1.0,
    1.4,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
)
LABEL_LIMITS = {"organisation": 50, "request_class": 20, "endpoint": 64}
DEFAULT_LABEL_LIMIT = 40
SERIES_LIMIT = 400

Labels = tuple[tuple[str, str], ...]


@attrs.frozen
class MetricSpec:
    """Name, kind and description of a metric.

    :param name: name without the prefix ``jasminewalk_``.
    :param kind: ``counter``, ``gauge`` or ``histogram``.
    :param description: what the metric counts or measures.
    """

    name: str
    kind: str
    description: str


CATALOGUE = tuple(
    MetricSpec(*row)
    for row in (
        ("up", "gauge", "1 while the process runs."),
        ("requests", "counter", "Requests that an entry began to route."),
        ("refusals", "counter", "Requests refused or given up, by result code."),
        ("retries", "counter", "Attempts after the first that began anew."),
        ("resumes", "counter", "Attempts that went on where a broken one ended."),
        ("cached_tokens", "counter", "Prompt tokens found in a prefix cache."),
        ("prompt_tokens", "counter", "Prompt tokens of requests that were sent."),
        ("output_tokens", "counter", "Output tokens that callers were given."),
        ("cache_hits", "counter", "Requests that found a part of their prompt."),
        ("role_changes", "counter", "Role changes carried out, by new role."),
        ("orders", "counter", "Orders sent to the endpoint, by outcome."),
        ("replays", "counter", "Answers replayed to a repeated idempotency key."),
        ("peer_errors", "counter", "Messages of peers that were refused, by code."),
        (
            "memory_refusals",
            "counter",
            "What was given up for want of memory or connections, by kind.",
        ),
        ("first_token_seconds", "histogram", "Seconds to the first token."),
        ("between_tokens_seconds", "histogram", "Seconds between two tokens."),
        ("queue_seconds", "histogram", "Seconds in the queue of the endpoint."),
        ("request_seconds", "histogram", "Seconds to the whole answer."),
    )
)


class HistogramSeries:
    """A series of a histogram with its counts by bucket.

    :param bounds: upper bounds of all buckets except the last, which has none.
    """

    __slots__ = ("bounds", "counts", "maximum", "minimum", "total")

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0
        self.minimum = float("inf")
        self.maximum = float("-inf")

    def add(self, value: float) -> None:
        """Count a value in its bucket.

        :param value: the value.
        """
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value
        self.minimum = min(self.minimum, value)
        self.maximum = max(self.maximum, value)

    def build_data_point(self, labels: Labels) -> HistogramDataPoint:
        """Build the OpenTelemetry data point of the series.

        :param labels: labels of the series.
        """
        return HistogramDataPoint(
            attributes=dict(labels),
            start_time_unix_nano=0,
            time_unix_nano=0,
            count=sum(self.counts),
            sum=self.total,
            bucket_counts=list(self.counts),
            explicit_bounds=self.bounds,
            min=self.minimum,
            max=self.maximum,
        )


class LabelLimiter:
    """Limits the number of series of one metric.

    The first values of a label are kept; later ones are replaced by ``other``. When the
    limit on series is reached, all labels of a new series become ``other``.

    >>> limiter = LabelLimiter({"organisation": 1}, series_limit=9)
    >>> limiter.limit_labels({"organisation": "a"})
    (('organisation', 'a'),)
    >>> limiter.limit_labels({"organisation": "b"})
    (('organisation', 'other'),)

    :param limits: maximum number of values by label.
    :param series_limit: maximum number of series.
    """

    def __init__(self, limits: dict[str, int], series_limit: int) -> None:
        self.limits = limits
        self.series_limit = series_limit
        self.values_by_label: dict[str, set[str]] = {}
        self.series: set[Labels] = set()

    def limit_labels(self, labels: dict[str, str]) -> Labels:
        """Limit the given labels, and return the labels of their series.

        :param labels: labels before the limits are applied.
        """
        limited = tuple((name, self.limit_value(name, labels[name])) for name in labels)
        if limited in self.series:
            return limited
        if len(self.series) >= self.series_limit:
            return tuple((name, OTHER_VALUE) for name in labels)
        self.series.add(limited)
        return limited

    def limit_value(self, name: str, value: str) -> str:
        """Return the value of a label, or ``other`` if the label has too many values.

        :param name: label name.
        :param value: label value.
        """
        known = self.values_by_label.setdefault(name, set())
        if value in known:
            return value
        if len(known) >= self.limits.get(name, DEFAULT_LABEL_LIMIT):
            return OTHER_VALUE
        known.add(value)
        return value


class _Reader(PrometheusMetricReader):
    """Prometheus reader that adds the histograms, which the SDK does not aggregate."""

    def __init__(self, metrics: "Metrics", registry: CollectorRegistry) -> None:
        self.metrics = metrics
        super().__init__(
            disable_target_info=True,
            prefix="jasminewalk",
            scope_info_enabled=False,
            registry=registry,
        )

    def _receive_metrics(
        self, metrics_data: MetricsData, *args: Any, **kwargs: Any
    ) -> None:
        histograms = self.metrics.build_histogram_metrics()
        collected = metrics_data.resource_metrics if metrics_data else []
        super()._receive_metrics(
            MetricsData(resource_metrics=[*collected, histograms]), *args, **kwargs
        )


class Metrics:
    """Counters and histograms of one process.

    Values are aggregated in plain dictionaries. OpenTelemetry is only called when the
    metrics are read, so that counting costs no more than a dictionary look-up.

    >>> metrics = Metrics("entry")
    >>> metrics.count("retries", pool="tutor")
    >>> b'jasminewalk_retries_total{part="entry",pool="tutor"} 1.0' in metrics.render()
    True

    :param part: kind of the process, ``entry`` or ``sidecar``.
    :param label_limits: maximum number of values by label.
    :param series_limit: maximum number of series of a metric.
    """

    def __init__(
        self,
        part: str,
        *,
        label_limits: dict[str, int] | None = None,
        series_limit: int = SERIES_LIMIT,
    ) -> None:
        self.part = part
        self.label_limits = {**LABEL_LIMITS, **(label_limits or {})}
        self.series_limit = series_limit
        self.specs = {spec.name: spec for spec in CATALOGUE}
        self.limiters: dict[str, LabelLimiter] = {}
        self.counters: dict[str, dict[Labels, float]] = {}
        self.histograms: dict[str, dict[Labels, HistogramSeries]] = {}
        self.registry = CollectorRegistry()
        reader = _Reader(self, self.registry)
        self.provider = MeterProvider(
            metric_readers=[reader],
            resource=Resource.get_empty(),
            shutdown_on_exit=False,
        )
        self.meter = self.provider.get_meter("jasminewalk")
        self.meter.create_observable_gauge(
            "up",
            callbacks=[lambda options: [Observation(1, {"part": part})]],
            description=self.get_description("up"),
        )
        for spec in CATALOGUE:
            if spec.kind == "counter":
                self.add_counter(spec.name)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter.

        :param name: name of the counter.
        :param amount: amount to add.
        :param labels: labels of the series.
        """
        series = self.counters.get(name)
        if series is None:
            series = self.add_counter(name)
        key = self.limit_labels(name, labels)
        series[key] = series.get(key, 0) + amount

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Add a value to a histogram.

        :param name: name of the histogram.
        :param value: the value, in the unit at the end of the name.
        :param labels: labels of the series.
        """
        self.get_series(name, **labels).add(value)

    def get_series(self, name: str, **labels: str) -> HistogramSeries:
        """Return a series of a histogram.

        A caller that adds many values can keep the series and avoid repeated look-ups.

        :param name: name of the histogram.
        :param labels: labels of the series.
        """
        series_by_labels = self.histograms.setdefault(name, {})
        key = self.limit_labels(name, labels)
        series = series_by_labels.get(key)
        if series is None:
            series = series_by_labels[key] = HistogramSeries(LATENCY_BUCKET_BOUNDS_S)
        return series

    def limit_labels(self, name: str, labels: dict[str, str]) -> Labels:
        """Limit the given labels, and return the labels of their series.

        :param name: name of the metric.
        :param labels: labels before the limits are applied.
        """
        limiter = self.limiters.get(name)
        if limiter is None:
            limiter = LabelLimiter(self.label_limits, self.series_limit)
            self.limiters[name] = limiter
        return limiter.limit_labels(labels)

    def get_description(self, name: str) -> str:
        """Return the description of a metric, or an empty text if it is unknown.

        :param name: name of the metric.
        """
        spec = self.specs.get(name)
        return spec.description if spec else ""

    def add_counter(self, name: str) -> dict[Labels, float]:
        """Register a counter with OpenTelemetry and return its series.

        :param name: name of the counter.
        """
        self.counters[name] = {}
        self.meter.create_observable_counter(
            name,
            callbacks=[partial(self.collect_observations, name)],
            description=self.get_description(name),
        )
        return self.counters[name]

    def collect_observations(
        self, name: str, options: CallbackOptions
    ) -> Iterable[Observation]:
        """Return the values of a counter as OpenTelemetry observations.

        :param name: name of the counter.
        :param options: options of the collection.
        """
        return [
            Observation(value, {**dict(labels), "part": self.part})
            for labels, value in self.counters[name].items()
        ]

    def build_histogram_metrics(self) -> ResourceMetrics:
        """Build the OpenTelemetry metrics of all histograms."""
        part = (("part", self.part),)
        metrics = [
            Metric(
                name=name,
                description=self.get_description(name),
                unit="",
                data=Histogram(
                    data_points=[
                        series.build_data_point((*labels, *part))
                        for labels, series in series_by_labels.items()
                    ],
                    aggregation_temporality=AggregationTemporality.CUMULATIVE,
                ),
            )
            for name, series_by_labels in self.histograms.items()
        ]
        scope = ScopeMetrics(
            scope=InstrumentationScope("jasminewalk"), metrics=metrics, schema_url=""
        )
        return ResourceMetrics(
            resource=Resource.get_empty(), scope_metrics=[scope], schema_url=""
        )

    def render(self) -> bytes:
        """Render all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

import re
from pathlib import Path

import pytest

import jasminewalk
from jasminewalk.metrics import CATALOGUE, Metrics

PACKAGE = Path(jasminewalk.__file__).parent
METRIC_CALL = re.compile(r"metrics\.(?:count|observe|get_series)\(\s*\"(\w+)\"")


@pytest.fixture
def metrics():
    return Metrics("entry", label_limits={"organisation": 3}, series_limit=20)


def read_samples(metrics, name):
    lines = metrics.render().decode().splitlines()
    return [line for line in lines if line.startswith(f"jasminewalk_{name}")]


def test_counter_adds_amounts(metrics):
    metrics.count("refusals", code="1301", pool="a")
    metrics.count("refusals", 2, code="1301", pool="a")
    line = 'jasminewalk_refusals_total{code="1301",part="entry",pool="a"} 3.0'
    assert read_samples(metrics, "refusals") == [line]
    assert read_samples(metrics, "refusals") == [line]


def test_histogram_has_cumulative_buckets(metrics):
    for value in (0.02, 0.02, 0.2, 99.0):
        metrics.observe("queue_seconds", value, request_class="helper")
    lines = read_samples(metrics, "queue_seconds_bucket")
    counts = [float(line.split()[-1]) for line in lines]
    assert counts == sorted(counts)
    assert counts[-1] == 4.0
    assert next(line for line in lines if 'le="0.026"' in line).endswith(" 2.0")
    assert read_samples(metrics, "queue_seconds_sum")[0].split()[-1].startswith("99.24")


def test_number_of_organisation_labels_is_limited(metrics):
    for number in range(50_000):
        metrics.count("requests", organisation=f"o{number}", request_class="c")
    lines = read_samples(metrics, "requests_total")
    assert len(lines) == 4
    other = next(line for line in lines if 'organisation="other"' in line)
    assert other.endswith(" 49997.0")


def test_total_number_of_series_is_limited(metrics):
    for number in range(400):
        labels = {"pool": f"p{number % 20}", "endpoint": f"e{number // 20}"}
        metrics.count("retries", **labels)
    lines = read_samples(metrics, "retries_total")
    assert len(lines) == 21
    assert sum(float(line.split()[-1]) for line in lines) == 400.0


def test_registries_are_separate(metrics):
    Metrics("sidecar").count("retries", pool="x")
    assert read_samples(metrics, "retries_total") == []


def test_catalogue_lists_every_metric_in_use():
    catalogued = {spec.name for spec in CATALOGUE}
    used = {
        name
        for path in PACKAGE.rglob("*.py")
        for name in METRIC_CALL.findall(path.read_text(encoding="utf-8"))
    }
    # The constructor registers "up"; the name "resumes" is passed in a variable.
    assert used == catalogued - {"up", "resumes"}

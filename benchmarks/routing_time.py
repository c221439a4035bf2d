"""CPU time of routing and membership in an entry by the number of endpoints."""

import itertools
import random
import time

from _bench import LinearFit, fit_line, measure_cpu_s, print_rows, save_rows
from _fleet_data import ENTRY_SETTINGS, build_instances, build_profile, build_reports

from jasminewalk.scheduling.membership import Membership
from jasminewalk.scheduling.routing import Router, RoutingSettings
from jasminewalk.types import Route

POOL_SIZES = (10, 100, 1000, 6300)
INSTANCE_COUNTS = (100, 1000, 6300)
US_PER_S = 1e6


def measure_choose_us(count):
    """Return the CPU microseconds to route a request and record its outcome."""
    router = Router(RoutingSettings(), random.Random(1))
    pool_reports = build_reports(count, pools=1)
    for report in pool_reports:
        router.observe_report(0.0, report)
    usable = [report.endpoint for report in pool_reports]
    requests = itertools.cycle(
        [build_profile(number, "pool-0") for number in range(1000)]
    )

    def route_request():
        request = next(requests)
        route = router.choose(0.0, request, usable)
        assert isinstance(route, Route)
        router.record_sent(0.0, request, route.endpoint)
        router.record_first_token(0.0, request.request_id)
        router.record_finished(0.0, request.request_id, 200)

    return measure_cpu_s(route_request) * US_PER_S


def build_membership(count):
    """Return a membership whose subset has sent reports, and the instance list."""
    membership = Membership(ENTRY_SETTINGS)
    listed_instances = build_instances(count)
    membership.observe_instances(0.0, listed_instances)
    subset = set(membership.choose_subset(0.0))
    for sequence in (1, 2):
        for report in build_reports(count, sequence=sequence):
            if report.endpoint in subset:
                membership.observe_report(0.0, report)
    return membership, listed_instances


def measure_list_usable_us(count):
    """Return the CPU microseconds to list the usable endpoints of a pool."""
    membership, _ = build_membership(count)
    return measure_cpu_s(lambda: membership.list_usable(0.0, "pool-0")) * US_PER_S


def measure_choose_subset_us(count):
    """Return the CPU microseconds to choose the subset of an entry."""
    membership, _ = build_membership(count)
    return measure_cpu_s(lambda: membership.choose_subset(0.0), rounds=2) * US_PER_S


def measure_instance_list_us(count):
    """Return the CPU microseconds to apply an instance list."""
    membership, listed_instances = build_membership(count)
    return (
        measure_cpu_s(
            lambda: membership.observe_instances(0.0, listed_instances), rounds=2
        )
        * US_PER_S
    )


def measure_report_us(count):
    """Return the CPU microseconds to apply one load report."""
    membership, _ = build_membership(count)
    router = Router(RoutingSettings(), random.Random(1))
    all_reports = (
        report
        for sequence in itertools.count(3)
        for report in build_reports(count, sequence=sequence)
    )
    batch = list(itertools.islice(all_reports, 20_000))
    remaining_reports = iter(batch)

    def apply_next_report():
        report = next(remaining_reports)
        if membership.observe_report(0.0, report):
            router.observe_report(0.0, report)

    return measure_calls_us(apply_next_report, len(batch))


def measure_calls_us(function, count):
    """Return the CPU microseconds per call over a fixed number of calls."""
    start_s = time.process_time()
    for _ in range(count):
        function()
    return (time.process_time() - start_s) / count * US_PER_S


def main() -> list[LinearFit]:
    rows = [
        fit_line(
            "one routing decision and its bookkeeping",
            "endpoint in the pool",
            "us",
            [(count, measure_choose_us(count)) for count in POOL_SIZES],
        ),
        fit_line(
            "list of usable endpoints for one request",
            "endpoint listed",
            "us",
            [(count, measure_list_usable_us(count)) for count in INSTANCE_COUNTS],
        ),
        fit_line(
            "subset of the entry, each heartbeat",
            "endpoint listed",
            "us",
            [(count, measure_choose_subset_us(count)) for count in INSTANCE_COUNTS],
        ),
        fit_line(
            "one reading of the instance list",
            "endpoint listed",
            "us",
            [(count, measure_instance_list_us(count)) for count in INSTANCE_COUNTS],
        ),
        fit_line(
            "one load report taken in",
            "endpoint reporting",
            "us",
            [(count, measure_report_us(count)) for count in INSTANCE_COUNTS],
        ),
    ]
    save_rows("routing_time", rows)
    return rows


if __name__ == "__main__":
    print_rows(main())

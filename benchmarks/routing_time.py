"""Processor time of an entry's decisions against the size of a pool."""

import itertools
import random
import time

from _bench import Slope, busy_s, save, show, slope
from _fleet_data import SETTINGS, instances, profile, reports

from jasminewalk.scheduling.membership import Membership
from jasminewalk.scheduling.routing import Router, RoutingSettings
from jasminewalk.types import Route

POOL_SIZES = (10, 100, 1000, 6300)
LIST_SIZES = (100, 1000, 6300)
US = 1e6


def choose_us(count):
    router = Router(RoutingSettings(), random.Random(1))
    found = reports(count, pools=1)
    for report in found:
        router.observe_report(0.0, report)
    usable = [report.endpoint for report in found]
    requests = itertools.cycle([profile(number, "pool-0") for number in range(1000)])

    def decide():
        request = next(requests)
        route = router.choose(0.0, request, usable)
        assert isinstance(route, Route)
        router.record_sent(0.0, request, route.endpoint)
        router.record_first_token(0.0, request.request_id)
        router.record_finished(0.0, request.request_id, 200)

    return busy_s(decide) * US


def membership_of(count):
    membership = Membership(SETTINGS)
    rows = instances(count)
    membership.observe_instances(0.0, rows)
    known = set(membership.choose_subset(0.0))
    for sequence in (1, 2):
        for report in reports(count, sequence=sequence):
            if report.endpoint in known:
                membership.observe_report(0.0, report)
    return membership, rows


def usable_us(count):
    membership, _ = membership_of(count)
    return busy_s(lambda: membership.list_usable(0.0, "pool-0")) * US


def subset_us(count):
    membership, _ = membership_of(count)
    return busy_s(lambda: membership.choose_subset(0.0), rounds=2) * US


def listing_us(count):
    membership, rows = membership_of(count)
    return busy_s(lambda: membership.observe_instances(0.0, rows), rounds=2) * US


def report_us(count):
    membership, _ = membership_of(count)
    router = Router(RoutingSettings(), random.Random(1))
    stream = (
        report
        for sequence in itertools.count(3)
        for report in reports(count, sequence=sequence)
    )
    batch = list(itertools.islice(stream, 20_000))
    feed = iter(batch)

    def take():
        report = next(feed)
        if membership.observe_report(0.0, report):
            router.observe_report(0.0, report)

    return busy_times(take, len(batch))


def busy_times(action, count):
    """Return the processor microseconds of each of a number of calls."""
    start_s = time.process_time()
    for _ in range(count):
        action()
    return (time.process_time() - start_s) / count * US


def main() -> list[Slope]:
    rows = [
        slope(
            "one routing decision and its bookkeeping",
            "endpoint in the pool",
            "us",
            [(count, choose_us(count)) for count in POOL_SIZES],
        ),
        slope(
            "list of usable endpoints for one request",
            "endpoint listed",
            "us",
            [(count, usable_us(count)) for count in LIST_SIZES],
        ),
        slope(
            "subset of the entry, each heartbeat",
            "endpoint listed",
            "us",
            [(count, subset_us(count)) for count in LIST_SIZES],
        ),
        slope(
            "one reading of the instance list",
            "endpoint listed",
            "us",
            [(count, listing_us(count)) for count in LIST_SIZES],
        ),
        slope(
            "one load report taken in",
            "endpoint reporting",
            "us",
            [(count, report_us(count)) for count in LIST_SIZES],
        ),
    ]
    save("routing_time", rows)
    return rows


if __name__ == "__main__":
    show(main())

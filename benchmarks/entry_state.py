"""Memory of an entry for its endpoints, organisations and prefix blocks."""

import random

from _bench import LinearFit, fit_line, measure_memory_bytes, print_rows, save_rows
from _fleet_data import (
    ENTRY_SETTINGS,
    build_instances,
    build_reports,
    generate_organisation_records,
)

from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.fold_events import SubjectChanged
from jasminewalk.interfaces import LogEntry
from jasminewalk.operators.configuration import ConfigurationView
from jasminewalk.scheduling.membership import Membership
from jasminewalk.scheduling.prefixes import PrefixIndex
from jasminewalk.scheduling.routing import Router, RoutingSettings

ENDPOINT_COUNTS = (100, 1000, 6300)
ORGANISATION_COUNTS = (1000, 10_000, 50_000)
BLOCK_COUNTS = (20_000, 100_000, 200_000)


def measure_membership_bytes(count):
    """Return the memory in bytes of the membership for a number of endpoints."""
    rows = build_instances(count)

    def build():
        membership = Membership(ENTRY_SETTINGS)
        membership.observe_instances(0.0, rows)
        return membership

    return measure_memory_bytes(build)[0]


def measure_router_bytes(count):
    """Return the memory in bytes of a router with the reports of its endpoints."""
    reports = build_reports(count)

    def build():
        router = Router(RoutingSettings(), random.Random(1))
        for report in reports:
            router.observe_report(0.0, report)
        return router

    return measure_memory_bytes(build)[0]


def measure_configuration_bytes(count):
    """Return the memory in bytes of the configuration of all organisations."""

    def build():
        fold, view = LogFold(), ConfigurationView()
        for offset, data in enumerate(generate_organisation_records(count), 1):
            for event in fold.apply(LogEntry(offset, data)):
                if isinstance(event, SubjectChanged):
                    view.apply(
                        event.subject, event.revision, event.document, event.deleted
                    )
        return fold, view

    return measure_memory_bytes(build)[0]


def measure_prefix_index_bytes(count):
    """Return the memory in bytes of a prefix index with a number of blocks."""

    def build():
        index = PrefixIndex(max_blocks=count)
        rng = random.Random(1)
        for number in range(count // 100):
            hashes = [rng.getrandbits(63) for _ in range(100)]
            index.add(f"engine-{number % 64}", hashes)
        return index

    return measure_memory_bytes(build)[0]


def main() -> list[LinearFit]:
    rows = [
        fit_line(
            "entry memory for the instance list",
            "endpoint listed",
            "B",
            [(count, measure_membership_bytes(count)) for count in ENDPOINT_COUNTS],
        ),
        fit_line(
            "entry memory for load reports",
            "endpoint reporting",
            "B",
            [(count, measure_router_bytes(count)) for count in ENDPOINT_COUNTS],
        ),
        fit_line(
            "memory for the configuration",
            "organisation",
            "B",
            [
                (count, measure_configuration_bytes(count))
                for count in ORGANISATION_COUNTS
            ],
        ),
        fit_line(
            "entry memory for the prefix index",
            "block",
            "B",
            [(count, measure_prefix_index_bytes(count)) for count in BLOCK_COUNTS],
        ),
    ]
    save_rows("entry_state", rows)
    return rows


if __name__ == "__main__":
    print_rows(main())

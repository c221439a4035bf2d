"""Memory of an entry for each endpoint and each organisation."""

import random

from _bench import Slope, memory_bytes, save, show, slope
from _fleet_data import SETTINGS, instances, organisation_records, reports

from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.fold_events import SubjectChanged
from jasminewalk.interfaces import LogEntry
from jasminewalk.operators.configuration import ConfigurationView
from jasminewalk.scheduling.membership import Membership
from jasminewalk.scheduling.prefixes import PrefixIndex
from jasminewalk.scheduling.routing import Router, RoutingSettings

ENDPOINTS = (100, 1000, 6300)
ORGANISATIONS = (1000, 10_000, 50_000)
BLOCKS = (20_000, 100_000, 200_000)


def members(count):
    rows = instances(count)

    def make():
        membership = Membership(SETTINGS)
        membership.observe_instances(0.0, rows)
        return membership

    return memory_bytes(make)[0]


def views(count):
    found = reports(count)

    def make():
        router = Router(RoutingSettings(), random.Random(1))
        for report in found:
            router.observe_report(0.0, report)
        return router

    return memory_bytes(make)[0]


def organisations(count):
    def make():
        fold, view = LogFold(), ConfigurationView()
        for offset, data in enumerate(organisation_records(count), 1):
            for event in fold.apply(LogEntry(offset, data)):
                if isinstance(event, SubjectChanged):
                    view.apply(
                        event.subject, event.revision, event.document, event.deleted
                    )
        return fold, view

    return memory_bytes(make)[0]


def blocks(count):
    def make():
        index = PrefixIndex(max_blocks=count)
        rng = random.Random(1)
        for number in range(count // 100):
            held = [rng.getrandbits(63) for _ in range(100)]
            index.add(f"engine-{number % 64}", held)
        return index

    return memory_bytes(make)[0]


def main() -> list[Slope]:
    rows = [
        slope(
            "entry memory for the instance list",
            "endpoint listed",
            "B",
            [(count, members(count)) for count in ENDPOINTS],
        ),
        slope(
            "entry memory for load reports",
            "endpoint reporting",
            "B",
            [(count, views(count)) for count in ENDPOINTS],
        ),
        slope(
            "memory for the configuration",
            "organisation",
            "B",
            [(count, organisations(count)) for count in ORGANISATIONS],
        ),
        slope(
            "entry memory for the prefix index",
            "block",
            "B",
            [(count, blocks(count)) for count in BLOCKS],
        ),
    ]
    save("entry_state", rows)
    return rows


if __name__ == "__main__":
    show(main())

"""Figures of the capacity page with their limits and what carries them."""

from collections.abc import Callable, Mapping

import attrs
from _bench import Slope
from _size import CHANGED, DEFAULT, LIMITS, SIZE, TUNED
from _sums import Sums

__all__ = ["Figure", "Item", "figures"]

BYTES_TO_KB = 1e-3
BYTES_TO_MB = 1e-6
START_LIMIT_S = 60.0
UNLIMITED = float("inf")


@attrs.frozen(kw_only=True)
class Item:
    """One quantity of the page.

    :param role: whose it is.
    :param quantity: what it counts.
    :param unit: its unit.
    :param value: works it out for a plan.
    :param limit: most that it may be.
    :param carrier: mechanism that carries it.
    :param change: what closes the gap, if there is one.
    """

    role: str
    quantity: str
    unit: str
    value: Callable[[Sums], float]
    limit: float
    carrier: str
    change: str = ""


@attrs.frozen(kw_only=True)
class Figure:
    """One quantity with its values.

    :param item: the quantity.
    :param default: value with the default settings.
    :param tuned: value with settings for this size.
    :param changed: value after the changes that the page proposes.
    """

    item: Item
    default: float
    tuned: float
    changed: float

    @property
    def is_gap(self) -> bool:
        """Whether settings alone do not keep the limit."""
        return self.tuned > self.item.limit


ITEMS = (
    Item(
        role="entry",
        quantity="memory without streams",
        unit="MB",
        value=lambda sums: sums.entry_memory * BYTES_TO_MB,
        limit=LIMITS.memory_bytes * BYTES_TO_MB,
        carrier="documents kept as text and rendered on demand; bounded prefix index",
    ),
    Item(
        role="entry",
        quantity="memory of its open streams",
        unit="MB",
        value=lambda sums: sums.stream_memory * BYTES_TO_MB,
        limit=UNLIMITED,
        carrier="one task and two connections a stream",
    ),
    Item(
        role="entry",
        quantity="control messages on its channels, processor",
        unit="% of a core",
        value=lambda sums: sums.channel_core * 100,
        limit=LIMITS.core * 100,
        carrier="subset of each pool; one report carries the whole load",
        change="load on the last frame of each answer, a report of its own only after"
        " 5 s without one; hello and demand in one message each 20 s; records only to"
        " sidecars of the pool that they are about",
    ),
    Item(
        role="entry",
        quantity="routing decisions, processor",
        unit="% of a core",
        value=lambda sums: sums.decision_core * 100,
        limit=LIMITS.core * 100,
        carrier="a sample of the pool for each request",
    ),
    Item(
        role="entry",
        quantity="instance list and subset, processor",
        unit="% of a core",
        value=lambda sums: sums.list_core * 100,
        limit=LIMITS.core * 100,
        carrier="endpoints indexed by pool and kept in order",
    ),
    Item(
        role="entry",
        quantity="reading the log, processor",
        unit="% of a core",
        value=lambda sums: sums.log_core * 100,
        limit=LIMITS.core * 100,
        carrier="long poll; claims on streams that entries do not read",
        change="a least gap between two reads, which is a setting",
    ),
    Item(
        role="entry",
        quantity="control messages on its channels",
        unit="KB/s",
        value=lambda sums: sums.entry_bytes * BYTES_TO_KB,
        limit=LIMITS.bytes_per_s * BYTES_TO_KB,
        carrier="subset of each pool",
        change="as for the processor; no raw cache events, the entry learns hits from"
        " the first frame of each answer",
    ),
    Item(
        role="entry",
        quantity="control messages for each endpoint of its subset",
        unit="B/s",
        value=lambda sums: sums.entry_bytes / sums.plan.subset,
        limit=UNLIMITED,
        carrier="one report carries the whole load",
    ),
    Item(
        role="entry",
        quantity="instance list",
        unit="KB/s",
        value=lambda sums: sums.list_bytes * BYTES_TO_KB,
        limit=LIMITS.bytes_per_s * BYTES_TO_KB,
        carrier="a read of the whole list each period; leaving and dead endpoints are"
        " known from their own messages and failed requests",
        change="a read of the region's rows",
    ),
    Item(
        role="entry",
        quantity="relaying tokens, processor (not control)",
        unit="cores",
        value=lambda sums: sums.relay_core,
        limit=1.0,
        carrier="frames copied as they come",
        change="frames of one step in one write, or a second process an instance",
    ),
    Item(
        role="entry",
        quantity="control in the 10 s after a failure domain is lost",
        unit="KB/s",
        value=lambda sums: sums.lost_domain_bytes * BYTES_TO_KB,
        limit=LIMITS.bytes_per_s * BYTES_TO_KB,
        carrier="endpoints next in rank stand in for silent ones",
        change="as above; what the loss itself adds is small",
    ),
    Item(
        role="sidecar",
        quantity="entries that it reports to",
        unit="",
        value=lambda sums: sums.links_per_engine,
        limit=UNLIMITED,
        carrier="subset of each pool",
    ),
    Item(
        role="sidecar",
        quantity="memory without streams",
        unit="MB",
        value=lambda sums: sums.sidecar_memory * BYTES_TO_MB,
        limit=LIMITS.memory_bytes * BYTES_TO_MB,
        carrier="the fold holds documents as text",
    ),
    Item(
        role="sidecar",
        quantity="control messages, processor",
        unit="% of a core",
        value=lambda sums: sums.sidecar_core * 100,
        limit=LIMITS.core * 100,
        carrier="one report to each entry that has it in its subset",
        change="the entry's smaller subset and longer periods",
    ),
    Item(
        role="sidecar",
        quantity="control messages",
        unit="KB/s",
        value=lambda sums: sums.sidecar_bytes * BYTES_TO_KB,
        limit=LIMITS.bytes_per_s * BYTES_TO_KB,
        carrier="one report to each entry that has it in its subset",
        change="the entry's smaller subset and longer periods; records from one"
        " entry only",
    ),
    Item(
        role="sidecar of a service",
        quantity="claims of its pool that its bytes allow",
        unit="claims/s",
        value=lambda sums: sums.pool_claims_by_bytes,
        limit=UNLIMITED,
        carrier="a stream of claims for each service pool",
    ),
    Item(
        role="sidecar of a service",
        quantity="claims of its pool that its processor allows",
        unit="claims/s",
        value=lambda sums: sums.pool_claims_by_core,
        limit=UNLIMITED,
        carrier="a stream of claims for each service pool",
    ),
    Item(
        role="log",
        quantity="appends for configuration, registrations and grants",
        unit="appends/s",
        value=lambda sums: sums.change_appends_per_s,
        limit=LIMITS.appends_per_s,
        carrier="a grant for each change, none in between",
    ),
    Item(
        role="log",
        quantity="appends for claims and outcomes",
        unit="appends/s",
        value=lambda sums: sums.claim_appends_per_s,
        limit=LIMITS.appends_per_s,
        carrier="group commit of each sidecar",
    ),
    Item(
        role="log",
        quantity="keyed requests at which the budget is spent",
        unit="% of all",
        value=lambda sums: sums.keyed_share * 100,
        limit=UNLIMITED,
        carrier="group commit of each sidecar",
    ),
    Item(
        role="log",
        quantity="reads of all entries",
        unit="reads/s",
        value=lambda sums: sums.reads_per_s * SIZE.entries,
        limit=UNLIMITED,
        carrier="sidecars are fed by entries and do not poll",
    ),
    Item(
        role="log",
        quantity="snapshot of all organisations",
        unit="MB",
        value=lambda sums: sums.snapshot_bytes * BYTES_TO_MB,
        limit=UNLIMITED,
        carrier="chunks of 256 KB, one writer after a jittered wait",
    ),
    Item(
        role="any process",
        quantity="processor to write a snapshot",
        unit="s",
        value=lambda sums: sums.snapshot_s,
        limit=UNLIMITED,
        carrier="chunks cut in one go",
    ),
    Item(
        role="any process",
        quantity="start that reads all that the log keeps, processor",
        unit="s",
        value=lambda sums: sums.start_read_s,
        limit=START_LIMIT_S,
        carrier="read from the oldest record until a snapshot is whole",
        change="a shorter retention",
    ),
    Item(
        role="failure domain lost",
        quantity="streams that each entry left resumes",
        unit="",
        value=lambda sums: sums.resumed_streams,
        limit=UNLIMITED,
        carrier="resume from the tokens that the caller has, within the retry budget",
    ),
    Item(
        role="failure domain back",
        quantity="snapshots that its processes read from the log",
        unit="MB",
        value=lambda sums: sums.restart_bytes * BYTES_TO_MB,
        limit=UNLIMITED,
        carrier="chunks of 256 KB read in pages",
    ),
    Item(
        role="region cut off",
        quantity="part of an entry's subset in other regions",
        unit="%",
        value=lambda sums: sums.foreign_share * 100,
        limit=UNLIMITED,
        carrier="own failure domain first in rank, then own region",
    ),
)


def figures(rows: Mapping[str, Slope]) -> list[Figure]:
    """Return all figures of the page.

    :param rows: measured slopes by name.
    """
    default, tuned, changed = (Sums(rows, plan) for plan in (DEFAULT, TUNED, CHANGED))
    return [
        Figure(
            item=item,
            default=item.value(default),
            tuned=item.value(tuned),
            changed=item.value(changed),
        )
        for item in ITEMS
    ]

"""Figures of the capacity page, with their limits and the mechanisms behind them."""

from collections.abc import Callable, Mapping

import attrs
from _bench import LinearFit
from _capacity_model import CapacityModel
from _design_size import (
    DEFAULT_SETTINGS,
    LIMITS,
    PROPOSED_SETTINGS,
    SIZE,
    TUNED_SETTINGS,
)

__all__ = ["Figure", "FigureDefinition", "compute_figures"]

BYTES_TO_KB = 1e-3
BYTES_TO_MB = 1e-6
START_LIMIT_S = 60.0
UNLIMITED = float("inf")


@attrs.frozen(kw_only=True)
class FigureDefinition:
    """Definition of one figure of the capacity page.

    :param role: process or event that the figure belongs to.
    :param quantity: what the figure measures.
    :param unit: unit of the figure, or an empty string.
    :param compute: function that computes the figure from a capacity model.
    :param limit: upper limit of the figure.
    :param mechanism: design choice that keeps the figure within its limit.
    :param remedy: proposed change that closes the gap, or an empty string.
    """

    role: str
    quantity: str
    unit: str
    compute: Callable[[CapacityModel], float]
    limit: float
    mechanism: str
    remedy: str = ""


@attrs.frozen(kw_only=True)
class Figure:
    """One figure of the capacity page with its values.

    :param definition: definition of the figure.
    :param default: value with the default settings.
    :param tuned: value with the settings tuned for the design size.
    :param changed: value after the changes that the page proposes.
    """

    definition: FigureDefinition
    default: float
    tuned: float
    changed: float

    @property
    def is_gap(self) -> bool:
        """Whether the figure exceeds its limit even with the tuned settings."""
        return self.tuned > self.definition.limit


FIGURE_DEFINITIONS = (
    FigureDefinition(
        role="entry",
        quantity="memory without streams",
        unit="MB",
        compute=lambda model: model.entry_memory_bytes * BYTES_TO_MB,
        limit=LIMITS.memory_bytes * BYTES_TO_MB,
        mechanism="documents kept as text and rendered on demand; bounded prefix index",
    ),
    FigureDefinition(
        role="entry",
        quantity="memory of its open streams",
        unit="MB",
        compute=lambda model: model.stream_memory_bytes * BYTES_TO_MB,
        limit=UNLIMITED,
        mechanism="one task and two connections a stream",
    ),
    FigureDefinition(
        role="entry",
        quantity="control messages on its channels, processor",
        unit="% of a core",
        compute=lambda model: model.channel_cores * 100,
        limit=LIMITS.cores * 100,
        mechanism="subset of each pool; one report carries the whole load",
        remedy="load on the last frame of each answer, a report of its own only after"
        " 5 s without one; hello and demand in one message each 20 s; records only to"
        " sidecars of the pool that they are about",
    ),
    FigureDefinition(
        role="entry",
        quantity="routing decisions, processor",
        unit="% of a core",
        compute=lambda model: model.routing_cores * 100,
        limit=LIMITS.cores * 100,
        mechanism="a sample of the pool for each request",
    ),
    FigureDefinition(
        role="entry",
        quantity="instance list and subset, processor",
        unit="% of a core",
        compute=lambda model: model.instance_list_cores * 100,
        limit=LIMITS.cores * 100,
        mechanism="endpoints indexed by pool and kept in order",
    ),
    FigureDefinition(
        role="entry",
        quantity="reading the log, processor",
        unit="% of a core",
        compute=lambda model: model.log_cores * 100,
        limit=LIMITS.cores * 100,
        mechanism="long poll; claims on streams that entries do not read",
        remedy="a least gap between two reads, which is a setting",
    ),
    FigureDefinition(
        role="entry",
        quantity="control messages on its channels",
        unit="KB/s",
        compute=lambda model: model.entry_bytes_per_s * BYTES_TO_KB,
        limit=LIMITS.bytes_per_s * BYTES_TO_KB,
        mechanism="subset of each pool",
        remedy="as for the processor; no raw cache events, the entry learns hits from"
        " the first frame of each answer",
    ),
    FigureDefinition(
        role="entry",
        quantity="control messages for each endpoint of its subset",
        unit="B/s",
        compute=lambda model: model.entry_bytes_per_s / model.settings.subset,
        limit=UNLIMITED,
        mechanism="one report carries the whole load",
    ),
    FigureDefinition(
        role="entry",
        quantity="instance list",
        unit="KB/s",
        compute=lambda model: model.instance_list_bytes_per_s * BYTES_TO_KB,
        limit=LIMITS.bytes_per_s * BYTES_TO_KB,
        mechanism="a read of the whole list each period; leaving and dead endpoints are"
        " known from their own messages and failed requests",
        remedy="a read of the region's rows",
    ),
    FigureDefinition(
        role="entry",
        quantity="relaying tokens, processor (not control)",
        unit="cores",
        compute=lambda model: model.relay_cores,
        limit=1.0,
        mechanism="frames copied as they come",
        remedy="frames of one step in one write, or a second process an instance",
    ),
    FigureDefinition(
        role="entry",
        quantity="control in the 10 s after a failure domain is lost",
        unit="KB/s",
        compute=lambda model: model.domain_loss_bytes_per_s * BYTES_TO_KB,
        limit=LIMITS.bytes_per_s * BYTES_TO_KB,
        mechanism="endpoints next in rank stand in for silent ones",
        remedy="as above; what the loss itself adds is small",
    ),
    FigureDefinition(
        role="sidecar",
        quantity="entries that it reports to",
        unit="",
        compute=lambda model: model.entries_per_engine,
        limit=UNLIMITED,
        mechanism="subset of each pool",
    ),
    FigureDefinition(
        role="sidecar",
        quantity="memory without streams",
        unit="MB",
        compute=lambda model: model.sidecar_memory_bytes * BYTES_TO_MB,
        limit=LIMITS.memory_bytes * BYTES_TO_MB,
        mechanism="the fold holds documents as text",
    ),
    FigureDefinition(
        role="sidecar",
        quantity="control messages, processor",
        unit="% of a core",
        compute=lambda model: model.sidecar_cores * 100,
        limit=LIMITS.cores * 100,
        mechanism="one report to each entry that has it in its subset",
        remedy="the entry's smaller subset and longer periods",
    ),
    FigureDefinition(
        role="sidecar",
        quantity="control messages",
        unit="KB/s",
        compute=lambda model: model.sidecar_bytes_per_s * BYTES_TO_KB,
        limit=LIMITS.bytes_per_s * BYTES_TO_KB,
        mechanism="one report to each entry that has it in its subset",
        remedy="the entry's smaller subset and longer periods; records from one"
        " entry only",
    ),
    FigureDefinition(
        role="sidecar of a service",
        quantity="claims of its pool that its bytes allow",
        unit="claims/s",
        compute=lambda model: model.max_pool_claims_by_bytes,
        limit=UNLIMITED,
        mechanism="a stream of claims for each service pool",
    ),
    FigureDefinition(
        role="sidecar of a service",
        quantity="claims of its pool that its processor allows",
        unit="claims/s",
        compute=lambda model: model.max_pool_claims_by_cpu,
        limit=UNLIMITED,
        mechanism="a stream of claims for each service pool",
    ),
    FigureDefinition(
        role="log",
        quantity="appends for configuration, registrations and grants",
        unit="appends/s",
        compute=lambda model: model.change_appends_per_s,
        limit=LIMITS.appends_per_s,
        mechanism="a grant for each change, none in between",
    ),
    FigureDefinition(
        role="log",
        quantity="appends for claims and outcomes",
        unit="appends/s",
        compute=lambda model: model.claim_appends_per_s,
        limit=LIMITS.appends_per_s,
        mechanism="group commit of each sidecar",
    ),
    FigureDefinition(
        role="log",
        quantity="keyed requests at which the budget is spent",
        unit="% of all",
        compute=lambda model: model.max_keyed_share * 100,
        limit=UNLIMITED,
        mechanism="group commit of each sidecar",
    ),
    FigureDefinition(
        role="log",
        quantity="reads of all entries",
        unit="reads/s",
        compute=lambda model: model.reads_per_s * SIZE.entries,
        limit=UNLIMITED,
        mechanism="sidecars are fed by entries and do not poll",
    ),
    FigureDefinition(
        role="log",
        quantity="snapshot of all organisations",
        unit="MB",
        compute=lambda model: model.snapshot_bytes * BYTES_TO_MB,
        limit=UNLIMITED,
        mechanism="chunks of 256 KB, one writer after a jittered wait",
    ),
    FigureDefinition(
        role="any process",
        quantity="processor to write a snapshot",
        unit="s",
        compute=lambda model: model.snapshot_cpu_s,
        limit=UNLIMITED,
        mechanism="chunks cut in one go",
    ),
    FigureDefinition(
        role="any process",
        quantity="start that reads all that the log keeps, processor",
        unit="s",
        compute=lambda model: model.full_read_cpu_s,
        limit=START_LIMIT_S,
        mechanism="read from the oldest record until a snapshot is whole",
        remedy="a shorter retention",
    ),
    FigureDefinition(
        role="failure domain lost",
        quantity="streams that each entry left resumes",
        unit="",
        compute=lambda model: model.resumed_streams_per_entry,
        limit=UNLIMITED,
        mechanism="resume from the tokens that the caller has, within the retry budget",
    ),
    FigureDefinition(
        role="failure domain back",
        quantity="snapshots that its processes read from the log",
        unit="MB",
        compute=lambda model: model.domain_recovery_bytes * BYTES_TO_MB,
        limit=UNLIMITED,
        mechanism="chunks of 256 KB read in pages",
    ),
    FigureDefinition(
        role="region cut off",
        quantity="part of an entry's subset in other regions",
        unit="%",
        compute=lambda model: model.remote_region_share * 100,
        limit=UNLIMITED,
        mechanism="own failure domain first in rank, then own region",
    ),
)


def compute_figures(fits: Mapping[str, LinearFit]) -> list[Figure]:
    """Compute all figures of the page.

    :param fits: fitted lines by name of the quantity.
    """
    default, tuned, changed = (
        CapacityModel(fits, settings)
        for settings in (DEFAULT_SETTINGS, TUNED_SETTINGS, PROPOSED_SETTINGS)
    )
    return [
        Figure(
            definition=definition,
            default=definition.compute(default),
            tuned=definition.compute(tuned),
            changed=definition.compute(changed),
        )
        for definition in FIGURE_DEFINITIONS
    ]

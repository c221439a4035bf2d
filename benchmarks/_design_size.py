"""Design size of the deployment, with its assumptions, limits and settings."""

import attrs

__all__ = [
    "ASSUMPTIONS",
    "DEFAULT_SETTINGS",
    "LIMITS",
    "PROPOSED_SETTINGS",
    "SIZE",
    "TUNED_SETTINGS",
    "Assumptions",
    "ControlSettings",
    "DesignSize",
    "Limits",
]


@attrs.frozen(kw_only=True)
class DesignSize:
    """Deployment size that the system is designed for.

    :param entries: number of entries, which route requests to the engines.
    :param engines: number of engines.
    :param requests_per_s: peak number of requests per second.
    :param tokens_per_s: peak number of output tokens per second.
    :param organisations: number of organisations.
    :param models: number of models in steady use; each has a pool.
    :param failure_domains: number of failure domains.
    :param regions: number of regions.
    :param changes_per_day: configuration changes per day.
    :param restarts_per_day: instances that fail or are replaced per day.
    :param kv_bytes_per_s: bytes of KV cache computed for prompts per second.
    """

    entries: int = 360
    engines: int = 6300
    requests_per_s: float = 18_000.0
    tokens_per_s: float = 3.9e6
    organisations: int = 50_000
    models: int = 19
    failure_domains: int = 19
    regions: int = 5
    changes_per_day: int = 8300
    restarts_per_day: int = 1810
    kv_bytes_per_s: float = 3.6e12


@attrs.frozen(kw_only=True)
class Assumptions:
    """Assumptions about the load that the design size does not specify.

    :param kv_bytes_per_token: bytes of KV cache per token.
    :param block_tokens: tokens per prefix block.
    :param keyed_share: fraction of the requests that have an idempotency key and
        run at most once.
    :param role_changes_per_engine_day: role changes of each engine per day.
    :param token_gap_s: seconds between two tokens of a stream.
    """

    kv_bytes_per_token: float = 320e3
    block_tokens: int = 64
    keyed_share: float = 0.01
    role_changes_per_engine_day: float = 4.0
    token_gap_s: float = 0.026


@attrs.frozen(kw_only=True)
class Limits:
    """Resource limits of the control plane on one node, and limits of the log.

    :param cores: fraction of a CPU core.
    :param memory_bytes: bytes of memory.
    :param bytes_per_s: network bytes per second.
    :param appends_per_s: appends per second that the log accepts.
    :param in_force_s: seconds until a change is in force everywhere.
    """

    cores: float = 0.015
    memory_bytes: float = 128e6
    bytes_per_s: float = 13e3
    appends_per_s: float = 500.0
    in_force_s: float = 3.0


@attrs.frozen(kw_only=True)
class ControlSettings:
    """Message intervals and subset sizes of the control plane.

    :param subset: number of endpoints, over all pools, that an entry connects to.
    :param report_s: seconds between two load reports of an endpoint to an entry.
    :param hello_s: seconds between two hello messages on a channel.
    :param demand_s: seconds between two demand messages on a channel.
    :param list_s: seconds between two reads of the instance list.
    :param list_share: fraction of the instance list that is read.
    :param min_read_gap_s: minimum seconds between two reads of the log.
    :param block_share: fraction of the cache events that is sent.
    :param feed_share: fraction of the records of the main stream that is sent on
        each channel.
    """

    subset: int
    report_s: float
    hello_s: float
    demand_s: float
    list_s: float
    list_share: float
    min_read_gap_s: float
    block_share: float
    feed_share: float


SIZE = DesignSize()
ASSUMPTIONS = Assumptions()
LIMITS = Limits()

# Default settings of the daemons; an entry connects to 64 endpoints of each pool.
DEFAULT_SETTINGS = ControlSettings(
    subset=64 * SIZE.models,
    report_s=0.5,
    hello_s=1.5,
    demand_s=1.0,
    list_s=1.0,
    list_share=1.0,
    min_read_gap_s=0.0,
    block_share=1.0,
    feed_share=1.0,
)

# Settings tuned for the design size: subset, peers.heartbeat_s (on which the intervals
# of hello and demand messages depend), instances_poll_s and log.read_gap_s.
TUNED_SETTINGS = ControlSettings(
    subset=6 * SIZE.models,
    report_s=2.0,
    hello_s=6.0,
    demand_s=4.0,
    list_s=120.0,
    list_share=1.0,
    min_read_gap_s=0.5,
    block_share=1.0,
    feed_share=1.0,
)

# Settings after the changes proposed in docs/CAPACITY.md.
PROPOSED_SETTINGS = ControlSettings(
    subset=6 * SIZE.models,
    report_s=5.0,
    hello_s=20.0,
    demand_s=20.0,
    list_s=120.0,
    list_share=1.0 / SIZE.regions,
    min_read_gap_s=0.5,
    block_share=0.0,
    feed_share=0.0,
)

"""The size to design for, and what is assumed beside it."""

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
    """Size to design for.

    :param entries: nodes before the engines.
    :param engines: engines.
    :param requests_per_s: requests a second at the peak.
    :param tokens_per_s: output tokens a second at the peak.
    :param organisations: organisations.
    :param models: models in steady use, each with a pool.
    :param failure_domains: failure domains.
    :param regions: regions.
    :param changes_per_day: changes of configuration a day.
    :param restarts_per_day: instances that fail or are replaced a day.
    :param kv_bytes_per_s: KV cache of the prompts a second.
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
    """What the size leaves open.

    :param kv_bytes_per_token: KV cache of one token.
    :param block_tokens: tokens in a prefix block.
    :param keyed_share: part of the requests that may run only once.
    :param role_changes_per_engine_day: role changes of an engine a day.
    :param token_gap_s: seconds between the tokens of a stream.
    """

    kv_bytes_per_token: float = 320e3
    block_tokens: int = 64
    keyed_share: float = 0.01
    role_changes_per_engine_day: float = 4.0
    token_gap_s: float = 0.026


@attrs.frozen(kw_only=True)
class Limits:
    """Most that control may take on one node, and what the log takes.

    :param cores: part of a processor core.
    :param memory_bytes: memory.
    :param bytes_per_s: bytes a second.
    :param appends_per_s: appends a second on the log.
    :param in_force_s: seconds until a change is in force everywhere.
    """

    cores: float = 0.015
    memory_bytes: float = 128e6
    bytes_per_s: float = 13e3
    appends_per_s: float = 500.0
    in_force_s: float = 3.0


@attrs.frozen(kw_only=True)
class ControlSettings:
    """Periods and subsets of the processes.

    :param subset: endpoints that an entry talks to in all.
    :param report_s: seconds between two load reports of an endpoint to an entry.
    :param hello_s: seconds between two hellos on a channel.
    :param demand_s: seconds between two demand messages on a channel.
    :param list_s: seconds between two reads of the instance list.
    :param list_share: part of the list that is read.
    :param min_read_gap_s: least seconds between two reads of the log.
    :param block_share: part of the cache events that is sent.
    :param feed_share: part of the main stream's records that a channel carries.
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

# The daemons with their default settings; subsets are 64 endpoints of each pool.
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

# The daemons with settings for this size: subset, peers.heartbeat_s, which hello and
# demand follow, instances_poll_s and log.read_gap_s.
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

# The daemons after the changes that the page proposes.
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

"""A change of an engine under way, and the grant that an earlier process left."""

import random
from typing import Literal

import attrs

from jasminewalk.agreement.log_writer import AppendRecord, generate_record_id
from jasminewalk.agreement.order_actions import OrderSettings, Role, WantedState
from jasminewalk.generated_records import EndpointEntry, GrantOutcomeRecord, GrantRecord
from jasminewalk.generated_requests import EngineOrder, EngineState

__all__ = [
    "Change",
    "OlderGrant",
    "build_grant_record",
    "is_changing",
    "get_known_role",
    "matches_wanted_state",
    "list_missing_artifacts",
    "build_outcome_append",
]

Phase = Literal["proposed", "draining", "ordered", "ended"]


@attrs.define(kw_only=True)
class Change:
    """A change between its proposal and its outcome.

    :param record_id: identifier of the record that proposes it.
    :param wanted: the wanted state.
    :param proposed_s: instant before its append, from which its grant counts.
    :param is_takeover: whether it finishes an earlier process's change.
    :param phase: how far it is.
    :param grant: offset of the accepted grant; 0 before.
    :param sent_s: instant at which its order was last sent.
    :param unanswered_orders: number of orders that were sent and not answered.
    """

    record_id: str
    wanted: WantedState
    proposed_s: float
    is_takeover: bool
    phase: Phase = "proposed"
    grant: int = 0
    sent_s: float = 0.0
    unanswered_orders: int = 0

    @property
    def order(self) -> EngineOrder:
        """The order that states the wanted state in full."""
        return EngineOrder(
            fencing_number=self.grant,
            role=self.wanted.role,
            models=list(self.wanted.models),
            version=self.wanted.version,
        )


@attrs.define(kw_only=True)
class OlderGrant:
    """The last grant of an earlier process that was seen open.

    :param grant: offset of the grant; 0 for none.
    :param lapses_at_s: instant by which none of its orders can be under way.
    :param is_infeasible: whether the pool cannot bear the change it stood for.
    """

    grant: int = 0
    lapses_at_s: float = float("-inf")
    is_infeasible: bool = False

    def observe(self, now_s: float, entry: EndpointEntry, margin_s: float) -> None:
        """Take an open grant; its lifetime counts from the first sight of it.

        :param now_s: current instant in seconds.
        :param entry: the endpoint with the open grant.
        :param margin_s: seconds an order may travel, clock drift included.
        """
        if self.grant == entry.grant:
            return
        self.grant = entry.grant
        self.lapses_at_s = now_s + entry.lifetime_s + margin_s
        self.is_infeasible = False

    def get_wanted_state(self, entry: EndpointEntry) -> WantedState:
        """Return the state that finishes the change, or keeps the role.

        :param entry: the endpoint with the open grant.
        """
        return WantedState(
            role=entry.role if self.is_infeasible else entry.wanted_role,
            models=tuple(entry.wanted_models),
            version=entry.wanted_version,
            reason=f"finish grant {entry.grant}",
        )


def build_grant_record(
    settings: OrderSettings,
    entry: EndpointEntry,
    pool_revision: int,
    wanted: WantedState,
    rng: random.Random,
) -> GrantRecord:
    """Return the record that proposes a change.

    :param settings: limits of the orders.
    :param entry: the endpoint as the log has it.
    :param pool_revision: offset of the last accepted role change of the pool.
    :param wanted: the wanted state.
    :param rng: random source for identifiers.
    """
    return GrantRecord(
        record_id=generate_record_id(rng, settings.incarnation),
        endpoint=settings.endpoint,
        pool=settings.pool,
        incarnation=settings.incarnation,
        base_grant=entry.grant,
        base_pool_revision=pool_revision,
        role=wanted.role,
        models=list(wanted.models),
        version=wanted.version,
        lifetime_s=settings.lifetime_s,
        reason=wanted.reason,
    )


def build_outcome_append(
    settings: OrderSettings,
    entry: EndpointEntry,
    outcome: Literal["done", "abandoned"],
    role: Role,
    rng: random.Random,
) -> AppendRecord:
    """Return the append of the record that ends the open grant of an endpoint.

    :param settings: limits of the orders.
    :param entry: the endpoint as the log has it.
    :param outcome: how the change ended.
    :param role: role in force.
    :param rng: random source for identifiers.
    """
    record = GrantOutcomeRecord(
        record_id=generate_record_id(rng, settings.incarnation),
        endpoint=settings.endpoint,
        grant=entry.grant,
        outcome=outcome,
        role=role,
    )
    return AppendRecord(record=record)


def list_missing_artifacts(
    actual: EngineState | None, wanted: WantedState
) -> tuple[str, ...]:
    """Return the wanted models and adapters that an engine has not loaded.

    :param actual: what the engine reports.
    :param wanted: the wanted state.
    """
    loaded = actual.models if actual is not None else []
    return tuple(name for name in wanted.models if name not in loaded)


def get_known_role(actual: EngineState | None, entry: EndpointEntry) -> Role:
    """Return the role of an engine, as far as it is known.

    :param actual: what the engine reports.
    :param entry: the endpoint as the log has it.
    """
    return actual.role if actual is not None else entry.role


def is_changing(actual: EngineState | None) -> bool:
    """Return whether an engine reports that it carries out an order.

    :param actual: what the engine reports.
    """
    return actual is not None and actual.changing


def matches_wanted_state(actual: EngineState, wanted: WantedState) -> bool:
    """Return whether an engine is in the wanted state.

    :param actual: what the engine reports.
    :param wanted: the wanted state.
    """
    if actual.role != wanted.role or set(actual.models) != set(wanted.models):
        return False
    return not wanted.version or actual.version == wanted.version

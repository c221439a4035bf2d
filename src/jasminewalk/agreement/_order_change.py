"""State of a change of an engine, and of a grant left open by an earlier process."""

import random
from typing import Literal

import attrs

from jasminewalk.agreement.log_writer import AppendRecord, generate_record_id
from jasminewalk.agreement.order_actions import OrderSettings, Role, WantedState
from jasminewalk.generated_records import EndpointEntry, GrantOutcomeRecord, GrantRecord
from jasminewalk.generated_requests import EngineOrder, EngineState

__all__ = [
    "EngineChange",
    "OlderGrant",
    "build_grant_record",
    "build_outcome_append",
    "get_known_role",
    "is_changing",
    "list_missing_artifacts",
    "matches_wanted_state",
]

Phase = Literal["proposed", "draining", "ordered", "ended"]


@attrs.define(kw_only=True)
class EngineChange:
    """Change of an engine, from its proposal to its outcome.

    :param record_id: identifier of the record that proposes the change.
    :param wanted: the wanted state.
    :param proposed_s: time at which the lifetime of the grant starts, in seconds;
        this is before the append of the proposal.
    :param is_takeover: whether the change was started by an earlier process.
    :param phase: current phase.
    :param grant: offset of the accepted grant; 0 until it is accepted.
    :param sent_s: time at which the order was last sent, in seconds.
    :param unanswered_orders: number of orders sent without a response so far.
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
        """The order, which contains the complete wanted state."""
        return EngineOrder(
            fencing_number=self.grant,
            role=self.wanted.role,
            models=list(self.wanted.models),
            version=self.wanted.version,
        )


@attrs.define(kw_only=True)
class OlderGrant:
    """Latest grant of an earlier process that was found open.

    :param grant: offset of the grant; 0 for none.
    :param lapses_at_s: time from which none of its orders can arrive, in seconds.
    :param is_infeasible: whether the change would leave the pool below its minimum.
    """

    grant: int = 0
    lapses_at_s: float = float("-inf")
    is_infeasible: bool = False

    def observe(self, now_s: float, entry: EndpointEntry, margin_s: float) -> None:
        """Record an open grant, as if its lifetime started when it is first observed.

        The lifetime actually started earlier, so the grant has always lapsed by
        ``lapses_at_s``.

        :param now_s: current time in seconds.
        :param entry: state of the endpoint on the log, with the open grant.
        :param margin_s: maximum seconds in which an order arrives, plus clock drift.
        """
        if self.grant == entry.grant:
            return
        self.grant = entry.grant
        self.lapses_at_s = now_s + entry.lifetime_s + margin_s
        self.is_infeasible = False

    def get_wanted_state(self, entry: EndpointEntry) -> WantedState:
        """Return the wanted state of the grant; keep the current role if infeasible.

        :param entry: state of the endpoint on the log, with the open grant.
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
    """Build the record that proposes a change.

    :param settings: settings of the orders.
    :param entry: state of the endpoint on the log.
    :param pool_revision: offset of the latest accepted role change of the pool.
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
    """Build the append that ends the open grant of an endpoint.

    :param settings: settings of the orders.
    :param entry: state of the endpoint on the log.
    :param outcome: how the change ended.
    :param role: current role of the engine.
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
    """Return the wanted models and adapters that the engine has not loaded.

    :param actual: state that the engine reports, if any.
    :param wanted: the wanted state.
    """
    loaded = actual.models if actual is not None else []
    return tuple(name for name in wanted.models if name not in loaded)


def get_known_role(actual: EngineState | None, entry: EndpointEntry) -> Role:
    """Return the role that the engine reports, else the role on the log.

    :param actual: state that the engine reports, if any.
    :param entry: state of the endpoint on the log.
    """
    return actual.role if actual is not None else entry.role


def is_changing(actual: EngineState | None) -> bool:
    """Return whether the engine reports that it is carrying out an order.

    :param actual: state that the engine reports, if any.
    """
    return actual is not None and actual.changing


def matches_wanted_state(actual: EngineState, wanted: WantedState) -> bool:
    """Return whether an engine is in the wanted state.

    :param actual: state that the engine reports.
    :param wanted: the wanted state.
    """
    if actual.role != wanted.role or set(actual.models) != set(wanted.models):
        return False
    return not wanted.version or actual.version == wanted.version

"""Controller that orders changes of an engine, each under a grant from the log."""

import random
from typing import Literal

from jasminewalk.agreement._order_change import (
    EngineChange,
    OlderGrant,
    build_grant_record,
    build_outcome_append,
    get_known_role,
    is_changing,
    list_missing_artifacts,
    matches_wanted_state,
)
from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.fold_events import (
    FoldEvent,
    GrantAccepted,
    GrantEnded,
    GrantRejected,
    StateReplaced,
)
from jasminewalk.agreement.log_writer import AppendRecord
from jasminewalk.agreement.order_actions import (
    ChangeEnded,
    OrderAction,
    OrderSettings,
    ProposalRejected,
    ReserveWeights,
    ResumeWork,
    Role,
    SendOrder,
    StartDrain,
    WantedState,
)
from jasminewalk.generated_records import EndpointEntry
from jasminewalk.generated_requests import EngineState

__all__ = ["OrderController"]


class OrderController:
    """Brings one engine into its wanted state, one order at a time.

    An order is sent only under a grant that this process proposed, that was read
    back from the log as accepted and that has not lapsed. The lifetime of a grant
    starts before its append is sent, so that a slow append cannot extend it. If an
    earlier process left a grant open, this process takes the change over and orders
    it again under a newer grant.

    The methods perform no I/O: they return the actions to carry out.

    :param settings: settings of the orders.
    :param fold: shared state, derived from the log.
    :param rng: random source for identifiers and jitter.
    """

    def __init__(
        self, settings: OrderSettings, fold: LogFold, rng: random.Random
    ) -> None:
        self.settings = settings
        self.fold = fold
        self.rng = rng
        self.wanted: WantedState | None = None
        self.actual: EngineState | None = None
        self.observed_s = float("-inf")
        self.change: EngineChange | None = None
        self.older_grant = OlderGrant()
        self.retry_at_s = 0.0
        self.reserved_artifacts: tuple[str, ...] = ()
        self.reservation_pending = False

    @property
    def change_in_progress(self) -> bool:
        """Whether a change is in progress."""
        return self.change is not None

    @property
    def entry(self) -> EndpointEntry | None:
        """State of the endpoint on the log; None if this process is not registered."""
        settings = self.settings
        if not self.fold.is_registered(settings.endpoint, settings.incarnation):
            return None
        return self.fold.get_endpoint(settings.endpoint)

    def set_wanted_state(self, now_s: float, wanted: WantedState) -> list[OrderAction]:
        """Set the state that the engine should reach.

        :param now_s: current time in seconds.
        :param wanted: the complete wanted state.
        """
        self.wanted = wanted
        return self.tick(now_s)

    def observe_engine(self, now_s: float, state: EngineState) -> list[OrderAction]:
        """Record the state that the engine reports.

        :param now_s: current time in seconds.
        :param state: the engine's state, which was ``age_s`` seconds old on arrival.
        """
        self.actual = state
        self.observed_s = now_s - state.age_s
        return self.tick(now_s)

    def handle_weights_reserved(
        self, now_s: float, artifacts: tuple[str, ...]
    ) -> list[OrderAction]:
        """Continue after the weight store has allowed a load.

        :param now_s: current time in seconds.
        :param artifacts: models and adapters that may be loaded now.
        """
        self.reserved_artifacts = artifacts
        self.reservation_pending = False
        return self.tick(now_s)

    def tick(self, now_s: float) -> list[OrderAction]:
        """Advance the change in progress, or start the next one.

        :param now_s: current time in seconds.
        """
        entry = self.entry
        if entry is None:
            return self.drop_change()
        if self.change is None:
            return self.start_due_change(now_s, entry) if self.fold.is_ready else []
        return self.advance(now_s, entry, self.change)

    def drop_change(self) -> list[OrderAction]:
        """Drop the change because its grant has ended or another process took over."""
        if self.change is None or self.change.phase == "proposed":
            self.change = None
            return []
        self.change = None
        return [ResumeWork()]

    def start_due_change(self, now_s: float, entry: EndpointEntry) -> list[OrderAction]:
        """Start a change, or deal with a grant that is still open.

        A grant of an earlier process is taken over. A grant of this process has no
        change any more; it is ended once the engine is not changing and no order of
        an older grant can still arrive.

        :param now_s: current time in seconds.
        :param entry: state of the endpoint on the log.
        """
        if now_s < self.retry_at_s:
            return []
        if entry.open and entry.grant_holder == self.settings.incarnation:
            if not self.has_no_order_in_flight():
                return []
            self.retry_at_s = now_s + self.settings.retry_s
            role = get_known_role(self.actual, entry)
            return [
                build_outcome_append(self.settings, entry, "abandoned", role, self.rng)
            ]
        if entry.open:
            return self.take_over(now_s, entry)
        if self.wanted is None or self.actual is None or self.actual.changing:
            return []
        if matches_wanted_state(self.actual, self.wanted):
            return []
        return self.propose(now_s, entry, self.wanted, is_takeover=False)

    def take_over(self, now_s: float, entry: EndpointEntry) -> list[OrderAction]:
        """Propose the change of an earlier process again under a newer grant.

        If the engine does not check fencing numbers, wait until the older grant has
        lapsed, so that the earlier process can no longer send an order.

        :param now_s: current time in seconds.
        :param entry: state of the endpoint on the log, with the open grant.
        """
        self.older_grant.observe(now_s, entry, self.settings.margin_s)
        if not self.settings.checks_fencing and now_s < self.older_grant.lapses_at_s:
            return []
        if self.older_grant.is_infeasible and not self.has_no_order_in_flight():
            return []
        return self.propose(
            now_s, entry, self.older_grant.get_wanted_state(entry), is_takeover=True
        )

    def has_no_order_in_flight(self) -> bool:
        """Return whether no order of an older grant is running or can still arrive."""
        if self.actual is None or self.actual.changing:
            return False
        return self.observed_s >= self.older_grant.lapses_at_s

    def reserve_weights(self, artifacts: tuple[str, ...]) -> list[OrderAction]:
        """Request a reservation at the weight store, unless one is pending.

        :param artifacts: models and adapters to load.
        """
        if self.reservation_pending:
            return []
        self.reservation_pending = True
        return [ReserveWeights(artifacts=artifacts)]

    def propose(
        self, now_s: float, entry: EndpointEntry, wanted: WantedState, is_takeover: bool
    ) -> list[OrderAction]:
        """Append a proposal, once the weights that it loads are reserved.

        The lifetime of the grant starts now.

        :param now_s: current time in seconds.
        :param entry: state of the endpoint on the log.
        :param wanted: the wanted state.
        :param is_takeover: whether the change was started by an earlier process.
        """
        missing = list_missing_artifacts(self.actual, wanted)
        if (
            missing
            and self.settings.reserves_weights
            and missing != self.reserved_artifacts
        ):
            return self.reserve_weights(missing)
        revision = self.fold.get_pool_revision(self.settings.pool)
        record = build_grant_record(self.settings, entry, revision, wanted, self.rng)
        self.change = EngineChange(
            record_id=record.record_id,
            wanted=wanted,
            proposed_s=now_s,
            is_takeover=is_takeover,
        )
        return [
            AppendRecord(record=record, give_up_s=self.compute_lapse_s(self.change))
        ]

    def on_event(self, now_s: float, event: FoldEvent) -> list[OrderAction]:
        """Update the change in progress after an event of the fold.

        :param now_s: current time in seconds.
        :param event: event of the fold.
        """
        change = self.change
        if change is None:
            return []
        match event:
            case GrantAccepted() if event.record_id == change.record_id:
                return self.handle_grant_accepted(now_s, change, event.grant)
            case GrantRejected() if event.record_id == change.record_id:
                return self.handle_grant_rejected(now_s, change, event)
            case GrantEnded() if event.grant == change.grant:
                self.change = None
            case StateReplaced():
                return self.handle_state_replaced(now_s, change)
        return []

    def handle_grant_accepted(
        self, now_s: float, change: EngineChange, grant: int
    ) -> list[OrderAction]:
        """Drain the engine under an accepted grant.

        :param now_s: current time in seconds.
        :param change: the change.
        :param grant: offset of the grant.
        """
        if change.phase != "proposed":
            return []
        change.grant = grant
        change.phase = "draining"
        reason = change.wanted.reason
        return [StartDrain(reason=reason), *self.tick(now_s)]

    def handle_grant_rejected(
        self, now_s: float, change: EngineChange, event: GrantRejected
    ) -> list[OrderAction]:
        """Give up a proposal that was rejected on the log.

        :param now_s: current time in seconds.
        :param change: the change.
        :param event: the rejection, with the check that failed.
        """
        self.change = None
        self.retry_at_s = now_s + self.settings.retry_s * self.rng.uniform(0.5, 1.0)
        entry = self.entry
        if event.rejection not in ("minimum", "pool_revision") or entry is None:
            return []
        if change.is_takeover:
            self.older_grant.is_infeasible = event.rejection == "minimum"
            return []
        if change.wanted.role == entry.role:
            return []
        if self.wanted == change.wanted:
            self.wanted = None
        return [ProposalRejected(wanted=change.wanted, rejection=event.rejection)]

    def handle_state_replaced(
        self, now_s: float, change: EngineChange
    ) -> list[OrderAction]:
        """Compare the change in progress with a state rebuilt from a snapshot.

        :param now_s: current time in seconds.
        :param change: the change.
        """
        entry = self.entry
        if entry is None:
            return self.drop_change()
        if entry.grant_id == change.record_id and entry.open:
            return self.handle_grant_accepted(now_s, change, entry.grant)
        if entry.grant_id == change.record_id or change.phase != "proposed":
            return self.drop_change()
        return []

    def advance(
        self, now_s: float, entry: EndpointEntry, change: EngineChange
    ) -> list[OrderAction]:
        """Advance a change, or give it up once its grant has lapsed.

        :param now_s: current time in seconds.
        :param entry: state of the endpoint on the log.
        :param change: the change.
        """
        if change.phase == "proposed":
            if now_s >= self.compute_lapse_s(change):
                self.change = None
            return []
        if change.phase == "draining":
            if (
                now_s < self.compute_lapse_s(change)
                or not self.has_no_order_in_flight()
            ):
                return []
            role = get_known_role(self.actual, entry)
            return self.end_change(entry, change, "abandoned", role)
        if change.phase == "ordered":
            return self.check_ordered_change(now_s, entry, change)
        return []

    def handle_drained(self, now_s: float) -> list[OrderAction]:
        """Send the order after the engine has finished its work.

        :param now_s: current time in seconds.
        """
        change = self.change
        entry = self.entry
        if change is None or entry is None or change.phase != "draining":
            return []
        if now_s >= self.compute_lapse_s(change):
            return self.advance(now_s, entry, change)
        change.phase = "ordered"
        return self.send_order(now_s, change)

    def send_order(self, now_s: float, change: EngineChange) -> list[OrderAction]:
        """Return the action that sends the order.

        :param now_s: current time in seconds.
        :param change: the change.
        """
        change.sent_s = now_s
        change.unanswered_orders += 1
        return [
            SendOrder(order=change.order, valid_until_s=self.compute_lapse_s(change))
        ]

    def record_order_response(self, fencing_number: int) -> None:
        """Record that the engine responded to an order.

        An order without a response is assumed to be in flight until ``margin_s``
        seconds after it was sent.

        :param fencing_number: fencing number of the order.
        """
        if self.change is not None and self.change.grant == fencing_number:
            self.change.unanswered_orders -= 1

    def handle_stale_order(self) -> list[OrderAction]:
        """Drop the change because the engine has seen a newer fencing number.

        No call is needed after other refusals or a missing response: the engine's
        state shows whether the order took effect, and the order is sent again after
        ``order_timeout_s``.
        """
        change = self.change
        if change is None or change.phase != "ordered":
            return []
        return self.drop_change()

    def check_ordered_change(
        self, now_s: float, entry: EndpointEntry, change: EngineChange
    ) -> list[OrderAction]:
        """End a change that the engine has completed, or send the order again.

        After the grant has lapsed, the change is abandoned instead.

        :param now_s: current time in seconds.
        :param entry: state of the endpoint on the log.
        :param change: the change.
        """
        actual = self.actual
        in_flight_s = self.settings.margin_s if change.unanswered_orders else 0.0
        is_fresh = self.observed_s > change.sent_s + in_flight_s
        is_settled = is_fresh and actual is not None and not actual.changing
        if actual and is_settled and matches_wanted_state(actual, change.wanted):
            return self.end_change(entry, change, "done", change.wanted.role)
        lapse_s = self.compute_lapse_s(change)
        if now_s < lapse_s:
            is_due = now_s >= change.sent_s + self.settings.order_timeout_s
            return (
                self.send_order(now_s, change)
                if is_due and not is_changing(actual)
                else []
            )
        if (
            actual
            and is_settled
            and self.observed_s >= lapse_s + self.settings.margin_s
        ):
            return self.end_change(entry, change, "abandoned", actual.role)
        return []

    def end_change(
        self,
        entry: EndpointEntry,
        change: EngineChange,
        outcome: Literal["done", "abandoned"],
        role: Role,
    ) -> list[OrderAction]:
        """End a change and append its outcome; its order is never sent again.

        :param entry: state of the endpoint on the log.
        :param change: the change.
        :param outcome: how the change ended.
        :param role: current role of the engine.
        """
        change.phase = "ended"
        self.reserved_artifacts = ()
        return [
            build_outcome_append(self.settings, entry, outcome, role, self.rng),
            ChangeEnded(outcome=outcome, wanted=change.wanted, role=role),
            ResumeWork(),
        ]

    def compute_lapse_s(self, change: EngineChange) -> float:
        """Return the time at which the grant of a change lapses, in seconds.

        :param change: the change.
        """
        return change.proposed_s + self.settings.lifetime_s

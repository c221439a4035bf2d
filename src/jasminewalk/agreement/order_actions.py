"""Settings of the order controller and the actions that it returns."""

from typing import Literal

import attrs

from jasminewalk.agreement.fold_events import GrantRejection
from jasminewalk.agreement.log_writer import AppendRecord
from jasminewalk.generated_requests import EngineOrder

__all__ = [
    "ChangeEnded",
    "OrderAction",
    "OrderSettings",
    "ProposalRejected",
    "ReserveWeights",
    "ResumeWork",
    "Role",
    "SendOrder",
    "StartDrain",
    "WantedState",
]

Role = Literal["mixed", "prefill", "decode"]


@attrs.frozen(kw_only=True)
class OrderSettings:
    """Settings for the orders of a sidecar to its engine.

    :param endpoint: endpoint name.
    :param pool: pool name.
    :param incarnation: identifier of the sidecar process.
    :param checks_fencing: whether the engine refuses old fencing numbers.
    :param lifetime_s: seconds for which a grant is valid.
    :param margin_s: maximum seconds in which an order arrives, plus clock drift.
    :param order_timeout_s: seconds after which an order without effect is sent again.
    :param retry_s: maximum seconds to wait after a rejected proposal.
    :param reserves_weights: whether to reserve loads at the weight store first.
    """

    endpoint: str
    pool: str
    incarnation: str
    checks_fencing: bool = True
    lifetime_s: float = 30.0
    margin_s: float = 3.0
    order_timeout_s: float = 2.0
    retry_s: float = 2.0
    reserves_weights: bool = False


@attrs.frozen(kw_only=True)
class WantedState:
    """State that an engine should reach.

    :param role: wanted role.
    :param models: wanted models and adapters.
    :param version: wanted software version; empty for any.
    :param reason: why the state is wanted, for operators.
    """

    role: Role
    models: tuple[str, ...] = ()
    version: str = ""
    reason: str = ""


@attrs.frozen(kw_only=True)
class ReserveWeights:
    """Reserve artifacts at the weight store, then call ``handle_weights_reserved``.

    :param artifacts: models and adapters that are not loaded yet.
    """

    artifacts: tuple[str, ...]


@attrs.frozen(kw_only=True)
class StartDrain:
    """Refuse new work, finish the work in progress, then call ``handle_drained``.

    :param reason: why the engine changes, for operators.
    """

    reason: str


@attrs.frozen(kw_only=True)
class ResumeWork:
    """Accept new work again."""


@attrs.frozen(kw_only=True)
class SendOrder:
    """Send an order to the engine, unless its grant has lapsed by then.

    :param order: the order.
    :param valid_until_s: time from which the order must not be sent, in seconds.
    """

    order: EngineOrder
    valid_until_s: float


@attrs.frozen(kw_only=True)
class ChangeEnded:
    """Report that a change of the engine ended.

    :param outcome: how the change ended.
    :param wanted: the wanted state.
    :param role: current role of the engine.
    """

    outcome: Literal["done", "abandoned"]
    wanted: WantedState
    role: Role


@attrs.frozen(kw_only=True)
class ProposalRejected:
    """Report that a proposal was rejected; the role should be planned again.

    :param wanted: the wanted state.
    :param rejection: which check failed.
    """

    wanted: WantedState
    rejection: GrantRejection


OrderAction = (
    AppendRecord
    | ReserveWeights
    | StartDrain
    | ResumeWork
    | SendOrder
    | ChangeEnded
    | ProposalRejected
)

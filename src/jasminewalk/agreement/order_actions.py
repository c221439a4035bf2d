"""Settings of orders and the actions that deciding about them returns."""

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
    """Limits of a sidecar's orders to its engine.

    :param endpoint: endpoint name.
    :param pool: pool name.
    :param incarnation: identifier of the sidecar process.
    :param checks_fencing: whether the engine refuses old fencing numbers.
    :param lifetime_s: seconds a grant is valid for.
    :param margin_s: seconds an order may travel, clock drift included.
    :param order_timeout_s: seconds after which an unanswered order is sent again.
    :param retry_s: longest wait after a rejected proposal in seconds.
    :param reserves_weights: whether loads wait for the weight store.
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
    """State that an engine should be in.

    :param role: wanted role.
    :param models: wanted models and adapters.
    :param version: wanted software version; empty for any.
    :param reason: why it is wanted.
    """

    role: Role
    models: tuple[str, ...] = ()
    version: str = ""
    reason: str = ""


@attrs.frozen(kw_only=True)
class ReserveWeights:
    """Ask the weight store for these artifacts, then call ``handle_weights_reserved``.

    :param artifacts: models and adapters that are not loaded yet.
    """

    artifacts: tuple[str, ...]


@attrs.frozen(kw_only=True)
class StartDrain:
    """Take no new work and finish what runs, then call ``handle_drained``.

    :param reason: why.
    """

    reason: str


@attrs.frozen(kw_only=True)
class ResumeWork:
    """Take new work again."""


@attrs.frozen(kw_only=True)
class SendOrder:
    """Send the order, unless the instant has passed when it would leave.

    :param order: the order.
    :param valid_until_s: instant after which it must not be sent.
    """

    order: EngineOrder
    valid_until_s: float


@attrs.frozen(kw_only=True)
class ChangeEnded:
    """A change of the engine ended.

    :param outcome: how it ended.
    :param wanted: state that was wanted.
    :param role: role in force.
    """

    outcome: Literal["done", "abandoned"]
    wanted: WantedState
    role: Role


@attrs.frozen(kw_only=True)
class ProposalRejected:
    """A proposed change was not accepted; weigh the evidence again.

    :param wanted: state that was wanted.
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

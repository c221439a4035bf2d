"""Settings and items of an endpoint's queue."""

import attrs

from jasminewalk.types import Refusal, RequestProfile

__all__ = ["ExpiredRequest", "QueueSettings", "RunningRequest", "WaitingRequest"]


@attrs.frozen(kw_only=True)
class QueueSettings:
    """How a sidecar admits and orders requests.

    :param max_running: most requests on the endpoint; 0 follows its batch.
    :param max_queued: most requests that wait.
    :param engine_prefill_s: seconds of prefill work that the engine may hold.
    :param prefill_share: part of a mixed step that goes to prefill.
    :param slack_s: seconds by which a prediction may miss the deadline.
    :param decode_margin: factor of the predicted time to decode.
    :param min_retry_after_s: least seconds to come back after.
    :param default_prefill_tokens_per_s: prefill speed before the first report.
    :param default_decode_tokens_per_s: decode speed before the first report.
    :param default_residence_s: seconds of a request on the endpoint before any ended.
    :param share_window_s: seconds of work by which an organisation's place in
        the queue may move.
    :param cache_blocks: most prefix blocks remembered.
    :param fairness: whether organisations take turns within a priority.
    """

    max_running: int = 0
    max_queued: int = 512
    engine_prefill_s: float = 0.1
    prefill_share: float = 0.5
    slack_s: float = 0.0
    decode_margin: float = 1.0
    min_retry_after_s: float = 0.2
    default_prefill_tokens_per_s: float = 4000.0
    default_decode_tokens_per_s: float = 40.0
    default_residence_s: float = 1.0
    share_window_s: float = 2.0
    cache_blocks: int = 50_000
    fairness: bool = True


@attrs.frozen
class ExpiredRequest:
    """A request that was given up while it waited.

    :param profile: the request.
    :param refusal: why, and when to come back.
    """

    profile: RequestProfile
    refusal: Refusal


@attrs.define
class WaitingRequest:
    """A request that waits.

    :param profile: the request.
    :param rank: place in the queue; lower goes first.
    :param latest_start_s: instant after which the deadline cannot be met.
    :param prefill_tokens: prompt tokens that need prefill.
    """

    profile: RequestProfile
    rank: tuple[float, float, float]
    latest_start_s: float
    prefill_tokens: int


@attrs.define
class RunningRequest:
    """A request on the endpoint.

    :param profile: the request.
    :param started_s: instant at which it was handed over.
    :param prefill_tokens: prompt tokens that need prefill.
    :param first_token_s: instant of its first token, if it came.
    """

    profile: RequestProfile
    started_s: float
    prefill_tokens: int
    first_token_s: float | None = None

    @property
    def is_prefilling(self) -> bool:
        """Whether the first token has not come yet."""
        return self.first_token_s is None

"""Settings of an endpoint's queue and the requests that it tracks."""

import attrs

from jasminewalk.types import Refusal, RequestProfile

__all__ = ["ExpiredRequest", "QueueSettings", "RunningRequest", "WaitingRequest"]


@attrs.frozen(kw_only=True)
class QueueSettings:
    """Settings for the admission and order of requests in a sidecar.

    :param max_running: maximum number of requests on the endpoint; 0 means the
        endpoint's batch size.
    :param max_queued: maximum number of waiting requests.
    :param engine_prefill_s: seconds of prefill work that the engine may hold in its
        own queue.
    :param prefill_share: fraction of an engine's time assumed to be spent on prefill
        while it also decodes.
    :param slack_s: seconds by which a prediction may exceed the deadline.
    :param decode_margin: factor applied to the predicted decode time.
    :param min_retry_after_s: shortest retry delay in seconds given to a caller.
    :param default_prefill_tokens_per_s: prefill speed before the first report.
    :param default_decode_tokens_per_s: decode speed before the first report.
    :param default_residence_s: seconds that a request spends on the endpoint, assumed
        before the first one has ended.
    :param share_window_s: maximum delay in seconds for requests of an organisation
        that has received more work than others.
    :param cache_blocks: maximum number of prefix blocks in the index.
    :param fairness: whether capacity is shared fairly between organisations within a
        priority.
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
    """A request that can no longer meet its deadline and has left the queue.

    :param profile: the request.
    :param refusal: the refusal, with a reason and a retry delay.
    """

    profile: RequestProfile
    refusal: Refusal


@attrs.define
class WaitingRequest:
    """A request in the queue.

    :param profile: the request.
    :param rank: sort key in the queue; the lowest starts first.
    :param latest_first_token_s: latest time in seconds for the first token; after it,
        the deadline cannot be met.
    :param prefill_tokens: prompt tokens that need prefill.
    """

    profile: RequestProfile
    rank: tuple[float, float, float]
    latest_first_token_s: float
    prefill_tokens: int


@attrs.define
class RunningRequest:
    """A request on the endpoint.

    :param profile: the request.
    :param started_s: time in seconds at which it was sent to the endpoint.
    :param prefill_tokens: prompt tokens that need prefill.
    :param first_token_s: time in seconds of its first token; ``None`` before it
        arrives.
    """

    profile: RequestProfile
    started_s: float
    prefill_tokens: int
    first_token_s: float | None = None

    @property
    def is_prefilling(self) -> bool:
        """Whether the first token has not arrived yet."""
        return self.first_token_s is None

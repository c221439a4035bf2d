"""State of one generation in a sidecar."""

import math

import anyio
import attrs

from jasminewalk.generated_requests import GenerateRequest
from jasminewalk.transport._http import Send
from jasminewalk.types import Refusal, RequestProfile

__all__ = ["GenerationStream", "build_profile"]


def build_profile(request: GenerateRequest, pool: str, now_s: float) -> RequestProfile:
    """Build the profile by which the queue decides about a generation.

    :param request: the request and attempt.
    :param pool: pool of the endpoint.
    :param now_s: current time in seconds.
    """
    remaining_tokens = max(1, request.max_tokens - request.resume_from)
    first_token_s = request.first_token_s or math.inf
    expected_tokens = request.expected_tokens - request.resume_from
    return RequestProfile(
        request_id=f"{request.request_id}/{request.attempt}",
        organisation=request.organisation,
        request_class=request.request_class,
        pool=pool,
        model=request.model,
        prompt_tokens=request.prompt_tokens + request.resume_from,
        expected_tokens=min(remaining_tokens, max(1, expected_tokens)),
        max_tokens=remaining_tokens,
        prefix_hashes=tuple(request.prefix_hashes),
        arrived_s=now_s,
        deadline_s=now_s + request.deadline_s,
        first_token_deadline_s=now_s + first_token_s,
        priority=request.priority,
        weight=request.weight,
    )


@attrs.define(kw_only=True, eq=False)
class GenerationStream:
    """Generation from its arrival to its end.

    :param request: the request and attempt.
    :param profile: profile of the request for the queue.
    :param send: ASGI send function of the entry's request.
    :param arrived_s: time of arrival in seconds.
    :param scope: cancel scope, cancelled when the entry disconnects or cancels the
        attempt, or when the engine stalls.
    :param started: event that is set when the queue starts or expires the generation.
    :param refusal: reason why the queue expired the generation, if it did.
    :param headers_sent: whether the response headers were sent.
    :param sent_to_engine: whether the generation was sent to the engine.
    :param last_sent_s: time of the latest bytes to the entry in seconds; 0 if none.
    :param last_progress_s: time of the latest bytes from the engine in seconds.
    :param has_output: whether the engine has sent any output.
    :param is_stalled: whether the engine sent no output for too long.
    """

    request: GenerateRequest
    profile: RequestProfile
    send: Send
    arrived_s: float
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    started: anyio.Event = attrs.field(factory=anyio.Event)
    refusal: Refusal | None = None
    headers_sent: bool = False
    sent_to_engine: bool = False
    last_sent_s: float = 0.0
    last_progress_s: float = 0.0
    has_output: bool = False
    is_stalled: bool = False

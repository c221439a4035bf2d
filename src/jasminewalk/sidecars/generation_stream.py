"""One generation in a sidecar, between its arrival and its end."""

import math

import anyio
import attrs

from jasminewalk.generated_requests import GenerateRequest
from jasminewalk.transport._http import Send
from jasminewalk.types import Refusal, RequestProfile

__all__ = ["GenerationStream", "build_profile"]


def build_profile(request: GenerateRequest, pool: str, now_s: float) -> RequestProfile:
    """Return what decisions need to know about a generation.

    :param request: the attempt.
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
    """A generation between its arrival and its end.

    :param request: the attempt.
    :param profile: what the queue knows of it.
    :param send: ASGI send function of the entry's request.
    :param arrived_s: instant of arrival in seconds.
    :param scope: cancelled when the entry leaves or the engine is stalled.
    :param started: set when the queue lets the generation go on or gives it up.
    :param refusal: why the queue gave the generation up.
    :param header_sent: whether the answer's header was sent.
    :param sent_to_engine: whether the engine has the generation.
    :param last_sent_s: instant of the last bytes to the entry in seconds.
    :param last_progress_s: instant of the last bytes from the engine in seconds.
    :param has_output: whether the engine sent anything yet.
    :param is_stalled: whether the engine was silent for too long.
    """

    request: GenerateRequest
    profile: RequestProfile
    send: Send
    arrived_s: float
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    started: anyio.Event = attrs.field(factory=anyio.Event)
    refusal: Refusal | None = None
    header_sent: bool = False
    sent_to_engine: bool = False
    last_sent_s: float = 0.0
    last_progress_s: float = 0.0
    has_output: bool = False
    is_stalled: bool = False

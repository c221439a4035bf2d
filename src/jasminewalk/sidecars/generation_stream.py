"""One generation in a sidecar, between its arrival and its end."""

import math

import anyio
import attrs

from jasminewalk.generated_requests import GenerateRequest
from jasminewalk.transport._http import Send
from jasminewalk.types import Refusal, RequestProfile

__all__ = ["GenerationStream", "profile_of"]


def profile_of(request: GenerateRequest, pool: str, now_s: float) -> RequestProfile:
    """Return what decisions need to know about a generation.

    :param request: the attempt.
    :param pool: pool of the endpoint.
    :param now_s: current instant in seconds.
    """
    left = max(1, request.max_tokens - request.resume_from)
    first_token_s = request.first_token_s or math.inf
    expected = request.expected_tokens - request.resume_from
    return RequestProfile(
        request_id=f"{request.request_id}/{request.attempt}",
        organisation=request.organisation,
        request_class=request.request_class,
        pool=pool,
        model=request.model,
        prompt_tokens=request.prompt_tokens + request.resume_from,
        expected_tokens=min(left, max(1, expected)),
        max_tokens=left,
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
    :param scope: cancelled when the entry leaves or the engine is stuck.
    :param started: set when the queue lets the generation go on or gives it up.
    :param refusal: why the queue gave the generation up.
    :param header_sent: whether the answer's header was sent.
    :param handed_over: whether the engine has the generation.
    :param sent_s: instant of the last bytes to the entry in seconds.
    :param progress_s: instant of the last bytes from the engine in seconds.
    :param got_bytes: whether the engine sent anything yet.
    :param stuck: whether the engine was silent for too long.
    """

    request: GenerateRequest
    profile: RequestProfile
    send: Send
    arrived_s: float
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    started: anyio.Event = attrs.field(factory=anyio.Event)
    refusal: Refusal | None = None
    header_sent: bool = False
    handed_over: bool = False
    sent_s: float = 0.0
    progress_s: float = 0.0
    got_bytes: bool = False
    stuck: bool = False

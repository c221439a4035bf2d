"""Data that decisions take and return."""

import attrs

from jasminewalk.generated_codes import Code, Ran

__all__ = ["Candidate", "Refusal", "RequestProfile", "Route"]


@attrs.frozen(kw_only=True)
class RequestProfile:
    """What a decision needs to know about a request.

    :param request_id: identifier of the request.
    :param organisation: organisation name.
    :param request_class: class name.
    :param pool: pool that serves the request.
    :param model: model name; empty for a service.
    :param prompt_tokens: prompt length in tokens.
    :param expected_tokens: output tokens expected.
    :param max_tokens: most output tokens.
    :param prefix_hashes: hashes of the prompt's leading blocks, first block first.
    :param arrived_s: instant of arrival in seconds.
    :param deadline_s: instant of the deadline for the whole answer in seconds.
    :param first_token_deadline_s: instant by which the first token is wanted.
    :param priority: higher runs first.
    :param weight: share of the organisation against others.
    :param repeatable: whether the request may run more than once.
    """

    request_id: str
    organisation: str
    request_class: str
    pool: str
    model: str = ""
    prompt_tokens: int = 0
    expected_tokens: int = 0
    max_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    arrived_s: float = 0.0
    deadline_s: float = float("inf")
    first_token_deadline_s: float = float("inf")
    priority: int = 0
    weight: float = 1.0
    repeatable: bool = True


@attrs.frozen
class Candidate:
    """An endpoint that was weighed for a request.

    :param endpoint: endpoint name.
    :param first_token_s: predicted seconds to the first token.
    :param finish_s: predicted seconds to the whole answer.
    :param cached_tokens: prompt tokens expected in its prefix cache.
    :param report_age_s: age of the load report in seconds.
    :param note: why it was passed over, or nothing.
    """

    endpoint: str
    first_token_s: float
    finish_s: float
    cached_tokens: int = 0
    report_age_s: float = 0.0
    note: str = ""


@attrs.frozen
class Route:
    """Decision to send a request to an endpoint.

    :param endpoint: endpoint name.
    :param reason: why it was chosen, for people to read.
    :param candidates: endpoints weighed, best first.
    """

    endpoint: str
    reason: str
    candidates: tuple[Candidate, ...] = ()


@attrs.frozen
class Refusal:
    """Decision not to answer a request.

    :param code: result code.
    :param reason: why, for people to read.
    :param retry_after_s: seconds after which to come back.
    :param ran: whether the request ran.
    :param candidates: endpoints weighed, best first.
    """

    code: Code
    reason: str
    retry_after_s: float
    ran: Ran = "not_run"
    candidates: tuple[Candidate, ...] = ()

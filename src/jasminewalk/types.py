"""Inputs and results of routing and admission decisions."""

import attrs

from jasminewalk.generated_codes import Code, Ran

__all__ = ["Candidate", "Refusal", "RequestProfile", "Route"]


@attrs.frozen(kw_only=True)
class RequestProfile:
    """Properties of a request that decisions depend on.

    :param request_id: identifier of the request.
    :param organisation: organisation name.
    :param request_class: name of the request class.
    :param pool: pool that serves the request.
    :param model: model name; empty for a service.
    :param prompt_tokens: prompt length in tokens.
    :param expected_tokens: expected number of output tokens.
    :param max_tokens: maximum number of output tokens.
    :param prefix_hashes: hashes of the prompt's leading blocks, first block first.
    :param arrived_s: monotonic time of arrival in seconds.
    :param deadline_s: monotonic time in seconds by which the response must be complete.
    :param first_token_deadline_s: monotonic time in seconds by which the first token
        should be sent.
    :param priority: priority; requests with a higher one run first.
    :param weight: weight of the organisation in fair sharing.
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
    """An endpoint that was considered for a request.

    :param endpoint: endpoint name.
    :param first_token_s: predicted time to the first token in seconds.
    :param finish_s: predicted time to the complete response in seconds.
    :param cached_tokens: number of prompt tokens expected in its prefix cache.
    :param report_age_s: age of its load report in seconds.
    :param note: reason for which it was not chosen; empty if there is none.
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
    :param reason: human-readable reason for the choice.
    :param candidates: endpoints that were considered, best first.
    """

    endpoint: str
    reason: str
    candidates: tuple[Candidate, ...] = ()


@attrs.frozen
class Refusal:
    """Decision to refuse a request.

    :param code: result code.
    :param reason: human-readable reason.
    :param retry_after_s: time in seconds after which to retry.
    :param ran: whether the request ran.
    :param candidates: endpoints that were considered, best first.
    """

    code: Code
    reason: str
    retry_after_s: float
    ran: Ran = "not_run"
    candidates: tuple[Candidate, ...] = ()

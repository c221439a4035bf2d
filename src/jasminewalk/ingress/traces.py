"""Traces of recent requests, which operators read with ``explain``."""

from collections import OrderedDict
from collections.abc import Sequence

import attrs

from jasminewalk.types import Candidate

__all__ = ["MAX_CANDIDATES", "AttemptTrace", "RequestTrace", "TraceStore"]

MAX_TRACES = 2048
MAX_CANDIDATES = 8
MAX_ATTEMPTS = 16


@attrs.define(kw_only=True)
class AttemptTrace:
    """One attempt of a request.

    :param attempt: number of the attempt, from 1.
    :param endpoint: endpoint that the attempt was sent to.
    :param reason: reason for choosing the endpoint.
    :param candidates: endpoints considered, best first.
    :param resume_from: number of output tokens that the caller already had.
    :param sent_s: seconds from the arrival of the request to the attempt.
    :param first_token_s: seconds from arrival to the first token of the attempt; None
        if it produced none.
    :param ended_s: seconds from arrival to the end of the attempt; None while it runs.
    :param outcome: how the attempt ended; empty while it runs.
    """

    attempt: int
    endpoint: str
    reason: str
    candidates: Sequence[Candidate] = ()
    resume_from: int = 0
    sent_s: float = 0.0
    first_token_s: float | None = None
    ended_s: float | None = None
    outcome: str = ""


@attrs.define(kw_only=True)
class RequestTrace:
    """One request with its attempts.

    :param request_id: identifier of the request.
    :param arrived_at: date and time of arrival in UTC.
    :param arrived_s: time of arrival on the monotonic clock, in seconds.
    :param organisation: organisation name.
    :param request_class: class name.
    :param pool: pool that serves the request.
    :param model: model name; empty for a service.
    :param deadline_s: seconds from arrival to the deadline.
    :param prompt_tokens: length of the prompt in tokens.
    :param cached_tokens: prompt tokens found in the engine's prefix cache.
    :param output_tokens: output tokens sent to the caller.
    :param attempts: attempts in order; only the newest are kept.
    :param outcome: name of the result code; empty while the request runs.
    :param ran: whether the request ran.
    :param message: reason for a refusal.
    :param weighed: endpoints considered when the request was refused, best first.
    :param total_s: seconds from arrival to the end; None while the request runs.
    """

    request_id: str
    arrived_at: str
    arrived_s: float
    organisation: str
    request_class: str
    pool: str
    model: str = ""
    deadline_s: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    attempts: list[AttemptTrace] = attrs.field(factory=list)
    outcome: str = ""
    ran: str = ""
    message: str = ""
    weighed: Sequence[Candidate] = ()
    total_s: float | None = None

    def add_attempt(self, attempt: AttemptTrace) -> None:
        """Add an attempt.

        :param attempt: the attempt; only its best candidates are kept.
        """
        attempt.candidates = attempt.candidates[:MAX_CANDIDATES]
        self.attempts.append(attempt)
        del self.attempts[:-MAX_ATTEMPTS]


class TraceStore:
    """Bounded store of the traces of recent requests.

    >>> store = TraceStore(max_traces=1)
    >>> first = RequestTrace(
    ...     request_id="a", arrived_at="", arrived_s=0.0,
    ...     organisation="o", request_class="c", pool="p",
    ... )
    >>> store.add(first)
    >>> store.add(attrs.evolve(first, request_id="b"))
    >>> store.get("a") is None, store.get("b").request_id
    (True, 'b')

    :param max_traces: maximum number of traces; the oldest is removed first.
    """

    def __init__(self, max_traces: int = MAX_TRACES) -> None:
        self.max_traces = max_traces
        self.traces: OrderedDict[str, RequestTrace] = OrderedDict()

    def add(self, trace: RequestTrace) -> None:
        """Add the trace of a request that has arrived.

        :param trace: the trace; the caller may update it later.
        """
        self.traces[trace.request_id] = trace
        if len(self.traces) > self.max_traces:
            self.traces.popitem(last=False)

    def get(self, request_id: str) -> RequestTrace | None:
        """Return the trace of a request, or None if it is not stored.

        :param request_id: identifier of the request.
        """
        return self.traces.get(request_id)

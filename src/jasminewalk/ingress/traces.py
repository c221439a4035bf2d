"""What an entry remembers of recent requests, to explain them to operators."""

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

    :param attempt: number of the attempt from 1.
    :param endpoint: endpoint it was sent to.
    :param reason: why this endpoint was chosen.
    :param candidates: endpoints weighed, best first.
    :param resume_from: output tokens that the caller already had.
    :param sent_s: seconds from the request's arrival until it was sent.
    :param first_token_s: seconds from arrival to the attempt's first new token.
    :param ended_s: seconds from arrival to the attempt's end.
    :param outcome: how the attempt ended.
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
    """One request with all its attempts.

    :param request_id: identifier of the request.
    :param arrived_at: date and time of arrival in UTC.
    :param arrived_s: instant of arrival.
    :param organisation: organisation name.
    :param request_class: class name.
    :param pool: pool that serves the request.
    :param model: model name; empty for a service.
    :param deadline_s: seconds from arrival to the deadline.
    :param prompt_tokens: prompt length in tokens.
    :param cached_tokens: prompt tokens that the engine had in its prefix cache.
    :param output_tokens: output tokens passed on.
    :param attempts: attempts in order; only the newest are kept.
    :param outcome: name of the result code; empty while the request runs.
    :param ran: whether the request ran.
    :param message: why there was no whole answer.
    :param weighed: endpoints weighed when the request was refused, best first.
    :param total_s: seconds from arrival to the end.
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

        :param attempt: the attempt, with all its candidates.
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

    :param max_traces: most traces kept; the oldest goes first.
    """

    def __init__(self, max_traces: int = MAX_TRACES) -> None:
        self.max_traces = max_traces
        self.traces: OrderedDict[str, RequestTrace] = OrderedDict()

    def add(self, trace: RequestTrace) -> None:
        """Add the trace of a request that has arrived.

        :param trace: the trace; it may change later.
        """
        self.traces[trace.request_id] = trace
        if len(self.traces) > self.max_traces:
            self.traces.popitem(last=False)

    def get(self, request_id: str) -> RequestTrace | None:
        """Return the trace of a request, or nothing if it is not kept.

        :param request_id: identifier of the request.
        """
        return self.traces.get(request_id)

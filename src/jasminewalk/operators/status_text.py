"""Formatting of the fleet's status and of request traces as plain text."""

from collections.abc import Sequence

from jasminewalk.ingress.traces import AttemptTrace, RequestTrace
from jasminewalk.operators.status import EndpointRow, EntryRow, FleetStatus
from jasminewalk.operators.text_tables import format_count, format_seconds, format_table
from jasminewalk.types import Candidate

__all__ = ["format_status", "format_trace"]


def format_status(status: FleetStatus) -> list[str]:
    """Return the lines that describe the state of the fleet.

    :param status: the state of the fleet.
    """
    log = "no response" if status.log_revision is None else str(status.log_revision)
    lines = [
        f"Revision in force everywhere: {status.revision} (log: {log})",
        "",
        *format_table(
            ENTRY_HEADINGS, [format_entry_cells(row) for row in status.entries]
        ),
        "",
        *format_table(
            ENDPOINT_HEADINGS, [format_endpoint_cells(row) for row in status.endpoints]
        ),
    ]
    if status.changes:
        lines += ["", "Recent changes, newest first:"]
    for change in status.changes:
        author = f" by {change.author}" if change.author else ""
        reason = f": {change.reason}" if change.reason else ""
        lines.append(
            f"  {change.revision}  {change.subject} {change.change}{author}{reason}"
        )
    lines += ["", "Problems:" if status.problems else "No problems found."]
    lines += [f"  {problem}" for problem in status.problems]
    return lines


ENTRY_HEADINGS = ("ENTRY", "FAILURE DOMAIN", "ADDRESS", "STATE", "REVISION", "LOG")
ENDPOINT_HEADINGS = (
    "ENDPOINT",
    "POOL",
    "FAILURE DOMAIN",
    "STATE",
    "ROLE",
    "USED BY",
    "QUEUED",
    "RUNNING",
    "WAITING TOKENS",
    "KV CACHE",
    "PREFILL/S",
    "DECODE/S",
    "DONE",
    "REVISION",
    "LAST REPORT",
)


def format_entry_cells(row: EntryRow) -> list[str]:
    """Return the cells of an entry's table row.

    :param row: the entry.
    """
    state = row.state if row.ready or row.state == "silent" else "starting"
    return [
        row.name,
        row.failure_domain,
        row.address,
        state,
        str(row.revision),
        "reachable" if row.log_reachable else "-",
    ]


def format_endpoint_cells(row: EndpointRow) -> list[str]:
    """Return the cells of an endpoint's table row.

    :param row: the endpoint.
    """
    is_engine = row.kind == "engine"
    return [
        row.name,
        row.pool,
        row.failure_domain,
        row.state,
        row.role or "-",
        str(row.usable_by),
        str(row.queued),
        str(row.running),
        format_count(row.queued_prefill_tokens) if is_engine else "-",
        f"{row.kv_used:.0%}" if is_engine else "-",
        format_count(row.prefill_tokens_per_s) if is_engine else "-",
        format_count(row.decode_tokens_per_s) if is_engine else "-",
        str(row.completed),
        "-" if row.revision is None else str(row.revision),
        "never" if row.silent_s is None else f"{format_seconds(row.silent_s)} ago",
    ]


def format_trace(entry: str, trace: RequestTrace) -> list[str]:
    """Return the lines that describe a request and its attempts.

    :param entry: name of the entry that received the request.
    :param trace: trace of the request.
    """
    lines = [
        f"Request {trace.request_id} on entry {entry}",
        f"  arrived       {trace.arrived_at}",
        f"  organisation  {trace.organisation}",
        f"  class         {trace.request_class} in pool {trace.pool}"
        + (f", model {trace.model}" if trace.model else ""),
        f"  deadline      {format_seconds(trace.deadline_s)} after arrival",
    ]
    if trace.model:
        lines.append(
            f"  tokens        {trace.prompt_tokens} in the prompt "
            f"({trace.cached_tokens} cached), {trace.output_tokens} sent to the caller"
        )
    lines.append(f"  outcome       {format_outcome(trace)}")
    for attempt in trace.attempts:
        lines += ["", *format_attempt(attempt)]
    if trace.weighed:
        lines += ["", "  When it was refused", *format_candidates(trace.weighed)]
    return lines


def format_outcome(trace: RequestTrace) -> str:
    """Return a text that says how a request ended.

    :param trace: trace of the request.
    """
    if not trace.outcome:
        return "still running"
    message = f": {trace.message}" if trace.message else ""
    return (
        f"{trace.outcome}, {trace.ran} after {format_seconds(trace.total_s)}{message}"
    )


def format_attempt(attempt: AttemptTrace) -> list[str]:
    """Return the lines that describe an attempt.

    :param attempt: the attempt.
    """
    lines = [
        f"  Attempt {attempt.attempt} to {attempt.endpoint}",
        f"    why          {attempt.reason}",
        f"    sent         {format_seconds(attempt.sent_s)} after arrival",
        f"    first token  {format_seconds(attempt.first_token_s)}",
        f"    ended        {format_seconds(attempt.ended_s)}",
        f"    outcome      {attempt.outcome or 'still running'}",
    ]
    if attempt.resume_from:
        lines.append(f"    resumed      after {attempt.resume_from} tokens")
    return lines + format_candidates(attempt.candidates)


def format_candidates(candidates: Sequence[Candidate]) -> list[str]:
    """Return the table of the endpoints considered; empty if there are none.

    :param candidates: endpoints considered, best first.
    """
    if not candidates:
        return []
    rows = [
        [
            candidate.endpoint,
            format_seconds(candidate.first_token_s),
            format_seconds(candidate.finish_s),
            str(candidate.cached_tokens),
            format_seconds(candidate.report_age_s),
            candidate.note or "-",
        ]
        for candidate in candidates
    ]
    headings = ("WEIGHED", "FIRST TOKEN", "WHOLE", "CACHED", "REPORT AGE", "NOTE")
    return [f"    {line}" for line in format_table(headings, rows)]

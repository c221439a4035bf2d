"""Trace of a request, an engine or a time range, from the logs of gateways."""

from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from typing import Any

import attrs
import msgspec

from jasminewalk.decoding import DECODE_ERRORS

__all__ = ["LogLine", "LineFilter", "parse_lines", "select_lines", "format_lines"]

# State changes this long before and after a request are part of its trace.
CONTEXT_MARGIN = timedelta(seconds=2)
# Events that hold while the engine runs, events that hold for a time that their line
# names, and events after which the engine's earlier ones no longer hold.
LEAVING_EVENT = "engine_leaving"
TIMED_EVENTS = ("engine_backoff", "engine_held")
INCARNATION_EVENTS = ("engine_listed", "engine_gone")
# Event of the shares of a service's versions, which hold until the next ones, and event
# of a request that depends on them.
SHARES_EVENT = "version_shares"
SHARES_USE_EVENT = "stream_sought"
SEPARATE_KEYS = ("time", "severity", "event", "node")


@attrs.frozen
class LogLine:
    """One line of a gateway's log.

    :param time: time of writing, by the clock of the instance.
    :param node: name of the gateway instance.
    :param event: name of the event.
    :param fields: inputs and outcome.
    """

    time: datetime
    node: str
    event: str
    fields: dict[str, Any]


@attrs.frozen
class LineFilter:
    """Criteria for the lines of a trace.

    :param request: id of a request; empty for any.
    :param engine: id of an engine; empty for any.
    :param since: start of the time range, if bounded.
    :param until: end of the time range, if bounded.
    """

    request: str = ""
    engine: str = ""
    since: datetime | None = None
    until: datetime | None = None


def parse_lines(text: Iterable[str]) -> Iterator[LogLine]:
    """Parse log lines, and leave out those that no gateway wrote.

    :param text: lines, possibly with a prefix that a log collector added.
    """
    for line in text:
        start = line.find("{")
        if start < 0:
            continue
        try:
            document = msgspec.json.decode(line[start:].encode())
            yield LogLine(
                datetime.fromisoformat(document["time"]),
                str(document["node"]),
                str(document["event"]),
                {
                    key: value
                    for key, value in document.items()
                    if key not in SEPARATE_KEYS
                },
            )
        except (*DECODE_ERRORS, KeyError, TypeError):
            continue


def select_lines(lines: Iterable[LogLine], line_filter: LineFilter) -> list[LogLine]:
    """Return the lines of a trace in the order of time.

    The trace of a request includes the state changes that its gateway logged shortly
    before and after it for the engines involved, and earlier ones that still held.

    :param lines: lines of any number of gateways.
    :param line_filter: criteria for the lines.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    if line_filter.request:
        ordered = _select_around_request(ordered, line_filter.request)
    return [line for line in ordered if _matches(line, line_filter)]


def format_lines(lines: Iterable[LogLine]) -> Iterator[str]:
    """Format lines for reading, with the milliseconds since the first one.

    :param lines: lines in the order of time.
    """
    start = None
    for line in lines:
        start = start or line.time
        elapsed_ms = (line.time - start) / timedelta(milliseconds=1)
        fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
        yield f"{elapsed_ms:9.1f} ms  {line.node}  {line.event}  {fields}"


def _select_around_request(lines: list[LogLine], request: str) -> list[LogLine]:
    request_lines = [line for line in lines if line.fields.get("request") == request]
    if not request_lines:
        return []
    nodes = {line.node for line in request_lines}
    engines = {line.fields.get("engine") for line in request_lines} - {None}
    seeks_version = any(line.event == SHARES_USE_EVENT for line in request_lines)
    first, last = (
        request_lines[0].time - CONTEXT_MARGIN,
        request_lines[-1].time + CONTEXT_MARGIN,
    )
    earlier = _list_lasting_lines(lines, first)
    lasting = [
        line
        for line in earlier
        if line.node in nodes
        and (
            seeks_version
            if line.event == SHARES_EVENT
            else not engines or line.fields.get("engine") in engines
        )
    ]
    return lasting + [
        line
        for line in lines
        if line.fields.get("request") == request
        or (
            "request" not in line.fields
            and line.node in nodes
            and first <= line.time <= last
            and line.fields.get("engine") in engines | {None}
        )
    ]


def _list_lasting_lines(lines: Iterable[LogLine], time: datetime) -> list[LogLine]:
    """Return the earlier lines of state changes that hold at a time."""
    lasting: dict[tuple[str, Any, str], LogLine] = {}
    for line in lines:
        if line.time >= time:
            break
        engine = line.fields.get("engine")
        if line.event == SHARES_EVENT:
            lasting[line.node, line.fields.get("service"), line.event] = line
        elif line.event == LEAVING_EVENT or _lasts_until(line, time):
            lasting[line.node, engine, line.event] = line
        elif line.event in INCARNATION_EVENTS:
            for event in (LEAVING_EVENT, *TIMED_EVENTS):
                lasting.pop((line.node, engine, event), None)
    return sorted(lasting.values(), key=lambda line: line.time)


def _lasts_until(line: LogLine, time: datetime) -> bool:
    left_s = line.fields.get("left_s")
    if line.event not in TIMED_EVENTS or not isinstance(left_s, int | float):
        return False
    return (time - line.time).total_seconds() <= left_s


def _matches(line: LogLine, line_filter: LineFilter) -> bool:
    if line_filter.engine and line.fields.get("engine") != line_filter.engine:
        return False
    if line_filter.since is not None and line.time < line_filter.since:
        return False
    return line_filter.until is None or line.time <= line_filter.until

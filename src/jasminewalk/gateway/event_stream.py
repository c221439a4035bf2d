"""Splitting of a byte stream into complete server-sent events."""

import re

import attrs

__all__ = ["EventSplitter", "InvalidStreamError", "OutOfOrderError"]

# A stream with a longer event, or a longer id of an event, is not read on.
MAX_EVENT_BYTES = 64 * 1024
MAX_EVENT_ID_BYTES = 128
# Events without an id, such as comments, of one stream. An engine may also repeat each
# event that the caller has.
MAX_EVENTS_WITHOUT_ID = 1000
# Bytes at the end of an incomplete event that may be a part of its end.
MAX_PARTIAL_END_BYTES = 3

EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
EVENT_END = re.compile(rb"\r?\n\r?\n")


class InvalidStreamError(Exception):
    """An event is too long, has no place in its stream, or is one too many."""


class OutOfOrderError(InvalidStreamError):
    """An event is missing before the event that was received."""


@attrs.define
class EventSplitter:
    r"""Splits a stream into complete events, each returned once and in order.

    >>> splitter = EventSplitter(last_id=b"1")
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3")
    [b'id: 2\ndata: b\n\n']

    :param last_id: id of the last event that the caller has; empty if it has none.
    :param buffer: bytes of an event that is not complete yet.
    :param max_id: highest number that may be an event's id; None is unlimited.
    :param surplus: number of events without an id or that the caller already has.
    :param searched: position in the buffer before which no event ends.
    :param has_unnumbered: whether an event other than a comment had no id, so that
        nothing tells where another engine would go on.
    """

    last_id: bytes = b""
    buffer: bytes = b""
    max_id: int | None = None
    surplus: int = 0
    searched: int = 0
    has_unnumbered: bool = False

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that the next bytes of the stream complete.

        Events that the caller already has are dropped. The events before an invalid one
        are returned first, and the next call raises the error.

        :param data: next bytes of the stream.
        :raises OutOfOrderError: if an event is missing.
        :raises InvalidStreamError: if an event or its id is too long, the id too high
            or no number after one, or if an event has none after one that has, or too
            many have none.
        """
        self.buffer += data
        events: list[bytes] = []
        start = 0
        for boundary in EVENT_END.finditer(self.buffer, self.searched):
            event = self.buffer[start : boundary.end()]
            try:
                accepted = self._accept(event)
            except InvalidStreamError:
                if not events:
                    raise
                self.buffer, self.searched = self.buffer[start:], 0
                return events
            start = boundary.end()
            if accepted:
                events.append(event)
        self.buffer = self.buffer[start:]
        self.searched = max(0, len(self.buffer) - MAX_PARTIAL_END_BYTES)
        if len(self.buffer) > MAX_EVENT_BYTES and not events:
            raise InvalidStreamError(f"event of more than {MAX_EVENT_BYTES} bytes")
        return events

    @property
    def at_event_boundary(self) -> bool:
        """Whether the stream so far ends with a complete event."""
        return not self.buffer.strip()

    def discard_partial(self) -> None:
        """Discard an incomplete event before the stream is resumed elsewhere."""
        self.buffer, self.searched, self.surplus = b"", 0, 0

    def _accept(self, event: bytes) -> bool:
        match = EVENT_ID.search(event)
        if match is None:
            self._check_unnumbered(event)
            self._count_surplus()
            return True
        event_id = match.group(1).strip()
        if len(event_id) > MAX_EVENT_ID_BYTES:
            raise InvalidStreamError(f"event id of {len(event_id)} bytes")
        numbered = event_id.isdigit()
        if numbered and self.max_id is not None and int(event_id) > self.max_id:
            raise InvalidStreamError(f"event {event_id!r} after {self.max_id}")
        if self.last_id.isdigit():
            if not numbered:
                raise InvalidStreamError(f"event {event_id!r} after {self.last_id!r}")
            step = int(event_id) - int(self.last_id)
            if step <= 0:
                self._count_surplus()
                return False
            if step > 1:
                raise OutOfOrderError(f"event {event_id!r} after {self.last_id!r}")
        self.last_id = event_id
        return True

    def _check_unnumbered(self, event: bytes) -> None:
        if all(not line or line.startswith(b":") for line in event.splitlines()):
            return
        # It may be an error of the engine, or the head of a response.
        if self.last_id:
            raise InvalidStreamError(f"event without an id after {self.last_id!r}")
        self.has_unnumbered = True

    def _count_surplus(self) -> None:
        self.surplus += 1
        repeated = int(self.last_id) if self.last_id.isdigit() else 0
        if self.surplus > MAX_EVENTS_WITHOUT_ID + repeated:
            raise InvalidStreamError(f"{self.surplus} events without a new id")

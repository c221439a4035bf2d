"""Splitting of a byte stream into complete server-sent events."""

import re

import attrs

__all__ = ["EventSplitter", "OutOfOrderError"]

EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
EVENT_END = re.compile(rb"\r?\n\r?\n")


class OutOfOrderError(Exception):
    """An event is missing before the event that was received."""


@attrs.define
class EventSplitter:
    r"""Splits a stream into complete events, each returned once and in order.

    >>> splitter = EventSplitter(last_id=b"1")
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3")
    [b'id: 2\ndata: b\n\n']

    :param last_id: id of the last event that the caller has; empty if it has none.
    :param buffer: bytes of an event that is not complete yet.
    """

    last_id: bytes = b""
    buffer: bytes = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that the next bytes of the stream complete.

        Events that the caller already has are dropped. If an event is missing, those
        before it are returned first and the next call raises the error.

        :param data: next bytes of the stream.
        :raises OutOfOrderError: if an event is missing.
        """
        self.buffer += data
        events: list[bytes] = []
        start = 0
        for boundary in EVENT_END.finditer(self.buffer):
            event = self.buffer[start : boundary.end()]
            try:
                accepted = self._accept(event)
            except OutOfOrderError:
                if not events:
                    raise
                break
            start = boundary.end()
            if accepted:
                events.append(event)
        self.buffer = self.buffer[start:]
        return events

    @property
    def at_event_boundary(self) -> bool:
        """Whether the stream so far ends with a complete event."""
        return not self.buffer.strip()

    def discard_partial(self) -> None:
        """Discard an incomplete event before the stream is resumed elsewhere."""
        self.buffer = b""

    def _accept(self, event: bytes) -> bool:
        match = EVENT_ID.search(event)
        if match is None:
            return True
        event_id = match.group(1).strip()
        if event_id.isdigit() and self.last_id.isdigit():
            step = int(event_id) - int(self.last_id)
            if step <= 0:
                return False
            if step > 1:
                raise OutOfOrderError(f"event {event_id!r} after {self.last_id!r}")
        self.last_id = event_id
        return True

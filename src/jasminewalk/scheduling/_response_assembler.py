"""Assembly of a response from the streams of its attempts."""

import math

import msgspec

from jasminewalk.decoding import DECODE_ERRORS
from jasminewalk.generated_codes import Code
from jasminewalk.generated_requests import Frame

__all__ = ["ResponseAssembler"]

MAX_LINE_BYTES = 1 << 16
MALFORMED_FRAME = Frame(code=Code.ENDPOINT_FAILED, ran="unknown")

_decode_frame = msgspec.json.Decoder(Frame).decode
_decode_frames = msgspec.json.Decoder(Frame).decode_lines


class ResponseAssembler:
    r"""Assembles the response to one request from the frames of its attempts.

    Only the next expected token of the current attempt is passed on. Frames of earlier
    attempts and duplicate tokens are dropped. A token beyond the maximum ends the
    response.

    :param max_tokens: maximum number of tokens.

    >>> assembler = ResponseAssembler()
    >>> assembler.start_attempt(1)
    >>> assembler.feed_lines(1, b'{"n":0,"t":"a"}\n{"n":0,"t":"a"}\n{"n":1')
    ['a']
    >>> assembler.feed_lines(1, b',"t":"b","end":"stop"}\n')
    ['b']
    >>> assembler.finish_reason, assembler.next_token, assembler.text
    ('stop', 2, 'ab')
    """

    def __init__(self, max_tokens: float = math.inf) -> None:
        self.max_tokens = max_tokens
        self.attempt = 0
        self.next_token = 0
        self.texts: list[str] = []
        self.partial_line = b""
        self.finish_reason = ""
        self.error_frame: Frame | None = None
        self.cached_tokens = 0

    @property
    def text(self) -> str:
        """Text of all tokens that were passed on so far."""
        return "".join(self.texts)

    def start_attempt(self, attempt: int) -> None:
        """Make an attempt the current one and discard buffered data.

        :param attempt: number of the attempt.
        """
        self.attempt = attempt
        self.partial_line = b""
        self.error_frame = None

    def feed_lines(self, attempt: int, data: bytes) -> list[str]:
        """Process a chunk of a stream and return the texts of its new tokens.

        :param attempt: number of the attempt that the chunk belongs to.
        :param data: newline-delimited JSON frames; a chunk may end anywhere in a line.
        """
        if attempt != self.attempt or self.finish_reason or self.error_frame:
            return []
        if self.partial_line:
            data = self.partial_line + data
            self.partial_line = b""
        if not data.endswith(b"\n"):
            data, _, self.partial_line = data.rpartition(b"\n")
            if len(self.partial_line) > MAX_LINE_BYTES:
                self.error_frame = MALFORMED_FRAME
        try:
            frames = _decode_frames(data)
        except DECODE_ERRORS:
            frames = self.decode_until_malformed(data)
        return self.process_frames(frames)

    def decode_until_malformed(self, lines: bytes) -> list[Frame]:
        """Return the frames before the first malformed line and then an error frame.

        :param lines: newline-delimited JSON frames.
        """
        frames: list[Frame] = []
        for line in lines.split(b"\n"):
            try:
                frames.append(_decode_frame(line))
            except DECODE_ERRORS:
                break
        frames.append(MALFORMED_FRAME)
        return frames

    def process_frames(self, frames: list[Frame]) -> list[str]:
        """Process frames and return the texts of their new tokens.

        If a token is missing, the attempt counts as failed, so that a new attempt
        requests it again.

        :param frames: frames of the current attempt.
        """
        texts: list[str] = []
        for frame in frames:
            index = frame.n
            if frame.code or index > self.next_token:
                self.error_frame = frame if frame.code else MALFORMED_FRAME
                break
            if index == self.next_token:
                if index >= self.max_tokens:
                    self.finish_reason = "length"
                    break
                self.next_token += 1
                texts.append(frame.t)
            if frame.cached:
                self.cached_tokens = frame.cached
            if frame.end:
                self.finish_reason = frame.end
                break
        self.texts.extend(texts)
        return texts

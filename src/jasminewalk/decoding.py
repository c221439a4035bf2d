"""Decode bytes of other writers, of which any may be malformed."""

from typing import Annotated, TypeVar

import msgspec

from jasminewalk.exceptions import BadMessageError

__all__ = [
    "DECODE_ERRORS",
    "MAX_NUMBER",
    "Count",
    "Number",
    "decode_json",
    "decode_msgpack",
]

# Errors that malformed bytes cause. The decoders raise RecursionError for deeply nested
# documents.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
# Whole numbers that a float holds exactly, so that no calculation overflows.
MAX_NUMBER = 2**53
Number = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
# Characters of an error's text, which may quote what was decoded.
MAX_ERROR_CHARACTERS = 200

Decoded = TypeVar("Decoded")


def decode_json(text: bytes, kind: type[Decoded], subject: str) -> Decoded:
    """Decode a JSON document.

    :param text: the document.
    :param kind: type of the document.
    :param subject: what the document is, for the error.
    :raises BadMessageError: if the document is malformed or not of the type.
    """
    try:
        return msgspec.json.decode(text, type=kind)
    except DECODE_ERRORS as error:
        raise _build_error(subject, error) from error


def decode_msgpack(
    data: bytes, decoder: msgspec.msgpack.Decoder[Decoded], subject: str
) -> Decoded:
    """Decode a msgpack document.

    :param data: the document.
    :param decoder: decoder of its type.
    :param subject: what the document is, for the error.
    :raises BadMessageError: if the document is malformed or not of the type.
    """
    try:
        return decoder.decode(data)
    except DECODE_ERRORS as error:
        raise _build_error(subject, error) from error


def _build_error(subject: str, error: Exception) -> BadMessageError:
    return BadMessageError(f"{subject}: {error}"[:MAX_ERROR_CHARACTERS])

"""Records of the metadata store, and the responses that hold them."""

import base64
import json
import struct
from collections.abc import Iterable
from typing import TypeVar

import attrs
import msgspec

from jasminewalk.decoding import DECODE_ERRORS, Count, decode_json
from jasminewalk.exceptions import BadMessageError, LogUnavailableError

__all__ = [
    "ContentsPage",
    "FirstOffset",
    "KeyedRecord",
    "Membership",
    "RecordsPage",
    "decode_newest_page",
    "decode_newest_record",
    "decode_page",
    "decode_response",
    "encode_record",
    "encode_records",
    "split_page",
]

# A record is the length of its content, then one byte with the length of the key, the
# key and the value. An empty value deletes the key.
RECORD_LENGTH = struct.Struct(">I")
# Offsets of the topic's end and of its first record; the latter is not needed here.
PAGE_HEADER = struct.Struct(">QQ")
# Limits of one page of records; the records after these are read with the next page.
MAX_PAGE_RECORDS = 20_000
MAX_UNREADABLE_MESSAGES = 100

Response = TypeVar("Response")


@attrs.frozen
class KeyedRecord:
    """One record of a keyed topic.

    :param key: key of the record.
    :param value: value of the record; None if the key was deleted.
    """

    key: str
    value: bytes | None


@attrs.frozen
class RecordsPage:
    """Records read from a keyed topic.

    :param records: records in the order of the topic.
    :param next_offset: offset from which to continue reading.
    :param unreadable: error messages about records that could not be decoded and were
        skipped; not more than ``MAX_UNREADABLE_MESSAGES``.
    :param size: bytes of the store's responses.
    :param end: offset of the topic's end; records from ``next_offset`` up to it were
        not read, because the size of a page is limited. By default there are none.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    unreadable: tuple[str, ...] = ()
    size: int = 0
    end: int = attrs.field(
        default=attrs.Factory(lambda page: page.next_offset, takes_self=True)
    )


@attrs.frozen
class ContentsPage:
    """Records read from a topic without keys.

    :param contents: contents of the records in the order of the topic.
    :param next_offset: offset from which to continue reading.
    :param end: offset of the topic's end.
    """

    contents: tuple[bytes, ...]
    next_offset: int
    end: int


class NewestItem(msgspec.Struct):
    """Newest record of one key, its value in base64."""

    key: str
    value: str | None = None


class NewestPage(msgspec.Struct):
    """Page of the newest records of all keys.

    :param items: the records.
    :param has_more: whether there are further pages.
    :param end: offset of the topic's end.
    """

    items: list[NewestItem]
    has_more: bool = False
    end: Count = 0


class FirstOffset(msgspec.Struct):
    """Offset of the first record that a topic has retained."""

    first: Count


class AssignedPartition(msgspec.Struct, array_like=True):
    """Partition that is assigned to a member of a group."""

    topic: str
    partition: Count


class Membership(msgspec.Struct):
    """Response to a member of a group.

    :param generation: number that increases with each change of the group.
    :param parts: partitions of the member.
    """

    generation: Count
    parts: list[AssignedPartition]


def decode_response(body: bytes, kind: type[Response]) -> Response:
    """Decode a JSON response.

    :param body: the response.
    :param kind: type of the response.
    :raises LogUnavailableError: if it is malformed or not of the type.
    """
    try:
        return decode_json(body, kind, "store response")
    except BadMessageError as error:
        raise LogUnavailableError(str(error)) from error


def decode_newest_page(body: bytes) -> NewestPage:
    """Decode a page of newest records.

    :param body: the response.
    :raises LogUnavailableError: if it is malformed.
    """
    try:
        return decode_response(body, NewestPage)
    except LogUnavailableError:
        # The key of another writer's record may be no text, which strict decoders
        # reject.
        try:
            document = json.loads(body.decode(errors="replace"))
            text = json.dumps(document, ensure_ascii=False).encode(errors="replace")
        except DECODE_ERRORS as error:
            raise LogUnavailableError(f"store response: {error}") from error
        return decode_response(text, NewestPage)


def decode_newest_record(item: NewestItem) -> KeyedRecord:
    """Decode the newest record of a key.

    :param item: the record in its page.
    :raises LogUnavailableError: if its value is malformed.
    """
    try:
        value = item.value and base64.b64decode(item.value, validate=True)
    except ValueError as error:
        raise LogUnavailableError(f"record {item.key[:60]!r}: {error}") from error
    return KeyedRecord(item.key, value or None)


def decode_page(topic: str, offset: int, body: bytes) -> RecordsPage:
    """Decode a page of records of a keyed topic, without those that can't be read.

    :param topic: the topic.
    :param offset: offset of the first record.
    :param body: the response.
    :raises LogUnavailableError: if the page is truncated.
    """
    end, contents = split_page(body)
    records: list[KeyedRecord] = []
    unreadable: list[str] = []
    for content in contents:
        try:
            records.append(_decode_record(topic, content))
        except BadMessageError as error:
            if len(unreadable) < MAX_UNREADABLE_MESSAGES:
                unreadable.append(str(error))
    next_offset = offset + len(contents)
    return RecordsPage(tuple(records), next_offset, tuple(unreadable), len(body), end)


def split_page(body: bytes) -> tuple[int, list[bytes]]:
    """Return the offset of the topic's end and the contents of the records.

    :param body: the response.
    :raises LogUnavailableError: if the page is truncated.
    """
    if len(body) < PAGE_HEADER.size:
        raise LogUnavailableError("store response is truncated")
    end, _ = PAGE_HEADER.unpack_from(body)
    contents: list[bytes] = []
    position = PAGE_HEADER.size
    while (
        position + RECORD_LENGTH.size <= len(body) and len(contents) < MAX_PAGE_RECORDS
    ):
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        content = body[position : position + length]
        if len(content) < length:
            raise LogUnavailableError("store response is truncated")
        position += length
        contents.append(content)
    return end, contents


def encode_record(key: str, value: bytes) -> bytes:
    """Encode the content of a record of a keyed topic.

    :param key: key, at most 255 bytes in UTF-8.
    :param value: value; empty to delete the key.
    """
    name = key.encode()
    return bytes([len(name)]) + name + value


def encode_records(contents: Iterable[bytes]) -> bytes:
    """Encode the body of an append.

    :param contents: contents of the records.
    """
    return b"".join(RECORD_LENGTH.pack(len(content)) + content for content in contents)


def _decode_record(topic: str, content: bytes) -> KeyedRecord:
    if not content or len(content) < 1 + content[0]:
        raise BadMessageError(f"record of {topic} has no complete key")
    size = content[0]
    key = content[1 : 1 + size].decode("utf-8", "replace")
    return KeyedRecord(key, content[1 + size :] or None)

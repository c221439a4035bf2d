"""Calls to the platform's metadata store."""

import base64
import binascii
import struct
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import urlencode

import attrs
import msgspec

from jasminewalk.exceptions import BadMessageError, LogUnavailableError

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TOPIC",
    "GATEWAYS_TOPIC",
    "REGISTRY_TOPIC",
    "KeyedRecord",
    "Membership",
    "RecordsGoneError",
    "RecordsPage",
    "StoreClient",
    "StoreTransport",
]

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
REGISTRY_TOPIC = "keyed.servers"
# Topic of our own: the address of each gateway under its instance's name.
GATEWAYS_TOPIC = "keyed.gateways"
ONLY_PARTITION = 0
OK = 200
GONE = 410
LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
# Seconds that a call may take beyond what it was asked to wait.
CALL_TIMEOUT_S = 0.8
MAX_PAGES = 40


class RecordsGoneError(Exception):
    """The records asked for were deleted; the newest of each key are still there."""


@attrs.frozen
class KeyedRecord:
    """One record of a keyed topic.

    :param key: its key.
    :param value: its value; None if the key was dropped.
    """

    key: str
    value: bytes | None


@attrs.frozen
class RecordsPage:
    """Records read from a keyed topic.

    :param records: the records in the order of the topic.
    :param next_offset: offset to go on reading from.
    :param unreadable: what was wrong with records that were passed over.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    unreadable: tuple[str, ...] = ()


@attrs.frozen
class Membership:
    """Answer to a member of a group.

    :param generation: number that grows with each change of the group.
    :param partitions: partitions of the group's topic that the member holds.
    """

    generation: int
    partitions: frozenset[int]


# Sends (method, target, body, timeout in seconds); returns (status, body).
StoreTransport = Callable[[bytes, str, bytes, float], Awaitable[tuple[int, bytes]]]


@attrs.define
class StoreClient:
    """Calls of the metadata store, each answered or failed with an error.

    :param transport: sends one call.
    :param calls: calls made so far.
    """

    transport: StoreTransport
    calls: int = 0

    async def read_newest(self, topic: str) -> RecordsPage:
        """Read the newest record of each key.

        :param topic: keyed topic.
        :raises LogUnavailableError: if the store does not answer well.
        """
        records: list[KeyedRecord] = []
        end, after = None, ""
        for _ in range(MAX_PAGES):
            query = {"topic": topic, "part": ONLY_PARTITION}
            if after:
                query["after"] = after
            document = self._document(
                await self._call(b"GET", "/-/log-newest", query, b"", CALL_TIMEOUT_S)
            )
            items = document.get("items")
            if not isinstance(items, list):
                raise LogUnavailableError("store answered without items")
            records.extend(_newest_record(item) for item in items)
            # Pages are no snapshot: reading goes on from the end of the first.
            end = int(document.get("end", 0)) if end is None else end
            if not document.get("has_more") or not items:
                break
            after = records[-1].key
        return RecordsPage(tuple(records), end or 0)

    async def read_from(
        self, topic: str, offset: int, wait_s: float = 0.0
    ) -> RecordsPage:
        """Read records from an offset on.

        :param topic: keyed topic.
        :param offset: first offset that was not read yet.
        :param wait_s: seconds to wait for a record if there is none.
        :raises LogUnavailableError: if the store does not answer well.
        :raises RecordsGoneError: if the records were deleted.
        """
        query = {"topic": topic, "part": ONLY_PARTITION, "from": offset}
        if wait_s > 0:
            query["wait_ms"] = int(wait_s * 1e3)
        status, body = await self._send(
            b"GET", "/-/log-read", query, b"", wait_s + CALL_TIMEOUT_S
        )
        if status == GONE:
            raise RecordsGoneError(topic)
        if status != OK:
            raise LogUnavailableError(f"store answered {status} to a read of {topic}")
        return _decode_page(topic, offset, body)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Write one record of a keyed topic.

        :param topic: keyed topic of our own.
        :param key: its key.
        :param value: its value.
        :raises LogUnavailableError: if it is not known to be written.
        """
        name = key.encode()
        content = bytes([len(name)]) + name + value
        body = LENGTH.pack(len(content)) + content
        query = {"topic": topic, "part": ONLY_PARTITION}
        await self._call(b"POST", "/-/log-append", query, body, CALL_TIMEOUT_S)

    async def join(
        self, group: str, member: str, topic: str, session_s: float, generation: int
    ) -> Membership:
        """Join a group or stay in it.

        :param group: name of the group.
        :param member: name of the member.
        :param topic: topic whose partitions the members share.
        :param session_s: seconds of silence after which the member is dropped.
        :param generation: last generation that the member received; 0 at first.
        :raises LogUnavailableError: if the store does not answer well.
        """
        body = msgspec.json.encode(
            {
                "group": group,
                "member": member,
                "topics": [topic],
                "ttl_ms": int(session_s * 1e3),
                "generation": generation,
            }
        )
        answer = await self._call(b"POST", "/-/log-join", {}, body, CALL_TIMEOUT_S)
        document = self._document(answer)
        try:
            parts = frozenset(int(row[1]) for row in document["parts"])
            return Membership(int(document["generation"]), parts)
        except (KeyError, TypeError, ValueError, IndexError) as error:
            raise LogUnavailableError(f"store's group answer: {error!r}") from error

    async def leave(self, group: str, member: str) -> None:
        """Leave a group.

        :param group: name of the group.
        :param member: name of the member.
        :raises LogUnavailableError: if the store does not answer well.
        """
        body = msgspec.json.encode({"group": group, "member": member})
        await self._call(b"POST", "/-/log-leave", {}, body, CALL_TIMEOUT_S)

    async def _call(
        self,
        method: bytes,
        path: str,
        query: dict[str, Any],
        body: bytes,
        timeout_s: float,
    ) -> bytes:
        status, answer = await self._send(method, path, query, body, timeout_s)
        if status != OK:
            raise LogUnavailableError(f"store answered {status} to {path}")
        return answer

    async def _send(
        self,
        method: bytes,
        path: str,
        query: dict[str, Any],
        body: bytes,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        self.calls += 1
        target = f"{path}?{urlencode(query)}" if query else path
        return await self.transport(method, target, body, timeout_s)

    def _document(self, body: bytes) -> dict[str, Any]:
        try:
            document = msgspec.json.decode(body)
        except msgspec.DecodeError as error:
            raise LogUnavailableError(f"store's answer: {error}") from error
        if not isinstance(document, dict):
            raise LogUnavailableError("store's answer is no object")
        return document


def _newest_record(item: Any) -> KeyedRecord:
    try:
        value = item.get("value")
        return KeyedRecord(
            key=str(item["key"]),
            value=None if value is None else base64.b64decode(value, validate=True),
        )
    except (AttributeError, KeyError, TypeError, binascii.Error) as error:
        raise LogUnavailableError(f"store's record: {error!r}") from error


def _decode_page(topic: str, offset: int, body: bytes) -> RecordsPage:
    if len(body) < OFFSETS.size:
        raise LogUnavailableError("store's answer is cut short")
    records: list[KeyedRecord] = []
    unreadable: list[str] = []
    position = OFFSETS.size
    while position + LENGTH.size <= len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        content = body[position : position + length]
        if len(content) < length:
            raise LogUnavailableError("store's answer is cut short")
        position += length
        offset += 1
        try:
            records.append(_keyed_record(topic, content))
        except BadMessageError as error:
            unreadable.append(str(error))
    return RecordsPage(tuple(records), offset, tuple(unreadable))


def _keyed_record(topic: str, content: bytes) -> KeyedRecord:
    if not content or len(content) < 1 + content[0]:
        raise BadMessageError(f"record of {topic} without a key")
    size = content[0]
    key = content[1 : 1 + size].decode("utf-8", "replace")
    return KeyedRecord(key, content[1 + size :] or None)

"""Client of the platform's metadata store."""

from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import urlencode

import attrs
import msgspec

from jasminewalk.exceptions import LogUnavailableError
from jasminewalk.platform._store_records import (
    MAX_PAGE_RECORDS,
    MAX_UNREADABLE_MESSAGES,
    ContentsPage,
    FirstOffset,
    KeyedRecord,
    Membership,
    RecordsPage,
    decode_newest_page,
    decode_newest_record,
    decode_page,
    decode_response,
    encode_record,
    encode_records,
    split_page,
)

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TOPIC",
    "ConflictError",
    "GATEWAYS_TOPIC",
    "MAX_PAGE_RECORDS",
    "MAX_UNREADABLE_MESSAGES",
    "QUARANTINE_TOPIC",
    "REGISTRY_TOPIC",
    "KeyedRecord",
    "GroupMembership",
    "RecordsGoneError",
    "RecordsPage",
    "StoreClient",
    "StoreResponse",
    "StoreTransport",
    "STREAMS_TOPIC",
    "USAGE_TOPIC",
    "VERSIONS_TOPIC",
]

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
REGISTRY_TOPIC = "keyed.servers"
# Written by the gateways: the address of each, with its instance's name as the key.
GATEWAYS_TOPIC = "keyed.gateways"
# Written by the gateways: prompt parts that crash engines, with a hash of them as key.
QUARANTINE_TOPIC = "keyed.quarantine"
# Written by the gateways: the shares of the software versions of each service's engines
# among new streams, with the service's name as the key.
VERSIONS_TOPIC = "keyed.versions"
# Written by the gateways, without keys: streams and the versions that began them.
STREAMS_TOPIC = "streams"
# Written by the gateways, without keys: the usage of organisations that is reported.
USAGE_TOPIC = "usage"
# These topics have a single partition.
PARTITION = 0
OK = 200
GONE = 410
CONFLICT = 412
# Longest time of a call in seconds without data from the store, apart from the time
# that a read asks it to wait.
CALL_TIMEOUT_S = 0.8
# Limits of the newest records of all keys together.
MAX_NEWEST_PAGES = 40
MAX_NEWEST_BYTES = 32 * 1024 * 1024


class RecordsGoneError(Exception):
    """The requested records were deleted; the newest record of each key remains."""


class ConflictError(Exception):
    """A topic does not end where a conditional write expects its end."""


@attrs.frozen
class GroupMembership:
    """The store's response to a member of a group.

    :param generation: number that increases with each change of the group.
    :param partitions: partitions of the group's topic that are assigned to the member.
    """

    generation: int
    partitions: frozenset[int]


@attrs.frozen
class StoreResponse:
    """A response of the store.

    :param status: HTTP status.
    :param body: whole body.
    :param era: number that rises each time the store comes back from an older copy;
        None if the response names none.
    """

    status: int
    body: bytes
    era: int | None = None


# Sends (method, target, body, longest time in seconds without data).
StoreTransport = Callable[[bytes, str, bytes, float], Awaitable[StoreResponse]]


@attrs.define
class StoreClient:
    """Client of the metadata store.

    The store may come back from an older copy. What was read and written before is then
    unproved, and offsets are given out again. It begins a new era each time.

    :param transport: function that sends one call.
    :param calls: number of calls made so far.
    :param era: highest era that a response named; None before the first.
    :param on_new_era: called with the era before, or None, and the new one, before the
        response that names it is used.
    """

    transport: StoreTransport
    calls: int = 0
    era: int | None = None
    on_new_era: Callable[[int | None, int], None] = lambda previous, era: None

    async def read_newest(self, topic: str) -> RecordsPage:
        """Read the newest record of each key.

        :param topic: keyed topic.
        :raises LogUnavailableError: if the call fails or its response is invalid, or
            if the records never end.
        """
        records: list[KeyedRecord] = []
        after: str | None = None
        end, size, era = None, 0, self.era
        for _ in range(MAX_NEWEST_PAGES):
            query = {"topic": topic, "part": PARTITION}
            if after is not None:
                query["after"] = after
            body = await self._call(b"GET", "/-/log-newest", query, b"", CALL_TIMEOUT_S)
            if after is not None and self.era != era:
                raise LogUnavailableError("store's era changed between two pages")
            era = self.era
            size += len(body)
            if size > MAX_NEWEST_BYTES:
                raise LogUnavailableError(f"{size} bytes of newest records")
            page = decode_newest_page(body)
            records.extend(decode_newest_record(item) for item in page.items)
            # The pages are not one snapshot: a record written while they are read may
            # be in none of them, so the caller continues from the end of the first
            # page.
            end = page.end if end is None else end
            if not page.has_more or not page.items:
                break
            after = records[-1].key
        else:
            raise LogUnavailableError(f"{MAX_NEWEST_PAGES} pages of newest records")
        return RecordsPage(tuple(records), end or 0, size=size)

    async def read_from(
        self, topic: str, offset: int, wait_s: float = 0.0
    ) -> RecordsPage:
        """Read records starting at an offset.

        :param topic: keyed topic.
        :param offset: offset of the first record to read.
        :param wait_s: seconds for which the store waits for a record if there is none.
        :raises LogUnavailableError: if the call fails or its response is invalid.
        :raises RecordsGoneError: if records from the offset on were deleted, or if the
            offset is of an older era.
        """
        query = {"topic": topic, "part": PARTITION, "from": offset}
        if wait_s > 0:
            query["wait_ms"] = int(wait_s * 1e3)
        era = self.era
        response = await self._send(
            b"GET", "/-/log-read", query, b"", wait_s + CALL_TIMEOUT_S
        )
        if response.status == GONE or (era is not None and era != self.era):
            raise RecordsGoneError(topic)
        if response.status != OK:
            raise LogUnavailableError(
                f"store returned status {response.status} to a read of {topic}"
            )
        return decode_page(topic, offset, response.body)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Write one record of a keyed topic.

        :param topic: keyed topic that the system may write.
        :param key: key of the record, at most 255 bytes in UTF-8.
        :param value: value of the record.
        :raises LogUnavailableError: if the store does not confirm the write.
        """
        await self._append(topic, [encode_record(key, value)])

    async def put_at(self, topic: str, key: str, value: bytes, offset: int) -> None:
        """Write one record of a keyed topic if the topic ends at an offset.

        :param topic: keyed topic that the system may write.
        :param key: key of the record, at most 255 bytes in UTF-8.
        :param value: value of the record.
        :param offset: offset up to which the caller has read the topic.
        :raises LogUnavailableError: if the store does not confirm the write.
        :raises ConflictError: if the topic ends elsewhere; nothing was written.
        """
        await self._append(topic, [encode_record(key, value)], at=offset)

    async def append(self, topic: str, contents: list[bytes]) -> None:
        """Write records of a topic without keys, all or none.

        :param topic: topic that the system may write.
        :param contents: contents of the records.
        :raises LogUnavailableError: if the store does not confirm the write.
        """
        await self._append(topic, contents)

    async def _append(
        self, topic: str, contents: list[bytes], at: int | None = None
    ) -> None:
        body = encode_records(contents)
        query = {"topic": topic, "part": PARTITION}
        if at is not None:
            query["at"] = at
        path = "/-/log-append"
        response = await self._send(b"POST", path, query, body, CALL_TIMEOUT_S)
        if response.status == CONFLICT:
            raise ConflictError(topic)
        if response.status != OK:
            raise LogUnavailableError(
                f"store returned status {response.status} to {path}"
            )

    async def read_contents(self, topic: str, offset: int) -> ContentsPage:
        """Read records of a topic without keys, starting at an offset.

        If the records from there on were deleted, the first one retained follows.

        :param topic: topic without keys.
        :param offset: offset of the first record to read.
        :raises LogUnavailableError: if the call fails or its response is invalid.
        """
        query = {"topic": topic, "part": PARTITION, "from": offset}
        response = await self._send(b"GET", "/-/log-read", query, b"", CALL_TIMEOUT_S)
        if response.status == GONE:
            first = decode_response(response.body, FirstOffset).first
            if first == offset:
                raise LogUnavailableError(f"store has no first record of {topic}")
            return ContentsPage((), first, max(first, offset) + 1)
        if response.status != OK:
            raise LogUnavailableError(
                f"store returned status {response.status} to a read of {topic}"
            )
        end, contents = split_page(response.body)
        return ContentsPage(tuple(contents), offset + len(contents), end)

    async def join(
        self, group: str, member: str, topic: str, session_s: float, generation: int
    ) -> GroupMembership:
        """Join a group or renew the membership.

        :param group: name of the group.
        :param member: name of the member.
        :param topic: topic whose partitions are divided among the members.
        :param session_s: seconds without a renewal after which the member is removed.
        :param generation: last generation that the member received; 0 before the first.
        :raises LogUnavailableError: if the call fails or its response is invalid.
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
        response = await self._call(b"POST", "/-/log-join", {}, body, CALL_TIMEOUT_S)
        document = decode_response(response, Membership)
        partitions = frozenset(row.partition for row in document.parts)
        return GroupMembership(document.generation, partitions)

    async def leave(self, group: str, member: str) -> None:
        """Leave a group.

        :param group: name of the group.
        :param member: name of the member.
        :raises LogUnavailableError: if the call fails or its response is invalid.
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
        response = await self._send(method, path, query, body, timeout_s)
        if response.status != OK:
            raise LogUnavailableError(
                f"store returned status {response.status} to {path}"
            )
        return response.body

    async def _send(
        self,
        method: bytes,
        path: str,
        query: dict[str, Any],
        body: bytes,
        timeout_s: float,
    ) -> StoreResponse:
        self.calls += 1
        target = f"{path}?{urlencode(query)}" if query else path
        response = await self.transport(method, target, body, timeout_s)
        self._check_era(response)
        return response

    def _check_era(self, response: StoreResponse) -> None:
        era, known = response.era, self.era
        if era is None or era == known:
            return
        if known is not None and era < known:
            raise LogUnavailableError(f"store response of era {era} in era {known}")
        self.era = era
        self.on_new_era(known, era)

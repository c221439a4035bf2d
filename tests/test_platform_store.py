"""Test the client of the metadata store against scripted responses."""

import base64
import json
import struct

import pytest

from jasminewalk.exceptions import LogUnavailableError
from jasminewalk.platform.store import (
    MAX_NEWEST_PAGES,
    MAX_PAGE_RECORDS,
    MAX_UNREADABLE_MESSAGES,
    KeyedRecord,
    RecordsGoneError,
    StoreClient,
    StoreResponse,
)


def encode_page(*contents, end=9, first=0):
    body = struct.pack(">QQ", end, first)
    for content in contents:
        body += struct.pack(">I", len(content)) + content
    return body


@pytest.fixture
def store():
    class ScriptedStore(StoreClient):
        def __init__(self):
            super().__init__(self.call)
            self.responses = []
            self.requests = []

        async def call(self, method, target, body, timeout_s):
            self.requests.append((method, target, body))
            return StoreResponse(*self.responses.pop(0))

    return ScriptedStore()


@pytest.mark.anyio
async def test_read_returns_values_and_deleted_keys(store):
    store.responses = [(200, encode_page(b"\x03keyvalue", b"\x03key"))]
    page = await store.read_from("keyed.x", 4)
    assert page.records == (KeyedRecord("key", b"value"), KeyedRecord("key", None))
    assert page.next_offset == 6


@pytest.mark.anyio
@pytest.mark.parametrize("item", [{"key": "a"}, {"key": "a", "value": "x" * 4_000_000}])
async def test_newest_records_without_end_are_not_collected(store, item):
    class EndlessPages(list):
        def pop(self, index):
            return 200, json.dumps({"items": [item], "has_more": True}).encode()

    store.responses = EndlessPages()
    with pytest.raises(LogUnavailableError, match="newest records"):
        await store.read_newest("keyed.x")
    assert len(store.requests) <= MAX_NEWEST_PAGES


@pytest.mark.anyio
async def test_records_of_a_page_and_messages_about_them_are_limited(store):
    records = [b"\x01kv"] * MAX_PAGE_RECORDS
    store.responses = [(200, encode_page(*[b""] * 1000, *records))]
    page = await store.read_from("keyed.x", 5)
    assert page.next_offset == 5 + MAX_PAGE_RECORDS
    assert len(page.records) == MAX_PAGE_RECORDS - 1000
    assert len(page.unreadable) == MAX_UNREADABLE_MESSAGES


@pytest.mark.anyio
async def test_unreadable_records_are_skipped_and_reported(store):
    store.responses = [(200, encode_page(b"", b"\x09short", b"\x01kv"))]
    page = await store.read_from("keyed.x", 0)
    assert page.records == (KeyedRecord("k", b"v"),)
    assert page.next_offset == 3
    assert len(page.unreadable) == 2


@pytest.mark.anyio
@pytest.mark.parametrize(
    "response",
    [(200, b"short"), (200, encode_page(b"\x01kv")[:-1]), (503, b""), (429, b"")],
)
async def test_invalid_read_response_raises_log_unavailable(store, response):
    store.responses = [response]
    with pytest.raises(LogUnavailableError):
        await store.read_from("keyed.x", 0)


@pytest.mark.anyio
async def test_read_of_deleted_records_raises_records_gone(store):
    store.responses = [(410, b'{"first":7}')]
    with pytest.raises(RecordsGoneError):
        await store.read_from("keyed.x", 0)


@pytest.mark.anyio
async def test_newest_records_are_paged_and_offset_is_of_first_page(store):
    def encode_newest(keys, end, more):
        items = [
            {"key": key, "value": base64.b64encode(b"v").decode(), "offset": 1}
            for key in keys
        ]
        return 200, json.dumps({"items": items, "has_more": more, "end": end}).encode()

    store.responses = [
        encode_newest(["a", "b"], 10, True),
        encode_newest(["c"], 15, False),
    ]
    page = await store.read_newest("keyed.x")
    assert [record.key for record in page.records] == ["a", "b", "c"]
    assert page.next_offset == 10
    assert "after=b" in store.requests[1][1]


@pytest.mark.anyio
@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"{}", b'{"items":[7]}', b'{"items":[{"key":"a","value":"*"}]}'],
)
async def test_invalid_newest_response_raises_log_unavailable(store, body):
    store.responses = [(200, body)]
    with pytest.raises(LogUnavailableError):
        await store.read_newest("keyed.x")


@pytest.mark.anyio
async def test_put_encodes_length_key_and_value(store):
    store.responses = [(200, b"{}")]
    await store.put("keyed.gateways", "front", b"value")
    assert store.requests[0][2] == b"\x00\x00\x00\x0b\x05frontvalue"


@pytest.mark.anyio
async def test_join_returns_generation_and_partitions(store):
    store.responses = [(200, b'{"generation":7,"parts":[["t",3,840],["t",0,1]]}')]
    membership = await store.join("g", "m", "t", 3.0, 6)
    assert (membership.generation, membership.partitions) == (7, {0, 3})
    assert json.loads(store.requests[0][2])["ttl_ms"] == 3000


@pytest.mark.anyio
@pytest.mark.parametrize("body", [b"{}", b'{"generation":1,"parts":[[]]}', b"no"])
async def test_invalid_join_response_raises_log_unavailable(store, body):
    store.responses = [(200, body)]
    with pytest.raises(LogUnavailableError):
        await store.join("g", "m", "t", 3.0, 0)

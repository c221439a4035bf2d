"""Calls to the metadata store, against scripted answers."""

import base64
import json
import struct

import pytest

from jasminewalk.exceptions import LogUnavailableError
from jasminewalk.platform.store import KeyedRecord, RecordsGoneError, StoreClient


def page(*contents, end=9, first=0):
    body = struct.pack(">QQ", end, first)
    for content in contents:
        body += struct.pack(">I", len(content)) + content
    return body


@pytest.fixture
def store():
    class Scripted(StoreClient):
        def __init__(self):
            super().__init__(self.call)
            self.answers = []
            self.asked = []

        async def call(self, method, target, body, timeout_s):
            self.asked.append((method, target, body))
            return self.answers.pop(0)

    return Scripted()


@pytest.mark.anyio
async def test_changes_are_read_with_dropped_keys(store):
    store.answers = [(200, page(b"\x03keyvalue", b"\x03key"))]
    found = await store.read_from("keyed.x", 4)
    assert found.records == (KeyedRecord("key", b"value"), KeyedRecord("key", None))
    assert found.next_offset == 6


@pytest.mark.anyio
async def test_unreadable_records_are_passed_over(store):
    store.answers = [(200, page(b"", b"\x09short", b"\x01kv"))]
    found = await store.read_from("keyed.x", 0)
    assert found.records == (KeyedRecord("k", b"v"),)
    assert found.next_offset == 3
    assert len(found.unreadable) == 2


@pytest.mark.anyio
@pytest.mark.parametrize(
    "answer", [(200, b"short"), (200, page(b"\x01kv")[:-1]), (503, b""), (429, b"")]
)
async def test_bad_reads_are_an_outage(store, answer):
    store.answers = [answer]
    with pytest.raises(LogUnavailableError):
        await store.read_from("keyed.x", 0)


@pytest.mark.anyio
async def test_deleted_records_are_told_apart(store):
    store.answers = [(410, b'{"first":7}')]
    with pytest.raises(RecordsGoneError):
        await store.read_from("keyed.x", 0)


@pytest.mark.anyio
async def test_newest_records_come_in_pages_and_reading_goes_on_from_the_first(store):
    def answer(keys, end, more):
        items = [
            {"key": key, "value": base64.b64encode(b"v").decode(), "offset": 1}
            for key in keys
        ]
        return 200, json.dumps({"items": items, "has_more": more, "end": end}).encode()

    store.answers = [answer(["a", "b"], 10, True), answer(["c"], 15, False)]
    found = await store.read_newest("keyed.x")
    assert [record.key for record in found.records] == ["a", "b", "c"]
    assert found.next_offset == 10
    assert "after=b" in store.asked[1][1]


@pytest.mark.anyio
@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"{}", b'{"items":[7]}', b'{"items":[{"key":"a","value":"*"}]}'],
)
async def test_bad_newest_answers_are_an_outage(store, body):
    store.answers = [(200, body)]
    with pytest.raises(LogUnavailableError):
        await store.read_newest("keyed.x")


@pytest.mark.anyio
async def test_put_writes_length_key_and_value(store):
    store.answers = [(200, b"{}")]
    await store.put("keyed.gateways", "front", b"value")
    assert store.asked[0][2] == b"\x00\x00\x00\x0b\x05frontvalue"


@pytest.mark.anyio
async def test_join_tells_generation_and_partitions(store):
    store.answers = [(200, b'{"generation":7,"parts":[["t",3,840],["t",0,1]]}')]
    told = await store.join("g", "m", "t", 3.0, 6)
    assert (told.generation, told.partitions) == (7, {0, 3})
    assert json.loads(store.asked[0][2])["ttl_ms"] == 3000


@pytest.mark.anyio
@pytest.mark.parametrize("body", [b"{}", b'{"generation":1,"parts":[[]]}', b"no"])
async def test_bad_join_answers_are_an_outage(store, body):
    store.answers = [(200, body)]
    with pytest.raises(LogUnavailableError):
        await store.join("g", "m", "t", 3.0, 0)

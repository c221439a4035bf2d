import attrs
import msgspec
import pytest
from hypothesis import given, strategies as st

from jasminewalk.codec import (
    MessageCodec,
    PositionalCodec,
    decode_record,
    encode_record,
)
from jasminewalk.exceptions import BadMessageError, UnauthenticatedPeerError
from jasminewalk.generated_messages import TYPE_BY_NUMBER, EntryHello
from jasminewalk.generated_records import GrantOutcomeRecord

KEY = "0123456789abcdef"


def test_record_round_trip():
    record = GrantOutcomeRecord(
        record_id="r", endpoint="e", grant=3, outcome="done", role="mixed"
    )
    assert decode_record(encode_record(record)) == record


def test_wrong_key_is_refused():
    sealed = MessageCodec(KEY).seal("a", "b", 1, EntryHello(entry="a", incarnation="b"))
    with pytest.raises(UnauthenticatedPeerError):
        MessageCodec(KEY[::-1]).open(sealed)


@given(st.binary(max_size=200))
def test_garbage_is_a_numbered_error(data):
    with pytest.raises((BadMessageError, UnauthenticatedPeerError)):
        MessageCodec(KEY).open(data)


@given(st.binary(max_size=200))
def test_garbage_record_is_a_numbered_error(data):
    try:
        decode_record(data)
    except BadMessageError as error:
        assert error.code == 1502


def test_message_of_a_newer_peer_is_understood():
    hello = EntryHello(entry="e", incarnation="i", revision=7)
    fields = [getattr(hello, field.name) for field in attrs.fields(EntryHello)]
    newer = msgspec.msgpack.encode((4, [*fields, "added later"]))
    assert PositionalCodec(TYPE_BY_NUMBER).decode(newer) == hello


def test_message_of_an_older_peer_gets_defaults():
    older = msgspec.msgpack.encode((4, ["e", "i"]))
    decoded = PositionalCodec(TYPE_BY_NUMBER).decode(older)
    assert decoded == EntryHello(entry="e", incarnation="i")


def test_record_of_a_newer_peer_is_understood():
    record = GrantOutcomeRecord(
        record_id="r", endpoint="e", grant=3, outcome="done", role="mixed"
    )
    fields = {**attrs.asdict(record), "added_later": 1}
    assert decode_record(msgspec.msgpack.encode((3, fields))) == record

import typing

import attrs
import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from jasminewalk.exceptions import BadMessageError, UnauthenticatedPeerError
from jasminewalk.generated_messages import TYPE_BY_NUMBER, EntryHello
from jasminewalk.generated_records import GrantOutcomeRecord
from jasminewalk.transport.codec import (
    TAG_BYTES,
    MessageCodec,
    PositionalCodec,
    decode_record,
    encode_record,
)

KEY = "0123456789abcdef"


def test_record_round_trip():
    record = GrantOutcomeRecord(
        record_id="r", endpoint="e", grant=3, outcome="done", role="mixed"
    )
    assert decode_record(encode_record(record)) == record


def test_message_signed_with_another_key_is_rejected():
    encoded = MessageCodec(KEY).encode(
        "a", "b", 1, EntryHello(entry="a", incarnation="b")
    )
    with pytest.raises(UnauthenticatedPeerError):
        MessageCodec(KEY[::-1]).decode(encoded)


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_rejected_as_a_message(data):
    with pytest.raises((BadMessageError, UnauthenticatedPeerError)):
        MessageCodec(KEY).decode(data)


@given(st.binary(max_size=200))
def test_arbitrary_bytes_decode_to_a_record_or_raise_bad_message(data):
    try:
        decode_record(data)
    except BadMessageError as error:
        assert error.code == 1502


def test_message_of_a_newer_version_is_decoded():
    hello = EntryHello(entry="e", incarnation="i", revision=7)
    fields = [getattr(hello, field.name) for field in attrs.fields(EntryHello)]
    newer = msgspec.msgpack.encode((4, [*fields, "added later"]))
    assert PositionalCodec(TYPE_BY_NUMBER).decode(newer) == hello


def test_message_of_an_older_version_gets_defaults():
    older = msgspec.msgpack.encode((4, ["e", "i"]))
    decoded = PositionalCodec(TYPE_BY_NUMBER).decode(older)
    assert decoded == EntryHello(entry="e", incarnation="i")


def test_record_of_a_newer_version_is_decoded():
    record = GrantOutcomeRecord(
        record_id="r", endpoint="e", grant=3, outcome="done", role="mixed"
    )
    fields = {**attrs.asdict(record), "added_later": 1}
    assert decode_record(msgspec.msgpack.encode((3, fields))) == record


FIELD_LISTS = st.lists(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=20)
    | st.binary(max_size=20)
    | st.lists(st.integers(0, 2**64 - 1), max_size=4),
    max_size=30,
)
SAMPLE_BY_TYPE = {str: "x", int: 1, float: 1.0, bool: True}


def make_sample(attrs_class):
    values = {}
    for field in attrs.fields(attrs_class):
        if field.default is not attrs.NOTHING:
            continue
        literals = typing.get_args(field.type)
        is_literal = typing.get_origin(field.type) is typing.Literal
        values[field.name] = (
            literals[0] if is_literal else SAMPLE_BY_TYPE.get(field.type, [])
        )
    return attrs_class(**values)


@pytest.mark.parametrize("number", TYPE_BY_NUMBER)
@settings(derandomize=True, deadline=None)
@given(fields=FIELD_LISTS)
def test_arbitrary_fields_decode_or_raise_bad_message(number, fields):
    codec = PositionalCodec(TYPE_BY_NUMBER)
    try:
        message = codec.decode(msgspec.msgpack.encode((number, fields)))
    except BadMessageError as error:
        assert error.code == 1502
    else:
        assert type(message) is TYPE_BY_NUMBER[number]


@pytest.mark.parametrize("number", TYPE_BY_NUMBER)
def test_truncated_message_is_rejected(number):
    codec = MessageCodec(KEY)
    encoded = codec.encode("a", "b", 1, make_sample(TYPE_BY_NUMBER[number]))
    body = encoded[TAG_BYTES:]
    assert codec.decode(encoded).message == make_sample(TYPE_BY_NUMBER[number])
    for length in range(len(body)):
        part = body[:length]
        with pytest.raises(BadMessageError):
            codec.decode(codec.compute_tag(part) + part)


def test_oversized_and_unknown_messages_are_rejected():
    codec = MessageCodec(KEY, max_bytes=1024)
    with pytest.raises(BadMessageError):
        codec.decode(b"x" * 1025)
    with pytest.raises(BadMessageError):
        PositionalCodec(TYPE_BY_NUMBER).decode(msgspec.msgpack.encode((999, [])))

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


FIELDS = st.lists(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=20)
    | st.binary(max_size=20)
    | st.lists(st.integers(0, 2**64 - 1), max_size=4),
    max_size=30,
)
SAMPLES = {str: "x", int: 1, float: 1.0, bool: True}


def sample_of(kind):
    values = {}
    for field in attrs.fields(kind):
        if field.default is not attrs.NOTHING:
            continue
        options = typing.get_args(field.type)
        is_choice = typing.get_origin(field.type) is typing.Literal
        values[field.name] = options[0] if is_choice else SAMPLES.get(field.type, [])
    return kind(**values)


@pytest.mark.parametrize("number", TYPE_BY_NUMBER)
@settings(derandomize=True, deadline=None)
@given(fields=FIELDS)
def test_any_fields_are_a_message_or_a_numbered_error(number, fields):
    codec = PositionalCodec(TYPE_BY_NUMBER)
    try:
        message = codec.decode(msgspec.msgpack.encode((number, fields)))
    except BadMessageError as error:
        assert error.code == 1502
    else:
        assert type(message) is TYPE_BY_NUMBER[number]


@pytest.mark.parametrize("number", TYPE_BY_NUMBER)
def test_truncated_message_is_a_numbered_error(number):
    codec = MessageCodec(KEY)
    sealed = codec.seal("a", "b", 1, sample_of(TYPE_BY_NUMBER[number]))
    body = sealed[TAG_BYTES:]
    assert codec.open(sealed).message == sample_of(TYPE_BY_NUMBER[number])
    for length in range(len(body)):
        part = body[:length]
        with pytest.raises(BadMessageError):
            codec.open(codec.tag(part) + part)


def test_oversized_and_unknown_messages_are_numbered_errors():
    codec = MessageCodec(KEY, max_bytes=1024)
    with pytest.raises(BadMessageError):
        codec.open(b"x" * 1025)
    with pytest.raises(BadMessageError):
        PositionalCodec(TYPE_BY_NUMBER).decode(msgspec.msgpack.encode((999, [])))

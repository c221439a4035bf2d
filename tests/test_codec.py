import pytest
from hypothesis import given, strategies as st

from jasminewalk.codec import MessageCodec, decode_record, encode_record
from jasminewalk.exceptions import BadMessageError, UnauthenticatedPeerError
from jasminewalk.generated_messages import EntryHello
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

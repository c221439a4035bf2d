import pytest

from jasminewalk.codec import encode_record
from jasminewalk.entry_peers import RecordBuffer
from jasminewalk.generated_records import (
    ClaimBatchRecord,
    ConfigurationRecord,
    OutcomeBatchRecord,
)
from jasminewalk.interfaces import LogEntry

CLAIM = encode_record(
    ClaimBatchRecord(record_id="a", endpoint="e", incarnation="i", claims=[])
)
OUTCOME = encode_record(
    OutcomeBatchRecord(record_id="b", endpoint="e", incarnation="i", outcomes=[])
)
CHANGE = encode_record(
    ConfigurationRecord(record_id="c", subject="fleet/default", base_revision=0)
)


@pytest.mark.parametrize(
    ("claims", "records"),
    [
        (True, [CLAIM, CHANGE, OUTCOME, b"garbage"]),
        (False, [b"", CHANGE, b"", b"garbage"]),
    ],
)
def test_feed_leaves_claims_out_where_nobody_needs_them(claims, records):
    buffer = RecordBuffer()
    for offset, data in enumerate([CLAIM, CHANGE, OUTCOME, b"garbage"], 7):
        buffer.extend([LogEntry(offset, data)])
    feed = buffer.feed(7, claims=claims)
    assert (feed.first_offset, feed.tail) == (7, 11)
    assert feed.records == records

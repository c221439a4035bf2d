"""Cost of the log's records for every process that folds them."""

import itertools
import random
import time

from _bench import Slope, busy_s, save, show, slope
from _fleet_data import organisation_document, organisation_records, record

from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.fold_events import SubjectChanged
from jasminewalk.agreement.snapshots import split_into_chunks
from jasminewalk.interfaces import LogEntry
from jasminewalk.operators.configuration import ConfigurationView
from jasminewalk.transport.codec import encode_record

ORGANISATIONS = (1000, 10_000, 50_000)
CHUNK_BYTES = 256 << 10
CHANGES = 2000
US = 1e6


def folded(count):
    fold, view = LogFold(), ConfigurationView()
    apply_all(fold, view, organisation_records(count))
    return fold, view


def apply_all(fold, view, records):
    for data in records:
        for event in fold.apply(LogEntry(fold.next_offset, data)):
            if isinstance(event, SubjectChanged):
                view.apply(event.subject, event.revision, event.document, event.deleted)


def change_us(count):
    """Return the processor time of one accepted change of an organisation."""
    fold, view = folded(count)
    assert view.get_organisation("escuela-00000") is not None
    rng = random.Random(1)
    records = []
    offset = fold.next_offset
    revisions = {}
    for number in range(CHANGES):
        chosen = rng.randrange(count)
        subject = f"organisation/escuela-{chosen:05d}"
        base = revisions.get(subject, chosen + 2)
        document = organisation_document(chosen + number)
        records.append(record(subject, document, number, base))
        revisions[subject] = offset + number
    start_s = time.process_time()
    apply_all(fold, view, records)
    assert view.revision == fold.next_offset - 1
    return (time.process_time() - start_s) / CHANGES * US


def snapshot_bytes(count):
    fold, _ = folded(count)
    chunks = split_into_chunks(fold.get_state(), CHUNK_BYTES, random.Random(1))
    return sum(len(encode_record(chunk)) for chunk in chunks)


def snapshot_s(count):
    fold, _ = folded(count)
    rng = random.Random(1)
    return busy_s(
        lambda: [
            encode_record(chunk)
            for chunk in split_into_chunks(fold.get_state(), CHUNK_BYTES, rng)
        ],
        rounds=2,
    )


def start_s(count):
    """Return the processor time of a start from a snapshot."""
    fold, _ = folded(count)
    chunks = split_into_chunks(fold.get_state(), CHUNK_BYTES, random.Random(1))
    first = fold.next_offset
    records = [encode_record(chunk) for chunk in chunks]
    begin_s = time.process_time()
    new, view = LogFold(), ConfigurationView()
    new.observe_first_retained(first)
    for offset, data in enumerate(records, first):
        for event in new.apply(LogEntry(offset, data)):
            if isinstance(event, SubjectChanged):
                view.apply(event.subject, event.revision, event.document, event.deleted)
    assert (
        sum(1 for _ in itertools.islice(view.iterate_organisation_names(), count))
        == count
    )
    return time.process_time() - begin_s


def main() -> list[Slope]:
    rows = [
        slope(
            "one change of an organisation folded and put in force",
            "organisation",
            "us",
            [(count, change_us(count)) for count in ORGANISATIONS],
        ),
        slope(
            "snapshot on the log",
            "organisation",
            "B",
            [(count, snapshot_bytes(count)) for count in ORGANISATIONS],
        ),
        slope(
            "processor time to write a snapshot",
            "organisation",
            "s",
            [(count, snapshot_s(count)) for count in ORGANISATIONS],
        ),
        slope(
            "processor time of a start from a snapshot",
            "organisation",
            "s",
            [(count, start_s(count)) for count in ORGANISATIONS],
        ),
    ]
    save("log_fold", rows)
    return rows


if __name__ == "__main__":
    show(main())

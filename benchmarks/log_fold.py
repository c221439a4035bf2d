"""Cost of applying log records and of writing and reading snapshots."""

import itertools
import random
import time

from _bench import LinearFit, fit_line, measure_cpu_s, print_rows, save_rows
from _fleet_data import (
    build_organisation_document,
    encode_configuration_record,
    generate_organisation_records,
)

from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.fold_events import SubjectChanged
from jasminewalk.agreement.snapshots import split_into_chunks
from jasminewalk.interfaces import LogEntry
from jasminewalk.operators.configuration import ConfigurationView
from jasminewalk.transport.codec import encode_record

ORGANISATION_COUNTS = (1000, 10_000, 50_000)
CHUNK_BYTES = 256 << 10
CHANGE_COUNT = 2000
US_PER_S = 1e6


def build_fold(count):
    """Return a fold and a configuration view with a number of organisations."""
    fold, view = LogFold(), ConfigurationView()
    apply_records(fold, view, generate_organisation_records(count))
    return fold, view


def apply_records(fold, view, records):
    """Apply encoded records to a fold, and its changes to a configuration view."""
    for data in records:
        for event in fold.apply(LogEntry(fold.next_offset, data)):
            if isinstance(event, SubjectChanged):
                view.apply(event.subject, event.revision, event.document, event.deleted)


def measure_change_us(count):
    """Return the CPU microseconds of one accepted change of an organisation."""
    fold, view = build_fold(count)
    assert view.get_organisation("escuela-00000") is not None
    rng = random.Random(1)
    records = []
    offset = fold.next_offset
    revisions = {}
    for number in range(CHANGE_COUNT):
        organisation_number = rng.randrange(count)
        subject = f"organisation/escuela-{organisation_number:05d}"
        base_revision = revisions.get(subject, organisation_number + 2)
        document = build_organisation_document(organisation_number + number)
        records.append(
            encode_configuration_record(subject, document, number, base_revision)
        )
        revisions[subject] = offset + number
    start_s = time.process_time()
    apply_records(fold, view, records)
    assert view.revision == fold.next_offset - 1
    return (time.process_time() - start_s) / CHANGE_COUNT * US_PER_S


def measure_snapshot_bytes(count):
    """Return the size in bytes of an encoded snapshot."""
    fold, _ = build_fold(count)
    chunks = split_into_chunks(fold.get_state(), CHUNK_BYTES, random.Random(1))
    return sum(len(encode_record(chunk)) for chunk in chunks)


def measure_snapshot_cpu_s(count):
    """Return the CPU seconds to split a snapshot into chunks and encode them."""
    fold, _ = build_fold(count)
    rng = random.Random(1)
    return measure_cpu_s(
        lambda: [
            encode_record(chunk)
            for chunk in split_into_chunks(fold.get_state(), CHUNK_BYTES, rng)
        ],
        rounds=2,
    )


def measure_start_cpu_s(count):
    """Return the CPU seconds of a start from a snapshot."""
    fold, _ = build_fold(count)
    chunks = split_into_chunks(fold.get_state(), CHUNK_BYTES, random.Random(1))
    first_offset = fold.next_offset
    records = [encode_record(chunk) for chunk in chunks]
    start_s = time.process_time()
    restored, view = LogFold(), ConfigurationView()
    restored.observe_first_retained(first_offset)
    for offset, data in enumerate(records, first_offset):
        for event in restored.apply(LogEntry(offset, data)):
            if isinstance(event, SubjectChanged):
                view.apply(event.subject, event.revision, event.document, event.deleted)
    assert (
        sum(1 for _ in itertools.islice(view.iterate_organisation_names(), count))
        == count
    )
    return time.process_time() - start_s


def main() -> list[LinearFit]:
    rows = [
        fit_line(
            "one change of an organisation folded and put in force",
            "organisation",
            "us",
            [(count, measure_change_us(count)) for count in ORGANISATION_COUNTS],
        ),
        fit_line(
            "snapshot on the log",
            "organisation",
            "B",
            [(count, measure_snapshot_bytes(count)) for count in ORGANISATION_COUNTS],
        ),
        fit_line(
            "processor time to write a snapshot",
            "organisation",
            "s",
            [(count, measure_snapshot_cpu_s(count)) for count in ORGANISATION_COUNTS],
        ),
        fit_line(
            "processor time of a start from a snapshot",
            "organisation",
            "s",
            [(count, measure_start_cpu_s(count)) for count in ORGANISATION_COUNTS],
        ),
    ]
    save_rows("log_fold", rows)
    return rows


if __name__ == "__main__":
    print_rows(main())

import random

import anyio
import pytest

from jasminewalk.agreement.log_reader import LogReader
from jasminewalk.exceptions import ConfigurationConflictError, LogUnavailableError
from jasminewalk.generated_records import ConfigurationRecord
from jasminewalk.interfaces import Log, LogEntry, LogPage
from jasminewalk.operators.configuration_files import ConfigurationDocument
from jasminewalk.operators.publication import Publication, build_view, plan_changes
from jasminewalk.operators.publish import Publisher
from jasminewalk.operators.yaml_files import YamlDocument
from jasminewalk.transport.codec import decode_record, encode_record

SOURCE = YamlDocument(file="c.yaml", data={}, lines={})
READ_DURATION_S = 0.2
TIMEOUT_S = 10.0


class InMemoryLog(Log):
    """Log in memory whose reads advance a manual clock.

    The next ``lost_responses`` appends are stored, but their responses are lost. A
    ``concurrent_record`` is stored just before the next append.
    """

    def __init__(self, clock):
        self.clock = clock
        self.records = []
        self.lost_responses = 0
        self.outage = False
        self.concurrent_record = None

    async def append(self, data):
        if self.outage:
            raise LogUnavailableError()
        if self.concurrent_record is not None:
            concurrent, self.concurrent_record = self.concurrent_record, None
            self.records.append(encode_record(concurrent))
        self.records.append(data)
        if self.lost_responses:
            self.lost_responses -= 1
            raise LogUnavailableError()
        return len(self.records)

    async def read(self, offset, limit, wait_s=0.0):
        self.clock.advance(READ_DURATION_S)
        await anyio.lowlevel.checkpoint()
        if self.outage:
            raise LogUnavailableError()
        stored = self.records[offset - 1 : offset - 1 + limit]
        entries = [LogEntry(offset + index, data) for index, data in enumerate(stored)]
        return LogPage(entries, 1, len(self.records) + 1)


def make_document(kind, name, deleted=False, **body):
    return ConfigurationDocument(
        kind=kind, name=name, body=body, deleted=deleted, source=SOURCE
    )


def make_record(subject, text, base=0, author="ana"):
    return ConfigurationRecord(
        record_id=f"{author}-{subject}-{base}",
        subject=subject,
        base_revision=base,
        document=text,
        author=author,
        reason="the other change",
    )


async def read_to_tail(log):
    reader = LogReader(log)
    await reader.read_to_tail(TIMEOUT_S)
    return reader


@pytest.fixture
def log(clock):
    return InMemoryLog(clock)


@pytest.fixture
def publish(log, clock):
    async def run(documents, base=None):
        reader = await read_to_tail(log)
        publication = Publication(
            plan_changes(documents, reader.fold, base),
            fold=reader.fold,
            author="luz",
            reason="a test",
            rng=random.Random(1),
        )
        publisher = Publisher(
            log=log,
            reader=reader,
            publication=publication,
            clock=clock,
            rng=random.Random(2),
            response_timeout_s=2.0,
        )
        await publisher.run(TIMEOUT_S)
        return publication

    return run


DOCUMENTS = [
    make_document("fleet", "default", pools={}),
    make_document("template", "t", versions={}),
    make_document("organisation", "o", template="t", version=1, parameters={}),
]


async def test_kinds_are_published_in_order(publish, log):
    publication = await publish(DOCUMENTS)
    subjects = [decode_record(data).subject for data in log.records]
    assert subjects == ["fleet/default", "template/t", "organisation/o"]
    assert publication.revision == 3
    record = decode_record(log.records[0])
    assert (record.author, record.reason) == ("luz", "a test")


async def test_documents_in_force_are_not_published_again(publish, log):
    await publish(DOCUMENTS)
    second = await publish(DOCUMENTS)
    assert (second.revision, len(log.records)) == (0, 3)


@pytest.mark.parametrize("lost", [1, 2, 5])
async def test_lost_responses_publish_nothing_twice(publish, log, lost):
    log.lost_responses = lost
    publication = await publish(DOCUMENTS)
    reader = await read_to_tail(log)
    for document in DOCUMENTS:
        entry = reader.fold.get_subject(document.subject)
        assert entry.document == document.text
        assert entry.revision == publication.accepted[document.subject]


async def test_first_of_two_concurrent_changes_is_accepted(publish, log):
    log.concurrent_record = make_record("organisation/o", '{"other":1}')
    with pytest.raises(ConfigurationConflictError) as caught:
        await publish([DOCUMENTS[2]])
    detail = caught.value.detail
    assert "organisation/o: found revision 1 by ana (the other change)" in detail
    assert caught.value.exit_code == 8


async def test_after_a_conflict_later_kinds_are_not_published(publish, log):
    log.concurrent_record = make_record("template/t", '{"other":1}')
    with pytest.raises(ConfigurationConflictError):
        await publish(DOCUMENTS[1:])
    subjects = [decode_record(data).subject for data in log.records]
    assert "organisation/o" not in subjects


async def test_concurrent_equal_documents_do_not_conflict(publish, log):
    log.concurrent_record = make_record("organisation/o", DOCUMENTS[2].text)
    publication = await publish([DOCUMENTS[2]])
    assert publication.accepted == {"organisation/o": 1}


async def test_outage_ends_publication_with_unknown_outcome(publish, log):
    await publish(DOCUMENTS[:1])
    read = log.read

    async def read_once(*arguments):
        page = await read(*arguments)
        log.outage = True
        return page

    log.read = read_once
    with pytest.raises(
        LogUnavailableError, match="Run the same command again"
    ) as caught:
        await publish(DOCUMENTS[1:])
    assert caught.value.ran == "unknown"


async def test_change_after_the_base_is_a_conflict(publish, log):
    await publish(DOCUMENTS)
    changed = make_document("organisation", "o", template="t", version=2, parameters={})
    (change,) = plan_changes([changed], (await read_to_tail(log)).fold)
    assert change.summary == "change organisation/o (revision 3 by luz: a test)"
    with pytest.raises(ConfigurationConflictError, match="based on revision 2"):
        await publish([changed], base=2)
    publication = await publish([changed], base=3)
    assert publication.accepted == {"organisation/o": 4}


async def test_timeout_restarts_with_each_accepted_change(publish, clock):
    documents = [
        make_document(
            "organisation", f"o{number}", template="t", version=1, parameters={}
        )
        for number in range(1500)
    ]
    publication = await publish(documents)
    assert len(publication.accepted) == 1500
    assert clock.monotonic() > TIMEOUT_S


async def test_deletions_come_last_and_in_reverse(publish, log):
    await publish(DOCUMENTS)
    await publish(
        [
            make_document("template", "u", versions={}),
            make_document("template", "t", deleted=True),
            make_document("organisation", "o", deleted=True),
        ]
    )
    subjects = [decode_record(data).subject for data in log.records[3:]]
    assert subjects == ["template/u", "organisation/o", "template/t"]
    reader = await read_to_tail(log)
    view = build_view(reader.fold)
    assert (list(view.templates), list(view.iterate_organisation_names())) == (
        ["u"],
        [],
    )

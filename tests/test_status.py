import attrs
import pytest

from jasminewalk.generated_messages import LoadReport
from jasminewalk.generated_requests import Instance
from jasminewalk.ingress.entry_status import EndpointStatus, EntryStatus
from jasminewalk.ingress.traces import AttemptTrace, RequestTrace
from jasminewalk.operators.publish import format_in_force_line, list_outdated_instances
from jasminewalk.operators.status import build_fleet_status
from jasminewalk.operators.status_text import format_status, format_trace
from jasminewalk.types import Candidate

REPORT = LoadReport(
    endpoint="tutor-1",
    incarnation="i",
    sequence=1,
    kind="engine",
    pool="tutor",
    failure_domain="a",
    address="127.0.0.1:1",
    state="live",
    revision=7,
    queued=3,
    prefill_tokens_per_s=9000.0,
)
ENDPOINT = EndpointStatus(
    endpoint="tutor-1",
    pool="tutor",
    failure_domain="a",
    usable=True,
    leaving=False,
    silent_s=0.2,
    failures=0,
    report=REPORT,
)
ENTRY = EntryStatus(
    name="entry-1",
    incarnation="i",
    failure_domain="a",
    ready=True,
    stopping=False,
    revision=9,
    log_reachable=True,
    endpoints=[ENDPOINT],
)
INSTANCES = [
    Instance(name="entry-1", kind="entry", address="h:1", state="live"),
    Instance(name="tutor-1", kind="engine", address="h:2", state="live", pool="tutor"),
]


def build_status(entry=ENTRY, instances=INSTANCES, log_revision=9):
    statuses = {entry.name: entry} if entry else {}
    return build_fleet_status(
        instances, statuses, changes=[], log_revision=log_revision
    )


def make_entry_status(**changes):
    return attrs.evolve(ENTRY, endpoints=[attrs.evolve(ENDPOINT, **changes)])


def test_revision_in_force_is_the_lowest_of_all_live_instances():
    status = build_status()
    assert status.revision == 7
    assert list_outdated_instances(status, 7) == []
    assert list_outdated_instances(status, 9) == ["tutor-1 (live, revision 7)"]
    assert status.problems == []


@pytest.mark.parametrize(
    ("entry", "instances", "log_revision", "problem"),
    [
        (None, INSTANCES, 9, "Entry entry-1 does not respond."),
        (ENTRY, INSTANCES, None, "The log does not respond"),
        (None, [], 9, "The instance list has no entry."),
        (
            attrs.evolve(ENTRY, ready=False),
            INSTANCES,
            9,
            "has not read the configuration",
        ),
        (
            attrs.evolve(ENTRY, log_reachable=False),
            INSTANCES,
            9,
            "cannot reach the log",
        ),
        (make_entry_status(silent_s=60.0), INSTANCES, 9, "Endpoint tutor-1 is silent."),
        (
            make_entry_status(report=None, silent_s=None),
            INSTANCES,
            9,
            "Endpoint tutor-1 is silent.",
        ),
        (
            make_entry_status(usable=False),
            INSTANCES,
            9,
            "tutor-1 is live but no entry uses it.",
        ),
        (
            make_entry_status(leaving=True, usable=False),
            INSTANCES,
            9,
            "Pool tutor has no endpoint",
        ),
        (
            attrs.evolve(ENTRY, endpoints=[]),
            INSTANCES,
            9,
            "Endpoint tutor-1 is silent.",
        ),
    ],
)
def test_problems_are_listed(entry, instances, log_revision, problem):
    status = build_status(entry, instances, log_revision)
    assert any(problem in found for found in status.problems)
    assert any(problem in line for line in format_status(status))


def test_withdrawn_endpoints_are_listed_as_outdated():
    status = build_fleet_status(
        INSTANCES, {"entry-1": ENTRY}, changes=[], log_revision=9, withdrawn={"tutor-1"}
    )
    row = status.endpoints[0]
    assert (row.state, row.usable_by) == ("withdrawn", 0)
    assert status.problems == ["Pool tutor has no endpoint that takes work."]
    assert list_outdated_instances(status, 9) == ["tutor-1 (withdrawn, revision 7)"]


def test_silent_engines_are_reported_but_not_outdated():
    status = build_status(make_entry_status(silent_s=60.0))
    assert list_outdated_instances(status, 9) == []
    line = format_in_force_line(status, 9)
    assert "1 entry and 0 engines" in line
    assert line.endswith("Silent engines, which get no requests: tutor-1.")
    assert list_outdated_instances(build_status(None), 9) == [
        "entry-1 (silent, revision 0)"
    ]


def test_leaving_endpoints_are_not_outdated():
    status = build_status(make_entry_status(leaving=True))
    assert status.endpoints[0].state == "leaving"
    assert list_outdated_instances(status, 9) == []


def test_newest_report_is_used():
    older = attrs.evolve(ENDPOINT, silent_s=4.0, report=attrs.evolve(REPORT, queued=99))
    other = attrs.evolve(ENTRY, name="entry-2", endpoints=[older])
    instances = [
        *INSTANCES,
        Instance(name="entry-2", kind="entry", address="h:3", state="live"),
    ]
    statuses = {"entry-1": ENTRY, "entry-2": other}
    status = build_fleet_status(instances, statuses, changes=[], log_revision=9)
    assert status.endpoints[0].queued == 3
    assert status.endpoints[0].usable_by == 2


def test_trace_shows_attempts_and_candidates():
    trace = RequestTrace(
        request_id="r-1",
        arrived_at="now",
        arrived_s=0.0,
        organisation="o",
        request_class="verdict",
        pool="tutor",
        model="tutor",
    )
    candidate = Candidate("tutor-2", 0.5, 2.0, note="leaving")
    for number in (1, 2):
        trace.add_attempt(
            AttemptTrace(
                attempt=number,
                endpoint=f"tutor-{number}",
                reason="lowest score",
                candidates=[candidate],
                resume_from=number - 1,
            )
        )
    text = "\n".join(format_trace("entry-1", trace))
    for expected in (
        "r-1 on entry entry-1",
        "still running",
        "lowest score",
        "leaving",
    ):
        assert expected in text
    assert text.count("resumed      after 1 tokens") == 1
    assert "When it was refused" not in text
    trace.weighed = [candidate]
    assert "When it was refused\n    WEIGHED" in "\n".join(format_trace("e", trace))

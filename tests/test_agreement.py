"""Tests of the fold, claims, orders, snapshots and the log writer."""

import random

import pytest

from jasminewalk.agreement.at_most_once import (
    ClaimController,
    ClaimSettings,
    RefuseRequest,
    ReplyToRequest,
    RunRequest,
)
from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.log_writer import (
    AppendGivenUp,
    AppendRecord,
    GroupCommit,
    LogWriter,
    LogWriterSettings,
    SendAppend,
)
from jasminewalk.agreement.order_actions import (
    OrderSettings,
    ReserveWeights,
    SendOrder,
    WantedState,
)
from jasminewalk.agreement.order_controller import OrderController
from jasminewalk.agreement.snapshots import (
    SnapshotPlanner,
    SnapshotSettings,
    split_into_chunks,
)
from jasminewalk.generated_codes import Code
from jasminewalk.generated_records import (
    Claim,
    ClaimBatchRecord,
    ConfigurationRecord,
    GrantRecord,
    RegistrationRecord,
)
from jasminewalk.generated_requests import EngineState
from jasminewalk.interfaces import LogEntry
from jasminewalk.transport.codec import encode_record
from jasminewalk.types import Refusal

LIFETIME_S = 10.0
MARGIN_S = 2.0


class InMemoryLog:
    def __init__(self):
        self.records = []
        self.first_retained = 1

    def append(self, record):
        self.records.append(encode_record(record))

    def read(self, fold):
        events = []
        fold.observe_first_retained(self.first_retained)
        while fold.next_offset <= len(self.records):
            offset = fold.next_offset
            events += fold.apply(LogEntry(offset, self.records[offset - 1]))
            fold.observe_first_retained(self.first_retained)
        fold.observe_tail(len(self.records) + 1)
        return events


@pytest.fixture
def log():
    log = InMemoryLog()
    log.append(make_registration("s0", "s0-1"))
    log.append(make_registration("s1", "s1-1"))
    log.append(make_registration("e0", "old"))
    return log


def make_registration(endpoint, incarnation, base=0):
    return RegistrationRecord(
        record_id=f"register-{incarnation}",
        endpoint=endpoint,
        pool="pool",
        incarnation=incarnation,
        base_registration=base,
    )


def make_configuration(name, base, record_id, deleted=False):
    return ConfigurationRecord(
        record_id=record_id,
        subject=f"organisation/{name}",
        base_revision=base,
        document="{}",
        deleted=deleted,
        author=record_id,
    )


def get_event_names(events):
    return [type(event).__name__ for event in events]


def test_rejection_names_the_current_change_and_a_duplicate_is_ignored(log):
    fold = LogFold()
    log.append(make_configuration("a", 0, "ana"))
    log.append(make_configuration("a", 0, "ben"))
    log.append(make_configuration("a", 0, "ana"))
    accepted, rejected = log.read(fold)[-2:]
    assert accepted.record_id == "ana"
    assert (rejected.record_id, rejected.current_author) == ("ben", "ana")
    assert rejected.current_revision == accepted.revision


def test_late_record_does_not_restore_a_deleted_subject(log):
    fold = LogFold()
    log.append(make_configuration("a", 0, "created"))
    log.append(make_configuration("a", 4, "deleted", deleted=True))
    log.append(make_configuration("a", 0, "late"))
    assert get_event_names(log.read(fold))[-1] == "SubjectRejected"
    assert fold.get_subject("organisation/a").deleted


@pytest.mark.parametrize(
    "data", [b"", b"\x93", encode_record(make_configuration("a", 0, "r"))[:-4]]
)
def test_undecodable_record_is_counted_and_ignored(log, data):
    fold = LogFold()
    log.records.append(data)
    assert get_event_names(log.read(fold))[-1] == "RecordIgnored"
    assert fold.ignored_count == 1
    assert fold.is_ready


def test_50_000_organisations_are_rebuilt_from_chunks(log):
    fold = LogFold()
    for number in range(50_000):
        log.append(make_configuration(str(number), 0, f"r{number}"))
    log.read(fold)
    chunks = split_into_chunks(fold.get_state(), 256 << 10, random.Random(1))
    for chunk in chunks[:-1]:
        log.append(chunk)
    log.first_retained = len(log.records) - len(chunks) + 2
    reader = LogFold()
    log.read(reader)
    assert len(chunks) > 10
    assert not reader.is_ready
    log.append(chunks[-1])
    log.append(make_configuration("new", 0, "new"))
    log.read(reader)
    log.read(fold)
    assert reader.is_ready
    assert reader.get_state() == fold.get_state()


def write_snapshots(log, planners, seconds):
    for tick in range(int(seconds * 10)):
        for planner in planners:
            log.read(planner.fold)
        for planner in planners:
            for chunk in planner.tick(tick / 10):
                log.append(chunk)


def make_planners(log, count):
    settings = SnapshotSettings(
        retention_s=40.0, jitter_s=1e-6, chunk_bytes=200, chunks_per_s=10
    )
    planners = []
    for number in range(count):
        fold = LogFold()
        log.read(fold)
        planners.append(SnapshotPlanner(fold, settings, random.Random(number)))
    return planners


def create_late_reader(log):
    fold = LogFold()
    log.first_retained = 20
    log.read(fold)
    return fold


def test_one_of_many_snapshot_writers_completes_its_snapshot(log):
    for number in range(40):
        log.append(make_configuration(str(number), 0, f"r{number}"))
    write_snapshots(log, make_planners(log, 20), seconds=19.0)
    assert create_late_reader(log).is_ready


def test_snapshot_writers_that_ignore_each_other_complete_none(log, monkeypatch):
    monkeypatch.setattr(SnapshotPlanner, "list_other_snapshots", lambda self, now_s: [])
    for number in range(40):
        log.append(make_configuration(str(number), 0, f"r{number}"))
    write_snapshots(log, make_planners(log, 20), seconds=19.0)
    assert not create_late_reader(log).is_ready


def make_order_controller(
    log, checks_fencing, incarnation="new", reserves_weights=False
):
    fold = LogFold()
    log.read(fold)
    settings = OrderSettings(
        endpoint="e0",
        pool="pool",
        incarnation=incarnation,
        checks_fencing=checks_fencing,
        lifetime_s=LIFETIME_S,
        margin_s=MARGIN_S,
        reserves_weights=reserves_weights,
    )
    return OrderController(settings, fold, random.Random(1))


def append_open_grant(log, models=()):
    log.append(
        GrantRecord(
            record_id="grant",
            endpoint="e0",
            pool="pool",
            incarnation="old",
            base_grant=0,
            base_pool_revision=0,
            role="prefill",
            models=list(models),
            lifetime_s=LIFETIME_S,
        )
    )
    log.append(make_registration("e0", "new", base=3))


@pytest.mark.parametrize(
    ("checks_fencing", "expected_s"), [(True, 0.0), (False, LIFETIME_S + MARGIN_S)]
)
def test_takeover_waits_for_the_lapse_unless_the_engine_checks_fencing(
    log, checks_fencing, expected_s
):
    append_open_grant(log)
    controller = make_order_controller(log, checks_fencing)
    action_times_s = [tenth / 10 for tenth in range(200) if controller.tick(tenth / 10)]
    assert action_times_s[0] == pytest.approx(expected_s)
    assert controller.change.wanted.role == "prefill"


def test_unsent_takeover_is_abandoned_only_after_the_engine_stops_changing(log):
    append_open_grant(log)
    controller = make_order_controller(log, checks_fencing=True)
    log.append(controller.tick(0.0)[0].record)
    for event in log.read(controller.fold):
        controller.on_event(0.1, event)
    busy = EngineState(role="mixed", models=[], changing=True)
    assert controller.observe_engine(LIFETIME_S + MARGIN_S + 1, busy) == []
    idle = EngineState(role="mixed", models=[])
    actions = controller.observe_engine(LIFETIME_S + MARGIN_S + 2, idle)
    assert actions[0].record.outcome == "abandoned"


def test_takeover_reserves_the_weights_it_loads(log):
    append_open_grant(log, models=["tutor"])
    controller = make_order_controller(log, checks_fencing=True, reserves_weights=True)
    assert controller.tick(0.0) == [ReserveWeights(artifacts=("tutor",))]
    assert controller.tick(0.1) == []
    (proposal,) = controller.handle_weights_reserved(0.2, ("tutor",))
    assert proposal.record.models == ["tutor"]


@pytest.mark.parametrize("checks_lapse", [True, False])
def test_no_order_is_sent_after_the_lapse(log, monkeypatch, checks_lapse):
    if not checks_lapse:
        monkeypatch.setattr(
            OrderController, "compute_lapse_s", lambda *args: float("inf")
        )
    controller = make_order_controller(log, checks_fencing=False, incarnation="old")
    controller.observe_engine(0.0, EngineState(role="mixed", models=[]))
    log.append(controller.set_wanted_state(1.0, WantedState(role="decode"))[0].record)
    for event in log.read(controller.fold):
        controller.on_event(2.0, event)
    actions = controller.handle_drained(1.0 + LIFETIME_S)
    sent = [action for action in actions if isinstance(action, SendOrder)]
    assert len(sent) == (0 if checks_lapse else 1)


def test_order_is_valid_until_the_lapse_and_done_when_the_engine_has_changed(log):
    controller = make_order_controller(log, checks_fencing=True, incarnation="old")
    controller.observe_engine(0.0, EngineState(role="mixed", models=[]))
    wanted = WantedState(role="decode")
    log.append(controller.set_wanted_state(1.0, wanted)[0].record)
    for event in log.read(controller.fold):
        controller.on_event(2.0, event)
    (order,) = controller.handle_drained(3.0)
    assert isinstance(order, SendOrder)
    assert order.valid_until_s == 1.0 + LIFETIME_S
    assert order.order.fencing_number == len(log.records)
    changed = EngineState(role="decode", models=[])
    assert controller.observe_engine(3.5, changed) == []
    controller.record_order_response(order.order.fencing_number)
    actions = controller.observe_engine(3.6, changed)
    assert actions[0].record.outcome == "done"


@pytest.mark.parametrize(
    ("endpoints", "expected"),
    [(["e0"], ["GrantAccepted"]), (["e0", "e1"], ["GrantAccepted", "GrantRejected"])],
)
def test_engines_load_models_one_at_a_time_unless_the_pool_is_too_small(
    endpoints, expected
):
    log, fold = InMemoryLog(), LogFold()
    document = '{"pools": {"pool": {"kind": "engine", "min_decode": 1}}}'
    log.append(
        ConfigurationRecord(
            record_id="f", subject="fleet/default", base_revision=0, document=document
        )
    )
    for name in endpoints:
        log.append(make_registration(name, name))
    log.read(fold)
    for name in endpoints:
        log.append(
            GrantRecord(
                record_id=f"load-{name}",
                endpoint=name,
                pool="pool",
                incarnation=name,
                base_grant=0,
                base_pool_revision=0,
                role="mixed",
                models=["m"],
                lifetime_s=LIFETIME_S,
            )
        )
    assert get_event_names(log.read(fold)) == expected


def make_claim_controller(log, endpoint="s0"):
    fold = LogFold()
    log.read(fold)
    settings = ClaimSettings(
        endpoint=endpoint, incarnation=f"{endpoint}-1", batch_s=0.0, max_body_bytes=10
    )
    return ClaimController(settings, fold, random.Random(1))


def send_request(controller, request_id, fingerprint="f", now_s=0.0):
    return controller.handle_request(
        now_s,
        request_id=request_id,
        key="k",
        fingerprint=fingerprint,
        deadline_s=now_s + 10.0,
    )


def append_records(log, actions):
    for action in actions:
        if isinstance(action, AppendRecord):
            log.append(action.record)


def read_log(log, controller, now_s=0.0):
    actions = []
    for event in log.read(controller.fold):
        actions += controller.on_event(now_s, event)
    return actions


def test_duplicates_at_two_sidecars_run_once_and_get_the_same_response(log):
    first, second = make_claim_controller(log), make_claim_controller(log, "s1")
    append_records(log, send_request(second, "r2"))
    append_records(log, send_request(first, "r1"))
    assert read_log(log, second) == [RunRequest(request_id="r2")]
    assert read_log(log, first) == []
    append_records(
        log, second.handle_response(1.0, "r2", status=201, headers=[], body=b"seat")
    )
    append_records(log, second.tick(1.1))
    (reply,) = read_log(log, first, 1.2)
    assert (reply.request_id, reply.body, reply.replayed) == ("r1", b"seat", True)


def get_refusal(actions):
    (refused,) = [action for action in actions if isinstance(action, RefuseRequest)]
    return refused.refusal.code, refused.refusal.ran


def test_claim_that_reaches_the_log_after_being_given_up_is_withdrawn(log):
    controller, other = make_claim_controller(log), make_claim_controller(log, "s1")
    late_claim = send_request(controller, "r1")
    given_up = controller.tick(5.0)
    assert get_refusal(given_up) == (Code.LOG_UNAVAILABLE, "not_run")
    append_records(log, late_claim)
    withdrawal = read_log(log, controller, 6.0)
    assert not any(isinstance(action, RunRequest) for action in withdrawal)
    append_records(log, withdrawal)
    read_log(log, other, 6.0)
    append_records(log, send_request(other, "r2", now_s=7.0))
    assert read_log(log, other, 7.1) == [RunRequest(request_id="r2")]


@pytest.mark.parametrize(
    ("ending", "expected"),
    [
        ("lost", (Code.OUTCOME_UNKNOWN, "unknown")),
        ("superseded", (Code.OUTCOME_UNKNOWN, "unknown")),
        ("large", (Code.OUTCOME_UNKNOWN, "ran")),
        ("other request", (Code.KEY_REUSED, "not_run")),
    ],
)
def test_duplicate_is_refused_and_never_runs(log, ending, expected):
    first, second = make_claim_controller(log), make_claim_controller(log, "s1")
    append_records(log, send_request(first, "r1"))
    read_log(log, first)
    if ending == "lost":
        append_records(log, first.handle_lost_response(1.0, "r1"))
    if ending == "superseded":
        log.append(make_registration("s0", "s0-2", base=1))
    if ending == "large":
        body = b"x" * 11
        append_records(
            log, first.handle_response(1.0, "r1", status=200, headers=[], body=body)
        )
    append_records(log, first.tick(1.5))
    read_log(log, second, 2.0)
    fingerprint = "g" if ending == "other request" else "f"
    assert get_refusal(send_request(second, "r2", fingerprint, now_s=2.0)) == expected


def test_log_outage_refuses_new_keys_but_replays_known_outcomes(log):
    controller = make_claim_controller(log)
    append_records(log, send_request(controller, "r1"))
    read_log(log, controller)
    append_records(
        log, controller.handle_response(1.0, "r1", status=200, headers=[], body=b"ok")
    )
    append_records(log, controller.tick(1.1))
    read_log(log, controller, 1.2)
    controller.log_available = False
    assert isinstance(send_request(controller, "r2")[0], ReplyToRequest)
    actions = controller.handle_request(
        2.0, request_id="r3", key="new", fingerprint="f", deadline_s=9.0
    )
    assert get_refusal(actions) == (Code.LOG_UNAVAILABLE, "not_run")
    assert actions[0].refusal.retry_after_s > 0


def test_request_that_was_not_sent_releases_its_key(log):
    controller = make_claim_controller(log)
    append_records(log, send_request(controller, "r1"))
    read_log(log, controller)
    refusal = Refusal(Code.ENDPOINT_FAILED, "no connection", 1.0, "not_run")
    append_records(log, controller.handle_not_sent(1.0, "r1", refusal))
    append_records(log, controller.tick(1.1))
    read_log(log, controller, 1.2)
    append_records(log, send_request(controller, "r2", now_s=2.0))
    assert read_log(log, controller, 2.1) == [RunRequest(request_id="r2")]


def test_oldest_keys_expire_and_their_requests_are_refused(log):
    fold = LogFold()
    fold.claims.max_claims = 2
    for number in range(4):
        claim = {"key": f"k{number}", "fingerprint": "f", "request_id": "r"}
        record = ClaimBatchRecord(
            record_id=f"c{number}", endpoint="s0", incarnation="s0-1", claims=[]
        )
        record.claims.append(Claim(**claim))
        log.append(record)
    log.read(fold)
    assert list(fold.claims.claim_by_key) == ["k2", "k3"]
    assert fold.claims.is_expired("k0")
    settings = ClaimSettings(endpoint="s1", incarnation="s1-1")
    controller = ClaimController(settings, fold, random.Random(1))
    actions = controller.handle_request(
        0.0, request_id="r", key="k0", fingerprint="f", deadline_s=9.0
    )
    assert get_refusal(actions) == (Code.KEY_EXPIRED, "unknown")


def test_writer_retries_until_the_log_responds_and_gives_up_at_the_deadline():
    writer = LogWriter(LogWriterSettings(), random.Random(1))
    record = make_configuration("a", 0, "r")
    (sent,) = writer.submit(0.0, record, give_up_s=5.0)
    writer.record_failure(1.0, "r")
    assert writer.tick(1.0) == []
    assert writer.tick(1.5) == [sent]
    assert isinstance(sent, SendAppend)
    writer.record_response("r", 7)
    assert writer.tick(4.0) == []
    assert writer.tick(5.0) == [AppendGivenUp(record_id="r", may_be_on_log=True)]
    assert writer.get_next_wake_s() == float("inf")


def test_steady_claims_are_appended_at_the_minimum_interval():
    batches = GroupCommit(wait_s=0.01, max_items=8, interval_s=0.1)
    taken = []
    for milliseconds in range(0, 1000, 5):
        now_s = milliseconds / 1000
        if milliseconds % 20 == 0:
            batches.add(now_s, milliseconds)
        items = batches.take(now_s)
        if items:
            taken.append(now_s)
    assert taken[0] == 0.01
    assert len(taken) <= 10

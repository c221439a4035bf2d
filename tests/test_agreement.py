"""The fold, claims, orders, snapshots and the log writer, case by case."""

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


class Log:
    def __init__(self):
        self.records = []
        self.first = 1

    def append(self, record):
        self.records.append(encode_record(record))

    def read(self, fold):
        events = []
        fold.observe_first_retained(self.first)
        while fold.next_offset <= len(self.records):
            offset = fold.next_offset
            events += fold.apply(LogEntry(offset, self.records[offset - 1]))
            fold.observe_first_retained(self.first)
        fold.observe_tail(len(self.records) + 1)
        return events


@pytest.fixture
def log():
    log = Log()
    log.append(registration("s0", "s0-1"))
    log.append(registration("s1", "s1-1"))
    log.append(registration("e0", "old"))
    return log


def registration(endpoint, incarnation, base=0):
    return RegistrationRecord(
        record_id=f"register-{incarnation}",
        endpoint=endpoint,
        pool="pool",
        incarnation=incarnation,
        base_registration=base,
    )


def subject(name, base, record_id, deleted=False):
    return ConfigurationRecord(
        record_id=record_id,
        subject=f"organisation/{name}",
        base_revision=base,
        document="{}",
        deleted=deleted,
        author=record_id,
    )


def kinds(events):
    return [type(event).__name__ for event in events]


def test_loser_is_told_the_winner_and_a_copy_changes_nothing(log):
    fold = LogFold()
    log.append(subject("a", 0, "ana"))
    log.append(subject("a", 0, "ben"))
    log.append(subject("a", 0, "ana"))
    accepted, rejected = log.read(fold)[-2:]
    assert accepted.record_id == "ana"
    assert (rejected.record_id, rejected.current_author) == ("ben", "ana")
    assert rejected.current_revision == accepted.revision


def test_late_record_does_not_restore_a_removed_subject(log):
    fold = LogFold()
    log.append(subject("a", 0, "created"))
    log.append(subject("a", 4, "removed", deleted=True))
    log.append(subject("a", 0, "late"))
    assert kinds(log.read(fold))[-1] == "SubjectRejected"
    assert fold.get_subject("organisation/a").deleted


@pytest.mark.parametrize(
    "data", [b"", b"\x93", encode_record(subject("a", 0, "r"))[:-4]]
)
def test_bad_record_is_counted_and_changes_nothing(log, data):
    fold = LogFold()
    log.records.append(data)
    assert kinds(log.read(fold))[-1] == "RecordIgnored"
    assert fold.ignored_records == 1
    assert fold.ready


def test_50_000_organisations_are_rebuilt_from_chunks(log):
    fold = LogFold()
    for number in range(50_000):
        log.append(subject(str(number), 0, f"r{number}"))
    log.read(fold)
    chunks = split_into_chunks(fold.get_state(), 256 << 10, random.Random(1))
    for chunk in chunks[:-1]:
        log.append(chunk)
    log.first = len(log.records) - len(chunks) + 2
    reader = LogFold()
    log.read(reader)
    assert len(chunks) > 10
    assert not reader.ready
    log.append(chunks[-1])
    log.append(subject("new", 0, "new"))
    log.read(reader)
    log.read(fold)
    assert reader.ready
    assert reader.get_state() == fold.get_state()


def write_snapshots(log, planners, seconds):
    for tick in range(int(seconds * 10)):
        for planner in planners:
            log.read(planner.fold)
        for planner in planners:
            for chunk in planner.tick(tick / 10):
                log.append(chunk)


def planners_of(log, count):
    settings = SnapshotSettings(
        retention_s=40.0, jitter_s=1e-6, chunk_bytes=200, chunks_per_s=10
    )
    planners = []
    for number in range(count):
        fold = LogFold()
        log.read(fold)
        planners.append(SnapshotPlanner(fold, settings, random.Random(number)))
    return planners


def started_late(log):
    fold = LogFold()
    log.first = 20
    log.read(fold)
    return fold


def test_one_of_many_snapshot_writers_goes_on(log):
    for number in range(40):
        log.append(subject(str(number), 0, f"r{number}"))
    write_snapshots(log, planners_of(log, 20), seconds=19.0)
    assert started_late(log).ready


def test_without_turns_snapshot_writers_displace_each_other(log, monkeypatch):
    monkeypatch.setattr(SnapshotPlanner, "get_other_snapshots", lambda self, now_s: [])
    for number in range(40):
        log.append(subject(str(number), 0, f"r{number}"))
    write_snapshots(log, planners_of(log, 20), seconds=19.0)
    assert not started_late(log).ready


def orders(log, checks_fencing, incarnation="new", reserves_weights=False):
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


def open_grant_of_old_process(log, models=()):
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
    log.append(registration("e0", "new", base=3))


@pytest.mark.parametrize(
    ("checks_fencing", "first_s"), [(True, 0.0), (False, LIFETIME_S + MARGIN_S)]
)
def test_older_grant_lapses_before_an_engine_that_checks_nothing_is_ordered(
    log, checks_fencing, first_s
):
    open_grant_of_old_process(log)
    controller = orders(log, checks_fencing)
    instants = [n / 10 for n in range(200) if controller.tick(n / 10)]
    assert instants[0] == pytest.approx(first_s)
    assert controller.change.wanted.role == "prefill"


def test_unsent_takeover_ends_only_when_the_engine_is_quiet(log):
    open_grant_of_old_process(log)
    controller = orders(log, checks_fencing=True)
    log.append(controller.tick(0.0)[0].record)
    for event in log.read(controller.fold):
        controller.on_event(0.1, event)
    busy = EngineState(role="mixed", models=[], changing=True)
    assert controller.observe_engine(LIFETIME_S + MARGIN_S + 1, busy) == []
    idle = EngineState(role="mixed", models=[])
    actions = controller.observe_engine(LIFETIME_S + MARGIN_S + 2, idle)
    assert actions[0].record.outcome == "abandoned"


def test_takeover_reserves_the_weights_it_loads(log):
    open_grant_of_old_process(log, models=["tutor"])
    controller = orders(log, checks_fencing=True, reserves_weights=True)
    assert controller.tick(0.0) == [ReserveWeights(artifacts=("tutor",))]
    assert controller.tick(0.1) == []
    (proposal,) = controller.handle_weights_reserved(0.2, ("tutor",))
    assert proposal.record.models == ["tutor"]


@pytest.mark.parametrize("is_guarded", [True, False])
def test_no_order_is_sent_after_the_lapse(log, monkeypatch, is_guarded):
    if not is_guarded:
        monkeypatch.setattr(
            OrderController, "compute_lapse_s", lambda *args: float("inf")
        )
    controller = orders(log, checks_fencing=False, incarnation="old")
    controller.observe_engine(0.0, EngineState(role="mixed", models=[]))
    log.append(controller.set_wanted_state(1.0, WantedState(role="decode"))[0].record)
    for event in log.read(controller.fold):
        controller.on_event(2.0, event)
    actions = controller.handle_drained(1.0 + LIFETIME_S)
    sent = [action for action in actions if isinstance(action, SendOrder)]
    assert len(sent) == (0 if is_guarded else 1)


def test_order_is_sent_only_before_the_lapse_and_ends_with_its_outcome(log):
    controller = orders(log, checks_fencing=True, incarnation="old")
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
def test_loads_wait_for_each_other_unless_the_pool_is_too_small(endpoints, expected):
    log, fold = Log(), LogFold()
    document = '{"pools": {"pool": {"kind": "engine", "min_decode": 1}}}'
    log.append(
        ConfigurationRecord(
            record_id="f", subject="fleet/default", base_revision=0, document=document
        )
    )
    for name in endpoints:
        log.append(registration(name, name))
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
    assert kinds(log.read(fold)) == expected


def claims(log, endpoint="s0"):
    fold = LogFold()
    log.read(fold)
    settings = ClaimSettings(
        endpoint=endpoint, incarnation=f"{endpoint}-1", batch_s=0.0, max_body_bytes=10
    )
    return ClaimController(settings, fold, random.Random(1))


def ask(controller, request_id, fingerprint="f", now_s=0.0):
    return controller.handle_request(
        now_s,
        request_id=request_id,
        key="k",
        fingerprint=fingerprint,
        deadline_s=now_s + 10.0,
    )


def land(log, actions):
    for action in actions:
        if isinstance(action, AppendRecord):
            log.append(action.record)


def deliver(log, controller, now_s=0.0):
    actions = []
    for event in log.read(controller.fold):
        actions += controller.on_event(now_s, event)
    return actions


def test_duplicates_at_two_sidecars_run_once_and_get_the_same_answer(log):
    first, second = claims(log), claims(log, "s1")
    land(log, ask(second, "r2"))
    land(log, ask(first, "r1"))
    assert deliver(log, second) == [RunRequest(request_id="r2")]
    assert deliver(log, first) == []
    land(log, second.handle_response(1.0, "r2", status=201, headers=[], body=b"seat"))
    land(log, second.tick(1.1))
    (reply,) = deliver(log, first, 1.2)
    assert (reply.request_id, reply.body, reply.replayed) == ("r1", b"seat", True)


def refusal_code(actions):
    (refused,) = [a for a in actions if isinstance(a, RefuseRequest)]
    return refused.refusal.code, refused.refusal.ran


def test_claim_that_lands_after_it_was_given_up_is_withdrawn(log):
    controller, other = claims(log), claims(log, "s1")
    late = ask(controller, "r1")
    given_up = controller.tick(5.0)
    assert refusal_code(given_up) == (Code.LOG_UNAVAILABLE, "not_run")
    land(log, late)
    withdrawal = deliver(log, controller, 6.0)
    assert not any(isinstance(action, RunRequest) for action in withdrawal)
    land(log, withdrawal)
    deliver(log, other, 6.0)
    land(log, ask(other, "r2", now_s=7.0))
    assert deliver(log, other, 7.1) == [RunRequest(request_id="r2")]


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
    first, second = claims(log), claims(log, "s1")
    land(log, ask(first, "r1"))
    deliver(log, first)
    if ending == "lost":
        land(log, first.handle_lost_response(1.0, "r1"))
    if ending == "superseded":
        log.append(registration("s0", "s0-2", base=1))
    if ending == "large":
        body = b"x" * 11
        land(log, first.handle_response(1.0, "r1", status=200, headers=[], body=body))
    land(log, first.tick(1.5))
    deliver(log, second, 2.0)
    fingerprint = "g" if ending == "other request" else "f"
    assert refusal_code(ask(second, "r2", fingerprint, now_s=2.0)) == expected


def test_outage_refuses_at_once_but_replays_what_is_known(log):
    controller = claims(log)
    land(log, ask(controller, "r1"))
    deliver(log, controller)
    land(log, controller.handle_response(1.0, "r1", status=200, headers=[], body=b"ok"))
    land(log, controller.tick(1.1))
    deliver(log, controller, 1.2)
    controller.log_available = False
    assert isinstance(ask(controller, "r2")[0], ReplyToRequest)
    actions = controller.handle_request(
        2.0, request_id="r3", key="new", fingerprint="f", deadline_s=9.0
    )
    assert refusal_code(actions) == (Code.LOG_UNAVAILABLE, "not_run")
    assert actions[0].refusal.retry_after_s > 0


def test_request_that_was_not_sent_frees_its_key(log):
    controller = claims(log)
    land(log, ask(controller, "r1"))
    deliver(log, controller)
    refusal = Refusal(Code.ENDPOINT_FAILED, "no connection", 1.0, "not_run")
    land(log, controller.handle_not_sent(1.0, "r1", refusal))
    land(log, controller.tick(1.1))
    deliver(log, controller, 1.2)
    land(log, ask(controller, "r2", now_s=2.0))
    assert deliver(log, controller, 2.1) == [RunRequest(request_id="r2")]


def test_old_keys_expire_alike_for_every_reader(log):
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
    assert refusal_code(actions) == (Code.KEY_EXPIRED, "unknown")


def test_writer_sends_again_until_read_back_and_gives_up_in_time():
    writer = LogWriter(LogWriterSettings(), random.Random(1))
    record = subject("a", 0, "r")
    (sent,) = writer.submit(0.0, record, give_up_s=5.0)
    writer.record_failure(1.0, "r")
    assert writer.tick(1.0) == []
    assert writer.tick(1.5) == [sent]
    assert isinstance(sent, SendAppend)
    writer.record_response("r", 7)
    assert writer.tick(4.0) == []
    assert writer.tick(5.0) == [AppendGivenUp(record_id="r", may_be_on_log=True)]
    assert writer.get_next_wake_s() == float("inf")


def test_a_steady_flow_of_claims_keeps_to_the_interval():
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

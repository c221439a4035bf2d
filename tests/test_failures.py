"""The promises under failures of real processes, seen from outside."""

import json
import signal
import threading
import uuid
from concurrent.futures import ThreadPoolExecutor

import httpcore
import pytest

import fleet as fleets
from fleet import Fleet, http, wait_for

LONG_TEXT = "Judge the extraction log of this trainee. " * 40
LONG_TOKENS = 120
MODEL = {"decode_step_s": 0.02, "decode_step_per_stream_s": 0.0}


@pytest.fixture(scope="module")
def running_fleet(tmp_path_factory):
    fleet = fleets.start_fleet(
        tmp_path_factory.mktemp("fleet"), engines=3, services=2, entries=2, **MODEL
    )
    yield fleet
    fleet.stop()


@pytest.fixture
def fleet(running_fleet):
    yield running_fleet
    running_fleet.heal()


@pytest.fixture(scope="module")
def whole_answer(running_fleet):
    answer = json.loads(running_fleet.chat(**long_request()).content)
    return answer["choices"][0]["message"]["content"]


def long_request():
    return {"text": LONG_TEXT, "max_tokens": LONG_TOKENS}


class Caller:
    """A caller of one streamed answer, in a thread of its own."""

    def __init__(self, fleet: Fleet, entry="entry-1", text=LONG_TEXT):
        self.url = fleet.url(entry, "/v1/chat/completions")
        self.body = json.dumps(
            {
                "model": "tutor",
                "messages": [{"role": "user", "content": text}],
                "max_tokens": LONG_TOKENS,
                "stream": True,
            }
        ).encode()
        self.pieces = []
        self.done = False
        self.error = None
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        try:
            with httpcore.stream("POST", self.url, content=self.body) as response:
                buffer = b""
                for part in response.iter_stream():
                    buffer += part
                    *events, buffer = buffer.split(b"\n\n")
                    for event in events:
                        self.take(event)
        except httpcore.NetworkError as error:
            self.error = error
        except httpcore.ProtocolError as error:
            self.error = error

    def take(self, event):
        data = event.removeprefix(b"data: ")
        if data == b"[DONE]":
            self.done = True
            return
        chunk = json.loads(data)
        if "error" in chunk:
            self.error = chunk["error"]
            return
        for choice in chunk["choices"]:
            self.pieces.append(choice["delta"].get("content") or "")

    @property
    def text(self):
        return "".join(self.pieces)

    def wait_for_tokens(self, count):
        wait_for(lambda: self.error or len(self.pieces) > count, "tokens")
        return self

    def finish(self):
        self.thread.join(fleets.BOUND_S)
        assert not self.thread.is_alive()
        return self


def serving_endpoint(fleet):
    """Return the engine that has a stream open."""

    def find():
        for name in fleet.engines():
            if fleet.counts(name)["open"]:
                return name
        return None

    return wait_for(find, "a stream on an engine")


def refusal_of(response):
    body = json.loads(response.content)
    return body["name"], body["ran"]


DISTURBANCES = {
    "engine crashes": lambda fleet, name: fleet.fault(name, crashed=True),
    "engine connection goes silent": lambda fleet, name: fleet.fault(name, silent=True),
    "nothing more reaches the engine": lambda fleet, name: fleet.stall(name, "up"),
    "nothing more leaves the engine": lambda fleet, name: fleet.stall(name, "down"),
    "engine freezes": lambda fleet, name: fleet.fault(name, frozen=True),
    "sidecar is killed": lambda fleet, name: fleet.kill(f"sidecar-{name}"),
    "sidecar is paused": lambda fleet, name: fleet.signal(
        f"sidecar-{name}", signal.SIGSTOP
    ),
    "sidecar is stopped": lambda fleet, name: fleet.signal(
        f"sidecar-{name}", signal.SIGTERM
    ),
}


@pytest.mark.parametrize("disturbance", DISTURBANCES)
def test_answer_stays_whole(fleet, whole_answer, disturbance):
    caller = Caller(fleet).wait_for_tokens(5)
    DISTURBANCES[disturbance](fleet, serving_endpoint(fleet))
    caller.finish()
    assert caller.error is None
    assert caller.done
    assert caller.text == whole_answer


def test_failures_together_and_twice(fleet, whole_answer):
    for _ in range(2):
        caller = Caller(fleet).wait_for_tokens(5)
        name = serving_endpoint(fleet)
        fleet.fault("log", outage=True)
        fleet.fault("instances", outage=True)
        fleet.kill(f"sidecar-{name}")
        other = next(engine for engine in fleet.engines() if engine != name)
        fleet.fault(other, crashed=True)
        caller.finish()
        assert caller.done
        assert caller.text == whole_answer
        fleet.heal()


def test_paused_sidecar_that_wakes_adds_nothing(fleet, whole_answer):
    caller = Caller(fleet).wait_for_tokens(5)
    name = serving_endpoint(fleet)
    fleet.signal(f"sidecar-{name}", signal.SIGSTOP)
    caller.wait_for_tokens(40)
    fleet.signal(f"sidecar-{name}", signal.SIGCONT)
    caller.finish()
    assert caller.done
    assert caller.text == whole_answer


def test_stopped_entry_finishes_its_answers(fleet, whole_answer):
    callers = [Caller(fleet) for _ in range(4)]
    for caller in callers:
        caller.wait_for_tokens(3)
    fleet.signal("entry-1", signal.SIGTERM)
    for caller in callers:
        caller.finish()
        assert caller.done
        assert caller.text == whole_answer
    assert fleet.processes["entry-1"].wait(fleets.BOUND_S) == 0
    assert fleet.chat("entry-2").status == 200


def test_killed_entry_frees_its_work(fleet):
    caller = Caller(fleet).wait_for_tokens(3)
    name = serving_endpoint(fleet)
    fleet.kill("entry-1")
    assert not caller.finish().done
    wait_for(lambda: fleet.counts(name)["open"] == 0, "the engine is free")
    assert fleet.chat("entry-2").status == 200


def test_caller_who_leaves_frees_the_engine(fleet):
    url = fleet.url("entry-1", "/v1/chat/completions")
    body = json.dumps(
        {
            "model": "tutor",
            "messages": [{"role": "user", "content": LONG_TEXT}],
            "max_tokens": LONG_TOKENS,
            "stream": True,
        }
    ).encode()
    with (
        httpcore.ConnectionPool() as pool,
        pool.stream("POST", url, content=body) as response,
    ):
        parts = response.iter_stream()
        next(parts)
        name = serving_endpoint(fleet)
    wait_for(lambda: fleet.counts(name)["open"] == 0, "the engine is free")


def test_log_outage_leaves_answers_and_refuses_bookings(fleet):
    fleet.fault("log", outage=True)
    assert fleet.chat().status == 200
    key = uuid.uuid4().hex

    def refused():
        response = fleet.book(key)
        return response if refusal_of(response)[0] == "log_unavailable" else None

    response = wait_for(refused, "a refusal for the outage")
    assert refusal_of(response) == ("log_unavailable", "not_run")
    assert dict(response.headers)[b"retry-after"]
    assert fleet.runs(key) == 0
    fleet.fault("log", outage=False)
    wait_for(lambda: fleet.book(key).status == 200, "a booking after the outage")
    assert fleet.runs(key) == 1


@pytest.mark.parametrize("fault", [{"lose_answers": 2}, {"delay_s": 0.3}])
def test_booking_runs_once_despite_the_log(fleet, fault):
    fleet.fault("log", **fault)
    key = uuid.uuid4().hex
    wait_for(lambda: fleet.book(key).status == 200, "a booking")
    assert fleet.runs(key) == 1


def test_append_that_lands_late_runs_nothing_twice(fleet):
    fleet.fault("log", late_appends=1, late_s=4.0)
    key = uuid.uuid4().hex
    answers = [fleet.book(key)]
    wait_for(lambda: answers.append(fleet.book(key)) or answers[-1].status == 200)
    for answer in answers:
        assert answer.status == 200 or refusal_of(answer)[1] == "not_run"
    wait_for(lambda: fleet.counts("log")["waiting_late"] == 0, "the late append")
    assert fleet.book(key).status == 200
    assert fleet.runs(key) == 1


def test_stopped_sidecar_of_a_service_cuts_no_booking(fleet):
    for name in fleet.services():
        fleet.fault(name, delay_s=1.0)
    keys = [uuid.uuid4().hex for _ in range(8)]
    with ThreadPoolExecutor(len(keys)) as pool:
        answers = [pool.submit(fleet.book, key) for key in keys]
        name = wait_for(lambda: fleet.running_service(), "a running booking")
        fleet.signal(f"sidecar-{name}", signal.SIGTERM)
        assert [answer.result().status for answer in answers] == [200] * len(keys)
    assert [fleet.runs(key) for key in keys] == [1] * len(keys)


def test_duplicates_at_once_through_two_entries(fleet):
    key = uuid.uuid4().hex
    with ThreadPoolExecutor(6) as pool:
        answers = list(
            pool.map(lambda n: fleet.book(key, f"entry-{n % 2 + 1}"), range(6))
        )
    assert [answer.status for answer in answers] == [200] * 6
    assert len({answer.content for answer in answers}) == 1
    assert fleet.runs(key) == 1


def test_key_of_another_request_is_refused(fleet):
    key = uuid.uuid4().hex
    assert fleet.book(key).status == 200
    response = fleet.book(key, body=b'{"seat": 2}')
    assert refusal_of(response) == ("key_reused", "not_run")


def test_lost_answer_of_the_service_is_unknown_for_good(fleet):
    for name in fleet.services():
        fleet.fault(name, lose_answers=1)
    key = uuid.uuid4().hex
    assert refusal_of(fleet.book(key)) == ("outcome_unknown", "unknown")
    for entry in fleet.entry_addresses:
        assert refusal_of(fleet.book(key, entry)) == ("outcome_unknown", "unknown")
    assert fleet.runs(key) == 1


def test_killed_sidecar_of_a_booking_leaves_it_unknown(fleet):
    for name in fleet.services():
        fleet.fault(name, delay_s=2.0)
    key = uuid.uuid4().hex
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(fleet.book, key)
        name = wait_for(lambda: fleet.running_service(), "a running booking")
        fleet.kill(f"sidecar-{name}")
        fleet.restart(f"sidecar-{name}")
        answer = first.result()
    assert refusal_of(answer)[1] == "unknown"
    assert refusal_of(fleet.book(key))[1] == "unknown"
    assert fleet.runs(key) == 1


def test_leaving_endpoint_gets_no_new_work(fleet):
    name = fleet.engines()[0]
    fleet.set_listed(name, "leaving")
    wait_for(lambda: not fleet.usable_at("entry-1", name), "the endpoint is left")
    fleet.fault("instances", flapping=[name])
    before = fleet.counts(name)["requests"]
    for _ in range(12):
        assert fleet.chat().status == 200
    assert fleet.counts(name)["requests"] == before
    fleet.kill(f"sidecar-{name}")


def test_crashed_sidecar_is_left_and_comes_back(fleet):
    name = fleet.engines()[0]
    fleet.kill(f"sidecar-{name}")
    wait_for(lambda: not fleet.usable_at("entry-1", name), "the endpoint is left")
    fleet.restart(f"sidecar-{name}")
    wait_for(lambda: fleet.usable_at("entry-1", name), "the endpoint is back")


def test_of_racing_operators_one_wins_everywhere(fleet):
    subject = "organisation/school"
    base = fleet.revision_of(subject)
    offsets = [
        fleet.append(subject, fleets.ORGANISATION, base_revision=base) for _ in range(2)
    ]
    for entry in fleet.entry_addresses:
        wait_for(lambda entry=entry: fleet.status(entry)["revision"] >= offsets[1])
        assert fleet.revision_of(subject, entry) == offsets[0]


def test_configuration_survives_a_restart_of_an_entry(fleet):
    subject = "organisation/school"
    offset = fleet.append(
        subject, fleets.ORGANISATION, base_revision=fleet.revision_of(subject)
    )
    fleet.kill("entry-2")
    fleet.restart("entry-2")
    wait_for(lambda: fleet.is_ready("entry-2"), "the entry is ready")
    assert fleet.revision_of(subject, "entry-2") == offset


def test_engine_that_crashes_in_a_change_ends_as_wanted(fleet):
    name = fleet.engines()[0]
    fleet.fault(name, crash_on_order=True)
    fleet.publish_version("v2")
    wait_for(lambda: fleet.faults(name)["crashed"], "the crash")
    fleet.fault(name, crashed=False, crash_on_order=False)
    for engine in fleet.engines():
        wait_for(
            lambda engine=engine: fleet.engine_state(engine)["version"] == "v2",
            f"{engine} has the version",
        )
    assert fleet.chat().status == 200


def test_model_is_loaded_only_once_the_weight_store_allows_it(fleet):
    fleet.fault("weights", outage=True)
    fleet.publish_pool(models=["tutor", "festival"], artifact_bytes={"festival": 1})
    wait_for(
        lambda: (
            "Weight store unavailable"
            in "".join(fleet.log_text(f"sidecar-{name}") for name in fleet.engines())
        ),
        "a failed reservation",
    )
    for _ in range(12):
        assert fleet.chat().status == 200
    for engine in fleet.engines():
        assert fleet.engine_state(engine)["models"] == ["tutor"]
    fleet.fault("weights", outage=False)
    for engine in fleet.engines():
        wait_for(
            lambda engine=engine: "festival" in fleet.engine_state(engine)["models"],
            f"{engine} has the model",
        )


def test_changes_of_loaded_engines_cut_no_answer(fleet, whole_answer):
    callers = [Caller(fleet, entry) for entry in fleet.entry_addresses for _ in "ab"]
    for caller in callers:
        caller.wait_for_tokens(3)
    fleet.publish_version("v2b")
    for caller in callers:
        caller.finish()
        assert caller.done
        assert caller.text == whole_answer
    for engine in fleet.engines():
        wait_for(
            lambda engine=engine: fleet.engine_state(engine)["version"] == "v2b",
            f"{engine} has the version",
        )


def test_sidecar_that_was_replaced_while_paused_gives_no_orders(fleet):
    name = fleet.engines()[0]
    old = f"sidecar-{name}"
    fleet.signal(old, signal.SIGSTOP)
    fleet.processes["paused"] = fleet.processes.pop(old)
    fleet.start_sidecar(name, "engine", 1)
    wait_for(lambda: fleet.is_ready(name), "the new sidecar is ready")
    fleet.publish_version("v3")
    wait_for(lambda: fleet.engine_state(name)["version"] == "v3", "the version")
    orders = len(fleet.counts(name)["orders"])
    fleet.signal("paused", signal.SIGCONT)
    assert fleet.chat().status == 200
    fleet.publish_version("v4")
    wait_for(lambda: fleet.engine_state(name)["version"] == "v4", "the version")
    assert len(fleet.counts(name)["orders"]) == orders + 1
    assert fleet.processes["paused"].wait(fleets.BOUND_S) == 0


def test_entry_that_starts_after_the_retention_reads_a_snapshot(tmp_path):
    fleet = fleets.start_fleet(
        tmp_path, engines=1, services=1, entries=2, retention_s=4.0
    )
    try:
        subject = "organisation/school"
        offset = fleet.revision_of(subject)
        wait_for(lambda: fleet.counts("log")["first"] > offset, "the record expired")
        fleet.kill("entry-2")
        fleet.restart("entry-2")
        wait_for(lambda: fleet.is_ready("entry-2"), "the entry is ready")
        assert fleet.revision_of(subject, "entry-2") == offset
        wait_for(lambda: fleet.chat("entry-2").status == 200, "an answer")
    finally:
        fleet.stop()


def test_wrong_method_and_bad_body_are_numbered_errors(fleet):
    url = fleet.url("entry-1", "/v1/chat/completions")
    assert refusal_of(http("GET", url)) == ("wrong_method", "not_run")
    assert refusal_of(http("POST", url, body=b"{")) == ("bad_json", "not_run")

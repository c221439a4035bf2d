"""Tests of a fleet of processes under failures, through its public interface."""

import json
import signal
import socket
import threading
import uuid
from concurrent.futures import ThreadPoolExecutor

import httpcore
import pytest

import fleet as fleets
from fleet import Fleet, send_http, wait_for

LONG_TEXT = "Judge the extraction log of this trainee. " * 40
LONG_TOKENS = 120
ENGINE_MODEL = {"decode_step_s": 0.02, "decode_step_per_stream_s": 0.0}


@pytest.fixture(scope="module")
def running_fleet(tmp_path_factory):
    fleet = fleets.start_fleet(
        tmp_path_factory.mktemp("fleet"),
        engines=3,
        services=2,
        entries=2,
        **ENGINE_MODEL,
    )
    yield fleet
    fleet.stop()


@pytest.fixture
def fleet(running_fleet):
    yield running_fleet
    running_fleet.recover()


@pytest.fixture(scope="module")
def expected_answer(running_fleet):
    completion = json.loads(running_fleet.chat(**build_long_request()).content)
    return completion["choices"][0]["message"]["content"]


def build_long_request():
    return {"text": LONG_TEXT, "max_tokens": LONG_TOKENS}


class Caller:
    """Caller that reads one streamed answer in a thread of its own."""

    def __init__(self, fleet: Fleet, entry="entry-1", text=LONG_TEXT):
        self.url = fleet.build_url(entry, "/v1/chat/completions")
        self.body = json.dumps(
            {
                "model": "tutor",
                "messages": [{"role": "user", "content": text}],
                "max_tokens": LONG_TOKENS,
                "stream": True,
            }
        ).encode()
        self.texts = []
        self.done = False
        self.error = None
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        try:
            with httpcore.stream("POST", self.url, content=self.body) as response:
                buffer = b""
                for data in response.iter_stream():
                    buffer += data
                    *events, buffer = buffer.split(b"\n\n")
                    for event in events:
                        self.handle_event(event)
        except httpcore.NetworkError as error:
            self.error = error
        except httpcore.ProtocolError as error:
            self.error = error

    def handle_event(self, event):
        data = event.removeprefix(b"data: ")
        if data == b"[DONE]":
            self.done = True
            return
        chunk = json.loads(data)
        if "error" in chunk:
            self.error = chunk["error"]
            return
        for choice in chunk["choices"]:
            self.texts.append(choice["delta"].get("content") or "")

    @property
    def text(self):
        return "".join(self.texts)

    def wait_for_tokens(self, count):
        wait_for(lambda: self.error or len(self.texts) > count, "tokens")
        return self

    def finish(self):
        self.thread.join(fleets.TIMEOUT_S)
        assert not self.thread.is_alive()
        return self


def find_serving_engine(fleet):
    """Return the name of an engine that has an open stream."""

    def find():
        for name in fleet.list_engines():
            if fleet.get_counts(name)["open"]:
                return name
        return None

    return wait_for(find, "a stream on an engine")


def decode_refusal(response):
    body = json.loads(response.content)
    return body["name"], body["ran"]


FAULTS = {
    "engine crashes": lambda fleet, name: fleet.set_faults(name, crashed=True),
    "engine connection goes silent": lambda fleet, name: fleet.set_faults(
        name, silent=True
    ),
    "data to the engine is lost": lambda fleet, name: fleet.stall(name, "up"),
    "data from the engine is lost": lambda fleet, name: fleet.stall(name, "down"),
    "engine freezes": lambda fleet, name: fleet.set_faults(name, frozen=True),
    "sidecar is killed": lambda fleet, name: fleet.kill(f"sidecar-{name}"),
    "sidecar is paused": lambda fleet, name: fleet.send_signal(
        f"sidecar-{name}", signal.SIGSTOP
    ),
    "sidecar is stopped": lambda fleet, name: fleet.send_signal(
        f"sidecar-{name}", signal.SIGTERM
    ),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_answer_is_complete_after_a_fault(fleet, expected_answer, fault):
    caller = Caller(fleet).wait_for_tokens(5)
    FAULTS[fault](fleet, find_serving_engine(fleet))
    caller.finish()
    assert caller.error is None
    assert caller.done
    assert caller.text == expected_answer


def test_answer_is_complete_after_simultaneous_and_repeated_failures(
    fleet, expected_answer
):
    for _ in range(2):
        caller = Caller(fleet).wait_for_tokens(5)
        name = find_serving_engine(fleet)
        fleet.set_faults("log", outage=True)
        fleet.set_faults("instances", outage=True)
        fleet.kill(f"sidecar-{name}")
        other = next(engine for engine in fleet.list_engines() if engine != name)
        fleet.set_faults(other, crashed=True)
        caller.finish()
        assert caller.done
        assert caller.text == expected_answer
        fleet.recover()


def test_resumed_sidecar_adds_nothing_to_the_answer(fleet, expected_answer):
    caller = Caller(fleet).wait_for_tokens(5)
    name = find_serving_engine(fleet)
    fleet.send_signal(f"sidecar-{name}", signal.SIGSTOP)
    caller.wait_for_tokens(40)
    fleet.send_signal(f"sidecar-{name}", signal.SIGCONT)
    caller.finish()
    assert caller.done
    assert caller.text == expected_answer


def test_stopped_entry_completes_its_streams(fleet, expected_answer):
    callers = [Caller(fleet) for _ in range(4)]
    for caller in callers:
        caller.wait_for_tokens(3)
    fleet.send_signal("entry-1", signal.SIGTERM)
    for caller in callers:
        caller.finish()
        assert caller.done
        assert caller.text == expected_answer
    assert fleet.processes["entry-1"].wait(fleets.TIMEOUT_S) == 0
    assert fleet.chat("entry-2").status == 200


def test_engine_cancels_the_work_of_a_killed_entry(fleet):
    caller = Caller(fleet).wait_for_tokens(3)
    name = find_serving_engine(fleet)
    fleet.kill("entry-1")
    assert not caller.finish().done
    wait_for(
        lambda: fleet.get_counts(name)["open"] == 0, "no open stream on the engine"
    )
    assert fleet.chat("entry-2").status == 200


def test_engine_cancels_the_work_of_a_disconnected_caller(fleet):
    url = fleet.build_url("entry-1", "/v1/chat/completions")
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
        chunks = response.iter_stream()
        next(chunks)
        name = find_serving_engine(fleet)
    wait_for(
        lambda: fleet.get_counts(name)["open"] == 0, "no open stream on the engine"
    )


def test_log_outage_refuses_bookings_but_not_generations(fleet):
    fleet.set_faults("log", outage=True)
    assert fleet.chat().status == 200
    key = uuid.uuid4().hex

    def find_refusal():
        response = fleet.book(key)
        return response if decode_refusal(response)[0] == "log_unavailable" else None

    response = wait_for(find_refusal, "a refusal for the outage")
    assert decode_refusal(response) == ("log_unavailable", "not_run")
    assert dict(response.headers)[b"retry-after"]
    assert fleet.count_runs(key) == 0
    fleet.set_faults("log", outage=False)
    wait_for(lambda: fleet.book(key).status == 200, "a booking after the outage")
    assert fleet.count_runs(key) == 1


@pytest.mark.parametrize("fault", [{"lose_answers": 2}, {"delay_s": 0.3}])
def test_booking_runs_once_when_the_log_loses_or_delays_responses(fleet, fault):
    fleet.set_faults("log", **fault)
    key = uuid.uuid4().hex
    wait_for(lambda: fleet.book(key).status == 200, "a booking")
    assert fleet.count_runs(key) == 1


def test_late_append_does_not_run_a_booking_twice(fleet):
    fleet.set_faults("log", late_appends=1, late_s=4.0)
    key = uuid.uuid4().hex
    responses = [fleet.book(key)]
    wait_for(lambda: responses.append(fleet.book(key)) or responses[-1].status == 200)
    for response in responses:
        assert response.status == 200 or decode_refusal(response)[1] == "not_run"
    wait_for(lambda: fleet.get_counts("log")["waiting_late"] == 0, "the late append")
    assert fleet.book(key).status == 200
    assert fleet.count_runs(key) == 1


def test_stopped_service_sidecar_completes_its_bookings(fleet):
    for name in fleet.list_services():
        fleet.set_faults(name, delay_s=1.0)
    keys = [uuid.uuid4().hex for _ in range(8)]
    with ThreadPoolExecutor(len(keys)) as pool:
        responses = [pool.submit(fleet.book, key) for key in keys]
        name = wait_for(lambda: fleet.find_running_service(), "a running booking")
        fleet.send_signal(f"sidecar-{name}", signal.SIGTERM)
        assert [response.result().status for response in responses] == [200] * len(keys)
    assert [fleet.count_runs(key) for key in keys] == [1] * len(keys)


def test_concurrent_duplicates_at_two_entries_run_once(fleet):
    key = uuid.uuid4().hex
    with ThreadPoolExecutor(6) as pool:
        responses = list(
            pool.map(
                lambda number: fleet.book(key, f"entry-{number % 2 + 1}"), range(6)
            )
        )
    assert [response.status for response in responses] == [200] * 6
    assert len({response.content for response in responses}) == 1
    assert fleet.count_runs(key) == 1


def test_key_of_a_different_request_is_refused(fleet):
    key = uuid.uuid4().hex
    assert fleet.book(key).status == 200
    response = fleet.book(key, body=b'{"seat": 2}')
    assert decode_refusal(response) == ("key_reused", "not_run")


def test_outcome_stays_unknown_after_a_lost_service_response(fleet):
    for name in fleet.list_services():
        fleet.set_faults(name, lose_answers=1)
    key = uuid.uuid4().hex
    assert decode_refusal(fleet.book(key)) == ("outcome_unknown", "unknown")
    for entry in fleet.entry_addresses:
        assert decode_refusal(fleet.book(key, entry)) == ("outcome_unknown", "unknown")
    assert fleet.count_runs(key) == 1


def test_outcome_is_unknown_after_the_sidecar_is_killed(fleet):
    for name in fleet.list_services():
        fleet.set_faults(name, delay_s=2.0)
    key = uuid.uuid4().hex
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(fleet.book, key)
        name = wait_for(lambda: fleet.find_running_service(), "a running booking")
        fleet.kill(f"sidecar-{name}")
        fleet.restart(f"sidecar-{name}")
        response = first.result()
    assert decode_refusal(response)[1] == "unknown"
    assert decode_refusal(fleet.book(key))[1] == "unknown"
    assert fleet.count_runs(key) == 1


def test_leaving_endpoint_receives_no_new_requests(fleet):
    name = fleet.list_engines()[0]
    fleet.set_listed_state(name, "leaving")
    wait_for(lambda: not fleet.is_usable_at("entry-1", name), "the endpoint unusable")
    fleet.set_faults("instances", flapping=[name])
    request_count = fleet.get_counts(name)["requests"]
    for _ in range(12):
        assert fleet.chat().status == 200
    assert fleet.get_counts(name)["requests"] == request_count
    fleet.kill(f"sidecar-{name}")


def test_crashed_sidecar_is_excluded_until_it_restarts(fleet):
    name = fleet.list_engines()[0]
    fleet.kill(f"sidecar-{name}")
    wait_for(lambda: not fleet.is_usable_at("entry-1", name), "the endpoint unusable")
    fleet.restart(f"sidecar-{name}")
    wait_for(lambda: fleet.is_usable_at("entry-1", name), "the endpoint usable")


def test_one_of_two_concurrent_publications_wins_at_every_entry(fleet):
    subject = "organisation/school"
    base_revision = fleet.get_revision(subject)
    offsets = [
        fleet.append(subject, fleets.ORGANISATION, base_revision=base_revision)
        for _ in range(2)
    ]
    for entry in fleet.entry_addresses:
        wait_for(lambda entry=entry: fleet.get_status(entry)["revision"] >= offsets[1])
        assert fleet.get_revision(subject, entry) == offsets[0]


def test_configuration_survives_a_restart_of_an_entry(fleet):
    subject = "organisation/school"
    offset = fleet.append(
        subject, fleets.ORGANISATION, base_revision=fleet.get_revision(subject)
    )
    fleet.kill("entry-2")
    fleet.restart("entry-2")
    wait_for(lambda: fleet.is_ready("entry-2"), "the entry ready")
    assert fleet.get_revision(subject, "entry-2") == offset


def test_engine_that_crashes_during_a_change_reaches_the_wanted_version(fleet):
    name = fleet.list_engines()[0]
    fleet.set_faults(name, crash_on_order=True)
    fleet.publish_version("v2")
    wait_for(lambda: fleet.get_faults(name)["crashed"], "the crash")
    fleet.set_faults(name, crashed=False, crash_on_order=False)
    for engine in fleet.list_engines():
        wait_for(
            lambda engine=engine: fleet.get_engine_state(engine)["version"] == "v2",
            f"the version on {engine}",
        )
    assert fleet.chat().status == 200


def test_model_is_loaded_only_after_the_weight_store_reserves_it(fleet):
    fleet.set_faults("weights", outage=True)
    fleet.publish_pool(models=["tutor", "festival"], artifact_bytes={"festival": 1})
    wait_for(
        lambda: (
            "Weight store unavailable"
            in "".join(
                fleet.read_log(f"sidecar-{name}") for name in fleet.list_engines()
            )
        ),
        "a failed reservation",
    )
    for _ in range(12):
        assert fleet.chat().status == 200
    for engine in fleet.list_engines():
        assert fleet.get_engine_state(engine)["models"] == ["tutor"]
    fleet.set_faults("weights", outage=False)
    for engine in fleet.list_engines():
        wait_for(
            lambda engine=engine: (
                "festival" in fleet.get_engine_state(engine)["models"]
            ),
            f"the model on {engine}",
        )


def test_version_changes_interrupt_no_answer(fleet, expected_answer):
    callers = [Caller(fleet, entry) for entry in fleet.entry_addresses for _ in "ab"]
    for caller in callers:
        caller.wait_for_tokens(3)
    fleet.publish_version("v2b")
    for caller in callers:
        caller.finish()
        assert caller.done
        assert caller.text == expected_answer
    for engine in fleet.list_engines():
        wait_for(
            lambda engine=engine: fleet.get_engine_state(engine)["version"] == "v2b",
            f"the version on {engine}",
        )


def test_sidecar_that_was_replaced_while_paused_sends_no_orders(fleet):
    name = fleet.list_engines()[0]
    old_sidecar = f"sidecar-{name}"
    fleet.send_signal(old_sidecar, signal.SIGSTOP)
    fleet.processes["paused"] = fleet.processes.pop(old_sidecar)
    fleet.start_sidecar(name, "engine", 1)
    wait_for(lambda: fleet.is_ready(name), "the new sidecar ready")
    fleet.publish_version("v3")
    wait_for(lambda: fleet.get_engine_state(name)["version"] == "v3", "the version")
    order_count = len(fleet.get_counts(name)["orders"])
    fleet.send_signal("paused", signal.SIGCONT)
    assert fleet.chat().status == 200
    fleet.publish_version("v4")
    wait_for(lambda: fleet.get_engine_state(name)["version"] == "v4", "the version")
    assert len(fleet.get_counts(name)["orders"]) == order_count + 1
    assert fleet.processes["paused"].wait(fleets.TIMEOUT_S) == 0


def test_entry_that_starts_after_the_retention_period_reads_a_snapshot(tmp_path):
    fleet = fleets.start_fleet(
        tmp_path, engines=1, services=1, entries=2, retention_s=4.0
    )
    try:
        subject = "organisation/school"
        offset = fleet.get_revision(subject)
        wait_for(
            lambda: fleet.get_counts("log")["first"] > offset, "expiry of the record"
        )
        fleet.kill("entry-2")
        fleet.restart("entry-2")
        wait_for(lambda: fleet.is_ready("entry-2"), "the entry ready")
        assert fleet.get_revision(subject, "entry-2") == offset
        wait_for(lambda: fleet.chat("entry-2").status == 200, "an answer")
    finally:
        fleet.stop()


def test_fleet_that_lacks_a_process_does_not_start(tmp_path, monkeypatch):
    start = Fleet.start

    def start_without_service(fleet, name, settings, *arguments):
        if name == "enrolment-1":
            host, _, port = settings["listen"].partition(":")
            other_server.bind((host, int(port)))
        start(fleet, name, settings, *arguments)

    monkeypatch.setattr(Fleet, "start", start_without_service)
    with (
        socket.socket() as other_server,
        pytest.raises(AssertionError, match=r"enrolment-1 ended: .*in use"),
    ):
        fleets.start_fleet(tmp_path, engines=1, services=1, entries=1)


def test_wrong_method_and_bad_body_return_error_codes(fleet):
    url = fleet.build_url("entry-1", "/v1/chat/completions")
    assert decode_refusal(send_http("GET", url)) == ("wrong_method", "not_run")
    assert decode_refusal(send_http("POST", url, body=b"{")) == ("bad_json", "not_run")

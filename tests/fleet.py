"""A small fleet of real processes on loopback, for tests that cause failures."""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
import uuid

import httpcore
import yaml

from jasminewalk.generated_records import ConfigurationRecord
from jasminewalk.transport.codec import encode_record
from relay import Relay

BOUND_S = 60.0
POLL_S = 0.05
KEY = "fleet-shared-key-0123456789"
PLATFORM = ("log", "instances", "weights")
FIRST_PORT = 20000
LAST_PORT = 32000
DOMAINS = ("norte-oviedo", "norte-santander", "norte-coruna")
PEERS = {"shared_key": KEY, "heartbeat_s": 0.25, "suspect_s": 1.0}
ORGANISATION = {
    "template": "school",
    "version": 1,
    "parameters": {},
}
TEMPLATE = {
    "versions": {
        "1": {
            "parameters": {},
            "organisation": {
                "classes": {
                    "helper": {"deadline_s": 30, "first_token_s": 20},
                    "booking": {"deadline_s": 20},
                },
                "models": {"tutor": {"pool": "tutor", "request_class": "helper"}},
                "services": {
                    "enrolment": {
                        "pool": "enrolment",
                        "request_class": "booking",
                        "repeatable": ["GET /"],
                    }
                },
            },
        }
    }
}
FLEET = {
    "pools": {
        "tutor": {"kind": "engine", "models": ["tutor"], "min_decode": 1},
        "enrolment": {"kind": "service"},
    }
}

SPREAD = 997

_first = FIRST_PORT + (os.getpid() % 12) * SPREAD
_ports = itertools.chain(range(_first, LAST_PORT), range(FIRST_PORT, _first))


def free_port():
    """Return a port that is free and was not returned before."""
    for port in _ports:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def address():
    return f"127.0.0.1:{free_port()}"


def wait_for(condition, what="the condition", bound_s=BOUND_S):
    end_s = time.monotonic() + bound_s
    while time.monotonic() < end_s:
        try:
            value = condition()
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            value = None
        if value:
            return value
        time.sleep(POLL_S)
    raise AssertionError(f"{what} did not hold within {bound_s} s")


def http(method, url, value=None, *, body=b"", headers=(), timeout_s=BOUND_S):
    content = json.dumps(value).encode() if value is not None else body
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
    return httpcore.request(
        method,
        url,
        headers=list(headers),
        content=content,
        extensions={"timeout": timeouts},
    )


def http_json(method, url, value=None, **kwargs):
    response = http(method, url, value, **kwargs)
    return json.loads(response.content)


class Fleet:
    def __init__(self, folder, retention_s=0.0):
        self.folder = folder
        self.retention_s = retention_s
        self.processes = {}
        self.addresses = {}
        self.controls = {}
        self.entry_addresses = {}
        self.revisions = {}
        self.relays = {}

    def command(self, name, settings, *words):
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        return [sys.executable, "-m", "jasminewalk", *words, "--settings", str(path)]

    def start(self, name, settings, *words):
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                self.command(name, settings, *words), stdout=log, stderr=log
            )
        self.revisions[name] = (settings, words)

    def restart(self, name):
        settings, words = self.revisions[name]
        self.start(name, settings, *words)

    def log_text(self, name):
        return (self.folder / f"{name}.log").read_text(encoding="utf-8")

    def start_platform(self):
        for kind in PLATFORM:
            self.addresses[kind] = address()
            settings = {"listen": self.addresses[kind]}
            if kind == "instances":
                settings["lag_s"] = 0.2
            elif kind == "log" and self.retention_s:
                settings["retention_s"] = self.retention_s
            self.start(kind, settings, "standin", kind)
        for kind in PLATFORM:
            wait_for(lambda kind=kind: self.counts(kind) is not None, kind)

    def log_settings(self):
        settings = {
            "address": self.addresses["log"],
            "timeout_s": 1.0,
            "poll_wait_s": 0.5,
        }
        if self.retention_s:
            settings["retention_s"] = self.retention_s
        return settings

    def start_endpoint(self, kind, number, **model):
        name = f"{'tutor' if kind == 'engine' else 'enrolment'}-{number}"
        self.addresses[name] = address()
        settings = {"listen": self.addresses[name]}
        if kind == "engine":
            checks = model.pop("checks_fencing", True)
            settings["model"] = {
                "models": ["tutor"],
                "role_change_s": 0.5,
                "version_change_s": 0.5,
                "model_load_s": 0.5,
                "report_lag_s": 0.1,
                "checks_fencing": checks,
                **model,
            }
        self.start(name, settings, "standin", kind)
        self.start_sidecar(name, kind, number, model.get("checks_fencing", True))

    def start_sidecar(self, name, kind, number, checks_fencing=True):
        listen, control, operators = address(), address(), address()
        self.controls[name] = operators
        settings = {
            "name": name,
            "kind": kind,
            "pool": name.rsplit("-", 1)[0],
            "failure_domain": DOMAINS[number % len(DOMAINS)],
            "listen": listen,
            "control_listen": control,
            "metrics_listen": operators,
            "endpoint_address": self.relayed(name),
            "log": self.log_settings(),
            "weights_address": self.addresses["weights"],
            "peers": PEERS,
            "checks_fencing": checks_fencing,
            "report_s": 0.1,
            "progress_timeout_s": 1.5,
            "grant_lifetime_s": 5.0,
        }
        self.start(f"sidecar-{name}", settings, "sidecar")
        self.list_instance(
            name=name,
            kind=kind,
            address=listen,
            control_address=control,
            pool=settings["pool"],
            failure_domain=settings["failure_domain"],
            state="live",
        )

    def relayed(self, name):
        """Return the address of a relay in front of an endpoint."""
        if name not in self.relays:
            near = address()
            self.relays[name] = (Relay(near, self.addresses[name]), near)
        return self.relays[name][1]

    def stall(self, name, way):
        self.relays[name][0].stall(way)

    def start_entry(self, number, **changes):
        name = f"entry-{number}"
        self.entry_addresses[name] = address()
        self.controls[name] = address()
        settings = {
            "name": name,
            "failure_domain": DOMAINS[number % len(DOMAINS)],
            "listen": self.entry_addresses[name],
            "control_listen": self.controls[name],
            "log": self.log_settings(),
            "instances_address": self.addresses["instances"],
            "instances_poll_s": 0.2,
            "peers": PEERS,
            "progress_timeout_s": 2.0,
            **changes,
        }
        self.start(name, settings, "entry")
        self.list_instance(
            name=name,
            kind="entry",
            address=settings["listen"],
            control_address=settings["control_listen"],
            failure_domain=settings["failure_domain"],
            state="live",
        )

    def list_instance(self, **row):
        url = f"http://{self.addresses['instances']}/instances/{row['name']}"
        assert http("PUT", url, row).status == 200

    def append(self, subject, document, base_revision=0):
        record = ConfigurationRecord(
            record_id=uuid.uuid4().hex,
            subject=subject,
            base_revision=base_revision,
            document=json.dumps(document),
            author="test",
            reason="test",
        )
        url = f"http://{self.addresses['log']}/records"
        return http_json("POST", url, body=encode_record(record))["offset"]

    def publish(self):
        self.append("fleet/default", FLEET)
        self.append("template/school", TEMPLATE)
        return self.append("organisation/school", ORGANISATION)

    def fault(self, name, **faults):
        url = f"http://{self.addresses[name]}/faults"
        assert http("PUT", url, faults).status == 200

    def counts(self, name):
        return http_json("GET", f"http://{self.addresses[name]}/counts", timeout_s=2.0)

    def status(self, name):
        return http_json("GET", f"http://{self.controls[name]}/status", timeout_s=2.0)

    def is_ready(self, name):
        url = f"http://{self.controls[name]}/readyz"
        return http("GET", url, timeout_s=2.0).status == 200

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for relay, _ in self.relays.values():
            relay.close()

    def url(self, entry, path):
        return f"http://{self.entry_addresses[entry]}/organisations/school{path}"

    def chat(self, entry="entry-1", text="What is a flat white?", **fields):
        value = {
            "model": "tutor",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 16,
            **fields,
        }
        return http("POST", self.url(entry, "/v1/chat/completions"), value)

    def book(self, key, entry="entry-1", body=b'{"seat": 1}', timeout_s=BOUND_S):
        headers = [("Idempotency-Key", key)] if key else []
        url = self.url(entry, "/services/enrolment/bookings")
        return http("POST", url, body=body, headers=headers, timeout_s=timeout_s)

    def runs(self, key):
        names = [name for name in self.addresses if name.startswith("enrolment-")]
        return sum(self.counts(name).get(key, 0) for name in names)

    def engines(self):
        return sorted(name for name in self.addresses if name.startswith("tutor-"))

    def services(self):
        return sorted(name for name in self.addresses if name.startswith("enrolment-"))

    def running_service(self):
        for name in self.services():
            if self.status(name)["report"]["running"]:
                return name
        return None

    def set_listed(self, name, state):
        rows = http_json("GET", f"http://{self.addresses['instances']}/instances")
        [row] = [row for row in rows if row["name"] == name]
        self.list_instance(**{**row, "state": state})

    def usable_at(self, entry, name):
        rows = self.status(entry)["endpoints"]
        return any(row["endpoint"] == name and row["usable"] for row in rows)

    def revision_of(self, subject, entry="entry-1"):
        url = f"http://{self.controls[entry]}/subjects/{subject}"
        return http_json("GET", url, timeout_s=2.0).get("revision", 0)

    def publish_version(self, version):
        return self.publish_pool(version=version)

    def publish_pool(self, **changes):
        pools = {**FLEET["pools"], "tutor": {**FLEET["pools"]["tutor"], **changes}}
        base = self.revision_of("fleet/default")
        return self.append("fleet/default", {"pools": pools}, base)

    def faults(self, name):
        return http_json("GET", f"http://{self.addresses[name]}/faults", timeout_s=2.0)

    def engine_state(self, name):
        return http_json("GET", f"http://{self.addresses[name]}/state", timeout_s=2.0)

    def is_back(self, name):
        for process in list(self.revisions):
            if self.processes[process].poll() is not None:
                self.restart(process)
        return self.is_ready(name)

    def heal(self):
        """End all failures and wait until the fleet has repaired itself."""
        for name in self.addresses:
            self.fault(name, **{k: type(v)() for k, v in self.faults(name).items()})
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        for name in (*self.engines(), *self.services()):
            self.set_listed(name, "live")
        for name in self.controls:
            wait_for(lambda name=name: self.is_back(name), f"{name} ready again")
        for entry in self.entry_addresses:
            for name in (*self.engines(), *self.services()):
                wait_for(
                    lambda entry=entry, name=name: self.usable_at(entry, name),
                    f"{name} usable again at {entry}",
                )


def start_fleet(folder, engines=2, services=2, entries=2, retention_s=0.0, **model):
    fleet = Fleet(folder, retention_s)
    try:
        fleet.start_platform()
        fleet.publish()
        for number in range(1, engines + 1):
            fleet.start_endpoint("engine", number, **model)
        for number in range(1, services + 1):
            fleet.start_endpoint("service", number)
        for number in range(1, entries + 1):
            fleet.start_entry(number)
        for name in fleet.controls:
            wait_for(lambda name=name: fleet.is_ready(name), f"{name} ready")
        for entry in fleet.entry_addresses:
            wait_for(lambda entry=entry: fleet.chat(entry).status == 200, "a chat")
            wait_for(
                lambda entry=entry: fleet.book(uuid.uuid4().hex, entry).status == 200,
                "a booking",
            )
    except BaseException:
        fleet.stop()
        raise
    return fleet

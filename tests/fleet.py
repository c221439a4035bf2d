"""A small fleet of processes on the loopback interface, for tests of failures."""

import json
import signal
import subprocess
import sys
import time
import uuid

import httpcore
import yaml

from jasminewalk.generated_records import ConfigurationRecord
from jasminewalk.transport.codec import encode_record
from ports import allocate_address
from relay import Relay

TIMEOUT_S = 60.0
MAX_LOG_CHARACTERS = 2000
POLL_INTERVAL_S = 0.05
SHARED_KEY = "fleet-shared-key-0123456789"
PLATFORM_SERVICES = ("log", "instances", "weights")
FAILURE_DOMAINS = ("norte-oviedo", "norte-santander", "norte-coruna")
PEERS = {"shared_key": SHARED_KEY, "heartbeat_s": 0.25, "suspect_s": 1.0}
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


def wait_for(condition, description="the condition", timeout_s=TIMEOUT_S):
    """Poll a condition until it is true, and return its value.

    Network errors count as false.

    :raises AssertionError: if the condition is still false after the timeout.
    """
    end_s = time.monotonic() + timeout_s
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
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"{description} not reached within {timeout_s} s")


def send_http(method, url, value=None, *, body=b"", headers=(), timeout_s=TIMEOUT_S):
    content = json.dumps(value).encode() if value is not None else body
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
    return httpcore.request(
        method,
        url,
        headers=list(headers),
        content=content,
        extensions={"timeout": timeouts},
    )


def send_http_json(method, url, value=None, **kwargs):
    response = send_http(method, url, value, **kwargs)
    return json.loads(response.content)


class Fleet:
    """Processes of a fleet: platform stand-ins, endpoints, sidecars and entries."""

    def __init__(self, folder, retention_s=0.0):
        self.folder = folder
        self.retention_s = retention_s
        self.processes = {}
        self.addresses = {}
        self.operator_addresses = {}
        self.entry_addresses = {}
        self.start_arguments = {}
        self.relays = {}

    def build_command(self, name, settings, *arguments):
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        return [
            sys.executable,
            "-m",
            "jasminewalk",
            *arguments,
            "--settings",
            str(path),
        ]

    def start(self, name, settings, *arguments):
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                self.build_command(name, settings, *arguments), stdout=log, stderr=log
            )
        self.start_arguments[name] = (settings, arguments)

    def restart(self, name):
        settings, arguments = self.start_arguments[name]
        self.start(name, settings, *arguments)

    def read_log(self, name):
        return (self.folder / f"{name}.log").read_text(encoding="utf-8")

    def check_running(self):
        """Check that no process has ended.

        :raises AssertionError: with the end of its log if one has.
        """
        for name, process in self.processes.items():
            if process.poll() is not None:
                log = self.read_log(name)[-MAX_LOG_CHARACTERS:]
                raise AssertionError(f"{name} ended: {log}")

    def start_platform(self):
        for kind in PLATFORM_SERVICES:
            self.addresses[kind] = allocate_address()
            settings = {"listen": self.addresses[kind]}
            if kind == "instances":
                settings["lag_s"] = 0.2
            elif kind == "log" and self.retention_s:
                settings["retention_s"] = self.retention_s
            self.start(kind, settings, "standin", kind)
        for kind in PLATFORM_SERVICES:
            wait_for(lambda kind=kind: self.get_counts(kind) is not None, kind)

    def build_log_settings(self):
        settings = {
            "address": self.addresses["log"],
            "timeout_s": 1.0,
            "poll_wait_s": 0.5,
        }
        if self.retention_s:
            settings["retention_s"] = self.retention_s
        return settings

    def start_endpoint(self, kind, number, sidecar=None, **model):
        name = f"{'tutor' if kind == 'engine' else 'enrolment'}-{number}"
        self.addresses[name] = allocate_address()
        settings = {"listen": self.addresses[name]}
        if kind == "engine":
            checks_fencing = model.pop("checks_fencing", True)
            settings["model"] = {
                "models": ["tutor"],
                "role_change_s": 0.5,
                "version_change_s": 0.5,
                "model_load_s": 0.5,
                "report_lag_s": 0.1,
                "checks_fencing": checks_fencing,
                **model,
            }
        self.start(name, settings, "standin", kind)
        checks_fencing = model.get("checks_fencing", True)
        self.start_sidecar(name, kind, number, checks_fencing, **(sidecar or {}))

    def start_sidecar(self, name, kind, number, checks_fencing=True, **changes):
        listen, control_listen, metrics_listen = (
            allocate_address(),
            allocate_address(),
            allocate_address(),
        )
        self.operator_addresses[name] = metrics_listen
        settings = {
            "name": name,
            "kind": kind,
            "pool": name.rsplit("-", 1)[0],
            "failure_domain": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            "listen": listen,
            "control_listen": control_listen,
            "metrics_listen": metrics_listen,
            "endpoint_address": self.get_endpoint_address(name),
            "log": self.build_log_settings(),
            "weights_address": self.addresses["weights"],
            "peers": PEERS,
            "checks_fencing": checks_fencing,
            "report_s": 0.1,
            "progress_timeout_s": 1.5,
            "grant_lifetime_s": 5.0,
            **changes,
        }
        self.start(f"sidecar-{name}", settings, "sidecar")
        self.put_instance(
            name=name,
            kind=kind,
            address=listen,
            control_address=control_listen,
            pool=settings["pool"],
            failure_domain=settings["failure_domain"],
            state="live",
        )

    def get_endpoint_address(self, name):
        """Return the address of a relay to an endpoint, started on first use."""
        if name not in self.relays:
            listen_address = allocate_address()
            self.relays[name] = (
                Relay(listen_address, self.addresses[name]),
                listen_address,
            )
        return self.relays[name][1]

    def stall(self, name, direction):
        self.relays[name][0].stall(direction)

    def start_entry(self, number, **changes):
        name = f"entry-{number}"
        self.entry_addresses[name] = allocate_address()
        self.operator_addresses[name] = allocate_address()
        settings = {
            "name": name,
            "failure_domain": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            "listen": self.entry_addresses[name],
            "control_listen": self.operator_addresses[name],
            "log": self.build_log_settings(),
            "instances_address": self.addresses["instances"],
            "instances_poll_s": 0.2,
            "peers": PEERS,
            "progress_timeout_s": 2.0,
            **changes,
        }
        self.start(name, settings, "entry")
        self.put_instance(
            name=name,
            kind="entry",
            address=settings["listen"],
            control_address=settings["control_listen"],
            failure_domain=settings["failure_domain"],
            state="live",
        )

    def put_instance(self, **row):
        url = f"http://{self.addresses['instances']}/instances/{row['name']}"
        assert send_http("PUT", url, row).status == 200

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
        return send_http_json("POST", url, body=encode_record(record))["offset"]

    def publish(self):
        """Publish fleet, template and organisation; return the offset of the last."""
        self.append("fleet/default", FLEET)
        self.append("template/school", TEMPLATE)
        return self.append("organisation/school", ORGANISATION)

    def set_faults(self, name, **faults):
        """Change faults of a stand-in; faults that are not named keep their values."""
        url = f"http://{self.addresses[name]}/faults"
        assert send_http("PUT", url, faults).status == 200

    def get_counts(self, name):
        return send_http_json(
            "GET", f"http://{self.addresses[name]}/counts", timeout_s=2.0
        )

    def get_status(self, name):
        return send_http_json(
            "GET", f"http://{self.operator_addresses[name]}/status", timeout_s=2.0
        )

    def is_ready(self, name):
        url = f"http://{self.operator_addresses[name]}/readyz"
        return send_http("GET", url, timeout_s=2.0).status == 200

    def is_serving(self, name):
        url = f"http://{self.operator_addresses[name]}/healthz"
        return send_http("GET", url, timeout_s=2.0).status == 200

    def send_signal(self, name, signal_number):
        self.processes[name].send_signal(signal_number)

    def kill(self, name):
        self.send_signal(name, signal.SIGKILL)
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

    def build_url(self, entry, path):
        return f"http://{self.entry_addresses[entry]}/organisations/school{path}"

    def chat(self, entry="entry-1", text="What is a flat white?", **fields):
        value = {
            "model": "tutor",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 16,
            **fields,
        }
        return send_http("POST", self.build_url(entry, "/v1/chat/completions"), value)

    def book(self, key, entry="entry-1", body=b'{"seat": 1}', timeout_s=TIMEOUT_S):
        headers = [("Idempotency-Key", key)] if key else []
        url = self.build_url(entry, "/services/enrolment/bookings")
        return send_http("POST", url, body=body, headers=headers, timeout_s=timeout_s)

    def count_runs(self, key):
        """Return how many times the services ran the booking with a key."""
        names = [name for name in self.addresses if name.startswith("enrolment-")]
        return sum(self.get_counts(name).get(key, 0) for name in names)

    def list_engines(self):
        return sorted(name for name in self.addresses if name.startswith("tutor-"))

    def list_services(self):
        return sorted(name for name in self.addresses if name.startswith("enrolment-"))

    def find_running_service(self):
        """Return a service endpoint that is running a request, or ``None``."""
        for name in self.list_services():
            if self.get_status(name)["report"]["running"]:
                return name
        return None

    def set_listed_state(self, name, state):
        rows = send_http_json("GET", f"http://{self.addresses['instances']}/instances")
        [row] = [row for row in rows if row["name"] == name]
        self.put_instance(**{**row, "state": state})

    def is_usable_at(self, entry, name):
        rows = self.get_status(entry)["endpoints"]
        return any(row["endpoint"] == name and row["usable"] for row in rows)

    def get_revision(self, subject, entry="entry-1"):
        url = f"http://{self.operator_addresses[entry]}/subjects/{subject}"
        return send_http_json("GET", url, timeout_s=2.0).get("revision", 0)

    def publish_version(self, version):
        return self.publish_pool(version=version)

    def publish_pool(self, **changes):
        pools = {**FLEET["pools"], "tutor": {**FLEET["pools"]["tutor"], **changes}}
        base_revision = self.get_revision("fleet/default")
        return self.append("fleet/default", {"pools": pools}, base_revision)

    def get_faults(self, name):
        return send_http_json(
            "GET", f"http://{self.addresses[name]}/faults", timeout_s=2.0
        )

    def get_engine_state(self, name):
        return send_http_json(
            "GET", f"http://{self.addresses[name]}/state", timeout_s=2.0
        )

    def restart_and_check_ready(self, name):
        """Restart processes that have exited; return whether a daemon is ready."""
        for process in list(self.start_arguments):
            if self.processes[process].poll() is not None:
                self.restart(process)
        return self.is_ready(name)

    def recover(self):
        """End all faults, restart processes and wait until every endpoint is usable."""
        for name in self.addresses:
            self.set_faults(
                name,
                **{key: type(value)() for key, value in self.get_faults(name).items()},
            )
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        for name in (*self.list_engines(), *self.list_services()):
            self.set_listed_state(name, "live")
        for name in self.operator_addresses:
            wait_for(
                lambda name=name: self.restart_and_check_ready(name),
                f"{name} ready again",
            )
        for entry in self.entry_addresses:
            for name in (*self.list_engines(), *self.list_services()):
                wait_for(
                    lambda entry=entry, name=name: self.is_usable_at(entry, name),
                    f"{name} usable again at {entry}",
                )


def start_fleet(folder, engines=2, services=2, entries=2, retention_s=0.0, **model):
    fleet = Fleet(folder, retention_s)

    def wait_until(condition, description):
        wait_for(lambda: fleet.check_running() or condition(), description)

    try:
        fleet.start_platform()
        for number in range(1, engines + 1):
            fleet.start_endpoint("engine", number, **model)
        for number in range(1, services + 1):
            fleet.start_endpoint("service", number)
        for number in range(1, entries + 1):
            fleet.start_entry(number)
        # A log with a short retention drops what nothing has read yet.
        for name in fleet.operator_addresses:
            wait_until(lambda name=name: fleet.is_serving(name), f"{name} serving")
        fleet.publish()
        for name in fleet.operator_addresses:
            wait_until(lambda name=name: fleet.is_ready(name), f"{name} ready")
        for entry in fleet.entry_addresses:
            wait_until(lambda entry=entry: fleet.chat(entry).status == 200, "a chat")
            wait_until(
                lambda entry=entry: fleet.book(uuid.uuid4().hex, entry).status == 200,
                "a booking",
            )
    except BaseException:
        fleet.stop()
        raise
    return fleet

"""Appends and processor time of claims that a sidecar appends together."""

import random
import time

from _bench import Slope, save, show, slope

from jasminewalk.agreement.at_most_once import (
    ClaimController,
    ClaimSettings,
    RunRequest,
)
from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.log_writer import AppendRecord
from jasminewalk.generated_records import RegistrationRecord
from jasminewalk.interfaces import LogEntry
from jasminewalk.transport.codec import encode_record

RATES = (0.5, 2, 8)
RUN_S = 120.0
RECORDED_BODY = b"x" * 200
ROUND_TRIP_S = 0.005
US = 1e6


class ClaimRun:
    """A sidecar that claims and records on a log in memory.

    :param rate: claims a second.
    """

    def __init__(self, rate: float) -> None:
        self.rng = random.Random(1)
        self.fold = LogFold()
        settings = ClaimSettings(endpoint="service-1", incarnation="life")
        self.claims = ClaimController(settings, self.fold, self.rng)
        self.rate = rate
        self.appends = 0
        self.bytes = 0
        self.ran = 0
        self.waiting: list[tuple[float, bytes]] = []
        registration = RegistrationRecord(
            record_id="registration",
            endpoint="service-1",
            pool="pool-1",
            incarnation="life",
            base_registration=0,
        )
        self.append(0.0, registration)
        self.fold.observe_tail(self.fold.next_offset)

    def append(self, now_s, record):
        """Append a record; it is read back after a round trip."""
        data = encode_record(record)
        self.appends += 1
        self.bytes += len(data)
        self.waiting.append((now_s + ROUND_TRIP_S, data))

    def carry_out(self, now_s, actions):
        """Carry out what the controller decided."""
        for action in actions:
            if isinstance(action, AppendRecord):
                self.append(now_s, action.record)
            elif isinstance(action, RunRequest):
                self.ran += 1
                done = self.claims.handle_response(
                    now_s,
                    action.request_id,
                    status=200,
                    headers=[["content-type", "application/json"]],
                    body=RECORDED_BODY,
                )
                self.carry_out(now_s, done)

    def read(self, now_s):
        """Fold what can be read back."""
        while self.waiting and self.waiting[0][0] <= now_s:
            data = self.waiting.pop(0)[1]
            for event in self.fold.apply(LogEntry(self.fold.next_offset, data)):
                self.carry_out(now_s, self.claims.on_event(now_s, event))

    def run(self):
        """Let requests arrive for the time of a run."""
        now_s = 1.0
        number = 0
        next_s = now_s
        while now_s < 1.0 + RUN_S:
            if now_s >= next_s:
                number += 1
                next_s += self.rng.expovariate(self.rate)
                actions = self.claims.handle_request(
                    now_s,
                    request_id=f"request-{number}/1",
                    key=f"escuela-00001/enrolment/{number:032x}",
                    fingerprint=f"{number:016x}",
                    deadline_s=now_s + 10.0,
                )
                self.carry_out(now_s, actions)
            self.read(now_s)
            self.carry_out(now_s, self.claims.tick(now_s))
            now_s = self.next_instant(now_s, next_s)
        return number

    def next_instant(self, now_s, next_s):
        """Return the next instant at which something happens."""
        wake_s = max(now_s + 1e-4, self.claims.get_next_wake_s())
        read_s = self.waiting[0][0] if self.waiting else float("inf")
        return max(now_s + 1e-6, min(next_s, wake_s, read_s))


def measured(rate):
    """Return appends a second, bytes a second and microseconds a second."""
    run = ClaimRun(rate)
    start_s = time.process_time()
    arrived = run.run()
    seconds = time.process_time() - start_s
    assert run.ran >= arrived * 0.9, (run.ran, arrived)
    return run.appends / RUN_S, run.bytes / RUN_S, seconds / RUN_S * US


def main() -> list[Slope]:
    found = [measured(rate) for rate in RATES]
    names = [
        ("appends of a sidecar that claims", "appends/s"),
        ("bytes on the log of a sidecar that claims", "B/s"),
        ("processor time of a sidecar that claims", "us/s"),
    ]
    rows = [
        slope(
            name,
            "claim a second",
            unit,
            [(rate, row[index]) for rate, row in zip(RATES, found, strict=True)],
        )
        for index, (name, unit) in enumerate(names)
    ]
    save("claims", rows)
    return rows


if __name__ == "__main__":
    show(main())

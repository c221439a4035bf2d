"""Log appends and CPU time of a sidecar that batches its claims."""

import random
import time

from _bench import LinearFit, fit_line, print_rows, save_rows

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

CLAIMS_PER_S = (0.5, 2, 8)
RUN_S = 120.0
RECORDED_BODY = b"x" * 200
ROUND_TRIP_S = 0.005
US_PER_S = 1e6


class ClaimSimulation:
    """Simulation of a sidecar that claims requests on a log in memory.

    Requests arrive at random and execute immediately after their claim is accepted.

    :param rate: mean number of requests per second.
    """

    def __init__(self, rate: float) -> None:
        self.rng = random.Random(1)
        self.fold = LogFold()
        settings = ClaimSettings(endpoint="service-1", incarnation="0001")
        self.claims = ClaimController(settings, self.fold, self.rng)
        self.rate = rate
        self.append_count = 0
        self.appended_bytes = 0
        self.executed_count = 0
        self.unread: list[tuple[float, bytes]] = []
        registration = RegistrationRecord(
            record_id="registration",
            endpoint="service-1",
            pool="pool-1",
            incarnation="0001",
            base_registration=0,
        )
        self.append(0.0, registration)
        self.fold.observe_tail(self.fold.next_offset)

    def append(self, now_s, record):
        """Append a record, which is read back after ``ROUND_TRIP_S``."""
        data = encode_record(record)
        self.append_count += 1
        self.appended_bytes += len(data)
        self.unread.append((now_s + ROUND_TRIP_S, data))

    def execute(self, now_s, actions):
        """Execute the actions of the claim controller."""
        for action in actions:
            if isinstance(action, AppendRecord):
                self.append(now_s, action.record)
            elif isinstance(action, RunRequest):
                self.executed_count += 1
                done = self.claims.handle_response(
                    now_s,
                    action.request_id,
                    status=200,
                    headers=[["content-type", "application/json"]],
                    body=RECORDED_BODY,
                )
                self.execute(now_s, done)

    def apply_read_back(self, now_s):
        """Apply the records whose round trip has ended."""
        while self.unread and self.unread[0][0] <= now_s:
            data = self.unread.pop(0)[1]
            for event in self.fold.apply(LogEntry(self.fold.next_offset, data)):
                self.execute(now_s, self.claims.on_event(now_s, event))

    def run(self):
        """Simulate ``RUN_S`` seconds and return the number of requests that arrived."""
        now_s = 1.0
        arrival_count = 0
        next_arrival_s = now_s
        while now_s < 1.0 + RUN_S:
            if now_s >= next_arrival_s:
                arrival_count += 1
                next_arrival_s += self.rng.expovariate(self.rate)
                actions = self.claims.handle_request(
                    now_s,
                    request_id=f"request-{arrival_count}/1",
                    key=f"escuela-00001/enrolment/{arrival_count:032x}",
                    fingerprint=f"{arrival_count:016x}",
                    deadline_s=now_s + 10.0,
                )
                self.execute(now_s, actions)
            self.apply_read_back(now_s)
            self.execute(now_s, self.claims.tick(now_s))
            now_s = self.compute_next_time(now_s, next_arrival_s)
        return arrival_count

    def compute_next_time(self, now_s, next_arrival_s):
        """Return the time of the next arrival, read or wake-up of the controller."""
        wake_s = max(now_s + 1e-4, self.claims.get_next_wake_s())
        read_s = self.unread[0][0] if self.unread else float("inf")
        return max(now_s + 1e-6, min(next_arrival_s, wake_s, read_s))


def measure_rate(rate):
    """Return the appends, appended bytes and CPU microseconds per simulated second."""
    simulation = ClaimSimulation(rate)
    start_s = time.process_time()
    arrival_count = simulation.run()
    cpu_s = time.process_time() - start_s
    assert simulation.executed_count >= arrival_count * 0.9, (
        simulation.executed_count,
        arrival_count,
    )
    return (
        simulation.append_count / RUN_S,
        simulation.appended_bytes / RUN_S,
        cpu_s / RUN_S * US_PER_S,
    )


def main() -> list[LinearFit]:
    measurements = [measure_rate(rate) for rate in CLAIMS_PER_S]
    names = [
        ("appends of a sidecar that claims", "appends/s"),
        ("bytes on the log of a sidecar that claims", "B/s"),
        ("processor time of a sidecar that claims", "us/s"),
    ]
    rows = [
        fit_line(
            name,
            "claim a second",
            unit,
            [
                (rate, measured[index])
                for rate, measured in zip(CLAIMS_PER_S, measurements, strict=True)
            ],
        )
        for index, (name, unit) in enumerate(names)
    ]
    save_rows("claims", rows)
    return rows


if __name__ == "__main__":
    print_rows(main())

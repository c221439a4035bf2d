"""Runs random schedules for a while; prints each violation with its seed."""

import time

import fire
from absl import logging

from observers import InvariantViolationError
from scenario import Scenario


def soak(seconds=60, seed=1, fault_period_s=1.5, ask_period_s=0.2, want_period_s=4.0):
    """Run schedules until the time is over.

    :param seconds: how long to run.
    :param seed: first seed; each schedule takes the next one.
    :param fault_period_s: mean seconds between faults.
    :param ask_period_s: mean seconds between requests.
    :param want_period_s: mean seconds between changes of an engine's wanted state.
    """
    logging.set_verbosity(logging.FATAL)
    end_s = time.monotonic() + seconds
    events, first, failures = 0, seed, 0
    while time.monotonic() < end_s:
        scenario = Scenario(seed, fault_period_s, ask_period_s, want_period_s)
        try:
            scenario.run()
        except InvariantViolationError as violation:
            failures += 1
            at_s = scenario.simulation.clock.now_s
            print(f"seed={seed} at_s={at_s:.2f} violation={violation}")
        events += scenario.simulation.event_count
        seed += 1
    print(f"seeds={first}..{seed - 1} events={events} violations={failures}")
    return 1 if failures else 0


if __name__ == "__main__":
    raise SystemExit(fire.Fire(soak, serialize=lambda _: None))

"""Run random schedules for a given time and print each violation with its seed."""

import time

import fire
from absl import logging

from observers import InvariantViolationError
from scenario import Scenario


def soak(seconds=60, seed=1, fault_period_s=1.5, ask_period_s=0.2, want_period_s=4.0):
    """Run schedules until the time is up.

    :param seconds: duration in seconds.
    :param seed: first seed; each schedule takes the next one.
    :param fault_period_s: mean seconds between faults.
    :param ask_period_s: mean seconds between requests.
    :param want_period_s: mean seconds between changes of an engine's wanted state.
    """
    logging.set_verbosity(logging.FATAL)
    end_s = time.monotonic() + seconds
    event_count, first_seed, violation_count = 0, seed, 0
    while time.monotonic() < end_s:
        scenario = Scenario(seed, fault_period_s, ask_period_s, want_period_s)
        try:
            scenario.run()
        except InvariantViolationError as violation:
            violation_count += 1
            at_s = scenario.simulation.clock.now_s
            print(f"seed={seed} at_s={at_s:.2f} violation={violation}")
        event_count += scenario.simulation.event_count
        seed += 1
    print(
        f"seeds={first_seed}..{seed - 1} events={event_count} "
        f"violations={violation_count}"
    )
    return 1 if violation_count else 0


if __name__ == "__main__":
    raise SystemExit(fire.Fire(soak, serialize=lambda _: None))

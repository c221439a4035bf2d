"""A short seeded run of the fault soak, and the seeds that once failed."""

import pytest

from gateway_soak import play

LENGTH_S = 6.0


# Seeds 2 and 4: a generation that an engine answered without its signature was said not
# to have run.
# Seed 7: SIGHUP ended a process that had not installed its handlers yet.
@pytest.mark.parametrize("seed", [1, 2, 4, 7])
def test_promises_hold_under_faults(seed):
    assert play(seed, LENGTH_S) > 0

"""Run the soak test of planned stops with a few fixed seeds."""

import pytest

from stop_soak import run_stop_soak


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_request_is_cut_by_a_planned_stop(seed):
    counts = run_stop_soak(seed)
    assert counts["stops"] >= 3
    assert counts["requests"] > 100

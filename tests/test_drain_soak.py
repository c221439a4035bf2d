"""Run the soak test of engines that leave with a fixed seed."""

import pytest

from drain_soak import run_drain_soak

BY_READABLE_ENTRY = ("removed", "draining")


@pytest.mark.parametrize(
    "trouble",
    [
        "none",
        "refused",
        "refused_for_long",
        "reset",
        "lost",
        "lost_each",
        "late",
        "cut_each",
        "one_refused",
        "one_lost",
    ],
)
def test_no_request_reaches_an_engine_long_after_its_entry_said_that_it_left(trouble):
    counts = run_drain_soak(1, trouble, duration=8.0, ways=BY_READABLE_ENTRY)
    assert counts["departures"] >= 3
    assert counts["requests"] > 500


def test_no_request_reaches_an_engine_long_after_its_entry_can_not_be_read():
    counts = run_drain_soak(1, "none", duration=8.0, ways=("unreadable",))
    assert counts["departures"] >= 3


def test_engines_whose_entries_lapsed_in_an_outage_serve_on():
    assert run_drain_soak(2, "outage", duration=11.0)["requests"] > 500

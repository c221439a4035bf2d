"""Evidence against parts of prompts, and their quarantine, on a manual clock."""

import random

import pytest

from jasminewalk.gateway.crash_quarantine import (
    AMBIGUOUS_CRASHES,
    FORGOTTEN_AFTER_S,
    GUILTY_CRASHES,
    MAX_CRASHES,
    MAX_PARTS_PER_CRASH,
    MAX_QUARANTINES,
    MAX_SOUND_PARTS,
    CrashQuarantine,
)
from jasminewalk.gateway.quarantine import MAX_QUARANTINE_S, MIN_QUARANTINE_S
from jasminewalk.gateway.quarantine_news import QuarantineExchange


def crash(quarantine, now, key, *parts, sent_at=None):
    """Record a crash; the requests were sent shortly before unless said otherwise."""
    sent = now - 0.1 if sent_at is None else sent_at
    return list(quarantine.record_crash(now, key, dict.fromkeys(parts, sent)))


def answer(quarantine, now, *parts):
    return list(quarantine.record_sound(now, parts))


def convict(quarantine, now=0.0, part="bad"):
    for number in range(GUILTY_CRASHES):
        crash(quarantine, now + number, (now, number), part)
    return now + GUILTY_CRASHES


def list_quarantined(quarantine):
    return sorted(sorted(parts) for parts in quarantine.quarantines)


def test_part_in_each_crash_and_in_no_answer_is_guilty():
    quarantine = CrashQuarantine()
    for number in range(GUILTY_CRASHES):
        assert list_quarantined(quarantine) == []
        crash(quarantine, number, number, "school", f"unit-{number}", "bad")
        answer(quarantine, number + 0.5, "school", f"unit-{number}")
    assert list_quarantined(quarantine) == [["bad"]]
    assert quarantine.find(["school", "unit-1", "bad"]) is not None
    assert quarantine.find(["school", "unit-1"]) is None


def test_part_that_every_crashed_request_shares_is_not_guilty_if_it_is_answered():
    quarantine = CrashQuarantine()
    for number in range(50):
        crash(quarantine, number, number, "school")
        answer(quarantine, number + 0.5, "school")
    assert list_quarantined(quarantine) == []


def test_engines_that_fail_together_speak_against_no_part():
    quarantine = CrashQuarantine()
    for number in range(20):
        crash(quarantine, 5.0 + number * 0.01, number, "school", "unit", sent_at=4.9)
    assert list_quarantined(quarantine) == []


def test_crashes_after_an_answer_count_anew():
    quarantine = CrashQuarantine()
    for number in range(GUILTY_CRASHES - 1):
        crash(quarantine, number, number, "unit")
    answer(quarantine, 2.5, "unit")
    # A peer tells of the first crash again.
    list(quarantine.record_crash(2.6, 0, {"unit": -0.1}, 2.6))
    crash(quarantine, 3.0, 10, "unit")
    assert list_quarantined(quarantine) == []


def test_parts_that_no_crash_tells_apart_are_refused_only_together():
    quarantine = CrashQuarantine()
    for number in range(GUILTY_CRASHES):
        crash(quarantine, number, number, "school", "bad")
    assert list_quarantined(quarantine) == [["bad", "school"]]
    assert quarantine.find(["school", "unit"]) is None
    answer(quarantine, 5.0, "school", "unit")
    assert list_quarantined(quarantine) == [["bad"]]
    assert quarantine.find(["other", "bad"]) is not None


def test_part_in_most_crashes_is_guilty_if_another_has_as_many_in_a_row():
    quarantine = CrashQuarantine()
    for number in range(AMBIGUOUS_CRASHES):
        assert list_quarantined(quarantine) == []
        crash(quarantine, number, number, "unit", "bad", sent_at=number - 0.1)
        # Another engine crashes with it at the same time, which counts as one.
        crash(quarantine, number, number + 100, "bad", sent_at=number - 0.1)
    assert list_quarantined(quarantine) == [["bad"]]


def test_crash_that_a_quarantine_explains_speaks_against_no_other_part():
    quarantine = CrashQuarantine()
    now = convict(quarantine)
    for number in range(20):
        crash(quarantine, now + number, number + 100, "unit", "bad")
    assert list_quarantined(quarantine) == [["bad"]]


def test_second_guilty_part_is_found_beside_the_first():
    quarantine = CrashQuarantine()
    now = convict(quarantine, part="bad")
    convict(quarantine, now, part="worse")
    assert list_quarantined(quarantine) == [["bad"], ["worse"]]


def test_part_that_was_sound_until_now_needs_more_crashes():
    quarantine = CrashQuarantine()
    answer(quarantine, 0.0, "unit")
    for number in range(1, 8):
        crash(quarantine, number, number, "unit")
    assert list_quarantined(quarantine) == []
    crash(quarantine, 8.0, 8, "unit")
    assert list_quarantined(quarantine) == [["unit"]]


def test_quarantine_ends_with_a_trial_that_is_answered():
    quarantine = CrashQuarantine()
    now = convict(quarantine)
    held = quarantine.find(["bad"])
    assert not quarantine.try_begin_trial(now, held)
    assert quarantine.try_begin_trial(held.until, held)
    assert not quarantine.try_begin_trial(held.until + 1, held)
    (event,) = answer(quarantine, held.until + 1, "bad")
    assert event.event == "part_released"
    assert quarantine.find(["bad"]) is None


def test_trial_that_crashes_an_engine_doubles_the_quarantine():
    quarantine = CrashQuarantine()
    convict(quarantine)
    held = quarantine.find(["bad"])
    lengths = []
    for number in range(8):
        assert quarantine.try_begin_trial(held.until, held)
        crash(quarantine, held.until + 0.1, 100 + number, "bad")
        lengths.append(held.duration_s)
    assert lengths[:3] == [2 * MIN_QUARANTINE_S, 4 * MIN_QUARANTINE_S, 480.0]
    assert lengths[-1] == MAX_QUARANTINE_S


def test_quarantine_that_nobody_tries_is_forgotten():
    quarantine = CrashQuarantine()
    convict(quarantine)
    held = quarantine.find(["bad"])
    assert list(quarantine.expire(held.until + FORGOTTEN_AFTER_S - 1)) == []
    (event,) = quarantine.expire(held.until + FORGOTTEN_AFTER_S)
    assert event.event == "part_forgotten"
    assert quarantine.find(["bad"]) is None


def test_memory_is_bounded_against_made_up_parts():
    quarantine = CrashQuarantine()
    for number in range(3 * MAX_SOUND_PARTS):
        answer(quarantine, number * 1e-3, f"made-up-{number}")
    assert len(quarantine.sound_at) == MAX_SOUND_PARTS
    for number in range(3 * MAX_CRASHES):
        parts = [f"p-{number}-{n}" for n in range(2 * MAX_PARTS_PER_CRASH)]
        crash(quarantine, 100.0 + number, number, *parts)
    assert len(quarantine.crashes) == MAX_CRASHES
    assert all(
        len(held.sent_at) <= MAX_PARTS_PER_CRASH for held in quarantine.crashes.values()
    )
    for number in range(2 * MAX_QUARANTINES):
        convict(quarantine, 1000.0 + 10 * number, f"bad-{number}")
    assert len(quarantine.quarantines) == MAX_QUARANTINES


def exchange_news(now, *exchanges):
    """Deliver the news of each gateway to all others."""
    news = [exchange.build(now) for exchange in exchanges]
    for sender, told in zip(exchanges, news, strict=True):
        for receiver in exchanges:
            if receiver is not sender and told is not None:
                list(receiver.apply(now, told))


def test_crashes_at_different_gateways_count_together():
    exchanges = [QuarantineExchange(CrashQuarantine()) for _ in range(3)]
    for number, exchange in enumerate(exchanges):
        sent_at = {"bad": number - 0.1, f"unit-{number}": number - 0.1}
        exchange.announce_crash(number, number, sent_at)
        list(exchange.quarantine.record_crash(number, number, sent_at))
        exchange_news(number + 0.1, *exchanges)
    for exchange in exchanges:
        assert list_quarantined(exchange.quarantine) == [["bad"]]


def test_answer_at_one_gateway_clears_the_part_at_all():
    exchanges = [QuarantineExchange(CrashQuarantine()) for _ in range(3)]
    for number in range(10):
        teller = exchanges[0]
        sent_at = {"school": number - 0.1}
        teller.announce_crash(number, number, sent_at)
        list(teller.quarantine.record_crash(number, number, sent_at))
        exchange_news(number + 0.1, *exchanges)
        exchanges[2].announce_sound(number + 0.2, ["school"])
        answer(exchanges[2].quarantine, number + 0.2, "school")
        exchange_news(number + 0.3, *exchanges)
    for exchange in exchanges:
        assert list_quarantined(exchange.quarantine) == []


def test_release_reaches_gateways_that_missed_it():
    exchanges = [QuarantineExchange(CrashQuarantine()) for _ in range(2)]
    now = convict(exchanges[0].quarantine)
    exchange_news(now, *exchanges)
    assert list_quarantined(exchanges[1].quarantine) == [["bad"]]
    answer(exchanges[0].quarantine, now + 1, "bad")
    # The message that named the part as sound was lost.
    exchanges[0].sound_until.clear()
    for number in range(3):
        exchange_news(now + 2 + number / 10, *exchanges)
    assert list_quarantined(exchanges[0].quarantine) == []
    assert list_quarantined(exchanges[1].quarantine) == []


@pytest.mark.parametrize("seed", range(30))
def test_random_crashes_blame_no_sound_part(seed):
    rng = random.Random(seed)
    quarantine = CrashQuarantine()
    now = 0.0
    for key in range(40):
        now += rng.uniform(0.2, 2.0)
        units = [f"unit-{rng.randrange(8)}" for _ in range(rng.randint(1, 6))]
        if rng.random() < 0.5:
            crash(quarantine, now, key, "school", "bad", *units)
        for unit in (f"unit-{n}" for n in range(8) if rng.random() < 0.8):
            answer(quarantine, now + rng.uniform(0.01, 0.1), "school", unit)
    assert set().union(*quarantine.quarantines) <= {"bad"}


@pytest.mark.parametrize("crashes", range(GUILTY_CRASHES))
def test_fewer_crashes_prove_nothing(crashes):
    quarantine = CrashQuarantine()
    for number in range(crashes):
        crash(quarantine, number, number, "bad")
    assert list_quarantined(quarantine) == []

"""Evidence against whole requests, and their quarantine, on a manual clock."""

import random

import pytest

from jasminewalk.gateway.crash_quarantine import (
    FIRST_TRIAL_S,
    GUILTY_CRASHES,
    MAX_CRASHES,
    MAX_QUARANTINES,
    MAX_REQUESTS_PER_CRASH,
    MAX_SOUND_PARTS,
    TRIAL_SEPARATION_S,
    CrashQuarantine,
)
from jasminewalk.gateway.quarantine import (
    MAX_TRIALS,
    MIN_QUARANTINE_S,
    UNTRIED_QUARANTINE_S,
)
from jasminewalk.gateway.quarantine_news import QuarantineExchange
from jasminewalk.gateway.request_fingerprint import compute_request_fingerprint
from jasminewalk.http1 import CallerRequest
from jasminewalk.platform.headers import decode_request_head
from test_part_quarantine import answer, crash, exchange_news, list_quarantined

BAD, SOUND, OTHER = "request:bad", "request:sound", "request:other"


def convict(quarantine, now=0.0, request=BAD):
    for number in range(GUILTY_CRASHES):
        crash(quarantine, now + number, (request, now, number), request)
    return now + GUILTY_CRASHES - 1


def build_request(target=b"/look/x", body=b"seat", host=b"bar.example", **headers):
    fields = [(b"host", host)]
    fields += [
        (name.replace("_", "-").encode(), value) for name, value in headers.items()
    ]
    return CallerRequest(b"POST", target, fields, body, 0.0, True)


def test_third_crash_proves_a_request():
    quarantine = CrashQuarantine()
    for number in range(GUILTY_CRASHES):
        assert quarantine.find([BAD]) is None
        crash(quarantine, number, number, BAD, f"request:{number}")
    held = quarantine.find([BAD])
    assert held.until == GUILTY_CRASHES - 1 + FIRST_TRIAL_S
    assert quarantine.find([SOUND]) is None


def test_request_that_is_answered_between_crashes_is_not_guilty():
    quarantine = CrashQuarantine()
    for number in range(20):
        crash(quarantine, number, number, SOUND)
        answer(quarantine, number + 0.5, SOUND)
        # A peer tells of the crash again.
        crash(quarantine, number + 0.6, number, SOUND, sent_at=number - 0.1)
    assert list_quarantined(quarantine) == []
    assert not quarantine.watches_requests


def test_request_in_the_same_crashes_as_another_is_tried_soon():
    quarantine = CrashQuarantine()
    for number in range(GUILTY_CRASHES):
        crash(quarantine, number, number, BAD, SOUND)
    now = GUILTY_CRASHES - 1 + FIRST_TRIAL_S
    bad, sound = quarantine.find([BAD]), quarantine.find([SOUND])
    assert bad.until == sound.until == now
    assert quarantine.try_begin_trial(now, bad)
    assert not quarantine.try_begin_trial(now, sound)
    crash(quarantine, now + 0.1, 10, BAD, sent_at=now)
    assert bad.until >= now + MIN_QUARANTINE_S
    assert quarantine.try_begin_trial(now + TRIAL_SEPARATION_S, sound)
    (event,) = answer(quarantine, now + TRIAL_SEPARATION_S + 0.1, SOUND)
    assert event.event == "request_released"
    assert list_quarantined(quarantine) == [[BAD]]


def test_engines_that_crash_together_let_a_request_be_tried_soon():
    quarantine = CrashQuarantine()
    for number in range(2 * GUILTY_CRASHES):
        crash(quarantine, 5.0 + number * 0.01, number, SOUND, sent_at=4.9)
    held = quarantine.find([SOUND])
    assert held.until < 5.1 + FIRST_TRIAL_S
    assert quarantine.try_begin_trial(held.until, held)
    answer(quarantine, held.until + 0.1, SOUND)
    assert list_quarantined(quarantine) == []


def test_gateways_that_blame_different_requests_try_both_soon():
    exchanges = [QuarantineExchange(CrashQuarantine()) for _ in range(3)]
    for number in range(GUILTY_CRASHES):
        for exchange, request in zip(exchanges, (BAD, SOUND), strict=False):
            sent_at = {request: number - 0.1}
            exchange.announce_crash(number, number, sent_at)
            list(exchange.quarantine.record_crash(number, number, sent_at))
    now = GUILTY_CRASHES - 0.9
    for _ in range(2):
        exchange_news(now, *exchanges)
    for exchange in exchanges:
        assert list_quarantined(exchange.quarantine) == [[BAD], [SOUND]]
        for held in exchange.quarantine.quarantines.values():
            assert held.until <= now + FIRST_TRIAL_S


def test_trial_at_one_gateway_keeps_the_others_from_trying():
    exchanges = [QuarantineExchange(CrashQuarantine()) for _ in range(2)]
    convict(exchanges[0].quarantine)
    exchange_news(GUILTY_CRASHES, *exchanges)
    held = [exchange.quarantine.find([BAD]) for exchange in exchanges]
    now = held[0].until + 1.0
    assert exchanges[0].quarantine.try_begin_trial(now, held[0])
    exchange_news(now + 0.01, *exchanges)
    assert not exchanges[1].quarantine.try_begin_trial(now + 0.02, held[1])


def test_request_is_tried_at_most_three_times_a_day():
    quarantine = CrashQuarantine()
    convict(quarantine)
    held = quarantine.find([BAD])
    lengths = []
    for number in range(MAX_TRIALS):
        assert quarantine.try_begin_trial(held.until, held)
        crash(quarantine, held.until + 0.1, 100 + number, BAD, sent_at=held.until)
        lengths.append(held.duration_s)
    assert lengths == [60.0, 120.0, UNTRIED_QUARANTINE_S]


def test_repeats_on_their_way_when_the_quarantine_begins_do_not_prolong_it():
    quarantine = CrashQuarantine()
    now = convict(quarantine)
    held = quarantine.find([BAD])
    until = held.until
    crash(quarantine, now + 0.2, 50, BAD, sent_at=now - 0.01)
    assert (held.until, held.crashes) == (until, GUILTY_CRASHES + 1)


def test_crashes_under_one_request_blame_no_part():
    quarantine = CrashQuarantine()
    for number in range(GUILTY_CRASHES):
        crash(quarantine, number, number, "unit", BAD)
    assert list_quarantined(quarantine) == [[BAD]]
    assert quarantine.find(["unit", SOUND]) is None


def test_part_in_crashes_under_several_requests_is_guilty():
    quarantine = CrashQuarantine()
    for number in range(GUILTY_CRASHES):
        crash(quarantine, number, number, "unit", BAD)
    crash(quarantine, 10.0, 10, "unit", OTHER)
    assert list_quarantined(quarantine) == [[BAD], ["unit"]]


def test_part_that_looks_like_a_fingerprint_blames_and_clears_no_request():
    quarantine = CrashQuarantine()
    convict(quarantine)
    head = decode_request_head(
        [(b"x-jasminewalk-prompt-prefix", b"request:bad:5,request%3Abad:7,own:9")]
    )
    ids = [part.part_id for part in head.prompt]
    answer(quarantine, 5.0, *ids)
    assert list_quarantined(quarantine) == [[BAD]]


@pytest.mark.parametrize("first", [True, False])
def test_memory_is_bounded_against_made_up_requests(first):
    quarantine = CrashQuarantine()
    for number in range(3 * MAX_SOUND_PARTS):
        answer(quarantine, number * 1e-3, f"request:made-up-{number}")
    assert not quarantine.sound_at
    for number in range(GUILTY_CRASHES):
        made_up = [f"request:{number}-{n}" for n in range(3 * MAX_REQUESTS_PER_CRASH)]
        crash(quarantine, number, number, *([BAD, *made_up] if first else made_up))
        crash(quarantine, number, number, BAD)
    assert all(
        len(held.fingerprints) <= MAX_REQUESTS_PER_CRASH
        for held in quarantine.crashes.values()
    )
    assert (quarantine.find([BAD]) is not None) == first
    for number in range(3 * MAX_CRASHES):
        crash(quarantine, 100.0 + number, ("x", number), f"request:x-{number}")
    assert len(quarantine.crashes) == MAX_CRASHES
    for number in range(2 * MAX_QUARANTINES):
        convict(quarantine, 1000.0 + 10 * number, f"request:bad-{number}")
    assert len(quarantine.quarantines) == MAX_QUARANTINES


@pytest.mark.parametrize("seed", range(30))
def test_sound_requests_that_are_repeated_are_refused_for_seconds_at_most(seed):
    rng = random.Random(seed)
    quarantine = CrashQuarantine()
    now, waiting, bad = 0.0, set(), "request:bad-0"
    for key in range(60):
        now += rng.uniform(0.2, 2.0)
        if quarantine.find([bad]) is not None:
            bad = f"request:bad-{key}"
        free = {request for request in waiting if quarantine.find([request]) is None}
        arrived = {f"request:{key}-{n}" for n in range(rng.randrange(4))}
        riders = {request for request in free if rng.random() < 0.5} | arrived
        crash(quarantine, now, key, *riders, *([bad] if rng.random() < 0.8 else []))
        for (fingerprint,), held in quarantine.quarantines.items():
            is_bad = fingerprint.startswith("request:bad")
            assert is_bad or held.until <= now + FIRST_TRIAL_S
        # Callers send again what failed, but one that is refused waits.
        for request in waiting - riders:
            held = quarantine.find([request])
            if held is None or quarantine.try_begin_trial(now + 0.1, held):
                answer(quarantine, now + 0.1, request)
                waiting.discard(request)
        waiting |= arrived


def test_fingerprint_has_what_repeats_share():
    first = compute_request_fingerprint(
        build_request(x_jasminewalk_request_id=b"1", x_jasminewalk_deadline_ms=b"9")
    )
    assert first == compute_request_fingerprint(
        build_request(x_jasminewalk_request_id=b"2", last_event_id=b"4")
    )
    others = [
        build_request(target=b"/look/x?a=1"),
        build_request(body=b"seats"),
        build_request(host=b"cafe.example"),
        build_request(target=b"/look/xs", body=b"eat"),
    ]
    assert first not in map(compute_request_fingerprint, others)
    prompts = [
        build_request(body=b"", x_jasminewalk_prompt_prefix=prefix)
        for prefix in (b"a:1", b"b:1")
    ]
    assert len(set(map(compute_request_fingerprint, prompts))) == 2

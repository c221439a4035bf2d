"""Sums of what gateways announce, against the same sums computed anew."""

import random

import msgspec
import pytest

from gateway_fakes import make_engine
from jasminewalk.gateway.fleet import Fleet
from jasminewalk.gateway.peer_membership import PEER_TIMEOUT_S
from jasminewalk.gateway.peers import (
    PeerExchange,
    TopicProgress,
    decode_peer_message,
)

ENGINES, GATEWAYS = 12, 30


class Sender:
    """Gateway that announces loads and speeds, and may start again."""

    def __init__(self, number, started_ms=1):
        self.fleet = Fleet()
        for index in range(ENGINES):
            self.fleet.engines[f"e{index}"] = make_engine(f"e{index}")
        address = f"10.0.0.1:{7000 + number}"
        self.exchange = PeerExchange(f"front-{number}", address, started_ms, self.fleet)
        self.heard_at = float("-inf")

    def change(self, source):
        for engine in self.fleet.engines.values():
            engine.own_load.requests = source.choice((0, 0, 1, 5))
            engine.own_load.prefill_s = source.random() * engine.own_load.requests
            if source.random() < 0.2:
                engine.speeds.append(source.uniform(0.5, 2.0))

    def announce(self, now):
        data = self.exchange.build_message(now, TopicProgress(), TopicProgress())
        return decode_peer_message(data)


@pytest.mark.parametrize("seed", range(10))
def test_sums_are_those_of_the_gateways_that_are_heard(seed):
    source = random.Random(seed)
    receiver = Sender(GATEWAYS).exchange
    senders = [Sender(number) for number in range(GATEWAYS)]
    announced = {}
    held = []
    for step in range(1500):
        now = step * 0.02
        number = source.randrange(GATEWAYS)
        sender = senders[number]
        if source.random() < 0.02:
            senders[number] = sender = Sender(number, started_ms=step + 2)
        if source.random() < 0.02:
            # Its incarnation is another one, and nobody's load is on it.
            engine_id = f"e{source.randrange(ENGINES)}"
            receiver.fleet.engines[engine_id] = make_engine(
                engine_id, started_ms=step + 2
            )
        sender.change(source)
        message = sender.announce(now)
        held.append(message)
        # Some are lost, some come late or twice.
        arriving = [message] if source.random() < 0.8 else []
        if source.random() < 0.2:
            arriving.append(source.choice(held[-40:]))
        for message in arriving:
            if receiver.apply_message(now, message):
                announced[message.node] = message, now
        if source.random() < 0.01:
            now += 2 * PEER_TIMEOUT_S
        for node in receiver.drop_silent_peers(now):
            del announced[node]
        check_sums(receiver, [message for message, _ in announced.values()])
    for node in list(receiver.drop_silent_peers(1e6)):
        del announced[node]
    assert not announced
    check_sums(receiver, [])


def check_sums(receiver, messages):
    for engine in receiver.fleet.engines.values():
        rows = [
            row for message in messages for row in message.loads if row[0] == engine.key
        ]
        assert engine.requests == sum(row[1] for row in rows)
        assert engine.prefill_s == sum(row[2] for row in rows) / 1e3


def test_gateways_that_are_gone_for_good_cost_little():
    exchange = Sender(0).exchange
    for number in range(1, 401):
        exchange.record_address(0.0, f"front-{number}", f"10.0.0.1:{7000 + number}")
    assert len(exchange.list_recipients(1.0)) == 400
    for step in range(200):
        now = 30.0 + step
        for number in range(1, 21):
            exchange.peers[f"front-{number}"].heard_at = now
        exchange.build_message(now, TopicProgress(), TopicProgress())
        recipients = exchange.list_recipients(now)
        assert {f"10.0.0.1:{7000 + number}" for number in range(1, 21)} <= set(
            recipients
        )
        # The others may be behind a cut that heals.
        assert len(recipients) == (400 if exchange.number % 20 == 0 else 20)
    assert exchange.announce_interval_s == pytest.approx(0.1)


@pytest.mark.parametrize("gateways", [30, 68, 300, 500])
def test_sound_gateways_are_not_silent_though_datagrams_are_lost(gateways):
    source = random.Random(gateways)
    receiver = Sender(gateways).exchange
    senders = [Sender(number).exchange for number in range(gateways)]
    for number, sender in enumerate(senders):
        receiver.record_address(0.0, sender.node, f"10.0.0.1:{7000 + number}")
    receiver.list_recipients(0.0)
    interval_s = receiver.announce_interval_s
    silent = []
    for step in range(100):
        now = step * interval_s
        message = decode_peer_message(
            senders[0].build_message(now, TopicProgress(), TopicProgress())
        )
        for sender in senders:
            if source.random() < 0.95:
                sent = msgspec.structs.replace(
                    message, node=sender.node, address=sender.address
                )
                assert receiver.apply_message(now + source.uniform(0, 0.1), sent)
        silent += receiver.drop_silent_peers(now + interval_s)
    assert silent == []
    # One that is gone is noticed all the same.
    gone_at = now + receiver.silence_timeout_s + 0.2
    assert len(list(receiver.drop_silent_peers(gone_at))) == gateways

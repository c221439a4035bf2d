"""Endpoints that slow down before they are full, and gateways before them, simulated.

Time is virtual. Requests at an endpoint share its processor: with more than it takes
well, each runs slower by the square of the excess.
"""

import heapq
import itertools
import random

from gateway_fakes import make_engine
from jasminewalk.gateway.peer_sums import Load
from jasminewalk.gateway.placement import PlacementPolicy

__all__ = ["SimulatedEndpoint", "play"]

STEP_S = 0.002
BASE_S = 0.05
SLOTS = 16
OBJECTIVE_S = 0.3


class SimulatedEndpoint:
    def __init__(self, name, takes, base_s=BASE_S, slots=SLOTS):
        self.name, self.takes, self.base_s, self.slots = name, takes, base_s, slots
        self.running = []

    def step(self):
        """Run all requests for a step; return those that end."""
        excess = max(1.0, len(self.running) / self.takes)
        rate = STEP_S / (self.base_s * excess**2)
        for request in self.running:
            request["left"] -= rate
        ended = [request for request in self.running if request["left"] <= 0]
        self.running = [request for request in self.running if request["left"] > 0]
        return ended


class SimulatedGateway:
    """Places requests with the product's decisions, and a view that is late."""

    def __init__(self, name, endpoints, learns, seed, gateways):
        self.name, self.learns, self.gateways = name, learns, gateways
        self.engines = {
            endpoint.name: make_engine(endpoint.name, "", slots=endpoint.slots)
            for endpoint in endpoints
        }
        self.placement = PlacementPolicy("north", random.Random(seed))
        self.waiting = []
        self.in_flight = {name: [] for name in self.engines}

    def choose(self, now):
        engines = [
            engine
            for engine in self.engines.values()
            if not self.learns
            or engine.learnt.has_room(now, engine.requests, self.gateways)
        ]
        return self.placement.choose_engine(engines, ())

    def send(self, now, request, endpoints):
        engine = self.choose(now)
        if engine is None:
            return False
        name = engine.entry.engine_id
        engine.own_load.requests += 1
        engine.learnt.take()
        request |= {"sent": now, "gateway": self, "at_once": engine.requests}
        self.in_flight[name].append(request)
        endpoints[name].running.append(request)
        return True

    def record(self, now, name, request):
        engine = self.engines[name]
        engine.own_load.requests -= 1
        self.in_flight[name].remove(request)
        latency_s = now - request["sent"]
        engine.observe_latency(latency_s)
        if self.learns:
            engine.learnt.record(
                now, request["sent"], latency_s, request["at_once"], OBJECTIVE_S
            )

    def look_for_overdue(self, now):
        for name, requests in self.in_flight.items():
            if requests and self.learns:
                engine = self.engines[name]
                engine.learnt.record_overdue(
                    now, requests[0]["sent"], engine.requests, OBJECTIVE_S
                )

    def tell(self, now, others):
        rows = {name: e.learnt.announce(now) for name, e in self.engines.items()}
        for other in others:
            for name, engine in self.engines.items():
                known = other.engines[name]
                known.peer_loads[self.name] = Load(engine.own_load.requests)
                if rows[name] is not None:
                    known.learnt.record_peer(now, self.name, rows[name])


def play(
    endpoints, per_s, seconds, *, gateways=2, changes=(), learns=True, seed=1,
    deadline_s=1.0, interval_s=0.1,
):  # fmt: skip
    """Return (arrival, seconds until the answer or None, reason) of each request.

    ``changes`` are (time, function) pairs, called at their times.
    """
    rng = random.Random(seed)
    by_name = {endpoint.name: endpoint for endpoint in endpoints}
    members = [
        SimulatedGateway(f"front-{number}", endpoints, learns, seed + number, gateways)
        for number in range(gateways)
    ]
    outcomes, pending = [], sorted(changes, key=lambda change: change[0], reverse=True)
    next_arrival = rng.expovariate(per_s)
    tell_at = [(rng.uniform(0, interval_s), number) for number in range(gateways)]
    heapq.heapify(tell_at)
    for step in itertools.count():
        now = step * STEP_S
        if now > seconds + 3 * deadline_s:
            return outcomes
        while pending and pending[-1][0] <= now:
            pending.pop()[1]()
        for name, endpoint in by_name.items():
            for request in endpoint.step():
                if request["gateway"] is not None:
                    request["gateway"].record(now, name, request)
                    taken_s = now - request["arrived"]
                    outcomes.append((request["arrived"], taken_s, "answered"))
        while next_arrival <= now and now < seconds:
            member = rng.choice(members)
            member.waiting.append({"arrived": now, "left": rng.uniform(0.7, 1.3)})
            next_arrival += rng.expovariate(per_s)
        for member in members:
            member.look_for_overdue(now)
            while member.waiting and member.send(now, member.waiting[0], by_name):
                member.waiting.pop(0)
            for request in [r for r in member.waiting if now - r["arrived"] > 0.25]:
                member.waiting.remove(request)
                outcomes.append((request["arrived"], None, "refused"))
            for name, requests in member.in_flight.items():
                for request in [r for r in requests if now - r["arrived"] > deadline_s]:
                    requests.remove(request)
                    member.engines[name].own_load.requests -= 1
                    by_name[name].running.remove(request)
                    outcomes.append((request["arrived"], None, "deadline"))
        while tell_at and tell_at[0][0] <= now:
            _, number = heapq.heappop(tell_at)
            member = members[number]
            member.tell(now, [m for m in members if m is not member])
            heapq.heappush(tell_at, (now + interval_s, number))

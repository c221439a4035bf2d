"""One random schedule: the fleet, its work, its faults and its end state."""

import attrs
import msgspec

from jasminewalk.agreement.order_actions import WantedState
from jasminewalk.generated_records import ConfigurationRecord
from jasminewalk.transport.codec import encode_record
from observers import Engine, Operator, Service, promise
from schedules import FAULTS_S, HEAL_S, EngineSidecar, ServiceSidecar, World

MIN_DECODE = 1
SETTLE_S = 40.0


class Scenario:
    """A fleet under random work and faults, and what must hold at the end.

    :param seed: seed of everything random.
    :param fault_period_s: mean seconds between faults.
    :param ask_period_s: mean seconds between requests.
    :param want_period_s: mean seconds between changes of an engine's wanted state.
    """

    def __init__(self, seed, fault_period_s=1.5, ask_period_s=0.2, want_period_s=4.0):
        self.world = World(seed)
        self.rng = self.world.rng
        self.fault_period_s = fault_period_s
        self.ask_period_s = ask_period_s
        self.want_period_s = want_period_s
        self.lives = 0
        self.keys, self.requests = ["k0"], {}
        self.publish_fleet()
        self.service = Service(self.world)
        self.engines = {f"e{n}": Engine(self.world, n != 1) for n in range(3)}
        self.operators = [Operator(self.world, f"o{n}", f"o{n}") for n in range(3)]
        self.sidecars = {}
        for name in ["s0", "s1", *self.engines]:
            self.start(name)

    def publish_fleet(self):
        pool = {"kind": "engine", "min_decode": MIN_DECODE}
        record = ConfigurationRecord(
            record_id="fleet",
            subject="fleet/default",
            base_revision=0,
            document=msgspec.json.encode({"pools": {"tutor": pool}}).decode(),
        )
        self.world.records.append((0.0, encode_record(record)))

    def start(self, name):
        self.lives += 1
        incarnation = f"{name}-{self.lives}"
        if name in self.engines:
            made = EngineSidecar(self.world, name, incarnation, self.engines[name])
        else:
            made = ServiceSidecar(self.world, name, incarnation, self.service)
        self.sidecars[name] = made

    def every(self, period_s, call, end_s):
        def again():
            if self.world.clock.now_s < end_s:
                call()
                self.world.at(self.rng.expovariate(1.0 / period_s), again)

        self.world.at(self.rng.expovariate(1.0 / period_s), again)

    def run(self):
        end_s = FAULTS_S + HEAL_S
        self.every(self.ask_period_s, self.ask, end_s - SETTLE_S)
        self.every(1.0, self.publish, end_s - SETTLE_S)
        self.every(self.want_period_s, self.want, end_s - SETTLE_S)
        self.every(0.1, self.watch, end_s)
        self.every(self.fault_period_s, self.fail, FAULTS_S)
        self.world.run_until(FAULTS_S)
        self.heal()
        self.world.run_until(end_s)
        self.check_end()
        return self.world.events

    def ask(self):
        if self.rng.random() < 0.6:
            self.keys = [*self.keys[-9:], f"k{len(self.requests)}"]
        key = self.rng.choice(self.keys)
        names = self.rng.choice([["s0"], ["s1"], ["s0", "s1"]])
        for name in names:
            request_id = f"r{len(self.requests)}"
            self.requests[request_id] = self.sidecars[name]
            self.service.key_of[request_id] = key
            self.sidecars[name].call(self.sidecars[name].request, request_id, key)

    def publish(self):
        operator = self.rng.choice(self.operators[:2])
        operator.call(operator.add)

    def want(self):
        role = self.rng.choice(["mixed", "prefill", "decode"])
        state = WantedState(role=role, models=(self.rng.choice("ab"),))
        sidecar = self.sidecars[self.rng.choice(list(self.engines))]
        sidecar.call(lambda: sidecar.controller.want(sidecar.now_s, state))

    def watch(self):
        for operator in self.operators:
            operator.call(operator.serve)
        for name, sidecar in list(self.sidecars.items()):
            if sidecar.registrar.superseded and not sidecar.dead:
                sidecar.dead = True
                self.world.at(1.0, self.replace, name, sidecar)
        decoding = sum(engine.decodes for engine in self.engines.values())
        promise(decoding >= MIN_DECODE, "the pool is below its minimum")

    def fail(self):
        name = self.rng.choice(list(self.sidecars))
        node = self.rng.choice([self.sidecars[name], *self.operators])
        length_s = self.rng.choice([0.5, 2.0, 6.0])
        match self.rng.randrange(7):
            case 0:
                node.paused_until_s = node.now_s + length_s * self.rng.choice([1, 4])
            case 1:
                node.cut = True
                self.world.at(length_s, setattr, node, "cut", False)
            case 2:
                self.world.outage = True
                self.world.at(length_s, setattr, self.world, "outage", False)
            case 3:
                self.engines[self.rng.choice(list(self.engines))].crash()
            case 4:
                self.sidecars[name].dead = True
                self.world.at(length_s, self.replace, name, self.sidecars[name])
            case 5:
                self.sidecars[name].paused_until_s = node.now_s + 2 * length_s
                self.world.at(length_s / 2, self.replace, name, self.sidecars[name])
            case 6:
                self.operators[2].dead = True
                served = self.operators[2].served
                self.operators[2] = Operator(self.world, "o2", f"o2-{node.now_s}")
                self.operators[2].served = served

    def replace(self, name, old):
        if self.sidecars[name] is old:
            self.start(name)

    def heal(self):
        self.world.faults = self.world.outage = False
        for node in [*self.sidecars.values(), *self.operators]:
            node.cut, node.paused_until_s = False, 0.0
        for name, node in self.sidecars.items():
            if node.dead:
                self.start(name)

    def check_end(self):
        nodes = [*self.sidecars.values(), *self.operators]
        states = [node.fold.get_state() for node in nodes]
        promise(all(node.fold.ready for node in nodes), "a process is not ready")
        same = [attrs.evolve(state, covers=0) for state in states]
        promise(all(state == same[0] for state in same), "two processes disagree")
        for request_id, sidecar in self.requests.items():
            answered = sidecar.dead or request_id in self.service.told
            promise(answered, f"{request_id} was never answered")
        self.check_counter()
        for name, engine in self.engines.items():
            controller = self.sidecars[name].controller
            entry = controller.fold.get_endpoint(name)
            promise(entry is not None and not entry.open, f"{name} has an open grant")
            wanted = controller.wanted
            now = (engine.role, tuple(engine.models))
            reached = wanted is None or now == (wanted.role, wanted.models)
            promise(reached, f"{name} is not in its wanted state")

    def check_counter(self):
        entry = self.operators[0].fold.get_subject("organisation/counter")
        counted = int(entry.document) if entry else 0
        accepted = sum(o.told_accepted for o in self.operators)
        unsure = sum(o.told_nothing for o in self.operators)
        promise(accepted <= counted <= accepted + unsure, "an accepted change was lost")

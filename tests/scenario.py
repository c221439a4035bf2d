"""A random schedule of a fleet with its load, its faults and its final state."""

import attrs
import msgspec

from jasminewalk.agreement.order_actions import WantedState
from jasminewalk.generated_records import ConfigurationRecord
from jasminewalk.transport.codec import encode_record
from observers import Engine, Operator, Service, check_invariant
from schedules import (
    FAULT_PHASE_S,
    RECOVERY_PHASE_S,
    EngineSidecar,
    ServiceSidecar,
    Simulation,
)

MIN_DECODE = 1
SETTLING_PHASE_S = 40.0


class Scenario:
    """A fleet under random load and faults, with checks of its invariants.

    :param seed: seed of all random numbers.
    :param fault_period_s: mean seconds between faults.
    :param request_period_s: mean seconds between requests.
    :param wanted_state_period_s: mean seconds between changes of wanted states.
    """

    def __init__(
        self, seed, fault_period_s=1.5, request_period_s=0.2, wanted_state_period_s=4.0
    ):
        self.simulation = Simulation(seed)
        self.rng = self.simulation.rng
        self.fault_period_s = fault_period_s
        self.request_period_s = request_period_s
        self.wanted_state_period_s = wanted_state_period_s
        self.incarnation_count = 0
        self.keys, self.sidecar_by_request = ["k0"], {}
        self.publish_fleet()
        self.service = Service(self.simulation)
        self.engines = {
            f"e{number}": Engine(self.simulation, number != 1) for number in range(3)
        }
        self.operators = [
            Operator(self.simulation, f"o{number}", f"o{number}") for number in range(3)
        ]
        self.sidecars = {}
        for name in ["s0", "s1", *self.engines]:
            self.start_sidecar(name)

    def publish_fleet(self):
        pool = {"kind": "engine", "min_decode": MIN_DECODE}
        record = ConfigurationRecord(
            record_id="fleet",
            subject="fleet/default",
            base_revision=0,
            document=msgspec.json.encode({"pools": {"tutor": pool}}).decode(),
        )
        self.simulation.records.append((0.0, encode_record(record)))

    def start_sidecar(self, name):
        self.incarnation_count += 1
        incarnation = f"{name}-{self.incarnation_count}"
        if name in self.engines:
            sidecar = EngineSidecar(
                self.simulation, name, incarnation, self.engines[name]
            )
        else:
            sidecar = ServiceSidecar(self.simulation, name, incarnation, self.service)
        self.sidecars[name] = sidecar

    def schedule_repeatedly(self, period_s, callback, end_s):
        def run_and_reschedule():
            if self.simulation.clock.now_s < end_s:
                callback()
                self.simulation.schedule(
                    self.rng.expovariate(1.0 / period_s), run_and_reschedule
                )

        self.simulation.schedule(
            self.rng.expovariate(1.0 / period_s), run_and_reschedule
        )

    def run(self):
        end_s = FAULT_PHASE_S + RECOVERY_PHASE_S
        self.schedule_repeatedly(
            self.request_period_s, self.send_requests, end_s - SETTLING_PHASE_S
        )
        self.schedule_repeatedly(1.0, self.publish_change, end_s - SETTLING_PHASE_S)
        self.schedule_repeatedly(
            self.wanted_state_period_s,
            self.change_wanted_state,
            end_s - SETTLING_PHASE_S,
        )
        self.schedule_repeatedly(0.1, self.check_running_system, end_s)
        self.schedule_repeatedly(self.fault_period_s, self.inject_fault, FAULT_PHASE_S)
        self.simulation.run_until(FAULT_PHASE_S)
        self.end_faults()
        self.simulation.run_until(end_s)
        self.check_final_state()
        return self.simulation.event_count

    def send_requests(self):
        if self.rng.random() < 0.6:
            self.keys = [*self.keys[-9:], f"k{len(self.sidecar_by_request)}"]
        key = self.rng.choice(self.keys)
        names = self.rng.choice([["s0"], ["s1"], ["s0", "s1"]])
        for name in names:
            request_id = f"r{len(self.sidecar_by_request)}"
            self.sidecar_by_request[request_id] = self.sidecars[name]
            self.service.key_by_request[request_id] = key
            self.sidecars[name].invoke(
                self.sidecars[name].start_request, request_id, key
            )

    def publish_change(self):
        operator = self.rng.choice(self.operators[:2])
        operator.invoke(operator.propose_increment)

    def change_wanted_state(self):
        role = self.rng.choice(["mixed", "prefill", "decode"])
        state = WantedState(role=role, models=(self.rng.choice("ab"),))
        sidecar = self.sidecars[self.rng.choice(list(self.engines))]
        sidecar.invoke(
            lambda: sidecar.controller.set_wanted_state(sidecar.now_s, state)
        )

    def check_running_system(self):
        for operator in self.operators:
            operator.invoke(operator.check_reads)
        for name, sidecar in list(self.sidecars.items()):
            if sidecar.registrar.is_superseded and not sidecar.stopped:
                sidecar.stopped = True
                self.simulation.schedule(1.0, self.replace_sidecar, name, sidecar)
        decoding = sum(engine.keeps_decoding for engine in self.engines.values())
        check_invariant(decoding >= MIN_DECODE, "the pool is below its minimum")

    def inject_fault(self):
        name = self.rng.choice(list(self.sidecars))
        node = self.rng.choice([self.sidecars[name], *self.operators])
        duration_s = self.rng.choice([0.5, 2.0, 6.0])
        match self.rng.randrange(7):
            case 0:
                node.paused_until_s = node.now_s + duration_s * self.rng.choice([1, 4])
            case 1:
                node.partitioned = True
                self.simulation.schedule(
                    duration_s, setattr, node, "partitioned", False
                )
            case 2:
                self.simulation.in_outage = True
                self.simulation.schedule(
                    duration_s, setattr, self.simulation, "in_outage", False
                )
            case 3:
                self.engines[self.rng.choice(list(self.engines))].crash()
            case 4:
                self.sidecars[name].stopped = True
                self.simulation.schedule(
                    duration_s, self.replace_sidecar, name, self.sidecars[name]
                )
            case 5:
                self.sidecars[name].paused_until_s = node.now_s + 2 * duration_s
                self.simulation.schedule(
                    duration_s / 2, self.replace_sidecar, name, self.sidecars[name]
                )
            case 6:
                self.operators[2].stopped = True
                last_read_revision = self.operators[2].last_read_revision
                self.operators[2] = Operator(self.simulation, "o2", f"o2-{node.now_s}")
                self.operators[2].last_read_revision = last_read_revision

    def replace_sidecar(self, name, previous):
        if self.sidecars[name] is previous:
            self.start_sidecar(name)

    def end_faults(self):
        self.simulation.faults = self.simulation.in_outage = False
        for node in [*self.sidecars.values(), *self.operators]:
            node.partitioned, node.paused_until_s = False, 0.0
        for name, node in self.sidecars.items():
            if node.stopped:
                self.start_sidecar(name)

    def check_final_state(self):
        nodes = [*self.sidecars.values(), *self.operators]
        states = [node.fold.get_state() for node in nodes]
        check_invariant(
            all(node.fold.is_ready for node in nodes), "a process is not ready"
        )
        states_without_offset = [attrs.evolve(state, covers=0) for state in states]
        check_invariant(
            all(state == states_without_offset[0] for state in states_without_offset),
            "two processes disagree",
        )
        for request_id, sidecar in self.sidecar_by_request.items():
            is_answered = (
                sidecar.stopped or request_id in self.service.outcome_by_request
            )
            check_invariant(is_answered, f"{request_id} was never answered")
        self.check_counter()
        for name, engine in self.engines.items():
            controller = self.sidecars[name].controller
            entry = controller.fold.get_endpoint(name)
            check_invariant(
                entry is not None and not entry.open, f"{name} has an open grant"
            )
            wanted = controller.wanted
            current = (engine.role, tuple(engine.models))
            is_reached = wanted is None or current == (wanted.role, wanted.models)
            check_invariant(is_reached, f"{name} is not in its wanted state")

    def check_counter(self):
        entry = self.operators[0].fold.get_subject("organisation/counter")
        published_count = int(entry.document) if entry else 0
        accepted_count = sum(operator.accepted_count for operator in self.operators)
        unknown_count = sum(operator.unknown_count for operator in self.operators)
        check_invariant(
            accepted_count <= published_count <= accepted_count + unknown_count,
            "an accepted change was lost",
        )

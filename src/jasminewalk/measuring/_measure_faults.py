"""Inject the faults of a workload: crash, drain, withdrawn engine, log outage."""

from typing import TYPE_CHECKING

from jasminewalk.generated_measure import MeasureFault
from jasminewalk.measuring._measure_endpoint import MeasuredEndpoint

if TYPE_CHECKING:
    from jasminewalk.measuring._measure_simulation import PolicySimulation

__all__ = ["CRASH_DETECTION_S", "schedule_faults"]

CRASH_DETECTION_S = 1.5  # Time until entries detect that an endpoint is silent.


def schedule_faults(simulation: "PolicySimulation") -> None:
    """Schedule the faults of the simulated workload.

    :param simulation: the simulation.
    """
    injector = _FaultInjector(simulation)
    for fault in simulation.workload.faults:
        simulation.schedule(fault.at_s, injector.start_fault, fault)
        simulation.schedule(fault.at_s + fault.for_s, injector.end_fault, fault)


class _FaultInjector:
    """Callbacks that start and end faults in a simulation.

    :param simulation: the simulation.
    """

    def __init__(self, simulation: "PolicySimulation") -> None:
        self.simulation = simulation

    def start_fault(self, now_s: float, fault: MeasureFault) -> None:
        """Start a fault."""
        if fault.kind == "log_outage":
            self.simulation.log_down = True
            return
        endpoint = self.simulation.endpoints[f"engine-{fault.endpoint}"]
        if fault.kind == "crash":
            self.crash_engine(now_s, endpoint)
            return
        endpoint.withdrawn = True
        endpoint.queue.drain()

    def crash_engine(self, now_s: float, endpoint: MeasuredEndpoint) -> None:
        """Crash an engine and retry its requests on other endpoints.

        The tokens that a stream has delivered are recorded, so that it is resumed after
        them.
        """
        simulation = self.simulation
        endpoint.is_running = False
        simulation.schedule(now_s + CRASH_DETECTION_S, self.update_visibility, endpoint)
        endpoint.model.simulate_until(now_s)
        batch = endpoint.model.batch
        for stream in batch.decoding.values():
            request = simulation.requests[int(stream.request.request_id)]
            delivered = batch.step_log.steps - stream.first_token_step + 1
            request.delivered_tokens = stream.request.resume_from + delivered
        for sent_frame in endpoint.model.crash(now_s):
            simulation.handle_frame(sent_frame, endpoint)
        for item in list(endpoint.queue.waiting.values()):
            request_id = item.profile.request_id
            endpoint.queue.cancel(request_id)
            request = simulation.requests[int(request_id)]
            simulation.routers[request.entry].record_failure(
                now_s, request_id, endpoint.name
            )
            simulation.route_request(now_s, request, frozenset({endpoint.name}))

    def update_visibility(self, now_s: float, endpoint: MeasuredEndpoint) -> None:
        """Hide an endpoint from the entries unless it has restarted."""
        del now_s
        endpoint.is_visible = endpoint.is_running

    def end_fault(self, now_s: float, fault: MeasureFault) -> None:
        """End a fault."""
        if fault.kind == "log_outage":
            self.simulation.log_down = False
            return
        endpoint = self.simulation.endpoints[f"engine-{fault.endpoint}"]
        endpoint.withdrawn = False
        endpoint.queue.resume()
        if fault.kind == "crash":
            endpoint.restart(now_s)
            self.simulation.roles[endpoint.name] = endpoint.model.speeds.role

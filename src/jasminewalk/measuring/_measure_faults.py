"""Faults of a measured run: crash, drain, withdrawn engine, log outage."""

from typing import TYPE_CHECKING

from jasminewalk.generated_measure import MeasureFault
from jasminewalk.measuring._measure_endpoint import MeasuredEndpoint

if TYPE_CHECKING:
    from jasminewalk.measuring._measure_driver import Driver

__all__ = ["DETECT_S", "schedule_faults"]

DETECT_S = 1.5


def schedule_faults(driver: "Driver") -> None:
    """Schedule the faults of a driver's workload.

    :param driver: the run.
    """
    faults = _Faults(driver)
    for fault in driver.workload.faults:
        driver.at(fault.at_s, faults.begin, fault)
        driver.at(fault.at_s + fault.for_s, faults.end, fault)


class _Faults:
    """Lets faults begin and end.

    :param driver: the run.
    """

    def __init__(self, driver: "Driver") -> None:
        self.driver = driver

    def begin(self, now_s: float, fault: MeasureFault) -> None:
        """Let a fault begin."""
        if fault.kind == "log_outage":
            self.driver.log_down = True
            return
        endpoint = self.driver.endpoints[f"engine-{fault.endpoint}"]
        if fault.kind == "crash":
            self.crash(now_s, endpoint)
            return
        endpoint.withdrawn = True
        endpoint.queue.drain()

    def crash(self, now_s: float, endpoint: MeasuredEndpoint) -> None:
        """Break what an engine has; the entries resume it elsewhere."""
        driver = self.driver
        endpoint.up = False
        driver.at(now_s + DETECT_S, self.detect, endpoint)
        endpoint.model.simulate_until(now_s)
        batch = endpoint.model.batch
        for stream in batch.decoding.values():
            request = driver.requests[int(stream.request.request_id)]
            done = batch.step_log.steps - stream.first_token_step + 1
            request.done_tokens = stream.request.resume_from + done
        for out in endpoint.model.crash(now_s):
            driver.on_frame(out, endpoint)
        for item in list(endpoint.queue.waiting.values()):
            name = item.profile.request_id
            endpoint.queue.cancel(name)
            request = driver.requests[int(name)]
            driver.routers[request.entry].record_failure(now_s, name, endpoint.name)
            driver.attempt(now_s, request, frozenset({endpoint.name}))

    def detect(self, now_s: float, endpoint: MeasuredEndpoint) -> None:
        """Let the entries find that an endpoint is silent."""
        del now_s
        endpoint.visible = endpoint.up

    def end(self, now_s: float, fault: MeasureFault) -> None:
        """Let a fault end."""
        if fault.kind == "log_outage":
            self.driver.log_down = False
            return
        endpoint = self.driver.endpoints[f"engine-{fault.endpoint}"]
        endpoint.withdrawn = False
        endpoint.queue.resume()
        if fault.kind == "crash":
            endpoint.restart(now_s)
            self.driver.roles[endpoint.name] = endpoint.model.speeds.role

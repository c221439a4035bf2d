"""What differs between a sidecar beside an engine and one beside a service."""

from abc import ABC, abstractmethod

from jasminewalk.fold_events import FoldEvent
from jasminewalk.generated_messages import LoadReport, PoolDemand

__all__ = ["EndpointPart"]


class EndpointPart(ABC):
    """The part of a sidecar that deals with its endpoint."""

    @property
    @abstractmethod
    def idle(self) -> bool:
        """Whether no request is queued or running."""

    @property
    @abstractmethod
    def drained(self) -> bool:
        """Whether the endpoint takes no new work because of an order."""

    @abstractmethod
    def drain(self) -> None:
        """Refuse new work from now on and finish what was admitted."""

    @abstractmethod
    def fill_report(self, report: LoadReport) -> LoadReport:
        """Return a load report with the endpoint's own figures.

        :param report: report with the figures that every sidecar has.
        """

    @abstractmethod
    def on_fold_event(self, event: FoldEvent) -> None:
        """Take what a new log record changed.

        :param event: what a record changed.
        """

    @abstractmethod
    def on_demand(self, demand: PoolDemand) -> None:
        """Take evidence of the work that arrives for the pool.

        :param demand: what one entry saw.
        """

    @abstractmethod
    async def run(self) -> None:
        """Deal with the endpoint until cancelled."""

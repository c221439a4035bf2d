"""Stand-in for the platform's rate-limited weight store."""

from typing import Any

from jasminewalk.clock import Clock, SystemClock
from jasminewalk.exceptions import JasminewalkError
from jasminewalk.generated_codes import Code
from jasminewalk.generated_standins import (
    StandinWeightsSettings,
    WeightReservation,
    WeightsFaults,
    WeightTurn,
)
from jasminewalk.standins._standin import Standin, StandinRequest
from jasminewalk.transport._http import send_json

__all__ = ["StandinWeights"]


class StandinWeights(Standin[WeightsFaults]):
    """Weight store that serves its readers one after another at a fixed rate.

    :param settings: transfer rate of the store.
    :param clock: source of time.
    """

    def __init__(
        self, settings: StandinWeightsSettings, *, clock: Clock | None = None
    ) -> None:
        super().__init__(settings.listen, settings.body_bytes, WeightsFaults())
        self.settings = settings
        self.clock = clock or SystemClock()
        self.available_at_s = self.clock.monotonic()
        self.reservations: dict[str, int] = {}

    def reserve(self, reservation: WeightReservation) -> WeightTurn:
        """Reserve the transfer of an artifact and return how long its reader must wait.

        :param reservation: the artifact and its size.
        """
        now_s = self.clock.monotonic()
        duration_s = reservation.size_bytes / self.settings.bytes_per_s
        self.available_at_s = max(self.available_at_s, now_s) + duration_s
        count = self.reservations.get(reservation.artifact, 0)
        self.reservations[reservation.artifact] = count + 1
        return WeightTurn(wait_s=self.available_at_s - now_s)

    def get_counts(self) -> Any:
        """Return the number of reservations of each artifact."""
        return self.reservations

    async def handle_request(self, request: StandinRequest) -> None:
        """Handle a reservation.

        :param request: the request.
        """
        if (request.method, request.path) != ("POST", "/reservations"):
            raise self.build_unknown_path_error(request)
        if self.faults.outage:
            raise JasminewalkError(code=Code.NO_ENDPOINT, retry_after_s=1.0)
        turn = self.reserve(request.decode(WeightReservation))
        await send_json(request.send, 200, turn)

"""Client of the platform's rate-limited weight store."""

import msgspec

from jasminewalk.generated_standins import WeightReservation, WeightTurn
from jasminewalk.interfaces import WeightStore
from jasminewalk.transport._http_call import HttpClient

__all__ = ["HttpWeightStore"]

_turn_decoder = msgspec.json.Decoder(WeightTurn)


class HttpWeightStore(HttpClient, WeightStore):
    """HTTP client of the weight store."""

    async def reserve(self, artifact: str, size_bytes: int) -> float:
        """Reserve a load and return the seconds to wait before it may start.

        :param artifact: name of the model or adapter.
        :param size_bytes: size of its weights in bytes.
        :raises OSError: if the store cannot be reached.
        """
        reservation = WeightReservation(artifact=artifact, size_bytes=size_bytes)
        body = msgspec.json.encode(reservation)
        return (await self.fetch(_turn_decoder, "POST", "/reservations", body)).wait_s

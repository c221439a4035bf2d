"""Client of the platform's rate-limited weight store."""

import msgspec

from jasminewalk.generated_standins import WeightReservation, WeightTurn
from jasminewalk.interfaces import WeightStore
from jasminewalk.transport._http_call import HttpClient

__all__ = ["HttpWeightStore"]

_turn_decoder = msgspec.json.Decoder(WeightTurn)


class HttpWeightStore(HttpClient, WeightStore):
    """Weight store over HTTP."""

    async def reserve(self, artifact: str, size_bytes: int) -> float:
        """Return seconds to wait before the artifact may be loaded.

        :param artifact: name of the model or adapter.
        :param size_bytes: size of its weights.
        :raises OSError: if the store cannot be reached.
        """
        reservation = WeightReservation(artifact=artifact, size_bytes=size_bytes)
        body = msgspec.json.encode(reservation)
        return (await self.fetch(_turn_decoder, "POST", "/reservations", body)).wait_s

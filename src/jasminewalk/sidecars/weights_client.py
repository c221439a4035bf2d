"""Client of the platform's rate-limited weight store."""

import httpcore
import msgspec

from jasminewalk.generated_standins import WeightReservation, WeightTurn
from jasminewalk.interfaces import WeightStore
from jasminewalk.transport._http_call import call, raise_for_status

__all__ = ["HttpWeightStore"]

TIMEOUT_S = 2.0

_decode = msgspec.json.Decoder(WeightTurn).decode


class HttpWeightStore(WeightStore):
    """Weight store over HTTP.

    :param pool: pool of HTTP connections.
    :param address: ``host:port`` of the weight store.
    :param timeout_s: seconds to wait for an answer.
    """

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        address: str,
        timeout_s: float = TIMEOUT_S,
    ) -> None:
        self.pool = pool
        self.address = address
        self.timeout_s = timeout_s

    async def reserve(self, artifact: str, size_bytes: int) -> float:
        """Return seconds to wait before the artifact may be loaded.

        :param artifact: name of the model or adapter.
        :param size_bytes: size of its weights.
        :raises OSError: if the store cannot be reached.
        """
        wanted = WeightReservation(artifact=artifact, size_bytes=size_bytes)
        answer = await call(
            self.pool,
            "POST",
            self.address,
            "/reservations",
            body=msgspec.json.encode(wanted),
            timeout_s=self.timeout_s,
        )
        raise_for_status(answer)
        try:
            return _decode(answer.body).wait_s
        except msgspec.MsgspecError as error:
            raise OSError(str(error)) from error

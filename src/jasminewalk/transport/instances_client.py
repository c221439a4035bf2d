"""Client of the platform's list of instances."""

import httpcore
import msgspec

from jasminewalk.generated_requests import Instance
from jasminewalk.interfaces import InstanceList
from jasminewalk.transport._http_call import call, raise_for_status

__all__ = ["HttpInstanceList"]

TIMEOUT_S = 2.0

_decode = msgspec.json.Decoder(list[Instance]).decode


class HttpInstanceList(InstanceList):
    """Instance list over HTTP.

    :param pool: pool of HTTP connections.
    :param address: ``host:port`` of the instance list.
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

    async def instances(self) -> list[Instance]:
        """Return the rows of the list.

        :raises OSError: if the list cannot be reached or read.
        """
        answer = await call(
            self.pool, "GET", self.address, "/instances", timeout_s=self.timeout_s
        )
        raise_for_status(answer)
        try:
            return _decode(answer.body)
        except msgspec.MsgspecError as error:
            raise OSError(str(error)) from error

"""HTTP client of the platform's list of instances."""

import msgspec

from jasminewalk.generated_requests import Instance
from jasminewalk.interfaces import InstanceList
from jasminewalk.transport._http_call import HttpClient

__all__ = ["HttpInstanceList"]

_instances_decoder = msgspec.json.Decoder(list[Instance])


class HttpInstanceList(HttpClient, InstanceList):
    """Instance list that is read over HTTP."""

    async def instances(self) -> list[Instance]:
        """Fetch the rows of the list.

        :raises OSError: if the list cannot be fetched or decoded.
        """
        return await self.fetch(_instances_decoder, "GET", "/instances")

"""HTTP client of the platform's list of instances."""

import msgspec
from absl import logging

from jasminewalk.decoding import decode_json
from jasminewalk.exceptions import BadMessageError
from jasminewalk.generated_requests import Instance
from jasminewalk.interfaces import InstanceList
from jasminewalk.transport._http_call import HttpClient

__all__ = ["HttpInstanceList"]

MAX_PORT = 65535

_rows_decoder = msgspec.json.Decoder(list[msgspec.Raw])


class HttpInstanceList(HttpClient, InstanceList):
    """Instance list that is read over HTTP.

    A row that can't be read, or whose addresses have no port that can be used, is left
    out.
    """

    reported: frozenset[str] = frozenset()

    async def instances(self) -> list[Instance]:
        """Fetch the rows of the list.

        :raises OSError: if the list cannot be fetched or decoded.
        """
        instances: list[Instance] = []
        errors: set[str] = set()
        for row in await self.fetch(_rows_decoder, "GET", "/instances"):
            try:
                instances.append(_decode_row(bytes(row)))
            except BadMessageError as error:
                errors.add(str(error))
        for detail in errors - self.reported:
            logging.warning("[platform] Row of the instance list left out. %s", detail)
        self.reported = frozenset(errors)
        return instances


def _decode_row(text: bytes) -> Instance:
    instance = decode_json(text, Instance, "instance")
    for address in (instance.address, instance.control_address):
        if address and not _has_port(address):
            raise BadMessageError(
                f"instance {instance.name[:60]!r}: {address[:60]!r} has no usable port"
            )
    return instance


def _has_port(address: str) -> bool:
    host, _, port = address.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or len(port) > 5:
        return False
    return 0 < int(port) <= MAX_PORT

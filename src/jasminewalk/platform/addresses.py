"""Addresses on the platform, which has no names for them."""

from functools import lru_cache
from ipaddress import IPv4Address

from jasminewalk.exceptions import BadMessageError

__all__ = ["parse_address", "parse_peer_address"]

MAX_PORT = 65535


def parse_address(text: str) -> tuple[str, int]:
    """Return the IPv4 address and the port of an address.

    :param text: ``address:port``.
    :raises BadMessageError: if it is not that.
    """
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
    except ValueError as error:
        raise BadMessageError(f"{text[:60]!r} is no IPv4 address and port") from error
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise BadMessageError(f"{text[:60]!r} has no port from 1 to {MAX_PORT}")
    return host, int(port)


@lru_cache(maxsize=4096)
def parse_peer_address(text: str) -> tuple[str, int]:
    """Return the IPv4 address and the port of a single process.

    :param text: ``address:port``.
    :raises BadMessageError: if it is not that, or stands for several instances or none.
    """
    host, port = parse_address(text)
    address = IPv4Address(host)
    if address.is_unspecified or address.is_multicast or address.is_reserved:
        raise BadMessageError(f"{text[:60]!r} is not the address of an instance")
    return host, port

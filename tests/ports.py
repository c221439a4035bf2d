"""Ports of loopback servers in tests, different in all processes of a machine.

Each process claims blocks of ports below the ephemeral range: it keeps a socket bound
to the first port of a block until it exits, so no other process can claim that block.
"""

import itertools
import os
import socket

__all__ = ["allocate_address", "allocate_port"]

FIRST_PORT, LAST_PORT = 10000, 32700
PORTS_PER_BLOCK = 100

_claims = []


def allocate_address():
    return f"127.0.0.1:{allocate_port()}"


def allocate_port():
    """Return a free TCP and UDP port that no process was given before in its block.

    :raises RuntimeError: if no port is left.
    """
    for port in _ports:
        if _is_free(port):
            return port
    raise RuntimeError(f"no port is left between {FIRST_PORT} and {LAST_PORT}")


def _list_ports():
    blocks = range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK)
    # Processes that start one after the other use different blocks.
    start = os.getpid() % len(blocks)
    for first_port in itertools.chain(blocks[start:], blocks[:start]):
        if _claim(first_port):
            yield from range(first_port + 1, first_port + PORTS_PER_BLOCK)


def _claim(first_port):
    claim = socket.socket()
    try:
        claim.bind(("127.0.0.1", first_port))
    except OSError:
        claim.close()
        return False
    _claims.append(claim)
    return True


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as sock:
            try:
                sock.bind(("", port))
            except OSError:
                return False
    return True


_ports = _list_ports()

"""Calls to the platform's API that one instance at a time makes for all."""

from collections.abc import Mapping

import msgspec

from jasminewalk.http1.client import encode_request

__all__ = ["encode_usage_report"]


def encode_usage_report(
    address: str, holder: str, fence: int, window: int, counts: Mapping[str, int]
) -> bytes:
    """Encode the call that reports the usage of one window.

    :param address: ``host:port`` of the platform's API.
    :param holder: name of the instance that has the duty.
    :param fence: number that rises whenever the holder changes.
    :param window: number of the window.
    :param counts: requests that engines began in it, by the name of the organisation.
    """
    headers = [
        (b"host", address.encode()),
        (b"connection", b"close"),
        (b"content-type", b"application/json"),
        (b"x-jasminewalk-duty-holder", holder.encode()),
        (b"x-jasminewalk-fence-token", b"%d" % fence),
    ]
    document = {"window_index": window, "counts": dict(sorted(counts.items()))}
    return encode_request(b"POST", b"/usage", headers, msgspec.json.encode(document))

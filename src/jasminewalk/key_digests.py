"""Digests by which callers' keys are known, so that nothing keeps the keys."""

import hashlib

__all__ = ["digest_key"]

DIGEST_BYTES = 16


def digest_key(key: str) -> str:
    """Return the digest of a key, in hexadecimal.

    >>> digest_key("a key")
    'be140541aa51d08fb2e9c28280b7979e'

    :param key: key of an organisation.
    """
    data = key.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()

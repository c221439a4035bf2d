"""Fingerprints by which a request is recognised when its caller sends it again."""

import hashlib

from jasminewalk.http1.server import CallerRequest
from jasminewalk.platform.headers import MODEL, PROMPT_PREFIX, TOKEN_USAGE

__all__ = ["compute_request_fingerprint", "is_fingerprint"]

# No id of a prompt part can begin with it, as a colon ends the id.
FINGERPRINT_PREFIX = "request:"
DIGEST_BYTES = 16
# Headers that describe the prompt of a request without a body.
PROMPT_HEADERS = (MODEL, TOKEN_USAGE, PROMPT_PREFIX)


def compute_request_fingerprint(request: CallerRequest) -> str:
    """Return what a request has in common with its repeats, and with no other request.

    That is its method, host, path, query and body; ids and deadlines differ. The host
    is all by which a request names its caller.

    :param request: the request.
    """
    # Callers choose the bytes, so equal digests of different requests must be hard to
    # find.
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    parts = [request.method, request.host.encode("latin-1"), request.target]
    if not request.body:
        headers = dict(request.headers)
        parts += [headers.get(name, b"") for name in PROMPT_HEADERS]
    for part in (*parts, request.body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return FINGERPRINT_PREFIX + digest.hexdigest()


def is_fingerprint(text: str) -> bool:
    """Return whether a text is the fingerprint of a request, and no id of a part.

    :param text: the text.
    """
    return text.startswith(FINGERPRINT_PREFIX)

"""Authentication of HTTP requests from entries to sidecars."""

import hashlib
import hmac

from jasminewalk.exceptions import UnauthenticatedPeerError

__all__ = ["AUTH_HEADER", "PeerAuthenticator"]

AUTH_HEADER = b"jasminewalk-auth"


class PeerAuthenticator:
    """Signs HTTP requests with the peers' shared key and verifies signatures.

    >>> peer = PeerAuthenticator("0123456789abcdef")
    >>> peer.verify(peer.sign("POST", "/call", b"x"), "POST", "/call", b"x")

    :param shared_key: key that the settings of both peers hold.
    """

    def __init__(self, shared_key: str) -> None:
        self.key = shared_key.encode()

    def sign(self, method: str, path: str, body: bytes = b"") -> bytes:
        """Compute the value of the authentication header.

        :param method: HTTP method.
        :param path: path of the request.
        :param body: request body.
        """
        text = f"{method}\n{path}\n".encode() + body
        return hmac.digest(self.key, text, hashlib.sha256).hex().encode()

    def verify(self, signature: bytes, method: str, path: str, body: bytes) -> None:
        """Verify the value of the authentication header.

        :param signature: value of the header; empty if it is missing.
        :param method: HTTP method.
        :param path: path of the request.
        :param body: request body.
        :raises UnauthenticatedPeerError: if the signature does not match.
        """
        if not hmac.compare_digest(signature, self.sign(method, path, body)):
            raise UnauthenticatedPeerError()

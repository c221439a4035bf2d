"""Authentication of HTTP requests between entries and sidecars."""

import hashlib
import hmac

from jasminewalk.exceptions import UnauthenticatedPeerError

__all__ = ["AUTH_HEADER", "PeerAuthenticator"]

AUTH_HEADER = b"jasminewalk-auth"


class PeerAuthenticator:
    """Signs requests with the peers' shared key and checks signatures.

    >>> peer = PeerAuthenticator("0123456789abcdef")
    >>> peer.check(peer.sign("POST", "/call", b"x"), "POST", "/call", b"x")

    :param shared_key: key from the settings of both peers.
    """

    def __init__(self, shared_key: str) -> None:
        self.key = shared_key.encode()

    def sign(self, method: str, path: str, body: bytes = b"") -> bytes:
        """Return the value of the authentication header.

        :param method: HTTP method.
        :param path: path of the request.
        :param body: body of the request.
        """
        text = f"{method}\n{path}\n".encode() + body
        return hmac.digest(self.key, text, hashlib.sha256).hex().encode()

    def check(self, signature: bytes, method: str, path: str, body: bytes) -> None:
        """Check the value of the authentication header.

        :param signature: value of the header; empty if it is missing.
        :param method: HTTP method.
        :param path: path of the request.
        :param body: body of the request.
        :raises UnauthenticatedPeerError: if the signature is not that of the key.
        """
        if not hmac.compare_digest(signature, self.sign(method, path, body)):
            raise UnauthenticatedPeerError()

"""Error responses of the API for callers."""

import math
from typing import Any

from jasminewalk.exceptions import JasminewalkError
from jasminewalk.generated_codes import Code

__all__ = ["build_error_body", "build_error_headers"]

RATE_LIMIT_STATUS = 429
SERVER_ERROR_STATUS = 500


def get_error_type(status: int) -> str:
    """Return the OpenAI error type for an HTTP status.

    >>> get_error_type(404)
    'invalid_request_error'

    :param status: HTTP status.
    """
    if status >= SERVER_ERROR_STATUS:
        return "server_error"
    if status == RATE_LIMIT_STATUS:
        return "rate_limit_error"
    return "invalid_request_error"


def build_error_body(error: JasminewalkError, request_id: str) -> dict[str, Any]:
    """Build the body of an error response.

    :param error: the error.
    :param request_id: identifier of the request.
    """
    name = error.code.name.lower()
    return {
        "error": {
            "message": error.detail,
            "type": get_error_type(error.result.http_status),
            "param": None,
            "code": name,
        },
        "code": error.code.value,
        "name": name,
        "message": error.detail,
        "ran": error.ran,
        "request_id": request_id,
        "retry_after_s": error.retry_after_s,
    }


def build_error_headers(error: JasminewalkError) -> list[tuple[bytes, bytes]]:
    """Build the additional headers of an error response.

    :param error: the error.
    """
    headers: list[tuple[bytes, bytes]] = []
    if error.code == Code.WRONG_METHOD:
        headers.append((b"allow", b"GET, POST"))
    if error.retry_after_s > 0:
        seconds = max(1, math.ceil(error.retry_after_s))
        headers.append((b"retry-after", str(seconds).encode()))
    return headers

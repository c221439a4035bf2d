"""Settings of the claim controller and the actions that it returns."""

import attrs

from jasminewalk.agreement.log_writer import AppendRecord
from jasminewalk.types import Refusal

__all__ = [
    "ClaimAction",
    "ClaimSettings",
    "RefuseRequest",
    "ReplyToRequest",
    "RunRequest",
]


@attrs.frozen(kw_only=True)
class ClaimSettings:
    """Settings for the claims of a sidecar.

    :param endpoint: endpoint name.
    :param incarnation: identifier of the sidecar process.
    :param batch_s: seconds for which a claim waits for others in the same record.
    :param interval_s: minimum seconds between records that are not full.
    :param max_batch: maximum number of claims or outcomes in one record.
    :param claim_wait_s: seconds after which a claim that was not read back is
        given up.
    :param outcome_wait_s: maximum seconds for which a duplicate waits for the
        outcome of the first request.
    :param retry_after_s: seconds after which a refused caller may retry.
    :param max_body_bytes: maximum size of a response body that is kept for
        duplicates.
    """

    endpoint: str
    incarnation: str
    batch_s: float = 0.01
    interval_s: float = 0.1
    max_batch: int = 64
    claim_wait_s: float = 3.0
    outcome_wait_s: float = 30.0
    retry_after_s: float = 1.0
    max_body_bytes: int = 64 << 10


@attrs.frozen(kw_only=True)
class RunRequest:
    """Send the request to the service once, without retries.

    :param request_id: identifier of the request.
    """

    request_id: str


@attrs.frozen(kw_only=True)
class ReplyToRequest:
    """Send the response of the service to a caller.

    :param request_id: identifier of the request.
    :param status: HTTP status.
    :param headers: pairs of name and value.
    :param body: body of the response.
    :param replayed: whether the response is that of an earlier request.
    """

    request_id: str
    status: int
    headers: list[list[str]]
    body: bytes
    replayed: bool


@attrs.frozen(kw_only=True)
class RefuseRequest:
    """Refuse a request without a response of the service.

    :param request_id: identifier of the request.
    :param refusal: reason for the refusal.
    """

    request_id: str
    refusal: Refusal


ClaimAction = AppendRecord | RunRequest | ReplyToRequest | RefuseRequest

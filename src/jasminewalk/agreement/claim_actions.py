"""Limits of claims and the actions that deciding about requests returns."""

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
    """Limits of a sidecar's claims.

    :param endpoint: endpoint name.
    :param incarnation: identifier of the sidecar process.
    :param batch_s: seconds that claims wait to be appended together.
    :param interval_s: least seconds between records that are not full.
    :param max_batch: most claims or outcomes of one record.
    :param claim_wait_s: seconds after which a claim that was not read back is
        given up.
    :param outcome_wait_s: seconds that a duplicate waits for the first request.
    :param retry_after_s: seconds after which a refused caller comes back.
    :param max_body_bytes: largest answer that is kept for duplicates.
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
    """Send the request to the service, once and never again.

    :param request_id: identifier of the request.
    """

    request_id: str


@attrs.frozen(kw_only=True)
class ReplyToRequest:
    """Answer a request.

    :param request_id: identifier of the request.
    :param status: HTTP status.
    :param headers: headers as name and value.
    :param body: body of the answer.
    :param replayed: whether the answer is that of an earlier request.
    """

    request_id: str
    status: int
    headers: list[list[str]]
    body: bytes
    replayed: bool


@attrs.frozen(kw_only=True)
class RefuseRequest:
    """Give a request its final answer without one of the service.

    :param request_id: identifier of the request.
    :param refusal: why.
    """

    request_id: str
    refusal: Refusal


ClaimAction = AppendRecord | RunRequest | ReplyToRequest | RefuseRequest

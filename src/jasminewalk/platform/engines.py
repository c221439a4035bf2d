"""Calls to engines beside callers' requests."""

from typing import Any

import attrs
import msgspec

from jasminewalk.exceptions import BadMessageError

__all__ = [
    "ACCEPTED_STATUSES",
    "REPORT_PATH",
    "EngineReport",
    "PromptHandle",
    "decode_prompt_handle",
    "decode_report",
    "get_order_path",
    "build_release_path",
    "encode_stage_order",
]

REPORT_PATH = b"/-/report"
ORDER_PATH = b"/-/order"
ACCEPTED_STATUSES = (200, 202)


@attrs.frozen
class PromptHandle:
    """A prompt that an engine read and keeps for another engine.

    :param handle_id: names it at the engine that keeps it.
    :param tokens: its length in tokens.
    """

    handle_id: str
    tokens: int


@attrs.frozen
class EngineReport:
    """An engine's report of itself, some hundred milliseconds old.

    :param stage: stage it is in.
    :param orders_accepted: orders it accepted since its start.
    :param order_in_progress: whether an order is in progress.
    :param waiting: requests that wait at the engine.
    :param running: requests that run.
    """

    stage: str
    orders_accepted: int
    order_in_progress: bool
    waiting: int
    running: int


def decode_prompt_handle(body: bytes) -> PromptHandle:
    """Decode the answer to a request whose prompt only was read.

    :param body: JSON document.
    :raises BadMessageError: if it names no handle.
    """
    document = _object(body)
    handle = document.get("kv_handle")
    tokens = document.get("tokens")
    if not isinstance(handle, str) or not handle:
        raise BadMessageError("prefill answer without a handle")
    return PromptHandle(handle, tokens if isinstance(tokens, int) else 0)


def decode_report(body: bytes) -> EngineReport:
    """Decode an engine's report.

    :param body: JSON document.
    :raises BadMessageError: if a field is missing or of another type.
    """
    document = _object(body)
    try:
        return EngineReport(
            stage=str(document["stage"]),
            orders_accepted=int(document["sequence"]),
            order_in_progress=bool(document["busy"]),
            waiting=int(document["waiting"]),
            running=int(document["running"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise BadMessageError(f"engine report: {error!r}") from error


def build_release_path(handle_id: str) -> bytes:
    """Return the path that frees a handle.

    :param handle_id: the handle.
    """
    return f"/-/kv-handle/{handle_id}".encode()


def get_order_path() -> bytes:
    """Return the path that takes orders."""
    return ORDER_PATH


def encode_stage_order(
    stage: str, holder: str, fence: int, orders_accepted: int
) -> bytes:
    """Return the body of an order to change an engine's stage.

    :param stage: stage that the engine shall take.
    :param holder: name of the process that gives the order.
    :param fence: number that grows with each holder.
    :param orders_accepted: orders the engine has accepted; it refuses if it took more.
    """
    return msgspec.json.encode(
        {
            "op": "stage",
            "stage": stage,
            "holder": holder,
            "fence": fence,
            "expected": orders_accepted,
        }
    )


def _object(body: bytes) -> dict[str, Any]:
    try:
        document = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        raise BadMessageError(f"engine's answer: {error}") from error
    if not isinstance(document, dict):
        raise BadMessageError("engine's answer is no object")
    return document

"""Build and decode the control calls to engines."""

import re
from typing import Any

import attrs
import msgspec

from jasminewalk.decoding import Count, decode_json
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
# Handles are sent in a header and in a path, so they must not contain delimiters.
HANDLE_PATTERN = re.compile(r"[A-Za-z0-9_-][A-Za-z0-9._-]{0,127}")


@attrs.frozen
class PromptHandle:
    """A prefilled prompt that an engine keeps for another engine to fetch.

    :param handle_id: id of the prompt at the engine that keeps it.
    :param tokens: length of the prompt in tokens; 0 if unknown.
    """

    handle_id: str
    tokens: int


@attrs.frozen
class EngineReport:
    """An engine's report of its own state, several hundred milliseconds old.

    :param stage: current stage of the engine.
    :param orders_accepted: number of orders that it accepted since its start.
    :param order_in_progress: whether it is executing an order.
    :param waiting: number of requests that wait at the engine.
    :param running: number of requests that run on the engine.
    :param started_ms: Unix time of its start in milliseconds; 0 if it names none.
    """

    stage: str
    orders_accepted: int
    order_in_progress: bool
    waiting: int
    running: int
    started_ms: int = 0


def decode_prompt_handle(body: bytes) -> PromptHandle:
    """Decode the response to a prefill-only request.

    :param body: JSON document.
    :raises BadMessageError: if the document is invalid or contains no handle.
    """
    document = decode_json(body, dict[str, Any], "prefill response")
    handle = document.get("kv_handle")
    tokens = document.get("tokens")
    if not isinstance(handle, str) or not HANDLE_PATTERN.fullmatch(handle):
        raise BadMessageError("prefill response without a valid handle")
    return PromptHandle(handle, tokens if isinstance(tokens, int) else 0)


class _Report(msgspec.Struct):
    stage: str
    sequence: Count
    busy: bool
    waiting: Count
    running: Count
    born: Count = 0


def decode_report(body: bytes) -> EngineReport:
    """Decode an engine's report.

    :param body: JSON document.
    :raises BadMessageError: if the document is invalid or a field is missing or
        invalid.
    """
    report = decode_json(body, _Report, "engine report")
    return EngineReport(
        stage=report.stage,
        orders_accepted=report.sequence,
        order_in_progress=report.busy,
        waiting=report.waiting,
        running=report.running,
        started_ms=report.born,
    )


def build_release_path(handle_id: str) -> bytes:
    """Return the path of the call that releases a handle.

    :param handle_id: id of the handle.
    """
    return f"/-/kv-handle/{handle_id}".encode()


def get_order_path() -> bytes:
    """Return the path of the call that sends an order to an engine."""
    return ORDER_PATH


def encode_stage_order(
    stage: str, holder: str, fencing_number: int, orders_accepted: int
) -> bytes:
    """Return the JSON body of an order to change an engine's stage.

    :param stage: stage to change to.
    :param holder: name of the lease holder that sends the order.
    :param fencing_number: number that increases with each holder.
    :param orders_accepted: number of orders that the engine is expected to have
        accepted; it refuses the order if it accepted more.
    """
    return msgspec.json.encode(
        {
            "op": "stage",
            "stage": stage,
            "holder": holder,
            "fence": fencing_number,
            "expected": orders_accepted,
        }
    )

"""Decode the entries that engines write into the platform's registry."""

import re
from typing import Annotated, Literal

import attrs
import msgspec

from jasminewalk.decoding import Count, Number, decode_json
from jasminewalk.exceptions import BadMessageError
from jasminewalk.platform.addresses import parse_peer_address

__all__ = [
    "DECODE",
    "PREFILL",
    "UNKNOWN_START_MS",
    "EngineEntry",
    "decode_engine_entry",
]

DRAINING = "draining"
PREFILL = "prefill"
DECODE = "decode"
NO_STAGE: Literal[""] = ""
UNKNOWN_START_MS = 0
# Ids are sent in a header.
ENGINE_ID_PATTERN = re.compile(r"[!-~]{1,255}")
Name = Annotated[str, msgspec.Meta(max_length=200)]


@attrs.frozen
class EngineEntry:
    """Registry entry of an engine.

    :param engine_id: id of the engine; a restarted engine may keep it.
    :param service: service that the engine belongs to.
    :param address: ``host:port``.
    :param failure_domain: zone of the engine.
    :param slots: number of requests that the engine runs concurrently.
    :param leaving: whether the engine is draining.
    :param stage: ``prefill``, ``decode`` or empty.
    :param version: version of its software; empty if the entry names none.
    :param started_ms: Unix time at which the engine started, in milliseconds; 0 if the
        entry names none.
    """

    engine_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    stage: str
    started_ms: int
    version: str = ""


class _Entry(msgspec.Struct):
    service: Name
    address: Name
    zone: Name
    slots: Number
    state: Literal["ready", "draining"]
    stage: Literal["", "prefill", "decode"] = NO_STAGE
    born: Count = UNKNOWN_START_MS
    version: Name = ""


def decode_engine_entry(engine_id: str, text: bytes) -> EngineEntry:
    """Decode a registry entry.

    :param engine_id: key of the entry.
    :param text: JSON document.
    :raises BadMessageError: if the entry is not valid JSON, a field is missing or
        invalid, or nothing can be sent to the engine by its id and address.
    """
    subject = f"registry entry {engine_id[:60]!r}"
    if not ENGINE_ID_PATTERN.fullmatch(engine_id):
        raise BadMessageError(f"{subject}: its key is no id of an engine")
    entry = decode_json(text, _Entry, subject)
    try:
        parse_peer_address(entry.address)
    except BadMessageError as error:
        raise BadMessageError(f"{subject}: {error}") from error
    return EngineEntry(
        engine_id=engine_id,
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        slots=max(1, entry.slots),
        leaving=entry.state == DRAINING,
        stage=entry.stage,
        started_ms=entry.born,
        version=entry.version,
    )

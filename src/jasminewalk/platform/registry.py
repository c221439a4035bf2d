"""Decode the entries that engines write into the platform's registry."""

from typing import Any

import attrs
import msgspec

from jasminewalk.exceptions import BadMessageError

__all__ = [
    "DECODE",
    "PREFILL",
    "UNKNOWN_START_MS",
    "EngineEntry",
    "decode_engine_entry",
]

READY = "ready"
DRAINING = "draining"
PREFILL = "prefill"
DECODE = "decode"
NO_STAGE = ""
UNKNOWN_START_MS = 0


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


def decode_engine_entry(engine_id: str, text: bytes) -> EngineEntry:
    """Decode a registry entry.

    :param engine_id: key of the entry.
    :param text: JSON document.
    :raises BadMessageError: if the entry is not valid JSON or a field is missing or
        invalid.
    """
    try:
        document: Any = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        raise BadMessageError(f"registry entry {engine_id}: {error}") from error
    if not isinstance(document, dict):
        raise BadMessageError(f"registry entry {engine_id}: not a JSON object")
    service = _get_typed_field(document, "service", str, engine_id)
    address = _get_typed_field(document, "address", str, engine_id)
    state = _get_typed_field(document, "state", str, engine_id)
    stage = document.get("stage", NO_STAGE)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or state not in (READY, DRAINING):
        raise BadMessageError(
            f"registry entry {engine_id}: bad address {address!r} or state {state!r}"
        )
    if stage not in (NO_STAGE, PREFILL, DECODE):
        raise BadMessageError(f"registry entry {engine_id}: unknown stage {stage!r}")
    return EngineEntry(
        engine_id=engine_id,
        service=service,
        address=address,
        failure_domain=_get_typed_field(document, "zone", str, engine_id),
        slots=max(1, _get_typed_field(document, "slots", int, engine_id)),
        leaving=state == DRAINING,
        stage=stage,
        started_ms=_get_started_ms(document, engine_id),
        version=_get_version(document, engine_id),
    )


def _get_typed_field(
    document: dict[str, Any], name: str, expected_type: type, engine_id: str
) -> Any:
    value = document.get(name)
    if not isinstance(value, expected_type) or isinstance(value, bool):
        raise BadMessageError(f"registry entry {engine_id}: bad {name} {value!r}")
    return value


def _get_started_ms(document: dict[str, Any], engine_id: str) -> int:
    if "born" not in document:
        return UNKNOWN_START_MS
    started_ms: int = _get_typed_field(document, "born", int, engine_id)
    return started_ms


def _get_version(document: dict[str, Any], engine_id: str) -> str:
    if "version" not in document:
        return ""
    version: str = _get_typed_field(document, "version", str, engine_id)
    return version

"""Entries that engines write of themselves into the platform's registry."""

from typing import Any

import attrs
import msgspec

from jasminewalk.exceptions import BadMessageError

__all__ = ["DECODE", "PREFILL", "EngineEntry", "decode_engine_entry"]

READY = "ready"
DRAINING = "draining"
PREFILL = "prefill"
DECODE = "decode"
NO_STAGE = ""


@attrs.frozen
class EngineEntry:
    """An engine as its registry entry describes it.

    :param engine_id: id of the engine; a restarted engine may keep it.
    :param service: service that the engine belongs to.
    :param address: ``host:port``.
    :param failure_domain: zone of the engine.
    :param slots: requests it runs at once.
    :param leaving: whether it announced that it leaves.
    :param stage: ``prefill``, ``decode`` or empty.
    :param started_ms: Unix time of its start in milliseconds.
    """

    engine_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    stage: str
    started_ms: int


def decode_engine_entry(engine_id: str, text: bytes) -> EngineEntry:
    """Decode a registry entry.

    :param engine_id: key of the entry.
    :param text: JSON document.
    :raises BadMessageError: if it does not describe an engine.
    """
    try:
        document: Any = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        raise BadMessageError(f"registry entry {engine_id}: {error}") from error
    if not isinstance(document, dict):
        raise BadMessageError(f"registry entry {engine_id}: not an object")
    service = _typed(document, "service", str, engine_id)
    address = _typed(document, "address", str, engine_id)
    state = _typed(document, "state", str, engine_id)
    stage = document.get("stage", NO_STAGE)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or state not in (READY, DRAINING):
        raise BadMessageError(f"registry entry {engine_id}: {address!r} {state!r}")
    if stage not in (NO_STAGE, PREFILL, DECODE):
        raise BadMessageError(f"registry entry {engine_id}: stage {stage!r}")
    return EngineEntry(
        engine_id=engine_id,
        service=service,
        address=address,
        failure_domain=_typed(document, "zone", str, engine_id),
        slots=max(1, _typed(document, "slots", int, engine_id)),
        leaving=state == DRAINING,
        stage=stage,
        started_ms=_started(document),
    )


def _typed(document: dict[str, Any], name: str, kind: type, engine_id: str) -> Any:
    value = document.get(name)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise BadMessageError(f"registry entry {engine_id}: {name} is {value!r}")
    return value


def _started(document: dict[str, Any]) -> int:
    value = document.get("born", 0)
    return value if isinstance(value, int) else 0

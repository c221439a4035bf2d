"""Keep the bytes of messages between processes and of stored records.

The files in ``data`` hold what an earlier version wrote. A process must read it and
write the same, since processes of two versions run side by side during an upgrade.
"""

import inspect
import typing
from pathlib import Path

import attrs
import msgspec
import pytest
import yaml

from jasminewalk import (
    generated_messages,
    generated_records,
    generated_requests,
    generated_standins,
)
from jasminewalk.gateway.peers import PeerMessage, decode_peer_message
from jasminewalk.transport.codec import PositionalCodec, decode_record, encode_record

BYTES_FILE = Path(__file__).parent / "data" / "wire_bytes.yaml"
WRITTEN = yaml.safe_load(BYTES_FILE.read_text())
VALUES = {bool: True, bytes: b"\x00\xff", typing.Any: "any"}
MESSAGES = PositionalCodec(generated_messages.TYPE_BY_NUMBER)


def value_of(kind, name):
    """Return a value of a type that differs from the usual defaults."""
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if attrs.has(kind):
        return sample_of(kind)
    if kind in (int, float):
        # Fields that change places would otherwise have the same bytes.
        number = sum(name.encode()) % 90 + 10
        return number if kind is int else number / 128
    if kind is str:
        return f"{name}-text"
    if origin is typing.Literal:
        return arguments[-1]
    if origin is list:
        return [value_of(arguments[0], name)]
    if origin is tuple:
        return tuple(value_of(argument, name) for argument in arguments)
    if origin is dict:
        return {f"{name}-key": value_of(arguments[1], name)}
    if arguments:
        return value_of(arguments[0], name)
    return VALUES[kind]


def sample_of(kind):
    """Return an object of an attrs class with a value in each field."""
    hints = typing.get_type_hints(kind)
    names = [field.name for field in attrs.fields(kind)]
    return kind(**{name: value_of(hints[name], name) for name in names})


def classes_of(module):
    """Return the attrs classes of a module by name."""
    found = inspect.getmembers(module, lambda item: inspect.isclass(item))
    return {name: kind for name, kind in found if attrs.has(kind)}


JSON_CLASSES = {
    name: kind
    for module in (generated_requests, generated_standins)
    for name, kind in classes_of(module).items()
    if not name.endswith("Settings")
}


@pytest.mark.parametrize("number", sorted(generated_records.TYPE_BY_NUMBER))
def test_record_of_an_earlier_version_is_read_and_written(number):
    kind = generated_records.TYPE_BY_NUMBER[number]
    written = bytes.fromhex(WRITTEN["records"][kind.__name__])
    assert decode_record(written) == sample_of(kind)
    assert encode_record(sample_of(kind)) == written


@pytest.mark.parametrize("number", sorted(generated_messages.TYPE_BY_NUMBER))
def test_message_of_an_earlier_version_is_read_and_written(number):
    kind = generated_messages.TYPE_BY_NUMBER[number]
    written = bytes.fromhex(WRITTEN["messages"][kind.__name__])
    assert MESSAGES.decode(written) == sample_of(kind)
    assert MESSAGES.encode(sample_of(kind)) == written


@pytest.mark.parametrize("name", sorted(WRITTEN["json"]))
def test_document_of_an_earlier_version_is_read_and_written(name):
    written = WRITTEN["json"][name].encode()
    kind = JSON_CLASSES[name]
    assert msgspec.json.decode(written, type=kind) == sample_of(kind)
    assert msgspec.json.encode(sample_of(kind)) == written


def test_peer_message_of_an_earlier_gateway_is_read_and_written():
    written = bytes.fromhex(WRITTEN["peer_message"])
    message = decode_peer_message(written)
    assert isinstance(message, PeerMessage)
    assert msgspec.msgpack.encode(message) == written

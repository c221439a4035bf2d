"""Tests that the encoding of messages and stored records does not change.

The file in ``data`` holds bytes that an earlier version wrote. A process must decode
them and encode the same bytes, because two versions run side by side during an upgrade.
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
from jasminewalk.gateway.quarantine_news import QuarantineNews
from jasminewalk.transport.codec import PositionalCodec, decode_record, encode_record

BYTES_FILE = Path(__file__).parent / "data" / "wire_bytes.yaml"
RECORDED = yaml.safe_load(BYTES_FILE.read_text())
SAMPLE_BY_TYPE = {bool: True, bytes: b"\x00\xff", typing.Any: "any"}
MESSAGE_CODEC = PositionalCodec(generated_messages.TYPE_BY_NUMBER)


def make_value(value_type, name):
    """Return a value of a type that differs from common default values."""
    origin, arguments = typing.get_origin(value_type), typing.get_args(value_type)
    if attrs.has(value_type):
        return make_sample(value_type)
    if value_type in (int, float):
        # The number depends on the name, so that swapped fields change the bytes.
        number = sum(name.encode()) % 90 + 10
        return number if value_type is int else number / 128
    if value_type is str:
        return f"{name}-text"
    if origin is typing.Literal:
        return arguments[-1]
    if origin is list:
        return [make_value(arguments[0], name)]
    if origin is tuple:
        return tuple(make_value(argument, name) for argument in arguments)
    if origin is dict:
        return {f"{name}-key": make_value(arguments[1], name)}
    if arguments:
        return make_value(arguments[0], name)
    return SAMPLE_BY_TYPE[value_type]


def make_sample(attrs_class):
    """Create an object of an attrs class with a value in each field."""
    hints = typing.get_type_hints(attrs_class)
    names = [field.name for field in attrs.fields(attrs_class)]
    return attrs_class(**{name: make_value(hints[name], name) for name in names})


def list_attrs_classes(module):
    """Return the attrs classes of a module by name."""
    members = inspect.getmembers(module, lambda item: inspect.isclass(item))
    return {
        name: attrs_class for name, attrs_class in members if attrs.has(attrs_class)
    }


JSON_CLASSES = {
    name: attrs_class
    for module in (generated_requests, generated_standins)
    for name, attrs_class in list_attrs_classes(module).items()
    if not name.endswith("Settings")
}


@pytest.mark.parametrize("number", sorted(generated_records.TYPE_BY_NUMBER))
def test_record_of_an_earlier_version_is_decoded_and_encoded(number):
    attrs_class = generated_records.TYPE_BY_NUMBER[number]
    written = bytes.fromhex(RECORDED["records"][attrs_class.__name__])
    assert decode_record(written) == make_sample(attrs_class)
    assert encode_record(make_sample(attrs_class)) == written


@pytest.mark.parametrize("number", sorted(generated_messages.TYPE_BY_NUMBER))
def test_message_of_an_earlier_version_is_decoded_and_encoded(number):
    attrs_class = generated_messages.TYPE_BY_NUMBER[number]
    written = bytes.fromhex(RECORDED["messages"][attrs_class.__name__])
    assert MESSAGE_CODEC.decode(written) == make_sample(attrs_class)
    assert MESSAGE_CODEC.encode(make_sample(attrs_class)) == written


@pytest.mark.parametrize("name", sorted(RECORDED["json"]))
def test_document_of_an_earlier_version_is_decoded_and_encoded(name):
    written = RECORDED["json"][name].encode()
    attrs_class = JSON_CLASSES[name]
    assert msgspec.json.decode(written, type=attrs_class) == make_sample(attrs_class)
    assert msgspec.json.encode(make_sample(attrs_class)) == written


def test_peer_message_of_an_earlier_gateway_is_decoded_and_encoded():
    written = bytes.fromhex(RECORDED["peer_message"])
    fields = msgspec.msgpack.decode(written)
    message = decode_peer_message(written)
    assert isinstance(message, PeerMessage)
    added = (
        "limits",
        "leaving",
        "store_era",
        "quarantine",
        "versions",
        "registry_offset",
        "unlisted",
        "configuration_version",
        "uses",
        "learnt",
    )
    assert PeerMessage.__struct_fields__[len(fields) :] == added
    assert msgspec.msgpack.encode(message) == msgspec.msgpack.encode(
        [*fields, [], [], -1, None, None, 0, [], -1, [], []]
    )


def test_earlier_gateway_decodes_a_peer_message_with_added_fields():
    written = bytes.fromhex(RECORDED["peer_message"])
    count = len(msgspec.msgpack.decode(written))
    earlier_type = msgspec.defstruct(
        "EarlierPeerMessage",
        [
            (field.name, field.type)
            for field in msgspec.structs.fields(PeerMessage)[:count]
        ],
        array_like=True,
    )
    message = msgspec.structs.replace(
        decode_peer_message(written),
        limits=[(1, 4000, 250)],
        leaving=[1],
        store_era=4,
        registry_offset=7,
        unlisted=[2],
        configuration_version=7,
        uses=[(1, 200, 100)],
        learnt=[(1, 25, 3, 150, 2)],
        quarantine=QuarantineNews([(1, 20, {"a": 80})], ["b"], [(["c"], 3, 60, 60)]),
    )
    received = msgspec.msgpack.decode(
        msgspec.msgpack.encode(message), type=earlier_type
    )
    assert msgspec.msgpack.encode(received) == written

"""Encoding of control messages and log records, with peer authentication.

A log record is a msgpack array of its type number and a map of its fields. In a
control message the fields are an array in the order of the schema, because field
names would make up most of its bytes. A control message starts with a truncated
HMAC-SHA-256 tag over the sender, its incarnation, the sequence number and the body.
In both encodings, fields that a newer version has appended are ignored.
"""

import hashlib
import hmac
from typing import Any

import attrs
import msgspec

from jasminewalk import generated_messages, generated_records
from jasminewalk.decoding import DECODE_ERRORS
from jasminewalk.exceptions import BadMessageError, UnauthenticatedPeerError

__all__ = [
    "Envelope",
    "MessageCodec",
    "PositionalCodec",
    "TypedCodec",
    "decode_record",
    "encode_record",
]

TAG_BYTES = 16

_encoder = msgspec.msgpack.Encoder()


class TypedCodec:
    """Encodes attrs objects as their type number and a map of their fields.

    Fields that this version does not know are ignored.

    :param type_by_number: attrs classes by type number.
    """

    def __init__(self, type_by_number: dict[int, type]) -> None:
        self.number_by_class = {
            attrs_class: type_number
            for type_number, attrs_class in type_by_number.items()
        }
        self.decoders: dict[int, msgspec.msgpack.Decoder[Any]] = {
            number: self.create_decoder(attrs_class)
            for number, attrs_class in type_by_number.items()
        }
        self.outer_decoder = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])

    def create_decoder(self, attrs_class: type) -> msgspec.msgpack.Decoder[Any]:
        """Create the decoder for the fields of a class.

        :param attrs_class: attrs class.
        """
        return msgspec.msgpack.Decoder(attrs_class)

    def encode(self, value: Any) -> bytes:
        """Encode an object.

        :param value: object of one of the classes given to the constructor.
        """
        return _encoder.encode((self.number_by_class[type(value)], value))

    def decode(self, data: bytes) -> Any:
        """Decode an object.

        :param data: bytes that ``encode`` returned.
        :raises BadMessageError: if the data is malformed or its type is unknown.
        """
        try:
            number, body = self.outer_decoder.decode(data)
            decoder = self.decoders.get(number)
            if decoder is None:
                raise BadMessageError(f"The type number {number} is unknown.")
            return decoder.decode(body)
        except DECODE_ERRORS as error:
            raise BadMessageError(str(error)) from error


class PositionalCodec(TypedCodec):
    """Encodes attrs objects as their type number and an array of their fields.

    msgspec decodes attrs classes only from maps. Arrays are therefore decoded into a
    struct with the same fields, from which the attrs object is created.

    :param type_by_number: attrs classes by type number.
    """

    def __init__(self, type_by_number: dict[int, type]) -> None:
        self.field_names_by_class = {
            attrs_class: tuple(field.name for field in attrs.fields(attrs_class))
            for attrs_class in type_by_number.values()
        }
        self.class_by_struct: dict[type, type] = {}
        super().__init__(type_by_number)

    def create_decoder(self, attrs_class: type) -> msgspec.msgpack.Decoder[Any]:
        """Create the decoder for the fields of a class.

        :param attrs_class: attrs class.
        """
        fields = [build_struct_field(field) for field in attrs.fields(attrs_class)]
        struct = msgspec.defstruct(
            attrs_class.__name__, fields, array_like=True, kw_only=True
        )
        self.class_by_struct[struct] = attrs_class
        return msgspec.msgpack.Decoder(struct)

    def encode(self, value: Any) -> bytes:
        """Encode an object.

        :param value: object of one of the classes given to the constructor.
        """
        attrs_class = type(value)
        fields = [
            getattr(value, name) for name in self.field_names_by_class[attrs_class]
        ]
        return _encoder.encode((self.number_by_class[attrs_class], fields))

    def decode(self, data: bytes) -> Any:
        """Decode an object.

        :param data: bytes that ``encode`` returned.
        :raises BadMessageError: if the data is malformed or its type is unknown.
        """
        struct = super().decode(data)
        attrs_class = self.class_by_struct[type(struct)]
        names = self.field_names_by_class[attrs_class]
        return attrs_class(**{name: getattr(struct, name) for name in names})


def build_struct_field(field: Any) -> Any:
    """Build the definition of a field for ``msgspec.defstruct``.

    :param field: attribute of an attrs class.
    """
    if field.default is attrs.NOTHING:
        return (field.name, field.type)
    factory = getattr(field.default, "factory", None)
    if factory is not None:
        return (field.name, field.type, msgspec.field(default_factory=factory))
    return (field.name, field.type, field.default)


_record_codec = TypedCodec(generated_records.TYPE_BY_NUMBER)


def encode_record(record: Any) -> bytes:
    """Encode a log record.

    :param record: object of a class from ``generated_records``.
    """
    return _record_codec.encode(record)


def decode_record(data: bytes) -> Any:
    """Decode a log record.

    :param data: bytes that ``encode_record`` returned.
    :raises BadMessageError: if the data is malformed or its type is unknown.
    """
    return _record_codec.decode(data)


@attrs.frozen
class Envelope:
    """A control message and its sender.

    :param sender: name of the sending process.
    :param incarnation: identifier of the run of the sending process.
    :param sequence: sequence number of the message within the incarnation.
    :param message: object of a class from ``generated_messages``.
    """

    sender: str
    incarnation: str
    sequence: int
    message: Any


class MessageCodec:
    """Encodes, signs, verifies and decodes control messages.

    Messages are signed with the peers' shared key, but not encrypted.

    >>> codec = MessageCodec("0123456789abcdef")
    >>> hello = generated_messages.EntryHello(entry="e1", incarnation="a")
    >>> codec.decode(codec.encode("e1", "a", 1, hello)).message.entry
    'e1'

    :param shared_key: key that the settings of both peers hold.
    :param max_bytes: maximum size in bytes of a message that is decoded.
    """

    def __init__(self, shared_key: str, max_bytes: int = 4 << 20) -> None:
        self.key = shared_key.encode()
        self.max_bytes = max_bytes
        self.payload_codec = PositionalCodec(generated_messages.TYPE_BY_NUMBER)
        self.header_decoder = msgspec.msgpack.Decoder(tuple[str, str, int, bytes])

    def encode(
        self, sender: str, incarnation: str, sequence: int, message: Any
    ) -> bytes:
        """Encode and sign a message.

        :param sender: name of the sending process.
        :param incarnation: identifier of the run of the sending process.
        :param sequence: sequence number, which must increase with each message.
        :param message: object of a class from ``generated_messages``.
        """
        body = _encoder.encode(
            (sender, incarnation, sequence, self.payload_codec.encode(message))
        )
        return self.compute_tag(body) + body

    def decode(self, data: bytes) -> Envelope:
        """Verify and decode a message.

        :param data: bytes that ``encode`` returned.
        :raises UnauthenticatedPeerError: if the tag does not match the shared key.
        :raises BadMessageError: if the data is malformed or too large.
        """
        if len(data) > self.max_bytes:
            raise BadMessageError(
                f"The message has {len(data)} bytes; {self.max_bytes} are allowed."
            )
        tag, body = data[:TAG_BYTES], data[TAG_BYTES:]
        if not hmac.compare_digest(tag, self.compute_tag(body)):
            raise UnauthenticatedPeerError()
        try:
            sender, incarnation, sequence, payload = self.header_decoder.decode(body)
        except DECODE_ERRORS as error:
            raise BadMessageError(str(error)) from error
        return Envelope(
            sender, incarnation, sequence, self.payload_codec.decode(payload)
        )

    def compute_tag(self, body: bytes) -> bytes:
        """Compute the authentication tag of a message.

        :param body: bytes of the message after its tag.
        """
        return hmac.digest(self.key, body, hashlib.sha256)[:TAG_BYTES]

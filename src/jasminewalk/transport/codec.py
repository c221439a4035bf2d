"""Encoding of control messages and log records, with peer authentication.

A log record is a msgpack array of its type number and a map of its fields. A
control message has its fields as an array in the order of the schema, since field
names would be most of its bytes; it is preceded by a truncated HMAC-SHA-256 tag
over the sender, its incarnation, the sequence number and the body. Either way a
field that a newer peer appended is ignored.
"""

import hashlib
import hmac
from typing import Any

import attrs
import msgspec

from jasminewalk import generated_messages, generated_records
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

    :param type_by_number: attrs classes by their number.
    """

    def __init__(self, type_by_number: dict[int, type]) -> None:
        self.number_by_class = {
            attrs_class: type_number
            for type_number, attrs_class in type_by_number.items()
        }
        self.decoders: dict[int, msgspec.msgpack.Decoder[Any]] = {
            number: self.make_decoder(attrs_class)
            for number, attrs_class in type_by_number.items()
        }
        self.outer_decoder = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])

    def make_decoder(self, attrs_class: type) -> msgspec.msgpack.Decoder[Any]:
        """Return the decoder for the fields of a class.

        :param attrs_class: attrs class.
        """
        return msgspec.msgpack.Decoder(attrs_class)

    def encode(self, value: Any) -> bytes:
        """Return the bytes of an object of a known class.

        :param value: the object.
        """
        return _encoder.encode((self.number_by_class[type(value)], value))

    def decode(self, data: bytes) -> Any:
        """Return the object that the bytes hold.

        :param data: what ``encode`` returned.
        :raises BadMessageError: if the bytes are malformed or of unknown type.
        """
        try:
            number, body = self.outer_decoder.decode(data)
            decoder = self.decoders.get(number)
            if decoder is None:
                raise BadMessageError(f"Type number {number} is not known.")
            return decoder.decode(body)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise BadMessageError(str(error)) from error


class PositionalCodec(TypedCodec):
    """Encodes attrs objects as their type number and an array of their fields.

    :param type_by_number: attrs classes by their number.
    """

    def __init__(self, type_by_number: dict[int, type]) -> None:
        self.field_names_by_class = {
            attrs_class: tuple(field.name for field in attrs.fields(attrs_class))
            for attrs_class in type_by_number.values()
        }
        self.class_by_struct: dict[type, type] = {}
        super().__init__(type_by_number)

    def make_decoder(self, attrs_class: type) -> msgspec.msgpack.Decoder[Any]:
        """Return the decoder for the fields of a class.

        :param attrs_class: attrs class.
        """
        fields = [build_struct_field(field) for field in attrs.fields(attrs_class)]
        struct = msgspec.defstruct(
            attrs_class.__name__, fields, array_like=True, kw_only=True
        )
        self.class_by_struct[struct] = attrs_class
        return msgspec.msgpack.Decoder(struct)

    def encode(self, value: Any) -> bytes:
        """Return the bytes of an object of a known class.

        :param value: the object.
        """
        attrs_class = type(value)
        fields = [
            getattr(value, name) for name in self.field_names_by_class[attrs_class]
        ]
        return _encoder.encode((self.number_by_class[attrs_class], fields))

    def decode(self, data: bytes) -> Any:
        """Return the object that the bytes hold.

        :param data: what ``encode`` returned.
        :raises BadMessageError: if the bytes are malformed or of unknown type.
        """
        struct = super().decode(data)
        attrs_class = self.class_by_struct[type(struct)]
        names = self.field_names_by_class[attrs_class]
        return attrs_class(**{name: getattr(struct, name) for name in names})


def build_struct_field(field: Any) -> Any:
    """Return what ``msgspec.defstruct`` needs to know about a field.

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
    """Return the bytes of a log record.

    :param record: object of a class from ``generated_records``.
    """
    return _record_codec.encode(record)


def decode_record(data: bytes) -> Any:
    """Return the log record that the bytes hold.

    :param data: what ``encode_record`` returned.
    :raises BadMessageError: if the bytes are malformed or of unknown type.
    """
    return _record_codec.decode(data)


@attrs.frozen
class Envelope:
    """A control message with its sender.

    :param sender: name of the sending process.
    :param incarnation: identifier of the sending process's life.
    :param sequence: number of the message within the incarnation.
    :param message: object of a class from ``generated_messages``.
    """

    sender: str
    incarnation: str
    sequence: int
    message: Any


class MessageCodec:
    """Seals and opens control messages with the peers' shared key.

    >>> codec = MessageCodec("0123456789abcdef")
    >>> hello = generated_messages.EntryHello(entry="e1", incarnation="a")
    >>> codec.decode(codec.encode("e1", "a", 1, hello)).message.entry
    'e1'

    :param shared_key: key from the settings of both peers.
    :param max_bytes: largest message that is opened.
    """

    def __init__(self, shared_key: str, max_bytes: int = 4 << 20) -> None:
        self.key = shared_key.encode()
        self.max_bytes = max_bytes
        self.payload_codec = PositionalCodec(generated_messages.TYPE_BY_NUMBER)
        self.header_decoder = msgspec.msgpack.Decoder(tuple[str, str, int, bytes])

    def encode(
        self, sender: str, incarnation: str, sequence: int, message: Any
    ) -> bytes:
        """Return the bytes of a message with its tag.

        :param sender: name of the sending process.
        :param incarnation: identifier of the sending process's life.
        :param sequence: number of the message; each one higher than the last.
        :param message: object of a class from ``generated_messages``.
        """
        body = _encoder.encode(
            (sender, incarnation, sequence, self.payload_codec.encode(message))
        )
        return self.compute_tag(body) + body

    def decode(self, data: bytes) -> Envelope:
        """Return the message that the bytes hold.

        :param data: what ``encode`` returned.
        :raises UnauthenticatedPeerError: if the tag is not that of the key.
        :raises BadMessageError: if the bytes are malformed or too many.
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
        except (msgspec.MsgspecError, ValueError) as error:
            raise BadMessageError(str(error)) from error
        return Envelope(
            sender, incarnation, sequence, self.payload_codec.decode(payload)
        )

    def compute_tag(self, body: bytes) -> bytes:
        """Return the authentication tag of some bytes.

        :param body: the bytes.
        """
        return hmac.digest(self.key, body, hashlib.sha256)[:TAG_BYTES]

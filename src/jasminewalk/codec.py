"""Encoding of control messages and log records, with peer authentication.

A record is a msgpack array of its type number and its fields. A control message
is the same, preceded by an HMAC-SHA-256 tag over the sender, its incarnation,
the sequence number and the body.
"""

import hashlib
import hmac
from typing import Any

import attrs
import msgspec

from jasminewalk import generated_messages, generated_records
from jasminewalk.exceptions import BadMessageError, UnauthenticatedPeerError

__all__ = ["Envelope", "MessageCodec", "decode_record", "encode_record"]

TAG_BYTES = 32

_encoder = msgspec.msgpack.Encoder()


class TypedCodec:
    """Encodes attrs objects as their type number and fields.

    Fields that this version does not know are ignored.

    :param type_by_number: attrs classes by their number.
    """

    def __init__(self, type_by_number: dict[int, type]) -> None:
        self.number_by_type = {kind: n for n, kind in type_by_number.items()}
        self.decoders: dict[int, msgspec.msgpack.Decoder[Any]] = {
            number: msgspec.msgpack.Decoder(kind)
            for number, kind in type_by_number.items()
        }
        self.frame_decoder = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])

    def encode(self, value: Any) -> bytes:
        """Return the bytes of an object of a known class.

        :param value: the object.
        """
        return _encoder.encode((self.number_by_type[type(value)], value))

    def decode(self, data: bytes) -> Any:
        """Return the object that the bytes hold.

        :param data: what ``encode`` returned.
        :raises BadMessageError: if the bytes are malformed or of unknown type.
        """
        try:
            number, body = self.frame_decoder.decode(data)
            decoder = self.decoders.get(number)
            if decoder is None:
                raise BadMessageError(f"Type number {number} is not known.")
            return decoder.decode(body)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise BadMessageError(str(error)) from error


_records = TypedCodec(generated_records.TYPE_BY_NUMBER)


def encode_record(record: Any) -> bytes:
    """Return the bytes of a log record.

    :param record: object of a class from ``generated_records``.
    """
    return _records.encode(record)


def decode_record(data: bytes) -> Any:
    """Return the log record that the bytes hold.

    :param data: what ``encode_record`` returned.
    :raises BadMessageError: if the bytes are malformed or of unknown type.
    """
    return _records.decode(data)


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
    >>> codec.open(codec.seal("e1", "a", 1, hello)).message.entry
    'e1'

    :param shared_key: key from the settings of both peers.
    :param max_bytes: largest message that is opened.
    """

    def __init__(self, shared_key: str, max_bytes: int = 4 << 20) -> None:
        self.key = shared_key.encode()
        self.max_bytes = max_bytes
        self.codec = TypedCodec(generated_messages.TYPE_BY_NUMBER)
        self.header_decoder = msgspec.msgpack.Decoder(tuple[str, str, int, bytes])

    def seal(self, sender: str, incarnation: str, sequence: int, message: Any) -> bytes:
        """Return the bytes of a message with its tag.

        :param sender: name of the sending process.
        :param incarnation: identifier of the sending process's life.
        :param sequence: number of the message; each one higher than the last.
        :param message: object of a class from ``generated_messages``.
        """
        body = _encoder.encode(
            (sender, incarnation, sequence, self.codec.encode(message))
        )
        return self.tag(body) + body

    def open(self, data: bytes) -> Envelope:
        """Return the message that the bytes hold.

        :param data: what ``seal`` returned.
        :raises UnauthenticatedPeerError: if the tag is not that of the key.
        :raises BadMessageError: if the bytes are malformed or too many.
        """
        if len(data) > self.max_bytes:
            raise BadMessageError(
                f"The message has {len(data)} bytes; {self.max_bytes} are allowed."
            )
        tag, body = data[:TAG_BYTES], data[TAG_BYTES:]
        if not hmac.compare_digest(tag, self.tag(body)):
            raise UnauthenticatedPeerError()
        try:
            sender, incarnation, sequence, inner = self.header_decoder.decode(body)
        except (msgspec.MsgspecError, ValueError) as error:
            raise BadMessageError(str(error)) from error
        return Envelope(sender, incarnation, sequence, self.codec.decode(inner))

    def tag(self, body: bytes) -> bytes:
        """Return the authentication tag of some bytes.

        :param body: the bytes.
        """
        return hmac.digest(self.key, body, hashlib.sha256)

"""Message in which a gateway tells the others of its state."""

from typing import Annotated

import msgspec

from jasminewalk.decoding import MAX_NUMBER, Count, Number, decode_msgpack
from jasminewalk.exceptions import BadMessageError
from jasminewalk.gateway.quarantine_news import QuarantineNews

__all__ = ["UNKNOWN_ERA", "PeerMessage", "TopicProgress", "decode_peer_message"]

# Era in a message whose sender knows none, or is of the previous version.
UNKNOWN_ERA = -1
Positive = Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]


class TopicProgress(msgspec.Struct, array_like=True, frozen=True):
    """How far a gateway has read a topic of the store.

    :param read_ms_ago: milliseconds since its last read; negative if unknown.
    :param changed_offset: offset after the last record that had an effect.
    """

    read_ms_ago: Number = -1
    changed_offset: Count = 0


class PeerMessage(msgspec.Struct, array_like=True, frozen=True):
    """State that one gateway sends to its peers.

    :param node: name of the sending instance.
    :param address: ``host:port`` of its UDP socket.
    :param started_ms: Unix time of its process start in milliseconds.
    :param number: number of the message, counted from the start of the process.
    :param configuration: how far it has read the configuration.
    :param registry: how far it has read the registry.
    :param prefill_ms: its demand for prefill, in engine milliseconds per second.
    :param decode_ms: its demand for decode, in engine milliseconds per second.
    :param loads: engine, requests, and prefill left in milliseconds at speed 1.
    :param speeds: engine, speed in hundredths, and number of samples.
    :param prefills: engine, id of a prompt part, and its tokens; 0 tokens retract it.
    :param changing: engine, and milliseconds until its change of stage is over.
    :param outcomes: engine, requests that ended and failed since the last message.
    :param limits: engine, its limit in requests per 1,000 seconds or -1 for none, and
        milliseconds since that was observed.
    :param leaving: engines that said in a response or their entry that they leave.
    :param store_era: era of the store in which it has read the topics.
    :param quarantine: what it knows of prompt parts that crash engines, if anything.
    :param versions: how far it has read the shares of versions; None if it does not
        begin streams by them.
    :param registry_offset: offset up to which it has read the registry; 0 if unknown.
    :param unlisted: engines that the registry lately named and, as far as it was read,
        names no more.
    :param configuration_version: version of the configuration that it has in force;
        negative if it has none or doesn't say.
    :param uses: organisations, and the milliseconds of engine time that they lately
        asked it for and used.
    :param learnt: engine, its learnt limit in tenths, and of the answers since the last
        message their number, the sum of their milliseconds, and most requests at once.
    """

    node: str
    address: str
    started_ms: Count
    number: Count
    configuration: TopicProgress
    registry: TopicProgress
    prefill_ms: Count
    decode_ms: Count
    loads: list[tuple[Count, Count, Count]]
    speeds: list[tuple[Count, Positive, Positive]]
    prefills: list[tuple[Count, str, Count]]
    changing: list[tuple[Count, Number]]
    # Previous versions of the gateway do not send all of these fields.
    outcomes: list[tuple[Count, Number, Number]] = []
    limits: list[tuple[Count, Number, Number]] = []
    leaving: list[Count] = []
    store_era: Number = UNKNOWN_ERA
    quarantine: QuarantineNews | None = None
    versions: TopicProgress | None = None
    registry_offset: Count = 0
    unlisted: list[Count] = []
    configuration_version: Number = -1
    uses: list[tuple[Count, Count, Count]] = []
    learnt: list[tuple[Count, Count, Count, Count, Count]] = []


_decoder = msgspec.msgpack.Decoder(PeerMessage)


def decode_peer_message(data: bytes) -> PeerMessage | None:
    """Decode a datagram; return None if it is not a valid message.

    :param data: payload of the datagram.
    """
    try:
        return decode_msgpack(data, _decoder, "peer message")
    except BadMessageError:
        return None

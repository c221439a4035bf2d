"""Control channel between entries and sidecars over pynng.

Sidecars listen and entries connect. Both sides may send signed messages at any time.
"""

import secrets
from abc import ABC, abstractmethod
from typing import Any

import anyio
import pynng
from absl import logging

from jasminewalk.exceptions import BadMessageError, UnauthenticatedPeerError
from jasminewalk.generated_settings import PeerSettings
from jasminewalk.transport.codec import Envelope, MessageCodec

__all__ = ["MessageHandler", "PeerDialer", "PeerListener", "generate_incarnation"]

SEND_TIMEOUT_MS = 200
SEND_BUFFER_MESSAGES = 128
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000
INCARNATION_BYTES = 8
MAX_TRACKED_SENDERS = 4096


def generate_incarnation() -> str:
    """Generate a random identifier for one run of a process."""
    return secrets.token_hex(INCARNATION_BYTES)


class MessageHandler(ABC):
    """Receiver of control messages that have been verified and decoded."""

    @abstractmethod
    def on_message(self, envelope: Envelope, pipe: Any) -> None:
        """Handle a message.

        :param envelope: the message and its sender.
        :param pipe: connection that the message arrived on, for replies.
        """

    @abstractmethod
    def on_rejected(self, code: int) -> None:
        """Handle the rejection of a message.

        :param code: result code of the reason.
        """


class _Peer:
    """Base class for both ends of a channel, with encoding and replay protection.

    :param name: name of this process.
    :param incarnation: identifier of this run of the process.
    :param settings: settings for the connections to peers.
    :param handler: receiver of messages.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        settings: PeerSettings,
        handler: MessageHandler,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.handler = handler
        self.codec = MessageCodec(settings.shared_key, settings.message_bytes)
        self.sequence = 0
        self.last_sequence_by_sender: dict[tuple[str, str], int] = {}
        self.socket = pynng.Pair1(
            polyamorous=True,
            send_timeout=SEND_TIMEOUT_MS,
            send_buffer_size=SEND_BUFFER_MESSAGES,
            recv_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
            recv_max_size=settings.message_bytes,
        )

    def encode_next(self, message: Any) -> bytes:
        """Encode and sign a message with the next sequence number.

        :param message: object of a class from ``generated_messages``.
        """
        self.sequence += 1
        return self.codec.encode(self.name, self.incarnation, self.sequence, message)

    async def receive(self) -> None:
        """Receive messages and pass them to the handler until the socket is closed."""
        while True:
            try:
                received = await self.socket.arecv_msg()
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                logging.warning("[channel] Receive failed. error=%s", error)
                await anyio.sleep(RECONNECT_MIN_MS / 1000)
                continue
            self.handle_data(received.bytes, received.pipe)

    def handle_data(self, data: bytes, pipe: Any) -> None:
        """Decode a message and pass it to the handler, or report its rejection.

        :param data: bytes read from the socket.
        :param pipe: connection that the message arrived on.
        """
        try:
            envelope = self.codec.decode(data)
            self.check_sequence(envelope)
        except (BadMessageError, UnauthenticatedPeerError) as error:
            logging.warning("[channel] Message dropped. error=%s", error)
            self.handler.on_rejected(error.code)
            return
        self.handler.on_message(envelope, pipe)

    def check_sequence(self, envelope: Envelope) -> None:
        """Reject a replayed message.

        Sequence numbers are kept for the senders with the most recent messages, at most
        ``MAX_TRACKED_SENDERS``.

        :param envelope: the decoded message.
        :raises BadMessageError: if its sequence number is not higher than the last one
            received from the same run of the sender.
        """
        sender = (envelope.sender, envelope.incarnation)
        if envelope.sequence <= self.last_sequence_by_sender.get(sender, 0):
            raise BadMessageError(f"Message {envelope.sequence} is a replay.")
        self.last_sequence_by_sender.pop(sender, None)
        self.last_sequence_by_sender[sender] = envelope.sequence
        if len(self.last_sequence_by_sender) > MAX_TRACKED_SENDERS:
            self.last_sequence_by_sender.pop(next(iter(self.last_sequence_by_sender)))

    async def send_to(self, pipe: Any, message: Any) -> bool:
        """Send a message on one connection and return whether it was sent.

        :param pipe: the connection.
        :param message: object of a class from ``generated_messages``.
        """
        try:
            await pipe.asend(self.encode_next(message))
        except pynng.NNGException:
            return False
        return True

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()


class PeerListener(_Peer):
    """Sidecar's end of the channel, connected to any number of entries.

    After construction, ``address`` holds the actual port.

    :param address: ``host:port`` to listen on; port 0 selects a free port.
    :param args: name, incarnation, settings and handler, as for the base class.
    """

    def __init__(self, address: str, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        listener = self.socket.listen(f"tcp://{address}")
        self.address = str(listener.local_address)

    async def broadcast(self, message: Any) -> int:
        """Send a message to all connected entries and return how many it was sent to.

        :param message: object of a class from ``generated_messages``.
        """
        sent = 0
        for pipe in list(self.socket.pipes):
            sent += await self.send_to(pipe, message)
        return sent


class PeerDialer(_Peer):
    """Entry's end of the channel to one sidecar.

    :param address: ``host:port`` of the sidecar's control listener.
    :param args: name, incarnation, settings and handler, as for the base class.
    """

    def __init__(self, address: str, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.address = address
        self.socket.dial(f"tcp://{address}", block=False)

    async def send(self, message: Any) -> bool:
        """Send a message to the sidecar and return whether it was sent.

        :param message: object of a class from ``generated_messages``.
        """
        sent = False
        for pipe in list(self.socket.pipes):
            sent = await self.send_to(pipe, message)
        return sent

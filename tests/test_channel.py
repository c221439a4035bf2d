import anyio
import pytest

from jasminewalk.generated_messages import EntryHello, Leaving
from jasminewalk.generated_settings import PeerSettings
from jasminewalk.transport.channel import MessageHandler, PeerDialer, PeerListener

pytestmark = pytest.mark.anyio
PEERS = PeerSettings(shared_key="0123456789abcdef")
OTHER_PEERS = PeerSettings(shared_key="fedcba9876543210")
TIMEOUT_S = 20


class RecordingHandler(MessageHandler):
    def __init__(self):
        self.messages = []
        self.rejected = []
        self.changed = anyio.Event()

    def on_message(self, envelope, pipe):
        self.messages.append((envelope.sender, envelope.message))
        self.changed.set()

    def on_rejected(self, code):
        self.rejected.append(code)
        self.changed.set()


async def send_until_accepted(dialer, message):
    with anyio.fail_after(TIMEOUT_S):
        while not await dialer.send(message):
            await anyio.sleep(0.01)


@pytest.fixture
def listener_handler():
    return RecordingHandler()


@pytest.fixture
async def listener(listener_handler, free_address):
    peer = PeerListener(free_address, "sidecar", "i1", PEERS, listener_handler)
    yield peer
    peer.close()


async def test_listeners_on_any_free_port_are_reached_at_their_addresses():
    # Guards against ports that another process takes before they are used.
    listeners = []
    for number in range(3):
        handler = RecordingHandler()
        listeners.append(
            PeerListener("127.0.0.1:0", f"sidecar-{number}", "i1", PEERS, handler)
        )
    async with anyio.create_task_group() as group:
        for number, listener in enumerate(listeners):
            group.start_soon(listener.receive)
            dialer = PeerDialer(
                listener.address, "entry", "i2", PEERS, RecordingHandler()
            )
            hello = EntryHello(entry=f"entry-{number}", incarnation="i2")
            await send_until_accepted(dialer, hello)
            with anyio.fail_after(TIMEOUT_S):
                await listener.handler.changed.wait()
            assert listener.handler.messages == [("entry", hello)]
            dialer.close()
        group.cancel_scope.cancel()
    for listener in listeners:
        listener.close()


async def test_messages_are_sent_both_ways(listener, listener_handler, free_address):
    handler = RecordingHandler()
    dialer = PeerDialer(free_address, "entry", "i2", PEERS, handler)
    hello = EntryHello(entry="entry", incarnation="i2")
    leaving = Leaving(endpoint="e", incarnation="i1", reason="drain")
    async with anyio.create_task_group() as group:
        group.start_soon(listener.receive)
        group.start_soon(dialer.receive)
        await send_until_accepted(dialer, hello)
        with anyio.fail_after(TIMEOUT_S):
            await listener_handler.changed.wait()
            assert await listener.broadcast(leaving) == 1
            await handler.changed.wait()
        dialer.close()
        listener.close()
    assert listener_handler.messages == [("entry", hello)]
    assert handler.messages == [("sidecar", leaving)]


async def test_message_signed_with_another_key_is_rejected(
    listener, listener_handler, free_address
):
    dialer = PeerDialer(free_address, "entry", "i2", OTHER_PEERS, RecordingHandler())
    async with anyio.create_task_group() as group:
        group.start_soon(listener.receive)
        await send_until_accepted(dialer, EntryHello(entry="entry", incarnation="i2"))
        with anyio.fail_after(TIMEOUT_S):
            await listener_handler.changed.wait()
        dialer.close()
        listener.close()
    assert listener_handler.messages == []
    assert listener_handler.rejected == [1501]


def test_replayed_message_is_rejected(listener_handler, free_address):
    peer = PeerListener(free_address, "sidecar", "i1", PEERS, listener_handler)
    data = peer.codec.encode("entry", "i2", 1, EntryHello(entry="e", incarnation="i2"))
    peer.handle_data(data, None)
    peer.handle_data(data, None)
    peer.close()
    assert len(listener_handler.messages) == 1
    assert listener_handler.rejected == [1502]


async def test_message_without_end_is_cut_off_and_others_arrive(
    listener, listener_handler, free_address
):
    pair1_header = b"\x00SP\x00\x00\x11\x00\x00"
    hello = EntryHello(entry="entry", incarnation="i2")
    dialer = PeerDialer(free_address, "entry", "i2", PEERS, RecordingHandler())
    async with anyio.create_task_group() as group:
        group.start_soon(listener.receive)
        host, _, port = free_address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            with anyio.fail_after(TIMEOUT_S), pytest.raises(anyio.BrokenResourceError):
                await stream.send(pair1_header + (1 << 40).to_bytes(8, "big"))
                while True:
                    await stream.send(b"a" * 65536)
        await send_until_accepted(dialer, hello)
        with anyio.fail_after(TIMEOUT_S):
            await listener_handler.changed.wait()
        dialer.close()
        listener.close()
    assert listener_handler.messages == [("entry", hello)]

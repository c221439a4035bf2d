"""A TCP relay that can stall one direction of the connections that are open."""

import contextlib
import socket
import threading

CHUNK_BYTES = 65536
POLL_S = 0.05


def close(*sockets):
    """Close sockets, also under a thread that waits for their data."""
    for sock in sockets:
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        sock.close()


class Relay:
    def __init__(self, address, target):
        self.target = target
        self.stalled = {"up": set(), "down": set()}
        self.pairs = []
        host, _, port = address.rpartition(":")
        self.listener = socket.create_server((host, int(port)))
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        host, _, port = self.target.rpartition(":")
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection((host, int(port)))
            except OSError:
                near.close()
                continue
            pair = (near, far)
            self.pairs.append(pair)
            for way, source, sink in (("up", near, far), ("down", far, near)):
                thread = threading.Thread(
                    target=self.copy, args=(pair, way, source, sink), daemon=True
                )
                thread.start()

    def copy(self, pair, way, source, sink):
        try:
            while data := source.recv(CHUNK_BYTES):
                if pair in self.stalled[way]:
                    continue
                sink.sendall(data)
        except OSError:
            pass
        if pair in self.stalled[way]:
            return
        close(*pair)

    def stall(self, way):
        """Let nothing more through one way on the connections open now."""
        self.stalled[way].update(self.pairs)

    def close(self):
        self.listener.close()
        for pair in self.pairs:
            close(*pair)

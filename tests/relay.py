"""TCP relay that can stall one direction of its open connections."""

import contextlib
import socket
import threading

CHUNK_BYTES = 65536
POLL_INTERVAL_S = 0.05


def close(*sockets):
    """Close sockets and wake the threads that are blocked on them."""
    for sock in sockets:
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        sock.close()


class Relay:
    """Relay from a listening address to a target, one thread per direction.

    :param address: ``host:port`` to listen on.
    :param target: ``host:port`` to connect to.
    """

    def __init__(self, address, target):
        self.target = target
        self.stalled_connections = {"up": set(), "down": set()}
        self.connections = []
        host, _, port = address.rpartition(":")
        self.listener = socket.create_server((host, int(port)))
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        host, _, port = self.target.rpartition(":")
        while True:
            try:
                client_socket, _ = self.listener.accept()
            except OSError:
                return
            try:
                server_socket = socket.create_connection((host, int(port)))
            except OSError:
                client_socket.close()
                continue
            connection = (client_socket, server_socket)
            self.connections.append(connection)
            for direction, source, sink in (
                ("up", client_socket, server_socket),
                ("down", server_socket, client_socket),
            ):
                thread = threading.Thread(
                    target=self.copy,
                    args=(connection, direction, source, sink),
                    daemon=True,
                )
                thread.start()

    def copy(self, connection, direction, source, sink):
        try:
            while data := source.recv(CHUNK_BYTES):
                if connection in self.stalled_connections[direction]:
                    continue
                sink.sendall(data)
        except OSError:
            pass
        if connection in self.stalled_connections[direction]:
            return
        close(*connection)

    def stall(self, direction):
        """Discard all further data in one direction of the open connections."""
        self.stalled_connections[direction].update(self.connections)

    def close(self):
        self.listener.close()
        for connection in self.connections:
            close(*connection)

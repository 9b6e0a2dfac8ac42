"""A loopback TCP proxy that injects faults into the connections that pass through it."""

import random
import select
import socket
import struct
import threading
import time

READ_BYTES = 64 * 1024
POLL_SECONDS = 0.02


class Proxy:
    """Forwards bytes between its address and a target, with the fault that its mode selects.

    The modes are pass, delay (bytes are delayed), cut_up and cut_down (one direction stalls),
    silence (both stall) and refuse (new connections are reset).
    """

    def __init__(self, address, target, seed):
        host, port = address.split(":")
        self.target = (target.split(":")[0], int(target.split(":")[1]))
        self.rng = random.Random(seed)
        self.mode = "pass"
        self.delay_seconds = 0.0
        # Incremented by each reset of all connections; connections of an earlier epoch end.
        self.epoch = 0
        self.listener = socket.create_server((host, int(port)), backlog=128)
        self.is_stopping = False
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.is_stopping:
            try:
                client = self.listener.accept()[0]
            except OSError:
                return
            threading.Thread(target=self.serve, args=(client,), daemon=True).start()

    def serve(self, client):
        if self.mode == "refuse":
            reset(client)
            return
        try:
            server = socket.create_connection(self.target, timeout=1)
        except OSError:
            # The target does not accept connections; the client gets a reset.
            reset(client)
            return
        pair = (client, server)
        for connection in pair:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        epoch = self.epoch
        try:
            while self.forward(client, server, "cut_up") and self.forward(server, client,
                                                                          "cut_down"):
                if epoch != self.epoch:
                    raise ConnectionResetError
                select.select(pair, [], [], POLL_SECONDS)
            client.close()
            server.close()
        except OSError:
            reset(client)
            reset(server)

    def forward(self, source, sink, stalled_mode):
        """Forwards what one side has sent; returns False once that side has closed."""
        if not select.select([source], [], [], 0)[0]:
            return True
        if self.mode in ("silence", stalled_mode):
            # The data stays unread, as with a link failure.
            time.sleep(POLL_SECONDS)
            return True
        data = source.recv(READ_BYTES)
        if not data:
            return False
        if self.mode == "delay":
            time.sleep(self.rng.uniform(0, self.delay_seconds))
        sink.sendall(data)
        return True

    def reset_connections(self):
        self.epoch += 1

    def stop(self):
        self.is_stopping = True
        self.listener.close()
        self.reset_connections()


def reset(connection):
    """Closes a connection with a TCP reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
    except OSError:
        pass  # Already closed.

"""A loopback proxy that harms the connections that pass through it."""

import random
import select
import socket
import struct
import threading
import time

READ_BYTES = 64 * 1024
POLL_SECONDS = 0.02


class Proxy:
    """Passes bytes between its address and a target; its mode says what happens to them.

    pass, delay (bytes wait), cut_up and cut_down (one direction is dropped), silence (both are) or
    refuse (new connections are reset).
    """

    def __init__(self, address, target, seed):
        host, port = address.split(":")
        self.target = (target.split(":")[0], int(target.split(":")[1]))
        self.random = random.Random(seed)
        self.mode = "pass"
        self.delay_seconds = 0.0
        # Grows with each reset of all connections; those of an earlier number are to end.
        self.epoch = 0
        self.listener = socket.create_server((host, int(port)), backlog=128)
        self.stopping = False
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.stopping:
            try:
                near = self.listener.accept()[0]
            except OSError:
                return
            threading.Thread(target=self.serve, args=(near,), daemon=True).start()

    def serve(self, near):
        if self.mode == "refuse":
            reset(near)
            return
        try:
            far = socket.create_connection(self.target, timeout=1)
        except OSError:
            # The target is dead: its callers find the connection refused or reset.
            reset(near)
            return
        pair = (near, far)
        for end in pair:
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        epoch = self.epoch
        try:
            while self.pump(near, far, "cut_up") and self.pump(far, near, "cut_down"):
                if epoch != self.epoch:
                    raise ConnectionResetError
                select.select(pair, [], [], POLL_SECONDS)
            near.close()
            far.close()
        except OSError:
            reset(near)
            reset(far)

    def pump(self, source, sink, cut):
        """Passes what one side has sent; returns False at its end."""
        if not select.select([source], [], [], 0)[0]:
            return True
        if self.mode in ("silence", cut):
            # What was sent stays unread, as behind a cut link.
            time.sleep(POLL_SECONDS)
            return True
        data = source.recv(READ_BYTES)
        if not data:
            return False
        if self.mode == "delay":
            time.sleep(self.random.uniform(0, self.delay_seconds))
        sink.sendall(data)
        return True

    def reset_connections(self):
        self.epoch += 1

    def stop(self):
        self.stopping = True
        self.listener.close()
        self.reset_connections()


def reset(connection):
    """Ends a connection so that its peer gets a reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
    except OSError:
        pass  # It has ended already.

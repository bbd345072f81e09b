"""A loopback TCP proxy that injects delays, blocked directions and resets."""

import contextlib
import socket
import struct

import eventlet
import greenlet

READ_SIZE_BYTES = 16384
#: Interval between checks whether a direction is still blocked.
CUT_POLL_INTERVAL_S = 0.05
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LoopbackProxy:
    """
    Forwards connections to one address.

    ``delay_s`` delays each chunk of data. ``cut`` is the set of blocked directions:
    ``in`` to the target, ``out`` to the client. ``refusing`` resets new connections.

    :param target: ``ip:port`` that connections are forwarded to.
    """

    def __init__(self, target):
        self.target = target
        self.delay_s = 0.0
        self.cut = frozenset()
        self.refusing = False
        self._open = set()
        self._task = None
        self._listen(0)
        self.address = "{}:{}".format(*self._socket.getsockname())

    def _listen(self, port):
        self._socket = eventlet.listen(("127.0.0.1", port), backlog=256)

    def start(self):
        """Forward until the process ends."""
        self._task = eventlet.spawn(self._accept)

    def go_down(self, seconds):
        """Close all connections and accept none for a time, as if the target ended."""
        port = self._socket.getsockname()[1]
        self._task.kill()
        self._socket.close()
        self.reset_all()
        eventlet.sleep(seconds)
        self._listen(port)
        self.start()

    def heal(self):
        """End all faults."""
        self.delay_s, self.cut, self.refusing = 0.0, frozenset(), False

    def reset_all(self):
        """Reset both sides of all open connections."""
        for connection in list(self._open):
            connection.reset()

    def _accept(self):
        while True:
            client, _ = self._socket.accept()
            if self.refusing:
                _reset(client)
                continue
            eventlet.spawn_n(self._forward, client)

    def _forward(self, client):
        host, _, port = self.target.rpartition(":")
        try:
            server = eventlet.connect((host, int(port)))
        except OSError:
            _reset(client)
            return
        connection = _Connection(self, client, server)
        self._open.add(connection)
        connection.wait_closed()
        self._open.discard(connection)


class _Connection:
    """One forwarded connection and the tasks of its two directions."""

    def __init__(self, proxy, client, server):
        self._proxy, self._sockets = proxy, (client, server)
        self._pumps = [
            eventlet.spawn(self._pump, client, server, "in"),
            eventlet.spawn(self._pump, server, client, "out"),
        ]

    def wait_closed(self):
        """Wait until both directions have ended, then close the sockets."""
        for pump in self._pumps:
            with contextlib.suppress(greenlet.GreenletExit):
                pump.wait()
        for sock in self._sockets:
            sock.close()

    def reset(self):
        """
        Reset both sides.

        The tasks are killed before the sockets are closed. A task that still reads a
        closed descriptor keeps it registered at eventlet's hub, and the next file with
        the same descriptor number fails there.
        """
        for sock in self._sockets:
            _set_reset_on_close(sock)
        for pump in self._pumps:
            pump.kill()

    def _pump(self, source, sink, direction):
        try:
            while data := source.recv(READ_SIZE_BYTES):
                if self._proxy.delay_s:
                    eventlet.sleep(self._proxy.delay_s)
                while direction in self._proxy.cut:
                    eventlet.sleep(CUT_POLL_INTERVAL_S)
                sink.sendall(data)
        except OSError:
            eventlet.spawn_n(self.reset)
            return
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)


def _reset(sock):
    """Close a socket that no task uses, so that its peer gets a reset."""
    _set_reset_on_close(sock)
    sock.close()


def _set_reset_on_close(sock):
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

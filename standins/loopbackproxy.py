"""A loopback TCP proxy that delays, cuts, silences and resets what it carries."""

import contextlib
import socket
import struct

import eventlet
import greenlet

READ_BYTES = 16384
#: Pause between looks at a cut direction, in seconds.
CUT_CHECK_S = 0.05
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LoopbackProxy:
    """
    Forwards connections to one address.

    ``delay_s`` holds each piece back, ``cut`` names the directions that carry nothing
    (``in`` to the target, ``out`` to the caller), ``refusing`` resets new connections.

    :param target: ``ip:port`` that connections are forwarded to.
    """

    def __init__(self, target):
        self.target = target
        self.delay_s = 0.0
        self.cut = frozenset()
        self.refusing = False
        self._open = set()
        self._socket = eventlet.listen(("127.0.0.1", 0), backlog=256)
        self.address = "{}:{}".format(*self._socket.getsockname())

    def start(self):
        """Forward until the process ends."""
        eventlet.spawn(self._accept)

    def heal(self):
        """Carry everything from now on."""
        self.delay_s, self.cut, self.refusing = 0.0, frozenset(), False

    def reset_all(self):
        """Reset the open connections on both sides."""
        for connection in list(self._open):
            connection.reset()

    def _accept(self):
        while True:
            caller, _ = self._socket.accept()
            if self.refusing:
                _reset(caller)
                continue
            eventlet.spawn_n(self._carry, caller)

    def _carry(self, caller):
        host, _, port = self.target.rpartition(":")
        try:
            server = eventlet.connect((host, int(port)))
        except OSError:
            _reset(caller)
            return
        connection = _Connection(self, caller, server)
        self._open.add(connection)
        connection.carry()
        self._open.discard(connection)


class _Connection:
    """One forwarded connection and the tasks of its two directions."""

    def __init__(self, proxy, caller, server):
        self._proxy, self._sockets = proxy, (caller, server)
        self._pumps = [
            eventlet.spawn(self._pump, caller, server, "in"),
            eventlet.spawn(self._pump, server, caller, "out"),
        ]

    def carry(self):
        """Wait until both directions have ended and close the sockets."""
        for pump in self._pumps:
            with contextlib.suppress(greenlet.GreenletExit):
                pump.wait()
        for sock in self._sockets:
            sock.close()

    def reset(self):
        """
        Reset both sides.

        The tasks end before the sockets close: a task that still reads a closed
        descriptor keeps it registered at the hub, where the next file with the same
        number meets it.
        """
        for sock in self._sockets:
            _set_reset_on_close(sock)
        for pump in self._pumps:
            pump.kill()

    def _pump(self, source, sink, direction):
        try:
            while data := source.recv(READ_BYTES):
                if self._proxy.delay_s:
                    eventlet.sleep(self._proxy.delay_s)
                while direction in self._proxy.cut:
                    eventlet.sleep(CUT_CHECK_S)
                sink.sendall(data)
        except OSError:
            eventlet.spawn_n(self.reset)
            return
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)


def _reset(sock):
    """Close a socket that no task uses so that its peer sees a reset."""
    _set_reset_on_close(sock)
    sock.close()


def _set_reset_on_close(sock):
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

"""A loopback TCP proxy that delays, cuts, silences and resets what it carries."""

import contextlib
import socket
import struct

import eventlet

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
        for pair in list(self._open):
            for sock in pair:
                _reset(sock)

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
        pair = (caller, server)
        self._open.add(pair)
        other = eventlet.spawn(self._pump, server, caller, "out")
        self._pump(caller, server, "in")
        other.wait()
        self._open.discard(pair)
        for sock in pair:
            sock.close()

    def _pump(self, source, sink, direction):
        try:
            while data := source.recv(READ_BYTES):
                if self.delay_s:
                    eventlet.sleep(self.delay_s)
                while direction in self.cut:
                    eventlet.sleep(CUT_CHECK_S)
                sink.sendall(data)
        except (OSError, EOFError):
            # Eventlet raises EOFError for a socket that another task closed.
            _reset(sink)
            return
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)


def _reset(sock):
    """Close a socket so that its peer sees a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RD)
    sock.close()

"""Stand-in for a backend server that answers with bytes without end."""

import eventlet

from standins.instance import InstanceStandIn
from standins.rawbytes import find_request_id

BLOCK_BYTES = 65536
_OWN = "HTTP/1.1 200 -\r\nRequest-Id: {id}\r\nServer-Signature: s\r\n"
_FOREIGN = "HTTP/1.1 200 -\r\nRequest-Id: {id}\r\n"
_CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
_LENGTH = "Content-Length: 999999999999\r\n\r\n"
#: What is sent first and what without end after it, by kind of fault.
ANSWERS = {
    "head_bytes": ("", b"x"),
    "head_lines": ("HTTP/1.1 200 -\r\n", b"X-A: b\r\n"),
    "interim": ("", b"HTTP/1.1 100 -\r\n\r\n"),
    "other_answers": (
        "",
        b"HTTP/1.1 200 -\r\nRequest-Id: o\r\nContent-Length: 0\r\n\r\n",
    ),
    "foreign_chunks": (_FOREIGN + _CHUNKED, b"1\r\nx\r\n"),
    "foreign_length": (_FOREIGN + _LENGTH, b"x"),
    "foreign_until_close": (_FOREIGN + "\r\n", b"x"),
    "tiny_chunks": (_OWN + _CHUNKED, b"1\r\nx\r\n"),
    "short_chunks": (_OWN + _CHUNKED, b"14\r\n" + b"x" * 20 + b"\r\n"),
    "long_chunks": (_OWN + _CHUNKED, b"2000\r\n" + b"x" * 8192 + b"\r\n"),
    "length": (_OWN + _LENGTH, b"x"),
    "until_close": (_OWN + "\r\n", b"x"),
}


class EndlessStandIn(InstanceStandIn):
    """
    A server that sends bytes until the caller closes the connection.

    :param kind: a key of ``ANSWERS``.
    """

    def __init__(self, name, service, zone, kind):
        super().__init__(name, service, zone)
        self._first, unit = ANSWERS[kind]
        self._block = unit * (BLOCK_BYTES // len(unit))
        self.answered = 0

    def start(self):
        """Serve until the process ends."""
        eventlet.spawn(self._accept)

    def _accept(self):
        while True:
            sock, _ = self._socket.accept()
            eventlet.spawn(self._serve, sock)

    def _serve(self, sock):
        head = b""
        try:
            while b"\r\n\r\n" not in head:
                data = sock.recv(BLOCK_BYTES)
                if not data:
                    return
                head += data
            self.answered += 1
            sock.sendall(self._first.format(id=find_request_id(head)).encode())
            while True:
                sock.sendall(self._block)
                eventlet.sleep(0)
        except OSError:
            pass
        finally:
            sock.close()

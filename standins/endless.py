"""Stand-in for a backend server that answers with bytes without end."""

import eventlet

from standins.rawbytes import RawStandIn

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


class EndlessStandIn(RawStandIn):
    """
    A server that sends bytes until the caller closes the connection.

    :param kind: a key of ``ANSWERS``.
    """

    def __init__(self, name, service, zone, kind):
        first, unit = ANSWERS[kind]
        super().__init__(name, service, zone, first)
        self._block = unit * (BLOCK_BYTES // len(unit))

    def _send_rest(self, sock):
        while True:
            sock.sendall(self._block)
            eventlet.sleep(0)

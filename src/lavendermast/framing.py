"""Reads one HTTP/1.1 response and accepts only exact framing."""

import re

from lavendermast.exceptions import FramingError, TruncatedResponseError
from lavendermast.sockets import receive

READ_BYTES = 65536
#: Bound on a response's header section, so that a server cannot exhaust memory.
MAX_HEAD_BYTES = 65536
MAX_CHUNK_LINE_BYTES = 4096
MAX_FOREIGN_RESPONSES = 2
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: [^\r\n]*)?")
_FIELD_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?")
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def remove_hop_headers(headers):
    """
    Return the headers that a proxy passes on.

    :param headers: pairs of name and value.

    >>> remove_hop_headers([("Connection", "x-a"), ("X-A", "1"), ("X-B", "2")])
    [('X-B', '2')]
    """
    dropped = _HOP_BY_HOP
    for name, value in headers:
        if name.lower() == "connection":
            dropped = dropped.union(part.strip().lower() for part in value.split(","))
    return [pair for pair in headers if pair[0].lower() not in dropped]


class ServerResponse:
    """
    A response that :mod:`http.client` constructs as its ``response_class``.

    The standard class ignores bytes after the body, the line end after a chunk and a
    missing trailer, so a connection could be reused while it is out of step.
    """

    will_close = False
    #: Whether an answer without a length may end with its connection.
    accepts_unframed = False

    def __init__(self, sock, method=None):
        self._sock = sock
        self._method = method
        self._buffer = b""
        self._start = 0  # consumed bytes of the buffer
        self._chunked = False
        self._ends_with_connection = False
        self._left = 0
        self.length = None
        self.status = 0
        self.headers = []
        self.persistent = False
        self.finished = False

    def begin(self):
        """
        Read the status line and headers.

        :raises FramingError: when they are malformed or contradict each other.
        :raises TruncatedResponseError: when the connection ends before they do.
        """
        self._read_head()
        while self.status < 200:
            if self.status == 101:
                raise FramingError("unrequested protocol switch")
            self._read_head()
        values = {}
        for name, value in self.headers:
            values.setdefault(name.lower(), []).append(value)
        connection = ",".join(values.get("connection", ())).lower()
        options = {part.strip() for part in connection.split(",")}
        self.persistent = "close" not in options and (
            self._minor or "keep-alive" in options
        )
        self._set_framing(values)

    def isclosed(self):
        """Return whether the whole body was read."""
        return self.finished

    def close(self):
        """Do nothing; the connection owns the socket."""

    @property
    def reusable(self):
        """Whether the connection is exactly at the end of this response."""
        return self.finished and self.persistent and not self._count_buffered()

    def read_piece(self):
        """
        Return the next bytes of the body, empty at its end.

        :raises TruncatedResponseError: when the connection ends before the body.
        :raises FramingError: when a chunk is malformed or bytes follow the body.
        """
        if self.finished:
            return b""
        if self._ends_with_connection:
            return self._read_to_end()
        if self._left == 0 and self._chunked:
            self._start_chunk()
        if self._left == 0:
            self._finish()
            return b""
        if not self._count_buffered():
            self._receive()
        piece = self._buffer[self._start : self._start + self._left]
        self._start += len(piece)
        self._left -= len(piece)
        if self._left == 0 and self._chunked:
            self._expect_line_end()
        return piece

    def _read_to_end(self):
        piece = self._buffer[self._start :]
        self._buffer, self._start = b"", 0
        piece = piece or receive(self._sock, READ_BYTES)
        self.finished = not piece
        return piece

    def _finish(self):
        self.finished = True
        if self._count_buffered():
            raise FramingError("bytes after the body")

    def _count_buffered(self):
        return len(self._buffer) - self._start

    def _receive(self):
        data = receive(self._sock, READ_BYTES)
        if not data:
            raise TruncatedResponseError("connection ended")
        # Consumed bytes go only here, so that many small chunks cost no copies.
        self._buffer = self._buffer[self._start :] + data
        self._start = 0

    def _read_head(self):
        while (end := self._buffer.find(b"\r\n\r\n", self._start)) < 0:
            if self._count_buffered() > MAX_HEAD_BYTES:
                raise FramingError("header section too long")
            self._receive()
        lines = self._buffer[self._start : end].split(b"\r\n")
        self._start = end + 4
        match = _STATUS_LINE.fullmatch(lines[0])
        if match is None:
            raise FramingError("malformed status line")
        self._minor = match[1] == b"1"
        self.status = int(match[2])
        self.headers = [_parse_field(line) for line in lines[1:]]

    def _set_framing(self, values):
        lengths = values.get("content-length", [])
        encodings = values.get("transfer-encoding", [])
        if self._method == "HEAD" or self.status in (204, 304):
            self.length = 0
            return
        if lengths and encodings:
            raise FramingError("both Content-Length and Transfer-Encoding")
        if encodings:
            if [value.lower() for value in encodings] != ["chunked"]:
                raise FramingError("unsupported Transfer-Encoding")
            self._chunked = True
            return
        sizes = {part.strip() for value in lengths for part in value.split(",")}
        if not sizes and self.accepts_unframed:
            self._ends_with_connection = True
            self.persistent = False
            return
        if len(sizes) != 1:
            raise FramingError("conflicting lengths" if sizes else "no length")
        size = sizes.pop()
        if not (size.isascii() and size.isdigit()):
            raise FramingError("malformed Content-Length")
        self.length = self._left = int(size)

    def _start_chunk(self):
        match = _CHUNK_LINE.fullmatch(self._read_line())
        if match is None:
            raise FramingError("malformed chunk size")
        self._left = int(match[1], 16)
        if self._left:
            return
        budget = MAX_HEAD_BYTES
        while line := self._read_line():
            budget -= len(line)
            if budget < 0:
                raise FramingError("trailer too long")

    def _expect_line_end(self):
        while self._count_buffered() < 2:
            self._receive()
        if not self._buffer.startswith(b"\r\n", self._start):
            raise FramingError("chunk longer than its size")
        self._start += 2

    def _read_line(self):
        while (end := self._buffer.find(b"\r\n", self._start)) < 0:
            if self._count_buffered() > MAX_CHUNK_LINE_BYTES:
                raise FramingError("chunk line too long")
            self._receive()
        line = self._buffer[self._start : end]
        self._start = end + 2
        return line


def _parse_field(line):
    name, separator, value = line.partition(b":")
    if not separator or _FIELD_NAME.fullmatch(name) is None:
        raise FramingError("malformed header")
    value = value.strip(b" \t")
    if b"\n" in value or b"\r" in value or b"\0" in value:
        raise FramingError("control character in a header")
    return name.decode("ascii"), value.decode("latin-1")


class IdentifiedResponse(ServerResponse):
    """
    A response of a server that repeats the request's identifier in it.

    Responses to other requests, which may arrive late on a kept connection, are
    skipped. Bytes after the body belong to no request and end the connection's use.

    :param id_header: name of the header with the identifier, in lower case.
    :param request_id: identifier of the awaited response.
    """

    accepts_unframed = True

    def __init__(self, sock, method=None, *, id_header, request_id):
        super().__init__(sock, method)
        self._id_header = id_header
        self._request_id = request_id

    def begin(self):
        """Read heads until that of the awaited response."""
        for _ in range(MAX_FOREIGN_RESPONSES + 1):
            super().begin()
            if self._is_awaited():
                return
            self._skip()
        raise FramingError("only responses to other requests")

    def _is_awaited(self):
        ids = [value for name, value in self.headers if name.lower() == self._id_header]
        return not ids or ids == [self._request_id]

    def _skip(self):
        if self._ends_with_connection:
            raise FramingError("a response to another request without an end")
        while self.read_piece():
            pass
        self.finished = False
        self.length = None
        self._left = 0
        self._chunked = False

    def _finish(self):
        self.finished = True

"""Strict parser for HTTP/1.1 responses that accepts only exact message framing."""

import re

import eventlet

from lavendermast.exceptions import FramingError, TruncatedResponseError
from lavendermast.sockets import receive

READ_BYTES = 65536
#: Limit on the header section, so that a server cannot exhaust memory.
MAX_HEAD_BYTES = 65536
MAX_CHUNK_LINE_BYTES = 4096
MAX_INTERIM_RESPONSES = 8
MAX_SKIPPED_RESPONSES = 2
#: Limit on the bodies of responses to other requests.
MAX_SKIPPED_BYTES = 1024 * 1024
#: A read that finds data does not yield to the hub. After this many bytes it does, so
#: that a server that sends without end neither delays other requests nor outlasts the
#: deadline of its attempt.
YIELD_INTERVAL_BYTES = 256 * 1024
#: A chunk takes as much processor time as this many bytes, however short it is.
CHUNK_COST_BYTES = 512
#: Chunks that are returned as one piece.
MAX_CHUNKS_PER_PIECE = YIELD_INTERVAL_BYTES // CHUNK_COST_BYTES
#: The bytes around the data of chunks may be this many, and a share of the data.
MAX_FRAMING_BYTES = 65536
MAX_FRAMING_SHARE = 0.25
#: Statuses beyond 599 are none of HTTP; callers could not interpret them.
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: [^\r\n]*)?")
#: Responses with these statuses have no body, whatever their headers say.
_BODYLESS_STATUSES = frozenset({204, 304})
FIELD_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_FIELD_NAME_BYTES = re.compile(FIELD_NAME.pattern.encode())
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?")
CHUNK_START = re.compile(_CHUNK_LINE.pattern + rb"\r\n")
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


def remove_hop_by_hop_headers(headers):
    """
    Return the headers without hop-by-hop ones, as a proxy forwards them.

    :param headers: pairs of name and value.

    >>> remove_hop_by_hop_headers([("Connection", "x-a"), ("X-A", "1"), ("X-B", "2")])
    [('X-B', '2')]
    """
    dropped = _HOP_BY_HOP
    for name, value in headers:
        if name.lower() == "connection":
            dropped = dropped.union(part.strip().lower() for part in value.split(","))
    return [pair for pair in headers if pair[0].lower() not in dropped]


class ServerResponse:
    """
    A response for use as ``response_class`` of :mod:`http.client`.

    The standard class ignores bytes after the body, the line end after a chunk and a
    missing trailer, so a reused connection could return bytes of an earlier response.
    """

    will_close = False
    #: Whether a response without a length is accepted; its body ends when the server
    #: closes the connection.
    accepts_close_delimited = False
    #: Whether a late body of a response that has none could be taken for the response
    #: to the next request, because responses do not say what they respond to.
    is_anonymous = True

    def __init__(self, sock, method=None):
        self._sock = sock
        self._method = method
        self._buffer = b""
        self._start = 0  # consumed bytes of the buffer
        self._chunked = False
        self._close_delimited = False
        self._remaining = 0
        self._unyielded_bytes = 0
        self._data_bytes = 0
        self._framing_bytes = 0
        self.received_bytes = 0
        #: Bytes of a read; less while no memory is left.
        self.read_bytes = READ_BYTES
        self.length = None
        self.status = 0
        self.headers = []
        self.persistent = False
        self.finished = False

    def begin(self):
        """
        Read the status line and headers.

        :raises FramingError: when they are malformed or contradictory.
        :raises TruncatedResponseError: when the connection closes before their end.
        """
        self._read_head()
        interim_responses = 0
        while self.status < 200:
            if self.status == 101:
                raise FramingError("unexpected 101 Switching Protocols")
            interim_responses += 1
            if interim_responses > MAX_INTERIM_RESPONSES:
                raise FramingError("too many interim responses")
            self._read_head()
        values = {}
        for name, value in self.headers:
            values.setdefault(name.lower(), []).append(value)
        connection = ",".join(values.get("connection", ())).lower()
        options = {part.strip() for part in connection.split(",")}
        self.persistent = "close" not in options and (
            self._is_http11 or "keep-alive" in options
        )
        self._set_framing(values)

    def isclosed(self):
        """Return whether the body was read to its end."""
        return self.finished

    def close(self):
        """Do nothing; the connection owns the socket."""

    @property
    def reusable(self):
        """Whether the connection is at the end of this response and stays open."""
        return self.finished and self.persistent and not self._count_buffered()

    def read_piece(self):
        """
        Return the next bytes of the body, empty at its end.

        :raises TruncatedResponseError: when the connection closes before the body ends.
        :raises FramingError: when a chunk is malformed, chunks are mostly framing or
            bytes follow the body.
        """
        if self.finished:
            return b""
        if self._close_delimited:
            return self._read_until_close()
        if self._chunked:
            return self._read_chunks()
        if self._remaining == 0:
            self._finish()
            return b""
        if not self._count_buffered():
            self._receive()
        return self._take_data()

    def _take_data(self):
        """Remove the data from the buffer that belongs to the body and return it."""
        data = self._buffer[self._start : self._start + self._remaining]
        self._start += len(data)
        self._remaining -= len(data)
        return data

    def _read_chunks(self):
        """
        Return the data of the chunks that have arrived, or of the next one.

        One object for each of many short chunks would take far more memory than their
        data.
        """
        parts = []
        while len(parts) < MAX_CHUNKS_PER_PIECE:
            if self._remaining == 0:
                if parts and not CHUNK_START.match(self._buffer, self._start):
                    # Data that has arrived is not held back by what follows it.
                    break
                self._start_chunk()
                if self._remaining == 0:
                    self._finish()
                    break
            if not self._count_buffered():
                if parts:
                    break
                self._receive()
            parts.append(self._take_data())
            if self._remaining == 0:
                self._expect_line_end()
        data = b"".join(parts)
        self._data_bytes += len(data)
        self._unyielded_bytes += len(parts) * CHUNK_COST_BYTES
        self._yield_if_due()
        return data

    def _read_until_close(self):
        piece = self._buffer[self._start :]
        self._buffer, self._start = b"", 0
        piece = piece or self._receive_bytes()
        self.finished = not piece
        return piece

    def _finish(self):
        self.finished = True
        if self._count_buffered():
            raise FramingError("bytes after the body")

    def _count_buffered(self):
        return len(self._buffer) - self._start

    def _receive_bytes(self):
        """Return the next bytes of the connection, empty when the server closed it."""
        self._yield_if_due()
        data = receive(self._sock, self.read_bytes)
        self._unyielded_bytes += len(data)
        self.received_bytes += len(data)
        return data

    def _yield_if_due(self):
        if self._unyielded_bytes >= YIELD_INTERVAL_BYTES:
            self._unyielded_bytes = 0
            eventlet.sleep(0)

    def _receive(self):
        data = self._receive_bytes()
        if not data:
            raise TruncatedResponseError("connection closed before the response ended")
        # Consumed bytes are removed only here, so that small chunks need no copies.
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
        self._is_http11 = match[1] == b"1"
        self.status = int(match[2])
        self.headers = [_parse_field(line) for line in lines[1:]]

    def _set_framing(self, values):
        lengths = values.get("content-length", [])
        encodings = values.get("transfer-encoding", [])
        if self._method == "HEAD" or self.status in _BODYLESS_STATUSES:
            self.length = 0
            # A server that sends a body nevertheless may send it later.
            declares_body = bool(encodings) or any(size != "0" for size in lengths)
            if self.is_anonymous or (declares_body and self._method != "HEAD"):
                self.persistent = False
            return
        if lengths and encodings:
            raise FramingError("both Content-Length and Transfer-Encoding")
        if encodings:
            if [value.lower() for value in encodings] != ["chunked"]:
                raise FramingError("unsupported Transfer-Encoding")
            self._chunked = True
            return
        sizes = {part.strip() for value in lengths for part in value.split(",")}
        if not sizes and self.accepts_close_delimited:
            self._close_delimited = True
            self.persistent = False
            return
        if len(sizes) != 1:
            raise FramingError(
                "conflicting Content-Length values"
                if sizes
                else "neither Content-Length nor Transfer-Encoding"
            )
        size = sizes.pop()
        if not (size.isascii() and size.isdigit()):
            raise FramingError("malformed Content-Length")
        self.length = self._remaining = int(size)

    def _start_chunk(self):
        line = self._read_line()
        match = _CHUNK_LINE.fullmatch(line)
        if match is None:
            raise FramingError("malformed chunk size")
        # The line ends after the size and after the data.
        self._framing_bytes += len(line) + 4
        allowed_bytes = MAX_FRAMING_BYTES + self._data_bytes * MAX_FRAMING_SHARE
        if self._framing_bytes > allowed_bytes:
            raise FramingError("chunks too short")
        self._remaining = int(match[1], 16)
        if self._remaining:
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
            raise FramingError("no line end after the chunk data")
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
    if not separator or _FIELD_NAME_BYTES.fullmatch(name) is None:
        raise FramingError("malformed header")
    value = value.strip(b" \t")
    if b"\n" in value or b"\r" in value or b"\0" in value:
        raise FramingError("control character in a header")
    return name.decode("ascii"), value.decode("latin-1")


class IdentifiedResponse(ServerResponse):
    """
    A response of a server that returns the request identifier in a header.

    Responses to other requests, which may arrive late on a reused connection, are
    skipped, and so are responses without an identifier: they prove nothing about this
    request, least of all that it did not run. Extra bytes after the body are no error,
    but prevent reuse of the connection.

    :param id_header: lower-case name of the header with the identifier.
    :param request_id: identifier of the request.
    """

    accepts_close_delimited = True
    is_anonymous = False

    def __init__(self, sock, method=None, *, id_header, request_id):
        super().__init__(sock, method)
        self._id_header = id_header
        self._request_id = request_id

    def begin(self):
        """Read the head of the response to this request; skip other responses."""
        for _ in range(MAX_SKIPPED_RESPONSES + 1):
            super().begin()
            if self._matches_request():
                return
            self._skip()
        raise FramingError("received only responses to other requests")

    def _matches_request(self):
        ids = [value for name, value in self.headers if name.lower() == self._id_header]
        return ids == [self._request_id] or not (ids or self._request_id)

    def _skip(self):
        if self._close_delimited:
            raise FramingError("response to another request has no length")
        skipped_bytes = 0
        while piece := self.read_piece():
            skipped_bytes += len(piece)
            if skipped_bytes > MAX_SKIPPED_BYTES:
                raise FramingError("response to another request is too long")
        self.finished = False
        self.length = None
        self._remaining = 0
        self._chunked = False

    def _finish(self):
        self.finished = True

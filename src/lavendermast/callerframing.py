"""
Strict framing of callers' requests.

The HTTP library accepts framing that a caller may understand in another way. The bytes
of a body are then lost or taken for a request of their own.
"""

import re
import time

import attrs
import eventlet
from eventlet.wsgi import ChunkReadError

from lavendermast.framing import CHUNK_START, FIELD_NAME, MAX_CHUNK_LINE_BYTES

_FIELD_VALUE = re.compile(r"[^\r\n\0]*")
_LENGTH = re.compile(r"[0-9]{1,18}")
MAX_TRAILER_LINES = 100
#: Bytes of all trailer lines together; a head may have as many by default.
MAX_TRAILER_BYTES = 16_384
#: Bytes of all chunk extensions of a body together, beyond the bytes of its data.
#: Extensions in use take about 90 bytes for each chunk of 64 KB.
MAX_EXTENSION_BYTES = 65_536
#: Bytes of a body that are read after the response, so that a caller that sends its
#: whole body first gets the response: the largest ``max_body_bytes``.
MAX_DISCARDED_BYTES = 64 * 1024 * 1024
#: Longest time for that: the default of ``idle_timeout_ms``, because the caller has its
#: response and the connection waits for the next request.
DISCARD_TIMEOUT_S = 15.0
#: Bytes that are discarded without a turn for other tasks; chunks may be of one byte.
DISCARD_READ_BYTES = 4096

BAD_REQUEST = "400 Bad Request"
NOT_IMPLEMENTED = "501 Not Implemented"


def find_framing_error(version, headers):
    """
    Return the status line of a refusal, or ``None`` if the body's end is certain.

    :param version: HTTP version of the request, such as ``HTTP/1.1``.
    :param headers: its header fields, an ``email.message.Message``.

    >>> from email.message import Message
    >>> headers = Message()
    >>> headers["Transfer-Encoding"] = "gzip, chunked"
    >>> find_framing_error("HTTP/1.1", headers)
    '501 Not Implemented'
    """
    fields = headers.items()
    if headers.defects or not all(_is_field(*field) for field in fields):
        return BAD_REQUEST
    lengths = [value for name, value in fields if name.lower() == "content-length"]
    codings = [value for name, value in fields if name.lower() == "transfer-encoding"]
    if len(lengths) + len(codings) > 1:
        return BAD_REQUEST
    if lengths and not _LENGTH.fullmatch(lengths[0]):
        return BAD_REQUEST
    if not codings:
        return None
    if version != "HTTP/1.1":
        return BAD_REQUEST
    return None if codings[0].strip().lower() == "chunked" else NOT_IMPLEMENTED


def _is_field(name, value):
    return FIELD_NAME.fullmatch(name) and _FIELD_VALUE.fullmatch(value)


class ChunkReader:
    """
    Checks the lines between the chunks of a body while the HTTP library reads it.

    The library itself reads them without a bound. After an error all reads fail, so the
    connection is not used for another request.

    :param stream: buffered stream of the connection.
    :param trailer_timeout_s: time in which the trailer has to arrive.
    """

    def __init__(self, stream, trailer_timeout_s):
        self._stream = stream
        self._trailer_timeout_s = trailer_timeout_s
        self._after_data = False
        self._data_bytes = 0
        self._extension_bytes = 0
        self._trailer = None
        self._failed = False

    def read(self, size=-1):
        """Return data of the present chunk."""
        self._check(not self._failed)
        self._after_data = True
        data = self._stream.read(size)
        self._data_bytes += len(data)
        return data

    def readline(self, size=-1):
        """
        Return the line of a chunk's size, the end of a chunk or a line of the trailer.

        :raises ChunkReadError: when it is malformed, too long or too late.
        """
        self._check(not self._failed)
        if self._trailer is not None:
            return self._read_trailer_line()
        if self._after_data:
            self._after_data = False
            line = self._stream.readline(2)
            self._check(line == b"\r\n")
            return line
        # A longer line is returned without its end, and so does not match.
        line = self._stream.readline(MAX_CHUNK_LINE_BYTES)
        match = CHUNK_START.fullmatch(line)
        self._check(match is not None)
        self._extension_bytes += len(line) - len(match[1]) - 2
        self._check(self._extension_bytes <= MAX_EXTENSION_BYTES + self._data_bytes)
        if int(match[1], 16) == 0:
            self._trailer = _Trailer(time.monotonic() + self._trailer_timeout_s)
        return line

    def _read_trailer_line(self):
        trailer = self._trailer
        left_s = max(trailer.deadline - time.monotonic(), 0)
        try:
            with eventlet.Timeout(left_s, ChunkReadError("trailer too slow")):
                line = self._stream.readline(MAX_TRAILER_BYTES)
        except ChunkReadError:
            self._failed = True
            raise
        trailer.lines += 1
        trailer.bytes += len(line)
        self._check(line.endswith(b"\r\n"))
        self._check(trailer.lines <= MAX_TRAILER_LINES)
        self._check(trailer.bytes <= MAX_TRAILER_BYTES)
        return line

    def _check(self, valid):
        if not valid:
            self._failed = True
            raise ChunkReadError("malformed chunk")


@attrs.define
class _Trailer:
    """What was read of a trailer, and the monotonic time when it has to be complete."""

    deadline: float
    lines: int = 0
    bytes: int = 0


def discard_rest(body, timeout_s):
    """
    Read the rest of a request's body after the response.

    :param body: an ``eventlet.wsgi.Input``.
    :raises OSError: when it is too long or takes too long, so that the connection can
        only be closed.
    """
    discarded_bytes = 0
    timeout_s = min(timeout_s, DISCARD_TIMEOUT_S)
    with eventlet.Timeout(timeout_s, ConnectionAbortedError("body takes too long")):
        while piece := body.read(DISCARD_READ_BYTES):
            discarded_bytes += len(piece)
            if discarded_bytes > MAX_DISCARDED_BYTES:
                raise ConnectionAbortedError("body too long")
            # A read that finds data does not yield to other tasks.
            eventlet.sleep(0)

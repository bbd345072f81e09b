"""
Strict framing of callers' requests.

The HTTP library accepts framing that a caller may understand in another way. The bytes
of a body are then lost or taken for a request of their own.
"""

import re

from lavendermast.framing import CHUNK_START, FIELD_NAME

_FIELD_VALUE = re.compile(r"[^\r\n\0]*")
_LENGTH = re.compile(r"[0-9]{1,18}")
MAX_TRAILER_LINES = 100

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

    After an error all reads fail, so the connection is not used for another request.

    :param stream: buffered stream of the connection.
    """

    def __init__(self, stream):
        self._stream = stream
        self._after_data = False
        self._trailer_lines = None
        self._failed = False

    def read(self, size=-1):
        """Return data of the present chunk."""
        self._check(not self._failed)
        self._after_data = True
        return self._stream.read(size)

    def readline(self, size=-1):
        """
        Return the line of a chunk's size, the end of a chunk or a line of the trailer.

        :raises ValueError: when it is malformed.
        """
        self._check(not self._failed)
        line = self._stream.readline(size)
        if self._trailer_lines is not None:
            self._trailer_lines += 1
            self._check(line.endswith(b"\r\n"))
            self._check(self._trailer_lines <= MAX_TRAILER_LINES)
            return line
        if self._after_data:
            self._after_data = False
            self._check(line == b"\r\n")
            return line
        match = CHUNK_START.fullmatch(line)
        self._check(match is not None)
        if int(match[1], 16) == 0:
            self._trailer_lines = 0
        return line

    def _check(self, valid):
        if not valid:
            self._failed = True
            raise ValueError("malformed chunk")

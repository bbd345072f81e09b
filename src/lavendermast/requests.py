"""Parses callers' requests from the WSGI environment."""

import http.client
import itertools
import re
import urllib.parse

import eventlet

from lavendermast.exceptions import RequestError
from lavendermast.models import CallerRequest

KEY_HEADER = "Lavendermast-Key"
KEY_VARIABLE = "HTTP_LAVENDERMAST_KEY"
DEADLINE_HEADER = "Lavendermast-Deadline"
REQUEST_HEADER = "Lavendermast-Request"
#: A longer header is refused with ``bad-key`` before the key is used. A key that is
#: within this limit but longer than ``tokens.MAX_KEY_CHARS`` is refused with
#: ``malformed-key`` if the request is not idempotent.
MAX_KEY_HEADER_CHARACTERS = 512
MAX_CUSTOMER_CHARACTERS = 128
#: Bytes of a body that are read at once, without a turn for other requests.
READ_BYTES = 65536
#: The same for a body in chunks, which may be of one byte each.
CHUNKED_READ_BYTES = 4096
#: Retry-After of a request whose body does not fit in memory now.
NO_MEMORY_RETRY_S = 0.5
_REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{8,64}")


class RequestReader:
    """
    Parses and validates requests from WSGI environments.

    :param vm: name of this VM, the first part of generated request identifiers.
    :param boot_id: identifier of this process, the second part.
    """

    def __init__(self, vm, boot_id, clock):
        self._id_prefix = f"{vm}-{boot_id & 0xFFFFFFFF:08x}"
        self._id_numbers = itertools.count(1)
        self._clock = clock

    def get_request_id(self, environ):
        """Return the caller's request identifier if it is valid, else a new one."""
        proposed = environ.get("HTTP_LAVENDERMAST_REQUEST", "")
        if _REQUEST_ID.fullmatch(proposed):
            return proposed
        return f"{self._id_prefix}-{next(self._id_numbers):x}"

    def read(self, environ, request_id, route, limits, reservation):
        """
        Read the complete body and return the request.

        :param reservation: a :class:`~lavendermast.memory.Reservation` for its body.
        :raises RequestError: when the request is malformed, too large or beyond the
            memory that is left, or its deadline has passed.
        """
        arrived_at = self._clock.monotonic()
        check_header_size(environ, limits.max_header_bytes)
        deadline_unix_ms = self._read_deadline(environ, route)
        return CallerRequest(
            id=request_id,
            method=environ["REQUEST_METHOD"],
            path=get_raw_path(environ),
            query=environ.get("QUERY_STRING", ""),
            headers=read_headers(environ),
            body=read_body(environ, route.max_body_bytes, reservation),
            customer=environ.get("HTTP_LAVENDERMAST_CUSTOMER", "")[
                :MAX_CUSTOMER_CHARACTERS
            ],
            deadline=self._clock.convert_unix_ms(deadline_unix_ms),
            deadline_unix_ms=deadline_unix_ms,
            arrived_at=arrived_at,
            key=_read_key(environ),
            reservation=reservation,
        )

    def _read_deadline(self, environ, route):
        now = self._clock.get_unix_ms()
        latest = now + route.timeout_ms
        text = environ.get("HTTP_LAVENDERMAST_DEADLINE")
        if text is None:
            return latest
        if not text.isdigit():
            raise RequestError(400, "bad-deadline", f"{DEADLINE_HEADER} is not Unix ms")
        if int(text) <= now:
            raise RequestError(504, "deadline-passed", "the deadline is in the past")
        return min(int(text), latest)


def _read_key(environ):
    key = environ.get(KEY_VARIABLE, "")
    if len(key) > MAX_KEY_HEADER_CHARACTERS:
        raise RequestError(400, "bad-key", f"{KEY_HEADER} is too long")
    return key


def check_header_size(environ, limit):
    """
    Check the total size of the request's header fields.

    :raises RequestError: when all names and values together exceed ``limit`` bytes.
    """
    size = sum(
        len(name) + len(value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    )
    if size > limit:
        raise RequestError(431, "headers-too-large", f"{size} bytes of {limit}")


def read_headers(environ):
    """Return the header fields of the request as pairs of name and value."""
    headers = [
        (name[5:].replace("_", "-").title(), value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    ]
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    return headers


def read_body(environ, limit, reservation=None):
    """
    Return the complete request body.

    :param reservation: a :class:`~lavendermast.memory.Reservation` for the body, or
        ``None``.
    :raises RequestError: when the length is invalid, the body exceeds ``limit`` bytes
        or the memory that is left, or the body ends early.
    """
    length = environ.get("CONTENT_LENGTH") or None
    chunked = "HTTP_TRANSFER_ENCODING" in environ
    if length is not None and (chunked or not length.isdigit()):
        raise RequestError(400, "bad-length", "conflicting or invalid body length")
    if length is None and not chunked:
        return b""
    if length is not None and int(length) > limit:
        raise RequestError(413, "body-too-large", f"{length} bytes of {limit}")
    if length is None:
        return _read_chunks(environ["wsgi.input"], limit, reservation)
    return _read_exactly(environ["wsgi.input"], int(length), reservation)


def _read_exactly(stream, length, reservation):
    _reserve(reservation, length)
    if length <= READ_BYTES:
        body = _read(stream, length)
    else:
        body = bytearray()
        while len(body) < length:
            piece = _read(stream, min(length - len(body), READ_BYTES))
            if not piece:
                break
            body += piece
            # A read that finds data does not yield to other requests.
            eventlet.sleep(0)
    if len(body) < length:
        raise RequestError(400, "body-cut", f"{len(body)} bytes of {length}")
    return body


def _read_chunks(stream, limit, reservation):
    body = bytearray()
    while piece := _read(stream, CHUNKED_READ_BYTES):
        if len(body) + len(piece) > limit:
            raise RequestError(413, "body-too-large", f"more than {limit} bytes")
        _reserve(reservation, len(piece))
        body += piece
        eventlet.sleep(0)
    return body


def _reserve(reservation, count):
    if reservation is not None and not reservation.grow(count):
        raise RequestError(
            503, "no-memory", f"{count} bytes", retry_after=NO_MEMORY_RETRY_S
        )


def _read(stream, count):
    try:
        return stream.read(count)
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise RequestError(400, "body-cut", str(error)) from error


def get_raw_path(environ):
    """
    Return the percent-encoded path that is sent to the server.

    >>> get_raw_path({"PATH_INFO": "/stock/a b"})
    '/stock/a%20b'
    """
    path = environ.get("RAW_PATH_INFO")
    return path or urllib.parse.quote(environ["PATH_INFO"].encode("latin-1"))

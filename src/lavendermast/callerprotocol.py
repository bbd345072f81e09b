"""Requests on one connection of a caller."""

import functools

import eventlet
import eventlet.wsgi

from lavendermast.callerframing import ChunkReader, discard_rest, find_framing_error

#: Requests of a connection without a turn for other tasks. A read that finds data and a
#: write that finds room do not yield, so requests without end would stop other tasks.
REQUESTS_PER_TURN = 8
#: Time to send what is left in the buffer when a connection ends. A caller that has not
#: read for ``SOCKET_TIMEOUT_S`` would otherwise be waited for twice more.
FINISH_TIMEOUT_S = 1.0
_REFUSAL = b"HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class _HeadReader:
    """Keeps the last line that was read, which shows how a head ended."""

    def __init__(self, stream):
        self._stream = stream
        self.last_line = b""

    def readline(self, size=-1):
        """Return the next line."""
        self.last_line = self._stream.readline(size)
        return self.last_line


class CallerProtocol(eventlet.wsgi.HttpProtocol):
    """
    Reads the requests of one connection with the HTTP library, and strictly.

    It tells the table of connections when this one is idle, limits the time for a head,
    and refuses heads that end early or leave the end of the body unclear. It also names
    the caller's protocol version, where eventlet always has HTTP/1.0.

    :param connections: the :class:`~lavendermast.callerconnections.CallerConnections`
        of the listener.
    """

    def __init__(self, connections, conn_state, server):
        self._connections = connections
        self._head_timeout = None
        self._requests = 0
        try:
            super().__init__(conn_state, server)
        finally:
            connections.remove(conn_state[1])

    def _read_request_line(self):
        self._requests += 1
        if self._requests % REQUESTS_PER_TURN == 0:
            eventlet.sleep(0)
        self._connections.mark_idle(self.connection)
        try:
            # Waits for the first byte of a request and leaves it in the buffer.
            buffered = self.rfile.peek(1)
        except ConnectionError:
            return b""
        self._connections.mark_busy(self.connection)
        if b"\r\n\r\n" not in buffered:
            self._head_timeout = eventlet.Timeout(self._connections.head_timeout_s)
        return super()._read_request_line()

    def handle_one_request(self):
        """Serve one request, unless its head takes too long."""
        try:
            super().handle_one_request()
        except eventlet.Timeout as timeout:
            if timeout is not self._head_timeout:
                raise
            self._refuse("408 Request Timeout")
        finally:
            self._cancel_head_timeout()

    def parse_request(self):
        """Return whether a whole and valid head was read."""
        # The library takes the end of the connection for the end of the head.
        self.rfile = reader = _HeadReader(self.rfile)
        if not super().parse_request():
            return False
        if reader.last_line not in (b"\r\n", b"\n"):
            self.close_connection = True
            return False
        refusal = find_framing_error(self.request_version, self.headers)
        if refusal is not None:
            self._refuse(refusal)
        return refusal is None

    def handle_one_response(self):
        """Answer a request whose head was read."""
        self._cancel_head_timeout()
        super().handle_one_response()

    def finish(self):
        """Close the connection."""
        self.connection.settimeout(FINISH_TIMEOUT_S)
        super().finish()

    def log_message(self, text, *args):
        """Log nothing; the library writes what callers send to standard error."""

    def _refuse(self, status):
        """Answer a request that cannot be read, and close its connection."""
        self.wfile.write(_REFUSAL % status.encode())
        self.close_connection = True

    def _cancel_head_timeout(self):
        if self._head_timeout is not None:
            self._head_timeout.cancel()

    def get_environ(self):
        """Return the WSGI environment of a request."""
        environ = super().get_environ()
        environ["SERVER_PROTOCOL"] = self.request_version
        body = environ["eventlet.input"]
        if body.chunked_input:
            body.rfile = ChunkReader(body.rfile, self._connections.head_timeout_s)
        # The library's own method reads without end and without yielding.
        body.discard = functools.partial(
            discard_rest, body, self._connections.idle_timeout_s
        )
        return environ

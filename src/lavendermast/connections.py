"""HTTP connections to backend servers, based on urllib3 and eventlet sockets."""

import re

from eventlet import patcher
from eventlet.green import socket
from urllib3.connection import HTTPConnection

from lavendermast.exceptions import LavendermastError
from lavendermast.framing import FIELD_NAME, ServerResponse
from lavendermast.sockets import SERVER_SOCKET_OPTIONS, set_options

# Monkey patching removes poll from the select module.
_select = patcher.original("select")
#: Bytes of a body that are sent with the head, in one packet if they fit.
FIRST_BODY_BYTES = 65536
_FORBIDDEN = re.compile(r"[\r\n\0]")


class NotSentError(LavendermastError):
    """The connection failed before any byte of the request was sent."""


class ServerConnection(HTTPConnection):
    """A urllib3 connection with green sockets and strict response parsing."""

    #: Class of the responses, or a function with the same arguments.
    server_response_class = ServerResponse

    def __init__(self, host, port):
        super().__init__(host, port)
        self.idle_since = 0.0
        self.keep_alive_s = None  # the server's Keep-Alive timeout, if it sent one
        self.sent = False
        self._sent_bytes = 0
        self._response = None
        self._pieces = []
        self._body = memoryview(b"")

    def connect(self):
        """Open the socket; the calling code limits the wait with a timeout."""
        self.sock = socket.create_connection((self.host, self.port))
        set_options(self.sock, SERVER_SOCKET_OPTIONS)

    def send(self, data):
        """Collect a part of the request, so that all parts are sent in one packet."""
        self._pieces.append(data)

    def prepare(self, method, target, headers, body):
        """Serialise a request without sending it."""
        self.sent = False
        self._pieces.clear()
        self.putrequest(method, target, skip_host=True, skip_accept_encoding=True)
        self.endheaders()
        # Headers are validated here because putheader is several times slower.
        section = "".join([f"{name}: {value}\r\n" for name, value in headers])
        if _FORBIDDEN.search("".join([value for _, value in headers])) or not all(
            FIELD_NAME.fullmatch(name) for name, _ in headers
        ):
            raise ValueError("malformed header")
        start_line = self._pieces[0][:-2]
        self._pieces = [start_line, section.encode("latin-1"), b"\r\n"]
        self._body = memoryview(body)

    def exchange(self):
        """Send the prepared request and return the response after reading its head."""
        self._response = None
        first, rest = self._body[:FIRST_BODY_BYTES], self._body[FIRST_BODY_BYTES:]
        data = b"".join([*self._pieces, first])
        self._pieces.clear()
        self._body = memoryview(b"")
        try:
            count = self.sock.send(data)
        except OSError as error:
            # The first call failed, so no byte reached the server.
            raise NotSentError(str(error)) from error
        self.sent = True
        if count < len(data):
            self.sock.sendall(data[count:])
        self._sent_bytes += len(data) + len(rest)
        # The copy of the first part is not held while a server reads the rest slowly.
        del data
        if rest:
            # A slice of a memoryview is no copy.
            self.sock.sendall(rest)
        # Skips urllib3's getresponse, which wraps the standard response class.
        return super(HTTPConnection, self).getresponse()

    def take_traffic(self):
        """Return the bytes sent and received since the last call."""
        sent, self._sent_bytes = self._sent_bytes, 0
        response = self._response
        if response is None:
            return sent, 0
        received, response.received_bytes = response.received_bytes, 0
        if response.finished:
            self._response = None  # its buffer is not kept while the connection is idle
        return sent, received

    def response_class(self, sock, method=None):
        """Return a response that is kept, to count its bytes also when it fails."""
        self._response = self.server_response_class(sock, method=method)
        return self._response

    def has_no_input(self):
        """Return whether the server neither closed the connection nor sent data."""
        poller = _select.poll()
        poller.register(self.sock.fileno(), _select.POLLIN)
        return not poller.poll(0)

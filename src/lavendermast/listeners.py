"""HTTP listeners with graceful shutdown."""

import eventlet
import eventlet.wsgi

from lavendermast.utils import parse_address

SOCKET_TIMEOUT_S = 75
MAX_CALLER_CONNECTIONS = 10_000
LISTEN_BACKLOG = 1024


def discard_event(event, **fields):
    """Log nothing."""


class _NullLog:
    """Discards the log output of the WSGI server."""

    def write(self, text):
        """Discard text."""

    def info(self, text, *args):
        """Discard a message."""

    debug = info
    error = info


class _HttpProtocol(eventlet.wsgi.HttpProtocol):
    """Names the caller's protocol version, where eventlet always has HTTP/1.0."""

    def get_environ(self):
        """Return the WSGI environment of a request."""
        environ = super().get_environ()
        environ["SERVER_PROTOCOL"] = self.request_version
        return environ


class ListeningSocket:
    """
    A listening socket that logs errors of ``accept``.

    :param sock: green listening socket.
    """

    def __init__(self, sock, record_event):
        self.family = sock.family
        self._socket = sock
        self._record_event = record_event
        self.accept_errors = 0

    def accept(self):
        """Return the next connection and the address of its peer."""
        try:
            return self._socket.accept()
        except OSError as error:
            self.accept_errors += 1
            self._record_event(
                "accept_failed",
                address="{}:{}".format(*self.getsockname()),
                detail=str(error),
            )
            raise

    def getsockname(self):
        """Return the address that the socket is bound to."""
        return self._socket.getsockname()

    def close(self):
        """Close the socket."""
        self._socket.close()


class HttpListener:
    """
    Serves a WSGI application on one address.

    :param address: ``ip:port``; port 0 selects a free port.
    :param record_event: logs an event; by default events are discarded.
    """

    def __init__(self, address, application, record_event=discard_event):
        self._application = application
        self._record_event = record_event
        self._socket = ListeningSocket(
            eventlet.listen(parse_address(address), backlog=LISTEN_BACKLOG),
            record_event,
        )
        self._pool = eventlet.GreenPool(MAX_CALLER_CONNECTIONS)
        self._task = None
        self.port = self._socket.getsockname()[1]

    def start(self):
        """Start accepting connections."""
        self._task = eventlet.spawn(self._serve)

    @property
    def accept_errors(self):
        """Number of connections that could not be accepted."""
        return self._socket.accept_errors

    def _serve(self):
        try:
            eventlet.wsgi.server(
                self._socket,
                self._application,
                log=_NullLog(),
                log_output=False,
                protocol=_HttpProtocol,
                custom_pool=self._pool,
                socket_timeout=SOCKET_TIMEOUT_S,
                debug=False,
            )
        finally:
            self._record_event("listener_ended", port=self.port)

    def stop_accepting(self):
        """Stop accepting connections; busy ones finish their request."""
        self._task.kill()
        self._socket.close()

    def stop(self):
        """Stop accepting, close idle connections and wait for the busy ones."""
        self._task.kill()
        self._pool.waitall()

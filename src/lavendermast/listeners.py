"""HTTP listeners with graceful shutdown."""

import eventlet
import eventlet.wsgi

from lavendermast.utils import parse_address

SOCKET_TIMEOUT_S = 75
MAX_CALLER_CONNECTIONS = 10_000
LISTEN_BACKLOG = 1024


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


class HttpListener:
    """
    Serves a WSGI application on one address.

    :param address: ``ip:port``; port 0 selects a free port.
    """

    def __init__(self, address, application):
        self._application = application
        self._socket = eventlet.listen(parse_address(address), backlog=LISTEN_BACKLOG)
        self._pool = eventlet.GreenPool(MAX_CALLER_CONNECTIONS)
        self._task = None
        self.port = self._socket.getsockname()[1]

    def start(self):
        """Start accepting connections."""
        self._task = eventlet.spawn(
            eventlet.wsgi.server,
            self._socket,
            self._application,
            log=_NullLog(),
            log_output=False,
            protocol=_HttpProtocol,
            custom_pool=self._pool,
            socket_timeout=SOCKET_TIMEOUT_S,
            debug=False,
        )

    def stop_accepting(self):
        """Stop accepting connections; busy ones finish their request."""
        self._task.kill()
        self._socket.close()

    def stop(self):
        """Stop accepting, close idle connections and wait for the busy ones."""
        self._task.kill()
        self._pool.waitall()

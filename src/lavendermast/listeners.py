"""HTTP listeners with graceful shutdown."""

import functools
import sys

import eventlet
import eventlet.wsgi

from lavendermast.callerconnections import CallerConnections
from lavendermast.callerprotocol import CallerProtocol
from lavendermast.clock import SystemClock
from lavendermast.descriptors import RELEASE_PAUSE_S, is_shortage
from lavendermast.tasks import describe_error
from lavendermast.utils import parse_address

SOCKET_TIMEOUT_S = 75
LISTEN_BACKLOG = 1024
#: Connections beyond the maximum that are accepted while all others are busy. Their
#: requests can be refused at once, while connections in the queue would wait.
EXTRA_CONNECTIONS = 64
#: Time in which requests that have arrived are begun to be read.
READ_PAUSE_S = 0.05
#: Pause after an error of ``accept`` for which nothing could be done.
ACCEPT_PAUSE_S = 0.05


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


class ListeningSocket:
    """
    A listening socket whose ``accept`` goes on after errors.

    :param sock: green listening socket.
    :param max_connections: number of connections beyond which idle ones are closed.
    :param make_room: closes idle connections of this process when it lacks
        descriptors, and returns their number.
    """

    def __init__(self, sock, connections, max_connections, make_room, record_event):
        self.family = sock.family
        self._socket = sock
        self._connections = connections
        self._max_connections = max_connections
        self._make_room = make_room
        self._record_event = record_event
        self._logged = ""
        self.accept_errors = 0

    def accept(self):
        """
        Return the next connection and the address of its peer.

        :raises OSError: when the socket is closed.
        """
        while True:
            if len(self._connections) >= self._max_connections + EXTRA_CONNECTIONS:
                self._log("connections_busy", connections=len(self._connections))
                eventlet.sleep(ACCEPT_PAUSE_S)
                continue
            try:
                connection, address = self._socket.accept()
            except OSError as error:
                if self._socket.fileno() < 0:
                    raise
                self._handle_error(error)
                continue
            self._logged = ""
            while len(self._connections) >= self._max_connections:
                if not self._connections.close_oldest():
                    break
            self._connections.add(connection)
            return connection, address

    def getsockname(self):
        """Return the address that the socket is bound to."""
        return self._socket.getsockname()

    def close(self):
        """Do nothing; the listener owns the socket."""

    def close_socket(self):
        """Stop listening."""
        self._socket.close()

    def _handle_error(self, error):
        """Make room after an error, or wait until the next try may succeed."""
        self.accept_errors += 1
        self._log("accept_failed", detail=str(error))
        if is_shortage(error) and self._make_room():
            eventlet.sleep(RELEASE_PAUSE_S)
            return
        eventlet.sleep(ACCEPT_PAUSE_S)

    def _log(self, event, **fields):
        """Log an event once until a connection is accepted."""
        if self._logged != event:
            self._logged = event
            host, port = self.getsockname()[:2]
            self._record_event(event, address=f"{host}:{port}", **fields)


class HttpListener:
    """
    Serves a WSGI application on one address.

    :param address: ``ip:port``; port 0 selects a free port.
    :param record_event: logs an event; by default events are discarded.
    :param max_connections: number of connections beyond which idle ones are closed.
    :param budget: a :class:`~lavendermast.descriptors.DescriptorBudget`, which may then
        close idle connections of this listener; ``None`` for a listener by itself.
    """

    def __init__(
        self,
        address,
        application,
        record_event=discard_event,
        max_connections=sys.maxsize,
        budget=None,
    ):
        self._application = application
        self._record_event = record_event
        self.connections = CallerConnections(SystemClock())
        if budget is not None:
            budget.add_holder(self.connections)
        self._socket = ListeningSocket(
            eventlet.listen(parse_address(address), backlog=LISTEN_BACKLOG),
            self.connections,
            max_connections,
            budget.make_room if budget is not None else lambda: 0,
            record_event,
        )
        # The listening socket limits the connections; a full pool would stop it.
        self._pool = eventlet.GreenPool(sys.maxsize)
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
        """Serve until the task is killed; after an error, log it and go on."""
        while True:
            try:
                eventlet.wsgi.server(
                    self._socket,
                    self._application,
                    log=_NullLog(),
                    log_output=False,
                    protocol=functools.partial(CallerProtocol, self.connections),
                    custom_pool=self._pool,
                    socket_timeout=SOCKET_TIMEOUT_S,
                    debug=False,
                )
            except Exception as error:
                self._record_event(
                    "listener_failed",
                    port=self.port,
                    detail=describe_error(error),
                )
            eventlet.sleep(ACCEPT_PAUSE_S)

    def stop_accepting(self):
        """Stop accepting connections; busy ones finish their request."""
        self._task.kill()
        self._socket.close_socket()

    def stop(self):
        """Stop accepting, close idle connections and wait for the busy ones."""
        self._close_idle()
        self.stop_accepting()
        self._pool.waitall()

    def _close_idle(self):
        """
        Close idle connections, except those on which a request has arrived.

        The WSGI server shuts down all connections whose request line it has not read
        yet. A request that waits there would run, and its response could not be sent.
        """
        while self.connections.close_oldest():
            pass
        eventlet.sleep(READ_PAUSE_S)

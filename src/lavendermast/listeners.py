"""HTTP listeners with graceful shutdown."""

import functools
import sys
import traceback

import eventlet
import eventlet.wsgi

from lavendermast.callerconnections import CallerConnections
from lavendermast.callerframing import ChunkReader, find_framing_error
from lavendermast.clock import SystemClock
from lavendermast.descriptors import is_shortage
from lavendermast.utils import parse_address

SOCKET_TIMEOUT_S = 75
LISTEN_BACKLOG = 1024
#: Connections beyond the maximum that are accepted while all others are busy. Their
#: requests can be refused at once, while connections in the queue would wait.
EXTRA_CONNECTIONS = 64
#: Pause after an error of ``accept`` for which nothing could be done.
ACCEPT_PAUSE_S = 0.05
#: Time in which closed connections release their descriptors.
RELEASE_PAUSE_S = 0.005

_REFUSAL = b"HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


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


class _HeadReader:
    """Keeps the last line that was read, which shows how a head ended."""

    def __init__(self, stream):
        self._stream = stream
        self.last_line = b""

    def readline(self, size=-1):
        """Return the next line."""
        self.last_line = self._stream.readline(size)
        return self.last_line


class _HttpProtocol(eventlet.wsgi.HttpProtocol):
    """
    Tells the table of connections which ones are idle.

    It also names the caller's protocol version, where eventlet always has HTTP/1.0.
    """

    def __init__(self, connections, conn_state, server):
        self._connections = connections
        self._head_timeout = None
        try:
            super().__init__(conn_state, server)
        finally:
            connections.remove(conn_state[1])

    def _read_request_line(self):
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
            body.rfile = ChunkReader(body.rfile)
        return environ


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
                    protocol=functools.partial(_HttpProtocol, self.connections),
                    custom_pool=self._pool,
                    socket_timeout=SOCKET_TIMEOUT_S,
                    debug=False,
                )
            except Exception as error:
                self._record_event(
                    "listener_failed",
                    port=self.port,
                    detail="".join(traceback.format_exception(error)[-3:]),
                )
            eventlet.sleep(ACCEPT_PAUSE_S)

    def stop_accepting(self):
        """Stop accepting connections; busy ones finish their request."""
        self._task.kill()
        self._socket.close_socket()

    def stop(self):
        """Stop accepting, close idle connections and wait for the busy ones."""
        self.stop_accepting()
        self._pool.waitall()

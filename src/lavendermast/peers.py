"""Transport between VMs: UDP datagrams, and TCP for one request and one reply."""

import abc
import collections
import struct

import attrs
import eventlet
from eventlet.green import socket
from eventlet.hubs import trampoline

from lavendermast.callerconnections import CallerConnections
from lavendermast.codec import MAX_MESSAGE_BYTES, Envelope
from lavendermast.descriptors import is_shortage
from lavendermast.exceptions import MessageError, PeerError
from lavendermast.listeners import LISTEN_BACKLOG, ListeningSocket, discard_event
from lavendermast.messages_model import BODY_CLASSES
from lavendermast.tasks import limit_time
from lavendermast.utils import parse_address

#: A datagram of this size fits one Ethernet frame with IP options and a tunnel header.
MAX_DATAGRAM_BYTES = 1_400
#: Bounds the memory of incoming bulk transfers: 16 x 4 MB is half of the 128 MB of
#: memory for the control plane.
MAX_TRANSFERS = 16
#: Connections beyond which the ones that have been silent for longest are closed.
MAX_CONNECTIONS = 128
#: Maximum time for one message and its reply.
CONNECTION_TIMEOUT_S = 5.0
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
BIND_ATTEMPTS = 20
#: Scope of a VM that is not known, as that of a seed before its first heartbeat.
UNKNOWN_SCOPE = "unknown"
_LENGTH = struct.Struct("!I")
_KINDS = {cls: name for name, cls in BODY_CLASSES.items()}


@attrs.define
class TrafficCounts:
    """
    Control traffic of one VM.

    ``messages`` and ``bytes`` are keyed by direction (``sent``, ``received``) and
    message kind, ``scoped_bytes`` also by the scope of the other VM, ``drops`` by
    reason.
    """

    messages: collections.Counter = attrs.Factory(collections.Counter)
    bytes: collections.Counter = attrs.Factory(collections.Counter)
    scoped_bytes: collections.Counter = attrs.Factory(collections.Counter)
    drops: collections.Counter = attrs.Factory(collections.Counter)

    def add(self, direction, body, size, scope=UNKNOWN_SCOPE):
        """Count one message."""
        key = (direction, _KINDS[type(body)])
        self.messages[key] += 1
        self.bytes[key] += size
        self.scoped_bytes[*key, scope] += size


class PeerTransport(abc.ABC):
    """
    Sends messages to other VMs and passes received ones to handlers.

    A handler is called as ``handler(envelope, address)``; what it returns is the reply
    to a TCP request. Datagram handlers must not block; they pass longer work to
    :meth:`spawn`. ``find_scope`` returns the scope of a VM by its name or peer address,
    for the counts of bytes.
    """

    def __init__(self, vm):
        self.vm = vm
        self.boot_id = 0
        self.counts = TrafficCounts()
        self.record_error = None
        self.find_scope = lambda vm: UNKNOWN_SCOPE
        self._handlers = {}
        self._find_drop_reason = None

    def set_membership(self, membership):
        """Send with the membership's boot id and admit only senders that it knows."""
        self.boot_id = membership.local_member.boot_id
        self._find_drop_reason = membership.find_drop_reason

    def register(self, body_class, handler):
        """Pass messages of a class to ``handler``, replacing an earlier one."""
        self._handlers[body_class] = handler

    @abc.abstractmethod
    def send(self, address, body):
        """Send a datagram; loss is not reported."""

    def broadcast(self, addresses, body):
        """Send the same datagram to several VMs."""
        for address in addresses:
            self.send(address, body)

    @abc.abstractmethod
    def request(self, address, body, deadline):
        """
        Send a request and return the body of the reply.

        :param deadline: monotonic time at which waiting ends.
        :raises PeerError: when no valid reply arrived.
        """

    @abc.abstractmethod
    def spawn(self, function, *args):
        """Run a function that may block in a separate task."""

    def make_envelope(self, body, clock):
        """Return the envelope of a message from this VM."""
        return Envelope(self.vm, self.boot_id, clock.get_unix_ms(), body)

    def dispatch(self, envelope, address):
        """
        Pass a verified message to its handler.

        :return: the reply, or ``None`` when there is none or the message was dropped.
        """
        reason = self._find_drop_reason and self._find_drop_reason(envelope, address)
        if reason:
            self.counts.drops[reason] += 1
            return None
        handler = self._handlers.get(type(envelope.body))
        if handler is None:
            self.counts.drops["no_handler"] += 1
            return None
        return self.run_safely(handler, envelope, address)

    def run_safely(self, function, *args):
        """Call a function; errors in it are counted and not propagated."""
        try:
            return function(*args)
        except PeerError:
            self.counts.drops["peer_error"] += 1
        except (Exception, eventlet.Timeout) as error:
            self.counts.drops["handler_error"] += 1
            if self.record_error:
                self.record_error(error)
        return None


class PeerNetwork(PeerTransport):
    """
    Peer transport over UDP and TCP sockets.

    :param udp: bound datagram socket.
    :param tcp: listening socket on the same port number.
    :param record_event: logs an event; by default events are discarded.
    :param budget: the :class:`~lavendermast.descriptors.DescriptorBudget` that makes
        room when this process lacks descriptors; ``None`` for a transport by itself.
    """

    def __init__(self, vm, codec, clock, udp, tcp, record_event, budget):
        super().__init__(vm)
        self._codec = codec
        self._clock = clock
        self._udp = udp
        self._make_room = budget.make_room if budget is not None else lambda: 0
        self._connections = CallerConnections(clock)
        self._listener = ListeningSocket(
            tcp, self._connections, MAX_CONNECTIONS, self._make_room, record_event
        )
        self._transfers = eventlet.Semaphore(MAX_TRANSFERS)
        self._tasks = []
        self._closed = False
        host, port = udp.getsockname()
        self.address = f"{host}:{port}"

    @classmethod
    def from_settings(
        cls, settings, codec, clock, record_event=discard_event, budget=None
    ):
        """Return a transport bound to the ``peer_address`` of the settings."""
        udp, tcp = bind_sockets(*parse_address(settings.peer_address))
        return cls(settings.vm, codec, clock, udp, tcp, record_event, budget)

    def run(self):
        """Receive until :meth:`close` is called."""
        self._tasks = [
            eventlet.spawn(self._receive_datagrams),
            eventlet.spawn(self._accept_connections),
        ]
        for task in self._tasks:
            task.wait()

    def close(self):
        """Stop receiving and close the sockets."""
        self._closed = True
        for task in self._tasks:
            task.kill()
        self._udp.close()
        self._listener.close_socket()

    def count_drops(self):
        """Return the number of dropped messages and refused connections by reason."""
        drops = dict(self.counts.drops)
        if self._listener.accept_errors:
            drops["accept_error"] = self._listener.accept_errors
        return drops

    def spawn(self, function, *args):
        """Run a function in a separate green thread."""
        eventlet.spawn_n(self.run_safely, function, *args)

    def send(self, address, body):
        """Send a datagram; loss is not reported."""
        self.broadcast((address,), body)

    def broadcast(self, addresses, body):
        """Send the same datagram to several VMs; it is encoded once."""
        if not addresses:
            return
        frame = self._codec.encode(self.make_envelope(body, self._clock))
        if len(frame) > MAX_DATAGRAM_BYTES:
            self.counts.drops["datagram_too_large"] += 1
            return
        for address in addresses:
            try:
                self._udp.sendto(frame, parse_address(address))
            except (OSError, ValueError):
                self.counts.drops["send_error"] += 1
                continue
            self.counts.add("sent", body, len(frame), self.find_scope(address))

    def request(self, address, body, deadline):
        """Send a request over TCP and return the body of the reply."""
        seconds = deadline - self._clock.monotonic()
        if seconds <= 0:
            raise PeerError(f"{address}: deadline exceeded before the request was sent")
        frame = self._codec.encode(self.make_envelope(body, self._clock))
        late = PeerError(f"{address}: no reply within {seconds:.1f} s")
        try:
            with (
                limit_time(seconds, late),
                eventlet.connect(parse_address(address)) as connection,
            ):
                write_frame(connection, frame)
                scope = self.find_scope(address)
                self.counts.add("sent", body, len(frame), scope)
                reply = read_frame(connection)
            envelope = self._codec.decode(reply)
        except (OSError, ValueError, MessageError) as error:
            if is_shortage(error):
                self._make_room()
            raise PeerError(f"{address}: {error}") from error
        self.counts.add("received", envelope.body, len(reply), scope)
        return envelope.body

    def _receive_datagrams(self):
        while not self._closed:
            try:
                frame, source = self._udp.recvfrom(65_535)
            except OSError:
                self.counts.drops["receive_error"] += 1
                eventlet.sleep(0.05)
                continue
            address = f"{source[0]}:{source[1]}"
            self.run_safely(self._handle_frame, frame, address)

    def _accept_connections(self):
        while not self._closed:
            connection, source = self._listener.accept()
            eventlet.spawn_n(self._serve, connection, f"{source[0]}:{source[1]}")

    def _serve(self, connection, address):
        try:
            with eventlet.Timeout(CONNECTION_TIMEOUT_S), connection:
                # Silent peers, as after a partition, keep no others from their turn.
                trampoline(connection, read=True)
                self._connections.mark_busy(connection)
                with self._transfers:
                    self._answer(connection, address)
        except eventlet.Timeout:
            self.counts.drops["connection_timeout"] += 1
        except (OSError, MessageError):
            self.counts.drops["connection_error"] += 1
        finally:
            self._connections.remove(connection)

    def _answer(self, connection, address):
        """Read one message and write the reply, if there is one."""
        envelope, reply = self._handle_frame(read_frame(connection), address)
        if reply is None:
            return
        frame = self._codec.encode(self.make_envelope(reply, self._clock))
        write_frame(connection, frame)
        # A request arrives from another port than the peer address.
        scope = self.find_scope(envelope.sender)
        self.counts.add("sent", reply, len(frame), scope)

    def _handle_frame(self, frame, address):
        """Return the envelope of a frame, ``None`` if it is invalid, and the reply."""
        try:
            envelope = self._codec.decode(frame)
        except MessageError as error:
            self.counts.drops[error.reason] += 1
            return None, None
        scope = self.find_scope(envelope.sender)
        self.counts.add("received", envelope.body, len(frame), scope)
        return envelope, self.dispatch(envelope, address)


def bind_sockets(host, port):
    """Return a UDP and a listening TCP socket on one port; 0 selects a free port."""
    for attempt in range(BIND_ATTEMPTS):
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            udp.bind((host, port))
            tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            tcp.bind(udp.getsockname())
            tcp.listen(LISTEN_BACKLOG)
        except OSError:
            udp.close()
            tcp.close()
            # With port 0 the chosen UDP port may be in use for TCP; another is tried.
            if port or attempt == BIND_ATTEMPTS - 1:
                raise
            continue
        return udp, tcp
    raise PeerError("no port is free for both UDP and TCP")


def write_frame(connection, frame):
    """Write a frame preceded by its length."""
    connection.sendall(_LENGTH.pack(len(frame)) + frame)


def read_frame(connection):
    """
    Read one frame preceded by its length.

    :raises MessageError: when it is too large or truncated.
    """
    (length,) = _LENGTH.unpack(_read_exactly(connection, _LENGTH.size))
    if length > MAX_MESSAGE_BYTES:
        raise MessageError("too_large", f"{length} bytes")
    return _read_exactly(connection, length)


def _read_exactly(connection, length):
    data = bytearray()
    while len(data) < length:
        chunk = connection.recv(min(length - len(data), 65_536))
        if not chunk:
            raise MessageError("truncated", f"{len(data)} of {length} bytes")
        data += chunk
    return bytes(data)

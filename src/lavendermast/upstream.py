"""Single attempts at backend servers over pooled connections."""

import collections
import math
import re
from http.client import InvalidURL

import attrs
import eventlet
from eventlet import hubs

from lavendermast.connections import NotSentError, ServerConnection
from lavendermast.descriptors import RELEASE_PAUSE_S, IdleConnections, is_shortage
from lavendermast.exceptions import (
    FramingError,
    LavendermastError,
    RequestError,
    ShortageError,
    TruncatedResponseError,
)
from lavendermast.models import AttemptResult, AttemptStatus
from lavendermast.peers import UNKNOWN_SCOPE
from lavendermast.readahead import ReadAhead
from lavendermast.serverprotocol import DefaultServerProtocol
from lavendermast.utils import parse_address

#: Longest idle time of a connection that is reused for a non-idempotent request, if the
#: server sent no keep-alive timeout. A server may close an idle connection at any
#: moment, and the close arrives one network delay later, so the request could be lost.
NON_IDEMPOTENT_MAX_IDLE_S = 1.0
MAX_IDLE_S = 30.0
#: Servers may drop idle connections without closing them. After a reset, non-idempotent
#: requests only reuse connections that were idle for at most this part of the idle time
#: of the reset one.
MAX_IDLE_REDUCTION_FACTOR = 0.5
#: A reset of a dropped connection arrives within a round trip, 40 ms between regions. A
#: later reset means that the server failed while it processed the request.
IDLE_RESET_MAX_DELAY_S = 0.06
#: How long the reduced idle time stays in force after the last such reset.
REDUCED_MAX_IDLE_TTL_S = 10.0
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=([0-9]{1,6})")
#: Bytes of an unusable response that are read so that its connection can be reused.
MAX_UNUSED_BYTES = 65536
#: A connection is no longer reused this long before the end of the server's keep-alive
#: timeout: the close takes one network delay to arrive, and servers round the timeout.
KEEP_ALIVE_MARGIN_S = 1.5


class Cancellation:
    """
    Lets another task cancel an attempt, which closes its connection.

    ``unsent`` is true while the attempt has sent no byte of the request. A cancelled
    attempt never sends its first byte, so one that is cancelled while this is true has
    not run.
    """

    def __init__(self):
        self.requested = False
        self.unsent = False
        self._task = None

    def cancel(self):
        """Cancel the attempt bound to this object, now or when it starts."""
        self.requested = True
        if self._task is not None:
            hubs.get_hub().schedule_call_global(0, self._interrupt, self._task)

    def _interrupt(self, task):
        # The attempt may have ended after the call was scheduled.
        if self._task is task:
            task.throw(_CancelledError())

    def bind(self):
        """Set the calling task as the one that :meth:`cancel` interrupts."""
        self._task = eventlet.getcurrent()

    def unbind(self):
        """Clear the task, so that :meth:`cancel` interrupts nothing."""
        self._task = None


class _CancelledError(LavendermastError):
    """The attempt was cancelled."""


class BodyStream:
    """
    Iterates over a long response body until the attempt's deadline.

    It is read ahead of the caller within the memory of the request. Raises
    :class:`TruncatedResponseError` or :class:`FramingError` when the body is
    incomplete. ``status`` is ``None`` until the server's body has ended.

    :param pieces: what was read before, for which ``reserved_bytes`` are reserved.
    """

    def __init__(
        self, upstream, attempt, response, pieces, reservation, reserved_bytes
    ):
        self._upstream = upstream
        self._attempt = attempt
        self._response = response
        self._ahead = ReadAhead(self._read, reservation, pieces, reserved_bytes)
        self.length = response.length
        self.status = None

    def __iter__(self):
        return self

    def __next__(self):
        piece = self._ahead.get()
        if not piece:
            raise StopIteration
        return piece

    def close(self):
        """Close the connection if the body has not ended yet."""
        # The connection is closed after the task that reads from it has ended.
        is_open = self.status is None
        self._ahead.close()
        if is_open:
            self._fail(AttemptStatus.CANCELLED)

    def _read(self, size):
        self._response.read_bytes = size
        try:
            with self._attempt:
                piece = self._response.read_piece()
        except FramingError:
            self._fail(AttemptStatus.CUT)
            raise
        except _InterruptedError as error:
            self._fail(error.status)
            raise TruncatedResponseError(error.status.value) from error
        except BaseException as error:
            self._fail(AttemptStatus.CUT)
            if isinstance(error, OSError):
                raise TruncatedResponseError(str(error)) from error
            raise
        if not piece:
            self.status = AttemptStatus.OK
            self._upstream.release(self._attempt, self._response)
        return piece

    def _fail(self, status):
        self.status = status
        self._upstream.count_traffic(self._attempt)
        self._attempt.connection.close()


class _ConnectTimeoutError(LavendermastError):
    """The server did not accept a connection within the connect timeout."""


class _InterruptedError(LavendermastError):
    """The deadline passed or the caller cancelled."""

    def __init__(self, status):
        self.status = status
        super().__init__(status.value)


@attrs.define(eq=False)
class _Attempt:
    server: object
    clock: object
    deadline: float
    cancellation: Cancellation | None
    connection: ServerConnection | None = None
    idle_s: float | None = None  # idle time of a reused connection before the attempt
    sent_at: float = 0.0
    refusal: AttemptResult | None = None  # the response's head, if it says "not run"
    _timer: object = None

    def begin_sending(self):
        """
        Return whether the first byte may be sent, which the caller does at once.

        A cancellation interrupts the task only at the hub's next turn; the connection
        may be ready earlier.
        """
        if self.cancellation is None:
            return True
        if self.cancellation.requested:
            return False
        self.cancellation.unsent = False
        return True

    def mark_unsent(self):
        """Note that no byte has been sent yet."""
        if self.cancellation is not None:
            self.cancellation.unsent = True

    def __enter__(self):
        if self.cancellation is not None:
            if self.cancellation.requested:
                raise _InterruptedError(AttemptStatus.CANCELLED)
            self.cancellation.bind()
        remaining = self.deadline - self.clock.monotonic()
        self._timer = eventlet.Timeout(max(remaining, 0))
        return self

    def __exit__(self, kind, error, trace):
        self._timer.cancel()
        if self.cancellation is not None:
            self.cancellation.unbind()
        if error is self._timer:
            raise _InterruptedError(AttemptStatus.TIMEOUT) from error
        if kind is _CancelledError:
            raise _InterruptedError(AttemptStatus.CANCELLED) from error


class Upstream(IdleConnections):
    """
    Sends requests to backend servers over pooled connections.

    :param buffer_bytes: longest body that is buffered; a longer one is streamed, and so
        is one for which no memory is left.
    :param max_idle_connections: mapping of service to the maximum number of idle
        connections per server.
    :param protocol: the :class:`~lavendermast.serverprotocol.ServerProtocol` to use.
    :param connect_timeout_s: connect timeout; ``None`` leaves only the deadline of the
        attempt.
    :param budget: a :class:`~lavendermast.descriptors.DescriptorBudget`, or ``None``.

    ``find_scope`` returns the scope of a server for the counts in ``traffic``.

    >>> from lavendermast.clock import SystemClock
    >>> Upstream(SystemClock(), 262144, {"stock": 7}).close_server("stock-1")
    """

    def __init__(
        self,
        clock,
        buffer_bytes,
        max_idle_connections,
        protocol=None,
        connect_timeout_s=None,
        budget=None,
    ):
        self._clock = clock
        self._budget = budget
        if budget is not None:
            budget.add_holder(self)
        self._buffer_bytes = buffer_bytes
        self._max_idle_connections = dict(max_idle_connections)
        self._protocol = protocol or DefaultServerProtocol()
        self._connect_timeout_s = connect_timeout_s
        #: Returns whether a request may still run, just before its first byte is sent.
        self.may_run = lambda request: True
        self.connections_opened = 0
        #: Bytes of requests and responses, by direction (``sent``, ``received``) and
        #: scope of the server.
        self.traffic = collections.Counter()
        self.find_scope = lambda server: UNKNOWN_SCOPE
        self._idle = collections.defaultdict(collections.deque)
        self._reduced_max_idle = {}

    @classmethod
    def from_config(cls, config, clock, protocol=None):
        """Return an upstream with the limits of a configuration."""
        upstream = cls(clock, 0, {}, protocol)
        upstream.apply_config(config)
        return upstream

    def apply_config(self, config):
        """Apply the limits of a new configuration."""
        self._buffer_bytes = config.limits.buffer_bytes
        self.set_max_idle_connections(
            {
                name: max(1, service.connections // service.vms_per_service)
                for name, service in config.services.items()
            }
        )

    def set_max_idle_connections(self, limits):
        """
        Set how many idle connections are kept per server.

        :param limits: mapping of service to the maximum number of idle connections.
        """
        self._max_idle_connections = dict(limits)

    def send(self, request, server, deadline, cancellation=None):
        """
        Make one attempt.

        :param deadline: monotonic time of the deadline for the whole attempt.
        :param cancellation: a :class:`Cancellation`, or ``None``.
        :return: an :class:`AttemptResult`; a long body is in its ``stream``.
        :raises RequestError: when the request cannot be serialised as valid HTTP.
        """
        attempt = _Attempt(server, self._clock, deadline, cancellation)
        attempt.mark_unsent()
        started = self._clock.monotonic()
        if started >= deadline:
            return AttemptResult(server.name, AttemptStatus.EXPIRED)
        try:
            with attempt:
                result = self._exchange(attempt, request)
        except RequestError:
            raise
        except (LavendermastError, OSError) as error:
            result = self._make_failure_result(attempt, error)
        except BaseException:
            _close_connection(attempt)
            raise
        finally:
            self.count_traffic(attempt)
        result.latency = self._clock.monotonic() - started
        return result

    def count_traffic(self, attempt):
        """Add the bytes of an attempt that are not counted yet."""
        if attempt.connection is None:
            return
        scope = self.find_scope(attempt.server)
        sent, received = attempt.connection.take_traffic()
        self.traffic["sent", scope] += sent
        self.traffic["received", scope] += received

    def has_connection(self, server, retryable):
        """
        Return whether an attempt would reuse an idle connection.

        :param retryable: whether the request may run twice.
        """
        idle = self._idle.get(server.name)
        if not idle:
            return False
        now = self._clock.monotonic()
        return self._is_reusable(idle[-1], server.service, retryable, now)

    def is_gone(self, server):
        """
        Return whether a server has closed all connections and accepts no new one.

        Connects to the server if no idle connection to it is open. Without a descriptor
        for that nothing is known.
        """
        if any(idle.has_no_input() for idle in self._idle.get(server.name, ())):
            return False
        connection = ServerConnection(*parse_address(server.address))
        try:
            self._connect(connection)
        except ShortageError:
            return False
        except (_ConnectTimeoutError, OSError):
            return True
        finally:
            connection.close()
        return False

    def get_oldest_idle_at(self):
        """Return since when the longest idle one is idle, infinite if none is."""
        oldest = [idle[0].idle_since for idle in self._idle.values() if idle]
        return min(oldest, default=math.inf)

    def close_oldest(self):
        """Close the longest idle connection; return whether there was one."""
        idle = min(
            filter(None, self._idle.values()),
            key=lambda idle: idle[0].idle_since,
            default=None,
        )
        if idle is None:
            return False
        idle.popleft().close()
        return True

    def close_server(self, name):
        """Close all idle connections to a server."""
        for connection in self._idle.pop(name, ()):
            connection.close()

    def close_idle(self):
        """Close connections idle for over ``MAX_IDLE_S`` or closed by the server."""
        oldest = self._clock.monotonic() - MAX_IDLE_S
        for name, idle in list(self._idle.items()):
            kept = collections.deque()
            for connection in idle:
                if connection.idle_since > oldest and connection.has_no_input():
                    kept.append(connection)
                else:
                    connection.close()
            self._idle[name] = kept
            if not kept:
                del self._idle[name]

    def release(self, attempt, response):
        """Pool the connection, or close it if it is unusable or the pool is full."""
        connection = attempt.connection
        idle = self._idle[attempt.server.name]
        limit = self._max_idle_connections.get(attempt.server.service, 1)
        if not response.reusable or len(idle) >= limit:
            connection.close()
            return
        connection.idle_since = self._clock.monotonic()
        connection.keep_alive_s = read_keep_alive(response.headers)
        idle.append(connection)

    def _exchange(self, attempt, request):
        target = f"{request.path}?{request.query}" if request.query else request.path
        headers = self._protocol.build_headers(request, attempt.server)
        while True:
            reused = self._acquire_connection(attempt, request)
            try:
                attempt.connection.prepare(
                    request.method, target, headers, request.body
                )
            except (ValueError, InvalidURL) as error:
                _close_connection(attempt)
                raise RequestError(400, "malformed-request", str(error)) from error
            if self._clock.monotonic() >= attempt.deadline:
                _close_connection(attempt)
                return AttemptResult(attempt.server.name, AttemptStatus.EXPIRED)
            attempt.connection.server_response_class = (
                self._protocol.get_response_class(request)
            )
            # The connect may have taken long, and the process may have been frozen.
            if not self.may_run(request):
                _close_connection(attempt)
                return AttemptResult(attempt.server.name, AttemptStatus.DENIED)
            if not attempt.begin_sending():
                _close_connection(attempt)
                return AttemptResult(attempt.server.name, AttemptStatus.CANCELLED)
            attempt.sent_at = self._clock.monotonic()
            try:
                response = attempt.connection.exchange()
            except NotSentError:
                attempt.mark_unsent()
                _close_connection(attempt)
                if not reused:
                    raise
                continue
            finally:
                request.used_connections.append(attempt.connection)
            return self._read_response(attempt, response, request.reservation)

    def _acquire_connection(self, attempt, request):
        now = self._clock.monotonic()
        idle = self._idle.get(attempt.server.name)
        while idle:
            connection = idle.pop()
            service = attempt.server.service
            reusable = (
                self._is_reusable(connection, service, request.retryable, now)
                and connection not in request.used_connections
            )
            if reusable and connection.has_no_input():
                attempt.idle_s = now - connection.idle_since
                attempt.connection = connection
                return True
            connection.close()
        attempt.idle_s = None
        attempt.connection = ServerConnection(*parse_address(attempt.server.address))
        self._connect(attempt.connection)
        return False

    def _connect(self, connection):
        self.connections_opened += 1
        with eventlet.Timeout(self._connect_timeout_s, _ConnectTimeoutError()):
            try:
                connection.connect()
            except OSError as error:
                if not is_shortage(error):
                    raise
                self._connect_after_shortage(connection, error)

    def _connect_after_shortage(self, connection, error):
        """
        Close idle connections and connect again.

        :raises ShortageError: when there is still no descriptor.
        """
        if self._budget is None or not self._budget.make_room():
            raise ShortageError(str(error)) from error
        eventlet.sleep(RELEASE_PAUSE_S)
        try:
            connection.connect()
        except OSError as second_error:
            if not is_shortage(second_error):
                raise
            raise ShortageError(str(second_error)) from second_error

    def _read_response(self, attempt, response, reservation):
        pieces = collections.deque()
        size = 0
        result = AttemptResult(attempt.server.name, AttemptStatus.OK)
        result.head_at = self._clock.monotonic()
        self._protocol.fill_result(result, response)
        if result.status is AttemptStatus.CUT and not _is_short(response):
            # Nothing in the body can make the response usable.
            attempt.connection.close()
            return result
        if not result.ran:
            attempt.refusal = result
        if response.length is not None and response.length > self._buffer_bytes:
            result.stream = BodyStream(self, attempt, response, pieces, reservation, 0)
        else:
            while piece := response.read_piece():
                pieces.append(piece)
                size += len(piece)
                has_memory = reservation is None or reservation.grow(len(piece))
                if size > self._buffer_bytes or not has_memory:
                    reserved_bytes = size if has_memory else size - len(piece)
                    result.stream = BodyStream(
                        self, attempt, response, pieces, reservation, reserved_bytes
                    )
                    break
        if result.stream is None:
            result.body = pieces[0] if len(pieces) == 1 else b"".join(pieces)
            if result.ran or self._protocol.response_id_header:
                self.release(attempt, response)
            else:
                # A second copy of a refusal without an identifier would look like the
                # response to the next request.
                attempt.connection.close()
        elif not result.ran:
            result.stream.close()
            result.stream = None
        return result

    def _make_failure_result(self, attempt, error):
        connection = attempt.connection
        sent = connection is not None and connection.sent
        _close_connection(attempt)
        if attempt.refusal is not None:
            # The head said that the request did not run, whatever became of the body.
            attempt.refusal.body, attempt.refusal.stream = b"", None
            return attempt.refusal
        result = AttemptResult(attempt.server.name, AttemptStatus.CUT)
        result.detail = str(error) or type(error).__name__
        if isinstance(error, _InterruptedError):
            result.status = error.status
        if not sent and result.status is not AttemptStatus.CANCELLED:
            result.status = AttemptStatus.CONNECT_FAILED
        if isinstance(error, ShortageError):
            result.status = AttemptStatus.SHORTAGE
        is_closed = isinstance(error, (OSError, TruncatedResponseError))
        result.connection_lost = result.status is AttemptStatus.CUT and is_closed
        if sent and attempt.idle_s is not None and isinstance(error, ConnectionError):
            self._reduce_max_idle(attempt)
        return result

    def _reduce_max_idle(self, attempt):
        """Reduce the idle time allowed for non-idempotent requests after a reset."""
        now = self._clock.monotonic()
        if now - attempt.sent_at > IDLE_RESET_MAX_DELAY_S:
            return
        service = attempt.server.service
        max_idle = min(self._get_reduced_max_idle(service, now), attempt.idle_s)
        until = now + REDUCED_MAX_IDLE_TTL_S
        self._reduced_max_idle[service] = (max_idle * MAX_IDLE_REDUCTION_FACTOR, until)

    def _is_reusable(self, connection, service, retryable, now):
        """Return whether the idle time of a connection still allows its reuse."""
        max_idle = _get_max_idle(connection, retryable)
        if not retryable:
            max_idle = min(max_idle, self._get_reduced_max_idle(service, now))
        return now - connection.idle_since <= max_idle

    def _get_reduced_max_idle(self, service, now):
        """Return the idle time allowed after recent resets, infinite without any."""
        max_idle, until = self._reduced_max_idle.get(service, (math.inf, math.inf))
        if now < until:
            return max_idle
        del self._reduced_max_idle[service]
        return math.inf


def _is_short(response):
    """Return whether reading a body costs less than a new connection."""
    return response.length is not None and response.length <= MAX_UNUSED_BYTES


def _close_connection(attempt):
    if attempt.connection is not None:
        attempt.connection.close()


def read_keep_alive(headers):
    """
    Return the seconds of a server's ``Keep-Alive: timeout``, or ``None``.

    >>> read_keep_alive([("Keep-Alive", "timeout=10, max=5")])
    10
    """
    for name, value in headers:
        if name.lower() == "keep-alive":
            match = _KEEP_ALIVE_TIMEOUT.search(value)
            return int(match[1]) if match else None
    return None


def _get_max_idle(connection, retryable):
    """Return the idle time up to which a connection may be reused."""
    if connection.keep_alive_s is not None:
        return max(
            connection.keep_alive_s - KEEP_ALIVE_MARGIN_S, NON_IDEMPOTENT_MAX_IDLE_S
        )
    return MAX_IDLE_S if retryable else NON_IDEMPOTENT_MAX_IDLE_S

"""One attempt at one backend server over pooled connections."""

import collections
import math
import re
from http.client import InvalidURL

import attrs
import eventlet
from eventlet import hubs

from lavendermast.connections import NotSentError, ServerConnection
from lavendermast.exceptions import (
    FramingError,
    LavendermastError,
    RequestError,
    TruncatedResponseError,
)
from lavendermast.models import AttemptResult, AttemptStatus
from lavendermast.serverprotocol import OwnServerProtocol
from lavendermast.utils import parse_address

#: A server may close an idle connection at any moment and the close takes a network
#: delay to arrive. Requests that must not run twice only reuse younger connections.
FRESH_IDLE_S = 1.0
MAX_IDLE_S = 30.0
#: Servers may forget idle connections; after a reset only ones that were idle for half
#: as long carry requests that must not run twice.
IDLE_RESET_FACTOR = 0.5
#: Such a reset comes within a round trip, 40 ms between regions; a later one is the
#: failure of a server at work.
IDLE_RESET_S = 0.06
#: Time after the last such reset in which connections are reused for less long.
IDLE_RESET_MEMORY_S = 10.0
_KEEP_ALIVE = re.compile(r"timeout=([0-9]{1,6})")
#: Time by which a connection is given up before the server would close it: a close
#: takes one network delay to arrive, and servers round their limit.
IDLE_MARGIN_S = 1.5


class Cancellation:
    """Lets another task abandon an attempt; the connection to the server is closed."""

    def __init__(self):
        self.requested = False
        self._task = None

    def cancel(self):
        """Abandon the attempt bound to this object, now or when it starts."""
        self.requested = True
        if self._task is not None:
            hubs.get_hub().schedule_call_global(0, self._interrupt, self._task)

    def _interrupt(self, task):
        # The attempt may have ended since the call was scheduled.
        if self._task is task:
            task.throw(_CancelledError())

    def bind(self):
        """Name the calling task as the one to interrupt."""
        self._task = eventlet.getcurrent()

    def unbind(self):
        """Interrupt nothing from now on."""
        self._task = None


class _CancelledError(LavendermastError):
    """The attempt was abandoned by its caller."""


class BodyStream:
    """
    Iterates over a long body, bounded by the attempt's deadline.

    Ends with :class:`TruncatedResponseError` or :class:`FramingError` when the body is
    not whole. ``status`` is ``None`` until the body ended.
    """

    def __init__(self, upstream, attempt, response, pieces):
        self._upstream = upstream
        self._attempt = attempt
        self._response = response
        self._pieces = pieces
        self.length = response.length
        self.status = None

    def __iter__(self):
        return self

    def __next__(self):
        if self._pieces:
            return self._pieces.popleft()
        if self.status is not None:
            raise StopIteration
        # A read that finds data does not yield, and a fast server would hold up
        # every short request.
        eventlet.sleep(0)
        piece = self._read()
        if piece:
            return piece
        self.status = AttemptStatus.OK
        self._upstream.release(self._attempt, self._response)
        raise StopIteration

    def close(self):
        """Close the connection unless the body has ended."""
        if self.status is None:
            self._fail(AttemptStatus.CANCELLED)

    def _read(self):
        try:
            with self._attempt:
                return self._response.read_piece()
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

    def _fail(self, status):
        self.status = status
        self._pieces.clear()
        self._attempt.connection.close()


class _ConnectTimeoutError(LavendermastError):
    """The server did not accept a connection in time."""


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
    cancelled: Cancellation | None
    connection: ServerConnection | None = None
    idle_s: float | None = None  # how long a reused connection had been idle
    sent_at: float = 0.0
    _timer: object = None

    def __enter__(self):
        if self.cancelled is not None:
            if self.cancelled.requested:
                raise _InterruptedError(AttemptStatus.CANCELLED)
            self.cancelled.bind()
        remaining = self.deadline - self.clock.monotonic()
        self._timer = eventlet.Timeout(max(remaining, 0))
        return self

    def __exit__(self, kind, error, trace):
        self._timer.cancel()
        if self.cancelled is not None:
            self.cancelled.unbind()
        if error is self._timer:
            raise _InterruptedError(AttemptStatus.TIMEOUT) from error
        if kind is _CancelledError:
            raise _InterruptedError(AttemptStatus.CANCELLED) from error


class Upstream:
    """
    Sends requests to backend servers and reuses their connections.

    :param buffer_bytes: longest body that is read whole.
    :param idle_limits: mapping of service to idle connections kept for one server.
    :param protocol: the :class:`~lavendermast.serverprotocol.ServerProtocol` spoken.
    :param connect_timeout_s: longest wait for a new connection, ``None`` for no bound
        but the attempt's own.

    >>> from lavendermast.clock import SystemClock
    >>> Upstream(SystemClock(), 262144, {"stock": 7}).close_server("stock-1")
    """

    def __init__(
        self, clock, buffer_bytes, idle_limits, protocol=None, connect_timeout_s=None
    ):
        self._clock = clock
        self._buffer_bytes = buffer_bytes
        self._idle_limits = dict(idle_limits)
        self._protocol = protocol or OwnServerProtocol()
        self._connect_timeout_s = connect_timeout_s
        self.connections_opened = 0
        self._idle = collections.defaultdict(collections.deque)
        self._safe_idle_s = {}

    @classmethod
    def from_config(cls, config, clock, protocol=None):
        """Return an upstream with the limits of an accepted configuration."""
        upstream = cls(clock, 0, {}, protocol)
        upstream.apply_config(config)
        return upstream

    def apply_config(self, config):
        """Use the limits of another configuration from now on."""
        self._buffer_bytes = config.limits.buffer_bytes
        self.set_idle_limits(
            {
                name: max(1, service.connections // service.vms_per_service)
                for name, service in config.services.items()
            }
        )

    def set_idle_limits(self, limits):
        """Keep so many idle connections for each server of a service."""
        self._idle_limits = dict(limits)

    def send(self, request, server, deadline, cancelled=None):
        """
        Make one attempt.

        :param deadline: monotonic time that bounds the attempt as a whole.
        :param cancelled: a :class:`Cancellation`, or ``None``.
        :return: an :class:`AttemptResult`; a long body is in its ``stream``.
        :raises RequestError: when the request cannot be put on the wire.
        """
        attempt = _Attempt(server, self._clock, deadline, cancelled)
        started = self._clock.monotonic()
        if started >= deadline:
            return AttemptResult(server.name, AttemptStatus.EXPIRED)
        try:
            with attempt:
                result = self._exchange(attempt, request)
        except RequestError:
            raise
        except (LavendermastError, OSError) as error:
            result = self._describe_failure(attempt, error)
        except BaseException:
            _close(attempt)
            raise
        result.latency = self._clock.monotonic() - started
        return result

    def has_connection(self, server, repeatable):
        """
        Return whether an attempt would reuse a connection.

        :param repeatable: whether the request may run twice.
        """
        idle = self._idle.get(server.name)
        if not idle:
            return False
        now = self._clock.monotonic()
        return self._is_fresh(idle[-1], server.service, repeatable, now)

    def close_server(self, name):
        """Close the idle connections to a server."""
        for connection in self._idle.pop(name, ()):
            connection.close()

    def close_idle(self):
        """Close connections that are idle for long or closed by the server."""
        oldest = self._clock.monotonic() - MAX_IDLE_S
        for name, idle in list(self._idle.items()):
            kept = collections.deque()
            for connection in idle:
                if connection.idle_since > oldest and connection.is_quiet():
                    kept.append(connection)
                else:
                    connection.close()
            self._idle[name] = kept
            if not kept:
                del self._idle[name]

    def release(self, attempt, response):
        """Keep the connection for reuse, or close it when it is out of step."""
        connection = attempt.connection
        idle = self._idle[attempt.server.name]
        limit = self._idle_limits.get(attempt.server.service, 1)
        if not response.reusable or len(idle) >= limit:
            connection.close()
            return
        connection.idle_since = self._clock.monotonic()
        connection.idle_limit = read_keep_alive(response.headers)
        idle.append(connection)

    def _exchange(self, attempt, request):
        target = f"{request.path}?{request.query}" if request.query else request.path
        headers = self._protocol.build_headers(request, attempt.server)
        while True:
            reused = self._take_connection(attempt, request.repeatable)
            try:
                attempt.connection.prepare(
                    request.method, target, headers, request.body
                )
            except (ValueError, InvalidURL) as error:
                _close(attempt)
                raise RequestError(400, "malformed-request", str(error)) from error
            if self._clock.monotonic() >= attempt.deadline:
                _close(attempt)
                return AttemptResult(attempt.server.name, AttemptStatus.EXPIRED)
            attempt.connection.response_class = self._protocol.make_response(request)
            attempt.sent_at = self._clock.monotonic()
            try:
                response = attempt.connection.exchange()
            except NotSentError:
                _close(attempt)
                if not reused:
                    raise
                continue
            return self._read_response(attempt, response)

    def _take_connection(self, attempt, repeatable):
        now = self._clock.monotonic()
        idle = self._idle.get(attempt.server.name)
        while idle:
            connection = idle.pop()
            service = attempt.server.service
            fresh = self._is_fresh(connection, service, repeatable, now)
            if fresh and connection.is_quiet():
                attempt.idle_s = now - connection.idle_since
                attempt.connection = connection
                return True
            connection.close()
        attempt.idle_s = None
        attempt.connection = ServerConnection(*parse_address(attempt.server.address))
        self.connections_opened += 1
        with eventlet.Timeout(self._connect_timeout_s, _ConnectTimeoutError()):
            attempt.connection.connect()
        return False

    def _read_response(self, attempt, response):
        pieces = collections.deque()
        size = 0
        result = AttemptResult(attempt.server.name, AttemptStatus.OK)
        if response.length is not None and response.length > self._buffer_bytes:
            result.stream = BodyStream(self, attempt, response, pieces)
        else:
            while piece := response.read_piece():
                pieces.append(piece)
                size += len(piece)
                if size > self._buffer_bytes:
                    result.stream = BodyStream(self, attempt, response, pieces)
                    break
        if result.stream is None:
            result.body = pieces[0] if len(pieces) == 1 else b"".join(pieces)
            self.release(attempt, response)
        self._protocol.read_result(result, response)
        if result.stream is not None and not result.ran:
            result.stream.close()
            result.stream = None
        return result

    def _describe_failure(self, attempt, error):
        connection = attempt.connection
        sent = connection is not None and connection.sent
        _close(attempt)
        result = AttemptResult(attempt.server.name, AttemptStatus.CUT)
        result.detail = str(error) or type(error).__name__
        if isinstance(error, _InterruptedError):
            result.status = error.status
        if not sent and result.status is not AttemptStatus.CANCELLED:
            result.status = AttemptStatus.CONNECT_FAILED
        if sent and attempt.idle_s is not None and isinstance(error, ConnectionError):
            self._note_idle_reset(attempt)
        return result

    def _note_idle_reset(self, attempt):
        """Reuse connections of a service sooner, or not, for what must not repeat."""
        now = self._clock.monotonic()
        if now - attempt.sent_at > IDLE_RESET_S:
            return
        service = attempt.server.service
        known = min(self._get_safe_idle(service, now), attempt.idle_s)
        until = now + IDLE_RESET_MEMORY_S
        self._safe_idle_s[service] = (known * IDLE_RESET_FACTOR, until)

    def _is_fresh(self, connection, service, repeatable, now):
        """Return whether a connection was idle for so short that it is used again."""
        bound = _get_idle_bound(connection, repeatable)
        if not repeatable:
            bound = min(bound, self._get_safe_idle(service, now))
        return now - connection.idle_since <= bound

    def _get_safe_idle(self, service, now):
        """Return how long a connection may have been idle after recent resets."""
        bound, until = self._safe_idle_s.get(service, (math.inf, math.inf))
        if now < until:
            return bound
        del self._safe_idle_s[service]
        return math.inf


def _close(attempt):
    if attempt.connection is not None:
        attempt.connection.close()


def read_keep_alive(headers):
    """
    Return the seconds that a server keeps an idle connection, or ``None``.

    >>> read_keep_alive([("Keep-Alive", "timeout=10, max=5")])
    10
    """
    for name, value in headers:
        if name.lower() == "keep-alive":
            match = _KEEP_ALIVE.search(value)
            return int(match[1]) if match else None
    return None


def _get_idle_bound(connection, repeatable):
    """Return how long servers keep an idle connection, as far as they say."""
    if connection.idle_limit is not None:
        return max(connection.idle_limit - IDLE_MARGIN_S, FRESH_IDLE_S)
    return MAX_IDLE_S if repeatable else FRESH_IDLE_S

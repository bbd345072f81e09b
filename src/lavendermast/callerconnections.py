"""Connections that a listener accepted, and which of them may be closed."""

import math

from eventlet import greenio

from lavendermast.descriptors import IdleConnections
from lavendermast.sockets import peek

#: Timeouts of callers while no configuration sets others.
IDLE_TIMEOUT_S = 75.0
HEAD_TIMEOUT_S = 30.0


class CallerConnections(IdleConnections):
    """
    Connections of one listener.

    Idle is a connection without a request: no byte of one has been read or waits to be
    read, and none is answered.

    :param idle_timeout_s: time after which :meth:`close_expired` closes idle ones.
    :param head_timeout_s: time that a caller may take for the head of a request.
    """

    def __init__(
        self, clock, idle_timeout_s=IDLE_TIMEOUT_S, head_timeout_s=HEAD_TIMEOUT_S
    ):
        self._clock = clock
        self.idle_timeout_s = idle_timeout_s
        self.head_timeout_s = head_timeout_s
        self._open = set()
        self._idle_since = {}  # ordered by time

    def __len__(self):
        return len(self._open)

    def add(self, sock):
        """Add a new connection, which is idle until its first byte is read."""
        self._open.add(sock)
        self.mark_idle(sock)

    def mark_idle(self, sock):
        """Record that a connection waits for a request."""
        if sock in self._open:
            self._idle_since[sock] = self._clock.monotonic()

    def mark_busy(self, sock):
        """Record that bytes of a request were read."""
        self._idle_since.pop(sock, None)

    def remove(self, sock):
        """Remove a connection that was closed."""
        self._open.discard(sock)
        self._idle_since.pop(sock, None)

    def get_oldest_idle_at(self):
        """Return since when the longest idle one is idle, infinite if none is."""
        return next(iter(self._idle_since.values()), math.inf)

    def close_oldest(self):
        """
        Close the longest idle connection that no request has arrived on.

        :return: whether there was one.
        """
        while self._idle_since:
            if self._close_first():
                return True
        return False

    def close_expired(self):
        """Close the connections that have been idle for longer than they may."""
        oldest = self._clock.monotonic() - self.idle_timeout_s
        while self.get_oldest_idle_at() <= oldest:
            self._close_first()

    def _close_first(self):
        """
        Close the longest idle connection if no request has arrived on it.

        :return: whether it was closed; if not, it no longer counts as idle.
        """
        sock = next(iter(self._idle_since))
        del self._idle_since[sock]
        if peek(sock) is not None:
            return False
        # The task that waits for a request then closes the socket.
        self.remove(sock)
        greenio.shutdown_safe(sock)
        return True

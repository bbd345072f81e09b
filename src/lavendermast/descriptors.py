"""File descriptors of this process: their limit, and what is closed to free some."""

import abc
import errno
import math
import os
import resource

#: Share of the descriptors for connections of callers. Each request in flight needs one
#: and up to two more, for its attempt at a server and a hedge.
CALLER_SHARE = 0.4
#: Share of the descriptors for requests in flight.
IN_FLIGHT_SHARE = 0.2
#: Share for the connections of each other listener.
CONTROL_SHARE = 0.05
MIN_CONNECTIONS = 4
#: Connections that are closed at once when no descriptor is free.
CLOSED_AT_ONCE = 8
#: Time in which closed connections release their descriptors.
RELEASE_PAUSE_S = 0.005
#: A lack of descriptors is logged once in this time.
LOG_INTERVAL_S = 1.0
#: Errors of calls that need a descriptor, buffer or local port that this process or
#: machine has not got. They say nothing about the peer.
_SHORTAGE_ERRNOS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)


def get_descriptor_limit():
    """Return the number of file descriptors that this process may have open."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return math.inf if limit == resource.RLIM_INFINITY else limit


def count_open_descriptors():
    """
    Return the number of open file descriptors.

    :raises OSError: when the system does not list them or no descriptor is left.
    """
    # The list includes the descriptor that reads it.
    return len(os.listdir("/proc/self/fd")) - 1


def is_shortage(error):
    """
    Return whether an error says that this process or machine lacks resources.

    Libraries wrap such errors in their own.

    >>> is_shortage(OSError(errno.EMFILE, "Too many open files"))
    True
    >>> is_shortage(ConnectionRefusedError(errno.ECONNREFUSED, "refused"))
    False
    """
    while error is not None:
        if isinstance(error, OSError) and error.errno in _SHORTAGE_ERRNOS:
            return True
        error = error.__cause__ or error.__context__
    return False


class IdleConnections(abc.ABC):
    """Connections of one kind that may be closed while they are idle."""

    @abc.abstractmethod
    def get_oldest_idle_at(self):
        """Return since when the longest idle one is idle, infinite if none is."""

    @abc.abstractmethod
    def close_oldest(self):
        """Close the longest idle one; return whether one was closed."""


class DescriptorBudget:
    """
    Divides the file descriptors of this process among its connections.

    :param limit: number of descriptors that the process may have open.

    >>> from lavendermast.clock import ManualClock
    >>> budget = DescriptorBudget(1000, ManualClock(), lambda event, **fields: None)
    >>> budget.caller_connections, budget.control_connections
    (400, 50)
    """

    def __init__(self, limit, clock, record_event):
        self.limit = limit
        self._clock = clock
        self._next_log_at = -math.inf
        self._record_event = record_event
        self._holders = []
        self.closed_for_room = 0

    @classmethod
    def from_settings(cls, settings, clock, record_event):
        """Return a budget for the lower of the process's limit and the settings'."""
        limit = get_descriptor_limit()
        limit = min(limit, settings.max_descriptors or math.inf)
        return cls(limit, clock, record_event)

    @property
    def caller_connections(self):
        """Number of connections that callers may have open."""
        return self._compute_part(CALLER_SHARE)

    @property
    def control_connections(self):
        """Number of connections that each other listener may have open."""
        return self._compute_part(CONTROL_SHARE)

    @property
    def requests_in_flight(self):
        """Number of requests that may be in flight."""
        return self._compute_part(IN_FLIGHT_SHARE)

    def add_holder(self, connections):
        """Let :meth:`make_room` close connections of an :class:`IdleConnections`."""
        self._holders.append(connections)

    def make_room(self):
        """
        Close the connections that have been idle for longest, of all kinds.

        :return: the number of closed connections; they may take until the next turn of
            other tasks to release their descriptors.
        """
        closed = 0
        while closed < CLOSED_AT_ONCE:
            holders = sorted(self._holders, key=lambda item: item.get_oldest_idle_at())
            if not any(holder.close_oldest() for holder in holders):
                break
            closed += 1
        self.closed_for_room += closed
        self._log_shortage()
        return closed

    def _log_shortage(self):
        now = self._clock.monotonic()
        if now < self._next_log_at:
            return
        self._next_log_at = now + LOG_INTERVAL_S
        self._record_event(
            "descriptors_short", limit=self.limit, closed=self.closed_for_room
        )

    def _compute_part(self, share):
        if math.isinf(self.limit):
            return math.inf
        return max(int(self.limit * share), MIN_CONNECTIONS)

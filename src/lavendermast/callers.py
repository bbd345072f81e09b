"""Detects that a caller has closed its connection."""

from eventlet import hubs

from lavendermast.sockets import peek

#: Requests that end sooner are never checked, which keeps the common case cheap.
CHECK_INTERVAL_S = 0.1


class DisconnectWatcher:
    """
    Cancels a request when the caller's connection closes; a context manager.

    :param sock: the caller's socket.
    :param cancellation: an ``upstream.Cancellation``.
    """

    def __init__(self, sock, cancellation):
        self._sock = sock
        self._cancellation = cancellation
        self._timer = None

    def __enter__(self):
        self._schedule()
        return self

    def __exit__(self, *exception):
        self._timer.cancel()

    def _schedule(self):
        hub = hubs.get_hub()
        self._timer = hub.schedule_call_global(CHECK_INTERVAL_S, self._check)

    def _check(self):
        data = peek(self._sock)
        if data is None:
            self._schedule()
            return
        if not data:
            self._cancellation.cancel()

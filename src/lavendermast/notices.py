"""What servers say of themselves in their responses, kept by each VM."""

import collections

from lavendermast.crashes import ServerRun

#: Runs of servers that are remembered as leaving.
MAX_LEAVING_RUNS = 2048
#: News of a server's restart arrive up to this much later than its first responses.
RESTART_NEWS_DELAY_S = 3.0


class ServerNotices:
    """
    Servers that said in a response that they are leaving, or want a pause.

    A notice holds for one run of a server: it ends when the server has restarted. It
    does not depend on the store, which may not know of a departure yet.

    :param get_server: function from a name to the ``ListedServer``, or ``None``.

    >>> import types
    >>> from lavendermast.clock import ManualClock
    >>> listed = types.SimpleNamespace(
    ...     server=types.SimpleNamespace(name="s1"),
    ...     record=types.SimpleNamespace(started_unix_ms=1000),
    ... )
    >>> clock = ManualClock(10.0)
    >>> notices = ServerNotices({"s1": listed}.get, clock, lambda event, **fields: None)
    >>> notices.mark_leaving("s1")
    >>> notices.is_leaving(listed)
    True
    >>> notices.pause("s1", 12.5)
    >>> notices.compute_pause(listed)
    2.5
    """

    def __init__(self, get_server, clock, record_event):
        self._get_server = get_server
        self._clock = clock
        self._record_event = record_event
        self._leaving_runs = collections.OrderedDict()
        self._pauses = {}

    def mark_leaving(self, name):
        """Record that the present run of a server is leaving."""
        listed = self._get_server(name)
        if listed is None or self.is_leaving(listed):
            return
        self._leaving_runs[name] = ServerRun.from_listed(listed)
        self._leaving_runs.move_to_end(name)
        if len(self._leaving_runs) > MAX_LEAVING_RUNS:
            self._leaving_runs.popitem(last=False)
        self._record_event("server_leaving", server=name, source="response")

    def is_leaving(self, listed):
        """Return whether a ``ListedServer`` said that it is leaving."""
        run = self._leaving_runs.get(listed.server.name)
        return run is not None and run == ServerRun.from_listed(listed)

    def pause(self, name, until):
        """
        Record that the present run of a server wants no request for a while.

        :param until: monotonic time of the end; an earlier one ends no longer pause.
        """
        listed = self._get_server(name)
        if listed is None:
            return
        now = self._clock.monotonic()
        until = max(until, now + self.compute_pause(listed))
        self._pauses[name] = (ServerRun.from_listed(listed), now, until)
        self._record_event(
            "server_paused", server=name, pause_ms=round((until - now) * 1000)
        )

    def compute_pause(self, listed):
        """Return the seconds until a ``ListedServer`` may get a request again."""
        pause = self._pauses.get(listed.server.name)
        if pause is None:
            return 0.0
        run, asked_at, until = pause
        left = until - self._clock.monotonic()
        # The run that asked may already be the one that is listed since then.
        is_same_run = (
            run == ServerRun.from_listed(listed)
            or asked_at > listed.listed_at - RESTART_NEWS_DELAY_S
        )
        if left <= 0 or not is_same_run:
            del self._pauses[listed.server.name]
            return 0.0
        return left

    def remove(self, name):
        """Drop the pause of a server that was removed."""
        self._pauses.pop(name, None)

    def count_paused(self):
        """Return the number of listed servers that want a pause."""
        listed = map(self._get_server, list(self._pauses))
        return sum(item is not None and self.compute_pause(item) > 0 for item in listed)

    def count_leaving(self):
        """Return the number of listed servers that said that they are leaving."""
        listed = map(self._get_server, self._leaving_runs)
        return sum(item is not None and self.is_leaving(item) for item in listed)

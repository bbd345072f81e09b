"""What servers say of themselves in their responses, kept by each VM."""

import collections

#: Runs of servers that are remembered as leaving.
MAX_LEAVING_RUNS = 2048


class ServerNotices:
    """
    Servers that said in a response that they are leaving.

    The notice holds for one run of a server: it ends when the server has restarted. It
    does not depend on the store, which may not know of the departure yet.

    :param get_server: function from a name to the ``ListedServer``, or ``None``.

    >>> import types
    >>> listed = types.SimpleNamespace(
    ...     server=types.SimpleNamespace(name="s1"),
    ...     record=types.SimpleNamespace(started_unix_ms=1000),
    ... )
    >>> notices = ServerNotices({"s1": listed}.get, lambda event, **fields: None)
    >>> notices.mark_leaving("s1")
    >>> notices.is_leaving(listed)
    True
    """

    def __init__(self, get_server, record_event):
        self._get_server = get_server
        self._record_event = record_event
        self._leaving_runs = collections.OrderedDict()

    def mark_leaving(self, name):
        """Record that the present run of a server is leaving."""
        listed = self._get_server(name)
        if listed is None or self.is_leaving(listed):
            return
        self._leaving_runs[name] = listed.record.started_unix_ms
        self._leaving_runs.move_to_end(name)
        if len(self._leaving_runs) > MAX_LEAVING_RUNS:
            self._leaving_runs.popitem(last=False)
        self._record_event("server_leaving", server=name, source="response")

    def is_leaving(self, listed):
        """Return whether a ``ListedServer`` said that it is leaving."""
        run = self._leaving_runs.get(listed.server.name)
        return run is not None and run == listed.record.started_unix_ms

    def count_leaving(self):
        """Return the number of listed servers that said that they are leaving."""
        listed = map(self._get_server, self._leaving_runs)
        return sum(item is not None and self.is_leaving(item) for item in listed)

"""
Stand-in for the platform's metadata store.

It serves range reads, watches and compacted history.
"""

import base64
import json
import time
import urllib.parse

import eventlet
import eventlet.wsgi


class MetadataStandIn:
    """
    An in-memory store, served by WSGI.

    ``failure`` is the status of all responses, or ``None`` for regular ones. ``era``
    rises when the store is restored from a copy.
    """

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self.era = 1
        self.first_kept_revision = 1
        self.failure = None
        self.calls = 0
        self._socket = eventlet.listen(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._socket.getsockname())

    def start(self):
        """Serve until the process ends."""
        eventlet.spawn(eventlet.wsgi.server, self._socket, self, log_output=False)

    def put(self, key, value):
        """Write a JSON value."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {"key": key, "value": text, "rev": self.revision}
        self.items[key] = item
        self.events.append(item)

    def delete(self, key):
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        self.events.append({"key": key, "rev": self.revision, "deleted": True})

    def compact_history(self):
        """Compact the history; watches from earlier revisions get status 410."""
        self.first_kept_revision = self.revision + 1

    def copy(self):
        """Return a copy for :meth:`restore`."""
        return dict(self.items), list(self.events), self.revision

    def restore(self, copy):
        """Replace all content by a copy; later revisions are given out again."""
        self.items, self.events, self.revision = dict(copy[0]), list(copy[1]), copy[2]
        self.first_kept_revision = min(self.first_kept_revision, self.revision + 1)
        self.era += 1

    def __call__(self, environ, start_response):
        self.calls += 1
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        if self.failure is not None:
            return self._respond(start_response, self.failure, {"error": "refused"})
        if environ["PATH_INFO"] == "/kv-range":
            items = [
                item
                for key, item in sorted(self.items.items())
                if key > query.get("after", "")
            ]
            page = {"items": items[:2], "has_more": len(items) > 2}
            return self._respond(start_response, 200, {**page, "at_rev": self.revision})
        return self._watch(query, start_response)

    def _watch(self, query, start_response):
        after, era = int(query["after"]), self.era
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after + 1 < self.first_kept_revision or after > self.revision:
                return self._respond(start_response, 410, {"error": "compacted"})
            events = [event for event in self.events if event["rev"] > after]
            if events or era != self.era or time.monotonic() >= deadline:
                break
            eventlet.sleep(0.02)
        # Read without a pause in between: a revision after the events would tell the
        # reader that it knows of a change that it never gets.
        body = {"events": events, "at_rev": self.revision}
        return self._respond(start_response, 200, body)

    def _respond(self, start_response, status, value):
        body = json.dumps(value).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Store-Era", str(self.era)),
        ]
        start_response(f"{status} -", [*headers, ("Content-Length", str(len(body)))])
        return [body]

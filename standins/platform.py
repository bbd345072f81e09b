"""Configuration service test double: reads, watches, call counts, stale or down."""

import argparse
import json
import time
import urllib.parse

import eventlet
import eventlet.event
import eventlet.wsgi

MAX_VALUE_BYTES = 1024 * 1024
MAX_WAIT_S = 30.0


class PlatformStore:
    """
    Named values that can be read and watched.

    `GET /v1/values/NAME` returns a value with its `X-Revision`. With `?after=REVISION&
    wait=SECONDS` the call waits for another revision and returns 304 after that time.
    `PUT /_control/values/NAME` publishes; `POST /_control` sets `down`, or `stale`,
    which freezes the values that reads return; `GET /_control` returns call counts.
    """

    def __init__(self):
        self.values = {}
        self.stale_values = None
        self.down = False
        self.changed = eventlet.event.Event()
        self.calls = []

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/_control":
            return self._control(environ, start_response)
        if path.startswith("/_control/values/"):
            return self._publish(environ, start_response, path.rsplit("/", 1)[1])
        self.calls.append(time.time())
        if self.down:
            return self._respond(start_response, "503 Service Unavailable")
        if path.startswith("/v1/values/"):
            return self._read(environ, start_response, path.rsplit("/", 1)[1])
        return self._respond(start_response, "404 Not Found")

    def _control(self, environ, start_response):
        if environ["REQUEST_METHOD"] == "POST":
            length = int(environ.get("CONTENT_LENGTH") or 0)
            change = json.loads(environ["wsgi.input"].read(length))
            self.down = change.get("down", self.down)
            if "stale" in change:
                self.stale_values = dict(self.values) if change["stale"] else None
            self._notify()
        recent = [moment for moment in self.calls if moment > time.time() - 10]
        body = json.dumps({"calls": len(self.calls), "calls_10s": len(recent)})
        return self._respond(start_response, "200 OK", body.encode())

    def _publish(self, environ, start_response, name):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        content = environ["wsgi.input"].read(length)
        if len(content) > MAX_VALUE_BYTES:
            return self._respond(start_response, "413 Content Too Large")
        revision = self.values.get(name, (0, b""))[0] + 1
        self.values[name] = (revision, content)
        self._notify()
        return self._respond(start_response, "200 OK", str(revision).encode())

    def _notify(self):
        changed, self.changed = self.changed, eventlet.event.Event()
        changed.send(None)

    def _read(self, environ, start_response, name):
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        after = int(query.get("after", ["-1"])[0])
        until = time.time() + min(float(query.get("wait", ["0"])[0]), MAX_WAIT_S)
        while True:
            visible = self.values if self.stale_values is None else self.stale_values
            revision, content = visible.get(name, (0, None))
            if content is None and after < 0:
                return self._respond(start_response, "404 Not Found")
            if revision != after and content is not None:
                return self._respond(start_response, "200 OK", content, revision)
            left = until - time.time()
            if left <= 0 or self.down:
                return self._respond(start_response, "304 Not Modified")
            with eventlet.Timeout(left, False):
                self.changed.wait()

    def _respond(self, start_response, status, content=b"", revision=0):
        headers = [("Content-Length", str(len(content))), ("X-Revision", str(revision))]
        start_response(status, headers)
        return [content]


def main():
    """Serve an empty store until the process exits."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:8500")
    host, port = parser.parse_args().listen.rsplit(":", 1)
    sock = eventlet.listen((host, int(port)), backlog=512)
    print("ready", flush=True)
    eventlet.wsgi.server(
        sock, PlatformStore(), log=open("/dev/null", "w"), log_output=False
    )


if __name__ == "__main__":
    main()

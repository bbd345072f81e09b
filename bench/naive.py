"""Naive proxy, the baseline for comparisons with the fleet.

Selects servers by round robin, has a circuit breaker per server and process, and
retries on the next server after any failure.
Run: python -m bench.naive --listen IP:PORT --servers name=IP:PORT,...
"""

import eventlet

if __name__ == "__main__":  # bench.overload_vms only imports RoundRobin
    eventlet.monkey_patch()

import argparse  # noqa: E402
import collections  # noqa: E402
import time  # noqa: E402

import urllib3  # noqa: E402
from eventlet import wsgi  # noqa: E402

BREAKER_FAILURES = 10
BREAKER_WINDOW_S = 30.0
BREAKER_OPEN_S = 60.0
HOP_BY_HOP_HEADERS = {
    "connection",
    "keep-alive",
    "transfer-encoding",
    "trailer",
    "upgrade",
}


class CircuitBreaker:
    """
    Opens after ``BREAKER_FAILURES`` within ``BREAKER_WINDOW_S``.

    After ``BREAKER_OPEN_S`` it admits one probe request at a time: a success closes the
    breaker, a failure keeps it open for another ``BREAKER_OPEN_S``.
    """

    def __init__(self, now=time.monotonic):
        self._now = now
        self._failures = collections.deque()
        self._open_until = None
        self._probing = False

    def allow(self):
        """Return whether a request may be sent."""
        if self._open_until is None:
            return True
        if self._now() < self._open_until or self._probing:
            return False
        self._probing = True
        return True

    def record(self, ok):
        """Record the result of a request that was allowed."""
        now = self._now()
        if self._open_until is not None:
            if self._probing:
                self._probing = False
                self._open_until = None if ok else now + BREAKER_OPEN_S
            return
        if ok:
            return
        self._failures.append(now)
        while self._failures[0] <= now - BREAKER_WINDOW_S:
            self._failures.popleft()
        if len(self._failures) >= BREAKER_FAILURES:
            self._open_until = now + BREAKER_OPEN_S
            self._failures.clear()


class RoundRobin:
    """Chooses servers in turn, except those whose circuit breaker is open."""

    def __init__(self, names, now=time.monotonic):
        self._names = list(names)
        self._breakers = {name: CircuitBreaker(now) for name in names}
        self._next = 0

    def choose(self, tried):
        """Return the next server that is not in ``tried``, or ``None``."""
        for _ in self._names:
            name = self._names[self._next % len(self._names)]
            self._next += 1
            if name not in tried and self._breakers[name].allow():
                return name
        return None

    def record(self, name, ok):
        """Record the result of an attempt."""
        self._breakers[name].record(ok)


class NaiveProxy:
    """WSGI application that forwards to one server, after a failure to the next."""

    def __init__(self, servers):
        self._round_robin = RoundRobin(servers)
        self._pools = {
            name: urllib3.HTTPConnectionPool(
                address.rpartition(":")[0],
                int(address.rpartition(":")[2]),
                maxsize=64,
                timeout=urllib3.Timeout(connect=1.0, read=60.0),
                retries=False,
            )
            for name, address in servers.items()
        }

    def __call__(self, environ, start_response):
        path = environ.get("RAW_PATH_INFO") or environ["PATH_INFO"]
        if environ.get("QUERY_STRING"):
            path = f"{path}?{environ['QUERY_STRING']}"
        headers = {
            key[5:].replace("_", "-"): value
            for key, value in environ.items()
            if key.startswith("HTTP_") and key not in ("HTTP_HOST", "HTTP_CONNECTION")
        }
        if environ.get("CONTENT_TYPE"):
            headers["Content-Type"] = environ["CONTENT_TYPE"]
        body = environ["wsgi.input"].read() if environ.get("CONTENT_LENGTH") else None
        response = self._send(environ["REQUEST_METHOD"], path, headers, body)
        if response is None:
            start_response("503 Service Unavailable", [("Content-Length", "0")])
            return [b""]
        items = response.headers.items()
        kept = [item for item in items if item[0].lower() not in HOP_BY_HOP_HEADERS]
        start_response(f"{response.status} {response.reason or 'Status'}", kept)
        return [response.data]

    def _send(self, method, path, headers, body):
        tried, response = set(), None
        while (name := self._round_robin.choose(tried)) is not None:
            tried.add(name)
            try:
                response = self._pools[name].request(
                    method, path, body=body, headers=headers, decode_content=False
                )
            except urllib3.exceptions.HTTPError:
                self._round_robin.record(name, False)
                continue
            self._round_robin.record(name, response.status < 500)
            if response.status < 500:
                break
        return response


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--servers", required=True)
    options = parser.parse_args()
    servers = dict(item.split("=", 1) for item in options.servers.split(","))
    host, _, port = options.listen.rpartition(":")
    listener = eventlet.listen((host, int(port)))
    wsgi.server(listener, NaiveProxy(servers), log_output=False)


if __name__ == "__main__":
    main()

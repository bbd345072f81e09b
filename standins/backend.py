"""Backend server test double: slots, shedding, draining and gray faults on command.

One process serves several backend servers, each on its own port. `POST /_control` sets
a server's faults; `GET /_executions` returns what it ran.
"""

import argparse
import hashlib
import json
import random
import socket
import sys
import time

import attrs
import eventlet
import eventlet.wsgi

CONNECT_COST_S = 0.001
PROBE_COST_S = 0.025
CANCEL_CHECK_S = 0.05
COLD_FACTOR = 5.0


@attrs.define
class Faults:
    """
    Faults that a control request sets.

    :param slow: factor on the service time.
    :param errors: share of requests answered with 500 after the work.
    :param cut: share of answers that end after half of the body.
    :param hang: share of requests that are never answered.
    :param drop_after_run: share of requests run but closed without an answer.
    :param draining: whether the server refuses new work.
    :param cold_until: Unix time until which the server is cold.
    :param health_lag: seconds by which the health endpoint lags.
    """

    slow: float = 1.0
    errors: float = 0.0
    cut: float = 0.0
    hang: float = 0.0
    drop_after_run: float = 0.0
    draining: bool = False
    cold_until: float = 0.0
    health_lag: float = 1.0


@attrs.define
class Work:
    """Service time and body size of requests under a path prefix."""

    prefix: str
    work_ms: float
    body_bytes: int


class BackendServer:
    """One backend server with a bounded number of slots."""

    def __init__(self, name, slots, queue, work, seed):
        self.name = name
        self.slots = slots
        self.queue = queue
        self.work = sorted(work, key=lambda item: -len(item.prefix))
        self.random = random.Random(f"{seed}-{name}")
        self.faults = Faults()
        self.changed_at = 0.0
        self.reported = "ok"
        self.busy = 0
        self.waiting = 0
        self.free = eventlet.semaphore.Semaphore(slots)
        self.executions = []
        self.refusals = []
        self.counts = {"requests": 0, "shed": 0, "probes": 0, "cancelled": 0}

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/_control":
            return self._set_faults(environ, start_response)
        if path == "/_executions":
            return self._answer(start_response, "200 OK", self._dump())
        if path == "/health":
            return self._answer_health(start_response)
        return self._serve(environ, start_response)

    def _set_faults(self, environ, start_response):
        body = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        self.faults = attrs.evolve(self.faults, **json.loads(body))
        self.changed_at = time.time()
        return self._answer(start_response, "200 OK", b"{}")

    def _dump(self):
        return json.dumps(
            {
                "server": self.name,
                "counts": self.counts,
                "runs": self.executions,
                "refusals": self.refusals,
            }
        ).encode()

    def _answer_health(self, start_response):
        self.counts["probes"] += 1
        eventlet.sleep(PROBE_COST_S)
        if time.time() - self.changed_at >= self.faults.health_lag:
            self.reported = self._get_state()
        body = {"state": self.reported, "busy": self.busy, "slots": self.slots}
        return self._answer(start_response, "200 OK", json.dumps(body).encode())

    def _get_state(self):
        if self.faults.draining:
            return "draining"
        return "cold" if time.time() < self.faults.cold_until else "ok"

    def _serve(self, environ, start_response):
        body = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        self.counts["requests"] += 1
        if self.faults.draining:
            return self._refuse(start_response, "draining")
        if self.busy + self.waiting >= self.slots + self.queue:
            return self._refuse(start_response, "shedding")
        self.waiting += 1
        try:
            self.free.acquire()
        finally:
            self.waiting -= 1
        self.busy += 1
        try:
            return self._run(environ, start_response, body)
        finally:
            self.busy -= 1
            self.free.release()

    def _run(self, environ, start_response, body):
        deadline = float(environ.get("HTTP_X_DEADLINE") or 0) / 1000
        if deadline and time.time() > deadline:
            return self._refuse(start_response, "shedding")
        work = self._find_work(environ["PATH_INFO"])
        run = [
            environ.get("HTTP_X_REQUEST_ID", ""),
            environ.get("HTTP_IDEMPOTENCY_KEY", ""),
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            time.time(),
        ]
        self.executions.append(run)
        roll = self.random.random
        sock = environ["eventlet.input"].get_socket()
        if roll() < self.faults.hang:
            self._wait(sock, 600.0)
        if not self._wait(sock, self._compute_seconds(work)):
            self.counts["cancelled"] += 1
            raise ConnectionAbortedError
        if roll() < self.faults.drop_after_run:
            raise ConnectionAbortedError
        if roll() < self.faults.errors:
            return self._answer(start_response, "500 Internal Server Error", b"{}")
        content = self._make_body(environ, body, work.body_bytes)
        if environ["REQUEST_METHOD"] == "HEAD":
            self._start(start_response, "200 OK", len(content))
            return []
        if roll() < self.faults.cut:
            return self._answer_cut(start_response, content)
        return self._answer(start_response, "200 OK", content)

    def _find_work(self, path):
        return next(item for item in self.work if path.startswith(item.prefix))

    def _compute_seconds(self, work):
        seconds = work.work_ms / 1000 * self.faults.slow
        seconds *= self.random.uniform(0.8, 1.2)
        return seconds * (COLD_FACTOR if self._get_state() == "cold" else 1.0)

    def _wait(self, sock, seconds):
        """Return whether the caller was still connected after the work."""
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            eventlet.sleep(min(left, CANCEL_CHECK_S))
            try:
                if sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b"":
                    return False
            except BlockingIOError:
                continue
            except OSError:
                return False
        return True

    def _make_body(self, environ, body, size):
        head = {
            "server": self.name,
            "path": environ["PATH_INFO"],
            "query": environ.get("QUERY_STRING", ""),
            "received": hashlib.sha256(body).hexdigest(),
        }
        text = json.dumps(head).encode()
        return text + b" " * max(0, size - len(text))

    def _answer_cut(self, start_response, content):
        self._start(start_response, "200 OK", len(content))
        yield content[: len(content) // 2]
        raise ConnectionAbortedError

    def _refuse(self, start_response, state):
        self.counts["shed"] += 1
        self.refusals.append(time.time())
        self._start(start_response, "503 Service Unavailable", 0, state)
        return [b""]

    def _answer(self, start_response, status, content):
        self._start(start_response, status, len(content))
        return [content]

    def _start(self, start_response, status, length, state=None):
        headers = [
            ("Content-Length", str(length)),
            ("X-Server-Load", f"{self.busy}/{self.slots}"),
        ]
        if state:
            headers.append(("X-Server-State", state))
        start_response(status, headers)


class CostlyProtocol(eventlet.wsgi.HttpProtocol):
    """HTTP connection whose set-up takes time."""

    def setup(self):
        eventlet.sleep(CONNECT_COST_S)
        super().setup()


def serve_backend(backend, address, connections):
    """Serve one backend server on ``(host, port)``; return the bound port."""
    sock = eventlet.listen(address, backlog=512)
    eventlet.spawn(
        eventlet.wsgi.server,
        sock,
        backend,
        log=open("/dev/null", "w"),
        log_output=False,
        protocol=CostlyProtocol,
        custom_pool=eventlet.GreenPool(connections),
        debug=False,
    )
    return sock.getsockname()[1]


def main():
    """Serve the backend servers that the settings on standard input describe."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.parse_args()
    settings = json.loads(sys.stdin.readline())
    work = [Work(**item) for item in settings["work"]]
    for item in settings["servers"]:
        backend = BackendServer(
            item["name"],
            settings.get("slots", 6),
            settings.get("queue", 6),
            work,
            settings.get("seed", 1),
        )
        address = item["address"].rsplit(":", 1)
        serve_backend(
            backend, (address[0], int(address[1])), settings.get("connections", 360)
        )
    print("ready", flush=True)
    while True:
        eventlet.sleep(3600)


if __name__ == "__main__":
    main()

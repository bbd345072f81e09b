"""Backend server test double with slots, shedding, draining and settable faults.

One process serves several backend servers, each on its own port. `POST /_control` sets
a server's faults; `GET /_executions` returns the requests that it ran.
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

#: Delay of a connection's set-up.
CONNECT_DELAY_S = 0.001
#: Time that a health check takes.
PROBE_DELAY_S = 0.025
CANCEL_POLL_INTERVAL_S = 0.05
#: Factor of the service time of a cold server.
COLD_FACTOR = 5.0


@attrs.define
class Faults:
    """
    Faults of a server, set by control requests.

    :param slow: factor of the service time.
    :param errors: share of requests that get status 500 after the work.
    :param cut: share of responses that end after half of the body.
    :param hang: share of requests whose response is delayed by 600 s, so that in
        practice they get none.
    :param drop_after_run: share of requests that run, but whose connection is closed
        without a response.
    :param draining: whether the server refuses new work.
    :param cold_until: Unix time until which the server is cold and thus slow.
    :param health_lag: seconds until the health endpoint reports a changed state.
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
    """A backend server with a bounded number of slots and a bounded queue."""

    def __init__(self, name, slots, queue, work, seed):
        self.name = name
        self.slots = slots
        self.queue = queue
        self.work = sorted(work, key=lambda item: -len(item.prefix))
        self.random = random.Random(f"{seed}-{name}")
        self.faults = Faults()
        self.faults_changed_at = 0.0
        self.reported_state = "ok"
        self.busy = 0
        self.waiting = 0
        self.free_slots = eventlet.semaphore.Semaphore(slots)
        self.executions = []
        self.refusals = []
        self.counts = {"requests": 0, "shed": 0, "probes": 0, "cancelled": 0}

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/_control":
            return self._set_faults(environ, start_response)
        if path == "/_executions":
            return self._respond(start_response, "200 OK", self._encode_executions())
        if path == "/health":
            return self._respond_health(start_response)
        return self._serve(environ, start_response)

    def _set_faults(self, environ, start_response):
        body = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        self.faults = attrs.evolve(self.faults, **json.loads(body))
        self.faults_changed_at = time.time()
        return self._respond(start_response, "200 OK", b"{}")

    def _encode_executions(self):
        return json.dumps(
            {
                "server": self.name,
                "counts": self.counts,
                "runs": self.executions,
                "refusals": self.refusals,
            }
        ).encode()

    def _respond_health(self, start_response):
        self.counts["probes"] += 1
        eventlet.sleep(PROBE_DELAY_S)
        if time.time() - self.faults_changed_at >= self.faults.health_lag:
            self.reported_state = self._get_state()
        body = {"state": self.reported_state, "busy": self.busy, "slots": self.slots}
        return self._respond(start_response, "200 OK", json.dumps(body).encode())

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
            self.free_slots.acquire()
        finally:
            self.waiting -= 1
        self.busy += 1
        try:
            return self._execute(environ, start_response, body)
        finally:
            self.busy -= 1
            self.free_slots.release()

    def _execute(self, environ, start_response, body):
        deadline = float(environ.get("HTTP_X_DEADLINE") or 0) / 1000
        if deadline and time.time() > deadline:
            return self._refuse(start_response, "shedding")
        work = self._find_work(environ["PATH_INFO"])
        execution = [
            environ.get("HTTP_X_REQUEST_ID", ""),
            environ.get("HTTP_IDEMPOTENCY_KEY", ""),
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            time.time(),
        ]
        self.executions.append(execution)
        draw = self.random.random
        sock = environ["eventlet.input"].get_socket()
        if draw() < self.faults.hang:
            self._wait_connected(sock, 600.0)
        if not self._wait_connected(sock, self._compute_service_time(work)):
            self.counts["cancelled"] += 1
            raise ConnectionAbortedError
        if draw() < self.faults.drop_after_run:
            raise ConnectionAbortedError
        if draw() < self.faults.errors:
            return self._respond(start_response, "500 Internal Server Error", b"{}")
        content = self._make_body(environ, body, work.body_bytes)
        if environ["REQUEST_METHOD"] == "HEAD":
            self._send_headers(start_response, "200 OK", len(content))
            return []
        if draw() < self.faults.cut:
            return self._respond_truncated(start_response, content)
        return self._respond(start_response, "200 OK", content)

    def _find_work(self, path):
        return next(item for item in self.work if path.startswith(item.prefix))

    def _compute_service_time(self, work):
        seconds = work.work_ms / 1000 * self.faults.slow
        seconds *= self.random.uniform(0.8, 1.2)
        return seconds * (COLD_FACTOR if self._get_state() == "cold" else 1.0)

    def _wait_connected(self, sock, seconds):
        """
        Wait for a time; return ``False`` if the caller disconnects.

        The connection is checked every ``CANCEL_POLL_INTERVAL_S``.
        """
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            eventlet.sleep(min(left, CANCEL_POLL_INTERVAL_S))
            try:
                if sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b"":
                    return False
            except BlockingIOError:
                continue
            except OSError:
                return False
        return True

    def _make_body(self, environ, body, size):
        fields = {
            "server": self.name,
            "path": environ["PATH_INFO"],
            "query": environ.get("QUERY_STRING", ""),
            "received": hashlib.sha256(body).hexdigest(),
        }
        text = json.dumps(fields).encode()
        return text + b" " * max(0, size - len(text))

    def _respond_truncated(self, start_response, content):
        self._send_headers(start_response, "200 OK", len(content))
        yield content[: len(content) // 2]
        raise ConnectionAbortedError

    def _refuse(self, start_response, state):
        self.counts["shed"] += 1
        self.refusals.append(time.time())
        self._send_headers(start_response, "503 Service Unavailable", 0, state)
        return [b""]

    def _respond(self, start_response, status, content):
        self._send_headers(start_response, status, len(content))
        return [content]

    def _send_headers(self, start_response, status, length, state=None):
        headers = [
            ("Content-Length", str(length)),
            ("X-Server-Load", f"{self.busy}/{self.slots}"),
        ]
        if state:
            headers.append(("X-Server-State", state))
        start_response(status, headers)


class SlowSetupProtocol(eventlet.wsgi.HttpProtocol):
    """HTTP connection with a delay at its set-up."""

    def setup(self):
        eventlet.sleep(CONNECT_DELAY_S)
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
        protocol=SlowSetupProtocol,
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

"""Stand-in for a backend server of the platform on which the entry VMs run."""

import time

import eventlet
import eventlet.wsgi

#: Part of the paths that crash a server.
DEADLY = "deadly"
#: All connections are closed this long after a crash.
CRASH_TIME_S = 1.0


class InstanceStandIn:
    """
    A server whose responses carry a signature; ``mode`` selects a failure.

    ``arrivals`` holds request id and monotonic time of each request for it, ``runs``
    request id, path and time of those that it ran, ``headers`` their header lines as
    pairs of name and value. All its responses name
    ``rate_limit``, requests per second, unless that is ``None``, and that it is leaving
    if ``leaving`` is set. ``sequence`` counts its entries for the store.

    With ``pause_s`` set, its refusals ask for a pause of that many seconds; ``pauses``
    holds request id, time and pause of these.

    A request whose path contains ``DEADLY`` calls ``crash``, which has to take down the
    ``LoopbackProxy`` before the server. ``crashes`` counts that.

    :param mode: ``ok``, ``hang``, ``shed``, ``error``, ``cut`` or ``unsigned``.
    :param work_s: service time of a request.
    """

    def __init__(self, name, service, zone, mode="ok", work_s=0.0):
        self.name, self.service, self.zone, self.mode = name, service, zone, mode
        self.work_s = work_s
        self.rate_limit = None
        self.leaving = False
        self.pause_s = 0.0
        self.pauses = []
        self.sequence = 0
        self.born = 1000
        self.arrivals = []
        self.headers = []
        self.runs = []
        self.crash = None
        self.crashes = 0
        self._socket = eventlet.listen(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._socket.getsockname())

    def start(self):
        """Serve until the process ends."""
        eventlet.spawn(eventlet.wsgi.server, self._socket, self, log_output=False)

    def make_entry(self, state="ready"):
        """Return its entry for the store."""
        info = {"service": self.service, "version": "v1", "zone": self.zone}
        self.sequence += 1
        status = {"state": state, "sequence": self.sequence, "warmup_left_ms": 0}
        info["capacity"] = 6
        return {
            "addr": self.address,
            "info": info,
            "status": status,
            "born": self.born,
        }

    def __call__(self, environ, start_response):
        request_id = environ.get("HTTP_REQUEST_ID", "")
        headers = [("Request-Id", request_id)]
        if environ.get("HTTP_EXPECT_INSTANCE", self.name) != self.name:
            return self._respond(start_response, 421, headers, b"")
        self.arrivals.append((request_id, time.monotonic()))
        if self.rate_limit is not None:
            headers.append(("Server-Limit", f"{self.rate_limit:g}"))
        if self.leaving:
            headers.append(("Server-Leaving", "1"))
        if self.mode == "shed":
            headers.append(("Not-Executed", "1"))
            if self.pause_s:
                headers.append(("Retry-After", f"{self.pause_s:g}"))
                self.pauses.append((request_id, time.monotonic(), self.pause_s))
            return self._respond(start_response, 503, headers, b"")
        self.runs.append((request_id, environ["PATH_INFO"], time.monotonic()))
        self.headers.append(environ["headers_raw"])
        if DEADLY in environ["PATH_INFO"]:
            self.crashes += 1
            eventlet.spawn_n(self.crash)
            eventlet.sleep(CRASH_TIME_S)
            return self._respond(start_response, 500, headers, b"")
        eventlet.sleep(self.work_s)
        if self.mode == "hang":
            eventlet.sleep(int(environ["HTTP_DEADLINE_MS"]) / 1000)
        if self.mode != "unsigned":
            headers.append(("Server-Signature", f"{self.name}.1"))
        status = 500 if self.mode == "error" else 200
        body = f"{self.name} {environ['PATH_INFO']}".encode()
        if self.mode == "cut":
            headers.append(("Content-Length", str(len(body) + 9)))
            start_response("200 -", headers)
            return self._truncate(body)
        return self._respond(start_response, status, headers, body)

    def _respond(self, start_response, status, headers, body):
        start_response(f"{status} -", [*headers, ("Content-Length", str(len(body)))])
        return [body]

    def _truncate(self, body):
        yield body
        # An error within a body makes the WSGI server close the connection.
        raise ConnectionAbortedError("cut on request")

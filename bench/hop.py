"""Measures the latency of Upstream.send, plain urllib3 and a raw eventlet socket."""

import multiprocessing
import random
import socket
import time

import defopt
import eventlet
import urllib3

from lavendermast.clock import SystemClock
from lavendermast.models import AttemptStatus, CallerRequest, Server
from lavendermast.upstream import Upstream

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 200\r\n\r\n"
RESPONSE += b"x" * 200
HEADERS = [("Accept", "text/plain"), ("User-Agent", "bench"), ("Cookie", "a=b")]


def run_server(listener):
    """Answer every request, one connection at a time."""
    while True:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while sock.recv(65536):
            sock.sendall(RESPONSE)


def open_server():
    """Return the address and process of a new keep-alive server."""
    listener = socket.create_server(("127.0.0.1", 0))
    process = multiprocessing.Process(target=run_server, args=(listener,), daemon=True)
    process.start()
    return f"127.0.0.1:{listener.getsockname()[1]}", process


def make_upstream_call(address):
    """Return a function that makes one attempt through Upstream."""
    clock = SystemClock()
    upstream = Upstream(clock, 262144, {"stock": 7})
    server = Server("s", "stock", "r", "z", address)

    def call():
        now = clock.monotonic()
        request = CallerRequest(
            "r", "GET", "/stock", "", HEADERS, b"", "c", now + 2, 0, now
        )
        result = upstream.send(request, server, now + 2)
        assert result.status is AttemptStatus.OK, result

    return call


def make_urllib3_call(address):
    """Return a function that makes the same request through a urllib3 pool."""
    pool = urllib3.HTTPConnectionPool(address)
    headers = dict(HEADERS) | {"X-Deadline": "0", "X-Request-Id": "r"}

    def call():
        response = pool.request(
            "GET", "/stock", headers=headers, timeout=2, retries=False
        )
        assert len(response.data) == 200

    return call


def make_raw_call(address):
    """Return a function that exchanges the same bytes over a plain eventlet socket."""
    host, port = address.split(":")
    sock = eventlet.connect((host, int(port)))

    def call():
        sock.sendall(b"GET /stock HTTP/1.1\r\nHost: s\r\n\r\n")
        sock.recv(65536)

    return call


def measure(call, rate, count, seed):
    """Return the sorted latencies of calls at seeded exponential intervals."""
    rng = random.Random(seed)
    call()
    latencies = []
    for _ in range(count):
        eventlet.sleep(rng.expovariate(rate))
        started = time.perf_counter()
        call()
        latencies.append(time.perf_counter() - started)
    return sorted(latencies)


def main(*, rate: float = 119.0, count: int = 2000, seed: int = 1):
    """
    Print median and 99th percentile of one hop.

    :param rate: requests per second.
    :param count: measured requests for each client.
    :param seed: seed of the intervals between requests.
    """
    eventlet.monkey_patch()
    makers = {
        "raw socket": make_raw_call,
        "upstream": make_upstream_call,
        "urllib3": make_urllib3_call,
    }
    for name, maker in makers.items():
        address, process = open_server()
        latencies = measure(maker(address), rate, count, seed)
        process.terminate()
        median, p99 = latencies[count // 2] * 1e6, latencies[count * 99 // 100] * 1e6
        print(f"{name:10} median {median:6.0f} us  p99 {p99:6.0f} us  n {count}")


if __name__ == "__main__":
    defopt.run(main)

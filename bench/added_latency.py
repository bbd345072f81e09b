"""Latency that one VM adds to a request, beside a bare hop and no hop at all.

Run: python -m bench.added_latency [SECONDS] [SEED]; SECONDS is for each path. The
target is 1.6 ms for 99 in 100 at 119 requests/s a VM.
"""

import contextlib
import os
import pathlib
import random
import subprocess
import sys
import time
import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import urllib3  # noqa: E402

from bench.experiment import print_table  # noqa: E402
from bench.fleet import LocalFleet  # noqa: E402

REQUESTS_PER_S = 119
SECONDS = 20.0
#: Neighbours on a shared machine change from second to second; short turns spread
#: their effect over all paths alike.
TURN_S = 1.0
TARGET_MS = 1.6
WORK = {"work_ms": 0.0, "body_bytes": 300}
QUANTILES = (0.5, 0.9, 0.99)
WARM_UP_REQUESTS = 200
PATH = "/jobs/1"


class Hop:
    """
    One way to the backend server, with what was measured on it.

    :param pid: process between caller and server, ``None`` without one.
    """

    def __init__(self, name, address, pid=None):
        host, port = address.rsplit(":", 1)
        self.name = name
        self.latencies = []
        self.busy_s = self.idle_s = 0.0
        self.turns = 0
        self._pid = pid
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=1, retries=False
        )

    def call(self):
        """Make one request and return its latency in milliseconds."""
        started = time.perf_counter()
        response = self._pool.request("GET", PATH)
        latency = (time.perf_counter() - started) * 1000
        assert response.status == 200, response.status
        return latency

    def run_turn(self, order):
        """Send requests in an open loop on one connection."""
        scheduled = time.perf_counter()
        until = scheduled + TURN_S
        while (scheduled := scheduled + order.expovariate(REQUESTS_PER_S)) < until:
            time.sleep(max(0.0, scheduled - time.perf_counter()))
            self.latencies.append(self.call())
        time.sleep(max(0.0, until - time.perf_counter()))
        self.turns += 1

    def read_processor_s(self):
        """Return the processor time that the process has used."""
        if self._pid is None:
            return 0.0
        text = pathlib.Path(f"/proc/{self._pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def compute_request_us(self):
        """Return the processor time of one request, less that of an idle process."""
        idle_share = self.idle_s / max(self.turns, 1)
        return (self.busy_s - idle_share * self.turns) / len(self.latencies) * 1e6


def run_turns(hops, turns, seed):
    """Alternate the hops, in another order each time."""
    order = random.Random(seed)
    for hop in hops:
        for _ in range(WARM_UP_REQUESTS):
            hop.call()
    for _ in range(turns):
        for hop in order.sample(hops, len(hops)):
            before = [other.read_processor_s() for other in hops]
            hop.run_turn(order)
            for other, start in zip(hops, before, strict=True):
                used = other.read_processor_s() - start
                if other is hop:
                    other.busy_s += used
                else:
                    other.idle_s += used / (len(hops) - 1)


def get_quantiles(values):
    """Return the quantiles of unsorted values."""
    values = sorted(values)
    return [values[min(len(values) - 1, int(len(values) * q))] for q in QUANTILES]


@contextlib.contextmanager
def open_bare_hop(server):
    """Yield a bare hop to a server as a child process."""
    command = [sys.executable, "-W", "ignore", "-m", "bench.bare_hop", server]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        yield Hop("bare", process.stdout.readline().strip(), process.pid)
    finally:
        process.kill()
        process.wait()


def print_results(direct, bare, fleet):
    """Print quantiles of the paths and of their differences."""
    quantiles = {hop: get_quantiles(hop.latencies) for hop in (direct, bare, fleet)}
    rows = []
    for hop, values in quantiles.items():
        cells = [f"{value:.3f}" for value in values]
        used = ["", ""] if hop is direct else [f"{hop.compute_request_us():.0f}"]
        if hop is not direct:
            used.append(f"{hop.idle_s / hop.turns * 1000:.1f}")
        rows.append([hop.name, len(hop.latencies), *cells, *used])
    for minuend, subtrahend in ((bare, direct), (fleet, bare), (fleet, direct)):
        pairs = zip(quantiles[minuend], quantiles[subtrahend], strict=True)
        cells = [f"{a - b:.3f}" for a, b in pairs]
        rows.append([f"{minuend.name} - {subtrahend.name}", "", *cells, "", ""])
    rows.append(["target (fleet - direct)", "", "", "", TARGET_MS, "", ""])
    headings = ["path", "requests", "p50 ms", "p90 ms", "p99 ms"]
    print_table(rows, [*headings, "cpu us/request", "idle cpu ms/s"])


def main():
    """Measure and print."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else SECONDS
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    load = os.getloadavg()[0]
    with LocalFleet("latvia", 1, short=WORK, long=WORK) as fleet:
        server = next(s for s in fleet.servers if s["service"] == "status")["address"]
        vm = fleet.vms[0]
        with open_bare_hop(server) as bare:
            direct = Hop("direct", server)
            daemon = Hop("fleet", vm.caller_address, fleet.get_pid(vm.name))
            run_turns([direct, bare, daemon], round(seconds / TURN_S), seed)
    print_results(direct, bare, daemon)
    print(
        f"seed {seed}; load average {load:.1f} before, {os.getloadavg()[0]:.1f} after"
    )


if __name__ == "__main__":
    main()

"""Measures the latency that one VM adds to a request.

Compares the path through the VM with the path through a bare HTTP hop and with the
direct path.

Run: python -m bench.added_latency [SECONDS] [SEED]; SECONDS is the time per path. The
target is 1.6 ms at the 99th percentile with 119 requests/s per VM.
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
#: Other load on a shared machine varies from second to second. Short turns spread its
#: effect evenly over all paths.
TURN_S = 1.0
TARGET_MS = 1.6
REQUEST_WORK = {"work_ms": 0.0, "body_bytes": 300}
QUANTILES = (0.5, 0.9, 0.99)
WARM_UP_REQUESTS = 200
PATH = "/jobs/1"


class MeasuredPath:
    """
    One path to the backend server, with its measured latencies and CPU time.

    ``active_cpu_s`` is the CPU time that the process used during the turns of this
    path; ``idle_cpu_s`` is the CPU time that it used during the turns of the other
    paths, as a mean over these paths.

    :param pid: process between caller and server, ``None`` for the direct path.
    """

    def __init__(self, name, address, pid=None):
        host, port = address.rsplit(":", 1)
        self.name = name
        self.latencies = []
        self.active_cpu_s = self.idle_cpu_s = 0.0
        self.turns = 0
        self._pid = pid
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=1, retries=False
        )

    def call(self):
        """Send one request and return its latency in milliseconds."""
        started = time.perf_counter()
        response = self._pool.request("GET", PATH)
        latency = (time.perf_counter() - started) * 1000
        assert response.status == 200, response.status
        return latency

    def run_turn(self, rng):
        """Send requests for one turn, in an open loop on one connection."""
        scheduled = time.perf_counter()
        until = scheduled + TURN_S
        while (scheduled := scheduled + rng.expovariate(REQUESTS_PER_S)) < until:
            time.sleep(max(0.0, scheduled - time.perf_counter()))
            self.latencies.append(self.call())
        time.sleep(max(0.0, until - time.perf_counter()))
        self.turns += 1

    def read_cpu_s(self):
        """Return the CPU time that the process has used."""
        if self._pid is None:
            return 0.0
        text = pathlib.Path(f"/proc/{self._pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def compute_request_cpu_us(self):
        """Return the CPU time per request without the CPU time of the idle process."""
        idle_cpu_s_per_turn = self.idle_cpu_s / max(self.turns, 1)
        return (
            (self.active_cpu_s - idle_cpu_s_per_turn * self.turns)
            / len(self.latencies)
            * 1e6
        )


def run_turns(paths, turns, seed):
    """Measure the paths in alternating turns, in a new random order each time."""
    rng = random.Random(seed)
    for path in paths:
        for _ in range(WARM_UP_REQUESTS):
            path.call()
    for _ in range(turns):
        for path in rng.sample(paths, len(paths)):
            before = [other.read_cpu_s() for other in paths]
            path.run_turn(rng)
            for other, start in zip(paths, before, strict=True):
                used = other.read_cpu_s() - start
                if other is path:
                    other.active_cpu_s += used
                else:
                    other.idle_cpu_s += used / (len(paths) - 1)


def get_quantiles(values):
    """Return the ``QUANTILES`` of unsorted values."""
    values = sorted(values)
    return [values[min(len(values) - 1, int(len(values) * q))] for q in QUANTILES]


@contextlib.contextmanager
def start_bare_hop(server):
    """Yield the path through a bare hop that runs as a child process."""
    command = [sys.executable, "-W", "ignore", "-m", "bench.bare_hop", server]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        yield MeasuredPath("bare", process.stdout.readline().strip(), process.pid)
    finally:
        process.kill()
        process.wait()


def print_results(direct, bare, fleet):
    """Print the latency quantiles of the paths, and the differences between paths."""
    quantiles = {path: get_quantiles(path.latencies) for path in (direct, bare, fleet)}
    rows = []
    for path, values in quantiles.items():
        cells = [f"{value:.3f}" for value in values]
        used = ["", ""] if path is direct else [f"{path.compute_request_cpu_us():.0f}"]
        if path is not direct:
            used.append(f"{path.idle_cpu_s / path.turns * 1000:.1f}")
        rows.append([path.name, len(path.latencies), *cells, *used])
    for minuend, subtrahend in ((bare, direct), (fleet, bare), (fleet, direct)):
        pairs = zip(quantiles[minuend], quantiles[subtrahend], strict=True)
        cells = [f"{a - b:.3f}" for a, b in pairs]
        rows.append([f"{minuend.name} - {subtrahend.name}", "", *cells, "", ""])
    rows.append(["target (fleet - direct)", "", "", "", TARGET_MS, "", ""])
    headings = ["path", "requests", "p50 ms", "p90 ms", "p99 ms"]
    print_table(rows, [*headings, "cpu us/request", "idle cpu ms/s"])


def main():
    """Measure all paths and print the results."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else SECONDS
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    load = os.getloadavg()[0]
    with LocalFleet("latvia", 1, short=REQUEST_WORK, long=REQUEST_WORK) as fleet:
        server = next(s for s in fleet.servers if s["service"] == "status")["address"]
        vm = fleet.vms[0]
        with start_bare_hop(server) as bare:
            direct = MeasuredPath("direct", server)
            daemon = MeasuredPath("fleet", vm.caller_address, fleet.get_pid(vm.name))
            run_turns([direct, bare, daemon], round(seconds / TURN_S), seed)
    print_results(direct, bare, daemon)
    print(
        f"seed {seed}; load average {load:.1f} before, {os.getloadavg()[0]:.1f} after"
    )


if __name__ == "__main__":
    main()

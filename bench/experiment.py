"""Runs load against a fleet while a fault script runs, and evaluates the records."""

import json
import os
import signal
import subprocess
import sys
import threading
import time

import attrs
from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
SHORT_SHARE = 0.85
WRITE_SHARE = 0.12
LONG_SHARE = 0.03


@attrs.frozen
class Load:
    """
    Load of one experiment.

    :param steps: pairs of duration in seconds and requests/s for the whole fleet.
    :param seed: seed of the arrivals and of all choices of the generators.
    :param generators: number of load generator processes, which share the rate.
    :param callers: number of callers, distributed over the generators.
    :param repeat_share: share of the requests with an idempotency key that are sent a
        second time, after the first has ended.
    :param repeat_delay_s: upper bound of the delay of a repeat; half of the repeats are
        delayed.
    :param shares: share of requests by kind: ``short``, ``write`` and ``long``.
    :param services: services whose routes get requests; all services if empty.
    :param ask: whether callers ask the fleet for addresses.
    """

    steps: tuple
    seed: int = 1
    generators: int = 2
    callers: int = 60
    repeat_share: float = 0.0
    repeat_delay_s: float = 0.0
    shares: dict = attrs.Factory(
        lambda: {"short": SHORT_SHARE, "write": WRITE_SHARE, "long": LONG_SHARE}
    )
    services: tuple = ()
    ask: bool = True


def get_route_kind(route):
    """Return ``long``, ``write`` or ``short`` for a route's settings."""
    if route.get("work") == "long":
        return "long"
    return "short" if route["idempotent"] else "write"


def make_route_plan(base, load):
    """Return the routes of a load plan with their shares."""
    kinds = {}
    for name, route in base["routes"].items():
        if load.services and route["service"] not in load.services:
            continue
        kinds.setdefault(get_route_kind(route), []).append((name, route))
    plan = {}
    for kind, routes in kinds.items():
        for name, route in routes:
            plan[name] = {
                "method": route["method"],
                "path": route["path"],
                "idempotent": route["idempotent"],
                "work": route.get("work", "short"),
                "timeout_ms": route.get("timeout_ms", 2000),
                "share": load.shares.get(kind, 0.0) / len(routes),
            }
    return plan


class LoadRun:
    """
    Load generators as child processes.

    :param addresses: caller addresses of the VMs.
    :param zones: zones of the callers.
    """

    def __init__(self, base, load, addresses, zones, folder):
        self._paths = []
        self._processes = []
        for number in range(load.generators):
            output = folder / f"load-{load.seed}-{number}.jsonl"
            steps = [[s, rate / load.generators] for s, rate in load.steps]
            plan = {
                "addresses": addresses,
                "zones": zones,
                "routes": make_route_plan(base, load),
                "steps": steps,
                "seed": load.seed * 100 + number,
                "callers": max(1, load.callers // load.generators),
                "repeat_share": load.repeat_share,
                "ask": load.ask,
                "repeat_delay_s": load.repeat_delay_s,
                "output": str(output),
            }
            process = subprocess.Popen(
                [sys.executable, "-W", "ignore", "-m", "bench.load"],
                stdin=subprocess.PIPE,
            )
            process.stdin.write(json.dumps(plan).encode() + b"\n")
            process.stdin.close()
            self._paths.append(output)
            self._processes.append(process)

    @property
    def paths(self):
        """Files with the callers' records."""
        return list(self._paths)

    def wait(self):
        """Wait until the generators exit and return all records."""
        for process in self._processes:
            process.wait()
        return [record for path in self._paths for record in read_records(path)]


def read_records(path):
    """Yield the records of one generator."""
    with open(path) as lines:
        for line in lines:
            yield json.loads(line)


class FaultScript:
    """
    Injects faults at set times.

    Each step is a mapping with ``at`` (seconds) and one of: ``server`` with ``faults``;
    ``vm`` with ``signal`` or ``restart``; ``store`` with a change; ``call`` with a
    function. ``executed`` holds pairs of time and step for the steps that were run.
    """

    def __init__(self, fleet, steps):
        self._fleet = fleet
        self._steps = sorted(steps, key=lambda step: step["at"])
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.executed = []

    def start(self):
        """Run the steps in a thread."""
        self._started = time.time()
        self._thread.start()

    def join(self):
        """Wait until the last step has run."""
        self._thread.join()

    def _run(self):
        for step in self._steps:
            time.sleep(max(0.0, self._started + step["at"] - time.time()))
            self._apply(step)
            self.executed.append((time.time(), step))

    def _apply(self, step):
        if "server" in step:
            self._fleet.control_server(step["server"], **step["faults"])
        elif "signal" in step:
            self._fleet.signal_vm(step["vm"], getattr(signal, "SIG" + step["signal"]))
        elif "restart" in step:
            self._fleet.start_vm(step["vm"])
        elif "store" in step:
            self._fleet.control_store(**step["store"])
        else:
            step["call"]()


def run_load(fleet, load, steps=()):
    """Run load and a fault script on a fleet; return the records and the script."""
    addresses = [vm.caller_address for vm in fleet.vms]
    zones = sorted({vm.zone for vm in fleet.vms})
    run = LoadRun(fleet.base, load, addresses, zones, fleet.folder)
    script = FaultScript(fleet, steps)
    script.start()
    records = run.wait()
    script.join()
    return records, script


def make_histogram(records, start="scheduled_at"):
    """
    Return a histogram of the latencies of records in microseconds.

    By default latency counts from the scheduled time, so that a stall of the generator
    or the fleet counts for every request that it delayed (no coordinated omission).
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for record in records:
        microseconds = int((record["ended_at"] - record[start]) * 1e6)
        histogram.record_value(min(max(1, microseconds), MAX_LATENCY_US))
    return histogram


def get_quantiles(records, start="scheduled_at"):
    """Return the median and the 99th percentile in milliseconds."""
    histogram = make_histogram(records, start)
    return tuple(
        round(histogram.get_value_at_percentile(percentile) / 1000, 2)
        for percentile in (50, 99)
    )


def print_table(rows, headings):
    """Print a table; append it as JSON to the file that BENCH_JSON names, if any."""
    if path := os.environ.get("BENCH_JSON"):
        table = [dict(zip(headings, row, strict=True)) for row in rows]
        with open(path, "a") as output:
            output.write(json.dumps(table) + "\n")
    cells = [list(map(str, headings))] + [list(map(str, row)) for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(headings))]
    for row in cells:
        line = "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        print(line.rstrip())

"""Measures the time and memory of rebuilding an incident from many log lines."""

import argparse
import io
import resource
import subprocess
import sys
import tempfile
import time

from bench.incident_logs import generate_logs
from lavendermast.incident import Filter, Incident
from lavendermast.incident_output import write_json


def measure(logs, callers):
    """Rebuild an incident and print the time, the peak memory and the result."""
    started = time.monotonic()
    with Incident(logs, [callers]) as incident:
        read_at = time.monotonic()
        clean = write_json(incident, Filter(), io.StringIO(), False)
        ended = time.monotonic()
        totals = dict(sorted(incident.totals.items()))
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"reading {read_at - started:.1f} s, rebuilding {ended - read_at:.1f} s")
    print(f"peak memory {peak:.0f} MB, clean {clean}, {totals}")


def main():
    """Generate logs; measure in a new process, so that peak memory excludes this."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--lines", type=int, default=1_000_000)
    parser.add_argument("--vms", type=int, default=44)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--measure", nargs="+", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.measure:
        *logs, callers = arguments.measure
        measure(logs, callers)
        return
    with tempfile.TemporaryDirectory() as directory:
        generated = generate_logs(
            directory, arguments.lines, arguments.vms, arguments.seed
        )
        print(f"{generated.lines} lines of {arguments.vms} VMs, seed {arguments.seed}")
        command = [sys.executable, "-m", "bench.incident_scale", "--measure"]
        subprocess.run([*command, *generated.logs, generated.callers], check=True)


if __name__ == "__main__":
    main()

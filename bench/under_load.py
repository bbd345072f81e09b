"""What the commands on service under load share."""

import argparse

from bench.experiment import make_histogram

BASE_S = 5
RAMP_S = 2
RAMP_STEPS = 4
FACTOR = 5
SPIKE_S = 20
RECOVERY_S = 3
#: Services for short work; twelve servers with six slots each in both deployments.
SHORT_SERVICES = {"latvia": "status", "mauritius": "stock"}
#: Daemons for each run: two in each zone leave most of a 10-core machine idle.
VMS = 12


def make_parser(description):
    """Return a parser with the options that all commands have."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--deployment", default="latvia")
    parser.add_argument("--vms", type=int, default=VMS)
    parser.add_argument("--seed", type=int, default=1)
    return parser


def make_spike(base):
    """Return load steps: base, a rise within ``RAMP_S`` to five times, base again."""
    ramp = [
        (RAMP_S / RAMP_STEPS, base * (1 + (FACTOR - 1) * step / RAMP_STEPS))
        for step in range(1, RAMP_STEPS + 1)
    ]
    return ((BASE_S, base), *ramp, (SPIKE_S, base * FACTOR), (RECOVERY_S, base))


def is_answered(record, timeout_s):
    """Return whether a complete answer came within the deadline."""
    took = record["ended_at"] - record["scheduled_at"]
    return record["status"] == 200 and record["check"] == "ok" and took <= timeout_s


def select_window(records, start, seconds):
    """Return the records of requests that were due in a window."""
    return [r for r in records if start <= r["scheduled_at"] < start + seconds]


def get_percentiles(records, percentiles, start="sent_at"):
    """Return latencies in milliseconds, dashes without records."""
    if not records:
        return ["-"] * len(percentiles)
    histogram = make_histogram(records, start)
    return [
        round(histogram.get_value_at_percentile(item) / 1000, 1) for item in percentiles
    ]


def parse_line(line):
    """Return the fields of a decision log line whose values hold no space."""
    return dict(part.split("=", 1) for part in line.split() if "=" in part)


def count_ejections(lines, sick=()):
    """Return how many ``ejected`` events name a server without a fault."""
    events = [parse_line(line) for line in lines if " event=ejected " in line]
    return sum(1 for event in events if event["server"] not in sick)

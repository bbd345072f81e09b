"""Options, load steps and evaluation shared by the measurements under load."""

import argparse

from bench.experiment import make_histogram

BASE_S = 5
RAMP_S = 2
RAMP_STEPS = 4
SPIKE_FACTOR = 5
SPIKE_S = 20
RECOVERY_S = 3
#: Services for short work; twelve servers with six slots each in both deployments.
SHORT_SERVICES = {"latvia": "status", "mauritius": "stock"}
#: Daemons per run. Two in each zone leave most of a 10-core machine idle.
VMS = 12


def make_parser(description):
    """Return a parser with the options that all commands share."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--deployment", default="latvia")
    parser.add_argument("--vms", type=int, default=VMS)
    parser.add_argument("--seed", type=int, default=1)
    return parser


def make_spike(base):
    """Return load steps: base, a ramp of ``RAMP_S`` to the spike, base again."""
    ramp = [
        (RAMP_S / RAMP_STEPS, base * (1 + (SPIKE_FACTOR - 1) * step / RAMP_STEPS))
        for step in range(1, RAMP_STEPS + 1)
    ]
    return ((BASE_S, base), *ramp, (SPIKE_S, base * SPIKE_FACTOR), (RECOVERY_S, base))


def is_answered(record, timeout_s):
    """Return whether a complete response arrived within the timeout."""
    latency_s = record["ended_at"] - record["scheduled_at"]
    return (
        record["status"] == 200 and record["check"] == "ok" and latency_s <= timeout_s
    )


def select_window(records, start, seconds):
    """Return the records of requests that were scheduled in a window."""
    return [r for r in records if start <= r["scheduled_at"] < start + seconds]


def get_percentiles(records, percentiles, start="sent_at"):
    """
    Return latency percentiles in milliseconds, or dashes if there are no records.

    Latency counts by default from sending, so that a delay of the generator is not
    included.
    """
    if not records:
        return ["-"] * len(percentiles)
    histogram = make_histogram(records, start)
    return [
        round(histogram.get_value_at_percentile(item) / 1000, 1) for item in percentiles
    ]


def parse_line(line):
    """Return the fields of a decision log line; values must not contain spaces."""
    return dict(part.split("=", 1) for part in line.split() if "=" in part)


def count_false_ejections(lines, faulty_servers=()):
    """Return the number of ``ejected`` events of servers without a fault."""
    events = [parse_line(line) for line in lines if " event=ejected " in line]
    return sum(1 for event in events if event["server"] not in faulty_servers)

"""Measures the control cost per VM and propagation times at several fleet sizes.

Run: ``PYTHONPATH=src:. python -m bench.membership_cost --seed 1``.
"""

import argparse
import statistics
import time

from lavendermast.codec import FrameCodec
from tests.memory_network import Fleet

SIZES = (8, 16, 32, 44, 100, 200)
WARM_UP_S = 12
STEP_S = 0.01


def sum_sent(fleet, name):
    """Return the sum of a counter of sent traffic over all VMs."""
    return sum(
        count
        for transport in fleet.transports.values()
        for (direction, _), count in getattr(transport.counts, name).items()
        if direction == "sent"
    )


def measure_cost(fleet, seconds, updates_per_s):
    """Return messages, bytes and CPU milliseconds per VM and second."""
    messages, sent_bytes = sum_sent(fleet, "messages"), sum_sent(fleet, "bytes")
    started = time.process_time()
    count = max(1, round(seconds * updates_per_s))
    for _ in range(count):
        if updates_per_s:
            fleet.vms[fleet.random.choice(sorted(fleet.vms))].set_state("alive")
        fleet.run(seconds / count)
    cpu_s = time.process_time() - started
    vm_seconds = seconds * len(fleet.vms)
    return (
        (sum_sent(fleet, "messages") - messages) / vm_seconds,
        (sum_sent(fleet, "bytes") - sent_bytes) / vm_seconds,
        cpu_s * 1000 / vm_seconds,
    )


def wait_for(fleet, condition, timeout_s=10.0):
    """Return the simulated seconds until a condition holds, or infinity."""
    started = fleet.clock.monotonic()
    while not condition():
        if fleet.clock.monotonic() - started > timeout_s:
            return float("inf")
        fleet.run(STEP_S)
    return fleet.clock.monotonic() - started


def measure_propagation(fleet):
    """
    Return the seconds until all VMs have applied three updates.

    These are a new member state, a new document version, and the suspicion of a VM
    that was killed.
    """
    size = len(fleet.vms)
    before = fleet.vms["vm-1"].membership.local_member
    fleet.vms["vm-1"].set_state("alive")

    def is_known():
        return all(
            membership.get_member("vm-1").incarnation > before.incarnation
            for membership in fleet.members.values()
        )

    update_s = wait_for(fleet, is_known)
    stores = [parts.documents for parts in fleet.vms.values()]
    version = (stores[0].get_version_and_digest("config")[0] or 0) + 1
    stores[2].offer("config", version, b"%d" % version * 100, "store")
    version_s = wait_for(
        fleet,
        lambda: all(s.get_version_and_digest("config")[0] == version for s in stores),
    )
    vm = f"vm-{size // 2}"
    fleet.kill(vm)
    members = list(fleet.members.values())
    suspect_s = wait_for(
        fleet, lambda: all(m.get_member(vm).state == "suspect" for m in members)
    )
    return update_s, version_s, suspect_s


def fit_slope(points):
    """Return the least-squares slope of (x, y) points."""
    slope, _ = statistics.linear_regression(*zip(*points, strict=True))
    return slope


def main():
    """Print one line per fleet size, then the slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--changes", type=float, default=0, help="updates per second")
    parser.add_argument("--loss", type=float, default=0.01)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    options = parser.parse_args()
    codec = FrameCodec({1: b"0123456789abcdef"}, 1)
    rows = []
    print("vms messages/s bytes/s cpu_ms/s update_s version_s suspect_s (worst)")
    for size in options.sizes:
        fleet = Fleet(size, options.seed, codec, loss=options.loss)
        for name in ("config", "vms"):
            fleet.vms["vm-0"].documents.offer(name, 2**31, b"content", "store")
        fleet.run(WARM_UP_S)
        cost = measure_cost(fleet, options.seconds, options.changes)
        propagation_times = []
        for repeat in range(options.repeats):
            fleet = Fleet(size, options.seed + repeat, loss=options.loss)
            fleet.run(WARM_UP_S + repeat / 7)
            propagation_times.append(measure_propagation(fleet))
        worst = [max(values) for values in zip(*propagation_times, strict=True)]
        rows.append((size, *cost))
        numbers = " ".join(f"{value:.2f}" for value in (*cost, *worst))
        print(size, numbers, flush=True)
    if len(rows) < 2:
        return
    for index, name in enumerate(("messages/s", "bytes/s", "cpu_ms/s"), 1):
        slope = fit_slope([(row[0], row[index]) for row in rows])
        print(f"slope of {name} by VM: {slope:.4f}")


if __name__ == "__main__":
    main()

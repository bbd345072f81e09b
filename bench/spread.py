"""Measures the time until all daemons apply a configuration change, and reversions.

Within a process, a reversion is an applied version that is not higher than the one
before it. Across restarts, it is a lower version than at the previous ready event.

Run: ``PYTHONPATH=src:. python -m bench.spread --seed 1``.
"""

import argparse
import json
import random
import signal
import statistics
import time

from bench.events import EventWatch, count_reversions, list_versions
from bench.experiment import print_table
from bench.fleet import LocalFleet, call

CHANGE_TIMEOUT_S = 30.0
#: Duration of a store outage. It exceeds the retry interval of 2 s plus the read
#: timeout of 5 s of the store client. A stale store lasts at least half as long, a
#: partition more than twice as long.
FAULT_S = 8.0
RESTARTS = 4
EVENT_KINDS = (
    "started",
    "config_accepted",
    "config_rejected",
    "config_conflict",
    "ready",
)


class PropagationRun:
    """Publishes changes to a fleet and reads when each daemon applied them."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.watch = EventWatch(fleet, EVENT_KINDS)
        self.rows = []
        self.bundles = {}

    def publish(self):
        """Publish a change of one route and return the start time."""
        name = self.random.choice(sorted(self.fleet.base["routes"]))

        def change(base):
            base["routes"][name]["timeout_ms"] += 1

        started = time.time()
        self.fleet.publish_config(change)
        bundle = {
            "version": self.fleet.version,
            "base": self.fleet.base,
            "overlays": self.fleet.overlays,
        }
        self.bundles[self.fleet.version] = json.dumps(bundle).encode()
        return started

    def wait_until_applied(self, version, names=None):
        """
        Wait until daemons have applied a version or a later one.

        Waits up to ``CHANGE_TIMEOUT_S``.

        :param names: VMs to wait for, ``None`` for all.
        :return: dict from VM to the Unix time at which its last process applied the
            version, ``None`` if it has not applied it.
        """
        names = names or list(self.watch.events)
        self.watch.wait_for(
            lambda watch: all(
                find_applied_time(watch.events[n], version) for n in names
            ),
            CHANGE_TIMEOUT_S,
        )
        return {
            name: find_applied_time(self.watch.events[name], version) for name in names
        }

    def measure_changes(self, count, interval):
        """Return the seconds per change and VM; infinity for a change not applied."""
        times = []
        for _ in range(count):
            started = self.publish()
            found = self.wait_until_applied(self.fleet.version)
            times.append([(t or float("inf")) - started for t in found.values()])
            time.sleep(max(0.0, started + interval - time.time()))
        return times

    def add_row(self, step, started, version):
        """Wait until all daemons have applied a version, and add a row."""
        found = self.wait_until_applied(version).values()
        worst = max(moment or float("inf") for moment in found) - started
        self.rows.append((step, version, round(max(worst, 0.0), 2)))

    def play_faults(self):
        """Inject the faults one after the other, with a change during each."""
        self._stop_store()
        self._serve_stale_value()
        self._kill_vms()
        self._partition()

    def _stop_store(self):
        self.fleet.control_store(down=True)
        self.publish()
        time.sleep(FAULT_S)
        started = time.time()
        self.fleet.control_store(down=False)
        self.add_row("store down, then up", started, self.fleet.version)

    def _serve_stale_value(self):
        """Let the store return a value three versions old while VMs restart."""
        old = self.bundles[self.fleet.version - 3]
        call(self.fleet.store_address, "/_control/values/config", old, "PUT")
        started = time.time()
        self._restart(self._choose_vms(RESTARTS))
        time.sleep(FAULT_S / 2)
        self.add_row("store stale, 4 restarts", started, self.fleet.version)
        started = self.publish()
        self.add_row("store current again", started, self.fleet.version)

    def _kill_vms(self):
        names = self._choose_vms(RESTARTS)
        for name in names:
            self.fleet.signal_vm(name, signal.SIGKILL)
            self.fleet.wait_exit(name)
        started = self.publish()
        others = [name for name in self.watch.events if name not in names]
        found = self.wait_until_applied(self.fleet.version, others).values()
        worst = max(moment or float("inf") for moment in found) - started
        self.rows.append(("4 VMs dead, others", self.fleet.version, round(worst, 2)))
        started = time.time()
        for name in names:
            self.fleet.start_vm(name)
        self.fleet.wait_ready(names)
        self.add_row("4 VMs started again", started, self.fleet.version)

    def _partition(self):
        region = sorted({vm.region for vm in self.fleet.vms})[0]
        self.fleet.partition([region])
        time.sleep(1.0)
        self.publish()
        inside = [vm.name for vm in self.fleet.vms if vm.region == region]
        self._restart(self.random.sample(inside, 1), wait=False)
        time.sleep(2 * FAULT_S)
        self.publish()
        started = time.time()
        self.fleet.heal()
        self.fleet.wait_ready()
        self.add_row(f"{region} cut off, healed", started, self.fleet.version)

    def _choose_vms(self, count):
        return self.random.sample(sorted(self.watch.events), count)

    def _restart(self, names, wait=True):
        for name in names:
            self.fleet.signal_vm(name, signal.SIGKILL)
            self.fleet.wait_exit(name)
            self.fleet.start_vm(name)
        if wait:
            self.fleet.wait_ready(names)


def find_applied_time(events, version):
    """Return when the last process first applied a version or a later one."""
    moment = None
    for event in events:
        if event["event"] == "started":
            moment = None
        if event["event"] != "config_accepted" or event["document"] != "config":
            continue
        if moment is None and int(event["version"]) >= version:
            moment = float(event["ts"])
    return moment


def count_all_reversions(watch):
    """Return the reversions within processes, and those across restarts."""
    within = across = 0
    for events in watch.events.values():
        for document in ("config", "vms"):
            processes = list_versions(events, document)
            within += sum(count_reversions(versions) for versions in processes)
        ready = [int(e["config_version"]) for e in events if e["event"] == "ready"]
        across += sum(1 for a, b in zip(ready, ready[1:], strict=False) if b < a)
    return within, across


def summarize(values):
    """Return the rounded median and maximum."""
    return round(statistics.median(values), 3), round(max(values), 3)


def get_store_calls(fleet):
    """Return the time and the number of calls to the store so far."""
    return time.time(), fleet.control_store()["calls"]


def get_rate(early, late):
    """Return the calls per second between two counts."""
    return round((late[1] - early[1]) / (late[0] - early[0]), 2)


def main():
    """Print the times of changes and faults, the reversions and the store calls."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="mauritius")
    parser.add_argument("--vms", type=int, default=44)
    parser.add_argument("--changes", type=int, default=100)
    parser.add_argument("--interval", type=float, default=1.0, help="s between changes")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    module = "bench.faulty_daemon"
    with LocalFleet(options.deployment, options.vms, daemon_module=module) as fleet:
        run = PropagationRun(fleet, options.seed)
        counts = [get_store_calls(fleet)]
        time.sleep(10.0)
        counts.append(get_store_calls(fleet))
        times = run.measure_changes(options.changes, options.interval)
        counts.append(get_store_calls(fleet))
        run.play_faults()
        counts.append(get_store_calls(fleet))
        run.watch.refresh()
        within, across = count_all_reversions(run.watch)
    last = [max(items) for items in times]
    every = [moment for items in times for moment in items]
    rows = [
        ("a change on one VM", *summarize(every)),
        ("a change on all VMs", *summarize(last)),
    ]
    print(f"{options.vms} daemons, {options.changes} changes, seed {options.seed}")
    print_table(rows, ("seconds until in force", "median", "maximum"))
    print_table(run.rows, ("fault", "version", "s until on all"))
    rates = [get_rate(*pair) for pair in zip(counts, counts[1:], strict=False)]
    print_table([rates], ("store calls/s idle", "changes", "faults"))
    print_table([(within, across)], ("reversions in a process", "over a restart"))


if __name__ == "__main__":
    main()

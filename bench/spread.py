"""Time until a configuration change is in force on all daemons, and reversions.

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
#: A daemon out of reach of the store retries every 2 s and calls time out after 5 s.
FAULT_S = 8.0
RESTARTS = 4
KINDS = ("started", "config_accepted", "config_rejected", "config_conflict", "ready")


class SpreadRun:
    """Publishes changes to a fleet and reads when each daemon put them in force."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.watch = EventWatch(fleet, KINDS)
        self.rows = []
        self.bundles = {}

    def publish(self):
        """Publish one changed route and return the time."""
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

    def wait_in_force(self, version, names=None):
        """Return when each daemon put a version or a later one in force, by VM."""
        names = names or list(self.watch.events)
        self.watch.wait_for(
            lambda watch: all(find_time(watch.events[n], version) for n in names),
            CHANGE_TIMEOUT_S,
        )
        return {name: find_time(self.watch.events[name], version) for name in names}

    def measure_changes(self, count, interval):
        """Return the seconds of each change on each VM; a missing one is infinite."""
        times = []
        for _ in range(count):
            started = self.publish()
            found = self.wait_in_force(self.fleet.version)
            times.append([(t or float("inf")) - started for t in found.values()])
            time.sleep(max(0.0, started + interval - time.time()))
        return times

    def note(self, step, started, version):
        """Wait for a version on all daemons and add a row."""
        found = self.wait_in_force(version).values()
        worst = max(moment or float("inf") for moment in found) - started
        self.rows.append((step, version, round(max(worst, 0.0), 2)))

    def play_faults(self):
        """Play the faults one after the other, with a change in each."""
        self._lose_store()
        self._serve_old_value()
        self._kill_some()
        self._partition()

    def _lose_store(self):
        self.fleet.control_store(down=True)
        self.publish()
        time.sleep(FAULT_S)
        started = time.time()
        self.fleet.control_store(down=False)
        self.note("store down, then up", started, self.fleet.version)

    def _serve_old_value(self):
        """Let the store go back three versions while VMs restart."""
        old = self.bundles[self.fleet.version - 3]
        call(self.fleet.store_address, "/_control/values/config", old, "PUT")
        started = time.time()
        self._restart(self._pick(RESTARTS))
        time.sleep(FAULT_S / 2)
        self.note("store stale, 4 restarts", started, self.fleet.version)
        started = self.publish()
        self.note("store current again", started, self.fleet.version)

    def _kill_some(self):
        names = self._pick(RESTARTS)
        for name in names:
            self.fleet.signal_vm(name, signal.SIGKILL)
            self.fleet.wait_exit(name)
        started = self.publish()
        others = [name for name in self.watch.events if name not in names]
        found = self.wait_in_force(self.fleet.version, others).values()
        worst = max(moment or float("inf") for moment in found) - started
        self.rows.append(("4 VMs dead, others", self.fleet.version, round(worst, 2)))
        started = time.time()
        for name in names:
            self.fleet.start_vm(name)
        self.fleet.wait_ready(names)
        self.note("4 VMs started again", started, self.fleet.version)

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
        self.note(f"{region} cut off, healed", started, self.fleet.version)

    def _pick(self, count):
        return self.random.sample(sorted(self.watch.events), count)

    def _restart(self, names, wait=True):
        for name in names:
            self.fleet.signal_vm(name, signal.SIGKILL)
            self.fleet.wait_exit(name)
            self.fleet.start_vm(name)
        if wait:
            self.fleet.wait_ready(names)


def find_time(events, version):
    """Return when the running process first had a version or a later one in force."""
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
    """Return reversions within processes, and from one process to the next."""
    within = across = 0
    for events in watch.events.values():
        for document in ("config", "vms"):
            processes = list_versions(events, document)
            within += sum(count_reversions(versions) for versions in processes)
        ready = [int(e["config_version"]) for e in events if e["event"] == "ready"]
        across += sum(1 for a, b in zip(ready, ready[1:], strict=False) if b < a)
    return within, across


def summarize(values):
    """Return median and maximum, rounded."""
    return round(statistics.median(values), 3), round(max(values), 3)


def get_calls(fleet):
    """Return the time and the store's count of calls."""
    return time.time(), fleet.control_store()["calls"]


def get_rate(early, late):
    """Return calls a second between two counts."""
    return round((late[1] - early[1]) / (late[0] - early[0]), 2)


def main():
    """Print the times of the changes, of the faults, the reversions and the calls."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="mauritius")
    parser.add_argument("--vms", type=int, default=44)
    parser.add_argument("--changes", type=int, default=100)
    parser.add_argument("--interval", type=float, default=1.0, help="s between changes")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    module = "bench.faulty_daemon"
    with LocalFleet(options.deployment, options.vms, daemon_module=module) as fleet:
        run = SpreadRun(fleet, options.seed)
        counts = [get_calls(fleet)]
        time.sleep(10.0)
        counts.append(get_calls(fleet))
        times = run.measure_changes(options.changes, options.interval)
        counts.append(get_calls(fleet))
        run.play_faults()
        counts.append(get_calls(fleet))
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

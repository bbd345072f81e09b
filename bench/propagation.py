"""
Simulated fleet that follows the store while links, the store and VMs fail.

    python -W ignore -m bench.propagation --seeds 1 50

The catalog, its synchronisation and the zone fleet of each VM run on a virtual clock
and an in-memory network. Links between VMs are cut in one or both directions, VMs
freeze, are killed and restart, and stop hearing from the store, in overlapping series.
The check is the one of the users: a VM that runs and has a path to the store applies
each change in time, whatever happens to the others.
"""

import argparse
import random
import sys

import eventlet

from bench.simulatedfleet import Cut, SimulatedFleet, VirtualClock, run_virtually
from bench.soakchecks import CONFIG_PROPAGATION_S

CHANGE_INTERVAL_S = 1.3
START_S = 1.2
#: All VMs start within this time of each other.
START_SPREAD_S = 0.3
#: Time before the first fault, in two parts, and after the last one.
CALM_S = 5.0
QUIET_END_S = 8.0
#: Longest durations of a silence of the store, from less than a call takes.
SILENCES_S = (0.2, 0.6, 1.2, 3.3, 8.0)


class Faults:
    """Series of faults in a simulated fleet."""

    def __init__(self, fleet, clock, rng, until, kinds=None):
        self._fleet, self._clock, self._rng, self._until = fleet, clock, rng, until
        if kinds is None:
            kinds = [n[3:] for n in sorted(dir(self)) if n.startswith("do_")]
        self._kinds = [getattr(self, f"do_{kind}") for kind in kinds]

    def run(self):
        """Inject faults one after the other."""
        while self._clock.monotonic() < self._until:
            self._clock.sleep(self._rng.uniform(0.2, 4.0))
            self._rng.choice(self._kinds)()

    def _record(self, kind, vms):
        names = ",".join(vm.name for vm in vms)
        self._fleet.events.append((self._clock.monotonic(), "", kind, names))

    def _wait(self):
        self._clock.sleep(self._rng.uniform(0.3, 6.0))

    def do_store_cut(self):
        """Cut VMs off from the store, silently."""
        vms = self._fleet.choose(self._rng)
        self._record("store_cut", vms)
        for vm in vms:
            vm.store_cut = True
        self._wait()
        for vm in vms:
            vm.store_cut = False
            vm.touch()
        self._record("store_cut ends", vms)

    def do_store_silent(self):
        """Let the store be silent to all VMs, with changes as it ends."""
        store = self._fleet.store
        if store.silent:
            return
        vms = list(self._fleet.vms.values())
        self._record("store_silent", vms[:0])
        store.silent = True
        self._clock.sleep(self._rng.choice(SILENCES_S) * self._rng.uniform(0.5, 1.0))
        store.silent = False
        for vm in vms:
            vm.touch()
        self._record("store_silent ends", vms[:0])
        self._clock.sleep(self._rng.uniform(0.0, 0.3))
        store.put()

    def do_links_cut(self):
        """Cut VMs off from some or all others, in one or both directions."""
        vms = self._fleet.choose(self._rng)
        names = frozenset(vm.name for vm in vms)
        zones = {vm.name[0] for vm in vms}
        others = self._rng.choice(
            [
                frozenset(self._fleet.vms),
                frozenset(self._fleet.vms) - names,
                frozenset(name for name in self._fleet.vms if name[0] not in zones),
                frozenset(name for name in self._fleet.vms if name[0] in zones),
            ]
        )
        cuts = [Cut(names, others), Cut(others, names)]
        way = self._rng.choice(["out", "in", "both"])
        cuts = {"out": cuts[:1], "in": cuts[1:], "both": cuts}[way]
        self._record(f"links_cut {way} to {len(others)}", vms)
        self._fleet.cuts += cuts
        self._wait()
        for cut in cuts:
            self._fleet.cuts.remove(cut)
        self._record("links_cut ends", vms)

    def do_freeze(self):
        """Freeze VMs."""
        vms = [vm for vm in self._fleet.choose(self._rng) if vm.running]
        self._record("freeze", vms)
        for vm in vms:
            vm.freeze()
        self._wait()
        for vm in vms:
            vm.thaw()
        self._record("freeze ends", vms)

    def do_kill(self):
        """Kill VMs and start them again."""
        vms = [vm for vm in self._fleet.choose(self._rng) if vm.running]
        self._record("kill", vms)
        for vm in vms:
            vm.kill()
        self._clock.sleep(self._rng.uniform(0.0, 3.0) + START_S)
        for vm in vms:
            vm.start()
        self._record("started", vms)


def check_keys(fleet, now):
    """Return findings of VMs that would run requests with a key that was removed."""
    findings, acked_at = [], fleet.store.acked_at
    for vm in fleet.vms.values():
        version = vm.catalog.config_version if vm.running else len(acked_at)
        if vm.frozen is not None or version >= len(acked_at) or not vm.may_run():
            continue
        age_ms = (now - acked_at[version]) * 1000
        if age_ms > fleet.key_removal_ms:
            findings.append(
                f"KEYS: {vm.name} runs requests with the key of version {version} at "
                f"{now:.2f} s, removed at {acked_at[version]:.2f} s"
            )
    return findings


def check(fleet, clock, until):
    """Return the findings of a run: VMs in contact that are behind for too long."""
    findings = []
    while clock.monotonic() < until:
        clock.sleep(0.05)
        now = clock.monotonic()
        if fleet.key_removal_ms:
            findings += check_keys(fleet, now)
        due = sum(
            acked_at < now - CONFIG_PROPAGATION_S for acked_at in fleet.store.acked_at
        )
        for vm in fleet.vms.values():
            if vm.is_in_contact() and vm.catalog.config_version < due:
                findings.append(
                    f"CONFIG: {vm.name} has version {vm.catalog.config_version} at "
                    f"{now:.2f} s, {due} was acknowledged at "
                    f"{fleet.store.acked_at[due - 1]:.2f} s"
                )
    return findings


def run_seed(
    seed, seconds=60.0, series=3, kinds=None, fleet_size=None, key_removal_ms=0
):
    """
    Run one seed in a thread of its own and return fleet and findings.

    :param kinds: names of the faults to inject; all without it.
    :param fleet_size: zones, as a text of their names, and VMs per zone.
    :param key_removal_ms: setting of the VMs; 0 for no check of keys.
    """
    size = fleet_size or ()
    return run_virtually(_run, seed, seconds, series, kinds, size, key_removal_ms)


def _run(seed, seconds, series, kinds, fleet_size, key_removal_ms):
    fleet = SimulatedFleet(*fleet_size, key_removal_ms=key_removal_ms)
    clock = VirtualClock()
    fleet.store.put()
    rng = random.Random(f"{seed}/starts")
    for vm in fleet.vms.values():
        eventlet.spawn_after(rng.uniform(0.0, START_SPREAD_S), vm.start)
    clock.sleep(CALM_S)
    calls = count_calls(fleet)
    clock.sleep(CALM_S)
    fleet.calm_calls = count_calls(fleet) - calls
    until = clock.monotonic() + seconds
    for number in range(series):
        rng = random.Random(f"{seed}/{number}")
        faults = Faults(fleet, clock, rng, until - QUIET_END_S, kinds)
        eventlet.spawn(faults.run)
    rng = random.Random(f"{seed}/changes")

    def change():
        while True:
            clock.sleep(rng.expovariate(1 / CHANGE_INTERVAL_S))
            fleet.store.put()

    eventlet.spawn(change)
    return fleet, check(fleet, clock, until)


def count_calls(fleet):
    """Return the calls of the store so far."""
    return sum(vm.source.calls for vm in fleet.vms.values())


def main():
    """Run a range of seeds and print their findings."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs=2, default=(1, 10))
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--kinds", nargs="*", help="faults to inject, all by default")
    parser.add_argument("--zones", default="abcdef", help="names of the zones")
    parser.add_argument("--vms", type=int, default=7, help="VMs per zone")
    parser.add_argument("--key-removal-ms", type=int, default=0)
    parser.add_argument("--events", action="store_true", help="print all events")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seeds[0], options.seeds[1] + 1):
        fleet, findings = run_seed(
            seed,
            options.seconds,
            kinds=options.kinds,
            fleet_size=(options.zones, options.vms),
            key_removal_ms=options.key_removal_ms,
        )
        failed += bool(findings)
        print(
            f"seed {seed}: {len(findings)} findings, {fleet.calm_calls} store calls in "
            f"{CALM_S:g} calm seconds, {count_calls(fleet)} in all",
            flush=True,
        )
        for finding in findings[:3]:
            print(f"  {finding}")
        if options.events:
            for event in fleet.events:
                print("   ", *event)
    print(f"{failed} of {options.seeds[1] - options.seeds[0] + 1} seeds failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

"""
Bytes that the VMs of a simulated fleet send each other, by scope.

    python -W ignore -m bench.fleet_traffic --sizes 33 103 301

The VMs share evidence, heartbeats and documents on a virtual clock and an in-memory
network. Every tenth VM is large. Requests reach the active VMs in proportion to their
cores; the number of requests and servers grows with the fleet. A message counts as its
encoded frame, at the sender and at the receiver.
"""

import argparse
import collections
import inspect
import math
import random
import types

import eventlet

from bench.simulatedfleet import (
    ZONES,
    SimulatedFleet,
    SimulatedTransport,
    SimulatedVm,
    Store,
    VirtualClock,
    ignore,
    run_virtually,
)
from lavendermast.codec import Envelope, FrameCodec
from lavendermast.entrymodel import EntryRoute, RequestKind
from lavendermast.evidenceregistry import EvidenceRegistry
from lavendermast.evidencesharing import EvidenceSharing
from lavendermast.losstracker import LossTracker
from lavendermast.messages_model import StoredChange, StoredChanges
from lavendermast.models import AttemptResult, AttemptStatus
from lavendermast.ratelimits import RateLimits
from lavendermast.suspicion import AttemptOutcome

REQUESTS_PER_VM = 5.0
SERVERS_PER_VM = 3
LARGE_CORES, SMALL_CORES = 2.15, 0.43
MEAN_LATENCY_S = 0.12
#: Links of 100 and 5 Mbit/s.
LARGE_LINK_BYTES_PER_S, SMALL_LINK_BYTES_PER_S = 12_500_000, 625_000
#: Share of the attempts at servers of other regions.
REMOTE_SHARE = 0.1
#: An entry of a server in the store takes about this many bytes.
ENTRY_BYTES = 500
START_SPREAD_S = 0.3
SETTLE_S = 6.0
CODEC = FrameCodec({1: b"lavendermast-entry-frames"}, 1)


class CountingTransport(SimulatedTransport):
    """A transport that counts the encoded messages in ``SimulatedFleet.bytes``."""

    def broadcast(self, addresses, body):
        """Send a datagram to several VMs; it is encoded once."""
        if addresses:
            size = self._measure(body)
            assert size <= 1_400, (size, type(body))
        for address in addresses:
            self._count(address, body, size)
            super().send(address, body)

    def send(self, address, body):
        """Send a datagram."""
        self.broadcast((address,), body)

    def request(self, address, body, deadline):
        """Send a request and return the reply."""
        self._count(address, body, self._measure(body))
        reply = super().request(address, body, deadline)
        size = self._measure(reply)
        self._vm.clock.sleep(size / SMALL_LINK_BYTES_PER_S)
        self._fleet.count(address, self.vm, type(reply).__name__, size)
        return reply

    def _measure(self, body):
        return len(CODEC.encode(Envelope(self.vm, self.boot_id, 1, body)))

    def _count(self, address, body, size):
        self._fleet.count(self.vm, address, type(body).__name__, size)


class SizedStore(Store):
    """A store whose snapshot holds the entries of all servers besides one document."""

    entries = 0
    snapshots = 0

    def make_changes(self, after, whole):
        """Return the changes after a revision, with all entries in a snapshot."""
        changes = super().make_changes(after, whole)
        if not whole:
            return changes
        self.snapshots += 1
        rng = random.Random(1)
        others = tuple(
            StoredChange(f"servers/{n}", 1, False, make_entry(n, rng))
            for n in range(self.entries)
        )
        return StoredChanges(0, self.revision, True, changes.changes + others, 1)


def make_entry(number, rng):
    """Return an entry of the size and kind of a platform's JSON."""
    text = (
        f'{{"name": "i-{number:010x}", "service": "service-{number % 3}", "address": '
        f'"10.{number % 250}.{rng.randrange(250)}.{rng.randrange(250)}:8080", '
        f'"started": {rng.randrange(10**12)}, "state": "ready", "warm_up_s": 2, '
        '"slots": 4, "labels": {"image": "registry/service/backend", "build": '
        f'"{rng.getrandbits(128):032x}"}}, "checks": ["liveness", "readiness"]}}'
    )
    return text.ljust(ENTRY_BYTES).encode()


class TrafficFleet(SimulatedFleet):
    """A fleet of a given size in all zones that counts its bytes."""

    transport_class = CountingTransport

    def __init__(self, size):
        super().__init__(ZONES, 0)
        self.store = SizedStore()
        self.store.entries = SERVERS_PER_VM * size
        self.store.put()
        self.bytes = collections.Counter()
        zones = list(ZONES)
        for number in range(size):
            name = f"{zones[number % len(zones)]}{number // len(zones) + 1}"
            self.vms[name] = SimulatedVm(name, self)
        self.servers = {
            region: [
                f"i-{number:010x}"
                for number in range(SERVERS_PER_VM * size)
                if list(dict.fromkeys(ZONES.values()))[number % 3] == region
            ]
            for region in set(ZONES.values())
        }

    def get_cores(self, name):
        """Return the cores of a VM: every tenth one is large."""
        return LARGE_CORES if int(name[1:]) % 10 == 2 else SMALL_CORES

    def count(self, source, target, kind, size):
        """Count a message at both VMs."""
        if source[0] == target[0]:
            scope = "zone"
        else:
            same = ZONES[source[0]] == ZONES[target[0]]
            scope = "region" if same else "other"
        self.bytes[source, "sent", scope, kind] += size
        self.bytes[target, "received", scope, kind] += size

    def get_region_servers(self, region):
        """Return the servers of a region by service, as the catalog does."""
        names = self.servers[region]
        return {f"service-{n}": names[n::3] for n in range(3)}


def share_evidence(vm, fleet, rng):
    """Let a VM that runs make attempts and share its evidence."""
    region = ZONES[vm.name[0]]
    limits = RateLimits(vm.clock, ignore, lambda name: name in fleet.servers[region])
    route = EntryRoute("route-1", "host", "/", (), RequestKind.IDEMPOTENT, 2.0, 1.0)
    registry = EvidenceRegistry(vm.clock, lambda name: route, limits)
    catalog = types.SimpleNamespace(get_region_servers=fleet.get_region_servers)
    settings = types.SimpleNamespace(region=region, zone=vm.name[0])
    sharing = EvidenceSharing(
        settings,
        ZONES,
        registry,
        LossTracker(registry.get, 0.5),
        catalog,
        vm.zone_fleet,
        vm.network,
        vm.clock,
    )
    vm.spawn(sharing.run_reports)
    vm.spawn(sharing.run_summaries)
    vm.spawn(make_attempts, vm, fleet, registry, route, rng)


def make_attempts(vm, fleet, registry, route, rng):
    """Make the attempts of the requests that reach a VM, until it is killed."""
    total = REQUESTS_PER_VM * len(fleet.vms)
    region = ZONES[vm.name[0]]
    remote = [n for r, names in fleet.servers.items() if r != region for n in names]

    def finish(name, attempt, sick):
        status = AttemptStatus.CUT if sick else AttemptStatus.OK
        outcome = AttemptOutcome.FAILED if sick else AttemptOutcome.SUCCEEDED
        result = AttemptResult(name, status)
        result.rate_limit, result.head_at = math.inf, vm.clock.monotonic()
        registry.finish(name, route, attempt, result, outcome)

    while True:
        active = vm.zone_fleet.get_active(vm.name[0])
        share = 0.0
        if any(item.vm == vm.name for item in active):
            share = fleet.get_cores(vm.name) / sum(item.cores for item in active)
        rate = total * share / len(ZONES)
        vm.rate = rate
        if not rate:
            vm.clock.sleep(0.5)
            continue
        vm.clock.sleep(rng.expovariate(rate))
        names = remote if rng.random() < REMOTE_SHARE else fleet.servers[region]
        name = rng.choice(names)
        attempt = registry.start(name, route)
        latency_s = rng.expovariate(1 / MEAN_LATENCY_S)
        sick = rng.random() < 0.01
        eventlet.spawn_after(latency_s, finish, name, attempt, sick)


def measure(size, seconds, seed=1):
    """
    Start a fleet and measure its bytes.

    :return: store snapshots and the times from start to ready, bytes of the start and
        bytes of a calm interval, both keyed as in ``TrafficFleet.bytes``.
    """
    return run_virtually(_measure, size, seconds, seed)


def _measure(size, seconds, seed):
    fleet, clock, rng = TrafficFleet(size), VirtualClock(), random.Random(seed)
    ready = {}
    for vm in fleet.vms.values():
        eventlet.spawn_after(rng.uniform(0.0, START_SPREAD_S), start_vm, vm, ready)
    clock.sleep(SETTLE_S)
    start_bytes = fleet.bytes.copy()
    snapshots = fleet.store.snapshots
    for vm in fleet.vms.values():
        vm.zone_fleet._get_rate = lambda vm=vm: vm.rate
        vm.rate = 0.0
        share_evidence(vm, fleet, random.Random(rng.random()))
    clock.sleep(SETTLE_S)
    fleet.bytes.clear()
    clock.sleep(seconds)
    return snapshots, ready, start_bytes, fleet.bytes


def start_vm(vm, ready):
    """Start a VM and record the time until it is ready."""
    started_at = vm.clock.monotonic()
    vm.start()
    is_large = vm.fleet_links.get_cores(vm.name) == LARGE_CORES
    vm.sync.link_bytes_per_s = (
        LARGE_LINK_BYTES_PER_S if is_large else SMALL_LINK_BYTES_PER_S
    )
    vm.catalog.on_config.append(
        lambda _: ready.setdefault(vm.name, vm.clock.monotonic() - started_at)
    )


def print_figures(size, seconds, seed):
    """Print the figures of one fleet and return the KB/s of its busiest VM."""
    snapshots, ready, start, calm = measure(size, seconds, seed)
    times = sorted(ready.values())
    print(
        f"{size} VMs: {snapshots} snapshots read from the store, ready after "
        f"{times[len(times) // 2]:.2f} s (median) to {times[-1]:.2f} s, "
        f"{len(times)} ready"
    )
    for title, counted, duration in (("start", start, 1.0), ("calm", calm, seconds)):
        unit = "KB" if duration == 1.0 else "KB/s"
        by_vm, by_scope, by_kind = (collections.Counter() for _ in range(3))
        for (vm, direction, scope, kind), count in counted.items():
            by_vm[vm] += count / 1000 / duration
            if direction == "sent":
                by_scope[scope] += count / 1000 / duration
                by_kind[kind] += count / 1000 / duration
        busiest, most = by_vm.most_common(1)[0]
        print(
            f"  {title}: busiest VM {busiest} {most:.1f} {unit} in and out, "
            f"mean {sum(by_vm.values()) / size:.1f}"
        )
        for name, counter in (("scope", by_scope), ("kind", by_kind)):
            parts = [f"{key} {value:.1f}" for key, value in counter.most_common()]
            print(f"    sent by {name}, {unit}: {', '.join(parts)}")
        kinds = collections.Counter()
        for (vm, direction, _, kind), count in counted.items():
            if vm == busiest:
                kinds[f"{direction} {kind}"] += count / 1000 / duration
        parts = [f"{key} {value:.1f}" for key, value in kinds.most_common(5)]
        print(f"    busiest VM: {', '.join(parts)}", flush=True)
    return most


def main():
    """Print the figures for fleets of several sizes and the power of their growth."""
    parser = argparse.ArgumentParser(description=inspect.getdoc(main))
    parser.add_argument("--sizes", type=int, nargs="+", default=(33, 103, 301))
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    rates = [
        print_figures(size, options.seconds, options.seed) for size in options.sizes
    ]
    if len(rates) > 1:
        growth = math.log(rates[-1] / rates[0])
        power = growth / math.log(options.sizes[-1] / options.sizes[0])
        print(f"the busiest VM's bytes grow with the VMs to the power {power:.2f}")


if __name__ == "__main__":
    main()

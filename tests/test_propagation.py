"""Tests for how fast a simulated fleet follows the store while parts of it fail."""

import random

import eventlet
import pytest

from bench.fleet_traffic import TrafficFleet, start_vm
from bench.propagation import run_seed
from bench.simulatedfleet import SimulatedFleet, VirtualClock, run_virtually
from bench.soakchecks import CONFIG_PROPAGATION_S
from lavendermast.catalogsync import MAX_READ_DELAY_S, READ_DELAY_JITTER

SECONDS = 30.0


@pytest.mark.parametrize(
    ("kind", "seed"),
    [
        ("store_cut", 5),
        ("store_silent", 1),
        ("links_cut", 1),
        ("freeze", 1),
        ("kill", 1),
    ],
)
def test_vm_in_contact_with_the_store_follows_it_whatever_happens_to_others(kind, seed):
    """Guards against VMs whose configuration and servers are as old as a peer's."""
    _, findings = run_seed(seed, SECONDS, kinds=[kind])
    assert findings == []


def start_fleet():
    """Return the store snapshots that a starting fleet reads and the times to start."""
    fleet, clock = TrafficFleet(33), VirtualClock()
    rng, ready = random.Random(1), {}
    for vm in fleet.vms.values():
        eventlet.spawn_after(rng.uniform(0.0, 0.3), start_vm, vm, ready)
    clock.sleep(3.0)
    first_times, reads = dict(ready), fleet.store.snapshots
    vm = fleet.vms["b3"]
    vm.kill()
    ready.clear()
    start_vm(vm, ready)
    clock.sleep(3.0)
    return first_times, reads, ready, fleet.store.snapshots - reads


def test_starting_fleet_reads_the_store_a_few_times_and_is_ready_soon():
    """Guards against a snapshot for each VM, and against VMs that wait for others."""
    first_times, reads, ready, later_reads = run_virtually(start_fleet)
    assert len(first_times) == 33
    assert reads <= 12
    assert max(first_times.values()) < MAX_READ_DELAY_S * (1 + READ_DELAY_JITTER) + 0.1
    assert ready["b3"] < 0.1
    assert later_reads == 0


def follow_after_silence(size, silence_s, phase_s):
    """Return the time from the end of a silence until all VMs follow the store."""
    fleet, clock = SimulatedFleet(*size), VirtualClock()
    fleet.store.put()
    for vm in fleet.vms.values():
        vm.start()
    clock.sleep(6.0 + phase_s)
    fleet.store.silent = True
    clock.sleep(silence_s)
    fleet.store.silent = False
    ended_at = clock.monotonic()
    fleet.store.put()
    while clock.monotonic() < ended_at + 10.0:
        clock.sleep(0.02)
        if all(vm.catalog.config_version == 2 for vm in fleet.vms.values()):
            break
    return clock.monotonic() - ended_at


@pytest.mark.parametrize("size", [("a", 1), ("ab", 1), ("ab", 2), ("abcdef", 3)])
def test_call_made_in_the_last_moments_of_a_silence_delays_no_change(size):
    """
    Guards against news that wait for a call that is never answered (CONFIG, DRAIN).

    The store takes calls silently and answers none of them later. Whatever the moment,
    a change acknowledged as the silence ends is in force in time everywhere.
    """
    rng = random.Random(1)
    for _ in range(24):
        silence_s = rng.choice([0.1, 0.3, 1.2, 3.3, 8.0]) * rng.uniform(0.5, 1.0)
        phase_s = rng.uniform(0.0, 1.0)
        delay_s = run_virtually(follow_after_silence, size, silence_s, phase_s)
        assert delay_s < CONFIG_PROPAGATION_S

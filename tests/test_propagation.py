"""Tests for how fast a simulated fleet follows the store while parts of it fail."""

import random

import pytest

from bench.propagation import run_seed
from bench.simulatedfleet import SimulatedFleet, VirtualClock, run_virtually
from bench.soakchecks import CONFIG_PROPAGATION_S

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

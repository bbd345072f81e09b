"""Tests of the answers of the directory, on an in-memory network."""

import types

import attrs
import pytest

from lavendermast.directory import CHECK_INTERVAL_S, MAX_WAIT_S, Directory
from tests.test_zonefleet import fleet, make_vm, run_rounds

__all__ = ["fleet"]
REGIONS = {"a": "north", "b": "north", "c": "south"}


class ScriptedClock:
    """The clock of the fleet; calls functions when the directory has waited."""

    def __init__(self, clock):
        self.clock = clock
        self.steps = {}
        self.waited_s = 0.0

    def monotonic(self):
        return self.clock.monotonic()

    def sleep(self, seconds):
        self.waited_s += seconds
        self.clock.advance(seconds)
        for due in [due for due in self.steps if due <= self.waited_s]:
            self.steps.pop(due)()


@pytest.fixture
def world(fleet):
    run_rounds(fleet, 8)
    return types.SimpleNamespace(fleet=fleet, clock=ScriptedClock(fleet.clock))


def resolve(world, name, zone="a", vm=None):
    """Return the names in the answer of a VM."""
    vm = vm or world.fleet.vms[name]
    directory = Directory(vm.fleet, REGIONS, world.clock)
    return [item.vm for item in directory.resolve(REGIONS.get(zone, ""), zone)]


def set_starting(vm):
    vm.fleet.local_vm = attrs.evolve(vm.fleet.local_vm, state="starting")
    return vm


def make_starting_vm(world, name):
    fleet = world.fleet
    return set_starting(make_vm(name, fleet.network, fleet.clock, fleet.source))


def test_starting_vm_names_the_ready_ones_once_it_hears_of_them(world):
    """Guards against failed look-ups in the moment before the answer of a seed."""
    vm = make_starting_vm(world, "a9")
    world.clock.steps[2 * CHECK_INTERVAL_S] = vm.fleet.send_heartbeats
    assert resolve(world, "", vm=vm) == ["a1", "a2"]
    assert world.clock.waited_s < MAX_WAIT_S / 2


def test_fleet_that_starts_names_the_vms_that_are_about_to_be_ready(fleet):
    """
    Guards against failed look-ups after a loss of all VMs.

    The answer comes before callers give up, and requests are refused as not run until
    the VM is ready.
    """
    world = types.SimpleNamespace(fleet=fleet, clock=ScriptedClock(fleet.clock))
    for vm in fleet.vms.values():
        set_starting(vm)
    run_rounds(fleet, 8)
    assert sorted(resolve(world, "a4")) == [f"a{n}" for n in range(1, 7)]
    assert MAX_WAIT_S / 2 < world.clock.waited_s < 2 * MAX_WAIT_S
    alone = make_starting_vm(world, "c9")
    assert resolve(world, "", vm=alone) == ["c9"]


def test_unknown_zone_gets_vms_of_other_zones(world):
    """Guards against failed look-ups of callers whose zone has no VM."""
    assert resolve(world, "a1", "c") == ["a1", "a2", "b1", "b2"]
    assert resolve(world, "a1", "") == ["a1", "a2", "b1", "b2"]
    assert world.clock.waited_s == 0.0


def test_leaving_vm_names_others_and_does_not_wait(world):
    """Guards against callers that are sent to a VM that is stopping."""
    leaving = world.fleet.vms["a1"]
    leaving.fleet.set_state("leaving")
    assert resolve(world, "a1") == ["a2", "a3"]
    for name in ("b1", "b2", "b3"):
        assert "a1" not in resolve(world, name), name
    alone = make_starting_vm(world, "c9")
    alone.fleet.set_state("leaving")
    assert resolve(world, "", vm=alone) == []
    assert world.clock.waited_s == 0.0


def test_other_zones_hear_of_a_leaving_vm_through_their_hubs(world):
    """Guards against a VM that is named until it times out in other zones."""
    fleet = world.fleet
    leaving = fleet.vms["a1"].fleet
    del leaving.vms["b3"]
    leaving.set_state("leaving")
    run_rounds(fleet, 2, without=("a1",))
    assert "a1" not in resolve(world, "b3")


def test_vm_that_was_frozen_answers(world):
    """Guards against failed look-ups at a VM whose heartbeats from others are old."""
    vm = world.fleet.vms["a4"]
    world.fleet.clock.advance(30.0)
    vm.fleet._remove_timed_out(world.fleet.clock.monotonic())
    assert resolve(world, "a4") == ["a4"]

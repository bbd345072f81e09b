"""Failure detection of a fleet of 44 under crashes, partitions, pauses and loss."""

import pytest

from tests.memory_network import Fleet

SIZE = 44


def get_states(fleet, vm):
    return {m.get_member(vm).state for m in fleet.members.values() if m.own.vm != vm}


def find_marks(fleet, states=("suspect", "dead")):
    return [e for e in fleet.events if e[3].get("state") in states]


def assert_all_alive(fleet):
    for membership in fleet.members.values():
        states = {u.vm: u.state for u in membership.get_members()}
        assert states == dict.fromkeys(fleet.members, "alive"), membership.own.vm


def index_of(address):
    return int(address.split(":")[0].split(".")[3])


def test_quiet_fleet_marks_nobody():
    fleet = Fleet(SIZE)
    fleet.run(30)
    assert not find_marks(fleet)


@pytest.mark.parametrize("seed", range(4))
def test_dead_vm_is_suspect_everywhere_within_the_bound_and_dead_later(seed):
    fleet = Fleet(SIZE, seed, loss=0.01)
    fleet.run(5 + seed / 7)
    fleet.kill("vm-7")
    fleet.run(2.5)
    assert get_states(fleet, "vm-7") <= {"suspect", "dead"}
    fleet.run(8)
    assert get_states(fleet, "vm-7") == {"dead"}

"""Start rule: which peers must respond before a VM serves."""

import pytest

from lavendermast.messages_model import DocumentVersion
from tests.memory_network import Fleet


def make_readiness(zones, states=("alive",) * 9, loaded=True):
    """Return a fleet and the check of a starting VM with peers in given zones."""
    fleet = Fleet(len(zones) + 1)
    for index, state in enumerate(states[: len(zones)]):
        fleet.vms[f"vm-{index}"].set_state(state)
    vm = f"vm-{len(zones)}"
    coordination = fleet.vms[vm]
    coordination.membership.set_local_state("starting")
    if loaded:
        coordination.documents.offer("config", 5, b"5", "store")
    readiness = coordination.readiness
    readiness.set_listed(
        {f"vm-{n}": (f"10.0.0.{n}:7000", zone) for n, zone in enumerate(zones)}
    )
    fleet.run(2)
    return fleet, readiness


@pytest.mark.parametrize(
    ("zones", "responses", "ready"),
    [
        ("abc", [], False),
        ("abcd", [0, 1], False),
        ("abcd", [0, 1, 2], True),
        ("ab", [0, 1], True),
        ("a", [0], True),
        ("a", [], False),
        ("aaaa", [0, 1, 2], True),
        ("abcdefabc", [0, 6, 0], False),  # vm-0 and vm-6 are in the same zone
        ("abcdefabc", [0, 6, 1], True),
    ],
)
def test_listed_peers_must_respond_from_two_zones(zones, responses, ready):
    _, readiness = make_readiness(zones)
    readiness._responses.clear()
    for index in responses:
        readiness.record_response(f"vm-{index}", ())
    assert readiness.evaluate().ready is ready


def test_one_responding_zone_is_not_enough():
    """Guards against serving an old version inside a partitioned zone."""
    _, readiness = make_readiness("abcdefabcdefabc")
    readiness._responses.clear()
    for index in (0, 6, 12):
        readiness.record_response(f"vm-{index}", ())
    assert readiness.evaluate().reason == "responses from one zone"


def test_newer_version_at_peers_overrides_the_store():
    """
    Guards against a return to an older version (R7).

    The store may be hours behind the version of the fleet.
    """
    fleet, readiness = make_readiness("abcd")
    readiness.record_store_read()
    readiness._responses.clear()
    newer = DocumentVersion("config", 6, b"digest")
    for index in range(3):
        readiness.record_response(f"vm-{index}", (newer,))
    assert not readiness.evaluate().ready
    fleet.vms["vm-4"].documents.offer("config", 6, b"6", "vm-1")
    assert readiness.evaluate().ready


def test_when_all_are_starting_the_store_decides():
    _, readiness = make_readiness("abc", ("starting",) * 3)
    assert not readiness.evaluate().ready
    readiness.record_store_read()
    assert readiness.evaluate().ready


def test_empty_list_uses_the_store_and_a_missing_list_waits():
    fleet, readiness = make_readiness("ab")
    readiness.record_store_read()
    readiness.set_listed({})
    assert readiness.evaluate().ready
    readiness._listed = None
    assert not readiness.evaluate().ready


def test_vm_without_config_does_not_serve():
    _, readiness = make_readiness("abc", loaded=False)
    for index in range(3):
        readiness.record_response(f"vm-{index}", ())
    assert readiness.evaluate().reason == "no config"


def test_starting_vm_collects_responses_from_pinged_peers():
    fleet = Fleet(8)
    fleet.vms["vm-2"].documents.offer("config", 7, b"7", "store")
    fleet.run(2)
    coordination = fleet.start(8)
    addresses = {
        m.local_member.vm: m.local_member.peer_address for m in fleet.members.values()
    }
    listed = {vm: (address, address[-6]) for vm, address in addresses.items()}
    coordination.readiness.set_listed(listed)
    assert not coordination.readiness.evaluate().ready
    coordination.readiness.contact_peers()
    fleet.run(0.5)
    assert coordination.readiness.evaluate().ready
    assert coordination.documents.get("config").version == 7

"""Requests that crash servers, while the VMs that know of them restart."""

import types
import unittest.mock

import attrs
import pytest

from lavendermast.clock import ManualClock
from lavendermast.crashes import MAX_CRASHES, CrashTracker, ServerRun
from lavendermast.crashsharing import ASK_INTERVAL_S, CrashSharing
from lavendermast.evidencesharing import EvidenceSharing
from lavendermast.messages_model import CrashReports

REGIONS = {"a": "north", "b": "north", "c": "south"}
FINGERPRINT = b"deadly"
#: Time after the start of a VM from which it is held to all promises.
CONTACT_S = 3.0


@attrs.define(eq=False)
class Vm:
    """One VM: what ``EvidenceSharing`` reads of the fleet, and its crash tracker."""

    vm: str
    zone: str
    boot_id: int
    fleet: object
    crashes: CrashSharing = None
    tracker: CrashTracker = None
    state: str = "alive"

    @property
    def peer_address(self):
        return self.vm

    @property
    def local_vm(self):
        return self

    def get_active(self, zone):
        return [vm for vm in self.fleet.vms if vm.zone == zone and vm.state == "alive"]

    def get_peer_addresses(self, zones):
        vms = [vm for zone in zones for vm in self.get_active(zone)]
        return [vm.peer_address for vm in vms if vm is not self]


class Fleet:
    """VMs named by zone and number, whose datagrams arrive at once unless lost."""

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.vms, self.lost, self.sent = [], 0, []
        for zone in REGIONS:
            for number in (1, 2):
                self.vms.append(self.make_vm(f"{zone}{number}", zone))

    def make_vm(self, name, zone):
        self.clock.advance(0.01)
        vm = Vm(name, zone, int(self.clock.time() * 1000), self)
        settings = types.SimpleNamespace(zone=zone, region=REGIONS[zone])
        network = types.SimpleNamespace(vm=name, register=lambda *args: None)
        network.broadcast = lambda addresses, body: self.deliver(name, addresses, body)
        mock = unittest.mock.Mock
        sharing = EvidenceSharing(
            settings, REGIONS, mock(), mock(), mock(), vm, network, self.clock
        )
        vm.tracker = CrashTracker(self.clock, lambda event, **fields: None)
        vm.crashes = CrashSharing(
            vm.tracker, sharing, mock(), network, self.clock, lambda *args: None
        )
        return vm

    def deliver(self, sender, addresses, body):
        for address in addresses:
            self.sent.append((sender, address, body))
            if self.lost:
                self.lost -= 1
                continue
            vm = next(vm for vm in self.vms if vm.vm == address)
            envelope = types.SimpleNamespace(body=body, sender=sender)
            vm.crashes._handle_reports(envelope, sender)

    def restart(self, *names):
        for index, vm in enumerate(self.vms):
            if vm.vm in names:
                self.vms[index] = self.make_vm(vm.vm, vm.zone)

    def run(self, seconds):
        for _ in range(round(seconds / ASK_INTERVAL_S)):
            self.clock.advance(ASK_INTERVAL_S)
            for vm in self.vms:
                vm.crashes.advance()

    def find_ignorant(self):
        return [vm.vm for vm in self.vms if not vm.tracker.get_hold_s(FINGERPRINT)]


@pytest.fixture
def fleet():
    fleet = Fleet()
    for vm in fleet.vms:
        for number in range(MAX_CRASHES):
            vm.tracker.add_crash(ServerRun(f"s{number}", 0), FINGERPRINT, "x")
    fleet.run(4.0)
    return fleet


def test_rolling_restart_forgets_no_held_request(fleet):
    """
    Guards against a fleet that lets a request crash servers again (BUDGET).

    A restarted VM is the first of its zone again, but does not know what it repeats.
    """
    for name in [vm.vm for vm in fleet.vms]:
        fleet.restart(name)
        fleet.run(CONTACT_S)
        assert fleet.find_ignorant() == []


def test_region_that_restarts_at_once_learns_from_the_others(fleet):
    """Guards against a request that only the VMs of one region held."""
    fleet.restart("a1", "a2", "b1", "b2")
    fleet.run(CONTACT_S)
    assert fleet.find_ignorant() == []


@pytest.mark.parametrize("lost", [1, 4, 8])
def test_restarted_vm_learns_though_datagrams_are_lost(fleet, lost):
    """Guards against one lost datagram that makes a VM forget a request."""
    fleet.restart("a1")
    fleet.lost = lost
    fleet.run(CONTACT_S)
    assert fleet.find_ignorant() == []


def test_vm_that_becomes_active_asks_a_few_times_only(fleet):
    """Guards against traffic of idle VMs that grows with the fleet."""
    fleet.restart("c2")
    fleet.vms[-1].state = "starting"
    fleet.sent.clear()
    fleet.run(10.0)
    assert not [
        item for item in fleet.sent if item[2] == CrashReports(held_wanted=True)
    ]
    fleet.vms[-1].state = "alive"
    fleet.run(10.0)
    asks = [item for item in fleet.sent if item[2] == CrashReports(held_wanted=True)]
    assert {item[0] for item in asks} == {"c2"}
    assert 0 < len(asks) <= 12

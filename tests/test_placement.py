"""Guards against service sets that differ from the ranking of all members."""

import random
from unittest import mock

import pytest

from lavendermast.addresses import AddressBook, get_distance
from lavendermast.clock import ManualClock
from lavendermast.hashing import rank_members
from lavendermast.judging import ServerMonitor
from lavendermast.messages_model import MemberUpdate
from lavendermast.placement import choose_service_set
from lavendermast.policy import Policy

SERVICES = ("stock", "bookings", "archives")


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(("size", "zones"), [(3, 2), (6, 4), (9, 3), (12, 9)])
def test_sets_updated_on_member_changes_equal_recomputed_ones(seed, size, zones):
    generator, members = random.Random(seed), {}
    policy = Policy(
        lambda: [m for m in members.values() if m.state in ("alive", "suspect")]
    )
    for _ in range(150):
        vm = f"vm-{generator.randrange(30)}"
        state = generator.choice(("alive", "alive", "suspect", "leaving", "dead"))
        zone = f"zone-{(int(vm[3:]) + (generator.random() < 0.1)) % zones}"
        previous = members.get(vm)
        members[vm] = MemberUpdate(vm=vm, state=state, zone=zone)
        policy.apply_member(members[vm], previous)
        for service in SERVICES:
            wanted = choose_service_set(service, policy._sets._get_members(), size)
            assert policy._sets.get_set(service, size) == wanted


def test_addresses_are_ordered_by_distance_then_rank():
    """
    Guards against an order of a caller's VMs other than by distance, then rank.

    The VMs are ranked separately for each distance, because ranking a large fleet takes
    too long; the order must equal that of a ranking of all VMs.
    """
    members = [
        MemberUpdate(vm=f"vm-{n}", region=f"r{n % 3}", zone=f"r{n % 3}-{n % 6}")
        for n in range(12)
    ]
    policy = Policy(lambda: members)
    book = AddressBook(policy, lambda: members, None, None, None, None)
    policy.get_service_set = lambda service: None
    for caller in ("a", "b", "c"):
        ranked = rank_members(caller, [m.vm for m in members])
        by_name = {m.vm: m for m in members}
        ranked.sort(key=lambda vm: get_distance(by_name[vm], "r1-1", "r1"))
        for count in (1, 3, 12):
            chosen = book._choose("", "r1-1", caller, count)
            assert [member.vm for member in chosen] == ranked[:count]


def test_vm_evaluates_the_services_that_it_serves_also_while_leaving():
    """
    Guards against spending 34 ms per second on 1,000 services of other VMs.

    A leaving VM is in no service set (``[]``) but still serves.
    """
    pools, sets = {}, {"stock": ["vm-0"], "bookings": ["vm-1"]}
    for name in sets:
        pools[name] = mock.MagicMock(listed={})
        pools[name].name = name
        pools[name].tracker.collect_draining_verdicts.return_value = []
    service_pools = mock.MagicMock(trackers={})
    service_pools.__iter__.side_effect = lambda: iter(pools.values())
    identity = mock.Mock(vm="vm-0", zone="z0")
    policy = mock.Mock(get_service_set=sets.get)
    dependencies = {"clock": ManualClock(), "record_event": mock.Mock()}
    parts = (mock.MagicMock(), mock.MagicMock(), mock.MagicMock())
    monitor = ServerMonitor(identity, service_pools, policy, *parts, **dependencies)
    monitor.advance()
    sets["stock"] = []
    monitor.invalidate()
    monitor.advance()
    counts = [pool.tracker.advance.call_count for pool in pools.values()]
    assert counts == [2, 0]

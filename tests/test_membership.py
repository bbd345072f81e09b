"""Failure detection of a fleet of 44 under crashes, partitions, pauses and loss."""

import attrs
import pytest

from lavendermast.codec import Envelope
from lavendermast.members import MAX_DEAD_MEMBERS, STATE_RANKS
from lavendermast.messages_model import MemberUpdate, Piggyback, Ping, Verdict
from tests.memory_network import Fleet

SIZE = 44


def get_states(fleet, vm):
    return {
        m.get_member(vm).state
        for m in fleet.members.values()
        if m.local_member.vm != vm
    }


def find_member_events(fleet, states=("suspect", "dead")):
    return [e for e in fleet.events if e[3].get("state") in states]


def assert_all_alive(fleet):
    for membership in fleet.members.values():
        states = {u.vm: u.state for u in membership.get_members()}
        assert states == dict.fromkeys(fleet.members, "alive"), (
            membership.local_member.vm
        )


def get_index(address):
    return int(address.split(":")[0].split(".")[3])


def join(fleet, index, vm=None):
    coordination = fleet.start(index, vm)
    coordination.gossip.sync(fleet.members["vm-1"].local_member.peer_address)
    coordination.set_state("alive")
    return coordination.membership


def test_healthy_fleet_marks_no_vm_suspect():
    fleet = Fleet(SIZE)
    fleet.run(30)
    assert not find_member_events(fleet)


@pytest.mark.parametrize("seed", range(4))
def test_crashed_vm_is_suspect_on_all_vms_in_time_and_dead_later(seed):
    fleet = Fleet(SIZE, seed, loss=0.01)
    fleet.run(5 + seed / 7)
    fleet.kill("vm-7")
    fleet.run(2.5)
    assert get_states(fleet, "vm-7") <= {"suspect", "dead"}
    fleet.run(8)
    assert get_states(fleet, "vm-7") == {"dead"}


def test_one_way_partition_between_two_vms_marks_no_vm_suspect():
    """Guards against relying on one path: helpers in other zones reach the target."""
    fleet = Fleet(SIZE)
    monitor = fleet.members["vm-3"]
    target = monitor.get_successors()[0]
    pair = (monitor.local_member.peer_address, target.peer_address)
    for rule in (pair, pair[::-1]):
        fleet.block_rules[:] = [lambda *path, rule=rule: path == rule]
        fleet.run(20)
        assert not find_member_events(fleet)


def test_one_way_partition_between_two_zones_marks_no_vm_suspect():
    """Guards against choosing only helpers in these two zones, which fail as well."""
    fleet = Fleet(SIZE)
    fleet.block_rules.append(
        lambda a, b: get_index(a) % 6 == 0 and get_index(b) % 6 == 1  # zone-0, zone-1
    )
    fleet.run(40)
    assert not find_member_events(fleet)


@pytest.mark.parametrize("seconds", [0.3, 0.7, 1.2, 1.9, 2.2, 5, 30])
def test_paused_vm_suspects_no_vm_and_rejoins(seconds):
    """Guards against delayed timers that expire before queued acks are read."""
    fleet = Fleet(SIZE)
    membership, detector = fleet.members["vm-5"], fleet.vms["vm-5"].detector
    pair = (
        membership.local_member.peer_address,
        membership.get_successors()[0].peer_address,
    )
    fleet.block_rules.append(lambda *path: path == pair)
    fleet.run(3)
    while not any(pending.indirect for pending in detector._pending_pings.values()):
        fleet.run(0.01)
    fleet.pause("vm-5", seconds)
    fleet.run(12)
    assert {e[3]["member"] for e in find_member_events(fleet)} <= {"vm-5"}
    assert_all_alive(fleet)


def test_resumed_vm_suspects_no_vm_while_its_network_recovers():
    fleet = Fleet(SIZE)
    fleet.run(3)
    fleet.pause("vm-5", 30)
    address = fleet.members["vm-5"].local_member.peer_address
    fleet.block_rules.append(lambda source, target: target == address)
    fleet.run(1.3)
    fleet.block_rules.clear()
    fleet.run(5)
    assert {e[3]["member"] for e in find_member_events(fleet)} == {"vm-5"}


def test_restarted_vm_replaces_its_previous_boot():
    """Guards against applying late updates about a boot that no longer exists."""
    fleet = Fleet(SIZE)
    fleet.run(2)
    old = fleet.kill("vm-9")
    fleet.run(1)
    new = join(fleet, 9)
    fleet.run(3)
    late = attrs.evolve(old.local_member, incarnation=9, state="dead")
    for membership in fleet.members.values():
        membership.merge([late])
        assert membership.get_member("vm-9").boot_id == new.local_member.boot_id
    assert_all_alive(fleet)


def test_new_name_at_the_same_address_replaces_the_old_vm():
    fleet = Fleet(SIZE)
    fleet.run(2)
    fleet.kill("vm-9")
    join(fleet, 9, "vm-new")
    fleet.run(3)
    assert fleet.members["vm-new"].get_member("vm-9") is None
    assert get_states(fleet, "vm-new") == {"alive"}
    fleet.vms.pop("vm-new")
    assert get_states(fleet, "vm-9") == {"dead"}


def test_newer_boot_with_a_slower_clock_is_not_ignored():
    """Guards against ignoring a replacement on a host whose clock is behind."""
    fleet = Fleet(8)
    fleet.run(2)
    old = fleet.kill("vm-2")
    fleet.clock._epoch -= 60
    new = join(fleet, 2)
    assert new.local_member.boot_time > old.local_member.boot_time
    fleet.run(5)
    assert_all_alive(fleet)


@pytest.mark.parametrize("seconds", [4, 15])
def test_parts_of_a_partition_merge_after_healing(seconds):
    fleet = Fleet(SIZE)
    fleet.run(2)
    fleet.block_rules.append(lambda a, b: get_index(a) % 3 != get_index(b) % 3)
    fleet.run(seconds)
    fleet.block_rules.clear()
    fleet.run(20)
    assert_all_alive(fleet)


def test_healing_a_partition_marks_no_live_vm_suspect():
    """Guards the table merge: each part holds the VMs of the other part as dead."""
    fleet = Fleet(SIZE)
    fleet.run(2)
    fleet.block_rules.append(lambda a, b: get_index(a) % 3 != get_index(b) % 3)
    fleet.run(15)
    assert {m.size for m in fleet.members.values()} == {14, 15}
    fleet.block_rules.clear()
    fleet.events.clear()
    fleet.run(20)
    assert not find_member_events(fleet)


def test_leaving_vm_becomes_dead_without_suspicion():
    fleet = Fleet(SIZE)
    fleet.run(2)
    fleet.vms["vm-4"].set_state("leaving")
    fleet.run(10)
    assert get_states(fleet, "vm-4") == {"leaving"}
    fleet.kill("vm-4")
    fleet.run(10)
    assert get_states(fleet, "vm-4") == {"dead"}
    assert not find_member_events(fleet, ("suspect",))


def test_number_of_dead_members_is_bounded():
    membership = Fleet(2).members["vm-0"]
    for index in range(2 * MAX_DEAD_MEMBERS):
        update = MemberUpdate(f"x{index}", index + 1, 5, 0, "alive")
        update = attrs.evolve(update, peer_address=f"10.1.{index}:1")
        membership.merge([update, attrs.evolve(update, boot_id=index + 2)])
        membership.merge([attrs.evolve(update, boot_id=index + 3, state="dead")])
    assert membership.get_dead_count() == MAX_DEAD_MEMBERS
    assert len(membership.get_members(STATE_RANKS)) == MAX_DEAD_MEMBERS + 2


def test_messages_of_a_vm_do_not_grow_with_the_fleet():
    """Guards against traffic per member: only 3 successors and one other are pinged."""
    for size in (16, 64):
        fleet = Fleet(size)
        fleet.run(10)
        sent = [t.counts.messages.total() for t in fleet.transports.values()]
        assert sum(sent) <= size * 21 * 8  # 4 pings and 4 acks, 20 periods and a part


def test_frames_of_unknown_senders_are_dropped_except_introductions():
    fleet = Fleet(4)
    membership = fleet.members["vm-0"]
    update = MemberUpdate("new", 5, 1, 0, "starting", peer_address="10.9.9.9:1")
    ping = Ping(1)
    unknown = Envelope("new", 5, 0, ping)
    assert membership.find_drop_reason(unknown, "10.9.9.9:1") == "unknown_sender"
    introduction = Ping(1, Piggyback(updates=(update,)))
    assert (
        membership.find_drop_reason(Envelope("new", 5, 0, introduction), "x:1") is None
    )
    assert membership.find_drop_reason(Envelope("new", 6, 0, introduction), "x:1")
    membership.set_listed({"new": "10.9.9.9:1"})
    assert membership.find_drop_reason(unknown, "10.9.9.9:1") is None
    assert (
        membership.find_drop_reason(Envelope("vm-1", 1, 0, ping), "") == "unknown_boot"
    )


def test_outdated_update_is_ignored_and_its_sender_corrected():
    fleet = Fleet(3)
    fleet.run(11)  # until the VMs no longer introduce themselves
    first, second = fleet.members["vm-0"], fleet.members["vm-1"]
    outdated = attrs.evolve(second.local_member, state="suspect")
    current = second.raise_incarnation("test")
    first.merge([current])
    gossip = fleet.vms["vm-2"].gossip
    gossip.announce([outdated])
    assert first.merge([outdated]).corrections == [current]
    fleet.vms["vm-2"].membership.merge([outdated])
    fleet.run(0.1)
    for membership in fleet.members.values():
        assert membership.get_member("vm-1").state == "alive"


@pytest.mark.parametrize("limited", [True, False])
def test_verdict_reaches_only_its_service_set(limited):
    """Guards against every VM of a large fleet relaying every verdict."""
    fleet, seen = Fleet(12), []
    fleet.run(1)
    members = [m for m in fleet.members["vm-0"].get_members() if m.vm != "vm-0"][:4]
    for vm, coordination in fleet.vms.items():
        coordination.gossip.get_recipients = lambda verdict: (
            members if limited else None
        )
        coordination.gossip.on_verdict = lambda verdict, vm=vm: seen.append(vm)
    verdict = Verdict("stock", "s1", "sick", 0.9, "vm-0", 10, 2**40)
    fleet.vms["vm-0"].gossip.announce(verdicts=[verdict])
    fleet.run(5)
    wanted = {m.vm for m in members} if limited else set(fleet.vms) - {"vm-0"}
    assert set(seen) - {"vm-0"} == wanted

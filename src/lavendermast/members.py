"""Member table: updates by VM, the hash ring and random selection of members."""

import bisect
import collections

import attrs
import xxhash

from lavendermast.messages_model import MemberUpdate

#: Precedence of the states of one incarnation; the highest rank wins.
STATE_RANKS = {"starting": 0, "alive": 1, "suspect": 2, "leaving": 3, "dead": 4}
LIVE_STATES = ("starting", "alive", "suspect", "leaving")
#: Successors that a VM monitors, and helpers that it asks for an indirect ping.
MONITOR_COUNT = 3
#: Suspects do not count towards :data:`MONITOR_COUNT`; this bounds the pings of a VM
#: when a whole region is suspect.
MAX_SUCCESSORS = 12
#: Dead members are kept so that late updates about them are recognized as old;
#: 1,000 covers two hours of replacements at 11,000 a day.
MAX_DEAD_MEMBERS = 1_000
#: Members drawn at random, from which suspects and excluded VMs are then removed.
SAMPLE_SIZE = 40


def get_precedence(update):
    """
    Return the sort key of an update; the highest one about a VM wins.

    >>> first = MemberUpdate(boot_time=1, incarnation=1, state="suspect")
    >>> get_precedence(first) < get_precedence(
    ...     attrs.evolve(first, incarnation=2, state="alive")
    ... )
    True
    """
    rank = STATE_RANKS[update.state]
    return (update.boot_time, update.boot_id, update.incarnation, rank)


@attrs.define
class Member:
    """
    Table entry of another VM.

    :param deadline: monotonic time at which it is marked dead, or ``None``.
    """

    update: MemberUpdate
    deadline: float | None = None


class MemberTable:
    """
    The members known to one VM, by name, by address and on the hash ring.

    :param local_member: initial update about this VM.
    """

    def __init__(self, local_member, clock, random):
        self.local_member = local_member
        self._clock = clock
        self._random = random
        self._members = {}
        self._dead = collections.OrderedDict()
        self._vms_with_deadline = {}
        self._addresses = {local_member.peer_address: local_member.vm}
        self._ring = [(self._hash(local_member.vm), local_member.vm)]
        self._digest = self._hash_update(local_member)

    @property
    def digest(self):
        """
        Digest of name, boot id and incarnation of all live members.

        States are not included.
        """
        return self._digest.to_bytes(8, "big")

    @property
    def size(self):
        """Number of live members, this VM included."""
        return len(self._ring)

    def get_member(self, vm):
        """Return the last update about a VM, or ``None``."""
        if vm == self.local_member.vm:
            return self.local_member
        member = self._members.get(vm)
        return member and member.update

    def get_members(self, states=LIVE_STATES):
        """Return the updates of all VMs in the given states, this VM included."""
        updates = [
            self.local_member,
            *(member.update for member in self._members.values()),
        ]
        return [update for update in updates if update.state in states]

    def get_dead_count(self):
        """Return the number of dead members that are kept."""
        return len(self._dead)

    def get_successors(self):
        """Return the updates of the VMs that this VM monitors."""
        start = bisect.bisect(
            self._ring, (self._hash(self.local_member.vm), self.local_member.vm)
        )
        chosen, counted = [], 0
        for offset in range(min(len(self._ring) - 1, MAX_SUCCESSORS)):
            update = self._get_ring_member((start + offset) % len(self._ring))
            if update.vm == self.local_member.vm:
                break
            chosen.append(update)
            counted += update.state != "suspect"
            if counted == MONITOR_COUNT:
                break
        return chosen

    def pick_members(self, count, exclude=()):
        """Return up to ``count`` random members that are not suspect."""
        return self._sample_members(exclude)[:count]

    def pick_nearby_member(self, exclude=()):
        """Return a random member; 80% of the calls prefer the zone of this VM."""
        sample = self._sample_members(exclude)
        if self._random.random() < 0.8:
            sample.sort(key=lambda update: update.zone != self.local_member.zone)
        return sample[0] if sample else None

    def pick_helpers(self, target):
        """Return members for an indirect ping, each in a different zone if possible."""
        used_zones = {self.local_member.zone, target.zone}
        sample = self._sample_members((target.vm,))
        chosen = []
        for update in sample:
            if update.zone not in used_zones:
                used_zones.add(update.zone)
                chosen.append(update)
        near_zones = (self.local_member.zone, target.zone)
        rest = [update for update in sample if update not in chosen]
        rest.sort(key=lambda update: update.zone in near_zones)
        return (chosen + rest)[:MONITOR_COUNT]

    def _sample_members(self, exclude):
        indices = range(len(self._ring))
        picked = self._random.sample(indices, min(len(indices), SAMPLE_SIZE))
        updates = [self._get_ring_member(index) for index in picked]
        return [
            update
            for update in updates
            if update.state != "suspect"
            and update.vm != self.local_member.vm
            and update.vm not in exclude
        ]

    def _get_ring_member(self, index):
        return self.get_member(self._ring[index][1])

    def _store(self, update):
        """Replace the stored update of another VM."""
        previous = self.get_member(update.vm)
        if previous and previous.state != "dead":
            self._remove_live(previous)
        member = Member(update)
        self._members[update.vm] = member
        self._vms_with_deadline.pop(update.vm, None)
        self._dead.pop(update.vm, None)
        if update.state == "dead":
            self._dead[update.vm] = True
            self._drop_oldest_dead()
            return member
        bisect.insort(self._ring, (self._hash(update.vm), update.vm))
        self._digest ^= self._hash_update(update)
        return member

    def _remove_live(self, update):
        index = bisect.bisect_left(self._ring, (self._hash(update.vm), update.vm))
        del self._ring[index]
        self._digest ^= self._hash_update(update)

    def _drop_oldest_dead(self):
        while len(self._dead) > MAX_DEAD_MEMBERS:
            vm, _ = self._dead.popitem(last=False)
            update = self._members.pop(vm).update
            if self._addresses.get(update.peer_address) == vm:
                del self._addresses[update.peer_address]

    def _set_deadline(self, vm, member, seconds):
        member.deadline = self._clock.monotonic() + seconds
        self._vms_with_deadline[vm] = True

    @staticmethod
    def _hash(vm):
        return xxhash.xxh64_intdigest(vm.encode())

    @staticmethod
    def _hash_update(update):
        text = f"{update.vm}\x00{update.boot_id}\x00{update.incarnation}"
        return xxhash.xxh64_intdigest(text.encode())

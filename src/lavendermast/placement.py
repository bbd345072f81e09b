"""Chooses the set of VMs that serves a service."""

import collections

from lavendermast.hashing import compute_score, rank_members

#: VMs taken from each zone before the rest of the ranking.
MIN_VMS_PER_ZONE = 2


def choose_service_set(service, members, size):
    """
    Return the names of the VMs that serve a service.

    :param members: objects with ``vm`` and ``zone``.
    :param size: number of VMs wanted; all members when there are no more.
    :return: a list in rendezvous order.
    """
    zones = {member.vm: member.zone for member in members}
    ranked = rank_members(service, zones)
    if len(ranked) <= size:
        return ranked
    taken = collections.Counter()
    chosen = set()
    for vm in ranked:
        if len(chosen) < size and taken[zones[vm]] < MIN_VMS_PER_ZONE:
            taken[zones[vm]] += 1
            chosen.add(vm)
    for vm in ranked:
        if len(chosen) >= size:
            break
        chosen.add(vm)
    return [vm for vm in ranked if vm in chosen]


class ServiceSets:
    """
    Keeps the sets of services and changes only those that a member change affects.

    :param get_members: callable that returns the current members.
    """

    def __init__(self, get_members):
        self._get_members = get_members
        self._sets = {}

    def get_set(self, service, size):
        """Return the VM names that serve a service."""
        found = self._sets.get((service, size))
        if found is None:
            members = self._get_members()
            found = ServiceSet.choose(service, members, size)
            self._sets[service, size] = found
        return found.names

    def remove(self, vm):
        """Forget the sets with a VM that serves no longer."""
        self._sets = {
            key: item for key, item in self._sets.items() if vm not in item.zones
        }

    def add(self, member):
        """Take a member into the sets among whose VMs it ranks."""
        for (service, size), item in list(self._sets.items()):
            if item.takes(service, member, size):
                members = [Place(vm, zone) for vm, zone in item.zones.items()]
                found = ServiceSet.choose(service, [*members, member], size)
                self._sets[service, size] = found


Place = collections.namedtuple("Place", "vm zone")


class ServiceSet:
    """
    The VMs of one service.

    :param names: VM names in rendezvous order.
    :param zones: their zones by VM name.
    """

    def __init__(self, service, names, zones):
        self.names = names
        self.zones = zones
        self._per_zone = collections.Counter(zones.values())
        self._lowest = min((compute_score(service, vm) for vm in names), default=0)

    @classmethod
    def choose(cls, service, members, size):
        """Return the set of a service among members."""
        names = choose_service_set(service, members, size)
        zones = {member.vm: member.zone for member in members}
        return cls(service, names, {vm: zones[vm] for vm in names})

    def takes(self, service, member, size):
        """Return whether a new member may enter the set, or changed its zone."""
        if len(self.names) < size or member.vm in self.zones:
            return True
        if self._per_zone[member.zone] < MIN_VMS_PER_ZONE:
            return True
        return compute_score(service, member.vm) >= self._lowest

"""Chooses the set of VMs that serves a service."""

import collections

from lavendermast.hashing import compute_score, rank_members

#: VMs selected from each zone before the rest is filled in ranking order.
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
    Caches the VM sets of services; a member change updates only the affected ones.

    :param get_members: callable that returns the current members.
    """

    def __init__(self, get_members):
        self._get_members = get_members
        self._sets = {}

    def get_set(self, service, size):
        """Return the VM names that serve a service."""
        service_set = self._sets.get((service, size))
        if service_set is None:
            members = self._get_members()
            service_set = ServiceSet.choose(service, members, size)
            self._sets[service, size] = service_set
        return service_set.names

    def remove(self, vm):
        """Discard the sets that contain a VM which no longer serves."""
        self._sets = {
            key: item for key, item in self._sets.items() if vm not in item.zones
        }

    def add(self, member):
        """Add a member to the sets in which its rank or zone places it."""
        for (service, size), item in list(self._sets.items()):
            if item.may_be_affected_by(service, member, size):
                members = [Place(vm, zone) for vm, zone in item.zones.items()]
                service_set = ServiceSet.choose(service, [*members, member], size)
                self._sets[service, size] = service_set


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
        self._lowest_score = min(
            (compute_score(service, vm) for vm in names), default=0
        )

    @classmethod
    def choose(cls, service, members, size):
        """Select the set of a service from the given members."""
        names = choose_service_set(service, members, size)
        zones = {member.vm: member.zone for member in members}
        return cls(service, names, {vm: zones[vm] for vm in names})

    def may_be_affected_by(self, service, member, size):
        """Return whether a new or changed member may alter the set."""
        if len(self.names) < size or member.vm in self.zones:
            return True
        if self._per_zone[member.zone] < MIN_VMS_PER_ZONE:
            return True
        return compute_score(service, member.vm) >= self._lowest_score

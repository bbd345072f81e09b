"""Chooses the set of VMs that serves a service."""

import collections

from lavendermast.hashing import rank_members

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
    Caches the sets of services while the membership stays the same.

    :param get_members: callable that returns the current members.
    """

    def __init__(self, get_members):
        self._get_members = get_members
        self._sets = {}

    def invalidate(self):
        """Forget all sets after a change of membership."""
        self._sets.clear()

    def get_set(self, service, size):
        """Return the VM names that serve a service."""
        found = self._sets.get((service, size))
        if found is None:
            found = choose_service_set(service, self._get_members(), size)
            self._sets[service, size] = found
        return found

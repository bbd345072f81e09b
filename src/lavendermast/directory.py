"""Chooses the VMs that a caller's look-up at the directory names."""

#: Longest time for which a look-up waits for a VM that is ready. Callers give up on a
#: VM after 1 s and ask the next one; the rest is for the way and for a busy VM.
MAX_WAIT_S = 0.5
CHECK_INTERVAL_S = 0.05
#: VMs that are named in place of those that refuse requests with keys.
MAX_VMS = 4


class Directory:
    """
    Finds the VMs nearest to a caller.

    Callers ask three VMs, one second each. A VM that starts knows others after its
    first contact with a seed, so it waits for that rather than fail, and without any VM
    that is ready it names those that are about to be. Only a VM that is leaving and
    knows no other has no answer.

    Designed for look-ups about every second from each of some thousand callers.

    :param regions: mapping of zone to region.
    """

    def __init__(self, fleet, regions, clock):
        self._fleet = fleet
        self._regions = regions
        self._clock = clock

    def resolve(self, region, zone):
        """Return the VMs to name to a caller, in vain after ``MAX_WAIT_S``."""
        deadline = self._clock.monotonic() + MAX_WAIT_S
        while True:
            vms = self._find_nearest(self._fleet.get_active, region, zone)
            is_starting = self._fleet.local_vm.state == "starting"
            if vms or not is_starting or self._clock.monotonic() >= deadline:
                break
            self._clock.sleep(CHECK_INTERVAL_S)
        vms = vms or self._find_nearest(self._fleet.get_starting, region, zone)
        return self._replace_fenced(vms, region, zone)

    def _replace_fenced(self, vms, region, zone):
        """
        Return VMs without those that refuse requests with keys.

        Callers choose one of the VMs at random, so these are named only if all VMs of
        the region refuse.
        """
        zones = [zone, *(z for z, r in self._regions.items() if r == region)]
        candidates = [vms, *(self._fleet.get_ready(near) for near in zones)]
        for group in candidates:
            usable = [vm for vm in group if not vm.fenced]
            if usable:
                return usable[:MAX_VMS] if group is not vms else usable
        return vms

    def _find_nearest(self, get_vms, region, zone):
        """Return the VMs of the zone, else of its region, else of all zones."""
        near = [z for z, r in self._regions.items() if r == region and z != zone]
        for zones in ([zone], near, self._regions):
            vms = [vm for z in zones for vm in get_vms(z)]
            if vms:
                return vms
        return []

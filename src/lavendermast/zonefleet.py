"""
Membership of entry VMs.

Heartbeats go through a few hubs per zone, without a configured list of VMs.
"""

import math

import attrs

from lavendermast.messages_model import Presence, VmPresence
from lavendermast.peers import UNKNOWN_SCOPE

#: Interval of heartbeats within a zone.
HEARTBEAT_INTERVAL_S = 0.4
#: A VM of this zone is removed after this time without a heartbeat: four intervals.
ZONE_TIMEOUT_S = 1.6
#: A VM with rarer updates is removed after this many intervals without one.
MAX_MISSED_INTERVALS = 2.5
#: In a zone with more VMs than fit a datagram, those that neither serve callers nor
#: carry heartbeats send one in this many rounds.
IDLE_HEARTBEAT_ROUNDS = 3
#: Hubs list these VMs to such a zone in one of this many lists only. The three hubs
#: together then list them about every IDLE_LIST_INTERVAL_S. Beyond this number of VMs
#: both grow with the zone, because the length of a list and its receivers do.
IDLE_LIST_TURNS = 8
IDLE_LIST_INTERVAL_S = 4.0
MAX_VMS_PER_IDLE_TURNS = 32
#: VMs that are next to become active are listed like active ones.
STANDBY_VMS = 2
#: Interval of summaries between zones, which cross paid links.
SUMMARY_INTERVAL_S = 1.5
#: A VM of another zone is removed after this time without an update on it: four
#: summary intervals.
REMOTE_ZONE_TIMEOUT_S = 6.0
#: VMs read the store themselves 2.6 s after the last heartbeat of those that read it
#: for them; that is six rounds.
MAX_ROUNDS_WITHOUT_READER = 6
#: Interval at which each of the first three hubs forwards summaries to its zone.
REMOTE_LIST_INTERVAL_S = 3.0
#: VMs of a zone that receive the heartbeats of all others in it.
HUBS_PER_ZONE = 3
#: In a zone with more VMs than this for each hub there are more hubs, because they
#: share the sending of lists. The first ``HUBS_PER_ZONE`` stand in for the reader.
MAX_VMS_PER_HUB = 10
#: Number of the largest VMs of a zone that are listed to other zones.
MAX_SUMMARY_VMS = 4
#: Each VM takes up to 110 bytes of a datagram of 1,400.
MAX_VMS_PER_DATAGRAM = 10
#: Interval at which one seed is contacted, so that a partitioned fleet reunites.
SEED_INTERVAL_S = 5.0
#: A VM that knows this share of the VMs that a seed would list gets a short reply.
KNOWN_SHARE = 0.8
MAX_KNOWN_VMS = 2**16 - 1
#: A VM that has just started and heard of no other contacts the seeds at this interval,
#: because the seeds of a fleet that starts are not up at once.
START_INTERVAL_S = 0.1
MAX_START_ROUNDS = 10
#: Requests per second and core above which one more VM becomes active; about a tenth
#: of what a VM can forward, since load spikes build up within a second.
TARGET_RATE_PER_CORE = 30.0
#: Time constant with which the rate of a zone falls: callers that have moved away may
#: be back soon, and VMs that alternate between active and inactive get them in turns.
RATE_FALL_TIME_S = 3.5
#: Minimum number of active VMs of a zone.
MIN_ACTIVE_VMS = 2


@attrs.define(eq=False)
class FleetVm:
    """
    Another VM and its last known state.

    :param last_seen_at: monotonic time of its latest heartbeat.
    :param interval_s: interval of the updates on it.
    :param rate: callers' requests per second.
    :param cores: CPU capacity, in cores of standard speed.
    :param fenced: whether it refuses requests with keys.
    :param capacity: requests per second if the link of the VM limits them, else 0.
    :param last_presence: the latest ``Presence`` received from the VM itself, ``None``
        if only other VMs reported it.
    :param last_presence_at: monotonic time at which ``last_presence`` was received.
    """

    vm: str
    zone: str
    peer_address: str
    boot_id: int
    state: str
    last_seen_at: float
    rate: float = 0.0
    cores: float = 1.0
    interval_s: float = 0.0
    fenced: bool = False
    capacity: float = 0.0
    last_presence: Presence | None = None
    last_presence_at: float = 0.0


class ZoneFleet:
    """
    Tracks the live VMs of the fleet.

    The first VMs of a zone by name are its hubs, three or more: all VMs of the zone
    send heartbeats to them, and the hubs take turns in sending the list of members to
    the zone. The first hub sends summaries to other zones. All of these are
    ``Presence`` messages.

    In a large zone the VMs that serve no callers send fewer heartbeats and are listed
    less often, so that the cost of an idle VM does not grow with the zone.

    :param settings: settings of this entry VM.
    :param network: a :class:`~lavendermast.peers.PeerTransport`.
    :param get_store_state: callable that returns what
        :meth:`CatalogSync.get_store_state` does.
    :param get_rate: callable that returns this VM's requests per second.
    :param regions: mapping of zone to region.
    """

    def __init__(
        self,
        settings,
        boot_id,
        network,
        clock,
        record_event,
        get_store_state,
        get_rate,
        regions=None,
    ):
        self.seeds = settings.seeds
        self._network = network
        self._clock = clock
        self._record_event = record_event
        self._get_store_state = get_store_state
        self._get_rate = get_rate
        self.is_fenced = lambda: False
        self.local_vm = VmPresence(
            settings.vm,
            settings.zone,
            settings.peer_address,
            boot_id,
            "starting",
            cores=settings.cpu_share * settings.cpu_speed,
        )
        self.regions = regions or {}
        self.vms = {}
        self._zones_by_address = {}
        self._peak_rates = {}
        self.on_presence = []
        self._next_summary = 0.0
        self._next_seed = 0.0
        self._next_remote_list = 0.0
        self._seed_index = 0
        self._rounds = 0
        self._list_turns = 0
        self._prompt_names = set()
        network.boot_id = boot_id
        network.find_scope = self.find_scope
        network.register(Presence, self._handle_presence)

    def run(self):
        """Send heartbeats until the task is killed."""
        while True:
            self.send_heartbeats()
            is_searching = not self.vms and self._rounds <= MAX_START_ROUNDS
            self._clock.sleep(
                START_INTERVAL_S if is_searching else HEARTBEAT_INTERVAL_S
            )

    def set_state(self, state):
        """
        Set the state of this VM and send it to the zone immediately.

        Other zones hear of a VM that leaves at once too: their summaries would go on to
        name it until it times out.
        """
        self.local_vm = attrs.evolve(self.local_vm, state=state)
        vms = [
            vm
            for vm in self.vms.values()
            if vm.zone == self.local_vm.zone or state == "leaving"
        ]
        self._send([vm.peer_address for vm in vms], ())

    def set_link_capacity(self, capacity):
        """Set the requests per second that the link of this VM carries."""
        is_limit = capacity < TARGET_RATE_PER_CORE * self.local_vm.cores
        capacity = round(capacity, 1) if is_limit else 0.0
        if capacity != self.local_vm.capacity:
            self._record_event("capacity", requests_per_s=capacity or None)
            self.local_vm = attrs.evolve(self.local_vm, capacity=capacity)

    def send_heartbeats(self):
        """Run one heartbeat round: expire VMs and send the heartbeats that are due."""
        now = self._clock.monotonic()
        self._remove_timed_out(now)
        zone_names = self.get_vm_names()
        hubs = _choose_hubs(zone_names)
        self._rounds += 1
        # The hubs take turns, so that each VM of the zone gets one list per round.
        sends_list = self.local_vm.vm in hubs and hubs.index(self.local_vm.vm) == (
            self._rounds % len(hubs)
        )
        idle = self._is_large(zone_names) and self.local_vm.vm not in (
            self._find_prompt_names(hubs)
        )
        if not idle or self._rounds % IDLE_HEARTBEAT_ROUNDS == 0:
            interval_s = IDLE_HEARTBEAT_ROUNDS * HEARTBEAT_INTERVAL_S if idle else 0.0
            self.local_vm = attrs.evolve(
                self.local_vm, interval_ms=round(interval_s * 1000)
            )
            # All VMs of the zone need to hear in time of those that read the store for
            # them, also where each hub sends its list rarely.
            first_hub = zone_names[self._rounds % HUBS_PER_ZONE : HUBS_PER_ZONE][:1]
            is_announced = len(hubs) > MAX_ROUNDS_WITHOUT_READER and (
                self.local_vm.vm in first_hub
            )
            names = zone_names if sends_list or is_announced else hubs
            addresses = [
                self.vms[name].peer_address for name in names if name in self.vms
            ]
            self._send(addresses, self._list_others(now, hubs) if sends_list else ())
        if zone_names[0] == self.local_vm.vm and now >= self._next_summary:
            self._next_summary = now + SUMMARY_INTERVAL_S
            self._send_summaries(now)
        alone = not self.vms
        if alone or now >= self._next_seed:
            self._next_seed = now + SEED_INTERVAL_S
            self._contact_seeds(all_seeds=alone)

    def find_scope(self, vm):
        """
        Return the scope of a VM: ``zone``, ``region``, ``other`` or ``unknown``.

        :param vm: name or peer address of the VM.
        """
        known = self.vms.get(vm)
        zone = known.zone if known is not None else self._zones_by_address.get(vm)
        return self.find_zone_scope(zone) if zone else UNKNOWN_SCOPE

    def find_zone_scope(self, zone):
        """Return the scope of what is in a zone: ``zone``, ``region`` or ``other``."""
        local_zone = self.local_vm.zone
        if zone == local_zone:
            return "zone"
        region = self.regions.get(zone)
        is_near = region is not None and region == self.regions.get(local_zone)
        return "region" if is_near else "other"

    def get_vm_names(self, zone=None):
        """
        Return the sorted names of a zone's live VMs, without those that are leaving.

        The list is never empty: without other names it holds this VM's, even if this VM
        is in another zone or leaving.
        """
        zone = zone or self.local_vm.zone
        names = [
            vm.vm
            for vm in self.vms.values()
            if vm.zone == zone and vm.state != "leaving"
        ]
        if zone == self.local_vm.zone and self.local_vm.state != "leaving":
            names.append(self.local_vm.vm)
        return sorted(names) or [self.local_vm.vm]

    def is_hub(self):
        """Return whether this VM stands in for the reader of its zone."""
        return self.local_vm.vm in self.get_vm_names()[:HUBS_PER_ZONE]

    def get_ready(self, zone):
        """Return the VMs of a zone that serve callers, by descending capacity."""
        ready = [
            vm for vm in self.vms.values() if vm.zone == zone and vm.state == "alive"
        ]
        if zone == self.local_vm.zone and self.local_vm.state == "alive":
            ready.append(self.local_vm)
        return sorted(ready, key=_rank_by_capacity)

    def get_starting(self, zone):
        """Return the VMs of a zone that have no configuration yet."""
        vms = [*self.vms.values(), self.local_vm]
        return [vm for vm in vms if vm.zone == zone and vm.state == "starting"]

    def get_active(self, zone):
        """Return the VMs of a zone that callers are directed to."""
        ready = self.get_ready(zone)
        return ready[: self._count_active(zone, ready)]

    def count_inactive(self):
        """
        Return the number of inactive VMs of the zone, 0 if this VM is none of them.

        A VM that is starting or leaving counts as active.
        """
        ready = self.get_ready(self.local_vm.zone)
        inactive = ready[self._count_active(self.local_vm.zone, ready) :]
        return len(inactive) if self.local_vm in inactive else 0

    def get_peer_addresses(self, region_zones):
        """Return the peer addresses of the active VMs of zones, except this VM."""
        return [
            vm.peer_address
            for zone in region_zones
            for vm in self.get_active(zone)
            if vm.vm != self.local_vm.vm
        ]

    def _count_active(self, zone, ready):
        """Return how many VMs, largest first, the request rate of the zone requires."""
        rate = self._hold_rate(zone, sum(_get_weighted_rate(vm) for vm in ready))
        count, capacity = 0, 0.0
        for vm in ready:
            if count >= MIN_ACTIVE_VMS and rate <= capacity:
                break
            count += 1
            capacity += get_capacity(vm)
        return max(count, MIN_ACTIVE_VMS)

    def _hold_rate(self, zone, rate):
        """Return the rate of a zone, which counts at once as it rises, later falls."""
        now = self._clock.monotonic()
        peak, moment = self._peak_rates.get(zone, (0.0, now))
        held = peak * math.exp((moment - now) / RATE_FALL_TIME_S)
        if rate >= held:
            self._peak_rates[zone] = (rate, now)
        return max(rate, held)

    def _make_presence(self, reply_wanted=False, others=()):
        self.local_vm = attrs.evolve(
            self.local_vm, rate=self._get_rate(), fenced=self.is_fenced()
        )
        *store_state, era, confirmed_age_ms = self._get_store_state()
        return Presence(
            self.local_vm,
            tuple(others),
            *store_state,
            reply_wanted,
            era,
            confirmed_age_ms,
            min(len(self.vms), MAX_KNOWN_VMS) if reply_wanted else 0,
        )

    def _send(self, addresses, others):
        """Send the presence of this VM and others in as few datagrams as possible."""
        for first in range(0, max(len(others), 1), MAX_VMS_PER_DATAGRAM):
            part = others[first : first + MAX_VMS_PER_DATAGRAM]
            self._network.broadcast(addresses, self._make_presence(others=part))

    def _is_large(self, zone_names):
        """Return whether a list of the zone does not fit a datagram."""
        return len(zone_names) > MAX_VMS_PER_DATAGRAM + 1

    def _find_prompt_names(self, hubs):
        """Return the names of the zone's VMs on which others need prompt updates."""
        ready = self.get_ready(self.local_vm.zone)
        count = self._count_active(self.local_vm.zone, ready) + STANDBY_VMS
        prompt = ready[:count]
        return {vm.vm for vm in prompt}.union(hubs)

    def _list_zone(self, now, hubs):
        """Return the VMs of this zone that a hub lists to it in this round."""
        vms = [vm for vm in self.vms.values() if vm.zone == self.local_vm.zone]
        if not self._is_large(vms):
            return [_make_vm_presence(vm, now) for vm in vms]
        prompt_names = self._find_prompt_names(hubs)
        # Receivers drop a VM soon after its last prompt update, so one that needs none
        # any more stays listed until they hear of its longer interval.
        self._prompt_names |= prompt_names
        self._list_turns += 1
        # Three or more hubs have about the same time between their long lists, because
        # their turns are rarer the more they are.
        turns = IDLE_LIST_TURNS * _get_idle_factor(len(vms)) * HUBS_PER_ZONE / len(hubs)
        if self._list_turns % max(round(turns), 1):
            vms = [
                vm
                for vm in vms
                if vm.vm in self._prompt_names or vm.state in ("starting", "leaving")
            ]
            return [_make_vm_presence(vm, now) for vm in vms]
        self._prompt_names = prompt_names
        return self._describe_vms(vms, now)

    def _describe_vms(self, vms, now):
        """Return VMs for a list that only the next long list repeats."""
        zone_names = self.get_vm_names()
        rarely_listed = set()
        idle_interval_s = IDLE_LIST_INTERVAL_S * _get_idle_factor(len(zone_names))
        if self._is_large(zone_names):
            prompt_names = self._find_prompt_names(_choose_hubs(zone_names))
            rarely_listed = set(zone_names) - prompt_names
        return [
            _make_vm_presence(vm, now, idle_interval_s * (vm.vm in rarely_listed))
            for vm in vms
        ]

    def _list_others(self, now, hubs):
        """Return the VMs that a hub lists to its zone in this round."""
        listed = self._list_zone(now, hubs)
        # Other hubs hear of other zones from these only, so their lists are older.
        if now >= self._next_remote_list and self.is_hub():
            self._next_remote_list = now + REMOTE_LIST_INTERVAL_S
            for other in self._get_other_zones():
                vms = self._choose_remote_vms(other)
                listed += [_make_vm_presence(vm, now) for vm in vms]
        listed += [
            _make_vm_presence(vm, now)
            for vm in self.vms.values()
            if vm.zone != self.local_vm.zone and vm.state == "leaving"
        ]
        return listed

    def _get_other_zones(self):
        return {vm.zone for vm in self.vms.values()} - {self.local_vm.zone}

    def _send_summaries(self, now):
        ready = [
            vm for vm in self.get_ready(self.local_vm.zone) if vm is not self.local_vm
        ]
        others = [_make_vm_presence(vm, now) for vm in ready[:MAX_SUMMARY_VMS]]
        addresses = []
        for zone in self._get_other_zones():
            names = [n for n in self.get_vm_names(zone) if n in self.vms]
            if names:
                name = names[int(now / SUMMARY_INTERVAL_S) % min(len(names), 2)]
                addresses.append(self.vms[name].peer_address)
        self._send(addresses, others)

    def get_other_seeds(self):
        """Return the addresses of the seeds without that of this VM."""
        return [s for s in self.seeds if s != self.local_vm.peer_address]

    def _contact_seeds(self, all_seeds):
        seeds = self.get_other_seeds()
        if not seeds:
            return
        self._seed_index += 1
        chosen = seeds if all_seeds else [seeds[self._seed_index % len(seeds)]]
        self._network.broadcast(chosen, self._make_presence(reply_wanted=True))

    def _handle_presence(self, envelope, address):
        presence = envelope.body
        now = self._clock.monotonic()
        known = self._merge(presence.own, now)
        if known is None:
            return
        known.last_presence, known.last_presence_at = presence, now
        for other in presence.others:
            if other.vm != self.local_vm.vm:
                self._merge(other, now)
        if presence.reply_wanted:
            others = self._describe_vms(self._choose_reply_vms(presence), now)
            self._send([presence.own.peer_address], others)
        for handler in self.on_presence:
            handler(presence)

    def _choose_reply_vms(self, presence):
        """
        Return the VMs to list to a requester: all of its zone and some of others.

        A requester that knows about as many already gets the hubs of its zone and the
        first VM of each other zone, through which parts of a fleet find each other.
        """
        requester = presence.own
        chosen, first = [], []
        for zone in {vm.zone for vm in self.vms.values()}:
            remote_vms = self._choose_remote_vms(zone)
            if zone == requester.zone:
                zone_vms = [vm for vm in self.vms.values() if vm.zone == zone]
                chosen += zone_vms
                first += sorted(zone_vms, key=lambda vm: vm.vm)[:HUBS_PER_ZONE]
            else:
                chosen += remote_vms
                first += remote_vms[:1]
        if presence.known_vms >= KNOWN_SHARE * len(chosen):
            chosen = first
        return [vm for vm in chosen if vm.vm != requester.vm]

    def _choose_remote_vms(self, zone):
        """
        Return the VMs that are listed to other zones.

        They are the first one by name, a hub, and the largest ones, to which callers
        are directed.
        """
        vms = [
            vm for vm in self.vms.values() if vm.zone == zone and vm.state != "leaving"
        ]
        first = sorted(vms, key=lambda vm: vm.vm)[:1]
        largest = sorted(vms, key=_rank_by_capacity)[:MAX_SUMMARY_VMS]
        return first + [vm for vm in largest if vm not in first]

    def _merge(self, presence, now):
        if presence.vm == self.local_vm.vm:
            return None
        last_seen_at = now - presence.age_ms / 1000
        known = self.vms.get(presence.vm)
        if known is not None:
            if last_seen_at <= known.last_seen_at:
                return known
            if known.boot_id == presence.boot_id and known.state == "leaving":
                presence = attrs.evolve(presence, state="leaving")
            if known.state != presence.state or known.boot_id != presence.boot_id:
                self._log_change(presence.vm, presence.zone, presence.state)
            known.last_seen_at = last_seen_at
            known.state, known.boot_id = presence.state, presence.boot_id
            if known.peer_address != presence.peer_address:
                self._zones_by_address.pop(known.peer_address, None)
                self._zones_by_address[presence.peer_address] = known.zone
            known.peer_address = presence.peer_address
            known.rate, known.cores = presence.rate, presence.cores
            known.capacity = presence.capacity
            known.interval_s = presence.interval_ms / 1000
            known.fenced = presence.fenced
            return known
        interval_s = presence.interval_ms / 1000
        if now - last_seen_at > self._get_timeout(presence.zone, interval_s):
            return None
        known = FleetVm(
            presence.vm,
            presence.zone,
            presence.peer_address,
            presence.boot_id,
            presence.state,
            last_seen_at,
            presence.rate,
            presence.cores,
            interval_s,
            presence.fenced,
            presence.capacity,
        )
        self.vms[presence.vm] = known
        self._zones_by_address[presence.peer_address] = presence.zone
        self._log_change(presence.vm, presence.zone, presence.state)
        return known

    def _remove_timed_out(self, now):
        for vm in list(self.vms.values()):
            age = now - vm.last_seen_at
            if age > self._get_timeout(vm.zone, vm.interval_s):
                del self.vms[vm.vm]
                self._zones_by_address.pop(vm.peer_address, None)
                self._log_change(vm.vm, vm.zone, "silent", round(age * 1000))

    def _get_timeout(self, zone, interval_s):
        if zone != self.local_vm.zone:
            return REMOTE_ZONE_TIMEOUT_S
        return max(ZONE_TIMEOUT_S, MAX_MISSED_INTERVALS * interval_s)

    def _log_change(self, vm, zone, state, age_ms=0):
        self._record_event(
            "member", member=vm, member_zone=zone, state=state, age_ms=age_ms
        )


def _rank_by_capacity(vm):
    """Return a sort key: VMs that serve callers first, the largest first."""
    # Peers send 32-bit floats, the settings hold 64-bit ones; rounding makes equal
    # sizes compare equal on all VMs.
    return vm.state != "alive", -round(get_capacity(vm), 1), vm.vm


def _choose_hubs(zone_names):
    """Return the VMs of a zone that carry its heartbeats, given its sorted names."""
    return zone_names[: max(HUBS_PER_ZONE, len(zone_names) // MAX_VMS_PER_HUB)]


def _get_idle_factor(vms):
    """Return by what factor idle VMs of a zone are listed less often for its size."""
    return max(vms / MAX_VMS_PER_IDLE_TURNS, 1.0)


def get_capacity(vm):
    """Return the requests per second that a VM is meant to serve."""
    return vm.capacity or TARGET_RATE_PER_CORE * vm.cores


def _get_weighted_rate(vm):
    """
    Return the rate of a VM, in which what its link cannot carry counts twice.

    Callers spread evenly, so a VM with a full link needs others beside it although
    larger ones have capacity left.
    """
    return vm.rate + max(vm.rate - vm.capacity, 0.0) if vm.capacity else vm.rate


def _make_vm_presence(vm, now, interval_s=0.0):
    """
    Return what this VM tells others of a VM.

    :param interval_s: interval at which this VM sends updates on it.
    """
    age_ms = max(0, round((now - vm.last_seen_at) * 1000))
    interval_s = max(interval_s, vm.interval_s)
    return VmPresence(
        vm.vm,
        vm.zone,
        vm.peer_address,
        vm.boot_id,
        vm.state,
        age_ms,
        vm.rate,
        vm.cores,
        round(interval_s * 1000),
        vm.fenced,
        vm.capacity,
    )

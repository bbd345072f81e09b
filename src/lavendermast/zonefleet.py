"""Membership of entry VMs without a list: zones know themselves through a few hubs."""

import attrs

from lavendermast.messages_model import Presence, VmPresence

#: Interval of the signs of life inside a zone, in seconds.
BEAT_S = 0.4
#: Silence after which a VM of the own zone counts as gone: four beats.
ZONE_SILENCE_S = 1.6
#: Interval of the summaries between zones, which cross paid links.
SUMMARY_S = 1.5
#: Silence after which a VM of another zone counts as gone: four summaries.
FAR_SILENCE_S = 6.0
#: Interval at which each hub passes the summaries on to its zone; three hubs do.
FAR_LIST_S = 3.0
#: VMs of a zone to which all others of it send their signs of life.
HUBS_PER_ZONE = 3
#: VMs of a zone that other zones are told of.
SUMMARY_VMS = 4
#: VMs that one datagram tells of: each takes up to 110 bytes of 1,400.
MAX_OTHERS = 10
#: Interval at which one seed is asked again, so that separated parts find each other.
SEED_INTERVAL_S = 5.0
#: Requests in a second that a VM takes for each core before another one is named;
#: about a tenth of what it could forward, since spikes come within a second.
TARGET_RATE = 30.0
MIN_ACTIVE = 2


@attrs.define(eq=False)
class FleetVm:
    """
    Another VM as this one knows it.

    :param heard_at: monotonic time of its last sign of life.
    :param rate: requests of callers in a second.
    :param cores: processor that it may use, in cores of the usual speed.
    :param told: its last own ``Presence``, or ``None`` if others told of it.
    """

    vm: str
    zone: str
    peer_address: str
    boot_id: int
    state: str
    heard_at: float
    rate: float = 0.0
    cores: float = 1.0
    told: Presence | None = None
    told_at: float = 0.0


class ZoneFleet:
    """
    Knows the live VMs.

    :param settings: settings of this entry VM.
    :param network: a :class:`~lavendermast.peers.PeerTransport`.
    :param describe: callable that returns ``(config_version, revision, reachable)``
        of this VM.
    :param get_rate: callable that returns its requests in a second.
    """

    def __init__(
        self, settings, boot_id, network, clock, record_event, describe, get_rate
    ):
        self.seeds = settings.seeds
        self._network = network
        self._clock = clock
        self._record_event = record_event
        self._describe = describe
        self._get_rate = get_rate
        self.own = VmPresence(
            settings.vm,
            settings.zone,
            settings.peer_address,
            boot_id,
            "starting",
            cores=settings.cpu_share * settings.cpu_speed,
        )
        self.vms = {}
        self.on_presence = []
        self._next_summary = 0.0
        self._next_seed = 0.0
        self._next_far = 0.0
        self._seed = 0
        self._beats = 0
        network.boot_id = boot_id
        network.register(Presence, self._handle_presence)

    def run(self):
        """Send signs of life until the task is killed."""
        while True:
            self.beat()
            self._clock.sleep(BEAT_S)

    def set_state(self, state):
        """Change the own state and tell it at once."""
        self.own = attrs.evolve(self.own, state=state)
        zone = [vm for vm in self.vms.values() if vm.zone == self.own.zone]
        self._send([vm.peer_address for vm in zone], ())

    def beat(self):
        """Send signs of life to those who need them now."""
        now = self._clock.monotonic()
        self._forget_silent(now)
        zone = self.get_zone_names()
        hubs = zone[:HUBS_PER_ZONE]
        self._beats += 1
        # The hubs take turns in telling the zone, so that it hears one list a beat.
        tells = self.own.vm in hubs and hubs.index(self.own.vm) == (
            self._beats % len(hubs)
        )
        names = zone if tells else hubs
        addresses = [self.vms[name].peer_address for name in names if name in self.vms]
        self._send(addresses, self._list_others(now) if tells else ())
        if zone[0] == self.own.vm and now >= self._next_summary:
            self._next_summary = now + SUMMARY_S
            self._send_summaries(now)
        alone = not self.vms
        if alone or now >= self._next_seed:
            self._next_seed = now + SEED_INTERVAL_S
            self._ask_seeds(all_seeds=alone)

    def get_zone_names(self, zone=None):
        """Return the live VMs of a zone in order, with the own one if it is there."""
        zone = zone or self.own.zone
        names = [
            vm.vm
            for vm in self.vms.values()
            if vm.zone == zone and vm.state != "leaving"
        ]
        if zone == self.own.zone and self.own.state != "leaving":
            names.append(self.own.vm)
        return sorted(names) or [self.own.vm]

    def get_ready(self, zone):
        """Return the VMs of a zone that serve callers, the largest first."""
        ready = [
            vm for vm in self.vms.values() if vm.zone == zone and vm.state == "alive"
        ]
        if zone == self.own.zone and self.own.state == "alive":
            ready.append(self.own)
        # Sizes come as 32-bit numbers from others and as 64-bit ones from the settings.
        return sorted(ready, key=lambda vm: (-round(vm.cores, 3), vm.vm))

    def get_active(self, zone):
        """Return the VMs of a zone that its callers are sent to."""
        ready = self.get_ready(zone)
        return ready[: self._count_active(ready)]

    def find_addressees(self, region_zones):
        """Return the peer addresses of the active VMs of some zones, without own."""
        return [
            vm.peer_address
            for zone in region_zones
            for vm in self.get_active(zone)
            if vm.vm != self.own.vm
        ]

    def _count_active(self, ready):
        """Return how many of the VMs, largest first, carry the zone's requests."""
        rate = sum(vm.rate for vm in ready)
        count, capacity = 0, 0.0
        for vm in ready:
            if count >= MIN_ACTIVE and rate <= capacity:
                break
            count += 1
            capacity += TARGET_RATE * vm.cores
        return max(count, MIN_ACTIVE)

    def _make_presence(self, reply_wanted=False, others=()):
        self.own = attrs.evolve(self.own, rate=self._get_rate())
        return Presence(self.own, tuple(others), *self._describe(), reply_wanted)

    def _send(self, addresses, others):
        """Send an own sign of life with others in as few datagrams as hold them."""
        for first in range(0, max(len(others), 1), MAX_OTHERS):
            part = others[first : first + MAX_OTHERS]
            self._network.broadcast(addresses, self._make_presence(others=part))

    def _list_others(self, now):
        """Return what a hub tells the VMs of its zone."""
        listed = [vm for vm in self.vms.values() if vm.zone == self.own.zone]
        if now >= self._next_far:
            self._next_far = now + FAR_LIST_S
            for other in self._get_other_zones():
                names = self.get_zone_names(other)[:SUMMARY_VMS]
                listed += [self.vms[name] for name in names if name in self.vms]
        return [_describe_vm(vm, now) for vm in listed]

    def _get_other_zones(self):
        return {vm.zone for vm in self.vms.values()} - {self.own.zone}

    def _send_summaries(self, now):
        ready = [vm for vm in self.get_ready(self.own.zone) if vm is not self.own]
        others = [_describe_vm(vm, now) for vm in ready[:SUMMARY_VMS]]
        addresses = []
        for zone in self._get_other_zones():
            names = [n for n in self.get_zone_names(zone) if n in self.vms]
            if names:
                name = names[int(now / SUMMARY_S) % min(len(names), 2)]
                addresses.append(self.vms[name].peer_address)
        self._send(addresses, others)

    def _ask_seeds(self, all_seeds):
        seeds = [s for s in self.seeds if s != self.own.peer_address]
        if not seeds:
            return
        self._seed += 1
        chosen = seeds if all_seeds else [seeds[self._seed % len(seeds)]]
        self._network.broadcast(chosen, self._make_presence(reply_wanted=True))

    def _handle_presence(self, envelope, address):
        presence = envelope.body
        now = self._clock.monotonic()
        known = self._merge(presence.own, now)
        if known is None:
            return
        known.told, known.told_at = presence, now
        for other in presence.others:
            if other.vm != self.own.vm:
                self._merge(other, now)
        if presence.reply_wanted:
            others = [_describe_vm(vm, now) for vm in self._choose_for(presence.own)]
            self._send([presence.own.peer_address], others)
        for handler in self.on_presence:
            handler(presence)

    def _choose_for(self, asking):
        """Return the VMs that a newcomer is told of: its zone and some of others."""
        chosen = []
        for zone in {vm.zone for vm in self.vms.values()}:
            vms = sorted(
                (vm for vm in self.vms.values() if vm.zone == zone),
                key=lambda vm: vm.vm,
            )
            chosen += vms if zone == asking.zone else vms[:SUMMARY_VMS]
        return [vm for vm in chosen if vm.vm != asking.vm]

    def _merge(self, presence, now):
        if presence.vm == self.own.vm:
            return None
        heard_at = now - presence.age_ms / 1000
        known = self.vms.get(presence.vm)
        if known is not None:
            if heard_at <= known.heard_at:
                return known
            if known.boot_id == presence.boot_id and known.state == "leaving":
                presence = attrs.evolve(presence, state="leaving")
            if known.state != presence.state or known.boot_id != presence.boot_id:
                self._log_change(presence.vm, presence.zone, presence.state)
            known.heard_at = heard_at
            known.state, known.boot_id = presence.state, presence.boot_id
            known.peer_address = presence.peer_address
            known.rate, known.cores = presence.rate, presence.cores
            return known
        if now - heard_at > self._get_silence(presence.zone):
            return None
        known = FleetVm(
            presence.vm,
            presence.zone,
            presence.peer_address,
            presence.boot_id,
            presence.state,
            heard_at,
            presence.rate,
            presence.cores,
        )
        self.vms[presence.vm] = known
        self._log_change(presence.vm, presence.zone, presence.state)
        return known

    def _forget_silent(self, now):
        for vm in list(self.vms.values()):
            age = now - vm.heard_at
            if age > self._get_silence(vm.zone):
                del self.vms[vm.vm]
                self._log_change(vm.vm, vm.zone, "silent", round(age * 1000))

    def _get_silence(self, zone):
        return ZONE_SILENCE_S if zone == self.own.zone else FAR_SILENCE_S

    def _log_change(self, vm, zone, state, age_ms=0):
        self._record_event(
            "member", member=vm, member_zone=zone, state=state, age_ms=age_ms
        )


def _describe_vm(vm, now):
    age_ms = max(0, round((now - vm.heard_at) * 1000))
    return VmPresence(
        vm.vm,
        vm.zone,
        vm.peer_address,
        vm.boot_id,
        vm.state,
        age_ms,
        vm.rate,
        vm.cores,
    )

"""Shares evidence on servers: attempts in a region, summaries between regions."""

import itertools
import math

import attrs
from eventlet.event import Event

from lavendermast.compactreports import (
    pack_reports,
    pack_summaries,
    unpack_reports,
    unpack_summaries,
)
from lavendermast.messages_model import (
    AttemptReports,
    ServerSummaries,
    ServiceLosses,
)
from lavendermast.suspicion import decay_to_prior

REPORT_INTERVAL_S = 0.05
#: With many active VMs each one reports less often, which bounds the received traffic.
REPORT_INTERVAL_PER_VM_S = 0.009
#: Summaries cross paid links; detecting a sick server takes about 0.5 s anyway.
SUMMARY_INTERVAL_S = 0.5
#: A summary that has not changed is repeated after this time. Receivers use the number
#: of pending attempts in it for 2 s.
REPEAT_INTERVAL_S = 1.4
#: Change of the probability of being sick, against what receivers assume by now, that
#: is sent at once. Decay alone adds 0.05 in ``REPEAT_INTERVAL_S``.
MIN_PERMILLE_CHANGE = 80
#: Change of the number of pending attempts that is sent at once, and as a share.
MIN_PENDING_CHANGE = 2
MIN_PENDING_CHANGE_SHARE = 0.5
#: VMs of a region that take turns in relaying the parts of summaries to it.
MAX_RELAYS = 8


class EvidenceSharing:
    """
    Sends reports to the active VMs of the region and summaries to other regions.

    :param regions: mapping of zone to region.
    :param loss_tracker: receives the numbers of lost requests of other regions.
    """

    def __init__(
        self, settings, regions, evidence, loss_tracker, catalog, fleet, network, clock
    ):
        self._settings = settings
        self._regions = regions
        self._evidence = evidence
        self._loss_tracker = loss_tracker
        self._catalog = catalog
        self._fleet = fleet
        self._network = network
        self._clock = clock
        self._reports_queued = Event()
        self._sent_summaries = {}
        self._sent_losses = {}
        self._turn = 0
        evidence.on_report_queued = self._signal_reports
        network.register(AttemptReports, self._handle_reports)
        network.register(ServerSummaries, self._handle_summaries)

    def run_reports(self):
        """Send reports on this VM's attempts until the task is killed."""
        zones = self._get_zones(self._settings.region)
        interval = REPORT_INTERVAL_S
        while True:
            # Most VMs make no attempts, so an idle VM waits without a timer.
            self._reports_queued.wait()
            self._clock.sleep(interval)
            reports = self._evidence.take_reports()
            if not reports:
                if not self._evidence.has_reports:
                    self._reports_queued = Event()
                continue
            addresses = self._fleet.get_peer_addresses(zones)
            for message in pack_reports(reports):
                self._network.broadcast(addresses, message)
            interval = max(REPORT_INTERVAL_S, REPORT_INTERVAL_PER_VM_S * len(addresses))

    def _signal_reports(self):
        if not self._reports_queued.ready():
            self._reports_queued.send()

    def run_summaries(self):
        """Send summaries to other regions while this VM represents its region."""
        while True:
            self._clock.sleep(SUMMARY_INTERVAL_S)
            if self.is_representative():
                self.send_summaries()
            else:
                self._sent_summaries.clear()
                self._sent_losses.clear()

    def send_summaries(self):
        """
        Send other regions the summaries that are due.

        The parts go to different VMs of a region, because each relays what it gets to
        all active VMs of it.
        """
        servers = self._catalog.get_region_servers(self._settings.region)
        names = itertools.chain.from_iterable(servers.values())
        parts = pack_summaries(self._choose_summaries(names))
        losses = tuple(self._choose_losses(servers))
        if losses and not parts:
            parts = [{}]
        relays = [self._find_relays(region) for region in self._get_other_regions()]
        for part in parts:
            message = ServerSummaries(
                relay_wanted=True, region=self._settings.region, losses=losses, **part
            )
            losses = ()
            self._turn += 1
            addresses = [
                vms[self._turn % len(vms)].peer_address for vms in relays if vms
            ]
            self._network.broadcast(addresses, message)

    def _choose_summaries(self, names):
        """Return the summaries that receivers need now."""
        now = self._clock.monotonic()
        sent = self._sent_summaries
        current = {
            summary.server: summary for summary in self._evidence.make_summaries(names)
        }
        due = [
            summary
            for name, summary in current.items()
            if name not in sent or self._is_due(summary, *sent[name], now)
        ]
        for name in sent.keys() - current.keys():
            del sent[name]
        sent.update({summary.server: (summary, now) for summary in due})
        return due

    def _is_due(self, summary, sent, sent_at, now):
        """Return whether a summary differs enough from what receivers assume."""
        age_s = now - sent_at
        # Receivers know what is left of a limit for 2 s only.
        is_limited = 0.0 < summary.rate_limit < math.inf
        if age_s >= REPEAT_INTERVAL_S or is_limited:
            return True
        if bool(summary.rate_limit) != bool(sent.rate_limit):
            return True
        if math.isinf(summary.rate_limit) != math.isinf(sent.rate_limit):
            return True
        assumed = decay_to_prior(sent.sickness_permille / 1000, age_s) * 1000
        if abs(summary.sickness_permille - assumed) >= MIN_PERMILLE_CHANGE:
            return True
        changed = abs(summary.pending - sent.pending)
        least = max(MIN_PENDING_CHANGE, MIN_PENDING_CHANGE_SHARE * sent.pending)
        return changed >= least

    def _choose_losses(self, servers):
        """Return the losses that receivers need now: lost requests always."""
        now = self._clock.monotonic()
        for service, names in servers.items():
            counted = self._loss_tracker.count_losses(service, names, now)
            if not counted.requests:
                continue
            losses = ServiceLosses(service, counted.requests, round(counted.lost))
            sent, sent_at = self._sent_losses.get(service, (None, -math.inf))
            has_lost = losses.lost or (sent is not None and sent.lost)
            if has_lost or now - sent_at >= REPEAT_INTERVAL_S:
                self._sent_losses[service] = losses, now
                yield losses

    def _get_other_regions(self):
        return sorted(set(self._regions.values()) - {self._settings.region})

    def _find_relays(self, region):
        """Return the VMs of a region that relay summaries to it, largest first."""
        vms = [
            vm
            for zone in self._get_zones(region)
            for vm in self._fleet.get_active(zone)
        ]
        return sorted(vms, key=lambda vm: (-vm.cores, vm.vm))[:MAX_RELAYS]

    def _get_zones(self, region):
        return sorted(zone for zone, name in self._regions.items() if name == region)

    def find_representative(self, region):
        """Return the VM that sends and relays summaries for a region, or ``None``."""
        for zone in self._get_zones(region):
            active = self._fleet.get_active(zone)
            if active:
                return active[0]
        return None

    def is_active(self):
        """Return whether callers are directed to this VM."""
        return self._fleet.local_vm in self._fleet.get_active(self._settings.zone)

    def is_keeper(self, count):
        """Return whether this VM is one of the longest running ones of its region."""
        return self._fleet.local_vm in self._find_longest_running()[:count]

    def get_keeper_addresses(self, count):
        """Return the addresses of the longest running active VMs but this one."""
        vms = self._find_longest_running()
        others = [vm for vm in vms if vm is not self._fleet.local_vm]
        return [vm.peer_address for vm in others[:count]]

    def _find_longest_running(self):
        """Return the active VMs of this region by the time of their start."""
        zones = self._get_zones(self._settings.region)
        vms = [vm for zone in zones for vm in self._fleet.get_active(zone)]
        return sorted(vms, key=lambda vm: (vm.boot_id, vm.vm))

    def get_representative_addresses(self):
        """Return the peer addresses of the representatives of all other regions."""
        representatives = [
            self.find_representative(region) for region in self._get_other_regions()
        ]
        return [vm.peer_address for vm in representatives if vm is not None]

    def get_region_addresses(self):
        """Return the peer addresses of the active VMs of this region but this one."""
        return self._fleet.get_peer_addresses(self._get_zones(self._settings.region))

    def is_representative(self):
        """Return whether this VM represents its region."""
        return self.find_representative(self._settings.region) is self._fleet.local_vm

    def _handle_reports(self, envelope, address):
        self._evidence.apply_reports(
            envelope.sender, envelope.boot_id, unpack_reports(envelope.body)
        )

    def _handle_summaries(self, envelope, address):
        message = envelope.body
        self._evidence.apply_summaries(message.region, unpack_summaries(message))
        now = self._clock.monotonic()
        for losses in message.losses:
            self._loss_tracker.apply_losses(
                message.region, losses.service, losses.requests, losses.lost, now
            )
        if message.relay_wanted:
            relayed = attrs.evolve(message, relay_wanted=False)
            self._network.broadcast(self.get_region_addresses(), relayed)

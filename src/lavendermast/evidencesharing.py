"""Shares evidence on servers: attempts in a region, summaries between regions."""

import itertools

import attrs
from eventlet.event import Event

from lavendermast.messages_model import (
    AttemptReports,
    ServerSummaries,
    ServiceLosses,
)

REPORT_INTERVAL_S = 0.05
#: With many active VMs each one reports less often, which bounds the received traffic.
REPORT_INTERVAL_PER_VM_S = 0.009
#: Summaries cross paid links; detecting a sick server takes about 0.5 s anyway.
SUMMARY_INTERVAL_S = 0.5
#: Summaries in one datagram: each takes up to 40 of its 1,400 bytes.
MAX_SUMMARIES = 28


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
            self._network.broadcast(addresses, AttemptReports(reports))
            interval = max(REPORT_INTERVAL_S, REPORT_INTERVAL_PER_VM_S * len(addresses))

    def _signal_reports(self):
        if not self._reports_queued.ready():
            self._reports_queued.send()

    def run_summaries(self):
        """Send summaries to other regions while this VM represents its region."""
        while True:
            self._clock.sleep(SUMMARY_INTERVAL_S)
            if not self.is_representative():
                continue
            servers = self._catalog.get_region_servers(self._settings.region)
            names = itertools.chain.from_iterable(servers.values())
            message = ServerSummaries(
                relay_wanted=True,
                summaries=tuple(self._evidence.make_summaries(names)),
                region=self._settings.region,
                losses=tuple(self._make_losses(servers)),
            )
            self._send_summaries(self.get_representative_addresses(), message)

    def _make_losses(self, servers):
        now = self._clock.monotonic()
        for service, names in servers.items():
            counted = self._loss_tracker.count_losses(service, names, now)
            if counted.requests:
                yield ServiceLosses(service, counted.requests, round(counted.lost))

    def _send_summaries(self, addresses, message):
        """Send summaries in parts that fit a datagram, all losses in the first part."""
        summaries = message.summaries
        for first in range(0, len(summaries), MAX_SUMMARIES):
            part = attrs.evolve(
                message,
                summaries=summaries[first : first + MAX_SUMMARIES],
                losses=message.losses if first == 0 else (),
            )
            self._network.broadcast(addresses, part)

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
            self.find_representative(region)
            for region in set(self._regions.values()) - {self._settings.region}
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
            envelope.sender, envelope.boot_id, envelope.body.attempts
        )

    def _handle_summaries(self, envelope, address):
        message = envelope.body
        self._evidence.apply_summaries(message.region, message.summaries)
        now = self._clock.monotonic()
        for losses in message.losses:
            self._loss_tracker.apply_losses(
                message.region, losses.service, losses.requests, losses.lost, now
            )
        if message.relay_wanted:
            relayed = attrs.evolve(message, relay_wanted=False)
            self._send_summaries(self.get_region_addresses(), relayed)

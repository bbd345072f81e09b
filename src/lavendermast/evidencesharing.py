"""Shares evidence about servers: attempts in a region, summaries between regions."""

import itertools

import attrs
from eventlet.event import Event

from lavendermast.messages_model import (
    AttemptReports,
    ServerSummaries,
    ServiceLosses,
)

REPORT_INTERVAL_S = 0.05
#: With many active VMs each one reports more rarely, which bounds what all receive.
REPORT_INTERVAL_PER_VM_S = 0.009
#: Summaries cross paid links; 0.5 s is the time in which a sick server shows itself.
SUMMARY_INTERVAL_S = 0.5
#: A summary takes up to 40 bytes of a datagram of 1,400.
MAX_SUMMARIES = 28


class EvidenceSharing:
    """
    Sends own attempts to the active VMs of the region, and one VM's summary on.

    :param regions: mapping of zone to region.
    :param coverage: takes in how many requests other regions lost.
    """

    def __init__(
        self, settings, regions, evidence, coverage, catalog, fleet, network, clock
    ):
        self._settings = settings
        self._regions = regions
        self._evidence = evidence
        self._coverage = coverage
        self._catalog = catalog
        self._fleet = fleet
        self._network = network
        self._clock = clock
        self._reports_waiting = Event()
        evidence.on_report = self._note_report
        network.register(AttemptReports, self._handle_reports)
        network.register(ServerSummaries, self._handle_summaries)

    def run_reports(self):
        """Send reports on own attempts until the task is killed."""
        zones = self._get_zones(self._settings.region)
        interval = REPORT_INTERVAL_S
        while True:
            # Most VMs make no attempts, so an idle one has no timer.
            self._reports_waiting.wait()
            self._clock.sleep(interval)
            reports = self._evidence.take_reports()
            if not reports:
                self._reports_waiting = Event()
                continue
            addresses = self._fleet.find_addressees(zones)
            self._network.broadcast(addresses, AttemptReports(reports))
            interval = max(REPORT_INTERVAL_S, REPORT_INTERVAL_PER_VM_S * len(addresses))

    def _note_report(self):
        if not self._reports_waiting.ready():
            self._reports_waiting.send()

    def run_summaries(self):
        """Send summaries to other regions while it is this VM's turn."""
        while True:
            self._clock.sleep(SUMMARY_INTERVAL_S)
            if self._find_speaker(self._settings.region) is not self._fleet.own:
                continue
            servers = self._catalog.get_region_servers(self._settings.region)
            names = itertools.chain.from_iterable(servers.values())
            message = ServerSummaries(
                relay_wanted=True,
                summaries=tuple(self._evidence.make_summaries(names)),
                region=self._settings.region,
                losses=tuple(self._make_losses(servers)),
            )
            speakers = [
                self._find_speaker(region)
                for region in set(self._regions.values()) - {self._settings.region}
            ]
            addresses = [vm.peer_address for vm in speakers if vm is not None]
            self._send_summaries(addresses, message)

    def _make_losses(self, servers):
        now = self._clock.monotonic()
        for service, names in servers.items():
            counted = self._coverage.count_losses(service, names, now)
            if counted.requests:
                yield ServiceLosses(service, counted.requests, round(counted.lost))

    def _send_summaries(self, addresses, message):
        """Send a long message in parts, all losses with the first one."""
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

    def _find_speaker(self, region):
        """Return the VM that speaks for a region, or ``None``."""
        for zone in self._get_zones(region):
            active = self._fleet.get_active(zone)
            if active:
                return active[0]
        return None

    def _handle_reports(self, envelope, address):
        self._evidence.apply_reports(envelope.sender, envelope.body.attempts)

    def _handle_summaries(self, envelope, address):
        message = envelope.body
        self._evidence.apply_summaries(message.summaries)
        now = self._clock.monotonic()
        for losses in message.losses:
            self._coverage.note_losses(
                message.region, losses.service, losses.requests, losses.lost, now
            )
        if message.relay_wanted:
            zones = self._get_zones(self._settings.region)
            addresses = self._fleet.find_addressees(zones)
            self._send_summaries(addresses, attrs.evolve(message, relay_wanted=False))

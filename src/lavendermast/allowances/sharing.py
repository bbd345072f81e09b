"""Sends the uses of accounts to the other VMs."""

import math

from lavendermast.messages_model import AccountUse, AccountUses

#: Interval of the reports to the active VMs of the region, of the sums to other
#: regions, and of both for an account whose use is urgent.
REPORT_INTERVAL_S = 0.25
SUMMARY_INTERVAL_S = 0.5
URGENT_INTERVAL_S = 0.05
#: Interval at which a VM without limits looks for some.
IDLE_INTERVAL_S = 1.0
#: Time after its last use for which an inactive VM gets the reports of active ones.
ASKER_S = 5.0
#: Uses in one datagram of 1,400 bytes: each takes 24, the rest up to 250.
MAX_USES = 45
MAX_COUNTING_MS = 2**32 - 1


class AllowanceSharing:
    """
    Shares the uses of accounts, in a region and between regions.

    :param allowances: the :class:`~lavendermast.allowances.Allowances`.
    :param regions: object with ``is_active``, ``get_region_addresses``,
        ``is_representative`` and ``get_representative_addresses``.
    :param list_idle: function that returns name and peer address of the live VMs that
        callers are not directed to.
    """

    def __init__(self, settings, allowances, regions, list_idle, network, clock):
        self._settings = settings
        self._allowances = allowances
        self._regions = regions
        self._list_idle = list_idle
        self._network = network
        self._clock = clock
        self._urgent = False
        self._next_report = self._next_summary = self._next_keepalive = 0.0
        self._reported_at = -math.inf
        self._askers = {}
        allowances.on_urgent = self._mark_urgent
        network.register(AccountUses, self.handle_uses)

    def run(self):
        """Send reports until the task is killed."""
        while True:
            self._clock.sleep(self._choose_interval())
            self.send_due()

    def _choose_interval(self):
        """Return the seconds until reports may be due; an idle VM seldom wakes up."""
        if not self._allowances.has_limits:
            return IDLE_INTERVAL_S
        if self._allowances.is_idle and not self._regions.is_active():
            return REPORT_INTERVAL_S
        return URGENT_INTERVAL_S

    def send_due(self):
        """Send the reports and sums that are due."""
        if not self._allowances.has_limits:
            return
        now = self._clock.monotonic()
        regular = now >= self._next_report
        uses = []
        if regular or self._urgent:
            self._urgent = False
            uses = self._allowances.take_uses(urgent_only=not regular)
        if regular:
            self._next_report = now + REPORT_INTERVAL_S
        if uses:
            self._reported_at = now
        due = now >= self._next_keepalive and self._wants_reports(now)
        if uses or due:
            self._next_keepalive = now + self._allowances.contact_interval_s
            addresses = self._regions.get_region_addresses()
            self._send([*addresses, *self._list_askers(now, addresses)], uses)
        if regular:
            self._release_idle(now)
        if not self._regions.is_representative():
            return
        sums = self._allowances.take_region_uses(SUMMARY_INTERVAL_S)
        if sums or now >= self._next_summary:
            self._next_summary = now + self._allowances.contact_interval_s
            addresses = self._regions.get_representative_addresses()
            self._send(addresses, sums, self._settings.region, relay_wanted=True)

    def handle_uses(self, envelope, address):
        """Apply a report or sums of a region, and relay the latter."""
        message = envelope.body
        is_region = bool(message.region)
        if message.region == self._settings.region:
            return
        source = (is_region, message.region or envelope.sender)
        self._allowances.note_contact(source)
        origin = (envelope.sender, envelope.boot_id)
        counting_s = message.counting_ms / 1000
        relayed = []
        for use in message.uses:
            applied = self._allowances.apply_use(
                source, origin, use, counting_s, is_region
            )
            # Counts of this VM go on when another VM represents the other region.
            relayed.append(AccountUse(use.account, applied, use.demand, use.level))
        if message.relay_wanted:
            addresses = self._regions.get_region_addresses()
            self._send(addresses, relayed, message.region)
        elif not is_region:
            if message.uses:
                self._askers[address] = self._clock.monotonic()
            answers = self._allowances.answer(message.uses)
            if answers:
                self._send([address], answers)

    def _wants_reports(self, now):
        """Return whether callers reach this VM, so that others count with it."""
        return self._regions.is_active() or now - self._reported_at < ASKER_S

    def _list_askers(self, now, addresses):
        """Return the inactive VMs that reported uses lately."""
        for address, asked_at in list(self._askers.items()):
            if now - asked_at > ASKER_S:
                del self._askers[address]
        return self._askers.keys() - set(addresses)

    def _release_idle(self, now):
        recent = {address for address, at in self._askers.items() if now - at < ASKER_S}
        for vm, address in self._list_idle():
            if address not in recent:
                self._allowances.release((False, vm))

    def _mark_urgent(self):
        self._urgent = True

    def _send(self, addresses, uses, region="", relay_wanted=False):
        """Send uses in parts that fit a datagram, at least one."""
        elapsed_s = self._clock.monotonic() - self._allowances.started_at
        counting_ms = min(round(elapsed_s * 1000), MAX_COUNTING_MS)
        for first in range(0, max(len(uses), 1), MAX_USES):
            part = tuple(uses[first : first + MAX_USES])
            message = AccountUses(part, counting_ms, region, relay_wanted)
            self._network.broadcast(addresses, message)

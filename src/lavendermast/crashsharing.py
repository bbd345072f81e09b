"""Finds out which lost attempts were crashes, and shares suspects with all VMs."""

import attrs
import eventlet
from eventlet.event import Event

from lavendermast.crashes import ServerRun
from lavendermast.messages_model import CrashReports, CrashSuspect

#: A crash closes all connections of a server within this time.
CRASH_CHECK_DELAY_S = 0.03
#: Each report is sent twice, since datagrams may be lost.
COPY_DELAY_S = 0.25
#: Interval at which held requests are repeated to the active VMs of the region.
HELD_INTERVAL_S = 2.0
#: A VM that has become active asks others this many times which requests are held: it
#: may not know all VMs yet, and datagrams may be lost.
ASKS = 4
ASK_INTERVAL_S = 0.5
#: VMs of the region that are asked, and of which each repeats what is held.
KEEPERS = 2
#: Each suspect takes up to 60 of the 1,400 bytes of a datagram.
MAX_SUSPECTS_PER_DATAGRAM = 20


class CrashSharing:
    """
    Reports crashes of servers to the active VMs of all regions.

    An attempt whose connection the server closed is a crash if the server has closed
    all others too and accepts no new one. Resets of single connections, errors and
    timeouts are none.

    A VM that has started knows of no held request. The active VMs that have run for
    longest, its region's keepers, tell it.

    :param tracker: the :class:`~lavendermast.crashes.CrashTracker`.
    :param sharing: an :class:`~lavendermast.evidencesharing.EvidenceSharing`, which
        knows the VMs of the regions.
    :param upstream: an :class:`~lavendermast.upstream.Upstream`.
    """

    def __init__(self, tracker, sharing, upstream, network, clock, record_event):
        self._tracker = tracker
        self._sharing = sharing
        self._upstream = upstream
        self._network = network
        self._clock = clock
        self._record_event = record_event
        self._checks = {}
        self._was_active = False
        self._asks_left = 0
        self._next_repeat = 0.0
        self.crashes = 0
        network.register(CrashReports, self._handle_reports)

    def run(self):
        """Ask what is held once this VM is active, and repeat it as a keeper."""
        while True:
            self._clock.sleep(ASK_INTERVAL_S)
            self.advance()

    def advance(self):
        """Ask and repeat what is due."""
        self._tracker.expire()
        self._ask_after_activation()
        now = self._clock.monotonic()
        if now < self._next_repeat:
            return
        self._next_repeat = now + HELD_INTERVAL_S
        held = self._make_held_suspects()
        if held and self._sharing.is_keeper(KEEPERS):
            self._send(self._sharing.get_region_addresses(), held, False)

    def _ask_after_activation(self):
        is_active = self._sharing.is_active()
        if is_active and not self._was_active:
            self._asks_left = ASKS
        self._was_active = is_active
        if not (is_active and self._asks_left):
            return
        self._asks_left -= 1
        addresses = [
            *self._sharing.get_keeper_addresses(KEEPERS),
            *self._sharing.get_representative_addresses(),
        ]
        self._network.broadcast(addresses, CrashReports(held_wanted=True))

    def _make_held_suspects(self):
        return [
            _make_suspect(run, fingerprint)
            for fingerprint, runs in self._tracker.find_held()
            for run in runs
        ]

    def get_hold_s(self, request):
        """Return the seconds for which a request is still held, 0 if it is not."""
        if not self._tracker:
            return 0.0
        return self._tracker.get_hold_s(request.fingerprint)

    def may_retry(self, request):
        """Return whether this VM may send a request again that has reached a server."""
        return not self._tracker or self._tracker.may_retry(request.fingerprint)

    def note_answer(self, request):
        """Record that a server answered a request whole."""
        if self._tracker and self._tracker.clear(request.fingerprint):
            suspect = CrashSuspect(fingerprint=request.fingerprint, cleared=True)
            eventlet.spawn_n(self._share, [suspect])

    def get_spread_key(self, request):
        """
        Return what a suspect's server is chosen by; empty for other requests.

        Suspects of one crash would all be sent to the server of the lowest cost, and
        would be suspects of the next crash together.
        """
        if self._tracker and self._tracker.is_suspect(request.fingerprint):
            return request.fingerprint.hex()
        return ""

    def check_lost_connection(self, request, server, run):
        """
        Find out whether a server that closed the connection of an attempt has crashed.

        :param run: the ``ServerRun`` that got the request.
        """
        if not self._has_crashed(server, run):
            return
        self._tracker.add_crash(run, request.fingerprint, self._network.vm)
        eventlet.spawn_n(self._share, [_make_suspect(run, request.fingerprint)])

    def _has_crashed(self, server, run):
        """Return whether a server has crashed; one check serves all its attempts."""
        check = self._checks.get(run)
        if check is not None:
            return check.wait()
        check = self._checks[run] = Event()
        has_crashed = False
        try:
            self._clock.sleep(CRASH_CHECK_DELAY_S)
            has_crashed = self._upstream.is_gone(server)
            if has_crashed:
                self.crashes += 1
                self._record_event("server_crashed", server=server.name)
        finally:
            del self._checks[run]
            check.send(has_crashed)
        return has_crashed

    def _share(self, suspects):
        """Send suspects to all regions, and again shortly after."""
        for delay_s in (0.0, COPY_DELAY_S):
            self._clock.sleep(delay_s)
            self._send(self._sharing.get_region_addresses(), suspects, False)
            addresses = self._sharing.get_representative_addresses()
            self._send(addresses, suspects, True)

    def _send(self, addresses, suspects, relay_wanted):
        for first in range(0, len(suspects), MAX_SUSPECTS_PER_DATAGRAM):
            part = tuple(suspects[first : first + MAX_SUSPECTS_PER_DATAGRAM])
            self._network.broadcast(addresses, CrashReports(part, relay_wanted))

    def _handle_reports(self, envelope, address):
        message = envelope.body
        if message.held_wanted:
            self._send([address], self._make_held_suspects(), False)
        for suspect in message.suspects:
            if suspect.cleared:
                self._tracker.clear(suspect.fingerprint)
                continue
            run = ServerRun(suspect.server, suspect.started_unix_ms)
            self._tracker.add_crash(run, suspect.fingerprint, envelope.sender)
        if message.relay_wanted:
            relayed = attrs.evolve(message, relay_wanted=False)
            self._network.broadcast(self._sharing.get_region_addresses(), relayed)


def _make_suspect(run, fingerprint):
    return CrashSuspect(run.server, run.started_unix_ms, fingerprint)

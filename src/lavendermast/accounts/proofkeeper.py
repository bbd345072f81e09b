"""Keeps the proof of this VM's state young, with few calls to the store."""

import collections
import math

from lavendermast.catalogsync import MAX_RETRY_DELAY_S, WATCH_WAIT_S
from lavendermast.messages_model import StateQuery, StateReply
from lavendermast.zonefleet import HUBS_PER_ZONE

# The shares are of ``key_removal_ms``; the seconds in comments hold for 5 s.

#: Longest watch of the reader, whose end proves the state at its start (0.5 s).
WATCH_WAIT_SHARE = 0.1
#: Time without a byte after which a call to the store has failed (0.8 s), and one that
#: does not wait for news (0.4 s). A slow store takes 0.24 s, and a call that was lost
#: late in a failure must not outlast the rest of the proof's time.
READ_TIMEOUT_SHARE = 0.16
PROBE_TIMEOUT_SHARE = 0.08
#: Age at which a VM asks a hub (1.25 s), and one that callers are not directed to
#: (2 s). The reader's own proof is 0.5 to 1 s old.
QUERY_AGE_SHARE = 0.25
IDLE_QUERY_AGE_SHARE = 0.4
#: Interval of queries (0.4 s).
QUERY_INTERVAL_SHARE = 0.08
#: Age at which a VM calls the store itself (2.5 s); an idle VM with answers of hubs
#: does not reach it.
CALL_AGE_SHARE = 0.5
#: Such calls start at a random time within this (0.5 s) and have this interval (1 s).
CALL_JITTER_SHARE = 0.1
CALL_INTERVAL_SHARE = 0.2
#: Longest delay after a failed call of the first VM of a zone (0.2 s). With the lost
#: call before it, its zone learns of the store's recovery within 0.6 s. Proofs are then
#: 4.6 s old after a failure of 3 s, and requests wait for 0.4 s from 4.5 s on.
FIRST_RETRY_SHARE = 0.04
#: Time after the state got too old in which requests wait for a proof (0.4 s).
WAIT_SHARE = 0.08
#: Age from which a VM asks all hubs at once (4 s). Up to the second age (5.5 s) it asks
#: more often; older proofs mean a long failure.
URGENT_AGE_SHARES = (0.8, 1.1)
URGENT_QUERY_INTERVAL_S = 0.2
#: Interval at which a waiting request looks for the proof.
WAIT_POLL_S = 0.02
TICK_S = 0.1
#: Queries whose replies still count; at the urgent interval those of 3.2 s.
MAX_OPEN_QUERIES = 16
#: Age in a reply of a VM whose state was never proven.
NEVER_MS = 2**32 - 1


def compute_read_timeouts(key_removal_ms, longest_s):
    """
    Return the seconds without a byte after which a call to the store has failed.

    :param longest_s: value for fleets that do not enforce the removal of keys.
    :return: the time of any call, and of a call that does not wait for news.
    """
    if not key_removal_ms:
        return longest_s, longest_s
    removal_s = key_removal_ms / 1000
    return (
        min(longest_s, READ_TIMEOUT_SHARE * removal_s),
        min(longest_s, PROBE_TIMEOUT_SHARE * removal_s),
    )


class ProofKeeper:
    """
    Asks hubs, and if they do not help the store, for proofs of this VM's state.

    The reader of a zone proves the state with its watches, two calls per second. Other
    VMs send ``StateQuery`` datagrams to one hub of the zone, and to the next one if the
    reply is missing or old.

    Designed for 3,600 VMs in 26 zones: a hub answers about 110 queries per second of
    100 bytes, and only one VM of a zone calls the store while the hubs work.

    :param proofs: the :class:`~lavendermast.accounts.proofs.StateProofs` of this VM.
    :param get_state: function that returns the era and revision of this VM's state.
    :param sync: the ``CatalogSync`` that calls the store.
    :param removal_s: seconds within which the removal of a key takes effect.
    """

    def __init__(
        self, proofs, get_state, sync, fleet, network, clock, random, removal_s
    ):
        self._proofs = proofs
        self._get_state = get_state
        self._sync = sync
        self._fleet = fleet
        self._network = network
        self._clock = clock
        self._random = random
        self._removal_s = removal_s
        self._active = False
        self._open_queries = collections.deque(maxlen=MAX_OPEN_QUERIES)
        self._queried_at = -math.inf
        self._hub_index = 0
        self._was_answered = True
        self._call_due = False
        self._next_call_at = -math.inf
        self._late_since = {}
        self.on_tick = []
        sync.on_read.append(proofs.add)
        network.register(StateQuery, self._handle_query)
        network.register(StateReply, self._handle_reply)

    def set_active(self, active):
        """Start or stop to keep proofs young, with the configuration's accounts."""
        self._active = active
        sync = self._sync
        sync.watch_wait_s = WATCH_WAIT_S
        sync.stale_jitter_s = 0.0
        sync.needs_proof = lambda: False
        sync.get_max_retry_delay = lambda: MAX_RETRY_DELAY_S
        if active:
            watch_wait_s = WATCH_WAIT_SHARE * self._removal_s
            sync.watch_wait_s = min(WATCH_WAIT_S, watch_wait_s)
            jitter_s = CALL_JITTER_SHARE * self._removal_s
            sync.stale_jitter_s = jitter_s * self._random.random()
            sync.needs_proof = self._needs_call
            sync.get_max_retry_delay = self._get_max_retry_delay

    def run(self):
        """Ask for proofs until the task is killed."""
        while True:
            self.tick()
            self._clock.sleep(TICK_S)

    def tick(self):
        """Send a query if one is due."""
        if self._active:
            self._query_if_due()
        for handler in self.on_tick:
            handler()

    def is_younger(self, max_age_s):
        """Return whether this VM's state was proven less than some seconds ago."""
        if self._proofs.get_age_s() < max_age_s:
            self._late_since.pop(max_age_s, None)
            return True
        self._late_since.setdefault(max_age_s, self._clock.elapsed())
        return False

    def wait_until_younger(self, max_age_s):
        """
        Ask a hub and wait shortly until this VM's state is proven.

        Later than ``WAIT_SHARE`` after the state got too old nothing waits, because an
        isolated VM has to refuse at once.

        :return: whether it was proven less than ``max_age_s`` seconds ago.
        """
        while not self.is_younger(max_age_s):
            late_s = self._clock.elapsed() - self._late_since[max_age_s]
            if late_s >= WAIT_SHARE * self._removal_s:
                return False
            self._query(URGENT_QUERY_INTERVAL_S, ask_all=True)
            self._clock.sleep(WAIT_POLL_S)
        return True

    def _query_if_due(self):
        age_s = self._proofs.get_age_s()
        if age_s < self._get_query_age():
            return
        first, last = URGENT_AGE_SHARES
        interval_s = QUERY_INTERVAL_SHARE * self._removal_s
        if first <= age_s / self._removal_s < last:
            interval_s = URGENT_QUERY_INTERVAL_S
        self._query(interval_s, ask_all=age_s >= first * self._removal_s)

    def _get_query_age(self):
        idle = self._fleet.count_inactive() > 0
        share = IDLE_QUERY_AGE_SHARE if idle else QUERY_AGE_SHARE
        return share * self._removal_s

    def _query(self, interval_s, ask_all=False):
        """Send a query to hubs unless the last one was sent within the interval."""
        now = self._clock.elapsed()
        if now < self._queried_at + interval_s:
            return
        self._queried_at = now
        local_name = self._fleet.local_vm.vm
        hubs = self._fleet.get_vm_names()[:HUBS_PER_ZONE]
        hubs = [self._fleet.vms[name] for name in hubs if name != local_name]
        if not hubs:
            return
        if not self._was_answered:
            self._hub_index += 1
        self._was_answered = False
        # Rounding down makes the proof older.
        sent_ms = math.floor(now * 1000)
        self._open_queries.append(sent_ms)
        asked = hubs if ask_all else [hubs[self._hub_index % len(hubs)]]
        addresses = [vm.peer_address for vm in asked]
        self._network.broadcast(addresses, StateQuery(sent_ms))

    def _handle_query(self, envelope, address):
        age_ms = min(self._proofs.get_era_age_s() * 1000, NEVER_MS)
        reply = StateReply(envelope.body.sent_ms, *self._get_state(), math.ceil(age_ms))
        self._network.send(address, reply)

    def _handle_reply(self, envelope, address):
        reply = envelope.body
        # A reply to a query of another process or boot proves nothing.
        if reply.sent_ms not in self._open_queries or reply.age_ms == NEVER_MS:
            return
        proven_at = (reply.sent_ms - reply.age_ms) / 1000
        self._proofs.add(reply.era, reply.revision, proven_at)
        if self._proofs.get_age_s() < self._get_query_age():
            self._was_answered = True

    def _needs_call(self):
        """Return whether a call to the store is due that does not wait for news."""
        if not self._sync.store_reachable and self._is_first():
            return True
        if self._proofs.get_age_s() < CALL_AGE_SHARE * self._removal_s:
            self._call_due = False
            return False
        now = self._clock.elapsed()
        if not self._call_due:
            self._call_due = True
            jitter_s = CALL_JITTER_SHARE * self._removal_s * self._random.random()
            self._next_call_at = now + jitter_s
        if now < self._next_call_at:
            return False
        self._next_call_at = now + self._draw_call_interval()
        return True

    def _draw_call_interval(self):
        factor = self._random.uniform(0.8, 1.2)
        return CALL_INTERVAL_SHARE * self._removal_s * factor

    def _get_max_retry_delay(self):
        if self._is_first():
            return FIRST_RETRY_SHARE * self._removal_s
        return min(self._draw_call_interval(), MAX_RETRY_DELAY_S)

    def _is_first(self):
        """Return whether this VM is the first one of its zone to be the reader."""
        return self._fleet.get_vm_names()[0] == self._fleet.local_vm.vm

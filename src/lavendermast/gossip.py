"""Dissemination: piggybacked updates, immediate spread and table exchange."""

import collections
import functools
import heapq
import math

import attrs

from lavendermast.codec import measure_body
from lavendermast.messages_model import (
    MemberUpdate,
    Piggyback,
    Ping,
    SyncMembers,
    Verdict,
)
from lavendermast.peers import MAX_DATAGRAM_BYTES

FANOUT = 3
MAX_PIGGYBACK_ITEMS = 8
#: Spreads sent at once between two ticks; more wait for the tick and share datagrams.
#: When a region is cut off, hundreds of updates arrive within a second.
MAX_SPREADS = 2
#: With three transmissions for each doubling of the fleet, the share of members that
#: an update misses is far below one member; table exchange covers the rest.
RETRANSMIT_FACTOR = 3
#: Packing is not exactly additive over items; each is counted with this margin.
ITEM_MARGIN_BYTES = 8
FRAME_MARGIN_BYTES = 64
MAX_QUEUE_LENGTH = 4_096
MAX_REMEMBERED_VERDICTS = 4_096
SYNC_INTERVAL_S = 10.0
#: Keeps table exchange in a large fleet to 4 KB/s of the 27 KB/s for control.
SYNC_BYTES_PER_S = 4_096
MEMBER_BYTES = 120
#: Tables that changed just now differ because updates are still on their way.
SETTLE_S = 2.0
INTRODUCTION_S = 10.0
REQUEST_TIMEOUT_S = 5.0


@attrs.define
class QueuedItem:
    """An update or verdict waiting to be piggybacked."""

    key: tuple
    item: object
    size: int
    order: int
    sent: int = 0


class BroadcastQueue:
    """
    Items to piggyback, the least often sent first.

    >>> queue = BroadcastQueue()
    >>> queue.put(("member", "a"), "update", 10)
    >>> queue.take(8, 100, limit=1), queue.take(8, 100, limit=1)
    (['update'], [])
    """

    def __init__(self):
        self._items = {}
        self._order = 0

    def __len__(self):
        return len(self._items)

    def put(self, key, item, size):
        """Add an item in place of an older one with the same key."""
        self._order += 1
        self._items[key] = QueuedItem(key, item, size, -self._order)
        if len(self._items) > MAX_QUEUE_LENGTH:
            oldest = max(self._items.values(), key=lambda item: (item.sent, item.order))
            del self._items[oldest.key]

    def take(self, count, budget, limit):
        """
        Return items for one message and count them as sent.

        :param count: most items to return.
        :param budget: bytes that they may take.
        :param limit: transmissions after which an item leaves the queue.
        """
        ranked = heapq.nsmallest(
            count, self._items.values(), key=lambda item: (item.sent, item.order)
        )
        chosen = []
        for item in ranked:
            if item.size > budget:
                continue
            budget -= item.size
            chosen.append(item.item)
            item.sent += 1
            if item.sent >= limit:
                del self._items[item.key]
        return chosen


class Gossip:
    """
    Spreads updates, verdicts and document versions.

    ``on_versions`` is called as ``on_versions(sender, address, versions)``,
    ``on_verdict`` with each verdict not seen before, ``on_claims`` with statements that
    a live member is dead. ``get_audience`` returns the members that a verdict is sent
    to directly and by nobody else, or ``None`` for the whole fleet by gossip.
    """

    def __init__(self, membership, transport, clock, random):
        self._membership = membership
        self._transport = transport
        self._clock = clock
        self._random = random
        self._queue = BroadcastQueue()
        self._verdicts = collections.OrderedDict()
        self._spreads = 0
        self._pending = {}
        self._base = (None, 0)
        self._introduce_until = clock.monotonic() + INTRODUCTION_S
        self._next_sync = clock.monotonic() + random.uniform(0, SYNC_INTERVAL_S)
        self.get_versions = tuple
        self.on_versions = None
        self.on_verdict = None
        self.on_claims = None
        self.get_audience = lambda verdict: None
        transport.join(membership)
        transport.register(Piggyback, self._handle_updates)
        transport.register(SyncMembers, self._handle_sync)

    def introduce(self):
        """Put the own update into every message for the next seconds."""
        self._introduce_until = self._clock.monotonic() + INTRODUCTION_S

    def announce(self, updates=(), verdicts=(), exclude=()):
        """Queue items and send them to three members at once."""
        verdicts = self._send_to_audiences(verdicts)
        items = [*updates, *verdicts]
        self.enqueue(updates, verdicts)
        if not items:
            return
        if self._spreads >= MAX_SPREADS:
            self._pending.update((get_key(item), item) for item in items)
            return
        self._spreads += 1
        self._spread(items, exclude)

    def advance(self):
        """Send what waits; called at each tick of the failure detector."""
        self._spreads = 0
        pending, self._pending = self._pending, {}
        self._spread(pending.values())

    def announce_versions(self):
        """Send the document versions to three members at once."""
        body = Piggyback(tuple(self.get_versions()))
        for member in self._membership.pick_members(FANOUT):
            self._transport.send(member.peer_address, body)

    def enqueue(self, updates=(), verdicts=()):
        """Queue items to be piggybacked only."""
        for item in (*updates, *verdicts):
            self._queue.put(get_key(item), item, measure_item(item))

    def make_piggyback(self, vm=None, extra=(), introduce=False):
        """
        Return the piggyback for a message.

        :param vm: the receiver; it is told if it is held suspect or dead.
        :param extra: updates that must be in it.
        :param introduce: whether the own update must be in it.
        """
        updates = {update.vm: update for update in extra}
        known = self._membership.get_member(vm) if vm else None
        if known is not None and known.state in ("suspect", "dead"):
            updates[vm] = known
        own = self._membership.own
        if introduce or self._clock.monotonic() < self._introduce_until:
            updates[own.vm] = own
        versions = tuple(self.get_versions())
        budget = self._get_budget(versions)
        budget -= sum(measure_item(update) for update in updates.values())
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(self._membership.size + 1))
        count = MAX_PIGGYBACK_ITEMS - len(updates)
        items = self._queue.take(max(count, 0), budget, limit)
        queued = [item for item in items if isinstance(item, MemberUpdate)]
        updates = {update.vm: update for update in queued} | updates
        verdicts = [item for item in items if isinstance(item, Verdict)]
        return Piggyback(
            versions, tuple(updates.values()), tuple(verdicts), self._membership.digest
        )

    def receive(self, envelope, address, piggyback):
        """Take in the piggyback of a message."""
        result = self._membership.merge(piggyback.updates)
        fresh = [verdict for verdict in piggyback.verdicts if self._is_new(verdict)]
        relayed = [item for item in fresh if self.get_audience(item) is None]
        self.announce(result.changed, relayed, (envelope.sender,))
        if result.corrections:
            corrections = tuple(result.corrections[:MAX_PIGGYBACK_ITEMS])
            self._transport.send(address, Piggyback(updates=corrections))
        self._report(result, fresh)
        if piggyback.versions and self.on_versions:
            self.on_versions(envelope.sender, address, piggyback.versions)
        self._consider_sync(address, piggyback.members_digest)

    def sync(self, address):
        """
        Exchange the member table with another VM; blocks.

        :return: the updates that it sent.
        :raises PeerError: when it did not reply.
        """
        deadline = self._clock.monotonic() + REQUEST_TIMEOUT_S
        table = SyncMembers(updates=tuple(self._membership.get_members()))
        reply = self._transport.request(address, table, deadline)
        updates = getattr(reply, "updates", ())
        result = self._membership.merge(updates, "sync")
        if self._membership.own.state != "starting":
            self.enqueue(result.changed)
        self._report(result, ())
        return updates

    def _handle_updates(self, envelope, address):
        self.receive(envelope, address, envelope.body)

    def _handle_sync(self, envelope, address):
        result = self._membership.merge(envelope.body.updates, "sync")
        if len(result.changed) <= FANOUT:
            self.announce(result.changed)
        else:
            self.enqueue(result.changed)
        self._report(result, ())
        table = {update.vm: update for update in self._membership.get_members()}
        table.update((update.vm, update) for update in result.corrections)
        return SyncMembers(updates=tuple(table.values()))

    def _report(self, result, verdicts):
        if result.claims and self.on_claims:
            self.on_claims(result.claims)
        if self.on_verdict:
            for verdict in verdicts:
                self.on_verdict(verdict)

    def _consider_sync(self, address, digest):
        now = self._clock.monotonic()
        if not digest or digest == self._membership.digest or now < self._next_sync:
            return
        if now - self._membership.changed_at < SETTLE_S:
            return
        size = 2 * MEMBER_BYTES * self._membership.size
        interval = max(SYNC_INTERVAL_S, size / SYNC_BYTES_PER_S)
        self._next_sync = now + interval * self._random.uniform(0.8, 1.2)
        self._transport.spawn(self.sync, address)

    def _is_new(self, verdict):
        key = (verdict.service, verdict.server, verdict.judge)
        if self._verdicts.get(key, -1) >= verdict.issued_at:
            return False
        self._verdicts[key] = verdict.issued_at
        self._verdicts.move_to_end(key)
        if len(self._verdicts) > MAX_REMEMBERED_VERDICTS:
            self._verdicts.popitem(last=False)
        return True

    def _send_to_audiences(self, verdicts):
        """Send verdicts that are not for the whole fleet; return the others."""
        common, services = [], {}
        for verdict in verdicts:
            if self.get_audience(verdict) is None:
                common.append(verdict)
            else:
                services.setdefault(verdict.service, []).append(verdict)
        for items in services.values():
            self._spread(items, members=self.get_audience(items[0]))
        return common

    def _spread(self, items, exclude=(), members=None):
        """Send items to three or the given members, in as few datagrams as fit."""
        versions = tuple(self.get_versions())
        for batch in split_by_size(items, self._get_budget(versions)):
            updates = tuple(item for item in batch if isinstance(item, MemberUpdate))
            verdicts = tuple(item for item in batch if isinstance(item, Verdict))
            body = Piggyback(versions, updates, verdicts)
            chosen = members
            if chosen is None:
                chosen = self._membership.pick_members(FANOUT, exclude)
            for member in chosen:
                self._transport.send(member.peer_address, body)

    def _get_budget(self, versions):
        """Return the bytes left for items beside the fixed fields."""
        if self._base[0] != versions:
            ping = Ping(2**64 - 2, Piggyback(versions, members_digest=b"\xee" * 8))
            size = measure_body(ping, self._transport.vm)
            self._base = (versions, size)
        return MAX_DATAGRAM_BYTES - self._base[1] - FRAME_MARGIN_BYTES


_EMPTY_BYTES = measure_body(Piggyback())


def get_key(item):
    """Return the key under which a newer update or verdict replaces an older one."""
    if isinstance(item, MemberUpdate):
        return ("member", item.vm)
    return ("verdict", item.service, item.server, item.judge)


@functools.lru_cache(maxsize=MAX_QUEUE_LENGTH)
def measure_item(item):
    """Return the bytes that an update or verdict adds to a message."""
    field = "updates" if isinstance(item, MemberUpdate) else "verdicts"
    size = measure_body(Piggyback(**{field: (item,)}))
    return size - _EMPTY_BYTES + ITEM_MARGIN_BYTES


def split_by_size(items, budget):
    """Yield lists of items whose sizes stay within a budget, dropping larger ones."""
    batch, left = [], budget
    for item in items:
        size = measure_item(item)
        if size > left and batch:
            yield batch
            batch, left = [], budget
        if size <= budget:
            batch.append(item)
            left -= size
    if batch:
        yield batch

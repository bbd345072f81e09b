"""Gossip: piggybacked updates, immediate sending and member table exchange."""

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
#: Announcements sent immediately between two ticks; further ones wait for the tick and
#: share datagrams. When a region is cut off, hundreds of updates arrive in a second.
MAX_SENDS_PER_TICK = 2
#: With three transmissions for each doubling of the fleet, the expected number of
#: members that miss an update is far below one; table exchange covers the rest.
RETRANSMIT_FACTOR = 3
#: Added to the size of each item, since packed sizes do not add up exactly.
ITEM_MARGIN_BYTES = 8
FRAME_MARGIN_BYTES = 64
MAX_QUEUE_LENGTH = 4_096
MAX_REMEMBERED_VERDICTS = 4_096
SYNC_INTERVAL_S = 10.0
#: Limits table exchange in a large fleet to 4 KB/s of the 27 KB/s for control traffic.
SYNC_BYTES_PER_S = 4_096
#: Approximate size of one member in a table exchange.
MEMBER_BYTES = 120
#: No table exchange starts within this time after a change: updates are still in
#: transit, so differing tables are normal.
SETTLE_S = 2.0
#: Time for which every message includes this VM's own update, after its start, a state
#: change or a pause.
INTRODUCTION_S = 10.0
SYNC_TIMEOUT_S = 5.0


@attrs.define
class QueuedItem:
    """
    An update or verdict waiting to be piggybacked.

    :param order: minus the number of items queued up to this one, so that newer items
        sort first among those that were sent equally often.
    """

    key: tuple
    item: object
    size: int
    order: int
    sent: int = 0


class BroadcastQueue:
    """
    Queue of items to piggyback; the least often sent come first.

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
        """Add an item, replacing an older one with the same key."""
        self._order += 1
        self._items[key] = QueuedItem(key, item, size, -self._order)
        if len(self._items) > MAX_QUEUE_LENGTH:
            evicted = max(
                self._items.values(), key=lambda item: (item.sent, item.order)
            )
            del self._items[evicted.key]

    def take(self, count, budget, limit):
        """
        Return items for one message and count them as sent.

        :param count: maximum number of items.
        :param budget: maximum total size in bytes.
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
    Disseminates member updates, verdicts and document versions.

    A verdict is a judge's finding about the health of one backend server.

    ``on_versions`` is called as ``on_versions(sender, address, versions)``,
    ``on_verdict`` with each new verdict, ``on_unconfirmed_deaths`` with updates that
    mark a live member dead. ``get_recipients`` returns the members to which a verdict
    is sent directly and not relayed, or ``None`` if it is for the whole fleet.
    ``get_versions`` returns the document versions of this VM, which are part of each
    piggyback.
    """

    def __init__(self, membership, transport, clock, random):
        self._membership = membership
        self._transport = transport
        self._clock = clock
        self._random = random
        self._queue = BroadcastQueue()
        self._verdict_issued_at = collections.OrderedDict()
        self._sends_this_tick = 0
        self._pending = {}
        self._fixed_size = (None, 0)
        self._introduce_until = clock.monotonic() + INTRODUCTION_S
        self._next_sync = clock.monotonic() + random.uniform(0, SYNC_INTERVAL_S)
        self.get_versions = tuple
        self.on_versions = None
        self.on_verdict = None
        self.on_unconfirmed_deaths = None
        self.get_recipients = lambda verdict: None
        transport.set_membership(membership)
        transport.register(Piggyback, self._handle_updates)
        transport.register(SyncMembers, self._handle_sync)

    def introduce(self):
        """Include this VM's update in every message for :data:`INTRODUCTION_S`."""
        self._introduce_until = self._clock.monotonic() + INTRODUCTION_S

    def announce(self, updates=(), verdicts=(), exclude=()):
        """
        Queue items and send them to three random members immediately.

        After :data:`MAX_SENDS_PER_TICK` such calls between two ticks, further items are
        sent at the next tick. A verdict for which ``get_recipients`` returns members is
        sent immediately to those members only and is not queued.

        :param exclude: VMs to which the items are not sent immediately.
        """
        verdicts = self._send_to_recipients(verdicts)
        items = [*updates, *verdicts]
        self.enqueue(updates, verdicts)
        if not items:
            return
        if self._sends_this_tick >= MAX_SENDS_PER_TICK:
            self._pending.update((get_item_key(item), item) for item in items)
            return
        self._sends_this_tick += 1
        self._send_items(items, exclude)

    def advance(self):
        """Send the pending items; called at each tick of the failure detector."""
        self._sends_this_tick = 0
        pending, self._pending = self._pending, {}
        self._send_items(pending.values())

    def announce_versions(self):
        """Send the document versions to three members immediately."""
        body = Piggyback(tuple(self.get_versions()))
        for member in self._membership.pick_members(FANOUT):
            self._transport.send(member.peer_address, body)

    def enqueue(self, updates=(), verdicts=()):
        """Queue items to be piggybacked, without sending them immediately."""
        for item in (*updates, *verdicts):
            self._queue.put(get_item_key(item), item, measure_item(item))

    def make_piggyback(self, vm=None, extra=(), introduce=False):
        """
        Return the piggyback for a message.

        :param vm: the receiver; its update is included if it is suspect or dead.
        :param extra: updates that must be included.
        :param introduce: whether this VM's update must be included.
        """
        updates = {update.vm: update for update in extra}
        known = self._membership.get_member(vm) if vm else None
        if known is not None and known.state in ("suspect", "dead"):
            updates[vm] = known
        local_member = self._membership.local_member
        if introduce or self._clock.monotonic() < self._introduce_until:
            updates[local_member.vm] = local_member
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
        """Apply the piggyback of a message."""
        result = self._membership.merge(piggyback.updates)
        new_verdicts = [
            verdict for verdict in piggyback.verdicts if self._is_new(verdict)
        ]
        relayed = [item for item in new_verdicts if self.get_recipients(item) is None]
        self.announce(result.changed, relayed, (envelope.sender,))
        if result.corrections:
            corrections = tuple(result.corrections[:MAX_PIGGYBACK_ITEMS])
            self._transport.send(address, Piggyback(updates=corrections))
        self._notify_callbacks(result, new_verdicts)
        if piggyback.versions and self.on_versions:
            self.on_versions(envelope.sender, address, piggyback.versions)
        self._sync_if_different(address, piggyback.members_digest)

    def sync(self, address):
        """
        Exchange the member table with another VM; blocks.

        :return: the updates in its reply.
        :raises PeerError: when it did not reply.
        """
        deadline = self._clock.monotonic() + SYNC_TIMEOUT_S
        table = SyncMembers(updates=tuple(self._membership.get_members()))
        reply = self._transport.request(address, table, deadline)
        updates = getattr(reply, "updates", ())
        result = self._membership.merge(updates, "sync")
        if self._membership.local_member.state != "starting":
            self.enqueue(result.changed)
        self._notify_callbacks(result, ())
        return updates

    def _handle_updates(self, envelope, address):
        self.receive(envelope, address, envelope.body)

    def _handle_sync(self, envelope, address):
        result = self._membership.merge(envelope.body.updates, "sync")
        if len(result.changed) <= FANOUT:
            self.announce(result.changed)
        else:
            self.enqueue(result.changed)
        self._notify_callbacks(result, ())
        table = {update.vm: update for update in self._membership.get_members()}
        table.update((update.vm, update) for update in result.corrections)
        return SyncMembers(updates=tuple(table.values()))

    def _notify_callbacks(self, result, verdicts):
        if result.unconfirmed_deaths and self.on_unconfirmed_deaths:
            self.on_unconfirmed_deaths(result.unconfirmed_deaths)
        if self.on_verdict:
            for verdict in verdicts:
                self.on_verdict(verdict)

    def _sync_if_different(self, address, digest):
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
        if self._verdict_issued_at.get(key, -1) >= verdict.issued_at:
            return False
        self._verdict_issued_at[key] = verdict.issued_at
        self._verdict_issued_at.move_to_end(key)
        if len(self._verdict_issued_at) > MAX_REMEMBERED_VERDICTS:
            self._verdict_issued_at.popitem(last=False)
        return True

    def _send_to_recipients(self, verdicts):
        """Send verdicts that are not for the whole fleet; return the others."""
        common, services = [], {}
        for verdict in verdicts:
            if self.get_recipients(verdict) is None:
                common.append(verdict)
            else:
                services.setdefault(verdict.service, []).append(verdict)
        for items in services.values():
            self._send_items(items, members=self.get_recipients(items[0]))
        return common

    def _send_items(self, items, exclude=(), members=None):
        """Send items to the given or three random members, in few datagrams."""
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
        """Return the bytes left for items in a datagram after the fixed fields."""
        if self._fixed_size[0] != versions:
            ping = Ping(2**64 - 2, Piggyback(versions, members_digest=b"\xee" * 8))
            size = measure_body(ping, self._transport.vm)
            self._fixed_size = (versions, size)
        return MAX_DATAGRAM_BYTES - self._fixed_size[1] - FRAME_MARGIN_BYTES


_EMPTY_BYTES = measure_body(Piggyback())


def get_item_key(item):
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
    """Yield batches of items within a size budget; larger items are dropped."""
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

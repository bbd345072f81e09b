"""A fleet in one process: in-memory transport on a manual clock."""

import heapq
import itertools
import random

import attrs

from lavendermast.clock import ManualClock
from lavendermast.detector import TICK_S, FailureDetector
from lavendermast.exceptions import PeerError
from lavendermast.gossip import Gossip
from lavendermast.membership import Membership
from lavendermast.messages_model import MemberUpdate
from lavendermast.peers import PeerTransport

REGIONS = ("riga", "kurzeme", "latgale")


class MemoryTransport(PeerTransport):
    """Delivers through the fleet's event queue."""

    def __init__(self, vm, address, fleet):
        super().__init__(vm)
        self.address, self.fleet = address, fleet

    def send(self, address, body):
        self.counts.messages["sent"] += 1
        frame = self.fleet.encode(self, body)
        if self.fleet.blocks(self.address, address) or self.fleet.lose():
            return
        for _ in range(1 + self.fleet.double()):
            delay = self.fleet.get_delay(self.address, address)
            self.fleet.schedule(
                delay, address, self.fleet.deliver, frame, self, address
            )

    def request(self, address, body, deadline):
        peer = self.fleet.transports.get(address)
        lost = self.fleet.blocks(self.address, address)
        if peer is None or lost or self.fleet.blocks(address, self.address):
            raise PeerError("blocked")
        if address in self.fleet.paused:
            raise PeerError("paused")
        reply = peer.dispatch(self.make_envelope(body, self.fleet.clock), self.address)
        if reply is None:
            raise PeerError("no reply")
        return reply

    def spawn(self, function, *args):
        self.fleet.schedule(0, self.address, self.guard, function, *args)


class Fleet:
    """Members ``vm-0`` to ``vm-<n-1>`` in six zones of three regions."""

    def __init__(self, size, seed=1, codec=None, loss=0.0, doubled=0.0):
        self.random = random.Random(seed)
        self.clock, self.codec = ManualClock(), codec
        self.loss, self.doubled = loss, doubled
        self.block_rules, self.paused, self.transports = [], {}, {}
        self.members, self.gossips, self.detectors, self.events = {}, {}, {}, []
        self._queue, self._order = [], itertools.count()
        for index in range(size):
            self.start(index)
        updates = [m.set_own_state("alive") for m in self.members.values()]
        for membership in self.members.values():
            membership.merge(updates)
            membership.set_listed({u.vm: u.peer_address for u in updates})
        self.events.clear()

    def start(self, index, vm=None):
        vm, region = vm or f"vm-{index}", REGIONS[index % 3]
        own = MemberUpdate(vm, self.random.getrandbits(64), self.clock.get_unix_ms())
        own = attrs.evolve(own, state="starting", region=region)
        own = attrs.evolve(own, zone=f"{region}-{index // 3 % 2}")
        own = attrs.evolve(own, peer_address=f"10.0.0.{index}:7000")
        seeded = random.Random(self.random.getrandbits(64))
        transport = MemoryTransport(vm, own.peer_address, self)
        self.transports[own.peer_address] = transport

        def record(event, **fields):
            self.events.append((self.clock.monotonic(), vm, event, fields))

        parts = (self.clock, seeded)
        membership = Membership(own, *parts, record)
        gossip = Gossip(membership, transport, *parts)
        detector = FailureDetector(membership, gossip, transport, *parts, record)
        self.members[vm], self.gossips[vm] = membership, gossip
        self.detectors[vm] = detector
        self.schedule(seeded.uniform(0, TICK_S), own.peer_address, self.tick, transport)
        return membership

    def tick(self, transport):
        if self.transports.get(transport.address) is transport:
            self.detectors[transport.vm].advance()
            self.schedule(TICK_S, transport.address, self.tick, transport)

    def deliver(self, frame, sender, address):
        receiver = self.transports.get(address)
        if receiver is not None:
            envelope = self.codec.decode(frame) if self.codec else frame
            receiver.counts.messages["received"] += 1
            receiver.dispatch(envelope, sender.address)

    def encode(self, transport, body):
        envelope = transport.make_envelope(body, self.clock)
        if self.codec is None:
            return envelope
        frame = self.codec.encode(envelope)
        transport.counts.bytes["sent"] += len(frame)
        return frame

    def get_delay(self, source, target):
        near = int(source.split(":")[0].split(".")[3]) % 3
        far = near != int(target.split(":")[0].split(".")[3]) % 3
        return self.random.uniform(0.8, 1.2) * (0.02 if far else 0.001)

    def blocks(self, source, target):
        return any(rule(source, target) for rule in self.block_rules)

    def lose(self):
        return self.random.random() < self.loss

    def double(self):
        return self.random.random() < self.doubled

    def schedule(self, delay, address, function, *args):
        at = self.clock.monotonic() + delay
        entry = (at, next(self._order), address, function, args)
        heapq.heappush(self._queue, entry)

    def pause(self, vm):
        self.paused[self.members[vm].own.peer_address] = []

    def resume(self, vm):
        for _, _, address, function, args in self.paused.pop(self.get_address(vm)):
            self.schedule(0, address, function, *args)

    def get_address(self, vm):
        return self.members[vm].own.peer_address

    def kill(self, vm):
        self.transports.pop(self.get_address(vm))
        return self.members.pop(vm)

    def run(self, seconds):
        end = self.clock.monotonic() + seconds
        while self._queue and self._queue[0][0] <= end:
            entry = heapq.heappop(self._queue)
            self.clock.advance(max(0.0, entry[0] - self.clock.monotonic()))
            if entry[2] in self.paused:
                self.paused[entry[2]].append(entry)
            else:
                entry[3](*entry[4])
        self.clock.advance(end - self.clock.monotonic())

"""A fleet of VMs with an in-memory transport and a manual clock."""

import heapq
import itertools
import random

from lavendermast.clock import ManualClock
from lavendermast.coordination import Coordination
from lavendermast.detector import TICK_S
from lavendermast.exceptions import PeerError
from lavendermast.peers import PeerTransport
from lavendermast.settings_model import ProcessSettings


class MemoryTransport(PeerTransport):
    """Transport that delivers messages through the fleet's event queue."""

    def __init__(self, vm, address, fleet):
        super().__init__(vm)
        self.address, self.fleet = address, fleet

    def send(self, address, body):
        fleet = self.fleet
        frame = fleet.encode(self.make_envelope(body, fleet.clock))
        self.counts.add("sent", body, len(frame) if fleet.codec else 0)
        lost = fleet.blocks(self.address, address) or fleet.random.random() < fleet.loss
        for _ in range(0 if lost else 1 + (fleet.random.random() < fleet.duplication)):
            delay = fleet.get_delay(self.address, address)
            fleet.schedule(delay, address, fleet.deliver, frame, self.address, address)

    def request(self, address, body, deadline):
        peer, fleet = self.fleet.transports.get(address), self.fleet
        cut = fleet.blocks(self.address, address) or fleet.blocks(address, self.address)
        envelope = self.make_envelope(body, fleet.clock)
        reachable = peer and not cut and address not in fleet.paused
        reply = reachable and peer.dispatch(envelope, self.address)
        if not reply:
            raise PeerError("no reply")
        return reply

    def spawn(self, function, *args):
        self.fleet.schedule(0, self.address, self.run_safely, function, *args)


class Fleet:
    """
    Coordination of VMs ``vm-0`` to ``vm-<size-1>`` in three regions and six zones.

    :param codec: codec for messages; without one they are passed as objects.
    :param loss: share of datagrams that are dropped.
    :param duplication: share of datagrams that are delivered twice.
    """

    def __init__(self, size, seed=1, codec=None, loss=0.0, duplication=0.0):
        self.random, self.clock, self.codec = random.Random(seed), ManualClock(), codec
        self.loss, self.duplication, self.events = loss, duplication, []
        self.block_rules, self.paused, self.transports, self.vms = [], {}, {}, {}
        self._queue, self._order = [], itertools.count()
        members = [self.start(index).membership for index in range(size)]
        updates = [member.set_local_state("alive") for member in members]
        for member in members:
            member.merge(updates)
            member.set_listed({u.vm: u.peer_address for u in updates})
        self.events.clear()

    members = property(lambda self: {vm: p.membership for vm, p in self.vms.items()})

    def start(self, index, vm=None):
        """Start a VM and return its ``Coordination``."""
        vm, address = vm or f"vm-{index}", f"10.0.0.{index}:7000"
        place = (f"region-{index % 3}", f"zone-{index % 6}", "site")
        settings = ProcessSettings(
            vm, *place, address, address, "", "", (), (), "-", 0, 0
        )
        transport = self.transports[address] = MemoryTransport(vm, address, self)

        def record(event, **fields):
            self.events.append((self.clock.monotonic(), vm, event, fields))

        context = (self.clock, random.Random(self.random.getrandbits(64)), record)
        coordination = Coordination.from_settings(
            settings, transport, *context, lambda *_: ()
        )
        self.schedule(
            self.random.random() * TICK_S, address, self.tick, coordination, transport
        )
        self.vms[vm] = coordination
        return coordination

    def tick(self, coordination, transport):
        if self.transports.get(transport.address) is transport:
            coordination.detector.advance()
            self.schedule(TICK_S, transport.address, self.tick, coordination, transport)

    def encode(self, envelope):
        return self.codec.encode(envelope) if self.codec else envelope

    def deliver(self, frame, source, address):
        if address in self.transports:
            envelope = self.codec.decode(frame) if self.codec else frame
            self.transports[address].dispatch(envelope, source)

    def get_delay(self, *path):
        regions = {int(address.split(":")[0].split(".")[3]) % 3 for address in path}
        return self.random.uniform(0.8, 1.2) * (0.02 if len(regions) == 2 else 0.001)

    def blocks(self, *path):
        return any(rule(*path) for rule in self.block_rules)

    def schedule(self, delay, address, *call):
        at = self.clock.monotonic() + delay
        heapq.heappush(self._queue, (at, next(self._order), address, call))

    def pause(self, vm, seconds):
        """Run the fleet for ``seconds`` while one VM is paused."""
        self.paused[address := self.members[vm].local_member.peer_address] = []
        self.run(seconds)
        events = sorted(self.paused.pop(address), key=lambda e: e[3][0] != self.tick)
        for event in events:  # after a pause, timers run before sockets are read
            self.schedule(0, address, *event[3])

    def kill(self, vm):
        """Remove a VM without notice and return its ``Membership``."""
        self.transports.pop(self.members[vm].local_member.peer_address)
        return self.vms.pop(vm).membership

    def run(self, seconds):
        end = self.clock.monotonic() + seconds
        while self._queue and self._queue[0][0] <= end:
            entry = heapq.heappop(self._queue)
            self.clock.advance(max(0.0, entry[0] - self.clock.monotonic()))
            function, *args = entry[3]
            if entry[2] in self.paused:
                function, args = self.paused[entry[2]].append, [entry]
            function(*args)
        self.clock.advance(end - self.clock.monotonic())

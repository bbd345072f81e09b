"""A fleet in one process: in-memory transport on a manual clock."""

import heapq
import itertools
import random

from lavendermast.clock import ManualClock
from lavendermast.coordination import Coordination
from lavendermast.detector import TICK_S
from lavendermast.exceptions import PeerError
from lavendermast.peers import PeerTransport
from lavendermast.settings_model import ProcessSettings

REGIONS = ("riga", "kurzeme", "latgale")


class MemoryTransport(PeerTransport):
    """Delivers through the fleet's event queue."""

    def __init__(self, vm, address, fleet):
        super().__init__(vm)
        self.address, self.fleet = address, fleet

    def send(self, address, body):
        fleet = self.fleet
        frame = self.make_envelope(body, fleet.clock)
        if fleet.codec is not None:
            frame = fleet.codec.encode(frame)
        self.counts.add("sent", body, len(frame) if fleet.codec else 0)
        if fleet.blocks(self.address, address) or fleet.random.random() < fleet.loss:
            return
        for _ in range(1 + (fleet.random.random() < fleet.doubled)):
            delay = fleet.get_delay(self.address, address)
            fleet.schedule(delay, address, fleet.deliver, frame, self.address, address)

    def request(self, address, body, deadline):
        peer, fleet = self.fleet.transports.get(address), self.fleet
        cut = fleet.blocks(self.address, address) or fleet.blocks(address, self.address)
        if peer is None or cut or address in fleet.paused:
            raise PeerError("not reachable")
        reply = peer.dispatch(self.make_envelope(body, fleet.clock), self.address)
        if reply is None:
            raise PeerError("no reply")
        return reply

    def spawn(self, function, *args):
        self.fleet.schedule(0, self.address, self.guard, function, *args)


class Fleet:
    """VMs ``vm-0`` to ``vm-<n-1>`` in six zones of three regions, started together."""

    def __init__(self, size, seed=1, codec=None, loss=0.0, doubled=0.0):
        self.random = random.Random(seed)
        self.clock, self.codec = ManualClock(), codec
        self.loss, self.doubled = loss, doubled
        self.block_rules, self.paused, self.transports = [], {}, {}
        self.vms, self.events, self._queue = {}, [], []
        self._order = itertools.count()
        for index in range(size):
            self.start(index)
        updates = [m.set_own_state("alive") for m in self.members.values()]
        for membership in self.members.values():
            membership.merge(updates)
            membership.set_listed({u.vm: u.peer_address for u in updates})
        self.events.clear()

    @property
    def members(self):
        return {vm: coordination.membership for vm, coordination in self.vms.items()}

    def start(self, index, vm=None):
        vm, region = vm or f"vm-{index}", REGIONS[index % 3]
        place = (region, f"{region}-{index // 3 % 2}", "site")
        address = f"10.0.0.{index}:7000"
        settings = ProcessSettings(vm, *place, address, address, "", "", (), (), "-")
        transport = self.transports[address] = MemoryTransport(vm, address, self)

        def record(event, **fields):
            self.events.append((self.clock.monotonic(), vm, event, fields))

        seeded = random.Random(self.random.getrandbits(64))
        self.vms[vm] = Coordination.from_settings(
            settings, transport, self.clock, seeded, record, lambda *args: ()
        )
        delay = seeded.uniform(0, TICK_S)
        self.schedule(delay, address, self.tick, self.vms[vm], transport)
        return self.vms[vm]

    def tick(self, coordination, transport):
        if self.transports.get(transport.address) is transport:
            coordination.detector.advance()
            self.schedule(TICK_S, transport.address, self.tick, coordination, transport)

    def deliver(self, frame, source, address):
        if address in self.transports:
            envelope = self.codec.decode(frame) if self.codec else frame
            self.transports[address].dispatch(envelope, source)

    def get_delay(self, *path):
        regions = {int(address.split(":")[0].split(".")[3]) % 3 for address in path}
        return self.random.uniform(0.8, 1.2) * (0.02 if len(regions) == 2 else 0.001)

    def blocks(self, source, target):
        return any(rule(source, target) for rule in self.block_rules)

    def schedule(self, delay, address, *call):
        at = self.clock.monotonic() + delay
        heapq.heappush(self._queue, (at, next(self._order), address, call))

    def pause(self, vm):
        self.paused[self.members[vm].own.peer_address] = []

    def resume(self, vm):
        for _, _, address, call in self.paused.pop(self.members[vm].own.peer_address):
            self.schedule(0, address, *call)

    def kill(self, vm):
        self.transports.pop(self.members[vm].own.peer_address)
        return self.vms.pop(vm).membership

    def run(self, seconds):
        end = self.clock.monotonic() + seconds
        while self._queue and self._queue[0][0] <= end:
            entry = heapq.heappop(self._queue)
            self.clock.advance(max(0.0, entry[0] - self.clock.monotonic()))
            if entry[2] in self.paused:
                self.paused[entry[2]].append(entry)
            else:
                entry[3][0](*entry[3][1:])
        self.clock.advance(end - self.clock.monotonic())

"""VMs that follow a store, on a virtual clock and an in-memory network."""

import random
import types

import attrs
import eventlet
from eventlet import hubs, patcher
from eventlet.event import Event
from eventlet.hubs.hub import BaseHub

from bench.soakchecks import CONTACT_TIMEOUT_S
from lavendermast.accounts import (
    Authorizer,
    ProofKeeper,
    StateProofs,
    compute_read_timeouts,
)
from lavendermast.catalog import Catalog
from lavendermast.catalogsync import CatalogSync, DocumentSource
from lavendermast.clock import Clock
from lavendermast.entrymodel import Account, CallerLimits, ConfigDocument, EntryConfig
from lavendermast.exceptions import PeerError, StoreError
from lavendermast.messages_model import StoredChange, StoredChanges
from lavendermast.peers import PeerTransport
from lavendermast.platform.store import CONNECT_TIMEOUT_S, READ_TIMEOUT_S
from lavendermast.zonefleet import ZoneFleet

#: The zones and regions of a deployment and its VMs per zone.
ZONES = {
    "a": "north",
    "b": "north",
    "c": "south",
    "d": "south",
    "e": "west",
    "f": "west",
}
VMS_PER_ZONE = 7
STORE_DELAY_S = 0.006
#: One-way delays within a region and between regions.
NEAR_DELAY_S, FAR_DELAY_S = 0.001, 0.02
KEY = "op/config"


class VirtualHub(BaseHub):
    """A hub without sockets, whose clock advances to the next timer at once."""

    def __init__(self):
        self.now = 0.0
        super().__init__(clock=lambda: self.now)

    def wait(self, seconds=None):
        """Advance the clock."""
        self.now += max(seconds or 0.0, 0.0)


def run_virtually(function, *args):
    """Call a function in a thread with a ``VirtualHub`` and return its result."""
    result = []

    def run():
        hubs.use_hub(VirtualHub)
        result.append(function(*args))

    thread = patcher.original("threading").Thread(target=run)
    thread.start()
    thread.join()
    return result[0]


class VirtualClock(Clock):
    """The time of a ``VirtualHub``; the tasks of a frozen VM do not wake up."""

    def __init__(self, vm=None):
        self._vm = vm

    def monotonic(self):
        """Return the time of the hub."""
        return hubs.get_hub().now

    def time(self):
        """Return the time of the hub as Unix time."""
        return 1_700_000_000.0 + self.monotonic()

    def sleep(self, seconds):
        """Suspend the calling task, longer while its VM is frozen."""
        eventlet.sleep(seconds)
        if self._vm is not None:
            self._vm.wait_thawed()


class Store:
    """Versions of one document; while ``silent``, calls are never answered."""

    def __init__(self):
        self.acked_at = []
        self.changed = Event()
        self.silent = False

    @property
    def revision(self):
        """Number of versions so far."""
        return len(self.acked_at)

    def put(self):
        """Write the next version."""
        self.acked_at.append(hubs.get_hub().now)
        changed, self.changed = self.changed, Event()
        changed.send()

    def make_changes(self, after, whole):
        """Return the newest version as changes after a revision."""
        changes = ()
        if self.revision > after:
            content = str(self.revision).encode()
            changes = (StoredChange(KEY, self.revision, False, content),)
        return StoredChanges(after, self.revision, whole, changes, 1)


class SimulatedSource(DocumentSource):
    """
    The store as one VM sees it; responses are lost silently while it is cut off.

    A call that is made while the store is silent is lost even if the silence ends.
    """

    def __init__(self, store, vm, read_timeout_s, probe_timeout_s):
        self._store, self._vm = store, vm
        self._read_timeout_s, self._probe_timeout_s = read_timeout_s, probe_timeout_s
        self.calls = 0
        self.era = 1

    def read_all(self):
        """Return the newest version."""
        self._call(self._read_timeout_s)
        return self._receive(0, True)

    def watch(self, revision, wait_s):
        """Return the newest version once there is one after a revision."""
        timeout_s = self._read_timeout_s if wait_s else self._probe_timeout_s
        self._call(wait_s + timeout_s)
        deadline = self._vm.clock.monotonic() + wait_s
        changed = self._store.changed
        if self._store.revision <= revision:
            with eventlet.Timeout(deadline - self._vm.clock.monotonic(), False):
                changed.wait()
        if self._vm.store_cut or self._store.silent:
            failure_at = deadline + timeout_s
            eventlet.sleep(failure_at - self._vm.clock.monotonic())
            self._vm.wait_thawed()
            raise StoreError("no response")
        return self._receive(revision, False)

    def _call(self, timeout_s):
        self.calls += 1
        eventlet.sleep(STORE_DELAY_S)
        self._vm.wait_thawed()
        if self._store.silent:
            eventlet.sleep(timeout_s)
            self._vm.wait_thawed()
            raise StoreError("no response")
        if self._vm.store_cut:
            eventlet.sleep(CONNECT_TIMEOUT_S)
            self._vm.wait_thawed()
            raise StoreError("no connection")

    def _receive(self, after, whole):
        changes = self._store.make_changes(after, whole)
        eventlet.sleep(STORE_DELAY_S)
        self._vm.wait_thawed()
        return changes


class SimulatedTransport(PeerTransport):
    """Delivers messages unless the direction is cut or the receiver is down."""

    def __init__(self, vm, fleet):
        super().__init__(vm.name)
        self._vm, self._fleet = vm, fleet

    def send(self, address, body):
        """Deliver a datagram after the delay of the path."""
        if self._fleet.is_open(self.vm, address):
            envelope = self.make_envelope(body, self._vm.clock)
            eventlet.spawn_after(
                self._fleet.get_delay(self.vm, address),
                self._fleet.deliver,
                address,
                envelope,
            )

    def request(self, address, body, deadline):
        """Return the reply after a round trip, which needs both directions."""
        clock, fleet = self._vm.clock, self._fleet
        open_ways = fleet.is_open(self.vm, address) and fleet.is_open(address, self.vm)
        if not open_ways or fleet.vms[address].frozen:
            clock.sleep(max(deadline - clock.monotonic(), 0.0))
            raise PeerError("no reply")
        clock.sleep(3 * fleet.get_delay(self.vm, address))
        reply = fleet.deliver(address, self.make_envelope(body, clock))
        clock.sleep(fleet.get_delay(self.vm, address))
        if reply is None:
            raise PeerError("no reply")
        return reply

    def spawn(self, function, *args):
        """Run a function in another task."""
        self._vm.spawn(self.run_safely, function, *args)


class SimulatedVm:
    """The parts of an entry VM that follow the store, and what happens to them."""

    def __init__(self, name, fleet):
        self.name, self.fleet_links = name, fleet
        self.clock = VirtualClock(self)
        self.frozen = None
        self.store_cut = False
        self.running = False
        self.disturbed_at = 0.0
        self.tasks = []
        self.boots = 0

    def start(self):
        """Start the process."""
        fleet = self.fleet_links
        self.boots += 1
        self.running = True
        self.touch()
        self.network = fleet.transport_class(self, fleet)
        self.catalog = Catalog(decode, self.clock, ignore, lapse_s=2.0)
        settings = types.SimpleNamespace(
            vm=self.name,
            zone=self.name[0],
            peer_address=self.name,
            seeds=("a1", "c1", "e1"),
            cpu_share=fleet.get_cores(self.name),
            cpu_speed=1,
        )
        self.zone_fleet = ZoneFleet(
            settings,
            self.boots * 1000,
            self.network,
            self.clock,
            ignore,
            lambda: self.sync.get_store_state(),
            lambda: 0.0,
            ZONES,
        )
        self.catalog.on_config.append(lambda _: self.zone_fleet.set_state("alive"))
        removal_ms = fleet.key_removal_ms
        timeouts = compute_read_timeouts(removal_ms, READ_TIMEOUT_S)
        self.source = SimulatedSource(fleet.store, self, *timeouts)
        self.sync = CatalogSync(
            self.catalog,
            self.source,
            self.zone_fleet,
            self.network,
            self.clock,
            self.record,
        )
        if removal_ms:
            self._add_authorizer(removal_ms)
        self.spawn(self.sync.run)
        self.spawn(self.zone_fleet.run)

    def _add_authorizer(self, removal_ms):
        def get_state():
            return self.catalog.era, self.catalog.revision

        proofs = StateProofs(get_state, self.clock)
        rng = random.Random(f"{self.name}/{self.boots}")
        keeper = ProofKeeper(
            proofs,
            get_state,
            self.sync,
            self.zone_fleet,
            self.network,
            self.clock,
            rng,
            removal_ms / 1000,
        )
        settings = types.SimpleNamespace(key_removal_ms=removal_ms, config_lag_ms=3000)
        self.authorizer = Authorizer.from_settings(
            settings, keeper, proofs, self.sync, ignore
        )
        self.catalog.on_config.insert(0, self.authorizer.apply_config)
        self.spawn(keeper.run)

    def may_run(self):
        """Return whether a request with the key of this VM's version may run."""
        account = make_account(self.catalog.config_version)
        credential = self.authorizer.make_credential(account.keys[0], account)
        if not credential:
            return False
        request = types.SimpleNamespace(account=account, credential=credential)
        return self.authorizer.may_run(request)

    def record(self, event, **fields):
        """Keep an event for the account of a finding."""
        self.fleet_links.events.append(
            (self.clock.monotonic(), self.name, event, fields)
        )

    def spawn(self, function, *args):
        """Run a task of this process."""
        self.tasks = [task for task in self.tasks if not task.dead]
        self.tasks.append(eventlet.spawn(function, *args))

    def touch(self):
        """Record that something happened to this VM."""
        self.disturbed_at = self.clock.monotonic()

    def kill(self):
        """End the process."""
        self.running = False
        self.thaw()
        for task in self.tasks:
            task.kill()
        self.tasks = []

    def freeze(self):
        """Stop all tasks until :meth:`thaw`."""
        if self.frozen is None:
            self.frozen = Event()

    def thaw(self):
        """Let the tasks go on."""
        if self.frozen is not None:
            frozen, self.frozen = self.frozen, None
            frozen.send()
        self.touch()

    def wait_thawed(self):
        """Block the calling task while the VM is frozen."""
        while self.frozen is not None:
            self.frozen.wait()

    def is_in_contact(self):
        """Return whether the VM ran and reached the store for ``CONTACT_TIMEOUT_S``."""
        calm = self.clock.monotonic() - self.disturbed_at >= CONTACT_TIMEOUT_S
        reaches_store = not (self.store_cut or self.fleet_links.store.silent)
        return calm and self.running and reaches_store and self.frozen is None


@attrs.define
class Cut:
    """Links from one set of VMs to another that lose everything."""

    sources: frozenset
    targets: frozenset


class SimulatedFleet:
    """
    VMs in all zones, and the cut links between them.

    :param key_removal_ms: setting of the VMs; each version removes the only key of the
        one before it.
    """

    transport_class = SimulatedTransport

    def __init__(self, zones=ZONES, vms_per_zone=VMS_PER_ZONE, key_removal_ms=0):
        self.key_removal_ms = key_removal_ms
        self.store = Store()
        self.cuts = []
        self.events = []
        names = [f"{zone}{n}" for zone in zones for n in range(1, vms_per_zone + 1)]
        self.vms = {name: SimulatedVm(name, self) for name in names}
        self.calm_calls = 0

    def is_open(self, source, target):
        """Return whether a message from one VM reaches another."""
        vm = self.vms.get(target)
        if vm is None or not vm.running or not self.vms[source].running:
            return False
        return not any(
            c.sources >= {source} and c.targets >= {target} for c in self.cuts
        )

    def get_delay(self, source, target):
        """Return the one-way delay between two VMs in seconds."""
        same = ZONES.get(source[0]) == ZONES.get(target[0])
        return NEAR_DELAY_S if same else FAR_DELAY_S

    def get_cores(self, name):
        """Return the cores of a VM."""
        return 0.86

    def deliver(self, address, envelope):
        """Pass a message to its receiver; one that is frozen handles it later."""
        vm = self.vms[address]
        if not vm.running:
            return None
        if vm.frozen is not None:
            vm.spawn(self._deliver_thawed, vm, envelope)
            return None
        return vm.network.dispatch(envelope, envelope.sender)

    def _deliver_thawed(self, vm, envelope):
        vm.wait_thawed()
        vm.network.dispatch(envelope, envelope.sender)

    def choose(self, rng):
        """Return some VMs: single ones, first ones of zones, or a share of all."""
        names = list(self.vms)
        kind = rng.choice(["one", "first", "firsts", "share"])
        if kind == "one":
            chosen = [rng.choice(names)]
        elif kind == "first":
            chosen = [f"{rng.choice(names)[0]}1"]
        elif kind == "firsts":
            count = rng.randint(1, 2)
            chosen = [name for name in names if int(name[1:]) <= count]
        else:
            chosen = rng.sample(names, rng.randint(2, len(names) * 2 // 3))
        return [self.vms[name] for name in chosen]


def ignore(event, **fields):
    """Discard an event."""


def decode(key, content):
    """Return the document of a version."""
    version = int(content)
    accounts = (make_account(version),)
    return ConfigDocument(EntryConfig(version, (), (), CallerLimits(), accounts))


def make_account(version):
    """Return the only account of a version."""
    return Account("a", (f"key-{version}",))

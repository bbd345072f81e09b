"""Accounts, keys and the age of the state that they are from, on a manual clock."""

import math
import random
import types

import pytest

from bench.propagation import run_seed
from bench.simulatedfleet import SimulatedFleet, VirtualClock, run_virtually
from lavendermast.accounts import (
    AccountDirectory,
    Authorizer,
    ProofKeeper,
    StateProofs,
)
from lavendermast.accounts.proofkeeper import NEVER_MS, WAIT_SHARE
from lavendermast.clock import ManualClock
from lavendermast.directory import Directory
from lavendermast.entrymodel import Account
from lavendermast.exceptions import HistoryLostError, RequestError
from lavendermast.messages_model import StateReply
from tests.test_zonefleet import (
    FakeSource,
    InMemoryNetwork,
    InMemoryTransport,
    make_vm,
)

REMOVAL_MS = 5000
OPEN, KEYED = types.SimpleNamespace(public=True), types.SimpleNamespace(public=False)
ONE = Account("one", ("k1", "k2"))
TWO = Account("two", ("k2", "k3"))


class SuspendableClock(ManualClock):
    """A clock whose ``monotonic`` does not count while the machine is suspended."""

    suspended_s = 0.0

    def elapsed(self):
        return self.monotonic() + self.suspended_s


class Vm:
    """The parts of an entry VM that decide on keys, with a state that tests set."""

    def __init__(self, name, network, clock, names=("a1", "a2", "a3")):
        self.state, self.events = (1, 7), []
        vms = {n: types.SimpleNamespace(peer_address=n) for n in names if n != name}
        fleet = types.SimpleNamespace(
            local_vm=types.SimpleNamespace(vm=name),
            get_vm_names=lambda: sorted(names),
            count_inactive=lambda: 0,
            vms=vms,
        )
        self.sync = types.SimpleNamespace(
            on_read=[], store_reachable=True, get_confirmed_age_ms=lambda: 1
        )
        self.transport = InMemoryTransport(name, network, clock)
        self.proofs = StateProofs(lambda: self.state, clock)
        self.keeper = ProofKeeper(
            self.proofs,
            lambda: self.state,
            self.sync,
            fleet,
            self.transport,
            clock,
            random.Random(1),
            REMOVAL_MS / 1000,
        )
        settings = types.SimpleNamespace(key_removal_ms=REMOVAL_MS, config_lag_ms=3000)
        self.authorizer = Authorizer.from_settings(
            settings, self.keeper, self.proofs, self.sync, self.record
        )

    def record(self, event, **fields):
        self.events.append((event, fields))

    def configure(self, *accounts, version=1):
        self.authorizer.apply_config(
            types.SimpleNamespace(
                version=version, accounts=accounts, account_findings=()
            )
        )

    def try_key(self, key, route=KEYED):
        """Return the name of the account, or the status of the refusal."""
        try:
            account = self.authorizer.authorize(key, route)
        except RequestError as error:
            assert bool(error.retry_after) == (error.status == 503)
            return error.status
        return account and account.name

    def make_request(self, key):
        account = self.authorizer.authorize(key, KEYED)
        credential = self.authorizer.make_credential(key, account)
        return types.SimpleNamespace(account=account, credential=credential)


@pytest.fixture
def clock():
    return SuspendableClock(1000.0)


@pytest.fixture
def network():
    return InMemoryNetwork()


@pytest.fixture
def vm(clock, network):
    vm = Vm("a3", network, clock)
    vm.configure(ONE, TWO)
    vm.proofs.add(1, 7, clock.elapsed())
    return vm


def test_key_belongs_to_the_first_account_that_holds_it_in_the_newest_version():
    """Guards against keys that keep an old owner, and findings that contain a key."""
    directory = AccountDirectory()

    def find(key):
        account = directory.find(directory.compute_digest(key))
        return account and account.name

    findings = directory.replace((ONE, TWO))
    assert [find(f"k{n}") for n in range(1, 5)] == ["one", "one", "two", None]
    assert len(findings) == 1 and "two" in findings[0] and "k2" not in findings[0]
    directory.replace((Account("one", ()), TWO))
    assert [find(f"k{n}") for n in range(1, 4)] == [None, "two", "two"]
    directory.replace((ONE,))
    assert (find("k1"), find("k3")) == ("one", None)
    directory.replace(())
    assert directory.in_force and find("k1") is None


def test_request_needs_a_known_key_unless_its_route_is_public(vm):
    """Guards against requests that run without a key, and against needless refusals."""
    assert [vm.try_key(key) for key in ("k1", "k3", "k4", "")] == [
        "one",
        "two",
        401,
        401,
    ]
    assert vm.try_key("k4", OPEN) is None
    vm.authorizer.apply_config(
        types.SimpleNamespace(version=2, accounts=None, account_findings=())
    )
    assert vm.try_key("") is None


@pytest.mark.parametrize(
    ("age_s", "known", "unknown"),
    [(2.9, "one", 401), (3.6, "one", 503), (4.4, "one", 503), (5.1, 503, 503)],
)
def test_old_state_refuses_unknown_keys_first_and_then_all(
    vm, network, clock, age_s, known, unknown
):
    """
    Guards against 401 for a key that was just added, and against keys that are used
    longer than their removal may take, while the store is silent.
    """
    network.cut.add("a3")
    clock.advance(age_s)
    assert (vm.try_key("k1"), vm.try_key("k9")) == (known, unknown)
    assert vm.try_key("") == 401
    vm.proofs.add(1, 7, clock.elapsed())
    assert (vm.try_key("k1"), vm.try_key("k9")) == ("one", 401)


def test_proof_counts_from_its_time_and_once_its_state_is_reached(vm, clock):
    """Guards against a VM that takes a proof of a newer state for one of its own."""
    clock.advance(3.0)
    vm.proofs.add(1, 8, clock.elapsed())
    vm.proofs.add(2, 5, clock.elapsed())
    assert vm.proofs.get_age_s() == 3.0
    clock.advance(1.0)
    vm.state = (1, 9)
    assert vm.proofs.get_age_s() == 1.0
    vm.proofs.add(1, 9, clock.elapsed() + 5.0)
    assert vm.proofs.get_age_s() == 1.0


class _StopError(Exception):
    """Ends the endless loop under test."""


def test_read_proves_what_it_returns_at_its_sending_time(clock, network):
    """
    Guards against proofs by the end of a long call, by responses that are older than
    the known state, and by calls that failed.
    """
    source, proven = FakeSource(), []
    vm = make_vm("a1", network, clock, source)
    watch, read_all = source.watch, source.read_all

    def read_first():
        # A VM that starts waits for its peers before it reads the store.
        if not proven_at:
            proven_at.append(clock.monotonic())
        return read_all()

    def watch_slowly(revision, wait_s):
        sent_at = clock.monotonic()
        clock.advance(0.5)
        if len(proven) > 2 or source.calls > 10:
            raise _StopError
        if len(proven) == 2:
            if source.changes[1:]:
                del source.changes[1:]
                raise HistoryLostError("compacted")
            raise _StopError
        proven_at.append(sent_at)
        return watch(revision, wait_s)

    proven_at = []
    source.read_all, source.watch = read_first, watch_slowly
    vm.sync.on_read.append(lambda era, revision, at: proven.append((revision, at)))
    with pytest.raises(_StopError):
        vm.sync.run()
    assert proven == [(2, at) for at in proven_at]


def test_restored_store_proves_nothing_of_other_vms(vm, network, clock):
    """Guards against the proof of a lost era for a VM that never had its changes."""
    other = Vm("a1", network, clock)
    clock.advance(1.0)
    other.proofs.add(1, 7, clock.elapsed())
    vm.state = other.state = (2, 4)
    assert other.proofs.get_age_s() == 0.0
    clock.advance(1.0)
    vm.keeper.tick()
    assert vm.proofs.get_age_s() == 2.0
    other.proofs.add(2, 4, clock.elapsed())
    for _ in range(3):
        clock.advance(0.5)
        vm.keeper.tick()
    assert vm.proofs.get_age_s() == 1.5


@pytest.mark.parametrize("fault", ["frozen", "suspended"])
def test_vm_that_did_not_run_is_fenced_at_once(vm, network, clock, fault):
    """Guards against keys in use after the VM was frozen or its machine suspended."""
    request = vm.make_request("k1")
    network.cut.add("a3")
    if fault == "frozen":
        clock.advance(60.0)
    else:
        clock.suspended_s += 60.0
    assert not vm.authorizer.may_run(request)
    assert vm.try_key("k1") == 503


def test_reply_is_as_old_as_its_query(vm, clock):
    """Guards against an old datagram that a frozen VM takes for a new one."""

    def receive(sent_ms, age_ms):
        reply = StateReply(sent_ms, 1, 7, age_ms)
        vm.transport.dispatch(vm.transport.make_envelope(reply, clock), "a1")

    clock.advance(2.0)
    vm.keeper.tick()
    asked_ms = math.floor(clock.elapsed() * 1000)
    clock.advance(60.0)
    receive(asked_ms, 500)
    assert vm.proofs.get_age_s() == pytest.approx(60.5)
    receive(asked_ms, NEVER_MS)
    receive(math.floor(clock.elapsed() * 1000), 0)
    assert vm.proofs.get_age_s() == pytest.approx(60.5)


def test_step_of_the_wall_clock_changes_nothing(vm, clock):
    """Guards against ages by the wall clock, which operators and hosts may set."""
    request = vm.make_request("k1")
    clock._epoch -= 3600.0
    assert vm.authorizer.may_run(request)
    clock._epoch += 7200.0
    clock.advance(4.6)
    assert not vm.authorizer.may_run(request)


def test_dead_hub_is_replaced_by_the_next_one(vm, network, clock):
    """Guards against a VM that asks a dead hub until its proof has expired."""
    hub = Vm("a2", network, clock)
    for _ in range(40):
        clock.advance(0.1)
        hub.proofs.add(1, 7, clock.elapsed())
        vm.keeper.tick()
    assert vm.proofs.get_age_s() < 2.0


def test_request_waits_for_a_hub_but_not_at_an_isolated_vm(vm, network, clock):
    """Guards against needless refusals after a pause, and against long waits."""
    hub = Vm("a1", network, clock)
    clock.advance(60.0)
    hub.proofs.add(1, 7, clock.elapsed())
    assert vm.try_key("k1") == "one"
    network.cut.add("a3")
    clock.advance(60.0)
    started = clock.monotonic()
    assert vm.try_key("k1") == 503
    waited_s = clock.monotonic() - started
    assert 0.0 < waited_s <= WAIT_SHARE * REMOVAL_MS / 1000 + 0.1
    started = clock.monotonic()
    assert vm.try_key("k1") == 503
    assert clock.monotonic() == started


def test_accepted_request_is_checked_again(vm):
    """Guards against requests that wait while a configuration takes away their key."""
    request, moved = vm.make_request("k1"), vm.make_request("k2")
    assert vm.authorizer.may_run(request) and vm.authorizer.may_run(moved)
    vm.configure(Account("two", ("k1", "k2")), version=2)
    assert not vm.authorizer.may_run(moved)
    vm.configure(Account("one", ("k1",)), version=3)
    assert vm.authorizer.may_run(request)
    vm.configure(TWO, version=4)
    assert not vm.authorizer.may_run(request)
    keyless = types.SimpleNamespace(account=None, credential=None)
    assert not vm.authorizer.may_run(keyless)
    keyless.credential = b""
    assert vm.authorizer.may_run(keyless)


def test_fence_is_logged_once_and_keys_never(vm, network, clock):
    """Guards against silent fencing, a log line per request, and keys in the log."""
    network.cut.add("a3")
    for age_s in (1.0, 3.6, 0.1):
        clock.advance(age_s)
        vm.keeper.tick()
    vm.proofs.add(1, 7, clock.elapsed())
    vm.keeper.tick()
    assert [event for event, _ in vm.events] == [
        "accounts_accepted",
        "keys_fenced",
        "keys_resumed",
    ]
    assert not any(key in str(vm.events) for key in (*ONE.keys, *TWO.keys))


def test_vm_calls_the_store_at_most_about_once_a_second(vm, network, clock):
    """Guards against a zone whose VMs all call the store whenever hubs are silent."""
    network.cut.add("a3")
    times = []
    for _ in range(200):
        clock.advance(0.05)
        if vm.sync.needs_proof():
            times.append(clock.monotonic() - 1000.0)
    assert 2.5 <= times[0] <= 3.1
    assert 5 <= len(times) <= 10
    assert vm.sync.watch_wait_s == 0.5


def test_unproven_hub_proves_nothing(vm, network, clock):
    """Guards against trust in a hub that has restarted and knows nothing yet."""
    Vm("a1", network, clock)
    clock.advance(2.0)
    vm.keeper.tick()
    assert vm.proofs.get_age_s() == 2.0


@pytest.mark.parametrize("kind", [None, "freeze", "kill", "links_cut", "store_silent"])
def test_no_vm_of_a_fleet_uses_a_key_after_its_removal(kind):
    """Guards against a removed key in use, whatever fails, and against late keys."""
    kinds = kind and [kind]
    _, findings = run_seed(2, 25.0, kinds=kinds, key_removal_ms=REMOVAL_MS)
    assert findings == []


def watch_fence(silence_s, phase_s, restarted):
    """Return the longest time for which a VM was fenced, and whether one is at last."""
    fleet = SimulatedFleet("abcdef", 3, key_removal_ms=REMOVAL_MS)
    clock, fenced = VirtualClock(), dict.fromkeys(fleet.vms, 0.0)
    fleet.store.put()
    for vm in fleet.vms.values():
        vm.start()
    clock.sleep(6.0 + phase_s)
    fleet.store.silent = silence_s > 0.0
    if restarted:
        for vm in fleet.vms.values():
            vm.kill()
            vm.start()
    for step in range(round((silence_s + 3.0) / 0.02)):
        if step * 0.02 >= silence_s:
            fleet.store.silent = False
        for name, vm in fleet.vms.items():
            if vm.authorizer.is_fenced():
                fenced[name] += 0.02
        clock.sleep(0.02)
    return max(fenced.values()), all(vm.may_run() for vm in fleet.vms.values())


@pytest.mark.parametrize(
    ("silence_s", "restarted"), [(3.0, False), (20.0, False), (0.0, True), (3.0, True)]
)
def test_silence_of_the_store_fences_only_when_it_is_long(silence_s, restarted):
    """
    Guards against refusals in a silence of 3 s, against keys in use in a longer one,
    and against a fleet that does not resume by itself, also after a restart of all.
    """
    rng = random.Random(3)
    for _ in range(4):
        fenced_s, resumed = run_virtually(
            watch_fence, silence_s, rng.uniform(0.0, 1.0), restarted
        )
        assert resumed
        if silence_s == 20.0:
            # From 3.5 to 4 s on, until 0.6 s for the call and 0.4 s for the query.
            assert 15.0 < fenced_s < 17.5
        elif not restarted:
            assert fenced_s < WAIT_SHARE * REMOVAL_MS / 1000


@pytest.mark.parametrize(
    ("fenced", "listed"),
    [
        ("", "a1 a2"),
        ("a1", "a2"),
        ("a1 a2", "a3"),
        ("a1 a2 a3", "b1"),
        ("a1 a2 a3 b1", "a1 a2"),
    ],
)
def test_directory_names_fenced_vms_only_without_others_in_the_region(fenced, listed):
    """
    Guards against callers that are sent to a VM which refuses all keys.

    Callers choose one of the named VMs at random, so the order is not enough.
    """
    ready = {
        zone: [
            types.SimpleNamespace(vm=f"{zone}{n}", fenced=f"{zone}{n}" in fenced)
            for n in range(1, count + 1)
        ]
        for zone, count in {"a": 3, "b": 1, "c": 2}.items()
    }
    fleet = types.SimpleNamespace(
        get_ready=ready.get,
        get_active=lambda zone: ready[zone][:2],
        local_vm=types.SimpleNamespace(state="alive"),
    )
    regions = {"c": "south", "a": "north", "b": "north"}
    vms = Directory(fleet, regions, ManualClock()).resolve("north", "a")
    assert " ".join(vm.vm for vm in vms) == listed

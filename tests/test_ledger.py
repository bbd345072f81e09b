"""Ledger: permanent refusals, bounds, joining and handover."""

import eventlet
import pytest

from lavendermast import entries, ledger as ledger_module
from lavendermast.clock import ManualClock, SystemClock
from lavendermast.exceptions import LedgerError
from lavendermast.ledger import Action, Ledger
from lavendermast.models import Outcome
from lavendermast.settings_model import Config
from lavendermast.tokens import TokenIssuer, read_token

KEY = b"0123456789abcdef"


class Vm:
    """A ledger with the issuer of its tokens."""

    def __init__(self, clock, boot_id=1, capacity=100):
        self.clock = clock
        self.ledger = Ledger(clock, boot_id, capacity, 900_000)
        self.issuer = TokenIssuer("vm", boot_id, 60_000, 1, KEY)

    def make_key(self, unique="u"):
        return f"{self.issuer.issue(self.ledger.get_unix_ms())}.{unique}"


def begin(vm, key, digest=b"d"):
    return vm.ledger.begin(key, digest, read_token(key.split(".")[0]))


def hand_over(source, target):
    source.ledger.freeze(target.ledger.boot_id)
    return [target.ledger.import_handover(m) for m in source.ledger.export_handovers()]


def test_stored_response_is_replayed_and_long_one_is_not():
    vm = Vm(ManualClock())
    first, second = vm.make_key("a"), vm.make_key("b")
    assert begin(vm, first).action is Action.RUN
    vm.ledger.finish(first, 201, [("A", "1")], b"body")
    replay = begin(vm, first)
    assert (replay.action, replay.status, replay.body) == (Action.REPLAY, 201, b"body")
    begin(vm, second)
    vm.ledger.finish(second, 200, [], b"x" * 65537)
    assert begin(vm, second).reason == "completed-before"


@pytest.mark.parametrize("settle", ["mark_not_run", "mark_unknown", "running"])
def test_other_request_under_a_used_key_is_refused(settle):
    vm = Vm(ManualClock())
    key = vm.make_key()
    begin(vm, key)
    if settle != "running":
        getattr(vm.ledger, settle)(key)
    refusal = begin(vm, key, b"other")
    expected = Outcome.NOT_RUN if settle == "mark_not_run" else Outcome.UNKNOWN
    assert (refusal.status, refusal.outcome) == (422, expected)


def test_key_marked_not_run_never_runs():
    """
    Guards against a wrong ``not-run`` (R3).

    A late copy must not run after its caller received not-run.
    """
    vm = Vm(ManualClock())
    key = vm.make_key()
    begin(vm, key)
    vm.ledger.mark_not_run(key)
    assert begin(vm, key).outcome is Outcome.NOT_RUN


def test_key_refused_by_a_full_ledger_never_runs():
    """
    Guards against a wrong ``not-run`` (R3).

    An entry may become free before a late copy arrives.
    """
    vm = Vm(ManualClock(), capacity=1)
    first = vm.make_key("a")
    begin(vm, first)
    vm.clock.advance(960.001 - 60)
    second = vm.make_key("b")
    assert begin(vm, second).reason == "ledger-full"
    vm.ledger.mark_unknown(first)
    vm.clock.advance(60)
    assert begin(vm, second).outcome is Outcome.NOT_RUN
    assert begin(vm, vm.make_key("c")).action is Action.RUN


def test_entries_expire_but_a_running_one_is_never_evicted():
    vm = Vm(ManualClock())
    used, late, running = (vm.make_key(name) for name in "abc")
    begin(vm, used)
    begin(vm, running)
    vm.ledger.mark_unknown(used)
    vm.clock.advance(61)
    assert begin(vm, late).outcome is Outcome.NOT_RUN
    vm.clock.advance(900)
    assert begin(vm, used).reason == "forgotten"
    assert begin(vm, running).action is Action.JOIN
    assert len(vm.ledger) == 1


def test_wall_clock_set_back_does_not_accept_an_old_key():
    """
    Guards against a wrong ``not-run`` (R3).

    A key refused as too old must stay refused.
    """
    clock = ManualClock()
    vm = Vm(clock)
    key = vm.make_key()
    clock.advance(61)
    assert begin(vm, key).outcome is Outcome.NOT_RUN
    clock._epoch -= 3600
    assert begin(vm, key).outcome is Outcome.NOT_RUN


def test_stored_bytes_are_bounded(monkeypatch):
    monkeypatch.setattr(ledger_module, "MAX_STORED_BYTES", 10)
    vm = Vm(ManualClock())
    reasons = []
    for name in "ab":
        key = vm.make_key(name)
        begin(vm, key)
        vm.ledger.finish(key, 200, [], b"123456")
        reasons.append(begin(vm, key).reason)
    assert reasons == ["replayed", "completed-before"]


def test_joined_waiter_gets_the_response_or_its_own_deadline():
    vm = Vm(SystemClock())
    key = vm.make_key()
    token = read_token(key.split(".")[0])
    begin(vm, key)
    now = vm.clock.monotonic()
    late = eventlet.spawn(vm.ledger.join, key, b"d", token, now + 0.02)
    waiter = eventlet.spawn(vm.ledger.join, key, b"d", token, now + 30)
    assert late.wait().reason == "in-flight"
    vm.ledger.finish(key, 200, [], b"x")
    assert waiter.wait().action is Action.REPLAY


def test_handover_in_parts_keeps_every_state(monkeypatch):
    monkeypatch.setattr(entries, "MAX_PART_BYTES", 200)
    clock = ManualClock()
    old, new, last = Vm(clock, 1), Vm(clock, 2), Vm(clock, 3)
    keys = [old.make_key(name) for name in "abcd"]
    for key in keys:
        begin(old, key)
    old.ledger.finish(keys[0], 200, [("A", "1")], b"x")
    old.ledger.mark_not_run(keys[1])
    old.ledger.mark_unknown(keys[2])
    parts = hand_over(old, new)
    assert len(parts) > 1
    assert all(hand_over(new, last))
    outcomes = [begin(last, key).outcome for key in keys]
    assert outcomes == [Outcome.ANSWERED, Outcome.NOT_RUN] + [Outcome.UNKNOWN] * 2
    assert begin(last, old.make_key("new")).action is Action.RUN
    snapshot = old.ledger.export_handovers()
    clock.advance(2000)
    assert old.ledger.export_handovers() == snapshot


def test_only_the_named_successor_takes_over():
    """
    Guards against a second run (R4).

    A resent handover must not give the keys two owners.
    """
    clock = ManualClock()
    old, new, other = Vm(clock, 1), Vm(clock, 2), Vm(clock, 3)
    key = old.make_key()
    assert hand_over(old, new) == [True]
    assert not other.ledger.import_handover(old.ledger.export_handovers()[0])
    with pytest.raises(LedgerError):
        old.ledger.freeze(3)
    assert begin(old, key).reason == "handed-over"
    assert begin(other, key).reason == "other-boot"
    assert begin(new, key).action is Action.RUN
    assert new.ledger.import_handover(old.ledger.export_handovers()[0])
    assert begin(new, key).action is Action.JOIN


def test_successor_with_a_slow_clock_refuses_an_expired_key():
    """
    Guards against a wrong ``not-run`` (R3).

    A key that expired at its owner must not run at the successor.
    """
    clock, slow = ManualClock(), ManualClock(epoch=1_699_999_000.0)
    old, new = Vm(clock, 1), Vm(slow, 2)
    key = old.make_key()
    clock.advance(61)
    assert begin(old, key).outcome is Outcome.NOT_RUN
    hand_over(old, new)
    assert begin(new, key).outcome is Outcome.NOT_RUN


def test_duplicate_handover_does_not_lower_refused_until():
    """
    Guards against a wrong ``not-run`` (R3).

    A key refused by a full ledger must stay refused.
    """
    clock = ManualClock()
    old, new = Vm(clock, 1), Vm(clock, 2, capacity=1)
    filler = new.make_key()
    begin(new, filler)
    new.ledger.mark_unknown(filler)
    clock.advance(900.001)
    key = old.make_key()
    hand_over(old, new)
    assert begin(new, key).reason == "ledger-full"
    clock.advance(59.999)
    hand_over(old, new)
    assert begin(new, key).outcome is Outcome.NOT_RUN


def test_frozen_ledger_rejects_a_handover():
    """
    Guards against a second run (R4).

    A ledger that has started its own handover must not take over keys of another VM,
    because its successor would not get them.
    """
    clock = ManualClock()
    old, new = Vm(clock, 1), Vm(clock, 2)
    new.ledger.freeze(3)
    assert hand_over(old, new) == [False]


@pytest.mark.parametrize("used", [True, False])
def test_key_of_an_evicted_entry_is_unknown_whatever_the_settings(used):
    """
    Guards against a wrong ``not-run`` (R3).

    A longer remember_ms must not turn an evicted key into not-run.
    """
    vm = Vm(ManualClock())
    key = vm.make_key()
    if used:
        begin(vm, key)
        vm.ledger.mark_unknown(key)
    vm.clock.advance(961)
    assert begin(vm, key).reason == "forgotten"
    longer = {"services": {}, "routes": {}, "tokens": {"remember_ms": 9_000_000}}
    vm.ledger.apply_config(Config.from_config(longer))
    assert (begin(vm, key).outcome is Outcome.UNKNOWN) == used

"""Tests for the tracking of requests that crash servers."""

import attrs
import pytest

from lavendermast.clock import ManualClock
from lavendermast.crashes import (
    HOLD_S,
    MAX_CRASHES,
    MAX_HOLD_S,
    MAX_SUSPECTS,
    SUSPICION_S,
    CrashTracker,
    ServerRun,
)
from lavendermast.models import CallerRequest

REQUEST = CallerRequest(
    "id-1", "GET", "/stock/7", "page=1", [("Host", "a.example")], b"", "", 0, 0, 0
)


@pytest.fixture
def clock():
    return ManualClock(10.0)


@pytest.fixture
def tracker(clock):
    return CrashTracker(clock, lambda event, **fields: None)


def crash(tracker, fingerprint, *numbers):
    for number in numbers:
        tracker.add_crash(ServerRun(f"s{number}", 0), fingerprint, "vm-1")


def test_repetition_has_the_same_fingerprint_and_no_other_request_has():
    """Guards against suspects that evade by a new id, and innocents that share one."""
    fingerprint = REQUEST.fingerprint
    repeated = attrs.evolve(REQUEST, id="id-2", deadline=9.0, customer="c")
    repeated.headers = [("Request-Id", "id-2"), ("host", "a.example")]
    assert repeated.fingerprint == fingerprint
    others = [
        {"method": "POST"},
        {"path": "/stock/7page=1", "query": ""},
        {"query": "page=2"},
        {"headers": [("Host", "b.example")]},
        {"body": b"x"},
        {"path": "/stock/\udce9"},
    ]
    digests = {attrs.evolve(REQUEST, **more).fingerprint for more in others}
    assert len(digests - {fingerprint}) == len(others)


def test_reports_of_one_crash_by_several_vms_count_once(tracker):
    """Guards against an innocent request that is held after a single crash."""
    crash(tracker, b"x", 1, 1, 1, 2, 2)
    assert tracker.get_hold_s(b"x") == 0.0
    tracker.add_crash(ServerRun("s1", 5), b"x", "vm-2")
    assert tracker.get_hold_s(b"x") == HOLD_S


def test_request_that_was_answered_is_no_suspect(tracker):
    """Guards against holding a popular request that is in flight in many crashes."""
    for number in range(20):
        crash(tracker, b"popular", number)
        if number % 2:
            assert tracker.clear(b"popular")
        assert tracker.get_hold_s(b"popular") == 0.0
    assert not tracker.clear(b"unknown")


def test_suspect_is_not_tried_again_by_the_same_vm(tracker):
    """Guards against a second attempt that crashes the next server."""
    crash(tracker, b"x", 1)
    assert tracker.may_retry(b"x")
    crash(tracker, b"x", 2)
    assert not tracker.may_retry(b"x")
    assert tracker.may_retry(b"y")


def test_hold_ends_and_grows_with_each_further_time(tracker, clock):
    """Guards against a request that is refused for ever or crashes servers for ever."""
    crash(tracker, b"x", *range(MAX_CRASHES))
    hold_s = HOLD_S
    for number in range(10, 18):
        clock.advance(hold_s - 1.0)
        assert tracker.get_hold_s(b"x") == pytest.approx(1.0)
        clock.advance(1.5)
        assert tracker.get_hold_s(b"x") == 0.0
        crash(tracker, b"x", number)
        hold_s = min(2 * hold_s, MAX_HOLD_S)
        assert tracker.get_hold_s(b"x") == hold_s
    clock.advance(hold_s + SUSPICION_S)
    tracker.expire()
    assert not tracker


def test_number_of_suspects_is_bounded(tracker):
    """Guards against memory that grows with the requests in flight at crashes."""
    crash(tracker, b"held", *range(MAX_CRASHES))
    for number in range(MAX_SUSPECTS):
        crash(tracker, number.to_bytes(8, "big"), 1)
    assert tracker.count() == (MAX_SUSPECTS, 0)

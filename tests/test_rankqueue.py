"""Requests that wait for slots in order of rank."""

import pytest

from lavendermast.admission import TicketState
from lavendermast.admission.rankqueue import (
    LOWER_RANK_INTERVAL,
    Capacity,
    RankQueue,
    RankTicket,
)
from lavendermast.clock import ManualClock

HIGH, LOW, LOWEST = (0, 0), (1, 0), (1, 1)


class FixedCapacity(Capacity):
    """``free`` slots now, and ``rate`` more per second by estimate."""

    def __init__(self, free=0, rate=10.0):
        self.free, self.rate = free, rate

    def count_startable(self, reserved):
        return self.free

    def take(self):
        self.free -= 1

    def set_busy(self, busy):
        pass

    def estimate_rate(self, own_in_flight):
        return self.rate


@pytest.fixture
def clock():
    return ManualClock(100.0)


def enter(queue, clock, rank=HIGH, account="a", wait_s=5.0):
    now = clock.monotonic()
    ticket = RankTicket(rank, account, now, now + wait_s, now + wait_s + 1.0)
    queue.enter(ticket)
    clock.advance(0.001)
    return ticket


def grant(queue, capacity, tickets):
    """Free one slot; return the index of the request that gets it."""
    before = [ticket.state for ticket in tickets]
    capacity.free = 1
    queue.advance()
    after = [ticket.state for ticket in tickets]
    return next(i for i, state in enumerate(after) if state is not before[i])


def test_slots_go_to_the_highest_rank_and_every_eighth_to_a_lower_one(clock):
    """Guards against low ranks that delay high ones, and against their starvation."""
    capacity = FixedCapacity()
    queue = RankQueue(capacity, clock)
    ranks = [LOWEST] * 3 + [LOW] * 3 + [HIGH] * 30
    tickets = [enter(queue, clock, rank) for rank in ranks]
    order = [ranks[grant(queue, capacity, tickets)] for _ in range(16)]
    expected = [HIGH] * (LOWER_RANK_INTERVAL - 1)
    assert order == expected + [LOW] + expected + [LOWEST]


def test_account_with_many_requests_does_not_starve_others(clock):
    """Guards against an account at a multiple of its use that takes all slots."""
    capacity = FixedCapacity()
    queue = RankQueue(capacity, clock)
    accounts = ["large"] * 8 + ["small"] * 2
    tickets = [enter(queue, clock, account=name) for name in accounts]
    order = [accounts[grant(queue, capacity, tickets)] for _ in range(4)]
    assert sorted(order) == ["large", "large", "small", "small"]


def test_request_waits_only_if_its_turn_comes_in_time(clock):
    """Guards against held requests without prospect, and refusals of others."""
    queue = RankQueue(FixedCapacity(), clock)
    waiting = [enter(queue, clock, wait_s=2.0) for _ in range(10)]
    assert {ticket.state for ticket in waiting} == {TicketState.WAITING}
    late = [enter(queue, clock, wait_s=0.5) for _ in range(3)]
    assert {ticket.state for ticket in late} == {TicketState.REFUSED}
    returns = [ticket.retry_after for ticket in late]
    assert returns == sorted(returns) and len(set(returns)) == 3
    assert returns[0] >= 0.05
    assert returns[-1] <= 1.5 / 3


def test_request_that_is_passed_over_is_refused_before_its_deadline(clock):
    """Guards against requests that learn only at their deadline that they are late."""
    capacity = FixedCapacity()
    queue = RankQueue(capacity, clock)
    low = enter(queue, clock, LOW, wait_s=0.4)
    for _ in range(30):
        enter(queue, clock, HIGH)
    clock.advance(0.1)
    capacity.rate = 2.0
    queue.advance()
    assert low.state is TicketState.REFUSED
    assert clock.monotonic() < low.latest_start


def test_callers_return_when_the_pause_of_all_servers_ends(clock):
    """Guards against callers that return while no server takes requests."""
    capacity = FixedCapacity()
    capacity.delay_s = 2.0
    refused = enter(RankQueue(capacity, clock), clock, wait_s=0.5)
    assert refused.state is TicketState.REFUSED
    assert 1.5 <= refused.retry_after <= 3.0


def test_request_starts_at_once_although_its_work_takes_longer_than_its_goal(clock):
    """Guards against refusals of slow routes while slots are free."""
    queue = RankQueue(FixedCapacity(free=1), clock)
    assert enter(queue, clock, wait_s=-1.0).state is TicketState.GRANTED


def test_ended_requests_leave_nothing_behind(clock):
    """Guards against slots and requests in flight that are counted for ever."""
    capacity = FixedCapacity(free=1)
    queue = RankQueue(capacity, clock)
    tickets = [enter(queue, clock) for _ in range(3)]
    for ticket in tickets:
        queue.release(ticket)
        queue.release(ticket)
    assert (queue.waiting, queue._reserved, queue._in_flight) == (0, 0, {})

"""Queue of a service's requests by rank, and the decision at their arrival."""

import abc
import collections
import heapq
import itertools
import math

import attrs

from lavendermast.admission.customerqueue import TicketState
from lavendermast.admission.returns import ReturnPlan
from lavendermast.admission.shares import DecayingCount

#: One grant in this many goes to a lower rank while lower ranks wait, to each of them
#: in turn.
LOWER_RANK_INTERVAL = 8
#: Interval at which waiting requests are checked.
CHECK_INTERVAL_S = 0.05
#: A waiting request is refused early if it will be late even when its expected wait is
#: this share of the estimate, which errs by up to 40% while few requests complete.
CERTAIN_SHARE = 0.6
#: Time that a request has for a slot that is free when it enters, however late it is.
ENTRY_TIME_S = 0.05
#: Time over which the grants of each rank are counted.
GRANT_TIME_S = 1.0
#: Bounds of ``Retry-After``, and of the plan that it is derived from.
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.05, 3.0
MAX_PLANNED_S = 6.0
#: Callers return only if that takes at most a third of the time they have left. The
#: rest of the third is for the way to them.
MAX_RETURN_SHARE = 0.3


def compress(value, limit):
    """
    Return a value below a limit, in the same order as the values given.

    Up to half of the limit values are unchanged.

    >>> [round(compress(value, 1.0), 2) for value in (0.3, 0.5, 1.0, 2.0)]
    [0.3, 0.5, 0.82, 0.98]
    """
    half = limit / 2
    if value <= half:
        return value
    return limit - half * math.exp(1.0 - value / half)


class Capacity(abc.ABC):
    """What a queue has to know about the servers; see ``SlotCapacity``."""

    delay_s = 0.0

    @abc.abstractmethod
    def count_startable(self, reserved):
        """Return how many requests may start now besides the reserved ones."""

    @abc.abstractmethod
    def take(self):
        """Use one of them."""

    @abc.abstractmethod
    def set_busy(self, busy):
        """Set whether requests wait."""

    @abc.abstractmethod
    def estimate_rate(self, own_in_flight):
        """
        Return how many requests per second may start.

        :param own_in_flight: requests of this VM that have been granted a slot.
        """


@attrs.define(eq=False)
class RankTicket:
    """
    One request; times are monotonic.

    :param rank: priorities of account and route; the lowest is served first.
    :param latest_start: time after which a start is not useful any more.
    :param notify: called without arguments when a waiting request is granted a slot or
        refused.
    :param expected_s: expected wait when it was last decided.
    :param retry_after: set when it is refused.
    """

    rank: tuple
    account: str
    arrived_at: float
    latest_start: float
    deadline: float
    notify: object = None
    state: TicketState = TicketState.RELEASED
    is_reserved: bool = False
    expected_s: float = 0.0
    retry_after: float = 0.0


class RankQueue:
    """
    Grants the slots of a service in order of rank.

    Designed for arrivals of up to several times the capacity. A request waits only if
    it is expected to start in time, so the queue is as long as what its requests can
    wait for. Accounts of one rank are served fairly by requests in flight: the account
    with the fewest is next.

    :param capacity: a :class:`Capacity`.
    """

    def __init__(self, capacity, clock):
        self._capacity = capacity
        self._clock = clock
        self._lines = {}
        self._in_flight = collections.Counter()
        self._grants = {}
        self._returns = {}
        self._passed_over = 0
        self._reserved = 0
        self._checked_at = 0.0
        self.waiting = 0
        self.refusals = 0

    def enter(self, ticket):
        """Grant the request a slot, let it wait, or refuse it; see its ``state``."""
        if ticket.state in (TicketState.WAITING, TicketState.REFUSED):
            return
        if ticket.is_reserved:
            return
        # Without a wait it may start in any case. The clock goes on between the calls.
        earliest = self._clock.monotonic() + ENTRY_TIME_S
        ticket.latest_start = max(ticket.latest_start, earliest)
        # A request that had a slot before is the oldest of its line.
        was_granted = ticket.state is TicketState.GRANTED
        self._leave(ticket)
        self._append(ticket, first=was_granted)
        self.advance()
        if ticket.state is not TicketState.WAITING:
            return
        ticket.expected_s = self._estimate_wait(ticket.rank, *self._count_ahead(ticket))
        if self._clock.monotonic() + ticket.expected_s > ticket.latest_start:
            self._remove(ticket)
            self._refuse(ticket)

    def put_back(self, ticket):
        """Let a granted request that found no server wait as the next of its line."""
        self._leave(ticket)
        self._append(ticket, first=True)

    def set_started(self, ticket):
        """Note that a granted request has an attempt in flight."""
        if ticket.is_reserved:
            ticket.is_reserved = False
            self._reserved -= 1

    def release(self, ticket):
        """Remove a request that has ended; further calls have no effect."""
        if ticket.state is TicketState.WAITING:
            self._remove(ticket)
        self._leave(ticket)
        ticket.state = TicketState.RELEASED

    def is_next(self, rank):
        """Return whether a further attempt of this rank delays no waiting request."""
        return all(waiting > rank for waiting in self._lines)

    def is_highest(self, rank):
        """Return whether no higher rank had a request lately."""
        now = self._clock.monotonic()
        return not any(
            other < rank and count.get_rate(now) > 0.1
            for other, count in self._grants.items()
        )

    def plan_return(self, ticket):
        """Return the seconds after which a caller that is refused now may return."""
        now = self._clock.monotonic()
        own = self._count_rank(ticket.rank)
        wait = self._estimate_wait(ticket.rank, self._count_higher(ticket.rank), own)
        expected = max(ticket.expected_s, wait)
        useful_wait = max(ticket.latest_start - now, 0.0)
        plan = self._returns.get(ticket.rank)
        if plan is None:
            plan = ReturnPlan(self._clock, MIN_RETRY_AFTER_S, MAX_PLANNED_S)
            self._returns[ticket.rank] = plan
        interval = 1.0 / self._estimate_rank_rate(ticket.rank)
        planned = plan.add(max(expected - useful_wait, 0.0), interval)
        latest = min((ticket.deadline - now) * MAX_RETURN_SHARE, MAX_RETRY_AFTER_S)
        if self._capacity.delay_s > latest:
            # No server takes requests before, by its rate limit or pause.
            return min(planned, MAX_RETRY_AFTER_S)
        if latest <= MIN_RETRY_AFTER_S:
            return MIN_RETRY_AFTER_S
        return max(round(compress(planned, latest), 3), MIN_RETRY_AFTER_S)

    def advance(self):
        """Grant what capacity allows, and refuse what cannot start in time."""
        now = self._clock.monotonic()
        if self.waiting:
            startable = self._capacity.count_startable(self._reserved)
            while self.waiting and startable >= 1:
                ticket = self._choose()
                self._remove(ticket)
                if now > ticket.latest_start:
                    self._refuse(ticket)
                    continue
                self._grant(ticket, now)
                startable -= 1
        if self.waiting and now - self._checked_at >= CHECK_INTERVAL_S:
            self._checked_at = now
            self._refuse_late(now)
        self._capacity.set_busy(self.waiting > 0)

    def _grant(self, ticket, now):
        ticket.state = TicketState.GRANTED
        ticket.is_reserved = True
        self._reserved += 1
        self._in_flight[ticket.account] += 1
        self._capacity.take()
        count = self._grants.get(ticket.rank)
        if count is None:
            count = self._grants[ticket.rank] = DecayingCount(GRANT_TIME_S)
        count.add(now)
        self._notify(ticket)

    def _leave(self, ticket):
        """Undo a grant."""
        if ticket.state is not TicketState.GRANTED:
            return
        self.set_started(ticket)
        self._in_flight[ticket.account] -= 1
        if not self._in_flight[ticket.account]:
            del self._in_flight[ticket.account]

    def _append(self, ticket, first=False):
        line = self._lines.setdefault(ticket.rank, {})
        tickets = line.setdefault(ticket.account, collections.deque())
        if first:
            tickets.appendleft(ticket)
        else:
            tickets.append(ticket)
        ticket.state = TicketState.WAITING
        self.waiting += 1

    def _remove(self, ticket):
        line = self._lines[ticket.rank]
        tickets = line[ticket.account]
        if tickets[0] is ticket:
            tickets.popleft()
        else:
            tickets.remove(ticket)
        if not tickets:
            del line[ticket.account]
        if not line:
            del self._lines[ticket.rank]
        self.waiting -= 1

    def _refuse(self, ticket):
        """Refuse a request that is in no line any more."""
        ticket.state = TicketState.REFUSED
        ticket.retry_after = self.plan_return(ticket)
        self.refusals += 1
        self._notify(ticket)

    def _notify(self, ticket):
        if ticket.notify is not None:
            ticket.notify()

    def _choose(self):
        """Return the waiting request that gets the next slot."""
        ranks = sorted(self._lines)
        rank = ranks[0]
        if len(ranks) > 1:
            self._passed_over += 1
            if self._passed_over >= LOWER_RANK_INTERVAL:
                self._passed_over = 0
                rank = min(ranks[1:], key=self._get_last_grant)
        line = self._lines[rank]
        account = min(line, key=lambda name: self._get_key(name, line[name]))
        return line[account][0]

    def _get_key(self, account, tickets):
        return self._in_flight.get(account, 0), tickets[0].arrived_at

    def _get_last_grant(self, rank):
        count = self._grants.get(rank)
        return count.last_at if count is not None else 0.0

    def _count_higher(self, rank):
        return sum(self._count_rank(other) for other in self._lines if other < rank)

    def _count_rank(self, rank):
        return sum(map(len, self._lines.get(rank, {}).values()))

    def _count_ahead(self, ticket):
        """Return how many of higher ranks and of its own precede a line's last one."""
        line = self._lines[ticket.rank]
        own = len(line[ticket.account]) - 1
        turn = self._in_flight.get(ticket.account, 0) + own
        others = sum(
            min(len(tickets), max(turn - self._in_flight.get(name, 0) + 1, 0))
            for name, tickets in line.items()
            if name != ticket.account
        )
        return self._count_higher(ticket.rank), own + others

    def _estimate_rank_rate(self, rank):
        """Return the slots per second that higher ranks leave to a rank."""
        now = self._clock.monotonic()
        rate = self._capacity.estimate_rate(self._in_flight.total())
        higher = sum(
            count.get_rate(now) for other, count in self._grants.items() if other < rank
        )
        return max(rate - higher, rate / LOWER_RANK_INTERVAL)

    def _estimate_wait(self, rank, higher, own):
        """Return the seconds until the request after those of its rank and higher."""
        wait = (higher + own + 0.5) / self._estimate_rank_rate(rank)
        if higher:
            # Higher ranks do not delay the grants that a rank is sure of.
            lower = len({*self._lines, rank}) - 1
            rate = (
                self._capacity.estimate_rate(self._in_flight.total())
                / LOWER_RANK_INTERVAL
                / lower
            )
            wait = min(wait, (own + 0.5) / rate)
        return self._capacity.delay_s + wait

    def _refuse_late(self, now):
        for rank in sorted(self._lines):
            higher, own = self._count_higher(rank), 0
            for ticket in self._list_order(rank):
                wait = self._estimate_wait(rank, higher, own)
                if now + wait * CERTAIN_SHARE > ticket.latest_start:
                    ticket.expected_s = wait
                    self._remove(ticket)
                    self._refuse(ticket)
                else:
                    own += 1

    def _list_order(self, rank):
        """Return the waiting requests of a rank in the order of their grants."""
        order = itertools.count()
        heap = [
            (*self._get_key(name, tickets), next(order), 0, tuple(tickets))
            for name, tickets in self._lines[rank].items()
        ]
        heapq.heapify(heap)
        ordered = []
        while heap:
            in_flight, _, number, index, tickets = heap[0]
            ordered.append(tickets[index])
            index += 1
            if index == len(tickets):
                heapq.heappop(heap)
                continue
            arrived_at = tickets[index].arrived_at
            key = (in_flight + 1, arrived_at, number, index, tickets)
            heapq.heapreplace(heap, key)
        return ordered

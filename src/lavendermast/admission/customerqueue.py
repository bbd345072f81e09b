"""Admission queue of one service for one class of work."""

import collections
import enum
import heapq
import itertools
import math

import attrs
import eventlet
from eventlet.event import Event

from lavendermast.admission.completions import CompletionRate
from lavendermast.exceptions import RequestError

#: Interval at which expired waiters are refused, and others are admitted to servers
#: whose pause ended.
TICK_S = 0.005
#: An overload starts when the queue has not been empty for this long. Bursts that the
#: servers absorb are shorter.
OVERLOAD_DELAY_S = 0.1
#: Time from arrival by which a refusal has to be sent in an overload.
REFUSAL_BOUND_S = 0.05
#: Longest wait in an overload. The rest of REFUSAL_BOUND_S is for one tick and a shed
#: response from another region (20 ms).
OVERLOAD_WAIT_S = 0.02
#: Time for which an overload lasts after it was last detected.
OVERLOAD_HOLD_S = 1.0
#: Share of the remaining time that the expected wait may take outside an overload. The
#: rest is for the attempt and for errors of the estimate.
WAIT_SHARE = 0.5
#: Bounds of the Retry-After sent to callers.
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 1, 30


class TicketState(enum.Enum):
    """State of a request in its queue."""

    WAITING = "waiting"
    GRANTED = "granted"
    REFUSED = "refused"
    RELEASED = "released"


@attrs.define(eq=False)
class Ticket:
    """
    One request in the queue; a context manager that releases it.

    :param expires_at: monotonic time after which a waiting request is refused.
    :param refuse_by: monotonic time by which a refusal has to be sent; infinite outside
        an overload. It is passed to ``RetryContext``.
    :param error: the reason of the refusal.
    """

    queue: object
    customer: str
    weight: int
    deadline: float
    expires_at: float
    notify: object = None
    state: TicketState = TicketState.WAITING
    granted_at: float = 0.0
    refuse_by: float = math.inf
    error: RequestError | None = None

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.queue.release(self)


class AdmissionQueue:
    """
    Admits requests as capacity allows, customers in weighted round robin.

    A request that cannot meet its deadline at the current completion rate is refused on
    arrival. In an overload, when the queue stays non-empty, no request waits longer
    than ``OVERLOAD_WAIT_S``: a longer queue serves no more requests and only delays
    refusals.

    :param get_capacity: function that returns how many requests may be in flight.
    :param clock: source of time.
    :param queue_length: largest number of waiters.

    >>> from lavendermast.clock import ManualClock
    >>> queue = AdmissionQueue(lambda: 1, ManualClock(), 10)
    >>> ticket = queue.enter(2.0, "c1", 1)
    >>> ticket.state
    <TicketState.GRANTED: 'granted'>
    """

    def __init__(self, get_capacity, clock, queue_length):
        self._get_capacity = get_capacity
        self._clock = clock
        self._queue_length = queue_length
        self._rate = CompletionRate()
        self._order = itertools.count()
        self._queues = {}
        self._rotation = collections.deque()
        self._credit = 0
        self._expiry = []
        self._waiting = 0
        self._permits = 0
        self._nonempty_since = None
        self._overload_until = float("-inf")
        self._timer_runs = False

    @classmethod
    def from_config(cls, limits, balancer, work, clock):
        """
        Return an empty queue for one class of work of a service.

        :param limits: ``Limits`` of the configuration.
        :param balancer: balancer of the service.
        :param work: ``short`` or ``long``.
        :param clock: source of time.
        :return: the queue.
        """
        return cls(lambda: balancer.get_capacity(work), clock, limits.queue_length)

    @property
    def waiting(self):
        """Number of waiters."""
        return self._waiting

    @property
    def permits(self):
        """Number of requests that are admitted and not released."""
        return self._permits

    def acquire(self, request, customer, weight):
        """
        Wait until the request may be sent to a server.

        :param request: the ``CallerRequest``.
        :param customer: customer that it is queued under.
        :param weight: the customer's share.
        :return: a ``Ticket`` to release when the request has ended.
        :raises RequestError: when it is not admitted; ``retry_after`` is set.
        """
        event = Event()
        ticket = self.enter(request.deadline, customer, weight, event.send)
        if ticket.state is TicketState.WAITING:
            self._start_timer()
            try:
                event.wait()
            except BaseException:
                self.release(ticket, served=False)
                raise
        if ticket.state is TicketState.REFUSED:
            raise ticket.error
        return ticket

    def enter(self, deadline, customer, weight, notify=None):
        """
        Admit, queue or refuse a request without waiting.

        :param deadline: monotonic deadline of the request.
        :param customer: customer that it is queued under.
        :param weight: the customer's share.
        :param notify: called without arguments when a waiter is granted or refused.
        :return: a ``Ticket``, granted or waiting.
        :raises RequestError: when it is refused at once.
        """
        now = self._clock.monotonic()
        self.advance()
        if deadline <= now:
            raise RequestError(503, "deadline", retry_after=MIN_RETRY_AFTER_S)
        ticket = Ticket(self, customer, weight, deadline, deadline, notify)
        if now < self._overload_until:
            ticket.refuse_by = now + REFUSAL_BOUND_S
        if not self._waiting and self._permits < self._get_capacity():
            self._grant(ticket, now)
            self._rate.set_busy(now, self._permits >= self._get_capacity())
            return ticket
        self._rate.set_busy(now, True)
        wait = self._estimate_wait(customer, weight, now)
        if self._waiting >= self._queue_length:
            raise self._make_error("queue-full", wait)
        allowed = (deadline - now) * WAIT_SHARE
        if now < self._overload_until:
            allowed = min(allowed, OVERLOAD_WAIT_S)
            ticket.expires_at = min(deadline, now + OVERLOAD_WAIT_S)
        if wait > allowed:
            raise self._make_error("overload", wait)
        self._append(ticket, now)
        return ticket

    def release(self, ticket, served=True, refused=False):
        """
        Release a granted or waiting ticket; further calls have no effect.

        :param ticket: the ticket.
        :param served: whether a server worked on the request; refused attempts do not
            count as completions.
        :param refused: whether it ended as not-run because servers shed it, which
            starts an overload; a caller that disconnected does not.
        """
        now = self._clock.monotonic()
        if ticket.state is TicketState.WAITING:
            self._remove(ticket, TicketState.RELEASED, now)
        elif ticket.state is TicketState.GRANTED:
            ticket.state = TicketState.RELEASED
            self._permits -= 1
            if served:
                self._rate.record(now, now - ticket.granted_at)
            elif refused:
                # Shed responses empty the queue too, so its length does not show the
                # overload.
                self._overload_until = now + OVERLOAD_HOLD_S
            self.advance()

    def advance(self):
        """Refuse expired waiters and admit others as capacity allows."""
        now = self._clock.monotonic()
        self._detect_overload(now)
        while self._expiry and self._expiry[0][0] <= now:
            ticket = heapq.heappop(self._expiry)[2]
            if ticket.state is TicketState.WAITING:
                wait = self._estimate_wait(ticket.customer, ticket.weight, now)
                ticket.error = self._make_error("overload", wait)
                self._remove(ticket, TicketState.REFUSED, now)
                self._notify(ticket)
        capacity = self._get_capacity()
        while self._waiting and self._permits < capacity:
            ticket = self._pop()
            self._decrement_waiting(now)
            self._grant(ticket, now)
            self._notify(ticket)
        self._rate.set_busy(now, self._permits >= capacity)

    def _detect_overload(self, now):
        since = self._nonempty_since
        if since is not None and now - since >= OVERLOAD_DELAY_S:
            self._overload_until = now + OVERLOAD_HOLD_S

    def _grant(self, ticket, now):
        ticket.state = TicketState.GRANTED
        ticket.granted_at = now
        self._permits += 1

    def _notify(self, ticket):
        if ticket.notify is not None:
            ticket.notify()

    def _append(self, ticket, now):
        queue = self._queues.get(ticket.customer)
        if queue is None:
            queue = self._queues[ticket.customer] = collections.OrderedDict()
            self._rotation.append(ticket.customer)
            if len(self._rotation) == 1:
                self._credit = ticket.weight
        queue[id(ticket)] = ticket
        heapq.heappush(self._expiry, (ticket.expires_at, next(self._order), ticket))
        self._waiting += 1
        if self._nonempty_since is None:
            self._nonempty_since = now

    def _pop(self):
        """Remove and return the next waiter in weighted round robin."""
        customer = self._rotation[0]
        queue = self._queues[customer]
        ticket = queue.popitem(last=False)[1]
        self._credit -= 1
        if not queue:
            self._drop_customer(customer)
        elif self._credit <= 0:
            self._rotation.rotate(-1)
            self._refill()
        return ticket

    def _refill(self):
        if self._rotation:
            head = next(iter(self._queues[self._rotation[0]].values()))
            self._credit = head.weight

    def _drop_customer(self, customer):
        del self._queues[customer]
        if self._rotation[0] == customer:
            self._rotation.popleft()
            self._refill()
        else:
            self._rotation.remove(customer)

    def _remove(self, ticket, state, now):
        ticket.state = state
        queue = self._queues[ticket.customer]
        del queue[id(ticket)]
        if not queue:
            self._drop_customer(ticket.customer)
        self._decrement_waiting(now)

    def _decrement_waiting(self, now):
        self._waiting -= 1
        if not self._waiting:
            self._nonempty_since = None
            self._expiry.clear()

    def _estimate_wait(self, customer, weight, now):
        """Return the seconds until a new request of a customer would be admitted."""
        own = len(self._queues.get(customer, ())) + 1
        ahead = own
        rounds = math.ceil(own / max(weight, 1))
        for other, queue in self._queues.items():
            if other != customer:
                head = next(iter(queue.values()))
                ahead += min(len(queue), rounds * head.weight)
        return ahead / self._rate.estimate(now, self._permits)

    def _make_error(self, reason, wait):
        seconds = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, math.ceil(wait)))
        return RequestError(503, reason, f"wait={wait:.3f}", retry_after=seconds)

    def _start_timer(self):
        if not self._timer_runs:
            self._timer_runs = True
            eventlet.spawn_n(self._run_timer)

    def _run_timer(self):
        try:
            while self._waiting:
                self._clock.sleep(TICK_S)
                self.advance()
        finally:
            self._timer_runs = False

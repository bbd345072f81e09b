"""Admission of an entry VM's requests: a queue per service, and their tasks."""

import attrs
import eventlet
from eventlet.event import Event

from lavendermast.admission.customerqueue import TicketState
from lavendermast.admission.rankqueue import RankQueue, RankTicket
from lavendermast.admission.slots import SlotCapacity

#: Interval at which waiting requests look for slots without a report or a response.
POLL_INTERVAL_S = 0.05
#: Reports look for slots at most this often: each time visits all servers of a service,
#: and a batch of reports tells of up to 20 attempts.
REPORT_WAKE_INTERVAL_S = 0.01
#: Interval at which a waiting request checks whether its caller has disconnected.
STOP_CHECK_INTERVAL_S = 0.2
#: Time for which a server that shed a request counts as full. Its slots are then freed
#: as those of others; a longer time would leave them idle.
FULL_TIME_S = 0.1
#: Wait that is useful although work takes as long as the goal allows: until reports of
#: ended attempts arrive.
SHORT_WAIT_S = 0.1
#: Longest wait that is logged; without any rate left it is infinite.
MAX_LOGGED_S = 60.0
#: Share of the retry budget that requests below the highest rank leave.
KEPT_BUDGET_SHARE = 0.5


class OpenPass:
    """The pass of a request while admission is off: it starts at any time."""

    is_limited = False
    allowance = None
    kept_budget_share = 0.0

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        pass

    def acquire(self, should_stop):
        """Wait for a slot; return ``False`` if the request is refused."""
        return True

    def set_started(self):
        """Note that an attempt has started."""

    def may_hedge(self):
        """Return whether a second attempt delays no waiting request."""
        return True


@attrs.define(eq=False)
class _Service:
    queue: RankQueue
    capacity: SlotCapacity
    woken_at: float = 0.0


class RankedPass(OpenPass):
    """
    The pass of a request that starts when a server has a slot for its rank.

    It is a context manager that ends with the request.
    """

    is_limited = True

    def __init__(self, admission, request, route, service):
        self._admission = admission
        self._request = request
        self._route = route
        self._service_name = service
        self._service = admission.get_service(service)
        self._ticket = admission.make_ticket(request, route)

    def __exit__(self, *exc_info):
        self._service.queue.release(self._ticket)
        self._admission.wake(self._service)

    @property
    def allowance(self):
        """Requests that a server may have in flight beyond its slots."""
        return self._service.capacity.allowance

    @property
    def has_servers(self):
        """Whether servers of the service are listed."""
        return self._service.capacity.has_servers

    @property
    def kept_budget_share(self):
        """Part of the retry budget that is left to higher ranks."""
        is_highest = self._service.queue.is_highest(self._ticket.rank)
        return 0.0 if is_highest else KEPT_BUDGET_SHARE

    def acquire(self, should_stop):
        """
        Wait for a slot.

        :param should_stop: function that returns whether the request ends for another
            reason.
        :return: ``False`` if it is refused or ends.
        """
        self._service.queue.enter(self._ticket)
        return self._wait(should_stop)

    def acquire_again(self, should_stop):
        """Wait for a slot after no server could be found for the last one."""
        self._service.queue.put_back(self._ticket)
        return self._wait(should_stop)

    def set_started(self):
        """Note that an attempt has started."""
        self._service.queue.set_started(self._ticket)

    def may_hedge(self):
        """Return whether a second attempt delays no waiting request."""
        is_next = self._service.queue.is_next(self._ticket.rank)
        return is_next and self._service.capacity.has_free_slot

    def plan_return(self):
        """Return the seconds after which the caller may return."""
        return self._ticket.retry_after or self._service.queue.plan_return(self._ticket)

    def _wait(self, should_stop):
        ticket = self._ticket
        started = self._admission.clock.monotonic()
        waits = ticket.state is TicketState.WAITING
        while ticket.state is TicketState.WAITING:
            event = Event()
            ticket.notify = event.send
            self._admission.poll(self._service)
            event.wait(timeout=STOP_CHECK_INTERVAL_S)
            ticket.notify = None
            if ticket.state is TicketState.WAITING and should_stop():
                self._service.queue.release(ticket)
        if waits or ticket.state is TicketState.REFUSED:
            self._admission.record(
                self._request, self._route, self._service_name, ticket, started
            )
        return ticket.state is TicketState.GRANTED


class Admission:
    """
    Admits the requests of an entry VM.

    A request waits here until a server has a slot for it, in order of rank, or is
    refused at once if that would be too late. See docs/design/admission.md.

    :param is_active: function that returns whether admission is in force.
    :param selector: ``ServerSelector`` that knows the free slots.
    :param evidence: ``EvidenceRegistry`` that tells when attempts start and end.
    :param find_service: function from a server's name to its service, or ``None``.
    :param get_demand_share: see ``SlotCapacity``, as ``get_max_share``.
    """

    def __init__(
        self,
        is_active,
        selector,
        evidence,
        find_service,
        clock,
        record_event,
        get_demand_share=lambda: None,
        get_max_share=lambda: 1.0,
    ):
        self._is_active = is_active
        self._selector = selector
        self._evidence = evidence
        self._find_service = find_service
        self.clock = clock
        self._record_event = record_event
        self._shares = get_demand_share, get_max_share
        self._services = {}
        self._polled = set()
        self.waits = None
        evidence.on_start = self._add_start
        evidence.on_end = self._add_end

    def open(self, request, route, service):
        """Return the pass of a request."""
        if not self._is_active():
            return OpenPass()
        return RankedPass(self, request, route, service)

    def count_waiting(self):
        """Return a mapping of service to the number of waiting requests."""
        return {name: item.queue.waiting for name, item in self._services.items()}

    def count_refusals(self):
        """Return a mapping of service to the number of refused requests."""
        return {name: item.queue.refusals for name, item in self._services.items()}

    def get_service(self, name):
        """Return queue and capacity of a service."""
        service = self._services.get(name)
        if service is None:
            capacity = SlotCapacity(
                lambda allowance: self._selector.count_free_slots(name, allowance),
                self.clock,
                *self._shares,
            )
            queue = RankQueue(capacity, self.clock)
            service = self._services[name] = _Service(queue, capacity)
        return service

    def make_ticket(self, request, route):
        """Return the ticket of a request that has not entered a queue yet."""
        account = request.account
        typical_s = self._evidence.get_durations(route).compute_typical_s()
        end = request.arrived_at + min(route.goal_s, route.timeout_s)
        latest_start = max(
            min(end, request.deadline) - typical_s,
            min(request.arrived_at + SHORT_WAIT_S, request.deadline - typical_s),
        )
        return RankTicket(
            (account.priority if account else 0, route.priority),
            account.name if account else "",
            request.arrived_at,
            latest_start,
            request.deadline,
        )

    def poll(self, service):
        """Look for slots at intervals while requests wait."""
        if service in self._polled:
            return
        self._polled.add(service)
        eventlet.spawn_n(self._run_poll, service)

    def wake(self, service):
        """Look for slots for waiting requests now."""
        if service.queue.waiting:
            service.queue.advance()

    def record(self, request, route, service, ticket, started):
        """Log the decision on a request that waited or was refused."""
        waited_s = self.clock.monotonic() - started
        if self.waits is not None:
            self.waits.observe(route.name, waited_s)
        self._record_event(
            "admission",
            request=request.id,
            route=route.name,
            service=service,
            decision=ticket.state.value,
            rank="/".join(map(str, ticket.rank)),
            expected_ms=round(min(ticket.expected_s, MAX_LOGGED_S) * 1000),
            waited_ms=round(waited_s * 1000),
            retry_after_ms=round(ticket.retry_after * 1000) or None,
        )

    def _run_poll(self, service):
        try:
            while service.queue.waiting:
                self.clock.sleep(POLL_INTERVAL_S)
                self.wake(service)
        finally:
            self._polled.discard(service)

    def _add_start(self, server_name, sender):
        name = self._find_service(server_name)
        if name is not None and self._is_active():
            self.get_service(name).capacity.add_start(sender)

    def _add_end(self, server_name, sender, seconds, was_refused):
        service = self._services.get(self._find_service(server_name))
        if service is None:
            return
        service.capacity.add_end(sender, seconds, was_refused)
        if was_refused and not sender:
            until = self.clock.monotonic() + FULL_TIME_S
            self._evidence.get(server_name).full_until = until
        now = self.clock.monotonic()
        if not sender or now - service.woken_at >= REPORT_WAKE_INTERVAL_S:
            service.woken_at = now
            self.wake(service)

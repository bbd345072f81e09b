"""Model of a region: servers with slots, and VMs that report attempts late."""

import collections
import heapq
import itertools
import random
import types

from lavendermast.admission.customerqueue import TicketState
from lavendermast.admission.rankqueue import RankQueue, RankTicket
from lavendermast.admission.slots import SlotCapacity
from lavendermast.catalog import ListedServer
from lavendermast.clock import ManualClock
from lavendermast.entrymodel import EntryRoute, RequestKind, ServerRecord, SplitPart
from lavendermast.evidenceregistry import EvidenceRegistry
from lavendermast.losstracker import LossTracker
from lavendermast.models import AttemptResult, AttemptStatus, Server
from lavendermast.notices import ServerNotices
from lavendermast.ratelimits import RateLimits
from lavendermast.selection import ServerSelector
from lavendermast.suspicion import AttemptOutcome

GOAL_S, TIMEOUT_S, WORK_S = 2.0, 3.0, 0.4
SLOTS, SERVERS, VMS = 4, 12, 6
CAPACITY = SLOTS * SERVERS / WORK_S
REPORT_INTERVAL_S, REPORT_TRAVEL_S = 0.05, 0.03
PARTS = (SplitPart("stock"),)
ROUTE = EntryRoute("r", "h", "/", PARTS, RequestKind.IDEMPOTENT, TIMEOUT_S, GOAL_S)


def ignore(*args, **fields):
    pass


class ModelServer:
    """Runs ``SLOTS`` requests and queues as many; it sheds the others."""

    def __init__(self, model):
        self.model, self.running, self.queue = model, 0, collections.deque()
        self.started = 0

    def send(self, finish):
        if self.running + len(self.queue) >= 2 * SLOTS:
            self.model.call(0.003, finish, AttemptStatus.SHED)
            return
        self.queue.append(finish)
        self._start()

    def _start(self):
        while self.queue and self.running < SLOTS:
            self.running += 1
            self.started += 1
            work_s = WORK_S * self.model.random.uniform(0.5, 1.5)
            self.model.call(work_s, self._end, self.queue.popleft())

    def _end(self, finish):
        self.running -= 1
        finish(AttemptStatus.OK)
        self._start()


class ModelVm:
    """The decisions of an entry VM, with or without admission."""

    def __init__(self, model, name, has_admission):
        self.model, self.name, clock = model, name, model.clock
        limits = RateLimits(clock, ignore, lambda name: True)
        self.evidence = EvidenceRegistry(clock, lambda name: ROUTE, limits)
        self.selector = ServerSelector(
            types.SimpleNamespace(get_servers=lambda service: model.listed),
            self.evidence.get,
            "a",
            "r",
            clock,
            random.Random(name),
            LossTracker(self.evidence.get, 0.7),
            lambda server, retryable: True,
            limits,
            ServerNotices(lambda name: None, clock, ignore),
        )
        self.queue = None
        if has_admission:
            self.capacity = SlotCapacity(
                lambda allowance: self.selector.count_free_slots("stock", allowance),
                clock,
                lambda: 1 / VMS,
            )
            self.queue = RankQueue(self.capacity, clock)
            self.evidence.on_start = lambda n, sender: self.capacity.add_start(sender)
            self.evidence.on_end = self._add_end
        model.call(0.0, self._tick)

    def _add_end(self, name, sender, seconds, was_refused):
        self.capacity.add_end(sender, seconds, was_refused)
        self.queue.advance()

    def _tick(self):
        reports = self.evidence.take_reports()
        for other in self.model.vms:
            if other is not self and reports:
                call = (other.evidence.apply_reports, self.name, 1, reports)
                self.model.call(REPORT_TRAVEL_S, *call)
        if self.queue is not None:
            self.queue.advance()
        self.model.call(REPORT_INTERVAL_S, self._tick)

    def run(self, caller):
        now = self.model.clock.monotonic()
        if self.queue is None:
            return self._send(caller, None)
        typical_s = self.evidence.get_durations(ROUTE).compute_typical_s()
        latest = min(now + GOAL_S, caller.deadline) - typical_s
        ticket = RankTicket(caller.rank, caller.account, now, latest, caller.deadline)

        def continue_():
            if ticket.state is TicketState.REFUSED:
                caller.refuse(ticket.retry_after)
            else:
                self.model.call(0.0, self._send, caller, ticket)

        self.queue.enter(ticket)
        if ticket.state is not TicketState.WAITING:
            return continue_()
        ticket.notify = continue_
        return None

    def _send(self, caller, ticket, tries=3):
        allowance = self.capacity.allowance if ticket else None
        chosen = self.selector.choose("stock", 1500, is_first=True, allowance=allowance)
        if chosen is None:
            return self.queue.put_back(ticket)
        if ticket:
            self.queue.set_started(ticket)
        name = chosen.listed.server.name
        attempt = self.evidence.start(name, ROUTE)

        def finish(status):
            result = AttemptResult(name, status)
            outcome = AttemptOutcome.SUCCEEDED
            self.evidence.finish(name, ROUTE, attempt, result, outcome)
            if status is AttemptStatus.OK:
                caller.answer()
            else:
                self.model.sheds += 1
                self.evidence.get(name).full_until = self.model.clock.monotonic() + 0.1
                if not ticket and tries > 1:
                    return self._send(caller, None, tries - 1)
                caller.refuse(self.queue.plan_return(ticket) if ticket else 0.5)
            if ticket:
                self.queue.release(ticket)
                self.queue.advance()
            return None

        return self.model.servers[name].send(finish)


class Caller:
    """One request, and its returns after refusals."""

    def __init__(self, model, account, rank):
        self.model, self.account, self.rank = model, account, rank
        self.arrived = self.asked = model.clock.monotonic()
        self.deadline = self.arrived + TIMEOUT_S
        self.result, self.latency, self.refusal_times = "pending", None, []

    def ask(self):
        self.asked = self.model.clock.monotonic()
        self.model.random.choice(self.model.vms).run(self)

    def answer(self):
        self.latency = self.model.clock.monotonic() - self.arrived
        self.result = "served" if self.latency <= GOAL_S else "late"

    def refuse(self, retry_after):
        now = self.model.clock.monotonic()
        self.refusal_times.append(now - self.asked)
        self.result = "refused"
        if retry_after <= (self.deadline - now) / 3 and len(self.refusal_times) < 4:
            self.model.call(retry_after, self.ask)


class Model:
    """Plays arrivals of ``{(account, rank): requests per second}`` over phases."""

    def __init__(self, has_admission, seed=1):
        self.clock, self.random = ManualClock(10.0), random.Random(seed)
        self._events, self._order = [], itertools.count()
        self.sheds, self.callers = 0, []
        names = [f"s{number}" for number in range(SERVERS)]
        records = [ServerRecord(Server(n, "stock", "r", "a", n), SLOTS) for n in names]
        self.listed = [ListedServer(record, 0.0, 0.0) for record in records]
        self.servers = {name: ModelServer(self) for name in names}
        self.vms = []
        self.vms += [ModelVm(self, f"vm-{n}", has_admission) for n in range(VMS)]

    def call(self, delay, function, *args):
        at = self.clock.monotonic() + delay
        heapq.heappush(self._events, (at, next(self._order), function, args))

    def play(self, rates, seconds):
        """Return the callers that arrive in this time."""
        first = len(self.callers)
        end = self.clock.monotonic() + seconds
        for (account, rank), rate in rates.items():
            self._arrive(account, rank, rate, end, is_first=True)
        while self._events[0][0] < end:
            at, _, function, args = heapq.heappop(self._events)
            self.clock.advance(at - self.clock.monotonic())
            function(*args)
        return self.callers[first:]

    def _arrive(self, account, rank, rate, end, is_first=False):
        if not is_first:
            caller = Caller(self, account, rank)
            self.callers.append(caller)
            caller.ask()
        delay = self.random.expovariate(rate)
        if self.clock.monotonic() + delay < end:
            self.call(delay, self._arrive, account, rank, rate, end)

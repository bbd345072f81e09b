"""VMs of the overload model, with the decisions of the daemon or the naive proxy."""

import functools

from bench.naive import RoundRobin
from lavendermast import admission
from lavendermast.admission import AdmissionQueue, TicketState
from lavendermast.balancer import TwoChoiceBalancer
from lavendermast.exceptions import RequestError
from lavendermast.models import AttemptStatus, Server
from lavendermast.retries import RetryBudget, RetryContext, RetryPolicy
from lavendermast.settings_model import Route, Service

SERVERS, SLOTS = 12, 6
#: Mean service time in seconds by kind of work.
MEAN_S = {"short": 0.03, "long": 1.0}
ROUTES = {
    work: Route("GET", "/", "stock", True, work, 2000, 0, "optional") for work in MEAN_S
}


class Vm:
    """VM that decides on requests with the code of the daemon."""

    def __init__(self, model, zone):
        self.model, self.zone = model, zone
        data = {"expected_servers": SERVERS, "floor": 0.5, "slots": SLOTS}
        self.balancer = TwoChoiceBalancer.from_config(
            "stock",
            Service.from_config(data),
            model.clock,
            model.random,
            lambda name: 1.0,
            f"r{int(zone[1:]) // 2}",
        )
        self.balancer.replace_servers(
            Server(f"s{index}", "stock", f"r{index % 6 // 2}", f"z{index % 6}", "")
            for index in range(SERVERS)
        )
        self.queues = {
            work: AdmissionQueue(
                lambda work=work: self.balancer.get_capacity(work), model.clock, 200
            )
            for work in MEAN_S
        }
        self.budget = RetryBudget(0.1)
        self.policy = RetryPolicy(self.budget, 3, model.clock)
        self.ticking = False

    def handle(self, request):
        self.budget.add_request()
        tickets = []
        try:
            ticket = self.queues[request["work"]].enter(
                request["deadline"], "c", 1, lambda: self._resume(request, tickets[0])
            )
        except RequestError:
            self.model.finish(request, False)
            return
        tickets.append(ticket)
        if ticket.state is TicketState.GRANTED:
            self._attempt(request, ticket, ())
        elif not self.ticking:
            self.ticking = True
            self.model.schedule(admission.TICK_S, self._tick)

    def _tick(self):
        for queue in self.queues.values():
            queue.advance()
        self.ticking = any(queue.waiting for queue in self.queues.values())
        if self.ticking:
            self.model.schedule(admission.TICK_S, self._tick)

    def _resume(self, request, ticket):
        if ticket.state is TicketState.REFUSED:
            self.model.finish(request, False)
        else:
            # The task of the waiting request runs after the task that resumed it.
            self.model.schedule(0.0, self._attempt, request, ticket, ())

    def _attempt(self, request, ticket, tried):
        choice = self.balancer.choose(ROUTES[request["work"]], tried)
        if choice is None:
            self.model.no_server += 1
            self._finish(request, ticket, False)
            return
        name = choice.server.name
        self.balancer.start(name, request["work"])
        tried = (*tried, name)
        self.model.send(
            self,
            name,
            request,
            lambda result: self._handle_result(request, ticket, tried, result),
        )

    def _handle_result(self, request, ticket, tried, result):
        self.balancer.finish(result.server, request["work"], result)
        context = RetryContext(
            True,
            False,
            request["deadline"],
            refuse_by=ticket.refuse_by,
            arrived_at=request["arrived"],
        )
        if self.policy.decide(context, result, len(tried)).retry:
            self._attempt(request, ticket, tried)
        else:
            self._finish(request, ticket, result.status is AttemptStatus.OK)

    def _finish(self, request, ticket, answered):
        self.queues[request["work"]].release(ticket, answered, not answered)
        self.model.finish(request, answered)


class NaiveVm:
    """VM with the round robin and the circuit breakers of the naive proxy."""

    def __init__(self, model, zone):
        self.model, self.zone = model, zone
        self.round_robin = RoundRobin(model.busy, model.clock.monotonic)

    def handle(self, request, tried=()):
        name = self.round_robin.choose(tried)
        if name is None:
            self.model.finish(request, False)
        else:
            done = functools.partial(self._handle_result, request, (*tried, name))
            self.model.send(self, name, request, done)

    def _handle_result(self, request, tried, result):
        answered = result.status is AttemptStatus.OK
        self.round_robin.record(result.server, answered)
        if answered:
            self.model.finish(request, True)
        else:
            self.handle(request, tried)

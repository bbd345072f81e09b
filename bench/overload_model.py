"""Model of 44 VMs before 12 servers of 6 slots under a load spike; no sockets.

Run: python -m bench.overload_model [--seed N] [--variants NAME,...]

Base load, then five times for 20 s, reached within 2 s. Short work takes 30 ms and long
work 1 s on average (exponential); base load fills half of the slots. The balancer,
limits, queue and retry rules are the daemon's; servers, links and callers are modelled.
"""

import argparse
import heapq
import itertools
import random
import statistics

from bench.naive import RoundRobin
from lavendermast import admission, limits
from lavendermast.admission import AdmissionQueue, TicketState
from lavendermast.balancer import TwoChoiceBalancer
from lavendermast.clock import ManualClock
from lavendermast.exceptions import RequestError
from lavendermast.models import AttemptResult, AttemptStatus, Server
from lavendermast.retries import RequestFacts, RetryBudget, RetryPolicy
from lavendermast.settings_model import Route, Service

VMS, SERVERS, SLOTS = 44, 12, 6
MEAN = {"short": 0.03, "long": 1.0}
TIMEOUT = {"short": 2.0, "long": 30.0}
BASE = 0.5 * SERVERS * SLOTS / MEAN["short"]
LONG = 1.5 * 3 * SLOTS / MEAN["long"]  # more than the long group can serve
RAMP, SPIKE, FACTOR = 2.0, 20.0, 5.0
SHED_COST = 0.0005
REFUSAL_BOUND = 0.05
ROUTES = {
    work: Route("GET", "/", "stock", True, work, 2000, 0, "optional") for work in MEAN
}
#: Changes of module constants; the alternatives that docs/admission.md compares.
VARIANTS = {
    "ours": {},
    "fixed pause": {(limits, "MIN_LIMIT"): 6.0, (limits, "MAX_PAUSE"): 0.02},
    "pause to 0.5": {(limits, "MAX_PAUSE"): 0.5},
    "wait to deadline": {
        (admission, "OVERLOAD_WAIT"): 60.0,
        (admission, "REFUSAL_BOUND"): 60.0,
    },
    "naive": {},
}


class Model:
    """Event loop, servers and records."""

    def __init__(self, seed, naive):
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.events = []
        self.order = itertools.count()
        self.busy = dict.fromkeys((f"s{index}" for index in range(SERVERS)), 0)
        self.records = []
        self.attempts = self.sheds = self.none = 0
        kind = NaiveVm if naive else Vm
        self.vms = [kind(self, f"z{index % 6}") for index in range(VMS)]

    def at(self, delay, call, *args):
        moment = self.clock.monotonic() + delay
        heapq.heappush(self.events, (moment, next(self.order), call, args))

    def run(self, until):
        while self.events and self.events[0][0] < until:
            moment, _, call, args = heapq.heappop(self.events)
            self.clock.advance(moment - self.clock.monotonic())
            call(*args)

    def send(self, vm, name, request, done):
        """Carry an attempt to a server and its result back."""
        zone = int(name[1:]) % 6
        own = int(vm.zone[1:])
        link = 0.00025 if zone == own else 0.00075 if zone // 2 == own // 2 else 0.01
        self.attempts += 1
        self.at(link, self._arrive, name, request, link, done)

    def _arrive(self, name, request, link, done):
        if self.busy[name] >= SLOTS:
            self.sheds += 1
            result = AttemptResult(name, AttemptStatus.SHED, 2 * link, 503, load=1.0)
            self.at(SHED_COST + link, done, result)
            return
        self.busy[name] += 1
        self.at(request["cost"], self._complete, name, request, link, done)

    def _complete(self, name, request, link, done):
        self.busy[name] -= 1
        load = self.busy[name] / SLOTS
        latency = request["cost"] + 2 * link
        result = AttemptResult(name, AttemptStatus.OK, latency, 200, load=load)
        self.at(link, done, result)

    def finish(self, request, answered):
        now = self.clock.monotonic()
        in_time = answered and now <= request["deadline"]
        took = now - request["arrived"]
        self.records.append((request, "ok" if in_time else "refused", took))

    def generate(self, work, get_rate):
        """Poisson arrivals at random VMs."""
        now = self.clock.monotonic()
        peak = FACTOR * BASE if work == "short" else LONG
        if self.random.random() < get_rate(now) / peak:
            request = {
                "work": work,
                "arrived": now,
                "deadline": now + TIMEOUT[work],
                "cost": self.random.expovariate(1 / MEAN[work]),
            }
            self.random.choice(self.vms).handle(request)
        self.at(self.random.expovariate(peak), self.generate, work, get_rate)


class Vm:
    """One VM with the daemon's request decisions."""

    def __init__(self, model, zone):
        self.model, self.zone = model, zone
        data = {"expected_servers": SERVERS, "floor": 0.5, "slots": SLOTS}
        self.balancer = TwoChoiceBalancer.from_config(
            "stock",
            Service.from_config(data),
            model.clock,
            model.random,
            lambda name: 1.0,
            zone,
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
            for work in MEAN
        }
        self.budget = RetryBudget(0.1)
        self.policy = RetryPolicy(self.budget, 3, model.clock)
        self.ticking = False

    def handle(self, request):
        self.budget.add_request()
        box = []
        try:
            ticket = self.queues[request["work"]].enter(
                request["deadline"], "c", 1, lambda: self._resume(request, box[0])
            )
        except RequestError:
            self.model.finish(request, False)
            return
        box.append(ticket)
        if ticket.state is TicketState.GRANTED:
            self._attempt(request, ticket, ())
        elif not self.ticking:
            self.ticking = True
            self.model.at(admission.TICK, self._tick)

    def _tick(self):
        for queue in self.queues.values():
            queue.advance()
        self.ticking = any(queue.waiting for queue in self.queues.values())
        if self.ticking:
            self.model.at(admission.TICK, self._tick)

    def _resume(self, request, ticket):
        if ticket.state is TicketState.REFUSED:
            self.model.finish(request, False)
        else:
            # The waiter's task runs after the one that woke it.
            self.model.at(0.0, self._attempt, request, ticket, ())

    def _attempt(self, request, ticket, tried):
        choice = self.balancer.choose(ROUTES[request["work"]], tried)
        if choice is None:
            self.model.none += 1
            self._end(request, ticket, False)
            return
        name = choice.server.name
        self.balancer.start(name, request["work"])
        tried = (*tried, name)
        self.model.send(
            self,
            name,
            request,
            lambda result: self._done(request, ticket, tried, result),
        )

    def _done(self, request, ticket, tried, result):
        self.balancer.finish(result.server, request["work"], result)
        facts = RequestFacts(
            True, False, request["deadline"], refuse_by=ticket.refuse_by
        )
        if self.policy.decide(facts, result, len(tried)).retry:
            self._attempt(request, ticket, tried)
        else:
            self._end(request, ticket, result.status is AttemptStatus.OK)

    def _end(self, request, ticket, answered):
        self.queues[request["work"]].release(ticket, served=answered)
        self.model.finish(request, answered)


class NaiveVm:
    """One VM with the naive proxy's round robin and breakers."""

    def __init__(self, model, zone):
        self.model, self.zone = model, zone
        self.robin = RoundRobin(model.busy, model.clock.monotonic)

    def handle(self, request, tried=()):
        name = self.robin.choose(tried)
        if name is None:
            self.model.finish(request, False)
            return

        def done(result):
            answered = result.status is AttemptStatus.OK
            self.robin.record(name, answered)
            if answered:
                self.model.finish(request, True)
            else:
                self.handle(request, (*tried, name))

        self.model.send(self, name, request, done)


def compute_p99(values):
    return statistics.quantiles(values, n=100)[98] if len(values) > 1 else 0.0


def run_spike(seed, naive):
    """Return the figures of the spike scenario."""
    start = 3.0
    model = Model(seed, naive)

    def get_rate(now):
        part = min(1.0, max(0.0, (now - start) / RAMP))
        return BASE * (1 + (FACTOR - 1) * part)

    model.generate("short", get_rate)
    end = start + SPIKE
    model.run(end + 1.0)
    spike = [item for item in model.records if start <= item[0]["arrived"] < end]
    full = [item for item in spike if item[0]["arrived"] >= start + RAMP]
    good = sum(item[0]["cost"] for item in full if item[1] == "ok")
    refused = [item[2] for item in spike if item[1] == "refused"]
    late = sum(1 for took in refused if took > REFUSAL_BOUND)
    ok = [item[2] for item in spike if item[1] == "ok"]
    return {
        "answered": good / (SERVERS * SLOTS * (SPIKE - RAMP)),
        "late": late / max(1, len(refused)),
        "refusal p99": compute_p99(refused) * 1e3,
        "ok p99": compute_p99(ok) * 1e3,
        "sheds/ok": model.sheds / max(1, len(ok)),
        "none": model.none,
    }


def run_long(seed, naive, long):
    """Return the 99th percentile of short work at base load, and its share refused."""
    model = Model(seed, naive)
    model.generate("short", lambda now: BASE)
    if long:
        model.generate("long", lambda now: LONG)
    model.run(15.0)
    short = [item for item in model.records if item[0]["work"] == "short"]
    short = [item for item in short if item[0]["arrived"] >= 3.0]
    ok = [item[2] for item in short if item[1] == "ok"]
    return compute_p99(ok) * 1e3, 1 - len(ok) / max(1, len(short))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--variants", default=",".join(VARIANTS))
    options = parser.parse_args()
    print(f"seed {options.seed}; times in ms")
    for name in options.variants.split(","):
        saved = {key: getattr(*key) for key in VARIANTS[name]}
        for (module, key), value in VARIANTS[name].items():
            setattr(module, key, value)
        figures = run_spike(options.seed, name == "naive")
        for long in (False, True):
            p99, refused = run_long(options.seed, name == "naive", long)
            label = "with long" if long else "base"
            figures |= {f"{label} p99": p99, f"{label} refused": refused}
        for (module, key), value in saved.items():
            setattr(module, key, value)
        texts = [f"{key} {value:.3g}" for key, value in figures.items()]
        print(f"{name:<17}" + ", ".join(texts), flush=True)


if __name__ == "__main__":
    main()

"""Models 44 VMs in front of 12 servers with 6 slots under a load spike, no sockets.

Run: python -m bench.overload_model [--seed N] [--load SHARE] [--variants NAME,...]

The load rises within 2 s to five times the base load; the spike lasts 20 s including
this rise. Short work takes 30 ms and long work 1 s on average, with an exponential
distribution. The request decisions are the code of the daemon.
"""

import argparse
import heapq
import itertools
import random
import statistics

from bench.overload_vms import MEAN_S, SERVERS, SLOTS, NaiveVm, Vm
from lavendermast import admission, limits, retries
from lavendermast.clock import ManualClock
from lavendermast.models import AttemptResult, AttemptStatus

VMS = 44
TIMEOUT_S = {"short": 2.0, "long": 30.0}
CAPACITY_PER_S = SERVERS * SLOTS / MEAN_S["short"]
#: Requests/s, 1.5 times what the long group can serve.
LONG_RATE = 1.5 * 3 * SLOTS / MEAN_S["long"]
RAMP_S, SPIKE_S, SPIKE_FACTOR = 2.0, 20.0, 5.0
SHED_COST_S = 0.0005
REFUSAL_TARGET_S = 0.05  # target for the time from arrival to a refusal
#: Module constants to replace per variant; docs/admission.md compares the variants.
VARIANTS = {
    "ours": {},
    "fixed pause": {(limits, "MIN_LIMIT"): 6.0, (limits, "MAX_PAUSE_S"): 0.02},
    "pause to 0.5": {(limits, "MAX_PAUSE_S"): 0.5},
    "wait to deadline": {
        (admission, "OVERLOAD_WAIT_S"): 60.0,
        (admission, "REFUSAL_BOUND_S"): 60.0,
        (retries, "REFUSAL_BOUND_S"): 60.0,
    },
    "naive": {},
}


class Model:
    """Event loop with servers, VMs and the records of finished requests."""

    def __init__(self, seed, naive, base):
        self.base = base
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.events = []
        self.sequence = itertools.count()
        self.busy = dict.fromkeys((f"s{index}" for index in range(SERVERS)), 0)
        self.records = []
        self.attempts = self.sheds = self.no_server = 0
        vm_class = NaiveVm if naive else Vm
        self.vms = [vm_class(self, f"z{index % 6}") for index in range(VMS)]

    def schedule(self, delay, call, *args):
        moment = self.clock.monotonic() + delay
        heapq.heappush(self.events, (moment, next(self.sequence), call, args))

    def run(self, until):
        while self.events and self.events[0][0] < until:
            moment, _, call, args = heapq.heappop(self.events)
            self.clock.advance(moment - self.clock.monotonic())
            call(*args)

    def send(self, vm, name, request, done):
        """Send an attempt to a server; ``done`` is called with the result."""
        zone = int(name[1:]) % 6
        vm_zone = int(vm.zone[1:])
        # One-way delay within a zone, between zones of a region, and between regions.
        link_delay_s = (
            0.00025
            if zone == vm_zone
            else 0.00075
            if zone // 2 == vm_zone // 2
            else 0.01
        )
        self.attempts += 1
        self.schedule(link_delay_s, self._arrive, name, request, link_delay_s, done)

    def _arrive(self, name, request, link_delay_s, done):
        if self.busy[name] >= SLOTS:
            self.sheds += 1
            result = AttemptResult(
                name, AttemptStatus.SHED, 2 * link_delay_s, 503, load=1.0
            )
            self.schedule(SHED_COST_S + link_delay_s, done, result)
            return
        self.busy[name] += 1
        self.schedule(
            request["cost"], self._complete, name, request, link_delay_s, done
        )

    def _complete(self, name, request, link_delay_s, done):
        self.busy[name] -= 1
        load = self.busy[name] / SLOTS
        latency = request["cost"] + 2 * link_delay_s
        result = AttemptResult(name, AttemptStatus.OK, latency, 200, load=load)
        self.schedule(link_delay_s, done, result)

    def finish(self, request, answered):
        now = self.clock.monotonic()
        in_time = answered and now <= request["deadline"]
        latency = now - request["arrived"]
        self.records.append((request, in_time, latency))

    def generate(self, work, get_rate):
        """
        Send requests to random VMs as a Poisson process of varying rate.

        Arrivals are drawn at the peak rate; each is accepted with probability
        ``get_rate(now) / peak``.
        """
        now = self.clock.monotonic()
        peak = SPIKE_FACTOR * self.base if work == "short" else LONG_RATE
        if self.random.random() < get_rate(now) / peak:
            request = {
                "work": work,
                "arrived": now,
                "deadline": now + TIMEOUT_S[work],
                # Service time in seconds.
                "cost": self.random.expovariate(1 / MEAN_S[work]),
            }
            self.random.choice(self.vms).handle(request)
        self.schedule(self.random.expovariate(peak), self.generate, work, get_rate)


def compute_p99(values):
    return statistics.quantiles(values, n=100)[98] if len(values) > 1 else 0.0


def run_spike(seed, naive, base):
    """Return the results of the spike scenario."""
    start, end = 3.0, 3.0 + SPIKE_S
    model = Model(seed, naive, base)

    def get_rate(now):
        fraction = min(1.0, max(0.0, (now - start) / RAMP_S))
        return base * (1 + (SPIKE_FACTOR - 1) * fraction)

    model.generate("short", get_rate)
    model.run(end + 1.0)
    spike = [item for item in model.records if start <= item[0]["arrived"] < end]
    answered_at_peak = [
        item[0] for item in spike if item[1] and item[0]["arrived"] > start + RAMP_S
    ]
    refused = [item[2] for item in spike if not item[1]]
    late_refusals = sum(1 for latency in refused if latency > REFUSAL_TARGET_S)
    return {
        "answered %": 100
        * sum(request["cost"] for request in answered_at_peak)
        / (SERVERS * SLOTS * (SPIKE_S - RAMP_S)),
        "late refusals %": 100 * late_refusals / max(1, len(refused)),
        "refusal p99": compute_p99(refused) * 1e3,
        "sheds/answer": model.sheds / max(1, len(spike) - len(refused)),
    }


def run_long(seed, naive, base, long):
    """Return 99th percentile and refused percentage of short work at base load."""
    model = Model(seed, naive, base)
    model.generate("short", lambda now: base)
    if long:
        model.generate("long", lambda now: LONG_RATE)
    model.run(15.0)
    short = [item for item in model.records if item[0]["work"] == "short"]
    short = [item for item in short if item[0]["arrived"] >= 3.0]
    ok = [item[2] for item in short if item[1]]
    label = "long" if long else "base"
    refused = 100 * (1 - len(ok) / len(short))
    return {f"{label} p99": compute_p99(ok) * 1e3, f"{label} refused %": refused}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--load", type=float, default=0.5)
    parser.add_argument("--variants", default=",".join(VARIANTS))
    options = parser.parse_args()
    base = options.load * CAPACITY_PER_S
    print(f"seed {options.seed}, base load {options.load} of the slots; times in ms")
    for name in options.variants.split(","):
        saved = {key: getattr(*key) for key in VARIANTS[name]}
        for key, value in VARIANTS[name].items():
            setattr(*key, value)
        figures = run_spike(options.seed, name == "naive", base)
        for long in (False, True):
            figures |= run_long(options.seed, name == "naive", base, long)
        for key, value in saved.items():
            setattr(*key, value)
        if name == options.variants.split(",")[0]:
            print(f"{'':<17}" + "".join(f"{key:>17}" for key in figures))
        texts = "".join(f"{value:>17.2f}" for value in figures.values())
        print(f"{name:<17}{texts}", flush=True)


if __name__ == "__main__":
    main()

"""Measures detection times and false ejections of the health decisions.

All trackers and judges run in one process on a manual clock, without sockets. Messages
arrive after a fixed delay. This checks the decisions; it does not simulate a cluster.
"""

import collections
import heapq
import random
import statistics
import time

import defopt

from lavendermast.clock import ManualClock, SystemClock
from lavendermast.evidence import EvidenceReporter, Judge
from lavendermast.health import HealthTracker
from lavendermast.models import AttemptResult, AttemptStatus, Server
from lavendermast.settings_model import Service

STEP_S = 0.02
MESSAGE_DELAY_S = 0.05
WARM_UP_S = 12.0
TIMEOUT_S = 2.0
SERVICE = "status"
LONG_SHARE = 0.1
#: Median latency in seconds and standard deviation of its logarithm.
ROUTES = {"short": (0.03, 0.4), "long": (1.0, 0.6)}
#: One-way link latency between regions in both deployments.
REGION_DELAY_S = 0.02
#: One-way latency between zones in seconds, regions, service settings, and the
#: documented targets for the detection time in seconds.
DEPLOYMENTS = {
    "latvia": (
        0.001,
        ("riga", "kurzeme", "latgale"),
        {"detection": {}},
        {"error": 2.0, "half-answer": 2.0, "slow": 3.0},
    ),
    "mauritius": (
        0.0015,
        ("grand-port", "port-louis", "flacq"),
        {"detection": {"window_ms": 4000, "error_share": 0.4, "min_samples": 8}},
        {"error": 4.0, "half-answer": 4.0, "slow": 6.0},
    ),
}
SCENARIOS = (
    *("long beside short", "load spike", "paused vm", "one-way vm", "slow vm"),
    *("one-way zone", "slow zone", "unreachable zone"),
)
FAULT_STATUSES = {"error": AttemptStatus.ERROR, "half-answer": AttemptStatus.CUT}

Member = collections.namedtuple("Member", "vm zone")
Vm = collections.namedtuple("Vm", "name zone tracker reporter judge")


class Model:
    """Trackers and judges of one deployment under a fault."""

    def __init__(self, deployment, seed, vms=44, servers=12):
        self.zone_delay, regions, settings, _ = DEPLOYMENTS[deployment]
        self.random, self.clock = random.Random(seed), ManualClock()
        self.events, self.sequence, self.paused_until = [], 0, 0.0
        self.sent = collections.deque()
        self.false_ejections, self.denied_ejections, self.faulty, self.fault = (
            0,
            0,
            None,
            None,
        )
        zones = self.zones = [
            f"{region}-{letter}" for region in regions for letter in "ab"
        ]
        self.servers = [
            Server(f"s{n}", SERVICE, zones[n % 6][:-2], zones[n % 6], f"127.0.0.1:{n}")
            for n in range(servers)
        ]
        service = Service.from_config(
            {"expected_servers": servers, "floor": 0.6, **settings}
        )
        members = [Member(f"v{n}", zones[n % 6]) for n in range(vms)]
        self.vms = {m.vm: self._build_vm(m, service, members) for m in members}

    def _build_vm(self, member, service, members):
        tracker = HealthTracker.from_config(SERVICE, service, self.clock, self._record)
        tracker.replace_servers(self.servers)
        reporter = EvidenceReporter({SERVICE: tracker}, self.clock)
        reporter.replace_members(SERVICE, members)
        judge = Judge(member.zone, member.vm, self.clock, lambda event, **fields: None)
        judge.replace_service(SERVICE, service, self.servers, members)
        return Vm(member.vm, member.zone, tracker, reporter, judge)

    def _record(self, event, **fields):
        if fields["server"] != self.faulty:
            self.false_ejections += event == "ejected"
            self.denied_ejections += event == "ejection_denied"

    def schedule(self, delay, vm, action, *arguments):
        """Schedule an action of a VM; a paused VM runs it when it resumes."""
        self.sequence += 1
        moment = self.clock.monotonic() + delay
        heapq.heappush(self.events, (moment, self.sequence, vm, action, arguments))

    def run(self, seconds):
        """Run all VMs for some simulated seconds."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            self.clock.advance(STEP_S)
            now = self.clock.monotonic()
            while self.events and self.events[0][0] <= now:
                _, _, vm, action, arguments = heapq.heappop(self.events)
                if self._is_paused(vm):
                    self.schedule(self.paused_until - now, vm, action, *arguments)
                else:
                    action(*arguments)
            step = round(now / STEP_S)
            for index, vm in enumerate(self.vms.values()):
                if not self._is_paused(vm):
                    self._send_requests(vm)
                    # Each VM evaluates every 100 ms, as in the daemon; the VMs
                    # take turns.
                    if (step + index) % 5 == 0:
                        self._evaluate(vm)

    def _is_paused(self, vm):
        return vm.name == "v0" and self.clock.monotonic() < self.paused_until

    def _evaluate(self, vm):
        vm.tracker.advance()
        for receiver, evidence in vm.reporter.collect():
            judge_vm = self.vms[receiver]
            self.schedule(
                MESSAGE_DELAY_S, judge_vm, self._deliver, judge_vm, vm, evidence
            )
        self._send_verdicts(vm.judge.advance())

    def _deliver(self, judge_vm, sender, evidence):
        self._send_verdicts(judge_vm.judge.receive(sender.zone, sender.name, evidence))

    def _send_verdicts(self, verdicts):
        for verdict in verdicts:
            for vm in self.vms.values():
                self.schedule(MESSAGE_DELAY_S, vm, vm.tracker.apply_verdict, verdict)

    def _send_requests(self, vm):
        rate_factor = 5 if self.fault == "load spike" else 1
        expected = rate_factor * len(self.servers) * STEP_S
        count = int(expected) + (self.random.random() < expected % 1)
        weights = [vm.tracker.get_weight(server.name) for server in self.servers]
        for server in self.random.choices(self.servers, weights, k=count):
            self._send_request(vm, server)

    def _send_request(self, vm, server):
        route = "long" if self.random.random() < LONG_SHARE else "short"
        median, sigma = ROUTES[route]
        latency = median * self.random.lognormvariate(0, sigma)
        fault = self.fault if server.name == self.faulty else None
        status = FAULT_STATUSES.get(fault, AttemptStatus.OK)
        latency *= 10 if fault == "slow" else 8 if self.fault == "load spike" else 1
        latency += self._get_link_delay(vm, server)
        timeout = TIMEOUT_S if route == "short" else 20.0
        if latency > timeout:
            latency, status = timeout, AttemptStatus.TIMEOUT
        attempt = vm.tracker.start_attempt(server.name, route)
        self.sent.append((self.clock.monotonic(), server.name))
        result = AttemptResult(server.name, status, latency)
        self.schedule(latency, vm, vm.tracker.finish_attempt, attempt, result)

    def _get_link_delay(self, vm, server):
        delay = 2 * self.zone_delay * (vm.zone != server.zone)
        delay += 2 * REGION_DELAY_S * (vm.zone[:-2] != server.region)
        if self._is_faulty_link(vm, server):
            delay += 0.3 if self.fault.startswith("slow") else 10 * TIMEOUT_S
        return delay

    def _is_faulty_link(self, vm, server):
        faulty_zone = self.zones[0]
        if self.fault in ("one-way zone", "slow zone"):
            return vm.zone == faulty_zone and server.zone[-1] == "b"
        if self.fault == "unreachable zone":
            return vm.zone != faulty_zone and server.zone == faulty_zone
        return self.fault in ("one-way vm", "slow vm") and vm.name == "v1"

    def get_share(self, server_name):
        """Return a server's share of the requests sent in the last 0.2 s."""
        oldest = self.clock.monotonic() - 0.2
        while self.sent and self.sent[0][0] < oldest:
            self.sent.popleft()
        return sum(name == server_name for _, name in self.sent) / len(self.sent)


def measure_detection(deployment, fault, seed):
    """
    Return the seconds until the faulty server's share is under 2%.

    The second value is the number of false ejections.
    """
    model = Model(deployment, seed)
    model.run(WARM_UP_S)
    model.faulty, model.fault = f"s{seed % 12}", fault
    for tenths in range(1, 150):
        model.run(0.1)
        if model.get_share(model.faulty) < 0.02:
            return tenths / 10, model.false_ejections
    return float("inf"), model.false_ejections


def count_false_ejections(deployment, scenario, seed):
    """
    Return the ejections and the denied ejections of healthy servers in a scenario.

    A denied ejection only reduces the weight of the server.
    """
    model = Model(deployment, seed)
    model.run(WARM_UP_S)
    model.fault = scenario
    if scenario == "paused vm":
        model.paused_until = model.clock.monotonic() + 30
    model.run(20 if scenario == "load spike" else 35)
    model.fault = None
    model.run(5)
    return model.false_ejections, model.denied_ejections


def measure_cost(servers, rounds=20_000):
    """Return the median cost in microseconds of the tracker calls for one attempt."""
    service = Service.from_config({"expected_servers": servers, "floor": 0.6})
    tracker = HealthTracker.from_config(
        SERVICE, service, SystemClock(), lambda event, **fields: None
    )
    listed = [Server(f"s{n}", SERVICE, "r", "r-a", "-") for n in range(servers)]
    tracker.replace_servers(listed)
    costs = []
    for n in range(rounds):
        name = f"s{n % servers}"
        result = AttemptResult(name, AttemptStatus.OK, 0.02)
        if n % 100 == 0:
            tracker.advance()
        started = time.perf_counter_ns()
        tracker.get_weight(name)
        tracker.finish_attempt(tracker.start_attempt(name, "short"), result)
        costs.append((time.perf_counter_ns() - started) / 1000)
    return statistics.median(costs)


def main(seed: int = 1, runs: int = 3):
    """Print all results for ``runs`` consecutive seeds, starting at ``seed``."""
    seeds = range(seed, seed + runs)
    for deployment, (_, _, _, targets) in DEPLOYMENTS.items():
        for fault, target in targets.items():
            results = [measure_detection(deployment, fault, seed) for seed in seeds]
            times = " ".join(f"{seconds:.1f}" for seconds, _ in results)
            wrong = sum(count for _, count in results)
            print(f"{deployment} {fault}: {times} s, target {target} s, false {wrong}")
        for scenario in SCENARIOS:
            results = [count_false_ejections(deployment, scenario, s) for s in seeds]
            wrong, reduced = (sum(column) for column in zip(*results, strict=True))
            print(f"{deployment} {scenario}: false {wrong}, reduced {reduced}")
    for servers in (12, 100, 500):
        print(f"{servers} servers: {measure_cost(servers):.1f} us per attempt")


if __name__ == "__main__":
    defopt.run(main)

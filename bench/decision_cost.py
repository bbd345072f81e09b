"""Measures the cost of one balancer decision by number of servers.

Run: python -m bench.decision_cost [--seed N] [--rounds N]
"""

import argparse
import random
import statistics
import time

from lavendermast.balancer import TwoChoiceBalancer
from lavendermast.clock import SystemClock
from lavendermast.models import AttemptResult, AttemptStatus, Server
from lavendermast.settings_model import Route, Service

CASES = ("plain", "half ejected", "all but 1 busy", "none free")


def make_balancer(count, case, seed):
    """Return a balancer over ``count`` servers in the state of one of ``CASES``."""
    service = Service.from_config({"expected_servers": count, "floor": 0.5})
    half = {f"s{index}" for index in range(0, count, 2)}
    ejected = half if case == "half ejected" else set()
    balancer = TwoChoiceBalancer.from_config(
        "stock",
        service,
        SystemClock(),
        random.Random(seed),
        lambda name: 0.0 if name in ejected else 1.0,
        "r0",
    )
    servers = [
        Server(f"s{index}", "stock", f"r{index % 3}", f"z{index % 6}", "127.0.0.1:1")
        for index in range(count)
    ]
    balancer.replace_servers(servers)
    free_count = 1 if case == "all but 1 busy" else 0
    if case in CASES[2:]:
        for server in servers[free_count:]:
            balancer.start(server.name, "short")
            drained = AttemptResult(server.name, AttemptStatus.DRAINING)
            balancer.finish(server.name, "short", drained)
    return balancer


def measure(balancer, route, rounds):
    """Return the microseconds of choose, start and finish in each round."""
    times = []
    for _ in range(rounds):
        started = time.perf_counter()
        choice = balancer.choose(route)
        if choice is not None:
            name = choice.server.name
            balancer.start(name, "short")
            result = AttemptResult(name, AttemptStatus.OK, 0.03, load=0.5)
            balancer.finish(name, "short", result)
        times.append((time.perf_counter() - started) * 1e6)
    return times


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=20000)
    options = parser.parse_args()
    route = Route("GET", "/", "stock", True, "short", 2000, 0, "optional")
    print(f"seed {options.seed}, {options.rounds} rounds, microseconds")
    print(f"{'servers':>7}  {'case':<15}{'median':>8}{'p99':>8}")
    for case in CASES:
        for count in (12, 50, 100, 500):
            balancer = make_balancer(count, case, options.seed)
            rounds = options.rounds if case == CASES[0] else options.rounds // 20
            times = measure(balancer, route, rounds)
            p99 = statistics.quantiles(times, n=100)[98]
            median = statistics.median(times)
            print(f"{count:>7}  {case:<15}{median:>8.1f}{p99:>8.1f}")


if __name__ == "__main__":
    main()

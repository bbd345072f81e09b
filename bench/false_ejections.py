"""Ejections of servers without a fault in four scripted scenarios; the target is 0.

`python -m bench.false_ejections [--deployment latvia] [--vms 12] [--seed 1]`
"""

import collections
import sys

from bench.blocking import LONG_RATE, LONG_WORK, SHORT_RATE, SHORT_WORK
from bench.compare import run_both
from bench.experiment import Load, print_table
from bench.under_load import (
    SHORT_SERVICES,
    count_ejections,
    make_parser,
    make_spike,
    parse_line,
)

RATE = 150
SPIKE_BASE = 100  # five times this is 1.4 times 72 slots at 200 ms
SPIKE_WORK = {"work_ms": 200.0, "body_bytes": 2_000}
FAULT_AT_S = 5
FAULT_S = 15
PAUSE_S = 30


def block_one_way(fleet):
    """
    Return steps in which two regions hear a third that cannot reach them.

    The region's VMs cannot reach peers and servers elsewhere, while messages towards
    them arrive.
    """
    cut = fleet.vms[0].region
    inside = [vm for vm in fleet.vms if vm.region == cut]
    others = [vm for vm in fleet.vms if vm.region != cut]
    targets = [vm.peer_address for vm in others]
    targets += [s["address"] for s in fleet.servers if s["region"] != cut]

    def block():
        for vm in inside:
            fleet.block(vm.name, drop_to=targets)

    return [
        {"at": FAULT_AT_S, "call": block},
        {"at": FAULT_AT_S + FAULT_S, "call": fleet.heal},
    ]


def pause_vm(fleet):
    """Return steps that pause one VM."""
    vm = fleet.vms[1].name
    return [
        {"at": FAULT_AT_S, "vm": vm, "signal": "STOP"},
        {"at": FAULT_AT_S + PAUSE_S, "vm": vm, "signal": "CONT"},
    ]


def make_scenarios(deployment):
    """Return service, load steps, shares, fault script and work by scenario."""
    service = SHORT_SERVICES[deployment]
    short = {"short": 1.0}
    rate = SHORT_RATE + LONG_RATE
    mixed = {"short": SHORT_RATE / rate, "long": LONG_RATE / rate}
    work = {"short": SHORT_WORK, "long": LONG_WORK}
    spike = {"short": SPIKE_WORK}
    quiet = FAULT_AT_S + FAULT_S + 5
    paused = FAULT_AT_S + PAUSE_S + 8
    return {
        "long beside short": ("archives", ((20, rate),), mixed, None, work),
        "one-way partition": (service, ((quiet, RATE),), short, block_one_way, work),
        "load spike": (service, make_spike(SPIKE_BASE), short, None, spike),
        "pause of a vm": (service, ((paused, RATE),), short, pause_vm, work),
    }


def run(options, scenario):
    """Return records and decision lines of one scenario."""
    service, steps, shares, script, work = scenario
    load = Load(steps, seed=options.seed, generators=3, callers=120, shares=shares)
    results = run_both(
        options.deployment,
        options.vms,
        load,
        script or (lambda fleet: []),
        fleets=["ours"],
        service=service,
        seed=options.seed,
        daemon_module="bench.faulty_daemon",
        **work,
    )
    records, _, _, lines = results["ours"]
    return records, lines


def main():
    """Print the mistakes of each scenario and exit with 1 when there are any."""
    parser = make_parser(__doc__)
    parser.add_argument("--scenario", help="run one only")
    options = parser.parse_args()
    rows = []
    for name, scenario in make_scenarios(options.deployment).items():
        if options.scenario not in (None, name):
            continue
        records, lines = run(options, scenario)
        outcomes = collections.Counter(record["outcome"] for record in records)
        rows.append([name, len(records), dict(outcomes), count_ejections(lines)])
        for line in [line for line in lines if " event=ejected " in line][:5]:
            print(parse_line(line))
    print_table(rows, ["scenario", "requests", "outcomes", "false ejections"])
    sys.exit(1 if any(row[-1] for row in rows) else 0)


if __name__ == "__main__":
    main()

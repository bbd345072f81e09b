"""Counts ejections of healthy servers in four scripted scenarios; the target is 0.

`python -m bench.false_ejections [--deployment latvia] [--vms 12] [--seed 1]`
"""

import collections
import sys

from bench.blocking import LONG_RATE, LONG_WORK, SHORT_RATE, SHORT_WORK
from bench.compare import run_fleets
from bench.experiment import Load, print_table
from bench.under_load import (
    SHORT_SERVICES,
    count_false_ejections,
    make_parser,
    make_spike,
    parse_line,
)

#: Requests/s.
RATE = 150
#: Requests/s. The spike, five times this, is 1.4 times the capacity of 72 slots at
#: 200 ms per request.
SPIKE_BASE_RATE = 100
SPIKE_WORK = {"work_ms": 200.0, "body_bytes": 2_000}
FAULT_AT_S = 5
FAULT_S = 15
PAUSE_S = 30


def block_one_way(fleet):
    """
    Return the steps of a one-way partition of one region.

    The VMs of the region cannot send to peers and servers of other regions, but
    receive messages from them.
    """
    cut_region = fleet.vms[0].region
    inside = [vm for vm in fleet.vms if vm.region == cut_region]
    others = [vm for vm in fleet.vms if vm.region != cut_region]
    targets = [vm.peer_address for vm in others]
    targets += [s["address"] for s in fleet.servers if s["region"] != cut_region]

    def block():
        for vm in inside:
            fleet.block(vm.name, drop_to=targets)

    return [
        {"at": FAULT_AT_S, "call": block},
        {"at": FAULT_AT_S + FAULT_S, "call": fleet.heal},
    ]


def pause_vm(fleet):
    """Return the steps that pause one VM."""
    vm = fleet.vms[1].name
    return [
        {"at": FAULT_AT_S, "vm": vm, "signal": "STOP"},
        {"at": FAULT_AT_S + PAUSE_S, "vm": vm, "signal": "CONT"},
    ]


def make_scenarios(deployment):
    """Return service, load steps, shares, fault steps and work by scenario."""
    service = SHORT_SERVICES[deployment]
    short = {"short": 1.0}
    rate = SHORT_RATE + LONG_RATE
    mixed = {"short": SHORT_RATE / rate, "long": LONG_RATE / rate}
    work = {"short": SHORT_WORK, "long": LONG_WORK}
    spike = {"short": SPIKE_WORK}
    partition_load_s = FAULT_AT_S + FAULT_S + 5
    pause_load_s = FAULT_AT_S + PAUSE_S + 8
    return {
        "long beside short": ("archives", ((20, rate),), mixed, None, work),
        "one-way partition": (
            service,
            ((partition_load_s, RATE),),
            short,
            block_one_way,
            work,
        ),
        "load spike": (service, make_spike(SPIKE_BASE_RATE), short, None, spike),
        "pause of a vm": (service, ((pause_load_s, RATE),), short, pause_vm, work),
    }


def run(options, scenario):
    """Return the records and the decision log lines of one scenario."""
    service, steps, shares, make_steps, work = scenario
    load = Load(steps, seed=options.seed, generators=3, callers=120, shares=shares)
    results = run_fleets(
        options.deployment,
        options.vms,
        load,
        make_steps or (lambda fleet: []),
        fleets=["ours"],
        service=service,
        seed=options.seed,
        daemon_module="bench.faulty_daemon",
        **work,
    )
    records, _, _, lines = results["ours"]
    return records, lines


def main():
    """Print the false ejections of each scenario; exit with 1 if there are any."""
    parser = make_parser(__doc__)
    parser.add_argument("--scenario", help="run only this scenario")
    options = parser.parse_args()
    rows = []
    for name, scenario in make_scenarios(options.deployment).items():
        if options.scenario not in (None, name):
            continue
        records, lines = run(options, scenario)
        outcomes = collections.Counter(record["outcome"] for record in records)
        rows.append([name, len(records), dict(outcomes), count_false_ejections(lines)])
        for line in [line for line in lines if " event=ejected " in line][:5]:
            print(parse_line(line))
    print_table(rows, ["scenario", "requests", "outcomes", "false ejections"])
    sys.exit(1 if any(row[-1] for row in rows) else 0)


if __name__ == "__main__":
    main()

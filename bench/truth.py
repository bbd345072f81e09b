"""Load under faults: every caller's record against what the servers ran.

`python -m bench.truth [--deployment latvia] [--requests 50000] [--vms 12] [--seed 1]`
"""

import argparse
import json
import subprocess
import sys

from bench.checks import check_records, collect_runs, count_outcomes
from bench.experiment import Load, print_table, run_load
from bench.fleet import LocalFleet

RATE = 500
HOLD_MS = 2000
SETTLE_S = 5


def shorten_hold(base):
    """Let callers ask for addresses often, so that restarts matter."""
    base.setdefault("addresses", {})["hold_ms"] = HOLD_MS


def make_steps(fleet, seconds):
    """Return a fault script that repeats every 20 s: servers, VMs and the store."""
    servers = [server["name"] for server in fleet.servers]
    names = [vm.name for vm in fleet.vms]
    steps = []
    healthy = {"slow": 1.0, "errors": 0.0, "cut": 0.0, "hang": 0.0}
    healthy["drop_after_run"] = 0.0
    for turn, start in enumerate(range(0, int(seconds) - 18, 20)):
        sick = [servers[(7 * turn + 5 * k) % len(servers)] for k in range(4)]
        vm = names[turn % len(names)]
        other = names[(turn + len(names) // 2) % len(names)]
        faults = ({"errors": 0.5}, {"cut": 0.5}, {"drop_after_run": 0.5}, {"slow": 10})
        for server, fault in zip(sick, faults, strict=True):
            steps.append({"at": start + 1, "server": server, "faults": fault})
            steps.append({"at": start + 15, "server": server, "faults": healthy})
        steps += [
            {"at": start + 3, "vm": vm, "signal": "KILL"},
            {"at": start + 5, "vm": vm, "restart": True},
            {"at": start + 4, "vm": other, "signal": "STOP"},
            {"at": start + 10, "vm": other, "signal": "CONT"},
            {"at": start + 6, "store": {"down": True}},
            {"at": start + 12, "store": {"down": False}},
            {"at": start + 8, "server": sick[0], "faults": {"hang": 0.2}},
        ]
    return steps


def run_incident(fleet, paths, folder):
    """Return the account of the decision logs, compared with the callers' records."""
    merged = folder / "callers.jsonl"
    with merged.open("w") as output:
        for path in paths:
            output.write(path.read_text())
    command = [sys.executable, "-m", "lavendermast.cli", "incident"]
    command += [*map(str, fleet.get_logs()), "--callers", str(merged)]
    command += ["--format", "json"]
    done = subprocess.run(command, capture_output=True, text=True)
    return json.loads(done.stdout), done.returncode


def main():
    """Run one deployment and print outcomes and broken promises."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="latvia")
    parser.add_argument("--requests", type=int, default=50_000)
    parser.add_argument("--vms", type=int, default=12)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=int, default=RATE)
    options = parser.parse_args()
    seconds = options.requests / options.rate
    load = Load(
        ((seconds, options.rate),),
        seed=options.seed,
        generators=3,
        repeat_share=0.3,
        shares={"short": 0.6, "write": 0.38, "long": 0.02},
    )
    with LocalFleet(
        options.deployment, options.vms, shorten_hold, seed=options.seed
    ) as fleet:
        records, _ = run_load(fleet, load, make_steps(fleet, seconds))
        verdicts = check_records(records, *collect_runs(fleet))
    print_table(count_outcomes(records).most_common(), ["outcome/reason", "requests"])
    kinds = ("second_run", "false_not_run", "cut_answer", "foreign_answer")
    rows = [(kind, verdicts.counts[kind], 0) for kind in (*kinds, "no_outcome")]
    print_table([("requests", len(records), ""), *rows], ["check", "found", "target"])
    for kind, example in verdicts.examples.items():
        print(kind, example)
    sys.exit(1 if verdicts.counts else 0)


if __name__ == "__main__":
    main()

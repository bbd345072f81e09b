"""Runs load under faults and compares callers' records with servers and logs.

`python -m bench.truth [--deployment latvia] [--requests 50000] [--vms 12] [--seed 1]
[--partition]`
"""

import argparse
import collections
import functools
import json
import pathlib
import re
import shutil
import subprocess
import sys
import time

from bench.checks import check_records, collect_runs, count_outcomes
from bench.experiment import Load, print_table, run_load
from bench.falsify import run_trials
from bench.fleet import LocalFleet

RATE = 500
HOLD_MS = 2000
#: A graceful stop takes 10 s here; some repeats have to arrive after its handover.
REPEAT_DELAY_S = 20
#: Time for the log writers to write their queues.
SETTLE_S = 2
COMPARED_LABEL = "callers' records compared"
ISSUE_KINDS = ("disagreement", "contradiction", "unknown")


def shorten_hold(base):
    """Make callers refresh addresses often, so that restarts affect their requests."""
    base.setdefault("addresses", {})["hold_ms"] = HOLD_MS


def restart(fleet, name):
    """Wait until a stopping VM has exited and start it again."""
    fleet.wait_exit(name)
    fleet.start_vm(name)


def make_partitions(fleet, seconds):
    """Return steps that partition one region for 6 s of every 20 s."""
    regions = sorted({vm.region for vm in fleet.vms})
    steps = []
    for cycle, start in enumerate(range(0, int(seconds) - 18, 20)):
        region = regions[cycle % len(regions)]
        start_partition = functools.partial(fleet.partition, {region})
        steps += [
            {"at": start + 7, "call": start_partition},
            {"at": start + 13, "call": fleet.heal},
        ]
    return steps


def make_steps(fleet, seconds):
    """Return a fault script for servers, VMs and the store, repeated every 20 s."""
    servers = [server["name"] for server in fleet.servers]
    names = [vm.name for vm in fleet.vms]
    steps = []
    healthy = {"slow": 1.0, "errors": 0.0, "cut": 0.0, "hang": 0.0}
    healthy["drop_after_run"] = 0.0
    for cycle, start in enumerate(range(0, int(seconds) - 18, 20)):
        faulty = [servers[(7 * cycle + 5 * k) % len(servers)] for k in range(4)]
        vm = names[cycle % len(names)]
        paused = names[(cycle + len(names) // 2) % len(names)]
        stopped = names[(cycle + len(names) // 4) % len(names)]
        faults = ({"errors": 0.5}, {"cut": 0.5}, {"drop_after_run": 0.5}, {"slow": 10})
        for server, fault in zip(faulty, faults, strict=True):
            steps.append({"at": start + 1, "server": server, "faults": fault})
            steps.append({"at": start + 15, "server": server, "faults": healthy})
        steps += [
            {"at": start + 3, "vm": vm, "signal": "KILL"},
            {"at": start + 5, "vm": vm, "restart": True},
            {"at": start + 4, "vm": paused, "signal": "STOP"},
            {"at": start + 10, "vm": paused, "signal": "CONT"},
            {"at": start + 6, "store": {"down": True}},
            {"at": start + 12, "store": {"down": False}},
            {"at": start + 8, "server": faulty[0], "faults": {"hang": 0.2}},
            {"at": start + 2, "vm": stopped, "signal": "TERM"},
            {"at": start + 17, "call": functools.partial(restart, fleet, stopped)},
        ]
    return steps


def write_caller_records(fleet, records):
    """Write the callers' records, with VM names instead of addresses."""
    names = {vm.caller_address: vm.name for vm in fleet.vms}
    path = fleet.folder / "callers.jsonl"
    with path.open("w") as output:
        for record in records:
            row = {**record, "vm": names[record["vm"]]}
            output.write(json.dumps(row) + "\n")
    return path


def run_incident(logs, callers):
    """Return the incident report of the decision logs and the callers' records."""
    command = [sys.executable, "-W", "ignore", "-m", "lavendermast.cli", "incident"]
    command += [*map(str, logs), "--callers", str(callers), "--format", "json"]
    result = subprocess.run(command, capture_output=True, text=True)
    if result.returncode not in (0, 1):
        raise RuntimeError(result.stderr)
    return json.loads(result.stdout)


def count_issues(report):
    """Return rows of the report's issues, and whether logs and callers agree."""
    issues = [issue for item in report["requests"] for issue in item["issues"]]
    issues += report["fleet_issues"]
    counts = collections.Counter(issue["kind"] for issue in issues)
    rows = [("requests compared", report["summary"].get(COMPARED_LABEL, 0))]
    rows += [(kind, counts[kind]) for kind in ISSUE_KINDS]
    for kind in ISSUE_KINDS:
        texts = collections.Counter(
            re.sub(r"vm-[\w-]+", "VM", issue["text"])
            for issue in issues
            if issue["kind"] == kind
        )
        rows += [(f"  {text}", count) for text, count in texts.most_common(12)]
    return rows, not (counts["disagreement"] or counts["contradiction"])


def main():
    """Run one deployment and print outcomes, violations and issues."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="latvia")
    parser.add_argument("--requests", type=int, default=50_000)
    parser.add_argument("--vms", type=int, default=12)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=int, default=RATE)
    parser.add_argument(
        "--partition", action="store_true", help="partition regions too"
    )
    parser.add_argument("--keep", type=pathlib.Path, help="keep the logs here")
    options = parser.parse_args()
    seconds = options.requests / options.rate
    load = Load(
        ((seconds, options.rate),),
        seed=options.seed,
        generators=3,
        repeat_share=0.3,
        repeat_delay_s=REPEAT_DELAY_S,
        shares={"short": 0.6, "write": 0.38, "long": 0.02},
    )
    daemon = "bench.faulty_daemon" if options.partition else "lavendermast.daemon"
    with LocalFleet(
        options.deployment,
        options.vms,
        shorten_hold,
        seed=options.seed,
        daemon_module=daemon,
    ) as fleet:
        steps = make_steps(fleet, seconds)
        if options.partition:
            steps += make_partitions(fleet, seconds)
        records, _ = run_load(fleet, load, steps)
        violations = check_records(records, *collect_runs(fleet))
        time.sleep(SETTLE_S)
        callers = write_caller_records(fleet, records)
        report = run_incident(fleet.get_logs(), callers)
        trials = run_trials(
            fleet.get_logs(),
            callers,
            {item["request"] for item in report["requests"]},
            fleet.folder / "falsified",
            options.seed,
        )
        if options.keep:
            options.keep.mkdir(parents=True, exist_ok=True)
            for path in [callers, *fleet.get_logs()]:
                shutil.copy(path, options.keep)
    print_table(count_outcomes(records).most_common(), ["outcome/reason", "requests"])
    kinds = ("second_run", "false_not_run", "cut_answer", "foreign_answer")
    rows = [(kind, violations.counts[kind], 0) for kind in (*kinds, "no_outcome")]
    print_table([("requests", len(records), ""), *rows], ["check", "found", "target"])
    for kind, example in violations.examples.items():
        print(kind, example)
    rows, matches = count_issues(report)
    print_table(rows, ["account", "found"])
    found = sum(trial[2] for trial in trials)
    print(f"falsified lines found: {found} of {len(trials)}")
    for trial in trials:
        if not trial[2]:
            print("not found, or other requests reported:", *trial)
    matches = matches and found == len(trials)
    sys.exit(0 if matches and not violations.counts else 1)


if __name__ == "__main__":
    main()

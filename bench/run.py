"""Runs an experiment described by a JSON file.

`python -m bench.run bench/scripts/gray-server.json`. Keys: `deployment`, `vms`,
`seed`, `steps` (pairs of seconds and requests/s), `shares` (by kind of request),
`faults` (steps of `bench.experiment.FaultScript`). Prints outcomes,
latencies and violations; BENCH_JSON names a file that receives the tables as JSON
lines.
"""

import argparse
import json
import pathlib

from bench.checks import check_records, collect_runs, count_outcomes
from bench.experiment import Load, get_quantiles, print_table, run_load
from bench.fleet import LocalFleet


def load_script(path):
    """Return the description of an experiment; exit if a fault step is invalid."""
    script = json.loads(pathlib.Path(path).read_text())
    for step in script.get("faults", ()):
        known = {"at", "server", "faults", "vm", "signal", "restart", "store"}
        if "at" not in step or not known.issuperset(step):
            raise SystemExit(f"{path}: invalid fault step {step}")
    return script


def main():
    """Run the experiment and print its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("script")
    script = load_script(parser.parse_args().script)
    load = Load(
        tuple(tuple(step) for step in script["steps"]),
        seed=script.get("seed", 1),
        shares=script["shares"],
    )
    with LocalFleet(script["deployment"], script["vms"]) as fleet:
        records, _ = run_load(fleet, load, script.get("faults", ()))
        violations = check_records(records, *collect_runs(fleet))
    print_table(count_outcomes(records).most_common(), ["outcome/reason", "requests"])
    rows = []
    for route in sorted({record["route"] for record in records}):
        answered = [r for r in records if r["route"] == route and r["status"] == 200]
        if answered:
            rows.append([route, len(answered), *get_quantiles(answered)])
    print_table(rows, ["route", "answered", "p50 ms", "p99 ms"])
    print_table(sorted(violations.counts.items()), ["broken promise", "found"])


if __name__ == "__main__":
    main()

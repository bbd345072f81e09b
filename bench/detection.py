"""Measures the time until a faulty server gets under 2% of its service's requests.

Compares our fleet with the naive proxy.

`python -m bench.detection [--deployment latvia] [--vms 44] [--rate 400] [--seed 1]`
"""

import argparse

from bench.compare import list_servers, run_fleets
from bench.experiment import Load, print_table

SERVICES = {"latvia": "status", "mauritius": "stock"}
TARGETS_S = {
    "latvia": {"errors": 2, "half answers": 2, "ten times slower": 3},
    "mauritius": {"errors": 4, "half answers": 4, "ten times slower": 6},
}
FAULTS = {
    "errors": {"errors": 1.0},
    "half answers": {"cut": 1.0},
    "ten times slower": {"slow": 10.0},
}
WARM_UP_S = 6
FAULT_S = 14
MAX_SHARE = 0.02
WINDOW_S = 1.0
STEP_S = 0.05


def find_detection_time(runs, server, started, until):
    """
    Return the seconds until a faulty server's share stays low for ``WINDOW_S``.

    :param runs: pairs of start time and path of executions, by server.
    :param started: Unix time of the fault.
    :return: ``None`` if the share stays higher until ``until``.
    """
    times = {name: sorted(run[0] for run in items) for name, items in runs.items()}
    moment = started
    while moment + WINDOW_S <= until:
        counts = {
            name: sum(1 for t in items if moment <= t < moment + WINDOW_S)
            for name, items in times.items()
        }
        total = sum(counts.values())
        if total and counts[server] / total < MAX_SHARE:
            return round(moment - started, 2)
        moment += STEP_S
    return None


def main():
    """Print the detection times for one deployment."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="latvia")
    parser.add_argument("--vms", type=int, default=44)
    parser.add_argument("--rate", type=int, default=400)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    service = SERVICES[options.deployment]
    names = list_servers(options.deployment, service)
    rows = []
    for number, (fault, faults) in enumerate(FAULTS.items()):
        server = names[(options.seed + 3 * number) % len(names)]
        load = Load(
            ((WARM_UP_S + FAULT_S, options.rate),),
            seed=options.seed,
            shares={"short": 1.0},
        )
        step = {"at": WARM_UP_S, "server": server, "faults": faults}
        row = [fault]
        results = run_fleets(
            options.deployment,
            options.vms,
            load,
            lambda fleet, step=step: [step],
            service=service,
            seed=options.seed,
        )
        for records, script, runs, lines in results.values():
            started = script.executed[0][0]
            row.append(find_detection_time(runs, server, started, started + FAULT_S))
            failed = sum(1 for record in records if record["outcome"] == "unknown")
            failed += sum(
                1 for r in records if r["outcome"] == "none" and r["status"] >= 500
            )
            row.append(failed)
            if lines:
                row.append(count_false_ejections(lines, server))
        rows.append([*row, TARGETS_S[options.deployment][fault]])
    headings = [
        "fault",
        "ours s",
        "ours failed",
        "mistakes",
        "naive s",
        "naive failed",
        "target s",
    ]
    print_table(rows, headings)


def count_false_ejections(lines, faulty_server):
    """Return the number of ejections of other servers in the decision logs."""
    return sum(
        1
        for line in lines
        if " event=ejected " in line and f" server={faulty_server} " not in line
    )


if __name__ == "__main__":
    main()

"""Time until a sick server gets under 2% of its service's requests, ours and naive.

`python -m bench.detection [--deployment latvia] [--vms 44] [--rate 400] [--seed 1]`
"""

import argparse

from bench.compare import list_servers, run_both
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


def find_detection(runs, server, started, until):
    """
    Return the seconds from a fault until the server's share stays low for a second.

    :param runs: execution times and paths by server.
    :return: ``None`` when it never does.
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
    for number, (kind, faults) in enumerate(FAULTS.items()):
        server = names[(options.seed + 3 * number) % len(names)]
        load = Load(
            ((WARM_UP_S + FAULT_S, options.rate),),
            seed=options.seed,
            shares={"short": 1.0},
        )
        step = {"at": WARM_UP_S, "server": server, "faults": faults}
        found = [kind]
        results = run_both(
            options.deployment,
            options.vms,
            load,
            lambda fleet, step=step: [step],
            service=service,
            seed=options.seed,
        )
        for records, script, runs, lines in results.values():
            started = script.played[0][0]
            found.append(find_detection(runs, server, started, started + FAULT_S))
            bad = sum(1 for record in records if record["outcome"] == "unknown")
            bad += sum(
                1 for r in records if r["outcome"] == "none" and r["status"] >= 500
            )
            found.append(bad)
            if lines:
                found.append(count_mistakes(lines, server))
        rows.append([*found, TARGETS_S[options.deployment][kind]])
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


def count_mistakes(lines, sick):
    """Return how many ejections of other servers the decision logs hold."""
    return sum(
        1
        for line in lines
        if " event=ejected " in line and f" server={sick} " not in line
    )


if __name__ == "__main__":
    main()

"""How long a leaving server still gets new work, by the way in which it leaves.

`python -m bench.leaving [--deployment latvia] [--vms 12] [--rate 300] [--seed 1]`
"""

import argparse

from bench.compare import keep_service, list_servers
from bench.detection import SERVICES
from bench.experiment import Load, print_table, run_load
from bench.fleet import LocalFleet

TARGET_S = 3
WARM_UP_S = 4
AFTER_S = 10


def leave_by_answer(fleet, name):
    """Let the server refuse new work and say so; its health endpoint lags."""
    return {"at": WARM_UP_S, "server": name, "faults": {"draining": True}}


def leave_by_list(fleet, name):
    """Name the server as leaving in the VM list; it goes on accepting work."""

    def publish():
        for server in fleet.servers:
            if server["name"] == name:
                server["state"] = "leaving"
        fleet.publish_vms()

    return {"at": WARM_UP_S, "call": publish}


def main():
    """Print the time of the last request that reached a leaving server."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="latvia")
    parser.add_argument("--vms", type=int, default=12)
    parser.add_argument("--rate", type=int, default=300)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    service = SERVICES[options.deployment]
    name = list_servers(options.deployment, service)[options.seed % 12]
    load = Load(
        ((WARM_UP_S + AFTER_S, options.rate),),
        seed=options.seed,
        shares={"short": 1.0},
    )
    rows = []
    for way, make_step in (("answer", leave_by_answer), ("list", leave_by_list)):
        with LocalFleet(
            options.deployment, options.vms, keep_service(service), overlays={}
        ) as fleet:
            records, script = run_load(fleet, load, [make_step(fleet, name)])
            account = fleet.get_executions(name)
        started = script.played[0][0]
        arrivals = [run[4] for run in account["runs"]] + account["refusals"]
        late = [moment - started for moment in arrivals if moment > started]
        failed = sum(1 for record in records if record["status"] != 200)
        rows.append(
            [way, len(late), round(max(late, default=0.0), 2), failed, TARGET_S]
        )
    print_table(
        rows,
        ["told by", "arrivals after", "last after s", "failed requests", "target s"],
    )


if __name__ == "__main__":
    main()

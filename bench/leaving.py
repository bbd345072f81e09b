"""Measures how long a leaving server still gets new requests.

A server announces that it leaves in its responses or through the VM list.

`python -m bench.leaving [--deployment latvia] [--vms 12] [--rate 300] [--seed 1]`
"""

import argparse

from bench.compare import keep_only_service, list_servers
from bench.detection import SERVICES
from bench.experiment import Load, print_table, run_load
from bench.fleet import LocalFleet

TARGET_S = 3
WARM_UP_S = 4
AFTER_S = 10


def announce_in_response(fleet, name):
    """
    Return a step after which the server refuses new requests as draining.

    The health endpoint reports draining only later, so VMs learn it first from the
    refusals.
    """
    return {"at": WARM_UP_S, "server": name, "faults": {"draining": True}}


def announce_in_list(fleet, name):
    """
    Return a step that marks the server as leaving in the VM list.

    The server still accepts requests.
    """

    def publish():
        for server in fleet.servers:
            if server["name"] == name:
                server["state"] = "leaving"
        fleet.publish_vms()

    return {"at": WARM_UP_S, "call": publish}


def main():
    """Print when the last request reached the leaving server, for each announcement."""
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
    for channel, make_step in (
        ("answer", announce_in_response),
        ("list", announce_in_list),
    ):
        with LocalFleet(
            options.deployment, options.vms, keep_only_service(service), overlays={}
        ) as fleet:
            records, script = run_load(fleet, load, [make_step(fleet, name)])
            executions = fleet.get_executions(name)
        started = script.executed[0][0]
        arrivals = [run[4] for run in executions["runs"]] + executions["refusals"]
        delays = [moment - started for moment in arrivals if moment > started]
        failed = sum(1 for record in records if record["status"] != 200)
        rows.append(
            [channel, len(delays), round(max(delays, default=0.0), 2), failed, TARGET_S]
        )
    print_table(
        rows,
        ["told by", "arrivals after", "last after s", "failed requests", "target s"],
    )


if __name__ == "__main__":
    main()

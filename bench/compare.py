"""Runs the same load and fault script against our daemons and the naive proxy."""

import contextlib
import socket
import subprocess
import sys

import attrs

from bench import layouts
from bench.experiment import run_load
from bench.fleet import LocalFleet


class NaiveFleet(LocalFleet):
    """The naive proxy on the same VMs, in front of the servers of one service."""

    def start_vm(self, name):
        """Start the naive proxy on a VM."""
        service = self._options["service"]
        servers = ",".join(
            f"{server['name']}={server['address']}"
            for server in self.servers
            if server["service"] == service
        )
        errors = (self.folder / f"{name}.stderr").open("ab")
        self._daemons[name] = subprocess.Popen(
            [sys.executable, "-W", "ignore", "-m", "bench.naive"]
            + ["--listen", self.get_vm(name).caller_address, "--servers", servers],
            stderr=errors,
        )

    def is_ready(self, name):
        """Return whether the proxy accepts connections."""
        address = self.get_vm(name).caller_address.rsplit(":", 1)
        with contextlib.suppress(OSError):
            socket.create_connection((address[0], int(address[1])), 1.0).close()
            return True
        return False


def keep_only_service(service):
    """
    Return a function that reduces base settings to one service.

    It removes the other services and their routes, and sets ``hold_ms`` to 2000.
    """

    def change(base):
        base["services"] = {service: base["services"][service]}
        base["routes"] = {
            name: route
            for name, route in base["routes"].items()
            if route["service"] == service
        }
        base.setdefault("addresses", {})["hold_ms"] = 2000

    return change


FLEET_CLASSES = {"ours": LocalFleet, "naive": NaiveFleet}


def run_fleets(
    deployment, vm_count, load, make_steps, fleets=tuple(FLEET_CLASSES), **options
):
    """
    Run one load and fault script against each fleet, one fleet after the other.

    :param make_steps: callable that returns the steps of a fault script for a fleet.
    :param fleets: names of the fleets to run.
    :param options: options of the fleets; ``service`` names the only service.
    :return: dict from fleet name to ``(records, script, runs, lines)``; ``runs`` maps
        each server to pairs of start time and path of its executions, ``lines`` holds
        all decision log lines of the fleet.
    """
    results = {}
    change = keep_only_service(options["service"])
    for name in fleets:
        fleet_class = FLEET_CLASSES[name]
        with fleet_class(deployment, vm_count, change, overlays={}, **options) as fleet:
            # The naive proxy does not serve address queries.
            fleet_load = attrs.evolve(load, ask=name == "ours")
            records, script = run_load(fleet, fleet_load, make_steps(fleet))
            runs = {
                server["name"]: [
                    (run[4], run[3])
                    for run in fleet.get_executions(server["name"])["runs"]
                ]
                for server in fleet.servers
            }
            lines = [
                line
                for path in fleet.get_logs()
                for line in path.read_text().splitlines()
            ]
        results[name] = (records, script, runs, lines)
    return results


def list_servers(deployment, service):
    """Return the names of a service's servers."""
    count = layouts.load_base(deployment)["services"][service]["expected_servers"]
    return [f"{service}-{number + 1}" for number in range(count)]

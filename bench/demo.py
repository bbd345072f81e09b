"""Demo for `make run`: a small fleet, a gray server and a request's incident report."""

import json
import subprocess
import sys
import time
import urllib.error
import urllib.request

from bench.fleet import LocalFleet, call

VMS = 6
#: Time for which callers keep an address; short, so that the stop at the end is fast.
HOLD_MS = 500
SERVICE = "stock"
#: Faults of a gray server: each request fails after the work, health checks pass.
GRAY_FAULTS = {"errors": 1.0, "health_lag": 3600.0}
MAX_REQUESTS = 100
#: Time for the log writer to write its queue.
SETTLE_S = 0.3


def shorten_hold(base):
    """Set the time for which callers keep an address to ``HOLD_MS``."""
    base.setdefault("addresses", {})["hold_ms"] = HOLD_MS


def find_idempotent_route(base):
    """Return name and path of an idempotent route."""
    return next(
        (name, route["path"].replace("*", "42"))
        for name, route in base["routes"].items()
        if route["idempotent"] and route["service"] == SERVICE
    )


def send(address, path, number):
    """Send a request; return the response's headers and the caller's record."""
    request = urllib.request.Request(f"http://{address}{path}?n={number}")
    sent_at = time.time()
    try:
        response = urllib.request.urlopen(request)
    except urllib.error.HTTPError as error:
        response = error
    with response:
        body = response.read()
    record = {
        "request": response.headers["Lavendermast-Request"],
        "sent_at": sent_at,
        "outcome": response.headers["Lavendermast-Outcome"],
        "status": response.status,
        "bytes": len(body),
        "vm": response.headers["Lavendermast-Vm"],
    }
    return response.headers, record


def show_request(fleet, address, path, route):
    """Send one request and print the response and its decision log lines."""
    headers, record = send(address, path, "demo")
    print(f"\nGET {path} (route {route}): {record['status']}")
    for key, value in headers.items():
        print(f"  {key}: {value}")
    time.sleep(SETTLE_S)
    for log in fleet.get_logs():
        for line in log.read_text().splitlines():
            if record["request"] in line:
                print(line)


def send_until_retried(fleet, vm, path):
    """
    Make a server gray and return the record of the first request with a second attempt.

    The server is in the VM's zone, since a VM prefers servers of its zone. Returns
    ``None`` if no request needs a second attempt.
    """
    server = next(
        server["name"]
        for server in fleet.servers
        if server["service"] == SERVICE and server["zone"] == vm.zone
    )
    print(f"\n{server} now answers every request with 500 and passes its health checks")
    fleet.control_server(server, **GRAY_FAULTS)
    for number in range(MAX_REQUESTS):
        _, record = send(vm.caller_address, path, number)
        time.sleep(0.02)
        retry_fields = f"request={record['request']} attempt=2 "
        log = fleet.get_log(record["vm"])
        if any(retry_fields in line for line in log.read_text().splitlines()):
            print(f"request {number + 1} needed a second attempt")
            return record
    return None


def run_tool(*arguments):
    """Run the command-line tool and return its exit code."""
    print("\n$ lavendermast", *arguments[:1], "...", *arguments[-2:], flush=True)
    command = [sys.executable, "-W", "ignore", "-m", "lavendermast.cli"]
    return subprocess.run([*command, *arguments]).returncode


def show_incident_report(fleet, record):
    """Print the incident report of one request from the logs of all VMs."""
    callers = fleet.folder / "callers.jsonl"
    callers.write_text(json.dumps(record) + "\n")
    time.sleep(SETTLE_S)
    logs = map(str, fleet.get_logs())
    files = [*logs, "--callers", str(callers)]
    return run_tool("incident", *files, "--request", record["request"])


def main():
    """Start a fleet, send requests through it and print the results."""
    print(f"starting {VMS} daemons with stand-ins on loopback")
    with LocalFleet("mauritius", VMS, shorten_hold) as fleet:
        vm = fleet.vms[0]
        query = f"service={SERVICE}&zone={vm.zone}"
        answer = call(vm.caller_address, f"/.well-known/lavendermast/addresses?{query}")
        print("addresses:", answer.decode())
        address = json.loads(answer)["addresses"][0]["address"]
        route, path = find_idempotent_route(fleet.base)
        show_request(fleet, address, path, route)
        run_tool("status", *(vm.admin_address for vm in fleet.vms))
        record = send_until_retried(fleet, vm, path)
        failed = record is None or show_incident_report(fleet, record)
        print("\nexit codes:", fleet.stop_all())
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

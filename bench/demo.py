"""What `make run` shows: a small fleet, a caller's request and its account."""

import json
import time
import urllib.error
import urllib.request

from bench.fleet import LocalFleet, call

VMS = 6
#: Callers keep address answers this long here, so that the stop is short to watch.
HOLD_MS = 500


def shorten_hold(base):
    """Let callers keep an address answer for half a second only."""
    base.setdefault("addresses", {})["hold_ms"] = HOLD_MS


def main():
    """Start a fleet, send a request through it and print what happened."""
    print(f"starting {VMS} daemons with stand-ins on loopback")
    with LocalFleet("mauritius", VMS, shorten_hold) as fleet:
        vm = fleet.vms[0]
        answer = json.loads(
            call(vm.caller_address, "/.well-known/lavendermast/addresses?service=stock")
        )
        print("addresses:", json.dumps(answer))
        address = answer["addresses"][0]["address"]
        name, route = next(
            (name, route)
            for name, route in fleet.base["routes"].items()
            if route["idempotent"] and route["service"] == "stock"
        )
        path = route["path"].replace("*", "42")
        with urllib.request.urlopen(f"http://{address}{path}?n=demo") as response:
            print(f"GET {path} (route {name}): {response.status}")
            for key, value in response.headers.items():
                print(f"  {key}: {value}")
            print("  " + response.read().decode().strip())
            request_id = response.headers["Lavendermast-Request"]
        time.sleep(0.3)
        for path in fleet.get_logs():
            for line in path.read_text().splitlines():
                if request_id in line:
                    print(line)
        print(json.dumps(fleet.get_status(vm.name)["documents"], indent=1))
        print("exit codes:", fleet.stop_all())


if __name__ == "__main__":
    main()

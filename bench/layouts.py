"""Loopback layouts of the two deployments: VMs, servers, zones and ports."""

import json
import pathlib
import random
import socket

import attrs

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
REGIONS = {
    "mauritius": ("grand-port", "port-louis", "flacq"),
    "latvia": ("riga", "kurzeme", "latgale"),
}
ZONES_PER_REGION = 2
SHORT_WORK = {"work_ms": 20.0, "body_bytes": 2_000}
PORT_RANGE = (10_000, 32_000)
_random = random.SystemRandom()
_allocated = set()
LONG_WORK = {"work_ms": 600.0, "body_bytes": 400_000}


@attrs.frozen
class Vm:
    """An entry VM and its three loopback addresses."""

    name: str
    region: str
    zone: str
    caller_address: str
    peer_address: str
    admin_address: str

    def make_settings(self, store_address, log_path):
        """Return the process settings as JSON-ready values."""
        return {
            **attrs.asdict(self, filter=lambda field, _: field.name != "name"),
            "vm": self.name,
            "site": self.region,
            "store_address": store_address,
            "fleet_keys": [{"id": 1, "secret": "bench-fleet-secret-1"}],
            "log_path": log_path,
        }


def take_ports(count):
    """
    Return different free loopback ports.

    They lie below the ephemeral port range, so that no outgoing connection takes one
    before its listener starts.
    """
    ports = []
    while len(ports) < count:
        port = _random.randrange(*PORT_RANGE)
        if port not in _allocated and is_free(port):
            _allocated.add(port)
            ports.append(port)
    return ports


def is_free(port):
    """Return whether a loopback port is free for TCP and UDP."""
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as sock:
                sock.bind(("127.0.0.1", port))
    except OSError:
        return False
    return True


def take_addresses(count):
    """Return free loopback addresses as ``ip:port``."""
    return [f"127.0.0.1:{port}" for port in take_ports(count)]


def list_zones(deployment):
    """Return the pairs of region and zone of a deployment."""
    return [
        (region, f"{region}-{letter}")
        for region in REGIONS[deployment]
        for letter in "abcdef"[:ZONES_PER_REGION]
    ]


def make_vms(deployment, count):
    """Return entry VMs, distributed evenly over the zones."""
    zones = list_zones(deployment)
    addresses = iter(take_addresses(3 * count))
    vms = []
    for number in range(count):
        region, zone = zones[number % len(zones)]
        name = f"vm-{zone}-{number // len(zones) + 1}"
        vms.append(
            Vm(name, region, zone, next(addresses), next(addresses), next(addresses))
        )
    return vms


def load_base(deployment):
    """Return the base settings of a deployment's example."""
    return json.loads((EXAMPLES / deployment / "base.json").read_text())


def load_overlays(deployment):
    """Return the overlays of a deployment's example by site."""
    folder = EXAMPLES / deployment / "sites"
    return {path.stem: json.loads(path.read_text()) for path in folder.glob("*.json")}


def make_servers(deployment, base):
    """Return VM list entries for all backend servers of the base settings."""
    zones = list_zones(deployment)
    servers = []
    for service, options in sorted(base["services"].items()):
        addresses = take_addresses(options["expected_servers"])
        for number, address in enumerate(addresses):
            region, zone = zones[number % len(zones)]
            servers.append(
                {
                    "name": f"{service}-{number + 1}",
                    "kind": "server",
                    "service": service,
                    "region": region,
                    "zone": zone,
                    "address": address,
                    "peer_address": "",
                    "state": "live",
                }
            )
    return servers


def make_work(base, short=None, long=None):
    """Return service time and body size at the backend for each route."""
    short = short or SHORT_WORK
    long = long or LONG_WORK
    return [
        {
            "prefix": route["path"].rstrip("*"),
            **(long if route.get("work") == "long" else short),
        }
        for route in base["routes"].values()
    ]


def describe_vm(vm, state="live"):
    """Return the VM list entry of an entry VM."""
    return {
        "name": vm.name,
        "kind": "entry",
        "service": "",
        "region": vm.region,
        "zone": vm.zone,
        "address": vm.caller_address,
        "peer_address": vm.peer_address,
        "state": state,
    }

"""Measures sizes, times and propagation of compressed documents and deltas.

Run: ``PYTHONPATH=src:. python -m bench.document_cost --seed 1``.
"""

import argparse
import json
import random
import time

import attrs
import eventlet

from lavendermast.clock import SystemClock
from lavendermast.codec import FrameCodec
from lavendermast.coordination import Coordination
from lavendermast.documents import compress, compute_digest, expand
from lavendermast.peers import PeerNetwork
from lavendermast.settings_model import ProcessSettings

MEGABYTE = 1024 * 1024


def make_config(generator, routes, customers):
    """Return a configuration with random names, paths and weights."""
    services = {f"service-{n}": {"expected_servers": 53} for n in range(1000)}
    return {
        "services": services,
        "routes": {
            f"route-{n}": {
                "method": generator.choice(("GET", "POST")),
                "path": f"/{generator.getrandbits(32):08x}/{n}/*",
                "service": f"service-{generator.randrange(1000)}",
                "idempotent": generator.random() < 0.7,
                "timeout_ms": generator.choice((500, 1000, 2000, 10_000)),
            }
            for n in range(routes)
        },
        "customers": {
            f"{generator.getrandbits(40):010x}": {"weight": generator.randint(1, 9)}
            for _ in range(customers)
        },
    }


def change_config(generator, config, count):
    """Change some routes and customers and add one of each."""
    for name in generator.sample(sorted(config["routes"]), count):
        config["routes"][name]["timeout_ms"] += 1
    for name in generator.sample(sorted(config["customers"]), count):
        config["customers"][name]["weight"] += 1
    config["routes"]["added"] = {"method": "GET", "path": "/added", "service": "added"}
    config["customers"][f"{generator.getrandbits(40):010x}"] = {"weight": 3}


def encode(config, version):
    """Return the value as the store holds it."""
    return json.dumps({"version": version, "base": config}).encode()


def measure(function, *args):
    """Return the result of a call and its duration in milliseconds."""
    started = time.perf_counter()
    result = function(*args)
    return result, (time.perf_counter() - started) * 1000


def report_sizes(seed, routes, customers):
    """Print sizes and times of a configuration and of deltas to it."""
    generator = random.Random(seed)
    config = make_config(generator, routes, customers)
    old = encode(config, 1)
    whole, whole_ms = measure(compress, old)
    _, digest_ms = measure(compute_digest, old)
    print(f"{routes} routes, {customers} customers: {len(old)} bytes,")
    print(f"  whole {len(whole)} bytes in {whole_ms:.1f} ms, sha256 {digest_ms:.1f} ms")
    for count in (1, 10, 100):
        change_config(generator, config, count)
        new = encode(config, 2)
        delta, delta_ms = measure(compress, new, old)
        text = (
            f"  {2 * count} entries changed: delta {len(delta)} bytes "
            f"in {delta_ms:.1f} ms"
        )
        if len(new) <= 2 * MEGABYTE:
            result, apply_ms = measure(expand, delta, old)
            text += f", applied in {apply_ms:.1f} ms, equal: {result == new}"
        print(text)


def start_vms(count, codec):
    """Return the networks and coordination of VMs that know each other, on loopback."""
    clock, vms = SystemClock(), []
    for index in range(count):
        place = (f"region-{index % 3}", f"zone-{index % 6}", "site")
        settings = ProcessSettings(
            f"vm-{index}", *place, "", "127.0.0.1:0", "", "", (), (), "-", 0, 0
        )
        network = PeerNetwork.from_settings(settings, codec, clock)
        settings = attrs.evolve(settings, peer_address=network.address)
        dependencies = (clock, random.Random(index), lambda *args, **fields: None)
        coordination = Coordination.from_settings(
            settings, network, *dependencies, lambda *_: ()
        )
        coordination.membership.set_local_state("alive")
        vms.append((network, coordination))
    updates = [coordination.membership.local_member for _, coordination in vms]
    for network, coordination in vms:
        coordination.membership.merge(updates)
        eventlet.spawn(network.run)
        eventlet.spawn(coordination.detector.run)
    return vms


def measure_propagation(vms, content, version):
    """
    Offer a value to one VM.

    :return: the seconds until all VMs have it, and the mean and the highest number of
        bytes sent per VM.
    """
    kinds = (("sent", "document"), ("sent", "fetchDocument"))
    before = [sum(network.counts.bytes[k] for k in kinds) for network, _ in vms]
    started = time.monotonic()
    vms[0][1].documents.offer("config", version, content, "store")
    with eventlet.Timeout(60):
        while any(
            coordination.documents.get_version_and_digest("config")[0] != version
            for _, coordination in vms
        ):
            eventlet.sleep(0.01)
    seconds = time.monotonic() - started
    after = [sum(network.counts.bytes[k] for k in kinds) for network, _ in vms]
    sent = [late - early for late, early in zip(after, before, strict=True)]
    return seconds, sum(sent) / len(sent), max(sent)


def main():
    """Print sizes, then the propagation of a whole value and of a delta."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--vms", type=int, default=44)
    options = parser.parse_args()
    report_sizes(options.seed, 14_000, 100_000)
    report_sizes(options.seed, 3_500, 12_000)
    generator = random.Random(options.seed)
    config = make_config(generator, 3_500, 12_000)
    vms = start_vms(options.vms, FrameCodec({1: b"0123456789abcdef"}, 1))
    for version, label in ((1, "whole value"), (2, "delta")):
        content = encode(config, version)
        seconds, mean, highest = measure_propagation(vms, content, version)
        print(
            f"{label} of {len(content)} bytes to {options.vms} VMs in one process: "
            f"{seconds:.2f} s, bytes sent per VM: mean {mean:.0f}, highest {highest}"
        )
        change_config(generator, config, 10)
    for network, _ in vms:
        network.close()


if __name__ == "__main__":
    main()

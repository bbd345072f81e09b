"""Measures state sizes and CPU times of one VM at the fleet's design size.

This is the size expected in two years: 3,600 VMs, 53,000 servers and 1,000 services.
Everything runs in one process.

Run: ``PYTHONPATH=src:. python -m bench.state_size --seed 1``.
"""

import argparse
import collections
import gc
import json
import random
import time

from bench.control import HEADER_BYTES, read_memory
from bench.experiment import print_table
from lavendermast import settings
from lavendermast.clock import ManualClock
from lavendermast.codec import Envelope, FrameCodec
from lavendermast.evidence import EvidenceReporter
from lavendermast.hashing import rank_members
from lavendermast.health import HealthTracker
from lavendermast.judging import split_evidence
from lavendermast.membership import Membership
from lavendermast.messages_model import MemberUpdate
from lavendermast.models import AttemptResult, AttemptStatus, Server
from lavendermast.placement import ServiceSets
from lavendermast.routes import Router
from lavendermast.settings import build_config, parse_bundle
from lavendermast.settings_model import ProcessSettings, Service

MEMBERS = 3_600
SERVICES = 1_000
SERVERS_PER_SERVICE = 53
REGIONS = 7
ZONES = 26
ROUTES = 14_000
CUSTOMERS = 100_000
VMS_PER_SERVICE = 48
REQUESTS_PER_S = 119
BYTES_PER_KB = 1024


class CostRecorder:
    """Records CPU time and growth of resident memory per step."""

    def __init__(self):
        self.rows = []
        self.results = []

    def run(self, label, function, *args):
        """Run a step, record its cost and return its result, which stays referenced."""
        gc.collect()
        memory = read_memory("self")
        started = time.process_time()
        result = function(*args)
        cpu_ms = (time.process_time() - started) * 1000
        gc.collect()
        growth_kb = (read_memory("self") - memory) / BYTES_PER_KB
        self.rows.append((label, f"{cpu_ms:.1f}", f"{growth_kb:.0f}"))
        self.results.append(result)
        return result


def make_bundle(seed, routes, customers):
    """Return a valid bundle with random paths and weights."""
    generator = random.Random(seed)
    services = {
        f"service-{n}": {"expected_servers": SERVERS_PER_SERVICE, "floor": 0.75}
        for n in range(SERVICES)
    }
    base = {
        "sites": ["north"],
        "services": services,
        "routes": {
            f"r{n}": {
                "method": "GET",
                "path": f"/{generator.getrandbits(40):010x}/*",
                "service": f"service-{n % SERVICES}",
                "idempotent": True,
            }
            for n in range(routes)
        },
        "customers": {
            f"{generator.getrandbits(40):010x}": {"weight": generator.randint(1, 9)}
            for _ in range(customers)
        },
    }
    return {"version": 1, "base": base, "overlays": {"north": {}}}


def encode(bundle):
    """Return the bytes of a bundle in the store."""
    return json.dumps(bundle, separators=(",", ":")).encode()


def measure_config(recorder, seed, customers):
    """Load a configuration, then one with a single change; return label and bytes."""
    # The store rejects a value of this size; the higher limit permits measuring it.
    settings.MAX_BUNDLE_BYTES = 8 * 2**20
    label = f"{ROUTES} routes, {customers} customers"
    content = encode(make_bundle(seed, ROUTES, customers))
    bundle = json.loads(content)
    recorder.run(f"{label}: check", parse_bundle, content, None)
    config = recorder.run(f"{label}: build", build_config, bundle, "north")
    recorder.run(f"{label}: router", Router.from_config, config)
    changed = json.loads(content)
    changed["version"] = 2
    changed["base"]["routes"]["r7"]["timeout_ms"] = 777
    changed = encode(changed)
    recorder.run(f"{label}: one change, check", parse_bundle, changed, bundle)
    value = recorder.run(f"{label}: one change, decode", json.loads, changed)
    config = recorder.run(f"{label}: one change, build", build_config, value, "north")
    recorder.run(f"{label}: one change, router", Router.from_config, config)
    return label, len(content)


def make_members():
    """Return updates of all members, spread over the zones."""
    return [
        MemberUpdate(
            vm=f"vm-{n}",
            boot_id=n + 1,
            boot_time=1_700_000_000_000 + n,
            state="alive",
            region=f"region-{n % ZONES % REGIONS}",
            zone=f"zone-{n % ZONES}",
            caller_address=f"10.{n // 256}.{n % 256}.1:8080",
            peer_address=f"10.{n // 256}.{n % 256}.1:7000",
        )
        for n in range(MEMBERS)
    ]


def make_membership(updates, clock):
    """Return the member table of the first VM."""
    own = updates[0]
    process = ProcessSettings(
        own.vm,
        own.region,
        own.zone,
        "north",
        own.caller_address,
        own.peer_address,
        "",
        "",
        (),
        (),
        "-",
        max_descriptors=0,
        max_memory_mb=0,
    )
    dependencies = (clock, random.Random(1), lambda *args, **fields: None)
    membership = Membership.from_settings(process, *dependencies)
    membership.set_local_state("alive")
    membership.merge(updates[1:])
    return membership


def make_sets(members):
    """Return the service sets over all members."""
    sets = ServiceSets(lambda: members)
    get_sets(sets)
    return sets


def get_sets(sets):
    """Return all service sets."""
    names = [f"service-{number}" for number in range(SERVICES)]
    return [sets.get_set(name, VMS_PER_SERVICE) for name in names]


def remove_member(sets, members):
    """Remove the last member and rebuild the sets that contained it."""
    sets.remove(members.pop().vm)
    get_sets(sets)


def add_member(sets, members, member):
    """Add a member to the members and to the sets for which it ranks high enough."""
    members.append(member)
    sets.add(member)
    get_sets(sets)


def choose_services(sets):
    """Return the services of a VM that serves the mean number of services."""
    served = collections.defaultdict(list)
    for number in range(SERVICES):
        name = f"service-{number}"
        for vm in sets.get_set(name, VMS_PER_SERVICE):
            served[vm].append(name)
    mean = round(SERVICES * VMS_PER_SERVICE / MEMBERS)
    return next(names for names in served.values() if len(names) == mean)


class ReportingVm:
    """
    The trackers of one VM and its evidence reports to the judges of all its servers.

    :param services: names of the services that the VM serves.
    """

    def __init__(self, services, sets, members, clock, seed):
        self._clock = clock
        self._random = random.Random(seed)
        self.trackers, self._servers = {}, []
        self._reporter = EvidenceReporter(self.trackers, clock)
        members_by_vm = {member.vm: member for member in members}
        service = Service.from_config({"expected_servers": 53, "floor": 0.75})
        for name in services:
            dependencies = (clock, lambda *args, **fields: None)
            tracker = HealthTracker.from_config(name, service, *dependencies)
            servers = [make_server(name, n) for n in range(SERVERS_PER_SERVICE)]
            tracker.replace_servers(servers)
            self.trackers[name] = tracker
            self._servers += [(tracker, server.name) for server in servers]
            set_vms = sets.get_set(name, VMS_PER_SERVICE)
            self._reporter.replace_members(name, [members_by_vm[vm] for vm in set_vms])

    def run(self, seconds, error_share):
        """Make attempts at the peak rate; return datagrams/s, bytes/s and judges."""
        codec = FrameCodec({1: b"0123456789abcdef"}, 1)
        datagrams = size = 0
        judges = collections.Counter()
        for _ in range(round(seconds * 10)):
            self._make_attempts(REQUESTS_PER_S / 10, error_share)
            self._clock.advance(0.1)
            self.advance()
            for vm, evidence in self._reporter.collect():
                judges[vm] += 1
                for part in split_evidence(evidence):
                    envelope = Envelope("vm-0", 1, self._clock.get_unix_ms(), part)
                    datagrams += 1
                    size += len(codec.encode(envelope)) + HEADER_BYTES
        return datagrams / seconds, size / seconds, len(judges)

    def advance(self):
        """Evaluate all servers; a VM does so every 100 ms."""
        for tracker in self.trackers.values():
            tracker.advance()

    def _make_attempts(self, count, error_share):
        attempts = int(count) + (self._random.random() < count % 1)
        for _ in range(attempts):
            tracker, name = self._random.choice(self._servers)
            failed = self._random.random() < error_share
            status = AttemptStatus.ERROR if failed else AttemptStatus.OK
            attempt = tracker.start_attempt(name, "route")
            tracker.finish_attempt(attempt, AttemptResult(name, status, 0.02))


def make_server(service, number):
    """Return one server of a service."""
    zone = number % ZONES
    place = (f"region-{zone % REGIONS}", f"zone-{zone}")
    return Server(f"{service}-{number}", service, *place, "10.0.0.1:80")


def compute_list_bytes(seed):
    """Return the size in bytes of a VM list with all servers and entry VMs."""
    entry = {
        "name": "service-100-20",
        "kind": "server",
        "service": "service-100",
        "region": "region-1",
        "zone": "zone-11",
        "address": "10.100.100.100:8080",
        "peer_address": "",
        "state": "live",
    }
    return len(encode(entry)) * (SERVICES * SERVERS_PER_SERVICE + MEMBERS)


def main():
    """Print state sizes, the CPU time of one change and the cost of reports."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=30)
    parser.add_argument("--errors", type=float, default=0.001)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    recorder, clock = CostRecorder(), ManualClock()
    # Large values come last: reuse of their freed memory would hide later growth.
    updates = recorder.run("3,600 member updates", make_members)
    membership = recorder.run("3,600 members", make_membership, updates, clock)
    members = membership.get_members(("alive",))
    sets = recorder.run("service sets of 1,000 services", make_sets, members)
    last = members[-1]
    recorder.run("a member leaves, sets", remove_member, sets, members)
    recorder.run("a member joins, sets", add_member, sets, members, last)
    served = choose_services(sets)
    arguments = (served, sets, members, clock, options.seed)
    vm = recorder.run(f"{len(served)} services tracked", ReportingVm, *arguments)
    names = [f"other-{number}" for number in range(SERVICES)]
    arguments = (names, sets, members, clock, options.seed)
    others = recorder.run("1,000 services tracked", ReportingVm, *arguments)
    recorder.run("1,000 services, one evaluation", others.advance)
    recorder.run("services served, one evaluation", vm.advance)
    costs = recorder.run("reports", vm.run, options.seconds, options.errors)
    recorder.run("one rank of 3,600", rank_members, "key", [m.vm for m in members])
    sizes = [
        measure_config(recorder, options.seed, customers)
        for customers in (0, CUSTOMERS)
    ]
    sizes.append(("VM list", compute_list_bytes(options.seed)))
    print(f"seed {options.seed}, CPU milliseconds, growth of resident memory in KB")
    print_table(recorder.rows, ("step", "CPU ms", "KB"))
    print_table(sizes, ("value in the store", "bytes"))
    print(f"{len(served) * SERVERS_PER_SERVICE} servers, {REQUESTS_PER_S} requests/s,")
    print(f"{options.errors:.1%} errors, {options.seconds} s of a manual clock")
    rows = [(*(round(value, 1) for value in costs),)]
    print_table(rows, ("report datagrams/s", "bytes/s sent", "judges"))
    print(f"resident in all: {read_memory('self') / 2**20:.0f} MB")


if __name__ == "__main__":
    main()

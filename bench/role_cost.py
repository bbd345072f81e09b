"""Measures CPU time and memory per role of a VM at the fleet's design size.

This is the size expected in two years: 3,600 VMs, 53,000 servers and 1,000 services.

Run: ``PYTHONPATH=src:. python -m bench.role_cost --seed 1``.
"""

import argparse
import io
import random
import time

import attrs

from bench.control import read_memory
from bench.experiment import print_table
from bench.state_size import VMS_PER_SERVICE, make_members, make_server
from lavendermast.addresses import AddressBook
from lavendermast.clock import ManualClock, SystemClock
from lavendermast.codec import Envelope, FrameCodec
from lavendermast.evidence import Judge
from lavendermast.ledger import Ledger
from lavendermast.logs import EventLog
from lavendermast.messages_model import Evidence, EvidenceEntry
from lavendermast.placement import ServiceSets
from lavendermast.settings_model import Config, Service
from lavendermast.store import is_store_reader
from lavendermast.tokens import TokenIssuer, read_token

IDEMPOTENCY_KEYS = 5_700
#: Size of a response to a booking, as the stand-ins send it.
BODY_BYTES = 2_000
CONFIG = {
    "services": {"stock": {"expected_servers": 53, "floor": 0.75}},
    "routes": {},
}


@attrs.frozen
class FixedPolicy:
    """Fixed configuration and service set of one service: ``policy`` of AddressBook."""

    config: object
    sets: object

    def get_service_set(self, name):
        """Return the VMs of the service, ``None`` for any other service."""
        return self.sets.get_set(name, VMS_PER_SERVICE) if name == "stock" else None


def measure(function, arguments):
    """Return CPU microseconds per call and growth of resident memory in KB."""
    memory, started = read_memory("self"), time.process_time()
    for item in arguments:
        function(*item)
    cpu_us = (time.process_time() - started) * 1e6 / len(arguments)
    return round(cpu_us, 1), round((read_memory("self") - memory) / 1024)


def make_issuer(accept_ms=60_000):
    """Return a token issuer of the first VM."""
    return TokenIssuer("vm-0", 1, accept_ms, 1, b"0123456789abcdef")


def measure_ledger():
    """Measure ``begin`` and ``finish`` for as many keys as a VM retains."""
    clock = SystemClock()
    ledger, issuer = Ledger(clock, 1, 2 * IDEMPOTENCY_KEYS, 960_000), make_issuer()
    text = issuer.issue(clock.get_unix_ms())
    token, body, headers = read_token(text), bytes(BODY_BYTES), (("Content-Type", "a"),)

    def run(key):
        ledger.begin(key, b"d" * 32, token)
        ledger.finish(key, 200, headers, bytes(body) + key.encode())

    return measure(run, [(f"{text}.{n}",) for n in range(IDEMPOTENCY_KEYS)])


def make_book(members):
    """Return the address book of a fleet with one service."""
    clock = SystemClock()
    policy = FixedPolicy(Config.from_config(CONFIG), ServiceSets(lambda: members))
    issuer = make_issuer()
    return AddressBook(
        policy,
        lambda: members,
        lambda: issuer,
        lambda: members[0],
        clock,
        lambda event, **fields: None,
    )


def measure_log():
    """Measure writing decision lines; the last value is the size of a line in bytes."""
    stream = io.StringIO()
    log = EventLog(stream, {"vm": "vm-0", "zone": "zone-0"}, SystemClock())
    fields = {
        "request": "0123456789abcdef",
        "route": "route-1",
        "service": "service-1",
        "attempt": 1,
        "server": "service-1-17",
        "reason": "two-choices",
        "candidates": "service-1-17:0,service-1-20:1",
        "deadline": 1_800_000_000_000,
    }

    def write():
        log.record("decision", **fields)
        log.flush()

    cost = measure(write, [()] * 10_000)
    log.close()
    return *cost, len(stream.getvalue()) // 10_000


def measure_judge(members, seed):
    """Measure decoding and judging evidence reports on two servers each."""
    generator, clock = random.Random(seed), ManualClock()
    judge = Judge("zone-0", "vm-0", clock, lambda event, **fields: None)
    service = Service.from_config({"expected_servers": 53, "floor": 0.75})
    servers = [make_server("stock", n) for n in range(53)]
    service_members = members[:VMS_PER_SERVICE]
    judge.replace_service("stock", service, servers, service_members)
    codec = FrameCodec({1: b"0123456789abcdef"}, 1)

    def report():
        entries = [
            EvidenceEntry("stock", server.name, ok=1)
            for server in generator.sample(servers, 2)
        ]
        body = Evidence((EvidenceEntry("stock", "", ok=40), *entries), 2**40)
        return codec.encode(Envelope("vm-1", 1, clock.get_unix_ms(), body))

    def receive(frame):
        clock.advance(0.01)
        judge.advance()
        member = generator.choice(service_members)
        judge.receive(member.zone, member.vm, codec.decode(frame).body)

    return measure(receive, [(report(),) for _ in range(3_000)])


def main():
    """Print the cost of one operation per role."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    members = make_members()
    book = make_book(members)
    book.get_addresses("stock", "zone-3", "first")
    callers = [f"caller-{n}" for n in range(100)]
    log_us, log_kb, line_bytes = measure_log()
    names = [(f"doc-{n}", "vm-0", "zone-0", members) for n in range(100)]
    rows = [
        (f"ledger, {IDEMPOTENCY_KEYS} keys: begin and finish", *measure_ledger()),
        (
            "address answer for a service",
            *measure(
                book.get_addresses, [("stock", "zone-3", caller) for caller in callers]
            ),
        ),
        (
            "address answer for any service",
            *measure(
                book.get_addresses, [("", "zone-3", caller) for caller in callers]
            ),
        ),
        (f"log line of {line_bytes} bytes", log_us, log_kb),
        ("judge: decode a report, judge", *measure_judge(members, options.seed)),
        ("store reader: own role", *measure(is_store_reader, names)),
    ]
    print(f"seed {options.seed}, {len(members)} members")
    print_table(rows, ("role and operation", "CPU us", "KB"))


if __name__ == "__main__":
    main()

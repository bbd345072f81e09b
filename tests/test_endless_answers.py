"""An entry VM process while half of the servers answer with bytes without end."""

import pathlib
import time

import eventlet
import pytest
from eventlet.green import socket

from standins.endless import ANSWERS, EndlessStandIn
from standins.entryworld import HOST, EntryWorld, make_config, make_rule
from standins.instance import InstanceStandIn

TIMEOUT_S = 1.5
#: Time after the timeout of a route within which a request has its final answer.
SLACK_S = 0.5
MAX_MEMORY_MB = 200
CALLERS = 12
LENGTH_S = 2.5
READ_RULE = make_rule("read", "/stock/", "idempotent", timeout_ms=1500)
BOOK_RULE = make_rule("book", "/book/", "non_idempotent", service="orders")


@pytest.fixture
def world(tmp_path):
    world = EntryWorld(tmp_path / "entry.json")
    world.store.put("op/config", make_config(4, READ_RULE, BOOK_RULE))
    yield world
    world.stop()


def call(world, number, method, path, results):
    """Send one request and record its status, wholeness and duration."""
    started = time.monotonic()
    head, size, length = b"", 0, None
    with socket.create_connection(("127.0.0.1", world.ports["caller"])) as sock:
        sock.sendall(
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: e{number}\r\n"
            "Deadline-Ms: 9000\r\nConnection: close\r\n\r\n".encode()
        )
        while data := sock.recv(65536):
            if b"\r\n\r\n" in head:
                size += len(data)
                continue
            head += data
            size = len(head.partition(b"\r\n\r\n")[2])
    for line in head.partition(b"\r\n\r\n")[0].split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    status = int(head.split(None, 2)[1]) if head else 0
    results.append((path, status, size == length, time.monotonic() - started))


def read_memory_mb(process):
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(text.partition("VmRSS:")[2].split()[0]) / 1024


def keep_calling(world, name, method, path, results, end):
    number = 0
    while time.monotonic() < end:
        number += 1
        call(world, f"{name}-{number}", method, path, results)
        eventlet.sleep(0.02)


@pytest.mark.parametrize("kind", ANSWERS)
def test_answers_without_end_harm_no_other_request(world, kind):
    """
    Guards against a server whose endless answer fills the memory or delays everybody.

    The memory stays within the limit, every request ends soon after its timeout, those
    for a sound service are answered whole, and none is complete that is not.
    """
    servers = [EndlessStandIn(f"e{n}", "stock", "a", kind) for n in range(2)]
    servers += [InstanceStandIn(f"s{n}", "stock", "a") for n in range(2)]
    servers += [InstanceStandIn(f"o{n}", "orders", "a") for n in range(2)]
    for server in servers:
        server.start()
        world.store.put(f"servers/{server.name}", server.make_entry())
    world.wait_ready(4)
    results, peak_mb, end = [], 0.0, time.monotonic() + LENGTH_S
    tasks = [
        eventlet.spawn(keep_calling, world, f"{n}", "GET", "/stock/1", results, end)
        for n in range(CALLERS)
    ]
    tasks.append(
        eventlet.spawn(keep_calling, world, "b", "POST", "/book/1", results, end)
    )
    while time.monotonic() < end:
        peak_mb = max(peak_mb, read_memory_mb(world.process))
        eventlet.sleep(0.05)
    for task in tasks:
        task.wait()
    assert sum(server.answered for server in servers[:2]) > 0
    assert peak_mb < MAX_MEMORY_MB
    assert max(result[3] for result in results) < TIMEOUT_S + SLACK_S
    bookings = [result[1:3] for result in results if result[0] == "/book/1"]
    assert set(bookings) == {(200, True)}
    whole = [result for result in results if result[1] == 200 and result[2]]
    assert len(whole) > len(bookings)

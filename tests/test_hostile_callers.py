"""
Processes of the system on loopback, and callers that nobody controls.

The tests check that the process lives, that its memory and descriptors stay under a
bound, and that it answers one ordinary request afterwards. The crowds and bounds are
fixed: they were chosen before the product was changed.
"""

import os
import pathlib
import time

import attrs
import eventlet
import pytest
from eventlet.green import socket

from standins.backend import BackendServer, Work, serve_backend
from standins.entryworld import BOOK_RULE, HOST, READ_RULE, EntryWorld, make_config
from tests.cluster import BASE
from tests.processes import DaemonProcess, wait_for

#: The memory setting of the processes, and the bound on what is resident.
MAX_MEMORY_MB = 110
MAX_DESCRIPTORS = 256
#: Callers of each kind at each target, and what one sends until it is cut off.
CALLERS = 3
CALLER_BYTES = 16_000_000
#: Longest time that a caller goes on, which ends those that are never cut off.
CALLER_S = 4.0
BLOCK = 65536
#: Connections at each target in the test of many.
CONNECTIONS = 40
CONNECTION_BYTES = 1_000_000
PAUSE_S = 0.05
MAX_BODY_BYTES = 64_000_000

_CHUNKED = "POST {path} HTTP/1.1\r\nHost: {host}\r\nTransfer-Encoding: chunked\r\n\r\n"
_LENGTH = "POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {length}\r\n\r\n"
_SHORT_CHUNK = "5\r\nhello\r\n"


@attrs.frozen
class Attack:
    """What a caller sends: first this, then a unit without end."""

    first: str
    unit: bytes
    length: int = 0
    paced: bool = False


def repeat(unit):
    """Return about a block of copies of a unit."""
    return unit * max(1, BLOCK // len(unit))


ATTACKS = {
    "trailer_line": Attack(_CHUNKED + "0\r\n", b"x" * BLOCK),
    "trailer_line_after_data": Attack(_CHUNKED + _SHORT_CHUNK + "0\r\n", b"x" * BLOCK),
    "trailer_lines": Attack(_CHUNKED + "0\r\n", repeat(b"X-A: b\r\n")),
    "long_trailer_lines": Attack(
        _CHUNKED + "0\r\n", b"X-A: " + b"b" * 1_000_000 + b"\r\n"
    ),
    "size_line": Attack(_CHUNKED + "1;", b"x" * BLOCK),
    "size_digits": Attack(_CHUNKED, b"0" * BLOCK),
    "extensions": Attack(_CHUNKED, repeat(b"1;a=" + b"b" * 4000 + b"\r\nx\r\n")),
    "long_extensions": Attack(_CHUNKED, b"1;a=" + b"b" * 1_000_000 + b"\r\nx\r\n"),
    "no_memory": Attack(_LENGTH, b"x" * BLOCK, length=60_000_000),
    "too_large": Attack(_LENGTH, b"x" * BLOCK, length=10**15),
    "too_large_trailer": Attack(
        _CHUNKED + "4000000\r\n" + "x" * 0x400000, b"x" * BLOCK
    ),
    "request_line": Attack("GET {path}", b"x" * BLOCK),
    "header_line": Attack("GET {path} HTTP/1.1\r\nX-A: ", b"x" * BLOCK),
    "header_lines": Attack("GET {path} HTTP/1.1\r\n", repeat(b"X-A: b\r\n")),
    "requests": Attack("", repeat(b"POST /none HTTP/1.1\r\nContent-Length: 0\r\n\r\n")),
    "slow_request_line": Attack("GET {path}", b"x", paced=True),
    "slow_header_line": Attack("GET {path} HTTP/1.1\r\nX-A: ", b"x", paced=True),
    "slow_header_lines": Attack("GET {path} HTTP/1.1\r\n", b"X-A: b\r\n", paced=True),
    "slow_trailer_lines": Attack(_CHUNKED + "0\r\n", b"X-A: b\r\n", paced=True),
}


class EntryCase:
    """An entry VM with one server."""

    def __init__(self, folder):
        settings = {"max_memory_mb": MAX_MEMORY_MB}
        self._world = EntryWorld(folder / "entry.json", MAX_DESCRIPTORS, **settings)
        config = make_config(4, READ_RULE, BOOK_RULE)
        config["limits"]["max_body_bytes"] = MAX_BODY_BYTES
        self._world.store.put("op/config", config)
        self._world.add("s1")
        self._world.wait_ready(1)
        self.process = self._world.process
        ports = self._world.ports
        # A path that reads the body, and paths that refuse before that.
        self.targets = [
            (ports["caller"], "/book/1"),
            (ports["caller"], "/none"),
            (ports["directory"], "/resolve"),
            (ports["ready"], "/readyz"),
            (ports["metrics"], "/metrics"),
        ]

    def is_serving(self):
        return self._world.send().status == 200

    def stop(self):
        self._world.stop()


class DaemonCase:
    """A ``lavendermastd`` with one server of each service."""

    def __init__(self, folder):
        order = {**BASE["routes"]["order"], "max_body_bytes": MAX_BODY_BYTES}
        base = {**BASE, "routes": {**BASE["routes"], "order": order}}
        servers = {}
        for service in BASE["services"]:
            server = BackendServer(f"{service}-1", 6, 6, [Work("/", 1, 100)], 1)
            port = serve_backend(server, ("127.0.0.1", 0), 100)
            servers[server.name] = (service, f"127.0.0.1:{port}")
        self._daemon = DaemonProcess(
            folder, base, servers, MAX_DESCRIPTORS, max_memory_mb=MAX_MEMORY_MB
        )
        self.process, self.stop = self._daemon.process, self._daemon.stop
        caller, admin = (
            int(address.rpartition(":")[2])
            for address in (self._daemon.caller_address, self._daemon.admin_address)
        )
        self.targets = [(caller, "/orders"), (caller, "/none"), (admin, "/metrics")]
        assert wait_for(self.is_serving)

    def is_serving(self):
        return self._daemon.send("/stock/1").status == 200


@pytest.fixture(params=[EntryCase, DaemonCase])
def system(request, tmp_path):
    made = request.param(tmp_path)
    yield made
    made.stop()


def call(attack, port, path, max_bytes):
    """Send what an attack says until the process ends the connection."""
    head = attack.first.format(path=path, host=HOST, length=attack.length)
    sent, end = 0, time.monotonic() + CALLER_S
    try:
        with socket.create_connection(("127.0.0.1", port)) as sock:
            sock.settimeout(CALLER_S)
            sock.sendall(head.encode())
            while sent < max_bytes and time.monotonic() < end:
                sock.sendall(attack.unit)
                sent += len(attack.unit)
                eventlet.sleep(PAUSE_S if attack.paced else 0)
    except OSError:
        pass


class Watch:
    """Samples memory and open descriptors of a process until it is stopped."""

    def __init__(self, process):
        self._folder = pathlib.Path(f"/proc/{process.pid}")
        self.peak_mb, self.peak_descriptors = 0.0, 0
        self._task = eventlet.spawn(self._run)

    def _run(self):
        while True:
            self.sample()
            eventlet.sleep(0.02)

    def sample(self):
        # The peak that the kernel keeps misses nothing between two samples.
        text = (self._folder / "status").read_text()
        self.peak_mb = int(text.partition("VmHWM:")[2].split()[0]) / 1000
        open_now = len(os.listdir(self._folder / "fd"))
        self.peak_descriptors = max(self.peak_descriptors, open_now)

    def stop(self):
        self._task.kill()
        self.sample()


def play(system, callers):
    """Run callers, then check the process; each caller is the arguments of `call`."""
    watch = Watch(system.process)
    for task in [eventlet.spawn(call, *caller) for caller in callers]:
        task.wait()
    assert system.process.poll() is None
    served = wait_for(system.is_serving)
    watch.stop()
    print(f"peak {watch.peak_mb:.0f} MB, {watch.peak_descriptors} descriptors")
    assert system.process.poll() is None
    assert watch.peak_mb < MAX_MEMORY_MB
    assert watch.peak_descriptors < MAX_DESCRIPTORS
    assert served


@pytest.mark.parametrize("kind", ATTACKS)
def test_endless_requests_leave_the_process_in_its_memory(system, kind):
    """Guards against callers whose lines or bodies without end end the process."""
    attack = ATTACKS[kind]
    targets = system.targets * CALLERS
    play(system, [(attack, port, path, CALLER_BYTES) for port, path in targets])


def test_many_connections_leave_the_process_in_its_memory(system):
    """Guards against hostile callers that together take all memory or descriptors."""
    kinds = list(ATTACKS.values())
    play(
        system,
        [
            (kinds[number % len(kinds)], port, path, CONNECTION_BYTES)
            for port, path in system.targets
            for number in range(CONNECTIONS)
        ],
    )

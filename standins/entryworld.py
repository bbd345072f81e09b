"""A store, backend servers and one entry process on loopback."""

import functools
import json
import os
import pathlib
import random
import resource
import socket
import subprocess
import sys
import time

import eventlet
import urllib3

from standins.instance import InstanceStandIn
from standins.loopbackproxy import LoopbackProxy
from standins.metadata import MetadataStandIn

ENTRY_SCRIPT = pathlib.Path(__file__).resolve().parent.parent / "deploy" / "entry.py"
WAIT_TIMEOUT_S = 20.0
HOST = "a.example"


#: Below the ephemeral port range: while a process restarts, no outgoing connection may
#: take its port.
PORT_RANGE = (10_000, 32_000)
_taken_ports = set()


def take_port():
    """Return a port that is free for TCP and UDP and was not returned before."""
    while True:
        port = random.SystemRandom().randint(*PORT_RANGE)
        if port in _taken_ports:
            continue
        with socket.socket() as sock, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                sock.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            _taken_ports.add(port)
            return port


def take_ports():
    """Return a free port for each kind of address of an entry process."""
    kinds = ("caller", "ready", "directory", "peer", "metrics")
    return {kind: take_port() for kind in kinds}


def make_settings(ports, zones, vm, zone, **more):
    """
    Return the settings of an entry process on loopback.

    :param zones: mapping of zone to region.
    """
    return {
        **{f"{kind}_address": f"127.0.0.1:{port}" for kind, port in ports.items()},
        "vm": vm,
        "zone": zone,
        "region": zones[zone],
        "zones": [{"zone": name, "region": region} for name, region in zones.items()],
        **more,
    }


def start_process(path, max_descriptors=None, **streams):
    """Start an entry process with the settings in a file."""
    process = subprocess.Popen(
        [sys.executable, "-W", "ignore", str(ENTRY_SCRIPT)],
        env={**os.environ, "LAVENDERMAST_BOOT": str(path)},
        **streams,
    )
    if max_descriptors is not None:
        limits = (max_descriptors, max_descriptors)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
    return process


def make_rule(name, prefix, kind, **action):
    """Return a route rule of the configuration document."""
    return {
        "name": name,
        "type": kind,
        "goal_ms": 400,
        "match": {"prefix": prefix},
        "action": {"service": "stock", "timeout_ms": 1500, "max_attempts": 2, **action},
    }


def make_config(version, *rules):
    """Return a configuration document."""
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1000000,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {
        "version": f"r{version}",
        "limits": limits,
        "listeners": [{"host": HOST, "rules": list(rules)}],
        "upstreams": [{"name": "stock", "health_path": "/h", "max_conns": 360}],
    }


READ_RULE = make_rule("read", "/stock/", "idempotent")
BOOK_RULE = make_rule("book", "/book/", "non_idempotent")


class EntryWorld:
    """
    A store, servers and one entry process.

    :param path: file for the settings of the process; its log has the suffix ``.log``.
    :param max_descriptors: limit on its file descriptors, ``None`` for that of this
        process.
    :param more: further settings of the process.
    """

    def __init__(self, path, max_descriptors=None, **more):
        self.store = MetadataStandIn()
        self.store.start()
        self.store.put("op/config", make_config(3, READ_RULE, BOOK_RULE))
        self.store.put("servers/other", {"addr": 7})
        self.servers = {}
        self.ports = take_ports()
        settings = make_settings(
            self.ports,
            {"a": "north"},
            "vm-1",
            "a",
            seeds=[],
            store_address=self.store.address,
            grace_s=6,
            **more,
        )
        path.write_text(json.dumps(settings))
        log = path.with_suffix(".log").open("wb")
        self.process = start_process(path, max_descriptors, stdout=log)
        self.log = path.with_suffix(".log")
        self.http = urllib3.PoolManager(retries=False)
        self.count = 0

    def add(self, name, mode="ok"):
        """Start a server and register it at the store."""
        server = self.servers[name] = InstanceStandIn(name, "stock", "a", mode)
        server.start()
        self.store.put(f"servers/{name}", server.make_entry())
        return server

    def add_mortal(self, name, down_s):
        """Start a server that the deadly request takes down, and register it."""
        server = self.servers[name] = InstanceStandIn(name, "stock", "a")
        server.start()
        proxy = LoopbackProxy(server.address)
        proxy.start()
        server.crash = functools.partial(proxy.go_down, down_s)
        entry = {**server.make_entry(), "addr": proxy.address}
        self.store.put(f"servers/{name}", entry)

    def send(self, path="/stock/7", method="GET", timeout_ms=3000, headers=None):
        """Send a caller's request, with further headers, and return the response."""
        self.count += 1
        return self.http.request(
            method,
            f"http://127.0.0.1:{self.ports['caller']}{path}",
            headers={
                "Host": HOST,
                "Request-Id": f"id-{self.count}",
                "Deadline-Ms": str(timeout_ms),
                **(headers or {}),
            },
        )

    def wait_for(self, condition):
        """Wait until a condition holds; HTTP and connection errors count as not yet."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except (urllib3.exceptions.HTTPError, OSError):
                pass
            eventlet.sleep(0.05)
        raise AssertionError("condition did not hold before the timeout")

    def read_metrics(self):
        """Return the metrics text."""
        url = f"http://127.0.0.1:{self.ports['metrics']}/metrics"
        return self.http.request("GET", url).data.decode()

    def wait_ready(self, servers):
        """Wait until the process is ready and knows the given number of servers."""
        url = f"http://127.0.0.1:{self.ports['ready']}/readyz"
        self.wait_for(lambda: self.http.request("GET", url).status == 200)
        text = f'lavendermast_entry_servers{{service="stock"}} {servers}'
        self.wait_for(lambda: text in self.read_metrics())

    def stop(self):
        """Kill the process and return its log."""
        self.process.kill()
        self.process.wait()
        return self.log.read_text()

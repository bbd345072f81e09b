"""A few nodes with stand-ins in one process, for end-to-end tests."""

import io
import json
import pathlib
import tempfile

import eventlet
import eventlet.wsgi
from eventlet.green import socket

from bench.layouts import take_addresses
from lavendermast.loglines import parse_line
from lavendermast.node import Node
from lavendermast.settings_model import ProcessSettings
from standins.backend import BackendServer, Work, serve_backend
from standins.platform import PlatformStore

READY_TIMEOUT_S = 20
BASE = {
    "sites": ["r1"],
    "services": {
        "stock": {"expected_servers": 2, "floor": 0.5, "long_share": 0},
        "orders": {"expected_servers": 1, "floor": 1, "long_share": 0},
    },
    "routes": {
        "look-up": {
            "method": "GET",
            "path": "/stock/*",
            "service": "stock",
            "idempotent": True,
        },
        "look-up-head": {
            "method": "HEAD",
            "path": "/stock/*",
            "service": "stock",
            "idempotent": True,
        },
        "order": {
            "method": "POST",
            "path": "/orders",
            "service": "orders",
            "idempotent": False,
            "max_body_bytes": 100,
        },
    },
    "limits": {"max_header_bytes": 2048, "buffer_bytes": 4096},
    "addresses": {"hold_ms": 100},
}
WORK = [Work("/stock/big", 1, 50_000), Work("/", 1, 100)]


def listen():
    """Return a listening socket and its address."""
    sock = eventlet.listen(("127.0.0.1", 0))
    return sock, f"127.0.0.1:{sock.getsockname()[1]}"


class Cluster:
    """Nodes, backend servers and the store as green threads of this process."""

    def __init__(self, count):
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)
        self.backends = {}
        self.store = PlatformStore()
        sock, self.store_address = listen()
        self.tasks = [
            eventlet.spawn(eventlet.wsgi.server, sock, self.store, log=io.StringIO())
        ]
        servers = [self._start_backend("stock", n) for n in (1, 2)]
        servers.append(self._start_backend("orders", 1))
        settings = [self._make_settings(number) for number in range(count)]
        vms = [self._describe(item) for item in settings]
        self.publish("vms", {"revision": 1, "vms": vms + servers})
        self.publish("config", {"version": 1, "base": BASE, "overlays": {}})
        self.nodes = [Node(item) for item in settings]
        for node in self.nodes:
            node.start()
        self.wait(lambda: all(node.policy.ready for node in self.nodes))

    def publish(self, name, value):
        """Publish a value with the next revision."""
        revision = self.store.values.get(name, (0, b""))[0] + 1
        self.store.values[name] = (revision, json.dumps(value).encode())
        self.store._notify()

    def wait(self, condition):
        """Wait until a condition holds."""
        with eventlet.Timeout(READY_TIMEOUT_S):
            while not condition():
                eventlet.sleep(0.02)

    def send_raw_and_close(self, data, number=0):
        """Send raw bytes to a node, half-close, and return the raw response."""
        return self.send_raw(data, number, half_close=True)

    def send_raw(self, data, number=0, half_close=False):
        """Send raw bytes to a node and return the raw response."""
        host, port = self.nodes[number].settings.caller_address.split(":")
        sock = socket.create_connection((host, int(port)))
        sock.sendall(data)
        if half_close:
            sock.shutdown(socket.SHUT_WR)
        response = b""
        with eventlet.Timeout(READY_TIMEOUT_S):
            while part := sock.recv(65_536):
                response += part
        sock.close()
        return response

    def request(self, method, path, headers=(), body=b"", number=0):
        """Send a request; return the response's status, lower-case headers and body."""
        lines = [f"{method} {path} HTTP/1.1", "Host: fleet", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        return parse_response(self.send_raw(data, number))

    def read_log(self, number, event):
        """Return the lines of one event in a node's log, as dicts."""
        self.nodes[number].log.flush()
        lines = (self.folder / f"vm-{number}.log").read_text().splitlines()
        return [row for row in map(parse_line, lines) if row["event"] == event]

    def stop(self):
        """Stop the nodes and stand-ins and remove the logs."""
        for node in self.nodes:
            node.caller_listener.stop()
            node.admin_listener.stop()
            node._shut_down("test", 0)
        for task in self.tasks:
            task.kill()
        self._folder.cleanup()

    def _start_backend(self, service, number):
        name = f"{service}-{number}"
        backend = BackendServer(name, 6, 6, WORK, 1)
        self.backends[name] = backend
        port = serve_backend(backend, ("127.0.0.1", 0), 100)
        return {
            "name": name,
            "kind": "server",
            "service": service,
            "region": "r1",
            "zone": "r1-a",
            "address": f"127.0.0.1:{port}",
            "peer_address": "",
            "state": "live",
        }

    def _make_settings(self, number):
        return ProcessSettings.from_config(
            {
                "vm": f"vm-{number}",
                "region": "r1",
                "zone": f"r1-{'ab'[number % 2]}",
                "site": "r1",
                "caller_address": take_addresses(1)[0],
                "peer_address": take_addresses(1)[0],
                "admin_address": take_addresses(1)[0],
                "store_address": self.store_address,
                "fleet_keys": [{"id": 1, "secret": "test-fleet-secret"}],
                "log_path": str(self.folder / f"vm-{number}.log"),
            }
        )

    @staticmethod
    def _describe(settings):
        return {
            "name": settings.vm,
            "kind": "entry",
            "service": "",
            "region": settings.region,
            "zone": settings.zone,
            "address": settings.caller_address,
            "peer_address": settings.peer_address,
            "state": "live",
        }


def parse_response(response):
    """Return status, lower-case headers and body of a raw response."""
    head, _, body = response.partition(b"\r\n\r\n")
    status_line, *lines = head.decode().split("\r\n")
    pairs = (line.split(": ", 1) for line in lines)
    return int(status_line.split()[1]), {k.lower(): v for k, v in pairs}, body

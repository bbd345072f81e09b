"""A ``lavendermastd`` process with its store on loopback."""

import json
import os
import pathlib
import resource
import subprocess
import sys
import time

import eventlet
import eventlet.wsgi
import urllib3

from bench.layouts import take_addresses
from standins.platform import PlatformStore

WAIT_S = 20.0


class DaemonProcess:
    """
    A ``lavendermastd`` of one VM.

    :param folder: directory for its settings and log.
    :param base: the ``base`` of its configuration.
    :param servers: mapping of the name of each server to its service and address.
    :param max_descriptors: limit on its file descriptors, ``None`` for that of this
        process.
    :param more: further settings.
    """

    def __init__(self, folder, base, servers, max_descriptors=None, **more):
        store = PlatformStore()
        listening = eventlet.listen(("127.0.0.1", 0))
        store_port = listening.getsockname()[1]
        self._task = eventlet.spawn(
            eventlet.wsgi.server, listening, store, log_output=False
        )
        caller, peer, self.admin_address = take_addresses(3)
        self.caller_address = caller
        settings = {
            "vm": "vm-0",
            "region": "r1",
            "zone": "r1-a",
            "site": "r1",
            "caller_address": caller,
            "peer_address": peer,
            "admin_address": self.admin_address,
            "store_address": f"127.0.0.1:{store_port}",
            "fleet_keys": [{"id": 1, "secret": "test-fleet-secret"}],
            "log_path": str(folder / "daemon.log"),
            **more,
        }
        vms = [make_vm("vm-0", "entry", "", caller, peer)]
        for name, (service, address) in servers.items():
            vms.append(make_vm(name, "server", service, address, ""))
        values = {
            "vms": {"revision": 1, "vms": vms},
            "config": {"version": 1, "base": base, "overlays": {}},
        }
        for name, value in values.items():
            store.values[name] = (1, json.dumps(value).encode())
        path = folder / "daemon.json"
        path.write_text(json.dumps(settings))
        options = ["-W", "ignore", "-m", "lavendermast.daemon", "--settings", str(path)]
        source = str(pathlib.Path(__file__).resolve().parent.parent / "src")
        self.process = subprocess.Popen(
            [sys.executable, *options], env={**os.environ, "PYTHONPATH": source}
        )
        if max_descriptors is not None:
            limits = (max_descriptors, max_descriptors)
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, limits)
        self._http = urllib3.PoolManager(retries=False, timeout=WAIT_S)

    def send(self, path):
        """Send a caller's request and return the response."""
        return self._http.request("GET", f"http://{self.caller_address}{path}")

    def stop(self):
        """Kill the process."""
        self.process.kill()
        self.process.wait()
        self._task.kill()


def make_vm(name, kind, service, address, peer_address):
    return {
        "name": name,
        "kind": kind,
        "service": service,
        "region": "r1",
        "zone": "r1-a",
        "address": address,
        "peer_address": peer_address,
        "state": "live",
    }


def wait_for(condition):
    """Wait until a condition holds; errors of connections count as not yet."""
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        try:
            if condition():
                return True
        except (urllib3.exceptions.HTTPError, OSError):
            pass
        eventlet.sleep(0.05)
    return False

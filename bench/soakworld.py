"""Entry processes, stand-ins and callers of a soak run."""

import contextlib
import functools
import json
import signal
import time
import urllib.parse
from random import Random

import eventlet
import urllib3
from eventlet.green import socket
from urllib3.connection import HTTPConnection

from bench.soakchecks import (
    CONFIG_LAG_S,
    GRACE_S,
    HANG_TOLERANCE_S,
    KEY_REMOVAL_S,
    Call,
)
from standins.entryworld import (
    HOST,
    make_config,
    make_rule,
    make_settings,
    start_process,
    take_ports,
)
from standins.instance import DEADLY, InstanceStandIn
from standins.loopbackproxy import LoopbackProxy
from standins.metadata import MetadataStandIn

ZONES = {"a": "north", "b": "north", "c": "south"}
VMS_PER_ZONE = 2
SERVERS = {"stock": 6, "spare": 4}
WORK_S = 0.05
TIMEOUT_MS = 1500
DEADLINE_MS = 3000
READY_TIMEOUT_S = 30.0
#: Bounds of the time for which a caller keeps an address, in seconds, drawn for each
#: lookup. The nominal time is 1 s; callers may exceed it up to threefold.
ADDRESS_HOLD_S = (1.0, 3.0)
THINK_TIME_S = 0.4
#: Bounds of the time that a crashed server takes to start again, in seconds.
RESTART_S = (1.0, 4.0)
#: Keys in force at a time; each version replaces the oldest one.
KEYS_IN_FORCE = 2
#: Share of requests with a key that was removed.
REMOVED_KEY_SHARE = 0.2
#: Time for which a draining server still serves before it is removed.
DRAIN_TIME_S = 3.0


class SoakVm:
    """An entry process with its proxy to the store."""

    def __init__(self, name, zone, folder, store, account, ports):
        self.name, self.zone, self.ports = name, zone, ports
        self._account = account
        self._log = (folder / f"{name}.log").open("ab")
        self._path = folder / f"{name}.json"
        self._process = None
        self._open_outage = contextlib.ExitStack()
        self.store_proxy = LoopbackProxy(store.address)

    def write_settings(self, seeds):
        """Write the settings file of the process."""
        settings = make_settings(
            self.ports,
            ZONES,
            self.name,
            self.zone,
            seeds=seeds,
            store_address=self.store_proxy.address,
            grace_s=GRACE_S,
            key_removal_ms=round(KEY_REMOVAL_S * 1000),
            config_lag_ms=round(CONFIG_LAG_S * 1000),
        )
        self._path.write_text(json.dumps(settings))

    def start(self):
        """Start the process unless it runs, and wait until it is ready or times out."""
        if self._process is not None and self._process.poll() is None:
            return
        self._account.restarts[self.name].append(time.monotonic())
        self._process = start_process(self._path, stdout=self._log, stderr=self._log)
        with (
            contextlib.suppress(TimeoutError),
            eventlet.Timeout(READY_TIMEOUT_S, TimeoutError()),
        ):
            while not self.is_ready():
                eventlet.sleep(0.1)
        self._open_outage.close()

    def _begin_outage(self):
        self._open_outage.enter_context(self._account.record_outage(self.name))

    def is_ready(self):
        """Return whether the process reports ready."""
        return self.get_ready_status() == 200

    def get_ready_status(self):
        """Return the HTTP status of the readiness check, or the text of the error."""
        url = f"http://127.0.0.1:{self.ports['ready']}/readyz"
        try:
            return urllib3.request("GET", url, retries=False, timeout=1.0).status
        except urllib3.exceptions.HTTPError as error:
            return f"{type(error).__name__}: {error}"

    def _signal(self, number):
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its exit."""
        self._begin_outage()
        self._signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def pause(self):
        """Suspend the process."""
        self._begin_outage()
        self._account.restarts[self.name].append(time.monotonic())
        self._signal(signal.SIGSTOP)

    def resume(self):
        """Resume a suspended process."""
        self._signal(signal.SIGCONT)
        if self._process is not None and self._process.poll() is None:
            self._open_outage.close()

    def reload(self):
        """Send SIGHUP, which makes the process reload its settings."""
        self._signal(signal.SIGHUP)

    def stop(self):
        """Send SIGTERM; kill the process if it still runs after its grace period."""
        self._account.stops[self.name].append(time.monotonic())
        # Faults overlap, so another one may start the next process meanwhile.
        process = self._process
        self._signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_S
        while process.poll() is None and time.monotonic() < until:
            eventlet.sleep(0.05)
        if process.poll() is None:
            if self._account.is_in_contact(self.name, until - GRACE_S, until):
                self._account.overdue_stops.append(
                    f"{self.name} still ran after its grace period"
                )
            self.kill()


class SoakWorld:
    """The store, servers, VMs and callers of a run."""

    def __init__(self, folder, account, random, vms_per_zone=VMS_PER_ZONE):
        self._account, self._random = account, random
        self.store = MetadataStandIn()
        self.servers, self.removed_servers = {}, []
        self.stopping = False
        self._version = 0
        # A generator of its own: other draws of a seed stay those of earlier versions.
        self._key_random = Random("keys")
        # Counter for server names and request ids.
        self._last_id = 0
        self.vms = []
        for zone in ZONES:
            for number in range(1, vms_per_zone + 1):
                name, ports = f"{zone}{number}", take_ports()
                vm = SoakVm(name, zone, folder, self.store, account, ports)
                self.vms.append(vm)

    def start(self):
        """Start everything and wait until all VMs are ready."""
        self.store.start()
        for service, count in SERVERS.items():
            for _ in range(count):
                self._add_server(service)
        self._publish("stock")
        seeds = [f"127.0.0.1:{vm.ports['peer']}" for vm in self.vms[:3]]
        for vm in self.vms:
            vm.store_proxy.start()
            vm.write_settings(seeds)
        for task in [eventlet.spawn(vm.start) for vm in self.vms]:
            task.wait()

    def kill_processes(self):
        """Kill the processes of the run."""
        for vm in self.vms:
            vm.resume()
            vm.kill()

    def heal(self):
        """End all faults and start the processes that are down."""
        self.store.failure = None
        for vm in self.vms:
            vm.store_proxy.heal()
            vm.resume()
            vm.start()
        for server in self.servers.values():
            server.mode = "ok"
            server.proxy.heal()

    def _add_server(self, service, proxy=None):
        self._last_id += 1
        zone = list(ZONES)[self._last_id % len(ZONES)]
        server = InstanceStandIn(f"s{self._last_id}", service, zone, work_s=WORK_S)
        server.start()
        server.is_down = False
        server.proxy = proxy or LoopbackProxy(server.address)
        if proxy is None:
            server.proxy.start()
        server.proxy.target = server.address
        server.crash = functools.partial(self.crash_server, server, is_deadly=True)
        self.servers[server.name] = server
        self._register_server(server, "ready")
        return server

    def _register_server(self, server, state):
        server.state = state
        entry = {**server.make_entry(state), "addr": server.proxy.address}
        self.store.put(f"servers/{server.name}", entry)

    def _remove_entry(self, server):
        """Remove a server's entry, unless the store was restored from before it."""
        if f"servers/{server.name}" in self.store.items:
            self.store.delete(f"servers/{server.name}")

    def write_again(self):
        """Let the operators and servers write again what a restored store has lost."""
        self.store.put("op/config", self._config)
        for server in self.servers.values():
            self._register_server(server, server.state)
        for server in self.removed_servers:
            self._remove_entry(server)

    def replace_server(self, server):
        """Drain and remove a server, and give its address to a new one."""
        if server.name not in self.servers or server.name in self._account.drains:
            return "already leaving"
        self._account.drains[server.name] = time.monotonic()
        self._register_server(server, "draining")
        eventlet.sleep(DRAIN_TIME_S)
        del self.servers[server.name]
        self.removed_servers.append(server)
        self._remove_entry(server)
        new = self._add_server(server.service, server.proxy)
        return f"{server.name} by {new.name}"

    def crash_server(self, server, is_deadly=False):
        """
        End a server with all its connections; it starts again some seconds later.

        :param is_deadly: whether the deadly request crashed it.
        """
        if server.is_down:
            return "already down"
        server.is_down = True
        if is_deadly:
            self._account.crashes.append(time.monotonic())
        server.proxy.go_down(self._random.uniform(*RESTART_S))
        server.is_down = False
        server.born += 1
        # A server that starts again knows nothing of before.
        server.leaving = False
        self._account.end_departure(server.name)
        if server.name in self.servers:
            self._register_server(server, server.state)
        return server.name

    def leave_unlisted(self, server, seconds):
        """Let a server say that it is leaving while its entry says that it is ready."""
        if server.name not in self.servers or server.name in self._account.drains:
            return "already leaving"
        self._account.begin_departure(server.name)
        server.leaving = True
        eventlet.sleep(seconds)
        return self.replace_server(server)

    def run_deadly_caller(self, seconds):
        """Send the deadly request again and again for a time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.send_once(f"/stock/{DEADLY}")
            eventlet.sleep(self._random.expovariate(1 / THINK_TIME_S))

    def move_route(self):
        """Point the movable route at the other service and return that service."""
        service = "spare" if self._account.moves[-1][1] == "stock" else "stock"
        self._publish(service)
        return service

    def _publish(self, service):
        self._version += self._random.randint(1, 3)
        action = {"timeout_ms": TIMEOUT_MS}
        config = make_config(
            self._version,
            make_rule("read", "/stock/", "idempotent", **action),
            make_rule("book", "/book/", "non_idempotent", **action),
            make_rule("move", "/move/", "idempotent", service=service, **action),
        )
        upstream = config["upstreams"][0]
        config["upstreams"] = [{**upstream, "name": name} for name in SERVERS]
        config["tenants"] = [{"name": "caller", "api_keys": self._renew_keys()}]
        self._config = config
        self.store.put("op/config", config)
        self._account.moves.append((time.monotonic(), service))
        for key in list(self._account.keys)[:-KEYS_IN_FORCE]:
            interval = self._account.keys[key]
            interval[1] = min(interval[1], time.monotonic())

    def _renew_keys(self):
        """Add a key, and return those of the next version."""
        keys = self._account.keys
        for _ in range(1 if keys else KEYS_IN_FORCE):
            keys[f"key-{len(keys)}"] = [time.monotonic(), float("inf")]
        return list(keys)[-KEYS_IN_FORCE:]

    def _choose_key(self):
        """Return a key for a request, sometimes one that was removed."""
        keys = list(self._account.keys)
        in_force, removed = keys[-KEYS_IN_FORCE:], keys[:-KEYS_IN_FORCE]
        if removed and self._key_random.random() < REMOVED_KEY_SHARE:
            return self._key_random.choice(removed[-3:])
        # The newest one may not be known everywhere yet.
        return in_force[0]

    def _resolve_vm(self):
        """Return a VM for a caller from the directory's response, or ``None``."""
        vm = self._random.choice(self.vms)
        query = urllib.parse.urlencode({"name": HOST, "zone": vm.zone})
        url = f"http://127.0.0.1:{vm.ports['directory']}/resolve?{query}"
        try:
            response = urllib3.request("GET", url, retries=False, timeout=1.0)
            addresses = response.json()["addresses"]
        except (urllib3.exceptions.HTTPError, ValueError, KeyError):
            return None
        by_address = {f"127.0.0.1:{vm.ports['caller']}": vm for vm in self.vms}
        return by_address[self._random.choice(addresses)]

    def run_caller(self, number):
        """Send requests over keep-alive connections until the run ends."""
        vm, connection, hold_until = None, None, 0.0
        while not self.stopping:
            if vm is None or time.monotonic() > hold_until:
                resolved = self._resolve_vm()
                if resolved is not None and resolved is not vm:
                    vm, connection = resolved, None
                hold_until = time.monotonic() + self._random.uniform(*ADDRESS_HOLD_S)
            if vm is None:
                eventlet.sleep(THINK_TIME_S)
                continue
            if connection is None:
                connection = HTTPConnection("127.0.0.1", vm.ports["caller"])
            kind = self._random.choice(["stock", "stock", "book", "move"])
            method = "POST" if kind == "book" else "GET"
            call = self._send(vm, connection, method, f"/{kind}/{number}")
            if call.status is None:
                vm, connection = None, None
            eventlet.sleep(self._random.expovariate(1 / THINK_TIME_S))

    def send_once(self, path):
        """Return the status of one request over a new connection."""
        vm = self._resolve_vm()
        if vm is None:
            return "no directory"
        connection = HTTPConnection("127.0.0.1", vm.ports["caller"])
        key = list(self._account.keys)[-KEYS_IN_FORCE]
        call = self._send(vm, connection, "GET", path, key)
        return call.status or call.detail

    def _send(self, vm, connection, method, path, key=None):
        self._last_id += 1
        call = Call(f"q{self._last_id:07d}", vm.name, path, method, time.monotonic())
        call.key = key or self._choose_key()
        self._account.calls[call.id] = call
        headers = {"Host": HOST, "Request-Id": call.id}
        headers["Deadline-Ms"] = str(DEADLINE_MS)
        headers["Credential"] = call.key
        connection.timeout = DEADLINE_MS / 1000 + HANG_TOLERANCE_S
        try:
            connection.request(method, path, headers=headers, preload_content=False)
            response = connection.getresponse()
            body = response.read()
            call.status = response.status
            if response.status == 200:
                self._check_response(call, response, body)
            if response.headers.get("Connection", "").lower() == "close":
                connection.close()
        except (socket.timeout, TimeoutError):
            call.detail = "timeout"
            connection.close()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            call.detail = f"{type(error).__name__}: {error}"
            connection.close()
        call.ended = time.monotonic()
        return call

    def _check_response(self, call, response, body):
        signature = response.headers.get("Server-Signature", "")
        call.server = signature.partition(".")[0]
        expected = f"{call.server} {call.path}".encode()
        id_matches = response.headers.get("Request-Id") == call.id
        if not signature or body != expected or not id_matches:
            self._account.invalid_responses.append(
                f"{call.id} {call.path}: {body!r} {signature}"
            )

"""The processes, stand-ins and callers of a soak."""

import contextlib
import json
import signal
import time
import urllib.parse

import eventlet
import urllib3
from eventlet.green import socket
from urllib3.connection import HTTPConnection

from bench.soakchecks import GRACE_S, HANG_S, Call
from standins.entryworld import (
    HOST,
    make_config,
    make_rule,
    make_settings,
    start_process,
    take_ports,
)
from standins.instance import InstanceStandIn
from standins.loopbackproxy import LoopbackProxy
from standins.metadata import MetadataStandIn

ZONES = {"a": "north", "b": "north", "c": "south"}
VMS_PER_ZONE = 2
SERVERS = {"stock": 6, "spare": 4}
WORK_S = 0.05
TIMEOUT_MS = 1500
DEADLINE_MS = 3000
READY_S = 30.0
#: Callers keep an address for 1 s, some of them three times as long.
HOLD_S = (1.0, 3.0)
PAUSE_S = 0.4
#: Time for which a draining server still serves before it leaves.
DRAIN_S = 3.0


class SoakVm:
    """One entry process with its proxy to the store."""

    def __init__(self, name, zone, folder, store, account, ports):
        self.name, self.zone, self.ports = name, zone, ports
        self._account = account
        self._log = (folder / f"{name}.log").open("ab")
        self._path = folder / f"{name}.json"
        self._process = None
        self._disturbance = contextlib.ExitStack()
        self.store_proxy = LoopbackProxy(store.address)

    def write_settings(self, seeds):
        """Write the settings of the process."""
        settings = make_settings(
            self.ports,
            ZONES,
            self.name,
            self.zone,
            seeds=seeds,
            store_address=self.store_proxy.address,
            grace_s=GRACE_S,
        )
        self._path.write_text(json.dumps(settings))

    def start(self):
        """Start the process unless it runs."""
        if self._process is not None and self._process.poll() is None:
            return
        self._process = start_process(self._path, stdout=self._log, stderr=self._log)
        with (
            contextlib.suppress(TimeoutError),
            eventlet.Timeout(READY_S, TimeoutError()),
        ):
            while not self.is_ready():
                eventlet.sleep(0.1)
        self._disturbance.close()

    def _disturb(self):
        self._disturbance.enter_context(self._account.disturb(self.name))

    def is_ready(self):
        """Return whether the process says that it takes callers."""
        return self.ask_ready() == 200

    def ask_ready(self):
        """Return the status that the process answers, or the error met instead."""
        url = f"http://127.0.0.1:{self.ports['ready']}/readyz"
        try:
            return urllib3.request("GET", url, retries=False, timeout=1.0).status
        except urllib3.exceptions.HTTPError as error:
            return f"{type(error).__name__}: {error}"

    def _signal(self, number):
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self):
        """End the process at once."""
        self._disturb()
        self._signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def pause(self):
        """Freeze the process."""
        self._disturb()
        self._signal(signal.SIGSTOP)

    def wake(self):
        """Let a frozen process run again."""
        self._signal(signal.SIGCONT)
        if self._process is not None and self._process.poll() is None:
            self._disturbance.close()

    def reload(self):
        """Send SIGHUP."""
        self._signal(signal.SIGHUP)

    def stop(self):
        """Send SIGTERM and wait for the end; a process that stays is killed."""
        self._account.stops[self.name].append(time.monotonic())
        self._signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_S
        while self._process.poll() is None and time.monotonic() < until:
            eventlet.sleep(0.05)
        if self._process.poll() is None:
            if self._account.is_calm(self.name, until - GRACE_S, until):
                self._account.overdue_stops.append(f"{self.name} outlived its grace")
            self.kill()


class SoakWorld:
    """The store, servers, VMs and callers of one run."""

    def __init__(self, folder, account, random):
        self._account, self._random = account, random
        self.store = MetadataStandIn()
        self.servers, self.gone_servers = {}, []
        self.stopping = False
        self._version = 0
        self._numbers = 0
        self.vms = []
        for zone in ZONES:
            for number in range(1, VMS_PER_ZONE + 1):
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

    def end_processes(self):
        """Kill the processes of this run."""
        for vm in self.vms:
            vm.wake()
            vm.kill()

    def heal(self):
        """Lift all faults and start what is down."""
        self.store.failure = None
        for vm in self.vms:
            vm.store_proxy.heal()
            vm.wake()
            vm.start()
        for server in self.servers.values():
            server.mode = "ok"
            server.proxy.heal()

    def _add_server(self, service, proxy=None):
        self._numbers += 1
        zone = list(ZONES)[self._numbers % len(ZONES)]
        server = InstanceStandIn(f"s{self._numbers}", service, zone, work_s=WORK_S)
        server.start()
        server.proxy = proxy or LoopbackProxy(server.address)
        if proxy is None:
            server.proxy.start()
        server.proxy.target = server.address
        self.servers[server.name] = server
        self._list_server(server, "ready")
        return server

    def _list_server(self, server, state):
        entry = {**server.make_entry(state), "addr": server.proxy.address}
        self.store.put(f"servers/{server.name}", entry)

    def replace_server(self, server):
        """Drain a server, take it away and give its address to one of the other."""
        if server.name not in self.servers or server.name in self._account.drains:
            return "already leaving"
        self._account.drains[server.name] = time.monotonic()
        self._list_server(server, "draining")
        eventlet.sleep(DRAIN_S)
        del self.servers[server.name]
        self.gone_servers.append(server)
        self.store.delete(f"servers/{server.name}")
        new = self._add_server(server.service, server.proxy)
        return f"{server.name} by {new.name}"

    def move_route(self):
        """Send the movable route to the other service."""
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
        self.store.put("op/config", config)
        self._account.moves.append((time.monotonic(), service))

    def _ask_directory(self):
        """Return the VM that a caller uses next, or ``None``."""
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

    def call(self, number):
        """Send requests over kept connections until the run ends."""
        vm, connection, keep_until = None, None, 0.0
        while not self.stopping:
            if vm is None or time.monotonic() > keep_until:
                asked = self._ask_directory()
                if asked is not None and asked is not vm:
                    vm, connection = asked, None
                keep_until = time.monotonic() + self._random.uniform(*HOLD_S)
            if vm is None:
                eventlet.sleep(PAUSE_S)
                continue
            if connection is None:
                connection = HTTPConnection("127.0.0.1", vm.ports["caller"])
            kind = self._random.choice(["stock", "stock", "book", "move"])
            method = "POST" if kind == "book" else "GET"
            call = self._send(vm, connection, method, f"/{kind}/{number}")
            if call.status is None:
                vm, connection = None, None
            eventlet.sleep(self._random.expovariate(1 / PAUSE_S))

    def send_once(self, path):
        """Return the status of one request over a new connection."""
        vm = self._ask_directory()
        if vm is None:
            return "no directory"
        connection = HTTPConnection("127.0.0.1", vm.ports["caller"])
        call = self._send(vm, connection, "GET", path)
        return call.status or call.detail

    def _send(self, vm, connection, method, path):
        self._numbers += 1
        call = Call(f"q{self._numbers:07d}", vm.name, path, method, time.monotonic())
        self._account.calls[call.id] = call
        headers = {"Host": HOST, "Request-Id": call.id}
        headers["Deadline-Ms"] = str(DEADLINE_MS)
        connection.timeout = DEADLINE_MS / 1000 + HANG_S
        try:
            connection.request(method, path, headers=headers, preload_content=False)
            response = connection.getresponse()
            body = response.read()
            call.status = response.status
            if response.status == 200:
                self._check_answer(call, response, body)
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

    def _check_answer(self, call, response, body):
        signature = response.headers.get("Server-Signature", "")
        expected = f"{signature.partition('.')[0]} {call.path}".encode()
        own = response.headers.get("Request-Id") == call.id
        if not signature or body != expected or not own:
            self._account.spoiled.append(f"{call.id} {call.path}: {body!r} {signature}")

"""Stand-ins for the store, instances, clients and the platform, for the scripts here.

Only the standard library is used. The entry process itself is started with the command
of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import resource
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "jepu9.example"
READY_TIMEOUT_S = 30.0
#: A script may take 120 s.
MAX_RUN_S = 112.0
ZONES = {"mahebourg": "grand-port", "rose-belle": "grand-port"}
#: Limits of a process in DEPLOY.md and in the site files.
RAM_MB = 300
MAX_FDS = 4100
GRACE_S = 6


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, event, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{time.monotonic() - self._start:8.3f} {event} {text}\n")
        self._file.flush()


PORT_KINDS = ("caller", "ready", "directory", "peer", "metrics")


def take_ports(addresses):
    """Return a port for each kind, free for TCP and UDP on all loopback addresses."""
    ports = {}
    while len(ports) < len(PORT_KINDS):
        port = random.SystemRandom().randint(10_000, 32_000)
        if port in ports.values() or not all(is_free(a, port) for a in addresses):
            continue
        ports[PORT_KINDS[len(ports)]] = port
    return ports


def is_free(address, port):
    """Return whether a port is free for TCP and UDP."""
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind((address, port))
            udp.bind((address, port))
        except OSError:
            return False
    return True


def get_address(server):
    """Return the address on which an asyncio server listens."""
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def read_head(reader):
    """Return the start line and the headers (lower-case names) of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b"".join(parts)
    length = int(headers.get("content-length", 0))
    return await reader.readexactly(length) if length else b""


class Store:
    """The platform's metadata store: ranges and watches."""

    def __init__(self):
        self.items, self.events, self.revision = {}, [], 1
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = get_address(server)

    def put(self, key, value):
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {"key": key, "value": text, "rev": self.revision}
        item["created"] = self.items.get(key, item).get("created", self.revision)
        item["lease_id"] = 0
        self.items[key] = item
        self.events.append(item)

    def delete(self, key):
        self.revision += 1
        del self.items[key]
        self.events.append({"key": key, "rev": self.revision, "deleted": True})

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                path, _, query = line.split(" ")[1].partition("?")
                fields = dict(urllib.parse.parse_qsl(query))
                status, value = await self._answer(path, fields)
                body = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
                    b"Store-Era: 1\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(body))
                    + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, fields):
        if path == "/kv-key":
            item = self.items.get(fields["key"])
            return (200, {**item, "at_rev": self.revision}) if item else (404, {})
        if path == "/kv-range":
            prefix, after = fields.get("prefix", ""), fields.get("after", "")
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(prefix) and key > after
            ]
            return 200, {"items": items, "has_more": False, "at_rev": self.revision}
        after = int(fields["after"])
        end = time.monotonic() + int(fields.get("wait_ms", 0)) / 1000
        while True:
            events = [event for event in self.events if event["rev"] > after]
            if events or time.monotonic() >= end:
                return 200, {"events": events, "at_rev": self.revision}
            await asyncio.sleep(0.01)


class Instance:
    """An instance of a service; it processes ``capacity`` requests concurrently.

    ``runs`` holds the ids of the requests that it began to work on.
    """

    def __init__(
        self, name, service, record, zone="mahebourg", work_s=0.05, capacity=6
    ):
        self.name, self.service, self.zone, self.record = name, service, zone, record
        self.work_s = work_s
        self.capacity = capacity
        self.runs = []
        self.address = None
        self.born = int(time.time() * 1000)
        self._slots = asyncio.Semaphore(capacity)
        self._queued = 0

    async def start(self):
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, backlog=1024, limit=1 << 20
        )
        self.address = get_address(server)

    def make_entry(self, state="ready"):
        return {
            "addr": self.address,
            "info": {
                "service": self.service,
                "zone": self.zone,
                "version": "v1",
                "capacity": self.capacity,
            },
            "status": {"state": state, "sequence": 1, "warmup_left_ms": 0},
            "born": self.born,
        }

    async def _serve(self, reader, writer):
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        line, headers = await read_head(reader)
        body = await read_body(reader, headers)
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            await self.answer(writer, 421, request_id, b"", signed=False)
            return True
        if self._slots.locked() and self._queued >= 24:
            await self.answer(writer, 503, request_id, b"", signed=False, not_run=True)
            return True
        self._queued += 1
        try:
            await self._slots.acquire()
        finally:
            self._queued -= 1
        try:
            self.runs.append(request_id)
            self.record("run", id=request_id, instance=self.name, line=line.split()[:2])
            return await self.work(writer, line, request_id, headers, body)
        finally:
            self._slots.release()

    async def work(self, writer, line, request_id, headers, body):
        """Run a request and answer it; return whether the connection goes on."""
        await asyncio.sleep(self.work_s)
        await self.answer(writer, 200, request_id, b"done " + request_id.encode())
        return True

    async def answer(
        self, writer, status, request_id, body, signed=True, not_run=False
    ):
        head = f"HTTP/1.1 {status} -\r\nRequest-Id: {request_id}\r\n"
        head += f"Content-Length: {len(body)}\r\n"
        if signed:
            head += f"Server-Signature: {self.name}.{request_id}\r\n"
        if not_run:
            head += "Not-Executed: 1\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()


def make_rule(name, prefix, kind, service, timeout_ms=4000, goal_ms=2000):
    action = {"service": service, "timeout_ms": timeout_ms, "max_attempts": 2}
    return {
        "name": name,
        "type": kind,
        "goal_ms": goal_ms,
        "priority": 1,
        "match": {"prefix": prefix},
        "action": action,
    }


def make_config(version, rules, services):
    """Return a configuration with the limits that PROTOCOL.md's examples show."""
    return {
        "version": f"r{version}",
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "listeners": [{"host": HOST, "rules": rules}],
        "upstreams": [
            {"name": name, "health_path": "/healthz", "max_conns": 360, "proto": "h1"}
            for name in services
        ],
    }


class Machine:
    """A machine of the platform: one entry process, restarted after it has ended."""

    def __init__(self, name, ip, ports, zone, zones, folder, record, max_fds=None):
        self.name, self.ip, self.ports = name, ip, ports
        self.zone, self.zones, self.record = zone, zones, record
        self.max_fds = max_fds
        self.path = folder / f"{name}.json"
        self.log = open(folder / f"{name}.log", "ab")
        self.process = None
        self.started_at = 0.0
        self.ends = []

    def write_settings(self, store, seeds):
        addresses = {
            f"{kind}_address": f"{self.ip}:{port}" for kind, port in self.ports.items()
        }
        zones = [
            {"zone": name, "region": region} for name, region in self.zones.items()
        ]
        settings = {
            "vm": self.name,
            "zone": self.zone,
            "region": self.zones[self.zone],
            "zones": zones,
            **addresses,
            "seeds": seeds,
            "store_address": store.address,
            "cpu_share": 0.86,
            "cpu_speed": 1,
            "grace_s": GRACE_S,
            "retry_share": 0.2,
            "retry_window_s": 10,
            "retry_slack": 60,
            "floor_share": 0.7,
        }
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(settings))
        temporary.rename(self.path)

    async def start(self):
        """Start the process with the command of deploy/system.toml."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["LAVENDERMAST_BOOT"] = str(self.path)
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "deploy/entry.py",
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=self.log,
            preexec_fn=self._limit_fds,
        )
        self.started_at = time.monotonic()
        self.record("start", machine=self.name, pid=self.process.pid)

    def _limit_fds(self):
        if self.max_fds:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds))

    @property
    def pid(self):
        return self.process.pid

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def ask_ready(self, timeout_s=1.0):
        """Return the status of the readiness check, or None."""
        try:
            return (await asyncio.wait_for(self._get("ready", "/readyz"), timeout_s))[0]
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return None

    async def resolve(self, zone, timeout_s=1.0):
        """Return the addresses that the directory names for a zone, or None."""
        path = f"/resolve?name={HOST}&region={self.zones[zone]}&zone={zone}"
        try:
            status, body = await asyncio.wait_for(
                self._get("directory", path), timeout_s
            )
            return json.loads(body)["addresses"] if status == 200 else None
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return None

    @property
    def address(self):
        """The address that the directory names for this machine."""
        return f"{self.ip}:{self.ports['caller']}"

    async def _get(self, kind, path):
        reader, writer = await asyncio.open_connection(self.ip, self.ports[kind])
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            line, headers = await read_head(reader)
            return int(line.split()[1]), await read_body(reader, headers)
        finally:
            writer.close()

    async def wait_ready(self, servers):
        """Wait until the process is ready and knows so many instances."""
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            if await self.ask_ready() == 200:
                text = (await self._get("metrics", "/metrics"))[1].decode()
                known = [
                    float(row.split()[-1])
                    for row in text.splitlines()
                    if row.startswith("lavendermast_entry_servers{")
                ]
                if sum(known) >= servers:
                    return True
            await asyncio.sleep(0.1)
        return False

    def read_memory_mb(self):
        """Return the resident memory of the process."""
        try:
            text = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0.0
        rows = [row for row in text.splitlines() if row.startswith("VmRSS")]
        return int(rows[0].split()[1]) / 1024 if rows else 0.0

    def send_signal(self, number):
        if self.is_running:
            self.record("signal", machine=self.name, signal=signal.Signals(number).name)
            self.process.send_signal(number)

    async def end(self):
        """Kill the process."""
        if self.is_running:
            self.process.kill()
            await self.process.wait()


class Answer:
    """What a client saw: ``status`` is None if there was no complete answer."""

    def __init__(self):
        self.status, self.headers, self.body = None, {}, b""
        self.detail, self.took_s = "", 0.0


def make_request(method, path, request_id, body=b"", deadline_ms=8000, extra=""):
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
        f"Deadline-Ms: {deadline_ms}\r\n{extra}"
    )
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class Client:
    """A client with one kept connection."""

    def __init__(self, machine, record):
        self.machine, self.record = machine, record
        self.reader = self.writer = None

    async def connect(self):
        """Open a connection; clients allow one second for it."""
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.machine.ip, self.machine.ports["caller"]), 1.0
        )

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, request_id, data, deadline_s=8.0):
        """Send a request and return the ``Answer``."""
        answer, begun = Answer(), time.monotonic()
        self.record("sent", id=request_id, machine=self.machine.name, bytes=len(data))
        try:
            if self.writer is None:
                await self.connect()
            async with asyncio.timeout(deadline_s):
                self.writer.write(data)
                await self.writer.drain()
                line, headers = await read_head(self.reader)
                answer.body = await read_body(self.reader, headers)
                answer.status, answer.headers = int(line.split()[1]), headers
            if headers.get("connection", "").lower() == "close":
                self.close()
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            answer.detail = f"{type(error).__name__}: {error}"
            self.close()
        answer.took_s = time.monotonic() - begun
        self.record(
            "answered",
            id=request_id,
            status=answer.status,
            seconds=f"{answer.took_s:.3f}",
            signed="server-signature" in answer.headers,
            detail=answer.detail or "-",
        )
        return answer


class World:
    """Store, instances and machines of one script."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.record = Record(self.folder / "record.txt")
        self._temporary = tempfile.TemporaryDirectory()
        self.temporary = pathlib.Path(self._temporary.name)
        self.store = Store()
        self.instances, self.machines = [], []

    async def start(self, instances, rules, machines=1, zones=None, max_fds=None):
        """Start everything; return whether the machines got ready."""
        await self.store.start()
        self.instances = instances
        services = sorted({instance.service for instance in instances})
        self.store.put("op/config", make_config(7, rules, services))
        for instance in instances:
            await instance.start()
            self.store.put(f"servers/{instance.name}", instance.make_entry())
        zones = zones or ZONES
        names = list(zones)
        # As on the platform, machines differ by address and have the same ports.
        addresses = [f"127.0.0.{11 + number}" for number in range(machines)]
        ports = take_ports(addresses)
        self.machines = [
            Machine(
                f"edge-{number + 1}",
                addresses[number],
                ports,
                names[number % len(names)],
                zones,
                self.temporary,
                self.record,
                max_fds,
            )
            for number in range(machines)
        ]
        seeds = [f"{address}:{ports['peer']}" for address in addresses[:3]]
        for machine in self.machines:
            machine.write_settings(self.store, seeds)
        for machine in self.machines:
            await machine.start()
        ready = [await machine.wait_ready(len(instances)) for machine in self.machines]
        self.record("ready", machines=sum(ready))
        return all(ready)

    async def stop(self):
        for machine in self.machines:
            await machine.end()
        self._temporary.cleanup()


def run(main, folder):
    """Run a script: ``main(world, trouble)`` returns its exit status."""

    async def whole():
        world = World(folder)
        trouble = os.environ.get("TROUBLE", "1") != "0"
        world.record("begin", trouble=trouble)
        try:
            async with asyncio.timeout(MAX_RUN_S):
                status = await main(world, trouble)
        except Exception as error:
            world.record("failed", error=f"{type(error).__name__}: {error}")
            status = 2
        finally:
            await world.stop()
        world.record("exit", status=status)
        print({0: "held", 1: "BROKEN", 2: "could not run"}[status])
        return status

    async def end():
        # Leaves without closing thousands of streams one by one.
        status = await whole()
        sys.stdout.flush()
        os._exit(status)

    asyncio.run(end())

"""Stand-ins for the platform, its instances and clients of entry processes."""

import asyncio
import base64
import contextlib
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

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "jepu9.example"
ZONES = {"mahebourg": "grand-port"}
START_TIMEOUT_S = 25.0
#: Descriptors of a machine of the site, and those that the stand-ins need besides.
MAX_FDS, SPARE_FDS = 4100, 2000
#: Bounds and limits of the site cercle-gate.
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class Record:
    """Writes what happens to ``record.txt``, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._started = time.monotonic()

    def write(self, *parts):
        """Write one line."""
        seconds = time.monotonic() - self._started
        self._file.write(" ".join([f"{seconds:8.3f}", *map(str, parts)]) + "\n")
        self._file.flush()


def take_port(address):
    """Return a port of a loopback address that is free for TCP and UDP."""
    while True:
        port = random.SystemRandom().randint(10_000, 32_000)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((address, port))
                udp.bind((address, port))
            except OSError:
                continue
            return port


async def read_head(reader):
    """Return the first line of a message and its header fields, as a list of pairs."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    fields = [line.split(":", 1) for line in lines]
    return first, [(name.lower(), value.strip()) for name, value in fields]


async def read_message(reader, bodyless=False):
    """Return first line, header fields and body of a message with a length."""
    first, fields = await read_head(reader)
    named = dict(fields)
    if "chunked" in named.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
        return first, fields, body
    length = 0 if bodyless else int(named.get("content-length", 0))
    return first, fields, await reader.readexactly(length)


def make_message(first, fields, body=b""):
    """Return the bytes of a message."""
    lines = [first, *[f"{name}: {value}" for name, value in fields]]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Store:
    """The platform's store: one revision counter, a range and a watch."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())

    def put(self, key, value):
        """Write a document."""
        self.revision += 1
        content = base64.b64encode(json.dumps(value).encode()).decode()
        item = {
            "key": key,
            "value": content,
            "rev": self.revision,
            "created": self.items.get(key, {}).get("created", self.revision),
            "lease_id": 0,
        }
        self.items[key] = item
        self._publish(item)

    def delete(self, key):
        """Remove a document."""
        self.revision += 1
        del self.items[key]
        self._publish({"key": key, "rev": self.revision, "deleted": True})

    def _publish(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                first, _, _ = await read_message(reader)
                url = urllib.parse.urlsplit(first.split()[1])
                query = dict(urllib.parse.parse_qsl(url.query))
                status, value = await self._answer(url.path, query)
                body = json.dumps(value).encode()
                fields = [
                    ("Content-Type", "application/json"),
                    ("Content-Length", len(body)),
                ]
                writer.write(make_message(f"HTTP/1.1 {status} -", fields, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query):
        prefix = query.get("prefix", "")
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix))
            keys = [k for k in keys if k > query.get("after", "")]
            items = [self.items[k] for k in keys]
            return 200, {"items": items, "has_more": False, "at_rev": self.revision}
        if path == "/kv-watch":
            after = int(query["after"])
            end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while True:
                events = [
                    item
                    for item in self.events
                    if item["rev"] > after and item["key"].startswith(prefix)
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at_rev": self.revision}
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left)
        if path == "/kv-key" and query.get("key") in self.items:
            return 200, {**self.items[query["key"]], "at_rev": self.revision}
        return 404, {}


class Instance:
    """
    An instance of a service that runs one request at a time on a connection.

    ``runs`` holds method, target, request id, body and time of each request that it
    began to run.
    """

    def __init__(self, name, service, record, work_s=0.02, zone="mahebourg"):
        self.name, self.service, self.zone = name, service, zone
        self.work_s = work_s
        self.runs = []
        self.address = ""
        self._record = record
        self._sequence = 0

    async def start(self, host="127.0.0.1"):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, host, 0, limit=1 << 17)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())

    def make_entry(self, state="ready"):
        """Return its entry for the store."""
        self._sequence += 1
        return {
            "addr": self.address,
            "born": 1_790_000_000_000,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "capacity": 6,
            },
            "status": {
                "state": state,
                "sequence": self._sequence,
                "warmup_left_ms": 0,
            },
        }

    async def _serve(self, reader, writer):
        try:
            while True:
                first, fields, body = await read_message(reader)
                writer.write(await self.answer(first, dict(fields), body))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, first, fields, body):
        """Run a request and return the bytes of its answer."""
        method, target, _ = first.split(" ")
        request_id = fields.get("request-id")
        if fields.get("expect-instance", self.name) != self.name:
            head = [("Instance-Id", self.name), ("Content-Length", 0)]
            return make_message("HTTP/1.1 421 Misdirected Request", head)
        if request_id is None:
            head = [("Not-Executed", 1), ("Content-Length", 0)]
            return make_message("HTTP/1.1 400 Bad Request", head)
        self.runs.append((method, target, request_id, body, time.monotonic()))
        self._record.write("run", self.name, method, target, request_id, len(body))
        await asyncio.sleep(self.work_s)
        content = f"{self.name} ran {request_id}".encode()
        head = [
            ("Request-Id", request_id),
            ("Server-Signature", f"{self.name}.{len(self.runs)}"),
            ("Content-Length", len(content)),
        ]
        return make_message("HTTP/1.1 200 OK", head, content)


def make_rule(name, prefix, kind, service, timeout_ms=4000, goal_ms=2500):
    """Return a rule of the operator's configuration."""
    return {
        "name": name,
        "type": kind,
        "goal_ms": goal_ms,
        "priority": 1,
        "match": {"prefix": prefix},
        "action": {"service": service, "timeout_ms": timeout_ms, "max_attempts": 2},
    }


def make_config(version, rules, services, limits=LIMITS):
    """Return the operator's configuration."""
    return {
        "version": f"r{version}",
        "limits": limits,
        "listeners": [{"host": HOST, "rules": rules}],
        "upstreams": [
            {"name": name, "health_path": "/healthz", "max_conns": 360}
            for name in services
        ],
    }


class Entry:
    """One entry process, started with the command of ``deploy/system.toml``."""

    def __init__(self, name, host, folder, store, record, seeds=(), **more):
        self.name, self.host = name, host
        kinds = ("caller", "ready", "directory", "peer", "metrics")
        self.ports = {kind: take_port(host) for kind in kinds}
        self._path = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._record = record
        self._store = store
        self.seeds = list(seeds)
        self._more = more
        self.process = None

    @property
    def peer_address(self):
        """Address of its peers."""
        return f"{self.host}:{self.ports['peer']}"

    def write_settings(self):
        """Write what the template ``deploy/settings.json`` gives for cercle-gate."""
        addresses = {f"{k}_address": f"{self.host}:{p}" for k, p in self.ports.items()}
        settings = {
            "vm": self.name,
            "zone": "mahebourg",
            "region": "grand-port",
            "zones": [{"zone": z, "region": r} for z, r in ZONES.items()],
            **addresses,
            "seeds": self.seeds,
            "store_address": self._store.address,
            "cpu_share": 0.86,
            "cpu_speed": 1,
            "max_descriptors": 4100,
            "max_memory_mb": 300,
            "grace_s": 6,
            "retry_share": 0.2,
            "retry_window_s": 10,
            "retry_slack": 60,
            "floor_share": 0.7,
            "link_mbps": 1000.0,
            "config_lag_ms": 2500,
            **self._more,
        }
        self._path.write_text(json.dumps(settings))

    async def start(self):
        """Start the process and wait until it is ready."""
        self.write_settings()
        deps = str(ROOT / "target" / "deps")
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "deploy/entry.py",
                cwd=ROOT,
                env={**kept, "PYTHONPATH": deps, "LAVENDERMAST_BOOT": str(self._path)},
                stdout=log,
                stderr=log,
            )
        end = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > end:
                raise RuntimeError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)
        self._record.write("ready", self.name)

    async def is_ready(self):
        """Return whether the readiness check gives 200."""
        try:
            first, _, _ = await fetch(self.host, self.ports["ready"], "/readyz")
        except (OSError, asyncio.IncompleteReadError):
            return False
        return first.split()[1] == "200"

    def read_memory_mb(self):
        """Return the resident memory of the process in MB, 0 after its end."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        sizes = [line.split()[1] for line in text.splitlines() if "VmRSS" in line]
        return int(sizes[0]) * 1024 / 1e6 if sizes else 0.0

    async def stop(self):
        """Kill the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


async def fetch(host, port, target, fields=(), method="GET", body=b"", timeout_s=10.0):
    """Send one request on a new connection and return first line, fields and body."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            head = [("Host", HOST), *fields]
            writer.write(make_message(f"{method} {target} HTTP/1.1", head, body))
            return await read_message(reader)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)


def allow_descriptors(count):
    """
    Let this process and those that it starts open that many descriptors.

    Shells often allow 1,024, with which an entry process accepts fewer connections
    than on a machine of the site.

    :raises RuntimeError: when the limit of the machine is lower.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = MAX_FDS + SPARE_FDS
    if hard != resource.RLIM_INFINITY:
        wanted = min(wanted, hard)
    if wanted < count:
        raise RuntimeError(f"{count} descriptors needed, {hard} allowed")
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def run_case(case, descriptors=1000):
    """
    Run a case and exit with its result.

    :param case: coroutine function of the record, a temporary folder and whether the
        disruption is on; returns whether the rule held.
    :param descriptors: number that a process of the case needs.
    """
    record = Record(pathlib.Path(sys.argv[1]) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        try:
            allow_descriptors(descriptors)
            held = asyncio.run(
                asyncio.wait_for(case(record, pathlib.Path(folder), trouble), 110)
            )
        except Exception as error:
            record.write("could not run:", type(error).__name__, error)
            print("could not run:", type(error).__name__, error)
            sys.exit(2)
    record.write("rule held" if held else "rule broken")
    print("rule held" if held else "rule broken")
    sys.exit(0 if held else 1)

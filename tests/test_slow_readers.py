"""Long responses to callers that read slowly or not at all."""

import json
import types

import eventlet
import pytest
from eventlet.green import socket

from lavendermast import listeners, readahead
from lavendermast.answers import ResponseBody
from lavendermast.clock import SystemClock
from lavendermast.exceptions import TruncatedResponseError
from lavendermast.listeners import HttpListener
from lavendermast.memory import MemoryBudget
from lavendermast.models import AttemptStatus, CallerRequest, Server
from lavendermast.readahead import MAX_AHEAD_BYTES, PIECE_BYTES, ReadAhead
from lavendermast.upstream import Upstream
from standins.entryworld import HOST, READ_RULE, EntryWorld, make_config
from standins.rawbytes import RawStandIn
from tests.cluster import BASE
from tests.processes import DaemonProcess, wait_for
from tests.test_hostile_callers import MAX_MEMORY_MB, Watch

BODY_BYTES = 6_000_000
HEAD = (
    "HTTP/1.1 200 -\r\nRequest-Id: {id}\r\nServer-Signature: s\r\n"
    f"Content-Length: {BODY_BYTES}\r\n\r\n"
)
#: Callers that read slowly, and of each how many pieces.
CALLERS = 60
SLOW_PIECES = 20
PIECE = b"x" * 50_000


def read_all(ahead):
    return b"".join(iter(ahead.get, b""))


class Source:
    """A body whose pieces can always be read, and what was read of it."""

    def __init__(self, count, error=None):
        self.left, self.error, self.sizes = count, error, []

    def read(self, size):
        self.sizes.append(size)
        if self.left == 0:
            if self.error is not None:
                raise self.error
            return b""
        self.left -= 1
        return PIECE[:size]


def settle():
    """Let the tasks that read ahead go on until they wait."""
    for _ in range(200):
        eventlet.sleep(0)


def test_body_is_read_ahead_up_to_its_bound():
    """Guards against a server that aborts a response because nobody reads it."""
    budget = MemoryBudget(10**8)
    source = Source(100)
    ahead = ReadAhead(source.read, budget.open(), [], 0)
    first = ahead.get()
    settle()
    held = (100 - source.left) * len(PIECE)
    assert MAX_AHEAD_BYTES <= held <= MAX_AHEAD_BYTES + PIECE_BYTES
    assert held <= budget.used_bytes <= held + PIECE_BYTES
    assert first + read_all(ahead) == PIECE * 100
    ahead.close()
    assert budget.used_bytes == 0


def test_bodies_that_are_read_ahead_share_the_memory():
    """Guards against responses to slow callers that together exceed the memory."""
    budget = MemoryBudget(1_000_000)
    sources = [Source(100) for _ in range(30)]
    bodies = [ReadAhead(s.read, budget.open(), [], 0) for s in sources]
    firsts = [body.get() for body in bodies]
    settle()
    assert budget.used_bytes <= budget.max_bytes
    # Those without memory hold one small piece.
    held = sum(map(len, firsts)) - budget.used_bytes
    assert held <= len(bodies) * readahead.SMALL_READ_BYTES
    wholes = [
        first + read_all(body) for first, body in zip(firsts, bodies, strict=True)
    ]
    assert all(set(whole) == {ord("x")} for whole in wholes)
    assert [source.left for source in sources] == [0] * len(sources)
    assert budget.refusals == 0
    for body in bodies:
        body.close()
    assert budget.used_bytes == 0


def test_error_is_raised_after_what_arrived_before_it():
    """Guards against a body that looks complete, and against lost pieces of one."""
    source = Source(3, TruncatedResponseError("cut"))
    ahead = ReadAhead(source.read, None, [b"a"], 0)
    assert [ahead.get() for _ in range(4)] == [b"a", PIECE, PIECE, PIECE]
    with pytest.raises(TruncatedResponseError):
        ahead.get()


def test_reading_ahead_ends_with_the_response():
    """Guards against tasks and memory that outlast a caller that went away."""
    budget = MemoryBudget(10**8)
    source = Source(10**6)
    ahead = ReadAhead(source.read, budget.open(), [], 0)
    ahead.get()
    ahead.close()
    left = source.left
    settle()
    assert (source.left, budget.used_bytes) == (left, 0)


def test_server_sends_its_whole_response_while_the_caller_reads_none():
    """Guards against a server that aborts because its response is not read."""
    listening = eventlet.listen(("127.0.0.1", 0))
    sent = []

    def serve():
        sock, _ = listening.accept()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        sock.recv(65536)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n")
        for _ in range(18):
            sock.sendall(PIECE)
            sent.append(len(PIECE))

    eventlet.spawn(serve)
    clock, budget = SystemClock(), MemoryBudget(2_000_000)
    deadline = clock.monotonic() + 20
    request = CallerRequest("i", "GET", "/", "", [], b"", "", deadline, 0, 0.0)
    request.reservation = budget.open()
    address = f"127.0.0.1:{listening.getsockname()[1]}"
    server = Server("s", "stock", "north", "a", address)
    result = Upstream(clock, 1000, {}).send(request, server, deadline)
    first = next(result.stream)
    assert wait_for(lambda: result.stream.status is AttemptStatus.OK)
    assert sum(sent) == 900_000
    assert first + b"".join(result.stream) == b"x" * 900_000
    result.stream.close()
    request.reservation.release()
    assert budget.used_bytes == 0


def test_caller_that_reads_nothing_is_cut(monkeypatch):
    """Guards against callers that hold memory and a connection without an end."""
    monkeypatch.setattr(listeners, "SOCKET_TIMEOUT_S", 0.3)
    budget = MemoryBudget(10**8)
    closed = []

    def application(environ, start_response):
        start_response("200 OK", [("Content-Length", str(10**9))])
        ahead = ReadAhead(Source(10**5).read, budget.open(), [], 0)

        def close():
            ahead.close()
            closed.append(True)

        return ResponseBody(iter(ahead.get, b""), close)

    listener = HttpListener("127.0.0.1:0", application)
    listener.start()
    with socket.create_connection(("127.0.0.1", listener.port)) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert wait_for(lambda: closed and not len(listener.connections))
        assert budget.used_bytes == 0
    listener.stop_accepting()


@pytest.fixture(params=["entry", "daemon"])
def system(request, tmp_path):
    """A process with little memory, its caller's port and a path of a long response."""
    server = RawStandIn("x1", "stock", "a", HEAD + "x" * BODY_BYTES)
    server.start()
    if request.param == "entry":
        world = EntryWorld(tmp_path / "entry.json", max_memory_mb=MAX_MEMORY_MB)
        rule = json.loads(json.dumps(READ_RULE))
        rule["action"]["timeout_ms"] = 30_000
        world.store.put("op/config", make_config(4, rule))
        world.store.put("servers/x1", server.make_entry())
        world.wait_ready(1)
        made, port = world, world.ports["caller"]
    else:
        base = json.loads(json.dumps(BASE))
        base["routes"]["look-up"]["timeout_ms"] = 30_000
        base["services"]["stock"]["slots"] = CALLERS
        servers = {"x1": ("stock", server.address)}
        made = DaemonProcess(tmp_path, base, servers, max_memory_mb=MAX_MEMORY_MB)
        port = int(made.caller_address.rpartition(":")[2])
    assert wait_for(lambda: made.send("/stock/1").status == 200)
    yield types.SimpleNamespace(process=made.process, port=port)
    made.stop()


def read_slowly(port, results):
    """Read a response slowly at first, and record its status and size."""
    head, size = b"", 0
    with socket.create_connection(("127.0.0.1", port)) as sock:
        sock.settimeout(60)
        sock.sendall(
            f"GET /stock/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: slow-{port}\r\n"
            "Connection: close\r\n\r\n".encode()
        )
        for _ in range(SLOW_PIECES):
            head += sock.recv(1000)
            eventlet.sleep(0.1)
        head, _, rest = head.partition(b"\r\n\r\n")
        size = len(rest)
        try:
            while data := sock.recv(65536):
                size += len(data)
        except ConnectionError:
            pass
    results.append((head.split()[1], b"%d" % BODY_BYTES in head, size))


def test_slow_callers_leave_the_process_in_its_memory(system):
    """
    Guards against responses to slow callers that end the process or are not whole.

    None is larger than its length, and none that is shorter lacks a length.
    """
    watch, results = Watch(system.process), []
    tasks = [eventlet.spawn(read_slowly, system.port, results) for _ in range(CALLERS)]
    for task in tasks:
        task.wait()
    watch.stop()
    print(f"peak {watch.peak_mb:.0f} MB, {watch.peak_descriptors} descriptors")
    assert system.process.poll() is None
    assert watch.peak_mb < MAX_MEMORY_MB
    served = [item for item in results if item[0] == b"200"]
    assert all(has_length and size <= BODY_BYTES for _, has_length, size in served)
    whole = [item for item in served if item[2] == BODY_BYTES]
    print(f"{len(whole)} whole, {len(served)} begun of {CALLERS}")
    assert whole

"""What a process does that runs out of file descriptors."""

import errno
import resource
import types
import unittest.mock

import eventlet
import pytest
from eventlet.green import socket

from lavendermast.callerconnections import CallerConnections
from lavendermast.catalogsync import CatalogSync
from lavendermast.clock import ManualClock, SystemClock
from lavendermast.descriptors import DescriptorBudget, IdleConnections
from lavendermast.exceptions import StoreError, StoreShortageError
from lavendermast.listeners import EXTRA_CONNECTIONS, HttpListener, ListeningSocket
from lavendermast.messages_model import StoredChanges
from lavendermast.models import AttemptStatus, CallerRequest, Server
from lavendermast.platform.store import MetadataStore
from lavendermast.store import StoreClient
from lavendermast.upstream import Upstream
from standins.entryworld import HOST, EntryWorld

MAX_DESCRIPTORS = 120
TOO_MANY = OSError(errno.EMFILE, "Too many open files")
REQUEST = b"GET /stock/7 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: i\r\n\r\n"


@pytest.fixture
def world(tmp_path):
    world = EntryWorld(tmp_path / "entry.json", max_descriptors=MAX_DESCRIPTORS)
    yield world
    world.stop()


def connect(world, kind="caller"):
    return socket.create_connection(("127.0.0.1", world.ports[kind]), timeout=5.0)


def ask(sock, request=REQUEST):
    sock.sendall(request)
    return sock.recv(65536)


def test_process_without_free_descriptors_goes_on_accepting(world):
    """
    Guards against a VM that says it is ready and takes no connection again (RECOVER).

    Each caller keeps its connection open, three times as many as the process may.
    """
    world.add("s1")
    world.wait_ready(1)
    kept = []
    for _ in range(3 * MAX_DESCRIPTORS):
        kept.append(connect(world))
        assert ask(kept[-1]).startswith(b"HTTP/1.1 200 ")
    # The first connections were closed to make room, the latest are open.
    assert kept[0].recv(1) == b""
    assert ask(kept[-1]).startswith(b"HTTP/1.1 200 ")
    for sock in kept:
        sock.close()
    assert world.send().status == 200
    assert "listener_" not in world.stop()


@pytest.mark.parametrize("kind", ["ready", "directory", "metrics"])
def test_other_listeners_outlast_a_lack_of_descriptors(world, kind):
    """Guards against a VM whose readiness check or directory ends for good."""
    world.add("s1")
    world.wait_ready(1)
    request = f"GET /resolve?name={HOST}&zone=a HTTP/1.1\r\nHost: x\r\n\r\n".encode()
    kept = []
    for _ in range(2 * MAX_DESCRIPTORS):
        kept.append(connect(world, kind))
        assert ask(kept[-1], request).startswith(b"HTTP/1.1 ")
    for sock in kept:
        sock.close()
    world.wait_ready(1)


def test_process_at_a_lowered_limit_goes_on(world):
    """
    Guards against a listener that ends at an error of ``accept``.

    The limit falls below what is open, so no accept and no connect succeeds until
    connections are closed.
    """
    world.add("s1")
    world.wait_ready(1)
    kept = [connect(world) for _ in range(30)]
    assert all(ask(sock).startswith(b"HTTP/1.1 200 ") for sock in kept)
    resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE, (40, MAX_DESCRIPTORS))
    for _ in range(12):
        kept.append(connect(world))
        assert ask(kept[-1]).startswith(b"HTTP/1.1 200 ")
    assert world.send("/book/1", "POST").status == 200
    log = world.stop()
    assert "event=accept_failed" in log
    assert "event=descriptors_short" in log


class FailingSocket:
    """A listening socket whose ``accept`` raises the given errors first."""

    family = socket.AF_INET

    def __init__(self, errors):
        self.errors = list(errors)

    def accept(self):
        if self.errors:
            raise self.errors.pop(0)
        return "connection", ("127.0.0.1", 1)

    def fileno(self):
        return 3

    def getsockname(self):
        return "127.0.0.1", 7000


def test_accept_goes_on_after_errors_and_logs_them_once():
    """Guards against errors of single connections, or a lack of room, that end it."""
    errors = [TOO_MANY, TOO_MANY, OSError(errno.ECONNABORTED, "aborted")]
    events, room = [], []
    listening = ListeningSocket(
        FailingSocket(errors),
        CallerConnections(ManualClock()),
        10,
        lambda: room.append(1) or 1,
        lambda event, **fields: events.append(event),
    )
    with eventlet.Timeout(5):
        assert listening.accept()[0] == "connection"
    assert events == ["accept_failed"]
    assert (len(room), listening.accept_errors) == (2, 3)


@pytest.fixture
def listener():
    release = eventlet.event.Event()

    def application(environ, start_response):
        if environ["PATH_INFO"] == "/slow":
            release.wait()
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    listener = HttpListener("127.0.0.1:0", application, max_connections=3)
    listener.start()
    yield types.SimpleNamespace(
        address=("127.0.0.1", listener.port), release=release, listener=listener
    )
    release.send()
    listener.stop_accepting()


def test_only_idle_connections_are_closed_the_oldest_first(listener):
    """
    Guards against room made by cutting a request (LOST).

    One connection has a request in flight, one has sent a part of a head.
    """
    socks = [socket.create_connection(listener.address) for _ in range(3)]
    slow, partial, idle = socks
    slow.sendall(b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
    partial.sendall(b"GET /")
    eventlet.sleep(0.1)
    later = socket.create_connection(listener.address)
    with eventlet.Timeout(5):
        assert idle.recv(1) == b""
        assert ask(later, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").startswith(b"HTTP/1.1")
        assert ask(partial, b" HTTP/1.1\r\nHost: h\r\n\r\n").startswith(b"HTTP/1.1 200")
        listener.release.send()
        listener.release.reset()
        assert slow.recv(999).startswith(b"HTTP/1.1 200")


def test_request_that_arrives_as_its_listener_stops_is_answered(listener):
    """Guards against requests that run although their response cannot be sent."""
    request = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    socks = [socket.create_connection(listener.address) for _ in range(3)]
    with eventlet.Timeout(5):
        for sock in socks:
            kept_alive = request.replace(b"close", b"keep-alive")
            assert ask(sock, kept_alive).startswith(b"HTTP/1.1 200")
        for sock in socks[1:]:
            # The task that reads the connection has no turn before the stop.
            sock.fd.sendall(request)
        listener.listener.stop()
        assert socks[0].recv(999) == b""
        for sock in socks[1:]:
            assert sock.recv(999).startswith(b"HTTP/1.1 200")


def test_connections_beyond_the_maximum_are_served_while_all_are_busy(listener):
    """Guards against callers that wait in the queue and are not told to go away."""
    busy = [socket.create_connection(listener.address) for _ in range(3)]
    for sock in busy:
        sock.sendall(b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
    eventlet.sleep(0.1)
    with eventlet.Timeout(5):
        for _ in range(EXTRA_CONNECTIONS):
            sock = socket.create_connection(listener.address)
            assert ask(sock, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").startswith(b"HTTP")


class FakeHolder(IdleConnections):
    """Idle connections, each given by the time since which it is idle."""

    def __init__(self, *idle_since):
        self.idle_since = list(idle_since)

    def get_oldest_idle_at(self):
        return min(self.idle_since, default=float("inf"))

    def close_oldest(self):
        if not self.idle_since:
            return False
        self.idle_since.remove(min(self.idle_since))
        return True


def test_room_is_made_from_what_is_idle_for_longest():
    """Guards against fresh connections that are closed before older ones."""
    callers, servers = FakeHolder(1.0, 2.0, 9.0), FakeHolder(*range(3, 9))
    budget = DescriptorBudget(100, ManualClock(), lambda event, **fields: None)
    budget.add_holder(servers)
    budget.add_holder(callers)
    assert budget.make_room() == 8
    assert (callers.idle_since, servers.idle_since) == ([9.0], [])


@pytest.fixture
def server_address():
    listening = eventlet.listen(("127.0.0.1", 0))
    yield "{}:{}".format(*listening.getsockname())
    listening.close()


def test_lack_of_descriptors_is_no_evidence_about_a_server(monkeypatch, server_address):
    """
    Guards against a VM without descriptors that reports sound servers as crashed.

    Its attempts would count as failures of the servers, and innocent requests as
    suspects of crashes.
    """

    def fail(*args, **options):
        raise TOO_MANY

    server = Server("s1", "stock", "north", "a", server_address)
    upstream = Upstream(SystemClock(), 1000, {})
    assert upstream.is_gone(server) is False
    monkeypatch.setattr("lavendermast.connections.socket.create_connection", fail)
    assert upstream.is_gone(server) is False
    deadline = SystemClock().monotonic() + 9
    request = CallerRequest("i", "GET", "/", "", [], b"", "", deadline, 0, 0.0)
    result = upstream.send(request, server, deadline)
    assert (result.status, result.ran) == (AttemptStatus.SHORTAGE, False)


def test_lack_of_descriptors_is_told_apart_from_a_lost_store(monkeypatch):
    """Guards against an own error that is read as one of the store."""

    def fail(*args, **options):
        raise TOO_MANY

    monkeypatch.setattr("urllib3.util.connection.create_connection", fail)
    with pytest.raises(StoreShortageError):
        MetadataStore("127.0.0.1:9").read_all()
    room = []
    with pytest.raises(StoreShortageError):
        StoreClient("127.0.0.1:9", lambda: room.append(8)).read("config")
    assert room == [8]


class _EndError(Exception):
    """Ends a task that otherwise runs for ever."""


@pytest.mark.parametrize(
    ("error", "is_outage"),
    [(StoreShortageError("none left"), False), (StoreError("refused"), True)],
)
def test_lack_of_descriptors_retains_no_lapsed_servers(error, is_outage):
    """
    Guards against removed servers that get requests, as if the store had been away.

    Entries lapse while the store serves nobody, not while this VM cannot call it.
    """

    def follow(*args):
        if errors:
            raise errors.pop(0)
        return StoredChanges(1, 1, False, (), 1)

    errors, events, room = [error], [], []
    clock, catalog = ManualClock(), unittest.mock.Mock(revision=1, era=1)
    fleet = unittest.mock.Mock(on_presence=[])
    fleet.get_vm_names.return_value = ["vm-1"]
    fleet.local_vm.vm = "vm-1"
    source = types.SimpleNamespace(watch=follow, era=1)

    def record(event, **fields):
        events.append(event)
        if event == "store_regained":
            raise _EndError

    sync = CatalogSync(catalog, source, fleet, unittest.mock.Mock(), clock, record)
    sync.make_room = lambda: room.append(1)
    with pytest.raises(_EndError):
        sync.run()
    assert events == ["state_unconfirmed", "store_lost", "store_regained"]
    assert catalog.handle_store_recovery.called is is_outage
    assert bool(room) is not is_outage


def test_idle_connection_is_closed_after_the_configured_time():
    """
    Guards against connections that callers no longer use and that hold descriptors.

    A connection on which a request arrives is not idle.
    """
    clock = ManualClock()
    connections = CallerConnections(clock, idle_timeout_s=15.0)
    pairs = [socket.socketpair() for _ in range(3)]
    for number, (_, sock) in enumerate(pairs):
        clock.advance(number)
        connections.add(sock)
    pairs[0][0].sendall(b"G")
    clock.advance(14.5)
    connections.close_expired()
    assert len(connections) == 2
    assert pairs[1][0].recv(1) == b""
    clock.advance(1.0)
    connections.close_expired()
    assert len(connections) == 1


@pytest.mark.parametrize("part", [b"G", b"GET / HTTP/1.1\r\nHost: h\r\nX: "])
def test_head_that_takes_too_long_is_answered_as_not_run(listener, part):
    """Guards against connections that are held, never idle, by a head without end."""
    listener.listener.connections.head_timeout_s = 0.3
    with eventlet.Timeout(5), socket.create_connection(listener.address) as sock:
        sock.sendall(part)
        received = b""
        while data := sock.recv(999):
            received += data
    assert received.startswith(b"HTTP/1.1 408 ")

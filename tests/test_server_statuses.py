"""Statuses of servers on every path to a caller, from servers that send raw bytes."""

import itertools

import eventlet
import pytest

from lavendermast.clock import SystemClock
from lavendermast.models import AttemptStatus, CallerRequest, Server
from lavendermast.platform.calls import PlatformServerProtocol
from lavendermast.upstream import Upstream
from standins.entryworld import EntryWorld, make_config, make_rule
from standins.rawbytes import RawStandIn
from tests.cluster import BASE
from tests.processes import DaemonProcess, wait_for

HEADERS = "Request-Id: {id}\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\n"
OK = f"HTTP/1.1 200 OK\r\n{HEADERS}ok"
EMPTY = "Request-Id: {id}\r\nServer-Signature: s\r\n\r\n"
#: Status lines after the version that are no final status of HTTP.
BROKEN = [
    "000 OK",
    "0 OK",
    "00 OK",
    "099 OK",
    "100 Continue",
    "101 Switching Protocols",
    "199 OK",
    "600 OK",
    "700 OK",
    "999 OK",
    "1000 OK",
    "2000 OK",
    "+200 OK",
    "-20 OK",
    " 200 OK",
    "20 0 OK",
    "2x0 OK",
    "OK",
    "",
]
#: Answers that are passed on, and their status.
WHOLE = {
    "no phrase": (f"HTTP/1.1 200\r\n{HEADERS}ok", 200),
    "empty phrase": (f"HTTP/1.1 200 \r\n{HEADERS}ok", 200),
    "before": (f"HTTP/1.1 100 -\r\n\r\nHTTP/1.1 103 -\r\nA: b\r\n\r\n{OK}", 200),
    "499": (f"HTTP/1.1 499 -\r\n{HEADERS}ok", 499),
    "204": (f"HTTP/1.1 204 -\r\n{EMPTY}", 204),
    "304": (f"HTTP/1.1 304 -\r\n{EMPTY}", 304),
}
ANSWERS = [f"HTTP/1.1 {status}\r\n{HEADERS}ok" for status in BROKEN]
ANSWERS += [answer for answer, _ in WHOLE.values()]


@pytest.fixture(scope="module")
def servers():
    """One server of a service of its own for each answer."""
    made = [
        RawStandIn(f"x{number}", f"s{number}", "a", answer)
        for number, answer in enumerate(ANSWERS)
    ]
    for server in made:
        server.start()
    return made


@pytest.fixture(scope="module")
def entry(servers, tmp_path_factory):
    world = EntryWorld(tmp_path_factory.mktemp("entry") / "entry.json")
    rules = [
        make_rule(s.service, f"/{s.service}/", "non_idempotent", service=s.service)
        for s in servers
    ]
    config = make_config(4, *rules)
    for server in servers:
        upstream = {"name": server.service, "health_path": "/h", "max_conns": 360}
        config["upstreams"].append(upstream)
        world.store.put(f"servers/{server.name}", server.make_entry())
    world.store.put("op/config", config)
    text = f'lavendermast_entry_servers{{service="{servers[-1].service}"}} 1'
    world.wait_for(lambda: text in world.read_metrics())
    yield world
    world.stop()


@pytest.fixture(scope="module")
def daemon(servers, tmp_path_factory):
    base = {**BASE, "services": {}, "routes": {}}
    for server in servers:
        base["services"][server.service] = {
            "expected_servers": 1,
            "floor": 1,
            "long_share": 0,
        }
        base["routes"][f"r-{server.service}"] = {
            "method": "GET",
            "path": f"/{server.service}/*",
            "service": server.service,
            "idempotent": True,
        }
    addresses = {server.name: (server.service, server.address) for server in servers}
    made = DaemonProcess(tmp_path_factory.mktemp("daemon"), base, addresses)
    last = servers[-1].service
    assert wait_for(lambda: made.send(f"/{last}/1").status == 304)
    yield made
    made.stop()


@pytest.fixture(params=["entry", "daemon"])
def send(request):
    """Sends a request to the service of an answer and returns the response."""
    system = request.getfixturevalue(request.param)
    counts = itertools.count()
    return lambda number: system.send(f"/s{number}/{next(counts)}")


@pytest.mark.parametrize("number", range(len(BROKEN)), ids=BROKEN)
def test_broken_status_never_reaches_a_caller(send, servers, number):
    """
    Guards against statuses such as 000 at a caller.

    The request may have run, so the caller must not be told that it has not.
    """
    answered = servers[number].answered
    response = send(number)
    assert servers[number].answered > answered
    assert response.status in (502, 504)
    assert response.data != b"ok"


@pytest.mark.parametrize("name", WHOLE)
def test_whole_answer_is_passed_on(send, name):
    """Guards against sound answers that count as broken."""
    response = send(len(BROKEN) + list(WHOLE).index(name))
    status = WHOLE[name][1]
    assert response.status == status
    assert response.data == (b"" if status in (204, 304) else b"ok")


ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r%d\r\nServer-Signature: s\r\n"
    b"Content-Length: 6\r\n\r\n%s"
)
#: A body that looks like an answer; when it was made, only the first request existed.
LATE_BODY = ANSWER % (0, b"forged")


class BodyServer:
    """
    Answers the first request with a head, whose body follows after the next request.

    A late body arrives like that on a connection that is kept.
    """

    def __init__(self, head):
        self._listening = eventlet.listen(("127.0.0.1", 0))
        self._answers = iter([head])
        self.server = Server(
            "s1", "stock", "r", "z", "{}:{}".format(*self._listening.getsockname())
        )
        self._task = eventlet.spawn(self._accept)

    def _accept(self):
        while True:
            sock, _ = self._listening.accept()
            eventlet.spawn(self._serve, sock, next(self._answers, None))

    def _serve(self, sock, head):
        if head:
            sock.recv(65536)
            sock.sendall(head)
        if sock.recv(65536):
            sock.sendall((LATE_BODY if head else b"") + ANSWER % (1, b"answer"))

    def stop(self):
        self._task.kill()
        self._listening.close()


@pytest.mark.parametrize("protocol", [None, PlatformServerProtocol(SystemClock())])
@pytest.mark.parametrize("status", [204, 304])
@pytest.mark.parametrize(
    "framing",
    [
        b"",
        b"Content-Length: %d\r\n" % len(LATE_BODY),
        b"Transfer-Encoding: chunked\r\n",
    ],
)
def test_body_of_an_answer_without_one_is_no_other_answer(protocol, status, framing):
    """Guards against a late body that is taken for the answer to the next request."""
    head = b"HTTP/1.1 %d -\r\nRequest-Id: r0\r\nServer-Signature: s\r\n%s\r\n"
    server = BodyServer(head % (status, framing))
    clock = SystemClock()
    upstream = Upstream(clock, 1000, {"stock": 4}, protocol)
    results = []
    for number in (0, 1):
        deadline = clock.monotonic() + 5
        request = CallerRequest(
            f"r{number}", "GET", "/a", "", [], b"", "", deadline, 99, 0.0
        )
        results.append(upstream.send(request, server.server, deadline))
    server.stop()
    assert results[0].http_status == status
    assert results[1].status is AttemptStatus.OK
    assert results[1].body == b"answer"
